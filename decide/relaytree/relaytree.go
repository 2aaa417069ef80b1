// Package relaytree is the tree that news goes down. Each zone's edges make one among themselves, from the list
// of edges that all are told: the first two in the order of the ring follow controllers, the others follow
// those before them. It does no I/O.
//
// Decides: whom an edge follows, and whom next when that one fails.
package relaytree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/failuredetector"
)

const (
	heads = 2 // of a zone: they follow controllers
	below = 4 // edges that follow one
)

// Feeder is one to follow.
type Feeder struct {
	IP    string
	Light bool
}

// Feeders are those that an edge may follow, the one to follow first in front; controllers come last and
// always.
func Feeders(self, zone string, f clusterstate.Fleet, lights []string) (order []Feeder) {
	var ips []string
	for _, e := range f.Edges {
		if e.Zone == zone || e.IP == self {
			ips = append(ips, e.IP)
		}
	}
	ring := failuredetector.Ring(ips)
	if at := slices.Index(ring, self); at >= heads {
		for up := at; up >= heads; {
			up = (up - heads) / below
			order = append(order, Feeder{IP: ring[up]})
		}
		// The other head, where the way up fails.
		for _, ip := range ring[:heads] {
			if !slices.ContainsFunc(order, func(o Feeder) bool { return o.IP == ip }) {
				order = append(order, Feeder{IP: ip})
			}
		}
	}
	lights = slices.Clone(lights)
	slices.SortFunc(lights, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(self+a), xxhash.Sum64String(self+b)), cmp.Compare(a, b))
	})
	for _, ip := range slices.Compact(lights) {
		order = append(order, Feeder{ip, true})
	}
	return order
}
