// Package machine measures the process's load ten times a second for overload detection, and lets many
// goroutines ask whether queries are admitted. It makes no decisions of its own; decide/overload
// makes them.
package machine

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"runtime/metrics"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"willowsill/decide/overload"
	"willowsill/internal/counters"
)

const readInterval = 100 * time.Millisecond // time between two readings

// cpuStatFile holds how long the control group has throttled the process's CPU use.
const cpuStatFile = "/sys/fs/cgroup/cpu.stat"

// Sources are the inputs of a Monitor besides the runtime's and the operating system's. Each function may be
// called at any time.
type Sources struct {
	Now func() int64
	// Events returns how many events the loop has handled so far, and the total time that they waited, ns.
	Events            func() (n, waited int64)
	QueueFill         func() float64 // used share of the loop's queue
	ClientDescriptors func() float64 // used share of the descriptors for clients
	MemoryLimit       int64          // limit of the heap, bytes
}

// Monitor measures the process and holds its overload detector.
type Monitor struct {
	Sources
	log *zap.Logger

	mu       sync.Mutex // guards detector, and is held for microseconds only
	detector *overload.Detector

	Admitted       counters.Count
	Rejected       counters.Count // rejected after the request's headers were read
	RejectedUnread counters.Count // rejected on the request's first line alone
	Stalled        counters.Count // total of the stalls that the loop has measured, ns

	samples      []metrics.Sample
	schedBuckets []uint64 // counts of the runtime's histogram of scheduler latencies at the last reading
	pauseBuckets []uint64
	gcSeconds    float64
	cpuTime      int64
	events       int64
	totalWait    int64
	throttled    int64
	readAt       int64
}

const (
	schedLatencies = iota
	gcCPUSeconds
	gcPauses
	heapBytes
)

// New returns a monitor. Run has to be called for it to take readings.
func New(config overload.Config, sources Sources, log *zap.Logger) *Monitor {
	m := &Monitor{Sources: sources, log: log, detector: overload.New(sources.Now(), config), samples: []metrics.Sample{
		schedLatencies: {Name: "/sched/latencies:seconds"}, gcCPUSeconds: {Name: "/cpu/classes/gc/total:cpu-seconds"},
		gcPauses: {Name: "/sched/pauses/total/gc:seconds"}, heapBytes: {Name: "/memory/classes/heap/objects:bytes"}}}
	m.read(0)
	return m
}

// Run takes readings until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	due := time.Now().Add(readInterval)
	timer := time.NewTimer(readInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		lateness := time.Since(due)
		r := m.read(int64(lateness))
		now := m.Now()
		m.mu.Lock()
		changed := m.detector.Observe(now, r)
		var stats overload.Stats
		if changed {
			stats = m.detector.Stats()
		}
		m.mu.Unlock()
		if changed {
			m.log.Info("the process's own strain", zap.String("level", stats.Level), zap.String("cause", stats.Cause),
				zap.Float64("pressure", stats.Pressure), zap.Float64("cores_used", stats.CoresUsed))
		}
		due = time.Now().Add(readInterval)
		timer.Reset(readInterval)
	}
}

