package emulator

import (
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
	"willowsill/lab/emulator/checker"
	"willowsill/lab/emulator/eventqueue"
)

// Kinds of events. The comments name the fields of eventqueue.Event with a special meaning.
const (
	eventPartArrives      uint8 = iota // at a replica: a part arrives; Result is the workload, Value the deadline
	eventPartCancelled                 // at a replica: the aggregator has cancelled an execution
	eventWorkDone                      // at a replica: a worker finishes; Value is job.service
	eventFaultBegins                   // a fault or the next period of a fault "pause" begins; Value is the fault's index, here and at its end
	eventFaultEnds                     // a fault ends; Value -1 restarts a replica after a crash by overload
	eventFaultRepeats                  // the next period of a fault begins; at the store: the mode "stale" swaps its data
	eventPauseEnds                     // at a replica: a pause is over
	eventReplyArrives                  // at an aggregator: the reply of a replica
	eventExecutionTimeout              // at an aggregator: the deadline of an execution has passed
	eventRoundDue                      // at an aggregator: a decision round is due
	eventQueryArrives                  // at an aggregator: a client's query; Part is the workload, Value the time of asking
	eventClientRetries                 // at an aggregator: a client's retry, with the same fields; Query is its key in retryShards
	eventClientTimeout                 // at an aggregator: a client stops waiting
	eventProcessorFree                 // at an aggregator: its processor is free for the next queued event
	eventQueryDequeued                 // kind of a queued query or client retry until the processor takes it
	eventReadingDue                    // at an aggregator: the overload detector needs a reading
	eventForgetQuery                   // at an aggregator: the state of a query can be dropped
	eventStoreRoundDue                 // at an aggregator: an exchange with the store is due; Value is the number of the last one
	eventStoreRequest                  // at the store: the request of an exchange
	eventStoreReply                    // at an aggregator: the reply of the store
	eventStoreTimeout                  // at an aggregator: the store has not replied in time
	eventPingsDue                      // at an aggregator: pings to the other sites are due
	eventPingArrives                   // at an aggregator: a ping from another site; Value is the sender's link
	eventPingReply                     // at an aggregator: the reply to a ping; Value is the link
	eventGatewayDue                    // at an aggregator: the gateway has a decision due
	eventForwardRoundDue               // at an aggregator: a round of the site balancer is due
	eventForwardArrives                // at an aggregator: a query forwarded by another site
	eventForwardReply                  // at an aggregator: the answer to a query that it forwarded
	eventForwardTimeout                // at an aggregator: the deadline of a forward attempt has passed
	eventListingArrives                // at an aggregator: an update of the replica list; Query is the replica, Result its status, Value its start
	eventPauseBegins                   // at a replica: a spontaneous pause begins
)

// executionKey identifies an execution at a replica. query is the number that the aggregator gave it.
type executionKey struct {
	aggregator    int32
	query         int32
	part, attempt int16
}

// job is an execution that is queued or running at a replica.
type job struct {
	executionKey
	service  uint64 // number of the scheduled end, so that an outdated eventWorkDone is ignored
	doneAt   int64  // time at which a worker finishes the job
	deadline int64  // time at which the aggregator stops waiting for the job
}

// oracleView is the true state of a replica, which only the baseline "oracle" sees.
type oracleView struct {
	wait    int64 // expected time until a new part would be done, ns
	healthy bool
}

// replica models a replica as workers that take parts from one queue.
type replica struct {
	emitter
	*Plan
	number            int
	rng               *rand.Rand
	serviceTimeFactor float64 // factor on the service time of all parts; below 1 for a fast replica
	startedAt         int64   // time of the last start; 0 for a replica that is warm from the start of the run
	down              bool
	queue             []job
	running           []job
	lastService       uint64
	activeFaults      map[int]bool // active faults, by index in Plan.Faults
	paused            bool
	pausedAt          int64
	pausedUntil       int64
	ruleChecker       *checker.Replica
	faultyExecutions  int  // executions that arrived while a fault was active
	overloadCrash     bool // the replica is down because of overload during its warm-up
}

// activeFault returns the first active fault of a kind.
func (r *replica) activeFault(kind string) (Fault, bool) {
	for i := range r.Faults { // in the order of the plan, because map order is random
		if r.activeFaults[i] && r.Faults[i].Kind == kind {
			return r.Faults[i], true
		}
	}
	return Fault{}, false
}

// active reports whether a periodic fault is in the bad part of its period. Faults without a period are always active.
func (f Fault) active(now int64) bool {
	return f.Period <= 0 || (now-origin-f.From)%f.Period < f.ActiveTime
}

func (r *replica) isHung(now int64) bool {
	if _, hung := r.activeFault("hang"); hung {
		return true
	}
	f, flaps := r.activeFault("flap")
	return flaps && f.active(now)
}

