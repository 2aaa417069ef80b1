// Package fleet plays many aggregators, each with the true decision module and the true decider of what is shared,
// against model replicas and a model store in virtual time. One seed gives one day, always the same. It measures; it
// is no part of what serves.
package fleet

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
	"willowsill/commons"
)

const (
	ms     = int64(1e6)
	second = int64(1e9)
	origin = 1000 * second // virtual time starts here, so that replicas can have started before
)

// Plan is one day. Times in ns.
type Plan struct {
	Aggregators int
	Replicas    int
	Holders     int     // replicas of each shard
	Parts       int     // of a query, each of another shard
	Rate        float64 // queries a second at each aggregator
	Work        float64 // ns that a part takes, the median
	Workers     int     // parts that a replica works on at a time
	Goal        int64
	Patience    int64
	Span        int64 // of the day
	From, Until int64 // of the trouble, from the day's start
	Trouble     Trouble
	Store       StoreMode
	Customers   []Customer
	Seed        uint64
}

// Customer is one whose queries are counted apart.
type Customer struct {
	Name  string
	Share float64 // of the queries
	Quota float64 // queries a second over all aggregators; 0 for none
}

// Trouble is what befalls the replicas.
type Trouble string

const (
	Calm     Trouble = "calm"
	Errors   Trouble = "one replica errors fast"
	Hung     Trouble = "one replica hangs"
	SlowOne  Trouble = "one replica 5x slow"
	Flapping Trouble = "one hangs every other 4 s"
	Restart  Trouble = "a third restarts at once"
	Greedy   Trouble = "one customer at 3x its quota"
)

// Troubles are all but calm.
var Troubles = []Trouble{Errors, Hung, SlowOne, Flapping, Restart, Greedy}

// Day is a plan of the usual size: each aggregator meets a replica every few seconds.
func Day(trouble Trouble, store StoreMode, seed uint64) Plan {
	p := Plan{Aggregators: 100, Replicas: 60, Holders: 5, Parts: 4, Rate: 2, Work: 40e6, Workers: 2, Goal: 250 * ms,
		Patience: 1500 * ms, Span: 34 * second, From: 8 * second, Until: 28 * second, Trouble: trouble, Store: store,
		Seed: seed}
	if trouble == Greedy {
		p.Work, p.Rate, p.Goal = 58e6, 2.5, 400*ms
		p.Customers = []Customer{{"greedy", 0.4, 110}, {"b", 0.15, 42}, {"c", 0.15, 42}, {"d", 0.15, 42}, {"e", 0.15, 42}}
	}
	return p
}

// Result is what came of a day; Revenue and the shares count queries that came in the trouble's time.
type Result struct {
	Asked, InGoal, Late, Declined, Forfeited int
	Revenue, Worth                           float64 // earned within the goal, and asked for
	Wrong                                    int     // queries without their one answer in time
	AtSick                                   int     // executions at the replica in trouble
	Over                                     map[string]float64
	Rounds, Commands, Bytes                  int64              // with the store
	Share                                    map[string]float64 // of each customer's worth
}

// Served is the share of the revenue earned within the goal.
func (r Result) Served() float64 { return r.Revenue / max(r.Worth, 1e-9) }

// event is something at a time.
type event struct {
	at  int64
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is one day being played.
type world struct {
	Plan
	now     int64
	seq     int
	events  queue
	backs   []*replica
	aggs    []*aggregator
	store   *modelStore
	result  Result
	earned  map[string]float64
	worth   map[string]float64
	buckets map[string]*bucket
	served  map[string]*bucket
}

// bucket reckons truly which queries are within a quota.
type bucket struct {
	tokens float64
	at     int64
}

func (w *world) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.events, event{max(t, w.now), w.seq, do})
}

func (w *world) trouble() bool { return w.now >= origin+w.From && w.now < origin+w.Until }

// replica is a model: workers that take parts from one queue.
type replica struct {
	w       *world
	chance  *rand.Rand
	index   int
	cell    int
	started int64 // 0 for long ago
	up      bool
	queue   []*execution
	busy    []*execution
}

type mode uint8

const (
	sound mode = iota
	erring
	hung
	slow
)

