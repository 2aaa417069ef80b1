package rollout

import (
	"fmt"
	"maps"
	"slices"
)

const ms = 1_000_000

// Times in ns.
const (
	evaluationInterval = 250 * ms  // between two evaluations of the evidence
	minStageTime       = 800 * ms  // minimum time in a stage, so that evidence can arrive
	quietStageTime     = 2500 * ms // minimum time in a stage that gets too few requests to judge, and after a change of holder
	minCanaryTime      = 6500 * ms // minimum time in the canary stage whatever the deadline is: some versions turn bad only seconds after their start
	edgeTimeout        = 3000 * ms // an edge without a report for this long counts as unreachable and isn't waited for
	proposalRetryTime  = 500 * ms  // until a step that was not committed is proposed again
	revertLeadTime     = 700 * ms  // time before the deadline at which a rollout that can't be complete in time is reverted
)

const (
	minWarmShare    = 0.5 // ready and warm replicas that the canary needs, relative to the replicas of other versions
	minReadyShare   = 0.7 // ready replicas that more than half of the traffic needs, relative to the replicas of other versions
	minRequests     = 20  // requests needed to judge a stage or a version
	coldCanaryShare = 0.3 // fraction of the allowed time after which the canary begins with cold replicas
	unseenFactor    = 3   // multiple of the allowed time after which a version that got too few requests leaves the trial stages all the same
)

// Replicas counts the replicas of a service. All but Leaving are ready.
type Replicas struct {
	Target, Warm int // ready replicas of the target version, and how many of them have finished their warm-up
	Others       int // ready replicas of the versions that are replaced
	Leaving      int // replicas of any version that are draining or gone
}

// retired reports whether the service is being removed with all of its replicas.
func (r Replicas) retired() bool { return r.Target == 0 && r.Others == 0 && r.Leaving > 0 }

// Facts is what a controller knows at a moment, apart from the evidence.
type Facts struct {
	Replicas map[uint64]Replicas // by the number of the active rollout
	Edges    []string            // IPs of the edges that are known to be running
}

// edgeView is the last report of one edge.
type edgeView struct {
	evidence   Evidence
	receivedAt int64
}

// trackedRollout is an active rollout with what this controller knows about it.
type trackedRollout struct {
	rollout        Rollout
	bounds         Bounds
	startedAt      int64   // when the order was accepted, as far as this controller knows
	stepSince      int64   // when this controller learned of the current step
	stageSince     int64   // when this controller learned of the current stage
	stageRequests  float64 // requests at the target version when the stage began
	detector       *detector
	edges          map[string]*edgeView
	targetRequests float64 // requests at the target version when the step began
	otherRequests  float64 // requests at other versions when the step began
	proposedAt     int64   // when a change of this step was last proposed, 0 for never
	maxOthers      int     // largest number of replicas of other versions that were ready at once
}

// Manager follows the active rollouts at one controller. Every controller has a Manager and passes it all evidence; only the
// holder, the one controller that decides steps at the time, calls Decide and proposes the result.
type Manager struct {
	bounds         Bounds
	version        uint64
	active         map[uint64]*trackedRollout
	nextEvaluation int64
	isHolder       bool  // this controller is the holder
	holderSince    int64 // since when this controller is the holder
}

// NewManager returns a Manager without any rollouts.
func NewManager(bounds Bounds) *Manager {
	return &Manager{bounds: bounds, active: map[uint64]*trackedRollout{}}
}

// Apply updates the active rollouts from a committed Set.
func (m *Manager) Apply(now int64, set Set) {
	if set.Version <= m.version {
		return
	}
	m.version = set.Version
	active := map[uint64]*trackedRollout{}
	for _, r := range set.Active() {
		t := m.active[r.Number]
		if t == nil {
			t = &trackedRollout{bounds: m.bounds, detector: newDetector(), edges: map[string]*edgeView{}}
		}
		if t.rollout.Step != r.Step || t.stepSince == 0 {
			t.stepSince, t.proposedAt = now, 0
			t.targetRequests, t.otherRequests = t.detector.requests()
		}
		if t.rollout.Stage != r.Stage || t.stageSince == 0 {
			t.stageSince = now
			t.stageRequests, _ = t.detector.requests()
		}
		// A new holder starts from the elapsed time in the register. A step is committed a little after that time was
		// measured, so the earliest start seen is the most accurate.
		if start := now - r.ElapsedMs*ms; t.startedAt == 0 || start < t.startedAt {
			t.startedAt = start
		}
		t.rollout = r
		active[r.Number] = t
	}
	m.active = active
	m.nextEvaluation = max(m.nextEvaluation, now)
}

