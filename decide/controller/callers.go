package controller

import (
	"slices"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// This file handles the calls of replicas and operators.

// HandleReplicaCall handles a replica's heartbeat or departure. A heartbeat is acknowledged at once, a departure only
// once it is on the disks of a majority of the members.
//
// A controller out of contact with the majority rejects both, because no edge would learn of them. The majority on disk
// guards against a departure that is acknowledged and then lost, with the controller that acknowledged it or in a loss
// of power everywhere: edges would go on sending requests to a replica that has ended.
func (c *Controller) HandleReplicaCall(now int64, id uint64, r registry.Record) Effects {
	c.now = now
	if !c.InContact() || c.shuttingDown {
		c.effects.Answers = append(c.effects.Answers, Answer{Call: id, Status: statusUnavailable, Reason: c.unavailableReason("not in touch with most controllers")})
		return c.takeEffects()
	}
	c.applyRecord(r, true)
	if r.Phase == registry.Ready {
		c.effects.Answers = append(c.effects.Answers, Answer{Call: id, Status: statusOK, HeartbeatTarget: c.heartbeatTarget(r)})
		return c.takeEffects()
	}
	c.lastAckRequest++
	call := &pendingCall{id: id, deadline: now + answerTimeout, acks: map[string]struct{}{}, ackRequest: c.lastAckRequest, replicaID: r.ID}
	c.calls = append(c.calls, call)
	delete(c.recordBatch, r.ID)
	if known, ok := c.replicas.Get(r.ID); ok {
		r = known
	}
	c.send(Message{Records: []registry.Record{r}, AckRequest: c.lastAckRequest}, c.peerIPs()...)
	c.answerDepartures()
	return c.takeEffects()
}

// applyRecord merges a record into the list of replicas. local is true for a record that came from the replica itself;
// one that is newer than the known record then goes to the other controllers with the next batch.
func (c *Controller) applyRecord(r registry.Record, local bool) {
	if newer, changed := c.replicas.Merge(c.now, r); newer {
		c.recordChanged(r, local, changed)
	}
}

// recordChanged handles a record that was newer than the known one. local is true if it came from the replica itself;
// changed is true if it differs in a field that edges need, not just in its sequence number.
func (c *Controller) recordChanged(r registry.Record, local, changed bool) {
	r, _ = c.replicas.Get(r.ID)
	if local {
		c.recordLocalHeartbeat(r)
	}
	if local && (changed || c.now-c.relayedAt[r.ID] > (2*heartbeatsPerRelay-1)*c.ReplicaHeartbeatInterval/2) {
		c.relayedAt[r.ID] = c.now
		batched := r
		if _, isBatched := c.recordBatch[r.ID]; !changed && !isBatched && r.Phase == registry.Ready {
			batched = registry.Record{ID: r.ID, Seq: r.Seq} // a heartbeat without changes needs no other fields
		}
		c.recordBatch[r.ID], c.batchUrgent = batched, c.batchUrgent || changed
	}
	if r.Phase == registry.Gone {
		delete(c.relayedAt, r.ID)
	}
	if changed {
		c.replicasDirty = true
		c.departures.recordChanged(r)
		if r.Leaving() {
			c.log("replica is leaving", "replica", r.ID, "service", r.Service, "phase", r.Phase.String(), "told here", local)
		}
		c.addUpdate(c.state.Apply(clusterstate.Update{Replicas: []registry.Record{r}}))
	}
}

// handleAck records that another controller has on disk the departure that was sent to it with this AckRequest.
func (c *Controller) handleAck(from string, ackRequest uint64) {
	if ackRequest == 0 {
		return
	}
	for _, call := range slices.Clone(c.calls) {
		if call.ackRequest == ackRequest {
			call.acks[from] = struct{}{}
			c.answerIfAcked(call)
		}
	}
}

// answerIfAcked answers a departure once a majority of the members has it on disk.
func (c *Controller) answerIfAcked(call *pendingCall) {
	n := 0
	for _, m := range c.members() {
		if _, ok := call.acks[m]; ok {
			n++
		}
	}
	if 2*n > len(c.members()) {
		c.answer(call, statusOK, nil, "")
	}
}

// answer queues the answer to a pending call and removes the call.
func (c *Controller) answer(call *pendingCall, status int, body []byte, reason string) {
	c.effects.Answers = append(c.effects.Answers, Answer{Call: call.id, Status: status, Body: body, Reason: reason})
	c.removeCall(call)
}

func (c *Controller) removeCall(call *pendingCall) {
	c.calls = slices.DeleteFunc(c.calls, func(o *pendingCall) bool { return o == call })
}

// PutConfiguration stores an operator's configuration, which the caller has parsed, validated and packed with
// clusterstate.Pack. The answer is 200 if the configuration is in force or a higher revision superseded it, 409 if
// other content was confirmed under its revision, and 503 if no majority answered in time.
func (c *Controller) PutConfiguration(now int64, id, revision uint64, packed []byte) Effects {
	c.now = now
	call := &pendingCall{id: id, deadline: now + answerTimeout, order: newOrder(revision, packed)}
	c.calls = append(c.calls, call)
	n, out := c.proposer.Edit(now, call.order.apply)
	call.editID = n
	c.handleProposer(out)
	return c.takeEffects()
}

// ReadConfiguration answers with the newest configuration on a majority of disks: 200, 404 if there is none yet, 503 if
// no majority answered in time.
func (c *Controller) ReadConfiguration(now int64, id uint64) Effects {
	c.now = now
	call := &pendingCall{id: id, deadline: now + answerTimeout, read: true}
	c.calls = append(c.calls, call)
	n, out := c.proposer.Edit(now, readOnlyEdit)
	call.editID = n
	c.handleProposer(out)
	return c.takeEffects()
}

// readOnlyEdit changes nothing. A round with it reads the committed value, or commits a value that is only accepted.
func readOnlyEdit(v register.Value) (register.Value, bool) { return v, false }

// answerEdit answers the calls that wait for this edit of the register.
func (c *Controller) answerEdit(d register.EditResult) {
	for _, call := range slices.Clone(c.calls) {
		if call.editID != d.ID || call.editID == 0 {
			continue
		}
		switch {
		case call.order != nil:
			c.answerOrder(call, d.Value)
		case call.rollout != nil:
			c.answerRollout(call, d.Value)
		case d.Value.Revision == 0:
			c.answer(call, statusNotFound, nil, "there is no configuration yet")
		default:
			c.answer(call, statusOK, d.Value.Body, "")
		}
	}
}
