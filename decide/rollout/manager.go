package rollout

import (
	"fmt"
	"maps"
	"slices"
)

const ms = 1_000_000

// Times, ns.
const (
	evaluationInterval = 250 * ms  // between two looks at the evidence
	minStageTime       = 800 * ms  // in a stage before the next one begins, for evidence to come in
	quietStageTime     = 2500 * ms // the same where no request says anything
	minCanaryTime      = 6500 * ms // as a canary, whatever the term: versions turn bad some seconds after their start
	edgeSilent         = 3000 * ms // an edge whose evidence is older is not waited for: it has lost touch
	proposalRetryTime  = 500 * ms  // before a step is proposed again that has not come to stand
	revertLeadTime     = 700 * ms  // before its term a rollout is taken back that cannot be complete by then
)

const (
	minWarmShare    = 0.5 // of the other versions' replicas: so many of the target's have to be ready and warm for the canary
	minReadyShare   = 0.7 // the same, ready, for more than half of the traffic
	leastAsked      = 20  // requests that say something of a stage, or of a version
	coldCanaryShare = 0.3 // share of the time after which cold replicas do for the canary
	unseenFactor    = 3   // multiple of the time after which a version that nobody asks gets more than its trial all the same
)

// Replicas is how many ready replicas of a service there are.
type Replicas struct {
	Target, Warm int // of the target version, and how many of them are no longer slow from their start
	Others       int // of the versions that it takes the place of
	Leaving      int // that drain or are gone, of any version
}

// retired tells whether the service is being taken away, with all of its replicas.
func (r Replicas) retired() bool { return r.Target == 0 && r.Others == 0 && r.Leaving > 0 }

// Facts is what a controller knows at one moment besides the evidence.
type Facts struct {
	Replicas map[uint64]Replicas // by the number of the active rollout
	Edges    []string            // that have been heard of
}

// edgeView is what one edge said last.
type edgeView struct {
	evidence Evidence
	at       int64
}

// trackedRollout is one active rollout as a controller follows it.
type trackedRollout struct {
	rollout        Rollout
	bounds         Bounds
	startedAt      int64   // when the order was taken, as far as is known here
	stepSince      int64   // when its step was learned of here
	stageSince     int64   // the same of its stage
	stageRequests  float64 // requests at the target version as the stage began
	detector       *detector
	edges          map[string]*edgeView
	targetRequests float64 // the judge's counts of requests as the step began, of the target version
	otherRequests  float64 // and of the others
	proposedAt     int64   // when a change of this step was last proposed, 0 for never
	maxOthers      int     // the most replicas of other versions that were ready at a time
}

// Manager follows the active rollouts at one controller. Each controller has one and feeds it; only the one that holds the
// duty acts on what it decides.
type Manager struct {
	bounds         Bounds
	version        uint64
	active         map[uint64]*trackedRollout
	nextEvaluation int64
	isHolder       bool  // the duty
	holderSince    int64 // that it holds it
}

// NewManager makes one that knows of no rollout.
func NewManager(terms Bounds) *Manager {
	return &Manager{bounds: terms, active: map[uint64]*trackedRollout{}}
}

// Apply takes in a Set that is known to stand.
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
		// What the register has of the time holds for whoever takes the duty over; a step comes to stand a little later.
		if began := now - r.ElapsedMs*ms; t.startedAt == 0 || began < t.startedAt {
			t.startedAt = began
		}
		t.rollout = r
		active[r.Number] = t
	}
	m.active = active
	m.nextEvaluation = max(m.nextEvaluation, now)
}

// Active returns the rollouts that are followed, by number.
func (m *Manager) Active() (active []Rollout) {
	for _, number := range slices.Sorted(maps.Keys(m.active)) {
		active = append(active, m.active[number].rollout)
	}
	return active
}

// Report takes in what an edge has seen.
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
		v.evidence, v.at = e, now
	}
}

// addEvidence takes in how an edge's evidence has grown.
func (j *detector) addEvidence(now, was Evidence) {
	before := make(map[countKey]OutcomeCounts, len(was.Counts))
	for _, c := range was.Counts {
		before[c.key()] = c
	}
	for _, c := range now.Counts {
		j.addCount(c, before[c.key()])
	}
}

// Next is when Decide wants to be called, 0 for never.
func (m *Manager) Next() int64 {
	if len(m.active) == 0 {
		return 0
	}
	return m.nextEvaluation
}

// Standby is called in place of Decide by a controller that does not hold the duty.
func (m *Manager) Standby(now int64) {
	m.isHolder = false
	if now >= m.nextEvaluation {
		m.nextEvaluation = now + evaluationInterval
	}
}

// Decide returns the steps that are due. A step that does not come to stand is returned again.
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

// elapsed is the time since the order, ns.
func (t *trackedRollout) elapsed(now int64) int64 { return now - t.startedAt }

// situation is what one rollout's next step depends on besides the evidence.
type situation struct {
	replicas Replicas
	edges    []string
	heldFor  int64 // ns that this controller has held the duty
}

