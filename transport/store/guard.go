package store

import (
	"errors"
	"net"
	"strconv"
	"time"
)

const (
	lineMost  = 4 << 10   // bytes of a line: errors and numbers are short
	bulkMost  = 16 << 10  // bytes of one string: records are a quarter of that
	itemsMost = 4 << 10   // of one array, map or set
	roundMost = 512 << 10 // bytes of all that one round brings
)

var (
	errLine  = errors.New("the store sent a line that is too long")
	errBulk  = errors.New("the store announced a string that is too long")
	errItems = errors.New("the store announced too many items")
	errRound = errors.New("the store sent too much for one round")
	errSign  = errors.New("the store sent what is no reply")
)

// guard reads along on a connection to the store and ends it where a reply would be too large.
//
// Danger: client libraries make room for what a reply announces before it is there: one line of twelve bytes could
// take a gigabyte. So announcements are read here, before the library sees them.
type guard struct {
	net.Conn
	line []byte // of the announcement that is being read
	skip int    // bytes of a string still to come, with its end
	came int    // in this round
	err  error
}

// Write begins a round. It is called by the goroutine that reads.
func (g *guard) Write(b []byte) (int, error) {
	g.came = 0
	return g.Conn.Write(b)
}

// SetReadDeadline leaves the connection the deadline that the client has given it for the whole round.
//
// Danger: the library takes the read deadline away before each reply. Where a round's time has run out just before, the
// read would never end, and neither would the client.
func (g *guard) SetReadDeadline(time.Time) error { return nil }

// Read reads what has been looked through.
func (g *guard) Read(b []byte) (int, error) {
	if g.err != nil {
		return 0, g.err
	}
	n, err := g.Conn.Read(b)
	if g.came += n; g.came > roundMost {
		g.err = errRound
	} else if e := g.look(b[:n]); e != nil {
		g.err = e
	}
	if g.err != nil {
		return 0, g.err
	}
	return n, err
}

// look goes over bytes that came.
func (g *guard) look(b []byte) error {
	for len(b) > 0 {
		if g.skip > 0 {
			n := min(g.skip, len(b))
			g.skip -= n
			b = b[n:]
			continue
		}
		if g.line = append(g.line, b[0]); len(g.line) > lineMost {
			return errLine
		}
		b = b[1:]
		if g.line[len(g.line)-1] == '\n' {
			if err := g.announced(); err != nil {
				return err
			}
			g.line = g.line[:0]
		}
	}
	return nil
}

// announced reads a whole line.
func (g *guard) announced() error {
	text := g.line[:len(g.line)-1]
	if len(text) > 0 && text[len(text)-1] == '\r' {
		text = text[:len(text)-1]
	}
	if len(text) == 0 {
		return errSign
	}
	switch text[0] {
	case '+', '-', ':', '_', ',', '#', '(':
		return nil
	case '$', '=', '!':
		n, err := strconv.ParseInt(string(text[1:]), 10, 64)
		if err != nil || n < -1 {
			return errSign
		}
		if n > bulkMost {
			return errBulk
		}
		if n >= 0 {
			g.skip = int(n) + 2
		}
		return nil
	case '*', '%', '~', '>', '|':
		n, err := strconv.ParseInt(string(text[1:]), 10, 64)
		if err != nil || n < -1 {
			return errSign
		}
		if n > itemsMost {
			return errItems
		}
		return nil
	}
	return errSign
}
