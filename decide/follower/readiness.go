package follower

import "willowsill/decide/clusterstate"

// Readiness decides whether an edge takes new clients. It is not safe for concurrent use.
type Readiness struct {
	configuredAt   int64 // when there was a configuration for the first time in this life; 0 for not yet
	servedRevision uint64
	wasFresh       bool  // what this edge holds was known to be current once in this life
	behindSince    int64 // since when a newer revision is known of that is not here; 0 for not
}

// Configured tells that a revision is served.
func (r *Readiness) Configured(now int64, revision uint64) {
	if r.configuredAt == 0 {
		r.configuredAt = now
	}
	r.servedRevision = max(r.servedRevision, revision)
}

// HandleFreshness takes how fresh the feeder's knowledge is.
func (r *Readiness) HandleFreshness(now int64, said clusterstate.Freshness) {
	behind := said.Revision > r.servedRevision
	switch {
	case !behind:
		r.behindSince = 0
	case r.behindSince == 0:
		r.behindSince = now
	}
	if said.Known && !behind && said.Age < maxAgeRelayed {
		r.wasFresh = true
	}
}

// Ready tells whether new clients are welcome.
//
// An edge that was current once stays ready when all control servers are out of reach: what it knows then changes
// nowhere (static stability). One that has just started does not know whether its configuration is current. It waits
// for a fresh feeder, and stops waiting once it must assume that there is none.
//
// Danger: a control server that is cut off, or has just started with an old disk, hands out an old configuration; an
// edge that starts beside it would refuse requests that the newest one allows.
func (r *Readiness) Ready(now int64) bool {
	if r.configuredAt == 0 || r.Behind(now) {
		return false
	}
	return r.wasFresh || now-r.configuredAt >= readyUnconfirmedAfter
}

// Behind tells whether a newer configuration is known to be in force than the one that is served here.
func (r *Readiness) Behind(now int64) bool {
	return r.behindSince != 0 && now-r.behindSince >= maxBehind
}
