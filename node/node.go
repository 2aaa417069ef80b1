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
	queueLength = 1024            // facts that may wait for the loop
	frontShare  = 2               // queries fill no more than this part of it, so that outcomes have room
	sweepEvery  = time.Second     // between two looks for idle connections
	clockStart  = 1 << 20 * 1e9   // ns: a replica that started before this process still did so after 0
	fade        = 256             // facts over which lateness fades
	longDelay   = 50 * int64(1e6) // ns that a fact may wait for the loop before that is logged
)

// Clock tells monotonic time in whole ns from an arbitrary start.
type Clock struct{ base time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now().Add(-clockStart)} }

// Ahead is a clock that shows so much more: two processes have no start in common.
func (c Clock) Ahead(d time.Duration) Clock { return Clock{c.base.Add(-d)} }

// Now is the present time.
func (c Clock) Now() int64 { return int64(time.Since(c.base)) }

// Wall turns ms of Unix time into this clock's time; 0 stays 0.
func (c Clock) Wall(ms int64) int64 {
	if ms == 0 {
		return 0
	}
	return max(int64(time.UnixMilli(ms).Sub(c.base.Round(0))), 1)
}

// fact is something that happened, on its way to the loop.
type fact struct {
	at   int64
	what any // arrival, departure, notice, discovery.News, survey, allowance, sharing, rhythm, serving, zones or stop
}

type stop struct{}

// Node is one aggregator on sockets.
type Node struct {
	Clock
	deployment.Deployment
	terms   deployment.Terms
	rows    []*counters.Workload // as the deployment numbers them
	log     *zap.Logger
	count   *counters.Counters
	ask     func() // starts a watch of the list
	facts   chan fact
	ended   chan struct{}
	ready   chan struct{} // closed once a list with a replica is there
	isReady bool
	advice  int64 // the module's to a client whom there is no room for, ns

	// Of the loop alone from here.
	agg        *balance.Aggregator
	pool       Carrier
	index      map[string]int // of each replica, by host
	hosts      []host         // by index
	queries    map[*balance.Query]*query
	held       int // queries and parts without an answer
	out        map[*replica.Ticket]*execution
	cuts       cuts
	pending    []outcome // that came up while a round was carried out
	last       int64     // the last round
	wake       int64     // when the module wants the next one at the latest, 0 for no such time
	moved      bool      // something has happened since the last round
	lateness   int64     // how late the loop was lately, ns
	sweep      int64
	furtherAt  map[int]int64 // when a part was last sent that had been sent before, by budget
	stopped    bool
	shared     *shared             // what is shared with other aggregators, nil where nothing is
	rhythm     *Rhythm             // nil for a round each tick
	zoneHealth *zonehealth.Tracker // nil where zones are not watched
	observer   Observer            // nil where nobody wants it
	words      []balance.Word
	away       []string // zones out of reach, as was logged last
}

// host is the replica that has an index.
type host struct {
	name string // empty where the index can be used again
	zone string // empty where it has none
	up   bool   // listed as up
	gone bool   // off the list
	born int64  // ms of Unix time, 0 for long ago
}

// Observer is told of executions at replicas, by the loop; it must not wait. Sent tells whether it wants to hear of the end.
type Observer interface {
	Sent(host string) (wanted bool)
	Ended(host string, end Execution)
}

// Execution is one that has ended, as an Observer is told of it.
type Execution struct {
	Workload int
	Result   balance.Result
	Took     int64 // ns from when its connection was up; 0 where it never was
	Fresh    bool  // a connection was opened for it
}

// Plan is what a node is made from.
type Plan struct {
	Clock      Clock
	Deployment deployment.Deployment
	Terms      deployment.Terms
	Known      discovery.News // the list as it was last held
	Budget     *sockets.Budget
	Count      *counters.Counters
	Log        *zap.Logger
	Ask        func() // asks for a watch of the list; it must not wait
	Dial       replica.Dial

	Observer Observer // is told of executions; nil where nobody wants it

	// Carry makes what takes parts to replicas; nil for frames on connections made with Dial.
	Carry func(tell func(any), now func() int64) Carrier
}

