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

// Site is another site with the link to it.
type Site struct {
	siterouting.Link
	Gateways []string // HOST:PORT of each gateway
}

// Options are the settings and dependencies of New.
type Options struct {
	Clock      node.Clock
	Site       string // name of this site
	Deployment deployment.Deployment
	Limits     deployment.Limits
	Revenue    map[string]float64 // revenue of a query, by workload; 1 for a workload that is not listed
	Policy     siterouting.Policy
	HTTP2      bool // queries to one gateway share one connection
	Sites      []Site
	Local      front.Core // serves queries at this site
	Dial       replica.Dial
	TLS        *tls.Config // settings of connections to other sites; nil for no TLS
	Log        *zap.Logger
}

const (
	planInterval        = time.Second
	pingInterval        = 500 * time.Millisecond
	pingTimeout         = time.Second
	maxAttempts         = 512      // limit of queries being forwarded at a time
	maxGatewaysPerQuery = 2        // limit of gateways of a site that one query is sent to
	retryRatio          = 0.1      // retries allowed per forwarded query
	retrySlack          = 3        // retries allowed in addition within retryWindowNs
	retryWindowNs       = 10 * 1e9 // period over which retries are limited
	headBytes           = 700      // bytes of the headers of a query and its answer, including TLS
	initialServiceShare = 0.25     // service time of a workload as a share of its latency goal, until it is known
)

// Counters are a gateway's counters, part of the process's counters.
type Counters struct {
	Carried        counters.Count `json:"carried"`   // sent to another site
	Returned       counters.Count `json:"returned"`  // answered by another site
	Refused        counters.Count `json:"refused"`   // declined by the other site, or not sent
	Failed         counters.Count `json:"failed"`    // forwarded queries that may have run but got no valid answer
	NotForwarded   counters.Count `json:"stayed"`    // declined here when no link was open
	Received       counters.Count `json:"taken"`     // received from other sites
	Joined         counters.Count `json:"joined"`    // repeats that waited for the first query's answer
	Replayed       counters.Count `json:"repeated"`  // repeats that got the first query's stored answer
	OutcomeUnknown counters.Count `json:"cut_off"`   // repeats of a query whose outcome was lost
	Strangers      counters.Count `json:"strangers"` // connections and requests that were not admitted
}

// Core serves a query at this site or forwards it to another. It is the front.Core for clients and for peers.
type Core struct {
	options  Options
	names    []string // names of the workloads, by row
	peerNode *node.Node
	counters *Counters

	mu            sync.Mutex // guards gateway; held for a few µs at a time
	gateway       *gateway.Gateway
	decisionTimer *time.Timer // runs decide when the gateway next needs it

	cancel  context.CancelFunc
	pingers sync.WaitGroup
}

