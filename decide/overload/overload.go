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
	Calm       Level = iota
	Busy             // it does what it can, and nothing waits
	Overloaded       // what comes waits for it
	Critical         // even turning away costs too much
)

var levelNames = [...]string{"calm", "busy", "strained", "critical"}

func (l Level) String() string { return levelNames[l] }

// Reading is what was read of the machine and the process over one stretch. Times in ns.
type Reading struct {
	Span            int64   // the stretch
	TimerLateness   int64   // how late the reading itself came
	MeanWait        int64   // that facts waited for the loop, in the mean
	SchedLatency    int64   // that goroutines waited for a processor, 99 of 100 at most
	CPUTime         int64   // processor time
	ThrottledTime   int64   // time in which the processor was withheld
	GCShare         float64 // share of the processor time that went into collecting garbage
	MaxGCPause      int64   // the longest for which all stood for that
	HeapShare       float64 // live heap, of what is allowed
	QueueShare      float64 // facts that wait, of what there is room for
	DescriptorShare float64 // of what clients may have
}

// Workload is what is known of one kind of query.
type Workload struct {
	Revenue     float64 // of one served within its goal
	LatencyGoal int64   // ns
}

// Config are what a Detector is made from.
type Config struct {
	Cores         float64 // allowed
	Workloads     []Workload
	LimitKind     string  // how the limit is found, one of Limits
	FixedRate     float64 // for the fixed limit: queries a second
	WaitTarget    int64   // own lateness that is borne, ns
	MaxRetryAfter int64   // longest that a client can be told to stay away, ns; 0 where none can be told
	CustomerFloor float64 // share of what can be served that customers are given by turns, whatever their queries are worth
	Seed          uint64
}

// signal is one thing that may press: its pressure is 1 where it strains.
type signal struct {
	name     string
	pressure func(t *Config, r *Reading) float64
}

var signals = []signal{
	{"facts wait for the loop", func(t *Config, r *Reading) float64 { return float64(r.MeanWait) / float64(t.WaitTarget) }},
	{"an own timer is late", func(t *Config, r *Reading) float64 {
		return float64(r.TimerLateness) / (timerLatenessTargets * float64(t.WaitTarget))
	}},
	{"goroutines wait for a processor", func(t *Config, r *Reading) float64 {
		return float64(r.SchedLatency) / (schedLatencyTargets * float64(t.WaitTarget))
	}},
	// A processor in full use does no harm while nothing waits: it makes the process busy, and never strained.
	{"the processor is used up", func(t *Config, r *Reading) float64 {
		return min(fullCPUPressure*float64(r.CPUTime)/(t.Cores*float64(max(r.Span, 1))), fullCPUPressure)
	}},
	{"the processor is withheld", func(_ *Config, r *Reading) float64 {
		return float64(r.ThrottledTime) / (maxThrottledShare * float64(max(r.Span, 1)))
	}},
	{"garbage is collected", func(_ *Config, r *Reading) float64 { return r.GCShare / maxGCShare }},
	{"all stood for the garbage", func(t *Config, r *Reading) float64 {
		return float64(r.MaxGCPause) / (gcPauseTargets * float64(t.WaitTarget))
	}},
	{"the heap is near its limit", func(_ *Config, r *Reading) float64 {
		return max((r.HeapShare-heapPressureFrom)/(maxHeapShare-heapPressureFrom), 0)
	}},
	{"the loop's queue is full", func(_ *Config, r *Reading) float64 { return r.QueueShare / maxQueueShare }},
	{"descriptors run short", func(_ *Config, r *Reading) float64 {
		return max((r.DescriptorShare-descriptorPressureFrom)/(1-descriptorPressureFrom), 0)
	}},
}

