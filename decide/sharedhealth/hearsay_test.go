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
	tRound = 500 * ms
	tRest  = 1000 * ms
	tNow   = int64(100e9)
	tClock = int64(1.7e18)
)

func hears() *hearsay { return newHearsay(tRound, tRest, rand.New(rand.NewPCG(1, 2))) }

// fleetSurvey is a survey of sound replicas in cells of so many.
func fleetSurvey(replicas, cell int) (s Survey) {
	for i := range replicas {
		s.Findings = append(s.Findings, balance.Finding{Replica: i, Cell: i / cell, Heard: tNow - 5e9})
		s.Keys = append(s.Keys, Key("s", int64(i)))
	}
	return s
}

func (h *hearsay) says(name string, r Record) {
	r.Incarnation, r.At = max(r.Incarnation, 1), tClock-100*ms
	h.record(tNow, tClock, name, r)
}

func accuses(keys ...uint64) (r Record) {
	r.Replicas, r.Accused = 60, len(keys)
	for _, k := range keys {
		r.Testimonies = append(r.Testimonies, Testimony{Key: k, Verdict: FoundAside, Old: 200 * ms})
	}
	return r
}

func passed(words []balance.Word) (all []int) {
	for _, w := range words {
		if w.Weight > 0 {
			all = append(all, w.Replica)
		}
	}
	return all
}

func TestTwoWitnesses(t *testing.T) {
	h, s := hears(), fleetSurvey(20, 5)
	h.says("b", accuses(s.Keys[3]))
	if w := h.weigh(tNow, s, 10); len(w) != 0 {
		t.Errorf("on one witness: %+v", w)
	}
	h.says("c", accuses(s.Keys[3]))
	w := h.weigh(tNow, s, 10)
	if got := passed(w); !slices.Equal(got, []int{3}) || !w[0].Suspect || w[0].Until <= tNow {
		t.Errorf("on two witnesses: %+v", w)
	}
}

// Danger: one that is itself cut off finds most failing; it is not heard on that.
func TestCutOffWitness(t *testing.T) {
	h, s := hears(), fleetSurvey(20, 5)
	for _, name := range []string{"b", "c", "d"} {
		r := accuses(s.Keys[:9]...)
		r.Replicas = 20
		h.says(name, r)
	}
	if w := h.weigh(tNow, s, 10); len(w) != 0 {
		t.Errorf("heard those who accuse nine of twenty: %+v", w)
	}
}

// Danger: what a restart or an older store left behind must not be heard again.
func TestFenced(t *testing.T) {
	h := hears()
	take := func(incarnation, sequence uint64, at int64) bool {
		return h.record(tNow, tClock, "b", Record{Incarnation: incarnation, Sequence: sequence, At: at})
	}
	for i, c := range []struct {
		incarnation, sequence uint64
		at                    int64
		want                  bool
	}{{5, 9, tClock, true}, {5, 8, tClock, false}, {4, 99, tClock, false}, {5, 9, tClock, true}, {5, 10, tClock, true},
		{6, 1, tClock, true}, {5, 11, tClock, false}, {6, 2, tClock - hearFor*tRound - 1, false},
		{6, 2, tClock + tRound + 1, false}} {
		if got := take(c.incarnation, c.sequence, c.at); got != c.want {
			t.Errorf("%d: %+v was taken: %v", i, c, got)
		}
	}
}

// A record counts for a few rounds, then its writer is silent on it.
func TestForgotten(t *testing.T) {
	h, s := hears(), fleetSurvey(20, 5)
	h.says("b", accuses(s.Keys[3]))
	h.says("c", accuses(s.Keys[3]))
	if w := h.weigh(tNow+(hearFor+1)*tRound, s, 10); len(w) != 0 || len(h.others) != 0 {
		t.Errorf("long after: %+v, %d records kept", w, len(h.others))
	}
}

func TestWellAndSplit(t *testing.T) {
	h, s := hears(), fleetSurvey(20, 5)
	s.Findings[3].Aside, s.Findings[3].Trickle = true, tNow+4e9
	for _, name := range []string{"b", "c"} {
		h.says(name, accuses(s.Keys[3]))
	}
	w := h.weigh(tNow, s, 100)
	if len(w) != 1 || w[0].Try <= tNow+4e9 || w[0].Try > tNow+4e9+splitMost*tRest {
		t.Fatalf("with a hundred aggregators: %+v", w)
	}
	s.Findings[3].Trickle = w[0].Try
	if w := h.weigh(tNow, s, 100); len(w) != 1 || w[0].Try != 0 {
		t.Errorf("the same rest is put off again: %+v", w)
	}
	for _, name := range []string{"d", "e", "f"} {
		h.says(name, Record{Replicas: 20, Testimonies: []Testimony{{Key: s.Keys[3], Verdict: FoundWell}}})
	}
	if w := h.weigh(tNow, s, 100); len(w) != 1 || w[0].Try < tNow || w[0].Try > tNow+tRest/2 {
		t.Errorf("seen well by more: %+v", w)
	}
}

// Danger: where every replica fails now and then, one failure each at two aggregators is no trouble yet.
func TestSingleFailures(t *testing.T) {
	h, s := hears(), fleetSurvey(20, 5)
	for _, name := range []string{"b", "c"} {
		r := accuses(s.Keys[3])
		r.Testimonies[0].Verdict = FoundFailing
		h.says(name, r)
	}
	if w := h.weigh(tNow, s, 10); len(passed(w)) != 0 || !w[0].Suspect {
		t.Errorf("at once: %+v", w)
	}
	if w := h.weigh(tNow+tRound, s, 10); len(passed(w)) != 1 {
		t.Errorf("a round later, and nobody finds it well: %+v", w)
	}
	for _, name := range []string{"d", "e", "f"} {
		h.says(name, Record{Replicas: 20, Testimonies: []Testimony{{Key: s.Keys[3], Verdict: FoundWell}}})
	}
	if w := h.weigh(tNow+tRound, s, 10); len(w) != 0 {
		t.Errorf("more find it well: %+v", w)
	}
}

