package emulator

import (
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
	"willowsill/lab/emulator/checker"
	"willowsill/lab/emulator/eventqueue"
)

// What happens.
const (
	eventPartArrives   uint8 = iota // a part at a replica; Result is its load, Value until when it is waited for
	eventPartCancelled              // it is given up by its aggregator
	eventWorkDone                   // a worker has done one
	eventFaultBegins                // a fault; Value is its number
	eventFaultEnds
	eventFaultRepeats     // the next period of one
	eventPauseEnds        // a pause is over
	eventReplyArrives     // an outcome at an aggregator
	eventExecutionTimeout // an execution's time is up
	eventRoundDue         // a round is due
	eventQueryArrives     // a client's query; Value is its load
	eventClientRetries    // a client asks again; Value is its load
	eventClientTimeout    // a client's time is up
	eventProcessorFree    // an aggregator's own processor comes to what waits next
	eventQueryDequeued    // a query that waited for it
	eventReadingDue       // strain is told how it stands
	eventForgetQuery      // nothing more can come of a query
	eventStoreRoundDue    // a round with the store is due; Value is the round before
	eventStoreRequest     // a round comes to the store
	eventStoreReply       // and back
	eventStoreTimeout     // it did not come back in time
	eventPingsDue         // the gateway's: pings are due,
	eventPingArrives      // one comes,
	eventPingReply        // and is back; Value is the link
	eventGatewayDue       // gateway wants to be asked
	eventForwardRoundDue  // a round of the hop is due
	eventForwardArrives   // a query comes from another site
	eventForwardReply     // and its answer goes back
	eventForwardTimeout   // a trip's time is up
	eventListingArrives   // the list tells of a replica; Query is its number, Result its standing, Value its start
	eventPauseBegins      // a replica makes a pause by itself
)

// executionKey names an execution among those that a replica has.
type executionKey struct {
	aggregator    int32
	query         int32
	part, attempt int16
}

type job struct {
	executionKey
	service  uint64 // of its service, so that an old end does nothing
	doneAt   int64  // its service ends
	deadline int64  // nobody waits for it from then on
}

// oracleView is what the oracle may see of a replica.
type oracleView struct {
	wait    int64
	healthy bool
}

// replica is a model: workers that take parts from one queue.
type replica struct {
	emitter
	*Plan
	number            int
	rng               *rand.Rand
	serviceTimeFactor float64
	startedAt         int64 // 0 for long ago
	down              bool
	queue             []job
	running           []job
	lastService       uint64
	activeFaults      map[int]bool // faults by number that hold now
	paused            bool         // it is paused,
	pausedAt          int64        // from then
	pausedUntil       int64        // until then
	ruleChecker       *checker.Replica
	faultyExecutions  int // executions while a fault holds
	overloadCrash     bool
}

func (r *replica) activeFault(kind string) (Fault, bool) {
	for i := range r.Faults { // in their order
		if r.activeFaults[i] && r.Faults[i].Kind == kind {
			return r.Faults[i], true
		}
	}
	return Fault{}, false
}

// active tells whether a fault with a period is in its bad stretch.
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
		if !r.paused || now < r.pausedUntil { // a longer pause has begun meanwhile
			return
		}
		r.paused = false
		for i := range r.running { // what was under way goes on where it was
			r.scheduleDone(now, &r.running[i], max(r.running[i].doneAt-r.pausedAt, 0))
		}
		r.startQueued(now)
	}
}

// reply tells an aggregator how an execution ended.
func (r *replica) reply(now int64, k executionKey, result balance.Result, after int64) {
	if _, lost := r.activeFault("silence"); lost || r.partitioned(now, int(k.aggregator), r.number) {
		return
	}
	r.emit(now, eventqueue.Event{At: now + after + r.drawDelay(), To: k.aggregator, Kind: eventReplyArrives, Query: k.query, Part: k.part, Attempt: k.attempt,
		Result: uint8(result)})
}

func (r *replica) drawDelay() int64 {
	return r.NetworkDelay + int64(r.rng.ExpFloat64()*float64(r.NetworkDelay)/4)
}

const errorReplyNs = int64(1e6)

// receive takes a part of a load in that is waited for until by.
func (r *replica) receive(now int64, k executionKey, load int, by int64) {
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
	if _, errs := r.activeFault("errors"); errs {
		r.reply(now, k, balance.Errored, errorReplyNs)
		return
	}
	if f, some := r.activeFault("unanswered"); r.isHung(now) || some && f.Workload == load {
		return
	}
	if r.QueueLimit > 0 && len(r.queue) >= r.QueueLimit {
		r.reply(now, k, balance.Full, 0)
		return
	}
	r.queue = append(r.queue, job{executionKey: k, deadline: by})
	r.startQueued(now)
}

