// Package retry repeats operations that may fail for a while. It makes no decisions of its own: it tells decide/transient the kind
// of each failure, and carries out what that returns.
package retry

import (
	"context"
	"errors"
	"net"
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

func kind(err error) transient.Failure {
	if errors.Is(err, net.ErrClosed) {
		return transient.Closed
	}
	return transient.Obstacle
}
