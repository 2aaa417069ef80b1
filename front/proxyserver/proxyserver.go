// Package proxyserver runs a proxy. It owns the connections to clients, to replicas and to the agent on the same
// machine. Requests are handled by a node of the same package that aggregators use; this package makes no policy
// decisions.
package proxyserver

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"k8s.io/klog/v2"

	"willowsill/balance"
	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/follower"
	"willowsill/decide/lending"
	"willowsill/decide/registry"
	"willowsill/decide/routeconfig"
	"willowsill/decide/routingtable"
	"willowsill/deployment"
	"willowsill/deployment/memoryplan"
	"willowsill/deployment/settings"
	"willowsill/front/clienthttp"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/daemon"
	"willowsill/transport/discovery"
	"willowsill/transport/listen"
	"willowsill/transport/metrics"
	"willowsill/transport/replicahttp"
	"willowsill/transport/watch"
)

// ErrProxy builds this package's errors, which carry the code "proxy".
var ErrProxy = oops.Code("proxy")

// Program is the daemon that runs a proxy.
var Program = daemon.Program{Name: "proxy", Purpose: "serves clients", Required: []settings.Key{settings.KeyFront, settings.KeyReadiness}, Start: Start}

const (
	maxHeld = 20000 // limit of queries and parts that the node holds
	// New connections are accepted for this long after SIGTERM, as the platform still sends some.
	stayOpen   = 2500 * time.Millisecond
	stopMargin = 400 * time.Millisecond // time kept free at the end of the platform's grace period
	startPoll  = 5 * time.Millisecond   // interval of checks whether the first configuration has been applied

	readinessHeadBytes   = 8 << 10
	readinessConnections = 64
)

// Server is a running proxy.
type Server struct {
	settings settings.Settings
	node     *node.Node
	pool     *replicahttp.Pool
	handler  *clienthttp.Handler
	servers  *clienthttp.Servers
	address  net.Addr
	counters *counters.Counters

	mu          sync.Mutex // guards the fields of this group, and orders the calls that pass changes to the node
	state       *clusterstate.State
	table       *routingtable.Table
	readiness   follower.Readiness
	freshness   clusterstate.Freshness // how current the agent's knowledge was at freshnessAt
	freshnessAt int64                  // time of the agent's last report, ns
	counterRows []*counters.Workload
	routes      []routeconfig.Route         // routes of the configuration in force
	rowByRoute  map[routeconfig.RouteID]int // index in counterRows for each route
	workloads   []balance.Workload
	account     *lending.Account // lending of retries between edges
	evidence    *rolloutEvidence // outcomes at replicas of services with a rollout
	retrySlack  float64          // retries beyond the ratio that this edge may make, as set in the node

	configured atomic.Bool // a configuration has been applied
	leaving    atomic.Bool
}

// Start opens the listener for clients and returns what runs a proxy. It waits until the listener can be opened or ctx ends.
func Start(ctx context.Context, local settings.Settings) (daemon.Serve, error) {
	front, err := listen.TCP(ctx, klog.ErrorS, listen.Endpoint{Setting: "bind-addrs.front", Address: local.Bind.Front})
	if err != nil {
		return nil, ErrProxy.Wrap(err)
	}
	s := newServer(local)
	return func(ctx context.Context) { s.serve(ctx, front) }, nil
}

