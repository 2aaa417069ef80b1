package controller

import "willowsill/decide/registry"

// Stats are the figures that a controller exports as metrics.
type Stats struct {
	InContact   bool   // a majority of the members answers its heartbeats
	CaughtUp    bool   // its disk counts in majorities
	Epoch       uint64 // epoch of the members
	Revision    uint64 // revision of the newest configuration known to be committed
	Members     int
	Controllers int // other controllers that it knows
	Edges       int
	Calls       int    // calls of replicas and operators without an answer yet
	Saves       uint64 // saves handed out since the process started
	Replicas    map[registry.Phase]int
}

// Stats returns the present figures. It visits each replica.
func (c *Controller) Stats() Stats {
	return Stats{InContact: c.InContact(), CaughtUp: c.disk.CaughtUp, Epoch: c.committed.Epoch, Revision: c.committed.Revision,
		Members: len(c.members()), Controllers: len(c.peers), Edges: len(c.edges), Calls: len(c.calls), Saves: c.lastSave,
		Replicas: c.replicas.Phases()}
}
