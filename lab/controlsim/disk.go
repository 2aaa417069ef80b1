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
	minSyncTime       = millisecond
	maxSyncTime       = 30 * millisecond // of the slowest sound disk; each has a usual time of its own below it
	writeErrorDelay   = 3 * millisecond
	unsyncedKeptOneIn = 4          // saves that were under way as the power went, one is kept of so many
	writeBackDelay    = 5 * second // after which the system writes by itself what nobody synced
)

// errDiskFull is what a write to a full disk ends with.
var errDiskFull = errors.New("no space left on device")

// diskImage is what a file holds.
type diskImage struct {
	state     register.State
	committed register.Order
	rollouts  rollout.Set // committed
	replicas  []registry.Record
}

// disk stands in for transport/statestore. A save is written to the system's memory and then synced: a process that is killed
// between finds the first at its next start, a machine that loses its power mostly does not. Of a torn write the save before
// is found, as statestore's two slots have it.
type disk struct {
	world        *world
	syncTime     int64      // ns that a sync takes, half of it at the least
	durable      *diskImage // synced; nil for an empty disk
	written      *diskImage // what a process that starts finds
	stallCount   int
	fullCount    int
	slowSyncTime int64 // ns that a sync takes, 0 for the usual
	stalledSyncs []func()
}

// save writes a state and calls done once it is synced, or has failed.
func (d *disk) save(m *machine, s controller.Save, done func(error)) {
	life := m.incarnation
	if d.fullCount > 0 {
		d.world.scheduleAfter(writeErrorDelay, func() { m.dispatch(life, func() { done(errDiskFull) }) })
		return
	}
	next := &diskImage{state: s.RegisterState, committed: s.CommittedConfiguration, rollouts: s.Rollouts, replicas: s.Replicas}
	if s.Replicas == nil && d.written != nil {
		next.replicas = d.written.replicas
	}
	d.written = next
	took := randomBetween(d.world.rng, d.syncTime/2, d.syncTime)
	if d.slowSyncTime > 0 {
		took = randomBetween(d.world.rng, d.slowSyncTime/2, d.slowSyncTime)
	}
	d.world.scheduleAfter(took, func() { d.finishSync(m, life, next, done) })
}

func (d *disk) finishSync(m *machine, life int, next *diskImage, done func(error)) {
	if d.written != next { // the power went, or the disk was emptied
		return
	}
	if d.stallCount > 0 {
		d.stalledSyncs = append(d.stalledSyncs, func() { d.finishSync(m, life, next, done) })
		return
	}
	d.durable = next
	m.dispatch(life, func() { done(nil) })
}

// stall begins or ends a time in which no sync ends.
func (d *disk) stall(begin bool) {
	if begin {
		d.stallCount++
		return
	}
	if d.stallCount--; d.stallCount == 0 {
		resume := d.stalledSyncs
		d.stalledSyncs = nil
		for _, f := range resume {
			f()
		}
	}
}

// losePower loses what was not synced, or keeps it.
func (d *disk) losePower() {
	if d.written != d.durable && d.world.rng.IntN(unsyncedKeptOneIn) == 0 {
		d.durable = d.written
		return
	}
	d.written = d.durable
}

func (d *disk) wipe() { d.durable, d.written = nil, nil }

// load is what a process finds at its start.
func (d *disk) load() *diskImage {
	found := d.written
	if found != d.durable {
		d.world.scheduleAfter(writeBackDelay, func() {
			if d.written == found {
				d.durable = found
			}
		})
	}
	return found
}
