package controller

import (
	"slices"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// What replicas and operators are answered, and when.

// Beat takes a replica's heartbeat or departure. It is acknowledged at once; but that one leaves is on the disks
// of a majority first.
//
// This guards against a controller that is cut off, which would acknowledge what no edge ever hears of; against one
// that dies right after and would take the word with it, while edges go on sending to the replica; and against
// the death of all of them.
func (c *Controller) Beat(now int64, id uint64, r registry.Record) Out {
	c.now = now
	if !c.InContact() || c.leaving {
		c.out.Answers = append(c.out.Answers, Answer{Call: id, Status: statusUnavailable, Reason: "not in touch with most controllers"})
		return c.done()
	}
	c.take(r, true)
	if r.Phase == registry.Ready {
		c.out.Answers = append(c.out.Answers, Answer{Call: id, Status: statusOK, HeartbeatTarget: c.heartbeatTarget(r)})
		return c.done()
	}
	c.asks++
	t := &pendingCall{id: id, until: now + answerWithin, acks: map[string]struct{}{}, asked: c.asks, replica: r.ID}
	c.calls = append(c.calls, t)
	delete(c.pass, r.ID)
	if known, ok := c.list.Get(r.ID); ok {
		r = known
	}
	c.send(Message{Records: []registry.Record{r}, Ask: c.asks}, c.all()...)
	c.answerLeavers()
	return c.done()
}

// take takes records in; those that are news go on to the other controllers in the next batch.
func (c *Controller) take(r registry.Record, pass bool) {
	if news, changed := c.list.Take(c.now, r); news {
		c.taken(r, pass, changed)
	}
}

// taken does what follows from a record that is news. changed tells whether edges need to hear of it.
func (c *Controller) taken(r registry.Record, pass, changed bool) {
	r, _ = c.list.Get(r.ID)
	if pass {
		c.heardHere(r)
	}
	if pass && (changed || c.now-c.passed[r.ID] > (2*beatsPassed-1)*c.BeatEvery/2) {
		c.passed[r.ID] = c.now
		p := r
		if _, waits := c.pass[r.ID]; !changed && !waits && r.Phase == registry.Ready {
			p = registry.Record{ID: r.ID, Seq: r.Seq} // says what it said before
		}
		c.pass[r.ID], c.urgent = p, c.urgent || changed
	}
	if r.Phase == registry.Gone {
		delete(c.passed, r.ID)
	}
	if changed {
		c.listDirty = true
		c.leavers.note(r)
		if r.Leaving() {
			c.log("a replica leaves", "replica", r.ID, "service", r.Service, "phase", r.Phase.String(), "told here", pass)
		}
		c.tell(c.state.Take(clusterstate.Update{Replicas: []registry.Record{r}}))
	}
}

// takeAck takes in that another controller has on disk what was asked under this number.
func (c *Controller) takeAck(from string, asked uint64) {
	if asked == 0 {
		return
	}
	for _, t := range slices.Clone(c.calls) {
		if t.asked == asked {
			t.acks[from] = struct{}{}
			c.acked(t)
		}
	}
}

// acked answers a call once a majority has it on disk.
func (c *Controller) acked(t *pendingCall) {
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
	c.out.Answers = append(c.out.Answers, Answer{Call: t.id, Status: status, Body: body, Reason: reason})
	c.forgetCall(t)
}

func (c *Controller) forgetCall(t *pendingCall) {
	c.calls = slices.DeleteFunc(c.calls, func(o *pendingCall) bool { return o == t })
}

// Put takes an order of an operator: a configuration that was read and found valid, its content packed by
// clusterstate.Pack. The answer follows the order's Verdict: 200 where the configuration is in force or was
// overtaken, 409 where another content was confirmed under its revision, 503 where no majority answered in time.
func (c *Controller) Put(now int64, id, revision uint64, packed []byte) Out {
	c.now = now
	t := &pendingCall{id: id, until: now + answerWithin, order: newOrder(revision, packed)}
	c.calls = append(c.calls, t)
	n, out := c.proposer.Edit(now, t.order.apply)
	t.edit = n
	c.carry(out)
	return c.done()
}

// Read asks for the newest configuration.
func (c *Controller) Read(now int64, id uint64) Out {
	c.now = now
	t := &pendingCall{id: id, until: now + answerWithin, read: true}
	c.calls = append(c.calls, t)
	n, out := c.proposer.Edit(now, same)
	t.edit = n
	c.carry(out)
	return c.done()
}

func same(v register.Value) (register.Value, bool) { return v, false }

// finish answers the caller whose edit is done.
func (c *Controller) finish(d register.Done) {
	for _, t := range slices.Clone(c.calls) {
		if t.edit != d.ID || t.edit == 0 {
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
