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

// Options is what a gateway is made from.
type Options struct {
	Clock      node.Clock
	Site       string // the own site's name
	Deployment deployment.Deployment
	Limits     deployment.Limits
	Revenue    map[string]float64 // by workload; 1 where not stated
	Policy     siterouting.Policy
	HTTP2      bool // queries to one gateway share a connection
	Sites      []Site
	Local      front.Core // the own site's
	Dial       replica.Dial
	TLS        *tls.Config // for the way there; nil for none
	Log        *zap.Logger
}

const (
	planInterval        = time.Second
	pingInterval        = 500 * time.Millisecond
	pingTimeout         = time.Second
	maxAttempts         = 512      // queries on their way at a time
	maxGatewaysPerQuery = 2        // gateways of a site that one query may be sent to
	retryRatio          = 0.1      // of what is carried may be carried again,
	retrySlack          = 3        // and so many,
	retryWindowNs       = 10 * 1e9 // ns, within
	headBytes           = 700      // of the heads of a query and its answer, with TLS around them
	initialServiceShare = 0.25     // of its goal that a workload takes at a site, until that is known
)

// Counters is what is told of a gateway among the process's counters.
type Counters struct {
	Carried        counters.Count `json:"carried"`  // handed to the way to another site
	Returned       counters.Count `json:"returned"` // with an answer
	Refused        counters.Count `json:"refused"`  // by the other site, or by the way
	Failed         counters.Count `json:"failed"`
	NotForwarded   counters.Count `json:"stayed"` // declined here, and no way was open
	Received       counters.Count `json:"taken"`  // from other sites
	Joined         counters.Count `json:"joined"` // repeats that joined one under way
	Replayed       counters.Count `json:"repeated"`
	OutcomeUnknown counters.Count `json:"cut_off"`
	Strangers      counters.Count `json:"strangers"` // connections and requests that were not let in
}

// Core serves a query at the own site or carries it to another: front.Core for clients and for peers alike.
type Core struct {
	options  Options
	names    []string // of workloads, by row
	peerNode *node.Node
	counters *Counters

	mu            sync.Mutex // guards gateway, which is asked for no longer than a few µs
	gateway       *gateway.Gateway
	decisionTimer *time.Timer // for the next time that it wants to be asked

	cancel  context.CancelFunc
	pingers sync.WaitGroup
}

// New starts the way to other sites.
func New(p Options, count *Counters) (*Core, error) {
	if len(p.Sites) == 0 {
		return nil, errors.New("a gateway needs another site")
	}
	for _, s := range p.Sites {
		if err := s.validate(); err != nil {
			return nil, err
		}
	}
	c := &Core{options: p, counters: count, names: make([]string, len(p.Deployment.Workloads))}
	for name, row := range p.Deployment.WorkloadRow {
		c.names[row] = name
	}
	now := p.Clock.Now()
	t := siterouting.Config{Policy: p.Policy, Site: p.Site, Interval: int64(planInterval)}
	for row, w := range p.Deployment.Workloads {
		revenue, stated := p.Revenue[c.names[row]]
		if !stated {
			revenue = 1
		}
		t.Workloads = append(t.Workloads, siterouting.Workload{Name: c.names[row], Revenue: revenue, Bytes: 4 << 10,
			ServiceTime: int64(initialServiceShare * float64(w.LatencyGoal))})
	}
	var known discovery.Update
	for i, s := range p.Sites {
		t.Links = append(t.Links, s.Link)
		for gateway := range s.Gateways {
			known.Entries = append(known.Entries, s.listEntry(i, gateway))
		}
	}
	c.gateway = gateway.New(now, t)
	d := p.Deployment
	d.Shards, d.Cells, d.CellsPerShard, d.PartsPerCall = len(p.Sites), len(p.Sites), 1, 1
	d.MaxExecutions, d.CanCancel, d.AsksForList = min(maxGatewaysPerQuery, d.MaxExecutions), true, false
	d.Budgeted, d.RetrySlack, d.RetryRatio, d.RetryWindow = true, retrySlack, retryRatio, retryWindowNs
	d.Workloads = append([]balance.Workload(nil), d.Workloads...)
	for i := range d.Workloads { // a site's answer is whole for the way there, whatever it holds
		d.Workloads[i].FullCoverage, d.Workloads[i].MinCoverage, d.Workloads[i].FollowUpParts = 1, 1, 0
	}
	c.peerNode = node.New(node.Options{Clock: p.Clock, Deployment: d, Terms: p.Limits, KnownList: known,
		Budget: sockets.NewBudget(maxAttempts), Count: counters.New(d.WorkloadRow), Log: p.Log, RequestList: func() {}, Dial: p.Dial,
		NewTransport: func(tell func(any), now func() int64) node.Transport {
			pool := c.sitePool(maxAttempts, tell, now)
			pool.ownSite, pool.minDelay, pool.onAdvertisedRate = p.Site, c.minDelay, c.observeAdvertised
			return pool
		}})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.decisionTimer = time.AfterFunc(planInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.decide()
	})
	for i, s := range p.Sites {
		c.pingers.Go(func() { c.pingSite(ctx, i, s) })
	}
	return c, nil
}

