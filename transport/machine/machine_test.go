package machine

import (
	"context"
	"encoding/json"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"willowsill/decide/overload"
)

func newMonitor(t *testing.T, facts, waited *atomic.Int64) *Monitor {
	t.Helper()
	began := time.Now()
	terms := overload.Config{Cores: 1, Workloads: []overload.Workload{{Revenue: 1, LatencyGoal: 250e6}}, LimitKind: "model", WaitTarget: 5e6, MaxRetryAfter: 2e9}
	if err := terms.Validate(); err != nil {
		t.Fatal(err)
	}
	return New(terms, Sources{Now: func() int64 { return int64(time.Since(began)) + 1e9 }, QueueFill: func() float64 { return 0.1 },
		ClientDescriptors: func() float64 { return 0.2 }, MemoryLimit: 64 << 20,
		Events: func() (int64, int64) { return facts.Load(), waited.Load() }}, zap.NewNop())
}

func cpuTime(all *syscall.Rusage) int64 {
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, all); err != nil {
		return math.MaxInt64
	}
	return all.Utime.Nano() + all.Stime.Nano()
}

// TestRead: a reading reports the CPU time spent, the events and their mean wait, the heap and a garbage
// collection as they were caused.
func TestRead(t *testing.T) {
	var facts, waited atomic.Int64
	w := newMonitor(t, &facts, &waited)
	facts.Add(10)
	waited.Add(10 * 3e6)
	// Loop until the CPU time is spent: with other processes running, 60 ms of wall time may hold a third of that.
	for began, all := time.Now(), (syscall.Rusage{}); time.Since(began) < 60*time.Millisecond || cpuTime(&all) < w.cpuTime+40e6; {
	}
	held := make([]byte, 8<<20)
	runtime.GC()
	r := w.read(int64(7 * time.Millisecond))
	runtime.KeepAlive(held)
	if r.CPUTime < 30e6 || r.CPUTime > int64(runtime.NumCPU())*r.Span+10e6 || r.Span < 60e6 || r.MeanWait != 3e6 || r.TimerLateness != 7e6 || r.QueueShare != 0.1 || r.DescriptorShare != 0.2 {
		t.Errorf("%+v", r)
	}
	if r.HeapShare < 0.12 || r.HeapShare > 1 || r.MaxGCPause <= 0 || r.GCShare <= 0 {
		t.Errorf("%+v", r)
	}
	if r = w.read(0); r.MeanWait != 0 || r.Span > 1e9 {
		t.Errorf("without activity: %+v", r)
	}
}

// TestCheap: ten readings a second cost less than half a hundredth of a core.
func TestCheap(t *testing.T) {
	var facts, waited atomic.Int64
	w := newMonitor(t, &facts, &waited)
	cost := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			w.detector.Observe(w.Now(), w.read(0))
		}
	})
	if ns := cost.NsPerOp(); ns*int64(time.Second/readInterval) > 5e6*4 { // a build with the race detector takes four times as long
		t.Errorf("a reading costs %d ns", ns)
	}
	t.Logf("a reading costs %v", time.Duration(cost.NsPerOp()))
}

// TestWatch: many goroutines use the monitor while it takes readings, and its state can be encoded.
func TestWatch(t *testing.T) {
	var facts, waited atomic.Int64
	w := newMonitor(t, &facts, &waited)
	ctx, stop := context.WithCancel(t.Context())
	var all sync.WaitGroup
	all.Go(func() { w.Run(ctx) })
	for id := range 4 {
		all.Go(func() {
			for i := range 200 {
				taken, _ := w.Admit(overload.Arrival{ID: uint64(id<<32 + i), TimeLeft: 1e9, Attempt: 1})
				if away, _ := w.RejectUnread(0); away || !taken {
					t.Error("rejected without overload")
				}
				w.RecordWait(1000)
				w.RecordEnd(0, 1e6, true)
			}
		})
	}
	time.Sleep(3 * readInterval)
	stop()
	all.Wait()
	text, err := json.Marshal(w)
	var f struct {
		Level string
		Taken int
		Cost  []float64 `json:"cost_ns"`
	}
	if err != nil || json.Unmarshal(text, &f) != nil || f.Taken != 800 || f.Level == "" || len(f.Cost) != 1 {
		t.Errorf("%s %v", text, err)
	}
}
