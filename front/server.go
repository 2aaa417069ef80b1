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
	maxHeaderBytes = 32 << 10
	// Time from connecting, or from the first byte of a later request, until the request has been read.
	requestTimeout = 2 * time.Second
	idleTimeout    = 2 * time.Second // limit for a connection between two requests
	// At most one in four of the descriptors for clients may belong to idle connections.
	idleDivisor       = 4
	usualRequestDelay = 250 * time.Millisecond // time in which a well-behaved client sends its request after connecting

	stopAcceptTime    = 600 * time.Millisecond // time for which new connections are accepted once Stop is called
	stopQuietTime     = 100 * time.Millisecond // time without a new connection after which a stopping server stops accepting
	maxStopAcceptTime = time.Second            // limit of the time for which a stopping server accepts connections
	descriptorPoll    = 5 * time.Millisecond   // interval between attempts to get a free descriptor
)

// connKey is the context key under which a request's connection is stored.
type connKey struct{}

// phase is the state of a client's connection.
type phase uint8

const (
	connected phase = iota // nothing has been received yet
	idle                   // waiting for the next request
	receiving              // a part of a request has arrived
	serving                // the request has been read but not answered
	errorSent              // an error was sent; the rest of the request is being discarded
)

// conn is one client's connection.
type conn struct {
	net.Conn
	server             *Server
	once               sync.Once
	nextDeadlineUpdate int64 // time at which the deadlines are set again, ns; used only by the goroutine that reads
	// Bytes still to discard of the body of a request that was rejected unread; used only by the goroutine that
	// reads.
	unreadBody int64

	// The following fields are guarded by the server's mutex.
	phase            phase
	readPastDeadline bool // the current request was read after its deadline
	// Time of connecting, of becoming idle or of the current request's first byte, by phase; ns.
	since           int64
	requestDeadline int64       // time by which the current request must have been read, ns
	head            requestHead // scan of the current request's bytes
}

// connection returns the connection of a request, or nil in tests without one.
func connection(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Read records when the first byte of each request arrives, which net/http's server reports only once a whole
// header has arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readAfterDeadline(b, err)
	}
	for n > 0 {
		if n = c.skipBody(b[:n]); n > 0 && !c.rejectUnread(b[:n]) {
			break
		}
		n, err = c.Conn.Read(b) // the request was rejected unread; waits for the next one
	}
	if n > 0 {
		c.server.mu.Lock()
		if c.phase <= idle {
			now := c.server.front.Clock.Now()
			c.requestDeadline, c.head = now+int64(requestTimeout), requestHead{line: c.head.line[:0]}
			if c.phase == connected { // the deadline of a first request runs from connecting
				c.requestDeadline = c.since + int64(requestTimeout)
			}
			c.phase, c.since = receiving, now
		}
		c.head.scan(b[:n])
		c.server.mu.Unlock()
	}
	return n, err
}

// readAfterDeadline reads what has arrived although the read deadline has passed. It never blocks, so deadlines
// stay exact. It does so once per request, as a request that arrives byte by byte would otherwise never end, and
// not while a request is served, when net/http's server ends reads by deadlines of its own.
//
// Danger: while the process is paused, deadlines pass for connections whose requests have arrived but have not
// been read. Without this read they would be closed, and their queries lost, when the process resumes. How late a
// missed deadline is noticed does not show whether there was a pause, as the deadline may have passed just before
// the process resumed.
func (c *conn) readAfterDeadline(b []byte, timeout error) (int, error) {
	c.server.mu.Lock()
	skip := c.readPastDeadline || c.phase >= serving
	c.server.mu.Unlock()
	if skip {
		return 0, timeout
	}
	c.Conn.SetReadDeadline(time.Now().Add(requestTimeout))
	n := c.readBuffered(b)
	if n == 0 {
		c.Conn.SetReadDeadline(time.Now())
		return 0, timeout
	}
	c.server.mu.Lock()
	c.readPastDeadline = true
	if c.phase == connected { // a request that begins now gets a deadline of its own
		c.phase, c.since = idle, c.server.front.Clock.Now()
	}
	c.server.mu.Unlock()
	return n, nil
}

// readBuffered reads what the kernel has buffered from the client, 0 bytes if nothing.
func (c *conn) readBuffered(b []byte) (n int) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok { // an in-memory pipe buffers nothing
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true // does not wait for more, even if there was nothing
	})
	if err != nil {
		return 0
	}
	return n
}

// deadline returns the time by which the current request must have been read, ns.
func (c *conn) deadline() int64 {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.requestDeadline
}

