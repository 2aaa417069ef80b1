package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/decide/gateway"
	"willowsill/decide/siterouting"
	"willowsill/deployment"
	"willowsill/front"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/discovery"
	"willowsill/transport/replica"
	"willowsill/transport/sockets"
)

// Site is another site and the way there.
type Site struct {
	siterouting.Link
	Gateways []string // HOST:PORT of each
}

// Plan is what a gateway is made from.
type Plan struct {
	Clock      node.Clock
	Own        string // the own site's name
	Deployment deployment.Deployment
	Terms      deployment.Terms
	Revenue    map[string]float64 // by workload; 1 where not stated
	Policy     siterouting.Policy
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
	tripsMost  = 512      // queries on their way at a time
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

	mu      sync.Mutex // guards gateway, which is asked for no longer than a few µs
	gateway *gateway.Gateway
	look    *time.Timer // for the next time that it wants to be asked

	cancel context.CancelFunc
	ended  sync.WaitGroup
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
	c := &Core{plan: p, count: count, names: make([]string, len(p.Deployment.Workloads))}
	for name, row := range p.Deployment.Workload {
		c.names[row] = name
	}
	now := p.Clock.Now()
	t := siterouting.Config{Policy: p.Policy, Site: p.Own, Interval: int64(interval)}
	for row, w := range p.Deployment.Workloads {
		revenue, stated := p.Revenue[c.names[row]]
		if !stated {
			revenue = 1
		}
		t.Workloads = append(t.Workloads, siterouting.Workload{Name: c.names[row], Revenue: revenue, Bytes: 4 << 10,
			ServiceTime: int64(servesOf * float64(w.LatencyGoal))})
	}
	var known discovery.News
	for i, s := range p.Sites {
		t.Links = append(t.Links, s.Link)
		for gateway := range s.Gateways {
			known.Entries = append(known.Entries, s.entry(i, gateway))
		}
	}
	c.gateway = gateway.New(now, t)
	d := p.Deployment
	d.Shards, d.Cells, d.CellsPerShard, d.PartsPerCall = len(p.Sites), len(p.Sites), 1, 1
	d.MaxExecutions, d.CanCancel, d.AsksForList = min(carryTwice, d.MaxExecutions), true, false
	d.Budgeted, d.RetrySlack, d.RetryRatio, d.RetryWindow = true, furtherAny, furtherOf, furtherIn
	d.Workloads = append([]balance.Workload(nil), d.Workloads...)
	for i := range d.Workloads { // a site's answer is whole for the way there, whatever it holds
		d.Workloads[i].FullCoverage, d.Workloads[i].MinCoverage, d.Workloads[i].FollowUpParts = 1, 1, 0
	}
	c.hop = node.New(node.Options{Clock: p.Clock, Deployment: d, Terms: p.Terms, KnownList: known,
		Budget: sockets.NewBudget(tripsMost), Count: counters.New(d.Workload), Log: p.Log, RequestList: func() {}, Dial: p.Dial,
		NewTransport: func(tell func(any), now func() int64) node.Transport {
			pool := c.pool(tripsMost, tell, now)
			pool.from, pool.way, pool.told = p.Own, c.way, c.told
			return pool
		}})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.look = time.AfterFunc(interval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.decide()
	})
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
	c.mu.Lock()
	c.look.Stop()
	c.look = nil
	c.mu.Unlock()
	c.hop.Close()
}

// Ready is the own site's.
func (c *Core) Ready() <-chan struct{} { return c.plan.Local.Ready() }

// way is the least way to a site and back, ns.
func (c *Core) way(link int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateway.MinDelay(link)
}

// told takes in how many queries a second another site would take.
func (c *Core) told(link int, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateway.ObserveAdvertised(c.plan.Clock.Now(), link, rate)
}

// Willing is how many more queries a second this site would take from others.
func (c *Core) Willing() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateway.AdvertisedRate(c.plan.Clock.Now())
}

// Evacuate leaves the own site, or takes it up again over a ramp.
func (c *Core) Evacuate(dark bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateway.Evacuate(c.plan.Clock.Now(), dark)
}

