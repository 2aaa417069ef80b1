// Package overload measures how overloaded the process itself is, apart from its replicas, and decides what it can
// still serve. From readings of the machine it derives a level of overload, from the processor time that queries cost a
// limit on admitted work, and from both the price below which arriving queries are rejected, so that the most valuable
// ones are served. It also decides when the event loop runs its next round, and measures from the loop's wake-ups how
// long the process itself stalled. It does no I/O, has no clock and is used by one caller at a time.
//
// Decides: the level of overload; how much work is admitted; which arrivals are rejected, and when their clients may
// retry; when a round runs; which part of a wait the process itself caused.
package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Level says how overloaded the process is.
type Level uint8

const (
	Calm       Level = iota // the process is below its capacity
	Busy                    // the process is at its capacity, but nothing waits
	Overloaded              // incoming work waits for the process
	Critical                // even rejecting queries costs too much
)

var levelNames = [...]string{"calm", "busy", "strained", "critical"}

func (l Level) String() string { return levelNames[l] }

// Reading is what was measured of the machine and the process over one interval. Times are in ns.
type Reading struct {
	Span            int64   // length of the interval
	TimerLateness   int64   // how late the timer for this reading fired
	MeanWait        int64   // mean time that facts, the inputs of the event loop, waited for the loop
	SchedLatency    int64   // 99th percentile of the time that goroutines waited for a processor
	CPUTime         int64   // processor time that the process used
	ThrottledTime   int64   // time for which the processor was withheld from the process
	GCShare         float64 // share of the processor time spent on garbage collection
	MaxGCPause      int64   // the longest stop of all goroutines for garbage collection
	HeapShare       float64 // live heap, as a share of the memory limit
	QueueShare      float64 // facts that wait for the event loop, as a share of its queue's capacity
	DescriptorShare float64 // descriptors in use for clients, as a share of their limit
}

// Workload describes one kind of query.
type Workload struct {
	Revenue     float64 // revenue of a query that is answered within its latency goal
	LatencyGoal int64   // ns
}

// Config holds a Detector's settings.
type Config struct {
	Cores         float64 // processor cores that the process may use
	Workloads     []Workload
	LimitKind     string  // how the limit on admitted work is found, one of LimitKinds
	FixedRate     float64 // for the limit "fixed": queries a second
	WaitTarget    int64   // ns that facts may wait for the process before it counts as overloaded
	MaxRetryAfter int64   // longest time after which a client can be told to retry, ns; 0 if clients cannot be sent one
	CustomerFloor float64 // share of the capacity that is divided among customers whatever their queries are worth
	Seed          uint64
}

// signal is one indicator of overload. Its pressure is 1 where the process becomes overloaded.
type signal struct {
	name     string
	pressure func(c *Config, r *Reading) float64
}

var signals = []signal{
	{"facts wait for the loop", func(c *Config, r *Reading) float64 { return float64(r.MeanWait) / float64(c.WaitTarget) }},
	{"an own timer is late", func(c *Config, r *Reading) float64 {
		return float64(r.TimerLateness) / (timerLatenessTargets * float64(c.WaitTarget))
	}},
	{"goroutines wait for a processor", func(c *Config, r *Reading) float64 {
		return float64(r.SchedLatency) / (schedLatencyTargets * float64(c.WaitTarget))
	}},
	// A processor in full use does no harm while nothing waits, so this signal alone makes the process Busy but not
	// Overloaded.
	{"the processor is used up", func(c *Config, r *Reading) float64 {
		return min(fullCPUPressure*float64(r.CPUTime)/(c.Cores*float64(max(r.Span, 1))), fullCPUPressure)
	}},
	{"the processor is withheld", func(_ *Config, r *Reading) float64 {
		return float64(r.ThrottledTime) / (maxThrottledShare * float64(max(r.Span, 1)))
	}},
	{"garbage is collected", func(_ *Config, r *Reading) float64 { return r.GCShare / maxGCShare }},
	{"all stood for the garbage", func(c *Config, r *Reading) float64 {
		return float64(r.MaxGCPause) / (gcPauseTargets * float64(c.WaitTarget))
	}},
	{"the heap is near its limit", func(_ *Config, r *Reading) float64 {
		return max((r.HeapShare-heapPressureFrom)/(maxHeapShare-heapPressureFrom), 0)
	}},
	{"the loop's queue is full", func(_ *Config, r *Reading) float64 { return r.QueueShare / maxQueueShare }},
	{"descriptors run short", func(_ *Config, r *Reading) float64 {
		return max((r.DescriptorShare-descriptorPressureFrom)/(1-descriptorPressureFrom), 0)
	}},
}

