package controller

import (
	"maps"
	"slices"

	"willowsill/decide/registry"
)

// This file saves departures of replicas. A departure is acknowledged once it is on the disks of a majority of the
// members. A save always writes the whole list of replicas, so departures that wait at the same time share one save.

// departureSaveInterval is the least time, in ns, between two saves of the list of replicas made because a departure
// waits for one. The list may be long, and replicas often leave many at a time.
const departureSaveInterval = 50 * ms

// peerAck is an acknowledgement that another controller waits for until the deadline: that the departures of these
// replicas are on disk here.
type peerAck struct {
	to         string
	ackRequest uint64 // the other controller's number of its request
	deadline   int64
	replicaIDs []string
}

// departures tracks the departing replicas, by ID, whose departure is not on this controller's disk yet.
type departures struct {
	unsaved      map[string]struct{} // departures that are in no save yet
	saving       map[string]struct{} // departures in the save in progress
	waitingPeers []peerAck
	nextSaveAt   int64 // earliest next save made because a departure waits for it
}

func newDepartures() departures {
	return departures{unsaved: map[string]struct{}{}, saving: map[string]struct{}{}}
}

// recordChanged marks a replica's departure as unsaved. Records of replicas that are not departing are ignored.
func (l *departures) recordChanged(r registry.Record) {
	if r.Leaving() {
		l.unsaved[r.ID] = struct{}{}
	}
}

// durable reports whether no departure of this replica is still missing on disk.
func (l *departures) durable(replica string) bool {
	_, unsaved := l.unsaved[replica]
	_, saving := l.saving[replica]
	return !unsaved && !saving
}

// saveStarted records that a save with the present list of replicas has been handed out.
func (l *departures) saveStarted(now int64) {
	maps.Copy(l.saving, l.unsaved)
	clear(l.unsaved)
	l.nextSaveAt = now + departureSaveInterval
}

// saveFinished records the end of the save in progress. After a failure its departures are unsaved again.
func (l *departures) saveFinished(succeeded bool) {
	if !succeeded {
		maps.Copy(l.unsaved, l.saving)
	}
	clear(l.saving)
}

// takeReady removes and returns the acknowledgements whose departures are on disk, and drops those past their deadline.
func (l *departures) takeReady(now int64) (ready []peerAck) {
	l.waitingPeers = slices.DeleteFunc(l.waitingPeers, func(a peerAck) bool {
		covered := !slices.ContainsFunc(a.replicaIDs, func(id string) bool { return !l.durable(id) })
		if covered {
			ready = append(ready, a)
		}
		return covered || now >= a.deadline
	})
	return ready
}

// departureSaveWanted reports whether a replica's call or another controller waits for a departure that is in no save.
func (c *Controller) departureSaveWanted() bool {
	unsaved := func(id string) bool { _, in := c.departures.unsaved[id]; return in }
	for _, call := range c.calls {
		if call.ackRequest > 0 && unsaved(call.replicaID) {
			return true
		}
	}
	return slices.ContainsFunc(c.departures.waitingPeers, func(a peerAck) bool { return slices.ContainsFunc(a.replicaIDs, unsaved) })
}

// replicasSaveDue reports whether a save with the list of replicas is due.
func (c *Controller) replicasSaveDue() bool {
	return c.replicasDirty && c.now >= c.replicasSaveAt || c.now >= c.departures.nextSaveAt && c.departureSaveWanted()
}

// acknowledgeWhenSaved acknowledges records of another controller, once the departures among them are on disk here.
//
// The wait guards against a loss of power everywhere right after the acknowledgement: the departure would be forgotten,
// and edges would go on sending requests to a replica that has ended. A controller whose disk hangs or is full sends no
// acknowledgement; the departure needs a majority and no particular controller.
func (c *Controller) acknowledgeWhenSaved(to string, ackRequest uint64, records []registry.Record) {
	answer := peerAck{to: to, ackRequest: ackRequest, deadline: c.now + answerTimeout}
	for _, r := range records {
		answer.replicaIDs = append(answer.replicaIDs, r.ID)
	}
	c.departures.waitingPeers = append(c.departures.waitingPeers, answer)
	c.answerDepartures()
}

// answerDepartures acknowledges, to other controllers and to replicas, the departures that are now on disk.
func (c *Controller) answerDepartures() {
	for _, answer := range c.departures.takeReady(c.now) {
		c.send(Message{Ack: answer.ackRequest}, answer.to)
	}
	for _, call := range slices.Clone(c.calls) {
		if call.ackRequest > 0 && c.departures.durable(call.replicaID) {
			call.acks[c.IP] = struct{}{}
			c.answerIfAcked(call)
		}
	}
}

// replicasSaveFinished handles the end of a save, if that save included the list of replicas.
func (c *Controller) replicasSaveFinished(succeeded bool) {
	if !c.savingReplicas {
		return
	}
	c.savingReplicas = false
	c.departures.saveFinished(succeeded)
	if !succeeded {
		c.replicasDirty = true // the list has to be saved again, even if no departure waits for it
		return
	}
	c.answerDepartures()
}
