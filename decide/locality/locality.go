// Package locality says how far the zones of a deployment are from each other, and which of several processes serves a
// caller from nearest. It does no I/O.
//
// Decides: which process a caller tries first, and which of those that are equally near.
package locality

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Regions holds the region of each zone, by the zone's name.
type Regions map[string]string

// Distance is how far one zone is from another.
type Distance int

// The distances, from the nearest.
const (
	SameZone    Distance = iota
	SameRegion           // another zone of the region
	OtherRegion          // another region, or a zone of which nothing is known
)

// Distance says how far two zones are from each other. A zone without a name is far from all.
func (r Regions) Distance(a, b string) Distance {
	switch {
	case a == "" || b == "":
		return OtherRegion
	case a == b:
		return SameZone
	case r[a] != "" && r[a] == r[b]:
		return SameRegion
	}
	return OtherRegion
}

// Process is one that serves callers.
type Process struct {
	IP   string
	Zone string // empty where it is not known
}

// Order sorts processes in the order in which a caller tries them: the nearest first. Those that are equally near stand
// in the order of a hash with the caller's name in it (rendezvous hashing), so that callers spread over them evenly, and
// one that goes takes only its own callers with it.
func (r Regions) Order(caller, zone string, processes []Process) {
	weight := func(p Process) uint64 { return xxhash.Sum64String(caller + p.IP) }
	slices.SortFunc(processes, func(a, b Process) int {
		return cmp.Or(cmp.Compare(r.Distance(zone, a.Zone), r.Distance(zone, b.Zone)), cmp.Compare(weight(a), weight(b)), cmp.Compare(a.IP, b.IP))
	})
}
