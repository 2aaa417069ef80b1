package sharedhealth

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"willowsill/balance"
)

const (
	testRound     = 500 * ms
	testEjection  = 1000 * ms
	testNow       = int64(100e9)
	testStoreTime = int64(1.7e18)
)

func newTestGossip() *gossip { return newGossip(testRound, testEjection, rand.New(rand.NewPCG(1, 2))) }

// healthySurvey returns a survey of healthy replicas in cells of the given size.
func healthySurvey(replicas, cell int) (s Survey) {
	for i := range replicas {
		s.Findings = append(s.Findings, balance.Finding{Replica: i, Cell: i / cell, LastSuccess: testNow - 5e9})
		s.Keys = append(s.Keys, ReplicaKey("s", int64(i)))
	}
	return s
}

func (g *gossip) receive(name string, r Record) {
	r.Incarnation, r.WrittenAt = max(r.Incarnation, 1), testStoreTime-100*ms
	g.mergeRecord(testNow, testStoreTime, name, r)
}

func accusingRecord(keys ...uint64) (r Record) {
	r.Replicas, r.FailingReplicas = 60, len(keys)
	for _, k := range keys {
		r.Findings = append(r.Findings, Finding{Key: k, Verdict: FoundEjected, Age: 200 * ms})
	}
	return r
}

func excludedBy(reports []balance.SharedReport) (all []int) {
	for _, w := range reports {
		if w.Weight > 0 {
			all = append(all, w.Replica)
		}
	}
	return all
}

func TestTwoWitnesses(t *testing.T) {
	h, s := newTestGossip(), healthySurvey(20, 5)
	h.receive("b", accusingRecord(s.Keys[3]))
	if w := h.evaluate(testNow, s, 10); len(w) != 0 {
		t.Errorf("with findings of one peer: %+v", w)
	}
	h.receive("c", accusingRecord(s.Keys[3]))
	w := h.evaluate(testNow, s, 10)
	if got := excludedBy(w); !slices.Equal(got, []int{3}) || !w[0].Suspect || w[0].Expires <= testNow {
		t.Errorf("with findings of two peers: %+v", w)
	}
}

// Danger: a peer that is itself cut off finds most replicas failing. Its findings of failures must not count.
func TestCutOffWitness(t *testing.T) {
	h, s := newTestGossip(), healthySurvey(20, 5)
	for _, name := range []string{"b", "c", "d"} {
		r := accusingRecord(s.Keys[:9]...)
		r.Replicas = 20
		h.receive(name, r)
	}
	if w := h.evaluate(testNow, s, 10); len(w) != 0 {
		t.Errorf("findings of peers that accuse nine of twenty replicas were used: %+v", w)
	}
}

// Danger: a record left by an earlier process or an older state of the store must not be used again.
func TestFenced(t *testing.T) {
	h := newTestGossip()
	accept := func(incarnation, sequence uint64, at int64) bool {
		return h.mergeRecord(testNow, testStoreTime, "b", Record{Incarnation: incarnation, Sequence: sequence, WrittenAt: at})
	}
	for i, c := range []struct {
		incarnation, sequence uint64
		at                    int64
		want                  bool
	}{{5, 9, testStoreTime, true}, {5, 8, testStoreTime, false}, {4, 99, testStoreTime, false}, {5, 9, testStoreTime, true}, {5, 10, testStoreTime, true},
		{6, 1, testStoreTime, true}, {5, 11, testStoreTime, false}, {6, 2, testStoreTime - recordMaxAgeRounds*testRound - 1, false},
		{6, 2, testStoreTime + testRound + 1, false}} {
		if got := accept(c.incarnation, c.sequence, c.at); got != c.want {
			t.Errorf("%d: %+v was accepted: %v", i, c, got)
		}
	}
}

// A peer's record counts for a few rounds only.
func TestForgotten(t *testing.T) {
	h, s := newTestGossip(), healthySurvey(20, 5)
	h.receive("b", accusingRecord(s.Keys[3]))
	h.receive("c", accusingRecord(s.Keys[3]))
	if w := h.evaluate(testNow+(recordMaxAgeRounds+1)*testRound, s, 10); len(w) != 0 || len(h.peers) != 0 {
		t.Errorf("long after: %+v, %d records kept", w, len(h.peers))
	}
}

