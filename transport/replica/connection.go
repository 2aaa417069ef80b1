package replica

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	readBufferBytes     = 4 << 10         // bytes: replies are short
	writeTimeout        = 2 * time.Second // a peer that takes in nothing for so long is gone
	maxAbandonedIDs     = 1024            // ids given up on a connection without a late reply, kept apart
	maxEndedIDs         = 64              // ids that ended on it last: a second copy comes soon, if it comes
	frameTimeoutDivisor = 2               // the rest of a frame comes within this part of the time for a whole connection
	idleMarginDivisor   = 8               // retired before this part of the idle time is left
)

// Event is what a connection has to tell its pool: a reply, or that it is down.
type Event struct {
	conn        *connection
	reply       Reply
	corruptTail bool  // no frame can come behind the reply
	at          int64 // ns
	closed      bool
	wasOpen     bool
	Err         error // why it is down, nil where this side closed it
}

// frame is one message on its way out: a call, or word that a part is given up.
type frame struct {
	parts       []Part // under the queue's lock until the writer has it
	abandonID   string
	openTickets int  // tickets without an end; of the pool's goroutine
	order       int  // in order of the pushes
	endOffset   int  // where it ends in its write
	written     bool // its last byte has been; settled once the connection is down
}

// connection is one connection to a replica. The pool's goroutine owns all fields up to queue; run is its
// own goroutine, and gives back all that it holds before its last notice.
type connection struct {
	line      *destination
	tickets   map[string]*Ticket  // by id
	abandoned map[string]struct{} // ids given up whose reply may still come
	endedIDs  []string            // ids that had their reply, the last ones
	openCalls int
	retired   bool // takes no more calls, and ends with its last one
	heardAt   int64
	idleSince int64

	queue  queue
	pool   *Pool
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newConnection(p *Pool, l *destination, now int64) *connection {
	c := &connection{line: l, pool: p, tickets: map[string]*Ticket{}, abandoned: map[string]struct{}{}, idleSince: now}
	c.queue.wake = make(chan struct{}, 1)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// usedID tells whether an id is in use on the connection, or was: its reply may still come, or come again.
func (c *connection) usedID(id string) bool {
	_, given := c.abandoned[id]
	return given || c.tickets[id] != nil || slices.Contains(c.endedIDs, id)
}

// recordReply notes that an id has had its reply.
func (c *connection) recordReply(id string) {
	if c.endedIDs = append(c.endedIDs, id); len(c.endedIDs) > maxEndedIDs {
		c.endedIDs = slices.Delete(c.endedIDs, 0, 1)
	}
}

// close takes the connection out of use and closes it; its last notice has the error.
func (c *connection) close(err error) {
	c.retired = true
	c.cancel(err)
}

// run opens the connection, writes what is queued and reads replies until it breaks or is shut.
func (c *connection) run(dial string) {
	conn, err := c.open(dial)
	up := err == nil
	if up {
		var reading sync.WaitGroup
		var readErr error
		reading.Go(func() {
			readErr = c.read(conn)
			c.cancel(readErr)
		})
		stop := context.AfterFunc(c.ctx, func() { conn.Close() })
		err = c.write(conn)
		stop()
		conn.Close()
		reading.Wait()
		err = cmp.Or(err, readErr)
	}
	c.cancel(nil)
	if cause := context.Cause(c.ctx); errors.Is(cause, errBadReply) {
		err = cause
	}
	if errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		err = nil
	}
	c.pool.notify(Event{conn: c, at: c.pool.Now(), closed: true, wasOpen: up, Err: err})
}

// open dials within the time that the deployment states.
func (c *connection) open(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, time.Duration(c.pool.ConnectTimeout))
	defer cancel()
	return c.pool.Dial(ctx, "tcp", address)
}

// write writes the frames of each round at once.
func (c *connection) write(conn net.Conn) error {
	var buf []byte
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case <-c.queue.wake:
		}
		frames := c.queue.takeAll()
		if len(frames) == 0 { // all given up meanwhile
			continue
		}
		buf = buf[:0]
		for _, f := range frames {
			if f.abandonID != "" {
				buf = AppendFrame(buf, LetterAbandon, f.abandonID)
			} else {
				buf = appendCall(buf, f.parts)
			}
			f.endOffset, f.parts = len(buf), nil
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := conn.Write(buf)
		for _, f := range frames {
			f.written = n >= f.endOffset
		}
		if err != nil {
			return err
		}
	}
}

// read passes on replies.
//
// Danger: a frame that announces more than ever comes would keep all that waits on the connection.
func (c *connection) read(conn net.Conn) error {
	r, rest := bufio.NewReaderSize(conn, readBufferBytes), time.Duration(c.pool.ConnectTimeout/frameTimeoutDivisor)
	for {
		reply, err := readReply(r, func() { conn.SetReadDeadline(time.Now().Add(rest)) })
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = fmt.Errorf("%w: its rest did not come", errBadReply)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		conn.SetReadDeadline(time.Time{})
		next, _ := r.Peek(min(r.Buffered(), lengthBytes+1))
		c.pool.notify(Event{conn: c, reply: reply, corruptTail: !plausibleFrame(next), at: c.pool.Now()})
	}
}

// queue holds the frames that wait for the writer.
type queue struct {
	mu     sync.Mutex
	frames []*frame
	pushed int
	wake   chan struct{}
}

func (q *queue) push(f *frame) {
	q.mu.Lock()
	q.pushed++
	f.order = q.pushed
	q.frames = append(q.frames, f)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) takeAll() []*frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	return frames
}

// remove takes a part out of a frame that still waits, and the frame with its last part.
func (q *queue) remove(f *frame, id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.frames, f)
	if i < 0 {
		return false
	}
	f.parts = slices.DeleteFunc(f.parts, func(p Part) bool { return p.ID == id })
	if len(f.parts) == 0 {
		q.frames = slices.Delete(q.frames, i, i+1)
	}
	return true
}
