package emulator

import (
	"willowsill/balance"
	"willowsill/decide/overload"
	"willowsill/lab/emulator/eventqueue"
)

// CPUModel gives the processor time of an aggregator's own work, in ns. With QueryCost 0 all of it takes no time.
type CPUModel struct {
	QueryCost     int64  // time to receive a query and answer it
	ReplyCost     int64  // time to handle a replica's reply
	RejectCost    int64  // time to reject a query because of overload
	OverloadLimit string // how the aggregator detects overload: one of OverloadLimits
}

// OverloadLimits are the ways in which an aggregator may detect its overload; "none" is no detection.
var OverloadLimits = append([]string{"none"}, overload.LimitKinds...)

const readingInterval = int64(100e6) // time between two readings for the overload detector, ns

// processor models an aggregator's processor as one core that handles queued events in order of arrival.
type processor struct {
	freeAt    int64
	queue     []eventqueue.Event
	scheduled bool               // an eventProcessorFree is scheduled for the first queued event
	detector  *overload.Detector // overload detector; nil for none

	lastReading int64 // time of the last reading that the detector got
	cpuTime     int64 // processor time used since the last reading, ns
	waitTime    int64 // total wait of the events dequeued since the last reading, ns
	dequeued    int64 // number of events dequeued since the last reading
}

// startProcessor creates the processor and its overload detector, if the plan asks for them.
func (a *aggregator) startProcessor(now int64) {
	if a.CPU.QueryCost == 0 {
		return
	}
	p := &processor{freeAt: now, lastReading: now}
	a.processor = p
	if a.CPU.OverloadLimit == "" || a.CPU.OverloadLimit == "none" {
		return
	}
	c := overload.Config{Cores: 1, LimitKind: a.CPU.OverloadLimit, FixedRate: 0.8e9 / float64(a.CPU.QueryCost), WaitTarget: 10e6, MaxRetryAfter: 2e9, CustomerFloor: 0.05,
		Seed: a.Seed*1_000_003 + uint64(a.entityID)}
	for _, l := range a.Workloads {
		c.Workloads = append(c.Workloads, overload.Workload{Revenue: l.Revenue, LatencyGoal: l.LatencyGoal})
	}
	p.detector = overload.New(now, c)
	a.emit(now, eventqueue.Event{At: now + readingInterval, To: a.entityID, Kind: eventReadingDue})
}

// enqueue queues an event for the processor. It returns false for events that need no processor time.
func (a *aggregator) enqueue(now int64, e eventqueue.Event) bool {
	p := a.processor
	if p == nil || a.down {
		return false
	}
	switch e.Kind {
	case eventQueryArrives:
		shards := a.arrivals[e.Part].DrawShards()
		a.scheduleArrival(e.Value, int(e.Part))
		e.Kind, e.Payload = eventQueryDequeued, shards
	case eventClientRetries:
		e.Payload = a.retryShards[e.Query]
		delete(a.retryShards, e.Query)
		e.Kind = eventQueryDequeued
	case eventReplyArrives:
	default:
		return false
	}
	e.At = now // time at which it was queued, from which its wait counts
	p.queue = append(p.queue, e)
	a.scheduleNext(now)
	return true
}

// scheduleNext schedules the first queued event for when the processor is free.
func (a *aggregator) scheduleNext(now int64) {
	p := a.processor
	if len(p.queue) > 0 && !p.scheduled {
		p.scheduled = true
		at := max(p.freeAt, now)
		a.emit(now, eventqueue.Event{At: at, To: a.entityID, Kind: eventProcessorFree})
	}
}

// processNext handles the first queued event and charges its cost.
func (a *aggregator) processNext(now int64) {
	p := a.processor
	p.scheduled = false
	if len(p.queue) == 0 {
		return
	}
	e := p.queue[0]
	p.queue = p.queue[1:]
	p.waitTime += now - e.At
	p.dequeued++
	cost := a.CPU.ReplyCost
	if e.Kind == eventReplyArrives {
		a.handleOutcome(now, e.Query, int(e.Part), int(e.Attempt), balance.Result(e.Result))
	} else {
		cost = a.processQuery(now, e)
	}
	p.freeAt = now + cost
	p.cpuTime += cost
	a.scheduleNext(now)
}

