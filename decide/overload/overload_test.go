package overload

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{Cores: 1, Workloads: []Workload{{1, 250e6}, {10, 250e6}}, LimitKind: "model", WaitTarget: 5e6, MaxRetryAfter: 2e9, CustomerFloor: 0.05, Seed: 7}
}

const readingInterval = int64(100e6)

// Whatever comes while nothing presses, nobody is turned away, however many come and whatever they cost.
func TestCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := int64(1e9)
		s := New(now, testConfig())
		for range rapid.IntRange(1, 30).Draw(t, "readings") {
			for range rapid.IntRange(0, 300).Draw(t, "queries") {
				a := Arrival{Workload: rapid.IntRange(0, 1).Draw(t, "workload"), Customer: uint64(rapid.IntRange(0, 3).Draw(t, "customer")),
					ID: 1, TimeLeft: 1e9, Attempt: 1}
				if taken, _ := s.Admit(now, a); !taken {
					t.Fatal("a query was turned away")
				}
				if away, _ := s.RejectUnread(now, a.Workload); away {
					t.Fatal("a query was turned away unseen")
				}
				s.RecordEnd(a.Workload, 50e6, true)
			}
			now += readingInterval
			s.RecordWait(rapid.Int64Range(0, 2e6).Draw(t, "wait"))
			s.Observe(now, Reading{Span: readingInterval, CPUTime: rapid.Int64Range(0, 70e6).Draw(t, "used"), MeanWait: rapid.Int64Range(0, 2e6).Draw(t, "mean"),
				SchedLatency: 5e6, TimerLateness: 3e6, HeapShare: 0.6, GCShare: 0.1})
		}
	})
}

// Each signal alone strains, and is named; a processor in full use alone does not.
func TestSignals(t *testing.T) {
	for cause, r := range map[string]Reading{
		"facts wait for the loop":         {MeanWait: 20e6},
		"an own timer is late":            {TimerLateness: 60e6},
		"goroutines wait for a processor": {SchedLatency: 60e6},
		"the processor is withheld":       {ThrottledTime: 50e6},
		"garbage is collected":            {GCShare: 0.9},
		"all stood for the garbage":       {MaxGCPause: 60e6},
		"the heap is near its limit":      {HeapShare: 1.1},
		"the loop's queue is full":        {QueueShare: 0.7},
		"descriptors run short":           {DescriptorShare: 1.3},
	} {
		s := New(1e9, testConfig())
		r.Span = readingInterval
		for i := range 5 {
			s.Observe(1e9+int64(i+1)*readingInterval, r)
		}
		if s.Level() < Overloaded || s.Cause() != cause {
			t.Errorf("%s: %v for %q", cause, s.Level(), s.Cause())
		}
	}
	s := New(1e9, testConfig())
	for i := range 50 {
		s.Observe(1e9+int64(i+1)*readingInterval, Reading{Span: readingInterval, CPUTime: 2 * readingInterval})
	}
	if s.Level() != Busy {
		t.Errorf("a processor in full use: %v", s.Level())
	}
}

