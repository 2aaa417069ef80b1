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

// Times of a control server, ns; those of transport/controlserver, transport/peer and transport/watch.
const (
	minTickInterval   = millisecond
	shutdownWait      = 400 * millisecond
	redialDelay       = 150 * millisecond
	peerQueueLength   = 64
	freshnessInterval = 300 * millisecond
	followerTimeout   = 5 * second
	heartbeatInterval = second // of replicas
	startSpread       = 300 * millisecond
)

// server is a controller with what transport/controlserver puts around it. Its disk outlives its processes.
type server struct {
	world     *world
	machine   *machine
	zone      string
	disk      *disk
	bootstrap bool // the next start is the first of the whole system

	controller    *controller.Controller // of the process that runs
	lastFreshness freshnessState
	shuttingDown  bool
	peers         map[string]*peerLink
	downstream    downstreamEdges
	tickAt        int64
	lastCall      uint64
	calls         map[uint64]func(controller.Answer)
}

// peerLink is the connection to one other controller, and what waits for it.
type peerLink struct {
	conn    *connection
	dialing bool
	queue   []controller.Message
}

// downstreamEdges is the set of those who follow a process.
type downstreamEdges struct{ connections []*connection }

// updateMessage is what a feeder says; without an update it only says that it is there, and how fresh its state is.
type updateMessage struct {
	update    *clusterstate.Update
	freshness clusterstate.Freshness
}

// edgeReports is what a follower says of itself and of those below it, and which configuration it holds.
type edgeReports struct {
	edges    []controller.EdgeReport
	revision uint64
}

// freshnessState is what was last noted of how current a controller is.
type freshnessState struct {
	known           bool
	since           int64 // on the machine's clock
	epoch, revision uint64
}

// publish tells all who follow. Each takes differences between fleets.
func (f *downstreamEdges) publish(n updateMessage) {
	if n.update != nil {
		told := n.update.ForWire(true)
		n.update = &told
	}
	for _, l := range slices.Clone(f.connections) {
		l.send(1, n)
	}
}

func (f *downstreamEdges) remove(l *connection) {
	f.connections = slices.DeleteFunc(f.connections, func(o *connection) bool { return o == l })
}

// addController makes a controller's machine; it starts at once, or at the first start within 0.3 s of the others.
func (w *world) addController(name string, first bool) *server {
	s := &server{world: w, zone: zoneName(len(w.servers) % zones), machine: w.addMachine(name, true), disk: &disk{world: w, syncTime: randomBetween(w.rng, minSyncTime, maxSyncTime)}, bootstrap: first}
	w.servers[name] = s
	w.setControllers(append(slices.Clone(w.controllers), name))
	w.history.Machines = append(w.history.Machines, checker.Machine{Name: name, IsController: true, From: w.now, Until: checker.Never})
	s.machine.startProcess = s.startProcess
	if first {
		w.scheduleAfter(randomBetween(w.rng, 0, startSpread), s.machine.start)
	}
	return s
}

// startProcess begins a process with what the disk holds.
func (s *server) startProcess() {
	w, m := s.world, s.machine
	w.processes++
	draw := rand.New(rand.NewPCG(w.plan.Seed, 1000+uint64(w.processes)))
	start := controller.Options{IP: m.name, Incarnation: fmt.Sprint("life", w.processes), Zone: s.zone, Regions: w.regions, Seeds: initialSeeds(), Bootstrap: s.bootstrap, ReplicaHeartbeatInterval: heartbeatInterval,
		Random: draw.Float64}
	if found := s.disk.load(); found != nil {
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

// tick has the controller do what is due, and sets the timer for what comes next.
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
	life := m.incarnation
	w.scheduleAt(at, func() {
		if m.incarnation == life && s.tickAt == at {
			m.dispatch(life, func() {
				s.tickAt = 0
				s.tick()
			})
		}
	})
}

// applyAndTick carries out a call of the controller.
func (s *server) applyAndTick(o controller.Effects) {
	s.apply(o)
	s.tick()
}

// recordFreshness notes how current the controller is.
func (s *server) recordFreshness() {
	s.lastFreshness = freshnessState{true, s.controller.CurrentSince(), s.controller.Epoch(), s.controller.Revision()}
}

// freshness is what followers are told, as of now.
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

// send sends to another controller as soon as there is a connection to it; the oldest of too many makes room.
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

// connect opens the connection; each try that fails loses the message that it was for.
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

// acceptFollower feeds an edge from its first report on.
func (s *server) acceptFollower(c *connection) {
	serveDownstream(s.machine, c, &s.downstream, func() updateMessage {
		whole := s.controller.Snapshot()
		return updateMessage{&whole, s.freshness()}
	}, func(r edgeReports) {
		for _, e := range r.edges {
			s.applyAndTick(s.controller.HandleEdgeReport(s.machine.clock(), e))
		}
	})
}

// serveDownstream takes a follower's reports until it falls silent, and feeds it from the first one on.
func serveDownstream(m *machine, c *connection, f *downstreamEdges, whole func() updateMessage, here func(edgeReports)) {
	joined, heard := false, m.clock()
	var look func()
	look = func() {
		if !c.alive[1] {
			return
		}
		if m.clock()-heard >= followerTimeout {
			f.remove(c)
			c.closeFrom(1)
			return
		}
		m.timer(followerTimeout-(m.clock()-heard), look)
	}
	c.setHandlers(1, func(message any) {
		heard = m.clock()
		if !joined {
			joined = true
			f.connections = append(f.connections, c)
			first := whole()
			if message.(edgeReports).revision >= first.update.Revision {
				first.update.Body = nil
			}
			c.send(1, first)
		}
		here(message.(edgeReports))
	}, func() { f.remove(c) })
	m.timer(followerTimeout, look)
}

// shutDown ends the process in order, as SIGTERM does.
func (s *server) shutDown(then func()) {
	m := s.machine
	life := m.incarnation
	m.dispatch(life, func() {
		s.shuttingDown = true
		s.applyAndTick(s.controller.AnnounceShutdown(m.clock()))
		m.timer(shutdownWait, func() {
			s.apply(s.controller.AnnounceShutdown(m.clock()))
			s.world.scheduleAt(s.world.now+millisecond, func() {
				if m.incarnation == life {
					m.stop(false)
					then()
				}
			})
		})
	})
}

// call puts a call to the controller.
func (s *server) call(in func(now int64, id uint64) controller.Effects, answer func(controller.Answer)) {
	s.lastCall++
	s.calls[s.lastCall] = answer
	s.applyAndTick(in(s.machine.clock(), s.lastCall))
}

// unpackContent unpacks a configuration that was read.
func unpackContent(body []byte) string {
	raw, ok := clusterstate.Unpack(body)
	if !ok {
		return "unreadable"
	}
	return contentName(string(raw))
}

// contentName is the name of a content: its first word. The rest is there for its length.
func contentName(content string) string {
	name, _, _ := strings.Cut(content, " ")
	return name
}