// sitePool makes a pool for the gateways of all sites.
func (c *Core) sitePool(most int, tell func(any), now func() int64) *pool {
	site := map[string]string{}
	for _, s := range c.options.Sites {
		for _, address := range s.Gateways {
			site[address] = s.Site
		}
	}
	return newPool(c.options.Dial, c.options.TLS, site, c.options.HTTP2, most, tell, now)
}

// Close ends the ways; no query may be under way any more.
func (c *Core) Close() {
	c.cancel()
	c.pingers.Wait()
	c.mu.Lock()
	c.decisionTimer.Stop()
	c.decisionTimer = nil
	c.mu.Unlock()
	c.peerNode.Close()
}

// Ready is the own site's.
func (c *Core) Ready() <-chan struct{} { return c.options.Local.Ready() }

// minDelay is the least way to a site and back, ns.
func (c *Core) minDelay(link int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateway.MinDelay(link)
}

// observeAdvertised takes in how many queries a second another site would take.
func (c *Core) observeAdvertised(link int, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateway.ObserveAdvertised(c.options.Clock.Now(), link, rate)
}

// AdvertisedRate is how many more queries a second this site would take from others.
func (c *Core) AdvertisedRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateway.AdvertisedRate(c.options.Clock.Now())
}

// Evacuate leaves the own site, or takes it up again over a ramp.
func (c *Core) Evacuate(evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateway.Evacuate(c.options.Clock.Now(), evacuated)
}

// decide asks what is to be done now, carries it out, and has itself called again in time. It is called with the lock.
func (c *Core) decide() {
	now := c.options.Clock.Now()
	r := c.gateway.Decide(now)
	for _, g := range r.Departures {
		g.Handle.(chan bool) <- true // it has room for the one word that a query gets
	}
	for _, load := range r.Rejected {
		load.(chan bool) <- false
	}
	if r.Plan != nil && r.Plan.Greedy {
		c.options.Log.Info("the ways were planned simply, for the solver gave no answer")
	}
	if c.decisionTimer != nil {
		c.decisionTimer.Reset(time.Duration(max(c.gateway.Next()-now, 0)))
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
	asked := c.servesLocally(ctx, q)
	if asked {
		a, ok := c.options.Local.Serve(ctx, q)
		c.mu.Lock()
		c.gateway.Ended(c.options.Clock.Now(), len(visited(ctx)) == 0, ok && a.Outcome == balance.Declined)
		c.mu.Unlock()
		if !ok || a.Outcome != balance.Declined {
			return a, ok
		}
		declined = a
	}
	link := c.reserveLink(ctx, q, asked)
	if link < 0 {
		c.counters.NotForwarded.Add(1)
		return declined, true
	}
	return c.forward(ctx, q, link, declined)
}

// servesLocally tells whether the own site is asked for a query.
func (c *Core) servesLocally(ctx context.Context, q node.Query) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	mark := float64(xxhash.Sum64String(q.ID)%1000) / 1000
	return c.gateway.ServesLocally(c.options.Clock.Now(), mark, len(visited(ctx)) > 0)
}

