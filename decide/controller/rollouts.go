package controller

import (
	"fmt"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
	"willowsill/decide/routeconfig"
)

// This file has the controller's part in rollouts. Operators' orders are stored in the register beside the
// configuration. The edges' evidence about the versions goes to the first live member, which runs the rollouts: it
// decides their next steps and commits each one.

const (
	evidenceInterval = 150 * ms // time between two batches of evidence to the first live member, ns

	statusUnprocessable = 422 // ends the operator's call
)

// rollouts is the state that a controller keeps of rollouts.
type rollouts struct {
	set        rollout.Set // known to be committed
	manager    *rollout.Manager
	pending    map[string][]rollout.Evidence // evidence for the next batch, by the edge's IP
	evidenceAt int64                         // earliest next batch
	warmAt     map[string]int64              // end of a replica's warm-up, by replica ID
}

func newRollouts(terms rollout.Bounds) rollouts {
	return rollouts{manager: rollout.NewManager(terms), pending: map[string][]rollout.Evidence{}, warmAt: map[string]int64{}}
}

// nextTick returns the time at which tickRollouts must be called next, 0 for never.
func (r *rollouts) nextTick() int64 {
	at := r.manager.Next()
	if len(r.pending) > 0 && (at == 0 || r.evidenceAt < at) {
		at = r.evidenceAt
	}
	return at
}

// rolloutAction is the kind of an operator's call about rollouts.
type rolloutAction uint8

const (
	beginRollout rolloutAction = iota + 1
	abortRollout
	readRollout
	listRollouts
)

// rolloutCall is a call of an operator about rollouts.
type rolloutCall struct {
	action rolloutAction
	order  rollout.Order // the whole order for beginRollout, only the service for the other actions
}

// abortReason is the recorded reason of a rollout that an operator aborted.
const abortReason = "taken back by an operator"

// apply returns the call's edit of the register. The edit may run several times, each time on a newer value.
func (r *rolloutCall) apply(known func(register.Value) bool) register.Edit {
	return func(value register.Value) (register.Value, bool) {
		next, changed := value.Rollouts, false
		switch r.action {
		case beginRollout:
			if known(value) {
				next, _, changed = next.Begin(r.order)
			}
		case abortRollout:
			next, changed = next.Abort(r.order.Service, abortReason)
		}
		value.Rollouts = next
		return value, changed
	}
}

// BeginRollout handles an operator's order to move a service's traffic to another version. The answer comes once the
// order is on a majority of disks: 200, also if the same order was committed before; 409 if another rollout of the
// service is active; 422 if the service is unknown; 503 if no majority answered in time.
func (c *Controller) BeginRollout(now int64, id uint64, order rollout.Order) Effects {
	return c.startRolloutCall(now, id, &rolloutCall{beginRollout, order})
}

// AbortRollout aborts the active rollout of a service and reverts it. The answer is 200 with the newest rollout of the
// service, or 404 if it never had one.
func (c *Controller) AbortRollout(now int64, id uint64, service string) Effects {
	return c.startRolloutCall(now, id, &rolloutCall{abortRollout, rollout.Order{Service: service}})
}

// ReadRollout answers with the newest rollout of a service, read from a majority of disks.
func (c *Controller) ReadRollout(now int64, id uint64, service string) Effects {
	return c.startRolloutCall(now, id, &rolloutCall{readRollout, rollout.Order{Service: service}})
}

// ListRollouts answers with all rollouts that the register keeps.
func (c *Controller) ListRollouts(now int64, id uint64) Effects {
	return c.startRolloutCall(now, id, &rolloutCall{action: listRollouts})
}

// startRolloutCall starts the round of the register for a call about rollouts. Reads need a round too.
func (c *Controller) startRolloutCall(now int64, id uint64, call *rolloutCall) Effects {
	c.now = now
	pending := &pendingCall{id: id, deadline: now + answerTimeout, rollout: call}
	c.calls = append(c.calls, pending)
	n, out := c.proposer.Edit(now, call.apply(func(v register.Value) bool { return c.serviceKnown(v, call.order.Service) }))
	pending.editID = n
	c.handleProposer(out)
	return c.takeEffects()
}

// serviceKnown reports whether the value's configuration defines the service, or a replica of it is known.
func (c *Controller) serviceKnown(value register.Value, service string) bool {
	if len(c.replicas.ByService(service)) > 0 {
		return true
	}
	content, ok := clusterstate.Unpack(value.Body)
	if !ok {
		return false
	}
	defined, err := routeconfig.DefinesService(content, service)
	return err == nil && defined
}

// answerRollout answers an operator's call about rollouts according to the committed value.
func (c *Controller) answerRollout(call *pendingCall, value register.Value) {
	service := call.rollout.order.Service
	newest, known := value.Rollouts.NewestOf(service)
	switch {
	case call.rollout.action == listRollouts:
		c.answerRollouts(call, value.Rollouts.Rollouts)
	case call.rollout.action != beginRollout && !known:
		c.answer(call, statusNotFound, nil, fmt.Sprintf("the service %q never had a rollout", service))
	case call.rollout.action != beginRollout || known && newest.Order == call.rollout.order:
		c.answerRollouts(call, []rollout.Rollout{newest})
	case known && newest.Phase == rollout.Active:
		c.answer(call, statusConflict, nil, fmt.Sprintf("a rollout of %q to %q is active", service, newest.Order.Target))
	case value.Revision == 0:
		c.answer(call, statusUnavailable, nil, "there is no configuration yet")
	case !c.serviceKnown(value, service):
		c.answer(call, statusUnprocessable, nil, fmt.Sprintf("no configuration names the service %q", service))
	default:
		c.answer(call, statusUnavailable, nil, "it is not known what became of the rollout")
	}
}

