package controller

import (
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// This file handles the messages of other controllers, part by part.

// HandleMessage handles a message of another controller. A message without a sender is ignored.
func (c *Controller) HandleMessage(now int64, message Message) Effects {
	c.now = now
	p := c.addPeer(message.From)
	if p == nil {
		return c.takeEffects()
	}
	c.recordPeerHeard(p, message.From)
	if message.Heartbeat != nil {
		c.handleHeartbeat(p, message)
	}
	if message.Register != nil {
		c.handleRegister(message.From, *message.Register)
	}
	c.handleRecords(message)
	c.handleCommitted(message)
	c.handleAck(message.From, message.Ack)
	if message.FullGroup.Whole {
		c.handleGroup(message.From, p, message.FullGroup)
	}
	c.handleEvidence(message.Evidence)
	c.answerRequests(message)
	return c.takeEffects()
}

// recordPeerHeard records that a message of another controller has arrived. The first message of each controller is
// answered with a request for all that it holds.
func (c *Controller) recordPeerHeard(p *peer, from string) {
	if p.lastHeard == 0 {
		// This controller's disk may lack a departure that was acknowledged. Every other controller is asked once, not
		// only the first to be heard, because only a majority of them is sure to include one that has it.
		c.send(Message{WantAll: true}, from)
	}
	if p.lastHeard == 0 || c.now-p.lastHeard > silentMemberTimeout {
		p.heardSince = c.now
		c.heartbeatAt = c.now // the peer becomes live once it has answered a heartbeat, so send one soon
	}
	p.lastHeard = c.now
}

// handleRegister passes requests to this controller's acceptor, and answers to its joiner and its proposer.
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

// handleRecords merges the records and heartbeats of replicas in a message, and acknowledges them if asked to.
func (c *Controller) handleRecords(message Message) {
	for _, r := range message.Records {
		c.applyRecord(r, false)
	}
	for _, r := range message.LeavingRecords {
		c.applyLeaving(r)
	}
	for _, b := range message.ReplicaHeartbeats {
		r, known := c.replicas.Get(b.ID)
		if !known || r.Phase > registry.Ready {
			c.requestAll(message.From)
			continue
		}
		r.Seq = max(r.Seq, b.Seq)
		c.applyRecord(r, false)
	}
	if message.AckRequest > 0 {
		c.acknowledgeWhenSaved(message.From, message.AckRequest, message.Records)
	}
}

// handleCommitted applies what another controller knows to be committed: a whole value, or the ballot of one, whose
// value this controller has if its own disk accepted it. For a newer ballot the value is requested.
func (c *Controller) handleCommitted(message Message) {
	if message.CommittedBallot.Number > 0 && message.CommittedBallot == c.disk.Accepted {
		c.applyCommitted(c.disk.Value, message.CommittedBallot)
	} else if message.CommittedBallot.Number > 0 && message.CommittedBallot.Compare(c.disk.Accepted) > 0 {
		c.requestAll(message.From)
	}
	if message.CommittedValue != nil {
		c.applyCommitted(*message.CommittedValue, message.CommittedValueBallot)
	}
}

// answerRequests sends another controller what its message requests.
func (c *Controller) answerRequests(message Message) {
	if message.WantGroup {
		c.send(Message{FullGroup: c.localGroup.Whole()}, message.From)
	}
	if len(message.WantReplicas) > 0 {
		c.send(Message{Records: c.recordsOf(message.WantReplicas)}, message.From)
	}
	if message.WantLeaving != nil {
		c.sendLeaving(message.From, *message.WantLeaving)
	}
	if !message.WantAll {
		return
	}
	answer := Message{Records: c.replicas.All()}
	if len(c.committed.Members) > 0 {
		v := c.committed
		answer.CommittedValue, answer.CommittedValueBallot = &v, c.lease.Committed()
	}
	c.send(answer, message.From)
}

// requestAll requests all records and the committed value from one controller, at most once every requestInterval.
//
// Danger: a controller that is behind learns so from all the others at once. Without the limit each of them would send
// it the whole configuration.
func (c *Controller) requestAll(from string) {
	if c.now >= c.allRequestAt {
		c.allRequestAt = c.now + requestInterval
		c.send(Message{WantAll: true}, from)
	}
}
