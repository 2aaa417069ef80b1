package controller

import "willowsill/decide/registry"

// That a replica leaves is told to the other controllers once, and the replica does not call again. Each heartbeat
// therefore says what its sender knows of the leaving replicas, as a sum; where two differ for longer than a message takes,
// each asks the other one for the records in which they differ.

// leavingMismatchThreshold is how many heartbeats in a row have another sum before records are asked for. A single one may have
// been sent before a message that has arrived by another way.
const leavingMismatchThreshold = 2

// leavingView is what the heartbeats of another controller said of the replicas that leave.
type leavingView struct {
	mismatches int   // heartbeats in a row whose sum was not that of the list here
	requestAt  int64 // it is not asked before
}

// compareLeaving takes in another controller's sum of the replicas that leave.
//
// Danger: a controller that was cut off as a replica departed holds it as ready, and after the cut is in contact with a
// majority and vouches for what it tells. Frontends that follow it would send to the replica until that one ends.
// Whoever took the departure may be gone by then, so what counts is what the lists hold, and not who told whom.
func (c *Controller) compareLeaving(from string, p *peer, sum uint64) {
	if sum == c.replicas.LeavingSum() {
		p.leavingView.mismatches = 0
		return
	}
	p.leavingView.mismatches++
	if p.leavingView.mismatches < leavingMismatchThreshold || c.now < p.leavingView.requestAt {
		return
	}
	p.leavingView.requestAt = c.now + requestInterval
	sums := c.replicas.LeavingSums()
	c.send(Message{WantLeaving: &sums}, from)
}

// sendLeaving answers another controller whose sums of the replicas that leave are these.
func (c *Controller) sendLeaving(to string, sums registry.LeavingSums) {
	if records := c.replicas.LeavingDifference(c.now, sums); len(records) > 0 {
		c.send(Message{LeavingRecords: records}, to)
	}
}

// applyLeaving takes in what another controller knows of a replica that leaves.
func (c *Controller) applyLeaving(r registry.AgedRecord) {
	if news, changed := c.replicas.MergeAged(c.now, r); news {
		c.recordChanged(r.Record, false, changed)
	}
}
