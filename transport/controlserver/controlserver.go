// Package controlserver runs a controller: it owns the controller's sockets, disk and clock, turns messages and
// HTTP requests into calls of decide/controller, and carries out the effects that those return. It makes no
// decisions of its own.
package controlserver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/lease"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
	"willowsill/deployment/memoryplan"
	"willowsill/deployment/settings"
	"willowsill/transport/boundedread"
	"willowsill/transport/daemon"
	"willowsill/transport/listen"
	"willowsill/transport/metrics"
	"willowsill/transport/peer"
	"willowsill/transport/statestore"
	"willowsill/transport/watch"
)

// ErrControlServer builds this package's errors, which have the code control_server.
var ErrControlServer = oops.Code("control_server")

// Program is the daemon that runs a controller.
var Program = daemon.Program{Name: "controller", Purpose: "serves replicas and operators", Required: []settings.Key{settings.KeyControl, settings.KeyDataDir, settings.KeySeedNodes}, Start: Start}

const (
	inputQueue        = 1024                   // inputs that may wait for the loop
	inputBatch        = 64                     // inputs handled before the next check of the timer
	maxTickDelay      = 50 * time.Millisecond  // longest time between two checks of the timer
	drainTimeout      = 400 * time.Millisecond // how long a planned shutdown waits for calls in progress
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 5 * time.Second // longest time to read a whole request
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Server is a running controller: the decider with its sockets and its disk.
type Server struct {
	settings    settings.Settings
	base        time.Time
	controller  *controller.Controller
	inputs      chan func(now int64) controller.Effects
	saves       chan controller.Save
	mesh        *peer.Mesh
	feed        watch.Feed
	operators   watch.Feed   // watches of operators, which get updates about all replicas
	loans       *watch.Loans // relays loans of unused retry budget
	lastCurrent atomic.Pointer[currentInfo]
	callCounts  callCounts
	callMemory  *boundedread.Budget // for the calls of replicas and operators

	mu       sync.Mutex                        // guards calls and lastCall
	calls    map[uint64]chan controller.Answer // waiting calls, by number
	lastCall uint64                            // the highest number used
}

// Start opens what a controller cannot do without, the port between controllers and the state file, and returns what runs it. It
// waits until both can be had or ctx ends.
func Start(ctx context.Context, local settings.Settings) (daemon.Serve, error) {
	s := &Server{settings: local, callMemory: memoryplan.Calls.Budget(local.Limits), base: time.Now().Add(-time.Hour), loans: watch.NewLoans(local.Bounds.RetryWindow()),
		inputs: make(chan func(int64) controller.Effects, inputQueue),
		saves:  make(chan controller.Save, 1), calls: map[uint64]chan controller.Answer{}}
	// Danger: two processes that write one state file destroy it. So this port is opened first: only one process at a time has it.
	peers, err := listen.TCP(ctx, klog.ErrorS, s.internalEndpoint(settings.PortControllers))
	if err != nil {
		return nil, ErrControlServer.Wrap(err)
	}
	store, err := s.start(ctx)
	if err != nil {
		peers.Close()
		return nil, ErrControlServer.Wrap(err)
	}
	return func(ctx context.Context) { s.serve(ctx, peers, store) }, nil
}

// internalEndpoint returns one of this machine's ports for traffic between the system's processes.
func (s *Server) internalEndpoint(port int) listen.Endpoint {
	return listen.Endpoint{Setting: "internal-ports", Address: s.settings.InternalAddress(s.settings.IP, port)}
}

// serve runs the controller until ctx ends. Then the controller announces its shutdown, and calls in progress may finish within
// drainTimeout.
func (s *Server) serve(ctx context.Context, peers net.Listener, store *statestore.Store) {
	defer peers.Close()
	running, cancelRunning := context.WithCancel(context.Background())
	defer cancelRunning()
	edges := listen.Later(running, klog.ErrorS, s.internalEndpoint(settings.PortWatch))
	defer edges.Close()
	calls := listen.Later(running, klog.ErrorS, listen.Endpoint{Setting: "bind-addrs.control", Address: s.settings.Bind.Control})
	s.mesh = peer.NewMesh(running)
	frames := memoryplan.Frames.Budget(s.settings.Limits)
	go peer.Serve(peers, frames, s.receivePeer)
	go peer.Serve(edges, frames, s.serveDownstream)
	go s.saveLoop(store)
	go s.feed.SendHeartbeats(running, s.freshness)
	go s.operators.SendHeartbeats(running, s.freshness)
	metrics.Serve(running, s.settings.IP, s.settings.Metrics, s.writeMetrics)
	httpServer := &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	s.callMemory.BoundHeads(httpServer)
	go func() {
		if err := httpServer.Serve(s.callMemory.Listener(calls)); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "the control server ended")
		}
	}()
	s.loop(ctx)
	wait, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	go func() {
		httpServer.Shutdown(wait)
		cancel()
	}()
	s.loop(wait)
}