// read takes a reading. Counters are read as their change since the last reading.
func (m *Monitor) read(lateness int64) (r overload.Reading) {
	now := m.Now()
	metrics.Read(m.samples)
	r.Span, r.TimerLateness = now-m.readAt, max(lateness, 0)
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		used := usage.Utime.Nano() + usage.Stime.Nano()
		r.CPUTime, m.cpuTime = used-m.cpuTime, used
	}
	r.SchedLatency = quantileSince(&m.samples[schedLatencies], &m.schedBuckets, 0.99)
	r.MaxGCPause = quantileSince(&m.samples[gcPauses], &m.pauseBuckets, 1)
	if s := m.samples[gcCPUSeconds].Value; s.Kind() == metrics.KindFloat64 {
		gc := s.Float64()
		r.GCShare, m.gcSeconds = (gc-m.gcSeconds)*1e9/float64(max(r.CPUTime, int64(readInterval)/100)), gc
	}
	if s := m.samples[heapBytes].Value; s.Kind() == metrics.KindUint64 {
		r.HeapShare = float64(s.Uint64()) / float64(max(m.MemoryLimit, 1))
	}
	n, waited := m.Events()
	if n > m.events {
		r.MeanWait = (waited - m.totalWait) / (n - m.events)
	}
	m.events, m.totalWait = n, waited
	throttled := throttledTime()
	r.ThrottledTime, m.throttled = throttled-m.throttled, throttled
	r.QueueShare, r.DescriptorShare = m.QueueFill(), m.ClientDescriptors()
	m.readAt = now
	return r
}

// quantileSince returns the quantile of the values that a histogram of the runtime has recorded since the last
// call, ns. previous holds the histogram's counts at that call.
func quantileSince(s *metrics.Sample, previous *[]uint64, share float64) int64 {
	if s.Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.Value.Float64Histogram()
	if len(*previous) != len(h.Counts) {
		*previous = make([]uint64, len(h.Counts))
	}
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - (*previous)[i]
	}
	remaining := int64(math.Ceil(share * float64(total)))
	quantile := 0.0
	for i, n := range h.Counts {
		if remaining > 0 && n > (*previous)[i] {
			if quantile = h.Buckets[i+1]; math.IsInf(quantile, 1) {
				quantile = h.Buckets[i]
			}
		}
		remaining -= int64(n - (*previous)[i])
	}
	copy(*previous, h.Counts)
	return int64(quantile * 1e9)
}

// throttledTime returns for how long the control group has throttled the process so far, ns; 0 if that cannot
// be read.
func throttledTime() int64 {
	text, err := os.ReadFile(cpuStatFile)
	if err != nil {
		return 0
	}
	_, after, found := bytes.Cut(text, []byte("throttled_usec "))
	if !found {
		return 0
	}
	line, _, _ := bytes.Cut(after, []byte("\n"))
	n, err := strconv.ParseInt(string(line), 10, 64)
	if err != nil {
		return 0
	}
	return n * 1000
}

// Admit reports whether a query is admitted. Otherwise its client may retry after the returned time, ns.
func (m *Monitor) Admit(a overload.Arrival) (admitted bool, retryAfter int64) {
	now := m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if admitted, retryAfter = m.detector.Admit(now, a); admitted {
		m.Admitted.Add(1)
	} else {
		m.Rejected.Add(1)
	}
	return admitted, retryAfter
}

// RejectUnread reports whether a request is rejected when only its workload is known, and after which time its
// client may retry, ns.
func (m *Monitor) RejectUnread(workload int) (rejected bool, retryAfter int64) {
	now := m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if rejected, retryAfter = m.detector.RejectUnread(now, workload); rejected {
		m.RejectedUnread.Add(1)
	}
	return rejected, retryAfter
}

// RecordEnd records the end of an admitted query: how long it took, ns, and whether it was answered.
func (m *Monitor) RecordEnd(workload int, took int64, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RecordEnd(workload, took, answered)
}

// RecordWait records how long a query waited for the loop, ns.
func (m *Monitor) RecordWait(ns int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RecordWait(ns)
}

// MarshalJSON encodes the current state for the counters.
func (m *Monitor) MarshalJSON() ([]byte, error) {
	m.mu.Lock()
	stats := m.detector.Stats()
	m.mu.Unlock()
	return json.Marshal(struct {
		overload.Stats
		Taken  *counters.Count `json:"taken"`
		Shed   *counters.Count `json:"shed"`
		Unseen *counters.Count `json:"unseen"`
		Stood  *counters.Count `json:"stood_ns"`
	}{stats, &m.Admitted, &m.Rejected, &m.RejectedUnread, &m.Stalled})
}
