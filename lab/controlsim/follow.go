package controlsim

// Times of a follower, ns; those of transport/watch.
const (
	silentAfter  = second
	unsettledFor = second
	sayEvery     = second
	nextAfter    = 100 * millisecond
	stayFor      = 5 * second
)

// verdict is what a follower is to do with its feeder.
type verdict uint8

const (
	stay    verdict = iota
	lost            // the feeder is to be left; the next one is tried
	changed         // another is to be followed instead; the first one is tried
)

// following decides whom an edge follows and when it leaves its feeder. Times are of the edge's clock.
type following interface {
	// next is the feeder to dial, of those that may be followed, the best first.
	next(feeders []string) string
	// begin tells that the feeder dialled is followed now.
	begin(now int64)
	// heard takes a word of the feeder; usable tells that its notice could be used, others that there are more feeders.
	heard(now int64, n news, usable, others bool) verdict
	// due tells that a report is to be sent, and what becomes of the feeder with it.
	due(now int64, feeder string, feeders []string) (bool, verdict)
	// silent tells whether the feeder has said nothing for too long; otherwise when to look again, in ns from now.
	silent(now int64) (bool, int64)
	// end tells that the feeder is followed no longer.
	end(v verdict)
	// settled tells whether the feeder is in touch with a majority.
	settled() bool
	// ready tells whether an edge that holds a revision may call itself ready.
	ready(revision uint64) bool
}

// watchRule is the rule of transport/watch: a feeder that is silent for a second is left, and one that has not been in touch with
// most controllers for a second as well, where there are others.
type watchRule struct {
	tried                             int
	feederSettled                     bool
	began, said, settledAt, lastHeard int64
}

func (r *watchRule) next(feeders []string) string {
	r.tried %= len(feeders)
	return feeders[r.tried]
}

func (r *watchRule) begin(now int64) { r.began, r.said, r.settledAt, r.lastHeard = now, now, now, now }

func (r *watchRule) heard(now int64, n news, usable, others bool) verdict {
	r.feederSettled, r.lastHeard = n.settled, now
	if !usable {
		return changed
	}
	if n.settled || !others {
		r.settledAt = now
	} else if now-r.settledAt > unsettledFor {
		return lost
	}
	return stay
}

func (r *watchRule) due(now int64, feeder string, feeders []string) (bool, verdict) {
	if now-r.said <= sayEvery {
		return false, stay
	}
	r.said = now
	if now-r.began > stayFor && len(feeders) > 0 && feeders[0] != feeder {
		return true, changed
	}
	return true, stay
}

func (r *watchRule) silent(now int64) (bool, int64) {
	return now-r.lastHeard >= silentAfter, silentAfter - (now - r.lastHeard)
}

func (r *watchRule) end(v verdict) {
	r.feederSettled = false
	if r.tried++; v != lost {
		r.tried = 0
	}
}

func (r *watchRule) settled() bool { return r.feederSettled }

func (r *watchRule) ready(revision uint64) bool { return revision > 0 }
