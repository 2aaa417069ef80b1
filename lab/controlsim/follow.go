package controlsim

import (
	"willowsill/decide/clusterstate"
	"willowsill/decide/follower"
)

// Times of a follower, ns; those of transport/watch.
const (
	silentAfter = second
	sayEvery    = second
	nextAfter   = 100 * millisecond
	stayFor     = 5 * second
)

// verdict is what a follower is to do with its feeder.
type verdict uint8

const (
	stay    verdict = iota
	lost            // the feeder is to be left; the next one is tried
	changed         // another is to be followed instead; the first one is tried
)

// following is the loop of watch.Follower without its link: decide/follower says when a feeder is left. Times are of the edge's
// clock.
type following struct {
	decide                 follower.Follower
	readiness              follower.Readiness // the proxy's
	tried                  int
	began, said, lastHeard int64
}

// next is the feeder to dial, of those that may be followed, the best first.
func (f *following) next(feeders []string) string {
	f.tried %= len(feeders)
	return feeders[f.tried]
}

// begin tells that the feeder dialled is followed now.
func (f *following) begin(now int64, alternatives int) {
	f.began, f.said, f.lastHeard = now, now, now
	f.decide.Connected(now, alternatives)
}

// heard takes how fresh the feeder says that it is.
func (f *following) heard(now int64, fresh clusterstate.Freshness) {
	f.lastHeard = now
	f.decide.HandleFreshness(now, fresh)
}

// due tells that a report is to be sent, and what becomes of the feeder with it.
func (f *following) due(now int64, feeder string, feeders []string) (bool, verdict) {
	if now-f.said <= sayEvery {
		return false, stay
	}
	f.said = now
	if now-f.began > stayFor && len(feeders) > 0 && feeders[0] != feeder {
		return true, changed
	}
	return true, stay
}

// silent tells whether the feeder has said nothing for too long; otherwise when to look again, in ns from now.
func (f *following) silent(now int64) (bool, int64) {
	return now-f.lastHeard >= silentAfter, silentAfter - (now - f.lastHeard)
}

// end tells that the feeder is followed no longer.
func (f *following) end(v verdict) {
	f.decide.Disconnected()
	if f.tried++; v != lost {
		f.tried = 0
	}
}