func (r *replica) mode() mode {
	w := r.w
	if r.index != 0 || !w.trouble() {
		return sound
	}
	switch w.Trouble {
	case Errors:
		return erring
	case Hung:
		return hung
	case SlowOne:
		return slow
	case Flapping:
		if (w.now-origin-w.From)/(4*second)%2 == 0 {
			return hung
		}
	}
	return sound
}

// execution is one run of a part.
type execution struct {
	a      *aggregator
	q      *query
	part   int
	number int
	to     *replica
	sent   int64
	over   bool
	done   int // counts services begun, so that an old end does nothing
}

const (
	way       = 500_000 // ns to a replica, and back
	coldShare = 0.2
	coldRamp  = 9 * second
	listDelay = second // until the list tells of a change
	errorTime = 2 * ms
)

// arrive takes an execution in.
func (r *replica) arrive(e *execution) {
	if e.over {
		return
	}
	if !r.up {
		e.end(balance.ConnectFailed)
		return
	}
	if r.index == 0 && r.w.trouble() {
		r.w.result.AtSick++
	}
	switch r.mode() {
	case erring:
		r.w.at(r.w.now+errorTime, func() { e.end(balance.Errored) })
	case hung: // it takes the part and says nothing
	default:
		r.queue = append(r.queue, e)
		r.serve()
	}
}

// serve puts waiting parts to work.
func (r *replica) serve() {
	for len(r.busy) < r.w.Workers && len(r.queue) > 0 {
		e := r.queue[0]
		r.queue = r.queue[1:]
		if e.over {
			continue
		}
		r.busy = append(r.busy, e)
		took := r.w.Work * math.Exp(0.35*r.chance.NormFloat64())
		if r.mode() == slow {
			took *= 5
		}
		if age := r.w.now - r.started; r.started > 0 && age < coldRamp {
			took /= coldShare + (1-coldShare)*float64(age)/float64(coldRamp)
		}
		e.done++
		turn := e.done
		r.w.at(r.w.now+int64(took), func() {
			if e.done == turn && r.free(e) {
				r.w.at(r.w.now+way, func() { e.end(balance.Fulfilled) })
				r.serve()
			}
		})
	}
}

// free takes an execution off its worker; false where it is at none.
func (r *replica) free(e *execution) bool {
	i := slices.Index(r.busy, e)
	if i >= 0 {
		r.busy = slices.Delete(r.busy, i, i+1)
	}
	return i >= 0
}

// restart ends all that is there, and the replica is back cold after a time.
func (r *replica) restart(after int64) {
	r.up = false
	for _, e := range append(slices.Clone(r.busy), r.queue...) {
		e.end(balance.Reset)
	}
	r.busy, r.queue = nil, nil
	for _, a := range r.w.aggs {
		r.w.at(r.w.now+listDelay+r.chance.Int64N(ms*100), func() {
			a.list(balance.Listing{Replica: r.index, Cell: r.cell, Standing: balance.Gone})
		})
	}
	r.w.at(r.w.now+after, func() {
		r.up, r.started = true, r.w.now
		for _, a := range r.w.aggs {
			r.w.at(r.w.now+listDelay+r.chance.Int64N(ms*100), func() {
				a.list(balance.Listing{Replica: r.index, Cell: r.cell, Standing: balance.Up, Started: r.started})
			})
		}
	})
}

// end books an execution's outcome, once.
func (e *execution) end(result balance.Result) {
	if e.over {
		return
	}
	e.over = true
	e.to.free(e)
	e.to.serve()
	now := e.a.w.now
	e.q.handle.Outcome(now, e.part, e.number, result, now-e.sent)
	e.a.moved()
}

// query is one that an aggregator holds.
type query struct {
	handle   *balance.Query
	asked    int64
	customer string
	worth    float64
	counts   bool // it came in the trouble's time
	answered bool
	runs     [][]*execution
}

// aggregator is one with its module, its part in what is shared, and its purse.
type aggregator struct {
	w       *world
	clients *rand.Rand // their chance alone: the same queries come whatever the store does
	number  int
	module  *balance.Aggregator
	queries map[*balance.Query]*query
	last    int64
	due     int64 // the next round is scheduled for then, 0 for none
	shared  *commons.Commons
	purse   *commons.Purse
	quotas  map[string]int
}

