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
	readBufferBytes     = 4 << 10         // size of the read buffer of a connection; replies are short
	writeTimeout        = 2 * time.Second // a replica that reads nothing for this time counts as failed
	maxAbandonedIDs     = 1024            // abandoned ids that await their late replies; with more of them a connection is retired
	maxEndedIDs         = 64              // ids answered last on a connection, whose replies may come a second time; such copies come soon
	frameTimeoutDivisor = 2               // the rest of a frame must arrive within the connect timeout divided by this
	idleMarginDivisor   = 8               // an idle connection is retired when 1/idleMarginDivisor of its idle timeout is left
)

// Event is what a connection reports to its pool: a reply, or that it has closed.
type Event struct {
	conn        *connection
	reply       Reply
	corruptTail bool  // the bytes after the reply cannot begin a frame
	at          int64 // time of the event, ns
	closed      bool
	wasOpen     bool
	Err         error // why it closed, nil if this side closed it
}

// frame is an outgoing message: a call, or the notice that a part is abandoned.
type frame struct {
	parts       []Part // guarded by the queue's lock until the writer takes the frame
	abandonID   string
	openTickets int  // tickets that have not ended; owned by the pool's goroutine
	order       int  // consecutive number in the queue
	endOffset   int  // offset of the frame's end in the written buffer
	written     bool // the last byte was written; final once the connection has closed
}

// connection is a connection to a replica. The fields up to queue belong to the pool's goroutine. run has its
// own goroutine, which has released everything before it sends its last event.
type connection struct {
	destination *destination
	tickets     map[string]*Ticket  // open tickets by id
	abandoned   map[string]struct{} // abandoned ids whose reply may still come
	endedIDs    []string            // the ids answered last
	openCalls   int
	retired     bool  // takes no more calls, and closes after its last one
	heardAt     int64 // when the last reply arrived, ns
	idleSince   int64 // when the last call ended, or the connection was created, ns

	queue  queue
	pool   *Pool
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newConnection(p *Pool, d *destination, now int64) *connection {
	c := &connection{destination: d, pool: p, tickets: map[string]*Ticket{}, abandoned: map[string]struct{}{}, idleSince: now}
	c.queue.wake = make(chan struct{}, 1)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// usedID reports whether an id is or was in use on the connection, so that its reply may still come, or come
// again.
func (c *connection) usedID(id string) bool {
	_, abandoned := c.abandoned[id]
	return abandoned || c.tickets[id] != nil || slices.Contains(c.endedIDs, id)
}

// recordReply records that an id was answered, and forgets the oldest such id beyond maxEndedIDs.
func (c *connection) recordReply(id string) {
	if c.endedIDs = append(c.endedIDs, id); len(c.endedIDs) > maxEndedIDs {
		c.endedIDs = slices.Delete(c.endedIDs, 0, 1)
	}
}

// closeWith retires the connection and closes it; its last event holds the error.
func (c *connection) closeWith(err error) {
	c.retired = true
	c.cancel(err)
}

// run opens the connection, writes queued frames and reads replies until the connection fails or is closed.
func (c *connection) run(address string) {
	conn, err := c.open(address)
	opened := err == nil
	if opened {
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
	c.pool.notify(Event{conn: c, at: c.pool.Now(), closed: true, wasOpen: opened, Err: err})
}

// open dials within the configured timeout.
func (c *connection) open(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, time.Duration(c.pool.ConnectTimeout))
	defer cancel()
	return c.pool.Dial(ctx, "tcp", address)
}

// write writes all queued frames in one write.
func (c *connection) write(conn net.Conn) error {
	var buf []byte
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case <-c.queue.wake:
		}
		frames := c.queue.takeAll()
		if len(frames) == 0 { // all were withdrawn meanwhile
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

// read reports replies to the pool.
//
// Danger: a frame whose header announces more bytes than ever arrive would block every part that waits on the
// connection.
func (c *connection) read(conn net.Conn) error {
	r, frameTimeout := bufio.NewReaderSize(conn, readBufferBytes), time.Duration(c.pool.ConnectTimeout/frameTimeoutDivisor)
	for {
		reply, err := readReply(r, func() { conn.SetReadDeadline(time.Now().Add(frameTimeout)) })
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

// remove takes a part out of a frame that is still queued, and the frame out of the queue with its last part.
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
