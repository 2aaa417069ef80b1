package controller

import (
	"bytes"
	"slices"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
)

// This file has this controller's part of the register: its acceptor, whose state is on disk, its proposer, and the
// committed value.

// stepDisk passes a register request to this controller's acceptor. The answer is sent at once if the acceptor's state
// is on disk already, or else after the save that covers it.
func (c *Controller) stepDisk(from string, m register.Message) {
	if m.Kind != register.Query {
		c.proposer.ObserveBallot(m.Ballot)
	}
	if c.joiner != nil && c.answerJoiner(from, m) {
		return
	}
	answer, save, ok := c.disk.Step(m)
	if !ok {
		return
	}
	c.dirty = c.dirty || save
	c.lease.RecordAccepted(c.now, c.disk.Accepted)
	c.proposer.CacheState(c.disk.State)
	c.answerWhenSaved(from, answer)
}

// answerWhenSaved sends an answer once what is on disk covers it.
func (c *Controller) answerWhenSaved(from string, answer register.Message) {
	// Danger: a promise or an acceptance that is sent before it is on disk is forgotten in a loss of power, though the
	// proposer has counted it.
	after := uint64(0)
	switch {
	case c.dirty:
		after = c.lastSave + 1
	case c.saving > 0:
		after = c.saving
	}
	if after == 0 {
		c.sendDiskAnswer(from, answer)
		return
	}
	c.pendingReplies = append(c.pendingReplies, pendingReply{from, answer, after})
}

// SaveFinished reports the end of the save with this number, with the error if it failed. Answers that waited for the
// save are sent; after a failure they wait for the next one.
func (c *Controller) SaveFinished(now int64, number uint64, err error) Effects {
	c.now = now
	if number == c.saving {
		c.saving = 0
	}
	c.replicasSaveFinished(err == nil)
	if err != nil {
		c.dirty, c.saveRetryAt = true, now+saveRetryDelay
		// Answers that waited for this save now wait for the next one, which includes the same state.
		for i := range c.pendingReplies {
			c.pendingReplies[i].coveringSave = max(c.pendingReplies[i].coveringSave, c.lastSave+1)
		}
		c.log("save failed", "err", err.Error())
		return c.takeEffects()
	}
	ready := []pendingReply{}
	c.pendingReplies = slices.DeleteFunc(c.pendingReplies, func(r pendingReply) bool {
		if r.coveringSave <= number {
			ready = append(ready, r)
			return true
		}
		return false
	})
	for _, r := range ready {
		c.sendDiskAnswer(r.to, r.answer)
	}
	return c.takeEffects()
}

// sendDiskAnswer sends an answer of the acceptor to another controller, or passes it to this one's own proposer.
func (c *Controller) sendDiskAnswer(to string, m register.Message) {
	if to != c.IP {
		c.send(Message{Register: &m}, to)
		return
	}
	c.handleProposer(c.proposer.Step(c.now, c.IP, m))
}

// handleProposer carries out the effects of a step of the proposer: it applies and announces committed values, answers
// the calls whose edits are done, and sends the requests of the round.
func (c *Controller) handleProposer(o register.Out) {
	for _, d := range o.Done {
		c.applyCommitted(d.Value, d.Ballot)
		c.answerEdit(d)
	}
	if n := len(o.Done); n > 0 { // all edits in Done ended in the same round
		c.send(Message{CommittedBallot: o.Done[n-1].Ballot}, c.peerIPs()...)
	}
	if len(o.To) > 0 {
		m := o.Send
		c.send(Message{Register: &m}, o.To...)
		if slices.Contains(o.To, c.IP) {
			c.stepDisk(c.IP, m)
		}
	}
}

// committedSaveDue reports whether a save is due only to record which configuration and rollouts are committed. Such a
// save leaves out the list of replicas, which may be megabytes long and has not changed.
func (c *Controller) committedSaveDue() bool { return c.committedUnsaved && c.now >= c.committedSaveAt }

// applyCommitted applies a value that is known to be committed under this ballot. A value that is not newer in epoch,
// revision or rollouts is ignored, except for the end of a change of members.
func (c *Controller) applyCommitted(v register.Value, ballot register.Ballot) {
	c.lease.RecordCommitted(ballot)
	newer := v.Epoch > c.committed.Epoch || v.Revision > c.committed.Revision || v.Rollouts.Version > c.committed.Rollouts.Version ||
		v.Epoch == c.committed.Epoch && v.Revision == c.committed.Revision && len(v.Prior) < len(c.committed.Prior) ||
		len(c.committed.Members) == 0
	if !newer || v.Epoch < c.committed.Epoch || v.Revision < c.committed.Revision || v.Rollouts.Version < c.committed.Rollouts.Version {
		return
	}
	if !slices.Equal(v.Members, c.committed.Members) {
		c.log("members", "epoch", v.Epoch, "members", v.Members)
	}
	if v.Revision > c.committed.Revision {
		c.committedConfiguration = ConfigurationOf(v)
		c.committedUnsaved = true
		c.log("configuration committed", "revision", v.Revision, "sum", c.committedConfiguration.Sum, "bytes", len(v.Body))
	}
	if v.Rollouts.Version > c.committed.Rollouts.Version {
		c.committedUnsaved = true
	}
	c.committed = v
	c.proposer.Learn(v)
	for _, m := range v.Members {
		c.addPeer(m)
	}
	c.addUpdate(c.state.Apply(clusterstate.Update{Revision: v.Revision, Body: v.Body}))
	c.applyRollouts(v.Rollouts)
	c.updateFleet()
}

// addUpdate merges an update into the one that goes to the edges at the end of this call.
func (c *Controller) addUpdate(update clusterstate.Update) {
	if update.Revision > 0 {
		merged := &c.effects.Update
		if merged.Revision > 0 { // a patch needs a base that the edges have; they get the full configuration instead
			update.Body, update.Base, update.Patch = c.state.Snapshot().Body, 0, nil
		}
		merged.Revision, merged.Body, merged.Base, merged.Patch, merged.Raw, merged.Sum =
			update.Revision, update.Body, update.Base, update.Patch, update.Raw, update.Sum
	}
	if !update.Rollouts.IsZero() {
		c.effects.Update.Rollouts = update.Rollouts
	}
	c.effects.Update.Replicas = append(c.effects.Update.Replicas, update.Replicas...)
	if merged := &c.effects.Update; !update.Fleet.Empty() {
		if !merged.Fleet.Empty() { // a difference needs a base that the edges have; they get the full list instead
			update.Change = nil
		}
		merged.Fleet, merged.Change = update.Fleet, update.Change
	}
}

// Snapshot returns the state that an edge is sent when it connects: the replicas are those of services that the
// configuration uses.
func (c *Controller) Snapshot() clusterstate.Update { return c.selection.Snapshot(c.state) }

// FullSnapshot returns the state with all replicas, for operators who watch.
func (c *Controller) FullSnapshot() clusterstate.Update { return c.state.Snapshot() }

// IsCommitted reports whether the committed configuration has this revision and this packed body.
func (c *Controller) IsCommitted(revision uint64, body []byte) bool {
	return c.committed.Revision == revision && bytes.Equal(c.committed.Body, body)
}
