// Package gateway decides for the gateway of one site, query by query: which queries the own site serves, which go to
// another site and over which link, and which wait for free capacity there. It combines routes, link limits and fair queues.
// It does no I/O and reads no clock, so that a gateway and a simulation can use it alike.
//
// Decides: whether a query stays, leaves or waits; which waiting query is next, and which has waited too long; when a link
// counts as down; how many queries the site offers to accept from others.
//
// Usage: create a Gateway with New. Pass it observations with Ended, Returned, Pinged, ObserveAdvertised and Evacuate. Call
// ServesLocally and Forward for each query. Call Decide(now) after each observation, and no later than Next; it returns the
// waiting queries that leave or are rejected now.
package gateway

import (
	"slices"

	"willowsill/decide/fairqueue"
	"willowsill/decide/siterouting"
)

const (
	maxMissedPings    = 3    // lost pings in a row after which a link is down
	queuePollNs       = 10e6 // ns between two attempts to send waiting queries; no event announces new tokens
	maxWaiting        = 64   // maximum queries of one workload that wait for a link
	maxCustomerShare  = 0.5  // maximum fraction of the waiting queries that belong to one customer
	waitTimeDivisor   = 10   // a query waits for at most its remaining time divided by this
	delaySmoothing    = 0.2  // weight of the newest delay in the mean
	pingDecay         = 0.95 // factor on the weight of earlier pings in a link's loss, at each further ping
	restoredPingsSent = 16   // number of pings that a link starts with when it is up again
	restoredPingsLost = 2    // number of lost pings that a link starts with when it is up again
)

// Query is a query that may leave the site.
type Query struct {
	siterouting.Query
	Customer string
	Handle   any // the caller's handle, returned when the query leaves or is rejected
}

// Departure is a query that was waiting and leaves now.
type Departure struct {
	Link   int
	Handle any
}

// Decision is the result of one call of Decide.
type Decision struct {
	Departures []Departure
	Rejected   []any             // handles of the rejected queries
	Plan       *siterouting.Plan // the new plan, or nil if there is none
}

// LinkStatus is the state of the link to another site. Times are in ns.
type LinkStatus struct {
	Usable   bool
	Delay    int64 // mean round-trip delay
	MinDelay int64 // minimum round-trip delay
	Limit    int   // maximum queries in flight
	InFlight int   // queries in flight
}

// linkState is the link to another site with its measurements and waiting queries. The numbers of pings are weighted: older
// pings count less.
type linkState struct {
	meanDelay   float64
	missedPings int
	pingsSent   float64
	pingsLost   float64
	measured    bool // a ping has been answered at least once
	limit       *siterouting.LinkLimit
	queues      []*fairqueue.Queue // by workload
}

// Gateway routes the queries of one site's gateway. It is not safe for concurrent use.
type Gateway struct {
	router    *siterouting.Router
	spare     *siterouting.SpareCapacity
	links     []linkState
	byRevenue []int // workloads in descending order of revenue
	pollAt    int64 // time of the next attempt to send waiting queries, 0 if none waits
	decision  Decision
}

// New returns a Gateway without traffic to other sites.
func New(now int64, config siterouting.Config) *Gateway {
	g := &Gateway{router: siterouting.New(now, config), spare: siterouting.NewSpareCapacity(now)}
	for range config.Links {
		state := linkState{limit: siterouting.NewLinkLimit(now)}
		for range config.Workloads {
			state.queues = append(state.queues, fairqueue.New(fairqueue.Limits{MaxWaiting: maxWaiting, MaxCustomerShare: maxCustomerShare}))
		}
		g.links = append(g.links, state)
	}
	g.byRevenue = g.router.ByRevenue()
	return g
}

// ServesLocally reports whether a query is offered to the own site. The position is a number in [0, 1) that is fixed for
// each query; fromOtherSite says that another site sent the query.
func (g *Gateway) ServesLocally(now int64, position float64, fromOtherSite bool) bool {
	return g.router.ServesLocally(now, position, fromOtherSite)
}

// Ended records how a query ended at the own site; own says that it came from one of the site's own clients.
func (g *Gateway) Ended(now int64, own, declined bool) { g.spare.Ended(now, own, declined) }

// Forward routes a query that the own site doesn't serve. It returns the link to send it over, or a link and true if the
// query waits for the link and Decide will return it later, or -1 and false if the query can't leave.
func (g *Gateway) Forward(now int64, q Query) (link int, waits bool) {
	if len(q.Visited) == 0 { // from an own client
		g.router.CountUnserved(q.Workload)
	}
	link = g.router.Route(now, q.Query)
	if link < 0 {
		return -1, false
	}
	state := &g.links[link]
	if g.router.Policy != siterouting.Planned {
		state.limit.Acquire()
		return link, false
	}
	if state.queues[q.Workload].Len() == 0 && g.acquire(now, q.Workload, link) {
		return link, false
	}
	// Danger: one customer with many queries would take all tokens and slots in flight as they become free. So customers
	// take turns whenever a link has no free capacity.
	dropped, queued := state.queues[q.Workload].Push(now, fairqueue.Item{Customer: q.Customer, Deadline: now + q.TimeLeft/waitTimeDivisor, Handle: q.Handle})
	g.reject(dropped)
	if !queued {
		return -1, false
	}
	g.schedulePoll(now)
	return link, true
}

// Withdraw removes a waiting query. It returns false if the query doesn't wait for the link any more.
func (g *Gateway) Withdraw(q Query, link int) bool {
	return g.links[link].queues[q.Workload].Remove(q.Customer, q.Handle)
}

