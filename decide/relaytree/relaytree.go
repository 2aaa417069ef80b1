// Package relaytree is the tree by which updates reach the edges. Each zone's edges make one among themselves, from the
// list of edges that all are told: the first two in the order of the ring follow controllers, the others follow those
// before them. It does no I/O.
//
// The tree is a digital search tree: an edge's way down from its head is spelt by the bits of a hash of its IP,
// and on each way the edges stand in the order of the ring. So an edge that joins or leaves moves only those
// on the one way that it stands on, whatever the size of the zone. Whoever is followed stands before its
// follower in the order of the ring, which is the same for all: so edges whose lists differ, and edges of the
// version before, which went by that order too, cannot follow each other in a circle.
//
// Decides: whom an edge follows, and whom next when that one fails.
package relaytree

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/failuredetector"
	"willowsill/decide/locality"
)

const (
	headsPerZone     = 2 // of a zone: they follow controllers
	branching        = 5 // edges that follow one, at the most while all ways up are whole
	branchHashSuffix = "/branch"
)

// Feeder is a process that an edge may follow for updates: a controller, or the agent of another edge.
type Feeder struct {
	IP         string
	Controller bool
}

// Feeders are those that an edge may follow, the one to follow first in front; controllers come last and
// always: those that the fleet names and the seeds, the nearest first.
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
		// The other head, where the way up fails.
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

// ancestors are the edges on self's way up to its head, the nearest first. before are the edges that stand before
// it in the order of the ring; the first of them are the heads.
//
// Danger: were followers counted off along the ring, each edge that joins would give a share of all the edges
// after it another feeder (nine, of 300 in six zones), and each of those would be sent the whole state again.
func ancestors(self string, before []string) (way []string) {
	head, branches := treePath(self)
	way = []string{before[head]}
	// Of those that share the first steps, the first in the order of the ring stands where these steps lead.
	steps := uint64(branching)
	for _, ip := range before[headsPerZone:] {
		otherHead, other := treePath(ip)
		if otherHead == head && other%steps == branches%steps {
			way = append(way, ip)
			steps *= branching
		}
	}
	slices.Reverse(way)
	return way
}

// treePath spells an edge's way down its zone's tree: its head, then one of the branches at each step, the
// first step in the lowest digit.
func treePath(ip string) (head int, branches uint64) {
	hash := xxhash.Sum64String(ip + branchHashSuffix)
	return int(hash % headsPerZone), hash / headsPerZone
}
