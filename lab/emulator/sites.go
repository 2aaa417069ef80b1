package emulator

import (
	"fmt"

	"willowsill/balance"
	"willowsill/decide/gateway"
	"willowsill/decide/siterouting"
	"willowsill/lab/emulator/agenda"
)

// Link is the way between any two sites. Times in ns.
type Link struct {
	Way     int64   // each way
	Loss    float64 // share of messages that are sent again by the network, a stall later
	Stall   int64
	Queries float64 // a second that one aggregator may carry to one site,
	Bytes   float64 // and bytes
}

const (
	pingEach    = int64(500e6)
	pingWait    = int64(1e9)
	carryTwice  = 2
	queryBytes  = 3000.0
	servesOf    = 0.25 // of its goal that a workload takes at a site, until that is known
	furtherOf   = 0.1  // of what is carried may be carried again,
	furtherAny  = 3    // and so many,
	furtherSpan = int64(10e9)
)

// Sites is how many there are.
func (p *Plan) sites() int { return max(p.Sites, 1) }

// perSite is how many replicas a site has.
func (p *Plan) perSite() int { return p.Replicas / p.sites() }

func (p *Plan) siteOfReplica(r int) int { return r / p.perSite() }

func (p *Plan) siteOf(aggregator int) int { return aggregator % p.sites() }

