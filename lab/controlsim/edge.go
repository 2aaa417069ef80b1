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

// Times of an edge, ns, as in transport/agentserver.
const (
	reportTTL         = 4 * second        // the report of a downstream edge is passed on for this time
	detectorInterval  = 250 * millisecond // time between two ticks of the failure detector
	readinessInterval = 100 * millisecond // the platform asks once a second at an unknown moment, so this asks more often
)

// edge is an agent with its proxy, as in transport/agentserver and front/proxyserver. A new process starts without any state.
type edge struct {
	world               *world
	machine             *machine
	zone                string
	seeds               []string
	preferredController string // if set, the next process connects to this controller first

	state             *clusterstate.State
	detector          *failuredetector.Detector
	suspects          []string
	downstream        downstreamEdges
	downstreamReports map[string]receivedReport
	followLoop        *followLoop
	upstream          string
	upstreams         []string // possible upstreams, the best first
	conn              *connection
	ready             bool
}

// receivedReport is the last report of a downstream edge.
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
	e.world.history.ProcessStarts = append(e.world.history.ProcessStarts, checker.ProcessEvent{Edge: m.name, Incarnation: m.incarnation, At: e.world.now})
	incarnation := m.incarnation
	m.onExit = append(m.onExit, func(bool) {
		e.world.history.ProcessEnds = append(e.world.history.ProcessEnds, checker.ProcessEvent{Edge: m.name, Incarnation: incarnation, At: e.world.now})
	})
	m.every(detectorInterval, e.tickDetector)
	m.every(freshnessInterval, e.updateProxy)
	m.every(readinessInterval, e.pollReadiness)
	e.updateUpstreams()
	e.dialUpstream()
}

// seedsWith returns random seeds such that this edge connects to the controller first, if 50 attempts find some.
func (e *edge) seedsWith(first string) []string {
	const attempts = 50
	seeds := []string{first}
	for range attempts {
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

// updateUpstreams computes the possible upstreams from the known fleet and the seeds.
func (e *edge) updateUpstreams() {
	e.upstreams = nil
	for _, f := range relaytree.Feeders(e.machine.name, e.zone, e.state.Fleet, e.seeds, e.world.regions) {
		e.upstreams = append(e.upstreams, f.IP)
	}
}

// dialUpstream connects to the next upstream.
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

// leaveUpstream closes the connection to the upstream and dials the next one after reconnectDelay.
func (e *edge) leaveUpstream(decision upstreamDecision) {
	if e.conn != nil {
		e.world.tracef(e.machine.name, "leaves %s", e.upstream)
		e.conn.closeFrom(0)
		e.conn = nil
	}
	e.followLoop.disconnected(decision)
	e.machine.timer(reconnectDelay, e.dialUpstream)
}

// checkSilence leaves the upstream if it is silent, and otherwise checks again later.
func (e *edge) checkSilence(c *connection) {
	if e.conn != c {
		return
	}
	silent, checkAfter := e.followLoop.isSilent(e.machine.clock())
	if silent {
		e.leaveUpstream(tryNextUpstream)
		return
	}
	e.machine.timer(max(checkAfter, millisecond), func() { e.checkSilence(c) })
}

// handleMessage handles a message from the upstream.
func (e *edge) handleMessage(c *connection, m updateMessage) {
	if e.conn != c {
		return
	}
	now := e.machine.clock()
	e.followLoop.handleFreshness(now, m.freshness)
	if m.update != nil && !e.applyUpdate(*m.update) {
		e.leaveUpstream(tryBestUpstream)
		return
	}
	if m.update == nil || m.update.Snapshot {
		e.downstream.publish(updateMessage{freshness: e.followLoop.follower.Freshness(now)})
	}
	if e.followLoop.follower.ShouldLeave(now) {
		e.leaveUpstream(tryNextUpstream)
		return
	}
	due, decision := e.followLoop.reportDue(e.machine.clock(), e.upstream, e.upstreams)
	if due {
		c.send(0, e.newReport())
	}
	if decision != keepUpstream {
		e.leaveUpstream(decision)
	}
}

// applyUpdate applies an update and sends what is new to downstream edges. It returns false if the edge needs a snapshot.
func (e *edge) applyUpdate(update clusterstate.Update) bool {
	changes := e.state.Apply(update)
	if changes.Empty() {
		return !e.state.NeedsSnapshot
	}
	e.recordChanges(changes)
	if f := changes.Fleet; !f.Empty() {
		e.detector.SetEdges(e.machine.clock(), f.EdgeIPsInZone(e.zone))
		e.updateUpstreams()
	}
	now := e.machine.clock()
	e.downstream.publish(updateMessage{&changes, e.followLoop.follower.Freshness(now)})
	if changes.Revision > 0 {
		e.followLoop.readiness.Configured(now, changes.Revision)
	}
	e.state.DropGone()
	return !e.state.NeedsSnapshot
}

// recordChanges records in the history which configuration and replicas this edge uses from now on.
func (e *edge) recordChanges(changes clusterstate.Update) {
	w, m := e.world, e.machine
	if changes.Revision > 0 {
		content := contentName(string(changes.Raw))
		w.tracef(m.name, "serves %d %s from %s", changes.Revision, content, e.upstream)
		w.history.EdgeConfigurations = append(w.history.EdgeConfigurations, checker.EdgeConfiguration{At: w.now, Edge: m.name,
			Incarnation: m.incarnation, Revision: changes.Revision, Content: content})
	}
	for _, r := range changes.Replicas {
		w.history.ReplicaUses = append(w.history.ReplicaUses, checker.ReplicaUse{At: w.now, Edge: m.name, Incarnation: m.incarnation,
			Replica: r.ID, Used: r.Phase == registry.Ready})
	}
}

// updateProxy passes the freshness of the agent's state to the proxy on the same machine.
func (e *edge) updateProxy() {
	now := e.machine.clock()
	e.followLoop.readiness.HandleFreshness(now, e.followLoop.follower.Freshness(now))
}

// pollReadiness asks whether this edge is ready, as the platform does, and records changes.
func (e *edge) pollReadiness() {
	if now := e.followLoop.readiness.Ready(e.machine.clock()); now != e.ready {
		e.ready = now
		e.world.history.Readiness = append(e.world.history.Readiness, checker.ReadinessChange{At: e.world.now, Edge: e.machine.name,
			Incarnation: e.machine.incarnation, Ready: now, Revision: e.state.Revision, Upstream: e.upstream})
	}
}

// newReport returns the reports of this edge and of the edges downstream of it.
func (e *edge) newReport() edgeReports {
	r := edgeReports{revision: e.state.Revision}
	now := e.machine.clock()
	for _, name := range e.world.machineNames { // in a fixed order, so that the run is deterministic
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

// acceptFollower accepts the connection of a downstream edge and keeps its reports.
func (e *edge) acceptFollower(c *connection) {
	serveDownstream(e.machine, c, &e.downstream, func() updateMessage {
		snapshot := e.state.Snapshot()
		return updateMessage{&snapshot, e.followLoop.follower.Freshness(e.machine.clock())}
	}, func(r edgeReports) {
		for _, s := range r.edges {
			if s.Edge.IP != e.machine.name {
				e.downstreamReports[s.Edge.IP] = receivedReport{s, e.machine.clock()}
			}
		}
	})
}

// tickDetector sends heartbeats to the edges that monitor this one, and updates the edges that it suspects.
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
