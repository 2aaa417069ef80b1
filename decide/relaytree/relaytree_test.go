package relaytree

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"willowsill/decide/clusterstate"
	"willowsill/decide/failuredetector"
	"willowsill/decide/locality"
)

// TestEveryPathEndsAtAController: the last choice of each edge is a controller, whichever edges fail. The first choices form
// a tree of bounded degree and depth.
func TestEveryPathEndsAtAController(t *testing.T) {
	controllers := []string{"1.1.1.1", "1.1.1.2", "1.1.1.3"}
	for _, n := range []int{1, 2, 3, 9, 60, 300} {
		var f clusterstate.Fleet
		for i := range n {
			f.Edges = append(f.Edges, clusterstate.Edge{IP: fmt.Sprint("10.0.0.", i), Zone: fmt.Sprint("z", i%3)})
		}
		first, zone := map[string]Feeder{}, map[string]string{}
		heads, downstream := map[string]int{}, map[string]int{}
		for _, e := range f.Edges {
			order := Feeders(e.IP, e.Zone, f, controllers, nil)
			first[e.IP], zone[e.IP] = order[0], e.Zone
			must.True(t, order[len(order)-1].Controller)
			if order[0].Controller {
				heads[e.Zone]++
			} else {
				downstream[order[0].IP]++
			}
		}
		for z, k := range heads {
			must.LessEq(t, 2, k, must.Sprint(z))
		}
		for ip, k := range downstream {
			must.LessEq(t, branching, k, must.Sprint(ip))
		}
		for ip := range first {
			steps := 0
			for at := ip; !first[at].Controller; at = first[at].IP {
				must.Eq(t, zone[ip], zone[at])
				steps++
				must.Less(t, 8, steps)
			}
		}
	}
	// An edge that is not in the list yet gets its updates from a controller.
	must.True(t, Feeders("10.9.9.9", "z1", clusterstate.Fleet{}, controllers, nil)[0].Controller)
}

// TestFewMoveWhenOneJoins: an edge that joins or leaves changes the upstream of few others, however large the zone is. Each
// edge that moves is sent the whole state again, so if the moves grew with the zone, the bytes sent for a change would grow
// with its square.
func TestFewMoveWhenOneJoins(t *testing.T) {
	const joins, zones = 8, 2
	for _, n := range []int{30, 100, 300} {
		edge := func(i int) clusterstate.Edge {
			return clusterstate.Edge{IP: fmt.Sprintf("10.0.%d.%d", i/250, i%250), Zone: fmt.Sprint("z", i%zones)}
		}
		var f clusterstate.Fleet
		for i := range n {
			f.Edges = append(f.Edges, edge(i))
		}
		feeders := func() map[string]Feeder {
			first := map[string]Feeder{}
			for _, e := range f.Edges {
				first[e.IP] = Feeders(e.IP, e.Zone, f, []string{"1.1.1.1", "1.1.1.2"}, nil)[0]
			}
			return first
		}
		before, moved := feeders(), 0
		for k := range joins {
			f.Edges = append(f.Edges, edge(n+k))
			after := feeders()
			for ip, up := range before {
				if after[ip] != up {
					moved++
				}
			}
			before = after
		}
		must.LessEq(t, 3*joins, moved, must.Sprint(n, " edges"))
	}
}

// TestNoCircleWithDifferentLists: edges with different lists never form a cycle, since each edge's upstream precedes it in one
// order that does not depend on the list.
func TestNoCircleWithDifferentLists(t *testing.T) {
	const n = 60
	rapid.Check(t, func(t *rapid.T) {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint("10.0.0.", i))
		}
		place := map[string]int{}
		for i, ip := range failuredetector.Ring(all) {
			place[ip] = i
		}
		var f clusterstate.Fleet
		for _, ip := range all {
			if rapid.Bool().Draw(t, ip) {
				f.Edges = append(f.Edges, clusterstate.Edge{IP: ip})
			}
		}
		for _, e := range f.Edges {
			for _, up := range Feeders(e.IP, e.Zone, f, nil, nil) {
				must.Less(t, place[e.IP], place[up.IP])
			}
		}
	})
}

// TestControllersNearFirst: an edge tries the controllers of its own zone first, then those of its region, then the others.
// Seeds that the fleet does not list come last.
func TestControllersNearFirst(t *testing.T) {
	regions := locality.Regions{"a1": "a", "a2": "a", "b1": "b"}
	f := clusterstate.Fleet{Controllers: []string{"10.1.0.1", "10.1.0.2", "10.2.0.1", "10.2.0.2", "10.3.0.1"}, Zones: []string{"b1", "a1", "a2", "b1", "a1"}}
	for i := range 20 {
		var zones []string
		for _, feeder := range Feeders(fmt.Sprint("10.0.0.", i), "a1", f, []string{"10.2.0.1", "10.9.0.9"}, regions) {
			must.True(t, feeder.Controller)
			at := slices.Index(f.Controllers, feeder.IP)
			if at < 0 {
				zones = append(zones, "")
				continue
			}
			zones = append(zones, f.Zones[at])
		}
		must.Eq(t, []string{"a1", "a1", "a2"}, zones[:3])
		must.SliceLen(t, 6, zones)
	}
}