// Values at which a signal's pressure is 1, and the pressures at which levels are reached and left.
const (
	timerLatenessTargets   = 4.0  // wait targets that a timer may be late
	schedLatencyTargets    = 2.0  // wait targets for the 99th percentile of goroutines, which wait long on any busy machine
	fullCPUPressure        = 0.6  // pressure of a processor in full use
	maxThrottledShare      = 0.2  // share of the interval for which the processor is withheld, at a pressure of 1
	maxGCShare             = 0.4  // share of the processor time spent on garbage collection, at a pressure of 1; the Go runtime itself limits it to a half
	gcPauseTargets         = 4.0  // wait targets that the longest pause for garbage collection takes, at a pressure of 1
	heapPressureFrom       = 0.7  // share of the memory limit below which the heap causes no pressure
	maxHeapShare           = 0.92 // share of the memory limit at which the heap's pressure is 1
	maxQueueShare          = 0.3  // share of the queue's capacity that is in use, at a pressure of 1
	descriptorPressureFrom = 0.7  // share of the limit below which descriptors cause no pressure

	busyPressure, overloadedPressure, criticalPressure = 0.5, 1.0, 4.0
	maxPressure                                        = 8.0       // higher pressures are cut to this
	leaveShare                                         = 0.6       // share of a level's threshold below which the level is left
	leaveAfterNs                                       = 500 * 1e6 // ns for which the pressure must stay below leaveShare of the threshold before the level is left
	riseSmoothing                                      = 0.6       // weight of a new pressure that is above the smoothed one
	fallSmoothing                                      = 0.25      // weight of a new pressure that is below the smoothed one
)

var levelThresholds = [...]float64{Busy: busyPressure, Overloaded: overloadedPressure, Critical: criticalPressure}

// Detector is the overload state of one process.
type Detector struct {
	Config
	level          Level
	cause          string
	pressure       float64
	belowSince     int64 // since when the pressure is low enough to leave the level; 0 while it is not
	costs          costs
	limit          limiter
	pricing        pricing
	admitted       []float64 // queries admitted since the last reading, by workload
	ended          []float64 // admitted queries that ended since the last reading, by workload
	rejected       float64   // queries rejected since the last reading after their heads were read
	rejectedUnread float64   // queries rejected since the last reading without their heads being read
	cpuRate        float64   // processor time used a second, smoothed, ns
}

// New returns the Detector of a process that starts now.
func New(now int64, config Config) *Detector {
	d := &Detector{Config: config, admitted: make([]float64, len(config.Workloads)),
		ended: make([]float64, len(config.Workloads))}
	d.costs = newCosts(len(config.Workloads))
	d.limit = limiters[config.LimitKind](&d.Config)
	d.pricing = newPricing(now, &d.Config, rand.New(rand.NewPCG(config.Seed, 19)))
	return d
}

// Level returns the current level.
func (d *Detector) Level() Level { return d.level }

// Cause names the signal that causes the highest pressure; it is empty while the process is calm.
func (d *Detector) Cause() string { return d.cause }

// Observe updates the state from a reading and reports whether the level has changed.
func (d *Detector) Observe(now int64, r Reading) (changed bool) {
	pressure, cause := 0.0, ""
	for _, sig := range signals {
		if p := sig.pressure(&d.Config, &r); p > pressure {
			pressure, cause = p, sig.name
		}
	}
	pressure = min(pressure, maxPressure)
	weight := riseSmoothing
	if pressure < d.pressure {
		weight = fallSmoothing
	}
	d.pressure += weight * (pressure - d.pressure)
	d.cpuRate += smoothing * (float64(r.CPUTime)*1e9/float64(max(r.Span, 1)) - d.cpuRate)
	d.costs.learn(&r, d.ended, d.rejected, d.rejectedUnread)
	d.limit.update(&r, pressure, d.admittedWork()*1e9/float64(max(r.Span, 1)), &d.costs)
	clear(d.admitted)
	clear(d.ended)
	d.rejected, d.rejectedUnread = 0, 0
	d.pricing.updateFloor(now, d)

	was := d.level
	for d.level < Critical && d.pressure >= levelThresholds[d.level+1] {
		d.level++
		d.belowSince = 0
	}
	switch {
	case d.level == was && d.level > Calm && d.pressure < leaveShare*levelThresholds[d.level]:
		if d.belowSince == 0 {
			d.belowSince = now
		}
		if now-d.belowSince >= leaveAfterNs {
			d.level, d.belowSince = d.level-1, 0
		}
	default:
		d.belowSince = 0
	}
	if d.level > Calm && cause != "" {
		d.cause = cause
	}
	if d.level == Calm {
		d.cause = ""
	}
	return d.level != was
}

