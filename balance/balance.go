// Package balance decides for one aggregator which replica serves each part of a query, when a part runs
// again, when a query is answered and which queries are declined. One goroutine reports events in order of
// time and calls Decide, once a tick, which returns the actions. The package reads no clock and does no I/O.
package balance

import "math"
import "slices"

const (
	ms, never = 1_000_000, -1 // a millisecond in ns; the value of a time that is not set

	baseCost    = 2    // Base Reference Cost of each replica: default of the Running Execution Cost algorithm
	maxCalls    = 32   // own calls in flight at one replica: the algorithm's default
	maxCost     = 127  // the algorithm's limit of a replica's cost; maxCalls * baseCost must stay within it
	waitDivisor = 10   // longest wait of a part for a free replica: its query's time / this, as in the design
	epsilon     = 1e-6 // tolerance for sums of weights, which make 1 but for rounding
	marginTicks = 3    // ticks kept free before a goal or a deadline, for the way back and a late round

	ringBuckets   = 8          // buckets in the window of a ring, which is thus exact to an eighth
	shortWindow   = 4000 * ms  // window for part times: dozens of them, and it follows congestion
	longWindow    = 16000 * ms // window for the times of one replica
	priorWeight   = 0.25       // weight of the prior time beside a replica's own times, in own calls
	minAdmitted   = 0.02       // lower bound of the admitted share in priorTime, to bound the prior's weight
	halfLifeGoals = 2          // half-life of times for admission, in shortest goals: congestion passes
	maxTimeGoals  = 2          // cap of a time for admission, in shortest goals; Full counts as the cap
	priorFactor   = 2          // admission multiplies the prior's weight by it, for a shard and for each holder
	slowFactor    = 1.5        // a replica slower than the best by this factor is passed over
	priorShare    = 6          // part time of a workload without samples: its latency goal / this
	overdueStart  = 7          // initial overdueFactor: executions are overdue after this many typical times
	overdueStep   = 1.12       // overdueFactor is multiplied by it after a useless recall, else divided
	soonFactor    = 2          // a recall helped if the part then took less than this many typical times
	overdueMin    = 4          // lower bound of overdueFactor: ordinary parts take up to 3 typical times
	overdueMax    = 14         // upper bound of overdueFactor: hung executions are found before clients leave
	admitShare    = 0.5        // a query is admitted if it should need no more than this share of its goal
	crowdShare    = 0.4        // healthy replicas that need more than this share of minGoal are full
	maxWeight     = 4          // cap of the weight of a shared report on slowdown, in own calls
	excessShare   = 0.5        // factor on admitShare for customers over quota, whose queries are worth less
	retryShare    = 0.35       // factor on admitShare for marked retries: queries that always fail are retried
	maxFails      = 2          // consecutive failures that eject a replica: a single one may be chance
	fastResetPart = 4          // a reset within a typical part time / this is blamed on the query

	// Connections that are idle for idleMin << n or longer are closed for idleLimitFor, if idleMinLosses parts
	// and a share of idleLossShare were lost on such connections within idleWindow.
	idleMin, idleBuckets, idleMinLosses, idleLossShare = 250 * ms, 8, 3, 0.2
	idleWindow, idleLimitFor                           = 4000 * ms, 32000 * ms

	firstEjection  = 1000 * ms // longest first ejection; the shortest latency goal if that is less
	ejectionGrowth = 8         // longest ejection / the first; each ejection is twice as long as the one before
	readmitQuota   = 16        // trial quota at which an ejected replica is readmitted
	warmUpSafety   = 0.9       // used share of a cold replica's limit: the list is late, and work is estimated
	leaveShare     = 0.1       // if a larger share of clients leaves early the goal moves ahead: a few always do
	retryAfter     = 1000 * ms // wait advised to a declined client: a few part times
	listRetry      = 1000 * ms // first wait after a failed list call; it doubles up to 8 times this, with jitter
)