// start opens the state file and creates the controller with what the file holds.
func (s *Server) start(ctx context.Context) (*statestore.Store, error) {
	local := s.settings
	opened, err := openState(ctx, local.DataDir, func(err error) { klog.ErrorS(err, "waiting for the disk") })
	if err != nil {
		return nil, err
	}
	found := opened.found
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	klog.InfoS("controller", "ip", local.IP, "bootstrap", local.Bootstrap, "found", found.State != nil, "committed", found.Committed.Revision, "sum", found.Committed.Sum,
		"replicas", len(found.Replicas))
	s.controller = controller.New(s.now(), controller.Options{IP: local.IP, Incarnation: incarnation, Zone: local.Zone, Regions: local.Zones, Seeds: local.SeedIPs(),
		// A damaged disk is not the empty disk of a first start.
		Bootstrap:                local.Bootstrap && !opened.damaged,
		FaultBudget:              faultBudget(local.FaultBudget),
		KnownControllers:         found.KnownControllers,
		ReplicaHeartbeatInterval: local.HeartbeatInterval(), RolloutTerms: rollout.Bounds{ExposureShare: float64(local.Bounds.ExposureShare)}, Random: rand.Float64,
		RegisterState: found.State, CommittedConfiguration: found.Committed, Rollouts: found.Rollouts, Replicas: found.Replicas})
	return opened.store, nil
}

// faultBudget returns what may be lost at once, nil if the settings do not say.
func faultBudget(budget *settings.FaultBudget) *controller.FaultBudget {
	if budget == nil {
		return nil
	}
	return &controller.FaultBudget{Machines: int(budget.Machines), Zones: int(budget.Zones), Regions: int(budget.Regions)}
}

func (s *Server) now() int64 { return int64(time.Since(s.base)) }

// currentInfo states how current the controller's state was when the loop last recorded it.
type currentInfo struct {
	since           int64 // when the controller last held all that had been acknowledged, on the server's clock
	epoch, revision uint64
}

// recordCurrent updates lastCurrent. Only the loop calls it.
func (s *Server) recordCurrent() {
	s.lastCurrent.Store(&currentInfo{s.controller.CurrentSince(), s.controller.Epoch(), s.controller.Revision()})
}

// freshness returns the current freshness for the messages to downstream edges. It may be called from any
// goroutine.
//
// Danger: a process that was stopped for seconds would report an outdated age. So the age is computed when it
// is reported, not when the state was recorded.
func (s *Server) freshness() clusterstate.Freshness {
	recorded := s.lastCurrent.Load()
	if recorded == nil {
		return clusterstate.Freshness{}
	}
	f := clusterstate.Freshness{Epoch: recorded.epoch, Revision: recorded.revision}
	if recorded.since != lease.Never {
		f.Known, f.Age = true, max(s.now()-recorded.since, 0)
	}
	return f
}

