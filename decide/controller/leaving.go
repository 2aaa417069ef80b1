package controller

import "willowsill/decide/registry"

// This file repairs departures that a controller has missed. A departure is sent to the other controllers once, and the
// replica does not call again. So each heartbeat carries a sum of the leaving replicas that its sender knows. If the
// sums of two controllers differ for longer than a message takes, each requests the records in which they differ.

// leavingMismatchThreshold is how many heartbeats in a row must carry a different sum before records are requested. One
// alone may have been sent before a departure that arrived here first on another path.
const leavingMismatchThreshold = 2

// leavingView is the state of the comparison with one other controller.
type leavingView struct {
	mismatches int   // heartbeats in a row whose sum differed from that of the list here
	requestAt  int64 // earliest time of the next request, ns
}

// compareLeaving compares another controller's sum of leaving replicas with the one here and requests records after
// repeated mismatches.
//
// Danger: a controller that was cut off when a replica departed holds it as ready. Once it is back in contact with a
// majority its list counts as current, and the edges connected to it would send requests to the replica until that ends.
// The controller that acknowledged the departure may be gone by then, so the lists themselves are compared instead of
// keeping track of what was sent to whom.
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

// sendLeaving sends another controller the leaving replicas of the parts in which its sums differ from those here.
func (c *Controller) sendLeaving(to string, sums registry.LeavingSums) {
	if records := c.replicas.LeavingDifference(c.now, sums); len(records) > 0 {
		c.send(Message{LeavingRecords: records}, to)
	}
}

// applyLeaving merges another controller's record of a leaving replica.
func (c *Controller) applyLeaving(r registry.AgedRecord) {
	if newer, changed := c.replicas.MergeAged(c.now, r); newer {
		c.recordChanged(r.Record, false, changed)
	}
}
