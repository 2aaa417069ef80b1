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
	contactWithin = 1600 * ms // contact counts for so long after the heartbeat that was answered: three may be lost
	settleAfter   = 400 * ms  // what a disk accepted and nobody called committed for so long is settled by a round
	settleBackup  = 800 * ms  // if the first live member has not done so, any other does after this much longer
)

// neverCurrent is CurrentSince of one that has not been current in this life.
const neverCurrent = lease.Never

// live tells whether a controller has answered a heartbeat of this one of late; this one itself is always live.
//
// Danger: one that is heard but does not hear is of no use to anybody. Were it counted by what is heard of it, it would
// hold up the duties that its place in the order gives it.
func (c *Controller) live(ip string) bool {
	return ip == c.IP || c.now-c.lease.Reached(ip) < contactWithin
}

// InContact tells whether a majority of the members has answered this controller's heartbeats of late. It is what this
// one takes calls by. Its own disk counts once it has caught up.
//
// Danger: a controller that hears all the others and is heard by none would go on as if nothing had happened: its
// followers would keep the configuration of the moment at which it was cut off.
func (c *Controller) InContact() bool {
	return c.now-c.lease.ReachedSince(c.now, c.ownName(), c.electorate()) < contactWithin
}

// CurrentSince is the latest time for which this controller is known to hold all that was acknowledged before it: a
// majority then held nothing that is not known here to be committed. neverCurrent where there was no such time in this
// life.
func (c *Controller) CurrentSince() int64 {
	return c.lease.CurrentSince(c.now, c.ownName(), c.electorate())
}

// Epoch and Revision are those of the newest value known to be committed.
func (c *Controller) Epoch() uint64 { return c.committed.Epoch }

// Revision is that of the newest configuration known to be committed.
func (c *Controller) Revision() uint64 { return c.committed.Revision }

// ownName is this controller's name among the members, empty while its own disk counts for nothing.
func (c *Controller) ownName() string {
	if c.disk.CaughtUp {
		return c.IP
	}
	return ""
}

// electorate is the value whose members make up the majority.
func (c *Controller) electorate() register.Value {
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
	c.passOn() // a replica that is new in the group has to be known before
	group, leaving := c.group.News(c.now), c.list.LeavingSum()
	h := Heartbeat{Group: &group, LeavingReplicas: &leaving, CaughtUp: c.disk.CaughtUp, Epoch: c.committed.Epoch, Revision: c.committed.Revision, Rollouts: c.committed.Rollouts.Version, Leaving: c.leaving,
		Number: c.lease.Ask(c.now), Accepted: c.disk.Accepted}
	for _, ip := range c.all() {
		if number := c.peers[ip].number; number > 0 {
			h.Received = append(h.Received, Receipt{ip, number})
		}
	}
	if c.now >= c.edgesAt {
		c.edgesAt = c.now + edgesEvery
		h.Controllers, h.Zone = c.livePeers(), c.Zone
		h.Edges = c.edgeReports()
		c.fleet()
	}
	c.send(Message{Heartbeat: &h}, c.all()...)
}

func (c *Controller) livePeers() (ips []string) {
	for _, ip := range slices.Sorted(maps.Keys(c.peers)) {
		if c.live(ip) {
			ips = append(ips, ip)
		}
	}
	return ips
}

// edgeReports are the edges that the other controllers are to be told of now.
func (c *Controller) edgeReports() (reports []EdgeReport) {
	for _, e := range c.edges {
		if c.now-e.told > edgeAgain && c.now-e.heard < edgeAgain {
			e.told = c.now
			reports = append(reports, EdgeReport{Edge: e.Edge, Suspects: e.said, Age: c.now - e.heard})
		}
	}
	return reports
}

// heartbeat takes one in.
func (c *Controller) heartbeat(p *peer, w Message) {
	h := w.Heartbeat
	if h.Leaving && !p.heartbeat.Leaving {
		c.dutyAt = c.now // a member that leaves is replaced while it still runs
	}
	p.heartbeat, p.number = *h, h.Number
	p.zone = cmp.Or(h.Zone, p.zone)
	c.receipts(w.From, h)
	if h.Group != nil {
		c.takeGroup(w.From, p, *h.Group)
	}
	if h.LeavingReplicas != nil {
		c.compareLeaving(w.From, p, *h.LeavingReplicas)
	}
	for _, s := range h.Edges {
		c.sight(s, false)
	}
	if len(h.Edges) > 0 {
		c.fleet()
	}
	for _, ip := range h.Controllers {
		c.meet(ip)
	}
	if h.Revision > c.committed.Revision || h.Epoch > c.committed.Epoch || h.Rollouts > c.committed.Rollouts.Version || c.list.Empty() {
		c.want(w.From)
	}
}

// receipts takes what a heartbeat proves: which of this controller's own its sender had received.
//
// Danger: a disk that was emptied knows nothing of what a majority decided with its help before. Its word counts for
// nothing until it has caught up.
func (c *Controller) receipts(from string, h *Heartbeat) {
	if !h.CaughtUp {
		return
	}
	for _, r := range h.Received {
		if r.IP == c.IP {
			c.lease.Answer(from, r.Number, h.Accepted)
		}
	}
}

// settle has a round confirm what some disk has accepted and nobody has called committed for a while: its writer may
// have died before it could tell. Until it is settled no controller that knows of it is current.
func (c *Controller) settle() {
	if !c.unsettled() {
		c.unsettledAt = 0
		return
	}
	if c.unsettledAt == 0 {
		c.unsettledAt = c.now
	}
	wait := int64(settleAfter)
	if first := c.firstLiveMember(); first != c.IP {
		wait += settleBackup + int64(c.Draw()*float64(settleBackup))
	}
	if c.now-c.unsettledAt < wait || !c.inContact || !c.disk.CaughtUp || c.proposer.Busy() {
		return
	}
	c.unsettledAt = c.now
	_, out := c.proposer.Edit(c.now, same)
	c.carry(out)
}

// unsettled tells whether this controller's disk, or that of a live member, has accepted what is not known to be
// committed.
func (c *Controller) unsettled() bool {
	return c.lease.OwnUnsettled() || slices.ContainsFunc(c.members(), func(ip string) bool {
		return c.live(ip) && c.lease.Unsettled(ip)
	})
}

// firstLiveMember is the member that does the duties: the first in their order that is live and stays, empty where there
// is none. One that leaves does not count, else nobody would replace it while it still runs.
func (c *Controller) firstLiveMember() string {
	members := c.members()
	at := slices.IndexFunc(members, func(ip string) bool { return c.live(ip) && !c.leaves(ip) })
	if at < 0 {
		return ""
	}
	return members[at]
}

// leaves tells whether a controller has said that its process is about to end.
func (c *Controller) leaves(ip string) bool {
	if ip == c.IP {
		return c.leaving
	}
	p := c.peers[ip]
	return p != nil && p.heartbeat.Leaving
}

// laterOf orders controllers by when they were last in contact.
func (c *Controller) laterOf(a, b string) int {
	return cmp.Compare(c.lease.Reached(a), c.lease.Reached(b))
}

// Committed is the newest value known to be committed.
func (c *Controller) Committed() register.Value { return c.committed }
