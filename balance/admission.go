package balance

import "cmp"
import "math"
import "slices"

// Which queries are taken on, and how each ends.

type stage uint8

const unasked, wanted, out, in, given stage = 0, 1, 2, 3, 4 // given: up

type part struct {
	shard, step int
	weight      float64
	stage       stage
	since       int64   // wanted since
	lot         float64 // a cold replica takes it when its share is above that
	offer       int64   // how long it should take, when it was last offered to be asked for
	mayHaveRun  int64   // when the first execution that may have run was sent
	executions  []execution
	spared      bool // another part was asked for, should this one not come
}

// Query is the handle to one query that was taken.
type Query struct {
	agg              *Aggregator
	workload         *workload
	broke            int  // the replica that it was last reset by at once, + 1
	deadly, proven   bool // it was reset at once by two replicas, or a retry by one; a part of it was fulfilled
	parts            []part
	expected         int
	taken, goal, end int64 // when; latest time for an answer within the latency goal, and for any
	step, begun      int   // 0, or 1 for the second; steps whose parts were asked for
	whole, open      bool  // of the first step; it wants an answer yet
	claim            Claim
}

// Open tells whether the query still wants a final answer.
func (q *Query) Open() bool { return q.open }

// Take takes a query; its parts are added to the handle.
func (a *Aggregator) Take(now int64, arrival Arrival) *Query {
	w := a.workloads[arrival.Workload]
	q := &Query{agg: a, workload: w, expected: arrival.Parts, taken: now, open: true, claim: arrival.Claim}
	q.end = now + max(arrival.Patience-spareTicks*a.Tick, 0)
	q.goal = now + max(w.LatencyGoal-spareTicks*a.Tick, 0)
	if w.LateShare == 0 { // what earns nothing is only load
		q.end = min(q.end, q.goal)
	}
	q.goal = min(q.goal, q.end)
	if n := a.left.n.sum(now); n > leaveShare*a.taken.n.sum(now) {
		q.goal = min(q.goal, now+int64(a.left.of(now, 1)*float64(q.end-now)))
	}
	a.queries = append(a.queries, q)
	a.handed[0].add(now, float64(max(1-a.Accounts, 0)))
	return q
}

// AddPart adds one part: right after Take, or as a second step's after the first answer.
func (q *Query) AddPart(shard int, weight float64) {
	q.parts = append(q.parts, part{shard: shard, weight: weight, step: q.step, mayHaveRun: never,
		lot: q.agg.chance.next()})
	q.agg.handed[shard%len(q.agg.handed)].add(q.taken, 1)
}

// weights sums up the present step: what is in, what is being asked for, what may still be, and all of it.
func (q *Query) weights() (have, asked, left, total float64) {
	for i := range q.parts {
		if p := &q.parts[i]; p.step == q.step {
			total += p.weight
			switch p.stage {
			case in:
				have += p.weight
			case wanted, out:
				asked += p.weight
			case unasked:
				left += p.weight
			}
		}
	}
	return have, asked, left, total
}

// ask marks the cheapest parts to be sent until they weigh need, leaving out those that should take longer
// than limit; it returns the weight still missing.
func (q *Query) ask(now int64, need float64, limit int64) float64 {
	var offers []*part
	for i := range q.parts {
		if p := &q.parts[i]; p.step == q.step && p.stage == unasked {
			p.offer, _ = q.agg.expect(now, p, q.workload, false)
			offers = append(offers, p)
		}
	}
	slices.SortStableFunc(offers, func(x, y *part) int { return cmp.Compare(x.offer, y.offer) })
	for _, p := range offers {
		if need <= 1e-9 || p.offer > limit {
			break
		}
		p.stage, p.since = wanted, now
		need -= p.weight
	}
	return need
}

