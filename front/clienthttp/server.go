package clienthttp

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"willowsill/decide/routeconfig"
	"willowsill/transport/boundedread"
)

const (
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	handoverBacklog    = 16 // connections accepted but not yet taken by a server
)

// Servers serves the clients of one listener. Limits may change while it runs: a connection keeps the limits that
// were in force when it was accepted.
type Servers struct {
	Handler http.Handler
	Heads   *boundedread.Budget // memory for the heads of requests; nil for no limit
	mu      sync.Mutex
	limits  routeconfig.Limits
	current *connServer   // takes new connections; nil until limits are set
	all     []*connServer // servers that take new connections or have open ones
}

// connServer is an http.Server with its limits. It also acts as that server's listener, whose Accept returns the
// connections that Servers.Accept has accepted.
type connServer struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	open    int  // connections taken that have not ended; guarded by Servers.mu
	retired bool // the server takes no more connections, as limits have changed; guarded by Servers.mu
}

func (d *connServer) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.closed:
		return nil, net.ErrClosed
	}
}

func (d *connServer) Close() error {
	d.once.Do(func() { close(d.closed) })
	return nil
}

func (d *connServer) Addr() net.Addr { return d.address }

// HeadLimit returns the limit of a request's head, in bytes.
func HeadLimit(l routeconfig.Limits) int {
	if l.HeaderBytes > 0 {
		return l.HeaderBytes
	}
	return http.DefaultMaxHeaderBytes
}

// SetLimits sets the limits for connections that are accepted from now on.
func (s *Servers) SetLimits(address net.Addr, l routeconfig.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && l == s.limits {
		return
	}
	s.limits = l
	head, idle := defaultHeadTimeout, defaultIdleTimeout
	if l.HeaderReadMs > 0 {
		head = time.Duration(l.HeaderReadMs) * time.Millisecond
	}
	if l.IdleTimeoutMs > 0 {
		idle = time.Duration(l.IdleTimeoutMs) * time.Millisecond
	}
	d := &connServer{address: address, conns: make(chan net.Conn, handoverBacklog), closed: make(chan struct{})}
	d.server = &http.Server{Handler: s.Handler, ReadHeaderTimeout: head, IdleTimeout: idle, MaxHeaderBytes: l.HeaderBytes,
		DisableGeneralOptionsHandler: true, ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				s.connEnded(d)
			}
		}}
	s.Heads.BoundHeads(d.server)
	former := s.current
	s.current, s.all = d, append(s.all, d)
	go d.server.Serve(d)
	if former != nil {
		former.retired = true
		s.closeIfUnused(former)
	}
}

// connEnded records that a connection of a server has ended.
func (s *Servers) connEnded(d *connServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.open--
	s.closeIfUnused(d)
}

// closeIfUnused closes and forgets a server that is retired and has no connections left. The caller holds mu.
//
// Danger: limits may change thousands of times in the life of a process, and a server for each would otherwise be
// kept for ever.
func (s *Servers) closeIfUnused(d *connServer) {
	if !d.retired || d.open > 0 {
		return
	}
	s.all = slices.DeleteFunc(s.all, func(o *connServer) bool { return o == d })
	d.Close()
}

// Accept passes connections from the listener to the current server until the listener fails, and returns the error. A listener
// of the package listen fails only once it is closed.
func (s *Servers) Accept(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		s.mu.Lock()
		d := s.current
		d.open++ // before the connection is passed on, so that the server is not closed meanwhile
		s.mu.Unlock()
		d.conns <- s.Heads.Conn(c)
	}
}

// All returns the servers that take connections or have open ones.
func (s *Servers) All() (servers []*http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.all {
		servers = append(servers, d.server)
	}
	return servers
}
