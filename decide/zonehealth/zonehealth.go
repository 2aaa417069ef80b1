// Package zonehealth knows when a whole zone of replicas is out of this aggregator's reach: cut off, or lost. An aggregator that meets each
// replica once in some seconds would find them out one by one, at the cost of a query each; what fails in one zone and nowhere
// else it finds out by the first query. It does no I/O, has no clock and is owned by one caller at a time.
//
// Decides: which zones are out of reach; by how many of their replicas, and when, one is tried again.
//
// Nothing here chooses a replica. Those of a zone out of reach are passed over by a word to the module, as slow ones are, and
// serve where no other can.
package zonehealth

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"

	"willowsill/balance"
	"willowsill/internal/counters"
)

const (
	failureDivisor   = 4    // an execution that the shortest latency goal / this brought nothing of counts as failed
	firstTrialDelay  = 1    // rests until a zone is tried,
	maxTrialDelay    = 2    // doubled up to so many rests
	trialShare       = 0.25 // of its replicas are let in for a try,
	minTrialReplicas = 2    // and at least so many
)

// Config are what a Tracker is made from.
type Config struct {
	BaseEjection      int64 // the first rest of a replica that is set aside, ns: the scale of all times here
	MinFailedReplicas int   // replicas of one zone that have to fail, with none of it heard between
	Seed              uint64
}

// Validate tells what is wrong with the terms.
func (t Config) Validate() error {
	if t.BaseEjection <= 0 {
		return fmt.Errorf("the rest is %d ns, not above 0", t.BaseEjection)
	}
	if t.MinFailedReplicas < 2 {
		return fmt.Errorf("%d failed replicas tell nothing of a zone, two do at least", t.MinFailedReplicas)
	}
	return nil
}

type replica struct {
	zone        int  // index of its zone + 1, 0 for one that is not listed or has none
	failedEpoch int  // the zone's turn in which it was last counted as failed
	excluded    bool // the module has been told that it is out of reach
	newlyListed bool // listed since its zone went out of reach, and nothing has failed there since
}

type zone struct {
	name           string
	replicas       int // listed
	epoch          int // rises with each answer: failures of earlier turns do not count
	failedReplicas int // replicas that failed in this turn
	lastReached    int64
	unreachable    bool
	trialDelay     int64 // until the next try, ns
	trialAt        int64 // the next try
	inTrial        bool  // some are let in, and nothing has been sent to them yet
	admissionsLeft int   // trying: replicas still to be let in, of
	drawsLeft      int   // so many still to be drawn from
}

// Stats may be read at any time.
type Stats struct {
	FoundUnreachable counters.Count `json:"found"` // how often a zone was found out of reach,
	Recovered        counters.Count `json:"back"`  // and one of those answered again
	Trials           counters.Count `json:"tries"`
}

// MarshalJSON encodes the present values.
func (f *Stats) MarshalJSON() ([]byte, error) {
	type plain Stats
	return json.Marshal((*plain)(f))
}

// Tracker keeps the zones of one aggregator.
type Tracker struct {
	config    Config
	rng       *rand.Rand
	replicas  []replica
	zones     []zone
	changed   bool  // the module's words are to be looked over
	nextTrial int64 // the soonest try, math.MaxInt64 for none
	Figures   *Stats
}

// New makes a Tracker with no replicas.
func New(t Config) *Tracker {
	return &Tracker{config: t, rng: rand.New(rand.NewPCG(t.Seed, t.Seed^0x9e3779b97f4a7c15)), nextTrial: math.MaxInt64, Figures: &Stats{}}
}

// ReplicaListed tells that a replica is listed as up, in which zone, and whether anything was known of it before; an empty zone is none.
func (f *Tracker) ReplicaListed(i int, zoneName string, known bool) {
	for len(f.replicas) <= i {
		f.replicas = append(f.replicas, replica{})
	}
	r, z := &f.replicas[i], 0
	if zoneName != "" {
		z = f.zoneNumber(zoneName)
	}
	if r.zone == z && known {
		return
	}
	f.removeFromZone(i)
	if !known {
		r.excluded = false // the module has forgotten it
	}
	if r.zone = z; z > 0 {
		f.zones[z-1].replicas++
		// Danger: a zone that was lost comes back with new processes; found out by tries alone it would bear nothing for seconds.
		r.newlyListed, f.changed = true, true
	} else if r.excluded {
		f.changed = true
	}
}

// ReplicaGone tells that a replica is no longer listed as up.
func (f *Tracker) ReplicaGone(i int) {
	if i < len(f.replicas) {
		f.removeFromZone(i)
	}
}

func (f *Tracker) removeFromZone(i int) {
	if r := &f.replicas[i]; r.zone > 0 {
		z := &f.zones[r.zone-1]
		z.replicas--
		if r.failedEpoch == z.epoch {
			z.failedReplicas--
		}
		r.zone, r.failedEpoch = 0, -1
		// Danger: with its last replica a zone is no longer one that can take over. If it was the last such zone, the
		// zones out of reach are to be let in again; that their own replicas are unchanged must not hide it.
		f.changed = f.changed || r.excluded || z.replicas == 0
	}
}

func (f *Tracker) zoneNumber(name string) int {
	empty := -1
	for i := range f.zones {
		switch {
		case f.zones[i].name == name:
			return i + 1
		case f.zones[i].replicas == 0:
			empty = i
		}
	}
	// Danger: a list that names new zones all day would grow this for as long as the process runs.
	if empty >= 0 {
		f.zones[empty] = zone{name: name, epoch: 1}
		return empty + 1
	}
	f.zones = append(f.zones, zone{name: name, epoch: 1})
	return len(f.zones)
}

