// Package baselines holds textbook ways to choose a replica, as baselines that the decision module is measured against. It does
// no I/O and reads no clock.
//
// Decides: which replica takes a part, by random choice, by turns, by least in flight, by the better of two, by a fading
// mean of times, or with the truth in hand; each with plain retries and no guards.
package baselines

import (
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

// Policies are the policies.
var Policies = []string{"random", "turns", "least", "two", "ewma", "oracle"}

// Config are what a rival is told. Times in ns.
type Config struct {
	Policy        string
	Seed          uint64
	Shards        int
	MaxExecutions int
	MinCoverage   float64
	RetrySafety   []balance.RetrySafety                      // by workload
	Oracle        func(replica int) (wait int64, sound bool) // for the oracle alone: what a part there would wait
}

const (
	meanDecayNs      = 10e9    // ns in which a time is forgotten
	attemptTimeShare = 1.0 / 3 // of the client's time that an execution has before it is dropped and tried elsewhere
	answerMarginNs   = 10e6    // ns before a client's time is up that it is answered
)

// Send starts an execution.
type Send struct {
	Query    int32
	Part     int
	Replica  int
	Deadline int64
}

// Ending is a final answer.
type Ending struct {
	Query   int32
	Outcome balance.Outcome
}

type replica struct {
	shard       int
	up          bool
	inFlight    int
	meanLatency float64 // ns
	meanAt      int64
}

type part struct {
	shard        int
	weight       float64
	tried        []int // replicas
	inFlight     bool  // the last one is under way
	done         bool
	unrepeatable bool // it may have run and must not again
}

type query struct {
	number    int32
	workload  int
	deadline  int64
	arrivedAt int64
	parts     []part
	ended     bool
	inFlight  int
}

// Baseline is one aggregator's decisions.
type Baseline struct {
	Config
	rng      *rand.Rand
	replicas []replica
	holders  [][]int
	nextTurn []int // by shard
	queries  map[int32]*query
	open     []*query // open ones, the oldest first
}

// New makes one.
func New(t Config) *Baseline {
	return &Baseline{Config: t, rng: rand.New(rand.NewPCG(t.Seed, 77)), holders: make([][]int, t.Shards), nextTurn: make([]int, t.Shards),
		queries: map[int32]*query{}}
}

// SetListed takes a replica's place on the list in.
func (r *Baseline) SetListed(number, shard int, up bool) {
	for len(r.replicas) <= number {
		r.replicas = append(r.replicas, replica{shard: -1})
	}
	if p := &r.replicas[number]; p.shard < 0 {
		p.shard = shard
		r.holders[shard] = append(r.holders[shard], number)
	}
	r.replicas[number].up = up
}

// AddQuery takes a query in.
func (r *Baseline) AddQuery(now int64, number int32, workload int, patience int64, shards []int, weights []float64) {
	q := &query{number: number, workload: workload, arrivedAt: now, deadline: now + patience}
	for i, s := range shards {
		q.parts = append(q.parts, part{shard: s, weight: weights[i]})
	}
	r.queries[number] = q
	r.open = append(r.open, q)
}

// RecordOutcome takes an execution's end in.
func (r *Baseline) RecordOutcome(now int64, number int32, i int, result balance.Result, took int64) {
	q := r.queries[number]
	if q == nil {
		return
	}
	p := &q.parts[i]
	at := &r.replicas[p.tried[len(p.tried)-1]]
	at.inFlight--
	p.inFlight = false
	q.inFlight--
	if result == balance.Cancelled {
		took = 0
	}
	if took > 0 { // a failure counts as at least as long as it held its place
		keep := math.Exp(-float64(now-at.meanAt) / meanDecayNs)
		at.meanLatency, at.meanAt = keep*at.meanLatency+(1-keep)*float64(took), now
	}
	switch {
	case result == balance.Fulfilled:
		p.done = true
	case !result.NeverRan() && r.RetrySafety[q.workload] == balance.OnceOnly:
		p.unrepeatable = true
	}
	if q.ended && q.inFlight == 0 {
		delete(r.queries, number)
	}
}

// Decide returns what is to be sent and answered now, and when it wants to be called again, 0 for no such time.
func (r *Baseline) Decide(now int64) (sends []Send, endings []Ending, wake int64) {
	r.open = slices.DeleteFunc(r.open, func(q *query) bool {
		final, over := r.outcome(now, q)
		if over {
			q.ended = true
			endings = append(endings, Ending{q.number, final})
			if q.inFlight == 0 {
				delete(r.queries, q.number)
			}
			return true
		}
		for i := range q.parts {
			p := &q.parts[i]
			if p.done || p.inFlight || p.unrepeatable || len(p.tried) >= r.MaxExecutions {
				continue
			}
			to := r.pick(now, p)
			if to < 0 {
				continue
			}
			p.tried, p.inFlight = append(p.tried, to), true
			q.inFlight++
			r.replicas[to].inFlight++
			cut := q.deadline
			if len(p.tried) < r.MaxExecutions && r.RetrySafety[q.workload] != balance.OnceOnly {
				cut = min(cut, now+int64(attemptTimeShare*float64(q.deadline-q.arrivedAt)))
			}
			sends = append(sends, Send{q.number, i, to, cut})
		}
		if at := q.deadline - answerMarginNs; wake == 0 || at < wake {
			wake = at
		}
		return false
	})
	return sends, endings, wake
}

// outcome tells whether a query ends now, and how.
func (r *Baseline) outcome(now int64, q *query) (balance.Outcome, bool) {
	done, open, ran := 0.0, false, false
	for i := range q.parts {
		p := &q.parts[i]
		ran = ran || p.unrepeatable || p.inFlight
		if p.done {
			done += p.weight
		} else {
			open = open || p.inFlight || !p.unrepeatable && len(p.tried) < r.MaxExecutions
		}
	}
	const grain = 1e-9
	switch late := now >= q.deadline-answerMarginNs; {
	case done >= 1-grain:
		return balance.Whole, true
	case open && !late:
		return 0, false
	case done >= r.MinCoverage-grain && done > 0:
		return balance.Partial, true
	case ran && r.RetrySafety[q.workload] == balance.OnceOnly:
		return balance.Forfeited, true
	}
	return balance.Declined, true
}

// pick chooses a replica for a part, or -1. One that it ran at is left out while there are others.
func (r *Baseline) pick(now int64, p *part) int {
	var able []int
	for _, h := range r.holders[p.shard] {
		if r.replicas[h].up && !slices.Contains(p.tried, h) {
			able = append(able, h)
		}
	}
	if len(able) == 0 {
		for _, h := range r.holders[p.shard] {
			if r.replicas[h].up {
				able = append(able, h)
			}
		}
	}
	if len(able) == 0 {
		return -1
	}
	load := func(h int) float64 { return float64(r.replicas[h].inFlight) }
	first := r.nextTurn[p.shard]
	r.nextTurn[p.shard]++
	switch r.Policy {
	case "turns":
		return able[first%len(able)]
	case "least":
		return leastBy(able, first, load)
	case "two":
		a, b := able[r.rng.IntN(len(able))], able[r.rng.IntN(len(able))]
		if load(b) < load(a) {
			return b
		}
		return a
	case "ewma":
		return leastBy(able, first, func(h int) float64 {
			at := &r.replicas[h]
			return at.meanLatency * math.Exp(-float64(now-at.meanAt)/meanDecayNs) * (load(h) + 1)
		})
	case "oracle":
		return leastBy(able, first, func(h int) float64 {
			wait, sound := r.Oracle(h)
			if !sound {
				return math.MaxFloat64
			}
			return float64(wait)
		})
	}
	return able[r.rng.IntN(len(able))]
}

// leastBy is the one with the least of something; of equals the next by turns.
func leastBy(able []int, first int, of func(int) float64) int {
	best, at := -1, math.Inf(1)
	for i := range able {
		h := able[(first+i)%len(able)]
		if x := of(h); x < at {
			best, at = h, x
		}
	}
	return best
}
