package controllercheck

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// event is something that comes to a machine.
type event struct {
	at     int64
	order  int
	to     string
	life   int  // of the machine that it is for; 0 for any
	fate   bool // it may have a deviation
	fail   func()
	happen func()
}

// events is a heap, the soonest first.
type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop takes the last one off.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// machine is a controller with its disk.
type machine struct {
	name     string
	machine  *controller.Controller
	up, gone bool
	deaf     bool // it hears nobody, and is heard
	life     int
	disk     *controller.Save // nil for an empty one
	list     []registry.Record
	follower *clusterstate.State
	seen     uint64 // highest revision that followers of this life were told
	epoch    uint64 // highest of a value that this life called committed
}

// call is something that a caller waits for.
type call struct {
	act  Act
	sent int64
}

// world is one play.
type world struct {
	scope     Scope
	play      Play
	now       int64
	queue     events
	order     int
	count     int // events so far that could have had a deviation
	machines  map[string]*machine
	names     []string
	calls     map[uint64]call
	lastCall  uint64
	confirmed map[uint64]string   // contents by revision that were acknowledged
	epochs    map[uint64][]string // members by epoch, of committed values
	newest    uint64              // acknowledged revision
	deafened  bool
	violation string
}

func newWorld(s Scope, p Play) *world {
	w := &world{scope: s, play: p, machines: map[string]*machine{}, calls: map[uint64]call{}, confirmed: map[uint64]string{1: "first"},
		epochs: map[uint64][]string{}, newest: 1}
	value := register.Value{Epoch: 1, Members: s.Members, Revision: 1, Body: clusterstate.Pack([]byte("first")), Size: len(s.Members)}
	ballot := register.Ballot{Number: 1, Proposer: "before"}
	for _, name := range s.Members {
		state := register.State{Promised: ballot, Accepted: ballot, Value: value}
		m := w.add(name)
		m.disk = &controller.Save{RegisterState: state, CommittedConfiguration: controller.ConfigurationOf(value)}
		m.list = []registry.Record{{ID: "r", Service: "s", Address: "r:1", Seq: 1}}
		w.boot(m)
	}
	for _, a := range s.Acts {
		w.at(warmUp+a.At, &event{happen: func() { w.act(a) }})
	}
	return w
}

func (w *world) add(name string) *machine {
	m := &machine{name: name}
	w.machines[name] = m
	w.names = append(w.names, name)
	return m
}

func (w *world) at(at int64, e *event) {
	w.order++
	e.at, e.order = at, w.order
	heap.Push(&w.queue, e)
}

func (w *world) boot(m *machine) {
	m.life++
	m.up, m.seen, m.epoch = true, 0, 0
	start := controller.Options{IP: m.name, Incarnation: fmt.Sprint(m.life), Seeds: w.scope.Members[:3], ReplicaHeartbeatInterval: second,
		Random: func() float64 { return float64(m.name[0]%8) / 8 }}
	if m.disk != nil {
		state := m.disk.RegisterState
		start.RegisterState, start.CommittedConfiguration, start.Replicas = &state, m.disk.CommittedConfiguration, m.list
	}
	m.machine = controller.New(w.now, start)
	m.follower = clusterstate.NewState()
	m.follower.Apply(m.machine.Snapshot())
	w.tick(m)
}

// tick has a machine's timer go off when it is due. Timers have no deviations: a message that is late has the same effect.
func (w *world) tick(m *machine) {
	w.at(max(m.machine.NextTick(), w.now+millisecond), &event{to: m.name, life: m.life, happen: func() {
		w.carry(m, m.machine.Tick(w.now))
		w.tick(m)
	}})
}

// run plays the scope to its end.
func (w *world) run() {
	end := warmUp + w.scope.Window + recovery
	for len(w.queue) > 0 && w.violation == "" {
		e := heap.Pop(&w.queue).(*event)
		if e.at > end {
			break
		}
		w.now = max(w.now, e.at)
		if e.fate && w.now >= warmUp+w.scope.From && w.now < warmUp+w.scope.Window {
			w.count++
			if i := slices.IndexFunc(w.play, func(d Deviation) bool { return d.Event == w.count-1 }); i >= 0 {
				w.deviate(e, w.play[i].Kind)
				continue
			}
		}
		w.happen(e)
	}
	if w.violation == "" {
		w.checkWhole()
	}
}

func (w *world) happen(e *event) {
	if e.to != "" {
		m := w.machines[e.to]
		if !m.up || e.life != 0 && e.life != m.life {
			return
		}
	}
	e.happen()
}

