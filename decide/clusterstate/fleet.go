package clusterstate

import (
	"cmp"
	"slices"

	"willowsill/decide/locality"
)

// compareByIP orders edges as Fleet.Edges and FleetChange.Joined are sorted.
func compareByIP(a, b Edge) int { return cmp.Compare(a.IP, b.IP) }

func (f Fleet) equal(o Fleet) bool {
	return f.Most == o.Most && slices.Equal(f.Edges, o.Edges) && slices.Equal(f.Controllers, o.Controllers) &&
		slices.Equal(f.Zones, o.Zones)
}

// withChange returns the fleet that results from applying a difference to f.
func (f Fleet) withChange(c FleetChange) Fleet {
	edges := slices.DeleteFunc(slices.Clone(f.Edges), func(e Edge) bool {
		_, joined := slices.BinarySearchFunc(c.Joined, e, compareByIP)
		_, left := slices.BinarySearch(c.Left, e.IP)
		return joined || left
	})
	edges = append(edges, c.Joined...)
	slices.SortFunc(edges, compareByIP)
	return Fleet{Edges: edges, Most: c.Most, Controllers: c.Controllers, Zones: c.Zones}
}

// fleetDifference returns the change that turns before into after. An edge whose zone has changed is among Joined.
func fleetDifference(before, after Fleet) FleetChange {
	c := FleetChange{Most: after.Most, Controllers: after.Controllers, Zones: after.Zones, Count: len(after.Edges)}
	for _, e := range after.Edges {
		if at, found := slices.BinarySearchFunc(before.Edges, e, compareByIP); !found || before.Edges[at] != e {
			c.Joined = append(c.Joined, e)
		}
	}
	for _, e := range before.Edges {
		if _, found := slices.BinarySearchFunc(after.Edges, e, compareByIP); !found {
			c.Left = append(c.Left, e.IP)
		}
	}
	return c
}

// ControlServers returns the controllers with their zones, which are empty where the upstream did not send them.
func (f Fleet) ControlServers() []locality.Process {
	processes := make([]locality.Process, len(f.Controllers))
	for i, ip := range f.Controllers {
		processes[i].IP = ip
		if len(f.Zones) == len(f.Controllers) {
			processes[i].Zone = f.Zones[i]
		}
	}
	return processes
}

// EdgeIPsInZone returns the IPs of the zone's edges, sorted.
func (f Fleet) EdgeIPsInZone(zone string) (ips []string) {
	for _, e := range f.Edges {
		if e.Zone == zone {
			ips = append(ips, e.IP)
		}
	}
	return ips
}
