package controlsim

import (
	"willowsill/decide/clusterstate"
	"willowsill/decide/follower"
)

// Times of a follower, ns; those of transport/watch.
const (
	upstreamTimeout = second
	reportInterval  = second
	reconnectDelay  = 100 * millisecond
	minStay         = 5 * second
)

// upstreamDecision is what a follower is to do with its feeder.
type upstreamDecision uint8

const (
	keepUpstream    upstreamDecision = iota
	tryNextUpstream                  // the feeder is to be left; the next one is tried
	tryBestUpstream                  // another is to be followed instead; the first one is tried
)

// followLoop is the loop of watch.Follower without its link: decide/follower says when a feeder is left. Times are of the edge's
// clock.
type followLoop struct {
	follower                            follower.Follower
	readiness                           follower.Readiness // the proxy's
	upstreamIndex                       int
	connectedAt, reportedAt, receivedAt int64
}

// upstream is the feeder to dial, of those that may be followed, the best first.
func (f *followLoop) upstream(feeders []string) string {
	f.upstreamIndex %= len(feeders)
	return feeders[f.upstreamIndex]
}

// connected tells that the feeder dialled is followed now.
func (f *followLoop) connected(now int64, alternatives int) {
	f.connectedAt, f.reportedAt, f.receivedAt = now, now, now
	f.follower.Connected(now, alternatives)
}

// handleFreshness takes how fresh the feeder says that it is.
func (f *followLoop) handleFreshness(now int64, fresh clusterstate.Freshness) {
	f.receivedAt = now
	f.follower.HandleFreshness(now, fresh)
}

// reportDue tells that a report is to be sent, and what becomes of the feeder with it.
func (f *followLoop) reportDue(now int64, feeder string, feeders []string) (bool, upstreamDecision) {
	if now-f.reportedAt <= reportInterval {
		return false, keepUpstream
	}
	f.reportedAt = now
	if now-f.connectedAt > minStay && len(feeders) > 0 && feeders[0] != feeder {
		return true, tryBestUpstream
	}
	return true, keepUpstream
}

// isSilent tells whether the feeder has said nothing for too long; otherwise when to look again, in ns from now.
func (f *followLoop) isSilent(now int64) (bool, int64) {
	return now-f.receivedAt >= upstreamTimeout, upstreamTimeout - (now - f.receivedAt)
}

// disconnected tells that the feeder is followed no longer.
func (f *followLoop) disconnected(v upstreamDecision) {
	f.follower.Disconnected()
	if f.upstreamIndex++; v != tryNextUpstream {
		f.upstreamIndex = 0
	}
}
