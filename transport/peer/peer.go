// Package peer carries messages between the system's own processes: CBOR in frames over TCP. It opens links,
// bounds what is queued on them, and detects failed ones. It makes no decisions of its own.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"willowsill/transport/boundedread"
)

// ErrLink builds this package's errors, which have the code link.
var ErrLink = oops.Code("link")

const (
	maxFrameBytes   = 8 << 20                // largest body of a frame: a configuration of tens of thousands of routes
	maxQueuedBytes  = 8 << 20                // a link with more bytes queued counts as failed
	headerBytes     = 4                      // size of a frame's header, which holds the length of the body
	dialTimeout     = 300 * time.Millisecond // short, because a machine that is starting up drops the first attempt and the next one follows soon
	userTimeout     = 2 * time.Second        // a link fails if sent data stays unacknowledged for this time
	frameTimeout    = 30 * time.Second       // longest time for the rest of a frame whose header has come
	readBufferBytes = 4 << 10
)

// Frame is an encoded message, so that a message to many links is encoded once.
type Frame []byte

// Encode encodes a message into a frame.
func Encode(v any) (Frame, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, ErrLink.Wrapf(err, "encoding %T", v)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes+len(body)), uint32(len(body))), body...), nil
}

// Link is a connection. Send may be called from any goroutine, Receive from only one.
type Link struct {
	conn        net.Conn
	r           *bufio.Reader
	account     *boundedread.Account // where the memory of frames is taken from
	mu          sync.Mutex
	queued      []Frame
	queuedBytes int
	closed      bool
	wake        chan struct{}
	ended       chan struct{}
}

// NewLink returns a link over a connection, whose frames take memory from the budget. The links from one machine are a group of it.
func NewLink(conn net.Conn, frames *boundedread.Budget) *Link {
	l := &Link{conn: conn, account: frames.RemoteAccount(conn.RemoteAddr().String()), r: bufio.NewReaderSize(conn, readBufferBytes), wake: make(chan struct{}, 1), ended: make(chan struct{})}
	go l.write()
	return l
}

// Dial opens a link to an address and fails after dialTimeout.
func Dial(ctx context.Context, address string, frames *boundedread.Budget) (*Link, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: PrepareOutgoing, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, ErrLink.Wrapf(err, "dialling %s", address)
	}
	return NewLink(conn, frames), nil
}

// RemoteIP returns the IP of the peer.
func (l *Link) RemoteIP() string {
	host, _, _ := net.SplitHostPort(l.conn.RemoteAddr().String())
	return host
}

// Send queues a frame. It closes the link if more than maxQueuedBytes would be queued.
//
// Danger: the queue for a peer that does not read would grow without bound.
func (l *Link) Send(f Frame) {
	l.mu.Lock()
	if l.queuedBytes+len(f) > maxQueuedBytes && l.queuedBytes > 0 {
		l.mu.Unlock()
		l.Close()
		return
	}
	if !l.closed {
		l.queued, l.queuedBytes = append(l.queued, f), l.queuedBytes+len(f)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// SendMessage encodes a message and queues it.
func (l *Link) SendMessage(v any) error {
	f, err := Encode(v)
	if err == nil {
		l.Send(f)
	}
	return err
}

func (l *Link) write() {
	defer l.Close()
	for {
		select {
		case <-l.wake:
		case <-l.ended:
			return
		}
		l.mu.Lock()
		frames := net.Buffers{}
		for _, f := range l.queued {
			frames = append(frames, f)
		}
		l.queued, l.queuedBytes = nil, 0
		l.mu.Unlock()
		if len(frames) == 0 {
			continue
		}
		l.conn.SetWriteDeadline(time.Now().Add(2 * userTimeout))
		if _, err := frames.WriteTo(l.conn); err != nil {
			return
		}
	}
}

// Receive reads the next message into v and waits at most for the timeout. If that is 0 it waits for the beginning without a limit, and
// for the rest for frameTimeout.
func (l *Link) Receive(v any, timeout time.Duration) error {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	l.conn.SetReadDeadline(deadline)
	var header [headerBytes]byte
	if _, err := io.ReadFull(l.r, header[:]); err != nil {
		return ErrLink.Wrapf(err, "reading from %s", l.RemoteIP())
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return ErrLink.Errorf("a frame of %d bytes from %s", n, l.RemoteIP())
	}
	if timeout == 0 {
		// Danger: a peer that stops within a frame would hold its share of the memory for ever.
		l.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	}
	body, err := boundedread.Exactly(l.r, int64(n), l.account)
	if err != nil {
		return ErrLink.Wrapf(err, "reading from %s", l.RemoteIP())
	}
	defer l.account.Release(int64(len(body)))
	if err := cbor.Unmarshal(body, v); err != nil {
		return ErrLink.Wrapf(err, "decoding from %s", l.RemoteIP())
	}
	return nil
}

// AwaitEnd waits until the peer closes the link or sends anything, where it should send nothing.
func (l *Link) AwaitEnd() { l.r.ReadByte() }

// Close closes the link and drops the queued frames.
func (l *Link) Close() {
	l.mu.Lock()
	wasClosed := l.closed
	l.closed, l.queued = true, nil
	l.mu.Unlock()
	if !wasClosed {
		close(l.ended)
		l.conn.Close()
	}
}

// Ended returns a channel that is closed when the link is.
func (l *Link) Ended() <-chan struct{} { return l.ended }

// Serve accepts links until the listener fails, and serves each in its own goroutine. Their frames take memory from the budget. A listener of the package listen fails
// only once it is closed.
func Serve(listener net.Listener, frames *boundedread.Budget, serve func(*Link)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if raw, err := tcp.SyscallConn(); err == nil {
				userTimeoutOption.set(raw)
			}
		}
		go func() {
			l := NewLink(conn, frames)
			defer l.Close()
			serve(l)
		}()
	}
}
