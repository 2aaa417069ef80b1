// Package controlsim plays a control cluster in virtual time from one seed: controllers with their disks, edges, operators and
// replicas. The state machines are the true ones of decide/, unchanged; sockets, disks, clocks and processes are simulated here as
// transport/ has them. What operators, replicas and edges saw goes to lab/controlsim/checker, which shares no code with decide/.
package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"willowsill/decide/locality"
	"willowsill/lab/controlsim/checker"
	"willowsill/lab/emulator/eventqueue"
)

const (
	millisecond   = int64(time.Millisecond)
	second        = int64(time.Second)
	seedCount     = 3
	maxClockDrift = 0.001 // by how much a machine's steady clock runs fast or slow at the most
)

// world is one run.
type world struct {
	plan            Plan
	now             int64 // true time, ns
	agenda          *eventqueue.Queue
	sequence        uint64
	network         *network
	machines        map[string]*machine
	machineNames    []string // of machines, in the order of their making
	servers         map[string]*server
	edges           map[string]*edge
	controllers     []string // controllers that are deployed now
	controllerLists []controllerList
	replicas        []*replica
	history         checker.History
	rng             *rand.Rand // of disks, processes and clients
	regions         locality.Regions
	orders          []*order
	highestRevision uint64 // revision that an operator has given out
	answerLosses    int    // faults under way that lose answers
	processes       int
	faultsAfterAck  map[uint64][]Fault // that begin after a revision is acknowledged
	trace           func(at int64, who, what string)
}

// startFaultsAfterAck has the faults begin that wait for a revision.
func (w *world) startFaultsAfterAck(revision uint64) {
	for _, f := range w.faultsAfterAck[revision] {
		w.scheduleAfter(int64(f.At), func() { w.startFault(f) })
	}
	delete(w.faultsAfterAck, revision)
}

// controllerList is which controllers were deployed from a time on.
type controllerList struct {
	at          int64
	controllers []string
}

// operatorList is the operators' list of controllers, which lags.
func (w *world) operatorList() []string {
	list := w.controllerLists[0].controllers
	for _, l := range w.controllerLists {
		if l.at+controllerListLag <= w.now {
			list = l.controllers
		}
	}
	return list
}

// setControllers notes that the controllers are others than before.
func (w *world) setControllers(core []string) {
	w.controllers = core
	w.controllerLists = append(w.controllerLists, controllerList{w.now, core})
}

// randomSeeds are what a settings file names when it is written now: three of the operators' list.
func (w *world) randomSeeds() []string {
	list := slices.Clone(w.operatorList())
	w.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(seedCount, len(list))]
}

// initialSeeds are the same for all machines at the first start.
func initialSeeds() (names []string) {
	for i := range seedCount {
		names = append(names, controllerName(i+1))
	}
	return names
}

// Result is what became of a run.
type Result struct {
	Plan         Plan
	Violations   []checker.Violation
	Orders       int
	Acknowledged int
	Reads        int
	Drains       int
	VirtualTime  time.Duration
	History      checker.History
}

// FirstBroken is the first check that failed, empty where none did.
func (r Result) FirstBroken() string {
	if len(r.Violations) == 0 {
		return ""
	}
	return r.Violations[0].Check
}

// Run plays a plan and checks what was seen. trace, where given, is told what happens.
func Run(p Plan, trace func(at int64, who, what string)) (Result, error) {
	if err := p.Validate(); err != nil {
		return Result{}, err
	}
	w := newWorld(p, trace)
	end := int64(p.Length)
	for {
		e, ok := w.agenda.Pop(end)
		if !ok {
			break
		}
		w.now = max(w.now, e.At)
		e.Payload.(func())()
	}
	w.now = end
	w.history.End = end
	for _, o := range w.orders {
		w.history.Orders = append(w.history.Orders, o.record)
	}
	r := Result{Plan: p, VirtualTime: p.Length, Orders: len(w.history.Orders), Reads: len(w.history.Reads), Drains: len(w.history.Drains),
		History: w.history}
	for _, o := range w.history.Orders {
		if o.Outcome == checker.Acknowledged {
			r.Acknowledged++
		}
	}
	r.Violations = checker.Check(w.history)
	return r, nil
}

func newWorld(p Plan, trace func(int64, string, string)) *world {
	w := &world{plan: p, agenda: eventqueue.New(0), machines: map[string]*machine{}, servers: map[string]*server{},
		edges: map[string]*edge{}, faultsAfterAck: map[uint64][]Fault{},
		regions: locality.Regions{zoneName(0): "west", zoneName(1): "west", zoneName(2): "east"}, rng: rand.New(rand.NewPCG(p.Seed, 1)), trace: trace}
	w.network = newNetwork(w, rand.New(rand.NewPCG(p.Seed, 2)))
	b := p.Bounds
	w.history.Bounds = checker.Bounds{Contact: int64(b.Contact), Apply: int64(b.Apply), Stretch: int64(b.Stretch),
		Drain: int64(b.Drain), OrderAck: int64(b.OrderAck)}
	for i := range p.Controllers {
		w.addController(controllerName(i+1), true)
	}
	w.controllerLists[0] = controllerList{controllers: w.controllers}
	for i := range p.Edges {
		w.addEdge(edgeName(i+1), zoneName(i%edgeZones))
	}
	w.scheduleClients()
	for _, f := range p.Faults {
		if f.After == 0 {
			w.scheduleAt(int64(f.At), func() { w.startFault(f) })
		} else {
			w.faultsAfterAck[f.After] = append(w.faultsAfterAck[f.After], f)
		}
	}
	return w
}

func controllerName(n int) string { return fmt.Sprint("c", n) }
func edgeName(n int) string       { return fmt.Sprint("e", n) }
func zoneName(n int) string       { return fmt.Sprint("zone", n+1) }

// Controllers stand in all zones by turns, edges in the first ones, which are of one region.
const (
	zones     = 3
	edgeZones = 2
)

// scheduleAt has something done at a time.
func (w *world) scheduleAt(when int64, do func()) {
	w.sequence++
	w.agenda.Push(eventqueue.Event{At: max(when, w.now), Seq: w.sequence, Payload: do})
}

// scheduleAfter has something done once so much time has gone by.
func (w *world) scheduleAfter(delay int64, do func()) { w.scheduleAt(w.now+delay, do) }

func (w *world) tracef(who, format string, values ...any) {
	if w.trace != nil {
		w.trace(w.now, who, fmt.Sprintf(format, values...))
	}
}

// randomBetween draws a time from a range.
func randomBetween(draw *rand.Rand, low, high int64) int64 {
	return low + draw.Int64N(max(high-low, 1))
}