// New starts a node.
func New(p Plan) *Node {
	n := &Node{
		Clock: p.Clock, Deployment: p.Deployment, terms: p.Terms, log: p.Log, count: p.Count, ask: p.Ask, observer: p.Observer,
		facts: make(chan fact, queueLength), ended: make(chan struct{}), ready: make(chan struct{}),
		index: map[string]int{}, furtherAt: map[int]int64{}, queries: map[*balance.Query]*query{}, out: map[*replica.Ticket]*execution{},
		rows: make([]*counters.Workload, len(p.Deployment.Workloads)),
	}
	for name, row := range p.Deployment.Workload {
		n.rows[row] = p.Count.Workloads[name]
	}
	n.agg = balance.New(n.Now(), p.Deployment.Deployment)
	n.advice = n.agg.Advice()
	tell := func(v any) { n.facts <- fact{n.Now(), notice{v}} }
	if p.Carry != nil {
		n.pool = p.Carry(tell, n.Now)
	} else {
		n.pool = frames{replica.NewPool(replica.Terms{Streams: p.Terms.Streams, ConnectWithin: p.Terms.ConnectWithin,
			IdleAfter: p.Terms.IdleAfter, Now: n.Now, Dial: p.Dial}, func(v replica.Notice) { tell(v) }, p.Budget, p.Count)}
	}
	n.bookNews(n.Now(), p.Known, false)
	n.moved = true // the first round is for the list, which may have to be asked for
	go n.run()
	return n
}

// Ready is closed once the node can serve.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// News hands on what discovery said.
func (n *Node) News(ctx context.Context, news discovery.News) {
	select {
	case n.facts <- fact{n.Now(), news}:
	case <-ctx.Done():
	}
}

// Close ends the node; no query may be under way any more. It returns when all connections have ended.
func (n *Node) Close() {
	n.facts <- fact{n.Now(), stop{}}
	<-n.ended
}

// run is the loop: facts, then a round when one is due.
func (n *Node) run() {
	defer close(n.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for next := n.Now(); !n.stopped; {
		select {
		case f := <-n.facts:
			n.take(f)
		case <-timer.C:
			n.late(n.Now() - next)
		}
		woken := n.woken()
		n.drain()
		n.gather()
		now := n.Now()
		n.expire(now)
		if now >= n.due() {
			n.round(now)
		}
		if now >= n.sweep {
			n.sweep = now + int64(sweepEvery)
			n.pool.Sweep()
			n.bookGone()
		}
		next = n.sleeps(min(n.due(), n.cuts.next(), n.sweep), woken)
		timer.Reset(time.Duration(max(next-n.Now(), 0)))
	}
	for n.pool.Close(); n.pool.Open() > 0; {
		n.take(<-n.facts)
	}
	n.bookPending()
}

// drain takes the facts that wait, and tells whether there were any.
func (n *Node) drain() bool {
	some := len(n.facts)
	for range some {
		n.take(<-n.facts)
	}
	return some > 0
}

// late notes how late the loop was, which the simulator has no word for: the module's times are kept that much
// further from the clients'. Old lateness fades.
//
// Danger: after one long stall of the machine queries would seem to have no time left.
func (n *Node) late(by int64) {
	n.lateness = max(min(by, longDelay), n.lateness-n.lateness/fade)
	n.count.DelayHighest.Show(by)
}

// due is when the next round has to come: rounds stand a tick apart at least, or as the rhythm has it.
func (n *Node) due() int64 {
	next := int64(math.MaxInt64)
	if n.moved {
		next = n.last + n.gap()
	}
	if n.wake > 0 {
		next = min(next, max(n.wake, n.last+n.Tick))
	}
	if n.zoneHealth != nil {
		next = min(next, max(n.zoneHealth.Next(), n.last+n.Tick))
	}
	return next
}

// take takes one fact in. How long it waited is measured, for the simulator knows no such delay.
func (n *Node) take(f fact) {
	now := n.Now()
	delay := now - f.at
	n.count.Facts.Add(1)
	n.count.DelayTotal.Add(delay)
	switch f.what.(type) {
	case survey, allowance, furtherAsked: // no query waits for them
	default:
		n.count.Delay.Show(delay)
	}
	n.late(delay)
	if delay > longDelay {
		n.log.Warn("a fact waited long for the loop", zap.Duration("delay", time.Duration(delay)))
	}
	switch v := f.what.(type) {
	case arrival:
		n.admit(now, v.query)
	case departure:
		n.depart(now, v.query)
	case notice:
		n.bookNotice(now, v)
	case discovery.News:
		n.bookNews(now, v, true)
	case furtherAsked:
		v.reply <- n.further(now)
		return // nothing has happened
	case survey:
		n.survey(now, v)
		return // nothing has happened
	case allowance:
		n.allow(now, v)
	case sharing:
		n.share(v)
	case rhythm:
		n.rhythm = v.rhythm
	case serving:
		n.serve(now, v)
	case zones:
		n.watchZones(now, v.zoneHealth)
	case stop:
		n.stopped = true
	}
	n.moved = true
}