func (c *Controller) answerRollouts(call *pendingCall, all []rollout.Rollout) {
	c.effects.Answers = append(c.effects.Answers, Answer{Call: call.id, Status: statusOK, Rollouts: all})
	c.removeCall(call)
}

// applyRollouts applies a newer set of rollouts that is known to be committed.
func (c *Controller) applyRollouts(set rollout.Set) {
	if set.Version <= c.rollouts.set.Version {
		return
	}
	for _, r := range set.Rollouts {
		if r.Changed > c.rollouts.set.Version {
			c.log("rollout state committed", "number", r.Number, "service", r.Order.Service, "target", r.Order.Target, "step", r.Step,
				"phase", r.Phase.String(), "stage", r.StageName(), "elapsedMs", r.ElapsedMs, "reason", r.Reason)
		}
	}
	c.rollouts.set = set
	c.rollouts.manager.Apply(c.now, set)
	c.addUpdate(c.state.Apply(clusterstate.Update{Rollouts: set}))
}

// recordEvidence records the evidence in the report of an edge that is connected to this controller, and keeps it for
// the next batch to the first live member.
func (c *Controller) recordEvidence(report EdgeReport) {
	if len(report.Rollouts) == 0 || report.Edge.IP == "" || len(c.rollouts.manager.Active()) == 0 {
		return
	}
	c.rollouts.manager.Report(c.now, report.Edge.IP, report.Rollouts)
	c.rollouts.pending[report.Edge.IP] = report.Rollouts
}

// handleEvidence records the evidence of edges that are connected to another controller.
func (c *Controller) handleEvidence(all []EdgeEvidence) {
	for _, e := range all {
		c.rollouts.manager.Report(c.now, e.IP, e.Rollouts)
	}
}

// tickRollouts sends pending evidence to the first live member. If this controller is that member, it decides and
// commits the steps that are due; otherwise its manager stands by.
func (c *Controller) tickRollouts() {
	firstLive := c.firstLiveMember()
	if len(c.rollouts.pending) > 0 && c.now >= c.rollouts.evidenceAt {
		c.rollouts.evidenceAt = c.now + evidenceInterval
		c.sendEvidence(firstLive)
	}
	if firstLive != c.IP || !c.inContact || !c.disk.CaughtUp || c.shuttingDown {
		c.rollouts.manager.Standby(c.now)
		return
	}
	if at := c.rollouts.manager.Next(); at == 0 || c.now < at {
		return
	}
	for _, change := range c.rollouts.manager.Decide(c.now, c.rolloutFacts()) {
		_, out := c.proposer.Edit(c.now, func(v register.Value) (register.Value, bool) {
			next, changed := v.Rollouts.Apply(change)
			v.Rollouts = next
			return v, changed
		})
		c.handleProposer(out)
	}
}

// sendEvidence sends the pending evidence to the first live member, unless that is this controller, and clears it.
func (c *Controller) sendEvidence(firstLive string) {
	if firstLive != "" && firstLive != c.IP {
		var batch []EdgeEvidence
		for ip, evidence := range c.rollouts.pending {
			batch = append(batch, EdgeEvidence{ip, evidence})
		}
		c.send(Message{Evidence: batch}, firstLive)
	}
	clear(c.rollouts.pending)
}

// rolloutFacts returns the replica counts of services with an active rollout, and the IPs of the edges heard recently.
func (c *Controller) rolloutFacts() rollout.Facts {
	facts := rollout.Facts{Replicas: map[uint64]rollout.Replicas{}}
	warmAt := map[string]int64{}
	for _, r := range c.rollouts.manager.Active() {
		var count rollout.Replicas
		for _, replica := range c.replicas.ByService(r.Order.Service) {
			switch {
			case replica.Leaving():
				count.Leaving++
			case r.AllowsFallback(replica.Version): // silent replicas are counted too
				count.Others++
			case replica.Version != r.Order.Target || replica.Phase != registry.Ready:
			default:
				count.Target++
				warmAt[replica.ID] = c.warmAt(replica)
				if c.now >= warmAt[replica.ID] {
					count.Warm++
				}
			}
		}
		facts.Replicas[r.Number] = count
	}
	c.rollouts.warmAt = warmAt
	for ip, e := range c.edges {
		if c.now-e.lastHeard < suspectedEdgeTimeout {
			facts.Edges = append(facts.Edges, ip)
		}
	}
	return facts
}

// warmAt returns the end of a replica's warm-up. It is computed when the replica is first seen here and then kept.
func (c *Controller) warmAt(r registry.Record) int64 {
	if at, known := c.rollouts.warmAt[r.ID]; known {
		return at
	}
	return c.now + r.WarmMs*ms
}

// Rollouts returns the set of rollouts known to be committed.
func (c *Controller) Rollouts() rollout.Set { return c.rollouts.set }
