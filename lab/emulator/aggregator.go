package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"willowsill/balance"
	"willowsill/lab/emulator/checker"
	"willowsill/lab/emulator/eventqueue"
)

// execution is one execution of a part, as its aggregator sees it.
type execution struct {
	replica int
	sentAt  int64
	ended   bool
}

// pendingQuery is a query at an aggregator, kept until eventForgetQuery.
type pendingQuery struct {
	workload int
	askedAt  int64
	ended    bool
	retries  int // number of times that the client has asked before; 1 for queries forwarded by another site
	shards   []int

	visited          []int         // sites that have forwarded it
	originAggregator int32         // if forwardedIn: the aggregator that forwarded it here
	originQuery      int32         // if forwardedIn: the query's number there
	originAttempt    int16         // if forwardedIn: the forward attempt there
	forwardedIn      bool          // the query came from another site
	forwardedOut     bool          // the query is served by another site
	link             int           // if forwardedOut: the link to that site
	parts            [][]execution // the executions of each part
	weights          []float64
}

// aggregator simulates an aggregator with its decider, and the clients that send it queries.
type aggregator struct {
	emitter
	*Plan
	arrivals    []*Arrivals // arrival generator of each workload
	clientRNG   *rand.Rand  // random source of client retries
	networkRNG  *rand.Rand  // random source of network delays and losses
	decider     decider
	ruleChecker *checker.Aggregator
	queries     map[int32]*pendingQuery
	retryShards map[int32][]int // by query number: the shards of queries that clients will retry
	lastRound   int64           // time of the last decision round
	nextRound   int64           // time of the next decision round, 0 if none is scheduled
	lastQuery   int32           // number of the newest query
	listingSeq  []uint64        // by replica: sequence number of the newest listing
	recorder    *Recorder
	simulation  *simulation
	member      *storeMember      // client of the shared store; nil without one
	quotaUses   map[int][]int64   // by workload: times at which queries were admitted as within the quota
	siteGateway *siteGateway      // nil where queries are not forwarded between sites
	listings    []balance.Listing // newest known state of each replica of the aggregator's site
	down        bool
	frozenUntil int64 // end of the last freeze; 0 before the first

	processor *processor // nil if the aggregator's own work costs no time
}

// start starts the aggregator with no state but the replica list, at the beginning and after a crash.
func (a *aggregator) start(now int64) {
	for _, l := range a.listings {
		a.ruleChecker.RecordListing(now, l.Replica, l.Cell, l.Status == balance.Up)
	}
	if a.Policy == "module" {
		listings := slices.DeleteFunc(slices.Clone(a.listings), func(l balance.Listing) bool { return l.Status == balance.Gone })
		for i := range listings {
			listings[i].New = true
		}
		m := newModuleDecider(now, a.deployment(int(a.entityID)), listings)
		if a.decider = m; a.ZoneHealthEnabled {
			a.decider = newZoneAwareDecider(m, a.Plan, int(a.entityID), listings)
		}
	} else {
		views := &a.simulation.oracleViews
		a.decider = newBaselineDecider(a.Plan, int(a.entityID), a.listings, func(r int) (int64, bool) { return (*views)[r].wait, (*views)[r].healthy })
	}
	a.joinStore(now)
	a.openGateway(now)
	if a.Defect != "" {
		a.decider = &defectiveDecider{decider: a.decider, defect: a.Defect}
	}
}

// listingOf returns the newest known listing of a replica of the aggregator's site.
func (a *aggregator) listingOf(replica int) *balance.Listing {
	return &a.listings[replica-a.siteOfAggregator(int(a.entityID))*a.replicasPerSite()]
}

// applyFault begins or ends a fault of this aggregator, or begins its next period.
func (a *aggregator) applyFault(now int64, number int, begins bool) {
	f := a.Faults[number]
	switch {
	case f.Kind == "crash" && begins:
		a.down = true
		for _, q := range a.queries { // their clients see a broken connection
			if !q.ended {
				q.ended = true
				a.recorder.RecordAnswer(q.askedAt-origin, now-origin, q.workload, q.retries, balance.Forfeited)
			}
		}
		a.queries, a.siteGateway = map[int32]*pendingQuery{}, nil
		a.ruleChecker.RecordCrash()
		a.trace(now, "dies")
	case f.Kind == "crash":
		a.down, a.nextRound, a.lastRound = false, 0, 0
		a.start(now)
		a.requestRound(now)
		a.trace(now, "is running again")
	case f.Kind == "freeze" && begins && now < origin+f.Until:
		a.frozenUntil = now + f.ActiveTime
		if f.Period > f.ActiveTime {
			a.emit(now, eventqueue.Event{At: now + f.Period, To: a.entityID, Kind: eventFaultRepeats, Value: int64(number)})
		}
	}
}

