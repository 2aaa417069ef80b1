package controller

import (
	"slices"

	"willowsill/decide/registry"
)

// Replicas that are heard by other controllers. Each controller tells the others of the group of replicas whose
// heartbeats come to it, in its own heartbeats; what is new of a replica goes on as a record.

// groupMissedHeartbeats is how many of its heartbeats a replica may leave out before it leaves the group of the controller that
// heard it.
const groupMissedHeartbeats = 2

// supportsGroups tells whether a controller tells of groups and understands them; one of the former version does not, and
// is told of each replica.
func (p *peer) supportsGroups() bool { return p.heartbeat.Group != nil }

// peersWithoutGroups are the controllers of the former version.
func (c *Controller) peersWithoutGroups() (ips []string) {
	for _, ip := range c.peerIPs() {
		if !c.peers[ip].supportsGroups() {
			ips = append(ips, ip)
		}
	}
	return ips
}

// recordLocalHeartbeat notes that a replica's heartbeat came to this controller.
func (c *Controller) recordLocalHeartbeat(r registry.Record) {
	if r.Phase == registry.Ready {
		c.localGroup.RecordHeartbeat(c.now, registry.HeartbeatOf(r))
	} else {
		c.localGroup.Remove(c.now, r.ID)
	}
}

// handleGroup takes in what another controller tells of its group.
//
// Danger: a message that was lost, or a replica that has fallen silent here alone, would leave the two with different
// groups, and replicas would count as heard that are not, or fall silent one after the other. So the sums are compared
// with each heartbeat, and while they differ nobody counts as heard, and the whole group is asked for.
func (c *Controller) handleGroup(from string, p *peer, news registry.GroupUpdate) {
	agrees := p.group.Apply(news)
	var unknown []string
	for _, call := range news.Joined {
		if !c.replicas.JoinGroup(c.now, from, call) {
			p.group.Drop(call.ID) // until its record is here
			unknown = append(unknown, call.ID)
		}
	}
	if news.Whole {
		c.replicas.RetainGroup(from, news.Joined)
	}
	for _, unheard := range news.Left {
		c.replicas.LeaveGroup(c.now, from, unheard)
	}
	switch {
	case len(unknown) > 0:
		c.send(Message{WantReplicas: unknown}, from)
	case agrees:
		c.replicas.GroupHeard(c.now, from)
	case c.now >= p.groupRequestAt:
		p.groupRequestAt = c.now + requestInterval
		c.send(Message{WantGroup: true}, from)
	}
}

// removeFromGroups takes a replica that has fallen silent here out of the groups that it was in: what is told of it next is
// to be heard of whole.
func (c *Controller) removeFromGroups(replica string) {
	c.localGroup.Remove(c.now, replica)
	for _, p := range c.peers {
		p.group.Drop(replica)
	}
}

// recordsOf are what is known of these replicas.
func (c *Controller) recordsOf(ids []string) (records []registry.Record) {
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		if r, known := c.replicas.Get(id); known {
			records = append(records, r)
		}
	}
	return records
}

// sendRecordBatch tells the other controllers what is new of replicas, and those of the former version who was heard.
func (c *Controller) sendRecordBatch() {
	if len(c.recordBatch) == 0 || !c.batchUrgent && c.now < c.heartbeatBatchAt {
		return
	}
	c.batchUrgent, c.heartbeatBatchAt = false, c.now+heartbeatBatchInterval
	var news, heard Message
	for _, r := range c.recordBatch {
		if r.Service == "" && r.Phase == registry.Ready {
			heard.ReplicaHeartbeats = append(heard.ReplicaHeartbeats, ReplicaHeartbeat{r.ID, r.Seq})
		} else {
			news.Records = append(news.Records, r)
		}
	}
	clear(c.recordBatch)
	if len(news.Records) > 0 {
		c.send(news, c.peerIPs()...)
	}
	if len(heard.ReplicaHeartbeats) > 0 {
		c.send(heard, c.peersWithoutGroups()...)
	}
}
