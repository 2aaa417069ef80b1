package sharedhealth

import (
	"errors"
	"strings"
	"testing"

	"willowsill/balance"
)

// talk is an aggregator's part with a store that does as the test says.
type talk struct {
	*testing.T
	c   *Exchange
	now int64
	own []byte // at its presence
	lag int64  // of the store's clock
}

func newTalk(t *testing.T) *talk {
	return &talk{T: t, now: tNow, c: New(tNow, Terms{Name: "a", Incarnation: 50, Seed: 3, Round: tRound,
		Deadline: 150 * ms, Sample: 24, Aggregators: 4, Rest: tRest, Health: true})}
}

// round plays one round; change may change what the store answers.
func (x *talk) round(s Survey, change func(*Reply)) (Allowance, *Request) {
	x.Helper()
	x.now = max(x.now, x.c.Next())
	x.c.Survey(x.now, s)
	asked := x.c.Decide(x.now)
	if asked == nil {
		x.Fatal("no round is due")
	}
	r := Reply{Clock: tClock + x.now - tNow + x.lag, Own: x.own, Live: 4}
	x.own = asked.Presence
	if change != nil {
		change(&r)
	}
	x.now += 2 * ms
	return x.c.Answer(x.now, r), asked
}

func (x *talk) fresh(s Survey) {
	for range backRounds {
		x.round(s, nil)
	}
	if x.c.trust.state != Fresh {
		x.Fatalf("the store is %v", x.c.trust.state)
	}
	x.c.Events()
}

// Danger: each of these answers in time and says what no longer holds.
func TestContradictions(t *testing.T) {
	other := Record{Incarnation: 99, Sequence: 1, At: tClock}.Append(nil)
	for name, c := range map[string]struct {
		change func(*talk, *Reply)
		want   string
	}{
		"emptied": {func(x *talk, r *Reply) { r.Own = nil }, "has lost"},
		"older": {func(x *talk, r *Reply) {
			r.Own = Record{Incarnation: 50, Sequence: 1, At: tClock}.Append(nil)
		}, "older state"},
		"before this process": {func(x *talk, r *Reply) {
			r.Own = Record{Incarnation: 49, Sequence: 7, At: tClock}.Append(nil)
		}, "older state"},
		"a twin":       {func(x *talk, r *Reply) { r.Own = other }, "another process"},
		"garbled":      {func(x *talk, r *Reply) { r.Own = []byte("what") }, "did not write"},
		"clock back":   {func(x *talk, r *Reply) { r.Clock -= 2 * clockBack }, "clock leapt"},
		"clock onward": {func(x *talk, r *Reply) { r.Clock += 2 * clockAhead }, "clock leapt"},
	} {
		t.Run(name, func(t *testing.T) {
			x, s := newTalk(t), fleetSurvey(20, 5)
			x.fresh(s)
			x.round(s, func(r *Reply) { c.change(x, r) })
			if x.c.trust.state != Distrusted || x.c.trust.believed() {
				t.Errorf("the store is %v", x.c.trust.state)
			}
			if e := x.c.Events(); len(e) == 0 || !strings.Contains(e[0].Text, c.want) {
				t.Errorf("said %v, want %s", e, c.want)
			}
			if f := x.c.Figures(x.now); f.Contradictions != 1 {
				t.Errorf("%d contradictions", f.Contradictions)
			}
			a, _ := x.round(s, func(r *Reply) {
				for _, name := range []string{"b", "c"} {
					heard := accuses(s.Keys[3])
					heard.Incarnation, heard.At = 1, r.Clock
					r.Entries = append(r.Entries, Entry{name, heard.Append(nil)})
				}
			})
			if len(a.Words) != 0 {
				t.Errorf("a distrusted store was heard: %+v", a.Words)
			}
		})
	}
}

// A process whose clock went back at its start takes an incarnation above that of the one before.
func TestIncarnationAfterRestart(t *testing.T) {
	x := newTalk(t)
	x.own = Record{Incarnation: 70, Sequence: 900, At: tClock}.Append(nil)
	x.round(Survey{}, nil)
	_, asked := x.round(Survey{}, nil) // the store held what the first round wrote, below the one before: no trouble
	own, err := Decode(asked.Presence)
	if err != nil || own.Incarnation != 71 || x.c.Figures(x.now).Contradictions != 0 {
		t.Errorf("writes %+v, %v, %d contradictions", own, err, x.c.Figures(x.now).Contradictions)
	}
}

