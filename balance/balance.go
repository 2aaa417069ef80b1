// Package balance decides for one aggregator: which replica serves each part of a query, when a part runs
// again, when a query is answered, whom to decline. Facts go in by calls in order of time, by one goroutine;
// Decide(now), once a tick, returns what to do. No clock is read, no I/O.
package balance

import "math"
import "slices"

const (
	ms, never = 1_000_000, -1 // ns; no time

	priority   = 2    // Base Reference Cost of every replica: the source's default
	channels   = 32   // own calls in flight at one server: the source's default
	costLimit  = 127  // channels x priority stay within it: the source's requirement
	waitShare  = 10   // a part waits at most its time budget / this for a channel: the design page's tenth
	slack      = 1e-6 // weights sum to 1 but for rounding
	spareTicks = 3    // ticks kept free before a goal or a client's end, for the way back and a late round

	spanBuckets   = 8          // buckets in a ring: the span is known to an eighth
	timeSpan      = 4000 * ms  // how far back part times count: dozens of them, and it follows a jam
	paceSpan      = 16000 * ms // how far back a replica's own times count
	paceDoubt     = 0.25       // a replica's times are taken together with so many typical ones
	takenLeast    = 0.02       // the share taken on is reckoned no smaller: some doubt in old times is enough
	freshGoals    = 2          // shortest latency goals after which a time counts half for admission: jams pass
	freshMost     = 2          // of them that a time counts for at most, and one turned away as full counts for
	freshDoubt    = 2          // times the doubt above that it is taken together with, by shard and by holder
	slowMul       = 1.5        // a replica that should take so many times as long as a peer is passed over
	priorShare    = 6          // a part not yet timed is taken to need its latency goal / this
	patience      = 7          // an execution is overdue at so many typical times to begin with,
	patienceStep  = 1.12       // times or over this after each recall that did not help, or did,
	soonMul       = 2          // it helped if the part then came within so many typical times
	patienceLeast = 4          // at least: ordinary parts take up to three
	patienceMost  = 14         // and at most: what is hung is found before clients leave
	admitShare    = 0.5        // a query is taken on when it should need no more of its latency goal than this
	crowdShare    = 0.4        // of the shortest goal: sound replicas that need more have no room left
	wordMost      = 4          // own calls that the word of others on a replica's pace counts for at most
	overShare     = 0.5        // of admitShare for a query whose customer is over what was agreed: worth less
	retryShare    = 0.35       // and for a marked retry: a query that fails wherever it goes comes back as one
	failRun       = 2          // failures one after the other that set a replica aside: one alone is chance
	atOnce        = 4          // a reset before this part of a typical time is laid to the query

	// Connections idle for a length are closed where so many parts, and this share, were lost on such.
	idleLeast, idleLengths, idleSilences, idleLost = 250 * ms, 8, 3, 0.2   // each length double the last
	idleSpan, idleHold                             = 4000 * ms, 32000 * ms // lost within; closed for

	holdFirst   = 1000 * ms // a replica set aside rests so long first, or for the shortest latency goal,
	holdDoubled = 8         // and doubled up to so many times that; a quota is for one such rest
	trickleFull = 16        // quota at which a replica is back in
	coldSafety  = 0.9       // share of the cold budget used: the list is late and work is a guess
	leaveShare  = 0.1       // when more clients than this leave early the goal follows them: a few always do
	comeBack    = 1000 * ms // advice to a declined client: a few part times
	askAgain    = 1000 * ms // first wait after a failed list call, doubled up to eight times, with chance
)

