package controller

import (
	"slices"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// What replicas and operators are answered, and when.

// HandleReplicaCall takes a replica's heartbeat or departure. It is acknowledged at once; but that one leaves is on the disks
// of a majority first.
//
// This guards against a controller that is cut off, which would acknowledge what no edge ever hears of; against one
// that dies right after and would take the word with it, while edges go on sending to the replica; and against
// the death of all of them.
func (c *Controller) HandleReplicaCall(now int64, id uint64, r registry.Record) Effects {
	c.now = now
	if !c.InContact() || c.shuttingDown {
		c.effects.Answers = append(c.effects.Answers, Answer{Call: id, Status: statusUnavailable, Reason: "not in touch with most controllers"})
		return c.takeEffects()
	}
	c.applyRecord(r, true)
	if r.Phase == registry.Ready {
		c.effects.Answers = append(c.effects.Answers, Answer{Call: id, Status: statusOK, HeartbeatTarget: c.heartbeatTarget(r)})
		return c.takeEffects()
	}
	c.lastAckRequest++
	t := &pendingCall{id: id, deadline: now + answerTimeout, acks: map[string]struct{}{}, ackRequest: c.lastAckRequest, replicaID: r.ID}
	c.calls = append(c.calls, t)
	delete(c.recordBatch, r.ID)
	if known, ok := c.replicas.Get(r.ID); ok {
		r = known
	}
	c.send(Message{Records: []registry.Record{r}, AckRequest: c.lastAckRequest}, c.peerIPs()...)
	c.answerDepartures()
	return c.takeEffects()
}

// applyRecord takes records in; those that are news go on to the other controllers in the next batch.
func (c *Controller) applyRecord(r registry.Record, pass bool) {
	if news, changed := c.replicas.Merge(c.now, r); news {
		c.recordChanged(r, pass, changed)
	}
}

// recordChanged does what follows from a record that is news. changed tells whether edges need to hear of it.
func (c *Controller) recordChanged(r registry.Record, pass, changed bool) {
	r, _ = c.replicas.Get(r.ID)
	if pass {
		c.recordLocalHeartbeat(r)
	}
	if pass && (changed || c.now-c.relayedAt[r.ID] > (2*heartbeatsPerRelay-1)*c.ReplicaHeartbeatInterval/2) {
		c.relayedAt[r.ID] = c.now
		p := r
		if _, waits := c.recordBatch[r.ID]; !changed && !waits && r.Phase == registry.Ready {
			p = registry.Record{ID: r.ID, Seq: r.Seq} // says what it said before
		}
		c.recordBatch[r.ID], c.batchUrgent = p, c.batchUrgent || changed
	}
	if r.Phase == registry.Gone {
		delete(c.relayedAt, r.ID)
	}
	if changed {
		c.replicasDirty = true
		c.departures.recordChanged(r)
		if r.Leaving() {
			c.log("a replica leaves", "replica", r.ID, "service", r.Service, "phase", r.Phase.String(), "told here", pass)
		}
		c.addUpdate(c.state.Apply(clusterstate.Update{Replicas: []registry.Record{r}}))
	}
}

// handleAck takes in that another controller has on disk what was asked under this number.
func (c *Controller) handleAck(from string, asked uint64) {
	if asked == 0 {
		return
	}
	for _, t := range slices.Clone(c.calls) {
		if t.ackRequest == asked {
			t.acks[from] = struct{}{}
			c.answerIfAcked(t)
		}
	}
}

// answerIfAcked answers a call once a majority has it on disk.
func (c *Controller) answerIfAcked(t *pendingCall) {
	n := 0
	for _, m := range c.members() {
		if _, ok := t.acks[m]; ok {
			n++
		}
	}
	if 2*n > len(c.members()) {
		c.answer(t, statusOK, nil, "")
	}
}

func (c *Controller) answer(t *pendingCall, status int, body []byte, reason string) {
	c.effects.Answers = append(c.effects.Answers, Answer{Call: t.id, Status: status, Body: body, Reason: reason})
	c.removeCall(t)
}

func (c *Controller) removeCall(t *pendingCall) {
	c.calls = slices.DeleteFunc(c.calls, func(o *pendingCall) bool { return o == t })
}

// PutConfiguration takes an order of an operator: a configuration that was read and found valid, its content packed by
// clusterstate.Pack. The answer follows the order's Verdict: 200 where the configuration is in force or was
// overtaken, 409 where another content was confirmed under its revision, 503 where no majority answered in time.
func (c *Controller) PutConfiguration(now int64, id, revision uint64, packed []byte) Effects {
	c.now = now
	t := &pendingCall{id: id, deadline: now + answerTimeout, order: newOrder(revision, packed)}
	c.calls = append(c.calls, t)
	n, out := c.proposer.Edit(now, t.order.apply)
	t.editID = n
	c.handleProposer(out)
	return c.takeEffects()
}

// ReadConfiguration asks for the newest configuration.
func (c *Controller) ReadConfiguration(now int64, id uint64) Effects {
	c.now = now
	t := &pendingCall{id: id, deadline: now + answerTimeout, read: true}
	c.calls = append(c.calls, t)
	n, out := c.proposer.Edit(now, readOnlyEdit)
	t.editID = n
	c.handleProposer(out)
	return c.takeEffects()
}

func readOnlyEdit(v register.Value) (register.Value, bool) { return v, false }

// answerEdit answers the caller whose edit is done.
func (c *Controller) answerEdit(d register.EditResult) {
	for _, t := range slices.Clone(c.calls) {
		if t.editID != d.ID || t.editID == 0 {
			continue
		}
		switch {
		case t.order != nil:
			c.answerOrder(t, d.Value)
		case t.rollout != nil:
			c.answerRollout(t, d.Value)
		case d.Value.Revision == 0:
			c.answer(t, statusNotFound, nil, "there is no configuration yet")
		default:
			c.answer(t, statusOK, d.Value.Body, "")
		}
	}
}
