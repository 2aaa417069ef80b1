package relaytree

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
)

// TestEveryWayLeadsToALight: whoever fails, each edge has another way in the end, and the first ways make a
// tree: nobody is above itself.
func TestEveryWayLeadsToALight(t *testing.T) {
	lights := []string{"1.1.1.1", "1.1.1.2", "1.1.1.3"}
	for _, n := range []int{1, 2, 3, 9, 60, 300} {
		var f clusterstate.Fleet
		for i := range n {
			f.Edges = append(f.Edges, clusterstate.Edge{IP: fmt.Sprint("10.0.0.", i), Zone: fmt.Sprint("z", i%3)})
		}
		first, zone := map[string]Feeder{}, map[string]string{}
		heads, under := map[string]int{}, map[string]int{}
		for _, e := range f.Edges {
			order := Feeders(e.IP, e.Zone, f, lights)
			first[e.IP], zone[e.IP] = order[0], e.Zone
			must.True(t, order[len(order)-1].Light)
			if order[0].Light {
				heads[e.Zone]++
			} else {
				under[order[0].IP]++
			}
		}
		for z, k := range heads {
			must.LessEq(t, 2, k, must.Sprint(z))
		}
		for ip, k := range under {
			must.LessEq(t, below, k, must.Sprint(ip))
		}
		for ip := range first {
			steps := 0
			for at := ip; !first[at].Light; at = first[at].IP {
				must.Eq(t, zone[ip], zone[at])
				steps++
				must.Less(t, 8, steps)
			}
		}
	}
	// An edge that no list names yet follows a controller.
	must.True(t, Feeders("10.9.9.9", "z1", clusterstate.Fleet{}, lights)[0].Light)
}