func (r *replica) handle(now int64, e eventqueue.Event) {
	switch e.Kind {
	case eventPartArrives:
		r.receive(now, executionKey{e.From, e.Query, e.Part, e.Attempt}, int(e.Result), e.Value)
	case eventPartCancelled:
		r.cancel(now, executionKey{e.From, e.Query, e.Part, e.Attempt})
	case eventWorkDone:
		r.finish(now, uint64(e.Value))
	case eventFaultBegins, eventFaultEnds:
		r.applyFault(now, int(e.Value), e.Kind == eventFaultBegins)
	case eventPauseBegins:
		r.pauseFor(now, r.PauseTime/2+r.rng.Int64N(r.PauseTime+1))
		r.schedulePause(now)
	case eventPauseEnds:
		if !r.paused || now < r.pausedUntil { // a longer pause has begun since this event was scheduled
			return
		}
		r.paused = false
		for i := range r.running { // running parts continue with the time that they had left
			r.scheduleDone(now, &r.running[i], max(r.running[i].doneAt-r.pausedAt, 0))
		}
		r.startQueued(now)
	}
}

// reply sends the result of an execution to its aggregator, unless a fault drops it.
func (r *replica) reply(now int64, k executionKey, result balance.Result, after int64) {
	if _, lost := r.activeFault("silence"); lost || r.partitioned(now, int(k.aggregator), r.number) {
		return
	}
	r.emit(now, eventqueue.Event{At: now + after + r.drawDelay(), To: k.aggregator, Kind: eventReplyArrives, Query: k.query, Part: k.part, Attempt: k.attempt,
		Result: uint8(result)})
}

// drawDelay draws the network delay of a message: the minimum delay plus exponential jitter.
func (r *replica) drawDelay() int64 {
	return r.NetworkDelay + int64(r.rng.ExpFloat64()*float64(r.NetworkDelay)/4)
}

const errorReplyNs = int64(1e6) // time until a replica with the fault "errors" answers

// receive handles the arrival of a part, for which the aggregator waits until deadline.
func (r *replica) receive(now int64, k executionKey, workload int, deadline int64) {
	if r.partitioned(now, int(k.aggregator), r.number) {
		return
	}
	if r.down {
		r.reply(now, k, balance.ConnectFailed, 0)
		return
	}
	if len(r.activeFaults) > 0 {
		r.faultyExecutions++
	}
	if r.ruleChecker.RecordArrival(now) {
		r.crashByOverload(now)
		return
	}
	if _, failing := r.activeFault("errors"); failing {
		r.reply(now, k, balance.Errored, errorReplyNs)
		return
	}
	if f, unanswered := r.activeFault("unanswered"); r.isHung(now) || unanswered && f.Workload == workload {
		return
	}
	if r.QueueLimit > 0 && len(r.queue) >= r.QueueLimit {
		r.reply(now, k, balance.Full, 0)
		return
	}
	r.queue = append(r.queue, job{executionKey: k, deadline: deadline})
	r.startQueued(now)
}

// startQueued starts queued parts while workers are free.
func (r *replica) startQueued(now int64) {
	for !r.paused && len(r.running) < r.Workers && len(r.queue) > 0 {
		j := r.queue[0]
		r.queue = r.queue[1:]
		if r.DropExpired && now >= j.deadline {
			continue
		}
		r.running = append(r.running, j)
		r.scheduleDone(now, &r.running[len(r.running)-1], r.drawServiceTime(now))
	}
}

func (r *replica) scheduleDone(now int64, j *job, duration int64) {
	r.lastService++
	j.service, j.doneAt = r.lastService, now+duration
	r.emit(now, eventqueue.Event{At: j.doneAt, To: r.entityID, Kind: eventWorkDone, Value: int64(j.service)})
}

// drawServiceTime draws the time that a part takes if it starts now.
func (r *replica) drawServiceTime(now int64) int64 {
	t := float64(r.ServiceTime) * math.Exp(r.ServiceTimeSigma*r.rng.NormFloat64()) * r.serviceTimeFactor
	if r.HeavyTailShare > 0 && r.rng.Float64() < r.HeavyTailShare {
		t *= math.Pow(1-r.rng.Float64(), -1/1.5) // a Pareto distribution with shape 1.5
	}
	return int64(min(t*r.slowdown(now), 600e9))
}

// slowdown returns the present factor on service times, from faults, warm-up and crowding.
func (r *replica) slowdown(now int64) float64 {
	t := 1.0
	if f, slow := r.activeFault("slow"); slow {
		t *= f.Slowdown
	}
	if age := now - r.startedAt; r.startedAt > 0 && age < r.WarmUpTime {
		t /= r.ColdCapacity + (1-r.ColdCapacity)*float64(age)/float64(r.WarmUpTime)
	}
	partsPerWorker := float64(len(r.queue)+len(r.running)) / float64(r.Workers)
	return t * (1 + r.CrowdingSlowdown*max(partsPerWorker-r.CrowdingThreshold, 0))
}

