package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"willowsill/balance"
	"willowsill/lab/emulator/agenda"
	"willowsill/lab/emulator/checker"
)

// Result is what came of a run. All but Lines counts queries asked in the stretch that counts.
type Result struct {
	Asked      int       `json:"asked"`
	InGoal     int       `json:"in_goal"`
	Late       int       `json:"late"`
	Partial    int       `json:"partial"`
	Declined   int       `json:"declined"`
	Forfeited  int       `json:"forfeited"`
	Revenue    float64   `json:"revenue"` // earned within the goal,
	Most       float64   `json:"most"`    // and asked for
	Executions int       `json:"executions"`
	Further    int       `json:"further"`
	P50        int64     `json:"p50_ns"` // of answers with values
	P99        int64     `json:"p99_ns"`
	P999       int64     `json:"p999_ns"`
	Times      []int64   `json:"times_ns"`  // of answers, at Percents
	AtFaulty   int       `json:"at_faulty"` // executions at replicas while a fault holds there
	Lines      []float64 `json:"lines"`     // share of the revenue, by second asked; 1 where nobody asked
	Loads      []Part    `json:"loads"`     // by load
	Events     int64     `json:"events"`
	Broken     string    `json:"broken,omitempty"` // the first broken rule
	Rule       int       `json:"rule,omitempty"`
}

// Percents are those that the times of answers are kept at.
var Percents = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}

// Part is what came of one load's queries.
type Part struct {
	Name   string `json:"name"`
	Asked  int    `json:"asked"`
	InGoal int    `json:"in_goal"`
}

// Share is the share of the revenue earned within the goal.
func (r *Result) Share() float64 { return r.Revenue / max(r.Most, 1e-9) }

// Tally counts what came of queries. Times in ns from the run's start.
type Tally struct {
	Result
	plan     *Plan
	times    *hdrhistogram.Histogram
	earned   []float64
	possible []float64
}

// NewTally makes an empty one.
func NewTally(p *Plan) *Tally {
	seconds := int(p.Span/1e9) + 1
	t := &Tally{plan: p, times: hdrhistogram.New(1000, max(2*p.longest(), 2000), 3), earned: make([]float64, seconds),
		possible: make([]float64, seconds)}
	for _, l := range p.Loads {
		t.Loads = append(t.Loads, Part{Name: l.Name})
	}
	return t
}

func (t *Tally) counts(asked int64) bool { return asked >= t.plan.From && asked < t.plan.Until }

func (t *Tally) second(asked int64) int { return min(int(asked/1e9), len(t.earned)-1) }

// Ask counts a query that was asked.
func (t *Tally) Ask(asked int64, load int) {
	revenue := t.plan.Loads[load].Revenue
	t.possible[t.second(asked)] += revenue
	if t.counts(asked) {
		t.Asked++
		t.Loads[load].Asked++
		t.Most += revenue
	}
}

// Send counts an execution of a query's part.
func (t *Tally) Send(asked int64, further bool) {
	if t.counts(asked) {
		if t.Executions++; further {
			t.Further++
		}
	}
}

// End books an answer. What a client got by asking again, try by try, earns nothing more: it was late for its first.
func (t *Tally) End(asked, ended int64, load, tries int, final balance.Outcome) {
	l := &t.plan.Loads[load]
	took := ended - asked
	inGoal := final == balance.Whole && took <= l.Goal && tries == 0
	if inGoal {
		t.earned[t.second(asked)] += l.Revenue
	}
	if !t.counts(asked) {
		return
	}
	if final == balance.Whole || final == balance.Partial {
		t.times.RecordValue(took)
	}
	if tries > 0 {
		return
	}
	switch {
	case inGoal:
		t.InGoal++
		t.Loads[load].InGoal++
		t.Revenue += l.Revenue
	case final == balance.Whole:
		t.Late++
	case final == balance.Partial:
		t.Partial++
	case final == balance.Declined:
		t.Declined++
	default:
		t.Forfeited++
	}
}

// Add takes another's counts in.
func (t *Tally) Add(o *Tally) {
	t.Asked += o.Asked
	t.InGoal += o.InGoal
	t.Late += o.Late
	t.Partial += o.Partial
	t.Declined += o.Declined
	t.Forfeited += o.Forfeited
	t.Revenue += o.Revenue
	t.Most += o.Most
	t.Executions += o.Executions
	t.Further += o.Further
	t.times.Merge(o.times)
	for i, l := range o.Loads {
		t.Loads[i].Asked += l.Asked
		t.Loads[i].InGoal += l.InGoal
	}
	for i := range o.earned {
		t.earned[i] += o.earned[i]
		t.possible[i] += o.possible[i]
	}
}

// Sum is the result of what was counted.
func (t *Tally) Sum() *Result {
	r := &t.Result
	r.P50, r.P99, r.P999 = t.times.ValueAtPercentile(50), t.times.ValueAtPercentile(99), t.times.ValueAtPercentile(99.9)
	r.Lines, r.Times = nil, nil
	for _, p := range Percents {
		r.Times = append(r.Times, t.times.ValueAtPercentile(p))
	}
	for i := range int(t.plan.Span / 1e9) {
		share := 1.0
		if t.possible[i] > 0 {
			share = t.earned[i] / t.possible[i]
		}
		r.Lines = append(r.Lines, share)
	}
	return r
}

