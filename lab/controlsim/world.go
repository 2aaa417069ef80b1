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
	"willowsill/lab/emulator/agenda"
)

const (
	millisecond = int64(time.Millisecond)
	second      = int64(time.Second)
	seedsNamed  = 3
	rateMost    = 0.001 // by how much a machine's steady clock runs fast or slow at the most
)

// world is one run.
type world struct {
	plan     Plan
	now      int64 // true time, ns
	agenda   *agenda.Agenda
	sequence uint64
	network  *network
	machines map[string]*machine
	names    []string // of machines, in the order of their making
	servers  map[string]*server
	edges    map[string]*edge
	core     []string // controllers that are deployed now
	lists    []listing
	replicas []*replica
	history  checker.History
	draw     *rand.Rand // of disks, processes and clients
	regions  locality.Regions
	orders   []*order
	highest  uint64 // revision that an operator has given out
	lose     int    // faults under way that lose answers
	lives    int
	onAck    map[uint64][]Fault // that begin after a revision is acknowledged
	trace    func(at int64, who, what string)
}

// acknowledged has the faults begin that wait for a revision.
func (w *world) acknowledged(revision uint64) {
	for _, f := range w.onAck[revision] {
		w.after(int64(f.At), func() { w.befall(f) })
	}
	delete(w.onAck, revision)
}

// listing is which controllers were deployed from a time on.
type listing struct {
	at   int64
	core []string
}

// listed is the operators' list of controllers, which lags.
func (w *world) listed() []string {
	list := w.lists[0].core
	for _, l := range w.lists {
		if l.at+listLag <= w.now {
			list = l.core
		}
	}
	return list
}

// deployed notes that the controllers are others than before.
func (w *world) deployed(core []string) {
	w.core = core
	w.lists = append(w.lists, listing{w.now, core})
}

// seeds are what a settings file names when it is written now: three of the operators' list.
func (w *world) seeds() []string {
	list := slices.Clone(w.listed())
	w.draw.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(seedsNamed, len(list))]
}

// firstSeeds are the same for all machines at the first start.
func firstSeeds() (names []string) {
	for i := range seedsNamed {
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
	Virtual      time.Duration
	History      checker.History
}

// Broken is the first check that failed, empty where none did.
func (r Result) Broken() string {
	if len(r.Violations) == 0 {
		return ""
	}
	return r.Violations[0].Check
}

// Run plays a plan and checks what was seen. trace, where given, is told what happens.
func Run(p Plan, trace func(at int64, who, what string)) (Result, error) {
	if err := p.Valid(); err != nil {
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
		e.Load.(func())()
	}
	w.now = end
	w.history.End = end
	for _, o := range w.orders {
		w.history.Orders = append(w.history.Orders, o.seen)
	}
	r := Result{Plan: p, Virtual: p.Length, Orders: len(w.history.Orders), Reads: len(w.history.Reads), Drains: len(w.history.Drains),
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
	w := &world{plan: p, agenda: agenda.New(0), machines: map[string]*machine{}, servers: map[string]*server{},
		edges: map[string]*edge{}, onAck: map[uint64][]Fault{},
		regions: locality.Regions{zoneName(0): "west", zoneName(1): "west", zoneName(2): "east"}, draw: rand.New(rand.NewPCG(p.Seed, 1)), trace: trace}
	w.network = newNetwork(w, rand.New(rand.NewPCG(p.Seed, 2)))
	b := p.Bounds
	w.history.Bounds = checker.Bounds{Contact: int64(b.Contact), Apply: int64(b.Apply), Stretch: int64(b.Stretch),
		Drain: int64(b.Drain), OrderAck: int64(b.OrderAck)}
	for i := range p.Controllers {
		w.addController(controllerName(i+1), true)
	}
	w.lists[0] = listing{core: w.core}
	for i := range p.Edges {
		w.addEdge(edgeName(i+1), zoneName(i%edgeZones))
	}
	w.addClients()
	for _, f := range p.Faults {
		if f.After == 0 {
			w.at(int64(f.At), func() { w.befall(f) })
		} else {
			w.onAck[f.After] = append(w.onAck[f.After], f)
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

// at has something done at a time.
func (w *world) at(when int64, do func()) {
	w.sequence++
	w.agenda.Push(agenda.Event{At: max(when, w.now), Seq: w.sequence, Load: do})
}

// after has something done once so much time has gone by.
func (w *world) after(delay int64, do func()) { w.at(w.now+delay, do) }

func (w *world) tell(who, format string, values ...any) {
	if w.trace != nil {
		w.trace(w.now, who, fmt.Sprintf(format, values...))
	}
}

// between draws a time from a range.
func between(draw *rand.Rand, low, high int64) int64 { return low + draw.Int64N(max(high-low, 1)) }
