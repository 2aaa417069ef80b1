package controlsim

import (
	"slices"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/failuredetector"
	"willowsill/decide/registry"
	"willowsill/decide/relaytree"
	"willowsill/lab/controlsim/checker"
)

// Times of an edge, ns; those of transport/agentserver.
const (
	reportTTL         = 4 * second
	detectorInterval  = 250 * millisecond
	readinessInterval = 100 * millisecond // the platform asks once a second, at any moment of it
)

// edge is an agent with its proxy, as transport/agentserver and front/proxyserver have them. A process begins with nothing.
type edge struct {
	world               *world
	machine             *machine
	zone                string
	seeds               []string
	preferredController string // the next process follows this controller first

	state             *clusterstate.State
	detector          *failuredetector.Detector
	suspects          []string
	downstream        downstreamEdges
	downstreamReports map[string]receivedReport
	followLoop        *followLoop
	upstream          string
	upstreams         []string // that may be followed, the best first
	conn              *connection
	ready             bool
}

// receivedReport is what a follower said last.
type receivedReport struct {
	controller.EdgeReport
	at int64
}

func (w *world) addEdge(name, zone string) {
	e := &edge{world: w, machine: w.addMachine(name, false), zone: zone}
	w.edges[name] = e
	w.history.Machines = append(w.history.Machines, checker.Machine{Name: name, From: w.now, Until: checker.Never})
	e.machine.startProcess = e.startProcess
	w.scheduleAfter(randomBetween(w.rng, 0, startSpread), e.machine.start)
}

func (e *edge) startProcess() {
	m := e.machine
	e.state, e.detector, e.suspects = clusterstate.NewState(), failuredetector.New(m.name), nil
	if e.seeds = initialSeeds(); m.incarnation > 1 {
		e.seeds = e.world.randomSeeds()
	}
	if e.preferredController != "" {
		e.seeds, e.preferredController = e.seedsWith(e.preferredController), ""
	}
	e.downstream, e.downstreamReports, e.followLoop, e.conn, e.ready = downstreamEdges{}, map[string]receivedReport{}, &followLoop{}, nil, false
	e.world.history.ProcessStarts = append(e.world.history.ProcessStarts, checker.ProcessEvent{Edge: m.name, Life: m.incarnation, At: e.world.now})
	life := m.incarnation
	m.onExit = append(m.onExit, func(bool) {
		e.world.history.ProcessEnds = append(e.world.history.ProcessEnds, checker.ProcessEvent{Edge: m.name, Life: life, At: e.world.now})
	})
	m.every(detectorInterval, e.tickDetector)
	m.every(freshnessInterval, e.updateProxy)
	m.every(readinessInterval, e.pollReadiness)
	e.updateUpstreams()
	e.dialUpstream()
}

// seedsWith are three seeds of which this edge follows the one named first, where there are such.
func (e *edge) seedsWith(first string) []string {
	const tries = 50
	seeds := []string{first}
	for range tries {
		seeds = e.world.randomSeeds()
		if !slices.Contains(seeds, first) {
			seeds[0] = first
		}
		if relaytree.Feeders(e.machine.name, e.zone, clusterstate.Fleet{}, seeds, e.world.regions)[0].IP == first {
			break
		}
	}
	return seeds
}

// updateUpstreams finds those that may be followed, by what is known of the fleet.
func (e *edge) updateUpstreams() {
	e.upstreams = nil
	for _, f := range relaytree.Feeders(e.machine.name, e.zone, e.state.Fleet, e.seeds, e.world.regions) {
		e.upstreams = append(e.upstreams, f.IP)
	}
}

// dialUpstream dials the next feeder.
func (e *edge) dialUpstream() {
	w, m := e.world, e.machine
	e.upstream = e.followLoop.upstream(e.upstreams)
	accept := func(*connection) {}
	if s := w.servers[e.upstream]; s != nil {
		accept = s.acceptFollower
	} else if o := w.edges[e.upstream]; o != nil {
		accept = o.acceptFollower
	}
	w.network.dial(m, w.machines[e.upstream], accept, func(c *connection) {
		if c == nil {
			e.leaveUpstream(tryNextUpstream)
			return
		}
		e.conn = c
		e.followLoop.connected(m.clock(), len(e.upstreams)-1)
		c.send(0, e.newReport())
		c.setHandlers(0, func(message any) { e.handleMessage(c, message.(updateMessage)) }, func() {
			if e.conn == c {
				e.leaveUpstream(tryNextUpstream)
			}
		})
		e.checkSilence(c)
	})
}

// leaveUpstream lets go of the feeder and dials another after a moment.
func (e *edge) leaveUpstream(v upstreamDecision) {
	if e.conn != nil {
		e.world.tracef(e.machine.name, "leaves %s", e.upstream)
		e.conn.closeFrom(0)
		e.conn = nil
	}
	e.followLoop.disconnected(v)
	e.machine.timer(reconnectDelay, e.dialUpstream)
}

func (e *edge) checkSilence(c *connection) {
	if e.conn != c {
		return
	}
	silent, again := e.followLoop.isSilent(e.machine.clock())
	if silent {
		e.leaveUpstream(tryNextUpstream)
		return
	}
	e.machine.timer(max(again, millisecond), func() { e.checkSilence(c) })
}