// Run plays a plan on so many cores; the result does not depend on them.
func Run(p Plan, cores int) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	w := &world{Plan: &p}
	for i := range w.sectors {
		w.sectors[i] = &sector{world: w, agenda: agenda.New(origin)}
	}
	place := func(n int) outlet { return outlet{sector: w.sectors[n%sectors], self: int32(n)} }
	chance := func(n int, of uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, of<<32+uint64(n))) }
	var whole []balance.Listing
	for i := range p.Replicas {
		r := &replica{outlet: place(p.Aggregators + i), Plan: &p, number: i, chance: chance(i, 1), under: map[int]bool{},
			watch: &checker.Replica{Name: fmt.Sprint("replica ", i), Cold: p.ColdShare, Ramp: p.ColdRamp, Times: p.FallMultiple,
				Span: p.FallSpan}}
		r.speed = math.Exp(p.Unlike * r.chance.NormFloat64())
		r.watch.Full = float64(p.Workers) * 1e9 / (float64(p.Work) * r.speed * math.Exp(p.Spread*p.Spread/2))
		w.backs = append(w.backs, r)
		whole = append(whole, balance.Listing{Replica: i, New: true, Cell: p.shardOf(i), Status: balance.Up})
	}
	if p.Policy == "oracle" {
		w.truths = make([]truth, p.Replicas)
		for i, r := range w.backs {
			w.truths[i] = r.truth(origin)
		}
	}
	for i := range p.Aggregators {
		a := &aggregator{outlet: place(i), Plan: &p, clients: chance(i, 2), network: chance(i, 3), queries: map[int32]*asked{}, repeats: map[int32][]int{}, spent: map[int][]int64{},
			news: make([]uint64, p.Replicas), tally: NewTally(&p),
			watch: checker.NewAggregator(fmt.Sprint("aggregator ", i), p.bounds())}
		for n := range p.Loads {
			a.arrivals = append(a.arrivals, p.Arrivals(i, n))
		}
		for _, l := range whole {
			if p.siteOfReplica(l.Replica) == p.siteOf(i) {
				a.list = append(a.list, l)
			}
		}
		a.world, a.watch.Mechanism = w, p.Policy == "module"
		a.wake(origin)
		a.power(origin)
		w.aggs = append(w.aggs, a)
	}
	for _, a := range w.aggs {
		w.entities = append(w.entities, a)
		for n := range p.Loads {
			a.come(origin, n)
		}
		a.moved(origin)
	}
	for _, r := range w.backs {
		w.entities = append(w.entities, r)
		r.stop(origin)
	}
	if p.Store != "" && p.Store != "none" {
		s := &store{outlet: place(p.Aggregators + p.Replicas), Plan: &p, now: newShelves(), kept: newShelves(), chance: chance(0, 5)}
		w.entities = append(w.entities, s)
		if p.Store == "stale" {
			s.cause(origin, agenda.Event{At: origin + staleAfter, To: s.self, Kind: beginsAgain})
		}
	}
	for n, f := range p.Faults {
		for _, number := range f.Replicas {
			r := w.backs[number]
			r.cause(origin, agenda.Event{At: origin + f.From, To: r.self, Kind: begins, Value: int64(n)})
			r.cause(origin, agenda.Event{At: origin + f.Until, To: r.self, Kind: ends, Value: int64(n)})
		}
	}
	for n, f := range p.Faults {
		for _, number := range f.Aggregators {
			a := w.aggs[number]
			a.cause(origin, agenda.Event{At: origin + f.From, To: a.self, Kind: begins, Value: int64(n)})
			a.cause(origin, agenda.Event{At: origin + f.Until, To: a.self, Kind: ends, Value: int64(n)})
		}
	}
	w.run(origin+p.Span+3*p.longest(), cores)
	return w.result(), nil
}

// result sums up all aggregators.
func (w *world) result() *Result {
	all := NewTally(w.Plan)
	for _, a := range w.aggs {
		all.Add(a.tally)
	}
	r := all.Sum()
	for _, b := range w.backs {
		r.AtFaulty += b.met
	}
	r.Events = w.events
	b := w.broken()
	if over := w.overspent(); b == nil && len(over) > 0 {
		b = &over[0]
	}
	if b != nil {
		r.Broken, r.Rule = b.String(), b.Rule
	}
	return r
}

func (p *Plan) bounds() checker.Bounds {
	b := checker.Bounds{Need: 1, Executions: p.Executions, Budgeted: p.Budgeted, Free: p.Free, Share: p.Share, Span: p.BudgetSpan}
	b.Floor, b.Window = p.Loads[0].Floor, p.Loads[0].Window
	return b
}

// deployment is what the module is told.
func (p *Plan) deployment(number int) balance.Deployment {
	d := balance.Deployment{Index: number, Aggregators: p.Aggregators, Seed: p.Seed*1_000_003 + uint64(number), Tick: p.Tick,
		Shards: p.Shards(), Cells: p.Shards(), CellsPerShard: 1, PartsPerCall: 1, MaxExecutions: p.Executions, CanCancel: p.Cancels,
		MaxRetryAfter: 2e9, ColdCapacity: p.ColdShare, WarmUpTime: p.ColdRamp, OverloadFactor: p.FallMultiple, OverloadSpan: p.FallSpan,
		Budgeted: p.Budgeted, RetrySlack: p.Free, RetryRatio: p.Share, RetryWindow: p.BudgetSpan}
	switch p.Break {
	case "budget off":
		d.Budgeted = false
	case "cold guard off":
		d.ColdCapacity, d.WarmUpTime, d.OverloadFactor = 1, 1, 1e9
	}
	for _, l := range p.Loads {
		d.Workloads = append(d.Workloads, balance.Workload{LatencyGoal: l.Goal, LateShare: 0.3, MinCoverage: l.Floor, FullCoverage: 1,
			PartialShare: 0.9, RetrySafety: l.Effect, DedupWindow: l.Window})
	}
	return d
}
