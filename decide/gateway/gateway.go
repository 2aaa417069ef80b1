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
	pingMissed = 3    // one after the other, and a site's ways are not used
	lookEach   = 10e6 // ns until it is looked again for room while somebody waits: tokens come with time alone
	waitMost   = 64   // queries of a workload that wait for room on a link,
	waitOne    = 0.5  // this share of them of one customer at most,
	waitShare  = 10   // and each for this part of its time at most
	smooth     = 0.2  // of the newest delay in the mean
	pingKept   = 0.95 // of what is known of a way's loss, at each ping
	cutSent    = 16   // pings that a way which was cut is taken to have had when it is back,
	cutLost    = 2    // and lost
)

// Query is one that may leave.
type Query struct {
	siterouting.Query
	Customer string
	Load     any // the caller's, by which it is told who goes
}

// Going is a query that waited and goes now.
type Going struct {
	Link int
	Load any
}

// Round is what one Decide asks for. Its slices are used again by the next.
type Round struct {
	Going  []Going
	Turned []any             // the loads of those that are turned away
	Plan   *siterouting.Plan // a new one, if there is one
}

// Way is how the way to another site stands. Times in ns.
type Way struct {
	Usable   bool
	Delay    int64 // there and back, the mean,
	Least    int64 // and the least of late
	Limit    int   // queries that may be in flight,
	InFlight int   // and are
}

type way struct {
	mean   float64
	missed int
	sent   float64
	lost   float64
	known  bool
	limit  *siterouting.Limit
	queues []*fairqueue.Queue // by workload
}

// Gateway decides for one gateway.
type Gateway struct {
	routes *siterouting.Router
	spare  *siterouting.Spare
	ways   []way
	order  []int // workloads, those worth most first
	look   int64 // when it is to be looked for room, 0 where nobody waits
	round  Round
}

// New makes one at its start.
func New(now int64, t siterouting.Terms) *Gateway {
	c := &Gateway{routes: siterouting.New(now, t), spare: siterouting.NewSpare(now)}
	for range t.Links {
		w := way{limit: siterouting.NewLimit(now)}
		for range t.Workloads {
			w.queues = append(w.queues, fairqueue.New(fairqueue.Terms{Most: waitMost, MostOne: waitOne}))
		}
		c.ways = append(c.ways, w)
	}
	c.order = c.routes.Order()
	return c
}

// Stays tells whether the own site is asked for a query. Mark is the query's own number in [0, 1), came that it is another
// site's.
func (c *Gateway) Stays(now int64, mark float64, came bool) bool {
	return c.routes.Stays(now, mark, came)
}

// Ended tells how a query ended at the own site; own is one of its own clients.
func (c *Gateway) Ended(now int64, own, declined bool) { c.spare.Ended(now, own, declined) }

// Leave asks for a way for a query that the own site does not serve: the link it goes over, or that it waits and is told by
// Decide, or -1 and false for neither.
func (c *Gateway) Leave(now int64, q Query) (link int, waits bool) {
	if len(q.Visited) == 0 { // the own clients'
		c.routes.Missed(q.Workload)
	}
	link = c.routes.Route(now, q.Query)
	if link < 0 {
		return -1, false
	}
	w := &c.ways[link]
	if c.routes.Policy != siterouting.Planned {
		w.limit.Must()
		return link, false
	}
	if w.queues[q.Workload].Len() == 0 && c.room(now, q.Workload, link) {
		return link, false
	}
	// Danger: one customer's crowd would take all the room of a plan, a purse or a limit as it comes free; customers take
	// turns wherever room is short.
	dropped, taken := w.queues[q.Workload].Push(now, fairqueue.Item{Customer: q.Customer, Until: now + q.Left/waitShare, Load: q.Load})
	c.turnAway(dropped)
	if !taken {
		return -1, false
	}
	c.again(now)
	return link, true
}

// Withdraw takes a query out that waits on a link; false where it does not wait there any more.
func (c *Gateway) Withdraw(q Query, link int) bool {
	return c.ways[link].queues[q.Workload].Remove(q.Customer, q.Load)
}

// room takes the room for one query on a link, if there is some.
func (c *Gateway) room(now int64, workload, link int) bool {
	l := c.ways[link].limit
	if !l.Take() {
		return false
	}
	if !c.routes.Spend(now, workload, link) {
		l.Give()
		return false
	}
	return true
}

