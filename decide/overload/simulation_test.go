package overload

import (
	"math"
	"math/rand/v2"
	"testing"
)

// simulatedProcess is a process on one processor: what comes is worked on in its order, and its clients leave when their time is up.
type simulatedProcess struct {
	detector         *Detector // nil for a process that does not know its strain
	rng              *rand.Rand
	cost             []float64 // ns of a query, by workload
	rejectCost       float64
	unreadRejectCost float64                 // ns of one refused unseen
	stolen           func(now int64) float64 // share of the processor that a neighbour has

	waiting                  []waitingQuery
	now, freeAt              int64
	used                     float64
	waitSum, waitCount       float64
	earned, offered          float64
	served                   []int
	rejected, rejectedUnread int
	late                     int
}

type waitingQuery struct {
	at int64
	load
}

type load struct {
	rate     float64 // queries a second
	customer uint64
	workload int
}

// play has queries come for a span, and returns the revenue within the goal, and what came.
func (m *simulatedProcess) play(span int64, kinds []load, goal int64, revenue []float64) {
	end := m.now + span
	next := make([]int64, len(kinds))
	for i, k := range kinds {
		next[i] = m.now + int64(m.rng.ExpFloat64()*1e9/k.rate)
	}
	read, last := m.now+100e6, m.now
	for {
		soonest := 0
		for i := range kinds {
			if next[i] < next[soonest] {
				soonest = i
			}
		}
		start := int64(math.MaxInt64)
		if len(m.waiting) > 0 {
			start = max(m.freeAt, m.waiting[0].at)
		}
		switch m.now = min(next[soonest], read, start, end); m.now {
		case end:
			return
		case start:
			one := m.waiting[0]
			m.waiting = m.waiting[1:]
			m.serve(start, one.at, one.load, goal, revenue)
		case next[soonest]:
			k := kinds[soonest]
			next[soonest] += int64(m.rng.ExpFloat64() * 1e9 / k.rate)
			m.offered += revenue[k.workload]
			m.waiting = append(m.waiting, waitingQuery{m.now, k})
		default:
			read += 100e6
			if m.detector != nil {
				wait, used := 0.0, min(m.used, float64(m.now-last))
				if m.waitCount > 0 {
					wait = m.waitSum / m.waitCount
				}
				m.used -= used
				m.detector.Observe(m.now, Reading{Span: m.now - last, MeanWait: int64(wait), CPUTime: int64(used), TimerLateness: oldestWait(m), SchedLatency: oldestWait(m)})
			}
			m.waitSum, m.waitCount, last = 0, 0, m.now
		}
	}
}

// serve has the processor come to a query.
func (m *simulatedProcess) serve(start, at int64, k load, goal int64, revenue []float64) {
	slow := 1.0
	if m.stolen != nil {
		slow = 1 / (1 - m.stolen(start))
	}
	work := func(cost float64) {
		m.freeAt = start + int64(cost*slow)
		m.used += cost
	}
	m.waitSum += float64(start - at) // what waits in the machine's queue is seen as it is come to
	m.waitCount++
	if m.detector != nil {
		m.detector.RecordWait(start - at)
		if away, _ := m.detector.RejectUnread(start, k.workload); away {
			m.rejectedUnread++
			work(m.unreadRejectCost)
			return
		}
		if taken, _ := m.detector.Admit(start, Arrival{Workload: k.workload, Customer: k.customer, ID: m.rng.Uint64(), TimeLeft: 4*goal - (start - at)}); !taken {
			m.rejected++
			work(m.rejectCost)
			return
		}
	}
	if start-at > 4*goal { // its client has left
		m.late++
		work(m.rejectCost)
		return
	}
	work(m.cost[k.workload])
	if m.freeAt-at <= goal {
		m.earned += revenue[k.workload]
		m.served[k.workload]++
	} else {
		m.late++
	}
	if m.detector != nil {
		m.detector.RecordEnd(k.workload, m.freeAt-at, m.freeAt-at <= goal)
	}
}

func newSimulatedProcess(limit string, known bool) *simulatedProcess {
	m := &simulatedProcess{rng: rand.New(rand.NewPCG(3, 4)), cost: []float64{300e3, 300e3}, rejectCost: 30e3, unreadRejectCost: 5e3, now: 1e9, freeAt: 1e9,
		served: make([]int, 2)}
	if known {
		m.detector = New(m.now, Config{Cores: 1, Workloads: []Workload{{1, 250e6}, {10, 250e6}}, LimitKind: limit, FixedRate: 2000, WaitTarget: 5e6,
			MaxRetryAfter: 2e9, CustomerFloor: 0.05, Seed: 7})
	}
	return m
}

