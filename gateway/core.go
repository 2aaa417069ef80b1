package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/counters"
	"willowsill/deployment"
	"willowsill/fair"
	"willowsill/front"
	"willowsill/node"
	"willowsill/replica"
	"willowsill/roster"
	"willowsill/routes"
	"willowsill/sockets"
)

// Site is another site and the way there.
type Site struct {
	routes.Link
	Gateways []string // HOST:PORT of each
}

// Plan is what a gateway is made from.
type Plan struct {
	Clock      node.Clock
	Own        string // the own site's name
	Deployment deployment.Deployment
	Terms      deployment.Terms
	Revenue    map[string]float64 // by workload; 1 where not stated
	Policy     routes.Policy
	HTTP2      bool // queries to one gateway share a connection
	Sites      []Site
	Local      front.Core // the own site's
	Dial       replica.Dial
	Secure     *tls.Config // for the way there; nil for none
	Log        *zap.Logger
}

const (
	interval   = time.Second
	pingEach   = 500 * time.Millisecond
	pingWait   = time.Second
	pingMissed = 3 // one after the other, and a site's ways are not used
	lookEach   = 10 * time.Millisecond
	waitMost   = 64       // queries of a workload that wait for room on a link,
	waitOne    = 0.5      // this share of them of one customer at most,
	waitShare  = 10       // and each for this part of its time at most
	tripsMost  = 512      // queries on their way at a time
	smooth     = 0.2      // of the newest delay in the mean
	carryTwice = 2        // gateways of a site that one query may be sent to
	furtherOf  = 0.1      // of what is carried may be carried again,
	furtherAny = 3        // and so many,
	furtherIn  = 10 * 1e9 // ns, within
	headBytes  = 700      // of the heads of a query and its answer, with TLS around them
	servesOf   = 0.25     // of its goal that a workload takes at a site, until that is known
)

// Count is what is told of a gateway among the process's counters.
type Count struct {
	Carried  counters.Count `json:"carried"`  // handed to the way to another site
	Returned counters.Count `json:"returned"` // with an answer
	Refused  counters.Count `json:"refused"`  // by the other site, or by the way
	Failed   counters.Count `json:"failed"`
	Stayed   counters.Count `json:"stayed"` // declined here, and no way was open
	Taken    counters.Count `json:"taken"`  // from other sites
	Joined   counters.Count `json:"joined"` // repeats that joined one under way
	Repeated counters.Count `json:"repeated"`
	CutOff   counters.Count `json:"cut_off"`
	Stranger counters.Count `json:"strangers"` // connections and requests that were not let in
}

// Core serves a query at the own site or carries it to another: front.Core for clients and for peers alike.
type Core struct {
	plan  Plan
	names []string // of workloads, by row
	hop   *node.Node
	count *Count

	mu     sync.Mutex // guards the deciders, which are asked for no longer than a few µs
	routes *routes.Routes
	spare  *routes.Spare
	limits []*routes.Limit
	queues [][]*fair.Queue // of each link and workload: what waits for room there
	looks  []bool          // of each link: it is looked at again soon for room
	order  []int           // workloads, those worth most first
	delays []figures

	cancel context.CancelFunc
	ended  sync.WaitGroup
}

type figures struct {
	mean   float64 // there and back, ns
	missed int
	sent   float64
	lost   float64
	known  bool
}

