// Package retry repeats operations that may fail for a while. It makes no decisions of its own: it tells decide/transient the kind
// of each failure, and carries out what that returns.
package retry

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"syscall"
	"time"

	"willowsill/decide/transient"
)

// Do calls try until it succeeds, until it is to be given up, or until ctx ends. It returns the last failure, or the error of ctx.
// log is called with the failures that are to be logged.
func Do(ctx context.Context, operation transient.Operation, log func(error), try func() error) error {
	err := try()
	if err == nil {
		return nil
	}
	started := time.Now()
	attempts := transient.NewAttempts(operation)
	for ; err != nil; err = try() {
		decision := attempts.Failed(int64(time.Since(started)), kind(err))
		if decision.GiveUp {
			return err
		}
		if decision.Log {
			log(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(decision.Delay)):
		}
	}
	return nil
}

// kinds are the failures that the system reports by a number. A number that stands in none of them is a FileRefused if the failed
// operation was one on a file.
var kinds = map[syscall.Errno]transient.Failure{
	syscall.EADDRINUSE:    transient.AddressTaken,
	syscall.EADDRNOTAVAIL: transient.AddressAbsent,
	syscall.ENETDOWN:      transient.AddressAbsent,
	syscall.EMFILE:        transient.Exhausted,
	syscall.ENFILE:        transient.Exhausted,
	syscall.ENOBUFS:       transient.Exhausted,
	syscall.ENOMEM:        transient.Exhausted,
}

func kind(err error) transient.Failure {
	if errors.Is(err, net.ErrClosed) {
		return transient.Closed
	}
	var number syscall.Errno
	if errors.As(err, &number) {
		if failure, known := kinds[number]; known {
			return failure
		}
	}
	var path *fs.PathError
	if errors.As(err, &path) {
		return transient.FileRefused
	}
	return transient.Other
}
