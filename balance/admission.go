package balance

import "cmp"
import "math"
import "slices"

// Which queries are taken on, and how each ends.

type stage uint8

const unrequested, queued, running, answered, abandoned stage = 0, 1, 2, 3, 4 // given: up

type part struct {
	shard, step int
	weight      float64
	stage       stage
	queuedAt    int64   // wanted since
	draw        float64 // a cold replica takes it when its share is above that
	estimate    int64   // how long it should take, when it was last offered to be asked for
	mayHaveRun  int64   // when the first execution that may have run was sent
	executions  []execution
	replaced    bool // another part was asked for, should this one not come
}

// Query is the handle to one query that was taken.
type Query struct {
	agg                       *Aggregator
	workload                  *workload
	resetBy                   int  // the replica that it was last reset by at once, + 1
	deadly, fulfilled         bool // it was reset at once by two replicas, or a retry by one; a part of it was fulfilled
	parts                     []part
	size                      int
	arrivedAt, goal, deadline int64 // when; latest time for an answer within the latency goal, and for any
	step, stepsStarted        int   // 0, or 1 for the second; steps whose parts were asked for
	firstWhole, open          bool  // of the first step; it wants an answer yet
	priority                  Priority
}

// Open tells whether the query still wants a final answer.
func (q *Query) Open() bool { return q.open }

// AddQuery takes a query; its parts are added to the handle.
func (a *Aggregator) AddQuery(now int64, arrival Arrival) *Query {
	w := a.workloads[arrival.Workload]
	q := &Query{agg: a, workload: w, size: arrival.Parts, arrivedAt: now, open: true, priority: arrival.Priority}
	q.deadline = now + max(arrival.Timeout-marginTicks*a.Tick, 0)
	q.goal = now + max(w.LatencyGoal-marginTicks*a.Tick, 0)
	if w.LateShare == 0 { // what earns nothing is only load
		q.deadline = min(q.deadline, q.goal)
	}
	q.goal = min(q.goal, q.deadline)
	if n := a.leftAfter.count.sum(now); n > leaveShare*a.admitted.count.sum(now) {
		q.goal = min(q.goal, now+int64(a.leftAfter.at(now, 1)*float64(q.deadline-now)))
	}
	a.queries = append(a.queries, q)
	a.arrivals[0].add(now, float64(max(1-a.ShardBudgets, 0)))
	return q
}

// AddPart adds one part: right after Take, or as a second step's after the first answer.
func (q *Query) AddPart(shard int, weight float64) {
	q.parts = append(q.parts, part{shard: shard, weight: weight, step: q.step, mayHaveRun: never,
		draw: q.agg.rng.next()})
	q.agg.arrivals[shard%len(q.agg.arrivals)].add(q.arrivedAt, 1)
}

// weights sums up the present step: what is in, what is being asked for, what may still be, and all of it.
func (q *Query) weights() (have, asked, left, total float64) {
	for i := range q.parts {
		if p := &q.parts[i]; p.step == q.step {
			total += p.weight
			switch p.stage {
			case answered:
				have += p.weight
			case queued, running:
				asked += p.weight
			case unrequested:
				left += p.weight
			}
		}
	}
	return have, asked, left, total
}

// request marks the cheapest parts to be sent until they weigh need, leaving out those that should take longer
// than limit; it returns the weight still missing.
func (q *Query) request(now int64, need float64, limit int64) float64 {
	var offers []*part
	for i := range q.parts {
		if p := &q.parts[i]; p.step == q.step && p.stage == unrequested {
			p.estimate, _ = q.agg.bestEstimate(now, p, q.workload, false)
			offers = append(offers, p)
		}
	}
	slices.SortStableFunc(offers, func(x, y *part) int { return cmp.Compare(x.estimate, y.estimate) })
	for _, p := range offers {
		if need <= 1e-9 || p.estimate > limit {
			break
		}
		p.stage, p.queuedAt = queued, now
		need -= p.weight
	}
	return need
}