// Whatever others say: hearsay has no more than a third of a cell passed over and never one that is alone, never on
// one witness or against as many who find it well, but for a while after; words hold for a few rounds, and no try is put off far.
func TestHearsayBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := hears()
		cell := rapid.IntRange(1, 6).Draw(t, "holders")
		s := fleetSurvey(cell*rapid.IntRange(1, 4).Draw(t, "cells"), cell)
		now, clock := tNow, tClock
		spoken := map[int]int64{} // when it was last rightly spoken against
		for turn := range rapid.IntRange(1, 8).Draw(t, "turns") {
			for i := range s.Findings {
				f := &s.Findings[i]
				f.Aside = rapid.IntRange(0, 5).Draw(t, "own") == 0
				if f.Aside {
					f.Failed, f.Trickle = now, now+rapid.Int64Range(0, 8).Draw(t, "rest")*tRest
				}
			}
			against, well := map[int]int{}, map[int]int{}
			ages, wells := map[int][]int64{}, map[int][]int64{}
			for n := range rapid.IntRange(0, 6).Draw(t, "witnesses") {
				r := Record{Incarnation: 1, Sequence: uint64(turn), At: clock, Replicas: len(s.Findings)}
				for i := range s.Findings {
					if v := Verdict(rapid.IntRange(0, 5).Draw(t, "verdict")); v > 0 && v < verdictEnd {
						r.Testimonies = append(r.Testimonies, Testimony{Key: s.Keys[i], Verdict: v, Pace: 3})
						if v == FoundAside || v == FoundFailing {
							r.Accused++
						}
					}
				}
				h.record(now, clock, fmt.Sprint("w", n), r)
			}
			for _, w := range h.others { // with those of earlier turns that still count
				if h.age(now, w) > hearFor*tRound {
					continue
				}
				for _, said := range w.Testimonies {
					i := slices.Index(s.Keys, said.Key)
					if said.Verdict == FoundWell {
						wells[i] = append(wells[i], h.age(now, w))
					} else if w.credible() {
						against[i]++
						ages[i] = append(ages[i], h.age(now, w))
					}
				}
			}
			for i, all := range wells { // who found it well before others found it failing says nothing against them
				slices.Sort(ages[i])
				for _, age := range all {
					if n := len(ages[i]); n == 0 || age < ages[i][n/2] {
						well[i]++
					}
				}
			}
			over := map[int]int{}
			for _, w := range h.weigh(now, s, 100) {
				if w.Replica < 0 || w.Replica >= len(s.Findings) || w.Pace > paceHeard || w.Until > now+holdsFor*tRound {
					t.Fatalf("odd word %+v", w)
				}
				if f := s.Findings[w.Replica]; w.Try > 0 && (!f.Aside || w.Try > f.Trickle+splitMost*tRest) {
					t.Fatalf("a try at %+v is put off to %d ms from now", f, (w.Try-now)/ms)
				}
				if w.Weight > 0 {
					over[s.Findings[w.Replica].Cell]++
					if against[w.Replica] >= witnesses && against[w.Replica] > well[w.Replica] {
						spoken[w.Replica] = now
					}
					if at, is := spoken[w.Replica]; !is || now-at > releaseOver+relapseMost*relapseHolds {
						t.Fatalf("passed over with %d against and %d for it", against[w.Replica], well[w.Replica])
					}
				}
			}
			for _, n := range over {
				if n > max(cell/3, 1) || cell == 1 {
					t.Fatalf("of %d holders %d are passed over by hearsay", cell, n)
				}
			}
			now, clock = now+tRound, clock+tRound
		}
	})
}

func TestTrust(t *testing.T) {
	c := rand.New(rand.NewPCG(4, 4))
	tr := trust{round: tRound, deadline: 150 * ms, chance: c, good: tNow - 2*lostRounds*tRound}
	now, told := tNow, ""
	note := func() { told += tr.state.String() + " " }
	good := func(took int64, odd bool) { now += tRound; tr.succeeded(now, took, odd); note() }
	bad := func() { now += tRound; tr.failed(now); note() }
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
	now += doubtSpan
	for range 3 {
		good(2*ms, false)
	}
	want := "back back fresh slow fresh " +
		"slow slow slow slow stale stale stale stale stale stale stale stale lost " +
		"back back fresh distrusted distrusted back back fresh "
	if told != want {
		t.Errorf("got  %s\nwant %s", told, want)
	}
}

// Danger: those who lost a store together must not come back together.
func TestSpread(t *testing.T) {
	var waits []int64
	for i := range 200 {
		tr := trust{round: tRound, deadline: 150 * ms, chance: rand.New(rand.NewPCG(uint64(i), 4)), good: tNow}
		for range 6 {
			tr.failed(tNow)
		}
		waits = append(waits, tr.next-tNow)
	}
	slices.Sort(waits)
	if spread := waits[190] - waits[10]; spread < 20*tRound || waits[199] > backoffMost+tRound {
		t.Errorf("from %d to %d ms", waits[0]/ms, waits[199]/ms)
	}
}
