package siterouting

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

// someProblem draws a random problem.
func someProblem(t *rapid.T) Problem {
	workloads, links := rapid.IntRange(1, 5).Draw(t, "workloads"), rapid.IntRange(1, 4).Draw(t, "links")
	rate := rapid.Float64Range(0, 200)
	var p Problem
	for range links {
		p.QueryRate = append(p.QueryRate, rate.Draw(t, "queries"))
		p.ByteRate = append(p.ByteRate, 1000*rate.Draw(t, "bytes"))
	}
	for range workloads {
		p.Excess = append(p.Excess, rate.Draw(t, "excess"))
		p.QueryBytes = append(p.QueryBytes, rapid.Float64Range(0, 5000).Draw(t, "weight"))
		var values, capacities []float64
		for range links {
			values = append(values, rapid.Float64Range(-1, 10).Draw(t, "worth"))
			capacities = append(capacities, rate.Draw(t, "takes"))
		}
		p.Value, p.Capacity = append(p.Value, values), append(p.Capacity, capacities)
	}
	return p
}

// checkLimits fails the test if the rates exceed a limit of the problem.
func (p Problem) checkLimits(t *rapid.T, name string, rates [][]float64) {
	const tolerance = 1e-4
	for w := range rates {
		sum := 0.0
		for l, rate := range rates[w] {
			sum += rate
			if rate < 0 || rate > p.Capacity[w][l]+tolerance || rate > 0 && p.Value[w][l] <= 0 {
				t.Fatalf("%s: rate %v of workload %d over link %d; capacity %v, value %v", name, rate, w, l, p.Capacity[w][l], p.Value[w][l])
			}
		}
		if sum > p.Excess[w]+tolerance {
			t.Fatalf("%s: %v queries per second of an excess of %v are sent", name, sum, p.Excess[w])
		}
	}
	for l := range p.QueryRate {
		queries, bytes := 0.0, 0.0
		for w := range rates {
			queries += rates[w][l]
			bytes += rates[w][l] * p.QueryBytes[w]
		}
		if queries > p.QueryRate[l]+tolerance || bytes > p.ByteRate[l]*(1+tolerance)+1 {
			t.Fatalf("%s: link %d carries %v queries per second, limit %v, and %v bytes, limit %v", name, l, queries, p.QueryRate[l], bytes, p.ByteRate[l])
		}
	}
}

// TestPlanners: both planners keep every limit, and the value of the solver's plan is never lower than that of the greedy
// plan.
func TestPlanners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := someProblem(t)
		greedy := Greedy(p)
		p.checkLimits(t, "greedy", greedy.Rates)
		best, solved := Simplex(p)
		if !solved {
			return
		}
		p.checkLimits(t, "simplex", best.Rates)
		if best.Value < greedy.Value-1e-3*max(greedy.Value, 1) {
			t.Fatalf("the value of the solver's plan is %v, of the greedy plan %v", best.Value, greedy.Value)
		}
	})
}

// TestWorthOfSolver: when queries of low value block the link that queries of high value need, the greedy plan loses revenue
// and the solver's plan doesn't.
func TestWorthOfSolver(t *testing.T) {
	p := Problem{Value: [][]float64{{3, 2.9}, {2.5, 0}}, Excess: []float64{100, 100}, Capacity: [][]float64{{100, 100}, {100, 0}},
		QueryRate: []float64{100, 100}, ByteRate: []float64{1e9, 1e9}, QueryBytes: []float64{1, 1}}
	best, solved := Simplex(p)
	if greedy := Greedy(p); !solved || math.Abs(best.Value-540) > 1 || greedy.Value > 301 {
		t.Errorf("solved: %v, value of the solver's plan %v, of the greedy plan %v", solved, best.Value, greedy.Value)
	}
}

func two(name, other string, queries float64) Config {
	return Config{Site: name, Interval: second, Workloads: []Workload{{"lookup", 1, 1000, 50e6}, {"report", 4, 4000, 100e6}},
		Links: []Link{{other, queries, 1e6, 0.1}}}
}

