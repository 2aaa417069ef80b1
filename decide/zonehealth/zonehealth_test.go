package zonehealth

import (
	"fmt"
	"math"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"willowsill/balance"
)

const ms = int64(1e6)

func newTestTracker(replicas int, zones ...string) *Tracker {
	f := New(Config{BaseEjection: 250 * ms, MinFailedReplicas: 3, Seed: 1})
	for i := range replicas {
		f.ReplicaListed(i, zones[i%len(zones)], false)
	}
	f.Decide(0, nil)
	return f
}

// excludedReplicas stands in for the balance module: it holds the replicas that the Tracker's reports exclude.
type excludedReplicas map[int]bool

func (h excludedReplicas) apply(t interface{ Fatalf(string, ...any) }, f *Tracker, now int64) {
	for _, w := range f.Decide(now, nil) {
		switch {
		case w.DownUntil == math.MaxInt64 && !h[w.Replica]:
			h[w.Replica] = true
		case w.DownUntil == now && h[w.Replica]:
			delete(h, w.Replica)
		default:
			t.Fatalf("at %d ms: %+v, where excluded is %v", now/ms, w, h[w.Replica])
		}
	}
}

// count returns the number of excluded replicas whose index modulo modulus is the remainder.
func (h excludedReplicas) count(remainder, modulus int) (n int) {
	for i := range h {
		if i%modulus == remainder {
			n++
		}
	}
	return n
}

func TestFound(t *testing.T) {
	type end struct {
		replica int
		result  balance.Result
		took    int64
	}
	for name, c := range map[string]struct {
		ends []end
		out  bool
	}{
		"three time-outs":                           {[]end{{0, balance.TimedOut, 110}, {2, balance.TimedOut, 110}, {4, balance.TimedOut, 110}}, true},
		"three refused connections, at once":        {[]end{{0, balance.ConnectFailed, 1}, {2, balance.ConnectFailed, 1}, {4, balance.ConnectFailed, 1}}, true},
		"three resets":                              {[]end{{0, balance.Reset, 1}, {2, balance.Reset, 1}, {4, balance.Reset, 1}}, true},
		"parts that waited for their connection":    {[]end{{0, balance.Unsent, 110}, {2, balance.Unsent, 110}, {4, balance.Unsent, 110}}, true},
		"parts that were taken back late":           {[]end{{0, balance.Cancelled, 110}, {2, balance.Cancelled, 110}, {4, balance.Cancelled, 110}}, true},
		"parts that were cancelled soon":            {[]end{{0, balance.Cancelled, 20}, {2, balance.Cancelled, 20}, {4, balance.Cancelled, 20}}, false},
		"two only":                                  {[]end{{0, balance.TimedOut, 110}, {2, balance.TimedOut, 110}}, false},
		"one replica again and again":               {[]end{{0, balance.TimedOut, 110}, {0, balance.TimedOut, 110}, {0, balance.TimedOut, 110}}, false},
		"one in each zone":                          {[]end{{0, balance.TimedOut, 110}, {1, balance.TimedOut, 110}, {3, balance.TimedOut, 110}}, false},
		"one answered between":                      {[]end{{0, balance.TimedOut, 110}, {2, balance.TimedOut, 110}, {6, balance.Fulfilled, 5}, {4, balance.TimedOut, 110}}, false},
		"one turned away as full between":           {[]end{{0, balance.TimedOut, 110}, {2, balance.TimedOut, 110}, {6, balance.Full, 5}, {4, balance.TimedOut, 110}}, false},
		"an error says that it is there":            {[]end{{0, balance.TimedOut, 110}, {2, balance.TimedOut, 110}, {6, balance.Errored, 5}, {4, balance.TimedOut, 110}}, false},
		"an answer of the other zone tells nothing": {[]end{{0, balance.TimedOut, 110}, {2, balance.TimedOut, 110}, {1, balance.Fulfilled, 5}, {4, balance.TimedOut, 110}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
			now := 1000 * ms
			for _, e := range c.ends {
				f.ExecutionEnded(now, e.replica, e.result, e.took*ms)
				h.apply(t, f, now)
				now += ms
			}
			if out := fmt.Sprint(f.UnreachableZones(nil)); (out == "[a]") != c.out || h.count(0, 2) != map[bool]int{true: 6}[c.out] || h.count(1, 2) != 0 {
				t.Errorf("unreachable: %s, excluded: %v", out, h)
			}
		})
	}
}

// Executions that were sent before the zone last answered show faults of single replicas, not of the zone.
func TestOldSends(t *testing.T) {
	f := newTestTracker(12, "a", "b")
	f.ExecutionEnded(1000*ms, 6, balance.Fulfilled, 5*ms)
	for _, i := range []int{0, 2, 4} {
		f.ExecutionEnded(1050*ms, i, balance.TimedOut, 110*ms)
	}
	if len(f.UnreachableZones(nil)) > 0 {
		t.Error("found unreachable by executions that were sent before it answered")
	}
}