// start asks for the parts of the present step, or declines the query.
// Danger: work beyond what the replicas can do fills their queues with parts that come too late. So a query
// that should be late is declined before it costs anything, and a part is left out where an answer allows.
func (q *Query) start(now int64) {
	a, w := q.agg, q.workload
	q.stepsStarted++
	w.updateTypical(now)
	_, _, _, total := q.weights()
	if q.step > 0 {
		q.request(now, total, math.MaxInt64)
		return
	}
	need, least := w.FullCoverage, w.FullCoverage
	if w.MinCoverage < w.FullCoverage {
		need, least = total, w.MinCoverage
	}
	// Danger: a query of many parts meets the worst of many replicas, so a crowd would shut out its workload.
	fair := 1 + a.admitted.at(now, 0) - w.admitted.at(now, 0)
	// Danger: and what is worth little for its many parts would use up the room of what is worth more.
	parts := float64(len(q.parts))
	worth := cmp.Or(w.Value/parts, 1)
	a.value.add(now, worth*parts, parts)
	fair *= math.Pow(worth/a.value.at(now, 1), 1-a.admitted.at(now, 1))
	limit := min(admitShare*fair, 1) * float64(q.goal-now) * [...]float64{1, excessShare, retryShare}[q.priority]
	missing := q.request(now, min(least, total), int64(limit)) + need - least
	if need > least {
		missing = q.request(now, missing, int64(min(limit, admitShare*float64(cmp.Or(w.OptionalGoal, a.minGoal)))))
	}
	if need-missing < least-epsilon {
		if q.priority == FirstTry { // Danger: one customer's excess would pass for want of room, and loosen all limits
			w.admitted.add(now, 0, 1)
			a.admitted.add(now, 0, 1)
		}
		q.fail()
		return
	}
	w.admitted.add(now, 1, 1)
	a.admitted.add(now, 1, 1)
}

// RetryAfter is how long a declined client ought to wait, also one whom the caller has no room for; 0 for none.
func (a *Aggregator) RetryAfter() int64 { return min(retryAfter, a.MaxRetryAfter) }

// ready tells whether the query is open and the parts of its present step are there.
func (q *Query) ready() bool {
	n := len(q.parts)
	return q.open && n > 0 && n >= q.size && q.parts[n-1].step == q.step
}

// settle ends the query if its time has come, and returns when to look again.
func (q *Query) settle(now int64) int64 {
	w := q.workload
	if !q.ready() {
		if now >= q.deadline {
			q.finish(Forfeited)
		}
		return q.deadline
	}
	have, asked, left, total := q.weights()
	need, floor := w.FullCoverage, w.MinCoverage
	if q.step > 0 {
		need = total
	}
	whole := have >= need-epsilon
	enough := have >= floor-epsilon && (floor < need || whole)
	switch {
	case whole && (q.step == 0 || q.firstWhole):
		q.finish(Whole)
	case whole, enough && asked == 0 && q.stepsStarted > q.step:
		q.finish(Partial)
	case enough && (now >= q.deadline || now >= q.goal && w.PartialShare*have >= w.LateShare*need):
		q.finish(Partial)
	case q.deadly: // a decline would say that trying again does no harm
		q.finish(Forfeited)
	case now >= q.deadline, have+asked+left < floor-epsilon:
		q.fail()
	case now < q.goal:
		return q.goal
	}
	return q.deadline
}

// finish ends the query, or its first step.
func (q *Query) finish(final Outcome) {
	a := q.agg
	e := Ending{Query: q, Outcome: final}
	if final == Declined {
		e.RetryAfter = a.RetryAfter()
	}
	a.round.Endings = append(a.round.Endings, e)
	if final <= Partial && q.step == 0 && q.workload.FollowUpParts > 0 {
		q.firstWhole, q.step = final == Whole, 1
		return
	}
	q.close()
}

// fail ends the query unserved: declined where trying again does no harm.
func (q *Query) fail() {
	final := Declined
	ran := slices.ContainsFunc(q.parts, func(p part) bool { return p.mayHaveRun != never })
	if ran && q.workload.RetrySafety != Repeatable {
		final = Forfeited
	}
	q.finish(final)
}

// ClientLeft tells that the client has gone. Danger: where many go before the time told, later answers are lost.
func (q *Query) ClientLeft(now int64) {
	q.agg.leftAfter.add(now, float64(now-q.arrivedAt)/float64(max(q.deadline-q.arrivedAt, 1)), 1)
	q.close()
}

// close ends the query and cancels what is still out, so that replicas that can stop do.
func (q *Query) close() {
	q.open = false
	for i := 0; q.agg.CanCancel && i < len(q.parts); i++ {
		for n, e := range q.parts[i].executions {
			if !e.ended {
				q.agg.cancels = append(q.agg.cancels, Cancel{q, i, n})
			}
		}
	}
}
