// Package machine measures the process's load ten times a second for overload detection, and lets many
// goroutines ask whether queries are admitted. It decides nothing; decide/overload does.
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

const readInterval = 100 * time.Millisecond // between two readings

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
	MemoryLimit       int64          // of the heap, bytes
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
	schedBuckets []uint64 // scheduler latencies at the last reading
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
func New(t overload.Config, s Sources, log *zap.Logger) *Monitor {
	w := &Monitor{Sources: s, log: log, detector: overload.New(s.Now(), t), samples: []metrics.Sample{
		schedLatencies: {Name: "/sched/latencies:seconds"}, gcCPUSeconds: {Name: "/cpu/classes/gc/total:cpu-seconds"},
		gcPauses: {Name: "/sched/pauses/total/gc:seconds"}, heapBytes: {Name: "/memory/classes/heap/objects:bytes"}}}
	w.read(0)
	return w
}

// Run takes readings until ctx ends.
func (w *Monitor) Run(ctx context.Context) {
	due := time.Now().Add(readInterval)
	timer := time.NewTimer(readInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		late := time.Since(due)
		r := w.read(int64(late))
		now := w.Now()
		w.mu.Lock()
		changed := w.detector.Observe(now, r)
		var figures overload.Stats
		if changed {
			figures = w.detector.Stats()
		}
		w.mu.Unlock()
		if changed {
			w.log.Info("the process's own strain", zap.String("level", figures.Level), zap.String("cause", figures.Cause),
				zap.Float64("pressure", figures.Pressure), zap.Float64("cores_used", figures.CoresUsed))
		}
		due = time.Now().Add(readInterval)
		timer.Reset(readInterval)
	}
}

// read takes a reading. Counters are read as their change since the last reading.
func (w *Monitor) read(lateness int64) (r overload.Reading) {
	now := w.Now()
	metrics.Read(w.samples)
	r.Span, r.TimerLateness = now-w.readAt, max(lateness, 0)
	var all syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &all) == nil {
		used := all.Utime.Nano() + all.Stime.Nano()
		r.CPUTime, w.cpuTime = used-w.cpuTime, used
	}
	r.SchedLatency = quantileSince(&w.samples[schedLatencies], &w.schedBuckets, 0.99)
	r.MaxGCPause = quantileSince(&w.samples[gcPauses], &w.pauseBuckets, 1)
	if s := w.samples[gcCPUSeconds].Value; s.Kind() == metrics.KindFloat64 {
		gc := s.Float64()
		r.GCShare, w.gcSeconds = (gc-w.gcSeconds)*1e9/float64(max(r.CPUTime, int64(readInterval)/100)), gc
	}
	if s := w.samples[heapBytes].Value; s.Kind() == metrics.KindUint64 {
		r.HeapShare = float64(s.Uint64()) / float64(max(w.MemoryLimit, 1))
	}
	n, waited := w.Events()
	if n > w.events {
		r.MeanWait = (waited - w.totalWait) / (n - w.events)
	}
	w.events, w.totalWait = n, waited
	withheld := throttledTime()
	r.ThrottledTime, w.throttled = withheld-w.throttled, withheld
	r.QueueShare, r.DescriptorShare = w.QueueFill(), w.ClientDescriptors()
	w.readAt = now
	return r
}

// quantileSince returns the quantile of the values that a histogram of the runtime has recorded since the last
// call, ns. was holds the histogram's counts at that call.
func quantileSince(s *metrics.Sample, was *[]uint64, share float64) int64 {
	if s.Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.Value.Float64Histogram()
	if len(*was) != len(h.Counts) {
		*was = make([]uint64, len(h.Counts))
	}
	all := uint64(0)
	for i, n := range h.Counts {
		all += n - (*was)[i]
	}
	left := int64(math.Ceil(share * float64(all)))
	at := 0.0
	for i, n := range h.Counts {
		if left > 0 && n > (*was)[i] {
			if at = h.Buckets[i+1]; math.IsInf(at, 1) {
				at = h.Buckets[i]
			}
		}
		left -= int64(n - (*was)[i])
	}
	copy(*was, h.Counts)
	return int64(at * 1e9)
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
func (w *Monitor) Admit(a overload.Arrival) (taken bool, comeBack int64) {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if taken, comeBack = w.detector.Admit(now, a); taken {
		w.Admitted.Add(1)
	} else {
		w.Rejected.Add(1)
	}
	return taken, comeBack
}

// RejectUnread reports whether a request is rejected when only its workload is known, and after which time its
// client may retry, ns.
func (w *Monitor) RejectUnread(workload int) (away bool, comeBack int64) {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if away, comeBack = w.detector.RejectUnread(now, workload); away {
		w.RejectedUnread.Add(1)
	}
	return away, comeBack
}

// RecordEnd records the end of an admitted query.
func (w *Monitor) RecordEnd(workload int, took int64, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.RecordEnd(workload, took, answered)
}

// RecordWait records how long a query waited for the loop, ns.
func (w *Monitor) RecordWait(ns int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.RecordWait(ns)
}

// MarshalJSON encodes the current state for the counters.
func (w *Monitor) MarshalJSON() ([]byte, error) {
	w.mu.Lock()
	f := w.detector.Stats()
	w.mu.Unlock()
	return json.Marshal(struct {
		overload.Stats
		Taken  *counters.Count `json:"taken"`
		Shed   *counters.Count `json:"shed"`
		Unseen *counters.Count `json:"unseen"`
		Stood  *counters.Count `json:"stood_ns"`
	}{f, &w.Admitted, &w.Rejected, &w.RejectedUnread, &w.Stalled})
}