// If all zones fail alike, the fault is this aggregator's own and no replica is excluded.
func TestOwnTrouble(t *testing.T) {
	f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
	for i := range 6 {
		f.ExecutionEnded(1000*ms, i, balance.TimedOut, 110*ms)
	}
	h.apply(t, f, 1000*ms)
	if len(f.UnreachableZones(nil)) != 2 || len(h) > 0 {
		t.Errorf("unreachable: %v, excluded: %v", f.UnreachableZones(nil), h)
	}
	f.ExecutionEnded(1010*ms, 7, balance.Fulfilled, 5*ms) // the second zone answers again, so only the first is worse
	if h.apply(t, f, 1010*ms); h.count(0, 2) != 6 || h.count(1, 2) != 0 {
		t.Errorf("excluded: %v", h)
	}
}

// If there is only one zone, or none is named, no replica is ever excluded.
func TestOneZone(t *testing.T) {
	for _, name := range []string{"a", ""} {
		f, h := newTestTracker(12, name), excludedReplicas{}
		for i := range 12 {
			f.ExecutionEnded(1000*ms, i, balance.TimedOut, 110*ms)
			h.apply(t, f, 1000*ms)
		}
		if len(h) > 0 {
			t.Errorf("zone %q: excluded: %v", name, h)
		}
	}
}

func failZone(f *Tracker, now int64) {
	for _, i := range []int{0, 2, 4} {
		f.ExecutionEnded(now, i, balance.TimedOut, 110*ms)
	}
}

// If nothing is sent to the replicas admitted for a trial, the replicas are drawn again for the next one.
func TestTryGoesOn(t *testing.T) {
	f, h := newTestTracker(100, "a", "b"), excludedReplicas{}
	failZone(f, 1000*ms)
	h.apply(t, f, 1000*ms)
	admitted := map[int]bool{}
	for range 30 {
		h.apply(t, f, f.Next())
		for i := 0; i < 100; i += 2 {
			admitted[i] = admitted[i] || !h[i]
		}
	}
	if len(admitted) != 50 {
		t.Errorf("after 30 draws %d of 50 replicas had been admitted", len(admitted))
	}
}

// A zone is tried with some of its replicas until one execution is sent there. If that one succeeds, all replicas are
// admitted again; otherwise the next trial comes later.
func TestTries(t *testing.T) {
	for _, replicas := range []int{8, 16, 100} {
		t.Run(strconv.Itoa(replicas), func(t *testing.T) { checkTrials(t, replicas) })
	}
}

func checkTrials(t *testing.T, replicas int) {
	f, h := newTestTracker(replicas, "a", "b"), excludedReplicas{}
	now := 1000 * ms
	failZone(f, now)
	h.apply(t, f, now)
	var waits []int64
	for range 6 {
		due := f.Next()
		if due <= now || due == math.MaxInt64 {
			t.Fatalf("the next trial is due at %d ms, at %d ms", due/ms, now/ms)
		}
		waits = append(waits, (due-now)/ms)
		if h.apply(t, f, due-1); h.count(0, 2) != replicas/2 {
			t.Fatalf("before the trial %d replicas are excluded", h.count(0, 2))
		}
		h.apply(t, f, due)
		open := replicas/2 - h.count(0, 2)
		if open != max(2, replicas/8) {
			t.Fatalf("for a trial %d of %d replicas are admitted", open, replicas/2)
		}
		now = due + 100*ms
		for i := 0; i < replicas; i += 2 {
			if !h[i] {
				f.ExecutionSent(now, i)
				f.ExecutionSent(now, i) // a second part of the same round
				f.ExecutionEnded(now+110*ms, i, balance.TimedOut, 110*ms)
				break
			}
		}
		if h.apply(t, f, now); h.count(0, 2) != replicas/2 {
			t.Fatalf("after the trial was sent %d replicas are excluded", h.count(0, 2))
		}
	}
	for i, w := range waits {
		if least := min(int64(250)<<i, 500) / 2; w < least || w > 3*least {
			t.Errorf("waits of %v ms: number %d is not between %d and %d", waits, i, least, 3*least)
		}
	}
	if f.Stats.Trials.Load() != 6 || f.Stats.FoundUnreachable.Load() != 1 {
		t.Errorf("%d trials, found unreachable %d times", f.Stats.Trials.Load(), f.Stats.FoundUnreachable.Load())
	}
	f.ExecutionEnded(now+ms, 0, balance.Fulfilled, ms)
	if h.apply(t, f, now+ms); len(h) > 0 || len(f.UnreachableZones(nil)) > 0 || f.Stats.Recovered.Load() != 1 {
		t.Errorf("after an answer %v is unreachable and %v excluded", f.UnreachableZones(nil), h)
	}
	if f.Next() != math.MaxInt64 {
		t.Errorf("something is due at %d", f.Next())
	}
}

