// Package checker watches what one aggregator and one replica do in a simulation and tells when a rule is broken. It keeps
// books of its own and shares no code with what it watches.
package checker

import (
	"fmt"
	"strings"
)

// What an execution did, as its outcome says; the numbers are the checker's own.
const (
	Fulfilled = iota
	NeverRan
	MayHaveRan
)

// Effects of a workload.
const (
	Repeatable = iota
	Tagged
	OnceOnly
)

// Bounds are what the rules of a deployment state. Times in ns.
type Bounds struct {
	Window     int64   // for which repeats of a tagged part are recognised
	Floor      float64 // least share of the weight for an answer
	Need       float64 // share of the weight for a whole one
	Executions int     // of one part
	Budgeted   bool
	Free       float64 // further executions,
	Share      float64 // and so many for each query or part taken,
	Span       int64   // within any such span
}

// Broken is a rule that was broken. Text ends with what was seen of the query or the replica, the first first.
type Broken struct {
	Rule int
	At   int64
	Who  string
	Text string
}

func (b Broken) String() string {
	what := fmt.Sprint("rule ", b.Rule)
	switch b.Rule {
	case Starved:
		what = "the mechanism"
	case Link:
		what = "a link's limit"
	case Lease:
		what = "a quota's bound"
	}
	return fmt.Sprintf("%s at %.6f s, %s: %s", what, float64(b.At)/1e9, b.Who, b.Text)
}

// Aggregator watches one aggregator.
type Aggregator struct {
	Bounds
	Name      string
	Mechanism bool // parts go by what is in flight, so nobody may be starved
	queries   map[int32]*query
	list      map[int]bool // replicas that may be sent to, as the list says
	load      map[int]*share
	peers     map[int][]int   // replicas, by shard
	taken     []int64         // times of queries and parts within the budget's span
	further   []int64         // and of further executions
	crossed   map[int][]int64 // by link, when queries left over it
	Broken    []Broken
}

// share is what a replica gets of its shard's parts.
type share struct {
	shard  int
	up     int64 // the list has let it be sent to since then, -1 for not
	failed int64 // an execution there last ended otherwise than fulfilled
	others int   // parts that its shard's others got since
	out    int   // parts in flight, by the checker's own count
}

// Starved is rule 0, of the mechanism itself: parts go by what is in flight, so a replica that has nothing in flight, is up and
// has not failed lately must get some of its shard's parts.
const (
	Starved = 0
	Link    = 7 // a link's limit
	Lease   = 8 // a quota's bound
)

const (
	starvedAfter = 400  // parts of its shard that went to others,
	starvedCalm  = 20e9 // ns without a failure there
)

type query struct {
	until  int64
	effect int
	weight []float64
	runs   [][]run
	ended  bool
	away   bool // its answer comes from elsewhere
	seen   []string
}

type run struct {
	replica int
	sent    int64
	over    bool
	ended   int
}

// NewAggregator makes a watch over one.
func NewAggregator(name string, b Bounds) *Aggregator {
	return &Aggregator{Bounds: b, Name: name, queries: map[int32]*query{}, list: map[int]bool{}, load: map[int]*share{}, peers: map[int][]int{}}
}

func (a *Aggregator) breaks(rule int, now int64, q *query, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if q != nil {
		text += "; seen: " + strings.Join(q.seen, ", ")
	}
	a.Broken = append(a.Broken, Broken{rule, now, a.Name, text})
}

func (q *query) note(now int64, format string, args ...any) {
	q.seen = append(q.seen, fmt.Sprintf("%.6f ", float64(now)/1e9)+fmt.Sprintf(format, args...))
}

// Listed tells whether the list now lets a replica of a shard be sent to.
func (a *Aggregator) Listed(now int64, replica, shard int, up bool) {
	a.list[replica] = up
	r := a.load[replica]
	if r == nil {
		r = &share{shard: shard, failed: now - starvedCalm}
		a.load[replica] = r
		a.peers[shard] = append(a.peers[shard], replica)
	}
	r.others = 0
	if r.up = now; !up {
		r.up = -1
	}
}