// decide asks what is to be done now, carries it out, and has itself called again in time. It is called with the lock.
func (c *Core) decide() {
	now := c.plan.Clock.Now()
	r := c.gateway.Decide(now)
	for _, g := range r.Departures {
		g.Handle.(chan bool) <- true // it has room for the one word that a query gets
	}
	for _, load := range r.Rejected {
		load.(chan bool) <- false
	}
	if r.Plan != nil && r.Plan.Greedy {
		c.plan.Log.Info("the ways were planned simply, for the solver gave no answer")
	}
	if c.look != nil {
		c.look.Reset(time.Duration(max(c.gateway.Next()-now, 0)))
	}
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
	declined := node.Answer{Outcome: balance.Declined}
	asked := c.stays(ctx, q)
	if asked {
		a, ok := c.plan.Local.Serve(ctx, q)
		c.mu.Lock()
		c.gateway.Ended(c.plan.Clock.Now(), len(visited(ctx)) == 0, ok && a.Outcome == balance.Declined)
		c.mu.Unlock()
		if !ok || a.Outcome != balance.Declined {
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
	return c.gateway.ServesLocally(c.plan.Clock.Now(), mark, len(visited(ctx)) > 0)
}

// leaves takes a way for a query, or tells -1. It waits as long as it is told to.
func (c *Core) leaves(ctx context.Context, q node.Query, asked bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.plan.Clock.Now()
	room := make(chan bool, 1)
	leaving := gateway.Query{Customer: q.Customer, Handle: room,
		Query: siterouting.Query{Workload: q.Workload, TimeLeft: q.Deadline - now, Visited: visited(ctx), Declined: asked}}
	link, waits := c.gateway.Forward(now, leaving)
	c.decide()
	if !waits {
		return link
	}
	c.mu.Unlock()
	got := false
	select {
	case got = <-room:
		c.mu.Lock()
	case <-ctx.Done():
		c.mu.Lock()
		if !c.gateway.Withdraw(leaving, link) { // it was told at the last moment
			got = <-room
		}
	}
	if !got {
		return -1
	}
	return link
}

// carry takes a query to another site and brings its answer.
func (c *Core) carry(ctx context.Context, q node.Query, link int, declined node.Answer) (node.Answer, bool) {
	text, err := encode(q)
	c.count.Carried.Add(1)
	var a node.Answer
	ok := true
	if err == nil {
		a, ok = c.hop.Serve(ctx, node.Query{ID: q.ID + "\x00", Workload: q.Workload, Deadline: q.Deadline,
			Parts:   []node.Part{{Shard: link, Weight: 1}},
			Payload: &load{workload: c.names[q.Workload], customer: q.Customer, again: q.Retry, visited: visited(ctx), body: text, link: link}})
	}
	c.mu.Lock()
	bytes := 0.0
	if len(a.Values) == 1 {
		bytes = float64(headBytes + len(text) + len(a.Values[0].Value))
	}
	c.gateway.Returned(c.plan.Clock.Now(), q.Workload, link, ok && a.Outcome == balance.Declined, bytes)
	c.decide()
	c.mu.Unlock()
	switch {
	case err != nil || !ok:
		return declined, err != nil || ok
	case a.Outcome == balance.Declined:
		c.count.Refused.Add(1)
		declined.RetryAfter = max(declined.RetryAfter, a.RetryAfter)
		return declined, true
	case a.Outcome == balance.Forfeited || len(a.Values) != 1:
		c.count.Failed.Add(1)
		return node.Answer{Outcome: balance.Forfeited}, true
	}
	answer, err := decode(q, a.Values[0].Value)
	if err != nil {
		c.count.Failed.Add(1)
		c.plan.Log.Warn("a site answered what does not fit", zap.String("site", c.plan.Sites[link].Site), zap.Error(err))
		return node.Answer{Outcome: balance.Forfeited}, true
	}
	c.count.Returned.Add(1)
	return answer, true
}

// pings measures the way to a site, finds out within seconds when it is cut, and which gateways are about to close.
//
// Danger: a connection that was cut says nothing, and TCP waits for minutes. Each ping goes on a connection of its own
// pool, has a second, and three rounds without any answer close the way.
func (c *Core) pings(ctx context.Context, link int, s Site) {
	p := c.pool(1, nil, nil)
	defer p.client.CloseIdleConnections()
	tick := time.NewTicker(pingEach)
	defer tick.Stop()
	leaving := make([]bool, len(s.Gateways))
	for {
		signs := make([]sign, len(s.Gateways))
		var all sync.WaitGroup
		for i, address := range s.Gateways {
			all.Go(func() { signs[i] = p.ping(ctx, address) })
		}
		all.Wait()
		now := c.plan.Clock.Now()
		best := sign{err: errors.New("no gateway answered")}
		for i, one := range signs {
			if one.err != nil { // what it said last holds until it answers again
				p.client.CloseIdleConnections()
				best.err = errors.Join(best.err, one.err)
				continue
			}
			if best.err != nil || one.took < best.took {
				best = one
			}
			if one.leaving != leaving[i] {
				leaving[i] = one.leaving
				c.goes(ctx, link, s, i, one.leaving)
			}
		}
		c.mu.Lock()
		cut := c.gateway.Pinged(now, link, best.took, best.err != nil)
		if rate, e := strconv.ParseFloat(best.willing, 64); e == nil && rate >= 0 {
			c.gateway.ObserveAdvertised(now, link, rate)
		}
		c.mu.Unlock()
		if cut {
			c.plan.Log.Warn("the way to a site is cut", zap.String("site", s.Site), zap.Error(best.err))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// goes tells the module that a gateway is about to close, or has come back.
func (c *Core) goes(ctx context.Context, link int, s Site, gateway int, leaving bool) {
	e := s.entry(link, gateway)
	if leaving {
		e.Standing = balance.Draining
	}
	c.hop.ApplyList(ctx, discovery.News{Entries: []discovery.Entry{e}})
}

// Figures tell how the ways stand.
func (c *Core) Figures() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]any{}
	for i, w := range c.gateway.Links() {
		all[c.plan.Sites[i].Site] = map[string]any{"usable": w.Usable, "delay_ns": w.Delay, "least_ns": w.MinDelay, "limit": w.Limit,
			"in_flight": w.InFlight}
	}
	return all
}

// entry is a gateway in the list that the way's own node is given.
func (s Site) entry(link, gateway int) discovery.Entry {
	address := s.Gateways[gateway]
	return discovery.Entry{Host: s.Site + "/" + address, Dial: address, Cell: link}
}

func (s Site) check() error {
	if s.Site == "" || len(s.Gateways) == 0 {
		return fmt.Errorf("site %q has no gateways", s.Site)
	}
	return nil
}