// A replica that is listed after its zone became unreachable is admitted until it fails as well.
func TestAnew(t *testing.T) {
	f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
	now := 1000 * ms
	failZone(f, now)
	h.apply(t, f, now)
	f.ReplicaGone(6)
	h.apply(t, f, now)
	f.ReplicaListed(6, "a", true)
	f.ReplicaListed(20, "a", false)
	if h.apply(t, f, now); h[6] || h[20] || h.count(0, 2) != 5 {
		t.Fatalf("excluded: %v", h)
	}
	f.ExecutionEnded(now+200*ms, 6, balance.TimedOut, 110*ms)
	if h.apply(t, f, now+200*ms); !h[6] || h[20] {
		t.Errorf("excluded: %v", h)
	}
	f.ExecutionEnded(now+210*ms, 20, balance.Fulfilled, 10*ms)
	if h.apply(t, f, now+210*ms); len(h) > 0 {
		t.Errorf("excluded: %v", h)
	}
}

// When a replica's index is used again, the new replica starts without failures and is not excluded, in the Tracker and in
// the balance module.
func TestUsedAgain(t *testing.T) {
	f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
	failZone(f, 1000*ms)
	h.apply(t, f, 1000*ms)
	f.ReplicaGone(2)
	f.ReplicaListed(2, "b", false)
	delete(h, 2) // the balance module starts a new record for the index
	if h.apply(t, f, 1000*ms); h[2] || h.count(0, 2) != 5 {
		t.Errorf("excluded: %v", h)
	}
}

func TestEnd(t *testing.T) {
	f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
	failZone(f, 1000*ms)
	h.apply(t, f, 1000*ms)
	if w := f.MergeZoneState(balance.SharedReport{Replica: 0, Slowdown: 3}); w.DownUntil != math.MaxInt64 || w.Slowdown != 3 {
		t.Errorf("the shared report on an unreachable replica became %+v", w)
	}
	if w := f.MergeZoneState(balance.SharedReport{Replica: 1}); w.DownUntil != 0 {
		t.Errorf("the shared report on a reachable replica became %+v", w)
	}
	for _, w := range f.ReleaseAll(1100*ms, nil) {
		if w.DownUntil != 1100*ms || !h[w.Replica] {
			t.Errorf("%+v", w)
		}
		delete(h, w.Replica)
	}
	if len(h) > 0 {
		t.Errorf("still excluded: %v", h)
	}
}

func TestTerms(t *testing.T) {
	for _, config := range []Config{{BaseEjection: 0, MinFailedReplicas: 3}, {BaseEjection: ms, MinFailedReplicas: 1}} {
		if config.Validate() == nil {
			t.Errorf("%+v was accepted", config)
		}
	}
	if err := (Config{BaseEjection: ms, MinFailedReplicas: 2}).Validate(); err != nil {
		t.Error(err)
	}
}

// If the last reachable zone leaves the list while another is unreachable, no zone is left to take over. The
// unreachable replicas must be admitted again at once, not only at the next trial.
func TestLastSoundZoneLeaves(t *testing.T) {
	now := 1000 * ms
	for name, leave := range map[string]func(f *Tracker, i int){
		"no longer listed":      func(f *Tracker, i int) { f.ReplicaGone(i) },
		"listed without a zone": func(f *Tracker, i int) { f.ReplicaListed(i, "", true) },
	} {
		t.Run(name, func(t *testing.T) {
			f, h := newTestTracker(6, "a", "b"), excludedReplicas{}
			for _, i := range []int{0, 2, 4} {
				f.ExecutionEnded(now, i, balance.ConnectFailed, ms)
			}
			if h.apply(t, f, now); h.count(0, 2) != 3 {
				t.Fatalf("excluded: %v", h)
			}
			for _, i := range []int{1, 3, 5} {
				leave(f, i)
			}
			if h.apply(t, f, now); len(h) != 0 {
				t.Errorf("excluded while no zone is reachable: %v", h)
			}
		})
	}
}