// loop is the only goroutine that calls the controller.
func (s *Server) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.applyEffects(s.controller.AnnounceShutdown(s.now()))
			return
		case input := <-s.inputs:
			s.applyEffects(input(s.now()))
			for range min(len(s.inputs), inputBatch) {
				s.applyEffects((<-s.inputs)(s.now()))
			}
		case <-timer.C:
		}
		if now := s.now(); now >= s.controller.NextTick() {
			s.applyEffects(s.controller.Tick(now))
		}
		s.recordCurrent()
		timer.Reset(min(max(time.Duration(s.controller.NextTick()-s.now()), time.Millisecond), maxTickDelay))
	}
}

// applyEffects carries out the effects that the controller returns: log lines, saves, messages, answers and
// updates.
func (s *Server) applyEffects(effects controller.Effects) {
	for _, line := range effects.Log {
		klog.InfoS(line.Text, line.Values...)
	}
	if effects.Save != nil {
		s.saves <- *effects.Save
	}
	for _, send := range effects.Sends {
		frame, err := peer.Encode(send.Message)
		if err != nil {
			klog.ErrorS(err, "a message cannot be encoded")
			continue
		}
		for _, ip := range send.To {
			s.mesh.Send(s.settings.InternalAddress(ip, settings.PortControllers), frame)
		}
	}
	for _, a := range effects.Answers {
		s.mu.Lock()
		waiting := s.calls[a.Call]
		delete(s.calls, a.Call)
		s.mu.Unlock()
		if waiting != nil {
			waiting <- a
		}
	}
	if !effects.Update.Empty() {
		s.recordCurrent()
		s.feed.Publish(&effects.Update, s.freshness())
	}
	if !effects.FullUpdate.Empty() {
		s.operators.Publish(&effects.FullUpdate, s.freshness())
	}
}

// receivePeer passes the messages of another controller to this one until the link ends.
func (s *Server) receivePeer(link *peer.Link) {
	for {
		var message controller.Message
		if err := link.Receive(&message, 0); err != nil {
			return
		}
		s.inputs <- func(now int64) controller.Effects { return s.controller.HandleMessage(now, message) }
	}
}

// serveDownstream serves an agent or an operator's watch until its link ends.
func (s *Server) serveDownstream(link *peer.Link) {
	watch.ReceiveReports(link, func(report watch.Report) {
		s.inputs <- func(int64) controller.Effects {
			if report.IsOperator() {
				s.operators.Join(link, report, s.controller.FullSnapshot(), s.freshness())
			} else {
				s.feed.Join(link, report, s.controller.Snapshot(), s.freshness())
			}
			return controller.Effects{}
		}
	}, func(report watch.Report) {
		for _, edge := range report.All() {
			s.inputs <- func(now int64) controller.Effects { return s.controller.HandleEdgeReport(now, edge) }
		}
		s.loans.HandleReport(link, report, s.freshness())
	})
	s.feed.Leave(link)
	s.operators.Leave(link)
}

// call makes a call to the controller and waits for its answer. It returns false if ctx ended first.
func (s *Server) call(ctx context.Context, call func(now int64, call uint64) controller.Effects) (controller.Answer, bool) {
	answers := make(chan controller.Answer, 1)
	s.mu.Lock()
	s.lastCall++
	id := s.lastCall
	s.calls[id] = answers
	s.mu.Unlock()
	select {
	case s.inputs <- func(now int64) controller.Effects { return call(now, id) }:
	case <-ctx.Done():
		return controller.Answer{}, false
	}
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.calls, id)
		s.mu.Unlock()
		return controller.Answer{}, false
	}
}

// replicaCall passes a replica's heartbeat or departure to the controller and waits for its answer.
func (s *Server) replicaCall(ctx context.Context, r registry.Record) (controller.Answer, bool) {
	return s.call(ctx, func(now int64, id uint64) controller.Effects { return s.controller.HandleReplicaCall(now, id, r) })
}