// acquire takes a slot in flight and the tokens for one query, if the link has both.
func (g *Gateway) acquire(now int64, workload, link int) bool {
	limit := g.links[link].limit
	if !limit.TryAcquire() {
		return false
	}
	if !g.router.Spend(now, workload, link) {
		limit.Release()
		return false
	}
	return true
}

// Returned records the end of a query that went over a link: whether it was refused without being executed, by the other
// site or on the way, and the bytes of the query and its answer, 0 if unknown.
func (g *Gateway) Returned(now int64, workload, link int, refused bool, bytes float64) {
	g.links[link].limit.Release()
	g.router.ObserveResult(workload, link, refused)
	if bytes > 0 {
		g.router.ObserveBytes(now, workload, link, bytes)
	}
	g.dispatch(now, link)
}

// Pinged records the delay of a ping over a link, or that it was lost. It returns true if the link is down from this ping
// on.
//
// Danger: an unreachable link gives no error, and queries sent over it would wait until their deadline. So a few lost pings
// in a row close the link.
func (g *Gateway) Pinged(now int64, link int, delay int64, lost bool) (down bool) {
	state := &g.links[link]
	state.pingsSent, state.pingsLost = state.pingsSent*pingDecay+1, state.pingsLost*pingDecay
	if lost {
		state.missedPings++
		state.pingsLost++
	} else {
		if !state.measured {
			state.meanDelay = float64(delay)
		}
		if state.missedPings >= maxMissedPings { // the loss after an outage does not depend on how many pings were lost in it
			state.pingsSent, state.pingsLost = restoredPingsSent, restoredPingsLost
		}
		state.measured, state.missedPings = true, 0
		state.meanDelay += delaySmoothing * (float64(delay) - state.meanDelay)
	}
	state.limit.ObserveDelay(now, delay, lost)
	return state.missedPings == maxMissedPings
}

// ObserveAdvertised records how many queries per second another site offers to accept.
func (g *Gateway) ObserveAdvertised(now int64, link int, rate float64) {
	g.router.ObserveAdvertised(now, link, rate)
}

// AdvertisedRate returns how many queries per second this site offers to accept from others.
func (g *Gateway) AdvertisedRate(now int64) float64 {
	return g.spare.Rate(now) * g.router.LocalShare(now)
}

// Evacuate moves all queries away from the own site, or takes them back over a ramp.
func (g *Gateway) Evacuate(now int64, evacuated bool) { g.router.Evacuate(now, evacuated) }

// MinDelay returns the minimum round-trip delay of a link, in ns.
func (g *Gateway) MinDelay(link int) int64 { return g.links[link].limit.MinDelay() }

// Links returns the state of each link.
func (g *Gateway) Links() (all []LinkStatus) {
	for _, state := range g.links {
		all = append(all, LinkStatus{state.usable(), int64(state.meanDelay), state.limit.MinDelay(), state.limit.Max(), state.limit.InFlight()})
	}
	return all
}

// Waiting returns how many queries wait for all links together.
func (g *Gateway) Waiting() (n int) {
	for _, state := range g.links {
		for _, q := range state.queues {
			n += q.Len()
		}
	}
	return n
}

// usable reports whether the link is up.
func (state *linkState) usable() bool { return state.measured && state.missedPings < maxMissedPings }

// Next returns the latest time for the next call of Decide.
func (g *Gateway) Next() int64 {
	if g.pollAt > 0 {
		return min(g.pollAt, g.router.Next())
	}
	return g.router.Next()
}

// Decide returns the waiting queries that leave or are rejected now, and a new plan if one is due.
func (g *Gateway) Decide(now int64) Decision {
	if now >= g.router.Next() {
		for i := range g.links {
			state := &g.links[i]
			loss := 0.0
			if state.pingsSent > 0 {
				loss = state.pingsLost / state.pingsSent
			}
			g.router.ObserveLink(i, siterouting.LinkStats{Delay: int64(state.meanDelay), Loss: loss, Usable: state.usable()})
		}
		plan := g.router.Decide(now)
		g.decision.Plan = &plan
	}
	if g.pollAt > 0 && now >= g.pollAt {
		for link := range g.links {
			g.dispatch(now, link)
		}
		g.pollAt = 0
		g.schedulePoll(now)
	}
	r := g.decision
	g.decision = Decision{}
	return r
}

// schedulePoll schedules another attempt if any query waits.
func (g *Gateway) schedulePoll(now int64) {
	if g.pollAt == 0 && g.Waiting() > 0 {
		g.pollAt = now + queuePollNs
	}
}

// dispatch sends waiting queries while the link has free capacity: workloads in descending order of revenue, and customers
// in turn.
func (g *Gateway) dispatch(now int64, link int) {
	for _, workload := range g.byRevenue {
		q := g.links[link].queues[workload]
		g.reject(q.Expire(now))
		for q.Len() > 0 && g.acquire(now, workload, link) {
			next, _, _ := q.Pop(now)
			g.decision.Departures = append(g.decision.Departures, Departure{link, next.Handle})
		}
	}
}

// reject adds queries to those that Decide returns as rejected.
func (g *Gateway) reject(items []fairqueue.Item) {
	for _, item := range items {
		g.decision.Rejected = append(g.decision.Rejected, item.Handle)
	}
}

// Idle reports whether no query waits and none is in flight. It must hold once all queries have ended.
func (g *Gateway) Idle() bool {
	return g.Waiting() == 0 && !slices.ContainsFunc(g.links, func(state linkState) bool { return state.limit.InFlight() != 0 })
}
