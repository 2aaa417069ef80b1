// Package machine reads the machine and the process ten times a second for strain, and lets fronts ask it from many goroutines.
// It decides nothing.
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

const each = 100 * time.Millisecond // between two readings

// throttle is where the control group tells for how long the processor was withheld.
const throttle = "/sys/fs/cgroup/cpu.stat"

// Sources are what else is read. Each may be called at any time.
type Sources struct {
	Now    func() int64
	Facts  func() (n, waited int64) // facts that the loop has taken so far, and how long they waited all in all, ns
	Queue  func() float64           // share of the loop's queue that is full
	Client func() float64           // share of the clients' descriptors in use
	Memory int64                    // bytes of heap allowed
}

// Watch keeps the strain of this process.
type Watch struct {
	Sources
	log *zap.Logger

	mu     sync.Mutex // guards strain, which is asked for no longer than some µs
	strain *overload.Detector

	Taken  counters.Count
	Shed   counters.Count // turned away with their heads read,
	Unsaid counters.Count // and without
	Stood  counters.Count // ns that the loop saw the process stand

	samples  []metrics.Sample
	buckets  []uint64 // of the scheduler's latencies at the last reading
	pauses   []uint64
	gc       float64
	used     int64
	facts    int64
	waited   int64
	withheld int64
	at       int64
}

const (
	latencies = iota
	collecting
	pauses
	heap
)

// New makes a watch; Run has it read.
func New(t overload.Config, s Sources, log *zap.Logger) *Watch {
	w := &Watch{Sources: s, log: log, strain: overload.New(s.Now(), t), samples: []metrics.Sample{
		latencies: {Name: "/sched/latencies:seconds"}, collecting: {Name: "/cpu/classes/gc/total:cpu-seconds"},
		pauses: {Name: "/sched/pauses/total/gc:seconds"}, heap: {Name: "/memory/classes/heap/objects:bytes"}}}
	w.read(0)
	return w
}

// Run reads until ctx is over.
func (w *Watch) Run(ctx context.Context) {
	due := time.Now().Add(each)
	timer := time.NewTimer(each)
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
		changed := w.strain.Observe(now, r)
		var figures overload.Stats
		if changed {
			figures = w.strain.Stats()
		}
		w.mu.Unlock()
		if changed {
			w.log.Info("the process's own strain", zap.String("level", figures.Level), zap.String("cause", figures.Cause),
				zap.Float64("pressure", figures.Pressure), zap.Float64("cores_used", figures.CoresUsed))
		}
		due = time.Now().Add(each)
		timer.Reset(each)
	}
}

// read reads all, and what has changed since it last did.
func (w *Watch) read(late int64) (r overload.Reading) {
	now := w.Now()
	metrics.Read(w.samples)
	r.Span, r.TimerLateness = now-w.at, max(late, 0)
	var all syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &all) == nil {
		used := all.Utime.Nano() + all.Stime.Nano()
		r.CPUTime, w.used = used-w.used, used
	}
	r.SchedLatency = since(&w.samples[latencies], &w.buckets, 0.99)
	r.MaxGCPause = since(&w.samples[pauses], &w.pauses, 1)
	if s := w.samples[collecting].Value; s.Kind() == metrics.KindFloat64 {
		gc := s.Float64()
		r.GCShare, w.gc = (gc-w.gc)*1e9/float64(max(r.CPUTime, int64(each)/100)), gc
	}
	if s := w.samples[heap].Value; s.Kind() == metrics.KindUint64 {
		r.HeapShare = float64(s.Uint64()) / float64(max(w.Memory, 1))
	}
	n, waited := w.Facts()
	if n > w.facts {
		r.MeanWait = (waited - w.waited) / (n - w.facts)
	}
	w.facts, w.waited = n, waited
	withheld := withheld()
	r.ThrottledTime, w.withheld = withheld-w.withheld, withheld
	r.QueueShare, r.DescriptorShare = w.Queue(), w.Client()
	w.at = now
	return r
}

// since is the value that so large a share of those since the last call were under, ns; was is kept for the next.
func since(s *metrics.Sample, was *[]uint64, share float64) int64 {
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

// withheld is for how long the control group has withheld the processor so far, ns; 0 where it does not tell.
func withheld() int64 {
	text, err := os.ReadFile(throttle)
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

// Arrive asks whether a query is taken on; else its client may come back after so long, ns.
func (w *Watch) Arrive(a overload.Arrival) (taken bool, comeBack int64) {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if taken, comeBack = w.strain.Admit(now, a); taken {
		w.Taken.Add(1)
	} else {
		w.Shed.Add(1)
	}
	return taken, comeBack
}

// Unseen asks whether a request is turned away of which its workload alone is known.
func (w *Watch) Unseen(workload int) (away bool, comeBack int64) {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if away, comeBack = w.strain.RejectUnread(now, workload); away {
		w.Unsaid.Add(1)
	}
	return away, comeBack
}

// Ended tells what became of a query that was taken on.
func (w *Watch) Ended(workload int, took int64, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strain.RecordEnd(workload, took, answered)
}

// Waited tells how long a query waited for the loop, ns.
func (w *Watch) Waited(ns int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strain.RecordWait(ns)
}

// MarshalJSON tells how it stands, for the counters.
func (w *Watch) MarshalJSON() ([]byte, error) {
	w.mu.Lock()
	f := w.strain.Stats()
	w.mu.Unlock()
	return json.Marshal(struct {
		overload.Stats
		Taken  *counters.Count `json:"taken"`
		Shed   *counters.Count `json:"shed"`
		Unseen *counters.Count `json:"unseen"`
		Stood  *counters.Count `json:"stood_ns"`
	}{f, &w.Taken, &w.Shed, &w.Unsaid, &w.Stood})
}