// New starts the way to other sites.
func New(p Plan, count *Count) (*Core, error) {
	if len(p.Sites) == 0 {
		return nil, errors.New("a gateway needs another site")
	}
	for _, s := range p.Sites {
		if err := s.check(); err != nil {
			return nil, err
		}
	}
	c := &Core{plan: p, count: count, names: make([]string, len(p.Deployment.Workloads)),
		delays: make([]figures, len(p.Sites))}
	for name, row := range p.Deployment.Workload {
		c.names[row] = name
	}
	now := p.Clock.Now()
	t := routes.Terms{Policy: p.Policy, Site: p.Own, Interval: int64(interval)}
	for row, w := range p.Deployment.Workloads {
		revenue, stated := p.Revenue[c.names[row]]
		if !stated {
			revenue = 1
		}
		t.Workloads = append(t.Workloads, routes.Workload{Name: c.names[row], Revenue: revenue, Bytes: 4 << 10,
			Serves: int64(servesOf * float64(w.LatencyGoal))})
	}
	var known roster.News
	for i, s := range p.Sites {
		t.Links = append(t.Links, s.Link)
		c.limits = append(c.limits, routes.NewLimit(now))
		var queues []*fair.Queue
		for range p.Deployment.Workloads {
			queues = append(queues, fair.New(fair.Terms{Most: waitMost, MostOne: waitOne}))
		}
		c.queues, c.looks = append(c.queues, queues), append(c.looks, false)
		for _, address := range s.Gateways {
			known.Entries = append(known.Entries, roster.Entry{Host: s.Site + "/" + address, Dial: address, Cell: i})
		}
	}
	c.routes, c.spare = routes.New(now, t), routes.NewSpare(now)
	c.order = c.routes.Order()
	d := p.Deployment
	d.Shards, d.Cells, d.Reach, d.PartsPerCall = len(p.Sites), len(p.Sites), 1, 1
	d.MaxExecutions, d.Cancels, d.AsksForList = min(carryTwice, d.MaxExecutions), true, false
	d.Budgeted, d.FurtherFree, d.FurtherShare, d.FurtherSpan = true, furtherAny, furtherOf, furtherIn
	d.Workloads = append([]balance.Workload(nil), d.Workloads...)
	for i := range d.Workloads { // a site's answer is whole for the way there, whatever it holds
		d.Workloads[i].Need, d.Workloads[i].Floor, d.Workloads[i].FollowUp = 1, 1, 0
	}
	c.hop = node.New(node.Plan{Clock: p.Clock, Deployment: d, Terms: p.Terms, Known: known,
		Budget: sockets.NewBudget(tripsMost), Count: counters.New(d.Workload), Log: p.Log, Ask: func() {}, Dial: p.Dial,
		Carry: func(tell func(any), now func() int64) node.Carrier {
			pool := c.pool(tripsMost, tell, now)
			pool.from, pool.way, pool.told = p.Own, c.way, c.told
			return pool
		}})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.ended.Go(func() { c.plans(ctx) })
	for i, s := range p.Sites {
		c.ended.Go(func() { c.pings(ctx, i, s) })
	}
	return c, nil
}

// pool makes a pool for the gateways of all sites.
func (c *Core) pool(most int, tell func(any), now func() int64) *pool {
	site := map[string]string{}
	for _, s := range c.plan.Sites {
		for _, address := range s.Gateways {
			site[address] = s.Site
		}
	}
	return newPool(c.plan.Dial, c.plan.Secure, site, c.plan.HTTP2, most, tell, now)
}

// Close ends the ways; no query may be under way any more.
func (c *Core) Close() {
	c.cancel()
	c.ended.Wait()
	c.hop.Close()
}

// Ready is the own site's.
func (c *Core) Ready() <-chan struct{} { return c.plan.Local.Ready() }

// way is the least way to a site and back, ns.
func (c *Core) way(link int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits[link].Least()
}

// told takes in how many queries a second another site would take.
func (c *Core) told(link int, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.Willing(c.plan.Clock.Now(), link, rate)
}

// Willing is how many more queries a second this site would take from others.
func (c *Core) Willing() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.plan.Clock.Now()
	return c.spare.Rate(now) * c.routes.Local(now)
}

// Evacuate leaves the own site, or takes it up again over a ramp.
func (c *Core) Evacuate(dark bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.Evacuate(c.plan.Clock.Now(), dark)
}

// visitedKey is the key of the sites that a query came through, in its context.
type visitedKey struct{}

func visited(ctx context.Context) []string {
	v, _ := ctx.Value(visitedKey{}).([]string)
	return v
}

// Serve serves a query here, or carries it to another site when this one declines it or is left.
//
// Danger: only a decline says that nothing has run and trying elsewhere does no harm. What may have run here is
// answered as it ended here.
func (c *Core) Serve(ctx context.Context, q node.Query) (node.Answer, bool) {
	declined := node.Answer{Final: balance.Declined}
	asked := c.stays(ctx, q)
	if asked {
		a, ok := c.plan.Local.Serve(ctx, q)
		c.mu.Lock()
		c.spare.Ended(c.plan.Clock.Now(), len(visited(ctx)) == 0, ok && a.Final == balance.Declined)
		c.mu.Unlock()
		if !ok || a.Final != balance.Declined {
			return a, ok
		}
		declined = a
	}
	link := c.leaves(ctx, q, asked)
	if link < 0 {
		c.count.Stayed.Add(1)
		return declined, true
	}
	return c.carry(ctx, q, link, declined)
}