// site models one site. It serves up to its capacity, its own queries first.
type site struct {
	*Router
	capacity float64
	own      float64     // queries per second of each workload
	carried  []float64   // queries that the other site sent in the last interval, by workload
	sent     [][]float64 // queries sent to the other site, by interval and then workload
}

// send routes a query and spends its tokens. It returns the link, or -1 if the query stays.
func (r *Router) send(now int64, q Query) int {
	if l := r.Route(now, q); l >= 0 && r.Spend(now, q.Workload, l) {
		return l
	}
	return -1
}

const steps = 200 // steps of an interval, with at most one query of a workload in each

// play lets two sites route queries to each other for a number of intervals. change is called before each interval.
func play(intervals int, a, b *site, change func(i int)) {
	sites := []*site{a, b}
	now := int64(0)
	for _, s := range sites {
		s.ObserveLink(0, LinkStats{Delay: 160e6, Usable: true})
		s.carried = make([]float64, 2)
	}
	for i := range intervals {
		if change != nil {
			change(i)
		}
		now += second
		next := [][]float64{make([]float64, 2), make([]float64, 2)}
		for n, s := range sites {
			free, other := s.capacity*s.LocalShare(now), sites[1-n]
			var excess [2]int
			for w := range 2 { // the own queries come first
				served := min(s.own, free)
				free -= served
				excess[w] = int(s.own - served)
				for range excess[w] {
					s.CountUnserved(w)
				}
			}
			for k := range steps { // spread the unserved queries over the interval
				for w := range 2 {
					if k*excess[w]/steps < (k+1)*excess[w]/steps &&
						s.send(now-second+int64(k)*second/steps, Query{Workload: w, TimeLeft: 2 * second}) == 0 {
						next[n][w]++
					}
				}
			}
			for k := range steps { // the queries from the other site come after the own ones
				for w := range 2 {
					if arrived := int(s.carried[w]); k*arrived/steps < (k+1)*arrived/steps {
						other.ObserveResult(w, 0, free < 1)
						free = max(free-1, 0)
					}
				}
			}
			s.sent = append(s.sent, next[n])
		}
		a.carried, b.carried = next[1], next[0]
		for _, s := range sites {
			s.Decide(now)
		}
	}
}

// TestSettles: under constant load the routes settle. After some intervals the rate varies by at most half of its mean or 5
// queries per second, and two overloaded sites hardly exchange queries.
func TestSettles(t *testing.T) {
	for _, c := range []struct{ capacityA, capacityB float64 }{{60, 200}, {60, 110}, {0, 300}, {60, 60}, {95, 120}} {
		a := &site{Router: New(0, two("a", "b", 100)), capacity: c.capacityA, own: 50}
		b := &site{Router: New(0, two("b", "a", 100)), capacity: c.capacityB, own: 50}
		play(120, a, b, nil)
		for _, s := range []*site{a, b} {
			sum, lowest, highest := 0.0, math.Inf(1), 0.0
			tail := s.sent[80:]
			for _, sent := range tail {
				all := sent[0] + sent[1]
				sum += all / float64(len(tail))
				lowest, highest = min(lowest, all), max(highest, all)
			}
			if highest-lowest > max(0.5*sum, 5) {
				t.Errorf("%v: site %s sends %.0f to %.0f queries per second, mean %.1f", c, s.Site, lowest, highest, sum)
			}
			if c.capacityA == 60 && c.capacityB == 60 && sum > 10 {
				t.Errorf("two overloaded sites send each other %.1f queries per second", sum)
			}
		}
		if c.capacityB == 200 {
			last := a.sent[len(a.sent)-1]
			if last[0]+last[1] < 30 {
				t.Errorf("site a cannot serve 40 queries per second and b could serve 100 more, but only %v are sent", last)
			}
		}
	}
}

// TestScarceLink: when a link is too small, it carries the queries with the highest value for the share of the link that
// they take.
func TestScarceLink(t *testing.T) {
	a := &site{Router: New(0, two("a", "b", 50)), capacity: 0, own: 100}
	b := &site{Router: New(0, two("b", "a", 50)), capacity: 500, own: 0}
	play(60, a, b, nil)
	last := a.plan.Rates
	if last[1][0] < 30 || last[0][0] > 5 || last[0][0]+last[1][0] > 40.01 {
		t.Errorf("a link of 50 queries per second carries %.1f lookups and %.1f reports per second", last[0][0], last[1][0])
	}
}

