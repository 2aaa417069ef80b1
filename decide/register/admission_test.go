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
		disks := newDisks(members)
		disks["d"] = &Acceptor{CaughtUp: caughtUp}
		p := NewProposer("a/1", members, func() float64 { return 0.5 })
		now := int64(0)
		_, out := p.Edit(now, swap("c", "d"))
		_, queued := p.Edit(now, put(7, "seven"))
		must.SliceEmpty(t, queued.To)
		done := drive(t, now, p, out, disks, everyone)
		for range 8 {
			now += resendInterval
			done = append(done, drive(t, now, p, p.Tick(now), disks, everyone)...)
		}
		must.SliceLen(t, 2, done)
		committed := done[1].Value
		must.Eq(t, 7, committed.Revision)
		must.Eq(t, caughtUp, slices.Contains(committed.Members, "d"))
		must.Eq(t, !caughtUp, slices.Contains(committed.Members, "c"))
		must.SliceEmpty(t, committed.Prior)
	}
}

// TestOppositeChangesOfMembersEnd: two edits that change the members back and forth are each applied once. Each followed the
// other without end, and none of the proposer's edits was ever reported.
func TestOppositeChangesOfMembersEnd(t *testing.T) {
	members := Value{Members: []string{"a", "c", "d"}}
	disks := newDisks(members)
	disks["b"] = &Acceptor{CaughtUp: true}
	p := NewProposer("a/1", members, func() float64 { return 0.5 })
	_, out := p.Edit(0, put(7, "seven"))
	p.Edit(0, swap("a", "b"))
	p.Edit(0, swap("b", "a"))
	done := drive(t, 0, p, out, disks, everyone)
	must.SliceLen(t, 3, done)
	committed := done[2].Value
	must.Eq(t, 7, committed.Revision)
	must.Eq(t, 2, committed.Epoch)
	must.Eq(t, members.Members, committed.Members)
	must.SliceEmpty(t, committed.Prior)
	must.False(t, p.Busy())
}
