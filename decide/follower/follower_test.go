package follower

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
)

// freshness returns what an upstream with a confirmed state sends.
func freshness(age int64, hops int) clusterstate.Freshness {
	return clusterstate.Freshness{Known: true, Age: age, Revision: 7, Hops: hops}
}

// TestLeavesWhoIsCutOff: an edge leaves an upstream that is no longer fresh, a relay later than a controller. It does not
// leave one that is fresh, nor its only one.
func TestLeavesWhoIsCutOff(t *testing.T) {
	for _, hops := range []int{0, 2} {
		var f, only Follower
		f.Connected(0, 3)
		only.Connected(0, 0)
		leftAt := int64(0)
		for now := int64(0); now < 10_000*ms && leftAt == 0; now += 300 * ms {
			age := max(now-4_000*ms, 0) // cut off after four seconds
			f.HandleFreshness(now, freshness(age, hops))
			only.HandleFreshness(now, freshness(age, hops))
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

// TestNeverVouchedFor: a controller that has had no contact with a majority since it started is left after normalStay, which
// gives a controller time to start.
func TestNeverVouchedFor(t *testing.T) {
	var f Follower
	f.Connected(0, 1)
	f.HandleFreshness(100*ms, clusterstate.Freshness{Revision: 3})
	must.False(t, f.ShouldLeave(900*ms))
	must.True(t, f.ShouldLeave(1000*ms))
}

// TestNobodyIsFresh: once no upstream was found fresh, the edge stays longer with each, until it finds a fresh one.
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
	f.HandleFreshness(now, freshness(0, 0))
	f.Connected(now, 3)
	must.True(t, f.ShouldLeave(now+1000*ms))
}

// TestFewShortVisits: the first upstreams that say that they are cut off are left soon, the next ones after the normal time.
// So in a moment without any majority, the edges do not all fetch a snapshot from every upstream.
func TestFewShortVisits(t *testing.T) {
	const alternatives = 8
	var f Follower
	var stays []int64
	for range alternatives + 2 {
		f.Connected(0, alternatives)
		f.HandleFreshness(0, freshness(5000*ms, 0))
		now := int64(0)
		for ; !f.ShouldLeave(now); now += 10 * ms {
			f.HandleFreshness(now, freshness(5000*ms+now, 0))
		}
		stays = append(stays, now)
	}
	short, least := int64(shortStay), int64(normalStay)
	must.Eq(t, []int64{short, short, short, short, short, least, least, least, least, longStay}, stays)
}

// TestAgeGrows: the freshness that an edge passes on is older by the time since it was received, and has one hop more.
func TestAgeGrows(t *testing.T) {
	var f Follower
	f.Connected(0, 3)
	f.HandleFreshness(100, freshness(50, 1))
	must.Eq(t, freshness(250, 2), f.Freshness(300))
	f.Disconnected()
	must.False(t, f.Freshness(400).Known)
}

// TestReadyOnlyWithCurrent: a new edge waits for a fresh upstream before it is ready, and is ready without one after
// readyUnconfirmedAfter.
func TestReadyOnlyWithCurrent(t *testing.T) {
	var r Readiness
	must.False(t, r.Ready(0))
	r.Configured(1000*ms, 7)
	r.HandleFreshness(1000*ms, clusterstate.Freshness{Revision: 7})
	must.False(t, r.Ready(1500*ms))
	r.HandleFreshness(1600*ms, freshness(9_000*ms, 1)) // the upstream is cut off itself
	must.False(t, r.Ready(1700*ms))
	must.True(t, r.Ready(4000*ms))
	r = Readiness{}
	r.Configured(1000*ms, 7)
	r.HandleFreshness(1200*ms, freshness(300*ms, 1))
	must.True(t, r.Ready(1200*ms))
	must.True(t, r.Ready(100_000*ms)) // all controllers may be unreachable since then, and then no configuration changes
}

// TestBehindIsNotReady: an edge that has known of a newer revision than its own for maxBehind is not ready.
func TestBehindIsNotReady(t *testing.T) {
	var r Readiness
	r.Configured(0, 6)
	r.HandleFreshness(100*ms, clusterstate.Freshness{Known: true, Revision: 7})
	must.False(t, r.Ready(500*ms)) // the edge was never known to be current
	r.Configured(600*ms, 7)
	r.HandleFreshness(600*ms, freshness(0, 1))
	must.True(t, r.Ready(600*ms))
	r.HandleFreshness(700*ms, clusterstate.Freshness{Known: true, Revision: 9})
	must.True(t, r.Ready(1600*ms))
	must.False(t, r.Ready(1700*ms))
	r.Configured(1800*ms, 9)
	r.HandleFreshness(1800*ms, clusterstate.Freshness{Known: true, Revision: 9})
	must.True(t, r.Ready(1800*ms))
}

// TestFreshFeederWithinContact guards against an edge that counts as in contact but has an old configuration. A partition
// separates the relay that the edge uses, and the three controllers that it tries next, from the majority. The edge must have
// a fresh upstream by the time at which it counts as in contact again, contact-ms after the cut (5 s on the smallest sites).
func TestFreshFeederWithinContact(t *testing.T) {
	const contact, dial, between, alternatives, smallerPart = 5000 * ms, 100 * ms, 300 * ms, 8, 3
	f := Follower{}
	f.Connected(-10_000*ms, alternatives)
	f.HandleFreshness(0, freshness(300*ms, 1)) // the state is 300 ms old when the partition begins
	now := int64(0)
	untilLeft := func(hops int) {
		for !f.ShouldLeave(now) {
			now += 10 * ms
			if now%between == 0 {
				f.HandleFreshness(now, freshness(now+300*ms, hops))
			}
		}
	}
	untilLeft(1)
	for range smallerPart {
		now += dial
		f.Connected(now, alternatives)
		f.HandleFreshness(now, freshness(now+300*ms, 0))
		untilLeft(0)
	}
	must.Less(t, contact, now+dial)
}
