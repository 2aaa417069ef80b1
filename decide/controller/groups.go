package controller

import (
	"slices"

	"willowsill/decide/registry"
)

// This file shares between controllers which replicas are alive. The replicas whose heartbeats come to one controller
// are its group. Its own heartbeats tell the others who joined and left the group, and sums to compare the whole group
// by. A replica's record is sent only when it has changed.

// groupMissedHeartbeats is how many heartbeats a replica may miss before it leaves its controller's group.
const groupMissedHeartbeats = 2

// supportsGroups reports whether a controller sends and understands groups. A controller of the previous version does
// not and gets each replica's heartbeats instead.
func (p *peer) supportsGroups() bool { return p.heartbeat.Group != nil }

// peersWithoutGroups returns the IPs of the controllers of the previous version, which know no groups.
func (c *Controller) peersWithoutGroups() (ips []string) {
	for _, ip := range c.peerIPs() {
		if !c.peers[ip].supportsGroups() {
			ips = append(ips, ip)
		}
	}
	return ips
}

// recordLocalHeartbeat updates this controller's own group after a call of a replica.
func (c *Controller) recordLocalHeartbeat(r registry.Record) {
	if r.Phase == registry.Ready {
		c.localGroup.RecordHeartbeat(c.now, registry.HeartbeatOf(r))
	} else {
		c.localGroup.Remove(c.now, r.ID)
	}
}

// handleGroup applies a change of another controller's group, or the whole group.
//
// Danger: after a lost message, or when a replica has become silent only here, this controller's view of the group
// differs from the group. Lost replicas would stay ready, or live ones would become silent one after another. So the
// sums are compared with each heartbeat. While they differ, the heartbeat refreshes no replica, and the whole group is
// requested.
func (c *Controller) handleGroup(from string, p *peer, update registry.GroupUpdate) {
	agrees := p.group.Apply(update)
	var unknown []string
	for _, heartbeat := range update.Joined {
		if !c.replicas.JoinGroup(c.now, from, heartbeat) {
			p.group.Drop(heartbeat.ID) // the view must not contain it before its record has arrived
			unknown = append(unknown, heartbeat.ID)
		}
	}
	if update.Whole {
		c.replicas.RetainGroup(from, update.Joined)
	}
	for _, left := range update.Left {
		c.replicas.LeaveGroup(c.now, from, left)
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

// removeFromGroups removes a replica that has become silent here from all groups, so that a group in which it is still
// alive no longer agrees with the view here and is requested as a whole.
func (c *Controller) removeFromGroups(replica string) {
	c.localGroup.Remove(c.now, replica)
	for _, p := range c.peers {
		p.group.Drop(replica)
	}
}

// recordsOf returns the known records of these replicas, sorted by ID and without duplicates.
func (c *Controller) recordsOf(ids []string) (records []registry.Record) {
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		if r, known := c.replicas.Get(id); known {
			records = append(records, r)
		}
	}
	return records
}

// sendRecordBatch sends changed records to all other controllers, and unchanged heartbeats of replicas to those of the
// previous version. A batch that holds no change waits for heartbeatBatchInterval.
func (c *Controller) sendRecordBatch() {
	if len(c.recordBatch) == 0 || !c.batchUrgent && c.now < c.heartbeatBatchAt {
		return
	}
	c.batchUrgent, c.heartbeatBatchAt = false, c.now+heartbeatBatchInterval
	var changed, unchanged Message
	for _, r := range c.recordBatch {
		if r.Service == "" && r.Phase == registry.Ready {
			unchanged.ReplicaHeartbeats = append(unchanged.ReplicaHeartbeats, ReplicaHeartbeat{r.ID, r.Seq})
		} else {
			changed.Records = append(changed.Records, r)
		}
	}
	clear(c.recordBatch)
	if len(changed.Records) > 0 {
		c.send(changed, c.peerIPs()...)
	}
	if len(unchanged.ReplicaHeartbeats) > 0 {
		c.send(unchanged, c.peersWithoutGroups()...)
	}
}
