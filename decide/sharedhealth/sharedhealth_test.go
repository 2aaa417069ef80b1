package sharedhealth

import (
	"errors"
	"strings"
	"testing"

	"willowsill/balance"
)

// storeSession is an aggregator's part with a store that does as the test says.
type storeSession struct {
	*testing.T
	exchange    *Exchange
	now         int64
	ownPresence []byte // at its presence
	clockOffset int64  // of the store's clock
}

func newStoreSession(t *testing.T) *storeSession {
	return &storeSession{T: t, now: testNow, exchange: New(testNow, Config{Name: "a", Incarnation: 50, Seed: 3, RoundInterval: testRound,
		RoundTimeout: 150 * ms, SampleSize: 24, Aggregators: 4, BaseEjection: testRest, HealthEnabled: true})}
}

// round plays one round; change may change what the store answers.
func (x *storeSession) round(s Survey, change func(*Reply)) (RoundResult, *Request) {
	x.Helper()
	x.now = max(x.now, x.exchange.Next())
	x.exchange.RecordSurvey(x.now, s)
	asked := x.exchange.Decide(x.now)
	if asked == nil {
		x.Fatal("no round is due")
	}
	r := Reply{StoreTime: testStoreTime + x.now - testNow + x.clockOffset, OwnPresence: x.ownPresence, LiveMembers: 4}
	x.ownPresence = asked.Presence
	if change != nil {
		change(&r)
	}
	x.now += 2 * ms
	return x.exchange.HandleReply(x.now, r), asked
}

func (x *storeSession) reachFresh(s Survey) {
	for range recoveryRounds {
		x.round(s, nil)
	}
	if x.exchange.monitor.state != Fresh {
		x.Fatalf("the store is %v", x.exchange.monitor.state)
	}
	x.exchange.Events()
}

// Danger: each of these answers in time and says what no longer holds.
func TestContradictions(t *testing.T) {
	other := Record{Incarnation: 99, Sequence: 1, WrittenAt: testStoreTime}.Append(nil)
	for name, c := range map[string]struct {
		change func(*storeSession, *Reply)
		want   string
	}{
		"emptied": {func(x *storeSession, r *Reply) { r.OwnPresence = nil }, "has lost"},
		"older": {func(x *storeSession, r *Reply) {
			r.OwnPresence = Record{Incarnation: 50, Sequence: 1, WrittenAt: testStoreTime}.Append(nil)
		}, "older state"},
		"before this process": {func(x *storeSession, r *Reply) {
			r.OwnPresence = Record{Incarnation: 49, Sequence: 7, WrittenAt: testStoreTime}.Append(nil)
		}, "older state"},
		"a twin":       {func(x *storeSession, r *Reply) { r.OwnPresence = other }, "another process"},
		"garbled":      {func(x *storeSession, r *Reply) { r.OwnPresence = []byte("what") }, "did not write"},
		"clock back":   {func(x *storeSession, r *Reply) { r.StoreTime -= 2 * maxClockBackNs }, "clock leapt"},
		"clock onward": {func(x *storeSession, r *Reply) { r.StoreTime += 2 * maxClockAheadNs }, "clock leapt"},
	} {
		t.Run(name, func(t *testing.T) {
			x, s := newStoreSession(t), healthySurvey(20, 5)
			x.reachFresh(s)
			x.round(s, func(r *Reply) { c.change(x, r) })
			if x.exchange.monitor.state != Distrusted || x.exchange.monitor.usable() {
				t.Errorf("the store is %v", x.exchange.monitor.state)
			}
			if e := x.exchange.Events(); len(e) == 0 || !strings.Contains(e[0].Message, c.want) {
				t.Errorf("said %v, want %s", e, c.want)
			}
			if f := x.exchange.Stats(x.now); f.Contradictions != 1 {
				t.Errorf("%d contradictions", f.Contradictions)
			}
			a, _ := x.round(s, func(r *Reply) {
				for _, name := range []string{"b", "c"} {
					heard := accusingRecord(s.Keys[3])
					heard.Incarnation, heard.WrittenAt = 1, r.StoreTime
					r.Entries = append(r.Entries, Entry{name, heard.Append(nil)})
				}
			})
			if len(a.Reports) != 0 {
				t.Errorf("a distrusted store was heard: %+v", a.Reports)
			}
		})
	}
}

