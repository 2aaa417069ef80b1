// Package overload knows how hard the process itself is pressed, apart from its replicas, and what it can still serve. From
// readings of the machine it keeps a level, from what queries cost a limit, and from both the price under which an arrival
// is turned away, so that the dearest are served. It paces the loop's rounds, and tells from the loop's beat how long the process
// itself stood. It does no I/O, has no clock and is owned by one caller at a time.
//
// Decides: the level of strain; how much work is taken on; which arrivals are turned away, and when they may come back; when
// a round comes; what of a wait was the process's own.
package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Level is how hard the process is pressed.
type Level uint8

// The levels.
const (
	Calm     Level = iota
	Busy           // it does what it can, and nothing waits
	Strained       // what comes waits for it
	Critical       // even turning away costs too much
)

var levels = [...]string{"calm", "busy", "strained", "critical"}

func (l Level) String() string { return levels[l] }

// Reading is what was read of the machine and the process over one stretch. Times in ns.
type Reading struct {
	Span        int64   // the stretch
	Late        int64   // how late the reading itself came
	Wait        int64   // that facts waited for the loop, in the mean
	Sched       int64   // that goroutines waited for a processor, 99 of 100 at most
	Used        int64   // processor time
	Throttled   int64   // time in which the processor was withheld
	GC          float64 // share of the processor time that went into collecting garbage
	Pause       int64   // the longest for which all stood for that
	Heap        float64 // live heap, of what is allowed
	Queue       float64 // facts that wait, of what there is room for
	Descriptors float64 // of what clients may have
}

// Workload is what is known of one kind of query.
type Workload struct {
	Revenue float64 // of one served within its goal
	Goal    int64   // ns
}

// Terms are what a Detector is made from.
type Terms struct {
	Cores     float64 // allowed
	Workloads []Workload
	Limit     string  // how the limit is found, one of Limits
	Fixed     float64 // for the fixed limit: queries a second
	Target    int64   // own lateness that is borne, ns
	Most      int64   // longest that a client can be told to stay away, ns; 0 where none can be told
	Floor     float64 // share of what can be served that customers are given by turns, whatever their queries are worth
	Seed      uint64
}

// signal is one thing that may press: its pressure is 1 where it strains.
type signal struct {
	name string
	of   func(t *Terms, r *Reading) float64
}

var signals = []signal{
	{"facts wait for the loop", func(t *Terms, r *Reading) float64 { return float64(r.Wait) / float64(t.Target) }},
	{"an own timer is late", func(t *Terms, r *Reading) float64 { return float64(r.Late) / (lateOf * float64(t.Target)) }},
	{"goroutines wait for a processor", func(t *Terms, r *Reading) float64 { return float64(r.Sched) / (schedOf * float64(t.Target)) }},
	// A processor in full use does no harm while nothing waits: it makes the process busy, and never strained.
	{"the processor is used up", func(t *Terms, r *Reading) float64 {
		return min(usedBusy*float64(r.Used)/(t.Cores*float64(max(r.Span, 1))), usedBusy)
	}},
	{"the processor is withheld", func(_ *Terms, r *Reading) float64 {
		return float64(r.Throttled) / (throttledOf * float64(max(r.Span, 1)))
	}},
	{"garbage is collected", func(_ *Terms, r *Reading) float64 { return r.GC / gcOf }},
	{"all stood for the garbage", func(t *Terms, r *Reading) float64 { return float64(r.Pause) / (pauseOf * float64(t.Target)) }},
	{"the heap is near its limit", func(_ *Terms, r *Reading) float64 { return max((r.Heap-heapFrom)/(heapOf-heapFrom), 0) }},
	{"the loop's queue is full", func(_ *Terms, r *Reading) float64 { return r.Queue / queueOf }},
	{"descriptors run short", func(_ *Terms, r *Reading) float64 {
		return max((r.Descriptors-descriptorsFrom)/(1-descriptorsFrom), 0)
	}},
}

// What presses how much, and when a level is reached and left.
const (
	lateOf          = 4.0  // targets that an own timer may be late
	schedOf         = 2.0  // and a goroutine wait: one in a hundred waits long on a busy machine
	usedBusy        = 0.6  // the pressure of a processor in full use
	throttledOf     = 0.2  // of the time
	gcOf            = 0.4  // of the processor: the runtime itself stops at a half
	pauseOf         = 4.0  // targets
	heapFrom        = 0.7  // of the limit: below that it says nothing
	heapOf          = 0.92 // and there it strains
	queueOf         = 0.3
	descriptorsFrom = 0.7

	toBusy, toStrained, toCritical = 0.5, 1.0, 4.0
	pressureMost                   = 8.0       // more is no worse
	leaveOf                        = 0.6       // a level is left under so much of what it was reached at,
	leaveAfter                     = 500 * 1e6 // ns for which that has held
	pressureRise                   = 0.6       // of a higher pressure that is believed at once,
	pressureFall                   = 0.25      // and of a lower
)

var reach = [...]float64{Busy: toBusy, Strained: toStrained, Critical: toCritical}

// Detector is the state of one process.
type Detector struct {
	Terms
	level    Level
	cause    string
	pressure float64
	below    int64 // since when the pressure is under what keeps the level; 0 while it is not
	costs    costs
	limit    limit
	worth    worth
	began    []float64 // queries taken on since the reading before, by workload,
	done     []float64 // those that ended,
	refused  float64   // those turned away with their heads read,
	unseen   float64   // and without
	used     float64   // processor time a second of late, ns
}

// New makes one at a process's start.
func New(now int64, t Terms) *Detector {
	s := &Detector{Terms: t, began: make([]float64, len(t.Workloads)),
		done: make([]float64, len(t.Workloads))}
	s.costs = newCosts(len(t.Workloads))
	s.limit = limits[t.Limit](&s.Terms)
	s.worth = newWorth(now, &s.Terms, rand.New(rand.NewPCG(t.Seed, 19)))
	return s
}

