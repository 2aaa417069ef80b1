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
	Way          string
	Copies       int     // in all, those between controllers not counted
	Zones        int     // of them between zones of a region
	Regions      int     // and between regions
	AtController int     // the most that one controller sends
	AtEdge       int     // the most that one edge sends
	Hops         int     // from a controller to the last edge
	Reached      float64 // share of the edges
}

const (
	floodTo = 3 // others that an edge tells in a flood: fewer leave many out
	floodOf = 2 // edges that controllers begin a flood with
)

type place struct{ zone, region int }

func (f Fleet) place(i int) place { return place{i % f.Zones, i % f.Zones * f.Regions / f.Zones} }

// pass books one copy.
func (c *Cost) pass(a, b place) {
	switch c.Copies++; {
	case a.region != b.region:
		c.Regions++
	case a.zone != b.zone:
		c.Zones++
	}
}

// Reckon compares the three ways.
func Reckon(f Fleet) (all []Cost) {
	edges, controllers := map[string]place{}, map[string]place{}
	var fleet clusterstate.Fleet
	var names []string
	for i := range f.Edges {
		ip := fmt.Sprintf("10.%d.%d.%d", i%f.Zones, i/250, i%250)
		edges[ip] = f.place(i)
		fleet.Edges = append(fleet.Edges, clusterstate.Edge{IP: ip, Zone: fmt.Sprint("z", i%f.Zones)})
		names = append(names, ip)
	}
	for i := range f.Controllers {
		ip := fmt.Sprintf("10.200.0.%d", i)
		controllers[ip] = f.place(i)
		fleet.Controllers = append(fleet.Controllers, ip)
	}
	first := func(ip string) relaytree.Feeder { // whom it follows
		return relaytree.Feeders(ip, fmt.Sprint("z", edges[ip].zone), fleet, nil, nil)[0]
	}
	tree, star := Cost{Way: "tree", Reached: 1}, Cost{Way: "star", Reached: 1, Hops: 1}
	sends := map[string]int{}
	starSends := map[string]int{}
	for _, ip := range names {
		up := first(ip)
		from := controllers[up.IP]
		if !up.Controller {
			from = edges[up.IP]
		}
		tree.pass(from, edges[ip])
		sends[up.IP]++
		hops := 1
		for at := up; !at.Controller; at = first(at.IP) {
			hops++
		}
		tree.Hops = max(tree.Hops, hops)
		order := relaytree.Feeders(ip, "none", clusterstate.Fleet{}, fleet.Controllers, nil)
		star.pass(controllers[order[0].IP], edges[ip])
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
func flood(f Fleet, names []string, edges, controllers map[string]place) Cost {
	c := Cost{Way: "flood", AtController: floodOf, AtEdge: floodTo}
	rng := rand.New(rand.NewPCG(uint64(f.Edges), 1))
	heard := map[string]bool{}
	var wave []string
	for _, at := range controllers {
		for range floodOf {
			to := names[rng.IntN(len(names))]
			c.pass(at, edges[to])
			if !heard[to] {
				heard[to] = true
				wave = append(wave, to)
			}
		}
	}
	for ; len(wave) > 0; c.Hops++ {
		var next []string
		for _, from := range wave {
			for range floodTo {
				to := names[rng.IntN(len(names))]
				c.pass(edges[from], edges[to])
				if !heard[to] {
					heard[to] = true
					next = append(next, to)
				}
			}
		}
		wave = next
	}
	c.Reached = float64(len(heard)) / float64(len(names))
	return c
}
