package emulator

import (
	"fmt"

	"willowsill/balance"
	"willowsill/decide/gateway"
	"willowsill/decide/siterouting"
	"willowsill/lab/emulator/eventqueue"
)

// Link is the network between any two sites. Times are in ns.
type Link struct {
	Delay       int64   // minimum delay of a message in one direction
	Loss        float64 // share of messages that are lost once and resent after ResendDelay
	ResendDelay int64
	QueryRate   float64 // queries per second that one aggregator may forward to one site
	ByteRate    float64 // bytes per second that one aggregator may send to one site
}

const (
	pingInterval        = int64(500e6)
	pingTimeout         = int64(1e9)
	maxForwards         = 2           // maximum number of forward attempts of a query
	queryBytes          = 3000.0      // size of a forwarded query
	assumedServiceShare = 0.25        // service time that is assumed until measured, as a share of the latency goal
	forwardRetryRatio   = 0.1         // second forward attempts allowed per forwarded query and part
	forwardRetrySlack   = 3           // second forward attempts allowed in addition
	forwardRetryWindow  = int64(10e9) // interval of the budget for second forward attempts, ns
)

// siteCount returns the number of sites.
func (p *Plan) siteCount() int { return max(p.Sites, 1) }

// replicasPerSite returns the number of replicas of each site.
func (p *Plan) replicasPerSite() int { return p.Replicas / p.siteCount() }

func (p *Plan) siteOfReplica(r int) int { return r / p.replicasPerSite() }

func (p *Plan) siteOfAggregator(aggregator int) int { return aggregator % p.siteCount() }

// siteCutOff reports whether a fault "cut" now isolates one of two sites.
func (p *Plan) siteCutOff(now int64, a, b int) bool {
	for _, f := range p.Faults {
		if f.Kind != "cut" || now < origin+f.From || now >= origin+f.Until {
			continue
		}
		for _, s := range f.Sites {
			if s == a || s == b {
				return true
			}
		}
	}
	return false
}

// siteGateway forwards an aggregator's queries to other sites. It runs the production deciders: gateway chooses the site, and
// siteBalancer, a second instance of the decision module, chooses the aggregator there and retries. The sites are its shards.
type siteGateway struct {
	gateway      *gateway.Gateway
	siteBalancer *balance.Aggregator
	remoteSites  []int                    // the other sites; the index is the number of the link
	queryNumbers map[*balance.Query]int32 // the emulator's number of each query of siteBalancer
	forwarded    map[int32]*balance.Query // forwarded queries, by the emulator's number
	attempts     map[int32][]forwardAttempt
	roundDue     int64         // time of the next round of siteBalancer; 0 if none is scheduled
	lastRound    int64         // time of the last round of siteBalancer
	wakeAt       int64         // time of the next decision of gateway
	pingTurn     int           // selects the aggregator of a site that is pinged, round-robin
	pingSentAt   map[int]int64 // by link: time at which the outstanding ping was sent; 0 for none
}

// forwardAttempt is one attempt to have a query served by an aggregator of another site.
type forwardAttempt struct {
	aggregator int
	sentAt     int64
	ended      bool
	outcome    balance.Outcome
}

// forwardedQuery is the message that forwards a query to another site.
type forwardedQuery struct {
	workload int
	shards   []int
	timeLeft int64
	visited  []int // sites that have forwarded it, the sender included
	attempt  int16
}

// forwardedReply is the message that answers a forwardedQuery. advertisedRate is the rate of further queries that the site accepts.
type forwardedReply struct {
	outcome        balance.Outcome
	advertisedRate float64
	retryAfter     int64
}