// processQuery admits or rejects a query that was queued, and returns the processor time for it.
func (a *aggregator) processQuery(now int64, e eventqueue.Event) (cost int64) {
	workload, retries, shards := int(e.Part), int(e.Attempt), e.Payload.([]int)
	timeLeft := e.Value + a.Workloads[workload].Timeout - now
	admitted, retryAfter := true, int64(0)
	if s := a.processor.detector; s != nil {
		s.RecordWait(now - e.At)
		admitted, retryAfter = s.Admit(now, overload.Arrival{Workload: workload, ID: uint64(e.Value), TimeLeft: timeLeft, Attempt: retries + 1})
	}
	if admitted && timeLeft > 0 && timeLeft <= a.Tick { // no decision round fits before its deadline; the client on sockets waits 50 ms longer than its limit
		admitted, retryAfter = false, 0
	}
	if admitted {
		a.receiveQuery(now, e.Value, workload, retries, shards)
		return a.CPU.QueryCost
	}
	if retries == 0 {
		a.recorder.RecordQuery(e.Value-origin, workload)
	}
	a.reject(now, &pendingQuery{workload: workload, askedAt: e.Value, retries: retries, shards: shards}, retryAfter)
	return a.CPU.RejectCost
}

// reject declines a query because of overload, before the decider gets it.
func (a *aggregator) reject(now int64, q *pendingQuery, retryAfter int64) {
	a.lastQuery++
	a.trace(now, "query %d is rejected, to be retried after %.3f ms", a.lastQuery, float64(retryAfter)/1e6)
	a.scheduleClientRetry(now, a.lastQuery, q, balance.Declined, retryAfter)
	a.recorder.RecordAnswer(q.askedAt-origin, now-origin, q.workload, q.retries, balance.Declined)
}

// scheduleClientRetry decides whether the client of a declined or forfeited query retries: after the given retry time plus up to
// a tenth, or after 50 to 150 ms if none was given. A client retries at most three times.
func (a *aggregator) scheduleClientRetry(now int64, number int32, q *pendingQuery, outcome balance.Outcome, retryAfter int64) {
	l := &a.Workloads[q.workload]
	if outcome != balance.Declined && outcome != balance.Forfeited || q.retries >= 3 {
		return
	}
	share, wait := l.AdvisedRetryShare, retryAfter+int64(a.clientRNG.Float64()*float64(retryAfter)/10)
	if outcome == balance.Forfeited || retryAfter <= 0 {
		share, wait = l.ImmediateRetryShare, int64(50e6+a.clientRNG.Float64()*100e6)
	}
	if share == 0 || a.clientRNG.Float64() >= share {
		return
	}
	a.retryShards[number] = q.shards
	a.emit(now, eventqueue.Event{At: now + wait, To: a.entityID, Kind: eventClientRetries, Query: number, Value: now + wait, Part: int16(q.workload),
		Attempt: int16(q.retries + 1)})
}

// reportLoad gives the overload detector a reading of the processor, and schedules the next.
func (a *aggregator) reportLoad(now int64) {
	p := a.processor
	oldest := int64(0)
	if len(p.queue) > 0 {
		oldest = now - p.queue[0].At
	}
	used := min(p.cpuTime, now-p.lastReading)
	p.detector.Observe(now, overload.Reading{Span: now - p.lastReading, MeanWait: p.waitTime / max(p.dequeued, 1), SchedLatency: oldest, TimerLateness: oldest, CPUTime: used})
	p.cpuTime, p.waitTime, p.dequeued, p.lastReading = p.cpuTime-used, 0, 0, now
	a.emit(now, eventqueue.Event{At: now + readingInterval, To: a.entityID, Kind: eventReadingDue})
}

// recordEnd reports the end of an admitted query to the overload detector.
func (a *aggregator) recordEnd(now int64, q *pendingQuery, outcome balance.Outcome) {
	if a.processor != nil && a.processor.detector != nil {
		a.processor.detector.RecordEnd(q.workload, now-q.askedAt, outcome <= balance.Partial)
	}
}
