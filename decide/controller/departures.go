package controller

import (
	"maps"
	"slices"

	"willowsill/decide/registry"
)

// That a replica leaves is acknowledged once it is on the disks of a majority. The list of replicas goes to disk
// as a whole; those who wait for that share a save.

// departureSaveInterval is the least time between two saves of the list that are made because someone waits for
// one, ns. The list may be long, and replicas often leave many at a time.
const departureSaveInterval = 50 * ms

// peerAck is the answer that another controller waits for, not longer than until: that these replicas leave is
// saved here.
type peerAck struct {
	to         string
	ackRequest uint64
	deadline   int64
	replicaIDs []string
}

// departures are the replicas of which it is not yet on disk here that they leave.
type departures struct {
	unsaved      map[string]struct{} // in no save yet
	saving       map[string]struct{} // in the save under way
	waitingPeers []peerAck
	nextSaveAt   int64 // when the list may next be saved because someone waits
}

func newDepartures() departures {
	return departures{unsaved: map[string]struct{}{}, saving: map[string]struct{}{}}
}

// recordChanged takes in that a replica's record has changed.
func (l *departures) recordChanged(r registry.Record) {
	if r.Leaving() {
		l.unsaved[r.ID] = struct{}{}
	}
}

// durable tells whether all that is known here of a replica's leaving is on disk.
func (l *departures) durable(replica string) bool {
	_, unsaved := l.unsaved[replica]
	_, saving := l.saving[replica]
	return !unsaved && !saving
}

// saveStarted tells that a save under way holds the list as it is now.
func (l *departures) saveStarted(now int64) {
	maps.Copy(l.saving, l.unsaved)
	clear(l.unsaved)
	l.nextSaveAt = now + departureSaveInterval
}

// saveFinished tells that the save under way has ended.
func (l *departures) saveFinished(succeeded bool) {
	if !succeeded {
		maps.Copy(l.unsaved, l.saving)
	}
	clear(l.saving)
}

// takeReady takes out the answers to other controllers that need wait no longer, and drops those that come too late.
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

// departureSaveWanted tells whether a caller or another controller waits for a list that is in no save yet.
func (c *Controller) departureSaveWanted() bool {
	unsaved := func(id string) bool { _, in := c.departures.unsaved[id]; return in }
	for _, call := range c.calls {
		if call.ackRequest > 0 && unsaved(call.replicaID) {
			return true
		}
	}
	return slices.ContainsFunc(c.departures.waitingPeers, func(a peerAck) bool { return slices.ContainsFunc(a.replicaIDs, unsaved) })
}

// replicasSaveDue tells whether the next save is to hold the list.
func (c *Controller) replicasSaveDue() bool {
	return c.replicasDirty && c.now >= c.replicasSaveAt || c.now >= c.departures.nextSaveAt && c.departureSaveWanted()
}

// acknowledgeWhenSaved answers another controller's question whether records are known here: once those that say that a
// replica leaves are on disk.
//
// It guards against a loss of power everywhere right after the acknowledgement: edges would go on sending to a
// replica that was told it may end. A disk that hangs or is full leaves its controller's answer out; the call
// needs a majority's and no particular one.
func (c *Controller) acknowledgeWhenSaved(to string, ask uint64, records []registry.Record) {
	answer := peerAck{to: to, ackRequest: ask, deadline: c.now + answerTimeout}
	for _, r := range records {
		answer.replicaIDs = append(answer.replicaIDs, r.ID)
	}
	c.departures.waitingPeers = append(c.departures.waitingPeers, answer)
	c.answerDepartures()
}

// answerDepartures gives the answers, to other controllers and to own callers, whose records are on disk.
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

// replicasSaveFinished tells that the save under way has ended, and whether it had the list in it.
func (c *Controller) replicasSaveFinished(succeeded bool) {
	if !c.savingReplicas {
		return
	}
	c.savingReplicas = false
	c.departures.saveFinished(succeeded)
	if !succeeded {
		c.replicasDirty = true // the list that was handed out is on no disk
		return
	}
	c.answerDepartures()
}