// What presses how much, and when a level is reached and left.
const (
	timerLatenessTargets   = 4.0  // targets that an own timer may be late
	schedLatencyTargets    = 2.0  // and a goroutine wait: one in a hundred waits long on a busy machine
	fullCPUPressure        = 0.6  // the pressure of a processor in full use
	maxThrottledShare      = 0.2  // of the time
	maxGCShare             = 0.4  // of the processor: the runtime itself stops at a half
	gcPauseTargets         = 4.0  // targets
	heapPressureFrom       = 0.7  // of the limit: below that it says nothing
	maxHeapShare           = 0.92 // and there it strains
	maxQueueShare          = 0.3
	descriptorPressureFrom = 0.7

	busyPressure, overloadedPressure, criticalPressure = 0.5, 1.0, 4.0
	maxPressure                                        = 8.0       // more is no worse
	leaveShare                                         = 0.6       // a level is left under so much of what it was reached at,
	leaveAfterNs                                       = 500 * 1e6 // ns for which that has held
	riseSmoothing                                      = 0.6       // of a higher pressure that is believed at once,
	fallSmoothing                                      = 0.25      // and of a lower
)

var levelThresholds = [...]float64{Busy: busyPressure, Overloaded: overloadedPressure, Critical: criticalPressure}

// Detector is the state of one process.
type Detector struct {
	Config
	level          Level
	cause          string
	pressure       float64
	belowSince     int64 // since when the pressure is under what keeps the level; 0 while it is not
	costs          costs
	limit          limiter
	pricing        pricing
	admitted       []float64 // queries taken on since the reading before, by workload,
	ended          []float64 // those that ended,
	rejected       float64   // those turned away with their heads read,
	rejectedUnread float64   // and without
	cpuRate        float64   // processor time a second of late, ns
}

// New makes one at a process's start.
func New(now int64, t Config) *Detector {
	s := &Detector{Config: t, admitted: make([]float64, len(t.Workloads)),
		ended: make([]float64, len(t.Workloads))}
	s.costs = newCosts(len(t.Workloads))
	s.limit = limiters[t.LimitKind](&s.Config)
	s.pricing = newPricing(now, &s.Config, rand.New(rand.NewPCG(t.Seed, 19)))
	return s
}

// Level is the present level.
func (s *Detector) Level() Level { return s.level }

// Cause names the signal that presses most, empty where none does.
func (s *Detector) Cause() string { return s.cause }

// Observe takes in a reading, and tells whether the level has changed.
func (s *Detector) Observe(now int64, r Reading) (changed bool) {
	pressure, cause := 0.0, ""
	for _, one := range signals {
		if p := one.pressure(&s.Config, &r); p > pressure {
			pressure, cause = p, one.name
		}
	}
	pressure = min(pressure, maxPressure)
	by := riseSmoothing
	if pressure < s.pressure {
		by = fallSmoothing
	}
	s.pressure += by * (pressure - s.pressure)
	s.cpuRate += smoothing * (float64(r.CPUTime)*1e9/float64(max(r.Span, 1)) - s.cpuRate)
	s.costs.learn(&r, s.ended, s.rejected, s.rejectedUnread)
	s.limit.update(&r, pressure, s.admittedWork()*1e9/float64(max(r.Span, 1)), &s.costs)
	clear(s.admitted)
	clear(s.ended)
	s.rejected, s.rejectedUnread = 0, 0
	s.pricing.updateFloor(now, s)

	was := s.level
	for s.level < Critical && s.pressure >= levelThresholds[s.level+1] {
		s.level++
		s.belowSince = 0
	}
	switch {
	case s.level == was && s.level > Calm && s.pressure < leaveShare*levelThresholds[s.level]:
		if s.belowSince == 0 {
			s.belowSince = now
		}
		if now-s.belowSince >= leaveAfterNs {
			s.level, s.belowSince = s.level-1, 0
		}
	default:
		s.belowSince = 0
	}
	if s.level > Calm && cause != "" {
		s.cause = cause
	}
	if s.level == Calm {
		s.cause = ""
	}
	return s.level != was
}

// capacity is the work a second that can be done as far as is known, ns: without a limit, what the cores are.
func (s *Detector) capacity() float64 { return min(s.limit.allowed(), s.Cores*1e9) }

