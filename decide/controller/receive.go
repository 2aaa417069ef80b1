package controller

import (
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// What becomes of a message of another controller, part by part.

// Take takes a message of another controller.
func (c *Controller) Take(now int64, w Message) Out {
	c.now = now
	p := c.meet(w.From)
	if p == nil {
		return c.done()
	}
	c.noteHeard(p, w.From)
	if w.Heartbeat != nil {
		c.heartbeat(p, w)
	}
	if w.Register != nil {
		c.takeRegister(w.From, *w.Register)
	}
	c.takeReplicas(w)
	c.takeCommitted(w)
	c.takeAck(w.From, w.Ack)
	if w.Group.Whole {
		c.takeGroup(w.From, p, w.Group)
	}
	c.takeEvidence(w.Evidence)
	c.answerQuestions(w)
	return c.done()
}

// noteHeard notes that another controller was heard now.
func (c *Controller) noteHeard(p *peer, from string) {
	if p.heard == 0 {
		// A drain that was acknowledged may have missed this controller's disk. Each of the others is asked once in a
		// life, not just the first: a majority of them has it.
		c.send(Message{Want: true}, from)
	}
	if p.heard == 0 || c.now-p.heard > silentMember {
		p.first = c.now
		c.heartbeatAt = c.now // so that it can answer one soon: a newcomer counts once it has
	}
	p.heard = c.now
}

// takeRegister takes what another controller's register asks or answers.
func (c *Controller) takeRegister(from string, m register.Message) {
	switch m.Kind {
	case register.Prepare, register.Accept, register.Query:
		c.ask(from, m)
	default:
		if c.joiner != nil && !c.disk.CaughtUp {
			c.joined(from, m)
		}
		c.carry(c.proposer.Step(c.now, from, m))
	}
}

// takeReplicas takes what another controller knows of replicas.
func (c *Controller) takeReplicas(w Message) {
	for _, r := range w.Records {
		c.take(r, false)
	}
	for _, r := range w.Leaving {
		c.takeLeaving(r)
	}
	for _, b := range w.Beats {
		r, known := c.list.Get(b.ID)
		if !known || r.Phase > registry.Ready {
			c.want(w.From)
			continue
		}
		r.Seq = max(r.Seq, b.Seq)
		c.take(r, false)
	}
	if w.Ask > 0 {
		c.acknowledge(w.From, w.Ask, w.Records)
	}
}

// takeCommitted takes what another controller knows to be committed.
func (c *Controller) takeCommitted(w Message) {
	if w.CommittedBallot.N > 0 && w.CommittedBallot == c.disk.Accepted {
		c.commit(c.disk.Value, w.CommittedBallot)
	} else if w.CommittedBallot.N > 0 && w.CommittedBallot.Compare(c.disk.Accepted) > 0 {
		c.want(w.From)
	}
	if w.Committed != nil {
		c.commit(*w.Committed, w.CommittedAt)
	}
}

// answerQuestions sends another controller what it wants to know.
func (c *Controller) answerQuestions(w Message) {
	if w.WantGroup {
		c.send(Message{Group: c.group.All()}, w.From)
	}
	if len(w.WantReplicas) > 0 {
		c.send(Message{Records: c.records(w.WantReplicas)}, w.From)
	}
	if w.WantLeaving != nil {
		c.tellLeaving(w.From, *w.WantLeaving)
	}
	if !w.Want {
		return
	}
	answer := Message{Records: c.list.All()}
	if len(c.committed.Members) > 0 {
		v := c.committed
		answer.Committed, answer.CommittedAt = &v, c.lease.Committed()
	}
	c.send(answer, w.From)
}

// want asks one controller for all that it knows, now and then.
//
// Danger: one that is behind hears of it from all the others at once, and each would send it the whole
// configuration.
func (c *Controller) want(from string) {
	if c.now >= c.wantAt {
		c.wantAt = c.now + wantEvery
		c.send(Message{Want: true}, from)
	}
}
