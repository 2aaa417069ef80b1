// Package propagation counts the messages that bring one update to all edges: by the tree of decide/relaytree, by a star
// (each edge follows a controller) and by a flood (each edge passes what it hears first to a few others). It does no I/O.
package propagation

import (
	"fmt"
	"math/rand/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/relaytree"
)

// Fleet is a system's size: edges and controllers spread evenly over zones, and zones over regions.
type Fleet struct{ Edges, Controllers, Zones, Regions int }

// Cost is what one update costs. A copy is one message over one link.
type Cost struct {
	Strategy     string
	Copies       int     // in all, those between controllers not counted
	CrossZone    int     // of them between zones of a region
	CrossRegion  int     // and between regions
	AtController int     // the most that one controller sends
	AtEdge       int     // the most that one edge sends
	MaxHops      int     // from a controller to the last edge
	ReachedShare float64 // share of the edges
}

const (
	floodFanout = 3 // others that an edge tells in a flood: fewer leave many out
	floodSeeds  = 2 // edges that controllers begin a flood with
)

type location struct{ zone, region int }

func (f Fleet) locationOf(i int) location {
	return location{i % f.Zones, i % f.Zones * f.Regions / f.Zones}
}

// countCopy books one copy.
func (c *Cost) countCopy(a, b location) {
	switch c.Copies++; {
	case a.region != b.region:
		c.CrossRegion++
	case a.zone != b.zone:
		c.CrossZone++
	}
}

// Compare compares the three ways.
func Compare(f Fleet) (all []Cost) {
	edges, controllers := map[string]location{}, map[string]location{}
	var fleet clusterstate.Fleet
	var names []string
	for i := range f.Edges {
		ip := fmt.Sprintf("10.%d.%d.%d", i%f.Zones, i/250, i%250)
		edges[ip] = f.locationOf(i)
		fleet.Edges = append(fleet.Edges, clusterstate.Edge{IP: ip, Zone: fmt.Sprint("z", i%f.Zones)})
		names = append(names, ip)
	}
	for i := range f.Controllers {
		ip := fmt.Sprintf("10.200.0.%d", i)
		controllers[ip] = f.locationOf(i)
		fleet.Controllers = append(fleet.Controllers, ip)
	}
	first := func(ip string) relaytree.Feeder { // whom it follows
		return relaytree.Feeders(ip, fmt.Sprint("z", edges[ip].zone), fleet, nil, nil)[0]
	}
	tree, star := Cost{Strategy: "tree", ReachedShare: 1}, Cost{Strategy: "star", ReachedShare: 1, MaxHops: 1}
	sends := map[string]int{}
	starSends := map[string]int{}
	for _, ip := range names {
		up := first(ip)
		from := controllers[up.IP]
		if !up.Controller {
			from = edges[up.IP]
		}
		tree.countCopy(from, edges[ip])
		sends[up.IP]++
		hops := 1
		for at := up; !at.Controller; at = first(at.IP) {
			hops++
		}
		tree.MaxHops = max(tree.MaxHops, hops)
		order := relaytree.Feeders(ip, "none", clusterstate.Fleet{}, fleet.Controllers, nil)
		star.countCopy(controllers[order[0].IP], edges[ip])
		starSends[order[0].IP]++
	}
	for ip, n := range sends {
		if _, controller := controllers[ip]; controller {
			tree.AtController = max(tree.AtController, n)
		} else {
			tree.AtEdge = max(tree.AtEdge, n)
		}
	}
	for _, n := range starSends {
		star.AtController = max(star.AtController, n)
	}
	return []Cost{tree, star, flood(f, names, edges, controllers)}
}

// flood is one drawing of it.
func flood(f Fleet, names []string, edges, controllers map[string]location) Cost {
	c := Cost{Strategy: "flood", AtController: floodSeeds, AtEdge: floodFanout}
	rng := rand.New(rand.NewPCG(uint64(f.Edges), 1))
	heard := map[string]bool{}
	var wave []string
	for _, at := range controllers {
		for range floodSeeds {
			to := names[rng.IntN(len(names))]
			c.countCopy(at, edges[to])
			if !heard[to] {
				heard[to] = true
				wave = append(wave, to)
			}
		}
	}
	for ; len(wave) > 0; c.MaxHops++ {
		var next []string
		for _, from := range wave {
			for range floodFanout {
				to := names[rng.IntN(len(names))]
				c.countCopy(edges[from], edges[to])
				if !heard[to] {
					heard[to] = true
					next = append(next, to)
				}
			}
		}
		wave = next
	}
	c.ReachedShare = float64(len(heard)) / float64(len(names))
	return c
}
