// Package locality computes the distance between the zones of a deployment, and the order in which a caller tries several
// processes that offer the same service. It does no I/O.
//
// Decides: which process a caller tries first, also among equally near ones.
package locality

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Regions maps the name of a zone to the name of its region.
type Regions map[string]string

// Distance says how far apart two zones are. A lower value is nearer.
type Distance int

// The distances, in ascending order.
const (
	SameZone    Distance = iota
	SameRegion           // another zone of the same region
	OtherRegion          // another region, or a zone of unknown region
)

// Distance returns the distance between two zones. A zone with an empty name is in another region than all zones.
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

// Process is one of several processes that offer the same service.
type Process struct {
	IP   string
	Zone string // empty if unknown
}

// Order sorts processes in the order in which a caller tries them, the nearest first. Equally near processes are ordered by
// a hash over the caller and the process (rendezvous hashing). This spreads callers evenly, and when a process stops, only
// its own callers move to others.
func (r Regions) Order(caller, zone string, processes []Process) {
	weight := func(p Process) uint64 { return xxhash.Sum64String(caller + p.IP) }
	slices.SortFunc(processes, func(a, b Process) int {
		return cmp.Or(cmp.Compare(r.Distance(zone, a.Zone), r.Distance(zone, b.Zone)), cmp.Compare(weight(a), weight(b)), cmp.Compare(a.IP, b.IP))
	})
}
