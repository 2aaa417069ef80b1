// Package pipenet is a network of pipes inside the process, for tests.
package pipenet

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrRefused is what dialling an address where nobody listens gives.
var ErrRefused = errors.New("refused")

// Backlog is how many connections may wait at a listener; dialling waits beyond that.
const Backlog = 16

// Network connects listeners with those who dial them. A nil listener's address is silent: a connection to
// it never comes up.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listener accepts connections of its network; some may wait to be accepted.
type Listener struct {
	address string
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen listens at an address.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{address: address, backlog: make(chan net.Conn, Backlog), closed: make(chan struct{})}
	n.setListener(address, l)
	return l
}

// Blackhole makes an address silent for new connections.
func (n *Network) Blackhole(address string) { n.setListener(address, nil) }

func (n *Network) setListener(address string, l *Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	n.listeners[address] = l
}

// Dial connects to an address.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, there := n.listeners[address]
	n.mu.Unlock()
	if !there {
		return nil, ErrRefused
	}
	if l == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-l.closed:
		return nil, ErrRefused
	default:
	}
	near, far := net.Pipe()
	select {
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	case l.backlog <- far:
		return near, nil
	}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.backlog:
		return c, nil
	}
}

// Close refuses what comes from now on, and breaks what has not been accepted.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		for {
			select {
			case c := <-l.backlog:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr is the listener's address.
func (l *Listener) Addr() net.Addr { return l }

// Network and String make the listener its own address.
func (l *Listener) Network() string { return "pipe" }
func (l *Listener) String() string  { return l.address }