// newServer returns a proxy that serves nobody yet.
func newServer(local settings.Settings) *Server {
	seed := rand.Uint64()
	s := &Server{settings: local, counters: counters.New(nil), state: clusterstate.NewState()}
	clock := node.NewClock()
	s.table = routingtable.New(clock.Now(), local)
	s.account = lending.NewAccount(clock.Now(), lending.DefaultTiming(local.Bounds.RetryWindow()))
	s.evidence = newEvidence(seed)
	s.node = node.New(node.Options{Clock: clock, Deployment: deployment.Deployment{Deployment: routingtable.Deployment(local, seed)},
		Limits: deployment.Limits{MaxHeld: maxHeld}, Count: s.counters, Log: zap.NewNop(), RequestList: func() {}, Observer: s.evidence,
		NewTransport: func(notify func(any), now func() int64) node.Transport {
			s.pool = replicahttp.NewPool(notify, now)
			s.pool.Memory = memoryplan.Answers.Budget(local.Limits)
			return s.pool
		}})
	s.handler = &clienthttp.Handler{Core: s.node, Now: clock.Now, Bodies: memoryplan.RequestBodies.Budget(local.Limits)}
	s.servers = &clienthttp.Servers{Handler: s.handler, Heads: memoryplan.RequestHeads.Budget(local.Limits)}
	return s
}

// serve runs the proxy until ctx ends, and then until the requests in progress have been answered or the platform's grace period is
// nearly over.
func (s *Server) serve(ctx context.Context, front net.Listener) {
	local := s.settings
	s.address = front.Addr()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	ready := listen.Later(background, klog.ErrorS, listen.Endpoint{Setting: "bind-addrs.readiness", Address: local.Bind.Readiness})
	upstream := watch.Upstream{Frames: memoryplan.Frames.Budget(local.Limits), Report: s.buildReport, Apply: s.applyUpdate, OnFreshness: s.handleFreshness, OnLending: s.handleLendingMessage,
		Addresses: func() []string { return []string{local.InternalAddress(local.Loopback(), settings.PortAgent)} }}
	go upstream.Run(background)
	go s.pollRetrySlack(background)
	go s.logServed(background)
	metrics.Serve(background, local.IP, local.Metrics, s.writeMetrics)
	readiness := &http.Server{Handler: http.HandlerFunc(s.serveReadiness), ReadHeaderTimeout: time.Second, MaxHeaderBytes: readinessHeadBytes}
	go readiness.Serve(netutil.LimitListener(ready, readinessConnections))
	go s.accept(front)
	<-ctx.Done()
	s.drain(front)
}

// accept accepts clients once a configuration has been applied. Until then their connections wait in the kernel's
// queue.
func (s *Server) accept(front net.Listener) {
	for !s.configured.Load() {
		time.Sleep(startPoll)
	}
	s.servers.Accept(front)
}

// drain shuts the proxy down: for a while it still serves clients, with every answer closing its connection, then
// it waits for the requests in progress, until the grace period is nearly over.
//
// Danger: the platform goes on sending requests until it notices the shutdown. A request that was read must be
// answered.
func (s *Server) drain(front net.Listener) {
	deadline := time.Now().Add(s.settings.Bounds.Grace() - stopMargin)
	klog.InfoS("leaving")
	s.leaving.Store(true)
	s.handler.Draining.Store(true)
	time.Sleep(min(stayOpen, time.Until(deadline)/2))
	front.Close()
	wait, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, server := range s.servers.All() {
		shutdowns.Go(func() { server.Shutdown(wait) })
	}
	shutdowns.Wait()
	klog.InfoS("left", "late", wait.Err() != nil)
}

// serveReadiness answers the platform's readiness check. The platform reads only the status; the body tells
// operators how current the configuration is.
func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.node.Now()
	ready := s.readiness.Ready(now) && !s.leaving.Load()
	answer := readinessState{Ready: ready, Behind: s.readiness.Behind(now), Known: s.freshness.Known, NewestRevision: s.freshness.Revision,
		AgeMs: (s.freshness.Age + now - s.freshnessAt) / int64(time.Millisecond)}
	if s.state != nil {
		answer.Revision = s.state.Revision
	}
	s.mu.Unlock()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	body := answer.encode()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// buildReport returns the report that the proxy sends to its agent.
func (s *Server) buildReport() watch.Report {
	lendingMessage := s.nextLendingMessage()
	s.mu.Lock()
	defer s.mu.Unlock()
	self := controller.EdgeReport{Edge: clusterstate.Edge{IP: s.settings.IP, Zone: s.settings.Zone}, Rollouts: s.evidence.report()}
	return watch.Report{Self: self, Revision: s.state.Revision, Lending: lendingMessage}
}