// Aggregator is the decision state of one aggregator. Its connections and queues belong to the caller.
type Aggregator struct {
	Deployment
	rng                 rng
	workloads           []*workload
	replicas            []replica
	holders             [][]int // replicas that hold a shard, by shard
	nextTied            []int   // position among tied replicas at which pick starts, by shard
	callTime            []mean  // time per own call, ns: of all workloads, or of each if there are ShardBudgets
	minGoal, ejection   int64   // shortest latency goal of all workloads; length of a first ejection, ns
	leftAfter           mean    // share of their time after which clients left
	maxHolders, upCount int     // most holders that a shard ever had; replicas listed as up
	overdueFactor       float64 // typical part times after which an execution is overdue
	sent                ring    // executions sent, from which a replica's usual load is derived
	idleLimit           int64   // connections that are idle for longer are closed, ns
	idleLimitUntil      int64   // end of the time in which idleLimit applies
	idleLosses          []mean  // share of parts lost, by the time that their connection had been idle
	queries             []*Query
	arrivals, retries   []ring // queries and parts handed over, and retries; each by retry budget
	value, admitted     mean   // value per part handed over; share of queries admitted
	shardAdmitted       []mean // share of queries admitted, by the retry budget of their first part's shard
	rounds              int
	round               Round
	cancels             []Cancel // executions to cancel in the next round
	stalled             int64    // total time in which the process itself stood still, ns
	subscribed          bool
	listAt, listWait    int64 // time of the next call for the list; wait after its failure, ns
}

// New returns an aggregator that knows no replicas yet.
func New(now int64, d Deployment) *Aggregator {
	a := &Aggregator{Deployment: d, rng: rng{x: uint32(d.Seed) | 1, c: uint32(d.Seed>>32)%4294957664 + 1},
		holders: make([][]int, d.Shards), nextTied: slices.Repeat([]int{d.Index}, d.Shards), listWait: listRetry,
		value: newMean(longWindow), admitted: newMean(shortWindow), sent: newRing(d.OverloadSpan),
		callTime: slices.Repeat([]mean{newMean(shortWindow)}, max(d.ShardBudgets, 1)), overdueFactor: overdueStart,
		leftAfter: newMean(shortWindow), idleLosses: slices.Repeat([]mean{newMean(idleWindow)}, idleBuckets),
		shardAdmitted: slices.Repeat([]mean{newMean(shortWindow)}, max(d.ShardBudgets, 1)),
		arrivals:      slices.Repeat([]ring{newRing(d.RetryWindow)}, max(d.ShardBudgets, 1)),
		retries:       slices.Repeat([]ring{newRing(d.RetryWindow)}, max(d.ShardBudgets, 1))}
	a.SetWorkloads(now, d.Workloads)
	return a
}

// SetWorkloads replaces the terms of the workloads and may add rows; samples and averages of a row are kept.
// Danger: a row may pass to another route, whose terms could let a once-only query under way run again.
func (a *Aggregator) SetWorkloads(now int64, workloads []Workload) {
	a.Workloads, a.minGoal = workloads, math.MaxInt64
	for i, w := range workloads {
		if i == len(a.workloads) {
			times, admitted := newMean(shortWindow), newMean(shortWindow)
			a.workloads = append(a.workloads, &workload{row: int64(i), logTimes: &times, admitted: &admitted})
		}
		next := *a.workloads[i] // a copy: queries under way keep their terms
		next.Workload, a.workloads[i], a.minGoal = w, &next, min(a.minGoal, w.LatencyGoal)
		next.updateTypical(now)
	}
	a.ejection = a.BaseEjection()
}

// BaseEjection is the length of a first ejection, ns. Danger: 1 s would lock out services with shorter goals.
func (d Deployment) BaseEjection() int64 {
	ejection := int64(firstEjection)
	for _, w := range d.Workloads {
		ejection = min(ejection, w.LatencyGoal)
	}
	return ejection
}

// ReplaceList replaces the list of replicas; live is false for a list that an earlier process saved.
func (a *Aggregator) ReplaceList(now int64, list []Listing, live bool) {
	for i := range a.replicas {
		a.replicas[i].listed = false
	}
	was := a.subscribed
	a.UpdateList(now, list)
	a.subscribed = was || live
}

// UpdateList applies changed entries of the list and recomputes which replicas hold each shard.
func (a *Aggregator) UpdateList(now int64, list []Listing) {
	a.subscribed, a.listWait = true, listRetry
	for _, l := range list {
		for len(a.replicas) <= l.Replica {
			a.replicas = append(a.replicas, replica{})
		}
		r := &a.replicas[l.Replica]
		if l.New || r.sent.width == 0 { // another replica may have had the index before
			*r = replica{callTime: newMean(longWindow), recent: newMean(longWindow / 2), sent: newRing(a.OverloadSpan)}
		}
		if l.StartedAt != r.startedAt { // the failures were those of its previous process
			r.readmit()
		}
		r.listed, r.startedAt = l.Status == Up, l.StartedAt
		r.cell, r.distance, r.maxCalls = l.Cell, l.Distance, l.MaxCalls
	}
	a.holders, a.upCount = make([][]int, a.Shards), 0
	for i, r := range a.replicas {
		for j := 0; r.listed && j < a.CellsPerShard; j++ {
			for s := ((r.cell-j)%a.Cells + a.Cells) % a.Cells; s < a.Shards; s += a.Cells {
				a.holders[s] = append(a.holders[s], i)
				a.maxHolders = max(a.maxHolders, len(a.holders[s]))
			}
		}
		if r.listed {
			a.upCount++
		}
	}
}

