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
	headDefault = 10 * time.Second
	idleDefault = 60 * time.Second
	waiting     = 16 // connections accepted and not yet taken up
)

// Servers accepts clients on one listener, under limits that may change: a connection keeps those that it
// came under.
type Servers struct {
	Handler http.Handler
	mu      sync.Mutex
	limits  routeconfig.Limits
	now     *door   // takes new connections; nil before the first limits
	all     []*door // that may still have connections
}

// door hands connections of the listener to a server of its own.
type door struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	open    int  // connections handed over that have not ended; guarded by Servers.mu
	retired bool // others take new connections; likewise
}

func (d *door) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.closed:
		return nil, net.ErrClosed
	}
}

func (d *door) Close() error {
	d.once.Do(func() { close(d.closed) })
	return nil
}

func (d *door) Addr() net.Addr { return d.address }

// Limit sets the limits for connections from now on.
func (s *Servers) Limit(address net.Addr, l routeconfig.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now != nil && l == s.limits {
		return
	}
	s.limits = l
	head, idle := headDefault, idleDefault
	if l.HeaderReadMs > 0 {
		head = time.Duration(l.HeaderReadMs) * time.Millisecond
	}
	if l.IdleTimeoutMs > 0 {
		idle = time.Duration(l.IdleTimeoutMs) * time.Millisecond
	}
	d := &door{address: address, conns: make(chan net.Conn, waiting), closed: make(chan struct{})}
	d.server = &http.Server{Handler: s.Handler, ReadHeaderTimeout: head, IdleTimeout: idle, MaxHeaderBytes: l.HeaderBytes,
		DisableGeneralOptionsHandler: true, ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				s.ended(d)
			}
		}}
	former := s.now
	s.now, s.all = d, append(s.all, d)
	go d.server.Serve(d)
	if former != nil {
		former.retired = true
		s.drop(former)
	}
}

// ended notes that a connection of a door has ended.
func (s *Servers) ended(d *door) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.open--
	s.drop(d)
}

// drop lets go of a door that is retired and has no connection left.
//
// Danger: limits may change thousands of times in the life of a process, and a server for each would be kept for ever.
func (s *Servers) drop(d *door) {
	if !d.retired || d.open > 0 {
		return
	}
	s.all = slices.DeleteFunc(s.all, func(o *door) bool { return o == d })
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
		d := s.now
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