func (a *aggregator) handle(now int64, e eventqueue.Event) {
	switch e.Kind {
	case eventFaultBegins, eventFaultRepeats, eventFaultEnds:
		a.applyFault(now, int(e.Value), e.Kind != eventFaultEnds)
		return
	case eventClientTimeout: // also while the aggregator is frozen: this clock is the client's
		a.ruleChecker.ClientTimeout(now, e.Query)
		return
	}
	if a.frozenUntil > now { // all events are delayed until the freeze ends, in their order
		e.At = a.frozenUntil
		a.loop.queue.Push(e)
		return
	}
	if a.enqueue(now, e) {
		return
	}
	switch e.Kind {
	case eventProcessorFree:
		a.processNext(now)
	case eventReadingDue:
		a.reportLoad(now)
	case eventRoundDue:
		if a.nextRound != 0 && a.nextRound <= now && !a.down {
			a.nextRound = 0
			a.runRound(now)
		}
	case eventReplyArrives:
		a.handleOutcome(now, e.Query, int(e.Part), int(e.Attempt), balance.Result(e.Result))
	case eventExecutionTimeout:
		a.handleOutcome(now, e.Query, int(e.Part), int(e.Attempt), balance.TimedOut)
	case eventQueryArrives:
		shards := a.arrivals[e.Part].DrawShards()
		a.scheduleArrival(e.Value, int(e.Part))
		a.receiveQuery(now, e.Value, int(e.Part), 0, shards)
	case eventClientRetries:
		a.receiveQuery(now, e.Value, int(e.Part), int(e.Attempt), a.retryShards[e.Query])
		delete(a.retryShards, e.Query)
	case eventPingsDue, eventPingArrives, eventPingReply, eventGatewayDue, eventForwardRoundDue, eventForwardArrives, eventForwardReply, eventForwardTimeout:
		a.handleGatewayEvent(now, e)
	case eventStoreRoundDue, eventStoreReply, eventStoreTimeout:
		a.handleStoreEvent(now, e)
	case eventForgetQuery:
		a.ruleChecker.Forget(e.Query)
		a.decider.forget(e.Query)
		delete(a.queries, e.Query)
		a.forgetForwarded(e.Query)
	case eventListingArrives:
		if e.Seq > a.listingSeq[e.Query] {
			a.listingSeq[e.Query] = e.Seq
			l := balance.Listing{Replica: int(e.Query), Cell: a.shardOf(int(e.Query)), Status: balance.Status(e.Result), StartedAt: e.Value}
			*a.listingOf(l.Replica) = l
			if a.down {
				return
			}
			a.ruleChecker.RecordListing(now, l.Replica, l.Cell, l.Status == balance.Up)
			a.trace(now, "the list shows replica %d as %s", e.Query, [...]string{"up", "draining", "gone"}[e.Result])
			a.decider.updateListing(now, l)
			a.requestRound(now)
		}
	}
}

// requestRound schedules a decision round as early as Tick allows.
func (a *aggregator) requestRound(now int64) { a.scheduleRound(max(a.lastRound+a.Tick, now)) }

func (a *aggregator) scheduleRound(at int64) {
	if a.nextRound != 0 && a.nextRound <= at {
		return
	}
	a.nextRound = at
	a.emit(at, eventqueue.Event{At: at, To: a.entityID, Kind: eventRoundDue})
}

// scheduleArrival schedules the next query of a workload, if there is one within the duration of the plan.
func (a *aggregator) scheduleArrival(now int64, workload int) {
	if at, ok := a.arrivals[workload].Next(now - origin); ok {
		a.emit(now, eventqueue.Event{At: origin + at, To: a.entityID, Kind: eventQueryArrives, Value: origin + at, Part: int16(workload)})
	}
}

