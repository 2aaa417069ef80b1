package controlserver

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"willowsill/decide/controller"
	"willowsill/decide/transient"
	"willowsill/transport/retry"
	"willowsill/transport/statestore"
)

const reopenDelay = 300 * time.Millisecond // delay after a failed attempt to reopen the state file

// openedState is an open state file and what it holds.
type openedState struct {
	store   *statestore.Store
	found   statestore.Found
	damaged bool // the file's content could not be read, and was removed
}

// openState opens the state file in a folder. It waits until the file can be read or ctx ends: also for a file of a newer version, which
// stays as it is until the operators bring that version back or give the controller an empty disk.
//
// Danger: a disk that refuses for a moment still holds what was acknowledged. A controller that took it for an empty one would
// lose that, and several that did so at the same time would lose it for good. Only content that cannot be read is removed: the
// controller then joins as one whose disk was emptied, which doesn't count in the quorum until the others have sent it the
// committed state.
func openState(ctx context.Context, dir string, logWait func(error)) (opened openedState, err error) {
	err = retry.Do(ctx, transient.OpenState, logWait, func() (err error) {
		opened.store, opened.found, err = statestore.Open(dir)
		if !errors.Is(err, statestore.ErrDamaged) {
			return err
		}
		klog.ErrorS(err, "the disk cannot be read; this controller joins as one whose disk is empty")
		opened.damaged = true
		if err := statestore.Remove(dir); err != nil {
			return err
		}
		opened.store, opened.found, err = statestore.Open(dir)
		return err
	})
	return opened, err
}

// saveLoop writes states to the disk one after another, in its own goroutine.
//
// Danger: a disk that hangs must not delay heartbeats and reads.
func (s *Server) saveLoop(store *statestore.Store) {
	for save := range s.saves {
		var err error
		if store == nil {
			if store, _, err = statestore.Open(s.settings.DataDir); err != nil {
				time.Sleep(reopenDelay)
			}
		}
		if err == nil {
			err = store.Save(save)
		}
		if errors.Is(err, statestore.ErrUnusable) {
			store = nil
		}
		s.inputs <- func(now int64) controller.Effects { return s.controller.SaveFinished(now, save.Number, err) }
	}
}