func (f *Tracker) zoneIndex(i int) int {
	if i >= len(f.replicas) {
		return -1
	}
	return f.replicas[i].zone - 1
}

// ExecutionSent tells that an execution was sent to a replica. One is enough of a try: the others of its zone wait for what becomes of it.
func (f *Tracker) ExecutionSent(now int64, i int) {
	z := f.zoneIndex(i)
	if z < 0 || !f.zones[z].inTrial || f.replicas[i].excluded {
		return
	}
	f.zones[z].inTrial = false
	f.Figures.Trials.Add(1)
	f.scheduleTrial(now, z)
}

// scheduleTrial puts off the next try.
func (f *Tracker) scheduleTrial(now int64, z int) {
	v := &f.zones[z]
	v.trialAt = now + int64(float64(v.trialDelay)*(0.5+f.rng.Float64()))
	v.trialDelay = min(2*v.trialDelay, maxTrialDelay*f.config.BaseEjection)
	f.nextTrial = min(f.nextTrial, v.trialAt)
	f.changed = true
}

// ExecutionEnded tells how an execution at a replica ended, and how long after its send, ns.
func (f *Tracker) ExecutionEnded(now int64, i int, result balance.Result, took int64) {
	z := f.zoneIndex(i)
	if z < 0 {
		return
	}
	v, r := &f.zones[z], &f.replicas[i]
	switch result {
	case balance.Fulfilled, balance.Errored, balance.Full: // it can be reached
		v.epoch++
		v.failedReplicas, v.lastReached = 0, now
		if v.unreachable {
			v.unreachable, v.inTrial, f.changed = false, false, true
			f.Figures.Recovered.Add(1)
		}
		return
	case balance.ConnectFailed, balance.Reset:
	default:
		if took < f.config.BaseEjection/failureDivisor {
			return
		}
	}
	// Danger: what was sent before the zone was last heard and fails now is one replica's trouble, or that of the way there.
	if now-took < v.lastReached || r.failedEpoch == v.epoch {
		return
	}
	if r.failedEpoch = v.epoch; r.newlyListed {
		r.newlyListed, f.changed = false, true
	}
	if v.failedReplicas++; v.failedReplicas >= f.config.MinFailedReplicas && !v.unreachable {
		v.unreachable, v.trialDelay, v.inTrial = true, firstTrialDelay*f.config.BaseEjection, false
		for i := range f.replicas {
			if f.replicas[i].zone == z+1 {
				f.replicas[i].newlyListed = false
			}
		}
		f.Figures.FoundUnreachable.Add(1)
		f.scheduleTrial(now, z)
	}
}

// Next is when Decide has something to do at the latest; math.MaxInt64 for no such time.
func (f *Tracker) Next() int64 {
	if f.changed {
		return math.MinInt64
	}
	return f.nextTrial
}

// Decide appends what the module is to be told now.
func (f *Tracker) Decide(now int64, words []balance.SharedReport) []balance.SharedReport {
	if now < f.Next() {
		return words
	}
	f.nextTrial = math.MaxInt64
	sound := 0
	for z := range f.zones {
		v := &f.zones[z]
		// Danger: those let in may all be full or set aside; with no others drawn the zone would be out for ever.
		if v.unreachable && now >= v.trialAt {
			v.inTrial, v.trialAt, f.changed = true, now+v.trialDelay, true
		}
		if v.unreachable {
			f.nextTrial = min(f.nextTrial, v.trialAt)
		}
		v.admissionsLeft, v.drawsLeft = 0, v.replicas
		if v.inTrial {
			v.admissionsLeft = min(max(minTrialReplicas, int(trialShare*float64(v.replicas))), v.replicas)
		}
		if v.replicas > 0 && !v.unreachable {
			sound++
		}
	}
	if !f.changed {
		return words
	}
	f.changed = false
	for i := range f.replicas {
		r := &f.replicas[i]
		bar := false
		// Danger: where no zone is sound the trouble is this aggregator's own, and none is worse than another.
		if r.zone > 0 && sound > 0 {
			v := &f.zones[r.zone-1]
			lets := f.drawForTrial(v)
			bar = v.unreachable && !r.newlyListed && !lets
		}
		if bar != r.excluded {
			r.excluded = bar
			w := balance.SharedReport{Replica: i, DownUntil: now}
			if bar {
				w.DownUntil = math.MaxInt64
			}
			words = append(words, w)
		}
	}
	return words
}

// drawForTrial draws whether the next replica of a zone is let in for a try: just so many are, any as likely as any other.
func (f *Tracker) drawForTrial(v *zone) bool {
	lets := v.admissionsLeft > 0 && f.rng.Float64()*float64(v.drawsLeft) < float64(v.admissionsLeft)
	if v.drawsLeft--; lets {
		v.admissionsLeft--
	}
	return lets
}

// MergeZoneState merges what others say of a replica with what is known here.
func (f *Tracker) MergeZoneState(w balance.SharedReport) balance.SharedReport {
	if w.Replica < len(f.replicas) && f.replicas[w.Replica].excluded {
		w.DownUntil = math.MaxInt64
	}
	return w
}

// UnreachableZones appends the names of the zones that are out of reach.
func (f *Tracker) UnreachableZones(names []string) []string {
	for _, z := range f.zones {
		if z.unreachable {
			names = append(names, z.name)
		}
	}
	return names
}

// ReleaseAll appends what the module is to be told as nobody knows of zones any longer.
func (f *Tracker) ReleaseAll(now int64, words []balance.SharedReport) []balance.SharedReport {
	for i := range f.replicas {
		if f.replicas[i].excluded {
			words = append(words, balance.SharedReport{Replica: i, DownUntil: now})
		}
	}
	return words
}
