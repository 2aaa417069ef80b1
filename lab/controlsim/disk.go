package controlsim

import (
	"errors"

	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// Behaviour of disks; times in ns.
const (
	minSyncTime       = millisecond
	maxSyncTime       = 30 * millisecond // maximum time of a sync on the slowest disk without a fault; other disks have a lower maximum
	writeErrorDelay   = 3 * millisecond  // time until a write to a full disk fails
	unsyncedKeptOneIn = 4                // of the saves whose sync was not finished, one in this number survives a loss of power
	writeBackDelay    = 5 * second       // after this time the operating system writes data to the disk without a sync
)

// errDiskFull is the error of a write to a full disk.
var errDiskFull = errors.New("no space left on device")

// diskImage is the content of a controller's state file.
type diskImage struct {
	state     register.State
	committed register.Order
	rollouts  rollout.Set // committed rollouts
	replicas  []registry.Record
	known     []string // controllers known to one that has no state; then the rest is empty
}

// disk simulates the disk below transport/statestore. A save is written to the operating system's cache and then synced. After a kill
// between the two, the next process still reads the save; after a loss of power the save is mostly lost. A torn write leaves the save
// before it, as the two slots of statestore ensure.
type disk struct {
	world        *world
	syncTime     int64      // maximum time of a sync, ns; the minimum is half of it
	durable      *diskImage // last synced image; nil for an empty disk
	written      *diskImage // image that a new process reads
	stallCount   int
	fullCount    int
	slowSyncTime int64 // maximum time of a sync during a DiskSlow fault, ns; 0 without one
	stalledSyncs []func()
}

// save writes a state and calls done when it is synced or has failed.
func (d *disk) save(m *machine, s controller.Save, done func(error)) {
	incarnation := m.incarnation
	if d.fullCount > 0 {
		d.world.scheduleAfter(writeErrorDelay, func() { m.dispatch(incarnation, func() { done(errDiskFull) }) })
		return
	}
	next := &diskImage{state: s.RegisterState, committed: s.CommittedConfiguration, rollouts: s.Rollouts, replicas: s.Replicas, known: s.KnownControllers}
	if s.Replicas == nil && d.written != nil {
		next.replicas = d.written.replicas
	}
	d.written = next
	took := randomBetween(d.world.rng, d.syncTime/2, d.syncTime)
	if d.slowSyncTime > 0 {
		took = randomBetween(d.world.rng, d.slowSyncTime/2, d.slowSyncTime)
	}
	d.world.scheduleAfter(took, func() { d.finishSync(m, incarnation, next, done) })
}

func (d *disk) finishSync(m *machine, incarnation int, next *diskImage, done func(error)) {
	if d.written != next { // this save was lost with the machine's power or disk, or a newer one replaced it
		return
	}
	if d.stallCount > 0 {
		d.stalledSyncs = append(d.stalledSyncs, func() { d.finishSync(m, incarnation, next, done) })
		return
	}
	d.durable = next
	m.dispatch(incarnation, func() { done(nil) })
}

// stall begins or ends a period in which no sync finishes.
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

// losePower mostly drops a save that is not synced; at random it keeps one in unsyncedKeptOneIn.
func (d *disk) losePower() {
	if d.written != d.durable && d.world.rng.IntN(unsyncedKeptOneIn) == 0 {
		d.durable = d.written
		return
	}
	d.written = d.durable
}

func (d *disk) wipe() { d.durable, d.written = nil, nil }

// load returns the image that a new process reads. An image that is not synced becomes durable after writeBackDelay.
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
