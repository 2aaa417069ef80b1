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
	MayHaveRun
)

// Effects of a workload.
const (
	Repeatable = iota
	Tagged
	OnceOnly
)

// Bounds are what the rules of a deployment state. Times in ns.
type Bounds struct {
	DedupWindow   int64   // for which repeats of a tagged part are recognised
	MinCoverage   float64 // least share of the weight for an answer
	FullCoverage  float64 // share of the weight for a whole one
	MaxExecutions int     // of one part
	Budgeted      bool
	RetrySlack    float64 // further executions,
	RetryRatio    float64 // and so many for each query or part taken,
	RetryWindow   int64   // within any such span
}

// Violation is a rule that was broken. Text ends with what was seen of the query or the replica, the first first.
type Violation struct {
	Rule    int
	At      int64
	Subject string
	Text    string
}

func (b Violation) String() string {
	what := fmt.Sprint("rule ", b.Rule)
	switch b.Rule {
	case RuleStarvation:
		what = "the mechanism"
	case RuleLinkRate:
		what = "a link's limit"
	case RuleQuota:
		what = "a quota's bound"
	}
	return fmt.Sprintf("%s at %.6f s, %s: %s", what, float64(b.At)/1e9, b.Subject, b.Text)
}

// Aggregator watches one aggregator.
type Aggregator struct {
	Bounds
	Name            string
	CheckStarvation bool // parts go by what is in flight, so nobody may be starved
	queries         map[int32]*query
	listed          map[int]bool // replicas that may be sent to, as the list says
	loads           map[int]*replicaLoad
	holders         map[int][]int   // replicas, by shard
	arrivals        []int64         // times of queries and parts within the budget's span
	retries         []int64         // and of further executions
	forwards        map[int][]int64 // by link, when queries left over it
	Violations      []Violation
}

// replicaLoad is what a replica gets of its shard's parts.
type replicaLoad struct {
	shard         int
	upSince       int64 // the list has let it be sent to since then, -1 for not
	lastFailure   int64 // an execution there last ended otherwise than fulfilled
	partsToOthers int   // parts that its shard's others got since
	inFlight      int   // parts in flight, by the checker's own count
}

// RuleStarvation is rule 0, of the mechanism itself: parts go by what is in flight, so a replica that has nothing in flight, is up and
// has not failed lately must get some of its shard's parts.
const (
	RuleStarvation = 0
	RuleLinkRate   = 7 // a link's limit
	RuleQuota      = 8 // a quota's bound
)

const (
	starvationParts  = 400  // parts of its shard that went to others,
	starvationCalmNs = 20e9 // ns without a failure there
)

type query struct {
	deadline          int64
	retrySafety       int
	weights           []float64
	executions        [][]execution
	answered          bool
	answeredElsewhere bool // its answer comes from elsewhere
	history           []string
}

type execution struct {
	replica int
	sentAt  int64
	ended   bool
	result  int
}

// NewAggregator makes a watch over one.
func NewAggregator(name string, b Bounds) *Aggregator {
	return &Aggregator{Bounds: b, Name: name, queries: map[int32]*query{}, listed: map[int]bool{}, loads: map[int]*replicaLoad{}, holders: map[int][]int{}}
}

func (a *Aggregator) violate(rule int, now int64, q *query, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if q != nil {
		text += "; seen: " + strings.Join(q.history, ", ")
	}
	a.Violations = append(a.Violations, Violation{rule, now, a.Name, text})
}

func (q *query) record(now int64, format string, args ...any) {
	q.history = append(q.history, fmt.Sprintf("%.6f ", float64(now)/1e9)+fmt.Sprintf(format, args...))
}

// RecordListing tells whether the list now lets a replica of a shard be sent to.
func (a *Aggregator) RecordListing(now int64, replica, shard int, up bool) {
	a.listed[replica] = up
	r := a.loads[replica]
	if r == nil {
		r = &replicaLoad{shard: shard, lastFailure: now - starvationCalmNs}
		a.loads[replica] = r
		a.holders[shard] = append(a.holders[shard], replica)
	}
	r.partsToOthers = 0
	if r.upSince = now; !up {
		r.upSince = -1
	}
}

