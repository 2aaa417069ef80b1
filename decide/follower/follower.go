// Package follower decides for an edge, which gets its updates from an upstream, how old its state may be, when it leaves the
// upstream for another, and whether it is ready. It reads no clock.
//
// An upstream says with each message how long ago it was known to hold everything acknowledged: its freshness. Relays add
// the time since they received it, so that over any number of hops the age counts from a controller in contact with a
// majority.
//
// Decides: when an edge leaves its upstream, and whether it may accept new clients.
package follower

import (
	"willowsill/decide/clusterstate"
)

// maxShortStays is the highest number of upstreams left in a row at which shortStay still applies to the next one, so the
// first five may be left that soon. That is enough for a minority of the controllers that is cut off. Where all upstreams are
// cut off because there is no majority for a moment, the edge then stays longer, since each change of the upstream costs a
// snapshot.
const maxShortStays = 4

// Times in ns.
const (
	ms                    = 1_000_000
	maxAgeDirect          = 2000 * ms // a controller whose freshness is older than this counts as cut off
	maxAgeRelayed         = 3000 * ms // a relay whose freshness is older than this counts as cut off; the relay has left its own upstream by then, so that the edges below it need not move
	normalStay            = 1000 * ms // minimum time with an upstream that is not fresh
	shortStay             = 250 * ms  // minimum time with an upstream that itself says that it is cut off
	longStay              = 4000 * ms // minimum time with an upstream once all have been tried: none is fresh, and each change costs a snapshot
	readyUnconfirmedAfter = 3000 * ms // time from the first configuration after which a new edge is ready though it found no fresh upstream
	maxBehind             = 1000 * ms // time after which an edge that knows of a newer revision, and has not received it, counts as behind
)

// Follower decides for one edge when to leave its upstream. It is not safe for concurrent use.
type Follower struct {
	connectedAt  int64
	alternatives int                    // number of other upstreams
	leftInARow   int                    // upstreams left in a row because none was fresh
	received     clusterstate.Freshness // last freshness from the upstream
	receivedAt   int64
}

// Connected records that the edge has a new upstream, and how many others there are.
func (f *Follower) Connected(now int64, alternatives int) {
	f.connectedAt, f.alternatives = now, alternatives
	f.received = clusterstate.Freshness{}
}

// HandleFreshness records the freshness that the upstream sent.
func (f *Follower) HandleFreshness(now int64, freshness clusterstate.Freshness) {
	f.received, f.receivedAt = freshness, now
	if f.fresh(now) {
		f.leftInARow = 0
	}
}

// Disconnected records that the edge has no upstream any more.
func (f *Follower) Disconnected() { f.received = clusterstate.Freshness{} }

// ShouldLeave reports whether the edge must leave its upstream because that is not fresh. If so, it counts the upstream as left.
//
// Danger: an upstream that is cut off from the majority goes on sending messages, and an edge that stays with it keeps an
// old configuration.
func (f *Follower) ShouldLeave(now int64) bool {
	stay := int64(normalStay)
	switch {
	case f.leftInARow > f.alternatives:
		stay = longStay
	case f.received.Known && f.leftInARow <= maxShortStays:
		stay = shortStay
	}
	if f.alternatives == 0 || f.fresh(now) || now-f.connectedAt < stay {
		return false
	}
	f.leftInARow++
	return true
}

// fresh reports whether the upstream's state is recent enough; the limit is higher for relays.
func (f *Follower) fresh(now int64) bool {
	limit := int64(maxAgeDirect)
	if f.received.Hops > 0 {
		limit = maxAgeRelayed
	}
	return f.received.Known && f.received.Age+now-f.receivedAt < limit
}

// Freshness returns the freshness of this edge's state, for itself and for the edges downstream.
func (f *Follower) Freshness(now int64) clusterstate.Freshness {
	known := f.received
	if known.Known {
		known.Age += now - f.receivedAt
		known.Hops++
	}
	return known
}
