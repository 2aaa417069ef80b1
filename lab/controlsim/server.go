package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/lease"
	"willowsill/lab/controlsim/checker"
)

// Times of a control server, ns, as in transport/controlserver, transport/peer and transport/watch.
const (
	minTickInterval   = millisecond
	shutdownWait      = 400 * millisecond // time between the announcement of a shutdown and the end of the process
	redialDelay       = 150 * millisecond // time until the next attempt to connect to another controller after one has failed
	peerQueueLength   = 64                // maximum number of messages that wait for the connection to another controller
	freshnessInterval = 300 * millisecond // time between two messages with the freshness to downstream edges
	followerTimeout   = 5 * second        // a downstream edge without a report for this time is disconnected
	heartbeatInterval = second            // time between two heartbeats of a replica
	startSpread       = 300 * millisecond // machines that start together start within this time
)

// server is a controller with the disk, timers and connections that transport/controlserver gives it. Its disk outlives its processes.
type server struct {
	world     *world
	machine   *machine
	zone      string
	disk      *disk
	bootstrap bool // the next start is the first start of the whole system

	controller    *controller.Controller // state machine of the current process
	lastFreshness freshnessState
	shuttingDown  bool
	peers         map[string]*peerLink
	downstream    downstreamEdges
	tickAt        int64
	lastCall      uint64
	calls         map[uint64]func(controller.Answer)
}

// peerLink is the connection to another controller, with the messages that wait for it.
type peerLink struct {
	conn    *connection
	dialing bool
	queue   []controller.Message
}

// downstreamEdges is the set of connections over which a process sends updates to edges.
type downstreamEdges struct{ connections []*connection }

// updateMessage is a message to downstream edges. Without an update it only carries the sender's freshness.
type updateMessage struct {
	update    *clusterstate.Update
	freshness clusterstate.Freshness
}

// edgeReports is a message of an edge to its upstream: the reports of the edge and of all edges downstream of it, and the revision
// of its configuration.
type edgeReports struct {
	edges    []controller.EdgeReport
	revision uint64
}

// freshnessState is the last recorded state from which a controller's freshness is computed.
type freshnessState struct {
	known           bool
	since           int64 // the controller's CurrentSince, on the machine's clock
	epoch, revision uint64
}

// publish sends a message to all downstream edges, in the form for edges that accept differences between fleets.
func (f *downstreamEdges) publish(n updateMessage) {
	if n.update != nil {
		encoded := n.update.ForWire(true)
		n.update = &encoded
	}
	for _, l := range slices.Clone(f.connections) {
		l.send(1, n)
	}
}

func (f *downstreamEdges) remove(l *connection) {
	f.connections = slices.DeleteFunc(f.connections, func(o *connection) bool { return o == l })
}

// addController adds the machine of a controller. At the first start of the system its process starts within startSpread; otherwise
// the caller starts it.
func (w *world) addController(name string, first bool) *server {
	s := &server{world: w, zone: zoneName(len(w.servers) % zones), machine: w.addMachine(name, true),
		disk: &disk{world: w, syncTime: randomBetween(w.rng, minSyncTime, maxSyncTime)}, bootstrap: first}
	w.servers[name] = s
	w.setControllers(append(slices.Clone(w.controllers), name))
	w.history.Machines = append(w.history.Machines, checker.Machine{Name: name, IsController: true, From: w.now, Until: checker.Never})
	s.machine.startProcess = s.startProcess
	if first {
		w.scheduleAfter(randomBetween(w.rng, 0, startSpread), s.machine.start)
	}
	return s
}