func TestWellAndSplit(t *testing.T) {
	h, s := newTestGossip(), healthySurvey(20, 5)
	s.Findings[3].Ejected, s.Findings[3].TrialAt = true, testNow+4e9
	for _, name := range []string{"b", "c"} {
		h.receive(name, accusingRecord(s.Keys[3]))
	}
	w := h.evaluate(testNow, s, 100)
	if len(w) != 1 || w[0].TrialAt <= testNow+4e9 || w[0].TrialAt > testNow+4e9+maxDelayEjections*testEjection {
		t.Fatalf("with a hundred aggregators: %+v", w)
	}
	s.Findings[3].TrialAt = w[0].TrialAt
	if w := h.evaluate(testNow, s, 100); len(w) != 1 || w[0].TrialAt != 0 {
		t.Errorf("the trial of the same ejection is delayed again: %+v", w)
	}
	for _, name := range []string{"d", "e", "f"} {
		h.receive(name, Record{Replicas: 20, Findings: []Finding{{Key: s.Keys[3], Verdict: FoundHealthy}}})
	}
	if w := h.evaluate(testNow, s, 100); len(w) != 1 || w[0].TrialAt < testNow || w[0].TrialAt > testNow+testEjection/2 {
		t.Errorf("found healthy by more peers: %+v", w)
	}
}

// Danger: where every replica fails now and then, one failure each at two aggregators does not show a fault yet.
func TestSingleFailures(t *testing.T) {
	h, s := newTestGossip(), healthySurvey(20, 5)
	for _, name := range []string{"b", "c"} {
		r := accusingRecord(s.Keys[3])
		r.Findings[0].Verdict = FoundFailing
		h.receive(name, r)
	}
	if w := h.evaluate(testNow, s, 10); len(excludedBy(w)) != 0 || !w[0].Suspect {
		t.Errorf("at once: %+v", w)
	}
	if w := h.evaluate(testNow+testRound, s, 10); len(excludedBy(w)) != 1 {
		t.Errorf("a round later, and no peer finds it healthy: %+v", w)
	}
	for _, name := range []string{"d", "e", "f"} {
		h.receive(name, Record{Replicas: 20, Findings: []Finding{{Key: s.Keys[3], Verdict: FoundHealthy}}})
	}
	if w := h.evaluate(testNow+testRound, s, 10); len(w) != 0 {
		t.Errorf("more peers find it healthy: %+v", w)
	}
}