var revenues = []float64{1, 10}

// oldestWait is how long what came last has waited.
func oldestWait(m *simulatedProcess) int64 {
	if len(m.waiting) == 0 {
		return 0
	}
	return m.now - m.waiting[0].at
}

// playBurst plays ten times of what can be served for 5 s, and tells what share of a perfect shedder's revenue is kept.
func playBurst(m *simulatedProcess, times float64) (kept, dear float64) {
	calm := []load{{1500, 1, 0}, {150, 1, 1}}
	m.play(20e9, calm, 250e6, revenues)
	m.earned, m.offered, m.served = 0, 0, make([]int, 2)
	m.rejected, m.rejectedUnread, m.late = 0, 0, 0
	high := []load{{1500 * times, 1, 0}, {150 * times, 1, 1}}
	m.play(5e9, high, 250e6, revenues)
	room := 5e9 / 300e3
	best := min(room, 750*times)*10 + min(max(room-750*times, 0), 7500*times)
	return m.earned / best, float64(m.served[1]) / min(750*times, room)
}

// Ten times what can be served: by the model's limit most of what a perfect shedder keeps is kept, whose refusals cost nothing, and
// of the dear workload nearly all. No other limit keeps more, and a process that does not know its strain keeps next to nothing.
func TestBurst(t *testing.T) {
	kept := map[string]float64{}
	for _, limit := range append([]string{""}, LimitKinds...) {
		for _, times := range []float64{2, 5, 10} {
			m := newSimulatedProcess(limit, limit != "")
			all, dear := playBurst(m, times)
			t.Logf("%-9s %4gx: kept %.3f, dear %.3f, refused %d, unseen %d, late %d", limit, times, all, dear, m.rejected, m.rejectedUnread, m.late)
			kept[limit] = all
			if limit == "model" && (all < 0.8 || dear < 0.88) {
				t.Errorf("%gx: kept %.3f, and of the dear %.3f", times, all, dear)
			}
		}
	}
	for limit, share := range kept {
		if share >= kept["model"] && limit != "model" {
			t.Errorf("limit %q keeps %.3f at ten times, the model %.3f", limit, share, kept["model"])
		}
	}
	if kept[""] > 0.1 {
		t.Errorf("without it %.3f is kept", kept[""])
	}
}

// A neighbour takes half of the processor: what is taken on goes down to what is left, and up again.
func TestNeighbour(t *testing.T) {
	m := newSimulatedProcess("model", true)
	m.stolen = func(now int64) float64 {
		if now > 21e9 && now < 31e9 {
			return 0.5
		}
		return 0
	}
	high := []load{{4000, 1, 0}, {400, 1, 1}}
	m.play(20e9, high, 250e6, revenues)
	count := func(span int64) (dear, late float64) {
		m.served, m.late, m.rejected = make([]int, 2), 0, 0
		m.play(span, high, 250e6, revenues)
		return float64(m.served[1]) / (400 * float64(span) / 1e9), float64(m.late) / float64(max(m.served[0]+m.served[1], 1))
	}
	m.play(2e9, high, 250e6, revenues)
	if dear, late := count(8e9); dear < 0.93 || late > 0.05 {
		t.Errorf("with half of the processor %.3f of the dear, %.3f late", dear, late)
	}
	m.play(2e9, high, 250e6, revenues)
	if dear, _ := count(5e9); dear < 0.95 || m.served[0] < 8000 {
		t.Errorf("with all of it again %.3f of the dear, and %d cheap ones", dear, m.served[0])
	}
}

// After the crowd all is served again within seconds, and it stays so: what was learned in it does not keep others out.
func TestAfter(t *testing.T) {
	m := newSimulatedProcess("model", true)
	playBurst(m, 10)
	calm := []load{{1500, 1, 0}, {150, 1, 1}}
	m.play(2e9, calm, 250e6, revenues)
	m.rejected, m.rejectedUnread, m.late = 0, 0, 0
	m.play(20e9, calm, 250e6, revenues)
	if m.rejected+m.rejectedUnread+m.late > 0 || m.detector.Level() > Busy {
		t.Errorf("%d refused, %d unseen, %d late, %v for %q", m.rejected, m.rejectedUnread, m.late, m.detector.Level(), m.detector.Cause())
	}
}
