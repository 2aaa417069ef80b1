package controller

import (
	"cmp"
	"maps"
	"slices"

	"willowsill/decide/lease"
	"willowsill/decide/register"
)

// Contact with the other controllers: heartbeats, and what their answers prove.

const (
	contactTimeout    = 1600 * ms // contact counts for so long after the heartbeat that was answered: three may be lost
	settleDelay       = 400 * ms  // what a disk accepted and nobody called committed for so long is settled by a round
	settleBackupDelay = 800 * ms  // if the first live member has not done so, any other does after this much longer
)

// neverCurrent is CurrentSince of one that has not been current in this life.
const neverCurrent = lease.Never

// isLive tells whether a controller has answered a heartbeat of this one of late; this one itself is always live.
//
// Danger: one that is heard but does not hear is of no use to anybody. Were it counted by what is heard of it, it would
// hold up the duties that its place in the order gives it.
func (c *Controller) isLive(ip string) bool {
	return ip == c.IP || c.now-c.lease.Reached(ip) < contactTimeout
}

// InContact tells whether a majority of the members has answered this controller's heartbeats of late. It is what this
// one takes calls by. Its own disk counts once it has caught up.
//
// Danger: a controller that hears all the others and is heard by none would go on as if nothing had happened: its
// followers would keep the configuration of the moment at which it was cut off.
func (c *Controller) InContact() bool {
	return c.now-c.lease.ReachedSince(c.now, c.ownVoter(), c.quorumValue()) < contactTimeout
}

// CurrentSince is the latest time for which this controller is known to hold all that was acknowledged before it: a
// majority then held nothing that is not known here to be committed. neverCurrent where there was no such time in this
// life.
func (c *Controller) CurrentSince() int64 {
	return c.lease.CurrentSince(c.now, c.ownVoter(), c.quorumValue())
}

// Epoch and Revision are those of the newest value known to be committed.
func (c *Controller) Epoch() uint64 { return c.committed.Epoch }

// Revision is that of the newest configuration known to be committed.
func (c *Controller) Revision() uint64 { return c.committed.Revision }

// ownVoter is this controller's name among the members, empty while its own disk counts for nothing.
func (c *Controller) ownVoter() string {
	if c.disk.CaughtUp {
		return c.IP
	}
	return ""
}

// quorumValue is the value whose members make up the majority.
func (c *Controller) quorumValue() register.Value {
	if len(c.committed.Members) > 0 {
		return c.committed
	}
	return c.disk.Value
}

// checkContact notes and logs a change of InContact.
func (c *Controller) checkContact() {
	if now := c.InContact(); now != c.inContact {
		c.inContact = now
		c.log("in contact with a majority of controllers", "inContact", now)
	}
}

// sendHeartbeat sends one to all others.
func (c *Controller) sendHeartbeat() {
	c.sendRecordBatch() // a replica that is new in the group has to be known before
	group, leaving := c.localGroup.Changes(c.now), c.replicas.LeavingSum()
	h := Heartbeat{Group: &group, LeavingSum: &leaving, CaughtUp: c.disk.CaughtUp, Epoch: c.committed.Epoch, Revision: c.committed.Revision, RolloutsVersion: c.committed.Rollouts.Version, ShuttingDown: c.shuttingDown,
		Number: c.lease.NextHeartbeat(c.now), Accepted: c.disk.Accepted}
	for _, ip := range c.peerIPs() {
		if number := c.peers[ip].heartbeatNumber; number > 0 {
			h.Received = append(h.Received, Receipt{ip, number})
		}
	}
	if c.now >= c.edgeReportAt {
		c.edgeReportAt = c.now + edgeReportInterval
		h.Controllers, h.Zone = c.livePeers(), c.Zone
		h.Edges = c.edgeReports()
		c.updateFleet()
	}
	c.send(Message{Heartbeat: &h}, c.peerIPs()...)
}

func (c *Controller) livePeers() (ips []string) {
	for _, ip := range slices.Sorted(maps.Keys(c.peers)) {
		if c.isLive(ip) {
			ips = append(ips, ip)
		}
	}
	return ips
}

