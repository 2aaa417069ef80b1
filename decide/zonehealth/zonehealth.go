// Package zonehealth detects that a whole zone of replicas is unreachable for this aggregator, because of a network
// partition or an outage. An aggregator sends to each replica only once in some seconds, and would find the failed
// replicas one by one, at the cost of a query each. Failures in one zone and in no other are detected here with the
// first query. The package does no I/O, has no clock and is used by one caller at a time.
//
// Decides: which zones are unreachable; when one is tried again, and with how many of its replicas.
//
// Nothing here chooses a replica. The replicas of an unreachable zone are excluded by a shared report to the balance
// module, as slow ones are, and serve only where no other replica can.
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
	failureDivisor   = 4    // an execution without an answer counts as failed from BaseEjection divided by this on
	firstTrialDelay  = 1    // multiples of BaseEjection until an unreachable zone is tried for the first time
	maxTrialDelay    = 2    // multiples of BaseEjection that the interval between trials doubles up to
	trialShare       = 0.25 // share of the zone's replicas that are admitted for a trial
	minTrialReplicas = 2    // least number of replicas that are admitted for a trial
)

// Config holds a Tracker's settings.
type Config struct {
	BaseEjection      int64 // how long a replica is ejected when it starts to fail, ns; all times here scale with it
	MinFailedReplicas int   // failed replicas, without an answer in between, from which a zone counts as unreachable
	Seed              uint64
}

// Validate reports settings that cannot be used.
func (c Config) Validate() error {
	if c.BaseEjection <= 0 {
		return fmt.Errorf("the base ejection is %d ns, not above 0", c.BaseEjection)
	}
	if c.MinFailedReplicas < 2 {
		return fmt.Errorf("%d failed replicas do not show that a zone is unreachable; at least two are needed", c.MinFailedReplicas)
	}
	return nil
}

// replica is the state of one replica.
type replica struct {
	zone        int  // index of its zone plus 1; 0 if it is not listed or has no zone
	failedEpoch int  // the zone's epoch in which the replica was last counted as failed
	excluded    bool // the last report on the replica to the balance module excludes it
	newlyListed bool // the replica was listed after its zone became unreachable, and has not failed since
}

// zone is the state of one zone.
type zone struct {
	name           string
	replicas       int   // number of listed replicas
	epoch          int   // incremented by each answer; failures of earlier epochs do not count
	failedReplicas int   // number of replicas that failed in this epoch
	lastReached    int64 // when a replica last answered
	unreachable    bool
	trialDelay     int64 // mean time from one trial to the next, ns; it doubles with each trial up to maxTrialDelay
	trialAt        int64 // time of the next trial
	inTrial        bool  // some replicas are admitted for a trial, and nothing has been sent to them yet
	admissionsLeft int   // during a trial: replicas still to be admitted
	drawsLeft      int   // during a trial: replicas that may still be drawn
}

// Stats are counters. They may be read at any time.
type Stats struct {
	FoundUnreachable counters.Count `json:"found"` // times that a zone became unreachable
	Recovered        counters.Count `json:"back"`  // times that an unreachable zone answered again
	Trials           counters.Count `json:"tries"` // executions sent as a trial to an unreachable zone
}

// MarshalJSON encodes the current values.
func (f *Stats) MarshalJSON() ([]byte, error) {
	type plain Stats
	return json.Marshal((*plain)(f))
}

// Tracker tracks which zones one aggregator can reach.
type Tracker struct {
	config    Config
	rng       *rand.Rand
	replicas  []replica
	zones     []zone
	changed   bool  // which replicas are excluded has to be decided again
	nextTrial int64 // time of the earliest trial; math.MaxInt64 for none
	Stats     *Stats
}

// New returns a Tracker without replicas.
func New(config Config) *Tracker {
	return &Tracker{config: config, rng: rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)), nextTrial: math.MaxInt64,
		Stats: &Stats{}}
}

