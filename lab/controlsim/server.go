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
	tickLeast    = millisecond
	leaveWait    = 400 * millisecond
	redialAfter  = 150 * millisecond
	meshQueue    = 64
	feedEvery    = 300 * millisecond
	followerGone = 5 * second
	heartbeats   = second // of replicas
	firstStart   = 300 * millisecond
)

// server is a controller with what transport/controlserver puts around it. Its disk outlives its processes.
type server struct {
	world     *world
	machine   *machine
	zone      string
	disk      *disk
	bootstrap bool // the next start is the first of the whole system

	controller *controller.Controller // of the process that runs
	current    currency
	leaving    bool
	mesh       map[string]*line
	feed       feed
	tickAt     int64
	lastCall   uint64
	calls      map[uint64]func(controller.Answer)
}

// line is the connection to one other controller, and what waits for it.
type line struct {
	link    *connection
	dialing bool
	queue   []controller.Message
}

// feed is the set of those who follow a process.
type feed struct{ links []*connection }

// news is what a feeder says; without an update it only says that it is there, and how fresh its state is.
type news struct {
	update *clusterstate.Update
	fresh  clusterstate.Freshness
}

// report is what a follower says of itself and of those below it, and which configuration it holds.
type report struct {
	all      []controller.EdgeReport
	revision uint64
}

// currency is what was last noted of how current a controller is.
type currency struct {
	noted           bool
	since           int64 // on the machine's clock
	epoch, revision uint64
}

// publish tells all who follow. Each takes differences between fleets.
func (f *feed) publish(n news) {
	if n.update != nil {
		told := n.update.ForWire(true)
		n.update = &told
	}
	for _, l := range slices.Clone(f.links) {
		l.send(1, n)
	}
}

func (f *feed) part(l *connection) {
	f.links = slices.DeleteFunc(f.links, func(o *connection) bool { return o == l })
}

// addController makes a controller's machine; it starts at once, or at the first start within 0.3 s of the others.
func (w *world) addController(name string, first bool) *server {
	s := &server{world: w, zone: zoneName(len(w.servers) % zones), machine: w.addMachine(name, true), disk: &disk{world: w, usual: between(w.draw, syncLeast, syncMost)}, bootstrap: first}
	w.servers[name] = s
	w.deployed(append(slices.Clone(w.core), name))
	w.history.Machines = append(w.history.Machines, checker.Machine{Name: name, Core: true, From: w.now, Until: checker.Never})
	s.machine.boot = s.boot
	if first {
		w.after(between(w.draw, 0, firstStart), s.machine.start)
	}
	return s
}

// boot begins a process with what the disk holds.
func (s *server) boot() {
	w, m := s.world, s.machine
	w.lives++
	draw := rand.New(rand.NewPCG(w.plan.Seed, 1000+uint64(w.lives)))
	start := controller.Options{IP: m.name, Incarnation: fmt.Sprint("life", w.lives), Zone: s.zone, Regions: w.regions, Seeds: firstSeeds(), Bootstrap: s.bootstrap, ReplicaHeartbeatInterval: heartbeats,
		Random: draw.Float64}
	if found := s.disk.open(); found != nil {
		state := found.state
		start.RegisterState, start.CommittedConfiguration, start.Rollouts, start.Replicas = &state, found.committed, found.rollouts, found.list
	}
	if !s.bootstrap {
		start.Seeds = w.seeds()
	}
	s.bootstrap = false
	s.mesh, s.feed, s.calls = map[string]*line{}, feed{}, map[uint64]func(controller.Answer){}
	s.leaving, s.current, s.tickAt = false, currency{}, 0
	s.controller = controller.New(m.clock(), start)
	m.every(feedEvery, func() { s.feed.publish(news{fresh: s.freshness()}) })
	s.tick()
}

// tick has the controller do what is due, and sets the timer for what comes next.
func (s *server) tick() {
	if now := s.machine.clock(); now >= s.controller.NextTick() {
		s.carry(s.controller.Tick(now))
	}
	s.noteCurrent()
	s.wake()
}

func (s *server) wake() {
	w, m := s.world, s.machine
	at := w.now + max(m.trueSpan(s.controller.NextTick()-m.clock()), tickLeast)
	if s.tickAt > w.now && s.tickAt <= at {
		return
	}
	s.tickAt = at
	life := m.life
	w.at(at, func() {
		if m.life == life && s.tickAt == at {
			m.dispatch(life, func() {
				s.tickAt = 0
				s.tick()
			})
		}
	})
}

