package front

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"willowsill/transport/sockets"
)

const (
	maxHeaderBytes    = 32 << 10               // bytes
	requestTimeout    = 2 * time.Second        // from connecting, or from the first byte of a later request, to its last
	idleTimeout       = 2 * time.Second        // that a connection may stand between two requests
	idleDivisor       = 4                      // and no more than this part of the clients' descriptors stand so
	usualRequestDelay = 250 * time.Millisecond // a client that means well has sent its request so long after connecting

	stopAcceptTime    = 600 * time.Millisecond // after the word to stop, new connections are accepted for so long,
	stopQuietTime     = 100 * time.Millisecond // and until none has come for so long,
	maxStopAcceptTime = time.Second            // at most
	descriptorPoll    = 5 * time.Millisecond   // between two looks for a client's connection to close
)

// connKey is the key of a connection in its requests' contexts.
type connKey struct{}

// phase is where a client's connection stands.
type phase uint8

const (
	connected phase = iota // no byte has come yet
	idle                   // between two requests
	receiving              // a request has begun to come
	serving                // it is whole, and its answer is not out
	errorSent              // it has had its complaint: only what the client still sends is waited for
)

// conn is one client's connection.
type conn struct {
	net.Conn
	server             *Server
	once               sync.Once
	nextDeadlineUpdate int64 // when the deadlines want to be set anew, ns; as rest
	unreadBody         int64 // bytes of the body of a request that was answered unseen; of the reader alone

	// Under the server's lock.
	phase            phase
	readPastDeadline bool        // the present request was read though its time was over
	since            int64       // silent or idle since, or the first byte of the present request came, ns
	requestDeadline  int64       // when the present request has to be whole
	head             requestHead // of the present request
}

// connection is the one that a request came on, nil in tests without one.
func connection(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Read notes when the first byte of a request comes: the stock server tells only when a header is whole.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readAfterDeadline(b, err)
	}
	for n > 0 {
		if n = c.skipBody(b[:n]); n > 0 && !c.rejectUnread(b[:n]) {
			break
		}
		n, err = c.Conn.Read(b) // the answer is out, and the next request is waited for
	}
	if n > 0 {
		c.server.mu.Lock()
		if c.phase <= idle {
			now := c.server.front.Clock.Now()
			c.requestDeadline, c.head = now+int64(requestTimeout), requestHead{line: c.head.line[:0]}
			if c.phase == connected { // since its client connected
				c.requestDeadline = c.since + int64(requestTimeout)
			}
			c.phase, c.since = receiving, now
		}
		c.head.scan(b[:n])
		c.server.mu.Unlock()
	}
	return n, err
}

// readAfterDeadline reads once more what has come, though the time for it is over; once for a request, or one that comes byte by
// byte would never end. It waits for nothing, so limits stay exact. While a request is served the stock server ends reads
// by such times of its own.
//
// Danger: while the process itself stood, the time went by for connections whose requests had come and nobody read. They would be
// closed, and their queries lost, as it goes on. How late that is noticed tells nothing: for one whose time ended just then, by ms.
func (c *conn) readAfterDeadline(b []byte, late error) (int, error) {
	c.server.mu.Lock()
	over := c.readPastDeadline || c.phase >= serving
	c.server.mu.Unlock()
	if over {
		return 0, late
	}
	c.Conn.SetReadDeadline(time.Now().Add(requestTimeout))
	n := c.readBuffered(b)
	if n == 0 {
		c.Conn.SetReadDeadline(time.Now())
		return 0, late
	}
	c.server.mu.Lock()
	c.readPastDeadline = true
	if c.phase == connected { // its time begins now
		c.phase, c.since = idle, c.server.front.Clock.Now()
	}
	c.server.mu.Unlock()
	return n, nil
}

// readBuffered reads what the machine holds of what the client sent, 0 for nothing.
func (c *conn) readBuffered(b []byte) (n int) {
	socket, is := c.Conn.(syscall.Conn)
	if !is { // a pipe holds nothing
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true // also where there was nothing: it does not wait
	})
	if err != nil {
		return 0
	}
	return n
}

// deadline is when the present request has to be whole.
func (c *conn) deadline() int64 {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.requestDeadline
}

// hasLengthAndEncoding tells whether the present request has both a length and an encoding.
func (c *conn) hasLengthAndEncoding() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.head.hasLength && c.head.hasEncoding
}

