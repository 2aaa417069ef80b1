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
	belowWithin = 4 * second
	lookEvery   = 250 * millisecond
	askEvery    = 100 * millisecond // the platform asks once a second, at any moment of it
)

// edge is an agent with its proxy, as transport/agentserver and front/proxyserver have them. A process begins with nothing.
type edge struct {
	world   *world
	machine *machine
	zone    string
	seeds   []string
	beside  string // the next process follows this controller first

	state    *clusterstate.State
	detector *failuredetector.Detector
	suspects []string
	relay    feed
	below    map[string]sighting
	rule     *following
	feeder   string
	feeders  []string // that may be followed, the best first
	link     *connection
	ready    bool
}

// sighting is what a follower said last.
type sighting struct {
	controller.EdgeReport
	at int64
}

func (w *world) addEdge(name, zone string) {
	e := &edge{world: w, machine: w.addMachine(name, false), zone: zone}
	w.edges[name] = e
	w.history.Machines = append(w.history.Machines, checker.Machine{Name: name, From: w.now, Until: checker.Never})
	e.machine.boot = e.boot
	w.after(between(w.draw, 0, firstStart), e.machine.start)
}

func (e *edge) boot() {
	m := e.machine
	e.state, e.detector, e.suspects = clusterstate.NewState(), failuredetector.New(m.name), nil
	if e.seeds = firstSeeds(); m.life > 1 {
		e.seeds = e.world.seeds()
	}
	if e.beside != "" {
		e.seeds, e.beside = e.seedsWith(e.beside), ""
	}
	e.relay, e.below, e.rule, e.link, e.ready = feed{}, map[string]sighting{}, &following{}, nil, false
	e.world.history.Lives = append(e.world.history.Lives, checker.Life{Edge: m.name, Life: m.life, At: e.world.now})
	life := m.life
	m.ended = append(m.ended, func(bool) {
		e.world.history.Ends = append(e.world.history.Ends, checker.Life{Edge: m.name, Life: life, At: e.world.now})
	})
	m.every(lookEvery, e.look)
	m.every(feedEvery, e.tellProxy)
	m.every(askEvery, e.askReady)
	e.findFeeders()
	e.follow()
}

// seedsWith are three seeds of which this edge follows the one named first, where there are such.
func (e *edge) seedsWith(first string) []string {
	const tries = 50
	seeds := []string{first}
	for range tries {
		seeds = e.world.seeds()
		if !slices.Contains(seeds, first) {
			seeds[0] = first
		}
		if relaytree.Feeders(e.machine.name, e.zone, clusterstate.Fleet{}, seeds, e.world.regions)[0].IP == first {
			break
		}
	}
	return seeds
}

// findFeeders finds those that may be followed, by what is known of the fleet.
func (e *edge) findFeeders() {
	e.feeders = nil
	for _, f := range relaytree.Feeders(e.machine.name, e.zone, e.state.Fleet, e.seeds, e.world.regions) {
		e.feeders = append(e.feeders, f.IP)
	}
}

// follow dials the next feeder.
func (e *edge) follow() {
	w, m := e.world, e.machine
	e.feeder = e.rule.next(e.feeders)
	accept := func(*connection) {}
	if s := w.servers[e.feeder]; s != nil {
		accept = s.acceptFollower
	} else if o := w.edges[e.feeder]; o != nil {
		accept = o.acceptFollower
	}
	w.network.dial(m, w.machines[e.feeder], accept, func(c *connection) {
		if c == nil {
			e.leave(lost)
			return
		}
		e.link = c
		e.rule.begin(m.clock(), len(e.feeders)-1)
		c.send(0, e.report())
		c.listen(0, func(message any) { e.heard(c, message.(news)) }, func() {
			if e.link == c {
				e.leave(lost)
			}
		})
		e.awaitSilence(c)
	})
}

// leave lets go of the feeder and dials another after a moment.
func (e *edge) leave(v verdict) {
	if e.link != nil {
		e.world.tell(e.machine.name, "leaves %s", e.feeder)
		e.link.shut(0)
		e.link = nil
	}
	e.rule.end(v)
	e.machine.timer(nextAfter, e.follow)
}

func (e *edge) awaitSilence(c *connection) {
	if e.link != c {
		return
	}
	silent, again := e.rule.silent(e.machine.clock())
	if silent {
		e.leave(lost)
		return
	}
	e.machine.timer(max(again, millisecond), func() { e.awaitSilence(c) })
}

