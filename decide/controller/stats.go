package controller

import "willowsill/decide/registry"

// Stats are what a controller tells operators of itself. Counts are since its start.
type Stats struct {
	InContact   bool // with a majority of the members
	CaughtUp    bool // its disk counts in majorities
	Epoch       uint64
	Revision    uint64
	Members     int
	Controllers int // others that it knows
	Edges       int
	Calls       int // of replicas and operators that wait for their answer
	Saves       uint64
	Replicas    map[registry.Phase]int
}

// Stats counts what stands at this moment. It looks at each replica.
func (c *Controller) Stats() Stats {
	return Stats{InContact: c.InContact(), CaughtUp: c.disk.CaughtUp, Epoch: c.committed.Epoch, Revision: c.committed.Revision,
		Members: len(c.members()), Controllers: len(c.peers), Edges: len(c.edges), Calls: len(c.calls), Saves: c.lastSave,
		Replicas: c.replicas.Phases()}
}
