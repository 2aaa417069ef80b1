package emulator

import (
	"math"
	"slices"
	"strconv"

	"willowsill/balance"
	"willowsill/decide/zonehealth"
)

// zoneOfReplica returns the zone of a replica. Zones hold consecutive blocks of replicas.
func (p *Plan) zoneOfReplica(r int) int { return r * max(p.Zones, 1) / p.Replicas }

// zoneOfAggregator returns the zone of an aggregator. Aggregators are assigned round-robin.
func (p *Plan) zoneOfAggregator(aggregator int) int { return aggregator % max(p.Zones, 1) }

// partitioned reports whether a fault "rift" now separates an aggregator and a replica.
func (p *Plan) partitioned(now int64, aggregator, replica int) bool {
	if p.Zones < 2 {
		return false
	}
	a, b := p.zoneOfAggregator(aggregator), p.zoneOfReplica(replica)
	return a != b && slices.ContainsFunc(p.Faults, func(f Fault) bool {
		return f.Kind == "rift" && now >= origin+f.From && now < origin+f.Until &&
			(slices.Contains(f.Zones, a) || slices.Contains(f.Zones, b))
	})
}

// zoneAwareDecider adds the detection of unreachable zones (package zonehealth) to the production module. It calls both in the
// same way as package node does.
type zoneAwareDecider struct {
	*moduleDecider
	plan           *Plan
	zoneHealth     *zonehealth.Tracker
	reports        []balance.SharedReport
	replicaOf      map[executionID]int // the replica of each execution in flight
	sentExecutions map[int32][]int     // by query: number of executions of each part so far
}

// executionID identifies an execution of a query; execution is its index among those of the part.
type executionID struct {
	query           int32
	part, execution int
}

func newZoneAwareDecider(m *moduleDecider, p *Plan, number int, listings []balance.Listing) *zoneAwareDecider {
	d := p.deployment(number)
	w := &zoneAwareDecider{moduleDecider: m, plan: p, replicaOf: map[executionID]int{}, sentExecutions: map[int32][]int{},
		zoneHealth: zonehealth.New(zonehealth.Config{BaseEjection: d.BaseEjection(), MinFailedReplicas: 3, Seed: d.Seed})}
	for _, l := range listings {
		w.updateZoneHealth(l, false)
	}
	return w
}

func (w *zoneAwareDecider) updateZoneHealth(l balance.Listing, known bool) {
	if l.Status == balance.Up {
		w.zoneHealth.ReplicaListed(l.Replica, strconv.Itoa(w.plan.zoneOfReplica(l.Replica)), known)
	} else {
		w.zoneHealth.ReplicaGone(l.Replica)
	}
}

func (w *zoneAwareDecider) updateListing(now int64, l balance.Listing) {
	w.updateZoneHealth(l, true)
	w.moduleDecider.updateListing(now, l)
}

func (w *zoneAwareDecider) recordOutcome(now int64, number int32, part, execution int, result balance.Result, took int64) {
	k := executionID{number, part, execution}
	if replica, inFlight := w.replicaOf[k]; inFlight {
		delete(w.replicaOf, k)
		w.zoneHealth.ExecutionEnded(now, replica, result, took)
	}
	w.moduleDecider.recordOutcome(now, number, part, execution, result, took)
}

func (w *zoneAwareDecider) decide(now int64) decision {
	w.reports = w.zoneHealth.Decide(now, w.reports[:0])
	for _, report := range w.reports {
		w.aggregator.ApplyReport(now, report)
	}
	r := w.moduleDecider.decide(now)
	for _, s := range r.sends {
		for len(w.sentExecutions[s.query]) <= s.part {
			w.sentExecutions[s.query] = append(w.sentExecutions[s.query], 0)
		}
		w.replicaOf[executionID{s.query, s.part, w.sentExecutions[s.query][s.part]}] = s.replica
		w.sentExecutions[s.query][s.part]++
		w.zoneHealth.ExecutionSent(now, s.replica)
	}
	if next := max(w.zoneHealth.Next(), now+w.plan.Tick); next < math.MaxInt64 && (r.wakeAt == 0 || next < r.wakeAt) {
		r.wakeAt = next
	}
	return r
}

func (w *zoneAwareDecider) forget(number int32) {
	for part, n := range w.sentExecutions[number] {
		for k := range n {
			delete(w.replicaOf, executionID{number, part, k})
		}
	}
	delete(w.sentExecutions, number)
	w.moduleDecider.forget(number)
}
