// Package follower is what an edge goes by when it follows the control servers: how old its knowledge may be, when it
// leaves the feeder that it follows for another, and whether it may call itself ready. It reads no clock.
//
// A feeder says with each message how long ago it was known to hold all that had been acknowledged (its freshness).
// Relays pass that on, grown by the time that it lay with them, so that its age counts from a control server in contact
// with a majority, over any number of hops.
//
// Decides: when an edge leaves its feeder, and whether it may take new clients.
package follower

import (
	"willowsill/decide/clusterstate"
)

// maxShortStays is how many feeders in a row are left after shortStay: a smaller part of the control servers that is cut off. A
// moment without any majority is waited out, for each visit costs a snapshot.
const maxShortStays = 4

// Times, ns.
const (
	ms                    = 1_000_000
	maxAgeDirect          = 2000 * ms // a control server's word that is older than this counts as that of one that is cut off
	maxAgeRelayed         = 3000 * ms // a relay's: the relay itself leaves its feeder first, and those below it need not move
	normalStay            = 1000 * ms // with a feeder that is not fresh, before the next one is tried
	shortStay             = 250 * ms  // the same with one that says itself that it is cut off
	longStay              = 4000 * ms // the same once all have been tried: none of them is fresh, and each visit costs a snapshot
	readyUnconfirmedAfter = 3000 * ms // from the first configuration on: a new edge that finds no fresh feeder for so long is ready
	maxBehind             = 1000 * ms // from the word of a newer revision until it has to be here
)

// Follower decides for one edge whom to leave. It is not safe for concurrent use.
type Follower struct {
	connectedAt  int64
	alternatives int // feeders besides this one
	leftInARow   int // feeders that were left one after the other because none was fresh
	received     clusterstate.Freshness
	receivedAt   int64
}

// Connected tells that a feeder is followed from now on, and how many others there are.
func (f *Follower) Connected(now int64, alternatives int) {
	f.connectedAt, f.alternatives = now, alternatives
	f.received = clusterstate.Freshness{}
}

// HandleFreshness takes what the feeder said of itself.
func (f *Follower) HandleFreshness(now int64, said clusterstate.Freshness) {
	f.received, f.receivedAt = said, now
	if f.fresh(now) {
		f.leftInARow = 0
	}
}

// Disconnected tells that no feeder is followed any more.
func (f *Follower) Disconnected() { f.received = clusterstate.Freshness{} }

// ShouldLeave tells whether the feeder is to be left because what it says is not fresh.
//
// Danger: a feeder that is cut off from the other control servers goes on saying that it is there, and an edge that
// stays with it keeps an old configuration.
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

// fresh tells whether the feeder followed now is.
func (f *Follower) fresh(now int64) bool {
	limit := int64(maxAgeDirect)
	if f.received.Hops > 0 {
		limit = maxAgeRelayed
	}
	return f.received.Known && f.received.Age+now-f.receivedAt < limit
}

// Freshness is what this edge knows, for itself and for those that follow it.
func (f *Follower) Freshness(now int64) clusterstate.Freshness {
	known := f.received
	if known.Known {
		known.Age += now - f.receivedAt
		known.Hops++
	}
	return known
}