const tick = 5 * ms

func (a *aggregator) list(l balance.Listing) {
	a.module.ListChanged(a.w.now, []balance.Listing{l})
	a.moved()
}

// moved has a round come as soon as one may.
func (a *aggregator) moved() { a.schedule(max(a.last+tick, a.w.now)) }

func (a *aggregator) schedule(at int64) {
	if a.due != 0 && a.due <= at {
		return
	}
	a.due = at
	a.w.at(at, func() {
		if a.due == at {
			a.due = 0
			a.round()
		}
	})
}

// take takes a query in.
func (a *aggregator) take() {
	w := a.w
	q := &query{asked: w.now, worth: 1, counts: w.trouble(), runs: make([][]*execution, w.Parts)}
	over := false
	if len(w.Customers) > 0 {
		q.customer = a.pick()
		q.worth = w.within(w.buckets, q.customer)
		if quota, has := a.quotas[q.customer]; has && a.purse != nil {
			over = !a.purse.Spend(w.now, quota)
			if over && q.counts {
				w.result.Over[q.customer]++
			}
		}
	}
	q.handle = a.module.Take(w.now, balance.Arrival{Patience: w.Patience, Parts: w.Parts, Over: over})
	shards := w.Replicas / w.Holders
	for _, s := range a.clients.Perm(shards)[:w.Parts] {
		q.handle.AddPart(s, 1/float64(w.Parts))
	}
	a.queries[q.handle] = q
	if q.counts {
		w.result.Asked++
		w.result.Worth += q.worth
		w.worth[q.customer] += q.worth
	}
	w.at(w.now+w.Patience, func() {
		if !q.answered {
			w.result.Wrong++
		}
	})
	a.moved()
}

// rate is how many queries of a customer come to this aggregator in a second now.
func (a *aggregator) rate(c Customer) float64 {
	if w := a.w; w.Trouble == Greedy && w.trouble() && c.Name == w.Customers[0].Name {
		return 3 * c.Quota / float64(w.Aggregators)
	}
	return a.w.Rate * c.Share
}

// pick draws whose query comes; in the trouble the greedy one asks three times its quota.
func (a *aggregator) pick() string {
	w, sum := a.w, 0.0
	for _, c := range w.Customers {
		sum += a.rate(c)
	}
	x := a.clients.Float64() * sum
	for _, c := range w.Customers {
		if x -= a.rate(c); x < 0 {
			return c.Name
		}
	}
	return w.Customers[len(w.Customers)-1].Name
}

const overWorth = 0.2 // of a query beyond its customer's quota

// within reckons a query's worth by the true quota: of those asked, or of those served.
func (w *world) within(buckets map[string]*bucket, customer string) float64 {
	for _, c := range w.Customers {
		if c.Name == customer && c.Quota > 0 {
			b := buckets[customer]
			if b == nil {
				b = &bucket{c.Quota, w.now}
				buckets[customer] = b
			}
			b.tokens = min(b.tokens+c.Quota*float64(w.now-b.at)/1e9, c.Quota)
			b.at = w.now
			if b.tokens < 1 {
				return overWorth
			}
			b.tokens--
		}
	}
	return 1
}

// round lets the module decide and carries it out.
func (a *aggregator) round() {
	w := a.w
	a.last = w.now
	r := a.module.Decide(w.now)
	for _, s := range r.Sends {
		q := a.queries[s.Query]
		e := &execution{a: a, q: q, part: s.Part, number: len(q.runs[s.Part]), to: w.backs[s.Replica], sent: w.now}
		q.runs[s.Part] = append(q.runs[s.Part], e)
		w.at(w.now+way, func() { e.to.arrive(e) })
		w.at(s.CutAt, func() { e.end(balance.TimedOut) })
	}
	for _, c := range slices.Clone(r.Cancels) {
		e := a.queries[c.Query].runs[c.Part][c.Execution]
		w.at(w.now, func() { e.end(balance.Cancelled) })
	}
	for _, e := range r.Endings {
		a.answer(a.queries[e.Query], e.Final)
	}
	if r.Wake > 0 {
		a.schedule(max(r.Wake, a.last+tick))
	}
}

