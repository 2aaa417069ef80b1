// Package checker observes aggregators and replicas in a simulation and reports violations of the rules that the decision module
// must keep. It has its own state and shares no code with what it observes.
//
// The rules by number: 0, no healthy replica is starved; 1, each query gets exactly one answer, before the client's timeout, and no
// part is sent after that; 2, a part runs again only where that is safe; 3, parts go only to replicas that are listed as up; 4, no cold
// replica is overloaded; 5, an answer covers as much of the query as it claims; 6, executions keep their limit and the retry
// budget; 7, a link keeps its rate; 8, a customer keeps its quota.
package checker

import (
	"fmt"
	"strings"
)

// Results of an execution, as far as its outcome shows them. The numbers are independent of package balance.
const (
	Fulfilled  = iota // it ran and its reply arrived
	NeverRan          // it certainly had no effect
	MayHaveRun        // it may have had its effect
)

// Kinds of retry safety of a workload.
const (
	Repeatable = iota // may run any number of times
	Tagged            // replicas recognise repeats within a window
	OnceOnly          // must not run a second time
)

// Bounds are the limits of a deployment that the rules refer to. Times are in ns.
type Bounds struct {
	DedupWindow   int64   // time during which repeats of a tagged part are recognised
	MinCoverage   float64 // minimum share of the weight for an answer with values
	FullCoverage  float64 // minimum share of the weight for a whole answer
	MaxExecutions int     // maximum number of executions of one part, the first included
	Budgeted      bool    // RetrySlack and RetryRatio limit the retries
	RetrySlack    float64 // number of retries allowed in any RetryWindow
	RetryRatio    float64 // additional retries allowed for each query and each part received in a RetryWindow
	RetryWindow   int64
}

// Violation is a violated rule. Text ends with the history of the query, if there is one, the oldest event first.
type Violation struct {
	Rule    int
	At      int64
	Subject string
	Text    string
}

func (v Violation) String() string {
	what := fmt.Sprint("rule ", v.Rule)
	switch v.Rule {
	case RuleStarvation:
		what = "the starvation rule"
	case RuleLinkRate:
		what = "a link's limit"
	case RuleQuota:
		what = "a quota's bound"
	}
	return fmt.Sprintf("%s at %.6f s, %s: %s", what, float64(v.At)/1e9, v.Subject, v.Text)
}

// Aggregator checks what one aggregator sends, forwards and answers against the rules.
type Aggregator struct {
	Bounds
	Name            string
	CheckStarvation bool // whether rule 0 applies: only to policies that choose by parts in flight
	queries         map[int32]*query
	listed          map[int]bool         // replicas that the list shows as up
	loads           map[int]*replicaLoad // load of each replica that has been listed since the last crash
	holders         map[int][]int        // the replicas of each shard
	arrivals        []int64              // times at which queries and parts arrived, within the retry window
	retries         []int64              // times of retries, within the retry window
	forwards        map[int][]int64      // by link: times at which queries were forwarded in the last second
	Violations      []Violation
}

// replicaLoad counts the parts that one replica has in flight and those that other replicas of its shard got instead of it.
type replicaLoad struct {
	shard         int
	upSince       int64 // time from which it is listed as up; -1 if it is not
	lastFailure   int64 // time at which an execution at this replica last ended unfulfilled
	partsToOthers int   // parts sent to other replicas of the shard since this replica last got one
	inFlight      int   // parts in flight, as counted by the checker
}

// Numbers of the rules that are named in code. RuleStarvation: where replicas are chosen by parts in flight, one that has none, is up
// and has not failed recently must get some of its shard's parts. If it gets none, the decider's count of its parts in flight is wrong.
const (
	RuleStarvation = 0
	RuleLinkRate   = 7 // more queries forwarded over a link than its rate allows
	RuleQuota      = 8 // more queries admitted for a customer than its quota allows
)

const (
	starvationParts  = 400  // parts to other replicas of the shard after which a replica counts as starved
	starvationCalmNs = 20e9 // time without failures after which a replica must not be starved
)

// query is what the checker has seen of a query.
type query struct {
	deadline          int64
	retrySafety       int
	weights           []float64
	executions        [][]execution
	answered          bool
	answeredElsewhere bool     // another site answers it, so this site's executions don't have to cover it
	history           []string // what happened, for the text of violations
}

// execution is what the checker has seen of an execution; result is one of Fulfilled, NeverRan and MayHaveRun.
type execution struct {
	replica int
	sentAt  int64
	ended   bool
	result  int
}

