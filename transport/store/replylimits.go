package store

import (
	"errors"
	"net"
	"strconv"
	"time"
)

const (
	maxLineBytes   = 4 << 10   // longest line; errors and numbers are short
	maxStringBytes = 16 << 10  // longest string; records take a quarter of that
	maxItems       = 4 << 10   // most elements of one array, map or set
	maxRoundBytes  = 512 << 10 // most bytes of all replies in one round
)

var (
	errLineTooLong   = errors.New("the store sent a line that is too long")
	errStringTooLong = errors.New("the store announced a string that is too long")
	errTooManyItems  = errors.New("the store announced too many items")
	errRoundTooLarge = errors.New("the store sent too much for one round")
	errNotReply      = errors.New("the store sent something that is not a reply")
)

// limitedConn parses the replies of the store while they are read, and fails if one is too large.
//
// Danger: client libraries allocate what the header of a reply announces before the data arrives, so a line of
// twelve bytes could allocate a gigabyte. So the headers are checked here before the library reads them.
type limitedConn struct {
	net.Conn
	header     []byte // the part read so far of a reply's header line
	skipBytes  int    // bytes to come of the string that is being read, with its line end
	roundBytes int    // bytes read in this round
	err        error
}

// Write starts a new round. It is called by the goroutine that reads.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.roundBytes = 0
	return c.Conn.Write(b)
}

// SetReadDeadline does nothing, so that the deadline that the client has set for the whole round stays.
//
// Danger: the library clears the read deadline before each reply. If the round's time has run out just before,
// the read would never end, and the client would hang.
func (c *limitedConn) SetReadDeadline(time.Time) error { return nil }

// Read returns only bytes that have been checked.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	if c.roundBytes += n; c.roundBytes > maxRoundBytes {
		c.err = errRoundTooLarge
	} else if e := c.scan(b[:n]); e != nil {
		c.err = e
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}

// scan checks bytes that were read: it skips the contents of strings, and parses each header line once it is
// complete.
func (c *limitedConn) scan(b []byte) error {
	for len(b) > 0 {
		if c.skipBytes > 0 {
			n := min(c.skipBytes, len(b))
			c.skipBytes -= n
			b = b[n:]
			continue
		}
		if c.header = append(c.header, b[0]); len(c.header) > maxLineBytes {
			return errLineTooLong
		}
		b = b[1:]
		if c.header[len(c.header)-1] == '\n' {
			if err := c.parseHeader(); err != nil {
				return err
			}
			c.header = c.header[:0]
		}
	}
	return nil
}

// parseHeader returns an error if a complete header line does not begin a reply, or announces more than the
// limits allow.
func (c *limitedConn) parseHeader() error {
	text := c.header[:len(c.header)-1]
	if len(text) > 0 && text[len(text)-1] == '\r' {
		text = text[:len(text)-1]
	}
	if len(text) == 0 {
		return errNotReply
	}
	switch text[0] {
	case '+', '-', ':', '_', ',', '#', '(':
		return nil
	case '$', '=', '!':
		n, err := strconv.ParseInt(string(text[1:]), 10, 64)
		if err != nil || n < -1 {
			return errNotReply
		}
		if n > maxStringBytes {
			return errStringTooLong
		}
		if n >= 0 {
			c.skipBytes = int(n) + 2
		}
		return nil
	case '*', '%', '~', '>', '|':
		n, err := strconv.ParseInt(string(text[1:]), 10, 64)
		if err != nil || n < -1 {
			return errNotReply
		}
		if n > maxItems {
			return errTooManyItems
		}
		return nil
	}
	return errNotReply
}
