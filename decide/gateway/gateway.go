// Package gateway decides for one site's gateway, query by query: what is asked at home, what leaves and over which way, who
// waits for room there and who is next. It puts together what routes, limits and turns decide each by itself. It does no I/O
// and reads no clock, so a gateway and a simulation drive it alike.
//
// Decides: whether a query stays, goes or waits; which of those who wait goes next, and who has waited too long; when a way
// counts as cut; how much the site takes from others.
//
// How to call it: New at the start. Facts go in by Ended, Returned, Pinged, Told and Evacuate; Stays and Leave are asked for
// each query; Decide(now) returns who goes and who is turned away now, after each fact and at Next at the latest.
package gateway

import (
	"slices"

	"willowsill/decide/fairqueue"
	"willowsill/decide/siterouting"
)

const (
	maxMissedPings    = 3    // one after the other, and a site's ways are not used
	queuePollNs       = 10e6 // ns until it is looked again for room while somebody waits: tokens come with time alone
	maxWaiting        = 64   // queries of a workload that wait for room on a link,
	maxCustomerShare  = 0.5  // this share of them of one customer at most,
	waitTimeDivisor   = 10   // and each for this part of its time at most
	delaySmoothing    = 0.2  // of the newest delay in the mean
	pingDecay         = 0.95 // of what is known of a way's loss, at each ping
	restoredPingsSent = 16   // pings that a way which was cut is taken to have had when it is back,
	restoredPingsLost = 2    // and lost
)

// Query is one that may leave.
type Query struct {
	siterouting.Query
	Customer string
	Handle   any // the caller's, by which it is told who goes
}

// Departure is a query that waited and goes now.
type Departure struct {
	Link   int
	Handle any
}

// Decision is what one Decide asks for. Its slices are used again by the next.
type Decision struct {
	Departures []Departure
	Rejected   []any             // the loads of those that are turned away
	Plan       *siterouting.Plan // a new one, if there is one
}

// LinkStatus is how the way to another site stands. Times in ns.
type LinkStatus struct {
	Usable   bool
	Delay    int64 // there and back, the mean,
	MinDelay int64 // and the least of late
	Limit    int   // queries that may be in flight,
	InFlight int   // and are
}

type linkState struct {
	meanDelay   float64
	missedPings int
	pingsSent   float64
	pingsLost   float64
	measured    bool
	limit       *siterouting.LinkLimit
	queues      []*fairqueue.Queue // by workload
}

// Gateway decides for one gateway.
type Gateway struct {
	router    *siterouting.Router
	spare     *siterouting.SpareCapacity
	links     []linkState
	byRevenue []int // workloads, those worth most first
	pollAt    int64 // when it is to be looked for room, 0 where nobody waits
	decision  Decision
}

// New makes one at its start.
func New(now int64, t siterouting.Config) *Gateway {
	c := &Gateway{router: siterouting.New(now, t), spare: siterouting.NewSpareCapacity(now)}
	for range t.Links {
		w := linkState{limit: siterouting.NewLinkLimit(now)}
		for range t.Workloads {
			w.queues = append(w.queues, fairqueue.New(fairqueue.Limits{MaxWaiting: maxWaiting, MaxCustomerShare: maxCustomerShare}))
		}
		c.links = append(c.links, w)
	}
	c.byRevenue = c.router.ByRevenue()
	return c
}

// ServesLocally tells whether the own site is asked for a query. Mark is the query's own number in [0, 1), came that it is another
// site's.
func (c *Gateway) ServesLocally(now int64, position float64, fromOtherSite bool) bool {
	return c.router.ServesLocally(now, position, fromOtherSite)
}

// Ended tells how a query ended at the own site; own is one of its own clients.
func (c *Gateway) Ended(now int64, own, declined bool) { c.spare.Ended(now, own, declined) }

// Forward asks for a way for a query that the own site does not serve: the link it goes over, or that it waits and is told by
// Decide, or -1 and false for neither.
func (c *Gateway) Forward(now int64, q Query) (link int, waits bool) {
	if len(q.Visited) == 0 { // the own clients'
		c.router.CountUnserved(q.Workload)
	}
	link = c.router.Route(now, q.Query)
	if link < 0 {
		return -1, false
	}
	w := &c.links[link]
	if c.router.Policy != siterouting.Planned {
		w.limit.Acquire()
		return link, false
	}
	if w.queues[q.Workload].Len() == 0 && c.acquire(now, q.Workload, link) {
		return link, false
	}
	// Danger: one customer's crowd would take all the room of a plan, a purse or a limit as it comes free; customers take
	// turns wherever room is short.
	dropped, taken := w.queues[q.Workload].Push(now, fairqueue.Item{Customer: q.Customer, Deadline: now + q.TimeLeft/waitTimeDivisor, Handle: q.Handle})
	c.reject(dropped)
	if !taken {
		return -1, false
	}
	c.schedulePoll(now)
	return link, true
}

// Withdraw takes a query out that waits on a link; false where it does not wait there any more.
func (c *Gateway) Withdraw(q Query, link int) bool {
	return c.links[link].queues[q.Workload].Remove(q.Customer, q.Handle)
}