// ReplicaListed records that a replica is listed as up, in which zone, and whether the balance module already knew it.
// An empty zone name stands for no zone.
func (t *Tracker) ReplicaListed(i int, zoneName string, known bool) {
	for len(t.replicas) <= i {
		t.replicas = append(t.replicas, replica{})
	}
	r, z := &t.replicas[i], 0
	if zoneName != "" {
		z = t.zoneNumber(zoneName)
	}
	if r.zone == z && known {
		return
	}
	t.removeFromZone(i)
	if !known {
		r.excluded = false // the balance module has no state of it
	}
	if r.zone = z; z > 0 {
		t.zones[z-1].replicas++
		// Danger: a zone that was lost comes back with new processes. If only trials revealed that, the zone would
		// serve nothing for seconds.
		r.newlyListed, t.changed = true, true
	} else if r.excluded {
		t.changed = true
	}
}

// ReplicaGone records that a replica is no longer listed as up.
func (t *Tracker) ReplicaGone(i int) {
	if i < len(t.replicas) {
		t.removeFromZone(i)
	}
}

func (t *Tracker) removeFromZone(i int) {
	if r := &t.replicas[i]; r.zone > 0 {
		z := &t.zones[r.zone-1]
		z.replicas--
		if r.failedEpoch == z.epoch {
			z.failedReplicas--
		}
		r.zone, r.failedEpoch = 0, -1
		// Danger: a zone that loses its last replica cannot take over from others. If it was the last reachable zone,
		// the replicas of the unreachable zones must be admitted again, although nothing has changed for them.
		t.changed = t.changed || r.excluded || z.replicas == 0
	}
}

// zoneNumber returns the index of a zone plus 1. It adds the zone if it is new.
func (t *Tracker) zoneNumber(name string) int {
	empty := -1
	for i := range t.zones {
		switch {
		case t.zones[i].name == name:
			return i + 1
		case t.zones[i].replicas == 0:
			empty = i
		}
	}
	// Danger: a replica list that names new zones all the time would make zones grow without limit, so the entry of a
	// zone without replicas is reused.
	if empty >= 0 {
		t.zones[empty] = zone{name: name, epoch: 1}
		return empty + 1
	}
	t.zones = append(t.zones, zone{name: name, epoch: 1})
	return len(t.zones)
}

// zoneIndex returns the index of a replica's zone, or -1 for none.
func (t *Tracker) zoneIndex(i int) int {
	if i >= len(t.replicas) {
		return -1
	}
	return t.replicas[i].zone - 1
}

// ExecutionSent records that an execution was sent to a replica. One is enough for a trial: the zone's other replicas
// are not used until its outcome is known.
func (t *Tracker) ExecutionSent(now int64, i int) {
	z := t.zoneIndex(i)
	if z < 0 || !t.zones[z].inTrial || t.replicas[i].excluded {
		return
	}
	t.zones[z].inTrial = false
	t.Stats.Trials.Add(1)
	t.scheduleTrial(now, z)
}

// scheduleTrial sets the time of the next trial.
func (t *Tracker) scheduleTrial(now int64, z int) {
	v := &t.zones[z]
	v.trialAt = now + int64(float64(v.trialDelay)*(0.5+t.rng.Float64()))
	v.trialDelay = min(2*v.trialDelay, maxTrialDelay*t.config.BaseEjection)
	t.nextTrial = min(t.nextTrial, v.trialAt)
	t.changed = true
}

// ExecutionEnded records how an execution at a replica ended, and how long after it was sent, ns.
func (t *Tracker) ExecutionEnded(now int64, i int, result balance.Result, took int64) {
	z := t.zoneIndex(i)
	if z < 0 {
		return
	}
	v, r := &t.zones[z], &t.replicas[i]
	switch result {
	case balance.Fulfilled, balance.Errored, balance.Full: // the zone can be reached
		v.epoch++
		v.failedReplicas, v.lastReached = 0, now
		if v.unreachable {
			v.unreachable, v.inTrial, t.changed = false, false, true
			t.Stats.Recovered.Add(1)
		}
		return
	case balance.ConnectFailed, balance.Reset:
	default:
		if took < t.config.BaseEjection/failureDivisor {
			return
		}
	}
	// Danger: an execution that was sent before the zone last answered and fails now shows a fault of one replica or of
	// the path to it.
	if now-took < v.lastReached || r.failedEpoch == v.epoch {
		return
	}
	if r.failedEpoch = v.epoch; r.newlyListed {
		r.newlyListed, t.changed = false, true
	}
	if v.failedReplicas++; v.failedReplicas >= t.config.MinFailedReplicas && !v.unreachable {
		v.unreachable, v.trialDelay, v.inTrial = true, firstTrialDelay*t.config.BaseEjection, false
		for i := range t.replicas {
			if t.replicas[i].zone == z+1 {
				t.replicas[i].newlyListed = false
			}
		}
		t.Stats.FoundUnreachable.Add(1)
		t.scheduleTrial(now, z)
	}
}

