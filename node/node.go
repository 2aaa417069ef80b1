// Package node runs one aggregator: it takes queries from a front, asks the decision module (package balance)
// what to do, sends parts to replicas and returns the answers. One goroutine, the loop, owns the module and the
// state of every query. Events reach it through one bounded queue, and nothing in it waits for a socket.
package node

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/decide/zonehealth"
	"willowsill/deployment"
	"willowsill/internal/counters"
	"willowsill/transport/discovery"
	"willowsill/transport/replica"
	"willowsill/transport/sockets"
)

const (
	queueLength    = 1024            // events that may wait for the loop
	arrivalDivisor = 2               // queries may fill 1/2 of the queue, so that results of executions still fit
	sweepInterval  = time.Second     // time between two searches for idle connections
	clockOffset    = 1 << 20 * 1e9   // ns; replicas that started before this process still have a start time above 0
	latenessDecay  = 256             // each event lowers an old lateness by 1/256
	longDelay      = 50 * int64(1e6) // ns; an event that waits longer is logged, and lateness is capped to this
)

// Clock is a monotonic clock in whole ns with an arbitrary start.
type Clock struct{ base time.Time }

// NewClock returns a clock that already shows clockOffset.
func NewClock() Clock { return Clock{time.Now().Add(-clockOffset)} }

// Shifted returns a clock that is ahead by d, like the clock of another process, which has another start.
func (c Clock) Shifted(d time.Duration) Clock { return Clock{c.base.Add(-d)} }

// Now returns the time that the clock shows.
func (c Clock) Now() int64 { return int64(time.Since(c.base)) }

// FromUnixMilli converts ms of Unix time to the time of this clock; 0 stays 0.
func (c Clock) FromUnixMilli(ms int64) int64 {
	if ms == 0 {
		return 0
	}
	return max(int64(time.UnixMilli(ms).Sub(c.base.Round(0))), 1)
}

// event is what the queue of the loop carries: its time, ns, and one of the types that handle distinguishes.
type event struct {
	at      int64
	payload any
}

type stop struct{}

// Node is one aggregator with its connections.
type Node struct {
	Clock
	deployment.Deployment
	limits      deployment.Limits
	rows        []*counters.Workload // counters of each workload, by row
	log         *zap.Logger
	count       *counters.Counters
	requestList func() // starts a subscription to the list of replicas
	events      chan event
	done        chan struct{}
	ready       chan struct{} // closed once a list with a replica that is up was applied
	isReady     bool
	retryAfter  int64 // wait advised to clients whom the node itself declines, ns

	// Only the loop uses the fields from here on.
	agg            *balance.Aggregator
	transport      Transport
	indices        map[string]int // indices of the replicas, by host
	hosts          []host         // hosts of the replicas, by index
	queries        map[*balance.Query]*query
	held           int                            // queries without an answer, and their parts
	running        map[*replica.Ticket]*execution // executions without a result
	deadlines      deadlineHeap                   // deadlines of running executions
	pendingResults []pendingResult                // results that arose during a round
	lastRound      int64                          // start of the last round, ns
	wakeAt         int64                          // latest time for the next round, as the module asked, ns; 0 for none
	changed        bool                           // an event came since the last round
	lateness       int64                          // recent delay of the loop, ns; see recordLateness
	nextSweep      int64                          // time of the next Transport.Sweep, ns
	lastRetryAt    map[int]int64                  // time of the last retry, ns, by retry budget
	stopped        bool
	shared         *shared                // state of sharing with other aggregators; nil if it is off
	schedule       *Schedule              // nil for at most one round a tick
	zoneHealth     *zonehealth.Tracker    // nil if zones are not watched
	observer       Observer               // nil for none
	reports        []balance.SharedReport // buffer for reports of the zone tracker
	unreachable    []string               // zones that were last logged as unreachable
}

// host is the replica to which an index is assigned.
type host struct {
	name      string // empty if the index is free
	zone      string // empty if the replica has none
	up        bool   // listed as up
	gone      bool   // not listed any more
	startedMs int64  // start of its process, ms of Unix time; 0 for long ago
}

// Observer is notified of executions at replicas, on the loop, so it must not block. Ended is only called for
// executions for which Sent returned true.
type Observer interface {
	Sent(host string) (wanted bool)
	Ended(host string, end Execution)
}

// Execution is an execution that has ended, as reported to an Observer.
type Execution struct {
	Workload      int
	Result        balance.Result
	Took          int64 // time since its connection was established, ns; 0 if it had none
	NewConnection bool  // a connection was opened for it
}

// Options configure a node.
type Options struct {
	Clock       Clock
	Deployment  deployment.Deployment
	Limits      deployment.Limits
	KnownList   discovery.Update // the list that an earlier process saved
	Budget      *sockets.Budget
	Count       *counters.Counters
	Log         *zap.Logger
	RequestList func() // starts a subscription to the list; it must not block
	Dial        replica.Dial

	Observer Observer // may be nil

	// NewTransport creates the transport to replicas; nil for framed messages on connections made with Dial.
	NewTransport func(enqueue func(any), now func() int64) Transport
}

