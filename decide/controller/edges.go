package controller

import (
	"cmp"
	"maps"
	"slices"

	"willowsill/decide/clusterstate"
)

// This file tracks the edges and builds the list of edges and controllers that all edges are sent.

// HandleEdgeReport handles the report of an edge that gets its updates from this controller, directly or through other
// edges. Each edge repeats its report while it is connected.
func (c *Controller) HandleEdgeReport(now int64, report EdgeReport) Effects {
	c.now = now
	c.recordEdge(report, true)
	c.updateFleet()
	c.recordEvidence(report)
	return c.takeEffects()
}

// recordEdge records an edge's report. own is true for a report of an edge that gets its updates from this controller,
// which passes the report on, and false for one that came from another controller.
func (c *Controller) recordEdge(report EdgeReport, own bool) {
	if report.Edge.IP == "" { // an operator who watches, not an edge
		return
	}
	e := c.edges[report.Edge.IP]
	if e == nil {
		e = &edge{suspectedBy: map[string]int64{}}
		c.edges[report.Edge.IP] = e
		c.edgeReportAt = 0
	}
	at := c.now - report.Age
	if at < e.lastHeard {
		return
	}
	if own && !slices.Equal(e.suspects, report.Suspects) {
		e.reportedAt = 0
	} else if !own {
		e.reportedAt = c.now
	}
	e.Edge, e.lastHeard, e.suspects = report.Edge, at, report.Suspects
	for _, ip := range report.Suspects {
		if o := c.edges[ip]; o != nil {
			o.suspectedBy[report.Edge.IP] = at
		}
	}
}

// updateFleet sends the edges the list of edges and controllers if it has changed. Within fleetUpdateInterval of the
// last list it only marks the next one as due.
//
// Danger: when a zone starts, its edges connect within seconds. A list for each new edge, sent to all that are there,
// would make both the bytes and the time to build the lists grow with the square of the number of edges.
//
// Danger: an edge that suspects another one may itself be cut off. An edge is left out of the list only if two others
// suspect it, or all others of its zone if they are fewer, and only while its own reports are missing too. The edges of
// a zone watch each other because only they get updates through one another.
func (c *Controller) updateFleet() {
	if c.fleetUpdateDue = c.now < c.fleetUpdateAt; c.fleetUpdateDue {
		return
	}
	c.fleetUpdateAt = c.now + fleetUpdateInterval
	var fleet clusterstate.Fleet
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
		fleet.Edges = append(fleet.Edges, e.Edge)
	}
	slices.SortFunc(fleet.Edges, func(a, b clusterstate.Edge) int { return cmp.Compare(a.IP, b.IP) })
	// Danger: an edge that was left out may still be spending its share of a budget, so the number of edges that budgets
	// are divided by falls only after maxEdgesRetention.
	if len(fleet.Edges) >= c.maxEdges || c.now-c.maxEdgesAt > maxEdgesRetention {
		c.maxEdges, c.maxEdgesAt = len(fleet.Edges), c.now
	}
	fleet.Most = max(c.maxEdges, 1)
	controllers := map[string]bool{c.IP: true}
	for ip := range c.peers {
		if slices.Contains(c.members(), ip) || c.isLive(ip) {
			controllers[ip] = true
		}
	}
	fleet.Controllers = slices.Sorted(maps.Keys(controllers))
	for _, ip := range fleet.Controllers {
		fleet.Zones = append(fleet.Zones, c.controllerZone(ip))
	}
	c.addUpdate(c.state.Apply(clusterstate.Update{Fleet: fleet}))
}