// Returned tells that a query that went over a link is back, whether the other site or the way refused it unseen, and how many
// bytes it took, 0 for not known.
func (c *Gateway) Returned(now int64, workload, link int, refused bool, bytes float64) {
	c.ways[link].limit.Give()
	c.routes.Carried(workload, link, refused)
	if bytes > 0 {
		c.routes.Weighed(now, workload, link, bytes)
	}
	c.serve(now, link)
}

// Pinged tells of a ping over a link: how long it took, or that it was lost. It returns whether the way counts as cut by it.
//
// Danger: a link that is cut says nothing, and queries would wait for their time to pass: some lost pings close it.
func (c *Gateway) Pinged(now int64, link int, took int64, lost bool) (cut bool) {
	w := &c.ways[link]
	w.sent, w.lost = w.sent*pingKept+1, w.lost*pingKept
	if lost {
		w.missed++
		w.lost++
	} else {
		if !w.known {
			w.mean = float64(took)
		}
		if w.missed >= pingMissed { // the cut was one loss, however many pings it took along
			w.sent, w.lost = cutSent, cutLost
		}
		w.known, w.missed = true, 0
		w.mean += smooth * (float64(took) - w.mean)
	}
	w.limit.Delay(now, took, lost)
	return w.missed == pingMissed
}

// Told takes in how many queries a second another site says it would take.
func (c *Gateway) Told(now int64, link int, rate float64) { c.routes.Willing(now, link, rate) }

// Willing is how many more queries a second this site would take from others.
func (c *Gateway) Willing(now int64) float64 { return c.spare.Rate(now) * c.routes.Local(now) }

// Evacuate leaves the own site, or takes it up again over a ramp.
func (c *Gateway) Evacuate(now int64, dark bool) { c.routes.Evacuate(now, dark) }

// Least is the least way to a site and back of late, ns.
func (c *Gateway) Least(link int) int64 { return c.ways[link].limit.Least() }

// Ways tell how the ways stand.
func (c *Gateway) Ways() (all []Way) {
	for _, w := range c.ways {
		all = append(all, Way{w.usable(), int64(w.mean), w.limit.Least(), w.limit.Most(), w.limit.InFlight()})
	}
	return all
}

// Waiting is how many wait for room, on all links.
func (c *Gateway) Waiting() (n int) {
	for _, w := range c.ways {
		for _, q := range w.queues {
			n += q.Len()
		}
	}
	return n
}

func (w *way) usable() bool { return w.known && w.missed < pingMissed }

// Next is when Decide wants to be called again at the latest.
func (c *Gateway) Next() int64 {
	if c.look > 0 {
		return min(c.look, c.routes.Next())
	}
	return c.routes.Next()
}

// Decide returns who goes and who is turned away now, and a new plan when it is time for one.
func (c *Gateway) Decide(now int64) Round {
	if now >= c.routes.Next() {
		for i := range c.ways {
			w := &c.ways[i]
			loss := 0.0
			if w.sent > 0 {
				loss = w.lost / w.sent
			}
			c.routes.Linked(i, siterouting.Figures{Delay: int64(w.mean), Loss: loss, Usable: w.usable()})
		}
		plan := c.routes.Decide(now)
		c.round.Plan = &plan
	}
	if c.look > 0 && now >= c.look {
		for link := range c.ways {
			c.serve(now, link)
		}
		c.look = 0
		c.again(now)
	}
	r := c.round
	c.round = Round{}
	return r
}

// again has it looked for room again while somebody waits.
func (c *Gateway) again(now int64) {
	if c.look == 0 && c.Waiting() > 0 {
		c.look = now + lookEach
	}
}

// serve gives what room there is on a link to those who wait, by turns of customers, first to what is worth most.
func (c *Gateway) serve(now int64, link int) {
	for _, workload := range c.order {
		q := c.ways[link].queues[workload]
		c.turnAway(q.Late(now))
		for q.Len() > 0 && c.room(now, workload, link) {
			next, _, _ := q.Pop(now)
			c.round.Going = append(c.round.Going, Going{link, next.Load})
		}
	}
}

func (c *Gateway) turnAway(items []fairqueue.Item) {
	for _, it := range items {
		c.round.Turned = append(c.round.Turned, it.Load)
	}
}

// InOrder tells whether all room that was taken was given back and nobody waits: what holds when no query is under way.
func (c *Gateway) InOrder() bool {
	return c.Waiting() == 0 && !slices.ContainsFunc(c.ways, func(w way) bool { return w.limit.InFlight() != 0 })
}
