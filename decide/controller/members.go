package controller

import (
	"cmp"
	"slices"

	"willowsill/decide/register"
)

// The members of the register: who changes them, and when.

// How long a newcomer waits for a member's place before the members become more, ns.
const (
	newcomerWait            = 1500 * ms // while all members are heard
	newcomerWaitWhileSilent = 3000 * ms // while one is not
)

// updateMembers changes the members, where this is the first live one of them in their order: a newcomer takes the
// place of one that leaves or has been silent, or is added where there is none.
//
// There are never fewer members than there were before the first configuration. It guards against losses one
// after another: were members only taken away, those left could be the few that die next, and the rest would
// wait for them for ever. There is one more where a newcomer comes before the one that it replaces has gone;
// that one gives its place up once it leaves or is silent.
func (c *Controller) updateMembers() {
	v := c.committed
	if len(v.Members) == 0 || !c.disk.CaughtUp || !c.inContact || c.shuttingDown || c.proposer.Busy() || len(v.Prior) > 0 {
		return
	}
	if c.firstLiveMember() != c.IP {
		return
	}
	newcomers, gone := c.newcomers(), c.replaceableMembers()
	size := cmp.Or(v.Size, len(v.Members))
	members := slices.Clone(v.Members)
	switch {
	case len(gone) > 0 && len(v.Members) > size:
		members = withoutMember(members, gone[0])
	case len(gone) > 0 && len(newcomers) > 0:
		members = append(withoutMember(members, gone[0]), newcomers[0])
	case len(gone) == 0:
		for _, ip := range newcomers {
			if v.Revision == 0 || c.newcomerWaitOver(ip) {
				members = append(members, ip)
			}
		}
	}
	slices.Sort(members)
	if slices.Equal(members, v.Members) {
		return
	}
	if v.Revision == 0 {
		size = len(members)
	}
	c.log("changing the members", "epoch", v.Epoch+1, "members", members)
	epoch := v.Epoch
	_, out := c.proposer.Edit(c.now, func(v register.Value) (register.Value, bool) {
		if v.Epoch != epoch || len(v.Prior) > 0 {
			return v, false
		}
		v.Epoch, v.Prior, v.Members, v.Size = epoch+1, v.Members, members, size
		return v, true
	})
	c.handleProposer(out)
}

// newcomers are the controllers, by IP, that are no members, whole, heard of late and there to stay.
func (c *Controller) newcomers() []string {
	var all []string
	for ip, p := range c.peers {
		member := slices.Contains(c.committed.Members, ip)
		if !member && c.isLive(ip) && p.heartbeat.CaughtUp && !p.heartbeat.ShuttingDown {
			all = append(all, ip)
		}
	}
	slices.Sort(all)
	return all
}

// replaceableMembers are the members whose place is free for a newcomer: first those that said that they leave, then those
// that have been silent, the longest first.
//
// A member that leaves still runs and answers for a while. It guards against a second loss right after a
// planned replacement: were its silence waited for, the newcomer would count seconds later, and until then the
// members would have one machine fewer than the budget reckons with.
func (c *Controller) replaceableMembers() []string {
	var leaving, silent []string
	for _, ip := range c.committed.Members {
		p := c.peers[ip]
		switch {
		case p == nil:
		case p.heartbeat.ShuttingDown:
			leaving = append(leaving, ip)
		case c.now-max(c.lease.Reached(ip), c.startedAt) > silentMemberTimeout:
			silent = append(silent, ip)
		}
	}
	slices.Sort(leaving)
	slices.SortFunc(silent, c.compareLastReached)
	return append(leaving, silent...)
}

// newcomerWaitOver tells whether a newcomer has waited long enough for a member to leave it its place, so that
// the members become more. While a member is not heard it waits longer: that one may be the one to be replaced,
// and one change does what else takes two.
func (c *Controller) newcomerWaitOver(newcomer string) bool {
	allLive := !slices.ContainsFunc(c.committed.Members, func(m string) bool { return !c.isLive(m) })
	wait := int64(newcomerWaitWhileSilent)
	if allLive {
		wait = newcomerWait
	}
	return c.now-c.peers[newcomer].heardSince > wait
}

func withoutMember(members []string, member string) []string {
	return slices.DeleteFunc(members, func(m string) bool { return m == member })
}
