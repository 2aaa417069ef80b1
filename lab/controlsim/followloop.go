package controlsim

import (
	"willowsill/decide/clusterstate"
	"willowsill/decide/follower"
)

// Times of an edge that receives updates, ns, as in transport/watch.
const (
	upstreamTimeout = second            // an upstream that sends nothing for this time is left
	reportInterval  = second            // time between two reports to the upstream
	reconnectDelay  = 100 * millisecond // time before the next upstream is dialled
	minStay         = 5 * second        // after this time an edge changes to a better upstream
)

// upstreamDecision says whether an edge keeps its upstream.
type upstreamDecision uint8

const (
	keepUpstream    upstreamDecision = iota
	tryNextUpstream                  // leave the upstream and try the next one of the list
	tryBestUpstream                  // leave the upstream and try the first one of the list
)

// followLoop does what the loop of watch.Follower does, without its connection: it chooses the upstream, and decide/follower decides
// when to leave it. Times are on the edge's clock.
type followLoop struct {
	follower                            follower.Follower
	readiness                           follower.Readiness // readiness of the proxy on the same machine
	upstreamIndex                       int                // index of the next upstream to dial, in the list of possible ones
	connectedAt, reportedAt, receivedAt int64
}

// upstream returns the upstream to dial. The list holds the possible ones, the best first.
func (f *followLoop) upstream(upstreams []string) string {
	f.upstreamIndex %= len(upstreams)
	return upstreams[f.upstreamIndex]
}

// connected records that the edge has connected to an upstream, and how many others there are.
func (f *followLoop) connected(now int64, alternatives int) {
	f.connectedAt, f.reportedAt, f.receivedAt = now, now, now
	f.follower.Connected(now, alternatives)
}

// handleFreshness records the freshness that the upstream sent.
func (f *followLoop) handleFreshness(now int64, freshness clusterstate.Freshness) {
	f.receivedAt = now
	f.follower.HandleFreshness(now, freshness)
}

// reportDue reports whether a report has to be sent now and, if so, whether to change to a better upstream.
func (f *followLoop) reportDue(now int64, current string, upstreams []string) (bool, upstreamDecision) {
	if now-f.reportedAt <= reportInterval {
		return false, keepUpstream
	}
	f.reportedAt = now
	if now-f.connectedAt > minStay && len(upstreams) > 0 && upstreams[0] != current {
		return true, tryBestUpstream
	}
	return true, keepUpstream
}

// isSilent reports whether the upstream has sent nothing for upstreamTimeout, and otherwise after how many ns to check again.
func (f *followLoop) isSilent(now int64) (bool, int64) {
	return now-f.receivedAt >= upstreamTimeout, upstreamTimeout - (now - f.receivedAt)
}

// disconnected records that the edge has left its upstream, and sets the next one to try.
func (f *followLoop) disconnected(decision upstreamDecision) {
	f.follower.Disconnected()
	if f.upstreamIndex++; decision != tryNextUpstream {
		f.upstreamIndex = 0
	}
}
