// Package node takes queries through the stages behind a front: admit, route, send, relay and book. One
// goroutine owns the decision module and the state of every query; facts come to it through one bounded
// queue, and nothing in it waits for a socket.
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
	queueLength    = 1024            // facts that may wait for the loop
	arrivalDivisor = 2               // queries fill no more than this part of it, so that outcomes have room
	sweepInterval  = time.Second     // between two looks for idle connections
	clockOffset    = 1 << 20 * 1e9   // ns: a replica that started before this process still did so after 0
	latenessDecay  = 256             // facts over which lateness fades
	longDelay      = 50 * int64(1e6) // ns that a fact may wait for the loop before that is logged
)

// Clock tells monotonic time in whole ns from an arbitrary start.
type Clock struct{ base time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now().Add(-clockOffset)} }

// Shifted is a clock that shows so much more: two processes have no start in common.
func (c Clock) Shifted(d time.Duration) Clock { return Clock{c.base.Add(-d)} }

// Now is the present time.
func (c Clock) Now() int64 { return int64(time.Since(c.base)) }

// FromUnixMilli turns ms of Unix time into this clock's time; 0 stays 0.
func (c Clock) FromUnixMilli(ms int64) int64 {
	if ms == 0 {
		return 0
	}
	return max(int64(time.UnixMilli(ms).Sub(c.base.Round(0))), 1)
}

// event is something that happened, on its way to the loop.
type event struct {
	at      int64
	payload any // arrival, departure, notice, discovery.News, survey, allowance, sharing, rhythm, serving, zones or stop
}

type stop struct{}

// Node is one aggregator on sockets.
type Node struct {
	Clock
	deployment.Deployment
	terms       deployment.Terms
	rows        []*counters.Workload // as the deployment numbers them
	log         *zap.Logger
	count       *counters.Counters
	requestList func() // starts a watch of the list
	events      chan event
	done        chan struct{}
	ready       chan struct{} // closed once a list with a replica is there
	isReady     bool
	retryAfter  int64 // the module's to a client whom there is no room for, ns

	// Of the loop alone from here.
	agg            *balance.Aggregator
	transport      Transport
	indices        map[string]int // of each replica, by host
	hosts          []host         // by index
	queries        map[*balance.Query]*query
	held           int // queries and parts without an answer
	running        map[*replica.Ticket]*execution
	deadlines      deadlineHeap
	pendingResults []pendingResult // that came up while a round was carried out
	lastRound      int64           // the last round
	wakeAt         int64           // when the module wants the next one at the latest, 0 for no such time
	changed        bool            // something has happened since the last round
	lateness       int64           // how late the loop was lately, ns
	nextSweep      int64
	lastRetryAt    map[int]int64 // when a part was last sent that had been sent before, by budget
	stopped        bool
	shared         *shared             // what is shared with other aggregators, nil where nothing is
	schedule       *Schedule           // nil for a round each tick
	zoneHealth     *zonehealth.Tracker // nil where zones are not watched
	observer       Observer            // nil where nobody wants it
	reports        []balance.SharedReport
	unreachable    []string // zones out of reach, as was logged last
}

// host is the replica that has an index.
type host struct {
	name      string // empty where the index can be used again
	zone      string // empty where it has none
	up        bool   // listed as up
	gone      bool   // off the list
	startedMs int64  // ms of Unix time, 0 for long ago
}

// Observer is told of executions at replicas, by the loop; it must not wait. Sent tells whether it wants to hear of the end.
type Observer interface {
	Sent(host string) (wanted bool)
	Ended(host string, end Execution)
}

// Execution is one that has ended, as an Observer is told of it.
type Execution struct {
	Workload      int
	Result        balance.Result
	Took          int64 // ns from when its connection was up; 0 where it never was
	NewConnection bool  // a connection was opened for it
}

// Options is what a node is made from.
type Options struct {
	Clock       Clock
	Deployment  deployment.Deployment
	Terms       deployment.Terms
	KnownList   discovery.News // the list as it was last held
	Budget      *sockets.Budget
	Count       *counters.Counters
	Log         *zap.Logger
	RequestList func() // asks for a watch of the list; it must not wait
	Dial        replica.Dial

	Observer Observer // is told of executions; nil where nobody wants it

	// NewTransport makes what takes parts to replicas; nil for frames on connections made with Dial.
	NewTransport func(tell func(any), now func() int64) Transport
}

