package emulator

import (
	"math"
	"slices"
	"strconv"

	"willowsill/balance"
	"willowsill/decide/zonehealth"
)

// zoneOfReplica is the zone that a replica stands in.
func (p *Plan) zoneOfReplica(r int) int { return r * max(p.Zones, 1) / p.Replicas }

// zoneOf is the zone that an aggregator stands in.
func (p *Plan) zoneOf(aggregator int) int { return aggregator % max(p.Zones, 1) }

// apart tells whether a rift lies between an aggregator and a replica now.
func (p *Plan) apart(now int64, aggregator, replica int) bool {
	if p.Zones < 2 {
		return false
	}
	a, b := p.zoneOf(aggregator), p.zoneOfReplica(replica)
	return a != b && slices.ContainsFunc(p.Faults, func(f Fault) bool {
		return f.Kind == "rift" && now >= origin+f.From && now < origin+f.Until &&
			(slices.Contains(f.Zones, a) || slices.Contains(f.Zones, b))
	})
}

// watched is the module with a decider of zones out of reach beside it, called as the node calls it.
type watched struct {
	*module
	plan       *Plan
	zoneHealth *zonehealth.Tracker
	words      []balance.SharedReport
	to         map[run]int     // the replica of each execution that is out
	next       map[int32][]int // by query: executions so far of each part
}

type run struct {
	query           int32
	part, execution int
}

func newWatched(m *module, p *Plan, number int, whole []balance.Listing) *watched {
	d := p.deployment(number)
	w := &watched{module: m, plan: p, to: map[run]int{}, next: map[int32][]int{},
		zoneHealth: zonehealth.New(zonehealth.Config{BaseEjection: d.BaseEjection(), MinFailedReplicas: 3, Seed: d.Seed})}
	for _, l := range whole {
		w.tell(l, false)
	}
	return w
}

func (w *watched) tell(l balance.Listing, known bool) {
	if l.Status == balance.Up {
		w.zoneHealth.ReplicaListed(l.Replica, strconv.Itoa(w.plan.zoneOfReplica(l.Replica)), known)
	} else {
		w.zoneHealth.ReplicaGone(l.Replica)
	}
}

func (w *watched) list(now int64, l balance.Listing) {
	w.tell(l, true)
	w.module.list(now, l)
}

func (w *watched) outcome(now int64, number int32, part, execution int, result balance.Result, took int64) {
	k := run{number, part, execution}
	if to, out := w.to[k]; out {
		delete(w.to, k)
		w.zoneHealth.ExecutionEnded(now, to, result, took)
	}
	w.module.outcome(now, number, part, execution, result, took)
}

func (w *watched) decide(now int64) round {
	w.words = w.zoneHealth.Decide(now, w.words[:0])
	for _, word := range w.words {
		w.aggregator.ApplyReport(now, word)
	}
	r := w.module.decide(now)
	for _, s := range r.sends {
		for len(w.next[s.query]) <= s.part {
			w.next[s.query] = append(w.next[s.query], 0)
		}
		w.to[run{s.query, s.part, w.next[s.query][s.part]}] = s.replica
		w.next[s.query][s.part]++
		w.zoneHealth.ExecutionSent(now, s.replica)
	}
	if next := max(w.zoneHealth.Next(), now+w.plan.Tick); next < math.MaxInt64 && (r.wake == 0 || next < r.wake) {
		r.wake = next
	}
	return r
}

func (w *watched) forget(number int32) {
	for part, n := range w.next[number] {
		for k := range n {
			delete(w.to, run{number, part, k})
		}
	}
	delete(w.next, number)
	w.module.forget(number)
}