// deviate has something befall an event.
func (w *world) deviate(e *event, kind Kind) {
	again := *e
	again.fate = false
	switch kind {
	case Late:
		w.at(w.now+lateBy, &again)
	case VeryLate:
		w.at(w.now+veryLateBy, &again)
	case Lost:
		if e.fail != nil {
			e.fail()
		}
	case Twice:
		w.happen(e)
		if e.fail == nil {
			w.at(w.now+twiceAfter, &again)
		}
	default:
		w.strike(w.machines[e.to], kind == Emptied)
	}
}

// strike ends a machine's process; what was not saved is lost. It comes back, with an empty disk where that went too.
func (w *world) strike(m *machine, emptied bool) {
	if !m.up {
		return
	}
	m.up = false
	if emptied {
		m.disk, m.list = nil, nil
	}
	w.at(w.now+downFor, &event{happen: func() {
		if !m.gone && !m.up {
			w.boot(m)
		}
	}})
}

// carry does what a controller asks for.
func (w *world) carry(m *machine, o controller.Effects) {
	if s := o.Save; s != nil {
		saved := func(err error) {
			w.carry(m, m.machine.SaveFinished(w.now, s.Number, err))
		}
		w.at(w.now+syncTime, &event{to: m.name, life: m.life, fate: true, happen: func() {
			if m.disk = s; s.Replicas != nil {
				m.list = s.Replicas
			}
			saved(nil)
		}, fail: func() { saved(fmt.Errorf("refused")) }})
	}
	w.deafen(m, o.Log)
	for _, s := range o.Sends {
		for _, to := range s.To {
			// Heartbeats have deviations as well: contact, duties and readiness go by them.
			w.at(w.now+latency, &event{to: to, fate: true, happen: func() {
				if y := w.machines[to]; !y.deaf {
					w.carry(y, y.machine.HandleMessage(w.now, s.Message))
				}
			}})
			if w.machines[to] == nil {
				w.machines[to] = &machine{name: to, gone: true}
			}
		}
	}
	for _, a := range o.Answers {
		w.answered(a)
	}
	w.told(m, o.Update)
	w.checkEpoch(m)
}

// changingMembers is what a controller logs as it begins to do so.
const changingMembers = "changing the members"

// deafen has the machine that the scope names hear nobody once it has begun to change the members. The others hear it, and
// one of them takes the duty over.
func (w *world) deafen(m *machine, log []controller.LogLine) {
	begins := slices.ContainsFunc(log, func(l controller.LogLine) bool { return l.Text == changingMembers })
	if !begins || m.name != w.scope.Deaf || w.deafened {
		return
	}
	w.deafened, m.deaf = true, true
	w.at(w.now+deafFor, &event{happen: func() { m.deaf = false }})
}

// act does what the script says.
func (w *world) act(a Act) {
	switch a.Do {
	case Start:
		m := w.machines[a.Machine]
		if m == nil || m.gone && m.life == 0 {
			m = w.add(a.Machine)
		}
		w.boot(m)
		return
	case PowerAll:
		for _, name := range w.names {
			w.strike(w.machines[name], false)
		}
		return
	}
	m := w.machines[a.Machine]
	if !m.up {
		return
	}
	switch a.Do {
	case Leave:
		w.carry(m, m.machine.AnnounceShutdown(w.now))
		w.at(w.now+leaveWait, &event{happen: func() { m.up, m.gone = false, true }})
	case Remove:
		m.up, m.gone = false, true
	default:
		w.ask(m, a)
	}
}

// ask has a caller ask a machine.
func (w *world) ask(m *machine, a Act) {
	w.lastCall++
	id := w.lastCall
	w.calls[id] = call{a, w.now}
	switch a.Do {
	case Order:
		w.carry(m, m.machine.PutConfiguration(w.now, id, a.Revision, clusterstate.Pack([]byte(a.Content))))
	case Read:
		w.carry(m, m.machine.ReadConfiguration(w.now, id))
	case Drain:
		r := registry.Record{ID: a.Replica, Service: "s", Address: a.Replica + ":1", Phase: registry.Draining, Seq: 2}
		w.carry(m, m.machine.HandleReplicaCall(w.now, id, r))
	}
}

func (w *world) breaks(format string, values ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %d ms: ", w.now/millisecond) + fmt.Sprintf(format, values...)
	}
}

func members(v register.Value) string {
	return strings.Join(v.Members, " ") + " after " + strings.Join(v.Prior, " ")
}
