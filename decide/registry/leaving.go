package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// What a list knows of replicas that leave, summed up, so that two lists can be compared with a few bytes and brought to
// agree whoever was told first. A replica says once that it departs, and never calls again.

// leavingBuckets is how many parts the leaving replicas are divided into. Two lists exchange the records of the parts in
// which they differ.
const leavingBuckets = 64

// LeavingSums are sums of the replicas that are known to leave, one for each part. Lists with the same sums know of
// the same replicas in the same phases.
type LeavingSums [leavingBuckets]uint64

// AgedRecord is a record and how long ago its replica was heard, ns. The age keeps those that are gone from being
// remembered for longer each time that one list tells another.
type AgedRecord struct {
	Record Record `cbor:"1,keyasint"`
	Age    int64  `cbor:"2,keyasint,omitempty"`
}

// leavingHash is a record's share of its part's sum; shares are put together and taken out by exclusive or.
func leavingHash(r Record) uint64 { return xxhash.Sum64String(r.Phase.String() + " " + r.ID) }

// leavingBucket is the part that a replica belongs to, whatever its phase.
func leavingBucket(id string) int { return int(idHash(id) % leavingBuckets) }

// leavingReplicas are the ids of the replicas of a list that leave, and their sums.
type leavingReplicas struct {
	sums LeavingSums
	ids  map[string]struct{}
}

// add takes in an entry's record, where it says that the replica leaves.
func (l *leavingReplicas) add(r Record) {
	if r.Leaving() {
		l.ids[r.ID] = struct{}{}
		l.sums[leavingBucket(r.ID)] ^= leavingHash(r)
	}
}

// remove takes out a record that add took in.
func (l *leavingReplicas) remove(r Record) {
	if r.Leaving() {
		delete(l.ids, r.ID)
		l.sums[leavingBucket(r.ID)] ^= leavingHash(r)
	}
}

// LeavingSums are those of this list.
func (reg *Registry) LeavingSums() LeavingSums { return reg.leaving.sums }

// LeavingSum is one sum of all parts.
func (reg *Registry) LeavingSum() (sum uint64) {
	for _, part := range reg.leaving.sums {
		sum ^= part
	}
	return sum
}

// LeavingDifference returns the replicas that leave, by id, of the parts in which this list differs from another one.
func (reg *Registry) LeavingDifference(now int64, other LeavingSums) (records []AgedRecord) {
	for id := range reg.leaving.ids {
		if part := leavingBucket(id); reg.leaving.sums[part] != other[part] {
			e := reg.entries[id]
			records = append(records, AgedRecord{e.Record, now - e.heard})
		}
	}
	slices.SortFunc(records, func(a, b AgedRecord) int { return cmp.Compare(a.Record.ID, b.Record.ID) })
	return records
}

// MergeAged takes in what another list knows of a replica that leaves, unless that is about to be forgotten: lists
// forget it within moments of each other.
func (reg *Registry) MergeAged(now int64, r AgedRecord) (news, changed bool) {
	if r.Age < 0 || r.Age > reg.KeepGone-reg.SilentAfter {
		return false, false
	}
	news, changed = reg.Merge(now-r.Age, r.Record)
	if news {
		reg.nextCheck = min(reg.nextCheck, reg.checkTime(reg.entries[r.Record.ID]))
	}
	return news, changed
}