// openGateway creates the gateway of an aggregator that starts, if the plan forwards queries between sites.
func (a *aggregator) openGateway(now int64) {
	if a.siteCount() < 2 || a.RoutingPolicy == "none" || a.RoutingPolicy == "" || a.Policy != "module" {
		return
	}
	g := &siteGateway{queryNumbers: map[*balance.Query]int32{}, forwarded: map[int32]*balance.Query{}, attempts: map[int32][]forwardAttempt{}, pingSentAt: map[int]int64{}}
	ownSite := a.siteOfAggregator(int(a.entityID))
	c := siterouting.Config{Site: fmt.Sprint("s", ownSite), Interval: 1e9}
	for i, name := range siterouting.PolicyNames {
		if name == a.RoutingPolicy {
			c.Policy = siterouting.Policy(i)
		}
	}
	d := a.deployment(int(a.entityID))
	for _, l := range a.Workloads {
		c.Workloads = append(c.Workloads, siterouting.Workload{Name: l.Name, Revenue: l.Revenue, Bytes: queryBytes,
			ServiceTime: int64(assumedServiceShare * float64(l.LatencyGoal))})
	}
	var remotes []balance.Listing
	for s := range a.siteCount() {
		if s == ownSite {
			continue
		}
		c.Links = append(c.Links, siterouting.Link{Site: fmt.Sprint("s", s), QueryRate: a.Link.QueryRate, ByteRate: a.Link.ByteRate, Cost: 0.05})
		for n := s; n < a.Aggregators; n += a.siteCount() {
			remotes = append(remotes, balance.Listing{Replica: n, New: true, Cell: len(g.remoteSites), Status: balance.Up})
		}
		g.remoteSites = append(g.remoteSites, s)
	}
	g.gateway = gateway.New(now, c)
	d.Shards, d.Cells, d.CellsPerShard, d.MaxExecutions, d.CanCancel = len(g.remoteSites), len(g.remoteSites), 1, min(maxForwards, a.MaxExecutions), true
	d.Budgeted, d.RetrySlack, d.RetryRatio, d.RetryWindow = true, forwardRetrySlack, forwardRetryRatio, forwardRetryWindow
	for i := range d.Workloads {
		d.Workloads[i].FullCoverage, d.Workloads[i].MinCoverage = 1, 1
	}
	g.siteBalancer = balance.New(now, d)
	g.siteBalancer.ReplaceList(now, remotes, true)
	a.siteGateway = g
	a.emit(now, eventqueue.Event{At: now + pingInterval/10, To: a.entityID, Kind: eventPingsDue})
	a.scheduleGateway(now)
}

// crossLink draws when a message between two sites arrives, and whether a fault drops it.
func (a *aggregator) crossLink(now int64, from, to int) (at int64, lost bool) {
	at = now + a.Link.Delay + int64(a.networkRNG.ExpFloat64()*float64(a.Link.Delay)/20)
	if a.networkRNG.Float64() < a.Link.Loss {
		at += a.Link.ResendDelay
	}
	return at, a.siteCutOff(now, from, to)
}

// sendToSite sends a message to an aggregator of another site.
func (a *aggregator) sendToSite(now int64, to int, e eventqueue.Event) {
	at, lost := a.crossLink(now, a.siteOfAggregator(int(a.entityID)), a.siteOfAggregator(to))
	if !lost {
		e.At, e.To = at, int32(to)
		a.emit(now, e)
	}
}

// tryForward offers a query to the gateway, which forwards it to another site now or later. It returns false if no site takes it.
func (a *aggregator) tryForward(now int64, number int32, q *pendingQuery, declined bool) bool {
	g := a.siteGateway
	if g == nil {
		return false
	}
	link, queued := g.gateway.Forward(now, a.gatewayQuery(now, number, q, declined))
	if link >= 0 && !queued {
		a.forward(now, number, q, link)
	}
	a.runGateway(now)
	return link >= 0
}

// gatewayQuery describes a query to the gateway.
func (a *aggregator) gatewayQuery(now int64, number int32, q *pendingQuery, declined bool) gateway.Query {
	r := siterouting.Query{Workload: q.workload, TimeLeft: q.askedAt + a.Workloads[q.workload].Timeout - now, Declined: declined}
	for _, s := range q.visited {
		r.Visited = append(r.Visited, fmt.Sprint("s", s))
	}
	return gateway.Query{Query: r, Customer: a.Workloads[q.workload].Name, Handle: number}
}

// forward hands a query to the site balancer, to be sent over a link.
func (a *aggregator) forward(now int64, number int32, q *pendingQuery, link int) {
	g := a.siteGateway
	q.link, q.forwardedOut = link, true
	if a.RoutingPolicy == "plan" { // the other routing policies ignore the rate limit of a link
		a.ruleChecker.RecordForward(now, link, a.Link.QueryRate)
	}
	forwarded := g.siteBalancer.AddQuery(now, balance.Arrival{Workload: q.workload, Timeout: q.askedAt + a.Workloads[q.workload].Timeout - now, Parts: 1})
	forwarded.AddPart(link, 1)
	g.forwarded[number], g.queryNumbers[forwarded] = forwarded, number
	a.requestForwardRound(now)
}

