package controller

import (
	"fmt"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
	"willowsill/decide/routeconfig"
)

// Rollouts: orders of operators, which go into the register beside the configuration; what edges see of the versions, which
// goes to the controller that holds the duty; and the steps that this one takes.

const (
	evidenceInterval = 150 * ms // between two batches of evidence to the holder of the duty

	statusUnprocessable = 422 // ends the operator's call
)

// rollouts is what a controller holds of them.
type rollouts struct {
	set        rollout.Set // known to be committed
	manager    *rollout.Manager
	pending    map[string][]rollout.Evidence // by edge, for the next batch
	evidenceAt int64
	warmAt     map[string]int64 // when a replica is no longer slow from its start, by id
}

func newRollouts(terms rollout.Bounds) rollouts {
	return rollouts{manager: rollout.NewManager(terms), pending: map[string][]rollout.Evidence{}, warmAt: map[string]int64{}}
}

// nextTick is when tickRollouts wants to be called at the latest, 0 for never.
func (r *rollouts) nextTick() int64 {
	at := r.manager.Next()
	if len(r.pending) > 0 && (at == 0 || r.evidenceAt < at) {
		at = r.evidenceAt
	}
	return at
}

// rolloutAction is what an operator wants of a rollout.
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
	order  rollout.Order // of a begin whole, else the service alone
}

// abortReason stands in a rollout that an operator took back.
const abortReason = "taken back by an operator"

// apply is the call as an edit of the register; it may run several times, each time on a newer value.
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

// BeginRollout takes an operator's order to move a service's traffic to another version. It is answered once the order is
// on a majority of disks: 200 also where the same order stands already, 409 where another rollout of the service is
// active, 422 where nobody knows the service, 503 where no majority answered in time.
func (c *Controller) BeginRollout(now int64, id uint64, order rollout.Order) Effects {
	return c.startRolloutCall(now, id, &rolloutCall{beginRollout, order})
}

// AbortRollout takes the active rollout of a service back: 200 with what stands then, 404 where there never was one.
func (c *Controller) AbortRollout(now int64, id uint64, service string) Effects {
	return c.startRolloutCall(now, id, &rolloutCall{abortRollout, rollout.Order{Service: service}})
}

// ReadRollout answers the newest rollout of a service, as it stands on a majority of disks.
func (c *Controller) ReadRollout(now int64, id uint64, service string) Effects {
	return c.startRolloutCall(now, id, &rolloutCall{readRollout, rollout.Order{Service: service}})
}

// ListRollouts answers all rollouts that are kept.
func (c *Controller) ListRollouts(now int64, id uint64) Effects {
	return c.startRolloutCall(now, id, &rolloutCall{action: listRollouts})
}

func (c *Controller) startRolloutCall(now int64, id uint64, call *rolloutCall) Effects {
	c.now = now
	t := &pendingCall{id: id, deadline: now + answerTimeout, rollout: call}
	c.calls = append(c.calls, t)
	n, out := c.proposer.Edit(now, call.apply(func(v register.Value) bool { return c.serviceKnown(v, call.order.Service) }))
	t.editID = n
	c.handleProposer(out)
	return c.takeEffects()
}

// serviceKnown tells whether the configuration names a service or a replica of it is there.
func (c *Controller) serviceKnown(value register.Value, service string) bool {
	if len(c.replicas.ByService(service)) > 0 {
		return true
	}
	content, ok := clusterstate.Unpack(value.Body)
	if !ok {
		return false
	}
	named, err := routeconfig.DefinesService(content, service)
	return err == nil && named
}

