package controlsim

import (
	"errors"

	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// Times of a disk, ns.
const (
	syncLeast     = millisecond
	syncMost      = 30 * millisecond // of the slowest sound disk; each has a usual time of its own below it
	refusedAfter  = 3 * millisecond
	keptOneIn     = 4          // saves that were under way as the power went, one is kept of so many
	writeBackWait = 5 * second // after which the system writes by itself what nobody synced
)

// errDiskFull is what a write to a full disk ends with.
var errDiskFull = errors.New("no space left on device")

// image is what a file holds.
type image struct {
	state     register.State
	committed register.Order
	rollouts  rollout.Set // committed
	list      []registry.Record
}

// disk stands in for transport/statestore. A save is written to the system's memory and then synced: a process that is killed
// between finds the first at its next start, a machine that loses its power mostly does not. Of a torn write the save before
// is found, as statestore's two slots have it.
type disk struct {
	world   *world
	usual   int64  // ns that a sync takes, half of it at the least
	durable *image // synced; nil for an empty disk
	written *image // what a process that starts finds
	stalls  int
	full    int
	slow    int64 // ns that a sync takes, 0 for the usual
	resume  []func()
}

// save writes a state and calls done once it is synced, or has failed.
func (d *disk) save(m *machine, s controller.Save, done func(error)) {
	life := m.life
	if d.full > 0 {
		d.world.after(refusedAfter, func() { m.dispatch(life, func() { done(errDiskFull) }) })
		return
	}
	next := &image{state: s.RegisterState, committed: s.CommittedConfiguration, rollouts: s.Rollouts, list: s.Replicas}
	if s.Replicas == nil && d.written != nil {
		next.list = d.written.list
	}
	d.written = next
	took := between(d.world.draw, d.usual/2, d.usual)
	if d.slow > 0 {
		took = between(d.world.draw, d.slow/2, d.slow)
	}
	d.world.after(took, func() { d.synced(m, life, next, done) })
}

func (d *disk) synced(m *machine, life int, next *image, done func(error)) {
	if d.written != next { // the power went, or the disk was emptied
		return
	}
	if d.stalls > 0 {
		d.resume = append(d.resume, func() { d.synced(m, life, next, done) })
		return
	}
	d.durable = next
	m.dispatch(life, func() { done(nil) })
}

// stall begins or ends a time in which no sync ends.
func (d *disk) stall(begin bool) {
	if begin {
		d.stalls++
		return
	}
	if d.stalls--; d.stalls == 0 {
		resume := d.resume
		d.resume = nil
		for _, f := range resume {
			f()
		}
	}
}

// losePower loses what was not synced, or keeps it.
func (d *disk) losePower() {
	if d.written != d.durable && d.world.draw.IntN(keptOneIn) == 0 {
		d.durable = d.written
		return
	}
	d.written = d.durable
}

func (d *disk) wipe() { d.durable, d.written = nil, nil }

// open is what a process finds at its start.
func (d *disk) open() *image {
	found := d.written
	if found != d.durable {
		d.world.after(writeBackWait, func() {
			if d.written == found {
				d.durable = found
			}
		})
	}
	return found
}