// runGateway asks the gateway for its decision and carries it out.
func (a *aggregator) runGateway(now int64) {
	g := a.siteGateway
	r := g.gateway.Decide(now)
	for _, departure := range r.Departures {
		number := departure.Handle.(int32)
		if q := a.queries[number]; q != nil && !q.ended {
			a.forward(now, number, q, departure.Link)
			continue
		}
		g.gateway.Returned(now, 0, departure.Link, false, 0)
	}
	for _, handle := range r.Rejected {
		a.finish(now, ending{query: handle.(int32), outcome: balance.Declined, retryAfter: 1e9})
	}
	a.scheduleGateway(now)
}

// scheduleGateway schedules the gateway's next decision for when it wants it.
func (a *aggregator) scheduleGateway(now int64) {
	g := a.siteGateway
	if at := max(g.gateway.Next(), now+1); g.wakeAt <= now || at < g.wakeAt {
		g.wakeAt = at
		a.emit(now, eventqueue.Event{At: at, To: a.entityID, Kind: eventGatewayDue})
	}
}

// requestForwardRound schedules a round of the site balancer as early as Tick allows.
func (a *aggregator) requestForwardRound(now int64) {
	a.scheduleForwardRound(now, max(a.siteGateway.lastRound+a.Tick, now))
}

func (a *aggregator) scheduleForwardRound(now, at int64) {
	if g := a.siteGateway; g.roundDue == 0 || at < g.roundDue {
		g.roundDue = at
		a.emit(now, eventqueue.Event{At: at, To: a.entityID, Kind: eventForwardRoundDue})
	}
}

// runForwardRound asks the site balancer for its decision and carries it out.
func (a *aggregator) runForwardRound(now int64) {
	g := a.siteGateway
	g.roundDue, g.lastRound = 0, now
	r := g.siteBalancer.Decide(now)
	for _, s := range r.Sends {
		number := g.queryNumbers[s.Query]
		q := a.queries[number]
		attempt := int16(len(g.attempts[number]))
		g.attempts[number] = append(g.attempts[number], forwardAttempt{aggregator: s.Replica, sentAt: now})
		timeLeft := s.Deadline - now - g.gateway.MinDelay(q.link)
		if timeLeft > 0 {
			visited := append(append([]int(nil), q.visited...), a.siteOfAggregator(int(a.entityID)))
			a.sendToSite(now, s.Replica, eventqueue.Event{Kind: eventForwardArrives, Query: number, Attempt: attempt,
				Payload: forwardedQuery{workload: q.workload, shards: q.shards, timeLeft: timeLeft, visited: visited, attempt: attempt}})
		} else {
			a.endForwardAttempt(now, number, int(attempt), balance.ConnectFailed, balance.Declined)
		}
		a.emit(now, eventqueue.Event{At: s.Deadline, To: a.entityID, Kind: eventForwardTimeout, Query: number, Attempt: attempt})
	}
	for _, c := range r.Cancels {
		a.endForwardAttempt(now, g.queryNumbers[c.Query], c.Execution, balance.Cancelled, balance.Declined)
	}
	for _, e := range r.Endings {
		number := g.queryNumbers[e.Query]
		q := a.queries[number]
		outcome, declined := e.Outcome, e.Outcome == balance.Declined
		if attempts := g.attempts[number]; outcome == balance.Whole && len(attempts) > 0 {
			outcome = attempts[len(attempts)-1].outcome
		}
		if q != nil {
			g.gateway.Returned(now, q.workload, q.link, declined, queryBytes)
			a.finish(now, ending{query: number, outcome: outcome, retryAfter: e.RetryAfter})
		}
	}
	if r.WakeAt > 0 {
		a.scheduleForwardRound(now, max(r.WakeAt, now+a.Tick))
	}
	a.runGateway(now)
}