// Aggregator is one instance of the module.
type Aggregator struct {
	Deployment
	chance          chance
	workloads       []*workload
	replicas        []replica
	holders         [][]int // by shard
	pointers        []int   // by shard: the next tied pick
	slot            []mean  // time for each own call, ns: of all workloads; of each where shards have accounts
	shortest, rest  int64   // the shortest latency goal of all workloads; the first rest of a replica set aside
	left            mean    // share of their time after which clients left
	most, up        int     // the most holders that a shard ever had; replicas listed as up
	patience        float64 // typical times until an execution is overdue
	sent            ring    // executions, for what a replica is usually sent
	idleLimit       int64   // connections are closed that are idle for longer, ns,
	idleUntil       int64   // until then
	idleTimes       []mean  // by length: parts on idle connections, and those lost in silence among them
	queries         []*Query
	handed, further []ring // queries and parts, and executions, for each budget of further ones
	worth, taken    mean   // of a part handed over; queries taken on among those handed over
	rounds          int
	round           Round
	cancels         []Cancel // for the next round
	stood           int64    // how long the process itself stood still, all in all, ns
	subscribed      bool
	askAt, askWait  int64 // when to ask for the list, and how much later after a failure
}

// New makes an aggregator at its start.
func New(now int64, d Deployment) *Aggregator {
	a := &Aggregator{Deployment: d, chance: chance{x: uint32(d.Seed) | 1, c: uint32(d.Seed>>32)%4294957664 + 1},
		holders: make([][]int, d.Shards), pointers: slices.Repeat([]int{d.Number}, d.Shards), askWait: askAgain,
		patience: patience, worth: newMean(paceSpan), taken: newMean(timeSpan), left: newMean(timeSpan),
		slot: slices.Repeat([]mean{newMean(timeSpan)}, max(d.Accounts, 1)),
		sent: newRing(d.FallSpan), idleTimes: slices.Repeat([]mean{newMean(idleSpan)}, idleLengths),
		handed:  slices.Repeat([]ring{newRing(d.FurtherSpan)}, max(d.Accounts, 1)),
		further: slices.Repeat([]ring{newRing(d.FurtherSpan)}, max(d.Accounts, 1))}
	a.Serve(now, d.Workloads)
	return a
}

// Serve states the workloads from now on: a row keeps what was learnt; terms may change and rows be added.
// Danger: a row may pass to another route, and a once-only query under way would run again by its terms.
func (a *Aggregator) Serve(now int64, workloads []Workload) {
	a.Workloads, a.shortest = workloads, math.MaxInt64
	for i, w := range workloads {
		if i == len(a.workloads) {
			logs, taken := newMean(timeSpan), newMean(timeSpan)
			a.workloads = append(a.workloads, &workload{row: int64(i), logs: &logs, taken: &taken})
		}
		next := *a.workloads[i] // queries under way keep the terms that they were taken on
		next.Workload, a.workloads[i], a.shortest = w, &next, min(a.shortest, w.LatencyGoal)
		next.look(now)
	}
	a.rest = a.Rest()
}

// Rest is the first rest of a replica set aside, ns. Danger: a second locks out a service of goals below it.
func (d Deployment) Rest() int64 {
	rest := int64(holdFirst)
	for _, w := range d.Workloads {
		rest = min(rest, w.LatencyGoal)
	}
	return rest
}

// ListWhole replaces the list; live is false for one remembered from an earlier life.
func (a *Aggregator) ListWhole(now int64, list []Listing, live bool) {
	for i := range a.replicas {
		a.replicas[i].listed = false
	}
	was := a.subscribed
	a.ListChanged(now, list)
	a.subscribed = was || live
}

// ListChanged takes in changed entries.
func (a *Aggregator) ListChanged(now int64, list []Listing) {
	a.subscribed, a.askWait = true, askAgain
	for _, l := range list {
		for len(a.replicas) <= l.Replica {
			a.replicas = append(a.replicas, replica{})
		}
		r := &a.replicas[l.Replica]
		if l.New || r.sent.width == 0 { // what another did under this index says nothing
			*r = replica{slot: newMean(paceSpan), lately: newMean(paceSpan / 2), sent: newRing(a.FallSpan)}
		}
		if l.Started != r.started { // a new process: what the old one did says nothing
			r.letIn()
		}
		r.listed, r.started = l.Standing == Up, l.Started
		r.cell, r.distance, r.channels = l.Cell, l.Distance, l.Channels
	}
	a.holders, a.up = make([][]int, a.Shards), 0
	for i, r := range a.replicas {
		for j := 0; r.listed && j < a.Reach; j++ {
			for s := ((r.cell-j)%a.Cells + a.Cells) % a.Cells; s < a.Shards; s += a.Cells {
				a.holders[s] = append(a.holders[s], i)
				a.most = max(a.most, len(a.holders[s]))
			}
		}
		if r.listed {
			a.up++
		}
	}
}