// stays tells whether the own site is asked for a query.
func (c *Core) stays(ctx context.Context, q node.Query) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	mark := float64(xxhash.Sum64String(q.ID)%1000) / 1000
	return c.routes.Stays(c.plan.Clock.Now(), mark, len(visited(ctx)) > 0)
}

// leaves takes a way for a query, or tells -1.
func (c *Core) leaves(ctx context.Context, q node.Query, asked bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.plan.Clock.Now()
	came := visited(ctx)
	if len(came) == 0 { // the own clients'
		c.routes.Missed(q.Workload)
	}
	link := c.routes.Route(now, routes.Query{Workload: q.Workload, Left: q.Until - now, Visited: came, Declined: asked})
	switch {
	case link < 0:
		return -1
	case c.plan.Policy != routes.Planned:
		c.limits[link].Must()
		return link
	case c.queues[link][q.Workload].Len() == 0 && c.room(now, q.Workload, link) || c.waits(ctx, now, q, link):
		return link
	}
	return -1
}

// room takes the room for one query on a link, if there is some; it is called with the lock.
func (c *Core) room(now int64, workload, link int) bool {
	if !c.limits[link].Take() {
		return false
	}
	if !c.routes.Spend(now, workload, link) {
		c.limits[link].Give()
		return false
	}
	return true
}

// waits has a query wait for room on a link, for a tenth of its time at most; it is called and returns with the lock. False
// means that it got none.
//
// Danger: one customer's crowd would take all the room of a plan, a purse or a limit as it comes free; customers take
// turns wherever room is short.
func (c *Core) waits(ctx context.Context, now int64, q node.Query, link int) bool {
	room := make(chan bool, 1)
	wait := (q.Until - now) / waitShare
	dropped, taken := c.queues[link][q.Workload].Push(now, fair.Item{Customer: q.Customer, Until: now + wait, Load: room})
	turnAway(dropped)
	if !taken {
		return false
	}
	c.look(link)
	c.mu.Unlock()
	defer c.mu.Lock()
	timer := time.NewTimer(time.Duration(wait))
	defer timer.Stop()
	select {
	case got := <-room:
		return got
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case got := <-room: // it came at the last moment
		return got
	default:
		c.queues[link][q.Workload].Remove(q.Customer, room)
		return false
	}
}

// turnAway tells those who waited that there is no room for them.
func turnAway(items []fair.Item) {
	for _, it := range items {
		select {
		case it.Load.(chan bool) <- false:
		default:
		}
	}
}

// give gives a query's room on a link back, and to the next who waits. It is called with the lock.
func (c *Core) give(link int) {
	c.limits[link].Give()
	c.serve(link)
}

// serve gives what room there is on a link to those who wait, by turns of customers, first to what is worth most. It is
// called with the lock.
func (c *Core) serve(link int) {
	now := c.plan.Clock.Now()
	for _, w := range c.order {
		q := c.queues[link][w]
		turnAway(q.Late(now))
		for q.Len() > 0 && c.room(now, w, link) {
			next, _, _ := q.Pop(now)
			next.Load.(chan bool) <- true
		}
	}
}

// look has a link looked at again soon while somebody waits there: tokens come with time alone. It is called with the lock.
func (c *Core) look(link int) {
	if c.looks[link] || !slices.ContainsFunc(c.queues[link], func(q *fair.Queue) bool { return q.Len() > 0 }) {
		return
	}
	c.looks[link] = true
	time.AfterFunc(lookEach, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.looks[link] = false
		c.serve(link)
		c.look(link)
	})
}

