// Package proxyserver runs a proxy: it owns the sockets to clients, to replicas and to the agent beside it. The node
// in the middle, with its decision module, is that of the co-ordinator in service. It decides nothing.
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
	"willowsill/deployment/settings"
	"willowsill/front/clienthttp"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/discovery"
	"willowsill/transport/metrics"
	"willowsill/transport/replicahttp"
	"willowsill/transport/watch"
)

// ErrProxy is the class of this package's errors.
var ErrProxy = oops.Code("proxy")

const (
	maxHeld     = 20000                   // queries and parts that the node holds at the most
	stayOpen    = 2500 * time.Millisecond // after SIGTERM, until the platform sends no more
	graceMargin = 400 * time.Millisecond  // the proxy ends so long before its grace does
	startPoll   = 5 * time.Millisecond    // between two looks whether there is a configuration
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

	mu        sync.Mutex // guards table and what is told to the node by it
	state     *clusterstate.State
	table     *routingtable.Table
	readiness follower.Readiness
	fresh     clusterstate.Freshness // as the agent said it at freshAt
	freshAt   int64
	rows      []*counters.Workload
	routes    []routeconfig.Route         // that are served
	rowOf     map[routeconfig.RouteID]int // the row of each
	served    []balance.Workload
	account   *lending.Account // of retries beyond the ratio
	evidence  *evidence        // of rollouts
	free      float64          // of these, what the node was told last

	knows   atomic.Bool // a configuration and a snapshot were there once
	leaving atomic.Bool
}

// Run runs a proxy until ctx ends and then serves on for as long as clients come.
func Run(ctx context.Context, local settings.Settings) error {
	seed := rand.Uint64()
	s := &Server{settings: local, counters: counters.New(nil), state: clusterstate.NewState()}
	clock := node.NewClock()
	s.table = routingtable.New(clock.Now(), local)
	s.account = lending.NewAccount(clock.Now(), lending.DefaultTiming(local.Bounds.RetryWindow()))
	s.evidence = newEvidence(seed)
	s.node = node.New(node.Options{Clock: clock, Deployment: deployment.Deployment{Deployment: routingtable.Deployment(local, seed)},
		Terms: deployment.Terms{MostHeld: maxHeld}, Count: s.counters, Log: zap.NewNop(), RequestList: func() {}, Observer: s.evidence,
		NewTransport: func(tell func(any), now func() int64) node.Transport {
			s.pool = replicahttp.NewPool(tell, now)
			return s.pool
		}})
	front, err := net.Listen("tcp", local.Bind.Front)
	if err != nil {
		return ErrProxy.Wrapf(err, "bind-addrs.front")
	}
	ready, err := net.Listen("tcp", local.Bind.Readiness)
	if err != nil {
		return ErrProxy.Wrapf(err, "bind-addrs.readiness")
	}
	s.handler = &clienthttp.Handler{Core: s.node, Now: clock.Now}
	s.servers, s.address = &clienthttp.Servers{Handler: s.handler}, front.Addr()
	inner, end := context.WithCancel(context.Background())
	defer end()
	up := watch.Follower{Report: s.report, Take: s.take, Sign: s.heard, Note: s.borrow,
		Addresses: func() []string { return []string{local.Inner(local.Loopback(), settings.PortAgent)} }}
	go up.Run(inner)
	go s.budget(inner)
	go s.tally(inner)
	metrics.Serve(inner, local.IP, local.Metrics, s.figures)
	go (&http.Server{Handler: http.HandlerFunc(s.ready), ReadHeaderTimeout: time.Second}).Serve(ready)
	go s.accept(front)
	<-ctx.Done()
	s.leave(front)
	return nil
}

// accept takes clients in once there is a configuration; until then they wait to be accepted.
func (s *Server) accept(front net.Listener) {
	for !s.knows.Load() {
		time.Sleep(startPoll)
	}
	s.servers.Accept(front)
}

// leave drains the proxy: clients are told to close their connections while they are still served, then the requests
// under way are waited for, as long as the grace allows.
//
// Danger: the platform goes on sending for as long as it has not noticed; a request that was read must be
// answered.
func (s *Server) leave(front net.Listener) {
	until := time.Now().Add(time.Duration(s.settings.Bounds.GraceS*float64(time.Second)) - graceMargin)
	klog.InfoS("leaving")
	s.leaving.Store(true)
	s.handler.Leaving.Store(true)
	time.Sleep(min(stayOpen, time.Until(until)/2))
	front.Close()
	wait, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var all sync.WaitGroup
	for _, server := range s.servers.All() {
		all.Go(func() { server.Shutdown(wait) })
	}
	all.Wait()
	klog.InfoS("left", "late", wait.Err() != nil)
}