// decide returns the next step of one rollout, where one is due.
func (t *trackedRollout) decide(now int64, s situation) (c Change, due bool) {
	t.maxOthers = max(t.maxOthers, s.replicas.Others)
	v := t.detector.evaluate(conditions{singleReplica: s.replicas.Target == 1, noBaselineTraffic: t.rollout.Stage == stageSwitch})
	c = Change{Rollout: t.rollout, ElapsedMs: t.elapsed(now) / ms}
	stage, term := t.rollout.Stage, t.rollout.Order.OverMs*ms
	switch {
	case v.bad:
		return t.endRollout(c, Reverted, v.reason), true
	case s.replicas.retired():
		return t.endRollout(c, Complete, "the service is taken away with all of its replicas"), true
	case t.elapsed(now) >= max(term-revertLeadTime, term/2) && stage < stageSwitch && !t.enoughReady(s.replicas):
		return t.endRollout(c, Reverted, fmt.Sprintf("%d replicas of the version were ready as its term came", s.replicas.Target)), true
	case stage == stageSwitch:
		return t.endRollout(c, Complete, "no edge sends to other versions"), !v.suspicious && t.enoughReady(s.replicas) && t.switchComplete(now, s)
	case !v.suspicious && t.mayAdvance(now, s, term):
		return t.continueRollout(c, stage+1, t.bounds.initialShares(stage+1), s.replicas), true
	}
	target, others := t.detector.requests()
	shares, off := t.bounds.tuneShares(stage, t.rollout.Shares, target-t.targetRequests, others-t.otherRequests)
	return t.continueRollout(c, stage, shares, s.replicas), off && now-t.stepSince >= minStageTime
}

// endRollout makes a change the one that ends the rollout.
func (t *trackedRollout) endRollout(c Change, phase Phase, why string) Change {
	c.Phase, c.Reason = phase, fmt.Sprintf("%s; %s", why, t.evidenceSummary())
	return c
}

// continueRollout makes a change one that leaves the rollout active.
func (t *trackedRollout) continueRollout(c Change, stage int, shares Shares, replicas Replicas) Change {
	c.Phase, c.Stage, c.Shares = Active, stage, shares
	c.Reason = fmt.Sprintf("%s; %d of %d replicas ready; %s", plan[stage].name, replicas.Target, t.maxOthers, t.evidenceSummary())
	return c
}

// evidenceSummary is the evidence in words.
func (t *trackedRollout) evidenceSummary() string {
	target, others := t.detector.requests()
	return fmt.Sprintf("%.0f of %.0f requests went to the version, %.0f failed", target, target+others, t.detector.target.failed)
}

// mayAdvance tells whether the next stage may begin.
func (t *trackedRollout) mayAdvance(now int64, s situation, term int64) bool {
	next := t.rollout.Stage + 1
	switch {
	case next >= stageMost && (!t.enoughReady(s.replicas) || !t.enoughRequests(now, term)):
		return false
	case next == stageCanary:
		return t.enoughWarm(s.replicas) || t.elapsed(now) > int64(coldCanaryShare*float64(term)) && s.replicas.Target > 0
	case t.elapsed(now) < earliestStart(next, term) || s.heldFor < quietStageTime:
		return false
	case next == stageRise && now-t.stageSince < minCanaryTime:
		return false
	}
	asked, _ := t.detector.requests()
	return now-t.stageSince >= minStageTime && asked-t.stageRequests >= leastAsked || now-t.stageSince >= quietStageTime
}

// enoughRequests tells whether enough requests went to the version for it to get more than its trial.
//
// Danger: a service that no route sends to may be sent all of a route's requests by the next configuration.
func (t *trackedRollout) enoughRequests(now, term int64) bool {
	asked, _ := t.detector.requests()
	return asked >= leastAsked || t.elapsed(now) >= unseenFactor*term
}

// enoughWarm tells whether enough replicas of the target version are ready and warm for a small share of the traffic.
func (t *trackedRollout) enoughWarm(replicas Replicas) bool {
	return replicas.Warm > 0 && float64(replicas.Warm) >= minWarmShare*float64(t.maxOthers)
}

// enoughReady tells whether the replicas of the target version can bear the service's traffic.
func (t *trackedRollout) enoughReady(replicas Replicas) bool {
	return replicas.Target > 0 && float64(replicas.Target) >= minReadyShare*float64(t.maxOthers)
}

// switchComplete tells whether each edge in touch goes by the switch and has nothing under way at other versions. An edge that has
// said nothing for so long is not waited for, nor one that has said nothing to whoever holds the duty for so long.
//
// Danger: replicas of the other versions end at once when a rollout is called complete.
func (t *trackedRollout) switchComplete(now int64, s situation) bool {
	if now-t.stageSince < minStageTime {
		return false
	}
	for _, v := range t.edges {
		settled := v.evidence.Version >= t.rollout.Changed && v.evidence.OldInFlight == 0
		if !settled && now-v.at < edgeSilent {
			return false
		}
	}
	waited := min(now-t.stageSince, s.heldFor) >= edgeSilent
	for _, ip := range s.edges {
		if t.edges[ip] == nil && !waited {
			return false
		}
	}
	return true
}
