package register

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// TestNewcomerMustAnswerItsRound: a machine becomes a member only in a round for which it has given a promise. A machine
// that has lost its disk since it was proposed does not become a member, and the round's other edits are committed.
func TestNewcomerMustAnswerItsRound(t *testing.T) {
	for _, caughtUp := range []bool{true, false} {
		members := Value{Members: []string{"a", "b", "c"}}
		disks := map[string]*Acceptor{"d": {CaughtUp: caughtUp}}
		for _, name := range members.Members {
			disks[name] = &Acceptor{State{Value: members}, true}
		}
		p := NewProposer("a/1", members, func() float64 { return 0.5 })
		now := int64(0)
		var done []EditResult
		carry := func(out Out) {
			for len(out.To) > 0 {
				var next Out
				for _, to := range out.To {
					answer, _, ok := disks[to].Step(out.Send)
					if !ok {
						continue
					}
					o := p.Step(now, to, answer)
					done = append(done, o.Done...)
					if len(o.To) > 0 {
						next = o
					}
				}
				out = next
			}
		}
		_, out := p.Edit(now, swap("c", "d"))
		_, queued := p.Edit(now, put(7, "seven"))
		must.SliceEmpty(t, queued.To)
		carry(out)
		for range 8 {
			now += resendInterval
			carry(p.Tick(now))
		}
		must.SliceLen(t, 2, done)
		committed := done[1].Value
		must.Eq(t, 7, committed.Revision)
		must.Eq(t, caughtUp, slices.Contains(committed.Members, "d"))
		must.Eq(t, !caughtUp, slices.Contains(committed.Members, "c"))
		must.SliceEmpty(t, committed.Prior)
	}
}
