// Package proxyserver gives a proxy its sockets: clients in front, replicas behind, the agent beside it. The node
// in the middle and its decision module are those of the co-ordinator in service. It decides nothing.
package proxyserver

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"k8s.io/klog/v2"

	"willowsill/balance"
	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/follower"
	"willowsill/decide/registry"
	"willowsill/decide/routingtable"
	"willowsill/deployment"
	"willowsill/deployment/settings"
	"willowsill/front/clienthttp"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/replicahttp"
	"willowsill/transport/roster"
	"willowsill/transport/watch"
)

// ErrProxy is the class of this package's errors.
var ErrProxy = oops.Code("proxy")

const (
	heldMost   = 20000 // queries and parts that the node holds at the most
	budgetLook = time.Second
	stayOpen   = 2500 * time.Millisecond // after SIGTERM, until the platform sends no more
	graceSpare = 400 * time.Millisecond
)

// Server is a running proxy.
type Server struct {
	settings settings.Settings
	node     *node.Node
	pool     *replicahttp.Pool
	handler  *clienthttp.Handler
	servers  *clienthttp.Servers
	address  net.Addr
	count    *counters.Counters

	mu        sync.Mutex // guards table and what is told to the node by it
	book      *clusterstate.State
	table     *routingtable.Table
	readiness follower.Readiness
	fresh     clusterstate.Freshness // as the agent said it at freshAt
	freshAt   int64
	rows      []*counters.Workload
	served    []balance.Workload

	knows   atomic.Bool // a configuration and a snapshot were there once
	leaving atomic.Bool
}

// Run runs a proxy until ctx ends and then serves on for as long as clients come.
func Run(ctx context.Context, s settings.Settings) error {
	seed := rand.Uint64()
	h := &Server{settings: s, count: counters.New(nil), book: clusterstate.NewState()}
	clock := node.NewClock()
	h.table = routingtable.New(clock.Now(), s)
	h.node = node.New(node.Plan{Clock: clock, Deployment: deployment.Deployment{Deployment: routingtable.Deployment(s, seed)},
		Terms: deployment.Terms{MostHeld: heldMost}, Count: h.count, Log: zap.NewNop(), Ask: func() {},
		Carry: func(tell func(any), now func() int64) node.Carrier {
			h.pool = replicahttp.NewPool(tell, now)
			return h.pool
		}})
	front, err := net.Listen("tcp", s.Bind.Front)
	if err != nil {
		return ErrProxy.Wrapf(err, "bind-addrs.front")
	}
	ready, err := net.Listen("tcp", s.Bind.Readiness)
	if err != nil {
		return ErrProxy.Wrapf(err, "bind-addrs.readiness")
	}
	h.handler = &clienthttp.Handler{Core: h.node, Now: clock.Now}
	h.servers, h.address = &clienthttp.Servers{Handler: h.handler}, front.Addr()
	inner, end := context.WithCancel(context.Background())
	defer end()
	up := watch.Follower{Report: h.report, Take: h.take, Sign: h.heard,
		Addresses: func() []string { return []string{s.Inner(s.Loopback(), settings.PortAgent)} }}
	go up.Run(inner)
	go h.budget(inner)
	go h.tally(inner)
	go (&http.Server{Handler: http.HandlerFunc(h.ready), ReadHeaderTimeout: time.Second}).Serve(ready)
	go h.accept(front)
	<-ctx.Done()
	h.leave(front)
	return nil
}

// accept takes clients in once there is a configuration; until then they wait to be accepted.
func (h *Server) accept(front net.Listener) {
	for !h.knows.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	h.servers.Accept(front)
}

// leave ends in order: clients are told to go while they are still served, then what is under way is waited
// for.
//
// Danger: the platform goes on sending for as long as it has not noticed; a request that was read must be
// answered.
func (h *Server) leave(front net.Listener) {
	until := time.Now().Add(time.Duration(h.settings.Bounds.GraceS*float64(time.Second)) - graceSpare)
	klog.InfoS("leaving")
	h.leaving.Store(true)
	h.handler.Leaving.Store(true)
	time.Sleep(min(stayOpen, time.Until(until)/2))
	front.Close()
	wait, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range h.servers.All() {
		all.Go(func() { s.Shutdown(wait) })
	}
	all.Wait()
	klog.InfoS("left", "late", wait.Err() != nil)
}

// ready answers the platform, which reads the status alone; the body says to people how old the knowledge here is.
func (h *Server) ready(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	now := h.node.Now()
	ready := h.readiness.Ready(now) && !h.leaving.Load()
	state := readinessState{Ready: ready, Behind: h.readiness.Behind(now), Known: h.fresh.Known, NewestRevision: h.fresh.Revision,
		AgeMs: (h.fresh.Age + now - h.freshAt) / int64(time.Millisecond)}
	if h.book != nil {
		state.Revision = h.book.Revision
	}
	h.mu.Unlock()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	body := state.encode()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// report is what the proxy says to the agent beside it.
func (h *Server) report() watch.Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := controller.EdgeReport{Edge: clusterstate.Edge{IP: h.settings.IP, Zone: h.settings.Zone}}
	return watch.Report{Self: self, Revision: h.book.Revision}
}

// heard takes how fresh the agent's knowledge is.
func (h *Server) heard(fresh clusterstate.Freshness) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh, h.freshAt = fresh, h.node.Now()
	h.readiness.Heard(h.freshAt, fresh)
}

// take takes a notice from the agent.
func (h *Server) take(n clusterstate.Update) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n = h.book.Take(n)
	c := h.table.Take(h.node.Now(), n)
	if c.Err != nil {
		klog.ErrorS(c.Err, "a configuration cannot be used", "revision", n.Revision)
	}
	if c.State != nil {
		h.served = c.Workloads
		for len(h.rows) < len(c.Workloads) {
			h.rows = append(h.rows, &counters.Workload{})
		}
	}
	if c.State != nil || c.Budget {
		h.serving(c.FurtherFree)
	}
	if len(c.Replicas) > 0 {
		h.node.News(context.Background(), h.news(c.Replicas))
	}
	if c.State != nil {
		h.servers.Limit(h.address, c.State.Config.Limits)
		h.handler.Serve(c.State)
		klog.InfoS("serving", "revision", c.State.Config.Revision, "routes", len(c.State.Config.Routes))
		h.readiness.Configured(h.node.Now(), c.State.Config.Revision)
		h.knows.Store(true)
	}
	h.book.Forget()
	return !h.book.Behind
}

// serving tells the node what is served, and this edge's free further executions.
func (h *Server) serving(free float64) {
	h.node.Serving(node.Serving{Workloads: h.served, Rows: h.rows, FurtherFree: free})
}

// news is what the node is told of replicas.
func (h *Server) news(records []registry.Record) (n roster.News) {
	for _, r := range records {
		e := roster.Entry{Host: r.ID, Dial: replicahttp.Dial(r.ID, r.Address), Cell: h.table.Slot(r.Service), Zone: r.Zone,
			Distance: h.table.Distance(r.Zone), Channels: h.table.Channels(r.Service)}
		switch r.Phase {
		case registry.Draining:
			e.Standing = balance.Draining
		case registry.Silent, registry.Gone:
			e.Standing = balance.Gone
		}
		n.Entries = append(n.Entries, e)
	}
	return n
}

// budget looks whether this edge's share of the budget has changed with time alone.
func (h *Server) budget(ctx context.Context) {
	t := time.NewTicker(budgetLook)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.mu.Lock()
			if free, changed := h.table.Free(h.node.Now()); changed {
				h.serving(free)
			}
			h.mu.Unlock()
		}
	}
}
