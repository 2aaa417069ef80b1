package balance

import "cmp"
import "math"
import "slices"

type stage uint8

const unrequested, queued, running, answered, abandoned stage = 0, 1, 2, 3, 4 // stages of a part

type part struct {
	shard, step int
	weight      float64
	stage       stage
	queuedAt    int64   // when it began to wait for a replica, ns
	draw        float64 // random number: a cold replica takes the part if its share is above this
	estimate    int64   // expected time when the parts were last ranked by request, ns
	mayHaveRun  int64   // send time of the first execution that may have run
	executions  []execution
	replaced    bool // another part was requested in case this one does not come
}

// Query is the state of a query that was handed over, and its handle for the caller.
type Query struct {
	agg                       *Aggregator
	workload                  *workload
	resetBy                   int  // 1 + index of the last replica that reset it at once; 0 for none
	deadly, fulfilled         bool // two replicas, or one for a retry, reset it at once; a part was fulfilled
	parts                     []part
	size                      int
	arrivedAt, goal, deadline int64 // arrival; latest time for an answer within the latency goal, and for any
	step, stepsStarted        int   // 0, or 1 in the second step; steps whose parts were requested
	firstWhole, open          bool  // the first step had a whole answer; the final answer is pending
	priority                  Priority
}

// Open tells whether the final answer is still pending.
func (q *Query) Open() bool { return q.open }

