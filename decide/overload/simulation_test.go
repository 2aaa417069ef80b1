package overload

import (
	"math"
	"math/rand/v2"
	"testing"
)

// simulatedProcess is a process on one processor. It serves queries in order of arrival, and clients leave when their
// time is up.
type simulatedProcess struct {
	detector         *Detector // nil for a process without overload detection
	rng              *rand.Rand
	cost             []float64               // ns of a query, by workload
	rejectCost       float64                 // ns of rejecting a query whose head was read
	unreadRejectCost float64                 // ns of rejecting a query unread
	stolen           func(now int64) float64 // share of the processor that other processes use

	waiting                  []waitingQuery
	now, freeAt              int64
	used                     float64
	waitSum, waitCount       float64
	earned, offered          float64 // revenue within the goal, and of all queries that arrived
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

// play lets queries arrive for a span of time and adds up the revenue within the goal and the revenue of all that
// arrived.
func (m *simulatedProcess) play(span int64, loads []load, goal int64, revenue []float64) {
	end := m.now + span
	next := make([]int64, len(loads))
	for i, k := range loads {
		next[i] = m.now + int64(m.rng.ExpFloat64()*1e9/k.rate)
	}
	nextReading, last := m.now+100e6, m.now
	for {
		soonest := 0
		for i := range loads {
			if next[i] < next[soonest] {
				soonest = i
			}
		}
		start := int64(math.MaxInt64)
		if len(m.waiting) > 0 {
			start = max(m.freeAt, m.waiting[0].at)
		}
		switch m.now = min(next[soonest], nextReading, start, end); m.now {
		case end:
			return
		case start:
			query := m.waiting[0]
			m.waiting = m.waiting[1:]
			m.serve(start, query.at, query.load, goal, revenue)
		case next[soonest]:
			k := loads[soonest]
			next[soonest] += int64(m.rng.ExpFloat64() * 1e9 / k.rate)
			m.offered += revenue[k.workload]
			m.waiting = append(m.waiting, waitingQuery{m.now, k})
		default:
			nextReading += 100e6
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

// serve processes the query that is next in line.
func (m *simulatedProcess) serve(start, at int64, k load, goal int64, revenue []float64) {
	slow := 1.0
	if m.stolen != nil {
		slow = 1 / (1 - m.stolen(start))
	}
	work := func(cost float64) {
		m.freeAt = start + int64(cost*slow)
		m.used += cost
	}
	m.waitSum += float64(start - at) // a query's wait is known only when its turn comes
	m.waitCount++
	if m.detector != nil {
		m.detector.RecordWait(start - at)
		if rejected, _ := m.detector.RejectUnread(start, k.workload); rejected {
			m.rejectedUnread++
			work(m.unreadRejectCost)
			return
		}
		if admitted, _ := m.detector.Admit(start, Arrival{Workload: k.workload, Customer: k.customer, ID: m.rng.Uint64(), TimeLeft: 4*goal - (start - at)}); !admitted {
			m.rejected++
			work(m.rejectCost)
			return
		}
	}
	if start-at > 4*goal { // the query's client has left
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

func newSimulatedProcess(limit string, detects bool) *simulatedProcess {
	m := &simulatedProcess{rng: rand.New(rand.NewPCG(3, 4)), cost: []float64{300e3, 300e3}, rejectCost: 30e3, unreadRejectCost: 5e3, now: 1e9, freeAt: 1e9,
		served: make([]int, 2)}
	if detects {
		m.detector = New(m.now, Config{Cores: 1, Workloads: []Workload{{1, 250e6}, {10, 250e6}}, LimitKind: limit, FixedRate: 2000, WaitTarget: 5e6,
			MaxRetryAfter: 2e9, CustomerFloor: 0.05, Seed: 7})
	}
	return m
}

var revenues = []float64{1, 10}

// oldestWait returns how long the query that is next in line has waited.
func oldestWait(m *simulatedProcess) int64 {
	if len(m.waiting) == 0 {
		return 0
	}
	return m.now - m.waiting[0].at
}

// playBurst offers the given multiple of the usual load for 5 s. It returns the revenue as a share of what a perfect
// shedder keeps, and the share of the valuable queries that are served.
func playBurst(m *simulatedProcess, times float64) (kept, valuable float64) {
	calm := []load{{1500, 1, 0}, {150, 1, 1}}
	m.play(20e9, calm, 250e6, revenues)
	m.earned, m.offered, m.served = 0, 0, make([]int, 2)
	m.rejected, m.rejectedUnread, m.late = 0, 0, 0
	high := []load{{1500 * times, 1, 0}, {150 * times, 1, 1}}
	m.play(5e9, high, 250e6, revenues)
	capacity := 5e9 / 300e3
	best := min(capacity, 750*times)*10 + min(max(capacity-750*times, 0), 7500*times)
	return m.earned / best, float64(m.served[1]) / min(750*times, capacity)
}

// At up to ten times the usual load, which takes half of the processor, the limit "model" keeps most of the revenue that
// a perfect shedder keeps, whose rejections cost nothing, and serves nearly all of the valuable workload. No other limit
// keeps more, and a process without overload detection keeps next to nothing.
func TestBurst(t *testing.T) {
	kept := map[string]float64{}
	for _, limit := range append([]string{""}, LimitKinds...) {
		for _, times := range []float64{2, 5, 10} {
			m := newSimulatedProcess(limit, limit != "")
			share, valuable := playBurst(m, times)
			t.Logf("%-9s %4gx: kept %.3f, valuable %.3f, rejected %d, unread %d, late %d", limit, times, share, valuable, m.rejected, m.rejectedUnread, m.late)
			kept[limit] = share
			if limit == "model" && (share < 0.8 || valuable < 0.88) {
				t.Errorf("%gx: kept %.3f, and of the valuable queries %.3f", times, share, valuable)
			}
		}
	}
	for limit, share := range kept {
		if share >= kept["model"] && limit != "model" {
			t.Errorf("limit %q keeps %.3f at ten times, the model %.3f", limit, share, kept["model"])
		}
	}
	if kept[""] > 0.1 {
		t.Errorf("without overload detection %.3f is kept", kept[""])
	}
}

// When another process takes half of the processor, admission falls to what is left, and rises again afterwards.
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
	count := func(span int64) (valuable, late float64) {
		m.served, m.late, m.rejected = make([]int, 2), 0, 0
		m.play(span, high, 250e6, revenues)
		return float64(m.served[1]) / (400 * float64(span) / 1e9), float64(m.late) / float64(max(m.served[0]+m.served[1], 1))
	}
	m.play(2e9, high, 250e6, revenues)
	if valuable, late := count(8e9); valuable < 0.93 || late > 0.05 {
		t.Errorf("with half of the processor %.3f of the valuable queries served, %.3f late", valuable, late)
	}
	m.play(2e9, high, 250e6, revenues)
	if valuable, _ := count(5e9); valuable < 0.95 || m.served[0] < 8000 {
		t.Errorf("with all of it again %.3f of the valuable queries and %d cheap ones served", valuable, m.served[0])
	}
}

// After a burst everything is served again within seconds and from then on: the estimates learned during the burst do not
// cause rejections.
func TestAfter(t *testing.T) {
	m := newSimulatedProcess("model", true)
	playBurst(m, 10)
	calm := []load{{1500, 1, 0}, {150, 1, 1}}
	m.play(2e9, calm, 250e6, revenues)
	m.rejected, m.rejectedUnread, m.late = 0, 0, 0
	m.play(20e9, calm, 250e6, revenues)
	if m.rejected+m.rejectedUnread+m.late > 0 || m.detector.Level() > Busy {
		t.Errorf("%d rejected, %d rejected unread, %d late, %v for %q", m.rejected, m.rejectedUnread, m.late, m.detector.Level(), m.detector.Cause())
	}
}
