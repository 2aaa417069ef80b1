package listen

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

func silent(error, string, ...any) {}

// TestPortStillHeld: a port that another process holds is waited for, and the wait is logged.
func TestPortStillHeld(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	logged := 0
	release := func(err error, _ string, _ ...any) {
		logged++
		must.ErrorIs(t, err, syscall.EADDRINUSE)
		must.NoError(t, held.Close())
	}
	listener, err := TCP(t.Context(), release, Endpoint{"bind-addrs.front", held.Addr().String()})
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	must.Eq(t, 1, logged)
}

// TestWaitEndsWithTheProgram: a program that is stopped while it waits for a port ends the wait.
func TestWaitEndsWithTheProgram(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer held.Close()
	ctx, cancel := context.WithCancel(t.Context())
	_, err = TCP(ctx, func(error, string, ...any) { cancel() }, Endpoint{"bind-addrs.front", held.Addr().String()})
	must.ErrorIs(t, err, context.Canceled)
}

// TestWhatCannotPass: a missing address and one that cannot be used are errors at once that name the setting.
func TestWhatCannotPass(t *testing.T) {
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:one", "127.0.0.1:700000"} {
		_, err := TCP(t.Context(), silent, Endpoint{"bind-addrs.front", address})
		must.ErrorContains(t, err, "bind-addrs.front", must.Sprint(address))
	}
}

// TestLaterHoldsNothingUp: the caller goes on while an address is held, and connections are accepted once it is free. An address
// that cannot be used is an error at once, and closing ends the wait.
func TestLaterHoldsNothingUp(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	endpoint := Endpoint{"metrics", held.Addr().String()}
	listener, err := Later(t.Context(), silent, endpoint)
	must.NoError(t, err)
	must.Eq(t, endpoint.Address, listener.Addr().String())
	closed, err := Later(t.Context(), silent, endpoint)
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	_, err = closed.Accept()
	must.ErrorIs(t, err, net.ErrClosed)
	must.NoError(t, held.Close())
	accepted := make(chan error)
	go func() {
		_, err := listener.Accept()
		accepted <- err
	}()
	for {
		if _, err := net.Dial("tcp", endpoint.Address); err == nil {
			break
		}
	}
	must.NoError(t, <-accepted)
	must.NoError(t, listener.Close())
	_, err = Later(t.Context(), silent, Endpoint{"metrics", "127.0.0.1"})
	must.ErrorContains(t, err, "metrics")
}

// failing fails to accept a number of times, and then is closed.
type failing struct {
	net.Listener
	failures []error
}

func (f *failing) Accept() (net.Conn, error) {
	err := f.failures[0]
	f.failures = f.failures[1:]
	if err == nil {
		near, _ := net.Pipe()
		return near, nil
	}
	return nil, err
}

// TestAcceptOutlastsAShortageOfDescriptors: whatever accept fails with, the next connection is accepted, until the listener is
// closed.
func TestAcceptOutlastsAShortageOfDescriptors(t *testing.T) {
	f := &failing{failures: []error{syscall.EMFILE, syscall.ENOBUFS, syscall.EPROTO, nil, errors.New("unknown"), net.ErrClosed}}
	logged := 0
	p := &persistent{Listener: f, log: func(error, string, ...any) { logged++ }}
	conn, err := p.Accept()
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	_, err = p.Accept()
	must.ErrorIs(t, err, net.ErrClosed)
	must.Eq(t, 2, logged)
}

// TestOwnConnectionHoldsNoPort: the local port of an outgoing connection can be listened on.
func TestOwnConnectionHoldsNoPort(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer target.Close()
	dialer := net.Dialer{Control: ShareLocalPort}
	conn, err := dialer.Dial("tcp", target.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	listener, err := net.Listen("tcp", conn.LocalAddr().String())
	must.NoError(t, err)
	must.NoError(t, listener.Close())
}