// NewAggregator returns a checker for the aggregator of this name.
func NewAggregator(name string, b Bounds) *Aggregator {
	return &Aggregator{Bounds: b, Name: name, queries: map[int32]*query{}, listed: map[int]bool{}, loads: map[int]*replicaLoad{}, holders: map[int][]int{}}
}

// violate adds a violation, with the history of the query if q is not nil.
func (a *Aggregator) violate(rule int, now int64, q *query, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if q != nil {
		text += "; history: " + strings.Join(q.history, ", ")
	}
	a.Violations = append(a.Violations, Violation{rule, now, a.Name, text})
}

func (q *query) record(now int64, format string, args ...any) {
	q.history = append(q.history, fmt.Sprintf("%.6f ", float64(now)/1e9)+fmt.Sprintf(format, args...))
}

// RecordListing records whether the list shows a replica of a shard as up.
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

// checkStarvation counts a part that was sent to a replica, and checks that no other replica of the shard is starved.
func (a *Aggregator) checkStarvation(now int64, replica int) {
	target := a.loads[replica]
	if target == nil || !a.CheckStarvation {
		return
	}
	target.partsToOthers = 0
	for _, number := range a.holders[target.shard] {
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

// RecordQuery records a query that arrives.
func (a *Aggregator) RecordQuery(now int64, number int32, timeout int64, retrySafety int, weights []float64) {
	q := &query{deadline: now + timeout, retrySafety: retrySafety, weights: weights, executions: make([][]execution, len(weights))}
	q.record(now, "taken")
	a.queries[number] = q
	for range 1 + len(weights) { // the retry budget grows with queries and with parts
		a.arrivals = append(a.arrivals, now)
	}
}

// RecordSend checks an execution that is sent.
func (a *Aggregator) RecordSend(now int64, number int32, part, replica int) {
	q := a.queries[number]
	if q == nil {
		a.violate(1, now, nil, "a part of query %d is sent after its end", number)
		return
	}
	q.record(now, "part %d to replica %d", part, replica)
	if q.answered || now > q.deadline {
		a.violate(1, now, q, "an execution sent after the final answer or the client's timeout")
	}
	if !a.listed[replica] {
		a.violate(3, now, q, "an execution sent to replica %d, which is draining or not listed", replica)
	}
	a.checkStarvation(now, replica)
	if r := a.loads[replica]; r != nil {
		r.inFlight++
	}
	executions := q.executions[part]
	for i, r := range executions {
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
	if len(executions) >= a.MaxExecutions {
		a.violate(6, now, q, "execution %d of part %d", len(executions)+1, part)
	}
	if len(executions) > 0 && a.Budgeted {
		a.arrivals, a.retries = dropBefore(a.arrivals, now-a.RetryWindow), dropBefore(a.retries, now-a.RetryWindow)
		if a.retries = append(a.retries, now); float64(len(a.retries)) > a.RetrySlack+a.RetryRatio*float64(len(a.arrivals)) {
			a.violate(6, now, q, "%d retries for %d queries and parts", len(a.retries), len(a.arrivals))
		}
	}
	q.executions[part] = append(executions, execution{sentAt: now, replica: replica})
}

// dropBefore removes the times before since from a sorted list.
func dropBefore(times []int64, since int64) []int64 {
	n := 0
	for n < len(times) && times[n] < since {
		n++
	}
	return times[n:]
}

// RecordOutcome records the result of an execution, independently of how the decider interprets it.
func (a *Aggregator) RecordOutcome(now int64, number int32, part, execution, outcome int) {
	q := a.queries[number]
	if q == nil || execution >= len(q.executions[part]) {
		return
	}
	r := &q.executions[part][execution]
	if load := a.loads[r.replica]; load != nil && !r.ended {
		if load.inFlight--; outcome != Fulfilled {
			load.lastFailure = now
		}
	}
	r.ended, r.result = true, outcome
	q.record(now, "execution %d of part %d %s", execution, part, [...]string{"fulfilled", "never ran", "may have run"}[outcome])
}

// RecordAnswer checks a final answer: whether it comes with values, and whether it claims to be whole.
func (a *Aggregator) RecordAnswer(now int64, number int32, hasValues, whole bool) {
	q := a.queries[number]
	if q == nil {
		a.violate(1, now, nil, "query %d has a second answer", number)
		return
	}
	q.record(now, "answered, values %v, whole %v", hasValues, whole)
	if q.answered {
		a.violate(1, now, q, "a second final answer")
	}
	if now > q.deadline {
		a.violate(1, now, q, "an answer after the client's timeout")
	}
	q.answered = true
	share, total := 0.0, 0.0
	for part, executions := range q.executions {
		total += q.weights[part]
		for _, r := range executions {
			if r.ended && r.result == Fulfilled {
				share += q.weights[part]
				break
			}
		}
	}
	share /= total
	const epsilon = 1e-9
	if q.answeredElsewhere {
		return
	}
	if hasValues && share < a.MinCoverage-epsilon || whole && share < a.FullCoverage-epsilon {
		a.violate(5, now, q, "an answer with values %v, whole %v from %.3f of the weight", hasValues, whole, share)
	}
}

// RecordForward checks a query that is forwarded over a link with a limit of queries per second. In any second, one and a half times
// the limit is allowed, plus one query.
func (a *Aggregator) RecordForward(now int64, link int, limit float64) {
	if a.forwards == nil {
		a.forwards = map[int][]int64{}
	}
	all := append(dropBefore(a.forwards[link], now-1e9), now)
	if a.forwards[link] = all; float64(len(all)) > 1.5*limit+1 {
		a.violate(RuleLinkRate, now, nil, "%d queries in a second over link %d, whose limit is %.1f", len(all), link, limit)
	}
}

// CheckQuota checks the sorted times at which all aggregators together admitted queries of a customer as within its quota. In any
// interval of S seconds, the bound is three times the rate over S plus two windows, plus the burst and one query per aggregator. S is
// one, three and ten windows; window is in seconds.
func CheckQuota(times []int64, customer string, rate, burst, window float64, aggregators int) []Violation {
	for _, windows := range []float64{1, 3, 10} {
		span := windows * window
		bound := 3*rate*(span+2*window) + burst + float64(aggregators)
		first := 0
		for i, at := range times {
			for float64(at-times[first])/1e9 > span {
				first++
			}
			if n := i - first + 1; float64(n) > bound {
				return []Violation{{RuleQuota, at, "customer " + customer, fmt.Sprintf("%d queries admitted within its quota in %.0f s, at most %.0f are allowed", n, span, bound)}}
			}
		}
	}
	return nil
}

// RecordElsewhere records that a query is answered by another site, whose aggregator has its own checker.
func (a *Aggregator) RecordElsewhere(number int32) {
	if q := a.queries[number]; q != nil {
		q.answeredElsewhere = true
	}
}

// ClientTimeout reports a query as lost if it has no answer when its client stops waiting. Forget drops its state later.
func (a *Aggregator) ClientTimeout(now int64, number int32) {
	if q := a.queries[number]; q != nil && !q.answered {
		a.violate(1, now, q, "no answer before the client's timeout")
	}
}

// Forget drops the state of a query, for which no more events can follow.
func (a *Aggregator) Forget(number int32) { delete(a.queries, number) }

// RecordCrash forgets all queries, whose loss by a crash is no violation, and all listings, which the aggregator gets again when it
// restarts.
func (a *Aggregator) RecordCrash() {
	a.queries, a.loads, a.holders, a.listed, a.retries = map[int32]*query{}, map[int]*replicaLoad{}, map[int][]int{}, map[int]bool{}, nil
}

// Replica checks the load on one replica while it is cold.
type Replica struct {
	Name           string
	Violations     []Violation
	ColdCapacity   float64 // share of its full capacity that the replica has right after the start
	WarmUpTime     int64   // time until full capacity, ns; the capacity grows linearly
	OverloadFactor float64 // multiple of its present capacity that crashes a cold replica
	OverloadSpan   int64   // interval in which the load is counted, ns
	WarmRate       float64 // executions per second when warm

	startedAt int64   // time of the last start; 0 if the replica was warm before the run
	arrivals  []int64 // times at which executions arrived within the last OverloadSpan
}

// RecordStart records that the replica has started and is cold.
func (r *Replica) RecordStart(now int64) { r.startedAt, r.arrivals = now, r.arrivals[:0] }

// RecordArrival records an execution that arrives. It returns true if the replica crashes by it, because it is cold and more than
// OverloadFactor times its present capacity has arrived within OverloadSpan.
func (r *Replica) RecordArrival(now int64) (crashes bool) {
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
		fmt.Sprintf("overloaded during warm-up: %d executions in %d ms, with a capacity of %.1f per second", len(r.arrivals), r.OverloadSpan/1e6, capacity)})
	return true
}
