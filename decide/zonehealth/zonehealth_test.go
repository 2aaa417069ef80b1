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

// excludedReplicas plays a module that hears the words.
type excludedReplicas map[int]bool

func (h excludedReplicas) apply(t interface{ Fatalf(string, ...any) }, f *Tracker, now int64) {
	for _, w := range f.Decide(now, nil) {
		switch {
		case w.DownUntil == math.MaxInt64 && !h[w.Replica]:
			h[w.Replica] = true
		case w.DownUntil == now && h[w.Replica]:
			delete(h, w.Replica)
		default:
			t.Fatalf("at %d ms: %+v, where barred is %v", now/ms, w, h[w.Replica])
		}
	}
}

// count counts those barred of the replicas whose number leaves this rest.
func (h excludedReplicas) count(rest, of int) (n int) {
	for i := range h {
		if i%of == rest {
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
				t.Errorf("out of reach: %s, barred: %v", out, h)
			}
		})
	}
}

// What was sent before the zone was last heard tells of single replicas, not of the zone.
func TestOldSends(t *testing.T) {
	f := newTestTracker(12, "a", "b")
	f.ExecutionEnded(1000*ms, 6, balance.Fulfilled, 5*ms)
	for _, i := range []int{0, 2, 4} {
		f.ExecutionEnded(1050*ms, i, balance.TimedOut, 110*ms)
	}
	if len(f.UnreachableZones(nil)) > 0 {
		t.Error("found out of reach by what was sent before it was heard")
	}
}

// Where all zones fail alike the trouble is this aggregator's own, and nothing is passed over.
func TestOwnTrouble(t *testing.T) {
	f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
	for i := range 6 {
		f.ExecutionEnded(1000*ms, i, balance.TimedOut, 110*ms)
	}
	h.apply(t, f, 1000*ms)
	if len(f.UnreachableZones(nil)) != 2 || len(h) > 0 {
		t.Errorf("out of reach: %v, barred: %v", f.UnreachableZones(nil), h)
	}
	f.ExecutionEnded(1010*ms, 7, balance.Fulfilled, 5*ms) // the second zone is back: now the first is worse than it
	if h.apply(t, f, 1010*ms); h.count(0, 2) != 6 || h.count(1, 2) != 0 {
		t.Errorf("barred: %v", h)
	}
}

// Where there is one zone, or none is named, nothing is ever passed over.
func TestOneZone(t *testing.T) {
	for _, name := range []string{"a", ""} {
		f, h := newTestTracker(12, name), excludedReplicas{}
		for i := range 12 {
			f.ExecutionEnded(1000*ms, i, balance.TimedOut, 110*ms)
			h.apply(t, f, 1000*ms)
		}
		if len(h) > 0 {
			t.Errorf("zone %q: barred: %v", name, h)
		}
	}
}

func failZone(f *Tracker, now int64) {
	for _, i := range []int{0, 2, 4} {
		f.ExecutionEnded(now, i, balance.TimedOut, 110*ms)
	}
}

// Where nothing is sent to those that were let in others are drawn.
func TestTryGoesOn(t *testing.T) {
	f, h := newTestTracker(100, "a", "b"), excludedReplicas{}
	failZone(f, 1000*ms)
	h.apply(t, f, 1000*ms)
	met := map[int]bool{}
	for range 30 {
		h.apply(t, f, f.Next())
		for i := 0; i < 100; i += 2 {
			met[i] = met[i] || !h[i]
		}
	}
	if len(met) != 50 {
		t.Errorf("after 30 draws %d of 50 had been let in", len(met))
	}
}

// A zone is tried by some of its replicas until one part goes there; that one brings all back, or the next try comes later.
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
			t.Fatalf("the next try is due at %d ms, at %d ms", due/ms, now/ms)
		}
		waits = append(waits, (due-now)/ms)
		if h.apply(t, f, due-1); h.count(0, 2) != replicas/2 {
			t.Fatalf("before the try %d are barred", h.count(0, 2))
		}
		h.apply(t, f, due)
		open := replicas/2 - h.count(0, 2)
		if open != max(2, replicas/8) {
			t.Fatalf("for a try %d of %d are let in", open, replicas/2)
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
			t.Fatalf("after the try's part was sent %d are barred", h.count(0, 2))
		}
	}
	for i, w := range waits {
		if least := min(int64(250)<<i, 500) / 2; w < least || w > 3*least {
			t.Errorf("waits of %v ms: number %d is not between %d and %d", waits, i, least, 3*least)
		}
	}
	if f.Figures.Trials.Load() != 6 || f.Figures.FoundUnreachable.Load() != 1 {
		t.Errorf("%d tries, found %d times", f.Figures.Trials.Load(), f.Figures.FoundUnreachable.Load())
	}
	f.ExecutionEnded(now+ms, 0, balance.Fulfilled, ms)
	if h.apply(t, f, now+ms); len(h) > 0 || len(f.UnreachableZones(nil)) > 0 || f.Figures.Recovered.Load() != 1 {
		t.Errorf("after an answer %v is out of reach and %v barred", f.UnreachableZones(nil), h)
	}
	if f.Next() != math.MaxInt64 {
		t.Errorf("something is due at %d", f.Next())
	}
}