// bodyRead notes that the present request is whole, and tells whether more may have come than belongs to it.
func (c *conn) bodyRead(length int64) (more bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.phase, c.readPastDeadline = serving, false
	return length < 0 || c.head.bodyBytes > length
}

// CloseWrite lets the stock server end an answer to a request that it did not read to its end, so that the
// client gets the answer and no reset.
func (c *conn) CloseWrite() error {
	c.server.mu.Lock()
	c.phase = errorSent
	c.server.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// requestStart tells when the first byte of the present request came.
func (c *conn) requestStart() int64 {
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
		c.server.budget.Release(sockets.Clients)
	})
	return err
}

// Server is the clients' side on a socket: it owns the listener and all connections of clients.
type Server struct {
	front    *Front
	budget   *sockets.Budget
	listener net.Listener
	http     http.Server

	mu           sync.Mutex
	conns        map[*conn]struct{}
	lastAccepted time.Time // the last connection
}

// NewServer makes a server on a listener.
func NewServer(f *Front, l net.Listener, b *sockets.Budget) *Server {
	f.closing = make(chan struct{})
	s := &Server{front: f, budget: b, listener: l, conns: map[*conn]struct{}{}}
	s.http = http.Server{Handler: f, ReadHeaderTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(f.Log), ConnState: s.connStateChanged,
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
	for !l.budget.Acquire(sockets.Clients) {
		if !l.closeForDescriptor() {
			time.Sleep(descriptorPoll)
		}
	}
	l.front.Counters.ClientsAccepted.Add(1)
	c := &conn{Conn: accepted, server: l.Server, since: l.front.Clock.Now()}
	l.mu.Lock()
	l.lastAccepted = time.Now()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// connStateChanged follows the stock server: a connection waits again once its answer is out. With too many that do, the one
// that has been idle for longest is closed.
//
// Danger: clients may hold only so many connections together. Those who ask once and stay would leave none to others,
// long before descriptors run short here.
func (s *Server) connStateChanged(n net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c := n.(*conn)
	s.mu.Lock()
	c.phase, c.since = idle, s.front.Clock.Now()
	stand := 0
	for other := range s.conns {
		if other.phase == idle {
			stand++
		}
	}
	s.mu.Unlock()
	if stand > s.budget.Limit(sockets.Clients)/idleDivisor {
		s.closeLowest(inPhases(idle))
	}
}

// closeForDescriptor closes the connection that is least likely to be missed: one that has had its complaint; one that has
// not brought a whole request though a client that means well would have; one between two requests, whose client
// asks again on another. One that has just come is the last, for its request should be on its way.
//
// Danger: silent connections and halves of requests, by hundreds, would push out the idle ones of usual clients and
// then starve their new ones.
func (s *Server) closeForDescriptor() bool {
	sure := s.front.Clock.Now() - int64(usualRequestDelay)
	rank := func(c *conn) int {
		switch {
		case c.phase == errorSent:
			return 1
		case c.phase != serving && c.phase != idle && c.since < sure:
			return 2
		case c.phase == idle:
			return 3
		case c.phase == connected:
			return 4
		}
		return 0
	}
	return s.closeLowest(rank)
}

// closeLowest closes the connection with the lowest rank above 0, the oldest of these.
func (s *Server) closeLowest(rank func(*conn) int) bool {
	s.mu.Lock()
	var chosen *conn
	for c := range s.conns {
		if r := rank(c); r > 0 && (chosen == nil || cmp.Or(cmp.Compare(r, rank(chosen)), cmp.Compare(c.since, chosen.since)) < 0) {
			chosen = c
		}
	}
	s.mu.Unlock()
	if chosen == nil {
		return false
	}
	s.front.Counters.ClientsClosed.Add(1)
	chosen.Close()
	return true
}

// inPhases ranks the connections in these phases alike, and no others.
func inPhases(phases ...phase) func(*conn) int {
	return func(c *conn) int {
		if slices.Contains(phases, c.phase) {
			return 1
		}
		return 0
	}
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
	for wait := stopAcceptTime; wait > 0 && time.Since(began) < maxStopAcceptTime; {
		time.Sleep(wait)
		s.mu.Lock()
		wait = time.Until(s.lastAccepted.Add(stopQuietTime))
		s.mu.Unlock()
	}
	s.http.RegisterOnShutdown(func() { // once the listener is closed
		for s.closeLowest(inPhases(connected, idle)) {
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), lastWait)
	defer cancel()
	return s.http.Shutdown(ctx)
}