// New returns a Core and starts the pings to the other sites.
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
	for i := range d.Workloads { // an answer of a site counts as complete here, whatever it contains
		d.Workloads[i].FullCoverage, d.Workloads[i].MinCoverage, d.Workloads[i].FollowUpParts = 1, 1, 0
	}
	c.peerNode = node.New(node.Options{Clock: p.Clock, Deployment: d, Limits: p.Limits, KnownList: known,
		Budget: sockets.NewBudget(maxAttempts), Count: counters.New(d.WorkloadRow), Log: p.Log, RequestList: func() {}, Dial: p.Dial,
		NewTransport: func(notify func(any), now func() int64) node.Transport {
			pool := c.sitePool(maxAttempts, notify, now)
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

// sitePool returns a pool for the gateways of all sites.
func (c *Core) sitePool(maxRunning int, notify func(any), now func() int64) *pool {
	site := map[string]string{}
	for _, s := range c.options.Sites {
		for _, address := range s.Gateways {
			site[address] = s.Site
		}
	}
	return newPool(c.options.Dial, c.options.TLS, site, c.options.HTTP2, maxRunning, notify, now)
}

// Close stops the pings and closes the connections. No query may be in progress.
func (c *Core) Close() {
	c.cancel()
	c.pingers.Wait()
	c.mu.Lock()
	c.decisionTimer.Stop()
	c.decisionTimer = nil
	c.mu.Unlock()
	c.peerNode.Close()
}

// Ready returns the channel of the core that serves this site.
func (c *Core) Ready() <-chan struct{} { return c.options.Local.Ready() }

// minDelay returns the lowest round-trip time measured to a site, ns.
func (c *Core) minDelay(link int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateway.MinDelay(link)
}

// observeAdvertised records how many queries per second another site would accept.
func (c *Core) observeAdvertised(link int, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateway.ObserveAdvertised(c.options.Clock.Now(), link, rate)
}

// AdvertisedRate returns how many more queries per second this site would accept from others.
func (c *Core) AdvertisedRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateway.AdvertisedRate(c.options.Clock.Now())
}

// Evacuate stops sending queries to this site's own replicas, or resumes it gradually.
func (c *Core) Evacuate(evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateway.Evacuate(c.options.Clock.Now(), evacuated)
}

// decide makes the decisions that are due, carries them out and schedules its next call. The caller holds mu.
func (c *Core) decide() {
	now := c.options.Clock.Now()
	r := c.gateway.Decide(now)
	for _, g := range r.Departures {
		g.Handle.(chan bool) <- true // never blocks: each query gets one value, and its channel has space for it
	}
	for _, handle := range r.Rejected {
		handle.(chan bool) <- false
	}
	if r.Plan != nil && r.Plan.Greedy {
		c.options.Log.Info("links were planned by a simple rule, as the solver found no solution")
	}
	if c.decisionTimer != nil {
		c.decisionTimer.Reset(time.Duration(max(c.gateway.Next()-now, 0)))
	}
}

// visitedKey is the context key of the sites that a query has passed through.
type visitedKey struct{}

func visited(ctx context.Context) []string {
	v, _ := ctx.Value(visitedKey{}).([]string)
	return v
}

// Serve serves a query at this site, and forwards it to another if this site declines it or is evacuated.
//
// Danger: only a declined query has surely not run, so only that may be tried elsewhere. Any other outcome is
// returned as it is.
func (c *Core) Serve(ctx context.Context, q node.Query) (node.Answer, bool) {
	declined := node.Answer{Outcome: balance.Declined}
	local := c.servesLocally(ctx, q)
	if local {
		a, ok := c.options.Local.Serve(ctx, q)
		c.mu.Lock()
		c.gateway.Ended(c.options.Clock.Now(), len(visited(ctx)) == 0, ok && a.Outcome == balance.Declined)
		c.mu.Unlock()
		if !ok || a.Outcome != balance.Declined {
			return a, ok
		}
		declined = a
	}
	link := c.reserveLink(ctx, q, local)
	if link < 0 {
		c.counters.NotForwarded.Add(1)
		return declined, true
	}
	return c.forward(ctx, q, link, declined)
}

// servesLocally reports whether this site serves a query, as opposed to forwarding it at once.
func (c *Core) servesLocally(ctx context.Context, q node.Query) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	draw := float64(xxhash.Sum64String(q.ID)%1000) / 1000
	return c.gateway.ServesLocally(c.options.Clock.Now(), draw, len(visited(ctx)) > 0)
}

// reserveLink returns the link over which a query is forwarded, or -1 if it is not. It may wait until a link has
// capacity.
func (c *Core) reserveLink(ctx context.Context, q node.Query, local bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	granted := make(chan bool, 1)
	query := gateway.Query{Customer: q.Customer, Handle: granted,
		Query: siterouting.Query{Workload: q.Workload, TimeLeft: q.Deadline - now, Visited: visited(ctx), Declined: local}}
	link, waits := c.gateway.Forward(now, query)
	c.decide()
	if !waits {
		return link
	}
	c.mu.Unlock()
	ok := false
	select {
	case ok = <-granted:
		c.mu.Lock()
	case <-ctx.Done():
		c.mu.Lock()
		if !c.gateway.Withdraw(query, link) { // the gateway decided on the query while ctx ended
			ok = <-granted
		}
	}
	if !ok {
		return -1
	}
	return link
}

// forward sends a query to another site and returns its answer.
func (c *Core) forward(ctx context.Context, q node.Query, link int, declined node.Answer) (node.Answer, bool) {
	body, err := encodeQuery(q)
	c.counters.Carried.Add(1)
	var a node.Answer
	ok := true
	if err == nil {
		a, ok = c.peerNode.Serve(ctx, node.Query{ID: q.ID + "\x00", Workload: q.Workload, Deadline: q.Deadline,
			Parts:   []node.Part{{Shard: link, Weight: 1}},
			Payload: &forwardedQuery{workload: c.names[q.Workload], customer: q.Customer, retry: q.Retry, visited: visited(ctx), body: body, link: link}})
	}
	c.mu.Lock()
	bytes := 0.0
	if len(a.Values) == 1 {
		bytes = float64(headBytes + len(body) + len(a.Values[0].Value))
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
		c.options.Log.Warn("a site's answer is invalid", zap.String("site", c.options.Sites[link].Site), zap.Error(err))
		return node.Answer{Outcome: balance.Forfeited}, true
	}
	c.counters.Returned.Add(1)
	return answer, true
}

// pingSite pings the gateways of a site until ctx ends: to measure the delay, to find an interrupted link within
// seconds, and to learn which gateways are about to shut down.
//
// Danger: an interrupted connection shows no error, and TCP waits for minutes. So pings use
// connections of their own, each ping must be answered within a second, and three rounds without any answer close
// the link.
func (c *Core) pingSite(ctx context.Context, link int, s Site) {
	p := c.sitePool(1, nil, nil)
	defer p.client.CloseIdleConnections()
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	leaving := make([]bool, len(s.Gateways))
	for {
		results := make([]pingResult, len(s.Gateways))
		var all sync.WaitGroup
		for i, address := range s.Gateways {
			all.Go(func() { results[i] = p.ping(ctx, address) })
		}
		all.Wait()
		now := c.options.Clock.Now()
		best := pingResult{err: errors.New("no gateway answered")}
		for i, result := range results {
			if result.err != nil { // the gateway's last announcement holds until it answers again
				p.client.CloseIdleConnections()
				best.err = errors.Join(best.err, result.err)
				continue
			}
			if best.err != nil || result.took < best.took {
				best = result
			}
			if result.leaving != leaving[i] {
				leaving[i] = result.leaving
				c.updateGateway(ctx, link, s, i, result.leaving)
			}
		}
		c.mu.Lock()
		interrupted := c.gateway.Pinged(now, link, best.took, best.err != nil)
		if rate, e := strconv.ParseFloat(best.advertisedRate, 64); e == nil && rate >= 0 {
			c.gateway.ObserveAdvertised(now, link, rate)
		}
		c.mu.Unlock()
		if interrupted {
			c.options.Log.Warn("the link to a site is interrupted", zap.String("site", s.Site), zap.Error(best.err))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// updateGateway tells the node that a gateway is about to shut down, or has come back.
func (c *Core) updateGateway(ctx context.Context, link int, s Site, gateway int, leaving bool) {
	e := s.listEntry(link, gateway)
	if leaving {
		e.Status = balance.Draining
	}
	c.peerNode.ApplyList(ctx, discovery.Update{Entries: []discovery.Entry{e}})
}

// LinkStats returns the state of the link to each site, by the site's name.
func (c *Core) LinkStats() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]any{}
	for i, link := range c.gateway.Links() {
		all[c.options.Sites[i].Site] = map[string]any{"usable": link.Usable, "delay_ns": link.Delay, "least_ns": link.MinDelay, "limit": link.Limit,
			"in_flight": link.InFlight}
	}
	return all
}

// listEntry describes a gateway as a replica for the list of peerNode.
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