// AddQuery hands over a query; AddPart then adds its parts.
func (a *Aggregator) AddQuery(now int64, arrival Arrival) *Query {
	w := a.workloads[arrival.Workload]
	q := &Query{agg: a, workload: w, size: arrival.Parts, arrivedAt: now, open: true, priority: arrival.Priority}
	q.deadline = now + max(arrival.Timeout-marginTicks*a.Tick, 0)
	q.goal = now + max(w.LatencyGoal-marginTicks*a.Tick, 0)
	if w.LateShare == 0 { // a late answer would earn nothing
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

// AddPart adds one part: of the first step right after AddQuery, of a second step after the first answer.
func (q *Query) AddPart(shard int, weight float64) {
	q.parts = append(q.parts, part{shard: shard, weight: weight, step: q.step, mayHaveRun: never,
		draw: q.agg.rng.next()})
	q.agg.arrivals[shard%len(q.agg.arrivals)].add(q.arrivedAt, 1)
}

// weights sums up the weights of the current step: answered, requested, not requested yet, and all.
func (q *Query) weights() (have, requested, available, total float64) {
	for i := range q.parts {
		if p := &q.parts[i]; p.step == q.step {
			total += p.weight
			switch p.stage {
			case answered:
				have += p.weight
			case queued, running:
				requested += p.weight
			case unrequested:
				available += p.weight
			}
		}
	}
	return have, requested, available, total
}

// request queues the fastest parts until they weigh need, none over limit, ns, and returns what is missing.
func (q *Query) request(now int64, need float64, limit int64) float64 {
	var candidates []*part
	for i := range q.parts {
		if p := &q.parts[i]; p.step == q.step && p.stage == unrequested {
			p.estimate, _ = q.agg.bestEstimate(now, p, q.workload, false)
			candidates = append(candidates, p)
		}
	}
	slices.SortStableFunc(candidates, func(x, y *part) int { return cmp.Compare(x.estimate, y.estimate) })
	for _, p := range candidates {
		if need <= 1e-9 || p.estimate > limit {
			break
		}
		p.stage, p.queuedAt = queued, now
		need -= p.weight
	}
	return need
}

// start requests the parts of the current step, or declines the query. Danger: work beyond the capacity fills
// queues with parts that come too late. So late queries are declined, and parts that may be left out are.
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
	// Danger: a query of many parts waits for its slowest replica: overload would shut out its workload. Only
	// queries for the same shard make room for it: declines for a faulty service would have all others declined.
	beside, own := &a.shardAdmitted[q.parts[0].shard%len(a.shardAdmitted)], w.admitted.at(now, 0)
	fair := 1 + max(a.admitted.at(now, 0), beside.at(now, own)) - own
	// Danger: queries with little value per part would use up the capacity for those with more.
	parts := float64(len(q.parts))
	value := cmp.Or(w.Value/parts, 1)
	a.value.add(now, value*parts, parts)
	fair *= math.Pow(value/a.value.at(now, 1), 1-beside.at(now, 1))
	limit := min(admitShare*fair, 1) * float64(q.goal-now) * [...]float64{1, excessShare, retryShare}[q.priority]
	missing := q.request(now, min(least, total), int64(limit)) + need - least
	if need > least {
		missing = q.request(now, missing, int64(min(limit, admitShare*float64(cmp.Or(w.OptionalGoal, a.minGoal)))))
	}
	if need-missing < least-epsilon {
		if q.priority == FirstTry { // Danger: one customer's excess would seem like overload and loosen all limits
			w.admitted.add(now, 0, 1)
			a.admitted.add(now, 0, 1)
			beside.add(now, 0, 1)
		}
		q.fail()
		return
	}
	w.admitted.add(now, 1, 1)
	a.admitted.add(now, 1, 1)
	beside.add(now, 1, 1)
}

// RetryAfter is the wait advised to declined clients, ns, also if the caller itself declines; 0 for none.
func (a *Aggregator) RetryAfter() int64 { return min(retryAfter, a.MaxRetryAfter) }

// ready tells whether the query is open and has the parts of its current step.
func (q *Query) ready() bool {
	return q.open && len(q.parts) >= max(q.size, 1) && q.parts[len(q.parts)-1].step == q.step
}

// settle ends the query or its first step if it is time, and returns when to check again.
func (q *Query) settle(now int64) int64 {
	w := q.workload
	if !q.ready() {
		if now >= q.deadline {
			q.finish(Forfeited)
		}
		return q.deadline
	}
	have, requested, available, total := q.weights()
	need, floor := w.FullCoverage, w.MinCoverage
	if q.step > 0 {
		need = total
	}
	whole := have >= need-epsilon
	enough := have >= floor-epsilon && (floor < need || whole)
	switch {
	case whole && (q.step == 0 || q.firstWhole):
		q.finish(Whole)
	case whole, enough && requested == 0 && q.stepsStarted > q.step,
		enough && (now >= q.deadline || now >= q.goal && w.PartialShare*have >= w.LateShare*need):
		q.finish(Partial)
	case q.deadly: // a decline would promise that a retry does no harm
		q.finish(Forfeited)
	case now >= q.deadline, have+requested+available < floor-epsilon:
		q.fail()
	case now < q.goal:
		return q.goal
	}
	return q.deadline
}

// finish answers the query, or its first step.
func (q *Query) finish(outcome Outcome) {
	a := q.agg
	e := Ending{Query: q, Outcome: outcome}
	if outcome == Declined {
		e.RetryAfter = a.RetryAfter()
	}
	a.round.Endings = append(a.round.Endings, e)
	if outcome <= Partial && q.step == 0 && q.workload.FollowUpParts > 0 {
		q.firstWhole, q.step = outcome == Whole, 1
		return
	}
	q.close()
}

// fail ends the query without an answer: declined if a retry does no harm, else forfeited.
func (q *Query) fail() {
	outcome := Declined
	ran := slices.ContainsFunc(q.parts, func(p part) bool { return p.mayHaveRun != never })
	if ran && q.workload.RetrySafety != Repeatable {
		outcome = Forfeited
	}
	q.finish(outcome)
}

// ClientLeft ends a query whose client has left. Danger: if many leave early, answers after that are lost.
func (q *Query) ClientLeft(now int64) {
	q.agg.leftAfter.add(now, float64(now-q.arrivedAt)/float64(max(q.deadline-q.arrivedAt, 1)), 1)
	q.close()
}

// close ends the query and cancels its executions, so that replicas stop if they can.
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
