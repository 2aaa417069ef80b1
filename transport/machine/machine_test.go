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

func newMonitor(t *testing.T, events, totalWait *atomic.Int64) *Monitor {
	t.Helper()
	startedAt := time.Now()
	config := overload.Config{Cores: 1, Workloads: []overload.Workload{{Revenue: 1, LatencyGoal: 250e6}}, LimitKind: "model", WaitTarget: 5e6, MaxRetryAfter: 2e9}
	if err := config.Validate(); err != nil {
		t.Fatal(err)
	}
	return New(config, Sources{Now: func() int64 { return int64(time.Since(startedAt)) + 1e9 }, QueueFill: func() float64 { return 0.1 },
		ClientDescriptors: func() float64 { return 0.2 }, MemoryLimit: 64 << 20,
		Events: func() (int64, int64) { return events.Load(), totalWait.Load() }}, zap.NewNop())
}

func cpuTime(usage *syscall.Rusage) int64 {
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, usage); err != nil {
		return math.MaxInt64
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// TestRead: a reading reports the CPU time spent, the events and their mean wait, the heap and a garbage
// collection as they were caused.
func TestRead(t *testing.T) {
	var events, totalWait atomic.Int64
	monitor := newMonitor(t, &events, &totalWait)
	events.Add(10)
	totalWait.Add(10 * 3e6)
	// Loop until the CPU time is spent: with other processes running, 60 ms of wall time may hold a third of that.
	for began, all := time.Now(), (syscall.Rusage{}); time.Since(began) < 60*time.Millisecond || cpuTime(&all) < monitor.cpuTime+40e6; {
	}
	garbage := make([]byte, 8<<20)
	runtime.GC()
	r := monitor.read(int64(7 * time.Millisecond))
	runtime.KeepAlive(garbage)
	if r.CPUTime < 30e6 || r.CPUTime > int64(runtime.NumCPU())*r.Span+10e6 || r.Span < 60e6 || r.MeanWait != 3e6 || r.TimerLateness != 7e6 || r.QueueShare != 0.1 || r.DescriptorShare != 0.2 {
		t.Errorf("%+v", r)
	}
	if r.HeapShare < 0.12 || r.HeapShare > 1 || r.MaxGCPause <= 0 || r.GCShare <= 0 {
		t.Errorf("%+v", r)
	}
	if r = monitor.read(0); r.MeanWait != 0 || r.Span > 1e9 {
		t.Errorf("without activity: %+v", r)
	}
}

// TestCheap: ten readings a second cost less than half a hundredth of a core.
func TestCheap(t *testing.T) {
	var events, totalWait atomic.Int64
	monitor := newMonitor(t, &events, &totalWait)
	cost := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			monitor.detector.Observe(monitor.Now(), monitor.read(0))
		}
	})
	if ns := cost.NsPerOp(); ns*int64(time.Second/readInterval) > 5e6*4 { // a build with the race detector takes four times as long
		t.Errorf("a reading costs %d ns", ns)
	}
	t.Logf("a reading costs %v", time.Duration(cost.NsPerOp()))
}

// TestWatch: many goroutines use the monitor while it takes readings, and its state can be encoded.
func TestWatch(t *testing.T) {
	var events, totalWait atomic.Int64
	monitor := newMonitor(t, &events, &totalWait)
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { monitor.Run(ctx) })
	for id := range 4 {
		group.Go(func() {
			for i := range 200 {
				admitted, _ := monitor.Admit(overload.Arrival{ID: uint64(id<<32 + i), TimeLeft: 1e9, Attempt: 1})
				if away, _ := monitor.RejectUnread(0); away || !admitted {
					t.Error("rejected without overload")
				}
				monitor.RecordWait(1000)
				monitor.RecordEnd(0, 1e6, true)
			}
		})
	}
	time.Sleep(3 * readInterval)
	stop()
	group.Wait()
	text, err := json.Marshal(monitor)
	var state struct {
		Level string
		Taken int
		Cost  []float64 `json:"cost_ns"`
	}
	if err != nil || json.Unmarshal(text, &state) != nil || state.Taken != 800 || state.Level == "" || len(state.Cost) != 1 {
		t.Errorf("%s %v", text, err)
	}
}