// starved looks for a replica that gets nothing while its shard's others do.
func (a *Aggregator) starved(now int64, replica int) {
	to := a.load[replica]
	if to == nil || !a.Mechanism {
		return
	}
	to.others = 0
	for _, number := range a.peers[to.shard] {
		r := a.load[number]
		if number == replica || r.up < 0 || r.out > 0 || now-r.failed < starvedCalm {
			r.others = 0
			continue
		}
		if r.others++; r.others == starvedAfter {
			a.breaks(Starved, now, nil, "replica %d is up, has nothing in flight and has not failed for %d s, and the last %d parts of "+
				"its shard went to others", number, int64(starvedCalm)/1e9, starvedAfter)
		}
	}
}

// Taken tells of a query.
func (a *Aggregator) Taken(now int64, number int32, patience int64, effect int, weights []float64) {
	q := &query{until: now + patience, effect: effect, weight: weights, runs: make([][]run, len(weights))}
	q.note(now, "taken")
	a.queries[number] = q
	for range 1 + len(weights) { // the budget goes by queries and parts
		a.taken = append(a.taken, now)
	}
}

// Sent tells of an execution that leaves.
func (a *Aggregator) Sent(now int64, number int32, part, replica int) {
	q := a.queries[number]
	if q == nil {
		a.breaks(1, now, nil, "a part of query %d is sent after its end", number)
		return
	}
	q.note(now, "part %d to replica %d", part, replica)
	if q.ended || now > q.until {
		a.breaks(1, now, q, "a send after the final answer or the client's time")
	}
	if !a.list[replica] {
		a.breaks(3, now, q, "a send to replica %d, which drains or has gone", replica)
	}
	a.starved(now, replica)
	if r := a.load[replica]; r != nil {
		r.out++
	}
	runs := q.runs[part]
	for i, r := range runs {
		switch {
		case !r.over:
			a.breaks(2, now, q, "part %d runs again before the outcome of execution %d", part, i)
		case r.ended == MayHaveRan && q.effect == OnceOnly:
			a.breaks(2, now, q, "once-only part %d runs again, and execution %d may have run", part, i)
		case r.ended == MayHaveRan && q.effect == Tagged && now-r.sent > a.Window:
			a.breaks(2, now, q, "tagged part %d runs again %d ms after execution %d", part, (now-r.sent)/1e6, i)
		case r.ended == Fulfilled:
			a.breaks(2, now, q, "part %d runs again after it was fulfilled", part)
		}
	}
	if len(runs) >= a.Executions {
		a.breaks(6, now, q, "execution %d of part %d", len(runs)+1, part)
	}
	if len(runs) > 0 && a.Budgeted {
		a.taken, a.further = within(a.taken, now-a.Span), within(a.further, now-a.Span)
		if a.further = append(a.further, now); float64(len(a.further)) > a.Free+a.Share*float64(len(a.taken)) {
			a.breaks(6, now, q, "%d further executions for %d queries and parts", len(a.further), len(a.taken))
		}
	}
	q.runs[part] = append(runs, run{sent: now, replica: replica})
}

func within(times []int64, since int64) []int64 {
	n := 0
	for n < len(times) && times[n] < since {
		n++
	}
	return times[n:]
}

// Outcome tells how an execution ended in truth.
func (a *Aggregator) Outcome(now int64, number int32, part, execution, ended int) {
	q := a.queries[number]
	if q == nil || execution >= len(q.runs[part]) {
		return
	}
	r := &q.runs[part][execution]
	if at := a.load[r.replica]; at != nil && !r.over {
		if at.out--; ended != Fulfilled {
			at.failed = now
		}
	}
	r.over, r.ended = true, ended
	q.note(now, "execution %d of part %d %s", execution, part, [...]string{"fulfilled", "never ran", "may have run"}[ended])
}