// ListFailed tells that a list call failed or the subscription dropped.
func (a *Aggregator) ListFailed(now int64) {
	// Danger: aggregators that ask in step after a common restart keep the list service down.
	a.subscribed, a.askAt = false, now+int64(float64(a.askWait)*(0.5+a.chance.next()))
	a.askWait = min(2*a.askWait, 8*askAgain, max(a.AskWithin/2, askAgain)) // the rules want to be asked in time
}

// Stood tells that the process itself has just stood still for so long, ns: it sent, read, decided nothing.
// Danger: after a pause of its own every replica seems silent and late, and sound ones would lose parts.
func (a *Aggregator) Stood(d int64) { a.stood += max(d, 0) }

// Decide returns what to do now.
func (a *Aggregator) Decide(now int64) *Round {
	a.rounds++
	r := &a.round
	*r = Round{Sends: r.Sends[:0], Cancels: r.Cancels[:0], Endings: r.Endings[:0], Releases: r.Releases[:0]}
	wake := int64(math.MaxInt64)
	for _, q := range a.queries {
		if q.open {
			q.settle(now)
		}
		if q.begun == q.step && q.ready() {
			q.begin(now)
		}
		for i := 0; q.ready() && i < len(q.parts); i++ {
			switch p := &q.parts[i]; {
			case p.step < q.step: // its step is answered
			case p.stage == out:
				wake = min(wake, q.recall(now, i))
			case p.stage == wanted:
				wake = min(wake, a.serve(now, q, i))
			}
		}
		// Danger: one round brings one answer; a first step answered at the last moment is forfeited in the next.
		if q.ready() { // what was given up just now may end it: a client is not kept waiting for nothing
			wake = min(wake, q.settle(now))
		} else if q.open {
			wake = min(wake, q.end)
		}
	}
	a.queries = slices.DeleteFunc(a.queries, func(q *Query) bool { return !q.open })
	for _, c := range a.cancels {
		if !c.Query.parts[c.Part].executions[c.Execution].over {
			a.round.Cancels = append(a.round.Cancels, c)
		}
	}
	a.cancels = a.cancels[:0]
	for i := range a.replicas {
		r := &a.replicas[i]
		until, limited := r.lastUsed+a.idleLimit, now < a.idleUntil && r.connected
		// Danger: a connection that died in silence swallows all that is sent on it while the replica is well.
		if r.calls == 0 && (r.stale || limited && now >= until) {
			r.stale, r.connected = false, false
			a.round.Releases = append(a.round.Releases, i)
		} else if r.calls == 0 && limited {
			wake = min(wake, until)
		}
	}
	if a.AsksForList && !a.subscribed {
		if now >= a.askAt {
			a.round.List, a.askAt = Subscribe, now+8*askAgain
		}
		wake = min(wake, a.askAt)
	}
	if wake < math.MaxInt64 {
		a.round.Wake = max(wake, now+a.Tick)
	}
	return &a.round
}

// serve sends a wanted part, or gives it up; it returns when to look again.
func (a *Aggregator) serve(now int64, q *Query, number int) int64 {
	p := &q.parts[number]
	if len(p.executions) == 0 || q.mayRun(now, p) {
		late := p.since + (q.end-q.taken)/waitShare
		if to := a.pick(now, p, q.workload, now >= late); to >= 0 {
			a.send(now, q, number, to)
			return q.end
		}
		if now < late {
			return min(late, now+4*a.Tick)
		}
	}
	p.stage = given
	if q.step == 0 { // another may do in its place
		q.ask(now, p.weight, math.MaxInt64)
	}
	return now
}
