package gateway

import (
	"testing"

	"pgregory.net/rapid"

	"willowsill/decide/siterouting"
)

const second = int64(1e9)

// two returns the settings of site a with a link to site b.
func two(queries float64) siterouting.Config {
	return siterouting.Config{Site: "a", Interval: second, Links: []siterouting.Link{{Site: "b", QueryRate: queries, ByteRate: 1e6, Cost: 0.1}},
		Workloads: []siterouting.Workload{{Name: "look", Revenue: 1, Bytes: 1000, ServiceTime: 50e6}, {Name: "pay", Revenue: 5, Bytes: 1000, ServiceTime: 50e6}}}
}

// TestOnceEach: whatever the order of events, each waiting query is returned once and within a tenth of its time, no more
// queries are in flight than the limit allows, and once all have returned the gateway is idle.
func TestOnceEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := New(0, two(rapid.Float64Range(2, 80).Draw(t, "queries"))), int64(0)
		g.Pinged(now, 0, 80e6, false)
		g.ObserveAdvertised(now, 0, 50)
		type flight struct{ workload int }
		waiting, until := map[int]Query{}, map[int]int64{}
		var inFlight []flight
		decide := func() {
			r := g.Decide(now)
			for _, d := range r.Departures {
				n := d.Handle.(int)
				if _, waits := waiting[n]; !waits {
					t.Fatalf("query %d leaves but was not waiting", n)
				}
				inFlight = append(inFlight, flight{waiting[n].Workload})
				delete(waiting, n)
			}
			for _, handle := range r.Rejected {
				if _, waits := waiting[handle.(int)]; !waits {
					t.Fatalf("query %v is rejected but was not waiting", handle)
				}
				delete(waiting, handle.(int))
			}
			for n := range waiting {
				if now > until[n]+2*queuePollNs {
					t.Fatalf("query %d waits %d ms too long", n, (now-until[n])/1e6)
				}
			}
			if link := g.Links()[0]; link.InFlight > max(link.Limit, len(inFlight)) || link.InFlight != len(inFlight) {
				t.Fatalf("%d in flight, want %d, limit %d", link.InFlight, len(inFlight), link.Limit)
			}
		}
		number := 0
		for range rapid.IntRange(1, 300).Draw(t, "turns") {
			later := rapid.Int64Range(0, second/10).Draw(t, "later")
			for end := now + later; g.Next() < end; { // the calls of Decide that are due by then
				now = max(g.Next(), now)
				decide()
			}
			now += later
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if len(inFlight) > 0 {
					returned := inFlight[0]
					inFlight = inFlight[1:]
					g.Returned(now, returned.workload, 0, rapid.Bool().Draw(t, "refused"), 500)
				}
			case 1:
				g.Pinged(now, 0, rapid.Int64Range(1e6, 500e6).Draw(t, "took"), rapid.IntRange(0, 9).Draw(t, "lost") == 0)
			case 2:
				for n, q := range waiting {
					if !g.Withdraw(q, 0) {
						t.Fatalf("query %d waits but cannot be withdrawn", n)
					}
					delete(waiting, n)
					break
				}
			default:
				number++
				q := Query{Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), Handle: number,
					Query: siterouting.Query{Workload: rapid.IntRange(0, 1).Draw(t, "workload"), TimeLeft: 2 * second, Declined: true}}
				before := len(waiting)
				waiting[number], until[number] = q, now+q.TimeLeft/waitTimeDivisor
				link, waits := g.Forward(now, q)
				if !waits {
					delete(waiting, number)
				}
				if link >= 0 && !waits {
					if before > 0 && g.links[0].queues[q.Workload].Len() > 0 {
						t.Fatalf("query %d overtakes waiting queries", number)
					}
					inFlight = append(inFlight, flight{q.Workload})
				}
			}
			decide()
		}
		for _, returned := range inFlight {
			g.Returned(now, returned.workload, 0, false, 0)
		}
		inFlight = nil
		for len(waiting) > 0 {
			now += queuePollNs
			decide()
			for _, returned := range inFlight {
				g.Returned(now, returned.workload, 0, false, 0)
			}
			inFlight = nil
		}
		if !g.Idle() {
			t.Fatalf("the gateway is not idle: %+v, %d waiting", g.Links(), g.Waiting())
		}
	})
}

// TestCut: a link is down after some lost pings, which is reported once, and is up again with the next answered ping.
func TestCut(t *testing.T) {
	g, now := New(0, two(50)), int64(0)
	plan := func() {
		now += second
		g.Decide(now)
	}
	leaves := func() bool {
		link, waits := g.Forward(now, Query{Query: siterouting.Query{Workload: 1, TimeLeft: 5 * second, Declined: true}, Handle: 1})
		if link >= 0 && !waits {
			g.Returned(now, 1, 0, false, 0)
		}
		return link >= 0
	}
	if leaves() {
		t.Error("a link without an answered ping is used")
	}
	g.Pinged(now, 0, 80e6, false)
	plan()
	if !leaves() {
		t.Error("a link that is up is not used")
	}
	reports := 0
	for range 6 {
		if g.Pinged(now, 0, second, true) {
			reports++
		}
	}
	plan()
	if reports != 1 || leaves() {
		t.Errorf("reported down %d times; link is used: %v", reports, leaves())
	}
	for range 20 { // the weight of the lost pings decreases until the link is used again
		g.Pinged(now, 0, 80e6, false)
	}
	plan()
	plan()
	if !leaves() {
		t.Error("a link that is up again is not used")
	}
}
