// Package controllercheck explores whole controllers: the changes of members that they make among themselves, orders,
// departures and what followers are told. lab/modelcheck has every order of events of the register alone; controllers have
// timers, and no such search would end. So this one is bounded by how far a play may go from the punctual one, in which
// each message takes its time and nothing fails: all plays with one deviation are made, and of those with two as many as asked.
//
// A deviation befalls one event: a message is late, lost or comes twice, a save fails or hangs, or the machine that the event
// comes to is killed, loses power, or its disk as well. After the deviations everything goes well, and in the end the
// controllers have to be whole again.
package controllercheck

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Deviation is what befalls one event of a play.
type Deviation struct {
	Event int // counted from the beginning of the scope
	Kind  Kind
}

// Kind of a deviation.
type Kind uint8

// The kinds. The last three befall the machine that the event comes to. A save under way is lost with a kill as with the
// power, which is the harsher of what may become of it, so those two are one in effect.
const (
	Late     Kind = iota // the event comes 900 ms later
	VeryLate             // it comes 3 s later
	Lost                 // a message never comes, a save fails
	Twice                // it comes again 300 ms later
	Killed
	Unpowered
	Emptied
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

// Violation is a promise that a play broke.
type Violation struct {
	Schedule Schedule
	Text     string
}

// Result is what an exploration found.
type Result struct {
	Scope string
	Runs  int64
	First *Violation // nil where nothing is broken
}

func (r Result) String() string {
	if r.First == nil {
		return fmt.Sprintf("%s: %d plays, nothing broken", r.Scope, r.Runs)
	}
	return fmt.Sprintf("%s: %d plays, broken: %s (%s)", r.Scope, r.Runs, r.First.Text, r.First.Schedule)
}

// Explore makes all plays of a scope with one deviation, and of those with two so many at the most, evenly among them.
func Explore(s Scope, pairs, cores int) Result {
	x := &exploration{scope: s, result: Result{Scope: s.Name}}
	events := x.run(nil)
	var one, two []Schedule
	x.extend(nil, events, func(p Schedule) { one = append(one, p) })
	x.runAll(cores, one)
	all := 0
	for _, p := range one {
		x.extend(p, events, func(Schedule) { all++ })
	}
	stride, n := max(all/max(pairs, 1), 1), 0
	for _, p := range one {
		// How many events a play has after its first deviation is known once it was made. The punctual one's number serves: a
		// deviation of an event that does not come is none.
		x.extend(p, events, func(q Schedule) {
			if n++; n%stride == 0 && pairs > 0 {
				two = append(two, q)
			}
		})
	}
	x.runAll(cores, two)
	x.result.Runs = x.runs.Load()
	return x.result
}

type exploration struct {
	scope  Scope
	runs   atomic.Int64
	mu     sync.Mutex // guards result
	result Result
}

// extend visits the plays that go on from one by one more deviation, later than its last one.
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

// runAll has plays made on so many cores, until one is broken.
func (x *exploration) runAll(cores int, plays []Schedule) {
	var at atomic.Int64
	var all sync.WaitGroup
	for range cores {
		all.Go(func() {
			for {
				i := at.Add(1) - 1
				if i >= int64(len(plays)) || x.broken() {
					return
				}
				x.run(plays[i])
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

// run makes one play, notes what it broke, and returns how many events could have had a deviation.
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
