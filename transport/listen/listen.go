// Package listen opens the listeners of all programs and accepts their connections, under one rule: what can pass is waited for
// and logged, what cannot pass is an error at once. It makes no decisions of its own: decide/transient decides which is which.
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

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

// Error is a failure to open a listener that cannot pass.
type Error struct {
	Endpoint Endpoint
	Err      error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: listening on %q: %v", e.Endpoint.Setting, e.Endpoint.Address, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

var errNotSet = errors.New("the setting is missing")

// TCP opens a listener. It waits until the address is free or ctx ends; the error then wraps that of ctx. The listener's Accept
// returns an error only once the listener is closed.
func TCP(ctx context.Context, log LogError, endpoint Endpoint) (net.Listener, error) {
	listener, err := open(ctx, log, endpoint, func() (net.Listener, error) { return net.Listen("tcp", endpoint.Address) })
	if err != nil {
		return nil, err
	}
	return &persistent{Listener: listener, log: log, endpoint: endpoint}, nil
}

// Later returns a listener at once, whose Accept waits like TCP where the address is not free. So the caller's other work is not held
// up. A failure that cannot pass is an error at once if it is the first one; otherwise it is logged and Accept returns it.
func Later(ctx context.Context, log LogError, endpoint Endpoint) (net.Listener, error) {
	ctx, cancel := context.WithCancel(ctx)
	first := make(chan error, 1) // what the first attempt has brought
	p := &pending{endpoint: endpoint, cancel: cancel, ready: make(chan struct{})}
	report := func(err error, message string, keysAndValues ...any) {
		offer(first, nil) // it waits
		log(err, message, keysAndValues...)
	}
	go func() {
		defer close(p.ready)
		p.listener, p.err = TCP(ctx, report, endpoint)
		offer(first, p.err)
		if p.err != nil && ctx.Err() == nil {
			log(p.err, "an address cannot be listened on")
		}
	}()
	if err := <-first; err != nil {
		cancel()
		return nil, err
	}
	return p, nil
}

// offer sends an error unless the channel holds one.
func offer(to chan<- error, err error) {
	select {
	case to <- err:
	default:
	}
}

// pending is a listener that may still wait for its address.
type pending struct {
	endpoint Endpoint
	cancel   context.CancelFunc
	ready    chan struct{} // closed once listener and err are set
	listener net.Listener
	err      error
}

// Accept waits for the address and then for a connection.
func (p *pending) Accept() (net.Conn, error) {
	<-p.ready
	if errors.Is(p.err, context.Canceled) {
		return nil, net.ErrClosed
	}
	if p.err != nil {
		return nil, p.err
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

// open calls listen until it succeeds, fails for good, or ctx ends.
//
// Danger: the port of a process that ended a moment ago may still be held. A process that ended because of it would end at each
// start until it is free.
func open[Listener any](ctx context.Context, log LogError, endpoint Endpoint, listen func() (Listener, error)) (listener Listener, err error) {
	if endpoint.Address == "" { // the system would choose a port that nobody knows
		return listener, &Error{endpoint, errNotSet}
	}
	logWait := func(err error) {
		log(err, "waiting for an address to listen on", "setting", endpoint.Setting, "address", endpoint.Address)
	}
	err = retry.Do(ctx, transient.Listen, logWait, func() (err error) {
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

// ShareLocalPort lets a listener use the local port that the system chooses for an outgoing connection. A net.Dialer calls it as
// its Control.
//
// Danger: where a program's own ports lie in the range of ephemeral ports, an outgoing connection may hold one of them, and no
// process could listen there until it is closed.
func ShareLocalPort(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	}); controlErr != nil {
		return controlErr
	}
	return err
}