// acquire takes the room for one query on a link, if there is some.
func (c *Gateway) acquire(now int64, workload, link int) bool {
	l := c.links[link].limit
	if !l.TryAcquire() {
		return false
	}
	if !c.router.Spend(now, workload, link) {
		l.Release()
		return false
	}
	return true
}

// Returned tells that a query that went over a link is back, whether the other site or the way refused it unseen, and how many
// bytes it took, 0 for not known.
func (c *Gateway) Returned(now int64, workload, link int, refused bool, bytes float64) {
	c.links[link].limit.Release()
	c.router.ObserveResult(workload, link, refused)
	if bytes > 0 {
		c.router.ObserveBytes(now, workload, link, bytes)
	}
	c.dispatch(now, link)
}

// Pinged tells of a ping over a link: how long it took, or that it was lost. It returns whether the way counts as cut by it.
//
// Danger: a link that is cut says nothing, and queries would wait for their time to pass: some lost pings close it.
func (c *Gateway) Pinged(now int64, link int, took int64, lost bool) (cut bool) {
	w := &c.links[link]
	w.pingsSent, w.pingsLost = w.pingsSent*pingDecay+1, w.pingsLost*pingDecay
	if lost {
		w.missedPings++
		w.pingsLost++
	} else {
		if !w.measured {
			w.meanDelay = float64(took)
		}
		if w.missedPings >= maxMissedPings { // the cut was one loss, however many pings it took along
			w.pingsSent, w.pingsLost = restoredPingsSent, restoredPingsLost
		}
		w.measured, w.missedPings = true, 0
		w.meanDelay += delaySmoothing * (float64(took) - w.meanDelay)
	}
	w.limit.ObserveDelay(now, took, lost)
	return w.missedPings == maxMissedPings
}

// ObserveAdvertised takes in how many queries a second another site says it would take.
func (c *Gateway) ObserveAdvertised(now int64, link int, rate float64) {
	c.router.ObserveAdvertised(now, link, rate)
}

// AdvertisedRate is how many more queries a second this site would take from others.
func (c *Gateway) AdvertisedRate(now int64) float64 {
	return c.spare.Rate(now) * c.router.LocalShare(now)
}

// Evacuate leaves the own site, or takes it up again over a ramp.
func (c *Gateway) Evacuate(now int64, evacuated bool) { c.router.Evacuate(now, evacuated) }

// MinDelay is the least way to a site and back of late, ns.
func (c *Gateway) MinDelay(link int) int64 { return c.links[link].limit.MinDelay() }

// Links tell how the ways stand.
func (c *Gateway) Links() (all []LinkStatus) {
	for _, w := range c.links {
		all = append(all, LinkStatus{w.usable(), int64(w.meanDelay), w.limit.MinDelay(), w.limit.Max(), w.limit.InFlight()})
	}
	return all
}

// Waiting is how many wait for room, on all links.
func (c *Gateway) Waiting() (n int) {
	for _, w := range c.links {
		for _, q := range w.queues {
			n += q.Len()
		}
	}
	return n
}

func (w *linkState) usable() bool { return w.measured && w.missedPings < maxMissedPings }

// Next is when Decide wants to be called again at the latest.
func (c *Gateway) Next() int64 {
	if c.pollAt > 0 {
		return min(c.pollAt, c.router.Next())
	}
	return c.router.Next()
}

// Decide returns who goes and who is turned away now, and a new plan when it is time for one.
func (c *Gateway) Decide(now int64) Decision {
	if now >= c.router.Next() {
		for i := range c.links {
			w := &c.links[i]
			loss := 0.0
			if w.pingsSent > 0 {
				loss = w.pingsLost / w.pingsSent
			}
			c.router.ObserveLink(i, siterouting.LinkStats{Delay: int64(w.meanDelay), Loss: loss, Usable: w.usable()})
		}
		plan := c.router.Decide(now)
		c.decision.Plan = &plan
	}
	if c.pollAt > 0 && now >= c.pollAt {
		for link := range c.links {
			c.dispatch(now, link)
		}
		c.pollAt = 0
		c.schedulePoll(now)
	}
	r := c.decision
	c.decision = Decision{}
	return r
}

// schedulePoll has it looked for room again while somebody waits.
func (c *Gateway) schedulePoll(now int64) {
	if c.pollAt == 0 && c.Waiting() > 0 {
		c.pollAt = now + queuePollNs
	}
}

// dispatch gives what room there is on a link to those who wait, by turns of customers, first to what is worth most.
func (c *Gateway) dispatch(now int64, link int) {
	for _, workload := range c.byRevenue {
		q := c.links[link].queues[workload]
		c.reject(q.Expire(now))
		for q.Len() > 0 && c.acquire(now, workload, link) {
			next, _, _ := q.Pop(now)
			c.decision.Departures = append(c.decision.Departures, Departure{link, next.Handle})
		}
	}
}

func (c *Gateway) reject(items []fairqueue.Item) {
	for _, it := range items {
		c.decision.Rejected = append(c.decision.Rejected, it.Handle)
	}
}

// Idle tells whether all room that was taken was given back and nobody waits: what holds when no query is under way.
func (c *Gateway) Idle() bool {
	return c.Waiting() == 0 && !slices.ContainsFunc(c.links, func(w linkState) bool { return w.limit.InFlight() != 0 })
}
