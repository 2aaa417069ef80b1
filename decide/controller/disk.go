package controller

import (
	"bytes"
	"slices"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
)

// This controller's part of the register: its disk, its rounds, and what stands.

// stepDisk puts a question to this controller's own disk.
func (c *Controller) stepDisk(from string, m register.Message) {
	if m.Kind != register.Query {
		c.proposer.ObserveBallot(m.Ballot)
	}
	answer, save, ok := c.disk.Step(m)
	if !ok {
		return
	}
	c.dirty = c.dirty || save
	c.lease.RecordAccepted(c.now, c.disk.Accepted)
	c.proposer.CacheState(c.disk.State)
	// Danger: an answer that leaves before what it tells is on disk would be forgotten with the power.
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

// SaveFinished tells that a save has ended.
func (c *Controller) SaveFinished(now int64, number uint64, err error) Effects {
	c.now = now
	if number == c.saving {
		c.saving = 0
	}
	c.replicasSaveFinished(err == nil)
	if err != nil {
		c.dirty, c.saveRetryAt = true, now+saveRetryDelay
		// What waited for this save waits for the next, which covers it as well.
		for i := range c.pendingReplies {
			c.pendingReplies[i].coveringSave = max(c.pendingReplies[i].coveringSave, c.lastSave+1)
		}
		c.log("a save failed", "err", err.Error())
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

// sendDiskAnswer lets a disk's answer leave, to another controller or to this one's own proposer.
func (c *Controller) sendDiskAnswer(to string, m register.Message) {
	if to != c.IP {
		c.send(Message{Register: &m}, to)
		return
	}
	c.handleProposer(c.proposer.Step(c.now, c.IP, m))
}

// handleProposer does what the proposer asks for.
func (c *Controller) handleProposer(o register.Out) {
	for _, d := range o.Done {
		c.applyCommitted(d.Value, d.Ballot)
		c.answerEdit(d)
	}
	if n := len(o.Done); n > 0 { // all of one round
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

// committedSaveDue tells whether the configuration known to be committed is to be saved though nothing else is. The list of replicas
// stays out of such a save: it may be megabytes, and a change of the configuration does not touch it.
func (c *Controller) committedSaveDue() bool { return c.committedUnsaved && c.now >= c.committedSaveAt }

// applyCommitted takes in a value that is known to be committed, and the ballot under which it is.
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
		c.committedUnsaved = true // that it is committed goes to disk with the next save
		c.log("configuration stands", "revision", v.Revision, "sum", c.committedConfiguration.Sum, "bytes", len(v.Body))
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

// handleJoinAnswer takes what the others promise an empty disk.
func (c *Controller) handleJoinAnswer(from string, m register.Message) {
	asked := c.joiner.Request().Ballot
	state, ok := c.joiner.HandleAnswer(from, m)
	if !ok {
		if c.joiner.Request().Ballot != asked {
			c.joinAt = c.now // refused: asked again at once under the next ballot
		}
		return
	}
	c.disk = register.Acceptor{State: state, CaughtUp: true}
	c.dirty, c.joiner = true, nil
	c.lease.RecordAccepted(c.now, state.Accepted)
	c.proposer.Learn(state.Value)
	c.proposer.ObserveBallot(state.Promised)
	// The members hear at once of a machine that can count now: it may know only the seeds so far, and the one
	// that changes the members would hear of it seconds later.
	for _, m := range state.Value.AllMembers() {
		c.addPeer(m)
	}
	c.heartbeatAt = c.now
	c.log("the disk is whole again", "epoch", state.Value.Epoch, "revision", state.Value.Revision)
}

// addUpdate adds to what goes to those who follow.
func (c *Controller) addUpdate(n clusterstate.Update) {
	if n.Revision > 0 {
		o := &c.effects.Update
		if o.Revision > 0 { // a patch of what was not told yet is none
			n.Body, n.Base, n.Patch = c.state.Snapshot().Body, 0, nil
		}
		o.Revision, o.Body, o.Base, o.Patch, o.Raw, o.Sum = n.Revision, n.Body, n.Base, n.Patch, n.Raw, n.Sum
	}
	if !n.Rollouts.IsZero() {
		c.effects.Update.Rollouts = n.Rollouts
	}
	c.effects.Update.Replicas = append(c.effects.Update.Replicas, n.Replicas...)
	if o := &c.effects.Update; !n.Fleet.Empty() {
		if !o.Fleet.Empty() { // a difference to what was not told yet is none
			n.Change = nil
		}
		o.Fleet, o.Change = n.Fleet, n.Change
	}
}

// Snapshot is what one who begins to follow is told.
func (c *Controller) Snapshot() clusterstate.Update { return c.selection.Snapshot(c.state) }

// FullSnapshot is the same with all replicas, for operators who watch.
func (c *Controller) FullSnapshot() clusterstate.Update { return c.state.Snapshot() }

// IsCommitted tells whether the configuration that stands is the very one given.
func (c *Controller) IsCommitted(revision uint64, body []byte) bool {
	return c.committed.Revision == revision && bytes.Equal(c.committed.Body, body)
}
