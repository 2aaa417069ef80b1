// Package balance decides for one aggregator: which replica serves each part of a query, when a part runs
// again, when a query is answered, whom to decline. Facts go in by calls in order of time, by one goroutine;
// Decide(now), once a tick, returns what to do. No clock is read, no I/O.
package balance

import "math"
import "slices"

const (
	ms, never = 1_000_000, -1 // ns; no time

	baseCost    = 2    // Base Reference Cost of every replica: the source's default
	maxCalls    = 32   // own calls in flight at one server: the source's default
	maxCost     = 127  // channels x priority stay within it: the source's requirement
	waitDivisor = 10   // a part waits at most its time budget / this for a channel: the design page's tenth
	epsilon     = 1e-6 // weights sum to 1 but for rounding
	marginTicks = 3    // ticks kept free before a goal or a client's end, for the way back and a late round

	ringBuckets   = 8          // buckets in a ring: the span is known to an eighth
	shortWindow   = 4000 * ms  // how far back part times count: dozens of them, and it follows a jam
	longWindow    = 16000 * ms // how far back a replica's own times count
	priorWeight   = 0.25       // a replica's times are taken together with so many typical ones
	minAdmitted   = 0.02       // the share taken on is reckoned no smaller: some doubt in old times is enough
	halfLifeGoals = 2          // shortest latency goals after which a time counts half for admission: jams pass
	maxTimeGoals  = 2          // of them that a time counts for at most, and one turned away as full counts for
	priorFactor   = 2          // times the doubt above that it is taken together with, by shard and by holder
	slowFactor    = 1.5        // a replica that should take so many times as long as a peer is passed over
	priorShare    = 6          // a part not yet timed is taken to need its latency goal / this
	overdueStart  = 7          // an execution is overdue at so many typical times to begin with,
	overdueStep   = 1.12       // times or over this after each recall that did not help, or did,
	soonFactor    = 2          // it helped if the part then came within so many typical times
	overdueMin    = 4          // at least: ordinary parts take up to three
	overdueMax    = 14         // and at most: what is hung is found before clients leave
	admitShare    = 0.5        // a query is taken on when it should need no more of its latency goal than this
	crowdShare    = 0.4        // of the shortest goal: sound replicas that need more have no room left
	maxWeight     = 4          // own calls that the word of others on a replica's pace counts for at most
	excessShare   = 0.5        // of admitShare for a query whose customer is over what was agreed: worth less
	retryShare    = 0.35       // and for a marked retry: a query that fails wherever it goes comes back as one
	maxFails      = 2          // failures one after the other that set a replica aside: one alone is chance
	fastResetPart = 4          // a reset before this part of a typical time is laid to the query

	// Connections idle for a length are closed where so many parts, and this share, were lost on such.
	idleMin, idleBuckets, idleMinLosses, idleLossShare = 250 * ms, 8, 3, 0.2   // each length double the last
	idleWindow, idleLimitFor                           = 4000 * ms, 32000 * ms // lost within; closed for

	firstEjection  = 1000 * ms // a replica set aside rests so long first, or for the shortest latency goal,
	ejectionGrowth = 8         // and doubled up to so many times that; a quota is for one such rest
	readmitQuota   = 16        // quota at which a replica is back in
	warmUpSafety   = 0.9       // share of the cold budget used: the list is late and work is a guess
	leaveShare     = 0.1       // when more clients than this leave early the goal follows them: a few always do
	retryAfter     = 1000 * ms // advice to a declined client: a few part times
	listRetry      = 1000 * ms // first wait after a failed list call, doubled up to eight times, with chance
)

// Aggregator is one instance of the module.
type Aggregator struct {
	Deployment
	rng                 rng
	workloads           []*workload
	replicas            []replica
	holders             [][]int // by shard
	nextTied            []int   // by shard: the next tied pick
	callTime            []mean  // time for each own call, ns: of all workloads; of each where shards have accounts
	minGoal, ejection   int64   // the shortest latency goal of all workloads; the first rest of a replica set aside
	leftAfter           mean    // share of their time after which clients left
	maxHolders, upCount int     // the most holders that a shard ever had; replicas listed as up
	overdueFactor       float64 // typical times until an execution is overdue
	sent                ring    // executions, for what a replica is usually sent
	idleLimit           int64   // connections are closed that are idle for longer, ns,
	idleLimitUntil      int64   // until then
	idleLosses          []mean  // by length: parts on idle connections, and those lost in silence among them
	queries             []*Query
	arrivals, retries   []ring // queries and parts, and executions, for each budget of further ones
	value, admitted     mean   // of a part handed over; queries taken on among those handed over
	rounds              int
	round               Round
	cancels             []Cancel // for the next round
	stalled             int64    // how long the process itself stood still, all in all, ns
	subscribed          bool
	listAt, listWait    int64 // when to ask for the list, and how much later after a failure
}