// carry takes a query to another site and brings its answer.
func (c *Core) carry(ctx context.Context, q node.Query, link int, declined node.Answer) (node.Answer, bool) {
	text, err := encode(q)
	c.count.Carried.Add(1)
	var a node.Answer
	ok := true
	if err == nil {
		a, ok = c.hop.Serve(ctx, node.Query{ID: q.ID + "\x00", Workload: q.Workload, Until: q.Until,
			Parts: []node.Part{{Shard: link, Weight: 1}},
			Load:  &load{workload: c.names[q.Workload], customer: q.Customer, visited: visited(ctx), body: text, link: link}})
	}
	c.mu.Lock()
	c.give(link)
	c.routes.Carried(q.Workload, link, ok && a.Final == balance.Declined)
	if len(a.Values) == 1 {
		c.routes.Weighed(c.plan.Clock.Now(), q.Workload, link, float64(headBytes+len(text)+len(a.Values[0].Value)))
	}
	c.mu.Unlock()
	switch {
	case err != nil || !ok:
		return declined, err != nil || ok
	case a.Final == balance.Declined:
		c.count.Refused.Add(1)
		declined.ComeBack = max(declined.ComeBack, a.ComeBack)
		return declined, true
	case a.Final == balance.Forfeited || len(a.Values) != 1:
		c.count.Failed.Add(1)
		return node.Answer{Final: balance.Forfeited}, true
	}
	answer, err := decode(q, a.Values[0].Value)
	if err != nil {
		c.count.Failed.Add(1)
		c.plan.Log.Warn("a site answered what does not fit", zap.String("site", c.plan.Sites[link].Site), zap.Error(err))
		return node.Answer{Final: balance.Forfeited}, true
	}
	c.count.Returned.Add(1)
	return answer, true
}

// plans makes a new plan at each interval.
func (c *Core) plans(ctx context.Context) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		for i := range c.delays {
			f := &c.delays[i]
			loss := 0.0
			if f.sent > 0 {
				loss = f.lost / f.sent
			}
			c.routes.Linked(i, routes.Figures{Delay: int64(f.mean), Loss: loss, Usable: f.known && f.missed < pingMissed})
		}
		plan := c.routes.Decide(c.plan.Clock.Now())
		c.mu.Unlock()
		if plan.Greedy {
			c.plan.Log.Info("the ways were planned simply, for the solver gave no answer")
		}
	}
}

// pings measures the way to a site, and finds out within seconds when it is cut.
//
// Danger: a connection that was cut says nothing, and TCP waits for minutes. Each ping goes on a connection of its own
// pool, has a second, and three without an answer close the way.
func (c *Core) pings(ctx context.Context, link int, s Site) {
	p := c.pool(1, nil, nil)
	defer p.client.CloseIdleConnections()
	tick := time.NewTicker(pingEach)
	defer tick.Stop()
	for n := 0; ; n++ {
		began := c.plan.Clock.Now()
		willing, err := p.ping(ctx, s.Gateways[n%len(s.Gateways)])
		now := c.plan.Clock.Now()
		c.mu.Lock()
		f := &c.delays[link]
		f.sent, f.lost = f.sent*0.95+1, f.lost*0.95
		if err != nil {
			f.missed++
			f.lost++
			p.client.CloseIdleConnections()
		} else {
			if !f.known {
				f.mean = float64(now - began)
			}
			f.known, f.missed = true, 0
			f.mean += smooth * (float64(now-began) - f.mean)
		}
		c.limits[link].Delay(now, now-began, err != nil)
		if rate, e := strconv.ParseFloat(willing, 64); e == nil && rate >= 0 {
			c.routes.Willing(now, link, rate)
		}
		missed := f.missed
		c.mu.Unlock()
		if missed == pingMissed {
			c.plan.Log.Warn("the way to a site is cut", zap.String("site", s.Site), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Figures tell how the ways stand.
func (c *Core) Figures() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]any{}
	for i, s := range c.plan.Sites {
		f := c.delays[i]
		all[s.Site] = map[string]any{"usable": f.known && f.missed < pingMissed, "delay_ns": int64(f.mean),
			"least_ns": c.limits[i].Least(), "limit": c.limits[i].Most(), "in_flight": c.limits[i].InFlight()}
	}
	return all
}

func (s Site) check() error {
	if s.Site == "" || len(s.Gateways) == 0 {
		return fmt.Errorf("site %q has no gateways", s.Site)
	}
	return nil
}