func (a *aggregator) answer(q *query, final balance.Final) {
	w := a.w
	if q.answered || w.now > q.asked+w.Patience {
		w.result.Wrong++
	}
	q.answered = true
	// What is still out comes to an end through the module's cancels, which name the handle: it is kept until then.
	w.at(w.now+2*w.Patience, func() { delete(a.queries, q.handle) })
	if !q.counts {
		return
	}
	switch {
	case final == balance.Whole && w.now <= q.asked+w.Goal:
		w.result.InGoal++
		worth := 1.0
		if len(w.Customers) > 0 { // what is served beyond the quota is worth less, whichever query it was
			worth = w.within(w.served, q.customer)
		}
		w.result.Revenue += worth
		w.earned[q.customer] += worth
	case final == balance.Whole:
		w.result.Late++
	case final == balance.Declined:
		w.result.Declined++
	default:
		w.result.Forfeited++
	}
}

// clients has queries come by chance until the day ends.
func (a *aggregator) come() {
	w := a.w
	rate := w.Rate
	if len(w.Customers) > 0 {
		rate = 0
		for _, c := range w.Customers {
			rate += a.rate(c)
		}
	}
	w.at(w.now+int64(a.clients.ExpFloat64()*1e9/rate), func() {
		if w.now >= origin+w.Span {
			return
		}
		a.take()
		a.come()
	})
}

// Play plays a day.
func Play(p Plan) Result {
	w := &world{Plan: p, now: origin, earned: map[string]float64{},
		worth: map[string]float64{}, buckets: map[string]*bucket{},
		served: map[string]*bucket{}}
	w.result.Over, w.result.Share = map[string]float64{}, map[string]float64{}
	shards := p.Replicas / p.Holders
	var listing []balance.Listing
	for i := range p.Replicas {
		w.backs = append(w.backs, &replica{w: w, chance: rand.New(rand.NewPCG(p.Seed, 1<<32+uint64(i))), index: i, cell: i % shards, up: true})
		listing = append(listing, balance.Listing{Replica: i, New: true, Cell: i % shards, Standing: balance.Up})
	}
	w.store = newModelStore(w)
	row := balance.Workload{LatencyGoal: p.Goal, LateShare: 0.3, Floor: 1, Need: 1, PartialShare: 0.9}
	for i := range p.Aggregators {
		a := &aggregator{w: w, clients: rand.New(rand.NewPCG(p.Seed, uint64(i))), number: i, queries: map[*balance.Query]*query{}, quotas: map[string]int{}}
		d := balance.Deployment{Number: i, Aggregators: p.Aggregators, Seed: p.Seed*1000 + uint64(i), Tick: tick,
			Workloads: []balance.Workload{row}, Shards: shards, Cells: shards, Reach: 1, PartsPerCall: 1,
			MaxExecutions: 3, Cancels: true, MaxComeBack: 2 * second, ColdShare: coldShare, ColdRamp: coldRamp,
			FallMultiple: 4, FallSpan: second}
		a.module = balance.New(w.now, d)
		a.module.ListWhole(w.now, slices.Clone(listing), true)
		w.aggs = append(w.aggs, a)
		w.store.join(a, d)
		a.come()
		a.moved()
	}
	if p.Trouble == Restart {
		w.at(origin+p.From, func() {
			for _, r := range w.backs {
				if r.index/shards%3 == 0 {
					r.restart(3*second + r.chance.Int64N(second))
				}
			}
		})
	}
	for len(w.events) > 0 && w.now < origin+p.Span+2*p.Patience {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.store.report(&w.result)
	for name, worth := range w.worth {
		w.result.Share[name] = w.earned[name] / worth
	}
	return w.result
}

// String is a result in a line.
func (r Result) String() string {
	return fmt.Sprintf("served %.4f of %d, late %d, declined %d, forfeited %d, wrong %d, at the sick one %d",
		r.Served(), r.Asked, r.Late, r.Declined, r.Forfeited, r.Wrong, r.AtSick)
}
