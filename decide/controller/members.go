package controller

import (
	"cmp"
	"slices"

	"willowsill/decide/register"
)

// Who the controllers are: the one duty that one of them does.

// duty changes the members, where this is the first live one of them in their order: a newcomer takes the
// place of one that has been silent, or is added where none is.
//
// Danger: were members only taken away, those left could be the few that die next, and the rest would wait
// for them for ever. So there are as many as there were before the first configuration; one more, where a
// newcomer comes before the one that it replaces has gone, and that one gives its place up once it is silent.
func (c *Controller) duty() {
	v := c.committed
	if len(v.Members) == 0 || !c.disk.CaughtUp || !c.inContact || c.leaving || c.proposer.Busy() || len(v.Prior) > 0 {
		return
	}
	if c.firstLiveMember() != c.IP {
		return
	}
	var newcomers, silent []string
	for ip, p := range c.peers {
		member := slices.Contains(v.Members, ip)
		switch {
		case member && c.now-max(c.lease.Reached(ip), c.began) > silentMember:
			silent = append(silent, ip)
		case !member && c.live(ip) && p.heartbeat.CaughtUp && !p.heartbeat.Leaving:
			newcomers = append(newcomers, ip)
		}
	}
	size := cmp.Or(v.Size, len(v.Members))
	if len(newcomers) == 0 && (len(v.Members) <= size || len(silent) == 0) {
		return
	}
	slices.Sort(newcomers)
	slices.SortFunc(silent, c.laterOf)
	members := slices.Clone(v.Members)
	switch {
	case len(silent) > 0:
		members = slices.DeleteFunc(members, func(m string) bool { return m == silent[0] })
		if len(members) < size {
			members = append(members, newcomers[0])
		}
	default:
		for _, ip := range newcomers {
			if v.Revision == 0 || c.now-c.peers[ip].first > roomMember {
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
	c.carry(out)
}
