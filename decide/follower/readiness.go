package follower

import "willowsill/decide/clusterstate"

// Readiness decides whether an edge accepts new clients. It is not safe for concurrent use.
type Readiness struct {
	configuredAt   int64  // when this process had its first configuration; 0 for not yet
	servedRevision uint64 // revision of the configuration in use
	wasFresh       bool   // since this process started, its configuration was known to be current at least once
	behindSince    int64  // since when a newer revision than servedRevision is known; 0 for none
}

// Configured records that the configuration with this revision is in use.
func (r *Readiness) Configured(now int64, revision uint64) {
	if r.configuredAt == 0 {
		r.configuredAt = now
	}
	r.servedRevision = max(r.servedRevision, revision)
}

// HandleFreshness records the freshness that the upstream sent.
func (r *Readiness) HandleFreshness(now int64, freshness clusterstate.Freshness) {
	behind := freshness.Revision > r.servedRevision
	switch {
	case !behind:
		r.behindSince = 0
	case r.behindSince == 0:
		r.behindSince = now
	}
	if freshness.Known && !behind && freshness.Age < maxAgeRelayed {
		r.wasFresh = true
	}
}

// Ready reports whether the edge accepts new clients.
//
// An edge that was current once stays ready when all controllers are unreachable, since without them no configuration changes
// (static stability). An edge that has just started does not know whether its configuration is current. It waits for a fresh
// upstream, and after readyUnconfirmedAfter assumes that there is none.
//
// Danger: a controller that is cut off, or has just started with an old disk, sends an old configuration. An edge that
// started with it and were ready at once would refuse requests that the newest configuration allows.
func (r *Readiness) Ready(now int64) bool {
	if r.configuredAt == 0 || r.Behind(now) {
		return false
	}
	return r.wasFresh || now-r.configuredAt >= readyUnconfirmedAfter
}

// Behind reports whether a newer configuration than the one in use here has been known for maxBehind.
func (r *Readiness) Behind(now int64) bool {
	return r.behindSince != 0 && now-r.behindSince >= maxBehind
}
