package follower

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
)

func said(age int64, hops int) clusterstate.Freshness {
	return clusterstate.Freshness{Known: true, Age: age, Revision: 7, Hops: hops}
}

// TestLeavesWhoIsCutOff: a feeder whose word grows old is left, a relay's later than a control server's; one that is
// fresh is not, and neither is the only one.
func TestLeavesWhoIsCutOff(t *testing.T) {
	for _, hops := range []int{0, 2} {
		var f, only Follower
		f.Connected(0, 3)
		only.Connected(0, 0)
		leftAt := int64(0)
		for now := int64(0); now < 10_000*ms && leftAt == 0; now += 300 * ms {
			age := max(now-4_000*ms, 0) // cut off after four seconds
			f.HandleFreshness(now, said(age, hops))
			only.HandleFreshness(now, said(age, hops))
			if f.ShouldLeave(now) {
				leftAt = now
			}
			must.False(t, only.ShouldLeave(now))
		}
		limit := int64(maxAgeDirect)
		if hops > 0 {
			limit = maxAgeRelayed
		}
		must.Between(t, 4_000*ms+limit, leftAt, 4_300*ms+limit)
	}
}

// TestNeverVouchedFor: a control server that has not been in contact in this life is left after a moment, which one
// that is just starting needs.
func TestNeverVouchedFor(t *testing.T) {
	var f Follower
	f.Connected(0, 1)
	f.HandleFreshness(100*ms, clusterstate.Freshness{Revision: 3})
	must.False(t, f.ShouldLeave(900*ms))
	must.True(t, f.ShouldLeave(1000*ms))
}

// TestNobodyIsFresh: once all feeders have been tried in vain, each is stayed with for longer; a fresh one ends that.
func TestNobodyIsFresh(t *testing.T) {
	var f Follower
	now := int64(0)
	for range 4 {
		f.Connected(now, 3)
		must.False(t, f.ShouldLeave(now+999*ms))
		now += 1000 * ms
		must.True(t, f.ShouldLeave(now))
	}
	f.Connected(now, 3)
	must.False(t, f.ShouldLeave(now+3999*ms))
	must.True(t, f.ShouldLeave(now+4000*ms))
	f.Connected(now, 3)
	f.HandleFreshness(now, said(0, 0))
	f.Connected(now, 3)
	must.True(t, f.ShouldLeave(now+1000*ms))
}

// TestFewShortVisits: of feeders that say themselves that they are cut off the first are left soon; where they all do, the rest are
// stayed with as others are, so that a moment without any majority does not have each edge fetch every feeder's snapshot.
func TestFewShortVisits(t *testing.T) {
	const alternatives = 8
	var f Follower
	var stays []int64
	for range alternatives + 2 {
		f.Connected(0, alternatives)
		f.HandleFreshness(0, said(5000*ms, 0))
		now := int64(0)
		for ; !f.ShouldLeave(now); now += 10 * ms {
			f.HandleFreshness(now, said(5000*ms+now, 0))
		}
		stays = append(stays, now)
	}
	short, least := int64(shortStay), int64(normalStay)
	must.Eq(t, []int64{short, short, short, short, short, least, least, least, least, longStay}, stays)
}

// TestAgeGrows: what is passed on has grown by the time that it lay here, and by a hop.
func TestAgeGrows(t *testing.T) {
	var f Follower
	f.Connected(0, 3)
	f.HandleFreshness(100, said(50, 1))
	must.Eq(t, said(250, 2), f.Freshness(300))
	f.Disconnected()
	must.False(t, f.Freshness(400).Known)
}

// TestReadyOnlyWithCurrent: a new edge that holds an old configuration waits for a fresh feeder; it is ready without
// one after a while, when it must assume that there is none.
func TestReadyOnlyWithCurrent(t *testing.T) {
	var r Readiness
	must.False(t, r.Ready(0))
	r.Configured(1000*ms, 7)
	r.HandleFreshness(1000*ms, clusterstate.Freshness{Revision: 7})
	must.False(t, r.Ready(1500*ms))
	r.HandleFreshness(1600*ms, said(9_000*ms, 1)) // the feeder is itself cut off
	must.False(t, r.Ready(1700*ms))
	must.True(t, r.Ready(4000*ms))
	r = Readiness{}
	r.Configured(1000*ms, 7)
	r.HandleFreshness(1200*ms, said(300*ms, 1))
	must.True(t, r.Ready(1200*ms))
	must.True(t, r.Ready(100_000*ms)) // all control servers may be gone since: what is known then changes nowhere
}

// TestBehindIsNotReady: an edge that knows of a newer revision than it serves says so once that lasts.
func TestBehindIsNotReady(t *testing.T) {
	var r Readiness
	r.Configured(0, 6)
	r.HandleFreshness(100*ms, clusterstate.Freshness{Known: true, Revision: 7})
	must.False(t, r.Ready(500*ms)) // it was never current
	r.Configured(600*ms, 7)
	r.HandleFreshness(600*ms, said(0, 1))
	must.True(t, r.Ready(600*ms))
	r.HandleFreshness(700*ms, clusterstate.Freshness{Known: true, Revision: 9})
	must.True(t, r.Ready(1600*ms))
	must.False(t, r.Ready(1700*ms))
	r.Configured(1800*ms, 9)
	r.HandleFreshness(1800*ms, clusterstate.Freshness{Known: true, Revision: 9})
	must.True(t, r.Ready(1800*ms))
}

// TestFreshFeederWithinContact guards against an edge that is behind while it is in touch: the controllers are cut into two parts,
// and a relay and three controllers that the edge would follow are in the smaller one. By the time at which it counts as in touch
// again, contact-ms after the cut (5 s on the smallest sites), it follows a feeder that is fresh.
func TestFreshFeederWithinContact(t *testing.T) {
	const contact, dial, between, alternatives, smallerPart = 5000 * ms, 100 * ms, 300 * ms, 8, 3
	f := Follower{}
	f.Connected(-10_000*ms, alternatives)
	f.HandleFreshness(0, said(300*ms, 1)) // its age was 300 ms as the cut began
	now := int64(0)
	untilLeft := func(hops int) {
		for !f.ShouldLeave(now) {
			now += 10 * ms
			if now%between == 0 {
				f.HandleFreshness(now, said(now+300*ms, hops))
			}
		}
	}
	untilLeft(1)
	for range smallerPart {
		now += dial
		f.Connected(now, alternatives)
		f.HandleFreshness(now, said(now+300*ms, 0))
		untilLeft(0)
	}
	must.Less(t, contact, now+dial)
}
