// Package pipenet provides an in-memory network of pipes for tests.
package pipenet

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrRefused is the error of dialling an address without a listener.
var ErrRefused = errors.New("refused")

// Backlog is the number of connections that may wait at a listener. Further calls of Dial block.
const Backlog = 16

// Network connects callers of Dial with listeners. An address with a nil listener never answers: dialling it blocks until the
// context ends.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listener accepts connections of its network. Up to Backlog connections wait to be accepted.
type Listener struct {
	address string
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener at an address and replaces any former one.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{address: address, backlog: make(chan net.Conn, Backlog), closed: make(chan struct{})}
	n.setListener(address, l)
	return l
}

// Blackhole makes dialling an address block until the context ends, as if packets were dropped.
func (n *Network) Blackhole(address string) { n.setListener(address, nil) }

func (n *Network) setListener(address string, l *Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	n.listeners[address] = l
}

// Dial connects to an address. Its signature is that of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, known := n.listeners[address]
	n.mu.Unlock()
	if !known {
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

// Accept waits for the next connection and returns it.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.backlog:
		return c, nil
	}
}

// Close refuses new connections and closes those that wait to be accepted.
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

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return l }

// Network and String let the listener be its own net.Addr.
func (l *Listener) Network() string { return "pipe" }
func (l *Listener) String() string  { return l.address }
