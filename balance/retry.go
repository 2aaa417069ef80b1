package balance

import "cmp"
import "math"
import "slices"

// call is one message to a replica; parts counts the parts in it that have no result yet.
type call struct{ parts, round int }

// execution is one run of a part at a replica.
type execution struct {
	call            *call
	sentAt, stalled int64 // time of the send; Aggregator.stalled at that time, ns
	replica         int
	idle            int64 // how long its connection had been unused, ns; 0 for a new one
	inFlight        int   // own calls in flight at the replica at the send, with this one
	ended, recalled bool  // has a result; was cancelled as overdue
	silent          bool  // the replica has answered nothing since the send
}

// stallSince is how long the process itself stood still since the send, ns.
func (e *execution) stallSince(a *Aggregator) int64 { return a.stalled - e.stalled }

// RecordResult records how an execution ended; false means that it is unknown or had ended before.
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
	healthResult, stall := result, e.stallSince(q.agg)
	if stall > 0 && (result == TimedOut || result == Reset || result == ConnectFailed) {
		healthResult = Cancelled
	}
	switch result {
	case Fulfilled:
		r.servedAt, r.stale, q.fulfilled = now, false, true
		q.agg.recordIdle(now, e.idle, 0)
		if stall == 0 {
			q.workload.logTimes.add(now, math.Log(float64(max(took, ms))), 1)
			q.workload.updateTypical(now)
		}
	case TimedOut:
		if e.silent && stall == 0 {
			q.agg.recordIdle(now, e.idle, 1)
		}
	case Full, ConnectFailed:
		// Danger: a replica that rejects parts at once always has the lowest cost and would draw every part.
		r.skipUntil = max(r.skipUntil, now+q.workload.typical)
		if result == Full {
			q.agg.observe(now, r, math.MaxFloat64, 1)
		}
	case Reset:
		// Danger: a device that closes idle connections would fail most queries and make them seem deadly.
		q.agg.recordIdle(now, e.idle, 1)
		r.connected = false
		// Danger: a query that crashes its replicas at once would crash their peers if its parts ran again.
		if took < q.workload.typical/fastResetPart && !q.fulfilled {
			q.deadly = q.deadly || q.priority == Retry && e.idle < idleMin || q.resetBy > 0 && q.resetBy != e.replica+1
			q.resetBy = e.replica + 1
		}
	}
	// Danger: without the executions that were cut short a congested replica would look its best.
	// If the process itself stood still meanwhile, how long the execution took is not known.
	calls, cutShort := float64(e.inFlight), result == Cancelled || result == TimedOut
	if stall == 0 && (result == Fulfilled || cutShort && float64(took) > r.callTime.at(now, 0)*calls) {
		q.agg.observe(now, r, float64(took), calls)
		r.callTime.add(now, float64(took), calls)
		r.recent.add(now, float64(took), calls)
		q.agg.callTime[int(q.workload.row)%len(q.agg.callTime)].add(now, float64(took), calls)
	}
	if execution > 0 && p.executions[execution-1].recalled && result != Cancelled && result != Unsent {
		step := overdueStep
		if result == Fulfilled && took < soonFactor*q.workload.typical {
			step = 1 / step
		}
		q.agg.overdueFactor = min(max(q.agg.overdueFactor*step, overdueMin), overdueMax)
	}
	q.agg.updateHealth(now, r, e.sentAt, healthResult)
	switch {
	case result == Fulfilled && q.open && p.stage != abandoned:
		p.stage = answered
	case p.stage == running:
		p.stage, p.queuedAt = queued, now
	}
	return true
}

// overdueAfter is how long an execution may take, ns; doubled for each retry: the part may be a heavy one.
func (q *Query) overdueAfter(executions int) int64 {
	return int64(float64(q.workload.typical)*q.agg.overdueFactor) << (executions - 1)
}

// sendDeadline is when the replica drops an execution: if nothing can be cancelled, as soon as it is overdue.
func (q *Query) sendDeadline(now int64, executions int) int64 {
	a, w := q.agg, q.workload
	if t := now + q.overdueAfter(executions); !a.CanCancel && t+w.typical < q.goal && !a.Budgeted &&
		executions < cmp.Or(w.MaxExecutions, a.MaxExecutions) && w.RetrySafety == Repeatable {
		return t
	}
	return q.deadline
}

// recall cancels an overdue execution so that its part can run elsewhere. Danger: cancelled work may continue
// and congest the peers, so only replicas that are ejected or silent since the send lose parts. If the part
// then comes soon the next recall is sooner, else later. If no holder of the shard answered lately, all may
// be congested without that being known here, so a peer must be expected to answer sooner.
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
	if !p.replaced { // another part may be enough for the answer
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
	// Danger: recalling what cannot run again, by rule or in the time left, doubles work under congestion.
	if (r.ejected || r.servedAt < e.sentAt) && !e.recalled && a.CanCancel && q.mayRetry(now, p) {
		answered := func(from int64) bool {
			return slices.ContainsFunc(a.holders[p.shard], func(h int) bool { return a.replicas[h].servedAt >= from })
		}
		if answered(half) || now >= q.goal && answered(e.sentAt) {
			left = q.deadline - now
		} else if !answered(e.sentAt) {
			left /= 2
		}
		if estimate, _ := a.bestEstimate(now, p, q.workload, false); estimate < left {
			e.recalled = true
			a.cancels = append(a.cancels, Cancel{q, number, n})
		}
	}
	return next
}

// mayRetry tells whether the limits and the retry budget allow a part one more execution.
func (q *Query) mayRetry(now int64, p *part) bool {
	a, w := q.agg, q.workload
	if len(p.executions) >= cmp.Or(w.MaxExecutions, a.MaxExecutions) ||
		w.RetrySafety == OnceOnly && p.mayHaveRun != never ||
		w.RetrySafety == Deduplicated && p.mayHaveRun != never && now >= p.mayHaveRun+w.DedupWindow-a.Tick {
		return false
	}
	return !a.Budgeted || a.SlackUsed(now, p.shard%len(a.retries))+1 <= a.RetrySlack
}

// SlackUsed is how many retries a budget has had beyond RetryRatio of what was handed over.
func (a *Aggregator) SlackUsed(now int64, budget int) float64 {
	return a.retries[budget].sum(now) - a.RetryRatio*a.arrivals[budget].sumWithin(now)
}
