package balance

import "cmp"
import "math"
import "slices"

// What became of an execution, when a part runs again, and when it is given up.

// call is what travels together to one replica; the count falls when its last part is done.
type call struct{ parts, round int }

type execution struct {
	call            *call
	sentAt, stalled int64 // when; and how long the process had stood by then, ns
	replica         int
	idle            int64 // how long the connection had not been used, ns; 0 for a new one
	inFlight        int   // own calls out there at the send, with this one
	ended, recalled bool  // overdue: given up by this aggregator as too long
	silent          bool  // its replica has said nothing since
}

// stallSince is how long the process itself stood since the execution was sent, ns.
func (e *execution) stallSince(a *Aggregator) int64 { return a.stalled - e.stalled }

// RecordResult books how an execution ended; false means that it was over before.
func (q *Query) RecordResult(now int64, number, execution int, result Result, took int64) bool {
	if number >= len(q.parts) || execution >= len(q.parts[number].executions) ||
		q.parts[number].executions[execution].ended {
		return false
	}
	p := &q.parts[number]
	e := &p.executions[execution]
	e.ended = true
	r := &q.agg.replicas[e.replica]
	r.lastUsed = now
	if e.call.parts--; e.call.parts == 0 {
		r.calls--
	}
	if result.NeverRan() && p.mayHaveRun == e.sentAt {
		p.mayHaveRun = never
	}
	if e.recalled && result == Cancelled {
		result = TimedOut
	}
	verdict, own := result, e.stallSince(q.agg)
	if own > 0 && (result == TimedOut || result == Reset || result == ConnectFailed) {
		verdict = Cancelled
	}
	switch result {
	case Fulfilled:
		r.servedAt, r.stale, q.fulfilled = now, false, true
		q.agg.recordIdle(now, e.idle, 0)
		if own == 0 {
			q.workload.logTimes.add(now, math.Log(float64(max(took, ms))), 1)
			q.workload.updateTypical(now)
		}
	case TimedOut:
		if e.silent && own == 0 {
			q.agg.recordIdle(now, e.idle, 1)
		}
	case Full, ConnectFailed:
		// Danger: a replica that turns all away at once always has the lowest count and draws every part.
		r.skipUntil = max(r.skipUntil, now+q.workload.typical)
		if result == Full {
			q.agg.observe(now, r, math.MaxFloat64, 1)
		}
	case Reset:
		// Danger: what closes idle connections on the way would fail most queries, and pass for queries that kill.
		q.agg.recordIdle(now, e.idle, 1)
		r.connected = false
		// Danger: a query that kills its replicas, at once, kills their peers as well if its parts run again.
		if took < q.workload.typical/fastResetPart && !q.fulfilled {
			q.deadly = q.deadly || q.priority == Retry && e.idle < idleMin || q.resetBy > 0 && q.resetBy != e.replica+1
			q.resetBy = e.replica + 1
		}
	}
	// Danger: leaving out what was cut short would show a jammed replica at its best.
	// How long it took while the process itself stood is not known.
	slots, cutShort := float64(e.inFlight), result == Cancelled || result == TimedOut
	if own == 0 && (result == Fulfilled || cutShort && float64(took) > r.callTime.at(now, 0)*slots) {
		q.agg.observe(now, r, float64(took), slots)
		r.callTime.add(now, float64(took), slots)
		r.recent.add(now, float64(took), slots)
		q.agg.callTime[int(q.workload.row)%len(q.agg.callTime)].add(now, float64(took), slots)
	}
	if execution > 0 && p.executions[execution-1].recalled && result != Cancelled && result != Unsent {
		step := overdueStep
		if result == Fulfilled && took < soonFactor*q.workload.typical {
			step = 1 / step
		}
		q.agg.overdueFactor = min(max(q.agg.overdueFactor*step, overdueMin), overdueMax)
	}
	q.agg.updateHealth(now, r, e.sentAt, verdict)
	switch {
	case result == Fulfilled && q.open && p.stage != abandoned:
		p.stage = answered
	case p.stage == running:
		p.stage, p.queuedAt = queued, now
	}
	return true
}

// overdueAfter is how long an execution may take; each further one gets longer, for the part may be a heavy one.
func (q *Query) overdueAfter(executions int) int64 {
	return int64(float64(q.workload.typical)*q.agg.overdueFactor) << (executions - 1)
}

// sendDeadline is when an execution is dropped at the replica: where nothing can be cancelled, when it is overdue.
func (q *Query) sendDeadline(now int64, executions int) int64 {
	a, w := q.agg, q.workload
	if t := now + q.overdueAfter(executions); !a.CanCancel && t+w.typical < q.goal && !a.Budgeted &&
		executions < cmp.Or(w.MaxExecutions, a.MaxExecutions) && w.RetrySafety == Repeatable {
		return t
	}
	return q.deadline
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
	since := e.sentAt + e.stallSince(a)
	half, due := since+q.overdueAfter(n+1)/2, since+q.overdueAfter(n+1)
	if now < half {
		return half
	}
	if r.servedAt < e.sentAt {
		e.silent, r.stale = true, true
	}
	if !p.replaced { // where any so many parts do, another can come in its place
		p.replaced = true
		q.request(now, p.weight, math.MaxInt64)
	}
	if now < due {
		return due
	}
	left, next := q.goal-now, (q.goal+q.deadline)/2
	if now >= next {
		left, next = q.deadline-now, q.deadline
	}
	// Danger: what cannot run again, by the rules or in the time left, is not taken back: in a jam, work twice.
	if (r.ejected || r.servedAt < e.sentAt) && !e.recalled && a.CanCancel && q.mayRetry(now, p) {
		answered := func(by int64) bool {
			return slices.ContainsFunc(a.holders[p.shard], func(h int) bool { return a.replicas[h].servedAt >= by })
		}
		if answered(half) || now >= q.goal && answered(e.sentAt) {
			left = q.deadline - now
		} else if !answered(e.sentAt) {
			left /= 2
		}
		if again, _ := a.bestEstimate(now, p, q.workload, false); again < left {
			e.recalled = true
			a.cancels = append(a.cancels, Cancel{q, number, n})
		}
	}
	return next
}

// mayRetry tells whether the rules allow a part a further execution.
func (q *Query) mayRetry(now int64, p *part) bool {
	a, w := q.agg, q.workload
	if len(p.executions) >= cmp.Or(w.MaxExecutions, a.MaxExecutions) ||
		w.RetrySafety == OnceOnly && p.mayHaveRun != never ||
		w.RetrySafety == Deduplicated && p.mayHaveRun != never && now >= p.mayHaveRun+w.DedupWindow-a.Tick {
		return false
	}
	return !a.Budgeted || a.SlackUsed(now, p.shard%len(a.retries))+1 <= a.RetrySlack
}

// SlackUsed is how many further executions a budget has had beyond the share of what was handed over.
func (a *Aggregator) SlackUsed(now int64, budget int) float64 {
	return a.retries[budget].sum(now) - a.RetryRatio*a.arrivals[budget].sumWithin(now)
}