// Answered tells of a final answer: with values, all that is needed or less, or none.
func (a *Aggregator) Answered(now int64, number int32, values, whole bool) {
	q := a.queries[number]
	if q == nil {
		a.breaks(1, now, nil, "query %d has a second answer", number)
		return
	}
	q.note(now, "answered, values %v, whole %v", values, whole)
	if q.ended {
		a.breaks(1, now, q, "a second final answer")
	}
	if now > q.until {
		a.breaks(1, now, q, "an answer after the client's time")
	}
	q.ended = true
	share, total := 0.0, 0.0
	for part, runs := range q.runs {
		total += q.weight[part]
		for _, r := range runs {
			if r.over && r.ended == Fulfilled {
				share += q.weight[part]
				break
			}
		}
	}
	share /= total
	const grain = 1e-9
	if q.away {
		return
	}
	if values && share < a.Floor-grain || whole && share < a.Need-grain {
		a.breaks(5, now, q, "an answer with values %v, whole %v from %.3f of the weight", values, whole, share)
	}
}

// Crossed tells of a query that leaves over a link which bears so many a second: in no second may more, and half a second's
// worth beside.
func (a *Aggregator) Crossed(now int64, link int, limit float64) {
	if a.crossed == nil {
		a.crossed = map[int][]int64{}
	}
	all := append(within(a.crossed[link], now-1e9), now)
	if a.crossed[link] = all; float64(len(all)) > 1.5*limit+1 {
		a.breaks(Link, now, nil, "%d queries in a second over link %d, which bears %.1f", len(all), link, limit)
	}
}

// Spent checks when all aggregators together let queries of a customer in as within its quota: in any stretch of S seconds no more
// than three times the rate for S and two windows, what may be saved up, and one for each aggregator. Times are sorted.
func Spent(times []int64, customer string, rate, burst, window float64, aggregators int) []Broken {
	for _, windows := range []float64{1, 3, 10} {
		span := windows * window
		most := 3*rate*(span+2*window) + burst + float64(aggregators)
		first := 0
		for i, at := range times {
			for float64(at-times[first])/1e9 > span {
				first++
			}
			if n := i - first + 1; float64(n) > most {
				return []Broken{{Lease, at, "customer " + customer, fmt.Sprintf("%d queries within its quota in %.0f s, at most %.0f", n, span, most)}}
			}
		}
	}
	return nil
}

// Elsewhere tells that a query's answer comes from another site, which has a watch of its own.
func (a *Aggregator) Elsewhere(number int32) {
	if q := a.queries[number]; q != nil {
		q.away = true
	}
}

// Gone tells that a client's time is over; a query without its answer by then is lost. What was kept of it is forgotten later,
// by Forget.
func (a *Aggregator) Gone(now int64, number int32) {
	if q := a.queries[number]; q != nil && !q.ended {
		a.breaks(1, now, q, "no answer in the client's time")
	}
}

// Forget drops a query of which nothing more can come.
func (a *Aggregator) Forget(number int32) { delete(a.queries, number) }

// Crashed tells that the aggregator died with all it held: its queries are nobody's fault. What it was told of the list it is
// told again.
func (a *Aggregator) Crashed() {
	a.queries, a.load, a.peers, a.list, a.further = map[int32]*query{}, map[int]*share{}, map[int][]int{}, map[int]bool{}, nil
}

// Replica watches what comes to one replica.
type Replica struct {
	Name   string
	Broken []Broken
	Cold   float64 // share of its capacity that a fresh one has
	Ramp   int64
	Times  float64 // its present capacity, that push a cold one over
	Span   int64   // when kept up for so long
	Full   float64 // executions a second that it can do when warm

	began int64
	came  []int64
}

// Started tells that it is fresh.
func (r *Replica) Started(now int64) { r.began, r.came = now, r.came[:0] }

// Came tells of an execution that arrives, and whether the replica falls over by it: more than so many times its present
// capacity, within the span, while it is cold.
func (r *Replica) Came(now int64) (falls bool) {
	age := now - r.began
	if r.began == 0 || age >= r.Ramp {
		return false
	}
	r.came = append(within(r.came, now-r.Span), now)
	capacity := r.Full * (r.Cold + (1-r.Cold)*float64(age)/float64(r.Ramp))
	if float64(len(r.came)) <= max(r.Times*capacity*float64(r.Span)/1e9, 1) || age < r.Span {
		return false
	}
	r.Broken = append(r.Broken, Broken{4, now, r.Name,
		fmt.Sprintf("%d executions in %d ms, with room for %.1f a second: pushed over", len(r.came), r.Span/1e6, capacity)})
	return true
}