// startProcess creates the controller of a new process from the content of the disk.
func (s *server) startProcess() {
	w, m := s.world, s.machine
	w.processes++
	rng := rand.New(rand.NewPCG(w.plan.Seed, 1000+uint64(w.processes)))
	start := controller.Options{IP: m.name, Incarnation: fmt.Sprint("life", w.processes), Zone: s.zone, Regions: w.regions, Seeds: initialSeeds(),
		Bootstrap: s.bootstrap, ReplicaHeartbeatInterval: heartbeatInterval, Random: rng.Float64}
	start.FaultBudget = &controller.FaultBudget{Machines: (w.plan.Controllers - 1) / 4}
	if found := s.disk.load(); found != nil && found.known != nil {
		start.KnownControllers = found.known
	} else if found != nil {
		state := found.state
		start.RegisterState, start.CommittedConfiguration, start.Rollouts, start.Replicas = &state, found.committed, found.rollouts, found.replicas
	}
	if !s.bootstrap {
		start.Seeds = w.randomSeeds()
	}
	s.bootstrap = false
	s.peers, s.downstream, s.calls = map[string]*peerLink{}, downstreamEdges{}, map[uint64]func(controller.Answer){}
	s.shuttingDown, s.lastFreshness, s.tickAt = false, freshnessState{}, 0
	s.controller = controller.New(m.clock(), start)
	m.every(freshnessInterval, func() { s.downstream.publish(updateMessage{freshness: s.freshness()}) })
	s.tick()
}

// tick runs the controller's timers that are due and schedules the next tick.
func (s *server) tick() {
	if now := s.machine.clock(); now >= s.controller.NextTick() {
		s.apply(s.controller.Tick(now))
	}
	s.recordFreshness()
	s.scheduleTick()
}

func (s *server) scheduleTick() {
	w, m := s.world, s.machine
	at := w.now + max(m.trueDuration(s.controller.NextTick()-m.clock()), minTickInterval)
	if s.tickAt > w.now && s.tickAt <= at {
		return
	}
	s.tickAt = at
	incarnation := m.incarnation
	w.scheduleAt(at, func() {
		if m.incarnation == incarnation && s.tickAt == at {
			m.dispatch(incarnation, func() {
				s.tickAt = 0
				s.tick()
			})
		}
	})
}

// applyAndTick applies the effects of a call of the controller and runs its timers that are due.
func (s *server) applyAndTick(o controller.Effects) {
	s.apply(o)
	s.tick()
}

// recordFreshness records the state from which freshness is computed.
func (s *server) recordFreshness() {
	s.lastFreshness = freshnessState{true, s.controller.CurrentSince(), s.controller.Epoch(), s.controller.Revision()}
}

// freshness returns the present freshness, as sent to downstream edges.
func (s *server) freshness() clusterstate.Freshness {
	fresh := clusterstate.Freshness{Epoch: s.lastFreshness.epoch, Revision: s.lastFreshness.revision}
	if s.lastFreshness.known && s.lastFreshness.since != lease.Never {
		fresh.Known, fresh.Age = true, max(s.machine.clock()-s.lastFreshness.since, 0)
	}
	return fresh
}

func (s *server) apply(o controller.Effects) {
	for _, l := range o.Log {
		if s.world.trace != nil {
			s.world.tracef(s.machine.name, "%s %v", l.Text, l.Values)
		}
	}
	if o.Save != nil {
		number := o.Save.Number
		s.disk.save(s.machine, *o.Save, func(err error) { s.applyAndTick(s.controller.SaveFinished(s.machine.clock(), number, err)) })
	}
	for _, send := range o.Sends {
		for _, to := range send.To {
			s.send(to, send.Message)
		}
	}
	for _, a := range o.Answers {
		answer := s.calls[a.Call]
		delete(s.calls, a.Call)
		if answer != nil {
			answer(a)
		}
	}
	if !o.Update.Empty() {
		s.recordFreshness()
		update := o.Update
		s.downstream.publish(updateMessage{&update, s.freshness()})
	}
}

// send sends a message to another controller, or queues it until there is a connection; a full queue drops its oldest message.
func (s *server) send(to string, m controller.Message) {
	l := s.peers[to]
	if l == nil {
		l = &peerLink{}
		s.peers[to] = l
	}
	if l.conn != nil {
		l.conn.send(0, m)
		return
	}
	if l.queue = append(l.queue, m); len(l.queue) > peerQueueLength {
		l.queue = l.queue[1:]
	}
	s.connect(to, l)
}

