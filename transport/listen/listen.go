// Package listen opens the listeners of all programs and accepts their connections, under one rule: whatever stands in the way is
// waited for and logged. It makes no decisions of its own: decide/transient decides how.
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"

	"willowsill/decide/transient"
	"willowsill/transport/retry"
)

// LogError writes a line of the program's log, as klog.ErrorS does.
type LogError func(err error, message string, keysAndValues ...any)

// Endpoint is where a listener is to be opened.
type Endpoint struct {
	Setting string // the setting that the address comes from, for the log and for errors
	Address string // host and port
}

// Error is a wait for an address that was ended.
type Error struct {
	Endpoint Endpoint
	Err      error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: listening on %q: %v", e.Endpoint.Setting, e.Endpoint.Address, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

var errNotSet = errors.New("the setting is missing")

// TCP opens a listener. It waits until the address can be listened on or ctx ends; the error then wraps that of ctx. The listener's
// Accept returns an error only once the listener is closed.
func TCP(ctx context.Context, log LogError, endpoint Endpoint) (net.Listener, error) {
	listener, err := open(ctx, log, endpoint, func() (net.Listener, error) { return net.Listen("tcp", endpoint.Address) })
	if err != nil {
		return nil, err
	}
	return &persistent{Listener: listener, log: log, endpoint: endpoint}, nil
}

// Later returns a listener at once, whose Accept waits like TCP where the address cannot be listened on yet. So the caller's other work
// is not held up. Accept returns net.ErrClosed once the listener is closed or ctx has ended before the address could be had.
func Later(ctx context.Context, log LogError, endpoint Endpoint) net.Listener {
	ctx, cancel := context.WithCancel(ctx)
	p := &pending{endpoint: endpoint, cancel: cancel, ready: make(chan struct{})}
	go func() {
		defer close(p.ready)
		p.listener, _ = TCP(ctx, log, endpoint)
	}()
	return p
}

// pending is a listener that may still wait for its address.
type pending struct {
	endpoint Endpoint
	cancel   context.CancelFunc
	ready    chan struct{} // closed once listener is set
	listener net.Listener  // nil if the wait was ended
}

// Accept waits for the address and then for a connection.
func (p *pending) Accept() (net.Conn, error) {
	<-p.ready
	if p.listener == nil {
		return nil, net.ErrClosed
	}
	return p.listener.Accept()
}

// Close ends the wait or the listener.
func (p *pending) Close() error {
	p.cancel()
	<-p.ready
	if p.listener == nil {
		return nil
	}
	return p.listener.Close()
}

// Addr returns the address as it was asked for.
func (p *pending) Addr() net.Addr { return address(p.endpoint.Address) }

// address is a TCP address as text.
type address string

// Network returns tcp.
func (address) Network() string { return "tcp" }

func (a address) String() string { return string(a) }

// UDP opens a socket for datagrams. It waits like TCP.
func UDP(ctx context.Context, log LogError, endpoint Endpoint) (net.PacketConn, error) {
	return open(ctx, log, endpoint, func() (net.PacketConn, error) { return net.ListenPacket("udp", endpoint.Address) })
}

// open calls listen until it succeeds or ctx ends.
func open[Listener any](ctx context.Context, log LogError, endpoint Endpoint, listen func() (Listener, error)) (listener Listener, err error) {
	logWait := func(err error) {
		log(err, "waiting for an address to listen on", "setting", endpoint.Setting, "address", endpoint.Address)
	}
	err = retry.Do(ctx, transient.Listen, logWait, func() (err error) {
		if endpoint.Address == "" { // the system would choose a port that nobody knows
			return errNotSet
		}
		listener, err = listen()
		return err
	})
	if err != nil {
		return listener, &Error{endpoint, err}
	}
	return listener, nil
}

// persistent is a listener whose Accept fails only once it is closed.
type persistent struct {
	net.Listener
	log      LogError
	endpoint Endpoint
}

// Accept returns the next connection. It waits through failures, which it logs.
//
// Danger: accept fails while the process has no free descriptors. A server that stopped accepting then would live on and serve
// nobody.
func (p *persistent) Accept() (conn net.Conn, err error) {
	logWait := func(err error) {
		p.log(err, "a connection cannot be accepted", "setting", p.endpoint.Setting, "address", p.endpoint.Address)
	}
	err = retry.Do(context.Background(), transient.Accept, logWait, func() (err error) {
		conn, err = p.Listener.Accept()
		return err
	})
	return conn, err
}