// handleMessage takes a word of the feeder.
func (e *edge) handleMessage(c *connection, n updateMessage) {
	if e.conn != c {
		return
	}
	now := e.machine.clock()
	e.followLoop.handleFreshness(now, n.freshness)
	if n.update != nil && !e.applyUpdate(*n.update) {
		e.leaveUpstream(tryBestUpstream)
		return
	}
	if n.update == nil || n.update.Snapshot {
		e.downstream.publish(updateMessage{freshness: e.followLoop.follower.Freshness(now)})
	}
	if e.followLoop.follower.ShouldLeave(now) {
		e.leaveUpstream(tryNextUpstream)
		return
	}
	due, v := e.followLoop.reportDue(e.machine.clock(), e.upstream, e.upstreams)
	if due {
		c.send(0, e.newReport())
	}
	if v != keepUpstream {
		e.leaveUpstream(v)
	}
}

// applyUpdate takes a notice in and passes on what is new; false where the whole book is needed.
func (e *edge) applyUpdate(n clusterstate.Update) bool {
	fresh := e.state.Apply(n)
	if fresh.Empty() {
		return !e.state.NeedsSnapshot
	}
	e.recordChanges(fresh)
	if f := fresh.Fleet; !f.Empty() {
		e.detector.SetEdges(e.machine.clock(), f.EdgeIPsInZone(e.zone))
		e.updateUpstreams()
	}
	now := e.machine.clock()
	e.downstream.publish(updateMessage{&fresh, e.followLoop.follower.Freshness(now)})
	if fresh.Revision > 0 {
		e.followLoop.readiness.Configured(now, fresh.Revision)
	}
	e.state.DropGone()
	return !e.state.NeedsSnapshot
}

// recordChanges writes down what is in force here now.
func (e *edge) recordChanges(fresh clusterstate.Update) {
	w, m := e.world, e.machine
	if fresh.Revision > 0 {
		content := contentName(string(fresh.Raw))
		w.tracef(m.name, "serves %d %s from %s", fresh.Revision, content, e.upstream)
		w.history.EdgeConfigurations = append(w.history.EdgeConfigurations, checker.EdgeConfiguration{At: w.now, Edge: m.name, Incarnation: m.incarnation, Revision: fresh.Revision, Content: content})
	}
	for _, r := range fresh.Replicas {
		w.history.ReplicaUses = append(w.history.ReplicaUses, checker.ReplicaUse{At: w.now, Edge: m.name, Life: m.incarnation, Replica: r.ID, Used: r.Phase == registry.Ready})
	}
}

// updateProxy tells the proxy beside the agent how fresh the agent's state is.
func (e *edge) updateProxy() {
	now := e.machine.clock()
	e.followLoop.readiness.HandleFreshness(now, e.followLoop.follower.Freshness(now))
}

// pollReadiness does what the platform does: it asks whether this edge is ready.
func (e *edge) pollReadiness() {
	if now := e.followLoop.readiness.Ready(e.machine.clock()); now != e.ready {
		e.ready = now
		e.world.history.Readiness = append(e.world.history.Readiness, checker.ReadinessChange{At: e.world.now, Edge: e.machine.name, Life: e.machine.incarnation,
			Ready: now, Revision: e.state.Revision, Upstream: e.upstream})
	}
}

// newReport is what this edge says to the one that it follows.
func (e *edge) newReport() edgeReports {
	r := edgeReports{revision: e.state.Revision}
	now := e.machine.clock()
	for _, name := range e.world.machineNames { // in a fixed order
		s, ok := e.downstreamReports[name]
		if !ok {
			continue
		}
		if now-s.at > reportTTL {
			delete(e.downstreamReports, name)
			continue
		}
		s.Age += now - s.at
		r.edges = append(r.edges, s.EdgeReport)
	}
	r.edges = append(r.edges, controller.EdgeReport{Edge: clusterstate.Edge{IP: e.machine.name, Zone: e.zone}, Suspects: e.suspects})
	return r
}

// acceptFollower feeds another edge.
func (e *edge) acceptFollower(c *connection) {
	serveDownstream(e.machine, c, &e.downstream, func() updateMessage {
		whole := e.state.Snapshot()
		return updateMessage{&whole, e.followLoop.follower.Freshness(e.machine.clock())}
	}, func(r edgeReports) {
		for _, s := range r.edges {
			if s.Edge.IP != e.machine.name {
				e.downstreamReports[s.Edge.IP] = receivedReport{s, e.machine.clock()}
			}
		}
	})
}

// tickDetector sends heartbeats to the edges that watch this one, and notes whom it does not hear.
func (e *edge) tickDetector() {
	to, suspects := e.detector.Tick(e.machine.clock())
	e.suspects = suspects
	for _, name := range to {
		if o := e.world.edges[name]; o != nil {
			from := e.machine.name
			e.world.network.datagram(e.machine, o.machine, func() { o.detector.HandleHeartbeat(o.machine.clock(), from) })
		}
	}
}
