// Package controllercheck explores schedules of events of whole controllers: membership changes, orders, drains and the updates sent
// to edges. lab/modelcheck explores every order of events of the register alone; controllers have timers, so such a search would
// not end. This search is bounded by the deviations from the schedule in which each message takes its usual time and nothing fails:
// it runs all schedules with one deviation, and a given number of those with two.
//
// A deviation affects one event: a message is late, lost or duplicated, a save fails or is late, or the machine that receives the
// event is killed, or loses its power or its disk. Nothing fails after the deviations, and at the end the controllers must have
// recovered completely.
package controllercheck

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Deviation is a fault of one event of a schedule.
type Deviation struct {
	Event int // position of the event among those that may have a deviation
	Kind  Kind
}

// Kind says what a deviation does to an event or to the machine that receives it.
type Kind uint8

// The kinds of deviations. The last three affect the machine that receives the event. A save that is not finished is lost with a kill
// too, which is the worse of the two possibilities, so Killed and Unpowered have the same effect.
const (
	Late     Kind = iota // the event happens 900 ms later
	VeryLate             // the event happens 3 s later
	Lost                 // a message is lost, or a save fails
	Twice                // a message is delivered again 300 ms later
	Killed
	Unpowered
	Emptied // the machine loses its power and its disk
	kindCount
)

var kindNames = [...]string{"late", "very late", "lost", "twice", "killed", "without power", "emptied"}

func (k Kind) String() string { return kindNames[k] }

// Schedule is a list of deviations, in the order of their events.
type Schedule []Deviation

func (p Schedule) String() string {
	if len(p) == 0 {
		return "punctual"
	}
	var words []string
	for _, d := range p {
		words = append(words, fmt.Sprintf("event %d %s", d.Event, d.Kind))
	}
	return strings.Join(words, ", ")
}

// Violation describes a broken invariant and the schedule that broke it.
type Violation struct {
	Schedule Schedule
	Text     string
}

// Result says how many schedules an exploration ran, and the first violation that it found.
type Result struct {
	Scope string
	Runs  int64
	First *Violation // nil if no invariant is broken
}

func (r Result) String() string {
	if r.First == nil {
		return fmt.Sprintf("%s: %d schedules, nothing broken", r.Scope, r.Runs)
	}
	return fmt.Sprintf("%s: %d schedules, broken: %s (%s)", r.Scope, r.Runs, r.First.Text, r.First.Schedule)
}

// Explore runs a scope without deviations, all its schedules with one deviation, and an evenly spread choice of those with two: about
// pairs of them, or what the scope asks for if that is more, and always fewer than twice as many. With 0 pairs there are none.
func Explore(s Scope, pairs, cores int) Result {
	if pairs > 0 {
		pairs = max(pairs, s.Pairs)
	}
	x := &exploration{scope: s, result: Result{Scope: s.Name}}
	events := x.run(nil)
	var single, double []Schedule
	x.extend(nil, events, func(p Schedule) { single = append(single, p) })
	x.runAll(cores, single)
	all := 0
	for _, p := range single {
		x.extend(p, events, func(Schedule) { all++ })
	}
	stride, n := max(all/max(pairs, 1), 1), 0
	for _, p := range single {
		// The number of events after the first deviation is known only after the run. The number without deviations is good enough:
		// a deviation of an event that never happens has no effect.
		x.extend(p, events, func(q Schedule) {
			if n++; n%stride == 0 && pairs > 0 {
				double = append(double, q)
			}
		})
	}
	x.runAll(cores, double)
	x.result.Runs = x.runs.Load()
	return x.result
}

// exploration is the shared state of the goroutines of one Explore.
type exploration struct {
	scope  Scope
	runs   atomic.Int64
	mu     sync.Mutex // guards result
	result Result
}

// extend calls visit with each schedule that has one more deviation than p, at an event after p's last one.
func (x *exploration) extend(p Schedule, events int, visit func(Schedule)) {
	from := 0
	if len(p) > 0 {
		from = p[len(p)-1].Event + 1
	}
	for event := from; event < events; event++ {
		for kind := range kindCount {
			if kind == Emptied && !x.scope.mayEmptyDisk(p) {
				continue
			}
			visit(append(slices.Clone(p), Deviation{event, kind}))
		}
	}
}

// runAll runs schedules in as many goroutines as cores, until one breaks an invariant.
func (x *exploration) runAll(cores int, schedules []Schedule) {
	var at atomic.Int64
	var all sync.WaitGroup
	for range cores {
		all.Go(func() {
			for {
				i := at.Add(1) - 1
				if i >= int64(len(schedules)) || x.broken() {
					return
				}
				x.run(schedules[i])
			}
		})
	}
	all.Wait()
}

func (x *exploration) broken() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.result.First != nil
}

// run runs one schedule, records the first violation, and returns the number of events that could have had a deviation.
func (x *exploration) run(p Schedule) int {
	w := newWorld(x.scope, p)
	w.run()
	x.runs.Add(1)
	if w.violation != "" {
		x.mu.Lock()
		if x.result.First == nil {
			x.result.First = &Violation{p, w.violation}
		}
		x.mu.Unlock()
	}
	return w.eligibleEvents
}
