package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"willowsill/sockets"
)

const (
	headerWait = 10 * time.Second       // that a connection may take to bring a request's header
	headerMost = 32 << 10               // bytes
	stillComes = 600 * time.Millisecond // after the word to stop, new connections are accepted for so long,
	quiet      = 100 * time.Millisecond // and until none has come for so long,
	quietMost  = time.Second            // at most
	crowdWait  = 5 * time.Millisecond   // between two looks for a client's connection to close
)

// connKey is the key of a connection in its requests' contexts.
type connKey struct{}

// conn is one client's connection. It waits while no byte of a next request has come.
type conn struct {
	net.Conn
	server *Server
	once   sync.Once

	// Under the server's lock.
	waits bool
	fresh bool  // no request has come yet
	since int64 // waits since, or the first byte of the present request came, ns
}

// Read notes when the first byte of a request comes: the stock server tells only when a header is whole.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.server.mu.Lock()
		if c.waits {
			c.waits, c.fresh, c.since = false, false, c.server.front.Clock.Now()
		}
		c.server.mu.Unlock()
	}
	return n, err
}

// CloseWrite lets the stock server end an answer to a request that it did not read to its end, so that the
// client gets the answer and no reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// began tells when the first byte of the present request came.
func (c *conn) began() int64 {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.since
}

// Close closes the connection and gives its descriptor back, once.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		c.server.budget.Give(sockets.Clients)
	})
	return err
}

// Server is the clients' side on a socket: it owns the listener and all connections of clients.
type Server struct {
	front    *Front
	budget   *sockets.Budget
	listener net.Listener
	http     http.Server

	mu      sync.Mutex
	conns   map[*conn]struct{}
	arrived time.Time // the last connection
}

// NewServer makes a server on a listener.
func NewServer(f *Front, l net.Listener, b *sockets.Budget) *Server {
	f.closing = make(chan struct{})
	s := &Server{front: f, budget: b, listener: l, conns: map[*conn]struct{}{}}
	s.http = http.Server{Handler: f, ReadHeaderTimeout: headerWait, MaxHeaderBytes: headerMost,
		ErrorLog: zap.NewStdLog(f.Log), ConnState: s.note,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
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
// Danger: out of descriptors the process can neither answer nor reach a replica. At the limit connections
// that wait are closed; what has not been accepted stays where it is until then.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.budget.Take(sockets.Clients) {
		if !l.closeWaiting() {
			time.Sleep(crowdWait)
		}
	}
	l.front.Count.ClientsAccepted.Add(1)
	c := &conn{Conn: accepted, server: l.Server, waits: true, fresh: true, since: l.front.Clock.Now()}
	l.mu.Lock()
	l.arrived = time.Now()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// note follows the stock server: a connection waits again once its answer is out.
func (s *Server) note(n net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		c := n.(*conn)
		s.mu.Lock()
		c.waits, c.since = true, s.front.Clock.Now()
		s.mu.Unlock()
	}
}

// closeWaiting closes the connection that has waited for longest; those that never brought a request come
// last, for theirs is likely to be on its way.
func (s *Server) closeWaiting() bool {
	s.mu.Lock()
	var oldest *conn
	for c := range s.conns {
		if c.waits && (oldest == nil || !c.fresh && oldest.fresh || c.fresh == oldest.fresh && c.since < oldest.since) {
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

// Stop ends the service without losing a query; what is under way is waited for as long as lastWait.
//
// Danger: for a while after the word to stop clients still come, and what the machine has accepted counts as
// taken. The stock shutdown closes the listener first, and loses what waits there; it also waits seconds for
// connections that never brought a request. So all goes on as before for that while, but every answer closes
// its connection; then the listener is closed, and whatever waits.
func (s *Server) Stop(lastWait time.Duration) error {
	close(s.front.closing)
	began := time.Now()
	for wait := stillComes; wait > 0 && time.Since(began) < quietMost; {
		time.Sleep(wait)
		s.mu.Lock()
		wait = time.Until(s.arrived.Add(quiet))
		s.mu.Unlock()
	}
	s.http.RegisterOnShutdown(func() { // once the listener is closed
		for s.closeWaiting() {
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), lastWait)
	defer cancel()
	return s.http.Shutdown(ctx)
}