// admittedWork is what the queries taken on since the last reading cost, ns.
func (s *Detector) admittedWork() (sum float64) {
	for w, n := range s.admitted {
		sum += n * s.costs.ofQuery(w)
	}
	return sum
}

// Arrival is a query as its head shows it.
type Arrival struct {
	Workload int
	Customer uint64 // a hash, 0 where none is named
	ID       uint64 // a hash
	TimeLeft int64  // until its client gives up, ns
	Attempt  int    // as far as it is told: 1 for the first
}

// Admit decides on a query before it has cost anything: it is taken on, or turned away, and its client may come back after
// some time, ns; 0 where it cannot be told.
func (s *Detector) Admit(now int64, a Arrival) (admitted bool, retryAfter int64) {
	if admitted, retryAfter = s.pricing.admit(now, s, a); admitted {
		s.admitted[a.Workload]++
	} else {
		s.rejected++
	}
	return admitted, retryAfter
}

// RecordEnd tells how long a query took that was taken on, and whether it was answered.
func (s *Detector) RecordEnd(workload int, took int64, answered bool) {
	s.ended[workload]++
	s.pricing.recordEnd(workload, took, answered)
}

// RejectUnread decides on a request of which nothing is read but its workload: true turns it away there and then. It is so only
// for what would be turned away at the best that it can be, and where that is common enough to cost something.
func (s *Detector) RejectUnread(now int64, workload int) (rejected bool, retryAfter int64) {
	if !s.shedding() {
		return false, 0
	}
	if rejected, retryAfter = s.pricing.rejectUnread(now, s, workload); rejected {
		s.rejectedUnread++
	}
	return rejected, retryAfter
}

// RecordWait tells how long one that came waited for the process, ns: a fact for the loop, a query until it was seen.
func (s *Detector) RecordWait(ns int64) { s.pricing.recordWait(ns) }

// shedding tells whether anything may be turned away now.
// Danger: on a calm day a wrong reckoning of costs must turn nobody away. Without anything that presses it never does. A
// crowd comes between two readings, so a wait that all share is enough.
func (s *Detector) shedding() bool {
	return s.level >= Busy || s.pricing.meanWait > sheddingWaitTargets*float64(s.WaitTarget)
}

// Stats tell how it stands.
type Stats struct {
	Level            string    `json:"level"`
	Cause            string    `json:"cause,omitempty"`
	Pressure         float64   `json:"pressure"`
	CoresUsed        float64   `json:"cores_used"`
	Capacity         []float64 `json:"capacity"` // queries a second that can be served of each workload, were there no other
	QueryCosts       []float64 `json:"cost_ns"`  // of a query, by workload
	RejectCost       float64   `json:"refusal_ns"`
	UnreadRejectCost float64   `json:"unseen_ns"`
	FloorPrice       float64   `json:"floor_price"` // revenue for a second of the processor under which queries are turned away
}

// Stats are the present ones.
func (s *Detector) Stats() Stats {
	f := Stats{Level: s.level.String(), Cause: s.cause, Pressure: round3(s.pressure), CoresUsed: round3(s.cpuRate / 1e9),
		RejectCost: math.Round(s.costs.reject), UnreadRejectCost: math.Round(s.costs.rejectUnread)}
	for w := range s.Workloads {
		c := s.costs.ofQuery(w)
		f.QueryCosts = append(f.QueryCosts, math.Round(c))
		f.Capacity = append(f.Capacity, math.Round(s.capacity()/c))
	}
	if s.shedding() {
		f.FloorPrice = round3(s.pricing.floorPrice())
	}
	return f
}

func round3(x float64) float64 { return math.Round(x*1000) / 1000 }

// Validate tells what terms cannot be.
func (t *Config) Validate() error {
	if _, known := limiters[t.LimitKind]; !known {
		return fmt.Errorf("limit %q is none of %v", t.LimitKind, LimitKinds)
	}
	if t.WaitTarget <= 0 || t.Cores <= 0 {
		return fmt.Errorf("target %d ns and %g cores: both are above 0", t.WaitTarget, t.Cores)
	}
	return nil
}
