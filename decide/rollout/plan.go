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
	name           string
	initialShares  Shares  // as it begins, under the usual terms
	exposureFactor float64 // what the target version is to get, as a multiple of the exposure share; 0 for what the shares bring
	startShare     float64 // share of the time before the switch after which it begins
}

var plan = [...]stage{
	stageWait:   {"waits for replicas", Shares{0, fullShare}, 0, 0},
	stageCanary: {"canary", Shares{180, fullShare}, 0.55, 0},
	stageRise:   {"rise", Shares{400, fullShare}, 1.6, 0.72},
	stageMost:   {"most", Shares{fullShare, 400}, 0, 0.87},
	stageSwitch: {"switch", Shares{fullShare, 0}, 0, 1},
}

// Bounds are the deployment's bounds on rollouts.
type Bounds struct {
	ExposureShare float64 // of a service's requests between the order and its term: most for a version that may be bad; 0 for the usual
}

const (
	usualExposure = 0.1
	mostExposure  = 0.3 // more would be no trial but a switch
)

// exposureShare is the share that the plan goes by.
func (t Bounds) exposureShare() float64 {
	if t.ExposureShare <= 0 {
		return usualExposure
	}
	return min(t.ExposureShare, mostExposure)
}

// initialShares are the shares that a stage begins with.
func (t Bounds) initialShares(number int) Shares {
	s := plan[number]
	if s.exposureFactor > 0 {
		s.initialShares.Target = clampPairs(int(float64(s.initialShares.Target) * t.exposureShare() / usualExposure))
	}
	return s.initialShares
}

// clampPairs keeps a share of the pairs with the target version within what a trial may have.
func clampPairs(pairs int) int { return min(max(pairs, minPairs), maxPairs) }

// switchLeadTime is how long before the term the switch begins: time for all edges to follow and to end what is under way.
const switchLeadTime = 2800 * ms

// earliestStart is the time after the order, ns, before which a stage does not begin.
func earliestStart(stage int, term int64) int64 {
	return int64(plan[stage].startShare * float64(max(term-switchLeadTime, term/2)))
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
	minTuneRequests   = 60.0 // requests of the service since the stage began, or the shares were changed
	maxTuneFactor     = 2.5  // at a time
	tuneTolerance     = 0.6  // of the traffic wanted, or the inverse: close enough
	maxPairs          = 700  // of the pairs with the target version
	minPairs          = 10
	minTargetRequests = 0.5 // taken for the requests where there were none
)

// tuneShares returns the shares that bring the traffic closer to what a stage is to have; false where they are close enough.
func (t Bounds) tuneShares(number int, now Shares, target, others float64) (Shares, bool) {
	wanted := plan[number].exposureFactor * t.exposureShare()
	if wanted == 0 || target+others < minTuneRequests {
		return now, false
	}
	is := max(target, minTargetRequests) / (target + others)
	if is >= tuneTolerance*wanted && is <= wanted/tuneTolerance {
		return now, false
	}
	factor := min(max(wanted/is, 1/maxTuneFactor), maxTuneFactor)
	next := Shares{Target: clampPairs(int(float64(now.Target) * factor)), Others: now.Others}
	return next, next != now
}
