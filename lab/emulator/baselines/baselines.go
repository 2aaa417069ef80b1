// Package baselines implements textbook policies for choosing a replica, which the decision module is compared with. It does no I/O
// and reads no clock.
//
// Decides: which replica gets a part: a random one, the next in turn, the one with the fewest parts in flight, the better of two
// random ones, the one with the lowest moving average of latencies, or the best by its true state. Each policy retries failed parts,
// without the limits and guards of the decision module.
package baselines

import (
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

// Policies are the names of the policies.
var Policies = []string{"random", "turns", "least", "two", "ewma", "oracle"}

// Config configures a baseline. Times are in ns.
type Config struct {
	Policy        string // one of Policies
	Seed          uint64
	Shards        int
	MaxExecutions int                                          // maximum number of executions of one part, the first included
	MinCoverage   float64                                      // minimum share of the weight for a partial answer
	RetrySafety   []balance.RetrySafety                        // retry safety of each workload
	Oracle        func(replica int) (wait int64, healthy bool) // for the policy "oracle": true wait for a new part at a replica, and whether it answers
}

const (
	meanDecayNs      = 10e9    // time constant of the moving average of latencies
	attemptTimeShare = 1.0 / 3 // share of the client's timeout that an execution gets before it is retried elsewhere
	answerMarginNs   = 10e6    // an answer is given this long before the client's timeout at the latest
)

// Send is the decision to start an execution; Part is an index in the query.
type Send struct {
	Query    int32
	Part     int
	Replica  int
	Deadline int64
}

// Ending is the decision to answer a query.
type Ending struct {
	Query   int32
	Outcome balance.Outcome
}

type replica struct {
	shard       int // -1 before it is first listed
	up          bool
	inFlight    int
	meanLatency float64 // moving average of the latencies of executions, ns
	meanAt      int64   // time of the last update of meanLatency, ns
}

type part struct {
	shard        int
	weight       float64
	tried        []int // replica of each execution, in order
	inFlight     bool  // the last execution has not ended
	done         bool
	unrepeatable bool // the part must not run twice and may have run already
}

type query struct {
	number    int32
	workload  int
	deadline  int64
	arrivedAt int64
	parts     []part
	ended     bool
	inFlight  int // number of executions in flight
}

// Baseline makes the decisions of one aggregator.
type Baseline struct {
	Config
	rng      *rand.Rand
	replicas []replica
	holders  [][]int // replicas by shard
	nextTurn []int   // by shard: count of picks, for round-robin
	queries  map[int32]*query
	open     []*query // unanswered queries, the oldest first
}

// New returns a baseline without replicas.
func New(c Config) *Baseline {
	return &Baseline{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 77)), holders: make([][]int, c.Shards), nextTurn: make([]int, c.Shards),
		queries: map[int32]*query{}}
}

// SetListed records whether a replica of a shard is listed as up.
func (b *Baseline) SetListed(number, shard int, up bool) {
	for len(b.replicas) <= number {
		b.replicas = append(b.replicas, replica{shard: -1})
	}
	if p := &b.replicas[number]; p.shard < 0 {
		p.shard = shard
		b.holders[shard] = append(b.holders[shard], number)
	}
	b.replicas[number].up = up
}

// AddQuery adds a query that arrives now. It has one part for each of shards.
func (b *Baseline) AddQuery(now int64, number int32, workload int, timeout int64, shards []int, weights []float64) {
	q := &query{number: number, workload: workload, arrivedAt: now, deadline: now + timeout}
	for i, s := range shards {
		q.parts = append(q.parts, part{shard: s, weight: weights[i]})
	}
	b.queries[number] = q
	b.open = append(b.open, q)
}

// RecordOutcome records the end of the last execution of part i of a query.
func (b *Baseline) RecordOutcome(now int64, number int32, i int, result balance.Result, took int64) {
	q := b.queries[number]
	if q == nil {
		return
	}
	p := &q.parts[i]
	replica := &b.replicas[p.tried[len(p.tried)-1]]
	replica.inFlight--
	p.inFlight = false
	q.inFlight--
	if result == balance.Cancelled {
		took = 0
	}
	if took > 0 { // failures count too, with the time until they ended
		weight := math.Exp(-float64(now-replica.meanAt) / meanDecayNs)
		replica.meanLatency, replica.meanAt = weight*replica.meanLatency+(1-weight)*float64(took), now
	}
	switch {
	case result == balance.Fulfilled:
		p.done = true
	case !result.NeverRan() && b.RetrySafety[q.workload] == balance.OnceOnly:
		p.unrepeatable = true
	}
	if q.ended && q.inFlight == 0 {
		delete(b.queries, number)
	}
}

