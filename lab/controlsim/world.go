// Package controlsim simulates a control cluster deterministically from one seed, in virtual time: controllers with their disks,
// edges, operators and replicas. It runs the state machines of decide/ unchanged, and simulates sockets, disks, clocks and processes
// with the behaviour of transport/. A run records what operators, replicas and edges observe, and lab/controlsim/checker, which
// shares no code with decide/, checks this history.
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
	seedCount     = 3     // number of controllers that a machine's settings name as seeds
	maxClockDrift = 0.001 // maximum relative error of a machine's monotonic clock, in either direction
)

// world is the state of one run.
type world struct {
	plan            Plan
	now             int64 // true time, ns
	events          *eventqueue.Queue
	sequence        uint64
	network         *network
	machines        map[string]*machine
	machineNames    []string // in the order in which the machines were added
	servers         map[string]*server
	edges           map[string]*edge
	controllers     []string // controllers that are deployed now
	controllerLists []controllerList
	replicas        []*replica
	history         checker.History
	rng             *rand.Rand // random source of disks, processes and clients; the network has its own
	regions         locality.Regions
	orders          []*order
	highestRevision uint64 // highest revision that an operator has sent
	answerLosses    int    // number of active faults that lose answers
	processes       int
	faultsAfterAck  map[uint64][]Fault // faults that start after a revision's first acknowledgement
	trace           func(at int64, who, what string)
}

// startFaultsAfterAck schedules the faults that start after a revision's first acknowledgement.
func (w *world) startFaultsAfterAck(revision uint64) {
	for _, f := range w.faultsAfterAck[revision] {
		w.scheduleAfter(int64(f.At), func() { w.startFault(f) })
	}
	delete(w.faultsAfterAck, revision)
}

// controllerList is the list of deployed controllers from a time on.
type controllerList struct {
	at          int64
	controllers []string
}

// operatorList returns the operators' list of controllers, which is controllerListLag old.
func (w *world) operatorList() []string {
	list := w.controllerLists[0].controllers
	for _, l := range w.controllerLists {
		if l.at+controllerListLag <= w.now {
			list = l.controllers
		}
	}
	return list
}

// setControllers records a changed list of deployed controllers.
func (w *world) setControllers(controllers []string) {
	w.controllers = controllers
	w.controllerLists = append(w.controllerLists, controllerList{w.now, controllers})
}

// randomSeeds returns the seeds of a settings file that is written now: random controllers of the operators' list.
func (w *world) randomSeeds() []string {
	list := slices.Clone(w.operatorList())
	w.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(seedCount, len(list))]
}

// initialSeeds returns the seeds of the first start, which are the same for all machines.
func initialSeeds() (names []string) {
	for i := range seedCount {
		names = append(names, controllerName(i+1))
	}
	return names
}

// Result is the outcome of a run: counts of requests, violations and the recorded history.
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

// FirstBroken returns the name of the first check that failed, or an empty string.
func (r Result) FirstBroken() string {
	if len(r.Violations) == 0 {
		return ""
	}
	return r.Violations[0].Check
}

// Run simulates a plan and checks its history. trace, if not nil, is called with each event of interest; at is in ns of virtual time.
func Run(p Plan, trace func(at int64, who, what string)) (Result, error) {
	if err := p.Validate(); err != nil {
		return Result{}, err
	}
	w := newWorld(p, trace)
	end := int64(p.Length)
	for {
		e, ok := w.events.Pop(end)
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
	w := &world{plan: p, events: eventqueue.New(0), machines: map[string]*machine{}, servers: map[string]*server{},
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

// Controllers are assigned to all zones in turn, edges to the first zones only, which are in one region.
const (
	zones     = 3
	edgeZones = 2
)

// scheduleAt runs do at a given time.
func (w *world) scheduleAt(when int64, do func()) {
	w.sequence++
	w.events.Push(eventqueue.Event{At: max(when, w.now), Seq: w.sequence, Payload: do})
}

// scheduleAfter runs do after a delay.
func (w *world) scheduleAfter(delay int64, do func()) { w.scheduleAt(w.now+delay, do) }

func (w *world) tracef(who, format string, values ...any) {
	if w.trace != nil {
		w.trace(w.now, who, fmt.Sprintf(format, values...))
	}
}

// randomBetween returns a random duration from low up to high.
func randomBetween(rng *rand.Rand, low, high int64) int64 {
	return low + rng.Int64N(max(high-low, 1))
}
