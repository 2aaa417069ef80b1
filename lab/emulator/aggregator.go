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

// execution is one run of a part, as its aggregator sees it.
type execution struct {
	replica int
	sentAt  int64
	ended   bool
}

// pendingQuery is a query that an aggregator holds.
type pendingQuery struct {
	workload int
	askedAt  int64
	ended    bool
	retries  int
	shards   []int

	visited          []int // sites that it came through
	originAggregator int32 // the aggregator that carried it here,
	originQuery      int32 // by its number
	originAttempt    int16
	forwardedIn      bool
	forwardedOut     bool // to another site,
	link             int  // over this
	parts            [][]execution
	weights          []float64
}

// aggregator is one with its brain, and with the clients that ask it.
type aggregator struct {
	emitter
	*Plan
	arrivals    []*Arrivals // by load
	clientRNG   *rand.Rand  // of who asks again
	networkRNG  *rand.Rand
	decider     decider
	ruleChecker *checker.Aggregator
	queries     map[int32]*pendingQuery
	retryShards map[int32][]int // the shards of queries that will be asked again
	lastRound   int64           // the last round
	nextRound   int64           // the next, 0 for none
	lastQuery   int32
	listingSeq  []uint64 // by replica: the newest that the list told
	recorder    *Recorder
	simulation  *simulation
	member      *storeMember      // nil without a store
	quotaUses   map[int][]int64   // by load: when a query was let in as within its quota
	siteGateway *siteGateway      // nil without other sites
	listings    []balance.Listing // as it was told last
	down        bool
	frozenUntil int64 // it does nothing until then, 0 for not

	processor *processor // its own; nil where what it does costs nothing
}

// start begins anew, with nothing but the list.
func (a *aggregator) start(now int64) {
	for _, l := range a.listings {
		a.ruleChecker.RecordListing(now, l.Replica, l.Cell, l.Status == balance.Up)
	}
	if a.Policy == "module" {
		whole := slices.DeleteFunc(slices.Clone(a.listings), func(l balance.Listing) bool { return l.Status == balance.Gone })
		for i := range whole {
			whole[i].New = true
		}
		m := newModuleDecider(now, a.deployment(int(a.entityID)), whole)
		if a.decider = m; a.ZoneHealthEnabled {
			a.decider = newZoneAwareDecider(m, a.Plan, int(a.entityID), whole)
		}
	} else {
		truths := &a.simulation.oracleViews
		a.decider = newBaselineDecider(a.Plan, int(a.entityID), a.listings, func(r int) (int64, bool) { return (*truths)[r].wait, (*truths)[r].healthy })
	}
	a.joinStore(now)
	a.openGateway(now)
	if a.Defect != "" {
		a.decider = &defectiveDecider{decider: a.decider, defect: a.Defect}
	}
}

// listingOf is what it was told last of a replica of its site.
func (a *aggregator) listingOf(replica int) *balance.Listing {
	return &a.listings[replica-a.siteOfAggregator(int(a.entityID))*a.replicasPerSite()]
}

// applyFault has a fault of its own begin or end.
func (a *aggregator) applyFault(now int64, number int, begins bool) {
	f := a.Faults[number]
	switch {
	case f.Kind == "crash" && begins:
		a.down = true
		for _, q := range a.queries { // their clients see the connection break
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
		a.trace(now, "is back")
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
	case eventClientTimeout: // the client's own clock
		a.ruleChecker.ClientTimeout(now, e.Query)
		return
	}
	if a.frozenUntil > now { // whatever comes waits, in its order, until it goes on
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
			a.trace(now, "the list has replica %d %s", e.Query, [...]string{"up", "draining", "gone"}[e.Result])
			a.decider.updateListing(now, l)
			a.requestRound(now)
		}
	}
}

// requestRound has a round come as soon as one may.
func (a *aggregator) requestRound(now int64) { a.scheduleRound(max(a.lastRound+a.Tick, now)) }

func (a *aggregator) scheduleRound(at int64) {
	if a.nextRound != 0 && a.nextRound <= at {
		return
	}
	a.nextRound = at
	a.emit(at, eventqueue.Event{At: at, To: a.entityID, Kind: eventRoundDue})
}

// scheduleArrival has the next query of a load come, until the clients end.
func (a *aggregator) scheduleArrival(now int64, load int) {
	if at, comes := a.arrivals[load].Next(now - origin); comes {
		a.emit(now, eventqueue.Event{At: origin + at, To: a.entityID, Kind: eventQueryArrives, Value: origin + at, Part: int16(load)})
	}
}

