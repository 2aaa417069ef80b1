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

// While nothing causes pressure no query is rejected, however many arrive and whatever they cost.
func TestCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := int64(1e9)
		s := New(now, testConfig())
		for range rapid.IntRange(1, 30).Draw(t, "readings") {
			for range rapid.IntRange(0, 300).Draw(t, "queries") {
				a := Arrival{Workload: rapid.IntRange(0, 1).Draw(t, "workload"), Customer: uint64(rapid.IntRange(0, 3).Draw(t, "customer")),
					ID: 1, TimeLeft: 1e9, Attempt: 1}
				if admitted, _ := s.Admit(now, a); !admitted {
					t.Fatal("a query was rejected")
				}
				if rejected, _ := s.RejectUnread(now, a.Workload); rejected {
					t.Fatal("a query was rejected unread")
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

// Each signal alone makes the process overloaded and is named as the cause, except a processor in full use.
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

// A level is left only after the pressure has been low for a while, one level at a time, so that it does not flap when
// the pressure varies around a threshold.
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
	for i := range 100 { // the pressure alternates around the threshold
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
		t.Errorf("levels %v, cause %q", seen, s.Cause())
	}
	for range 3 {
		read(200e6)
	}
	if s.Level() != Critical {
		t.Errorf("%v", s.Level())
	}
}

// overloadedDetector returns a Detector after two seconds of overload, in which offer is called a thousand times a
// second. Each query costs a millisecond.
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

// admittedShare offers the same query many times and returns the share that is admitted.
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

// Cheap queries are rejected before valuable ones, repeats before the original, and queries without time left before
// all others.
func TestOrder(t *testing.T) {
	// The offered load is twice the capacity, half of it of the valuable workload.
	s := overloadedDetector(t, nil, func(s *Detector, now int64) {
		for w := range 2 {
			s.Admit(now, Arrival{Workload: w, ID: uint64(now) + uint64(w)<<60, TimeLeft: 1e9, Attempt: 1})
		}
	})
	now := int64(3e9)
	at := func(a Arrival) float64 { return priceClass(s.pricing.price(s, a, nil)) }
	valuable, cheap := at(Arrival{Workload: 1, TimeLeft: 1e9, Attempt: 1}), at(Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 1})
	repeated, hurried := at(Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 2}), at(Arrival{Workload: 0, TimeLeft: 5e6, Attempt: 1})
	s.pricing.rememberRejected(77)
	known := at(Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 1, ID: 77})
	if !(valuable > cheap && cheap > repeated && repeated == known && repeated > hurried) {
		t.Errorf("price classes: valuable %v, cheap %v, repeated %v, known id %v, hurried %v", valuable, cheap, repeated, known, hurried)
	}
	if s.pricing.floor <= cheap-1 || s.pricing.floor > valuable+1 {
		t.Errorf("the floor is at %v, cheap queries at %v, valuable ones at %v", s.pricing.floor, cheap, valuable)
	}
	s.pricing.customers = map[uint64]*customer{} // no guaranteed shares
	if a, b := admittedShare(s, now, Arrival{Workload: 1, TimeLeft: 1e9, Attempt: 1}), admittedShare(s, now, Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 1}); a < 0.9 || b > 0.2 {
		t.Errorf("admitted: %.2f of the valuable, %.2f of the cheap queries", a, b)
	}
}

// A customer whose queries are worth least gets its guaranteed share. Without such a share none of its queries is
// served.
func TestFloor(t *testing.T) {
	for floor, want := range map[float64][2]float64{0.1: {0.02, 0.2}, 0: {0, 0}} {
		var modest, asked float64
		overloadedDetector(t, func(w *Config) { w.CustomerFloor = floor }, func(s *Detector, now int64) {
			for range 2 {
				s.Admit(now, Arrival{Workload: 1, Customer: 1, ID: uint64(now), TimeLeft: 1e9, Attempt: 1})
			}
			if ok, _ := s.Admit(now, Arrival{Workload: 0, Customer: 2, ID: uint64(now), TimeLeft: 1e9, Attempt: 1}); now > 2e9 {
				if asked++; ok {
					modest++
				}
			}
		})
		if share := modest / asked; share < want[0] || share > want[1] {
			t.Errorf("with a guaranteed share of %v, %.3f of the second customer's queries are admitted", floor, share)
		}
	}
}

