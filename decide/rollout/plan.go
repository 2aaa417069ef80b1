package rollout

// The plan: the target version gets a small share of the traffic for more than half of the allowed time, since some versions
// turn bad late, and then more in a few short stages, since other versions turn bad only under load. Operators bound the
// requests that a bad version may get in total, as a share of the service's requests between the order and the deadline
// (Bounds.ExposureShare). The traffic of the trial stages is therefore a multiple of that share.

// The stages, in order.
const (
	stageWait   = iota // waits for replicas of the target version that are ready and warm
	stageCanary        // a small share at many edges
	stageRise          // about the usual load of a replica, from a part of the edges
	stageMost          // more than half of the traffic
	stageSwitch        // all of the traffic; ends when no requests are in flight at other versions
)

// stage is one entry of the plan.
type stage struct {
	name           string
	initialShares  Shares  // shares when the stage begins, for the default exposure share
	exposureFactor float64 // wanted traffic of the target version, as a multiple of the exposure share; 0 to keep the shares as they are
	startShare     float64 // fraction of the time from the order to the switch after which the stage may begin
}

var plan = [...]stage{
	stageWait:   {"waits for replicas", Shares{0, fullShare}, 0, 0},
	stageCanary: {"canary", Shares{180, fullShare}, 0.55, 0},
	stageRise:   {"rise", Shares{400, fullShare}, 1.6, 0.72},
	stageMost:   {"most", Shares{fullShare, 400}, 0, 0.87},
	stageSwitch: {"switch", Shares{fullShare, 0}, 0, 1},
}

// Bounds are the limits that the deployment sets on rollouts.
type Bounds struct {
	// ExposureShare is the maximum share of a service's requests between the order and the deadline that go to a version not
	// yet known to be good; 0 for the default.
	ExposureShare float64
}

const (
	defaultExposure = 0.1 // exposure share where operators set none
	maxExposure     = 0.3 // highest exposure share; more would be a switch and not a trial
)

// exposureShare returns the effective exposure share.
func (b Bounds) exposureShare() float64 {
	if b.ExposureShare <= 0 {
		return defaultExposure
	}
	return min(b.ExposureShare, maxExposure)
}

// initialShares returns the shares with which a stage begins.
func (b Bounds) initialShares(number int) Shares {
	s := plan[number]
	if s.exposureFactor > 0 {
		s.initialShares.Target = clampPairs(int(float64(s.initialShares.Target) * b.exposureShare() / defaultExposure))
	}
	return s.initialShares
}

// clampPairs keeps the share of pairs with the target version within the range allowed in trial stages.
func clampPairs(pairs int) int { return min(max(pairs, minPairs), maxPairs) }

// switchLeadTime is how long before the deadline the switch begins, so that all edges can apply it and finish the requests
// in flight.
const switchLeadTime = 2800 * ms

// earliestStart returns the earliest time for a stage to begin, in ns after the order. The allowed time of the rollout is in
// ns too.
func earliestStart(stage int, allowed int64) int64 {
	return int64(plan[stage].startShare * float64(max(allowed-switchLeadTime, allowed/2)))
}

// StageName returns the name of the current stage of an active rollout, and the name of the phase otherwise.
func (r *Rollout) StageName() string {
	if r.Phase != Active || r.Stage < 0 || r.Stage >= len(plan) {
		return r.Phase.String()
	}
	return plan[r.Stage].name
}

// Tuning adjusts the shares of a stage until the target version gets the wanted traffic. Edges prefer the nearest of the
// least busy replicas, so a share of the pairs brings less than the same share of the traffic.
const (
	minTuneRequests   = 60.0 // requests of the service needed since the last change of stage or shares
	maxTuneFactor     = 2.5  // largest change of the share in one step, up or down
	tuneTolerance     = 0.6  // traffic from this multiple of the wanted traffic up to the inverse multiple is close enough
	maxPairs          = 700  // thousandths of the pairs with the target version
	minPairs          = 10   // thousandths of the pairs with the target version
	minTargetRequests = 0.5  // assumed for the target version if it got no requests
)

// tuneShares returns shares that bring the traffic of the target version closer to what the stage wants. It returns false if
// the traffic is close enough.
func (b Bounds) tuneShares(number int, now Shares, target, others float64) (Shares, bool) {
	wanted := plan[number].exposureFactor * b.exposureShare()
	if wanted == 0 || target+others < minTuneRequests {
		return now, false
	}
	share := max(target, minTargetRequests) / (target + others)
	if share >= tuneTolerance*wanted && share <= wanted/tuneTolerance {
		return now, false
	}
	factor := min(max(wanted/share, 1/maxTuneFactor), maxTuneFactor)
	next := Shares{Target: clampPairs(int(float64(now.Target) * factor)), Others: now.Others}
	return next, next != now
}
