package listen

import (
	"context"
	"errors"
	"net"
	"os"
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

// TestUnusableAddressIsWaitedOut (FAULT): a missing address and one that cannot be used end no program. The wait is logged with the
// setting and the reason, and ends with the program.
func TestUnusableAddressIsWaitedOut(t *testing.T) {
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:one", "127.0.0.1:700000"} {
		ctx, cancel := context.WithCancel(t.Context())
		logged := 0
		_, err := TCP(ctx, func(err error, _ string, keysAndValues ...any) {
			logged++
			must.Error(t, err)
			must.SliceContains(t, keysAndValues, any("bind-addrs.front"))
			cancel()
		}, Endpoint{"bind-addrs.front", address})
		must.ErrorIs(t, err, context.Canceled, must.Sprint(address))
		must.ErrorContains(t, err, "bind-addrs.front", must.Sprint(address))
		must.Eq(t, 1, logged, must.Sprint(address))
	}
}

// TestAnyRefusalIsWaitedOut (FAULT): whatever the system refuses a listener with, it is opened once the system no longer does.
func TestAnyRefusalIsWaitedOut(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.EACCES, syscall.EPERM, syscall.EINVAL, syscall.EAFNOSUPPORT, syscall.ENOPROTOOPT, syscall.EADDRINUSE,
		syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENOBUFS} {
		refusals := 3
		opened, err := open(t.Context(), silent, Endpoint{"bind-addrs.front", "127.0.0.1:1"}, func() (bool, error) {
			refusals--
			if refusals >= 0 {
				return false, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", number)}
			}
			return true, nil
		})
		must.NoError(t, err, must.Sprint(number))
		must.True(t, opened, must.Sprint(number))
	}
}

// TestLaterHoldsNothingUp: the caller goes on while an address is held, and connections are accepted once it is free. Closing ends the
// wait.
func TestLaterHoldsNothingUp(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	endpoint := Endpoint{"metrics", held.Addr().String()}
	listener := Later(t.Context(), silent, endpoint)
	must.Eq(t, endpoint.Address, listener.Addr().String())
	closed := Later(t.Context(), silent, endpoint)
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