// New starts a node.
func New(p Options) *Node {
	n := &Node{
		Clock: p.Clock, Deployment: p.Deployment, terms: p.Terms, log: p.Log, count: p.Count, requestList: p.RequestList, observer: p.Observer,
		events: make(chan event, queueLength), done: make(chan struct{}), ready: make(chan struct{}),
		indices: map[string]int{}, lastRetryAt: map[int]int64{}, queries: map[*balance.Query]*query{}, running: map[*replica.Ticket]*execution{},
		rows: make([]*counters.Workload, len(p.Deployment.Workloads)),
	}
	for name, row := range p.Deployment.Workload {
		n.rows[row] = p.Count.Workloads[name]
	}
	n.agg = balance.New(n.Now(), p.Deployment.Deployment)
	n.retryAfter = n.agg.RetryAfter()
	tell := func(v any) { n.events <- event{n.Now(), transportEvent{v}} }
	if p.NewTransport != nil {
		n.transport = p.NewTransport(tell, n.Now)
	} else {
		n.transport = frameTransport{replica.NewPool(replica.Terms{Streams: p.Terms.Streams, ConnectWithin: p.Terms.ConnectWithin,
			IdleAfter: p.Terms.IdleAfter, Now: n.Now, Dial: p.Dial}, func(v replica.Notice) { tell(v) }, p.Budget, p.Count)}
	}
	n.applyList(n.Now(), p.KnownList, false)
	n.changed = true // the first round is for the list, which may have to be asked for
	go n.run()
	return n
}

// Ready is closed once the node can serve.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// ApplyList hands on what discovery said.
func (n *Node) ApplyList(ctx context.Context, news discovery.News) {
	select {
	case n.events <- event{n.Now(), news}:
	case <-ctx.Done():
	}
}

// Close ends the node; no query may be under way any more. It returns when all connections have ended.
func (n *Node) Close() {
	n.events <- event{n.Now(), stop{}}
	<-n.done
}

// run is the loop: facts, then a round when one is due.
func (n *Node) run() {
	defer close(n.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for next := n.Now(); !n.stopped; {
		select {
		case f := <-n.events:
			n.handle(f)
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

// drainQueue takes the facts that wait, and tells whether there were any.
func (n *Node) drainQueue() bool {
	some := len(n.events)
	for range some {
		n.handle(<-n.events)
	}
	return some > 0
}

// recordLateness notes how late the loop was, which the simulator has no word for: the module's times are kept that much
// further from the clients'. Old lateness fades.
//
// Danger: after one long stall of the machine queries would seem to have no time left.
func (n *Node) recordLateness(by int64) {
	n.lateness = max(min(by, longDelay), n.lateness-n.lateness/latenessDecay)
	n.count.DelayHighest.Show(by)
}

// nextRoundAt is when the next round has to come: rounds stand a tick apart at least, or as the rhythm has it.
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

// handle takes one fact in. How long it waited is measured, for the simulator knows no such delay.
func (n *Node) handle(f event) {
	now := n.Now()
	delay := now - f.at
	n.count.Facts.Add(1)
	n.count.DelayTotal.Add(delay)
	switch f.payload.(type) {
	case surveyRequest, sharedUpdate, retryUseRequest: // no query waits for them
	default:
		n.count.Delay.Show(delay)
	}
	n.recordLateness(delay)
	if delay > longDelay {
		n.log.Warn("a fact waited long for the loop", zap.Duration("delay", time.Duration(delay)))
	}
	switch v := f.payload.(type) {
	case arrival:
		n.admit(now, v.query)
	case departure:
		n.clientLeft(now, v.query)
	case transportEvent:
		n.handleTransport(now, v)
	case discovery.News:
		n.applyList(now, v, true)
	case retryUseRequest:
		v.reply <- n.retryUse(now)
		return // nothing has happened
	case surveyRequest:
		n.answerSurvey(now, v)
		return // nothing has happened
	case sharedUpdate:
		n.applyShared(now, v)
	case sharingChange:
		n.setSharing(v)
	case scheduleChange:
		n.schedule = v.rhythm
	case workloadsChange:
		n.applyWorkloads(now, v)
	case zonesChange:
		n.watchZones(now, v.zoneHealth)
	case stop:
		n.stopped = true
	}
	n.changed = true
}
