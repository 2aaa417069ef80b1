package controller

import (
	"cmp"
	"maps"
	"slices"

	"willowsill/decide/clusterstate"
)

// Which edges there are, by who heard them.

// HandleEdgeReport tells of an edge that follows this controller, or one below it, again and again while it does.
func (c *Controller) HandleEdgeReport(now int64, s EdgeReport) Effects {
	c.now = now
	c.recordEdge(s, true)
	c.updateFleet()
	c.recordEvidence(s)
	return c.takeEffects()
}

// recordEdge takes in that an edge was heard of. own tells that no other controller has it from elsewhere.
func (c *Controller) recordEdge(s EdgeReport, own bool) {
	if s.Edge.IP == "" { // an operator who looks on
		return
	}
	e := c.edges[s.Edge.IP]
	if e == nil {
		e = &edge{suspectedBy: map[string]int64{}}
		c.edges[s.Edge.IP] = e
		c.edgeReportAt = 0
	}
	at := c.now - s.Age
	if at < e.lastHeard {
		return
	}
	if own && !slices.Equal(e.suspects, s.Suspects) {
		e.reportedAt = 0
	} else if !own {
		e.reportedAt = c.now
	}
	e.Edge, e.lastHeard, e.suspects = s.Edge, at, s.Suspects
	for _, ip := range s.Suspects {
		if o := c.edges[ip]; o != nil {
			o.suspectedBy[s.Edge.IP] = at
		}
	}
}

// updateFleet tells the edges who they are and where controllers are, where that has changed: at once, or a little later
// where that was done just before.
//
// Danger: when a zone starts, its edges come within seconds, and a list for each that comes, told to each that is there,
// would make the bytes grow with the square of the edges, and the time to make the lists too.
//
// Danger: one watcher may be the one that is cut off. An edge is left out of the tree only by the suspicion of
// two, or of all that watch it, and never while it is heard itself. The edges of a zone watch each other, for it is
// these alone that would follow a lost one.
func (c *Controller) updateFleet() {
	if c.fleetUpdateDue = c.now < c.fleetUpdateAt; c.fleetUpdateDue {
		return
	}
	c.fleetUpdateAt = c.now + fleetUpdateInterval
	var f clusterstate.Fleet
	inZone := map[string]int{}
	for _, e := range c.edges {
		inZone[e.Zone]++
	}
	for ip, e := range c.edges {
		if c.now-e.lastHeard > edgeTimeout {
			delete(c.edges, ip)
			continue
		}
		n := 0
		for by, at := range e.suspectedBy {
			if c.now-at > suspicionValidity {
				delete(e.suspectedBy, by)
			} else {
				n++
			}
		}
		if n >= min(suspicionThreshold, inZone[e.Zone]-1) && n > 0 && c.now-e.lastHeard > suspectedEdgeTimeout {
			continue
		}
		f.Edges = append(f.Edges, e.Edge)
	}
	slices.SortFunc(f.Edges, func(a, b clusterstate.Edge) int { return cmp.Compare(a.IP, b.IP) })
	// Danger: an edge that was left out may still be spending its share of a budget.
	if len(f.Edges) >= c.maxEdges || c.now-c.maxEdgesAt > maxEdgesRetention {
		c.maxEdges, c.maxEdgesAt = len(f.Edges), c.now
	}
	f.Most = max(c.maxEdges, 1)
	servers := map[string]bool{c.IP: true}
	for ip := range c.peers {
		if slices.Contains(c.members(), ip) || c.isLive(ip) {
			servers[ip] = true
		}
	}
	f.Controllers = slices.Sorted(maps.Keys(servers))
	for _, ip := range f.Controllers {
		f.Zones = append(f.Zones, c.controllerZone(ip))
	}
	c.addUpdate(c.state.Apply(clusterstate.Update{Fleet: f}))
}
