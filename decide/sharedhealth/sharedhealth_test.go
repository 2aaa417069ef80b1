package sharedhealth

import (
	"errors"
	"strings"
	"testing"

	"willowsill/balance"
)

// storeSession runs one aggregator's Exchange against a store whose answers the test chooses.
type storeSession struct {
	*testing.T
	exchange    *Exchange
	now         int64
	ownPresence []byte // the store's value of the aggregator's presence key
	clockOffset int64  // how far the store's clock is ahead, ns
}

func newStoreSession(t *testing.T) *storeSession {
	return &storeSession{T: t, now: testNow, exchange: New(testNow, Config{Name: "a", Incarnation: 50, Seed: 3, RoundInterval: testRound,
		RoundTimeout: 150 * ms, SampleSize: 24, Aggregators: 4, BaseEjection: testEjection, HealthEnabled: true})}
}

// round plays one round. If change is not nil, it may alter the store's answer.
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

// Danger: each of these stores answers in time, but with data that no longer holds.
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
		"clock back":   {func(x *storeSession, r *Reply) { r.StoreTime -= 2 * maxClockBackNs }, "clock jumped"},
		"clock onward": {func(x *storeSession, r *Reply) { r.StoreTime += 2 * maxClockAheadNs }, "clock jumped"},
	} {
		t.Run(name, func(t *testing.T) {
			x, s := newStoreSession(t), healthySurvey(20, 5)
			x.reachFresh(s)
			x.round(s, func(r *Reply) { c.change(x, r) })
			if x.exchange.monitor.state != Distrusted || x.exchange.monitor.usable() {
				t.Errorf("the store is %v", x.exchange.monitor.state)
			}
			if e := x.exchange.Events(); len(e) == 0 || !strings.Contains(e[0].Message, c.want) {
				t.Errorf("events %v, want %s", e, c.want)
			}
			if f := x.exchange.Stats(x.now); f.Contradictions != 1 {
				t.Errorf("%d contradictions", f.Contradictions)
			}
			a, _ := x.round(s, func(r *Reply) {
				for _, name := range []string{"b", "c"} {
					record := accusingRecord(s.Keys[3])
					record.Incarnation, record.WrittenAt = 1, r.StoreTime
					r.Entries = append(r.Entries, Entry{name, record.Append(nil)})
				}
			})
			if len(a.Reports) != 0 {
				t.Errorf("findings from a distrusted store were used: %+v", a.Reports)
			}
		})
	}
}

// A process that starts after its clock was set back chooses an incarnation above that of the process before.
func TestIncarnationAfterRestart(t *testing.T) {
	x := newStoreSession(t)
	x.ownPresence = Record{Incarnation: 70, Sequence: 900, WrittenAt: testStoreTime}.Append(nil)
	x.round(Survey{}, nil)
	// The store holds what the first round wrote, under a lower incarnation than before: that is no contradiction.
	_, asked := x.round(Survey{}, nil)
	own, err := Decode(asked.Presence)
	if err != nil || own.Incarnation != 71 || x.exchange.Stats(x.now).Contradictions != 0 {
		t.Errorf("published %+v, %v, %d contradictions", own, err, x.exchange.Stats(x.now).Contradictions)
	}
}

// The store may hold anything under a peer's name. Each entry that cannot be decoded is rejected on its own.
func TestOddEntries(t *testing.T) {
	x, s := newStoreSession(t), healthySurvey(20, 5)
	x.reachFresh(s)
	a, _ := x.round(s, func(r *Reply) {
		for _, name := range []string{"b", "c"} {
			record := accusingRecord(s.Keys[3], 12345)
			record.Incarnation, record.WrittenAt = 1, r.StoreTime
			r.Entries = append(r.Entries, Entry{name, record.Append(nil)})
		}
		r.Entries = append(r.Entries, Entry{"d", nil}, Entry{"e", make([]byte, 1<<20)}, Entry{"f", []byte("garbled")},
			Entry{strings.Repeat("n", maxNameBytes+1), accusingRecord(s.Keys[4]).Append(nil)}, Entry{"a", []byte("own")})
	})
	if got := excludedBy(a.Reports); len(got) != 1 || got[0] != 3 || x.exchange.Stats(x.now).RecordsRefused != 4 {
		t.Errorf("excluded %v, %d records rejected", got, x.exchange.Stats(x.now).RecordsRefused)
	}
}

// An aggregator publishes its own findings, the most severe first.
func TestTestimony(t *testing.T) {
	x, s := newStoreSession(t), healthySurvey(20, 5)
	s.Findings[1] = balance.Finding{Replica: 1, Ejected: true, LastFailure: testNow, TrialAt: testNow + testEjection}
	s.Findings[6].Slowdown, s.Findings[6].Samples = 4, 2
	s.Findings[7].Slowdown, s.Findings[7].Samples = 3, 1 // a single expensive call does not make a replica slow
	x.reachFresh(s)
	_, asked := x.round(s, nil)
	r, err := Decode(asked.Findings)
	if err != nil || len(r.Findings) != 2 || r.FailingReplicas != 1 || r.Replicas != 20 {
		t.Fatalf("published %+v, %v", r, err)
	}
	if a, b := r.Findings[0], r.Findings[1]; a.Key != s.Keys[1] || a.Verdict != FoundEjected || b.Key != s.Keys[6] ||
		b.Verdict != FoundSlow || b.Slowdown != 4 {
		t.Errorf("published %+v", r.Findings)
	}
	if _, asked := x.round(healthySurvey(20, 5), nil); asked.Findings != nil {
		t.Error("findings were published although there were none")
	}
}

// The number of aggregators to plan with is the highest one seen recently, and at least the one that the deployment states.
func TestMembers(t *testing.T) {
	x := newStoreSession(t)
	x.reachFresh(Survey{})
	for _, c := range []struct{ live, want int }{{4, 4}, {90, 90}, {3, 90}, {0, 90}} {
		x.round(Survey{}, func(r *Reply) { r.LiveMembers = c.live })
		if got := x.exchange.Members(x.now); got != c.want {
			t.Errorf("with %d seen, %d are planned with, want %d", c.live, got, c.want)
		}
	}
	x.now += 3 * membersWindowNs
	x.round(Survey{}, func(r *Reply) { r.LiveMembers = 2 })
	x.now += membersWindowNs
	x.round(Survey{}, func(r *Reply) { r.LiveMembers = 2 })
	if got := x.exchange.Members(x.now); got != 4 {
		t.Errorf("long after, %d are planned with, although the deployment states 4", got)
	}
}

// While the store cannot be reached there are no shared reports, and its state becomes Unreachable.
func TestLost(t *testing.T) {
	x, s := newStoreSession(t), healthySurvey(20, 5)
	x.reachFresh(s)
	for range 2 * unreachableAfterRounds {
		x.now = max(x.now, x.exchange.Next())
		x.exchange.RecordSurvey(x.now, s)
		if r := x.exchange.Decide(x.now); r != nil {
			x.now = r.Deadline
			if a := x.exchange.HandleFailure(x.now, errors.New("gone")); len(a.Reports) != 0 {
				t.Errorf("shared reports %+v", a.Reports)
			}
		}
	}
	if f := x.exchange.Stats(x.now); f.State != Unreachable || f.FailedRounds < unreachableAfterRounds {
		t.Errorf("%v after %d rounds failed", f.State, f.FailedRounds)
	}
}