// capacity returns the work that can be done in a second as far as is known, in ns of processor time. Without a limit
// it is what the cores provide.
func (d *Detector) capacity() float64 { return min(d.limit.allowed(), d.Cores*1e9) }

// admittedWork returns the processor time that the queries admitted since the last reading cost, ns.
func (d *Detector) admittedWork() (sum float64) {
	for w, n := range d.admitted {
		sum += n * d.costs.ofQuery(w)
	}
	return sum
}

// Arrival describes a query by what its head shows.
type Arrival struct {
	Workload int
	Customer uint64 // a hash; 0 if no customer is named
	ID       uint64 // a hash
	TimeLeft int64  // until its client gives up, ns
	Attempt  int    // 1 for the first attempt, as far as the client states it
}

// Admit decides on a query before it has cost anything. The client of a rejected query may retry after retryAfter, ns;
// that is 0 if clients cannot be sent a time.
func (d *Detector) Admit(now int64, a Arrival) (admitted bool, retryAfter int64) {
	if admitted, retryAfter = d.pricing.admit(now, d, a); admitted {
		d.admitted[a.Workload]++
	} else {
		d.rejected++
	}
	return admitted, retryAfter
}

// RecordEnd records how long an admitted query took and whether it was answered.
func (d *Detector) RecordEnd(workload int, duration int64, answered bool) {
	d.ended[workload]++
	d.pricing.recordEnd(workload, duration, answered)
}

// RejectUnread decides whether to reject a request of which nothing is known but its workload. It rejects only what
// would be rejected at the highest price that a query of the workload can have, and only where such requests are common
// enough for reading their heads to cost something.
func (d *Detector) RejectUnread(now int64, workload int) (rejected bool, retryAfter int64) {
	if !d.shedding() {
		return false, 0
	}
	if rejected, retryAfter = d.pricing.rejectUnread(now, d, workload); rejected {
		d.rejectedUnread++
	}
	return rejected, retryAfter
}

// RecordWait records how long something waited for the process, ns: a fact for the event loop, or a query until it was
// looked at.
func (d *Detector) RecordWait(ns int64) { d.pricing.recordWait(ns) }

// shedding reports whether anything may be rejected now.
//
// Danger: without overload, wrong cost estimates must not reject anything, so nothing is rejected without pressure. A
// burst may arrive between two readings, so a long mean wait is enough.
func (d *Detector) shedding() bool {
	return d.level >= Busy || d.pricing.meanWait > sheddingWaitTargets*float64(d.WaitTarget)
}

// Stats are a Detector's current values.
type Stats struct {
	Level            string    `json:"level"`
	Cause            string    `json:"cause,omitempty"`
	Pressure         float64   `json:"pressure"`
	CoresUsed        float64   `json:"cores_used"`
	Capacity         []float64 `json:"capacity"` // queries a second of each workload that could be served if there were no other
	QueryCosts       []float64 `json:"cost_ns"`  // of a query, by workload
	RejectCost       float64   `json:"refusal_ns"`
	UnreadRejectCost float64   `json:"unseen_ns"`
	FloorPrice       float64   `json:"floor_price"` // revenue for a second of processor time below which queries are rejected
}

// Stats returns the current values.
func (d *Detector) Stats() Stats {
	f := Stats{Level: d.level.String(), Cause: d.cause, Pressure: round3(d.pressure), CoresUsed: round3(d.cpuRate / 1e9),
		RejectCost: math.Round(d.costs.reject), UnreadRejectCost: math.Round(d.costs.rejectUnread)}
	for w := range d.Workloads {
		c := d.costs.ofQuery(w)
		f.QueryCosts = append(f.QueryCosts, math.Round(c))
		f.Capacity = append(f.Capacity, math.Round(d.capacity()/c))
	}
	if d.shedding() {
		f.FloorPrice = round3(d.pricing.floorPrice())
	}
	return f
}

func round3(x float64) float64 { return math.Round(x*1000) / 1000 }

// Validate reports settings that cannot be used.
func (c *Config) Validate() error {
	if _, known := limiters[c.LimitKind]; !known {
		return fmt.Errorf("limit %q is none of %v", c.LimitKind, LimitKinds)
	}
	if c.WaitTarget <= 0 || c.Cores <= 0 {
		return fmt.Errorf("target %d ns and %g cores: both are above 0", c.WaitTarget, c.Cores)
	}
	return nil
}
