// Package propagation counts the messages that bring one update to all edges with three strategies: the tree of package relaytree, a
// star (each edge gets updates directly from a controller), and a flood (each edge forwards a new update to a few random edges). It does
// no I/O.
package propagation

import (
	"fmt"
	"math/rand/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/relaytree"
)

// Fleet is the size of a system. Edges and controllers are spread evenly over zones, and zones over regions.
type Fleet struct{ Edges, Controllers, Zones, Regions int }

// Cost is the cost of sending one update to all edges. A copy is one message over one link.
type Cost struct {
	Strategy     string
	Copies       int     // all copies but those between controllers
	CrossZone    int     // copies between zones of a region
	CrossRegion  int     // copies between regions
	AtController int     // most copies that one controller sends
	AtEdge       int     // most copies that one edge sends
	MaxHops      int     // most links between a controller and an edge
	ReachedShare float64 // share of the edges that get the update
}

const (
	floodFanout = 3 // number of edges that each edge forwards to; with fewer, the flood misses many edges
	floodSeeds  = 2 // number of edges that each controller sends to
)

// location is where a daemon runs.
type location struct{ zone, region int }

// locationOf returns the location of the edge or controller with index i.
func (f Fleet) locationOf(i int) location {
	return location{i % f.Zones, i % f.Zones * f.Regions / f.Zones}
}

// countCopy counts one copy from a to b.
func (c *Cost) countCopy(a, b location) {
	switch c.Copies++; {
	case a.region != b.region:
		c.CrossRegion++
	case a.zone != b.zone:
		c.CrossZone++
	}
}

// Compare returns the costs of the tree, the star and the flood for a fleet.
func Compare(f Fleet) (costs []Cost) {
	edges, controllers := map[string]location{}, map[string]location{}
	var fleet clusterstate.Fleet
	var ips []string
	for i := range f.Edges {
		ip := fmt.Sprintf("10.%d.%d.%d", i%f.Zones, i/250, i%250)
		edges[ip] = f.locationOf(i)
		fleet.Edges = append(fleet.Edges, clusterstate.Edge{IP: ip, Zone: fmt.Sprint("z", i%f.Zones)})
		ips = append(ips, ip)
	}
	for i := range f.Controllers {
		ip := fmt.Sprintf("10.200.0.%d", i)
		controllers[ip] = f.locationOf(i)
		fleet.Controllers = append(fleet.Controllers, ip)
	}
	firstUpstream := func(ip string) relaytree.Feeder { // the first upstream of an edge
		return relaytree.Feeders(ip, fmt.Sprint("z", edges[ip].zone), fleet, nil, nil)[0]
	}
	tree, star := Cost{Strategy: "tree", ReachedShare: 1}, Cost{Strategy: "star", ReachedShare: 1, MaxHops: 1}
	treeSends := map[string]int{}
	starSends := map[string]int{}
	for _, ip := range ips {
		upstream := firstUpstream(ip)
		from := controllers[upstream.IP]
		if !upstream.Controller {
			from = edges[upstream.IP]
		}
		tree.countCopy(from, edges[ip])
		treeSends[upstream.IP]++
		hops := 1
		for node := upstream; !node.Controller; node = firstUpstream(node.IP) {
			hops++
		}
		tree.MaxHops = max(tree.MaxHops, hops)
		order := relaytree.Feeders(ip, "none", clusterstate.Fleet{}, fleet.Controllers, nil)
		star.countCopy(controllers[order[0].IP], edges[ip])
		starSends[order[0].IP]++
	}
	for ip, n := range treeSends {
		if _, controller := controllers[ip]; controller {
			tree.AtController = max(tree.AtController, n)
		} else {
			tree.AtEdge = max(tree.AtEdge, n)
		}
	}
	for _, n := range starSends {
		star.AtController = max(star.AtController, n)
	}
	return []Cost{tree, star, flood(f, ips, edges, controllers)}
}

// flood simulates a flood once, with a fixed seed.
func flood(f Fleet, ips []string, edges, controllers map[string]location) Cost {
	c := Cost{Strategy: "flood", AtController: floodSeeds, AtEdge: floodFanout}
	rng := rand.New(rand.NewPCG(uint64(f.Edges), 1))
	reached := map[string]bool{}
	var frontier []string
	for _, from := range controllers {
		for range floodSeeds {
			to := ips[rng.IntN(len(ips))]
			c.countCopy(from, edges[to])
			if !reached[to] {
				reached[to] = true
				frontier = append(frontier, to)
			}
		}
	}
	for ; len(frontier) > 0; c.MaxHops++ {
		var next []string
		for _, from := range frontier {
			for range floodFanout {
				to := ips[rng.IntN(len(ips))]
				c.countCopy(edges[from], edges[to])
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		frontier = next
	}
	c.ReachedShare = float64(len(reached)) / float64(len(ips))
	return c
}