// edgeReports are the edges that the other controllers are to be told of now.
func (c *Controller) edgeReports() (reports []EdgeReport) {
	for _, e := range c.edges {
		if c.now-e.reportedAt > edgeReportRepeat && c.now-e.lastHeard < edgeReportRepeat {
			e.reportedAt = c.now
			reports = append(reports, EdgeReport{Edge: e.Edge, Suspects: e.suspects, Age: c.now - e.lastHeard})
		}
	}
	return reports
}

// handleHeartbeat takes one in.
func (c *Controller) handleHeartbeat(p *peer, w Message) {
	h := w.Heartbeat
	if h.ShuttingDown && !p.heartbeat.ShuttingDown {
		c.membershipCheckAt = c.now // a member that leaves is replaced while it still runs
	}
	p.heartbeat, p.heartbeatNumber = *h, h.Number
	p.zone = cmp.Or(h.Zone, p.zone)
	c.handleReceipts(w.From, h)
	if h.Group != nil {
		c.handleGroup(w.From, p, *h.Group)
	}
	if h.LeavingSum != nil {
		c.compareLeaving(w.From, p, *h.LeavingSum)
	}
	for _, s := range h.Edges {
		c.recordEdge(s, false)
	}
	if len(h.Edges) > 0 {
		c.updateFleet()
	}
	for _, ip := range h.Controllers {
		c.addPeer(ip)
	}
	if h.Revision > c.committed.Revision || h.Epoch > c.committed.Epoch || h.RolloutsVersion > c.committed.Rollouts.Version || c.replicas.Empty() {
		c.requestAll(w.From)
	}
}

// handleReceipts takes what a heartbeat proves: which of this controller's own its sender had received.
//
// Danger: a disk that was emptied knows nothing of what a majority decided with its help before. Its word counts for
// nothing until it has caught up.
func (c *Controller) handleReceipts(from string, h *Heartbeat) {
	if !h.CaughtUp {
		return
	}
	for _, r := range h.Received {
		if r.IP == c.IP {
			c.lease.HandleAnswer(from, r.Number, h.Accepted)
		}
	}
}

// settleAccepted has a round confirm what some disk has accepted and nobody has called committed for a while: its writer may
// have died before it could tell. Until it is settled no controller that knows of it is current.
func (c *Controller) settleAccepted() {
	if !c.hasUnsettled() {
		c.unsettledSince = 0
		return
	}
	if c.unsettledSince == 0 {
		c.unsettledSince = c.now
	}
	wait := int64(settleDelay)
	if first := c.firstLiveMember(); first != c.IP {
		wait += settleBackupDelay + int64(c.Random()*float64(settleBackupDelay))
	}
	if c.now-c.unsettledSince < wait || !c.inContact || !c.disk.CaughtUp || c.proposer.Busy() {
		return
	}
	c.unsettledSince = c.now
	_, out := c.proposer.Edit(c.now, readOnlyEdit)
	c.handleProposer(out)
}

// hasUnsettled tells whether this controller's disk, or that of a live member, has accepted what is not known to be
// committed.
func (c *Controller) hasUnsettled() bool {
	return c.lease.OwnUncommitted() || slices.ContainsFunc(c.members(), func(ip string) bool {
		return c.isLive(ip) && c.lease.Uncommitted(ip)
	})
}

// firstLiveMember is the member that does the duties: the first in their order that is live and stays, empty where there
// is none. One that leaves does not count, else nobody would replace it while it still runs.
func (c *Controller) firstLiveMember() string {
	members := c.members()
	at := slices.IndexFunc(members, func(ip string) bool { return c.isLive(ip) && !c.isShuttingDown(ip) })
	if at < 0 {
		return ""
	}
	return members[at]
}

// isShuttingDown tells whether a controller has said that its process is about to end.
func (c *Controller) isShuttingDown(ip string) bool {
	if ip == c.IP {
		return c.shuttingDown
	}
	p := c.peers[ip]
	return p != nil && p.heartbeat.ShuttingDown
}

// compareLastReached orders controllers by when they were last in contact.
func (c *Controller) compareLastReached(a, b string) int {
	return cmp.Compare(c.lease.Reached(a), c.lease.Reached(b))
}

// Committed is the newest value known to be committed.
func (c *Controller) Committed() register.Value { return c.committed }