// startQueued puts waiting parts to work.
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

func (r *replica) scheduleDone(now int64, j *job, takes int64) {
	r.lastService++
	j.service, j.doneAt = r.lastService, now+takes
	r.emit(now, eventqueue.Event{At: j.doneAt, To: r.entityID, Kind: eventWorkDone, Value: int64(j.service)})
}

// drawServiceTime draws how long a part takes here and now.
func (r *replica) drawServiceTime(now int64) int64 {
	t := float64(r.ServiceTime) * math.Exp(r.ServiceTimeSigma*r.rng.NormFloat64()) * r.serviceTimeFactor
	if r.HeavyTailShare > 0 && r.rng.Float64() < r.HeavyTailShare {
		t *= math.Pow(1-r.rng.Float64(), -1/1.5) // Pareto's law with a tail of 1.5
	}
	return int64(min(t*r.slowdown(now), 600e9))
}

// slowdown is how many times as long a part takes here and now, by faults, cold and crowd.
func (r *replica) slowdown(now int64) float64 {
	t := 1.0
	if f, slow := r.activeFault("slow"); slow {
		t *= f.Slowdown
	}
	if age := now - r.startedAt; r.startedAt > 0 && age < r.WarmUpTime {
		t /= r.ColdCapacity + (1-r.ColdCapacity)*float64(age)/float64(r.WarmUpTime)
	}
	held := float64(len(r.queue)+len(r.running)) / float64(r.Workers)
	return t * (1 + r.CrowdingSlowdown*max(held-r.CrowdingThreshold, 0))
}

func (r *replica) finish(now int64, turn uint64) {
	i := slices.IndexFunc(r.running, func(j job) bool { return j.service == turn })
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

// cancel gives an execution up: it leaves the queue or its worker.
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

// crash ends all that is there.
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

// crashByOverload has a cold replica that was pushed over die, and come back after a while.
func (r *replica) crashByOverload(now int64) {
	if !r.overloadCrash {
		r.overloadCrash = true
		r.crash(now)
		r.emit(now, eventqueue.Event{At: now + r.WarmUpTime, To: r.entityID, Kind: eventFaultEnds, Value: -1})
	}
}

// announce has the list tell all aggregators of a change, each in its own time.
func (r *replica) announce(now int64, standing balance.Status) {
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
		r.emit(now, eventqueue.Event{At: at, To: int32(a), Kind: eventListingArrives, Query: int32(r.number), Result: uint8(standing), Value: r.startedAt})
	}
}

// applyFault has a fault begin or end here.
func (r *replica) applyFault(now int64, number int, begins bool) {
	if number < 0 { // it is back after it was pushed over
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
		standing := balance.Up
		if begins {
			standing = balance.Draining
		}
		r.announce(now, standing)
	case f.Kind == "pause" && begins:
		r.applyPauseFault(now, number)
	}
}

// pauseFor has all work stand still for so long, or longer where it does already.
func (r *replica) pauseFor(now, d int64) {
	if !r.paused {
		r.paused, r.pausedAt, r.pausedUntil = true, now, now
	}
	r.pausedUntil = max(r.pausedUntil, now+d)
	r.emit(now, eventqueue.Event{At: r.pausedUntil, To: r.entityID, Kind: eventPauseEnds})
}

// schedulePause has the next pause come that a replica makes by itself.
func (r *replica) schedulePause(now int64) {
	if r.PauseInterval > 0 {
		at := now + max(int64(r.rng.ExpFloat64()*float64(r.PauseInterval)), 1)
		r.emit(now, eventqueue.Event{At: at, To: r.entityID, Kind: eventPauseBegins})
	}
}

// applyPauseFault has all work stand still for a stretch, and again at each period while the fault holds.
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

// oracleView is what a part would wait here, for the oracle.
func (r *replica) oracleView(now int64) oracleView {
	_, errs := r.activeFault("errors")
	_, lost := r.activeFault("silence")
	work := float64(r.ServiceTime) * r.serviceTimeFactor * r.slowdown(now)
	waiting := max(float64(len(r.queue)+len(r.running)-r.Workers+1), 0)
	return oracleView{int64(work * (1 + waiting/float64(r.Workers))), !r.down && !errs && !lost && !r.isHung(now) && !r.paused}
}