// Level is the present level.
func (s *Detector) Level() Level { return s.level }

// Cause names the signal that presses most, empty where none does.
func (s *Detector) Cause() string { return s.cause }

// Read takes in a reading, and tells whether the level has changed.
func (s *Detector) Read(now int64, r Reading) (changed bool) {
	pressure, cause := 0.0, ""
	for _, one := range signals {
		if p := one.of(&s.Terms, &r); p > pressure {
			pressure, cause = p, one.name
		}
	}
	pressure = min(pressure, pressureMost)
	by := pressureRise
	if pressure < s.pressure {
		by = pressureFall
	}
	s.pressure += by * (pressure - s.pressure)
	s.used += smooth * (float64(r.Used)*1e9/float64(max(r.Span, 1)) - s.used)
	s.costs.learn(&r, s.done, s.refused, s.unseen)
	s.limit.next(&r, pressure, s.work()*1e9/float64(max(r.Span, 1)), &s.costs)
	clear(s.began)
	clear(s.done)
	s.refused, s.unseen = 0, 0
	s.worth.look(now, s)

	was := s.level
	for s.level < Critical && s.pressure >= reach[s.level+1] {
		s.level++
		s.below = 0
	}
	switch {
	case s.level == was && s.level > Calm && s.pressure < leaveOf*reach[s.level]:
		if s.below == 0 {
			s.below = now
		}
		if now-s.below >= leaveAfter {
			s.level, s.below = s.level-1, 0
		}
	default:
		s.below = 0
	}
	if s.level > Calm && cause != "" {
		s.cause = cause
	}
	if s.level == Calm {
		s.cause = ""
	}
	return s.level != was
}

// can is the work a second that can be done as far as is known, ns: without a limit, what the cores are.
func (s *Detector) can() float64 { return min(s.limit.allowed(), s.Cores*1e9) }

// work is what the queries taken on since the last reading cost, ns.
func (s *Detector) work() (sum float64) {
	for w, n := range s.began {
		sum += n * s.costs.of(w)
	}
	return sum
}

// Arrival is a query as its head shows it.
type Arrival struct {
	Workload int
	Customer uint64 // a hash, 0 where none is named
	ID       uint64 // a hash
	Left     int64  // until its client gives up, ns
	Try      int    // as far as it is told: 1 for the first
}

// Arrive decides on a query before it has cost anything: it is taken on, or turned away, and its client may come back after
// some time, ns; 0 where it cannot be told.
func (s *Detector) Arrive(now int64, a Arrival) (taken bool, comeBack int64) {
	if taken, comeBack = s.worth.arrive(now, s, a); taken {
		s.began[a.Workload]++
	} else {
		s.refused++
	}
	return taken, comeBack
}

// Ended tells how long a query took that was taken on, and whether it was answered.
func (s *Detector) Ended(workload int, took int64, answered bool) {
	s.done[workload]++
	s.worth.ended(workload, took, answered)
}

// Unseen decides on a request of which nothing is read but its workload: true turns it away there and then. It is so only
// for what would be turned away at the best that it can be, and where that is common enough to cost something.
func (s *Detector) Unseen(now int64, workload int) (away bool, comeBack int64) {
	if !s.shedding() {
		return false, 0
	}
	if away, comeBack = s.worth.unseen(now, s, workload); away {
		s.unseen++
	}
	return away, comeBack
}

// Waited tells how long one that came waited for the process, ns: a fact for the loop, a query until it was seen.
func (s *Detector) Waited(ns int64) { s.worth.waited(ns) }

// shedding tells whether anything may be turned away now.
// Danger: on a calm day a wrong reckoning of costs must turn nobody away. Without anything that presses it never does. A
// crowd comes between two readings, so a wait that all share is enough.
func (s *Detector) shedding() bool {
	return s.level >= Busy || s.worth.wait > waitAlone*float64(s.Target)
}

// Figures tell how it stands.
type Figures struct {
	Level    string    `json:"level"`
	Cause    string    `json:"cause,omitempty"`
	Pressure float64   `json:"pressure"`
	Used     float64   `json:"cores_used"`
	Capacity []float64 `json:"capacity"` // queries a second that can be served of each workload, were there no other
	Costs    []float64 `json:"cost_ns"`  // of a query, by workload
	Refusal  float64   `json:"refusal_ns"`
	Unseen   float64   `json:"unseen_ns"`
	Floor    float64   `json:"floor_price"` // revenue for a second of the processor under which queries are turned away
}

// Figures are the present ones.
func (s *Detector) Figures() Figures {
	f := Figures{Level: s.level.String(), Cause: s.cause, Pressure: round3(s.pressure), Used: round3(s.used / 1e9),
		Refusal: math.Round(s.costs.refusal), Unseen: math.Round(s.costs.unseen)}
	for w := range s.Workloads {
		c := s.costs.of(w)
		f.Costs = append(f.Costs, math.Round(c))
		f.Capacity = append(f.Capacity, math.Round(s.can()/c))
	}
	if s.shedding() {
		f.Floor = round3(s.worth.floorPrice())
	}
	return f
}

func round3(x float64) float64 { return math.Round(x*1000) / 1000 }

// Check tells what terms cannot be.
func (t *Terms) Check() error {
	if _, known := limits[t.Limit]; !known {
		return fmt.Errorf("limit %q is none of %v", t.Limit, Limits)
	}
	if t.Target <= 0 || t.Cores <= 0 {
		return fmt.Errorf("target %d ns and %g cores: both are above 0", t.Target, t.Cores)
	}
	return nil
}
