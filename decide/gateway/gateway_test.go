package gateway

import (
	"testing"

	"pgregory.net/rapid"

	"willowsill/decide/siterouting"
)

const second = int64(1e9)

func two(queries float64) siterouting.Config {
	return siterouting.Config{Site: "a", Interval: second, Links: []siterouting.Link{{Site: "b", QueryRate: queries, ByteRate: 1e6, Cost: 0.1}},
		Workloads: []siterouting.Workload{{Name: "look", Revenue: 1, Bytes: 1000, ServiceTime: 50e6}, {Name: "pay", Revenue: 5, Bytes: 1000, ServiceTime: 50e6}}}
}

// Whatever comes in whatever order: each query that waits is told once, and in a tenth of its time; no more are in flight than
// the limit; and when all are back nothing is left of them.
func TestOnceEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(0, two(rapid.Float64Range(2, 80).Draw(t, "queries"))), int64(0)
		c.Pinged(now, 0, 80e6, false)
		c.ObserveAdvertised(now, 0, 50)
		type out struct{ workload int }
		waiting, until := map[int]Query{}, map[int]int64{}
		var flying []out
		carry := func() {
			r := c.Decide(now)
			for _, g := range r.Departures {
				n := g.Handle.(int)
				if _, waits := waiting[n]; !waits {
					t.Fatalf("query %d goes and does not wait", n)
				}
				flying = append(flying, out{waiting[n].Workload})
				delete(waiting, n)
			}
			for _, load := range r.Rejected {
				if _, waits := waiting[load.(int)]; !waits {
					t.Fatalf("query %v is turned away and does not wait", load)
				}
				delete(waiting, load.(int))
			}
			for n := range waiting {
				if now > until[n]+2*queuePollNs {
					t.Fatalf("query %d waits %d ms too long", n, (now-until[n])/1e6)
				}
			}
			if w := c.Links()[0]; w.InFlight > max(w.Limit, len(flying)) || w.InFlight != len(flying) {
				t.Fatalf("%d in flight, %d known of, limit %d", w.InFlight, len(flying), w.Limit)
			}
		}
		number := 0
		for range rapid.IntRange(1, 300).Draw(t, "turns") {
			later := rapid.Int64Range(0, second/10).Draw(t, "later")
			for end := now + later; c.Next() < end; { // it is asked when it wants to be
				now = max(c.Next(), now)
				carry()
			}
			now += later
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if len(flying) > 0 {
					one := flying[0]
					flying = flying[1:]
					c.Returned(now, one.workload, 0, rapid.Bool().Draw(t, "refused"), 500)
				}
			case 1:
				c.Pinged(now, 0, rapid.Int64Range(1e6, 500e6).Draw(t, "took"), rapid.IntRange(0, 9).Draw(t, "lost") == 0)
			case 2:
				for n, q := range waiting {
					if !c.Withdraw(q, 0) {
						t.Fatalf("query %d waits and cannot be withdrawn", n)
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
				link, waits := c.Forward(now, q)
				if !waits {
					delete(waiting, number)
				}
				if link >= 0 && !waits {
					if before > 0 && c.links[0].queues[q.Workload].Len() > 0 {
						t.Fatalf("query %d goes before those who wait", number)
					}
					flying = append(flying, out{q.Workload})
				}
			}
			carry()
		}
		for _, one := range flying {
			c.Returned(now, one.workload, 0, false, 0)
		}
		flying = nil
		for len(waiting) > 0 {
			now += queuePollNs
			carry()
			for _, one := range flying {
				c.Returned(now, one.workload, 0, false, 0)
			}
			flying = nil
		}
		if !c.Idle() {
			t.Fatalf("left: %+v, %d waiting", c.Links(), c.Waiting())
		}
	})
}

// A way is cut after some lost pings, told once, and open again with the next that comes back.
func TestCut(t *testing.T) {
	c, now := New(0, two(50)), int64(0)
	plan := func() {
		now += second
		c.Decide(now)
	}
	goes := func() bool {
		link, waits := c.Forward(now, Query{Query: siterouting.Query{Workload: 1, TimeLeft: 5 * second, Declined: true}, Handle: 1})
		if link >= 0 && !waits {
			c.Returned(now, 1, 0, false, 0)
		}
		return link >= 0
	}
	if goes() {
		t.Error("over a way that no ping has crossed")
	}
	c.Pinged(now, 0, 80e6, false)
	plan()
	if !goes() {
		t.Error("not over a way that is well")
	}
	cuts := 0
	for range 6 {
		if c.Pinged(now, 0, second, true) {
			cuts++
		}
	}
	plan()
	if cuts != 1 || goes() {
		t.Errorf("told %d times that it is cut; it is used: %v", cuts, goes())
	}
	for range 20 { // it is trusted again as the share of lost pings fades
		c.Pinged(now, 0, 80e6, false)
	}
	plan()
	plan()
	if !goes() {
		t.Error("not over a way that is mended")
	}
}