// receiveQuery takes a query in that was asked at a time: now, or before a freeze.
func (a *aggregator) receiveQuery(now, at int64, load, tries int, shards []int) {
	l := &a.Workloads[load]
	if tries == 0 {
		a.recorder.RecordQuery(at-origin, load)
	}
	switch {
	case a.down: // nobody listens
		a.recorder.RecordAnswer(at-origin, now-origin, load, tries, balance.Declined)
		return
	case now >= at+l.Timeout: // its client has left
		a.recorder.RecordAnswer(at-origin, now-origin, load, tries, balance.Forfeited)
		a.lastQuery++
		a.scheduleClientRetry(now, a.lastQuery, &pendingQuery{workload: load, askedAt: at, retries: tries, shards: shards}, balance.Forfeited, 0)
		return
	}
	a.serveQuery(now, &pendingQuery{workload: load, askedAt: at, retries: tries, shards: shards}, at+l.Timeout-now)
}

// serveQuery has a query that was taken in served here, or elsewhere.
func (a *aggregator) serveQuery(now int64, q *pendingQuery, left int64) {
	a.lastQuery++
	number := a.lastQuery
	l := &a.Workloads[q.workload]
	q.parts = make([][]execution, len(q.shards))
	for range q.shards {
		q.weights = append(q.weights, 1/float64(len(q.shards)))
	}
	a.queries[number] = q
	a.ruleChecker.RecordQuery(now, number, left, int(l.RetrySafety), q.weights)
	a.emit(now, eventqueue.Event{At: now + left + 1, To: a.entityID, Kind: eventClientTimeout, Query: number})
	a.emit(now, eventqueue.Event{At: now + 3*l.Timeout, To: a.entityID, Kind: eventForgetQuery, Query: number})
	mark := float64(uint32(number)*2654435761%1000) / 1000
	if a.siteGateway != nil && !a.siteGateway.gateway.ServesLocally(now, mark, q.forwardedIn) {
		if !a.tryForward(now, number, q, false) {
			a.finish(now, ending{query: number, outcome: balance.Declined, retryAfter: 1e9})
		}
		return
	}
	a.decider.addQuery(now, number, q.workload, left, !q.forwardedIn && a.overQuota(now, q.workload), q.shards, q.weights)
	a.trace(now, "query %d taken: %s, shards %v", number, l.Name, q.shards)
	a.requestRound(now)
}

// trace tells who asked for it what happens here.
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
	ended := checker.MayHaveRun
	switch {
	case result == balance.Fulfilled:
		ended = checker.Fulfilled
	case result.NeverRan():
		ended = checker.NeverRan
	}
	a.ruleChecker.RecordOutcome(now, number, part, execution, ended)
	a.trace(now, "query %d part %d execution %d at replica %d: %s after %.3f ms", number, part, execution, x.replica, resultNames[result],
		float64(now-x.sentAt)/1e6)
	a.decider.recordOutcome(now, number, part, execution, result, now-x.sentAt)
	a.requestRound(now)
}

func (a *aggregator) drawDelay() int64 {
	return a.NetworkDelay + int64(a.networkRNG.ExpFloat64()*float64(a.NetworkDelay)/4)
}

// runRound lets the brain decide, and carries it out in the node's order.
func (a *aggregator) runRound(now int64) {
	a.lastRound = now
	r := a.decider.decide(now)
	for _, s := range r.sends {
		q := a.queries[s.query]
		a.ruleChecker.RecordSend(now, s.query, s.part, s.replica)
		number := len(q.parts[s.part])
		q.parts[s.part] = append(q.parts[s.part], execution{replica: s.replica, sentAt: now})
		if a.Trace != nil {
			a.trace(now, "query %d part %d execution %d to replica %d, cut off in %.1f ms; own parts in flight at its holders: %s", s.query,
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

// handleEnding is what the own module ends a query with. What it declines may go elsewhere first.
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

// finish gives a query its one answer.
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
	resultNames  = [...]string{"fulfilled", "an error", "turned away", "timed out", "no connection", "reset", "cancelled", "never left"}
	outcomeNames = [...]string{"whole", "partial", "declined", "forfeited"}
)

// describeInFlight tells how many own parts are out at each holder of a replica's shard: what the module's pick goes by, and a reader
// wants to see beside it.
func (a *aggregator) describeInFlight(replica int) string {
	count := map[int]int{}
	for _, q := range a.queries {
		for _, runs := range q.parts {
			for _, x := range runs {
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
