package overload

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func terms() Terms {
	return Terms{Cores: 1, Workloads: []Workload{{1, 250e6}, {10, 250e6}}, Limit: "model", Target: 5e6, Most: 2e9, Floor: 0.05, Seed: 7}
}

const step = int64(100e6)

// Whatever comes while nothing presses, nobody is turned away, however many come and whatever they cost.
func TestCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := int64(1e9)
		s := New(now, terms())
		for range rapid.IntRange(1, 30).Draw(t, "readings") {
			for range rapid.IntRange(0, 300).Draw(t, "queries") {
				a := Arrival{Workload: rapid.IntRange(0, 1).Draw(t, "workload"), Customer: uint64(rapid.IntRange(0, 3).Draw(t, "customer")),
					ID: 1, Left: 1e9, Try: 1}
				if taken, _ := s.Arrive(now, a); !taken {
					t.Fatal("a query was turned away")
				}
				if away, _ := s.Unseen(now, a.Workload); away {
					t.Fatal("a query was turned away unseen")
				}
				s.Ended(a.Workload, 50e6, true)
			}
			now += step
			s.Waited(rapid.Int64Range(0, 2e6).Draw(t, "wait"))
			s.Read(now, Reading{Span: step, Used: rapid.Int64Range(0, 70e6).Draw(t, "used"), Wait: rapid.Int64Range(0, 2e6).Draw(t, "mean"),
				Sched: 5e6, Late: 3e6, Heap: 0.6, GC: 0.1})
		}
	})
}

// Each signal alone strains, and is named; a processor in full use alone does not.
func TestSignals(t *testing.T) {
	for cause, r := range map[string]Reading{
		"facts wait for the loop":         {Wait: 20e6},
		"an own timer is late":            {Late: 60e6},
		"goroutines wait for a processor": {Sched: 60e6},
		"the processor is withheld":       {Throttled: 50e6},
		"garbage is collected":            {GC: 0.9},
		"all stood for the garbage":       {Pause: 60e6},
		"the heap is near its limit":      {Heap: 1.1},
		"the loop's queue is full":        {Queue: 0.7},
		"descriptors run short":           {Descriptors: 1.3},
	} {
		s := New(1e9, terms())
		r.Span = step
		for i := range 5 {
			s.Read(1e9+int64(i+1)*step, r)
		}
		if s.Level() < Strained || s.Cause() != cause {
			t.Errorf("%s: %v for %q", cause, s.Level(), s.Cause())
		}
	}
	s := New(1e9, terms())
	for i := range 50 {
		s.Read(1e9+int64(i+1)*step, Reading{Span: step, Used: 2 * step})
	}
	if s.Level() != Busy {
		t.Errorf("a processor in full use: %v", s.Level())
	}
}

// A level is left only when what made it has been away for a while, one at a time: at the edge nothing flaps.
func TestLevels(t *testing.T) {
	s := New(0, terms())
	now, changes := int64(0), 0
	read := func(wait int64) {
		now += step
		if s.Read(now, Reading{Span: step, Wait: wait}) {
			changes++
		}
	}
	for range 10 {
		read(6e6)
	}
	if s.Level() != Strained {
		t.Fatalf("%v", s.Level())
	}
	changes = 0
	for i := range 100 { // to both sides of the edge
		read(int64(4e6 + i%2*2e6))
	}
	if changes > 0 {
		t.Errorf("%d changes at the edge", changes)
	}
	var seen []Level
	for range 40 {
		read(0)
		seen = append(seen, s.Level())
	}
	if seen = slices.Compact(seen); !slices.Equal(seen, []Level{Strained, Busy, Calm}) || s.Cause() != "" {
		t.Errorf("left by way of %v, for %q", seen, s.Cause())
	}
	for range 3 {
		read(200e6)
	}
	if s.Level() != Critical {
		t.Errorf("%v", s.Level())
	}
}

// pressed is one that is strained, with so much of each workload offered for a second, a thousandth of a second each.
func pressed(t *testing.T, change func(*Terms), offer func(s *Detector, now int64)) *Detector {
	t.Helper()
	w := terms()
	if change != nil {
		change(&w)
	}
	now := int64(1e9)
	s := New(now, w)
	for i := range s.costs.query {
		s.costs.query[i] = 1e6
	}
	s.costs.seen = 1e6
	for range 20 {
		for range 100 {
			now += step / 100
			offer(s, now)
		}
		s.costs.query[0], s.costs.query[1] = 1e6, 1e6
		copy(s.done, s.began)
		s.Read(now, Reading{Span: step, Used: int64(min(s.work()+s.refused*20e3, float64(step))), Wait: 8e6})
	}
	return s
}