// TestShortSite: a site with too little capacity gets the queries of the highest value. Random refusals don't lead to an
// estimate for a single workload.
func TestShortSite(t *testing.T) {
	a := &site{Router: New(0, two("a", "b", 200)), capacity: 0, own: 20}
	b := &site{Router: New(0, two("b", "a", 200)), capacity: 30, own: 5}
	play(240, a, b, nil)
	lookups, reports := 0.0, 0.0
	for _, sent := range a.sent[120:] {
		lookups, reports = lookups+sent[0]/120, reports+sent[1]/120
	}
	if reports < 15 || lookups > 10 {
		t.Errorf("a site with spare capacity for 20 queries per second is sent %.1f lookups and %.1f reports per second", lookups, reports)
	}
}

// TestRefusedWorkload: a workload that a site always refuses is soon no longer sent there, and the other workload still is.
func TestRefusedWorkload(t *testing.T) {
	r, now := New(0, two("a", "b", 200)), int64(0)
	r.ObserveLink(0, LinkStats{Delay: 20e6, Usable: true})
	var sent [2]int
	for i := range 120 {
		for w := range 2 {
			for k := range 20 {
				r.CountUnserved(w)
				if r.send(now+int64(k)*second/20, Query{Workload: w, TimeLeft: 2 * second}) == 0 {
					r.ObserveResult(w, 0, w == 1)
					if i >= 60 {
						sent[w]++
					}
				}
			}
		}
		now += second
		r.Decide(now)
	}
	if sent[0] < 60*15 || sent[1] > 60*3 {
		t.Errorf("in a minute %d queries of the accepted workload are sent, %d of the refused one", sent[0], sent[1])
	}
}

// TestPurse: whatever the workloads and plans are, no more crosses a link since the start than its rates allow plus a burst
// of half a second, in queries and in the bytes that the queries turn out to have.
func TestPurse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := two("a", "b", rapid.Float64Range(1, 100).Draw(t, "queries"))
		config.Links[0].ByteRate = rapid.Float64Range(1e4, 1e6).Draw(t, "bytes")
		r, now := New(0, config), int64(0)
		for w := range r.plan.Rates { // a plan far beyond the limits of the link
			r.plan.Rates[w][0] = 1e4
		}
		r.ObserveLink(0, LinkStats{Usable: true})
		queries, bytes, longest := 0.0, 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "turns") {
			now += rapid.Int64Range(0, second/5).Draw(t, "later")
			w := rapid.IntRange(0, 1).Draw(t, "workload")
			if r.send(now, Query{Workload: w, TimeLeft: 9 * second}) != 0 {
				continue
			}
			actual := rapid.Float64Range(100, 50000).Draw(t, "real")
			longest = max(longest, actual, r.Workloads[w].Bytes)
			r.ObserveBytes(now, w, 0, actual)
			queries++
			bytes += actual
			span := float64(now) / 1e9
			if limit := config.Links[0].QueryRate*(span+budgetBurstSeconds) + 1; queries > limit {
				t.Fatalf("%v queries in %v s, want at most %v", queries, span, limit)
			}
			if limit := config.Links[0].ByteRate*(span+budgetBurstSeconds) + longest; bytes > limit {
				t.Fatalf("%v bytes in %v s, want at most %v", bytes, span, limit)
			}
		}
	})
}

// TestDark: an evacuated site is left at once, and takes its own queries back over a ramp.
func TestDark(t *testing.T) {
	a := &site{Router: New(0, two("a", "b", 500)), capacity: 200, own: 50}
	b := &site{Router: New(0, two("b", "a", 500)), capacity: 300, own: 20}
	var local []float64
	play(90, a, b, func(i int) {
		a.Evacuate(int64(i)*second, i >= 10 && i < 50)
		local = append(local, a.LocalShare(int64(i)*second+1))
	})
	if local[9] != 1 || local[11] != 0 || local[49] != 0 || local[55] <= 0 || local[55] >= 1 || local[80] != 1 {
		t.Errorf("local share by interval: %v", local)
	}
	if carried := a.sent[48][0] + a.sent[48][1]; carried < 70 {
		t.Errorf("half a minute into the evacuation %.0f of 100 queries per second are carried", carried)
	}
	if carried := a.sent[89][0] + a.sent[89][1]; carried != 0 {
		t.Errorf("long after the evacuation %.0f queries per second are still carried", carried)
	}
}