// take carries out a call of the controller.
func (s *server) take(o controller.Effects) {
	s.carry(o)
	s.tick()
}

// noteCurrent notes how current the controller is.
func (s *server) noteCurrent() {
	s.current = currency{true, s.controller.CurrentSince(), s.controller.Epoch(), s.controller.Revision()}
}

// freshness is what followers are told, as of now.
func (s *server) freshness() clusterstate.Freshness {
	fresh := clusterstate.Freshness{Epoch: s.current.epoch, Revision: s.current.revision}
	if s.current.noted && s.current.since != lease.Never {
		fresh.Known, fresh.Age = true, max(s.machine.clock()-s.current.since, 0)
	}
	return fresh
}

func (s *server) carry(o controller.Effects) {
	for _, l := range o.Log {
		if s.world.trace != nil {
			s.world.tell(s.machine.name, "%s %v", l.Text, l.Values)
		}
	}
	if o.Save != nil {
		number := o.Save.Number
		s.disk.save(s.machine, *o.Save, func(err error) { s.take(s.controller.SaveFinished(s.machine.clock(), number, err)) })
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
		s.noteCurrent()
		update := o.Update
		s.feed.publish(news{&update, s.freshness()})
	}
}

// send sends to another controller as soon as there is a connection to it; the oldest of too many makes room.
func (s *server) send(to string, m controller.Message) {
	l := s.mesh[to]
	if l == nil {
		l = &line{}
		s.mesh[to] = l
	}
	if l.link != nil {
		l.link.send(0, m)
		return
	}
	if l.queue = append(l.queue, m); len(l.queue) > meshQueue {
		l.queue = l.queue[1:]
	}
	s.connect(to, l)
}

// connect opens the connection; each try that fails loses the message that it was for.
func (s *server) connect(to string, l *line) {
	if l.dialing || l.link != nil || len(l.queue) == 0 {
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
			s.machine.timer(redialAfter, func() {
				l.dialing = false
				s.connect(to, l)
			})
			return
		}
		l.dialing, l.link = false, c
		c.listen(0, func(any) {}, func() { l.link = nil })
		c.send(0, first)
		for _, m := range l.queue {
			c.send(0, m)
		}
		l.queue = nil
	})
}

func (s *server) acceptPeer(c *connection) {
	c.listen(1, func(m any) { s.take(s.controller.HandleMessage(s.machine.clock(), m.(controller.Message))) }, func() {})
}

// acceptFollower feeds an edge from its first report on.
func (s *server) acceptFollower(c *connection) {
	attend(s.machine, c, &s.feed, func() news {
		whole := s.controller.Snapshot()
		return news{&whole, s.freshness()}
	}, func(r report) {
		for _, e := range r.all {
			s.take(s.controller.HandleEdgeReport(s.machine.clock(), e))
		}
	})
}

// attend takes a follower's reports until it falls silent, and feeds it from the first one on.
func attend(m *machine, c *connection, f *feed, whole func() news, here func(report)) {
	joined, heard := false, m.clock()
	var look func()
	look = func() {
		if !c.alive[1] {
			return
		}
		if m.clock()-heard >= followerGone {
			f.part(c)
			c.shut(1)
			return
		}
		m.timer(followerGone-(m.clock()-heard), look)
	}
	c.listen(1, func(message any) {
		heard = m.clock()
		if !joined {
			joined = true
			f.links = append(f.links, c)
			first := whole()
			if message.(report).revision >= first.update.Revision {
				first.update.Body = nil
			}
			c.send(1, first)
		}
		here(message.(report))
	}, func() { f.part(c) })
	m.timer(followerGone, look)
}

// term ends the process in order, as SIGTERM does.
func (s *server) term(then func()) {
	m := s.machine
	life := m.life
	m.dispatch(life, func() {
		s.leaving = true
		s.take(s.controller.AnnounceShutdown(m.clock()))
		m.timer(leaveWait, func() {
			s.carry(s.controller.AnnounceShutdown(m.clock()))
			s.world.at(s.world.now+millisecond, func() {
				if m.life == life {
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
	s.take(in(s.machine.clock(), s.lastCall))
}

// contentOf unpacks a configuration that was read.
func contentOf(body []byte) string {
	raw, ok := clusterstate.Unpack(body)
	if !ok {
		return "unreadable"
	}
	return label(string(raw))
}

// label is the name of a content: its first word. The rest is there for its length.
func label(content string) string {
	name, _, _ := strings.Cut(content, " ")
	return name
}
