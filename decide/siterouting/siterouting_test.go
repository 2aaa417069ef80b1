package siterouting

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

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
		var worth, takes []float64
		for range links {
			worth = append(worth, rapid.Float64Range(-1, 10).Draw(t, "worth"))
			takes = append(takes, rate.Draw(t, "takes"))
		}
		p.Value, p.Capacity = append(p.Value, worth), append(p.Capacity, takes)
	}
	return p
}

func (p Problem) kept(t *rapid.T, name string, rates [][]float64) {
	const grain = 1e-4
	for w := range rates {
		sum := 0.0
		for l, rate := range rates[w] {
			sum += rate
			if rate < 0 || rate > p.Capacity[w][l]+grain || rate > 0 && p.Value[w][l] <= 0 {
				t.Fatalf("%s: %v of workload %d over link %d, %v are taken, worth %v", name, rate, w, l, p.Capacity[w][l], p.Value[w][l])
			}
		}
		if sum > p.Excess[w]+grain {
			t.Fatalf("%s: %v of an excess of %v", name, sum, p.Excess[w])
		}
	}
	for l := range p.QueryRate {
		queries, bytes := 0.0, 0.0
		for w := range rates {
			queries += rates[w][l]
			bytes += rates[w][l] * p.QueryBytes[w]
		}
		if queries > p.QueryRate[l]+grain || bytes > p.ByteRate[l]*(1+grain)+1 {
			t.Fatalf("%s: over link %d %v of %v queries, %v of %v bytes", name, l, queries, p.QueryRate[l], bytes, p.ByteRate[l])
		}
	}
}

// Both planners keep every limit, and the solver's plan is never worth less.
func TestPlanners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := someProblem(t)
		simple := Greedy(p)
		p.kept(t, "greedy", simple.Rates)
		best, solved := Simplex(p)
		if !solved {
			return
		}
		p.kept(t, "simplex", best.Rates)
		if best.Value < simple.Value-1e-3*max(simple.Value, 1) {
			t.Fatalf("the solver's plan is worth %v, the simple one %v", best.Value, simple.Value)
		}
	})
}

// Where a cheap query blocks the link that a dear one needs, the simple plan loses and the solver's does not.
func TestWorthOfSolver(t *testing.T) {
	p := Problem{Value: [][]float64{{3, 2.9}, {2.5, 0}}, Excess: []float64{100, 100}, Capacity: [][]float64{{100, 100}, {100, 0}},
		QueryRate: []float64{100, 100}, ByteRate: []float64{1e9, 1e9}, QueryBytes: []float64{1, 1}}
	best, solved := Simplex(p)
	if simple := Greedy(p); !solved || math.Abs(best.Value-540) > 1 || simple.Value > 301 {
		t.Errorf("%v, %v and %v", solved, best.Value, simple.Value)
	}
}

func two(name, other string, queries float64) Config {
	return Config{Site: name, Interval: second, Workloads: []Workload{{"lookup", 1, 1000, 50e6}, {"report", 4, 4000, 100e6}},
		Links: []Link{{other, queries, 1e6, 0.1}}}
}

// site is a model of one site: it serves so much of each workload, its own first.
type site struct {
	*Router
	capacity float64
	own      float64 // queries a second of each workload
	carried  []float64
	sent     [][]float64 // by interval, of each workload
}

// goes routes a query and spends its room; -1 for none.
func (r *Router) goes(now int64, q Query) int {
	if l := r.Route(now, q); l >= 0 && r.Spend(now, q.Workload, l) {
		return l
	}
	return -1
}

const slots = 200 // of an interval, one query of a workload in each at most