// connect opens the connection to another controller. Each failed attempt loses the first queued message.
func (s *server) connect(to string, l *peerLink) {
	if l.dialing || l.conn != nil || len(l.queue) == 0 {
		return
	}
	l.dialing = true
	first := l.queue[0]
	l.queue = l.queue[1:]
	accept := func(*connection) {}
	if other := s.world.servers[to]; other != nil {
		accept = other.acceptPeer
	}
	s.world.network.dial(s.machine, s.world.machines[to], accept, func(c *connection) {
		if c == nil {
			s.machine.timer(redialDelay, func() {
				l.dialing = false
				s.connect(to, l)
			})
			return
		}
		l.dialing, l.conn = false, c
		c.setHandlers(0, func(any) {}, func() { l.conn = nil })
		c.send(0, first)
		for _, m := range l.queue {
			c.send(0, m)
		}
		l.queue = nil
	})
}

func (s *server) acceptPeer(c *connection) {
	c.setHandlers(1, func(m any) { s.applyAndTick(s.controller.HandleMessage(s.machine.clock(), m.(controller.Message))) }, func() {})
}

// acceptFollower accepts the connection of a downstream edge and passes its reports to the controller.
func (s *server) acceptFollower(c *connection) {
	serveDownstream(s.machine, c, &s.downstream, func() updateMessage {
		snapshot := s.controller.Snapshot()
		return updateMessage{&snapshot, s.freshness()}
	}, func(r edgeReports) {
		for _, e := range r.edges {
			s.applyAndTick(s.controller.HandleEdgeReport(s.machine.clock(), e))
		}
	})
}

// serveDownstream handles the reports of a downstream edge until they stop for followerTimeout. With the first report the edge gets a
// snapshot and joins the receivers of updates.
func serveDownstream(m *machine, c *connection, edges *downstreamEdges, snapshot func() updateMessage, handle func(edgeReports)) {
	joined, receivedAt := false, m.clock()
	var checkTimeout func()
	checkTimeout = func() {
		if !c.alive[1] {
			return
		}
		if m.clock()-receivedAt >= followerTimeout {
			edges.remove(c)
			c.closeFrom(1)
			return
		}
		m.timer(followerTimeout-(m.clock()-receivedAt), checkTimeout)
	}
	c.setHandlers(1, func(message any) {
		receivedAt = m.clock()
		if !joined {
			joined = true
			edges.connections = append(edges.connections, c)
			first := snapshot()
			if message.(edgeReports).revision >= first.update.Revision {
				first.update.Body = nil
			}
			c.send(1, first)
		}
		handle(message.(edgeReports))
	}, func() { edges.remove(c) })
	m.timer(followerTimeout, checkTimeout)
}

// shutDown announces the shutdown, ends the process after shutdownWait, as SIGTERM does, and calls then.
func (s *server) shutDown(then func()) {
	m := s.machine
	incarnation := m.incarnation
	m.dispatch(incarnation, func() {
		s.shuttingDown = true
		s.applyAndTick(s.controller.AnnounceShutdown(m.clock()))
		m.timer(shutdownWait, func() {
			s.apply(s.controller.AnnounceShutdown(m.clock()))
			s.world.scheduleAt(s.world.now+millisecond, func() {
				if m.incarnation == incarnation {
					m.stop(false)
					then()
				}
			})
		})
	})
}

// call runs a client's call at the controller; answer is called with the controller's answer.
func (s *server) call(in func(now int64, id uint64) controller.Effects, answer func(controller.Answer)) {
	s.lastCall++
	s.calls[s.lastCall] = answer
	s.applyAndTick(in(s.machine.clock(), s.lastCall))
}

// unpackContent returns the name of the content of a packed configuration.
func unpackContent(body []byte) string {
	raw, ok := clusterstate.Unpack(body)
	if !ok {
		return "unreadable"
	}
	return contentName(string(raw))
}

// contentName returns the name of a content, which is its first word; the rest is filler for the wanted size.
func contentName(content string) string {
	name, _, _ := strings.Cut(content, " ")
	return name
}