// endForwardAttempt records the result of a forward attempt, unless it has ended already.
func (a *aggregator) endForwardAttempt(now int64, number int32, attempt int, result balance.Result, outcome balance.Outcome) {
	g := a.siteGateway
	attempts, forwarded := g.attempts[number], g.forwarded[number]
	if forwarded == nil || attempt >= len(attempts) || attempts[attempt].ended {
		return
	}
	attempts[attempt].ended, attempts[attempt].outcome = true, outcome
	forwarded.RecordResult(now, 0, attempt, result, now-attempts[attempt].sentAt)
	a.requestForwardRound(now)
}

// handleGatewayEvent handles the events of the gateway and the messages of other sites.
func (a *aggregator) handleGatewayEvent(now int64, e eventqueue.Event) {
	g := a.siteGateway
	if a.down || g == nil {
		if e.Kind == eventForwardArrives { // this aggregator is down or has no gateway
			a.sendToSite(now, int(e.From), eventqueue.Event{Kind: eventForwardReply, Query: e.Query, Attempt: e.Attempt, Payload: forwardedReply{outcome: balance.Declined}})
		}
		return
	}
	switch e.Kind {
	case eventGatewayDue:
		if e.At == g.wakeAt {
			a.runGateway(now)
		}
	case eventForwardRoundDue:
		if g.roundDue != 0 && g.roundDue <= now {
			a.runForwardRound(now)
		}
	case eventPingsDue:
		a.sendPings(now)
	case eventPingArrives:
		a.sendToSite(now, int(e.From), eventqueue.Event{Kind: eventPingReply, Value: e.Value, Payload: g.gateway.AdvertisedRate(now)})
	case eventPingReply:
		link := int(e.Value)
		if sentAt := g.pingSentAt[link]; sentAt > 0 {
			g.pingSentAt[link] = 0
			g.gateway.Pinged(now, link, now-sentAt, false)
			g.gateway.ObserveAdvertised(now, link, e.Payload.(float64))
		}
	case eventForwardArrives:
		c := e.Payload.(forwardedQuery)
		a.receiveForwarded(now, e.From, e.Query, c)
	case eventForwardReply:
		b := e.Payload.(forwardedReply)
		q := a.queries[e.Query]
		if q != nil {
			g.gateway.ObserveAdvertised(now, q.link, b.advertisedRate)
		}
		switch b.outcome {
		case balance.Whole, balance.Partial:
			a.endForwardAttempt(now, e.Query, int(e.Attempt), balance.Fulfilled, b.outcome)
		case balance.Declined:
			a.endForwardAttempt(now, e.Query, int(e.Attempt), balance.Full, b.outcome)
		default:
			a.endForwardAttempt(now, e.Query, int(e.Attempt), balance.Errored, b.outcome)
		}
	case eventForwardTimeout:
		a.endForwardAttempt(now, e.Query, int(e.Attempt), balance.TimedOut, balance.Forfeited)
	}
}

// sendPings pings one aggregator of each other site, round-robin, and reports pings without a reply as lost.
func (a *aggregator) sendPings(now int64) {
	g := a.siteGateway
	for link, site := range g.remoteSites {
		if sentAt := g.pingSentAt[link]; sentAt > 0 {
			if now-sentAt < pingTimeout {
				continue
			}
			g.gateway.Pinged(now, link, now-sentAt, true)
		}
		aggregators := (a.Aggregators - site + a.siteCount() - 1) / a.siteCount()
		g.pingSentAt[link] = now
		a.sendToSite(now, site+g.pingTurn%aggregators*a.siteCount(), eventqueue.Event{Kind: eventPingArrives, Value: int64(link)})
	}
	g.pingTurn++
	a.emit(now, eventqueue.Event{At: now + pingInterval, To: a.entityID, Kind: eventPingsDue})
}

// receiveForwarded serves a query that another site has forwarded.
func (a *aggregator) receiveForwarded(now int64, from, number int32, c forwardedQuery) {
	q := &pendingQuery{workload: c.workload, askedAt: now + c.timeLeft - a.Workloads[c.workload].Timeout, retries: 1, shards: c.shards, visited: c.visited, originAggregator: from, originQuery: number,
		originAttempt: c.attempt, forwardedIn: true}
	a.serveQuery(now, q, c.timeLeft)
}

// forgetForwarded drops the gateway's state of a query.
func (a *aggregator) forgetForwarded(number int32) {
	if g := a.siteGateway; g != nil {
		delete(g.queryNumbers, g.forwarded[number])
		delete(g.forwarded, number)
		delete(g.attempts, number)
	}
}
