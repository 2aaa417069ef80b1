package clusterstate

import (
	"slices"

	"willowsill/decide/registry"
)

// maxDeparted is the number of departed replicas that a state remembers; the oldest are forgotten first.
const maxDeparted = 1024

// departedReplicas remembers replicas that are gone, with the highest call number known of each. A replica that announced
// its departure never calls again; one that was dropped after a long silence may come back with a higher number.
//
// Danger: an upstream that was cut off still lists replicas that have departed since. An edge that had forgotten them
// would accept them again, and send requests to an address that may by now belong to another replica.
type departedReplicas struct {
	lastSeq map[string]uint64 // highest call number, by replica ID
	order   []string          // the same IDs, oldest departure first
}

// covers reports whether the replica is known to be gone and the record is no newer than its departure.
func (d *departedReplicas) covers(r registry.Record) bool {
	last, ok := d.lastSeq[r.ID]
	return ok && r.Seq <= last
}

// add remembers a replica that is gone.
func (d *departedReplicas) add(r registry.Record) {
	if d.lastSeq == nil {
		d.lastSeq = map[string]uint64{}
	}
	if _, known := d.lastSeq[r.ID]; known {
		d.lastSeq[r.ID] = max(d.lastSeq[r.ID], r.Seq)
		return
	}
	if len(d.order) == maxDeparted {
		delete(d.lastSeq, d.order[0])
		d.order = slices.Delete(d.order, 0, 1)
	}
	d.lastSeq[r.ID] = r.Seq
	d.order = append(d.order, r.ID)
}
