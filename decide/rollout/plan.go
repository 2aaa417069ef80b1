package rollout

// The plan: a version gets a small share until more than half of the time is over, for some versions turn bad late, and then
// more in a few short steps, since others turn bad under load alone. What a bad version is sent in all is bounded by
// operators as a share of the service's requests between the order and its term (Terms), so what a stage sends is a
// multiple of that share.

// The places in the plan.
const (
	stageWait   = iota // for replicas of the target version that are ready and warm
	stageCanary        // a small share at many edges
	stageRise          // about as much as a replica usually has, at a part of the edges
	stageMost          // more than half of the traffic
	stageSwitch        // all of it; it is waited for that nothing is under way at the others
)

// stage is one place in the plan.
type stage struct {
	name    string
	shares  Shares  // as it begins, under the usual terms
	traffic float64 // what the target version is to get, as a multiple of the exposure share; 0 for what the shares bring
	from    float64 // share of the time before the switch after which it begins
}

var plan = [...]stage{
	stageWait:   {"waits for replicas", Shares{0, wholeShare}, 0, 0},
	stageCanary: {"canary", Shares{180, wholeShare}, 0.55, 0},
	stageRise:   {"rise", Shares{400, wholeShare}, 1.6, 0.72},
	stageMost:   {"most", Shares{wholeShare, 400}, 0, 0.87},
	stageSwitch: {"switch", Shares{wholeShare, 0}, 0, 1},
}

// Terms are the deployment's bounds on rollouts.
type Terms struct {
	ExposureShare float64 // of a service's requests between the order and its term: most for a version that may be bad; 0 for the usual
}

const (
	usualExposure = 0.1
	mostExposure  = 0.3 // more would be no trial but a switch
)

// exposure is the share that the plan goes by.
func (t Terms) exposure() float64 {
	if t.ExposureShare <= 0 {
		return usualExposure
	}
	return min(t.ExposureShare, mostExposure)
}

// opening are the shares that a stage begins with.
func (t Terms) opening(number int) Shares {
	s := plan[number]
	if s.traffic > 0 {
		s.shares.Target = bounded(int(float64(s.shares.Target) * t.exposure() / usualExposure))
	}
	return s.shares
}

// bounded keeps a share of the pairs with the target version within what a trial may have.
func bounded(pairs int) int { return min(max(pairs, fewestPairs), mostPairs) }

// switchTime is how long before the term the switch begins: time for all edges to follow and to end what is under way.
const switchTime = 2800 * ms

// begins is the time after the order, ns, before which a stage does not begin.
func begins(stage int, term int64) int64 {
	return int64(plan[stage].from * float64(max(term-switchTime, term/2)))
}

// StageName is the name of the stage that an active rollout is at.
func (r *Rollout) StageName() string {
	if r.Phase != Active || r.Stage < 0 || r.Stage >= len(plan) {
		return r.Phase.String()
	}
	return plan[r.Stage].name
}

// How a stage's shares are brought to the traffic that it is to have: an edge sends to the nearest of the least busy replicas,
// so that a share of the pairs is less than the same share of the traffic.
const (
	tuneLeast    = 60.0 // requests of the service since the stage began, or the shares were changed
	tuneFactor   = 2.5  // at a time
	tuneWithin   = 0.6  // of the traffic wanted, or the inverse: close enough
	mostPairs    = 700  // of the pairs with the target version
	fewestPairs  = 10
	requestsNone = 0.5 // taken for the requests where there were none
)

// tuned returns the shares that bring the traffic closer to what a stage is to have; false where they are close enough.
func (t Terms) tuned(number int, now Shares, target, others float64) (Shares, bool) {
	wanted := plan[number].traffic * t.exposure()
	if wanted == 0 || target+others < tuneLeast {
		return now, false
	}
	is := max(target, requestsNone) / (target + others)
	if is >= tuneWithin*wanted && is <= wanted/tuneWithin {
		return now, false
	}
	factor := min(max(wanted/is, 1/tuneFactor), tuneFactor)
	next := Shares{Target: bounded(int(float64(now.Target) * factor)), Others: now.Others}
	return next, next != now
}
