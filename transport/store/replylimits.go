package store

import (
	"errors"
	"net"
	"strconv"
	"time"
)

const (
	maxLineBytes   = 4 << 10   // errors and numbers are short
	maxStringBytes = 16 << 10  // of one string; records are a quarter of that
	maxItems       = 4 << 10   // of one array, map or set
	maxRoundBytes  = 512 << 10 // of all replies of one round
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
	header     []byte // of the reply that is being read
	skipBytes  int    // rest of the string that is being read, with its line end
	roundBytes int    // read in this round
	err        error
}

// Write starts a new round. It is called by the goroutine that reads.
func (g *limitedConn) Write(b []byte) (int, error) {
	g.roundBytes = 0
	return g.Conn.Write(b)
}

// SetReadDeadline does nothing, so that the deadline that the client has set for the whole round stays.
//
// Danger: the library clears the read deadline before each reply. If the round's time has run out just before,
// the read would never end, and the client would hang.
func (g *limitedConn) SetReadDeadline(time.Time) error { return nil }

// Read returns only bytes that have been checked.
func (g *limitedConn) Read(b []byte) (int, error) {
	if g.err != nil {
		return 0, g.err
	}
	n, err := g.Conn.Read(b)
	if g.roundBytes += n; g.roundBytes > maxRoundBytes {
		g.err = errRoundTooLarge
	} else if e := g.scan(b[:n]); e != nil {
		g.err = e
	}
	if g.err != nil {
		return 0, g.err
	}
	return n, err
}

// scan checks bytes that were read.
func (g *limitedConn) scan(b []byte) error {
	for len(b) > 0 {
		if g.skipBytes > 0 {
			n := min(g.skipBytes, len(b))
			g.skipBytes -= n
			b = b[n:]
			continue
		}
		if g.header = append(g.header, b[0]); len(g.header) > maxLineBytes {
			return errLineTooLong
		}
		b = b[1:]
		if g.header[len(g.header)-1] == '\n' {
			if err := g.parseHeader(); err != nil {
				return err
			}
			g.header = g.header[:0]
		}
	}
	return nil
}

// parseHeader checks a complete header line.
func (g *limitedConn) parseHeader() error {
	text := g.header[:len(g.header)-1]
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
			g.skipBytes = int(n) + 2
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
