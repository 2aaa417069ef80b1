package sharedhealth

import (
	"errors"
	"testing"

	"willowsill/balance"
)

// FuzzCommons drives an Exchange with any order of calls and any answers of the store. It must not panic, must have one
// request pending at a time, and its shared reports and leases must stay within bounds.
func FuzzCommons(f *testing.F) {
	f.Add([]byte{0, 1, 2, 9, 0, 1, 2, 200, 3, 0, 1, 4, 7}, []byte("x"))
	f.Add([]byte{1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2, 5, 5, 1, 2}, Record{Incarnation: 4, Sequence: 1, WrittenAt: testStoreTime}.Append(nil))
	f.Fuzz(func(t *testing.T, steps, text []byte) {
		c := New(testNow, Config{Name: "a", Incarnation: 50, Seed: 3, RoundInterval: testRound, RoundTimeout: 150 * ms, SampleSize: 24, Aggregators: 4,
			BaseEjection: testEjection, HealthEnabled: true, Quotas: []Quota{{"q", 10, 20}}})
		p := NewQuotaBudget(testNow, c.Quotas, 4)
		now, own, s := testNow, []byte(nil), healthySurvey(10, 5)
		var asked *Request
		apply := func(a RoundResult) {
			for _, w := range a.Reports {
				if w.Replica < 0 || w.Replica >= 10 || w.Slowdown > maxReportedSlowdown || w.Expires > now+reportValidRounds*testRound {
					t.Fatalf("shared report out of bounds: %+v", w)
				}
			}
			for _, l := range a.Leases {
				if l.Tokens <= 0 || l.Tokens > 10*60+20 || l.Until <= now {
					t.Fatalf("lease out of bounds: %+v at %d", l, now)
				}
			}
			p.Apply(now, a.Leases, a.LocalRates)
		}
		for i, step := range steps {
			now += int64(step) * 10 * ms
			switch step % 8 {
			case 0:
				s.Findings[i%10] = balance.Finding{Replica: i % 10, Cell: i % 10 / 5, Ejected: step&16 > 0, LastFailure: now * int64(step&1),
					LastSuccess: now, Slowdown: float64(step), Samples: 2, TrialAt: now + testEjection}
				s.Demand, s.TokensLeft = []float64{float64(step)}, []float64{0}
				c.RecordSurvey(now, s)
			case 1, 2:
				r := c.Decide(now)
				if r != nil && asked != nil {
					t.Fatal("two requests pending at a time")
				}
				if r != nil {
					asked = r
				}
			case 3, 4, 5:
				if asked == nil {
					break
				}
				reply := Reply{StoreTime: testStoreTime + now - testNow, OwnPresence: own, LiveMembers: int(step), UnusableParts: int(step & 1),
					Entries: []Entry{{"b", text}, {"c", text}, {string(text), asked.Presence}}, Counts: [][]int64{{int64(step), -1}}}
				for range asked.TokenRequests {
					reply.Totals = append(reply.Totals, int64(step)*unitsPerToken)
				}
				if step&32 > 0 {
					reply.OwnPresence = text
				}
				if step&64 > 0 {
					reply.StoreTime -= int64(step) << 30
				}
				own, asked = asked.Presence, nil
				apply(c.HandleReply(now, reply))
			case 6:
				if asked != nil {
					asked = nil
					apply(c.HandleFailure(now, errors.New("gone")))
				}
			case 7:
				p.Spend(now, 0)
			}
			if c.Members(now) < 4 || len(c.gossip.peers) > maxPeerRecords {
				t.Fatalf("%d members, %d records", c.Members(now), len(c.gossip.peers))
			}
		}
	})
}