// hasLengthAndEncoding reports whether the current request has both a Content-Length and a Transfer-Encoding.
func (c *conn) hasLengthAndEncoding() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.head.hasLength && c.head.hasEncoding
}

// bodyRead records that the current request has been read, and reports whether bytes beyond it may have arrived.
func (c *conn) bodyRead(length int64) (more bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.phase, c.readPastDeadline = serving, false
	return length < 0 || c.head.bodyBytes > length
}

// CloseWrite closes the sending side. net/http's server calls it after answering a request that it has not read to
// its end, so that the client receives the answer instead of a reset.
func (c *conn) CloseWrite() error {
	c.server.mu.Lock()
	c.phase = errorSent
	c.server.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// requestStart returns the time at which the first byte of the current request arrived, ns.
func (c *conn) requestStart() int64 {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.since
}

// Close closes the connection and returns its descriptor to the budget, once.
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

// Server serves clients on a listener. It owns the listener and all connections.
type Server struct {
	front    *Front
	budget   *sockets.Budget
	listener net.Listener
	http     http.Server

	mu           sync.Mutex
	conns        map[*conn]struct{}
	lastAccepted time.Time // when the last connection was accepted
}

// NewServer returns a server that serves f on l and takes the descriptors of connections from b.
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

// Serve serves clients until Stop has closed the listener.
func (s *Server) Serve() error { return s.http.Serve(listener{s}) }

// listener accepts connections as long as the budget has descriptors.
type listener struct{ *Server }

func (l listener) Addr() net.Addr { return l.listener.Addr() }
func (l listener) Close() error   { return l.listener.Close() }

// Accept returns the next connection.
//
// Danger: a process without free descriptors can neither answer nor reach a replica. At the limit one of the
// present connections is closed for each new one; connections that are not accepted yet stay in the kernel's
// queue.
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

// connStateChanged marks a connection as idle once its answer has been written. If too many connections are idle,
// it closes the one that has been idle longest.
//
// Danger: the number of clients' connections is limited. Clients that send one request and keep their connection
// would leave none for others long before this process is short of descriptors.
func (s *Server) connStateChanged(n net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c := n.(*conn)
	s.mu.Lock()
	c.phase, c.since = idle, s.front.Clock.Now()
	idleConns := 0
	for other := range s.conns {
		if other.phase == idle {
			idleConns++
		}
	}
	s.mu.Unlock()
	if idleConns > s.budget.Limit(sockets.Clients)/idleDivisor {
		s.closeLowest(inPhases(idle))
	}
}

// closeForDescriptor closes the connection whose loss does the least harm, and returns false if none can be
// closed. The order is: one that was answered with an error; one that has not sent a whole request in the usual
// time; an idle one, whose client reconnects to ask again; and last one that has just connected, whose request
// should be on its way.
//
// Danger: hundreds of silent connections and incomplete requests would otherwise displace the idle connections of
// normal clients, and then their new ones.
func (s *Server) closeForDescriptor() bool {
	latest := s.front.Clock.Now() - int64(usualRequestDelay)
	rank := func(c *conn) int {
		switch {
		case c.phase == errorSent:
			return 1
		case c.phase != serving && c.phase != idle && c.since < latest:
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

// closeLowest closes the connection with the lowest rank, the oldest of several. Rank 0 exempts a connection.
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

// inPhases returns a ranking that gives rank 1 to connections in the phases, and exempts others.
func inPhases(phases ...phase) func(*conn) int {
	return func(c *conn) int {
		if slices.Contains(phases, c.phase) {
			return 1
		}
		return 0
	}
}

// Stop shuts the server down without losing a query; it waits at most lastWait for queries in progress.
//
// Danger: clients still connect for a while after the server is told to stop, and a connection counts as accepted
// once the kernel has accepted it. net/http's Shutdown closes the listener first, which loses the connections in
// its queue, and it waits seconds for connections that never sent a request. So the server first goes on accepting
// for a while, with every answer closing its connection; then the listener and the idle connections are closed.
func (s *Server) Stop(lastWait time.Duration) error {
	close(s.front.closing)
	began := time.Now()
	for wait := stopAcceptTime; wait > 0 && time.Since(began) < maxStopAcceptTime; {
		time.Sleep(wait)
		s.mu.Lock()
		wait = time.Until(s.lastAccepted.Add(stopQuietTime))
		s.mu.Unlock()
	}
	s.http.RegisterOnShutdown(func() { // runs once the listener is closed
		for s.closeLowest(inPhases(connected, idle)) {
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), lastWait)
	defer cancel()
	return s.http.Shutdown(ctx)
}
