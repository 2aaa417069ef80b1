package emulator

import (
	"slices"

	"willowsill/balance"
	"willowsill/lab/emulator/baselines"
)

// send is a decision to start an execution. The types of this file identify queries by the emulator's own numbers.
type send struct {
	query    int32
	part     int
	replica  int
	deadline int64
}

// cancellation is a decision to cancel an execution; execution is its index among those of the part.
type cancellation struct {
	query           int32
	part, execution int
}

// ending is a decision to answer a query. retryAfter is the time after which a declined client may retry, 0 for none given.
type ending struct {
	query      int32
	outcome    balance.Outcome
	retryAfter int64
}

// decision is what a decider wants done, and when it wants to be asked again (0 for no such time).
type decision struct {
	sends         []send
	cancellations []cancellation
	endings       []ending
	wakeAt        int64
}

// decider makes the decisions of one aggregator: the production module or a baseline. overQuota says that the customer has
// exceeded its quota.
type decider interface {
	updateListing(now int64, l balance.Listing)
	addQuery(now int64, number int32, workload int, timeout int64, overQuota bool, shards []int, weights []float64)
	recordOutcome(now int64, number int32, part, execution int, result balance.Result, took int64)
	decide(now int64) decision
	forget(number int32)
}

// moduleDecider runs the production module (package balance), called in the same way as package node calls it.
type moduleDecider struct {
	aggregator *balance.Aggregator
	queries    map[int32]*balance.Query
	numbers    map[*balance.Query]int32
	buffers    decision // the last decision, whose slices are reused
}

func newModuleDecider(now int64, d balance.Deployment, listings []balance.Listing) *moduleDecider {
	m := &moduleDecider{aggregator: balance.New(now, d), queries: map[int32]*balance.Query{}, numbers: map[*balance.Query]int32{}}
	m.aggregator.ReplaceList(now, listings, true)
	return m
}

func (m *moduleDecider) updateListing(now int64, l balance.Listing) {
	m.aggregator.UpdateList(now, []balance.Listing{l})
}

func (m *moduleDecider) addQuery(now int64, number int32, workload int, timeout int64, overQuota bool, shards []int, weights []float64) {
	priority := balance.FirstTry
	if overQuota {
		priority = balance.OverQuota
	}
	q := m.aggregator.AddQuery(now, balance.Arrival{Workload: workload, Timeout: timeout, Parts: len(shards), Priority: priority})
	for i, s := range shards {
		q.AddPart(s, weights[i])
	}
	m.queries[number], m.numbers[q] = q, number
}

func (m *moduleDecider) recordOutcome(now int64, number int32, part, execution int, result balance.Result, took int64) {
	if q := m.queries[number]; q != nil {
		q.RecordResult(now, part, execution, result, took)
	}
}

func (m *moduleDecider) decide(now int64) decision {
	r := m.aggregator.Decide(now)
	out := decision{sends: m.buffers.sends[:0], cancellations: m.buffers.cancellations[:0], endings: m.buffers.endings[:0], wakeAt: r.WakeAt}
	for _, s := range r.Sends {
		out.sends = append(out.sends, send{m.numbers[s.Query], s.Part, s.Replica, s.Deadline})
	}
	for _, c := range r.Cancels {
		out.cancellations = append(out.cancellations, cancellation{m.numbers[c.Query], c.Part, c.Execution})
	}
	for _, e := range r.Endings {
		out.endings = append(out.endings, ending{m.numbers[e.Query], e.Outcome, e.RetryAfter})
	}
	m.buffers = out
	return out
}

func (m *moduleDecider) forget(number int32) {
	delete(m.numbers, m.queries[number])
	delete(m.queries, number)
}

// baselineDecider adapts a baseline policy to decider.
type baselineDecider struct{ *baselines.Baseline }

func newBaselineDecider(p *Plan, number int, listings []balance.Listing, oracle func(int) (int64, bool)) baselineDecider {
	c := baselines.Config{Policy: p.Policy, Seed: p.Seed*1_000_003 + uint64(number), Shards: p.Shards(), MaxExecutions: p.MaxExecutions,
		MinCoverage: p.Workloads[0].MinCoverage, Oracle: oracle}
	for _, l := range p.Workloads {
		c.RetrySafety = append(c.RetrySafety, l.RetrySafety)
	}
	r := baselineDecider{baselines.New(c)}
	for _, l := range listings {
		r.SetListed(l.Replica, l.Cell, true)
	}
	return r
}

func (b baselineDecider) updateListing(_ int64, l balance.Listing) {
	b.SetListed(l.Replica, l.Cell, l.Status == balance.Up)
}

func (b baselineDecider) addQuery(now int64, number int32, workload int, timeout int64, _ bool, shards []int, weights []float64) {
	b.AddQuery(now, number, workload, timeout, shards, weights)
}

func (b baselineDecider) recordOutcome(now int64, number int32, part, _ int, result balance.Result, took int64) {
	b.RecordOutcome(now, number, part, result, took)
}

func (b baselineDecider) decide(now int64) (out decision) {
	sends, endings, wakeAt := b.Decide(now)
	for _, s := range sends {
		out.sends = append(out.sends, send{s.Query, s.Part, s.Replica, s.Deadline})
	}
	for _, e := range endings {
		out.endings = append(out.endings, ending{e.Query, e.Outcome, 0})
	}
	out.wakeAt = wakeAt
	return out
}

func (b baselineDecider) forget(int32) {}

// defectiveDecider introduces one of Defects into a decider, to show that the checker detects it.
type defectiveDecider struct {
	decider
	defect string
}

func (d *defectiveDecider) recordOutcome(now int64, number int32, part, execution int, result balance.Result, took int64) {
	if d.defect == "count not lowered on reset" && result == balance.Reset {
		return
	}
	d.decider.recordOutcome(now, number, part, execution, result, took)
}

func (d *defectiveDecider) updateListing(now int64, l balance.Listing) {
	if d.defect == "drain ignored" && l.Status != balance.Up {
		return
	}
	d.decider.updateListing(now, l)
}

func (d *defectiveDecider) decide(now int64) decision {
	r := d.decider.decide(now)
	switch d.defect {
	case "second answer":
		if len(r.endings) > 0 {
			r.endings = append(slices.Clone(r.endings), r.endings[0])
		}
	case "runs before the outcome":
		if len(r.sends) > 0 {
			r.sends = append(slices.Clone(r.sends), r.sends[0])
		}
	case "whole from a part":
		r.endings = slices.Clone(r.endings)
		for i := range r.endings {
			if r.endings[i].outcome == balance.Partial {
				r.endings[i].outcome = balance.Whole
			}
		}
	}
	return r
}
