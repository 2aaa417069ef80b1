package controller

import (
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// What becomes of a message of another controller, part by part.

// HandleMessage takes a message of another controller.
func (c *Controller) HandleMessage(now int64, w Message) Effects {
	c.now = now
	p := c.addPeer(w.From)
	if p == nil {
		return c.takeEffects()
	}
	c.recordPeerHeard(p, w.From)
	if w.Heartbeat != nil {
		c.handleHeartbeat(p, w)
	}
	if w.Register != nil {
		c.handleRegister(w.From, *w.Register)
	}
	c.handleRecords(w)
	c.handleCommitted(w)
	c.handleAck(w.From, w.Ack)
	if w.FullGroup.Whole {
		c.handleGroup(w.From, p, w.FullGroup)
	}
	c.handleEvidence(w.Evidence)
	c.answerRequests(w)
	return c.takeEffects()
}

// recordPeerHeard notes that another controller was heard now.
func (c *Controller) recordPeerHeard(p *peer, from string) {
	if p.lastHeard == 0 {
		// A drain that was acknowledged may have missed this controller's disk. Each of the others is asked once in a
		// life, not just the first: a majority of them has it.
		c.send(Message{WantAll: true}, from)
	}
	if p.lastHeard == 0 || c.now-p.lastHeard > silentMemberTimeout {
		p.heardSince = c.now
		c.heartbeatAt = c.now // so that it can answer one soon: a newcomer counts once it has
	}
	p.lastHeard = c.now
}

// handleRegister takes what another controller's register asks or answers.
func (c *Controller) handleRegister(from string, m register.Message) {
	switch m.Kind {
	case register.Prepare, register.Accept, register.Query:
		c.stepDisk(from, m)
	default:
		if c.joiner != nil && !c.disk.CaughtUp {
			c.handleJoinAnswer(from, m)
		}
		c.handleProposer(c.proposer.Step(c.now, from, m))
	}
}

// handleRecords takes what another controller knows of replicas.
func (c *Controller) handleRecords(w Message) {
	for _, r := range w.Records {
		c.applyRecord(r, false)
	}
	for _, r := range w.LeavingRecords {
		c.applyLeaving(r)
	}
	for _, b := range w.ReplicaHeartbeats {
		r, known := c.replicas.Get(b.ID)
		if !known || r.Phase > registry.Ready {
			c.requestAll(w.From)
			continue
		}
		r.Seq = max(r.Seq, b.Seq)
		c.applyRecord(r, false)
	}
	if w.AckRequest > 0 {
		c.acknowledgeWhenSaved(w.From, w.AckRequest, w.Records)
	}
}

// handleCommitted takes what another controller knows to be committed.
func (c *Controller) handleCommitted(w Message) {
	if w.CommittedBallot.Number > 0 && w.CommittedBallot == c.disk.Accepted {
		c.applyCommitted(c.disk.Value, w.CommittedBallot)
	} else if w.CommittedBallot.Number > 0 && w.CommittedBallot.Compare(c.disk.Accepted) > 0 {
		c.requestAll(w.From)
	}
	if w.CommittedValue != nil {
		c.applyCommitted(*w.CommittedValue, w.CommittedValueBallot)
	}
}

// answerRequests sends another controller what it wants to know.
func (c *Controller) answerRequests(w Message) {
	if w.WantGroup {
		c.send(Message{FullGroup: c.localGroup.Whole()}, w.From)
	}
	if len(w.WantReplicas) > 0 {
		c.send(Message{Records: c.recordsOf(w.WantReplicas)}, w.From)
	}
	if w.WantLeaving != nil {
		c.sendLeaving(w.From, *w.WantLeaving)
	}
	if !w.WantAll {
		return
	}
	answer := Message{Records: c.replicas.All()}
	if len(c.committed.Members) > 0 {
		v := c.committed
		answer.CommittedValue, answer.CommittedValueBallot = &v, c.lease.Committed()
	}
	c.send(answer, w.From)
}

// requestAll asks one controller for all that it knows, now and then.
//
// Danger: one that is behind hears of it from all the others at once, and each would send it the whole
// configuration.
func (c *Controller) requestAll(from string) {
	if c.now >= c.allRequestAt {
		c.allRequestAt = c.now + requestInterval
		c.send(Message{WantAll: true}, from)
	}
}