// Decide returns the executions to send and the queries to answer now, and when it must be called again (0 if there is no such time).
func (b *Baseline) Decide(now int64) (sends []Send, endings []Ending, wakeAt int64) {
	b.open = slices.DeleteFunc(b.open, func(q *query) bool {
		outcome, ended := b.outcome(now, q)
		if ended {
			q.ended = true
			endings = append(endings, Ending{q.number, outcome})
			if q.inFlight == 0 {
				delete(b.queries, q.number)
			}
			return true
		}
		for i := range q.parts {
			p := &q.parts[i]
			if p.done || p.inFlight || p.unrepeatable || len(p.tried) >= b.MaxExecutions {
				continue
			}
			replica := b.pick(now, p)
			if replica < 0 {
				continue
			}
			p.tried, p.inFlight = append(p.tried, replica), true
			q.inFlight++
			b.replicas[replica].inFlight++
			deadline := q.deadline
			if len(p.tried) < b.MaxExecutions && b.RetrySafety[q.workload] != balance.OnceOnly {
				deadline = min(deadline, now+int64(attemptTimeShare*float64(q.deadline-q.arrivedAt)))
			}
			sends = append(sends, Send{q.number, i, replica, deadline})
		}
		if at := q.deadline - answerMarginNs; wakeAt == 0 || at < wakeAt {
			wakeAt = at
		}
		return false
	})
	return sends, endings, wakeAt
}

// outcome returns how a query ends, and whether it ends now.
func (b *Baseline) outcome(now int64, q *query) (balance.Outcome, bool) {
	done, open, mayRun := 0.0, false, false
	for i := range q.parts {
		p := &q.parts[i]
		mayRun = mayRun || p.unrepeatable || p.inFlight
		if p.done {
			done += p.weight
		} else {
			open = open || p.inFlight || !p.unrepeatable && len(p.tried) < b.MaxExecutions
		}
	}
	const epsilon = 1e-9
	switch overdue := now >= q.deadline-answerMarginNs; {
	case done >= 1-epsilon:
		return balance.Whole, true
	case open && !overdue:
		return 0, false
	case done >= b.MinCoverage-epsilon && done > 0:
		return balance.Partial, true
	case mayRun && b.RetrySafety[q.workload] == balance.OnceOnly:
		return balance.Forfeited, true
	}
	return balance.Declined, true
}

// pick chooses a replica for a part, or returns -1. It avoids replicas that were tried before, while there are others.
func (b *Baseline) pick(now int64, p *part) int {
	var candidates []int
	for _, h := range b.holders[p.shard] {
		if b.replicas[h].up && !slices.Contains(p.tried, h) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		for _, h := range b.holders[p.shard] {
			if b.replicas[h].up {
				candidates = append(candidates, h)
			}
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	load := func(h int) float64 { return float64(b.replicas[h].inFlight) }
	first := b.nextTurn[p.shard]
	b.nextTurn[p.shard]++
	switch b.Policy {
	case "turns":
		return candidates[first%len(candidates)]
	case "least":
		return leastBy(candidates, first, load)
	case "two":
		a, b := candidates[b.rng.IntN(len(candidates))], candidates[b.rng.IntN(len(candidates))]
		if load(b) < load(a) {
			return b
		}
		return a
	case "ewma":
		return leastBy(candidates, first, func(h int) float64 {
			replica := &b.replicas[h]
			return replica.meanLatency * math.Exp(-float64(now-replica.meanAt)/meanDecayNs) * (load(h) + 1)
		})
	case "oracle":
		return leastBy(candidates, first, func(h int) float64 {
			wait, healthy := b.Oracle(h)
			if !healthy {
				return math.MaxFloat64
			}
			return float64(wait)
		})
	}
	return candidates[b.rng.IntN(len(candidates))]
}

// leastBy returns the replica with the lowest value. Among equals it takes turns, starting at index first.
func leastBy(candidates []int, first int, value func(int) float64) int {
	best, lowest := -1, math.Inf(1)
	for i := range candidates {
		h := candidates[(first+i)%len(candidates)]
		if x := value(h); x < lowest {
			best, lowest = h, x
		}
	}
	return best
}
