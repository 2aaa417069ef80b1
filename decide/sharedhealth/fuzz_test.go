package sharedhealth

import (
	"errors"
	"testing"

	"willowsill/balance"
)

// FuzzCommons drives an aggregator's part with any order of facts and any answers of the store: it never panics, asks for one
// round at a time, and its words and tokens stay within bounds.
func FuzzCommons(f *testing.F) {
	f.Add([]byte{0, 1, 2, 9, 0, 1, 2, 200, 3, 0, 1, 4, 7}, []byte("x"))
	f.Add([]byte{1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2, 5, 5, 1, 2}, Record{Incarnation: 4, Sequence: 1, At: tClock}.Append(nil))
	f.Fuzz(func(t *testing.T, steps, text []byte) {
		c := New(tNow, Terms{Name: "a", Incarnation: 50, Seed: 3, Round: tRound, Deadline: 150 * ms, Sample: 24, Aggregators: 4,
			Rest: tRest, Health: true, Quotas: []Quota{{"q", 10, 20}}})
		p := NewPurse(tNow, c.Quotas, 4)
		now, own, s := tNow, []byte(nil), fleetSurvey(10, 5)
		var asked *Request
		take := func(a Allowance) {
			for _, w := range a.Words {
				if w.Replica < 0 || w.Replica >= 10 || w.Pace > paceHeard || w.Until > now+holdsFor*tRound {
					t.Fatalf("odd word %+v", w)
				}
			}
			for _, l := range a.Leases {
				if l.Tokens <= 0 || l.Tokens > 10*60+20 || l.Until <= now {
					t.Fatalf("odd lease %+v at %d", l, now)
				}
			}
			p.Receive(now, a.Leases, a.Locals)
		}
		for i, step := range steps {
			now += int64(step) * 10 * ms
			switch step % 8 {
			case 0:
				s.Findings[i%10] = balance.Finding{Replica: i % 10, Cell: i % 10 / 5, Aside: step&16 > 0, Failed: now * int64(step&1),
					Heard: now, Pace: float64(step), Met: 2, Trickle: now + tRest}
				s.Demand, s.Left = []float64{float64(step)}, []float64{0}
				c.Survey(now, s)
			case 1, 2:
				r := c.Decide(now)
				if r != nil && asked != nil {
					t.Fatal("two rounds at a time")
				}
				if r != nil {
					asked = r
				}
			case 3, 4, 5:
				if asked == nil {
					break
				}
				reply := Reply{Clock: tClock + now - tNow, Own: own, Live: int(step), Odd: int(step & 1),
					Entries: []Entry{{"b", text}, {"c", text}, {string(text), asked.Presence}}, Counts: [][]int64{{int64(step), -1}}}
				for range asked.Takes {
					reply.Totals = append(reply.Totals, int64(step)*unit)
				}
				if step&32 > 0 {
					reply.Own = text
				}
				if step&64 > 0 {
					reply.Clock -= int64(step) << 30
				}
				own, asked = asked.Presence, nil
				take(c.Answer(now, reply))
			case 6:
				if asked != nil {
					asked = nil
					take(c.Fail(now, errors.New("gone")))
				}
			case 7:
				p.Spend(now, 0)
			}
			if c.Members(now) < 4 || len(c.hearsay.others) > recordsMost {
				t.Fatalf("%d members, %d records", c.Members(now), len(c.hearsay.others))
			}
		}
	})
}
