package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"willowsill/sockets"
)

const (
	headerWait = 30 * time.Second       // that a new connection may take to bring its first header
	headerMost = 32 << 10               // bytes
	stillComes = 600 * time.Millisecond // after the word to stop, new connections are accepted for so long
	lastWait   = 3 * time.Second        // and what is under way then is waited for so long
	crowdWait  = 5 * time.Millisecond   // between two looks for a client's connection to close
)

// firstByte is the key of a connection in a request's context.
type firstByte struct{}

// conn is one client's connection.
type conn struct {
	net.Conn
	active atomic.Int64 // when the first byte of its present request came, ns
	since  int64        // in its present state
	state  http.ConnState
	once   sync.Once
	closed func()
}

// Close closes the connection and gives its descriptor back, once.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}

// Server is the clients' side on a socket: it owns the listener and all connections of clients.
type Server struct {
	front    *Front
	budget   *sockets.Budget
	listener *net.TCPListener
	http     http.Server

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer makes a server on a listener.
func NewServer(f *Front, l *net.TCPListener, b *sockets.Budget) *Server {
	f.closing = make(chan struct{})
	s := &Server{front: f, budget: b, listener: l, conns: map[*conn]struct{}{}}
	s.http = http.Server{Handler: f, ReadHeaderTimeout: headerWait, MaxHeaderBytes: headerMost,
		ErrorLog: zap.NewStdLog(f.Log), ConnState: s.note,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, firstByte{}, c)
		}}
	return s
}

// Serve serves until Stop has closed the listener.
func (s *Server) Serve() error { return s.http.Serve(listener{s}) }

// listener accepts clients as far as there are descriptors.
type listener struct{ *Server }

func (l listener) Addr() net.Addr { return l.listener.Addr() }
func (l listener) Close() error   { return l.listener.Close() }

// Accept returns the next connection.
//
// Danger: out of descriptors the process can neither answer nor reach a replica. At the limit idle
// connections are closed, the oldest first; what waits to be accepted waits.
func (l listener) Accept() (net.Conn, error) {
	for !l.budget.Take(sockets.Clients) {
		if !l.closeIdle() {
			time.Sleep(crowdWait)
		}
	}
	accepted, err := l.listener.AcceptTCP()
	if err != nil {
		l.budget.Give(sockets.Clients)
		return nil, err
	}
	l.front.Count.ClientsAccepted.Add(1)
	c := &conn{Conn: accepted, since: l.front.Clock.Now(), state: http.StateNew}
	c.active.Store(c.since)
	c.closed = func() {
		l.budget.Give(sockets.Clients)
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// note follows the state of a connection.
func (s *Server) note(n net.Conn, state http.ConnState) {
	c := n.(*conn)
	now := s.front.Clock.Now()
	if state == http.StateActive {
		c.active.Store(now)
	}
	s.mu.Lock()
	c.state, c.since = state, now
	s.mu.Unlock()
}

// closeIdle closes the connection that has been idle for longest, or one that never brought a request.
func (s *Server) closeIdle() bool {
	s.mu.Lock()
	var oldest *conn
	for c := range s.conns {
		if c.state == http.StateActive {
			continue
		}
		if oldest == nil || c.state == http.StateIdle && oldest.state == http.StateNew ||
			c.state == oldest.state && c.since < oldest.since {
			oldest = c
		}
	}
	s.mu.Unlock()
	if oldest == nil {
		return false
	}
	s.front.Count.ClientsClosed.Add(1)
	oldest.Close()
	return true
}

// Stop ends the service without losing a query.
//
// Danger: for a while after the word to stop clients still come, and what the machine has accepted counts as
// taken. The stock shutdown closes the listener first, and loses what waits there. So all goes on as before
// for that while, but every answer closes its connection; then the listener is closed.
func (s *Server) Stop(ctx context.Context) error {
	close(s.front.closing)
	select {
	case <-time.After(stillComes):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, lastWait)
	defer cancel()
	return s.http.Shutdown(ctx)
}