// cut tells whether a fault has cut one of two sites off now.
func (p *Plan) cut(now int64, a, b int) bool {
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

// gate is an aggregator's gateway to the other sites, with the true deciders.
type gate struct {
	gateway *gateway.Gateway
	hop     *balance.Aggregator
	others  []int // sites, by link
	numbers map[*balance.Query]int32
	trips   map[int32]*balance.Query
	runs    map[int32][]trip
	due     int64 // of a round of the hop, 0 for none
	last    int64
	look    int64 // when gateway wants to be asked
	ping    int
	pinged  map[int]int64 // by link: when the ping that is out left, 0 for none
}

type trip struct {
	to    int
	sent  int64
	over  bool
	final balance.Outcome
}

// carried is a query on its way to another site, and carriedBack its answer.
type carried struct {
	load   int
	shards []int
	left   int64
	came   []int // sites
	run    int16
}

type carriedBack struct {
	final    balance.Outcome
	willing  float64
	comeBack int64
}

// openGate gives an aggregator that begins its gateway, where there are other sites.
func (a *aggregator) openGate(now int64) {
	if a.sites() < 2 || a.Route == "none" || a.Route == "" || a.Policy != "module" {
		return
	}
	g := &gate{numbers: map[*balance.Query]int32{}, trips: map[int32]*balance.Query{}, runs: map[int32][]trip{}, pinged: map[int]int64{}}
	own := a.siteOf(int(a.self))
	t := siterouting.Config{Site: fmt.Sprint("s", own), Interval: 1e9}
	for i, name := range siterouting.PolicyNames {
		if name == a.Route {
			t.Policy = siterouting.Policy(i)
		}
	}
	d := a.deployment(int(a.self))
	for _, l := range a.Loads {
		t.Workloads = append(t.Workloads, siterouting.Workload{Name: l.Name, Revenue: l.Revenue, Bytes: queryBytes,
			ServiceTime: int64(servesOf * float64(l.Goal))})
	}
	var known []balance.Listing
	for s := range a.sites() {
		if s == own {
			continue
		}
		t.Links = append(t.Links, siterouting.Link{Site: fmt.Sprint("s", s), QueryRate: a.Link.Queries, ByteRate: a.Link.Bytes, Cost: 0.05})
		for n := s; n < a.Aggregators; n += a.sites() {
			known = append(known, balance.Listing{Replica: n, New: true, Cell: len(g.others), Status: balance.Up})
		}
		g.others = append(g.others, s)
	}
	g.gateway = gateway.New(now, t)
	d.Shards, d.Cells, d.CellsPerShard, d.MaxExecutions, d.CanCancel = len(g.others), len(g.others), 1, min(carryTwice, a.Executions), true
	d.Budgeted, d.RetrySlack, d.RetryRatio, d.RetryWindow = true, furtherAny, furtherOf, furtherSpan
	for i := range d.Workloads {
		d.Workloads[i].FullCoverage, d.Workloads[i].MinCoverage = 1, 1
	}
	g.hop = balance.New(now, d)
	g.hop.ReplaceList(now, known, true)
	a.gate = g
	a.cause(now, agenda.Event{At: now + pingEach/10, To: a.self, Kind: pings})
	a.lookAt(now)
}

// link is how a message crosses: when it arrives, and whether at all.
func (a *aggregator) link(now int64, from, to int) (at int64, lost bool) {
	at = now + a.Link.Way + int64(a.network.ExpFloat64()*float64(a.Link.Way)/20)
	if a.network.Float64() < a.Link.Loss {
		at += a.Link.Stall
	}
	return at, a.cut(now, from, to)
}

// tellGate sends a message to an aggregator of another site.
func (a *aggregator) tellGate(now int64, to int, e agenda.Event) {
	at, lost := a.link(now, a.siteOf(int(a.self)), a.siteOf(to))
	if !lost {
		e.At, e.To = at, int32(to)
		a.cause(now, e)
	}
}

// goesElsewhere takes a query that the own site does not serve to another; false where it stays declined.
func (a *aggregator) goesElsewhere(now int64, number int32, q *asked, declined bool) bool {
	g := a.gate
	if g == nil {
		return false
	}
	link, waits := g.gateway.Forward(now, a.leaving(now, number, q, declined))
	if link >= 0 && !waits {
		a.carry(now, number, q, link)
	}
	a.decideGate(now)
	return link >= 0
}

func (a *aggregator) leaving(now int64, number int32, q *asked, declined bool) gateway.Query {
	r := siterouting.Query{Workload: q.load, TimeLeft: q.at + a.Loads[q.load].Patience - now, Declined: declined}
	for _, s := range q.came {
		r.Visited = append(r.Visited, fmt.Sprint("s", s))
	}
	return gateway.Query{Query: r, Customer: a.Loads[q.load].Name, Handle: number}
}

// carry hands a query to the hop.
func (a *aggregator) carry(now int64, number int32, q *asked, link int) {
	g := a.gate
	q.link, q.carried = link, true
	if a.Route == "plan" { // the baselines know no limit
		a.watch.Crossed(now, link, a.Link.Queries)
	}
	h := g.hop.AddQuery(now, balance.Arrival{Workload: q.load, Timeout: q.at + a.Loads[q.load].Patience - now, Parts: 1})
	h.AddPart(link, 1)
	g.trips[number], g.numbers[h] = h, number
	a.hopMoved(now)
}

// decideGate carries out what gateway asks for.
func (a *aggregator) decideGate(now int64) {
	g := a.gate
	r := g.gateway.Decide(now)
	for _, going := range r.Departures {
		number := going.Handle.(int32)
		if q := a.queries[number]; q != nil && !q.ended {
			a.carry(now, number, q, going.Link)
			continue
		}
		g.gateway.Returned(now, 0, going.Link, false, 0)
	}
	for _, load := range r.Rejected {
		a.final(now, ending{query: load.(int32), final: balance.Declined, comeBack: 1e9})
	}
	a.lookAt(now)
}

// lookAt has gateway asked again when it wants to be.
func (a *aggregator) lookAt(now int64) {
	g := a.gate
	if at := max(g.gateway.Next(), now+1); g.look <= now || at < g.look {
		g.look = at
		a.cause(now, agenda.Event{At: at, To: a.self, Kind: looks})
	}
}

// hopMoved has a round of the hop come as soon as one may.
func (a *aggregator) hopMoved(now int64) { a.hopAt(now, max(a.gate.last+a.Tick, now)) }

func (a *aggregator) hopAt(now, at int64) {
	if g := a.gate; g.due == 0 || at < g.due {
		g.due = at
		a.cause(now, agenda.Event{At: at, To: a.self, Kind: hops})
	}
}

// hopRound lets the hop's module decide.
func (a *aggregator) hopRound(now int64) {
	g := a.gate
	g.due, g.last = 0, now
	r := g.hop.Decide(now)
	for _, s := range r.Sends {
		number := g.numbers[s.Query]
		q := a.queries[number]
		run := int16(len(g.runs[number]))
		g.runs[number] = append(g.runs[number], trip{to: s.Replica, sent: now})
		left := s.Deadline - now - g.gateway.MinDelay(q.link)
		if left > 0 {
			came := append(append([]int(nil), q.came...), a.siteOf(int(a.self)))
			a.tellGate(now, s.Replica, agenda.Event{Kind: comes, Query: number, Number: run,
				Load: carried{load: q.load, shards: q.shards, left: left, came: came, run: run}})
		} else {
			a.tripOver(now, number, int(run), balance.ConnectFailed, balance.Declined)
		}
		a.cause(now, agenda.Event{At: s.Deadline, To: a.self, Kind: tripLate, Query: number, Number: run})
	}
	for _, c := range r.Cancels {
		a.tripOver(now, g.numbers[c.Query], c.Execution, balance.Cancelled, balance.Declined)
	}
	for _, e := range r.Endings {
		number := g.numbers[e.Query]
		q := a.queries[number]
		final, refused := e.Outcome, e.Outcome == balance.Declined
		if runs := g.runs[number]; final == balance.Whole && len(runs) > 0 {
			final = runs[len(runs)-1].final
		}
		if q != nil {
			g.gateway.Returned(now, q.load, q.link, refused, queryBytes)
			a.final(now, ending{query: number, final: final, comeBack: e.RetryAfter})
		}
	}
	if r.WakeAt > 0 {
		a.hopAt(now, max(r.WakeAt, now+a.Tick))
	}
	a.decideGate(now)
}

// tripOver books how a trip ended.
func (a *aggregator) tripOver(now int64, number int32, run int, result balance.Result, final balance.Outcome) {
	g := a.gate
	runs, h := g.runs[number], g.trips[number]
	if h == nil || run >= len(runs) || runs[run].over {
		return
	}
	runs[run].over, runs[run].final = true, final
	h.RecordResult(now, 0, run, result, now-runs[run].sent)
	a.hopMoved(now)
}

// meetsGate is an event of the gateway's.
func (a *aggregator) meetsGate(now int64, e agenda.Event) {
	g := a.gate
	if a.down || g == nil {
		if e.Kind == comes { // nobody listens there
			a.tellGate(now, int(e.From), agenda.Event{Kind: goesBack, Query: e.Query, Number: e.Number, Load: carriedBack{final: balance.Declined}})
		}
		return
	}
	switch e.Kind {
	case looks:
		if e.At == g.look {
			a.decideGate(now)
		}
	case hops:
		if g.due != 0 && g.due <= now {
			a.hopRound(now)
		}
	case pings:
		a.pings(now)
	case pinged:
		a.tellGate(now, int(e.From), agenda.Event{Kind: pingBack, Value: e.Value, Load: g.gateway.AdvertisedRate(now)})
	case pingBack:
		link := int(e.Value)
		if left := g.pinged[link]; left > 0 {
			g.pinged[link] = 0
			g.gateway.Pinged(now, link, now-left, false)
			g.gateway.ObserveAdvertised(now, link, e.Load.(float64))
		}
	case comes:
		c := e.Load.(carried)
		a.takeFrom(now, e.From, e.Query, c)
	case goesBack:
		b := e.Load.(carriedBack)
		q := a.queries[e.Query]
		if q != nil {
			g.gateway.ObserveAdvertised(now, q.link, b.willing)
		}
		switch b.final {
		case balance.Whole, balance.Partial:
			a.tripOver(now, e.Query, int(e.Number), balance.Fulfilled, b.final)
		case balance.Declined:
			a.tripOver(now, e.Query, int(e.Number), balance.Full, b.final)
		default:
			a.tripOver(now, e.Query, int(e.Number), balance.Errored, b.final)
		}
	case tripLate:
		a.tripOver(now, e.Query, int(e.Number), balance.TimedOut, balance.Forfeited)
	}
}

// pings sends a ping over each link, one gateway after the other, and counts those that are lost.
func (a *aggregator) pings(now int64) {
	g := a.gate
	for link, site := range g.others {
		if left := g.pinged[link]; left > 0 {
			if now-left < pingWait {
				continue
			}
			g.gateway.Pinged(now, link, now-left, true)
		}
		there := (a.Aggregators - site + a.sites() - 1) / a.sites()
		g.pinged[link] = now
		a.tellGate(now, site+g.ping%there*a.sites(), agenda.Event{Kind: pinged, Value: int64(link)})
	}
	g.ping++
	a.cause(now, agenda.Event{At: now + pingEach, To: a.self, Kind: pings})
}

// takeFrom takes a query in that another site carries.
func (a *aggregator) takeFrom(now int64, from, number int32, c carried) {
	q := &asked{load: c.load, at: now + c.left - a.Loads[c.load].Patience, tries: 1, shards: c.shards, came: c.came, from: from, fromNumber: number,
		fromRun: c.run, carriedIn: true}
	a.hold(now, q, c.left)
}

// gateForgets drops a query of which nothing more can come.
func (a *aggregator) gateForgets(number int32) {
	if g := a.gate; g != nil {
		delete(g.numbers, g.trips[number])
		delete(g.trips, number)
		delete(g.runs, number)
	}
}