// answerRollout tells an operator what became of a call, by the value that stands.
func (c *Controller) answerRollout(t *pendingCall, value register.Value) {
	service := t.rollout.order.Service
	newest, known := value.Rollouts.NewestOf(service)
	switch {
	case t.rollout.action == listRollouts:
		c.answerRollouts(t, value.Rollouts.Rollouts)
	case t.rollout.action != beginRollout && !known:
		c.answer(t, statusNotFound, nil, fmt.Sprintf("the service %q never had a rollout", service))
	case t.rollout.action != beginRollout || known && newest.Order == t.rollout.order:
		c.answerRollouts(t, []rollout.Rollout{newest})
	case known && newest.Phase == rollout.Active:
		c.answer(t, statusConflict, nil, fmt.Sprintf("a rollout of %q to %q is active", service, newest.Order.Target))
	case value.Revision == 0:
		c.answer(t, statusUnavailable, nil, "there is no configuration yet")
	case !c.serviceKnown(value, service):
		c.answer(t, statusUnprocessable, nil, fmt.Sprintf("no configuration names the service %q", service))
	default:
		c.answer(t, statusUnavailable, nil, "it is not known what became of the rollout")
	}
}

func (c *Controller) answerRollouts(t *pendingCall, all []rollout.Rollout) {
	c.effects.Answers = append(c.effects.Answers, Answer{Call: t.id, Status: statusOK, Rollouts: all})
	c.removeCall(t)
}

// applyRollouts takes in rollouts that are known to be committed.
func (c *Controller) applyRollouts(set rollout.Set) {
	if set.Version <= c.rollouts.set.Version {
		return
	}
	for _, r := range set.Rollouts {
		if r.Changed > c.rollouts.set.Version {
			c.log("a rollout stands", "number", r.Number, "service", r.Order.Service, "target", r.Order.Target, "step", r.Step, "phase", r.Phase.String(),
				"stage", r.StageName(), "elapsedMs", r.ElapsedMs, "reason", r.Reason)
		}
	}
	c.rollouts.set = set
	c.rollouts.manager.Apply(c.now, set)
	c.addUpdate(c.state.Apply(clusterstate.Update{Rollouts: set}))
}

// recordEvidence takes what an edge that follows here has seen, and keeps it for the holder of the duty.
func (c *Controller) recordEvidence(s EdgeReport) {
	if len(s.Rollouts) == 0 || s.Edge.IP == "" || len(c.rollouts.manager.Active()) == 0 {
		return
	}
	c.rollouts.manager.Report(c.now, s.Edge.IP, s.Rollouts)
	c.rollouts.pending[s.Edge.IP] = s.Rollouts
}

// handleEvidence takes what edges that follow another controller have seen.
func (c *Controller) handleEvidence(all []EdgeEvidence) {
	for _, e := range all {
		c.rollouts.manager.Report(c.now, e.IP, e.Rollouts)
	}
}

// tickRollouts passes evidence on, and takes the steps that are due where this controller holds the duty.
func (c *Controller) tickRollouts() {
	holder := c.firstLiveMember()
	if len(c.rollouts.pending) > 0 && c.now >= c.rollouts.evidenceAt {
		c.rollouts.evidenceAt = c.now + evidenceInterval
		c.sendEvidence(holder)
	}
	if holder != c.IP || !c.inContact || !c.disk.CaughtUp || c.shuttingDown {
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

func (c *Controller) sendEvidence(holder string) {
	if holder != "" && holder != c.IP {
		var batch []EdgeEvidence
		for ip, evidence := range c.rollouts.pending {
			batch = append(batch, EdgeEvidence{ip, evidence})
		}
		c.send(Message{Evidence: batch}, holder)
	}
	clear(c.rollouts.pending)
}

// rolloutFacts counts the replicas of services with an active rollout, and names the edges.
func (c *Controller) rolloutFacts() rollout.Facts {
	facts := rollout.Facts{Replicas: map[uint64]rollout.Replicas{}}
	warmAt := map[string]int64{}
	for _, r := range c.rollouts.manager.Active() {
		var count rollout.Replicas
		for _, replica := range c.replicas.ByService(r.Order.Service) {
			switch {
			case replica.Leaving():
				count.Leaving++
			case r.AllowsFallback(replica.Version): // also one that is silent for a while
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

// warmAt is when a replica is no longer slow from its start, reckoned from when it was first looked at here.
func (c *Controller) warmAt(r registry.Record) int64 {
	if at, known := c.rollouts.warmAt[r.ID]; known {
		return at
	}
	return c.now + r.WarmMs*ms
}

// Rollouts are those known to be committed.
func (c *Controller) Rollouts() rollout.Set { return c.rollouts.set }
