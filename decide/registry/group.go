package registry

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// The replicas whose heartbeats one controller receives are its group. It sends the other controllers the replicas that join
// and leave the group, and with each of its own heartbeats the number of members, a sum of their IDs and a sum of their
// records. While these agree with another controller's view of the group, all members count as heard there. So the traffic
// between controllers for replicas without changes does not grow with the number of replicas.

// Heartbeat identifies one call of a ready replica and the content of the record in it.
type Heartbeat struct {
	ID          string `cbor:"1,keyasint"`
	Seq         uint64 `cbor:"2,keyasint,omitempty"`
	ContentHash uint64 `cbor:"3,keyasint,omitempty"` // contentHash of the record; 0 from a controller of the previous version
}

// HeartbeatOf returns the heartbeat from which a record comes.
func HeartbeatOf(r Record) Heartbeat { return Heartbeat{r.ID, r.Seq, contentHash(r)} }

// contentHash hashes the fields that may change while a replica is ready. The version is not among them: it stays the
// same as long as the replica lives.
func contentHash(r Record) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, field := range []string{r.ID, r.Service, r.Address, r.Zone, strconv.Itoa(r.Capacity)} {
		hash.WriteString(field)
		hash.WriteString("\x00")
	}
	return hash.Sum64()
}

// LeftMember is a replica that has left a group.
type LeftMember struct {
	Last      Heartbeat `cbor:"1,keyasint"`
	SilentFor int64     `cbor:"2,keyasint,omitempty"` // time since Last, ns
}

// GroupUpdate describes a controller's group to the other controllers, whole or by what has changed.
type GroupUpdate struct {
	Whole  bool         `cbor:"1,keyasint,omitempty"` // Joined is the whole group
	Joined []Heartbeat  `cbor:"2,keyasint,omitempty"`
	Left   []LeftMember `cbor:"3,keyasint,omitempty"`
	Count  int          `cbor:"4,keyasint,omitempty"` // number of members afterwards
	IDSum  uint64       `cbor:"5,keyasint,omitempty"` // exclusive or of the members' idHash

	ContentSum uint64 `cbor:"6,keyasint,omitempty"` // exclusive or of the members' contentHash; 0 from a controller of the previous version
}

// idHash returns the hash of an ID that is combined into a group's IDSum by exclusive or, and taken out in the same way.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }

// member is a replica of a controller's own group.
type member struct {
	last    Heartbeat
	heardAt int64 // ns
}

// Group is a controller's own group: the replicas whose heartbeats it receives.
type Group struct {
	silentAfter int64 // a replica without a heartbeat for this time leaves the group, ns
	members     map[string]member
	joined      map[string]struct{} // joined or changed since the previous Changes
	left        []LeftMember        // left since the previous Changes
	idSum       uint64              // as in GroupUpdate
	contentSum  uint64              // as in GroupUpdate
}

// NewGroup returns an empty group, which replicas leave after silentAfter ns without a heartbeat.
func NewGroup(silentAfter int64) *Group {
	return &Group{silentAfter: silentAfter, members: map[string]member{}, joined: map[string]struct{}{}}
}

// RecordHeartbeat records that this controller received a replica's heartbeat.
func (g *Group) RecordHeartbeat(now int64, heartbeat Heartbeat) {
	m, known := g.members[heartbeat.ID]
	if !known {
		g.idSum ^= idHash(heartbeat.ID)
	}
	if !known || heartbeat.ContentHash != m.last.ContentHash {
		g.joined[heartbeat.ID] = struct{}{}
		g.contentSum ^= m.last.ContentHash ^ heartbeat.ContentHash
	}
	g.members[heartbeat.ID] = member{heartbeat, now}
}

// Remove takes a replica out that drains, is gone, or has sent no heartbeat for silentAfter.
func (g *Group) Remove(now int64, id string) {
	m, known := g.members[id]
	if !known {
		return
	}
	delete(g.members, id)
	g.idSum ^= idHash(id)
	g.contentSum ^= m.last.ContentHash
	delete(g.joined, id)
	g.left = append(g.left, LeftMember{Heartbeat{ID: id, Seq: m.last.Seq}, now - m.heardAt})
}

// Changes returns what has changed since the previous call.
func (g *Group) Changes(now int64) GroupUpdate {
	for id, m := range g.members {
		if now-m.heardAt > g.silentAfter {
			g.Remove(now, id)
		}
	}
	update := GroupUpdate{Joined: g.heartbeats(maps.Keys(g.joined)), Left: g.left, Count: len(g.members), IDSum: g.idSum, ContentSum: g.contentSum}
	clear(g.joined)
	g.left = nil
	return update
}

// Whole returns the whole group as one update.
func (g *Group) Whole() GroupUpdate {
	return GroupUpdate{Whole: true, Joined: g.heartbeats(maps.Keys(g.members)), Count: len(g.members), IDSum: g.idSum, ContentSum: g.contentSum}
}

// heartbeats returns the last heartbeats of the given members, sorted by ID.
func (g *Group) heartbeats(ids func(yield func(string) bool)) (last []Heartbeat) {
	for _, id := range slices.Sorted(ids) {
		last = append(last, g.members[id].last)
	}
	return last
}

// GroupView is another controller's group as it is known here.
type GroupView struct {
	contentHashes     map[string]uint64 // by replica ID
	idSum, contentSum uint64
}

// Apply applies an update. It returns false where the view does not agree with the group afterwards; then the whole group is
// needed.
func (v *GroupView) Apply(update GroupUpdate) bool {
	if update.Whole || v.contentHashes == nil {
		*v = GroupView{contentHashes: map[string]uint64{}}
	}
	for _, heartbeat := range update.Joined {
		v.Drop(heartbeat.ID)
		v.contentHashes[heartbeat.ID] = heartbeat.ContentHash
		v.idSum ^= idHash(heartbeat.ID)
		v.contentSum ^= heartbeat.ContentHash
	}
	for _, left := range update.Left {
		v.Drop(left.Last.ID)
	}
	return len(v.contentHashes) == update.Count && v.idSum == update.IDSum && v.contentSum == update.ContentSum
}

// Drop forgets one replica. Unless the replica has left the group too, the next Apply returns false.
func (v *GroupView) Drop(id string) {
	if content, held := v.contentHashes[id]; held {
		delete(v.contentHashes, id)
		v.idSum ^= idHash(id)
		v.contentSum ^= content
	}
}