// play has two sites route for each other for some intervals; change may change them in each.
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
			room, far := s.capacity*s.LocalShare(now), sites[1-n]
			var excess [2]int
			for w := range 2 { // its own first
				served := min(s.own, room)
				room -= served
				excess[w] = int(s.own - served)
				for range excess[w] {
					s.CountUnserved(w)
				}
			}
			for k := range slots { // through the interval
				for w := range 2 {
					if k*excess[w]/slots < (k+1)*excess[w]/slots &&
						s.goes(now-second+int64(k)*second/slots, Query{Workload: w, TimeLeft: 2 * second}) == 0 {
						next[n][w]++
					}
				}
			}
			for k := range slots { // then what the other one sent
				for w := range 2 {
					if came := int(s.carried[w]); k*came/slots < (k+1)*came/slots {
						far.ObserveResult(w, 0, room < 1)
						room = max(room-1, 0)
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

// Under constant load the routes settle: after some intervals a plan moves no more than a tenth about its mean.
func TestSettles(t *testing.T) {
	for _, c := range []struct{ capacityA, capacityB float64 }{{60, 200}, {60, 110}, {0, 300}, {60, 60}, {95, 120}} {
		a := &site{Router: New(0, two("a", "b", 100)), capacity: c.capacityA, own: 50}
		b := &site{Router: New(0, two("b", "a", 100)), capacity: c.capacityB, own: 50}
		play(120, a, b, nil)
		for _, s := range []*site{a, b} {
			sum, least, most := 0.0, math.Inf(1), 0.0
			tail := s.sent[80:]
			for _, sent := range tail {
				all := sent[0] + sent[1]
				sum += all / float64(len(tail))
				least, most = min(least, all), max(most, all)
			}
			if most-least > max(0.5*sum, 5) {
				t.Errorf("%v: %s sends %.0f to %.0f, %.1f in the mean", c, s.Site, least, most, sum)
			}
			if c.capacityA == 60 && c.capacityB == 60 && sum > 10 {
				t.Errorf("two short sites hand each other %.1f queries a second", sum)
			}
		}
		if c.capacityB == 200 {
			last := a.sent[len(a.sent)-1]
			if last[0]+last[1] < 30 {
				t.Errorf("of 40 that a cannot serve b, with 100 to spare, is sent %v", last)
			}
		}
	}
}

// Under scarcity a link carries what is worth most for what it takes.
func TestScarceLink(t *testing.T) {
	a := &site{Router: New(0, two("a", "b", 50)), capacity: 0, own: 100}
	b := &site{Router: New(0, two("b", "a", 50)), capacity: 500, own: 0}
	play(60, a, b, nil)
	last := a.plan.Rates
	if last[1][0] < 30 || last[0][0] > 5 || last[0][0]+last[1][0] > 40.01 {
		t.Errorf("over a link of 50 a second go %.1f lookups and %.1f reports", last[0][0], last[1][0])
	}
}

// A site that is short takes what is worth most: of what it refuses by chance nothing is drawn for a workload alone.
func TestShortSite(t *testing.T) {
	a := &site{Router: New(0, two("a", "b", 200)), capacity: 0, own: 20}
	b := &site{Router: New(0, two("b", "a", 200)), capacity: 30, own: 5}
	play(240, a, b, nil)
	lookups, reports := 0.0, 0.0
	for _, sent := range a.sent[120:] {
		lookups, reports = lookups+sent[0]/120, reports+sent[1]/120
	}
	if reports < 15 || lookups > 10 {
		t.Errorf("to a site with room for 20 a second go %.1f lookups and %.1f reports", lookups, reports)
	}
}

// A workload that a site always refuses is not sent there for long, and the others are.
func TestRefusedWorkload(t *testing.T) {
	r, now := New(0, two("a", "b", 200)), int64(0)
	r.ObserveLink(0, LinkStats{Delay: 20e6, Usable: true})
	var sent [2]int
	for i := range 120 {
		for w := range 2 {
			for k := range 20 {
				r.CountUnserved(w)
				if r.goes(now+int64(k)*second/20, Query{Workload: w, TimeLeft: 2 * second}) == 0 {
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
		t.Errorf("in a minute %d of the one that is taken are sent, %d of the one that is refused", sent[0], sent[1])
	}
}

// Whatever workloads and plans there are, no more crosses a link in any stretch than its limits and half a second of them, in
// queries and in the bytes that queries turn out to have.
func TestPurse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := two("a", "b", rapid.Float64Range(1, 100).Draw(t, "queries"))
		terms.Links[0].ByteRate = rapid.Float64Range(1e4, 1e6).Draw(t, "bytes")
		r, now := New(0, terms), int64(0)
		for w := range r.plan.Rates { // a plan gone wrong
			r.plan.Rates[w][0] = 1e4
		}
		r.ObserveLink(0, LinkStats{Usable: true})
		queries, bytes, longest := 0.0, 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "turns") {
			now += rapid.Int64Range(0, second/5).Draw(t, "later")
			w := rapid.IntRange(0, 1).Draw(t, "workload")
			if r.goes(now, Query{Workload: w, TimeLeft: 9 * second}) != 0 {
				continue
			}
			real := rapid.Float64Range(100, 50000).Draw(t, "real")
			longest = max(longest, real, r.Workloads[w].Bytes)
			r.ObserveBytes(now, w, 0, real)
			queries++
			bytes += real
			span := float64(now) / 1e9
			if most := terms.Links[0].QueryRate*(span+budgetBurstSeconds) + 1; queries > most {
				t.Fatalf("%v queries in %v s, at most %v", queries, span, most)
			}
			if most := terms.Links[0].ByteRate*(span+budgetBurstSeconds) + longest; bytes > most {
				t.Fatalf("%v bytes in %v s, at most %v", bytes, span, most)
			}
		}
	})
}

// A site that went dark is left at once, and takes its own queries again over a ramp.
func TestDark(t *testing.T) {
	a := &site{Router: New(0, two("a", "b", 500)), capacity: 200, own: 50}
	b := &site{Router: New(0, two("b", "a", 500)), capacity: 300, own: 20}
	var local []float64
	play(90, a, b, func(i int) {
		a.Evacuate(int64(i)*second, i >= 10 && i < 50)
		local = append(local, a.LocalShare(int64(i)*second+1))
	})
	if local[9] != 1 || local[11] != 0 || local[49] != 0 || local[55] <= 0 || local[55] >= 1 || local[80] != 1 {
		t.Errorf("the own share goes %v", local)
	}
	if carried := a.sent[48][0] + a.sent[48][1]; carried < 70 {
		t.Errorf("dark for half a minute, %.0f of 100 are carried", carried)
	}
	if carried := a.sent[89][0] + a.sent[89][1]; carried != 0 {
		t.Errorf("long light again, %.0f are carried", carried)
	}
}

// Whatever happens: no query to its own site, to one it came through, over a link that is down or too slow for what
// is left, nor after two hops; and no more tokens than the plan's rate and its burst.
func TestRouteBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		links := rapid.IntRange(1, 4).Draw(t, "links")
		terms := Config{Site: "s9", Interval: second, Workloads: []Workload{{"lookup", 1, 1000, 50e6}}}
		for i := range links {
			terms.Links = append(terms.Links, Link{fmt.Sprint("s", rapid.SampledFrom([]int{i, 9}).Draw(t, "site")), 50, 1e6, 0.1})
		}
		r, now := New(0, terms), int64(0)
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
				l := r.goes(now, q)
				if l < 0 {
					continue
				}
				spent[l]++
				if terms.Links[l].Site == "s9" || !usable[l] || len(q.Visited) >= maxHops || q.TimeLeft < 2*delay[l] {
					t.Fatalf("%+v over link %d, delay %d, usable %v", q, l, delay[l], usable[l])
				}
				for _, v := range q.Visited {
					if v == terms.Links[l].Site {
						t.Fatalf("back to %s", v)
					}
				}
			}
			now += second
			r.Decide(now)
			for l := range links {
				rate := r.plan.Rates[0][l]
				if rate > 50*(1-reverseReserve)+1e-6 {
					t.Fatalf("a rate of %v over a link of 50", rate)
				}
				allowed[l] += rate
				if most := allowed[l] + max(rate, 50) + minBurst; spent[l] > most {
					t.Fatalf("%v queries over link %d, at most %v", spent[l], l, most)
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
