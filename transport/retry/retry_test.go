package retry

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"willowsill/decide/transient"
)

// TestKinds checks the kinds of failures as the packages net and os report them, also wrapped.
func TestKinds(t *testing.T) {
	for _, c := range []struct {
		err  error
		want transient.Failure
	}{
		{&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EACCES)}, transient.Obstacle},
		{&fs.PathError{Op: "open", Path: "register.db", Err: syscall.EIO}, transient.Obstacle},
		{errors.New("invalid database"), transient.Obstacle},
		{net.ErrClosed, transient.Closed},
		{&net.OpError{Op: "accept", Err: net.ErrClosed}, transient.Closed},
	} {
		must.Eq(t, c.want, kind(fmt.Errorf("wrapped: %w", c.err)), must.Sprint(c.err))
	}
}

// TestDo: an operation is tried again until it succeeds, until what it needs is closed, or until the context ends.
func TestDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		failures, logged := []error{syscall.EADDRINUSE, syscall.EACCES, nil}, 0
		try := func() error {
			err := failures[0]
			failures = failures[1:]
			return err
		}
		log := func(error) { logged++ }
		must.NoError(t, Do(ctx, transient.Listen, log, try))
		must.Eq(t, 1, logged)
		failures = []error{syscall.EADDRINUSE, syscall.EACCES, net.ErrClosed}
		must.ErrorIs(t, Do(ctx, transient.Listen, log, try), net.ErrClosed)
		failures = []error{syscall.EADDRINUSE}
		must.ErrorIs(t, Do(ctx, transient.Listen, func(error) { cancel() }, try), context.Canceled)
	})
}