// TestRouteBounds: no query goes to its own site, to a site that it came through, over a link that is down or too slow for
// its remaining time, or over more than two links. No more queries are sent than the plan's rate and its burst allow.
func TestRouteBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		links := rapid.IntRange(1, 4).Draw(t, "links")
		config := Config{Site: "s9", Interval: second, Workloads: []Workload{{"lookup", 1, 1000, 50e6}}}
		for i := range links {
			config.Links = append(config.Links, Link{fmt.Sprint("s", rapid.SampledFrom([]int{i, 9}).Draw(t, "site")), 50, 1e6, 0.1})
		}
		r, now := New(0, config), int64(0)
		usable, delay := make([]bool, links), make([]int64, links)
		spent, allowed := make([]float64, links), make([]float64, links)
		for range rapid.IntRange(1, 20).Draw(t, "turns") {
			for l := range links {
				usable[l], delay[l] = rapid.Bool().Draw(t, "usable"), rapid.Int64Range(0, 400e6).Draw(t, "delay")
				r.ObserveLink(l, LinkStats{Delay: delay[l], Usable: usable[l], Loss: rapid.Float64Range(0, 0.3).Draw(t, "loss")})
				if rapid.Bool().Draw(t, "told") {
					r.ObserveAdvertised(now, l, rapid.Float64Range(0, 100).Draw(t, "willing"))
				}
			}
			for range rapid.IntRange(0, 60).Draw(t, "missed") {
				r.CountUnserved(0)
				q := Query{TimeLeft: rapid.Int64Range(0, 2*second).Draw(t, "left")}
				for range rapid.IntRange(0, 3).Draw(t, "hops") {
					q.Visited = append(q.Visited, fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "visited")))
				}
				l := r.send(now, q)
				if l < 0 {
					continue
				}
				spent[l]++
				if config.Links[l].Site == "s9" || !usable[l] || len(q.Visited) >= maxHops || q.TimeLeft < 2*delay[l] {
					t.Fatalf("query %+v goes over link %d with delay %d, usable: %v", q, l, delay[l], usable[l])
				}
				for _, v := range q.Visited {
					if v == config.Links[l].Site {
						t.Fatalf("query goes back to site %s", v)
					}
				}
			}
			now += second
			r.Decide(now)
			for l := range links {
				rate := r.plan.Rates[0][l]
				if rate > 50*(1-reverseReserve)+1e-6 {
					t.Fatalf("planned rate %v over a link of 50 queries per second", rate)
				}
				allowed[l] += rate
				if limit := allowed[l] + max(rate, 50) + minBurst; spent[l] > limit {
					t.Fatalf("%v queries over link %d, want at most %v", spent[l], l, limit)
				}
			}
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workloads, links int }{{2, 1}, {4, 3}, {6, 5}} {
		t := Config{Site: "s", Interval: second}
		for w := range size.workloads {
			t.Workloads = append(t.Workloads, Workload{fmt.Sprint("w", w), float64(1 + w), 1000, 50e6})
		}
		for l := range size.links {
			t.Links = append(t.Links, Link{fmt.Sprint("l", l), 100, 1e6, 0.1})
		}
		r := New(0, t)
		for l := range size.links {
			r.ObserveLink(l, LinkStats{Usable: true})
		}
		for w := range size.workloads {
			r.excess[w] = 50
		}
		p := r.problem(0)
		for name, plan := range map[string]func(Problem) Plan{"greedy": Greedy,
			"simplex": func(p Problem) Plan { plan, _ := Simplex(p); return plan }} {
			b.Run(fmt.Sprint(name, " ", size.workloads, "x", size.links), func(b *testing.B) {
				for b.Loop() {
					plan(p)
				}
			})
		}
	}
}