// A level is left only when what made it has been away for a while, one at a time: at the edge nothing flaps.
func TestLevels(t *testing.T) {
	s := New(0, testConfig())
	now, changes := int64(0), 0
	read := func(wait int64) {
		now += readingInterval
		if s.Observe(now, Reading{Span: readingInterval, MeanWait: wait}) {
			changes++
		}
	}
	for range 10 {
		read(6e6)
	}
	if s.Level() != Overloaded {
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
	if seen = slices.Compact(seen); !slices.Equal(seen, []Level{Overloaded, Busy, Calm}) || s.Cause() != "" {
		t.Errorf("left by way of %v, for %q", seen, s.Cause())
	}
	for range 3 {
		read(200e6)
	}
	if s.Level() != Critical {
		t.Errorf("%v", s.Level())
	}
}

// overloadedDetector is one that is strained, with so much of each workload offered for a second, a thousandth of a second each.
func overloadedDetector(t *testing.T, change func(*Config), offer func(s *Detector, now int64)) *Detector {
	t.Helper()
	w := testConfig()
	if change != nil {
		change(&w)
	}
	now := int64(1e9)
	s := New(now, w)
	for i := range s.costs.query {
		s.costs.query[i] = 1e6
	}
	s.costs.observed = 1e6
	for range 20 {
		for range 100 {
			now += readingInterval / 100
			offer(s, now)
		}
		s.costs.query[0], s.costs.query[1] = 1e6, 1e6
		copy(s.ended, s.admitted)
		s.Observe(now, Reading{Span: readingInterval, CPUTime: int64(min(s.admittedWork()+s.rejected*20e3, float64(readingInterval))), MeanWait: 8e6})
	}
	return s
}

// admittedShare offers one kind of query many times and tells the share taken on.
func admittedShare(s *Detector, now int64, a Arrival) float64 {
	n := 0.0
	const tries = 400
	for i := range tries {
		a.ID = uint64(now) + uint64(i)
		if ok, _ := s.pricing.admit(now, s, a); ok {
			n++
		}
	}
	return n / tries
}

// What is turned away first: the cheap before the dear, its repeats before itself, what has no time left before all.
func TestOrder(t *testing.T) {
	// Twice of what can be served is offered, half of it dear.
	s := overloadedDetector(t, nil, func(s *Detector, now int64) {
		for w := range 2 {
			s.Admit(now, Arrival{Workload: w, ID: uint64(now) + uint64(w)<<60, TimeLeft: 1e9, Attempt: 1})
		}
	})
	now := int64(3e9)
	at := func(a Arrival) float64 { return priceClass(s.pricing.price(s, a, nil)) }
	dear, cheap := at(Arrival{Workload: 1, TimeLeft: 1e9, Attempt: 1}), at(Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 1})
	again, hurried := at(Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 2}), at(Arrival{Workload: 0, TimeLeft: 5e6, Attempt: 1})
	s.pricing.rememberRejected(77)
	known := at(Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 1, ID: 77})
	if !(dear > cheap && cheap > again && again == known && again > hurried) {
		t.Errorf("dear %v, cheap %v, again %v, known %v, hurried %v", dear, cheap, again, known, hurried)
	}
	if s.pricing.floor <= cheap-1 || s.pricing.floor > dear+1 {
		t.Errorf("the floor is at %v, cheap ones at %v, dear ones at %v", s.pricing.floor, cheap, dear)
	}
	s.pricing.customers = map[uint64]*customer{} // no floor of theirs
	if a, b := admittedShare(s, now, Arrival{Workload: 1, TimeLeft: 1e9, Attempt: 1}), admittedShare(s, now, Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 1}); a < 0.9 || b > 0.2 {
		t.Errorf("taken on: %.2f of the dear, %.2f of the cheap", a, b)
	}
}