// finish ends the job whose end was scheduled with this service number, unless that was rescheduled.
func (r *replica) finish(now int64, service uint64) {
	i := slices.IndexFunc(r.running, func(j job) bool { return j.service == service })
	if i < 0 || r.paused {
		return
	}
	k := r.running[i].executionKey
	r.running = slices.Delete(r.running, i, i+1)
	if !r.isHung(now) {
		r.reply(now, k, balance.Fulfilled, 0)
	}
	r.startQueued(now)
}

// cancel removes an execution from the queue and from its worker, as far as the plan says that replicas do so.
func (r *replica) cancel(now int64, k executionKey) {
	same := func(j job) bool { return j.executionKey == k }
	if !r.KeepCancelledQueued {
		r.queue = slices.DeleteFunc(r.queue, same)
	}
	if r.FinishCancelled {
		return
	}
	if r.running = slices.DeleteFunc(r.running, same); !r.paused {
		r.startQueued(now)
	}
}

// crash resets all connections, drops all parts and has the replica delisted.
func (r *replica) crash(now int64) {
	r.down = true
	for _, j := range append(slices.Clone(r.running), r.queue...) {
		r.reply(now, j.executionKey, balance.Reset, 0)
	}
	r.running, r.queue = nil, nil
	r.announce(now, balance.Gone)
}

func (r *replica) restart(now int64) {
	r.down, r.startedAt, r.overloadCrash = false, now, false
	r.ruleChecker.RecordStart(now)
	r.announce(now, balance.Up)
}

// crashByOverload crashes a replica that got too much load in its warm-up. It restarts after WarmUpTime.
func (r *replica) crashByOverload(now int64) {
	if !r.overloadCrash {
		r.overloadCrash = true
		r.crash(now)
		r.emit(now, eventqueue.Event{At: now + r.WarmUpTime, To: r.entityID, Kind: eventFaultEnds, Value: -1})
	}
}

// announce sends a change of status to all aggregators of the site, each with its own list delay.
func (r *replica) announce(now int64, status balance.Status) {
	for a := range r.Aggregators {
		if r.siteOfAggregator(a) != r.siteOfReplica(r.number) {
			continue
		}
		at := now + r.ListDelay + r.rng.Int64N(r.ListDelay+1)
		for _, f := range r.Faults {
			if f.Kind == "list" && at >= origin+f.From && at < origin+f.Until {
				at = origin + f.Until
			}
		}
		r.emit(now, eventqueue.Event{At: at, To: int32(a), Kind: eventListingArrives, Query: int32(r.number), Result: uint8(status), Value: r.startedAt})
	}
}

// applyFault begins or ends a fault at this replica; a number below 0 restarts it after a crash by overload.
func (r *replica) applyFault(now int64, number int, begins bool) {
	if number < 0 {
		r.restart(now)
		return
	}
	f := r.Faults[number]
	if begins {
		r.activeFaults[number] = true
	} else {
		delete(r.activeFaults, number)
	}
	switch {
	case f.Kind == "restart" && begins && !r.down:
		r.crash(now)
	case f.Kind == "restart" && !begins && !r.overloadCrash:
		r.restart(now)
	case f.Kind == "drain" && !r.down:
		status := balance.Up
		if begins {
			status = balance.Draining
		}
		r.announce(now, status)
	case f.Kind == "pause" && begins:
		r.applyPauseFault(now, number)
	}
}

// pauseFor stops all work for d, and does not shorten a pause that lasts longer.
func (r *replica) pauseFor(now, d int64) {
	if !r.paused {
		r.paused, r.pausedAt, r.pausedUntil = true, now, now
	}
	r.pausedUntil = max(r.pausedUntil, now+d)
	r.emit(now, eventqueue.Event{At: r.pausedUntil, To: r.entityID, Kind: eventPauseEnds})
}

// schedulePause schedules the next spontaneous pause.
func (r *replica) schedulePause(now int64) {
	if r.PauseInterval > 0 {
		at := now + max(int64(r.rng.ExpFloat64()*float64(r.PauseInterval)), 1)
		r.emit(now, eventqueue.Event{At: at, To: r.entityID, Kind: eventPauseBegins})
	}
}

// applyPauseFault pauses the replica and schedules the next period of the fault.
func (r *replica) applyPauseFault(now int64, number int) {
	f := r.Faults[number]
	if now >= origin+f.Until {
		return
	}
	r.pauseFor(now, f.ActiveTime)
	if f.Period > f.ActiveTime {
		r.emit(now, eventqueue.Event{At: now + f.Period, To: r.entityID, Kind: eventFaultBegins, Value: int64(number)})
	}
}

// oracleView estimates the wait for a new part from the true state of the replica.
func (r *replica) oracleView(now int64) oracleView {
	_, failing := r.activeFault("errors")
	_, lost := r.activeFault("silence")
	work := float64(r.ServiceTime) * r.serviceTimeFactor * r.slowdown(now)
	queued := max(float64(len(r.queue)+len(r.running)-r.Workers+1), 0)
	return oracleView{int64(work * (1 + queued/float64(r.Workers))), !r.down && !failing && !lost && !r.isHung(now) && !r.paused}
}
