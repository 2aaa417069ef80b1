package controller

import (
	"cmp"
	"maps"
	"slices"

	"willowsill/decide/lease"
	"willowsill/decide/register"
)

// This file has the heartbeats between controllers and what their answers prove about contact.

const (
	contactTimeout    = 1600 * ms // contact lasts this long after the last answered heartbeat was sent; three may be lost
	settleDelay       = 400 * ms  // a value that is accepted but not committed for this long gets a round of its own
	settleBackupDelay = 800 * ms  // the other members wait this long beyond settleDelay, and up to as long again at random
)

// neverCurrent is the CurrentSince of a controller that has not been current since its process started.
const neverCurrent = lease.Never

// isLive reports whether a controller has answered a heartbeat that this one sent within contactTimeout. This controller
// itself is always live.
//
// Danger: a controller that sends but receives nothing cannot act. If its own messages counted as a sign of life, it
// could stay the first live member, and nobody would change the membership or advance the rollouts.
func (c *Controller) isLive(ip string) bool {
	return ip == c.IP || c.now-c.lease.Reached(ip) < contactTimeout
}

// InContact reports whether a majority of the members has answered heartbeats that this controller sent within
// contactTimeout. Replica calls are accepted only then. This controller counts itself once its disk has caught up.
//
// Danger: a controller that receives all messages but whose own are lost must notice it. Otherwise the edges that are
// connected to it would keep the configuration that was in force when it was cut off.
func (c *Controller) InContact() bool {
	return c.now-c.lease.ReachedSince(c.now, c.ownVoter(), c.quorumValue()) < contactTimeout
}

// CurrentSince returns the latest time for which this controller is known to hold everything that was acknowledged
// before that time: a majority of disks then held nothing that is not known here to be committed. It returns
// neverCurrent if there was no such time since the process started.
func (c *Controller) CurrentSince() int64 {
	return c.lease.CurrentSince(c.now, c.ownVoter(), c.quorumValue())
}

// Epoch returns the epoch of the members, in the newest value known to be committed.
func (c *Controller) Epoch() uint64 { return c.committed.Epoch }

// Revision returns the revision of the newest configuration known to be committed.
func (c *Controller) Revision() uint64 { return c.committed.Revision }

// ownVoter returns this controller's IP, or an empty string while its disk has not caught up and so cannot count in a
// majority.
func (c *Controller) ownVoter() string {
	if c.disk.CaughtUp {
		return c.IP
	}
	return ""
}

// quorumValue returns the value whose members define the majority: the newest committed one, or the one on this disk if
// none is known.
func (c *Controller) quorumValue() register.Value {
	if len(c.committed.Members) > 0 {
		return c.committed
	}
	return c.disk.Value
}

// checkContact updates inContact and logs a change of it.
func (c *Controller) checkContact() {
	if now := c.InContact(); now != c.inContact {
		c.inContact = now
		c.log("contact with a majority of controllers has changed", "inContact", now)
	}
}

// sendHeartbeat sends a heartbeat to all other controllers.
func (c *Controller) sendHeartbeat() {
	c.sendRecordBatch() // the receivers need the record of a replica before its group can name it
	group, leaving := c.localGroup.Changes(c.now), c.replicas.LeavingSum()
	h := Heartbeat{Group: &group, LeavingSum: &leaving, CaughtUp: c.disk.CaughtUp, Epoch: c.committed.Epoch, Revision: c.committed.Revision,
		RolloutsVersion: c.committed.Rollouts.Version, ShuttingDown: c.shuttingDown, Number: c.lease.NextHeartbeat(c.now), Accepted: c.disk.Accepted}
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

// livePeers returns the IPs of the other controllers that are live, sorted.
func (c *Controller) livePeers() (ips []string) {
	for _, ip := range slices.Sorted(maps.Keys(c.peers)) {
		if c.isLive(ip) {
			ips = append(ips, ip)
		}
	}
	return ips
}

// edgeReports returns the edges to report to the other controllers now and marks them as reported: those that have
// changed, and those whose last report is older than edgeReportRepeat. Edges that are unheard for longer than that are
// left out.
func (c *Controller) edgeReports() (reports []EdgeReport) {
	for _, e := range c.edges {
		if c.now-e.reportedAt > edgeReportRepeat && c.now-e.lastHeard < edgeReportRepeat {
			e.reportedAt = c.now
			reports = append(reports, EdgeReport{Edge: e.Edge, Suspects: e.suspects, Age: c.now - e.lastHeard})
		}
	}
	return reports
}

// handleHeartbeat handles the heartbeat in a message of another controller. If its sender has committed something newer,
// or no replica is known here, all that the sender holds is requested.
func (c *Controller) handleHeartbeat(p *peer, message Message) {
	h := message.Heartbeat
	if h.ShuttingDown && !p.heartbeat.ShuttingDown {
		c.membershipCheckAt = c.now // a member that shuts down is replaced while it still runs
	}
	p.heartbeat, p.heartbeatNumber = *h, h.Number
	p.zone = cmp.Or(h.Zone, p.zone)
	c.handleReceipts(message.From, h)
	if h.Group != nil {
		c.handleGroup(message.From, p, *h.Group)
	}
	if h.LeavingSum != nil {
		c.compareLeaving(message.From, p, *h.LeavingSum)
	}
	for _, report := range h.Edges {
		c.recordEdge(report, false)
	}
	if len(h.Edges) > 0 {
		c.updateFleet()
	}
	for _, ip := range h.Controllers {
		c.addPeer(ip)
	}
	if h.Revision > c.committed.Revision || h.Epoch > c.committed.Epoch || h.RolloutsVersion > c.committed.Rollouts.Version || c.replicas.Empty() {
		c.requestAll(message.From)
	}
}

// handleReceipts records which of this controller's heartbeats the sender of this one had received, and what its disk
// had accepted by then.
//
// Danger: a disk that lost its content has forgotten what it accepted as part of a majority. Heartbeats of its
// controller prove nothing until the disk has caught up.
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

// settleAccepted starts a round if some disk has accepted a value that nobody has announced as committed for a while:
// the controller that wrote it may have died before it could. Until the round has ended, no controller that knows of
// the accepted value is current. The first live member starts the round; the others wait longer.
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

// hasUnsettled reports whether this controller's disk, or that of a live member, has accepted a value that is not known
// to be committed.
func (c *Controller) hasUnsettled() bool {
	return c.lease.OwnUncommitted() || slices.ContainsFunc(c.members(), func(ip string) bool {
		return c.isLive(ip) && c.lease.Uncommitted(ip)
	})
}

// firstLiveMember returns the IP of the member that changes the membership and runs the rollouts: the first one, by IP,
// that is live and not shutting down. It returns an empty string if there is none. A member that shuts down is skipped,
// because it would not replace itself while it still runs.
func (c *Controller) firstLiveMember() string {
	members := c.members()
	at := slices.IndexFunc(members, func(ip string) bool { return c.isLive(ip) && !c.isShuttingDown(ip) })
	if at < 0 {
		return ""
	}
	return members[at]
}

// isShuttingDown reports whether a controller has announced that its process will end soon.
func (c *Controller) isShuttingDown(ip string) bool {
	if ip == c.IP {
		return c.shuttingDown
	}
	p := c.peers[ip]
	return p != nil && p.heartbeat.ShuttingDown
}

// compareLastReached orders controllers by their last contact, the longest ago first.
func (c *Controller) compareLastReached(a, b string) int {
	return cmp.Compare(c.lease.Reached(a), c.lease.Reached(b))
}

// Committed returns the newest value known to be committed.
func (c *Controller) Committed() register.Value { return c.committed }
