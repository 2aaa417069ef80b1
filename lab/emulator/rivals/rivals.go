// Package rivals holds textbook ways to choose a replica, as baselines that the decision module is measured against. It does
// no I/O and reads no clock.
//
// Decides: which replica takes a part, by random choice, by turns, by least in flight, by the better of two, by a fading
// mean of times, or with the truth in hand; each with plain retries and no guards.
package rivals

import (
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

// Names are the policies.
var Names = []string{"random", "turns", "least", "two", "ewma", "oracle"}

// Terms are what a rival is told. Times in ns.
type Terms struct {
	Policy     string
	Seed       uint64
	Shards     int
	Executions int
	Floor      float64
	Effect     []balance.RetrySafety                      // by workload
	Truth      func(replica int) (wait int64, sound bool) // for the oracle alone: what a part there would wait
}

const (
	fadeOver = 10e9    // ns in which a time is forgotten
	firstTry = 1.0 / 3 // of the client's time that an execution has before it is dropped and tried elsewhere
	margin   = 10e6    // ns before a client's time is up that it is answered
)

// Send starts an execution.
type Send struct {
	Query   int32
	Part    int
	Replica int
	CutAt   int64
}

// Ending is a final answer.
type Ending struct {
	Query int32
	Final balance.Outcome
}

type replica struct {
	shard    int
	up       bool
	inFlight int
	mean     float64 // ns
	at       int64
}

type part struct {
	shard  int
	weight float64
	runs   []int // replicas
	out    bool  // the last one is under way
	done   bool
	stuck  bool // it may have run and must not again
}

type query struct {
	number   int32
	workload int
	until    int64
	took     int64
	parts    []part
	ended    bool
	out      int
}

// Rival is one aggregator's decisions.
type Rival struct {
	Terms
	chance   *rand.Rand
	replicas []replica
	holders  [][]int
	next     []int // by shard
	queries  map[int32]*query
	order    []*query // open ones, the oldest first
}

// New makes one.
func New(t Terms) *Rival {
	return &Rival{Terms: t, chance: rand.New(rand.NewPCG(t.Seed, 77)), holders: make([][]int, t.Shards), next: make([]int, t.Shards),
		queries: map[int32]*query{}}
}

// List takes a replica's place on the list in.
func (r *Rival) List(number, shard int, up bool) {
	for len(r.replicas) <= number {
		r.replicas = append(r.replicas, replica{shard: -1})
	}
	if p := &r.replicas[number]; p.shard < 0 {
		p.shard = shard
		r.holders[shard] = append(r.holders[shard], number)
	}
	r.replicas[number].up = up
}

// Take takes a query in.
func (r *Rival) Take(now int64, number int32, workload int, patience int64, shards []int, weights []float64) {
	q := &query{number: number, workload: workload, took: now, until: now + patience}
	for i, s := range shards {
		q.parts = append(q.parts, part{shard: s, weight: weights[i]})
	}
	r.queries[number] = q
	r.order = append(r.order, q)
}

// Outcome takes an execution's end in.
func (r *Rival) Outcome(now int64, number int32, i int, result balance.Result, took int64) {
	q := r.queries[number]
	if q == nil {
		return
	}
	p := &q.parts[i]
	at := &r.replicas[p.runs[len(p.runs)-1]]
	at.inFlight--
	p.out = false
	q.out--
	if result == balance.Cancelled {
		took = 0
	}
	if took > 0 { // a failure counts as at least as long as it held its place
		keep := math.Exp(-float64(now-at.at) / fadeOver)
		at.mean, at.at = keep*at.mean+(1-keep)*float64(took), now
	}
	switch {
	case result == balance.Fulfilled:
		p.done = true
	case !result.NeverRan() && r.Effect[q.workload] == balance.OnceOnly:
		p.stuck = true
	}
	if q.ended && q.out == 0 {
		delete(r.queries, number)
	}
}

// Decide returns what is to be sent and answered now, and when it wants to be called again, 0 for no such time.
func (r *Rival) Decide(now int64) (sends []Send, endings []Ending, wake int64) {
	r.order = slices.DeleteFunc(r.order, func(q *query) bool {
		final, over := r.over(now, q)
		if over {
			q.ended = true
			endings = append(endings, Ending{q.number, final})
			if q.out == 0 {
				delete(r.queries, q.number)
			}
			return true
		}
		for i := range q.parts {
			p := &q.parts[i]
			if p.done || p.out || p.stuck || len(p.runs) >= r.Executions {
				continue
			}
			to := r.pick(now, p)
			if to < 0 {
				continue
			}
			p.runs, p.out = append(p.runs, to), true
			q.out++
			r.replicas[to].inFlight++
			cut := q.until
			if len(p.runs) < r.Executions && r.Effect[q.workload] != balance.OnceOnly {
				cut = min(cut, now+int64(firstTry*float64(q.until-q.took)))
			}
			sends = append(sends, Send{q.number, i, to, cut})
		}
		if at := q.until - margin; wake == 0 || at < wake {
			wake = at
		}
		return false
	})
	return sends, endings, wake
}

// over tells whether a query ends now, and how.
func (r *Rival) over(now int64, q *query) (balance.Outcome, bool) {
	done, open, ran := 0.0, false, false
	for i := range q.parts {
		p := &q.parts[i]
		ran = ran || p.stuck || p.out
		if p.done {
			done += p.weight
		} else {
			open = open || p.out || !p.stuck && len(p.runs) < r.Executions
		}
	}
	const grain = 1e-9
	switch late := now >= q.until-margin; {
	case done >= 1-grain:
		return balance.Whole, true
	case open && !late:
		return 0, false
	case done >= r.Floor-grain && done > 0:
		return balance.Partial, true
	case ran && r.Effect[q.workload] == balance.OnceOnly:
		return balance.Forfeited, true
	}
	return balance.Declined, true
}

// pick chooses a replica for a part, or -1. One that it ran at is left out while there are others.
func (r *Rival) pick(now int64, p *part) int {
	var able []int
	for _, h := range r.holders[p.shard] {
		if r.replicas[h].up && !slices.Contains(p.runs, h) {
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
	first := r.next[p.shard]
	r.next[p.shard]++
	switch r.Policy {
	case "turns":
		return able[first%len(able)]
	case "least":
		return least(able, first, load)
	case "two":
		a, b := able[r.chance.IntN(len(able))], able[r.chance.IntN(len(able))]
		if load(b) < load(a) {
			return b
		}
		return a
	case "ewma":
		return least(able, first, func(h int) float64 {
			at := &r.replicas[h]
			return at.mean * math.Exp(-float64(now-at.at)/fadeOver) * (load(h) + 1)
		})
	case "oracle":
		return least(able, first, func(h int) float64 {
			wait, sound := r.Truth(h)
			if !sound {
				return math.MaxFloat64
			}
			return float64(wait)
		})
	}
	return able[r.chance.IntN(len(able))]
}

// least is the one with the least of something; of equals the next by turns.
func least(able []int, first int, of func(int) float64) int {
	best, at := -1, math.Inf(1)
	for i := range able {
		h := able[(first+i)%len(able)]
		if x := of(h); x < at {
			best, at = h, x
		}
	}
	return best
}