// Active returns the active rollouts, by number.
func (m *Manager) Active() (active []Rollout) {
	for _, number := range slices.Sorted(maps.Keys(m.active)) {
		active = append(active, m.active[number].rollout)
	}
	return active
}

// Report adds the evidence of an edge. Evidence that is older than the edge's last is ignored.
func (m *Manager) Report(now int64, edge string, evidence []Evidence) {
	for _, e := range evidence {
		t := m.active[e.Number]
		if t == nil {
			continue
		}
		v := t.edges[edge]
		if v == nil {
			v = &edgeView{}
			t.edges[edge] = v
		}
		was := v.evidence
		switch {
		case was.Incarnation != e.Incarnation:
			was = Evidence{}
		case e.Seq <= was.Seq:
			continue
		}
		t.detector.addEvidence(e, was)
		v.evidence, v.receivedAt = e, now
	}
}

// addEvidence adds what has come in between two reports of an edge.
func (d *detector) addEvidence(now, was Evidence) {
	before := make(map[countKey]OutcomeCounts, len(was.Counts))
	for _, c := range was.Counts {
		before[c.key()] = c
	}
	for _, c := range now.Counts {
		d.addCount(c, before[c.key()])
	}
}

// Next returns when Decide should be called next, 0 for never.
func (m *Manager) Next() int64 {
	if len(m.active) == 0 {
		return 0
	}
	return m.nextEvaluation
}

// Standby is called instead of Decide by a controller that isn't the holder.
func (m *Manager) Standby(now int64) {
	m.isHolder = false
	if now >= m.nextEvaluation {
		m.nextEvaluation = now + evaluationInterval
	}
}

// Decide returns the steps that are due. A step that isn't committed is returned again later.
func (m *Manager) Decide(now int64, facts Facts) (changes []Change) {
	if len(m.active) == 0 || now < m.nextEvaluation {
		return nil
	}
	m.nextEvaluation = now + evaluationInterval
	if !m.isHolder {
		m.isHolder, m.holderSince = true, now
	}
	for _, number := range slices.Sorted(maps.Keys(m.active)) {
		t := m.active[number]
		change, due := t.decide(now, situation{replicas: facts.Replicas[number], edges: facts.Edges, heldFor: now - m.holderSince})
		if due && (t.proposedAt == 0 || now-t.proposedAt >= proposalRetryTime) {
			t.proposedAt = now
			changes = append(changes, change)
		}
	}
	return changes
}

// elapsed returns the time since the order, in ns.
func (t *trackedRollout) elapsed(now int64) int64 { return now - t.startedAt }

// situation is what the next step of a rollout depends on, apart from the evidence.
type situation struct {
	replicas Replicas
	edges    []string
	heldFor  int64 // ns that this controller has been the holder
}

// decide returns the next step of a rollout, and whether it is due.
func (t *trackedRollout) decide(now int64, s situation) (c Change, due bool) {
	t.maxOthers = max(t.maxOthers, s.replicas.Others)
	v := t.detector.evaluate(conditions{singleReplica: s.replicas.Target == 1, noBaselineTraffic: t.rollout.Stage == stageSwitch})
	c = Change{Rollout: t.rollout, ElapsedMs: t.elapsed(now) / ms}
	stage, allowed := t.rollout.Stage, t.rollout.Order.OverMs*ms
	switch {
	case v.bad:
		return t.endRollout(c, Reverted, v.reason), true
	case s.replicas.retired():
		return t.endRollout(c, Complete, "the service is taken away with all of its replicas"), true
	case t.elapsed(now) >= max(allowed-revertLeadTime, allowed/2) && stage < stageSwitch && !t.enoughReady(s.replicas):
		return t.endRollout(c, Reverted, fmt.Sprintf("%d replicas of the version were ready as its term came", s.replicas.Target)), true
	case stage == stageSwitch:
		return t.endRollout(c, Complete, "no edge sends to other versions"), !v.suspicious && t.enoughReady(s.replicas) && t.switchComplete(now, s)
	case !v.suspicious && t.mayAdvance(now, s, allowed):
		return t.continueRollout(c, stage+1, t.bounds.initialShares(stage+1), s.replicas), true
	}
	target, others := t.detector.requests()
	shares, changed := t.bounds.tuneShares(stage, t.rollout.Shares, target-t.targetRequests, others-t.otherRequests)
	return t.continueRollout(c, stage, shares, s.replicas), changed && now-t.stepSince >= minStageTime
}