// What others hold at the store may be anything: each odd entry is refused by itself.
func TestOddEntries(t *testing.T) {
	x, s := newTalk(t), fleetSurvey(20, 5)
	x.fresh(s)
	a, _ := x.round(s, func(r *Reply) {
		for _, name := range []string{"b", "c"} {
			heard := accuses(s.Keys[3], 12345)
			heard.Incarnation, heard.At = 1, r.Clock
			r.Entries = append(r.Entries, Entry{name, heard.Append(nil)})
		}
		r.Entries = append(r.Entries, Entry{"d", nil}, Entry{"e", make([]byte, 1<<20)}, Entry{"f", []byte("garbled")},
			Entry{strings.Repeat("n", nameMost+1), accuses(s.Keys[4]).Append(nil)}, Entry{"a", []byte("own")})
	})
	if got := passed(a.Words); len(got) != 1 || got[0] != 3 || x.c.Figures(x.now).Refused != 4 {
		t.Errorf("passed over %v, %d refused", got, x.c.Figures(x.now).Refused)
	}
}

// Its own findings travel, the gravest first.
func TestTestimony(t *testing.T) {
	x, s := newTalk(t), fleetSurvey(20, 5)
	s.Findings[1] = balance.Finding{Replica: 1, Aside: true, Failed: tNow, Trickle: tNow + tRest}
	s.Findings[6].Pace, s.Findings[6].Met = 4, 2
	s.Findings[7].Pace, s.Findings[7].Met = 3, 1 // one heavy part is no slow replica
	x.fresh(s)
	_, asked := x.round(s, nil)
	r, err := Decode(asked.Findings)
	if err != nil || len(r.Testimonies) != 2 || r.Accused != 1 || r.Replicas != 20 {
		t.Fatalf("told %+v, %v", r, err)
	}
	if a, b := r.Testimonies[0], r.Testimonies[1]; a.Key != s.Keys[1] || a.Verdict != FoundAside || b.Key != s.Keys[6] ||
		b.Verdict != FoundSlow || b.Pace != 4 {
		t.Errorf("told %+v", r.Testimonies)
	}
	if _, asked := x.round(fleetSurvey(20, 5), nil); asked.Findings != nil {
		t.Error("with nothing to tell something was told")
	}
}

// When unsure, there are more aggregators.
func TestMembers(t *testing.T) {
	x := newTalk(t)
	x.fresh(Survey{})
	for _, c := range []struct{ live, want int }{{4, 4}, {90, 90}, {3, 90}, {0, 90}} {
		x.round(Survey{}, func(r *Reply) { r.Live = c.live })
		if got := x.c.Members(x.now); got != c.want {
			t.Errorf("with %d seen, %d are reckoned with, want %d", c.live, got, c.want)
		}
	}
	x.now += 3 * membersFor
	x.round(Survey{}, func(r *Reply) { r.Live = 2 })
	x.now += membersFor
	x.round(Survey{}, func(r *Reply) { r.Live = 2 })
	if got := x.c.Members(x.now); got != 4 {
		t.Errorf("long after, %d are reckoned with, as the deployment states 4", got)
	}
}

// The store lost at any time: no words, and quotas go on by shares.
func TestLost(t *testing.T) {
	x, s := newTalk(t), fleetSurvey(20, 5)
	x.fresh(s)
	for range 2 * lostRounds {
		x.now = max(x.now, x.c.Next())
		x.c.Survey(x.now, s)
		if r := x.c.Decide(x.now); r != nil {
			x.now = r.By
			if a := x.c.Fail(x.now, errors.New("gone")); len(a.Words) != 0 {
				t.Errorf("words %+v", a.Words)
			}
		}
	}
	if f := x.c.Figures(x.now); f.State != Lost || f.Failed < lostRounds {
		t.Errorf("%v after %d rounds failed", f.State, f.Failed)
	}
}