// heard takes a word of the feeder.
func (e *edge) heard(c *connection, n news) {
	if e.link != c {
		return
	}
	now := e.machine.clock()
	e.rule.heard(now, n.fresh)
	if n.update != nil && !e.take(*n.update) {
		e.leave(changed)
		return
	}
	if n.update == nil || n.update.Snapshot {
		e.relay.publish(news{fresh: e.rule.decide.Freshness(now)})
	}
	if e.rule.decide.ShouldLeave(now) {
		e.leave(lost)
		return
	}
	due, v := e.rule.due(e.machine.clock(), e.feeder, e.feeders)
	if due {
		c.send(0, e.report())
	}
	if v != stay {
		e.leave(v)
	}
}

// take takes a notice in and passes on what is new; false where the whole book is needed.
func (e *edge) take(n clusterstate.Update) bool {
	fresh := e.state.Apply(n)
	if fresh.Empty() {
		return !e.state.NeedsSnapshot
	}
	e.note(fresh)
	if f := fresh.Fleet; !f.Empty() {
		e.detector.SetEdges(e.machine.clock(), f.EdgeIPsInZone(e.zone))
		e.findFeeders()
	}
	now := e.machine.clock()
	e.relay.publish(news{&fresh, e.rule.decide.Freshness(now)})
	if fresh.Revision > 0 {
		e.rule.readiness.Configured(now, fresh.Revision)
	}
	e.state.DropGone()
	return !e.state.NeedsSnapshot
}

// note writes down what is in force here now.
func (e *edge) note(fresh clusterstate.Update) {
	w, m := e.world, e.machine
	if fresh.Revision > 0 {
		content := label(string(fresh.Raw))
		w.tell(m.name, "serves %d %s from %s", fresh.Revision, content, e.feeder)
		w.history.Serves = append(w.history.Serves, checker.Serve{At: w.now, Edge: m.name, Life: m.life, Revision: fresh.Revision, Content: content})
	}
	for _, r := range fresh.Replicas {
		w.history.Knows = append(w.history.Knows, checker.Know{At: w.now, Edge: m.name, Life: m.life, Replica: r.ID, Takes: r.Phase == registry.Ready})
	}
}

// tellProxy tells the proxy beside the agent how fresh the agent's state is.
func (e *edge) tellProxy() {
	now := e.machine.clock()
	e.rule.readiness.HandleFreshness(now, e.rule.decide.Freshness(now))
}

// askReady does what the platform does: it asks whether this edge is ready.
func (e *edge) askReady() {
	if now := e.rule.readiness.Ready(e.machine.clock()); now != e.ready {
		e.ready = now
		e.world.history.Readiness = append(e.world.history.Readiness, checker.Ready{At: e.world.now, Edge: e.machine.name, Life: e.machine.life,
			Ready: now, Revision: e.state.Revision, Feeder: e.feeder})
	}
}

// report is what this edge says to the one that it follows.
func (e *edge) report() report {
	r := report{revision: e.state.Revision}
	now := e.machine.clock()
	for _, name := range e.world.names { // in a fixed order
		s, ok := e.below[name]
		if !ok {
			continue
		}
		if now-s.at > belowWithin {
			delete(e.below, name)
			continue
		}
		s.Age += now - s.at
		r.all = append(r.all, s.EdgeReport)
	}
	r.all = append(r.all, controller.EdgeReport{Edge: clusterstate.Edge{IP: e.machine.name, Zone: e.zone}, Suspects: e.suspects})
	return r
}

// acceptFollower feeds another edge.
func (e *edge) acceptFollower(c *connection) {
	attend(e.machine, c, &e.relay, func() news {
		whole := e.state.Snapshot()
		return news{&whole, e.rule.decide.Freshness(e.machine.clock())}
	}, func(r report) {
		for _, s := range r.all {
			if s.Edge.IP != e.machine.name {
				e.below[s.Edge.IP] = sighting{s, e.machine.clock()}
			}
		}
	})
}

// look sends heartbeats to the edges that watch this one, and notes whom it does not hear.
func (e *edge) look() {
	to, suspects := e.detector.Tick(e.machine.clock())
	e.suspects = suspects
	for _, name := range to {
		if o := e.world.edges[name]; o != nil {
			from := e.machine.name
			e.world.network.datagram(e.machine, o.machine, func() { o.detector.HandleHeartbeat(o.machine.clock(), from) })
		}
	}
}