// taken offers one kind of query many times and tells the share taken on.
func taken(s *Detector, now int64, a Arrival) float64 {
	n := 0.0
	const tries = 400
	for i := range tries {
		a.ID = uint64(now) + uint64(i)
		if ok, _ := s.worth.arrive(now, s, a); ok {
			n++
		}
	}
	return n / tries
}

// What is turned away first: the cheap before the dear, its repeats before itself, what has no time left before all.
func TestOrder(t *testing.T) {
	// Twice of what can be served is offered, half of it dear.
	s := pressed(t, nil, func(s *Detector, now int64) {
		for w := range 2 {
			s.Arrive(now, Arrival{Workload: w, ID: uint64(now) + uint64(w)<<60, Left: 1e9, Try: 1})
		}
	})
	now := int64(3e9)
	at := func(a Arrival) float64 { return class(s.worth.price(s, a, nil)) }
	dear, cheap := at(Arrival{Workload: 1, Left: 1e9, Try: 1}), at(Arrival{Workload: 0, Left: 1e9, Try: 1})
	again, hurried := at(Arrival{Workload: 0, Left: 1e9, Try: 2}), at(Arrival{Workload: 0, Left: 5e6, Try: 1})
	s.worth.remember(77)
	known := at(Arrival{Workload: 0, Left: 1e9, Try: 1, ID: 77})
	if !(dear > cheap && cheap > again && again == known && again > hurried) {
		t.Errorf("dear %v, cheap %v, again %v, known %v, hurried %v", dear, cheap, again, known, hurried)
	}
	if s.worth.floor <= cheap-1 || s.worth.floor > dear+1 {
		t.Errorf("the floor is at %v, cheap ones at %v, dear ones at %v", s.worth.floor, cheap, dear)
	}
	s.worth.customers = map[uint64]*customer{} // no floor of theirs
	if a, b := taken(s, now, Arrival{Workload: 1, Left: 1e9, Try: 1}), taken(s, now, Arrival{Workload: 0, Left: 1e9, Try: 1}); a < 0.9 || b > 0.2 {
		t.Errorf("taken on: %.2f of the dear, %.2f of the cheap", a, b)
	}
}

// A customer whose queries are worth least is served its floor; without one it would be locked out.
func TestFloor(t *testing.T) {
	for floor, want := range map[float64][2]float64{0.1: {0.02, 0.2}, 0: {0, 0}} {
		var meek, asked float64
		pressed(t, func(w *Terms) { w.Floor = floor }, func(s *Detector, now int64) {
			for range 2 {
				s.Arrive(now, Arrival{Workload: 1, Customer: 1, ID: uint64(now), Left: 1e9, Try: 1})
			}
			if ok, _ := s.Arrive(now, Arrival{Workload: 0, Customer: 2, ID: uint64(now), Left: 1e9, Try: 1}); now > 2e9 {
				if asked++; ok {
					meek++
				}
			}
		})
		if share := meek / asked; share < want[0] || share > want[1] {
			t.Errorf("with a floor of %v %.3f of the meek one's are taken on", floor, share)
		}
	}
}

// A customer that asks for much more than its share makes its own queries worth less, not those of others.
func TestGreedy(t *testing.T) {
	var got, asked [3]float64
	pressed(t, func(w *Terms) { w.Floor = 0 }, func(s *Detector, now int64) {
		for customer, n := range []int{1: 3, 2: 1} {
			for i := range n {
				if customer == 2 && now/(step/100)%5 > 0 { // two hundred a second of what can be a thousand
					continue
				}
				ok, _ := s.Arrive(now, Arrival{Workload: 0, Customer: uint64(customer), ID: uint64(now) + uint64(i)<<50, Left: 1e9, Try: 1})
				if now > 2e9 {
					asked[customer]++
					if ok {
						got[customer]++
					}
				}
			}
		}
	})
	if greedy, meek := got[1]/asked[1], got[2]/asked[2]; meek < 0.9 || greedy > 0.5 {
		t.Errorf("taken on: %.2f of the meek one's, %.2f of the greedy one's", meek, greedy)
	}
}

