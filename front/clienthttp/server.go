package clienthttp

import (
	"errors"
	"net"
	"net/http"
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
	now     *http.Server
	all     []*http.Server
	door    *door
}

// door hands the connections of the listener to one server.
type door struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
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
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: head, IdleTimeout: idle, MaxHeaderBytes: l.HeaderBytes,
		DisableGeneralOptionsHandler: true}
	d := &door{address: address, conns: make(chan net.Conn, waiting), closed: make(chan struct{})}
	s.now, s.door, s.all = server, d, append(s.all, server)
	go server.Serve(d)
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
		d := s.door
		s.mu.Unlock()
		d.conns <- c
	}
}

// All are the servers that may still have connections.
func (s *Servers) All() []*http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Server(nil), s.all...)
}