// A customer whose queries are worth least is served its floor; without one it would be locked out.
func TestFloor(t *testing.T) {
	for floor, want := range map[float64][2]float64{0.1: {0.02, 0.2}, 0: {0, 0}} {
		var meek, asked float64
		overloadedDetector(t, func(w *Config) { w.CustomerFloor = floor }, func(s *Detector, now int64) {
			for range 2 {
				s.Admit(now, Arrival{Workload: 1, Customer: 1, ID: uint64(now), TimeLeft: 1e9, Attempt: 1})
			}
			if ok, _ := s.Admit(now, Arrival{Workload: 0, Customer: 2, ID: uint64(now), TimeLeft: 1e9, Attempt: 1}); now > 2e9 {
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
	overloadedDetector(t, func(w *Config) { w.CustomerFloor = 0 }, func(s *Detector, now int64) {
		for customer, n := range []int{1: 3, 2: 1} {
			for i := range n {
				if customer == 2 && now/(readingInterval/100)%5 > 0 { // two hundred a second of what can be a thousand
					continue
				}
				ok, _ := s.Admit(now, Arrival{Workload: 0, Customer: uint64(customer), ID: uint64(now) + uint64(i)<<50, TimeLeft: 1e9, Attempt: 1})
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
		s := overloadedDetector(t, func(w *Config) { w.MaxRetryAfter = 60e9 }, func(s *Detector, now int64) {
			for i := range over {
				if ok, back := s.Admit(now, Arrival{Workload: 0, ID: uint64(now) + uint64(i)<<50, TimeLeft: 1e9, Attempt: 1}); !ok && now > 2e9 {
					times[over] = append(times[over], back)
				}
			}
		})
		if s.Level() < Overloaded {
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
	overloadedDetector(t, func(w *Config) { w.MaxRetryAfter = 0 }, func(s *Detector, now int64) {
		for range 4 {
			if _, back := s.Admit(now, Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 1}); back != 0 {
				t.Fatalf("told to come back in %d where none can be told", back)
			}
		}
	})
}

// What is remembered is bounded.
func TestBounds(t *testing.T) {
	s := New(1e9, testConfig())
	for i := range 20000 {
		s.pricing.rememberRejected(uint64(i))
		s.pricing.touchCustomer(1e9, s, uint64(i), 1e6)
	}
	if n := len(s.pricing.rejectedIDs[0]) + len(s.pricing.rejectedIDs[1]); n > 2*maxRejectedIDs {
		t.Errorf("%d ids", n)
	}
	if n := len(s.pricing.customers); n > maxCustomers+1 {
		t.Errorf("%d customers", n)
	}
	s.pricing.touchCustomer(1e9+2*customerIdleNs, s, 1, 1e6)
	if n := len(s.pricing.customers); n > 2 {
		t.Errorf("%d customers that ask nothing", n)
	}
	if err := (&Config{LimitKind: "none", WaitTarget: 1, Cores: 1}).Validate(); err == nil {
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
			c.learn(&Reading{Span: readingInterval, CPUTime: int64(used)}, n, refused, 0)
		}
	}
	near := func(got, want float64) bool { return got > 0.8*want && got < 1.25*want }
	learn()
	if !near(c.ofQuery(0), true0) || !near(c.ofQuery(1), true1) || c.reject > 2*refusal || c.reject < refusal/2 {
		t.Errorf("%+v", c)
	}
	true0, true1 = 200e3, 300e3
	learn()
	if !near(c.ofQuery(0), true0) || !near(c.ofQuery(1), true1) {
		t.Errorf("after a change %+v", c)
	}
}

// A round comes at once while it costs little, and waits for more the more it costs, up to the tick.
func TestPace(t *testing.T) {
	p := Pacer{MaxGap: 5e6}
	for cost, want := range map[int64][2]int64{20e3: {0, 0}, 500e3: {1e6, 3e6}, 50e6: {5e6, 5e6}} {
		for range 500 {
			p.RecordRound(cost)
		}
		if g := p.Gap(); g < want[0] || g > want[1] {
			t.Errorf("rounds of %d ns: a gap of %d", cost, g)
		}
	}
}

// What the loop comes late to its beat is the process's own; a fact that wakes it early, or a wait without a beat, is not.
func TestBeat(t *testing.T) {
	var b StallDetector
	if b.Wake(5e9) != 0 {
		t.Error("before the first beat")
	}
	_, wake := b.Sleep(5e9, 5e9, true)
	if wake <= 5e9 || wake > 5e9+20e6 {
		t.Errorf("woken at %d", wake)
	}
	if b.Wake(wake-1) != 0 || b.Wake(wake+1e6) != 0 {
		t.Error("in time, and it stood")
	}
	if stood := b.Wake(wake + 700e6); stood != 700e6 {
		t.Errorf("stood %d", stood)
	}
	if stood, wake := b.Sleep(6e9, 6e9-400e6, false); stood < 390e6 || wake != 0 {
		t.Errorf("in a round it stood %d, woken at %d", stood, wake)
	}
	if b.Wake(60e9) != 0 {
		t.Error("with nothing out there is no beat to be late to")
	}
}