// Those turned away are told different times, longer the more is offered, and none where none can be told.
func TestComeBack(t *testing.T) {
	times := map[int][]int64{}
	for _, over := range []int{2, 6} {
		s := pressed(t, func(w *Terms) { w.Most = 60e9 }, func(s *Detector, now int64) {
			for i := range over {
				if ok, back := s.Arrive(now, Arrival{Workload: 0, ID: uint64(now) + uint64(i)<<50, Left: 1e9, Try: 1}); !ok && now > 2e9 {
					times[over] = append(times[over], back)
				}
			}
		})
		if s.Level() < Strained {
			t.Fatalf("%v", s.Level())
		}
		slices.Sort(times[over])
		if n := len(times[over]); n < 300 || times[over][n-1] < 2*times[over][0] || times[over][0] <= 0 {
			t.Errorf("%d times: %v to %v", over, times[over][0], times[over][n-1])
		}
	}
	if a, b := times[2][len(times[2])/2], times[6][len(times[6])/2]; b < 2*a {
		t.Errorf("the middle at twice %d, at six times %d", a, b)
	}
	pressed(t, func(w *Terms) { w.Most = 0 }, func(s *Detector, now int64) {
		for range 4 {
			if _, back := s.Arrive(now, Arrival{Workload: 0, Left: 1e9, Try: 1}); back != 0 {
				t.Fatalf("told to come back in %d where none can be told", back)
			}
		}
	})
}

// What is remembered is bounded.
func TestBounds(t *testing.T) {
	s := New(1e9, terms())
	for i := range 20000 {
		s.worth.remember(uint64(i))
		s.worth.customer(1e9, s, uint64(i), 1e6)
	}
	if n := len(s.worth.repeats[0]) + len(s.worth.repeats[1]); n > 2*refusedKept {
		t.Errorf("%d ids", n)
	}
	if n := len(s.worth.customers); n > customers+1 {
		t.Errorf("%d customers", n)
	}
	s.worth.customer(1e9+2*customerFor, s, 1, 1e6)
	if n := len(s.worth.customers); n > 2 {
		t.Errorf("%d customers that ask nothing", n)
	}
	if err := (&Terms{Limit: "none", Target: 1, Cores: 1}).Check(); err == nil {
		t.Error("a limit of no kind")
	}
}

// The costs of two workloads are told apart, and follow when they change.
func TestCosts(t *testing.T) {
	c := newCosts(2)
	true0, true1, refusal := 80e3, 700e3, 20e3
	learn := func() {
		for i := range 1000 {
			n := []float64{float64(50 + i%7*20), float64(20 + i%3*15)}
			refused := float64(i % 5 * 30)
			used := n[0]*true0 + n[1]*true1 + refused*refusal
			c.learn(&Reading{Span: step, Used: int64(used)}, n, refused, 0)
		}
	}
	near := func(got, want float64) bool { return got > 0.8*want && got < 1.25*want }
	learn()
	if !near(c.of(0), true0) || !near(c.of(1), true1) || c.refusal > 2*refusal || c.refusal < refusal/2 {
		t.Errorf("%+v", c)
	}
	true0, true1 = 200e3, 300e3
	learn()
	if !near(c.of(0), true0) || !near(c.of(1), true1) {
		t.Errorf("after a change %+v", c)
	}
}

// A round comes at once while it costs little, and waits for more the more it costs, up to the tick.
func TestPace(t *testing.T) {
	p := Pace{Tick: 5e6}
	for cost, want := range map[int64][2]int64{20e3: {0, 0}, 500e3: {1e6, 3e6}, 50e6: {5e6, 5e6}} {
		for range 500 {
			p.Took(cost)
		}
		if g := p.Gap(); g < want[0] || g > want[1] {
			t.Errorf("rounds of %d ns: a gap of %d", cost, g)
		}
	}
}

// What the loop comes late to its beat is the process's own; a fact that wakes it early, or a wait without a beat, is not.
func TestBeat(t *testing.T) {
	var b Beat
	if b.Woken(5e9) != 0 {
		t.Error("before the first beat")
	}
	_, wake := b.Sleeps(5e9, 5e9, true)
	if wake <= 5e9 || wake > 5e9+20e6 {
		t.Errorf("woken at %d", wake)
	}
	if b.Woken(wake-1) != 0 || b.Woken(wake+1e6) != 0 {
		t.Error("in time, and it stood")
	}
	if stood := b.Woken(wake + 700e6); stood != 700e6 {
		t.Errorf("stood %d", stood)
	}
	if stood, wake := b.Sleeps(6e9, 6e9-400e6, false); stood < 390e6 || wake != 0 {
		t.Errorf("in a round it stood %d, woken at %d", stood, wake)
	}
	if b.Woken(60e9) != 0 {
		t.Error("with nothing out there is no beat to be late to")
	}
}