// checkStarvation looks for a replica that gets nothing while its shard's others do.
func (a *Aggregator) checkStarvation(now int64, replica int) {
	to := a.loads[replica]
	if to == nil || !a.CheckStarvation {
		return
	}
	to.partsToOthers = 0
	for _, number := range a.holders[to.shard] {
		r := a.loads[number]
		if number == replica || r.upSince < 0 || r.inFlight > 0 || now-r.lastFailure < starvationCalmNs {
			r.partsToOthers = 0
			continue
		}
		if r.partsToOthers++; r.partsToOthers == starvationParts {
			a.violate(RuleStarvation, now, nil, "replica %d is up, has nothing in flight and has not failed for %d s, and the last %d parts of "+
				"its shard went to others", number, int64(starvationCalmNs)/1e9, starvationParts)
		}
	}
}

// RecordQuery tells of a query.
func (a *Aggregator) RecordQuery(now int64, number int32, patience int64, effect int, weights []float64) {
	q := &query{deadline: now + patience, retrySafety: effect, weights: weights, executions: make([][]execution, len(weights))}
	q.record(now, "taken")
	a.queries[number] = q
	for range 1 + len(weights) { // the budget goes by queries and parts
		a.arrivals = append(a.arrivals, now)
	}
}

// RecordSend tells of an execution that leaves.
func (a *Aggregator) RecordSend(now int64, number int32, part, replica int) {
	q := a.queries[number]
	if q == nil {
		a.violate(1, now, nil, "a part of query %d is sent after its end", number)
		return
	}
	q.record(now, "part %d to replica %d", part, replica)
	if q.answered || now > q.deadline {
		a.violate(1, now, q, "a send after the final answer or the client's time")
	}
	if !a.listed[replica] {
		a.violate(3, now, q, "a send to replica %d, which drains or has gone", replica)
	}
	a.checkStarvation(now, replica)
	if r := a.loads[replica]; r != nil {
		r.inFlight++
	}
	runs := q.executions[part]
	for i, r := range runs {
		switch {
		case !r.ended:
			a.violate(2, now, q, "part %d runs again before the outcome of execution %d", part, i)
		case r.result == MayHaveRun && q.retrySafety == OnceOnly:
			a.violate(2, now, q, "once-only part %d runs again, and execution %d may have run", part, i)
		case r.result == MayHaveRun && q.retrySafety == Tagged && now-r.sentAt > a.DedupWindow:
			a.violate(2, now, q, "tagged part %d runs again %d ms after execution %d", part, (now-r.sentAt)/1e6, i)
		case r.result == Fulfilled:
			a.violate(2, now, q, "part %d runs again after it was fulfilled", part)
		}
	}
	if len(runs) >= a.MaxExecutions {
		a.violate(6, now, q, "execution %d of part %d", len(runs)+1, part)
	}
	if len(runs) > 0 && a.Budgeted {
		a.arrivals, a.retries = dropBefore(a.arrivals, now-a.RetryWindow), dropBefore(a.retries, now-a.RetryWindow)
		if a.retries = append(a.retries, now); float64(len(a.retries)) > a.RetrySlack+a.RetryRatio*float64(len(a.arrivals)) {
			a.violate(6, now, q, "%d further executions for %d queries and parts", len(a.retries), len(a.arrivals))
		}
	}
	q.executions[part] = append(runs, execution{sentAt: now, replica: replica})
}

func dropBefore(times []int64, since int64) []int64 {
	n := 0
	for n < len(times) && times[n] < since {
		n++
	}
	return times[n:]
}

// RecordOutcome tells how an execution ended in truth.
func (a *Aggregator) RecordOutcome(now int64, number int32, part, execution, ended int) {
	q := a.queries[number]
	if q == nil || execution >= len(q.executions[part]) {
		return
	}
	r := &q.executions[part][execution]
	if at := a.loads[r.replica]; at != nil && !r.ended {
		if at.inFlight--; ended != Fulfilled {
			at.lastFailure = now
		}
	}
	r.ended, r.result = true, ended
	q.record(now, "execution %d of part %d %s", execution, part, [...]string{"fulfilled", "never ran", "may have run"}[ended])
}

// RecordAnswer tells of a final answer: with values, all that is needed or less, or none.
func (a *Aggregator) RecordAnswer(now int64, number int32, values, whole bool) {
	q := a.queries[number]
	if q == nil {
		a.violate(1, now, nil, "query %d has a second answer", number)
		return
	}
	q.record(now, "answered, values %v, whole %v", values, whole)
	if q.answered {
		a.violate(1, now, q, "a second final answer")
	}
	if now > q.deadline {
		a.violate(1, now, q, "an answer after the client's time")
	}
	q.answered = true
	share, total := 0.0, 0.0
	for part, runs := range q.executions {
		total += q.weights[part]
		for _, r := range runs {
			if r.ended && r.result == Fulfilled {
				share += q.weights[part]
				break
			}
		}
	}
	share /= total
	const grain = 1e-9
	if q.answeredElsewhere {
		return
	}
	if values && share < a.MinCoverage-grain || whole && share < a.FullCoverage-grain {
		a.violate(5, now, q, "an answer with values %v, whole %v from %.3f of the weight", values, whole, share)
	}
}

