package clusterstate

import (
	"slices"

	"willowsill/decide/registry"
)

// maxDeparted is how many departed replicas are remembered, the last ones.
const maxDeparted = 1024

// departedReplicas remembers replicas that are gone, with the number of the last call that is known of each. One that has said
// that it is gone never calls again; one that was struck off after a long silence may come back with a later call.
//
// Danger: a feeder that was cut off lists replicas that have departed since. An edge that has forgotten them would take
// them back from it, and send to an address that may be another's by now.
type departedReplicas struct {
	lastSeq map[string]uint64 // number of the last call, by id
	order   []string          // the same ids, oldest first
}

// covers tells whether a record says nothing that is newer than the replica's end.
func (d *departedReplicas) covers(r registry.Record) bool {
	last, ok := d.lastSeq[r.ID]
	return ok && r.Seq <= last
}

// add takes in that a replica is gone.
func (d *departedReplicas) add(r registry.Record) {
	if d.lastSeq == nil {
		d.lastSeq = map[string]uint64{}
	}
	if _, again := d.lastSeq[r.ID]; again {
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
