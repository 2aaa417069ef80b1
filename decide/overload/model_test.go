package overload

import (
	"math"
	"math/rand/v2"
	"testing"
)

// machine is a process on one processor: what comes is worked on in its order, and its clients leave when their time is up.
type machine struct {
	strain  *Detector // nil for a process that does not know its strain
	chance  *rand.Rand
	cost    []float64 // ns of a query, by workload
	refusal float64
	unseen  float64                 // ns of one refused unseen
	stolen  func(now int64) float64 // share of the processor that a neighbour has

	waiting        []waiting
	now, free      int64
	used           float64
	waits, n       float64
	earned, most   float64
	served         []int
	refused, blind int
	late           int
}

type waiting struct {
	at int64
	kind
}

type kind struct {
	rate     float64 // queries a second
	customer uint64
	workload int
}

// play has queries come for a span, and returns the revenue within the goal, and what came.
func (m *machine) play(span int64, kinds []kind, goal int64, revenue []float64) {
	end := m.now + span
	next := make([]int64, len(kinds))
	for i, k := range kinds {
		next[i] = m.now + int64(m.chance.ExpFloat64()*1e9/k.rate)
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
			start = max(m.free, m.waiting[0].at)
		}
		switch m.now = min(next[soonest], read, start, end); m.now {
		case end:
			return
		case start:
			one := m.waiting[0]
			m.waiting = m.waiting[1:]
			m.serve(start, one.at, one.kind, goal, revenue)
		case next[soonest]:
			k := kinds[soonest]
			next[soonest] += int64(m.chance.ExpFloat64() * 1e9 / k.rate)
			m.most += revenue[k.workload]
			m.waiting = append(m.waiting, waiting{m.now, k})
		default:
			read += 100e6
			if m.strain != nil {
				wait, used := 0.0, min(m.used, float64(m.now-last))
				if m.n > 0 {
					wait = m.waits / m.n
				}
				m.used -= used
				m.strain.Read(m.now, Reading{Span: m.now - last, Wait: int64(wait), Used: int64(used), Late: waits(m), Sched: waits(m)})
			}
			m.waits, m.n, last = 0, 0, m.now
		}
	}
}

// serve has the processor come to a query.
func (m *machine) serve(start, at int64, k kind, goal int64, revenue []float64) {
	slow := 1.0
	if m.stolen != nil {
		slow = 1 / (1 - m.stolen(start))
	}
	work := func(cost float64) {
		m.free = start + int64(cost*slow)
		m.used += cost
	}
	m.waits += float64(start - at) // what waits in the machine's queue is seen as it is come to
	m.n++
	if m.strain != nil {
		m.strain.Waited(start - at)
		if away, _ := m.strain.Unseen(start, k.workload); away {
			m.blind++
			work(m.unseen)
			return
		}
		if taken, _ := m.strain.Arrive(start, Arrival{Workload: k.workload, Customer: k.customer, ID: m.chance.Uint64(), Left: 4*goal - (start - at)}); !taken {
			m.refused++
			work(m.refusal)
			return
		}
	}
	if start-at > 4*goal { // its client has left
		m.late++
		work(m.refusal)
		return
	}
	work(m.cost[k.workload])
	if m.free-at <= goal {
		m.earned += revenue[k.workload]
		m.served[k.workload]++
	} else {
		m.late++
	}
	if m.strain != nil {
		m.strain.Ended(k.workload, m.free-at, m.free-at <= goal)
	}
}

func newMachine(limit string, known bool) *machine {
	m := &machine{chance: rand.New(rand.NewPCG(3, 4)), cost: []float64{300e3, 300e3}, refusal: 30e3, unseen: 5e3, now: 1e9, free: 1e9,
		served: make([]int, 2)}
	if known {
		m.strain = New(m.now, Terms{Cores: 1, Workloads: []Workload{{1, 250e6}, {10, 250e6}}, Limit: limit, Fixed: 2000, Target: 5e6,
			Most: 2e9, Floor: 0.05, Seed: 7})
	}
	return m
}

var worths = []float64{1, 10}

// waits is how long what came last has waited.
func waits(m *machine) int64 {
	if len(m.waiting) == 0 {
		return 0
	}
	return m.now - m.waiting[0].at
}

// burst plays ten times of what can be served for 5 s, and tells what share of a perfect shedder's revenue is kept.
func burst(m *machine, times float64) (kept, dear float64) {
	calm := []kind{{1500, 1, 0}, {150, 1, 1}}
	m.play(20e9, calm, 250e6, worths)
	m.earned, m.most, m.served = 0, 0, make([]int, 2)
	m.refused, m.blind, m.late = 0, 0, 0
	high := []kind{{1500 * times, 1, 0}, {150 * times, 1, 1}}
	m.play(5e9, high, 250e6, worths)
	room := 5e9 / 300e3
	best := min(room, 750*times)*10 + min(max(room-750*times, 0), 7500*times)
	return m.earned / best, float64(m.served[1]) / min(750*times, room)
}

// Ten times what can be served: by the model's limit most of what a perfect shedder keeps is kept, whose refusals cost nothing, and
// of the dear workload nearly all. No other limit keeps more, and a process that does not know its strain keeps next to nothing.
func TestBurst(t *testing.T) {
	kept := map[string]float64{}
	for _, limit := range append([]string{""}, Limits...) {
		for _, times := range []float64{2, 5, 10} {
			m := newMachine(limit, limit != "")
			all, dear := burst(m, times)
			t.Logf("%-9s %4gx: kept %.3f, dear %.3f, refused %d, unseen %d, late %d", limit, times, all, dear, m.refused, m.blind, m.late)
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
	m := newMachine("model", true)
	m.stolen = func(now int64) float64 {
		if now > 21e9 && now < 31e9 {
			return 0.5
		}
		return 0
	}
	high := []kind{{4000, 1, 0}, {400, 1, 1}}
	m.play(20e9, high, 250e6, worths)
	count := func(span int64) (dear, late float64) {
		m.served, m.late, m.refused = make([]int, 2), 0, 0
		m.play(span, high, 250e6, worths)
		return float64(m.served[1]) / (400 * float64(span) / 1e9), float64(m.late) / float64(max(m.served[0]+m.served[1], 1))
	}
	m.play(2e9, high, 250e6, worths)
	if dear, late := count(8e9); dear < 0.93 || late > 0.05 {
		t.Errorf("with half of the processor %.3f of the dear, %.3f late", dear, late)
	}
	m.play(2e9, high, 250e6, worths)
	if dear, _ := count(5e9); dear < 0.95 || m.served[0] < 8000 {
		t.Errorf("with all of it again %.3f of the dear, and %d cheap ones", dear, m.served[0])
	}
}

// After the crowd all is served again within seconds, and it stays so: what was learned in it does not keep others out.
func TestAfter(t *testing.T) {
	m := newMachine("model", true)
	burst(m, 10)
	calm := []kind{{1500, 1, 0}, {150, 1, 1}}
	m.play(2e9, calm, 250e6, worths)
	m.refused, m.blind, m.late = 0, 0, 0
	m.play(20e9, calm, 250e6, worths)
	if m.refused+m.blind+m.late > 0 || m.strain.Level() > Busy {
		t.Errorf("%d refused, %d unseen, %d late, %v for %q", m.refused, m.blind, m.late, m.strain.Level(), m.strain.Cause())
	}
}