// RecordForward tells of a query that leaves over a link which bears so many a second: in no second may more, and half a second's
// worth beside.
func (a *Aggregator) RecordForward(now int64, link int, limit float64) {
	if a.forwards == nil {
		a.forwards = map[int][]int64{}
	}
	all := append(dropBefore(a.forwards[link], now-1e9), now)
	if a.forwards[link] = all; float64(len(all)) > 1.5*limit+1 {
		a.violate(RuleLinkRate, now, nil, "%d queries in a second over link %d, which bears %.1f", len(all), link, limit)
	}
}

// CheckQuota checks when all aggregators together let queries of a customer in as within its quota: in any stretch of S seconds no more
// than three times the rate for S and two windows, what may be saved up, and one for each aggregator. Times are sorted.
func CheckQuota(times []int64, customer string, rate, burst, window float64, aggregators int) []Violation {
	for _, windows := range []float64{1, 3, 10} {
		span := windows * window
		most := 3*rate*(span+2*window) + burst + float64(aggregators)
		first := 0
		for i, at := range times {
			for float64(at-times[first])/1e9 > span {
				first++
			}
			if n := i - first + 1; float64(n) > most {
				return []Violation{{RuleQuota, at, "customer " + customer, fmt.Sprintf("%d queries within its quota in %.0f s, at most %.0f", n, span, most)}}
			}
		}
	}
	return nil
}

// RecordElsewhere tells that a query's answer comes from another site, which has a watch of its own.
func (a *Aggregator) RecordElsewhere(number int32) {
	if q := a.queries[number]; q != nil {
		q.answeredElsewhere = true
	}
}

// ClientTimeout tells that a client's time is over; a query without its answer by then is lost. What was kept of it is forgotten later,
// by Forget.
func (a *Aggregator) ClientTimeout(now int64, number int32) {
	if q := a.queries[number]; q != nil && !q.answered {
		a.violate(1, now, q, "no answer in the client's time")
	}
}

// Forget drops a query of which nothing more can come.
func (a *Aggregator) Forget(number int32) { delete(a.queries, number) }

// RecordCrash tells that the aggregator died with all it held: its queries are nobody's fault. What it was told of the list it is
// told again.
func (a *Aggregator) RecordCrash() {
	a.queries, a.loads, a.holders, a.listed, a.retries = map[int32]*query{}, map[int]*replicaLoad{}, map[int][]int{}, map[int]bool{}, nil
}

// Replica watches what comes to one replica.
type Replica struct {
	Name           string
	Violations     []Violation
	ColdCapacity   float64 // share of its capacity that a fresh one has
	WarmUpTime     int64
	OverloadFactor float64 // its present capacity, that push a cold one over
	OverloadSpan   int64   // when kept up for so long
	WarmRate       float64 // executions a second that it can do when warm

	startedAt int64
	arrivals  []int64
}

// RecordStart tells that it is fresh.
func (r *Replica) RecordStart(now int64) { r.startedAt, r.arrivals = now, r.arrivals[:0] }

// RecordArrival tells of an execution that arrives, and whether the replica falls over by it: more than so many times its present
// capacity, within the span, while it is cold.
func (r *Replica) RecordArrival(now int64) (falls bool) {
	age := now - r.startedAt
	if r.startedAt == 0 || age >= r.WarmUpTime {
		return false
	}
	r.arrivals = append(dropBefore(r.arrivals, now-r.OverloadSpan), now)
	capacity := r.WarmRate * (r.ColdCapacity + (1-r.ColdCapacity)*float64(age)/float64(r.WarmUpTime))
	if float64(len(r.arrivals)) <= max(r.OverloadFactor*capacity*float64(r.OverloadSpan)/1e9, 1) || age < r.OverloadSpan {
		return false
	}
	r.Violations = append(r.Violations, Violation{4, now, r.Name,
		fmt.Sprintf("%d executions in %d ms, with room for %.1f a second: pushed over", len(r.arrivals), r.OverloadSpan/1e6, capacity)})
	return true
}
