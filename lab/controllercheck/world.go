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

// event is something that happens at a machine.
type event struct {
	at          int64
	sequence    int
	to          string
	incarnation int    // incarnation of the machine's process that the event is for; 0 for any
	mayDeviate  bool   // the event may have a deviation
	onLoss      func() // called if the event is lost; nil for messages
	deliver     func() // called when the event happens
}

// events is a heap of events, the earliest first.
type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event, for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop removes and returns the last event, for container/heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// machine is a controller with its disk.
type machine struct {
	name           string
	controller     *controller.Controller
	up, removed    bool // up: a process is running; removed: the machine never returns
	receiveBlocked bool // messages to it are lost, messages from it arrive
	incarnation    int
	disk           *controller.Save // last save; nil for an empty disk
	replicas       []registry.Record
	known          []string            // controllers known when the disk held no state
	edgeState      *clusterstate.State // state of an edge that gets the updates of this process
	highestSent    uint64              // highest revision that this process has sent to edges
	epoch          uint64              // highest epoch of a value that this process considered committed
}

// call is a client's request that has not been answered yet.
type call struct {
	action Action
	sent   int64
}

// world is the state of the run of one schedule.
type world struct {
	scope              Scope
	schedule           Schedule
	now                int64
	queue              events
	sequence           int
	eligibleEvents     int // number of events so far that could have had a deviation
	machines           map[string]*machine
	names              []string
	calls              map[uint64]call // calls that have not been answered yet, by number
	lastCall           uint64
	acknowledged       map[uint64]string   // acknowledged contents by revision
	epochs             map[uint64][]string // members of committed values, by epoch
	newestAcknowledged uint64              // highest revision that was acknowledged
	receiveBlockUsed   bool                // the scope's machine has been blocked once already
	violation          string              // the first violation, empty for none
}

func newWorld(s Scope, p Schedule) *world {
	w := &world{scope: s, schedule: p, machines: map[string]*machine{}, calls: map[uint64]call{}, acknowledged: map[uint64]string{1: "first"},
		epochs: map[uint64][]string{}, newestAcknowledged: 1}
	value := register.Value{Epoch: 1, Members: s.Members, Revision: 1, Body: clusterstate.Pack([]byte("first")), Size: len(s.Members)}
	ballot := register.Ballot{Number: 1, Proposer: "before"}
	for _, name := range s.Members {
		state := register.State{Promised: ballot, Accepted: ballot, Value: value}
		m := w.addMachine(name)
		m.disk = &controller.Save{RegisterState: state, CommittedConfiguration: controller.ConfigurationOf(value)}
		m.replicas = []registry.Record{{ID: "r", Service: "s", Address: "r:1", Seq: 1}}
		w.startProcess(m)
	}
	for _, a := range s.Actions {
		w.scheduleAt(settleTime+a.At, &event{deliver: func() { w.runAction(a) }})
	}
	return w
}

func (w *world) addMachine(name string) *machine {
	m := &machine{name: name}
	w.machines[name] = m
	w.names = append(w.names, name)
	return m
}

func (w *world) scheduleAt(at int64, e *event) {
	w.sequence++
	e.at, e.sequence = at, w.sequence
	heap.Push(&w.queue, e)
}

func (w *world) startProcess(m *machine) {
	m.incarnation++
	m.up, m.highestSent, m.epoch = true, 0, 0
	start := controller.Options{IP: m.name, Incarnation: fmt.Sprint(m.incarnation), Seeds: w.scope.Members[:3], ReplicaHeartbeatInterval: second,
		Random: func() float64 { return float64(m.name[0]%8) / 8 }}
	start.KnownControllers = m.known
	if m.disk != nil {
		state := m.disk.RegisterState
		start.RegisterState, start.CommittedConfiguration, start.Replicas = &state, m.disk.CommittedConfiguration, m.replicas
	}
	start.FaultBudget = &controller.FaultBudget{Machines: (len(w.scope.Members) - 1) / 2}
	m.controller = controller.New(w.now, start)
	m.edgeState = clusterstate.NewState()
	m.edgeState.Apply(m.controller.Snapshot())
	w.tick(m)
}

// tick schedules the next tick of a machine's controller. Timers have no deviations, since late messages have the same effect.
func (w *world) tick(m *machine) {
	w.scheduleAt(max(m.controller.NextTick(), w.now+millisecond), &event{to: m.name, incarnation: m.incarnation, deliver: func() {
		w.apply(m, m.controller.Tick(w.now))
		w.tick(m)
	}})
}

// run runs the scope to its end.
func (w *world) run() {
	end := settleTime + w.scope.Window + recoveryTime
	for len(w.queue) > 0 && w.violation == "" {
		e := heap.Pop(&w.queue).(*event)
		if e.at > end {
			break
		}
		w.now = max(w.now, e.at)
		if e.mayDeviate && w.now >= settleTime+w.scope.From && w.now < settleTime+w.scope.Window {
			w.eligibleEvents++
			if i := slices.IndexFunc(w.schedule, func(d Deviation) bool { return d.Event == w.eligibleEvents-1 }); i >= 0 {
				w.deviate(e, w.schedule[i].Kind)
				continue
			}
		}
		w.deliver(e)
	}
	if w.violation == "" {
		w.checkRecovered()
	}
}