// New starts a node.
func New(p Options) *Node {
	n := &Node{
		Clock: p.Clock, Deployment: p.Deployment, limits: p.Limits, log: p.Log, count: p.Count, requestList: p.RequestList, observer: p.Observer,
		events: make(chan event, queueLength), done: make(chan struct{}), ready: make(chan struct{}),
		indices: map[string]int{}, lastRetryAt: map[int]int64{}, queries: map[*balance.Query]*query{}, running: map[*replica.Ticket]*execution{},
		rows: make([]*counters.Workload, len(p.Deployment.Workloads)),
	}
	for name, row := range p.Deployment.WorkloadRow {
		n.rows[row] = p.Count.Workloads[name]
	}
	n.agg = balance.New(n.Now(), p.Deployment.Deployment)
	n.retryAfter = n.agg.RetryAfter()
	enqueue := func(v any) { n.events <- event{n.Now(), transportEvent{v}} }
	if p.NewTransport != nil {
		n.transport = p.NewTransport(enqueue, n.Now)
	} else {
		n.transport = frameTransport{replica.NewPool(replica.Config{MaxCalls: p.Limits.CallsPerConnection, ConnectTimeout: p.Limits.ConnectTimeout,
			IdleTimeout: p.Limits.IdleTimeout, Now: n.Now, Dial: p.Dial}, func(v replica.Event) { enqueue(v) }, p.Budget, p.Count)}
	}
	n.applyList(n.Now(), p.KnownList, false)
	n.changed = true // the first round may have to request the list
	go n.run()
	return n
}

// Ready is closed once the node can serve queries.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// ApplyList queues an update of the list of replicas.
func (n *Node) ApplyList(ctx context.Context, update discovery.Update) {
	select {
	case n.events <- event{n.Now(), update}:
	case <-ctx.Done():
	}
}

// Close stops the node and waits until all connections have ended. No query may be under way any more.
func (n *Node) Close() {
	n.events <- event{n.Now(), stop{}}
	<-n.done
}

// run is the loop: it handles events and starts a round when one is due.
func (n *Node) run() {
	defer close(n.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for next := n.Now(); !n.stopped; {
		select {
		case e := <-n.events:
			n.handle(e)
		case <-timer.C:
			n.recordLateness(n.Now() - next)
		}
		woken := n.recordWake()
		n.drainQueue()
		n.yieldAndDrain()
		now := n.Now()
		n.endOverdue(now)
		if now >= n.nextRoundAt() {
			n.round(now)
		}
		if now >= n.nextSweep {
			n.nextSweep = now + int64(sweepInterval)
			n.transport.Sweep()
			n.freeIndices()
		}
		next = n.prepareSleep(min(n.nextRoundAt(), n.deadlines.next(), n.nextSweep), woken)
		timer.Reset(time.Duration(max(next-n.Now(), 0)))
	}
	for n.transport.Close(); n.transport.OpenConnections() > 0; {
		n.handle(<-n.events)
	}
	n.recordPending()
}

// drainQueue handles the events that are waiting, and tells whether there were any.
func (n *Node) drainQueue() bool {
	waiting := len(n.events)
	for range waiting {
		n.handle(<-n.events)
	}
	return waiting > 0
}

// recordLateness records by how much the loop was late, ns. The module assumes that it is called on time, so
// its deadlines are moved ahead of those of the clients by this much. Old values decay.
//
// Danger: without the decay and the cap, queries would seem to have no time left after one long stall.
func (n *Node) recordLateness(delay int64) {
	n.lateness = max(min(delay, longDelay), n.lateness-n.lateness/latenessDecay)
	n.count.DelayMaximum.Record(delay)
}

// nextRoundAt is when the next round is due: rounds are at least a tick apart, or as the schedule allows.
func (n *Node) nextRoundAt() int64 {
	next := int64(math.MaxInt64)
	if n.changed {
		next = n.lastRound + n.roundGap()
	}
	if n.wakeAt > 0 {
		next = min(next, max(n.wakeAt, n.lastRound+n.Tick))
	}
	if n.zoneHealth != nil {
		next = min(next, max(n.zoneHealth.Next(), n.lastRound+n.Tick))
	}
	return next
}

// handle handles one event, and measures how long it waited: the simulator of the module has no such delay.
func (n *Node) handle(e event) {
	now := n.Now()
	delay := now - e.at
	n.count.Facts.Add(1)
	n.count.DelayTotal.Add(delay)
	switch e.payload.(type) {
	case surveyRequest, sharedUpdate, retryUseRequest: // their delay affects no query
	default:
		n.count.Delay.Record(delay)
	}
	n.recordLateness(delay)
	if delay > longDelay {
		n.log.Warn("an event waited long for the loop", zap.Duration("delay", time.Duration(delay)))
	}
	switch v := e.payload.(type) {
	case arrival:
		n.admit(now, v.query)
	case departure:
		n.clientLeft(now, v.query)
	case transportEvent:
		n.handleTransport(now, v)
	case discovery.Update:
		n.applyList(now, v, true)
	case retryUseRequest:
		v.reply <- n.retryUse(now)
		return // a request changes nothing
	case surveyRequest:
		n.answerSurvey(now, v)
		return // a request changes nothing
	case sharedUpdate:
		n.applyShared(now, v)
	case sharingChange:
		n.setSharing(v)
	case scheduleChange:
		n.schedule = v.schedule
	case workloadsChange:
		n.applyWorkloads(now, v)
	case zonesChange:
		n.watchZones(now, v.zoneHealth)
	case stop:
		n.stopped = true
	}
	n.changed = true
}