// Next returns the time by which Decide must be called; math.MaxInt64 for no such time.
func (t *Tracker) Next() int64 {
	if t.changed {
		return math.MinInt64
	}
	return t.nextTrial
}

// Decide appends the shared reports that the balance module needs now.
func (t *Tracker) Decide(now int64, reports []balance.SharedReport) []balance.SharedReport {
	if now < t.Next() {
		return reports
	}
	t.nextTrial = math.MaxInt64
	reachable := 0
	for z := range t.zones {
		v := &t.zones[z]
		// Danger: the admitted replicas may all be full or ejected. If others were not drawn then, the zone would stay
		// unreachable forever.
		if v.unreachable && now >= v.trialAt {
			v.inTrial, v.trialAt, t.changed = true, now+v.trialDelay, true
		}
		if v.unreachable {
			t.nextTrial = min(t.nextTrial, v.trialAt)
		}
		v.admissionsLeft, v.drawsLeft = 0, v.replicas
		if v.inTrial {
			v.admissionsLeft = min(max(minTrialReplicas, int(trialShare*float64(v.replicas))), v.replicas)
		}
		if v.replicas > 0 && !v.unreachable {
			reachable++
		}
	}
	if !t.changed {
		return reports
	}
	t.changed = false
	for i := range t.replicas {
		r := &t.replicas[i]
		exclude := false
		// Danger: if no zone is reachable, the fault is this aggregator's own and no zone is worse than another.
		if r.zone > 0 && reachable > 0 {
			v := &t.zones[r.zone-1]
			admitted := t.drawForTrial(v)
			exclude = v.unreachable && !r.newlyListed && !admitted
		}
		if exclude != r.excluded {
			r.excluded = exclude
			report := balance.SharedReport{Replica: i, DownUntil: now}
			if exclude {
				report.DownUntil = math.MaxInt64
			}
			reports = append(reports, report)
		}
	}
	return reports
}

// drawForTrial draws whether the next replica of a zone is admitted for a trial. It admits exactly the wanted number,
// each replica with the same probability.
func (t *Tracker) drawForTrial(v *zone) bool {
	admitted := v.admissionsLeft > 0 && t.rng.Float64()*float64(v.drawsLeft) < float64(v.admissionsLeft)
	if v.drawsLeft--; admitted {
		v.admissionsLeft--
	}
	return admitted
}

// MergeZoneState adds to a shared report on a replica that its zone is unreachable.
func (t *Tracker) MergeZoneState(report balance.SharedReport) balance.SharedReport {
	if report.Replica < len(t.replicas) && t.replicas[report.Replica].excluded {
		report.DownUntil = math.MaxInt64
	}
	return report
}

// UnreachableZones appends the names of the zones that are unreachable.
func (t *Tracker) UnreachableZones(names []string) []string {
	for _, z := range t.zones {
		if z.unreachable {
			names = append(names, z.name)
		}
	}
	return names
}

// ReleaseAll appends shared reports that admit all replicas again, for when zones are no longer watched.
func (t *Tracker) ReleaseAll(now int64, reports []balance.SharedReport) []balance.SharedReport {
	for i := range t.replicas {
		if t.replicas[i].excluded {
			reports = append(reports, balance.SharedReport{Replica: i, DownUntil: now})
		}
	}
	return reports
}
