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
	headerMost  = 32 << 10               // bytes
	requestWait = 2 * time.Second        // from connecting, or from the first byte of a later request, to its last
	idleWait    = 2 * time.Second        // that a connection may stand between two requests
	idleShare   = 4                      // and no more than this part of the clients' descriptors stand so
	surely      = 250 * time.Millisecond // a client that means well has sent its request so long after connecting

	stillComes = 600 * time.Millisecond // after the word to stop, new connections are accepted for so long,
	quiet      = 100 * time.Millisecond // and until none has come for so long,
	quietMost  = time.Second            // at most
	crowdWait  = 5 * time.Millisecond   // between two looks for a client's connection to close
)

// connKey is the key of a connection in its requests' contexts.
type connKey struct{}

// phase is where a client's connection stands.
type phase uint8

const (
	silent  phase = iota // no byte has come yet
	idle                 // between two requests
	asking               // a request has begun to come
	served               // it is whole, and its answer is not out
	refused              // it has had its complaint: only what the client still sends is waited for
)

// conn is one client's connection.
type conn struct {
	net.Conn
	server *Server
	once   sync.Once
	renew  int64 // when the deadlines want to be set anew, ns; as rest
	rest   int64 // bytes of the body of a request that was answered unseen; of the reader alone

	// Under the server's lock.
	phase  phase
	spared bool  // the present request was read though its time was over
	since  int64 // silent or idle since, or the first byte of the present request came, ns
	whole  int64 // when the present request has to be whole
	head   head  // of the present request
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
		n, err = c.readLate(b, err)
	}
	for n > 0 {
		if n = c.skip(b[:n]); n > 0 && !c.unseen(b[:n]) {
			break
		}
		n, err = c.Conn.Read(b) // the answer is out, and the next request is waited for
	}
	if n > 0 {
		c.server.mu.Lock()
		if c.phase <= idle {
			now := c.server.front.Clock.Now()
			c.whole, c.head = now+int64(requestWait), head{line: c.head.line[:0]}
			if c.phase == silent { // since its client connected
				c.whole = c.since + int64(requestWait)
			}
			c.phase, c.since = asking, now
		}
		c.head.take(b[:n])
		c.server.mu.Unlock()
	}
	return n, err
}

// readLate reads once more what has come, though the time for it is over; once for a request, or one that comes byte by
// byte would never end. It waits for nothing, so limits stay exact. While a request is served the stock server ends reads
// by such times of its own.
//
// Danger: while the process itself stood, the time went by for connections whose requests had come and nobody read. They would be
// closed, and their queries lost, as it goes on. How late that is noticed tells nothing: for one whose time ended just then, by ms.
func (c *conn) readLate(b []byte, late error) (int, error) {
	c.server.mu.Lock()
	over := c.spared || c.phase >= served
	c.server.mu.Unlock()
	if over {
		return 0, late
	}
	c.Conn.SetReadDeadline(time.Now().Add(requestWait))
	n := c.waiting(b)
	if n == 0 {
		c.Conn.SetReadDeadline(time.Now())
		return 0, late
	}
	c.server.mu.Lock()
	c.spared = true
	if c.phase == silent { // its time begins now
		c.phase, c.since = idle, c.server.front.Clock.Now()
	}
	c.server.mu.Unlock()
	return n, nil
}

// waiting reads what the machine holds of what the client sent, 0 for nothing.
func (c *conn) waiting(b []byte) (n int) {
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

// due is when the present request has to be whole.
func (c *conn) due() int64 {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.whole
}

// twofold tells whether the present request has both a length and an encoding.
func (c *conn) twofold() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.head.length && c.head.coded
}

// taken notes that the present request is whole, and tells whether more may have come than belongs to it.
func (c *conn) taken(length int64) (more bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.phase, c.spared = served, false
	return length < 0 || c.head.body > length
}

// CloseWrite lets the stock server end an answer to a request that it did not read to its end, so that the
// client gets the answer and no reset.
func (c *conn) CloseWrite() error {
	c.server.mu.Lock()
	c.phase = refused
	c.server.mu.Unlock()
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
	s.http = http.Server{Handler: f, ReadHeaderTimeout: requestWait, IdleTimeout: idleWait, MaxHeaderBytes: headerMost,
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
		if !l.makeRoom() {
			time.Sleep(crowdWait)
		}
	}
	l.front.Count.ClientsAccepted.Add(1)
	c := &conn{Conn: accepted, server: l.Server, since: l.front.Clock.Now()}
	l.mu.Lock()
	l.arrived = time.Now()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// note follows the stock server: a connection waits again once its answer is out. With too many that do, the one
// that has been idle for longest is closed.
//
// Danger: clients may hold only so many connections together. Those who ask once and stay would leave none to others,
// long before descriptors run short here.
func (s *Server) note(n net.Conn, state http.ConnState) {
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
	if stand > s.budget.Most(sockets.Clients)/idleShare {
		s.closeOne(only(idle))
	}
}

// makeRoom closes the connection that is least likely to be missed: one that has had its complaint; one that has
// not brought a whole request though a client that means well would have; one between two requests, whose client
// asks again on another. One that has just come is the last, for its request should be on its way.
//
// Danger: silent connections and halves of requests, by hundreds, would push out the idle ones of usual clients and
// then starve their new ones.
func (s *Server) makeRoom() bool {
	sure := s.front.Clock.Now() - int64(surely)
	rank := func(c *conn) int {
		switch {
		case c.phase == refused:
			return 1
		case c.phase != served && c.phase != idle && c.since < sure:
			return 2
		case c.phase == idle:
			return 3
		case c.phase == silent:
			return 4
		}
		return 0
	}
	return s.closeOne(rank)
}

// closeOne closes the connection with the lowest rank above 0, the oldest of these.
func (s *Server) closeOne(rank func(*conn) int) bool {
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
	s.front.Count.ClientsClosed.Add(1)
	chosen.Close()
	return true
}

// only ranks the connections in these phases alike, and no others.
func only(phases ...phase) func(*conn) int {
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
	for wait := stillComes; wait > 0 && time.Since(began) < quietMost; {
		time.Sleep(wait)
		s.mu.Lock()
		wait = time.Until(s.arrived.Add(quiet))
		s.mu.Unlock()
	}
	s.http.RegisterOnShutdown(func() { // once the listener is closed
		for s.closeOne(only(silent, idle)) {
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), lastWait)
	defer cancel()
	return s.http.Shutdown(ctx)
}