// reserveLink takes a way for a query, or tells -1. It waits as long as it is told to.
func (c *Core) reserveLink(ctx context.Context, q node.Query, asked bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
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

// forward takes a query to another site and brings its answer.
func (c *Core) forward(ctx context.Context, q node.Query, link int, declined node.Answer) (node.Answer, bool) {
	text, err := encodeQuery(q)
	c.counters.Carried.Add(1)
	var a node.Answer
	ok := true
	if err == nil {
		a, ok = c.peerNode.Serve(ctx, node.Query{ID: q.ID + "\x00", Workload: q.Workload, Deadline: q.Deadline,
			Parts:   []node.Part{{Shard: link, Weight: 1}},
			Payload: &forwardedQuery{workload: c.names[q.Workload], customer: q.Customer, retry: q.Retry, visited: visited(ctx), body: text, link: link}})
	}
	c.mu.Lock()
	bytes := 0.0
	if len(a.Values) == 1 {
		bytes = float64(headBytes + len(text) + len(a.Values[0].Value))
	}
	c.gateway.Returned(c.options.Clock.Now(), q.Workload, link, ok && a.Outcome == balance.Declined, bytes)
	c.decide()
	c.mu.Unlock()
	switch {
	case err != nil || !ok:
		return declined, err != nil || ok
	case a.Outcome == balance.Declined:
		c.counters.Refused.Add(1)
		declined.RetryAfter = max(declined.RetryAfter, a.RetryAfter)
		return declined, true
	case a.Outcome == balance.Forfeited || len(a.Values) != 1:
		c.counters.Failed.Add(1)
		return node.Answer{Outcome: balance.Forfeited}, true
	}
	answer, err := decodeAnswer(q, a.Values[0].Value)
	if err != nil {
		c.counters.Failed.Add(1)
		c.options.Log.Warn("a site answered what does not fit", zap.String("site", c.options.Sites[link].Site), zap.Error(err))
		return node.Answer{Outcome: balance.Forfeited}, true
	}
	c.counters.Returned.Add(1)
	return answer, true
}

// pingSite measures the way to a site, finds out within seconds when it is cut, and which gateways are about to close.
//
// Danger: a connection that was cut says nothing, and TCP waits for minutes. Each ping goes on a connection of its own
// pool, has a second, and three rounds without any answer close the way.
func (c *Core) pingSite(ctx context.Context, link int, s Site) {
	p := c.sitePool(1, nil, nil)
	defer p.client.CloseIdleConnections()
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	leaving := make([]bool, len(s.Gateways))
	for {
		signs := make([]pingResult, len(s.Gateways))
		var all sync.WaitGroup
		for i, address := range s.Gateways {
			all.Go(func() { signs[i] = p.ping(ctx, address) })
		}
		all.Wait()
		now := c.options.Clock.Now()
		best := pingResult{err: errors.New("no gateway answered")}
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
				c.updateGateway(ctx, link, s, i, one.leaving)
			}
		}
		c.mu.Lock()
		cut := c.gateway.Pinged(now, link, best.took, best.err != nil)
		if rate, e := strconv.ParseFloat(best.advertisedRate, 64); e == nil && rate >= 0 {
			c.gateway.ObserveAdvertised(now, link, rate)
		}
		c.mu.Unlock()
		if cut {
			c.options.Log.Warn("the way to a site is cut", zap.String("site", s.Site), zap.Error(best.err))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// updateGateway tells the module that a gateway is about to close, or has come back.
func (c *Core) updateGateway(ctx context.Context, link int, s Site, gateway int, leaving bool) {
	e := s.listEntry(link, gateway)
	if leaving {
		e.Status = balance.Draining
	}
	c.peerNode.ApplyList(ctx, discovery.Update{Entries: []discovery.Entry{e}})
}

// LinkStats tell how the ways stand.
func (c *Core) LinkStats() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]any{}
	for i, w := range c.gateway.Links() {
		all[c.options.Sites[i].Site] = map[string]any{"usable": w.Usable, "delay_ns": w.Delay, "least_ns": w.MinDelay, "limit": w.Limit,
			"in_flight": w.InFlight}
	}
	return all
}

// listEntry is a gateway in the list that the way's own node is given.
func (s Site) listEntry(link, gateway int) discovery.Entry {
	address := s.Gateways[gateway]
	return discovery.Entry{Host: s.Site + "/" + address, Dial: address, Cell: link}
}

func (s Site) validate() error {
	if s.Site == "" || len(s.Gateways) == 0 {
		return fmt.Errorf("site %q has no gateways", s.Site)
	}
	return nil
}