// ready answers the platform, which reads the status alone; the body says to people how old the knowledge here is.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.node.Now()
	ready := s.readiness.Ready(now) && !s.leaving.Load()
	answer := readinessState{Ready: ready, Behind: s.readiness.Behind(now), Known: s.fresh.Known, NewestRevision: s.fresh.Revision,
		AgeMs: (s.fresh.Age + now - s.freshAt) / int64(time.Millisecond)}
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

// report is what the proxy says to the agent beside it.
func (s *Server) report() watch.Report {
	note := s.lend()
	s.mu.Lock()
	defer s.mu.Unlock()
	self := controller.EdgeReport{Edge: clusterstate.Edge{IP: s.settings.IP, Zone: s.settings.Zone}, Rollouts: s.evidence.report()}
	return watch.Report{Self: self, Revision: s.state.Revision, Lending: note}
}

// heard takes how fresh the agent's knowledge is.
func (s *Server) heard(fresh clusterstate.Freshness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh, s.freshAt = fresh, s.node.Now()
	s.readiness.HandleFreshness(s.freshAt, fresh)
}

// take merges an update from the agent into the state and puts what is new in force. It returns false where the update
// is a patch of another state than the one held, so that a snapshot is needed.
func (s *Server) take(update clusterstate.Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	update = s.state.Apply(update)
	change := s.table.Apply(s.node.Now(), update)
	if change.Err != nil {
		klog.ErrorS(change.Err, "a configuration cannot be used", "revision", update.Revision)
	}
	if change.State != nil {
		s.served = change.Workloads
		s.renewRows(change.State.Config.Routes, change.State.Rows)
		s.evidence.serve(change.State.Rows)
	}
	s.account.SetShare(change.RetrySlack)
	if !s.renewFree(s.node.Now()) && change.State != nil {
		s.serving()
	}
	if change.Rollouts {
		s.evidence.watch(s.table.Rollouts())
	}
	if len(change.Replicas) > 0 {
		s.node.ApplyList(context.Background(), s.news(change.Replicas))
	}
	if change.State != nil {
		s.servers.Limit(s.address, change.State.Config.Limits)
		s.handler.Serve(change.State)
		klog.InfoS("serving", "revision", change.State.Config.Revision, "sum", s.state.Sum, "routes", len(change.State.Config.Routes))
		s.readiness.Configured(s.node.Now(), change.State.Config.Revision)
		s.knows.Store(true)
	}
	s.state.DropGone()
	return !s.state.NeedsSnapshot
}

// renewRows gives each route that is new, or has taken another's row, counts that begin at 0.
func (s *Server) renewRows(routes []routeconfig.Route, rowOf map[routeconfig.RouteID]int) {
	s.rows = slices.Clone(s.rows) // the node reads the former one
	for len(s.rows) < len(s.served) {
		s.rows = append(s.rows, &counters.Workload{})
	}
	for route, row := range rowOf {
		if former, served := s.rowOf[route]; !served || former != row {
			s.rows[row] = &counters.Workload{}
		}
	}
	s.routes, s.rowOf = routes, rowOf
}

// serving tells the node which workloads are served, and how many retries this edge may make beyond its ratio.
func (s *Server) serving() {
	s.node.SetWorkloads(node.WorkloadSet{Workloads: s.served, Counters: s.rows, RetrySlack: s.free})
}

// news translates records of replicas for the node.
func (s *Server) news(records []registry.Record) (n discovery.News) {
	for _, r := range records {
		slot, found := s.table.Shard(r.Service)
		if !found {
			klog.InfoS("a replica is not used: its service has no shard", "replica", r.ID, "service", r.Service)
			continue
		}
		entry := discovery.Entry{Host: r.ID, Dial: replicahttp.Dial(r.ID, r.Address), Cell: slot, Zone: r.Zone,
			Distance: s.table.Distance(r.Zone), Channels: s.table.MaxCalls(r.Service)}
		switch r.Phase {
		case registry.Ready:
			if !s.table.Admits(r) { // what it has under way goes on
				entry.Standing = balance.Draining
			}
		case registry.Draining:
			entry.Standing = balance.Draining
		case registry.Silent, registry.Gone:
			entry.Standing = balance.Gone
		}
		n.Entries = append(n.Entries, entry)
	}
	return n
}