// ListFailed records that a call for the list failed or that the subscription ended.
func (a *Aggregator) ListFailed(now int64) {
	// Danger: aggregators that retry in step after a common restart would keep the list service down.
	a.subscribed, a.listAt = false, now+int64(float64(a.listWait)*(0.5+a.rng.next()))
	a.listWait = min(2*a.listWait, 8*listRetry, max(a.AskWithin/2, listRetry)) // a call comes within AskWithin
}

// RecordStall adds time, ns, in which the process itself stood still: it could not send, read or decide.
// Danger: after such a pause all replicas seem silent and slow, and healthy ones would lose their parts.
func (a *Aggregator) RecordStall(d int64) { a.stalled += max(d, 0) }

// Decide returns the actions that are due now.
func (a *Aggregator) Decide(now int64) *Round {
	a.rounds++
	r := &a.round
	*r = Round{Sends: r.Sends[:0], Cancels: r.Cancels[:0], Endings: r.Endings[:0], CloseIdle: r.CloseIdle[:0]}
	wake := int64(math.MaxInt64)
	for _, q := range a.queries {
		if q.open {
			q.settle(now)
		}
		if q.stepsStarted == q.step && q.ready() {
			q.start(now)
		}
		for i := 0; q.ready() && i < len(q.parts); i++ {
			switch p := &q.parts[i]; {
			case p.step < q.step: // a part of the first step, which is answered
			case p.stage == running:
				wake = min(wake, q.recall(now, i))
			case p.stage == queued:
				wake = min(wake, a.dispatch(now, q, i))
			}
		}
		// Danger: a query has one answer a round. If its first step ends at the deadline, it fails a round later.
		if q.ready() { // a part abandoned just now may end it: its client must not wait in vain
			wake = min(wake, q.settle(now))
		} else if q.open {
			wake = min(wake, q.deadline)
		}
	}
	a.queries = slices.DeleteFunc(a.queries, func(q *Query) bool { return !q.open })
	for _, c := range a.cancels {
		if !c.Query.parts[c.Part].executions[c.Execution].ended {
			a.round.Cancels = append(a.round.Cancels, c)
		}
	}
	a.cancels = a.cancels[:0]
	for i := range a.replicas {
		r := &a.replicas[i]
		until, limited := r.lastUsed+a.idleLimit, now < a.idleLimitUntil && r.connected
		// Danger: a connection that died silently loses all that is sent on it, while the replica is healthy.
		if r.calls == 0 && (r.stale || limited && now >= until) {
			r.stale, r.connected = false, false
			a.round.CloseIdle = append(a.round.CloseIdle, i)
		} else if r.calls == 0 && limited {
			wake = min(wake, until)
		}
	}
	if a.AsksForList && !a.subscribed {
		if now >= a.listAt {
			a.round.List, a.listAt = Subscribe, now+8*listRetry
		}
		wake = min(wake, a.listAt)
	}
	if wake < math.MaxInt64 {
		a.round.WakeAt = max(wake, now+a.Tick)
	}
	return &a.round
}

// dispatch sends a queued part or abandons it, and returns when to check again.
func (a *Aggregator) dispatch(now int64, q *Query, number int) int64 {
	p := &q.parts[number]
	if len(p.executions) == 0 || q.mayRetry(now, p) {
		waitEnd := p.queuedAt + (q.deadline-q.arrivedAt)/waitDivisor
		if to := a.pick(now, p, q.workload, now >= waitEnd); to >= 0 {
			a.send(now, q, number, to)
			return q.deadline
		}
		if now < waitEnd {
			return min(waitEnd, now+4*a.Tick)
		}
	}
	p.stage = abandoned
	if q.step == 0 { // another part may replace it
		q.request(now, p.weight, math.MaxInt64)
	}
	return now
}
