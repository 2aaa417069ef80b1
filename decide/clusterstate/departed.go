package clusterstate

import (
	"slices"

	"willowsill/decide/registry"
)

// departedKept is how many departed replicas are remembered, the last ones.
const departedKept = 1024

// departed remembers replicas that are gone, with the number of the last call that is known of each. One that has said
// that it is gone never calls again; one that was struck off after a long silence may come back with a later call.
//
// Danger: a feeder that was cut off lists replicas that have departed since. An edge that has forgotten them would take
// them back from it, and send to an address that may be another's by now.
type departed struct {
	last  map[string]uint64 // number of the last call, by id
	order []string          // the same ids, oldest first
}

// covers tells whether a record says nothing that is newer than the replica's end.
func (d *departed) covers(r registry.Record) bool {
	last, ok := d.last[r.ID]
	return ok && r.Seq <= last
}

// add takes in that a replica is gone.
func (d *departed) add(r registry.Record) {
	if d.last == nil {
		d.last = map[string]uint64{}
	}
	if _, again := d.last[r.ID]; again {
		d.last[r.ID] = max(d.last[r.ID], r.Seq)
		return
	}
	if len(d.order) == departedKept {
		delete(d.last, d.order[0])
		d.order = slices.Delete(d.order, 0, 1)
	}
	d.last[r.ID] = r.Seq
	d.order = append(d.order, r.ID)
}