// A customer that asks for much more than its share lowers the price of its own queries, not of others'.
func TestGreedy(t *testing.T) {
	var got, asked [3]float64
	overloadedDetector(t, func(w *Config) { w.CustomerFloor = 0 }, func(s *Detector, now int64) {
		for customer, n := range []int{1: 3, 2: 1} {
			for i := range n {
				if customer == 2 && now/(readingInterval/100)%5 > 0 { // the customer sends 200 queries a second, where 1,000 can be served
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
	if greedy, modest := got[1]/asked[1], got[2]/asked[2]; modest < 0.9 || greedy > 0.5 {
		t.Errorf("admitted: %.2f of the modest customer's queries, %.2f of the greedy one's", modest, greedy)
	}
}

// Clients of rejected queries get different retry times, longer ones the more is offered, and none if MaxRetryAfter is 0.
func TestComeBack(t *testing.T) {
	times := map[int][]int64{}
	for _, over := range []int{2, 6} {
		s := overloadedDetector(t, func(w *Config) { w.MaxRetryAfter = 60e9 }, func(s *Detector, now int64) {
			for i := range over {
				if ok, retryAfter := s.Admit(now, Arrival{Workload: 0, ID: uint64(now) + uint64(i)<<50, TimeLeft: 1e9, Attempt: 1}); !ok && now > 2e9 {
					times[over] = append(times[over], retryAfter)
				}
			}
		})
		if s.Level() < Overloaded {
			t.Fatalf("%v", s.Level())
		}
		slices.Sort(times[over])
		if n := len(times[over]); n < 300 || times[over][n-1] < 2*times[over][0] || times[over][0] <= 0 {
			t.Errorf("at %d times the capacity: retry after %v to %v", over, times[over][0], times[over][n-1])
		}
	}
	if a, b := times[2][len(times[2])/2], times[6][len(times[6])/2]; b < 2*a {
		t.Errorf("median retry time at twice the capacity %d, at six times %d", a, b)
	}
	overloadedDetector(t, func(w *Config) { w.MaxRetryAfter = 0 }, func(s *Detector, now int64) {
		for range 4 {
			if _, retryAfter := s.Admit(now, Arrival{Workload: 0, TimeLeft: 1e9, Attempt: 1}); retryAfter != 0 {
				t.Fatalf("retry time %d although clients cannot be sent one", retryAfter)
			}
		}
	})
}

// The memory for rejected ids and customers is bounded.
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
		t.Errorf("%d customers are kept although all but one are idle", n)
	}
	if err := (&Config{LimitKind: "none", WaitTarget: 1, Cores: 1}).Validate(); err == nil {
		t.Error("an unknown limit was accepted")
	}
}

// The costs of two workloads are told apart, and the estimates follow when they change.
func TestCosts(t *testing.T) {
	c := newCosts(2)
	true0, true1, rejectCost := 80e3, 700e3, 20e3
	learn := func() {
		for i := range 1000 {
			n := []float64{float64(50 + i%7*20), float64(20 + i%3*15)}
			rejected := float64(i % 5 * 30)
			used := n[0]*true0 + n[1]*true1 + rejected*rejectCost
			c.learn(&Reading{Span: readingInterval, CPUTime: int64(used)}, n, rejected, 0)
		}
	}
	near := func(got, want float64) bool { return got > 0.8*want && got < 1.25*want }
	learn()
	if !near(c.ofQuery(0), true0) || !near(c.ofQuery(1), true1) || c.reject > 2*rejectCost || c.reject < rejectCost/2 {
		t.Errorf("%+v", c)
	}
	true0, true1 = 200e3, 300e3
	learn()
	if !near(c.ofQuery(0), true0) || !near(c.ofQuery(1), true1) {
		t.Errorf("after a change %+v", c)
	}
}

// A round runs at once while rounds are short, and waits the longer the more time they take, up to MaxGap.
func TestPace(t *testing.T) {
	p := Pacer{MaxGap: 5e6}
	for cost, want := range map[int64][2]int64{20e3: {0, 0}, 500e3: {1e6, 3e6}, 50e6: {5e6, 5e6}} {
		for range 500 {
			p.RecordRound(cost)
		}
		if g := p.Gap(); g < want[0] || g > want[1] {
			t.Errorf("after rounds of %d ns the gap is %d", cost, g)
		}
	}
}

// A wake-up later than the loop asked for is a stall of the process. A fact that wakes it early, or a wait without a
// deadline, is not.
func TestBeat(t *testing.T) {
	var b StallDetector
	if b.Wake(5e9) != 0 {
		t.Error("a stall was reported before the first Sleep")
	}
	_, wake := b.Sleep(5e9, 5e9, true)
	if wake <= 5e9 || wake > 5e9+20e6 {
		t.Errorf("woken at %d", wake)
	}
	if b.Wake(wake-1) != 0 || b.Wake(wake+1e6) != 0 {
		t.Error("woken in time, but a stall was reported")
	}
	if stalled := b.Wake(wake + 700e6); stalled != 700e6 {
		t.Errorf("stalled for %d", stalled)
	}
	if stalled, wake := b.Sleep(6e9, 6e9-400e6, false); stalled < 390e6 || wake != 0 {
		t.Errorf("after a long round: stalled for %d, next wake-up at %d", stalled, wake)
	}
	if b.Wake(60e9) != 0 {
		t.Error("a stall was reported although no wake-up was due")
	}
}
