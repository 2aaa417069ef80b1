package clienthttp

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"willowsill/decide/routeconfig"
)

const (
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	handoverBacklog    = 16 // connections accepted and not yet taken up
)

// Servers accepts clients on one listener, under limits that may change: a connection keeps those that it
// came under.
type Servers struct {
	Handler http.Handler
	mu      sync.Mutex
	limits  routeconfig.Limits
	current *connServer   // takes new connections; nil before the first limits
	all     []*connServer // that may still have connections
}

// connServer hands connections of the listener to a server of its own.
type connServer struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	open    int  // connections handed over that have not ended; guarded by Servers.mu
	retired bool // others take new connections; likewise
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

// SetLimits sets the limits for connections from now on.
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
	former := s.current
	s.current, s.all = d, append(s.all, d)
	go d.server.Serve(d)
	if former != nil {
		former.retired = true
		s.closeIfUnused(former)
	}
}

// connEnded notes that a connection of a door has ended.
func (s *Servers) connEnded(d *connServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.open--
	s.closeIfUnused(d)
}

// closeIfUnused lets go of a door that is retired and has no connection left.
//
// Danger: limits may change thousands of times in the life of a process, and a server for each would be kept for ever.
func (s *Servers) closeIfUnused(d *connServer) {
	if !d.retired || d.open > 0 {
		return
	}
	s.all = slices.DeleteFunc(s.all, func(o *connServer) bool { return o == d })
	d.Close()
}

// Accept takes connections from the listener until it is closed.
func (s *Servers) Accept(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// Danger: out of descriptors for a moment, a server that gives up listening is lost for good.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		d := s.current
		d.open++ // before it is handed over, lest the door be dropped meanwhile
		s.mu.Unlock()
		d.conns <- c
	}
}

// All are the servers that may still have connections.
func (s *Servers) All() (servers []*http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.all {
		servers = append(servers, d.server)
	}
	return servers
}
