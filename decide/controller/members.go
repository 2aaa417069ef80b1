package controller

import (
	"cmp"
	"slices"

	"willowsill/decide/register"
)

// This file changes the members of the register. A newcomer is a controller that is not a member and could become one.

// How long a newcomer waits to replace a member before it becomes an additional one, in ns.
const (
	newcomerWait            = 1500 * ms // wait while all members are live
	newcomerWaitWhileSilent = 3000 * ms // wait while a member is not live
)

// updateMembers changes the members if this controller is the first live one: a newcomer replaces a member that shuts
// down or is silent, or is added if there is no such member.
//
// The number of members never falls below what it was when the first configuration came. This guards against losses in
// sequence: if silent members were only removed, the few that remain could be the next to die, and no majority would be
// left. There is an additional member while a newcomer has started before the member that it replaces has gone; the
// surplus ends once a member shuts down or is silent.
func (c *Controller) updateMembers() {
	v := c.committed
	if len(v.Members) == 0 || !c.disk.CaughtUp || !c.inContact || c.shuttingDown || c.proposer.Busy() || len(v.Prior) > 0 {
		return
	}
	if c.firstLiveMember() != c.IP {
		return
	}
	newcomers, replaceable := c.newcomers(), c.replaceableMembers()
	size := cmp.Or(v.Size, len(v.Members))
	members := slices.Clone(v.Members)
	switch {
	case len(replaceable) > 0 && len(v.Members) > size:
		members = withoutMember(members, replaceable[0])
	case len(replaceable) > 0 && len(newcomers) > 0:
		members = append(withoutMember(members, replaceable[0]), newcomers[0])
	case len(replaceable) == 0:
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

// newcomers returns the controllers that may become members, sorted by IP: live, caught up and not shutting down.
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

// replaceableMembers returns the members that a newcomer may replace: first those that shut down, then those that are
// silent, the longest silent first.
//
// A member that shuts down is replaced while it still runs. This guards against a second loss right after a planned
// replacement: with a wait for its silence the newcomer would become a member seconds later, and until then the
// register would have one live member fewer than its fault budget assumes.
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

// newcomerWaitOver reports whether a newcomer has waited long enough to be added without replacing a member. The wait
// is longer while a member is not live: the newcomer may be meant to replace that one, which then takes one change of
// the members instead of two.
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