// endRollout completes a change that ends the rollout.
func (t *trackedRollout) endRollout(c Change, phase Phase, reason string) Change {
	c.Phase, c.Reason = phase, fmt.Sprintf("%s; %s", reason, t.evidenceSummary())
	return c
}

// continueRollout completes a change that keeps the rollout active.
func (t *trackedRollout) continueRollout(c Change, stage int, shares Shares, replicas Replicas) Change {
	c.Phase, c.Stage, c.Shares = Active, stage, shares
	c.Reason = fmt.Sprintf("%s; %d of %d replicas ready; %s", plan[stage].name, replicas.Target, t.maxOthers, t.evidenceSummary())
	return c
}

// evidenceSummary describes the evidence for operators.
func (t *trackedRollout) evidenceSummary() string {
	target, others := t.detector.requests()
	return fmt.Sprintf("%.0f of %.0f requests went to the version, %.0f failed", target, target+others, t.detector.target.failed)
}

// mayAdvance reports whether the next stage may begin.
func (t *trackedRollout) mayAdvance(now int64, s situation, allowed int64) bool {
	next := t.rollout.Stage + 1
	switch {
	case next >= stageMost && (!t.enoughReady(s.replicas) || !t.enoughRequests(now, allowed)):
		return false
	case next == stageCanary:
		return t.enoughWarm(s.replicas) || t.elapsed(now) > int64(coldCanaryShare*float64(allowed)) && s.replicas.Target > 0
	case t.elapsed(now) < earliestStart(next, allowed) || s.heldFor < quietStageTime:
		return false
	case next == stageRise && now-t.stageSince < minCanaryTime:
		return false
	}
	requests, _ := t.detector.requests()
	return now-t.stageSince >= minStageTime && requests-t.stageRequests >= minRequests || now-t.stageSince >= quietStageTime
}

// enoughRequests reports whether the target version got enough requests to leave the trial stages.
//
// Danger: a version that no request has reached can't be judged, and the next configuration may send all requests of a route
// to it.
func (t *trackedRollout) enoughRequests(now, allowed int64) bool {
	requests, _ := t.detector.requests()
	return requests >= minRequests || t.elapsed(now) >= unseenFactor*allowed
}

// enoughWarm reports whether enough replicas of the target version are ready and warm for the canary.
func (t *trackedRollout) enoughWarm(replicas Replicas) bool {
	return replicas.Warm > 0 && float64(replicas.Warm) >= minWarmShare*float64(t.maxOthers)
}

// enoughReady reports whether there are enough replicas of the target version for the service's whole traffic.
func (t *trackedRollout) enoughReady(replicas Replicas) bool {
	return replicas.Target > 0 && float64(replicas.Target) >= minReadyShare*float64(t.maxOthers)
}

// switchComplete reports whether each reachable edge has applied the switch and has no requests in flight at other versions.
// An edge whose last report is older than edgeTimeout isn't waited for. An edge without any report is waited for until
// edgeTimeout has passed since the switch and since this controller became the holder.
//
// Danger: once a rollout is called complete the replicas of other versions may stop at once.
func (t *trackedRollout) switchComplete(now int64, s situation) bool {
	if now-t.stageSince < minStageTime {
		return false
	}
	for _, v := range t.edges {
		settled := v.evidence.Version >= t.rollout.Changed && v.evidence.OldInFlight == 0
		if !settled && now-v.receivedAt < edgeTimeout {
			return false
		}
	}
	waited := min(now-t.stageSince, s.heldFor) >= edgeTimeout
	for _, ip := range s.edges {
		if t.edges[ip] == nil && !waited {
			return false
		}
	}
	return true
}
