package lease_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"willowsill/decide/lease"
	"willowsill/decide/register"
)

// known is the ballot that the tests commit first; newer is a higher one.
var (
	known = register.Ballot{Number: 4, Proposer: "a/1"}
	newer = register.Ballot{Number: 5, Proposer: "b/1"}
)

// five is a value with five members.
var five = register.Value{Members: []string{"a", "b", "c", "d", "e"}}

// TestCountsFromTheQuestion: contact counts from when the answered heartbeat was sent, however late the answer arrives.
func TestCountsFromTheQuestion(t *testing.T) {
	l := lease.New("a/1")
	l.RecordCommitted(known)
	first, second := l.NextHeartbeat(100), l.NextHeartbeat(200)
	l.HandleAnswer("b", second, known)
	must.Eq(t, lease.Never, l.ReachedSince(1000, "a", five))
	l.HandleAnswer("c", first, known)
	must.Eq(t, 100, l.ReachedSince(1000, "a", five))
	must.Eq(t, 100, l.CurrentSince(1000, "a", five))
	l.HandleAnswer("c", second, newer)
	must.Eq(t, 200, l.ReachedSince(1000, "a", five))
	must.Eq(t, 100, l.CurrentSince(1000, "a", five))
	l.HandleAnswer("c", first, known) // a late or repeated answer does not move the times back
	must.Eq(t, 200, l.ReachedSince(1000, "a", five))
}

// TestOwnDiskCounts: a controller whose own disk does not count needs a majority of the others. One whose own disk holds a
// ballot that may not be committed counts itself as current only until it accepted that ballot.
func TestOwnDiskCounts(t *testing.T) {
	l := lease.New("a/1")
	l.RecordCommitted(known)
	n := l.NextHeartbeat(100)
	l.HandleAnswer("b", n, known)
	l.HandleAnswer("c", n, known)
	must.Eq(t, 100, l.ReachedSince(500, "a", five))
	must.Eq(t, lease.Never, l.ReachedSince(500, "", five))
	l.RecordAccepted(50, newer)
	must.Eq(t, 50, l.CurrentSince(500, "a", five)) // when its own disk accepted newer
	l.HandleAnswer("d", n, known)
	must.Eq(t, 100, l.ReachedSince(500, "", five))
}

// TestOtherLife: an answer to a heartbeat of an earlier incarnation proves nothing.
func TestOtherLife(t *testing.T) {
	earlier, now := lease.New("a/1"), lease.New("a/2")
	n := earlier.NextHeartbeat(1)
	now.NextHeartbeat(100)
	now.HandleAnswer("b", n, known)
	now.HandleAnswer("c", 0, known)
	must.Eq(t, lease.Never, now.Reached("b"))
	must.Eq(t, lease.Never, now.Reached("c"))
}

// TestBothSetsOfMembers: while members change, a majority of the prior members is needed as well.
func TestBothSetsOfMembers(t *testing.T) {
	l := lease.New("a/1")
	v := register.Value{Members: []string{"a", "b", "f"}, Prior: []string{"a", "b", "c"}}
	l.HandleAnswer("f", l.NextHeartbeat(100), known)
	must.Eq(t, lease.Never, l.ReachedSince(500, "a", v))
	l.HandleAnswer("c", l.NextHeartbeat(200), known)
	must.Eq(t, 100, l.ReachedSince(500, "a", v))
}

// TestMajority: more than half of the members were in contact at the returned time or later, and no later time has that
// property.
func TestMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}[:rapid.IntRange(1, 9).Draw(t, "members")]
		l := lease.New("z/1")
		at := map[string]int64{}
		for now := int64(1); now < 20; now++ {
			n := l.NextHeartbeat(now)
			for _, name := range names {
				if rapid.IntRange(0, 3).Draw(t, "answers") == 0 {
					l.HandleAnswer(name, n, known)
					at[name] = now
				}
			}
		}
		since := l.ReachedSince(20, "", register.Value{Members: names})
		later := func(than int64) (count int) {
			for _, name := range names {
				if when, ok := at[name]; ok && when >= than {
					count++
				}
			}
			return count
		}
		if since == lease.Never {
			must.LessEq(t, len(names)/2, later(1))
			return
		}
		must.Greater(t, len(names)/2, later(since))
		must.LessEq(t, len(names)/2, later(since+1))
	})
}

// TestCommitSettles: an answer with a ballot that becomes committed later counts from when its heartbeat was sent. So a
// controller stays current during a stream of changes of which some are always uncommitted.
func TestCommitSettles(t *testing.T) {
	for lag := range uint64(3) {
		l := lease.New("a/1")
		for n := uint64(1); n < 100; n++ {
			now := int64(n) * 100
			ballot := register.Ballot{Number: n, Proposer: "b/1"}
			l.RecordAccepted(now, ballot)
			number := l.NextHeartbeat(now)
			l.HandleAnswer("b", number, ballot)
			l.HandleAnswer("c", number, ballot)
			must.True(t, l.OwnUncommitted())
			must.True(t, l.Uncommitted("b"))
			if n <= lag {
				continue
			}
			l.RecordCommitted(register.Ballot{Number: n - lag, Proposer: "b/1"})
			must.Eq(t, lag > 0, l.Uncommitted("b"))
			must.Eq(t, lag > 0, l.OwnUncommitted())
			must.Eq(t, now-int64(lag)*100, l.CurrentSince(now, "a", five))
		}
	}
}