// handleFreshness records how current the agent's knowledge is.
func (s *Server) handleFreshness(fresh clusterstate.Freshness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness, s.freshnessAt = fresh, s.node.Now()
	s.readiness.HandleFreshness(s.freshnessAt, fresh)
}

// applyUpdate merges an update from the agent into the state and applies the changes. It returns false if the
// update is a patch of a state that this edge does not hold, so that it needs a snapshot.
func (s *Server) applyUpdate(update clusterstate.Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	update = s.state.Apply(update)
	change := s.table.Apply(s.node.Now(), update)
	if change.Err != nil {
		klog.ErrorS(change.Err, "a configuration cannot be used", "revision", update.Revision)
	}
	if change.State != nil {
		s.workloads = change.Workloads
		s.updateCounterRows(change.State.Config.Routes, change.State.Rows)
		s.evidence.setRoutes(change.State.Rows)
	}
	s.account.SetShare(change.RetrySlack)
	if !s.updateRetrySlack(s.node.Now()) && change.State != nil {
		s.setWorkloads()
	}
	if change.Rollouts {
		s.evidence.watch(s.table.Rollouts())
	}
	if len(change.Replicas) > 0 {
		s.node.ApplyList(context.Background(), s.replicaList(change.Replicas))
	}
	if change.State != nil {
		s.servers.SetLimits(s.address, change.State.Config.Limits)
		s.pool.SetRequestHeadLimit(clienthttp.HeadLimit(change.State.Config.Limits))
		s.handler.SetState(change.State)
		klog.InfoS("serving", "revision", change.State.Config.Revision, "sum", s.state.Sum, "routes", len(change.State.Config.Routes))
		s.readiness.Configured(s.node.Now(), change.State.Config.Revision)
		s.configured.Store(true)
	}
	s.state.DropGone()
	return !s.state.NeedsSnapshot
}

// updateCounterRows gives new counters to each route that is new or has moved to another row.
func (s *Server) updateCounterRows(routes []routeconfig.Route, rowByRoute map[routeconfig.RouteID]int) {
	s.counterRows = slices.Clone(s.counterRows) // the node still reads the previous slice
	for len(s.counterRows) < len(s.workloads) {
		s.counterRows = append(s.counterRows, &counters.Workload{})
	}
	for route, row := range rowByRoute {
		if previous, served := s.rowByRoute[route]; !served || previous != row {
			s.counterRows[row] = &counters.Workload{}
		}
	}
	s.routes, s.rowByRoute = routes, rowByRoute
}

// setWorkloads sets in the node which workloads are served, and how many retries this edge may make beyond its
// ratio.
func (s *Server) setWorkloads() {
	s.node.SetWorkloads(node.WorkloadSet{Workloads: s.workloads, Counters: s.counterRows, RetrySlack: s.retrySlack})
}

// replicaList converts records of replicas to entries for the node. It leaves out replicas of services that have
// no shard.
func (s *Server) replicaList(records []registry.Record) (n discovery.Update) {
	for _, r := range records {
		shard, found := s.table.Shard(r.Service)
		if !found {
			klog.InfoS("a replica is not used: its service has no shard", "replica", r.ID, "service", r.Service)
			continue
		}
		entry := discovery.Entry{Host: r.ID, Dial: replicahttp.DestinationAddress(r.ID, r.Address), Cell: shard, Zone: r.Zone,
			Distance: s.table.Distance(r.Zone), MaxCalls: s.table.MaxCalls(r.Service)}
		switch r.Phase {
		case registry.Ready:
			if !s.table.Admits(r) { // its executions in progress continue
				entry.Status = balance.Draining
			}
		case registry.Draining:
			entry.Status = balance.Draining
		case registry.Silent, registry.Gone:
			entry.Status = balance.Gone
		}
		n.Entries = append(n.Entries, entry)
	}
	return n
}