// deliver runs an event, unless its machine is down or has another process now.
func (w *world) deliver(e *event) {
	if e.to != "" {
		m := w.machines[e.to]
		if !m.up || e.incarnation != 0 && e.incarnation != m.incarnation {
			return
		}
	}
	e.deliver()
}

// deviate applies a deviation to an event.
func (w *world) deviate(e *event, kind Kind) {
	again := *e
	again.mayDeviate = false
	switch kind {
	case Late:
		w.scheduleAt(w.now+lateDelay, &again)
	case VeryLate:
		w.scheduleAt(w.now+veryLateDelay, &again)
	case Lost:
		if e.onLoss != nil {
			e.onLoss()
		}
	case Twice:
		w.deliver(e)
		if e.onLoss == nil {
			w.scheduleAt(w.now+duplicateDelay, &again)
		}
	default:
		w.crash(w.machines[e.to], kind == Emptied)
	}
}

// crash ends a machine's process without the saves that are not finished, and restarts it after restartDelay, with an empty disk if
// emptied is set.
func (w *world) crash(m *machine, emptied bool) {
	if !m.up {
		return
	}
	m.up = false
	if emptied {
		m.disk, m.replicas, m.known = nil, nil, nil
	}
	w.scheduleAt(w.now+restartDelay, &event{deliver: func() {
		if !m.removed && !m.up {
			w.startProcess(m)
		}
	}})
}

// apply carries out the effects that a controller returned, and checks the invariants.
func (w *world) apply(m *machine, o controller.Effects) {
	if s := o.Save; s != nil {
		saved := func(err error) {
			w.apply(m, m.controller.SaveFinished(w.now, s.Number, err))
		}
		w.scheduleAt(w.now+syncTime, &event{to: m.name, incarnation: m.incarnation, mayDeviate: true, deliver: func() {
			if s.KnownControllers != nil {
				m.known = s.KnownControllers
			} else if m.disk = s; s.Replicas != nil {
				m.replicas = s.Replicas
			}
			saved(nil)
		}, onLoss: func() { saved(fmt.Errorf("refused")) }})
	}
	w.blockReceive(m, o.Log)
	for _, s := range o.Sends {
		for _, to := range s.To {
			// Heartbeats may have deviations as well, since contact, the lease and readiness depend on them.
			w.scheduleAt(w.now+latency, &event{to: to, mayDeviate: true, deliver: func() {
				if receiver := w.machines[to]; !receiver.receiveBlocked {
					w.apply(receiver, receiver.controller.HandleMessage(w.now, s.Message))
				}
			}})
			if w.machines[to] == nil {
				w.machines[to] = &machine{name: to, removed: true}
			}
		}
	}
	for _, a := range o.Answers {
		w.checkAnswer(a)
	}
	w.checkUpdate(m, o.Update)
	w.checkEpoch(m)
}

// changingMembers is the log message of a controller that begins to change the members.
const changingMembers = "changing the members"

// blockReceive blocks all messages to the scope's machine once it has begun to change the members. Its own messages still arrive, and
// another controller becomes the lease holder.
func (w *world) blockReceive(m *machine, log []controller.LogLine) {
	begins := slices.ContainsFunc(log, func(l controller.LogLine) bool { return l.Text == changingMembers })
	if !begins || m.name != w.scope.BlockReceive || w.receiveBlockUsed {
		return
	}
	w.receiveBlockUsed, m.receiveBlocked = true, true
	w.scheduleAt(w.now+receiveBlockTime, &event{deliver: func() { m.receiveBlocked = false }})
}

// runAction starts, stops or restarts the machine of a scripted action, or sends it the action's request.
func (w *world) runAction(a Action) {
	switch a.Do {
	case Start:
		m := w.machines[a.Machine]
		if m == nil || m.removed && m.incarnation == 0 {
			m = w.addMachine(a.Machine)
		}
		w.startProcess(m)
		return
	case PowerAll:
		for _, name := range w.names {
			w.crash(w.machines[name], false)
		}
		return
	}
	m := w.machines[a.Machine]
	if !m.up {
		return
	}
	switch a.Do {
	case Leave:
		w.apply(m, m.controller.AnnounceShutdown(w.now))
		w.scheduleAt(w.now+shutdownWait, &event{deliver: func() { m.up, m.removed = false, true }})
	case Remove:
		m.up, m.removed = false, true
	default:
		w.call(m, a)
	}
}

// call sends a client's request to a machine.
func (w *world) call(m *machine, a Action) {
	w.lastCall++
	id := w.lastCall
	w.calls[id] = call{a, w.now}
	switch a.Do {
	case Order:
		w.apply(m, m.controller.PutConfiguration(w.now, id, a.Revision, clusterstate.Pack([]byte(a.Content))))
	case Read:
		w.apply(m, m.controller.ReadConfiguration(w.now, id))
	case Drain:
		r := registry.Record{ID: a.Replica, Service: "s", Address: a.Replica + ":1", Phase: registry.Draining, Seq: 2}
		w.apply(m, m.controller.HandleReplicaCall(w.now, id, r))
	}
}

func (w *world) violate(format string, values ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %d ms: ", w.now/millisecond) + fmt.Sprintf(format, values...)
	}
}

func describeMembers(v register.Value) string {
	return strings.Join(v.Members, " ") + " after " + strings.Join(v.Prior, " ")
}