// receiveQuery handles a query that was asked at a time, which is before now if the aggregator was frozen or busy.
func (a *aggregator) receiveQuery(now, askedAt int64, workload, retries int, shards []int) {
	l := &a.Workloads[workload]
	if retries == 0 {
		a.recorder.RecordQuery(askedAt-origin, workload)
	}
	switch {
	case a.down: // no process listens
		a.recorder.RecordAnswer(askedAt-origin, now-origin, workload, retries, balance.Declined)
		return
	case now >= askedAt+l.Timeout: // the client no longer waits
		a.recorder.RecordAnswer(askedAt-origin, now-origin, workload, retries, balance.Forfeited)
		a.lastQuery++
		a.scheduleClientRetry(now, a.lastQuery, &pendingQuery{workload: workload, askedAt: askedAt, retries: retries, shards: shards}, balance.Forfeited, 0)
		return
	}
	a.serveQuery(now, &pendingQuery{workload: workload, askedAt: askedAt, retries: retries, shards: shards}, askedAt+l.Timeout-now)
}

// serveQuery registers a query and has it served here or by another site.
func (a *aggregator) serveQuery(now int64, q *pendingQuery, timeLeft int64) {
	a.lastQuery++
	number := a.lastQuery
	l := &a.Workloads[q.workload]
	q.parts = make([][]execution, len(q.shards))
	for range q.shards {
		q.weights = append(q.weights, 1/float64(len(q.shards)))
	}
	a.queries[number] = q
	a.ruleChecker.RecordQuery(now, number, timeLeft, int(l.RetrySafety), q.weights)
	a.emit(now, eventqueue.Event{At: now + timeLeft + 1, To: a.entityID, Kind: eventClientTimeout, Query: number})
	a.emit(now, eventqueue.Event{At: now + 3*l.Timeout, To: a.entityID, Kind: eventForgetQuery, Query: number})
	draw := float64(uint32(number)*2654435761%1000) / 1000
	if a.siteGateway != nil && !a.siteGateway.gateway.ServesLocally(now, draw, q.forwardedIn) {
		if !a.tryForward(now, number, q, false) {
			a.finish(now, ending{query: number, outcome: balance.Declined, retryAfter: 1e9})
		}
		return
	}
	a.decider.addQuery(now, number, q.workload, timeLeft, !q.forwardedIn && a.overQuota(now, q.workload), q.shards, q.weights)
	a.trace(now, "query %d received: %s, shards %v", number, l.Name, q.shards)
	a.requestRound(now)
}

// trace passes an event of this aggregator to Plan.Trace.
func (a *aggregator) trace(now int64, format string, args ...any) {
	if a.Trace != nil {
		a.Trace(now-origin, fmt.Sprint("aggregator ", a.entityID), fmt.Sprintf(format, args...))
	}
}

func (a *aggregator) handleOutcome(now int64, number int32, part, execution int, result balance.Result) {
	q := a.queries[number]
	if q == nil || execution >= len(q.parts[part]) || q.parts[part][execution].ended {
		return
	}
	x := &q.parts[part][execution]
	x.ended = true
	if result == balance.TimedOut || result == balance.Cancelled {
		a.emit(now, eventqueue.Event{At: now + a.drawDelay(), To: int32(a.Aggregators + x.replica), Kind: eventPartCancelled, Query: number, Part: int16(part),
			Attempt: int16(execution)})
	}
	checkerResult := checker.MayHaveRun
	switch {
	case result == balance.Fulfilled:
		checkerResult = checker.Fulfilled
	case result.NeverRan():
		checkerResult = checker.NeverRan
	}
	a.ruleChecker.RecordOutcome(now, number, part, execution, checkerResult)
	a.trace(now, "query %d part %d execution %d at replica %d: %s after %.3f ms", number, part, execution, x.replica, resultNames[result],
		float64(now-x.sentAt)/1e6)
	a.decider.recordOutcome(now, number, part, execution, result, now-x.sentAt)
	a.requestRound(now)
}

func (a *aggregator) drawDelay() int64 {
	return a.NetworkDelay + int64(a.networkRNG.ExpFloat64()*float64(a.NetworkDelay)/4)
}

