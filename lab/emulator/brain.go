package emulator

import (
	"slices"

	"willowsill/balance"
	"willowsill/lab/emulator/rivals"
)

// send, giveUp and ending are what a brain asks for, with the emulator's own numbers of queries.
type send struct {
	query   int32
	part    int
	replica int
	cutAt   int64
}

type giveUp struct {
	query       int32
	part, which int
}

type ending struct {
	query    int32
	final    balance.Outcome
	comeBack int64
}

type round struct {
	sends   []send
	giveUps []giveUp
	endings []ending
	wake    int64
}

// brain decides for one aggregator: the module, or a rival.
type brain interface {
	list(now int64, l balance.Listing)
	take(now int64, number int32, load int, patience int64, over bool, shards []int, weights []float64)
	outcome(now int64, number int32, part, execution int, result balance.Result, took int64)
	decide(now int64) round
	forget(number int32)
}

// module is the true one, called as the node calls it.
type module struct {
	aggregator *balance.Aggregator
	queries    map[int32]*balance.Query
	numbers    map[*balance.Query]int32
	round      round
}

func newModule(now int64, d balance.Deployment, whole []balance.Listing) *module {
	m := &module{aggregator: balance.New(now, d), queries: map[int32]*balance.Query{}, numbers: map[*balance.Query]int32{}}
	m.aggregator.ReplaceList(now, whole, true)
	return m
}

func (m *module) list(now int64, l balance.Listing) {
	m.aggregator.UpdateList(now, []balance.Listing{l})
}

func (m *module) take(now int64, number int32, load int, patience int64, over bool, shards []int, weights []float64) {
	claim := balance.FirstTry
	if over {
		claim = balance.OverQuota
	}
	q := m.aggregator.AddQuery(now, balance.Arrival{Workload: load, Timeout: patience, Parts: len(shards), Priority: claim})
	for i, s := range shards {
		q.AddPart(s, weights[i])
	}
	m.queries[number], m.numbers[q] = q, number
}

func (m *module) outcome(now int64, number int32, part, execution int, result balance.Result, took int64) {
	if q := m.queries[number]; q != nil {
		q.RecordResult(now, part, execution, result, took)
	}
}

func (m *module) decide(now int64) round {
	r := m.aggregator.Decide(now)
	out := round{sends: m.round.sends[:0], giveUps: m.round.giveUps[:0], endings: m.round.endings[:0], wake: r.WakeAt}
	for _, s := range r.Sends {
		out.sends = append(out.sends, send{m.numbers[s.Query], s.Part, s.Replica, s.Deadline})
	}
	for _, c := range r.Cancels {
		out.giveUps = append(out.giveUps, giveUp{m.numbers[c.Query], c.Part, c.Execution})
	}
	for _, e := range r.Endings {
		out.endings = append(out.endings, ending{m.numbers[e.Query], e.Outcome, e.RetryAfter})
	}
	m.round = out
	return out
}

func (m *module) forget(number int32) {
	delete(m.numbers, m.queries[number])
	delete(m.queries, number)
}

// rival is a baseline.
type rival struct{ *rivals.Rival }

func newRival(p *Plan, number int, whole []balance.Listing, sees func(int) (int64, bool)) rival {
	t := rivals.Terms{Policy: p.Policy, Seed: p.Seed*1_000_003 + uint64(number), Shards: p.Shards(), Executions: p.Executions,
		Floor: p.Loads[0].Floor, Truth: sees}
	for _, l := range p.Loads {
		t.Effect = append(t.Effect, l.Effect)
	}
	r := rival{rivals.New(t)}
	for _, l := range whole {
		r.List(l.Replica, l.Cell, true)
	}
	return r
}

func (r rival) list(_ int64, l balance.Listing) { r.List(l.Replica, l.Cell, l.Status == balance.Up) }

func (r rival) take(now int64, number int32, load int, patience int64, _ bool, shards []int, weights []float64) {
	r.Take(now, number, load, patience, shards, weights)
}

func (r rival) outcome(now int64, number int32, part, _ int, result balance.Result, took int64) {
	r.Outcome(now, number, part, result, took)
}

func (r rival) decide(now int64) (out round) {
	sends, endings, wake := r.Decide(now)
	for _, s := range sends {
		out.sends = append(out.sends, send{s.Query, s.Part, s.Replica, s.CutAt})
	}
	for _, e := range endings {
		out.endings = append(out.endings, ending{e.Query, e.Final, 0})
	}
	out.wake = wake
	return out
}

func (r rival) forget(int32) {}

// broken is a module that is broken on purpose, to show that the checker tells.
type broken struct {
	brain
	how string
}

func (b *broken) outcome(now int64, number int32, part, execution int, result balance.Result, took int64) {
	if b.how == "count not lowered on reset" && result == balance.Reset {
		return
	}
	b.brain.outcome(now, number, part, execution, result, took)
}

func (b *broken) list(now int64, l balance.Listing) {
	if b.how == "drain ignored" && l.Status != balance.Up {
		return
	}
	b.brain.list(now, l)
}

func (b *broken) decide(now int64) round {
	r := b.brain.decide(now)
	switch b.how {
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
			if r.endings[i].final == balance.Partial {
				r.endings[i].final = balance.Whole
			}
		}
	}
	return r
}