// begin asks for the parts of the present step, or declines the query.
// Danger: work beyond what the replicas can do fills their queues with parts that come too late. So a query
// that should be late is declined before it costs anything, and a part is left out where an answer allows.
func (q *Query) begin(now int64) {
	a, w := q.agg, q.workload
	q.begun++
	w.look(now)
	_, _, _, total := q.weights()
	if q.step > 0 {
		q.ask(now, total, math.MaxInt64)
		return
	}
	need, least := w.Need, w.Need
	if w.Floor < w.Need {
		need, least = total, w.Floor
	}
	// Danger: a query of many parts meets the worst of many replicas, so a crowd would shut out its workload.
	fair := 1 + a.taken.of(now, 0) - w.taken.of(now, 0)
	// Danger: and what is worth little for its many parts would use up the room of what is worth more.
	parts := float64(len(q.parts))
	worth := cmp.Or(w.Worth/parts, 1)
	a.worth.add(now, worth*parts, parts)
	fair *= math.Pow(worth/a.worth.of(now, 1), 1-a.taken.of(now, 1))
	limit := min(admitShare*fair, 1) * float64(q.goal-now) * [...]float64{1, overShare, retryShare}[q.claim]
	missing := q.ask(now, min(least, total), int64(limit)) + need - least
	if need > least {
		missing = q.ask(now, missing, int64(min(limit, admitShare*float64(cmp.Or(w.SpareGoal, a.shortest)))))
	}
	if need-missing < least-slack {
		if q.claim == FirstTry { // Danger: one customer's excess would pass for want of room, and loosen all limits
			w.taken.add(now, 0, 1)
			a.taken.add(now, 0, 1)
		}
		q.giveUp()
		return
	}
	w.taken.add(now, 1, 1)
	a.taken.add(now, 1, 1)
}

// Advice is how long a declined client ought to wait, also one whom the caller has no room for; 0 for none.
func (a *Aggregator) Advice() int64 { return min(comeBack, a.MaxComeBack) }

// ready tells whether the query is open and the parts of its present step are there.
func (q *Query) ready() bool {
	n := len(q.parts)
	return q.open && n > 0 && n >= q.expected && q.parts[n-1].step == q.step
}

// settle ends the query if its time has come, and returns when to look again.
func (q *Query) settle(now int64) int64 {
	w := q.workload
	if !q.ready() {
		if now >= q.end {
			q.finish(Forfeited)
		}
		return q.end
	}
	have, asked, left, total := q.weights()
	need, floor := w.Need, w.Floor
	if q.step > 0 {
		need = total
	}
	whole := have >= need-slack
	enough := have >= floor-slack && (floor < need || whole)
	switch {
	case whole && (q.step == 0 || q.whole):
		q.finish(Whole)
	case whole, enough && asked == 0 && q.begun > q.step:
		q.finish(Partial)
	case enough && (now >= q.end || now >= q.goal && w.PartialShare*have >= w.LateShare*need):
		q.finish(Partial)
	case q.deadly: // a decline would say that trying again does no harm
		q.finish(Forfeited)
	case now >= q.end, have+asked+left < floor-slack:
		q.giveUp()
	case now < q.goal:
		return q.goal
	}
	return q.end
}

// finish ends the query, or its first step.
func (q *Query) finish(final Final) {
	a := q.agg
	e := Ending{Query: q, Final: final}
	if final == Declined {
		e.ComeBack = a.Advice()
	}
	a.round.Endings = append(a.round.Endings, e)
	if final <= Partial && q.step == 0 && q.workload.FollowUp > 0 {
		q.whole, q.step = final == Whole, 1
		return
	}
	q.close()
}

// giveUp ends the query unserved: declined where trying again does no harm.
func (q *Query) giveUp() {
	final := Declined
	ran := slices.ContainsFunc(q.parts, func(p part) bool { return p.mayHaveRun != never })
	if ran && q.workload.Effect != Repeatable {
		final = Forfeited
	}
	q.finish(final)
}

// Leave tells that the client has gone. Danger: where many go before the time told, later answers are lost.
func (q *Query) Leave(now int64) {
	q.agg.left.add(now, float64(now-q.taken)/float64(max(q.end-q.taken, 1)), 1)
	q.close()
}

// close ends the query and cancels what is still out, so that replicas that can stop do.
func (q *Query) close() {
	q.open = false
	for i := 0; q.agg.Cancels && i < len(q.parts); i++ {
		for n, e := range q.parts[i].executions {
			if !e.over {
				q.agg.cancels = append(q.agg.cancels, Cancel{q, i, n})
			}
		}
	}
}