// runRound asks the decider and carries out its decision, in the same order as package node.
func (a *aggregator) runRound(now int64) {
	a.lastRound = now
	r := a.decider.decide(now)
	for _, s := range r.sends {
		q := a.queries[s.query]
		a.ruleChecker.RecordSend(now, s.query, s.part, s.replica)
		number := len(q.parts[s.part])
		q.parts[s.part] = append(q.parts[s.part], execution{replica: s.replica, sentAt: now})
		if a.Trace != nil {
			a.trace(now, "query %d part %d execution %d to replica %d, deadline in %.1f ms; own parts in flight at replicas of its shard: %s", s.query,
				s.part, number, s.replica, float64(s.deadline-now)/1e6, a.describeInFlight(s.replica))
		}
		a.recorder.RecordExecution(q.askedAt-origin, number > 0)
		e := eventqueue.Event{At: now + a.drawDelay(), To: int32(a.Aggregators + s.replica), Kind: eventPartArrives, Query: s.query, Part: int16(s.part),
			Attempt: int16(number), Result: uint8(q.workload), Value: s.deadline}
		a.emit(now, e)
		e.At, e.To, e.Kind = s.deadline, a.entityID, eventExecutionTimeout
		a.emit(now, e)
	}
	for _, c := range r.cancellations {
		a.handleOutcome(now, c.query, c.part, c.execution, balance.Cancelled)
	}
	for _, e := range r.endings {
		a.handleEnding(now, e)
	}
	if r.wakeAt > 0 {
		a.scheduleRound(max(r.wakeAt, a.lastRound+a.Tick))
	}
}

// handleEnding handles the decider's ending of a query. A declined query is forwarded to another site if one accepts it.
func (a *aggregator) handleEnding(now int64, e ending) {
	q := a.queries[e.query]
	if q != nil && !q.ended && a.siteGateway != nil {
		a.siteGateway.gateway.Ended(now, !q.forwardedIn, e.outcome == balance.Declined)
		if e.outcome == balance.Declined && a.tryForward(now, e.query, q, true) {
			return
		}
	}
	a.finish(now, e)
}

// finish answers a query, to its client or to the site that forwarded it.
func (a *aggregator) finish(now int64, e ending) {
	q := a.queries[e.query]
	if q != nil && q.forwardedOut {
		a.ruleChecker.RecordElsewhere(e.query)
	}
	a.ruleChecker.RecordAnswer(now, e.query, e.outcome == balance.Whole || e.outcome == balance.Partial, e.outcome == balance.Whole)
	if q == nil || q.ended {
		return
	}
	q.ended = true
	a.trace(now, "query %d ends %s after %.3f ms", e.query, outcomeNames[e.outcome], float64(now-q.askedAt)/1e6)
	if q.forwardedIn {
		a.sendToSite(now, int(q.originAggregator), eventqueue.Event{Kind: eventForwardReply, Query: q.originQuery, Attempt: q.originAttempt,
			Payload: forwardedReply{outcome: e.outcome, advertisedRate: a.advertisedRate(now), retryAfter: e.retryAfter}})
		return
	}
	a.recordEnd(now, q, e.outcome)
	a.scheduleClientRetry(now, e.query, q, e.outcome, e.retryAfter)
	a.recorder.RecordAnswer(q.askedAt-origin, now-origin, q.workload, q.retries, e.outcome)
}

func (a *aggregator) advertisedRate(now int64) float64 {
	if a.siteGateway == nil {
		return 0
	}
	return a.siteGateway.gateway.AdvertisedRate(now)
}

var (
	resultNames  = [...]string{"fulfilled", "an error", "queue full", "timed out", "no connection", "reset", "cancelled", "never sent"}
	outcomeNames = [...]string{"whole", "partial", "declined", "forfeited"}
)

// describeInFlight lists how many of this aggregator's parts are in flight at each replica of a replica's shard. The module's pick is
// based on it, so the trace shows it with each send.
func (a *aggregator) describeInFlight(replica int) string {
	count := map[int]int{}
	for _, q := range a.queries {
		for _, executions := range q.parts {
			for _, x := range executions {
				if !x.ended {
					count[x.replica]++
				}
			}
		}
	}
	var all []string
	for r := a.shardOf(replica); r < a.Replicas; r += a.Plan.Shards() {
		all = append(all, fmt.Sprintf("%d has %d", r, count[r]))
	}
	return strings.Join(all, ", ")
}