// New makes an aggregator at its start.
func New(now int64, d Deployment) *Aggregator {
	a := &Aggregator{Deployment: d, rng: rng{x: uint32(d.Seed) | 1, c: uint32(d.Seed>>32)%4294957664 + 1},
		holders: make([][]int, d.Shards), nextTied: slices.Repeat([]int{d.Index}, d.Shards), listWait: listRetry,
		overdueFactor: overdueStart, value: newMean(longWindow), admitted: newMean(shortWindow), leftAfter: newMean(shortWindow),
		callTime: slices.Repeat([]mean{newMean(shortWindow)}, max(d.ShardBudgets, 1)),
		sent:     newRing(d.OverloadSpan), idleLosses: slices.Repeat([]mean{newMean(idleWindow)}, idleBuckets),
		arrivals: slices.Repeat([]ring{newRing(d.RetryWindow)}, max(d.ShardBudgets, 1)),
		retries:  slices.Repeat([]ring{newRing(d.RetryWindow)}, max(d.ShardBudgets, 1))}
	a.SetWorkloads(now, d.Workloads)
	return a
}

// SetWorkloads states the workloads from now on: a row keeps what was learnt; terms may change and rows be added.
// Danger: a row may pass to another route, and a once-only query under way would run again by its terms.
func (a *Aggregator) SetWorkloads(now int64, workloads []Workload) {
	a.Workloads, a.minGoal = workloads, math.MaxInt64
	for i, w := range workloads {
		if i == len(a.workloads) {
			logs, taken := newMean(shortWindow), newMean(shortWindow)
			a.workloads = append(a.workloads, &workload{row: int64(i), logTimes: &logs, admitted: &taken})
		}
		next := *a.workloads[i] // queries under way keep the terms that they were taken on
		next.Workload, a.workloads[i], a.minGoal = w, &next, min(a.minGoal, w.LatencyGoal)
		next.updateTypical(now)
	}
	a.ejection = a.BaseEjection()
}

// BaseEjection is the first rest of a replica set aside, ns. Danger: a second locks out a service of goals below it.
func (d Deployment) BaseEjection() int64 {
	rest := int64(firstEjection)
	for _, w := range d.Workloads {
		rest = min(rest, w.LatencyGoal)
	}
	return rest
}

// ReplaceList replaces the list; live is false for one remembered from an earlier life.
func (a *Aggregator) ReplaceList(now int64, list []Listing, live bool) {
	for i := range a.replicas {
		a.replicas[i].listed = false
	}
	was := a.subscribed
	a.UpdateList(now, list)
	a.subscribed = was || live
}

// UpdateList takes in changed entries.
func (a *Aggregator) UpdateList(now int64, list []Listing) {
	a.subscribed, a.listWait = true, listRetry
	for _, l := range list {
		for len(a.replicas) <= l.Replica {
			a.replicas = append(a.replicas, replica{})
		}
		r := &a.replicas[l.Replica]
		if l.New || r.sent.width == 0 { // what another did under this index says nothing
			*r = replica{callTime: newMean(longWindow), recent: newMean(longWindow / 2), sent: newRing(a.OverloadSpan)}
		}
		if l.StartedAt != r.startedAt { // a new process: what the old one did says nothing
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

// ListFailed tells that a list call failed or the subscription dropped.
func (a *Aggregator) ListFailed(now int64) {
	// Danger: aggregators that ask in step after a common restart keep the list service down.
	a.subscribed, a.listAt = false, now+int64(float64(a.listWait)*(0.5+a.rng.next()))
	a.listWait = min(2*a.listWait, 8*listRetry, max(a.AskWithin/2, listRetry)) // the rules want to be asked in time
}

// RecordStall tells that the process itself has just stood still for so long, ns: it sent, read, decided nothing.
// Danger: after a pause of its own every replica seems silent and late, and sound ones would lose parts.
func (a *Aggregator) RecordStall(d int64) { a.stalled += max(d, 0) }

// Decide returns what to do now.
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
			case p.step < q.step: // its step is answered
			case p.stage == running:
				wake = min(wake, q.recall(now, i))
			case p.stage == queued:
				wake = min(wake, a.dispatch(now, q, i))
			}
		}
		// Danger: one round brings one answer; a first step answered at the last moment is forfeited in the next.
		if q.ready() { // what was given up just now may end it: a client is not kept waiting for nothing
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
		// Danger: a connection that died in silence swallows all that is sent on it while the replica is well.
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

// dispatch sends a wanted part, or gives it up; it returns when to look again.
func (a *Aggregator) dispatch(now int64, q *Query, number int) int64 {
	p := &q.parts[number]
	if len(p.executions) == 0 || q.mayRetry(now, p) {
		late := p.queuedAt + (q.deadline-q.arrivedAt)/waitDivisor
		if to := a.pick(now, p, q.workload, now >= late); to >= 0 {
			a.send(now, q, number, to)
			return q.deadline
		}
		if now < late {
			return min(late, now+4*a.Tick)
		}
	}
	p.stage = abandoned
	if q.step == 0 { // another may do in its place
		q.request(now, p.weight, math.MaxInt64)
	}
	return now
}
