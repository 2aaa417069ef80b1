// Package relaytree is the tree by which updates reach the edges. The edges of each zone form a tree, which every edge
// computes from the list of edges that all of them receive. The first two edges in the order of the failure detector's ring
// are the heads of the zone and get their updates from controllers; each other edge gets them from an edge before it in that
// order. The package does no I/O.
//
// The tree is a digital search tree: the digits of a hash of an edge's IP select its path down from its head, and on
// each path the edges are in the order of the ring. So when an edge joins or leaves, only edges on its own path move,
// however large the zone is. An edge's upstream always precedes it in the order of the ring, which is the same for all
// edges. So edges with different lists, and edges of the previous version, which used that order too, cannot form a cycle.
//
// Decides: which upstream an edge gets its updates from, and which is next when that one fails.
package relaytree

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/failuredetector"
	"willowsill/decide/locality"
)

const (
	headsPerZone     = 2         // edges of a zone that get their updates from controllers
	branching        = 5         // limit for the edges downstream of one edge, as long as no upstream fails
	branchHashSuffix = "/branch" // makes the hash for tree paths differ from the one for the ring
)

// Feeder is a process from which an edge may get updates: a controller, or the agent of another edge.
type Feeder struct {
	IP         string
	Controller bool
}

// Feeders returns the processes from which the edge self may get updates, in the order in which it is to try them. All
// controllers, those of the fleet and the seeds, are at the end, the nearest first.
func Feeders(self, zone string, f clusterstate.Fleet, seeds []string, regions locality.Regions) (order []Feeder) {
	var ips []string
	for _, e := range f.Edges {
		if e.Zone == zone || e.IP == self {
			ips = append(ips, e.IP)
		}
	}
	ring := failuredetector.Ring(ips)
	if at := slices.Index(ring, self); at >= headsPerZone {
		for _, ip := range ancestors(self, ring[:at]) {
			order = append(order, Feeder{IP: ip})
		}
		// The other head of the zone serves where the whole path fails.
		for _, ip := range ring[:headsPerZone] {
			if !slices.ContainsFunc(order, func(o Feeder) bool { return o.IP == ip }) {
				order = append(order, Feeder{IP: ip})
			}
		}
	}
	controllers := f.ControlServers()
	for _, ip := range seeds {
		if !slices.ContainsFunc(controllers, func(c locality.Process) bool { return c.IP == ip }) {
			controllers = append(controllers, locality.Process{IP: ip})
		}
	}
	regions.Order(self, zone, controllers)
	for _, c := range controllers {
		order = append(order, Feeder{c.IP, true})
	}
	return order
}

// ancestors returns the edges on self's path up to its head, the nearest first. before are the edges that precede it in the
// order of the ring; the first of them are the heads.
//
// Danger: if upstreams were assigned by counting along the ring, each edge that joins would change the upstream of a share
// of the edges after it (nine, of 300 in six zones), and each of those would be sent the whole state again.
func ancestors(self string, before []string) (path []string) {
	head, digits := treePath(self)
	path = []string{before[head]}
	// The node for a prefix of digits is the first edge, in the order of the ring, that has this prefix and is not the node
	// for a shorter one. modulus selects the digits of the prefix.
	modulus := uint64(branching)
	for _, ip := range before[headsPerZone:] {
		otherHead, otherDigits := treePath(ip)
		if otherHead == head && otherDigits%modulus == digits%modulus {
			path = append(path, ip)
			modulus *= branching
		}
	}
	slices.Reverse(path)
	return path
}

// treePath returns an edge's path down its zone's tree: its head, and the branch at each step as a digit to the base
// branching, the first step in the lowest digit.
func treePath(ip string) (head int, digits uint64) {
	hash := xxhash.Sum64String(ip + branchHashSuffix)
	return int(hash % headsPerZone), hash / headsPerZone
}