// A process whose clock went back at its start takes an incarnation above that of the one before.
func TestIncarnationAfterRestart(t *testing.T) {
	x := newStoreSession(t)
	x.ownPresence = Record{Incarnation: 70, Sequence: 900, WrittenAt: testStoreTime}.Append(nil)
	x.round(Survey{}, nil)
	_, asked := x.round(Survey{}, nil) // the store held what the first round wrote, below the one before: no trouble
	own, err := Decode(asked.Presence)
	if err != nil || own.Incarnation != 71 || x.exchange.Stats(x.now).Contradictions != 0 {
		t.Errorf("writes %+v, %v, %d contradictions", own, err, x.exchange.Stats(x.now).Contradictions)
	}
}

// What others hold at the store may be anything: each odd entry is refused by itself.
func TestOddEntries(t *testing.T) {
	x, s := newStoreSession(t), healthySurvey(20, 5)
	x.reachFresh(s)
	a, _ := x.round(s, func(r *Reply) {
		for _, name := range []string{"b", "c"} {
			heard := accusingRecord(s.Keys[3], 12345)
			heard.Incarnation, heard.WrittenAt = 1, r.StoreTime
			r.Entries = append(r.Entries, Entry{name, heard.Append(nil)})
		}
		r.Entries = append(r.Entries, Entry{"d", nil}, Entry{"e", make([]byte, 1<<20)}, Entry{"f", []byte("garbled")},
			Entry{strings.Repeat("n", maxNameBytes+1), accusingRecord(s.Keys[4]).Append(nil)}, Entry{"a", []byte("own")})
	})
	if got := passedOver(a.Reports); len(got) != 1 || got[0] != 3 || x.exchange.Stats(x.now).RecordsRefused != 4 {
		t.Errorf("passed over %v, %d refused", got, x.exchange.Stats(x.now).RecordsRefused)
	}
}

// Its own findings travel, the gravest first.
func TestTestimony(t *testing.T) {
	x, s := newStoreSession(t), healthySurvey(20, 5)
	s.Findings[1] = balance.Finding{Replica: 1, Ejected: true, LastFailure: testNow, TrialAt: testNow + testRest}
	s.Findings[6].Slowdown, s.Findings[6].Samples = 4, 2
	s.Findings[7].Slowdown, s.Findings[7].Samples = 3, 1 // one heavy part is no slow replica
	x.reachFresh(s)
	_, asked := x.round(s, nil)
	r, err := Decode(asked.Findings)
	if err != nil || len(r.Findings) != 2 || r.FailingReplicas != 1 || r.Replicas != 20 {
		t.Fatalf("told %+v, %v", r, err)
	}
	if a, b := r.Findings[0], r.Findings[1]; a.Key != s.Keys[1] || a.Verdict != FoundEjected || b.Key != s.Keys[6] ||
		b.Verdict != FoundSlow || b.Slowdown != 4 {
		t.Errorf("told %+v", r.Findings)
	}
	if _, asked := x.round(healthySurvey(20, 5), nil); asked.Findings != nil {
		t.Error("with nothing to tell something was told")
	}
}

// When unsure, there are more aggregators.
func TestMembers(t *testing.T) {
	x := newStoreSession(t)
	x.reachFresh(Survey{})
	for _, c := range []struct{ live, want int }{{4, 4}, {90, 90}, {3, 90}, {0, 90}} {
		x.round(Survey{}, func(r *Reply) { r.LiveMembers = c.live })
		if got := x.exchange.Members(x.now); got != c.want {
			t.Errorf("with %d seen, %d are reckoned with, want %d", c.live, got, c.want)
		}
	}
	x.now += 3 * membersWindowNs
	x.round(Survey{}, func(r *Reply) { r.LiveMembers = 2 })
	x.now += membersWindowNs
	x.round(Survey{}, func(r *Reply) { r.LiveMembers = 2 })
	if got := x.exchange.Members(x.now); got != 4 {
		t.Errorf("long after, %d are reckoned with, as the deployment states 4", got)
	}
}

// The store lost at any time: no words, and quotas go on by shares.
func TestLost(t *testing.T) {
	x, s := newStoreSession(t), healthySurvey(20, 5)
	x.reachFresh(s)
	for range 2 * unreachableAfterRounds {
		x.now = max(x.now, x.exchange.Next())
		x.exchange.RecordSurvey(x.now, s)
		if r := x.exchange.Decide(x.now); r != nil {
			x.now = r.Deadline
			if a := x.exchange.HandleFailure(x.now, errors.New("gone")); len(a.Reports) != 0 {
				t.Errorf("words %+v", a.Reports)
			}
		}
	}
	if f := x.exchange.Stats(x.now); f.State != Unreachable || f.FailedRounds < unreachableAfterRounds {
		t.Errorf("%v after %d rounds failed", f.State, f.FailedRounds)
	}
}
