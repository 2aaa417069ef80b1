package balance

import "cmp"
import "math"
import "slices"

// What became of an execution, when a part runs again, and when it is given up.

// call is what travels together to one replica; the count falls when its last part is done.
type call struct{ parts, round int }

type execution struct {
	call          *call
	sentAt, stood int64 // when; and how long the process had stood by then, ns
	replica       int
	idle          int64 // how long the connection had not been used, ns; 0 for a new one
	slots         int   // own calls out there at the send, with this one
	over, overdue bool  // overdue: given up by this aggregator as too long
	silent        bool  // its replica has said nothing since
}

// own is how long the process itself stood since the execution was sent, ns.
func (e *execution) own(a *Aggregator) int64 { return a.stood - e.stood }

// Outcome books how an execution ended; false means that it was over before.
func (q *Query) Outcome(now int64, number, execution int, result Result, took int64) bool {
	if number >= len(q.parts) || execution >= len(q.parts[number].executions) ||
		q.parts[number].executions[execution].over {
		return false
	}
	p := &q.parts[number]
	e := &p.executions[execution]
	e.over = true
	r := &q.agg.replicas[e.replica]
	r.lastUsed = now
	if e.call.parts--; e.call.parts == 0 {
		r.calls--
	}
	if result.NeverRan() && p.mayHaveRun == e.sentAt {
		p.mayHaveRun = never
	}
	if e.overdue && result == Cancelled {
		result = TimedOut
	}
	verdict, own := result, e.own(q.agg)
	if own > 0 && (result == TimedOut || result == Reset || result == ConnectFailed) {
		verdict = Cancelled
	}
	switch result {
	case Fulfilled:
		r.heard, r.stale, q.proven = now, false, true
		q.agg.bookIdle(now, e.idle, 0)
		if own == 0 {
			q.workload.logs.add(now, math.Log(float64(max(took, ms))), 1)
			q.workload.look(now)
		}
	case TimedOut:
		if e.silent && own == 0 {
			q.agg.bookIdle(now, e.idle, 1)
		}
	case Full, ConnectFailed:
		// Danger: a replica that turns all away at once always has the lowest count and draws every part.
		r.jammed = max(r.jammed, now+q.workload.middle)
		if result == Full {
			q.agg.meet(now, r, math.MaxFloat64, 1)
		}
	case Reset:
		// Danger: what closes idle connections on the way would fail most queries, and pass for queries that kill.
		q.agg.bookIdle(now, e.idle, 1)
		r.connected = false
		// Danger: a query that kills its replicas, at once, kills their peers as well if its parts run again.
		if took < q.workload.middle/atOnce && !q.proven {
			q.deadly = q.deadly || q.claim == Retry && e.idle < idleLeast || q.broke > 0 && q.broke != e.replica+1
			q.broke = e.replica + 1
		}
	}
	// Danger: leaving out what was cut short would show a jammed replica at its best.
	// How long it took while the process itself stood is not known.
	slots, cutShort := float64(e.slots), result == Cancelled || result == TimedOut
	if own == 0 && (result == Fulfilled || cutShort && float64(took) > r.slot.of(now, 0)*slots) {
		q.agg.meet(now, r, float64(took), slots)
		r.slot.add(now, float64(took), slots)
		r.lately.add(now, float64(took), slots)
		q.agg.slot[int(q.workload.row)%len(q.agg.slot)].add(now, float64(took), slots)
	}
	if execution > 0 && p.executions[execution-1].overdue && result != Cancelled && result != Moot {
		step := patienceStep
		if result == Fulfilled && took < soonMul*q.workload.middle {
			step = 1 / step
		}
		q.agg.patience = min(max(q.agg.patience*step, patienceLeast), patienceMost)
	}
	q.agg.judge(now, r, e.sentAt, verdict)
	switch {
	case result == Fulfilled && q.open && p.stage != given:
		p.stage = in
	case p.stage == out:
		p.stage, p.since = wanted, now
	}
	return true
}

// overdue is how long an execution may take; each further one gets longer, for the part may be a heavy one.
func (q *Query) overdue(executions int) int64 {
	return int64(float64(q.workload.middle)*q.agg.patience) << (executions - 1)
}

// cut is when an execution is dropped at the replica: where nothing can be cancelled, when it is overdue.
func (q *Query) cut(now int64, executions int) int64 {
	a, w := q.agg, q.workload
	if t := now + q.overdue(executions); !a.Cancels && t+w.middle < q.goal && !a.Budgeted &&
		executions < cmp.Or(w.MaxExecutions, a.MaxExecutions) && w.Effect == Repeatable {
		return t
	}
	return q.end
}

// recall cancels an overdue execution on a replica that is in doubt, so that the part can run elsewhere.
// Danger: what is cancelled may go on running and jam peers. Only replicas set aside or silent since the send
// lose their parts. Where a part then comes soon the next recall is sooner, else later. Where no holder of
// the shard has answered of late their jam may not be known here yet, so a peer must be expected sooner.
func (q *Query) recall(now int64, number int) int64 {
	a, p := q.agg, &q.parts[number]
	n := len(p.executions) - 1
	e := &p.executions[n]
	r := &a.replicas[e.replica]
	since := e.sentAt + e.own(a)
	half, due := since+q.overdue(n+1)/2, since+q.overdue(n+1)
	if now < half {
		return half
	}
	if r.heard < e.sentAt {
		e.silent, r.stale = true, true
	}
	if !p.spared { // where any so many parts do, another can come in its place
		p.spared = true
		q.ask(now, p.weight, math.MaxInt64)
	}
	if now < due {
		return due
	}
	left, next := q.goal-now, (q.goal+q.end)/2
	if now >= next {
		left, next = q.end-now, q.end
	}
	// Danger: what cannot run again, by the rules or in the time left, is not taken back: in a jam, work twice.
	if (r.aside || r.heard < e.sentAt) && !e.overdue && a.Cancels && q.mayRun(now, p) {
		answered := func(by int64) bool {
			return slices.ContainsFunc(a.holders[p.shard], func(h int) bool { return a.replicas[h].heard >= by })
		}
		if answered(half) || now >= q.goal && answered(e.sentAt) {
			left = q.end - now
		} else if !answered(e.sentAt) {
			left /= 2
		}
		if again, _ := a.expect(now, p, q.workload, false); again < left {
			e.overdue = true
			a.cancels = append(a.cancels, Cancel{q, number, n})
		}
	}
	return next
}

// mayRun tells whether the rules allow a part a further execution.
func (q *Query) mayRun(now int64, p *part) bool {
	a, w := q.agg, q.workload
	if len(p.executions) >= cmp.Or(w.MaxExecutions, a.MaxExecutions) ||
		w.Effect == OnceOnly && p.mayHaveRun != never ||
		w.Effect == Tagged && p.mayHaveRun != never && now >= p.mayHaveRun+w.RepeatWindow-a.Tick {
		return false
	}
	return !a.Budgeted || a.FreeUsed(now, p.shard%len(a.further))+1 <= a.FurtherFree
}

// FreeUsed is how many further executions a budget has had beyond the share of what was handed over.
func (a *Aggregator) FreeUsed(now int64, budget int) float64 {
	return a.further[budget].sum(now) - a.FurtherShare*a.handed[budget].within(now)
}
