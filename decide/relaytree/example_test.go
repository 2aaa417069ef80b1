package relaytree_test

import (
	"fmt"

	"willowsill/decide/clusterstate"
	"willowsill/decide/relaytree"
)

// Of four edges in a zone two get their updates from a controller, the others from those two.
func ExampleFeeders() {
	var fleet clusterstate.Fleet
	for i := range 4 {
		fleet.Edges = append(fleet.Edges, clusterstate.Edge{IP: fmt.Sprint("10.0.0.", i+1), Zone: "east"})
	}
	controllers := 0
	for _, e := range fleet.Edges {
		if relaytree.Feeders(e.IP, e.Zone, fleet, []string{"10.9.0.1"}, nil)[0].Controller {
			controllers++
		}
	}
	fmt.Println(controllers, "follow a controller")
	// Output: 2 follow a controller
}