// Checks, for any findings of peers: shared reports exclude at most a third of a cell's replicas and never a cell's
// only one; none excludes a replica on the findings of one peer, or where as many peers find it healthy as accuse it,
// except for a while after more peers accused it; a shared report holds for a few rounds, and no trial is delayed by more than
// maxDelayEjections.
func TestHearsayBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTestGossip()
		cell := rapid.IntRange(1, 6).Draw(t, "holders")
		s := healthySurvey(cell*rapid.IntRange(1, 4).Draw(t, "cells"), cell)
		now, clock := testNow, testStoreTime
		justifiedAt := map[int]int64{} // by replica: when the findings last justified its exclusion
		for turn := range rapid.IntRange(1, 8).Draw(t, "turns") {
			for i := range s.Findings {
				f := &s.Findings[i]
				f.Ejected = rapid.IntRange(0, 5).Draw(t, "own") == 0
				if f.Ejected {
					f.LastFailure, f.TrialAt = now, now+rapid.Int64Range(0, 8).Draw(t, "rest")*testEjection
				}
			}
			accusers, healthy := map[int]int{}, map[int]int{}
			accusationAges, healthyAges := map[int][]int64{}, map[int][]int64{}
			for n := range rapid.IntRange(0, 6).Draw(t, "witnesses") {
				r := Record{Incarnation: 1, Sequence: uint64(turn), WrittenAt: clock, Replicas: len(s.Findings)}
				for i := range s.Findings {
					if v := Verdict(rapid.IntRange(0, 5).Draw(t, "verdict")); v > 0 && v < verdictEnd {
						r.Findings = append(r.Findings, Finding{Key: s.Keys[i], Verdict: v, Slowdown: 3})
						if v == FoundEjected || v == FoundFailing {
							r.FailingReplicas++
						}
					}
				}
				h.mergeRecord(now, clock, fmt.Sprint("w", n), r)
			}
			for _, w := range h.peers { // records of earlier turns may still count
				if h.recordAge(now, w) > recordMaxAgeRounds*testRound {
					continue
				}
				for _, finding := range w.Findings {
					i := slices.Index(s.Keys, finding.Key)
					if finding.Verdict == FoundHealthy {
						healthyAges[i] = append(healthyAges[i], h.recordAge(now, w))
					} else if w.credible() {
						accusers[i]++
						accusationAges[i] = append(accusationAges[i], h.recordAge(now, w))
					}
				}
			}
			// A finding in favor counts only if it is newer than the median of those against the replica.
			for i, all := range healthyAges {
				slices.Sort(accusationAges[i])
				for _, age := range all {
					if n := len(accusationAges[i]); n == 0 || age < accusationAges[i][n/2] {
						healthy[i]++
					}
				}
			}
			excluded := map[int]int{}
			for _, w := range h.evaluate(now, s, 100) {
				if w.Replica < 0 || w.Replica >= len(s.Findings) || w.Slowdown > maxReportedSlowdown || w.Expires > now+reportValidRounds*testRound {
					t.Fatalf("shared report out of bounds: %+v", w)
				}
				if f := s.Findings[w.Replica]; w.TrialAt > 0 && (!f.Ejected || w.TrialAt > f.TrialAt+maxDelayEjections*testEjection) {
					t.Fatalf("a trial of %+v is delayed to %d ms from now", f, (w.TrialAt-now)/ms)
				}
				if w.Weight > 0 {
					excluded[s.Findings[w.Replica].Cell]++
					if accusers[w.Replica] >= minReporters && accusers[w.Replica] > healthy[w.Replica] {
						justifiedAt[w.Replica] = now
					}
					if at, is := justifiedAt[w.Replica]; !is || now-at > releaseSpreadNs+maxRelapses*relapseExtensionNs {
						t.Fatalf("excluded with %d findings against it and %d in favor", accusers[w.Replica], healthy[w.Replica])
					}
				}
			}
			for _, n := range excluded {
				if n > max(cell/3, 1) || cell == 1 {
					t.Fatalf("of %d replicas of a cell %d are excluded by shared reports", cell, n)
				}
			}
			now, clock = now+testRound, clock+testRound
		}
	})
}

func TestTrust(t *testing.T) {
	c := rand.New(rand.NewPCG(4, 4))
	monitor := storeMonitor{interval: testRound, timeout: 150 * ms, rng: c, lastGood: testNow - 2*unreachableAfterRounds*testRound}
	now, states := testNow, ""
	addState := func() { states += monitor.state.String() + " " }
	good := func(duration int64, contradicted bool) {
		now += testRound
		monitor.roundSucceeded(now, duration, contradicted)
		addState()
	}
	bad := func() { now += testRound; monitor.roundFailed(now); addState() }
	for range 3 {
		good(2*ms, false)
	}
	good(100*ms, false)
	good(2*ms, false)
	for range 13 {
		bad()
	}
	for range 3 {
		good(2*ms, false)
	}
	good(2*ms, true)
	good(2*ms, false)
	now += distrustNs
	for range 3 {
		good(2*ms, false)
	}
	want := "back back fresh slow fresh " +
		"slow slow slow slow stale stale stale stale stale stale stale stale lost " +
		"back back fresh distrusted distrusted back back fresh "
	if states != want {
		t.Errorf("got  %s\nwant %s", states, want)
	}
}

// Danger: aggregators that lose the store at the same time would all try it again at the same time.
func TestSpread(t *testing.T) {
	var waits []int64
	for i := range 200 {
		monitor := storeMonitor{interval: testRound, timeout: 150 * ms, rng: rand.New(rand.NewPCG(uint64(i), 4)), lastGood: testNow}
		for range 6 {
			monitor.roundFailed(testNow)
		}
		waits = append(waits, monitor.nextRound-testNow)
	}
	slices.Sort(waits)
	if spread := waits[190] - waits[10]; spread < 20*testRound || waits[199] > maxBackoffNs+testRound {
		t.Errorf("waits from %d to %d ms", waits[0]/ms, waits[199]/ms)
	}
}
