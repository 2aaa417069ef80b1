package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A replica announces its departure once and never calls again, so a controller that misses it must learn of it from another
// controller. For this, registries compare sums of their leaving replicas and exchange the records where the sums differ.

// leavingBuckets is the number of buckets into which leaving replicas are divided. Two registries exchange the records of
// the buckets in which they differ.
const leavingBuckets = 64

// LeavingSums has a sum of the replicas known to leave for each bucket. Registries with the same sums know the same leaving
// replicas in the same phases.
type LeavingSums [leavingBuckets]uint64

// AgedRecord is a record and the time since its replica was heard, in ns. Because of the age, a registry that gets the record
// of a gone replica from another one does not remember it for longer than that one.
type AgedRecord struct {
	Record Record `cbor:"1,keyasint"`
	Age    int64  `cbor:"2,keyasint,omitempty"`
}

// leavingHash returns the hash of a record's phase and ID. It is combined into its bucket's sum by exclusive or, and taken out
// in the same way.
func leavingHash(r Record) uint64 { return xxhash.Sum64String(r.Phase.String() + " " + r.ID) }

// leavingBucket returns the bucket of a replica, which does not depend on its phase.
func leavingBucket(id string) int { return int(idHash(id) % leavingBuckets) }

// leavingReplicas are the IDs of a registry's leaving replicas, and their sums.
type leavingReplicas struct {
	sums LeavingSums
	ids  map[string]struct{}
}

// add adds the record of an entry, if the replica leaves.
func (l *leavingReplicas) add(r Record) {
	if r.Leaving() {
		l.ids[r.ID] = struct{}{}
		l.sums[leavingBucket(r.ID)] ^= leavingHash(r)
	}
}

// remove removes a record that was passed to add.
func (l *leavingReplicas) remove(r Record) {
	if r.Leaving() {
		delete(l.ids, r.ID)
		l.sums[leavingBucket(r.ID)] ^= leavingHash(r)
	}
}

// LeavingSums returns the sums of this registry.
func (reg *Registry) LeavingSums() LeavingSums { return reg.leaving.sums }

// LeavingSum returns one sum over all buckets.
func (reg *Registry) LeavingSum() (sum uint64) {
	for _, s := range reg.leaving.sums {
		sum ^= s
	}
	return sum
}

// LeavingDifference returns the leaving replicas of the buckets in which this registry differs from another, sorted by ID.
func (reg *Registry) LeavingDifference(now int64, other LeavingSums) (records []AgedRecord) {
	for id := range reg.leaving.ids {
		if bucket := leavingBucket(id); reg.leaving.sums[bucket] != other[bucket] {
			e := reg.entries[id]
			records = append(records, AgedRecord{e.Record, now - e.heardAt})
		}
	}
	slices.SortFunc(records, func(a, b AgedRecord) int { return cmp.Compare(a.Record.ID, b.Record.ID) })
	return records
}

// MergeAged merges another registry's record of a leaving replica, unless the record is so old that registries are about to
// forget it. Different registries forget it at slightly different times.
func (reg *Registry) MergeAged(now int64, r AgedRecord) (newer, changed bool) {
	if r.Age < 0 || r.Age > reg.KeepGone-reg.SilentAfter {
		return false, false
	}
	newer, changed = reg.Merge(now-r.Age, r.Record)
	if newer {
		reg.nextCheck = min(reg.nextCheck, reg.checkTime(reg.entries[r.Record.ID]))
	}
	return newer, changed
}