// A replica that the list names anew is let in though its zone is out, until it fails as well.
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
		t.Fatalf("barred: %v", h)
	}
	f.ExecutionEnded(now+200*ms, 6, balance.TimedOut, 110*ms)
	if h.apply(t, f, now+200*ms); !h[6] || h[20] {
		t.Errorf("barred: %v", h)
	}
	f.ExecutionEnded(now+210*ms, 20, balance.Fulfilled, 10*ms)
	if h.apply(t, f, now+210*ms); len(h) > 0 {
		t.Errorf("barred: %v", h)
	}
}

// A replica under an index that was used again starts with nothing held against it, here and at the module.
func TestUsedAgain(t *testing.T) {
	f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
	failZone(f, 1000*ms)
	h.apply(t, f, 1000*ms)
	f.ReplicaGone(2)
	f.ReplicaListed(2, "b", false)
	delete(h, 2) // the module has begun a new record
	if h.apply(t, f, 1000*ms); h[2] || h.count(0, 2) != 5 {
		t.Errorf("barred: %v", h)
	}
}

func TestEnd(t *testing.T) {
	f, h := newTestTracker(12, "a", "b"), excludedReplicas{}
	failZone(f, 1000*ms)
	h.apply(t, f, 1000*ms)
	if w := f.MergeZoneState(balance.SharedReport{Replica: 0, Slowdown: 3}); w.DownUntil != math.MaxInt64 || w.Slowdown != 3 {
		t.Errorf("what others say of one out of reach came to %+v", w)
	}
	if w := f.MergeZoneState(balance.SharedReport{Replica: 1}); w.DownUntil != 0 {
		t.Errorf("what others say of one in reach came to %+v", w)
	}
	for _, w := range f.ReleaseAll(1100*ms, nil) {
		if w.DownUntil != 1100*ms || !h[w.Replica] {
			t.Errorf("%+v", w)
		}
		delete(h, w.Replica)
	}
	if len(h) > 0 {
		t.Errorf("still barred: %v", h)
	}
}

func TestTerms(t *testing.T) {
	for _, terms := range []Config{{BaseEjection: 0, MinFailedReplicas: 3}, {BaseEjection: ms, MinFailedReplicas: 1}} {
		if terms.Validate() == nil {
			t.Errorf("%+v passes", terms)
		}
	}
	if err := (Config{BaseEjection: ms, MinFailedReplicas: 2}).Validate(); err != nil {
		t.Error(err)
	}
}

// The last sound zone leaves the list while another is out of reach: nothing is left to take over, so the replicas
// out of reach are let in again at once, not only at the next try.
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
				t.Fatalf("barred: %v", h)
			}
			for _, i := range []int{1, 3, 5} {
				leave(f, i)
			}
			if h.apply(t, f, now); len(h) != 0 {
				t.Errorf("barred while no zone is sound: %v", h)
			}
		})
	}
}

// Whatever comes in whatever order: the words fit what the module was told before; only zones found out of reach are passed over;
// some zone with replicas is never; and after an answer nothing of its zone is.
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
							t.Fatalf("replica %d is barred after an answer of %d, both in zone %s", k, i, zone[i])
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
				sound := false
				for i := range listed {
					sound = sound || zone[i] != "" && !out[zone[i]]
				}
				for i := range h {
					if !listed[i] || !out[zone[i]] || !sound {
						t.Fatalf("replica %d of zone %q is barred; out of reach: %v; one sound: %v", i, zone[i], out, sound)
					}
				}
				if f.Next() <= now {
					t.Fatalf("due at %d, at %d", f.Next(), now)
				}
			},
		})
	})
}

// What comes with every execution costs no memory, and hardly any time.
func TestCost(t *testing.T) {
	f := newTestTracker(1000, "a", "b", "c")
	words := make([]balance.SharedReport, 0, 1000)
	now := 1000 * ms
	if n := testing.AllocsPerRun(1000, func() {
		now += ms
		f.ExecutionSent(now, 7)
		f.ExecutionEnded(now, 7, balance.Fulfilled, 5*ms)
		f.ExecutionEnded(now, 8, balance.TimedOut, 110*ms)
		words = f.Decide(now, words[:0])
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
			words := make([]balance.SharedReport, 0, n)
			now := 1000 * ms
			for b.Loop() {
				now += 1000 * ms
				for _, i := range []int{0, 3, 6} {
					f.ExecutionEnded(now, i, balance.ConnectFailed, ms)
				}
				words = f.Decide(now, words[:0])
				f.ExecutionEnded(now+ms, 9, balance.Fulfilled, ms)
				words = f.Decide(now+ms, words[:0])
			}
		})
	}
}

// Zones that come and go leave nothing behind.
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
		t.Errorf("barred: %v", h)
	}
}