// Checks, for any order of calls: each report changes the state that the balance module holds; only replicas of
// unreachable zones are excluded; some zone with replicas never is; and after an answer no replica of that zone is
// excluded.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"", "a", "b", "c"}
		f, h := New(Config{BaseEjection: 250 * ms, MinFailedReplicas: rapid.IntRange(2, 4).Draw(t, "few"), Seed: rapid.Uint64().Draw(t, "seed")}), excludedReplicas{}
		zone, listed := map[int]string{}, map[int]bool{}
		now := 1000 * ms
		t.Repeat(map[string]func(*rapid.T){
			"listed": func(t *rapid.T) {
				i, z := rapid.IntRange(0, 11).Draw(t, "replica"), rapid.SampledFrom(names).Draw(t, "zone")
				known := rapid.Bool().Draw(t, "known")
				if !known {
					delete(h, i)
				}
				f.ReplicaListed(i, z, known)
				zone[i], listed[i] = z, true
			},
			"gone": func(t *rapid.T) {
				i := rapid.IntRange(0, 14).Draw(t, "replica")
				f.ReplicaGone(i)
				delete(listed, i)
			},
			"sent": func(t *rapid.T) { f.ExecutionSent(now, rapid.IntRange(0, 14).Draw(t, "replica")) },
			"ended": func(t *rapid.T) {
				i := rapid.IntRange(0, 14).Draw(t, "replica")
				r := rapid.SampledFrom([]balance.Result{balance.Fulfilled, balance.TimedOut, balance.TimedOut, balance.ConnectFailed,
					balance.Unsent, balance.Cancelled, balance.Full}).Draw(t, "result")
				f.ExecutionEnded(now, i, r, rapid.Int64Range(0, 200).Draw(t, "took")*ms)
				if r == balance.Fulfilled && listed[i] && zone[i] != "" {
					h.apply(t, f, now)
					for k := range h {
						if listed[k] && zone[k] == zone[i] {
							t.Fatalf("replica %d is excluded after an answer of %d, both in zone %s", k, i, zone[i])
						}
					}
				}
			},
			"later": func(t *rapid.T) { now += rapid.Int64Range(1, 2000).Draw(t, "ms") * ms },
			"": func(t *rapid.T) {
				h.apply(t, f, now)
				out := map[string]bool{}
				for _, z := range f.UnreachableZones(nil) {
					out[z] = true
				}
				reachable := false
				for i := range listed {
					reachable = reachable || zone[i] != "" && !out[zone[i]]
				}
				for i := range h {
					if !listed[i] || !out[zone[i]] || !reachable {
						t.Fatalf("replica %d of zone %q is excluded; unreachable: %v; a reachable zone: %v", i, zone[i], out, reachable)
					}
				}
				if f.Next() <= now {
					t.Fatalf("due at %d, at %d", f.Next(), now)
				}
			},
		})
	})
}

// The calls made for every execution allocate nothing.
func TestCost(t *testing.T) {
	f := newTestTracker(1000, "a", "b", "c")
	reports := make([]balance.SharedReport, 0, 1000)
	now := 1000 * ms
	if n := testing.AllocsPerRun(1000, func() {
		now += ms
		f.ExecutionSent(now, 7)
		f.ExecutionEnded(now, 7, balance.Fulfilled, 5*ms)
		f.ExecutionEnded(now, 8, balance.TimedOut, 110*ms)
		reports = f.Decide(now, reports[:0])
	}); n > 0 {
		t.Errorf("%v allocations an execution", n)
	}
}

func BenchmarkExecution(b *testing.B) {
	f := newTestTracker(1000, "a", "b", "c")
	now := 1000 * ms
	for b.Loop() {
		now += ms
		f.ExecutionSent(now, 7)
		f.ExecutionEnded(now, 7, balance.Fulfilled, 5*ms)
		f.Decide(now, nil)
	}
}

func BenchmarkFound(b *testing.B) {
	for _, n := range []int{200, 1000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newTestTracker(n, "a", "b", "c")
			reports := make([]balance.SharedReport, 0, n)
			now := 1000 * ms
			for b.Loop() {
				now += 1000 * ms
				for _, i := range []int{0, 3, 6} {
					f.ExecutionEnded(now, i, balance.ConnectFailed, ms)
				}
				reports = f.Decide(now, reports[:0])
				f.ExecutionEnded(now+ms, 9, balance.Fulfilled, ms)
				reports = f.Decide(now+ms, reports[:0])
			}
		})
	}
}

// Zones that come and go leave no entries behind.
func TestManyNames(t *testing.T) {
	f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
	for i := range 1000 {
		f.ReplicaGone(3)
		f.ReplicaListed(3, fmt.Sprint("z", i), true)
		h.apply(t, f, 1000*ms)
	}
	if len(f.zones) > 3 {
		t.Errorf("%d zones are kept", len(f.zones))
	}
	failZone(f, 2000*ms)
	if h.apply(t, f, 2000*ms); h.count(0, 2) != 6 || len(h) != 6 {
		t.Errorf("excluded: %v", h)
	}
}
