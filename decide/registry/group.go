package registry

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Groups: the replicas whose heartbeats come to one controller are its group. It tells the others who has come to the
// group and who has left it, and with each of its own heartbeats how many there are, a sum of their ids and one of their
// records. While these agree with what another one holds of the group, all in it are heard. So what controllers tell each
// other of replicas that say nothing new does not grow with the replicas.

// Heartbeat is a replica, the number of a call of its, and what that call said.
type Heartbeat struct {
	ID          string `cbor:"1,keyasint"`
	Seq         uint64 `cbor:"2,keyasint,omitempty"`
	ContentHash uint64 `cbor:"3,keyasint,omitempty"` // sum of the record, by contentOf; 0 from the former version
}

// HeartbeatOf is the call that a record is known by.
func HeartbeatOf(r Record) Heartbeat { return Heartbeat{r.ID, r.Seq, contentHash(r)} }

// contentHash sums up what may change of a ready replica; its version stays for its life.
func contentHash(r Record) uint64 {
	var sum xxhash.Digest
	sum.Reset()
	for _, field := range []string{r.ID, r.Service, r.Address, r.Zone, strconv.Itoa(r.Capacity)} {
		sum.WriteString(field)
		sum.WriteString("\x00")
	}
	return sum.Sum64()
}

// LeftMember is a replica that has left a group.
type LeftMember struct {
	Last      Heartbeat `cbor:"1,keyasint"`
	SilentFor int64     `cbor:"2,keyasint,omitempty"` // since it was heard, ns
}

// GroupUpdate is what a controller tells of its group.
type GroupUpdate struct {
	Whole  bool         `cbor:"1,keyasint,omitempty"` // Joined is the whole group
	Joined []Heartbeat  `cbor:"2,keyasint,omitempty"`
	Left   []LeftMember `cbor:"3,keyasint,omitempty"`
	Count  int          `cbor:"4,keyasint,omitempty"` // of the group afterwards
	IDSum  uint64       `cbor:"5,keyasint,omitempty"` // of its ids, by sumOf

	ContentSum uint64 `cbor:"6,keyasint,omitempty"` // of its calls' contents; 0 from the former version
}

// idHash is an id's part of a group's sum; parts are put together and taken out by exclusive or.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }

// member is a replica of a controller's own group.
type member struct {
	last  Heartbeat
	heard int64
}

// Group is a controller's own group.
type Group struct {
	silentAfter int64 // unheard for so long, ns, a replica has left
	members     map[string]member
	joined      map[string]struct{} // since the last news
	left        []LeftMember
	idSum       uint64
	contentSum  uint64
}

// NewGroup makes an empty group that replicas leave when they are unheard for so long, ns.
func NewGroup(silentAfter int64) *Group {
	return &Group{silentAfter: silentAfter, members: map[string]member{}, joined: map[string]struct{}{}}
}

// RecordHeartbeat takes in that a replica's heartbeat has come.
func (g *Group) RecordHeartbeat(now int64, c Heartbeat) {
	m, known := g.members[c.ID]
	if !known {
		g.idSum ^= idHash(c.ID)
	}
	if !known || c.ContentHash != m.last.ContentHash {
		g.joined[c.ID] = struct{}{}
		g.contentSum ^= m.last.ContentHash ^ c.ContentHash
	}
	g.members[c.ID] = member{c, now}
}

// Remove takes a replica out, which is no longer ready or silent.
func (g *Group) Remove(now int64, id string) {
	m, known := g.members[id]
	if !known {
		return
	}
	delete(g.members, id)
	g.idSum ^= idHash(id)
	g.contentSum ^= m.last.ContentHash
	delete(g.joined, id)
	g.left = append(g.left, LeftMember{Heartbeat{ID: id, Seq: m.last.Seq}, now - m.heard})
}

// Changes returns what has changed since the last call of it.
func (g *Group) Changes(now int64) GroupUpdate {
	for id, m := range g.members {
		if now-m.heard > g.silentAfter {
			g.Remove(now, id)
		}
	}
	news := GroupUpdate{Joined: g.heartbeats(maps.Keys(g.joined)), Left: g.left, Count: len(g.members), IDSum: g.idSum, ContentSum: g.contentSum}
	clear(g.joined)
	g.left = nil
	return news
}

// Whole returns the whole group.
func (g *Group) Whole() GroupUpdate {
	return GroupUpdate{Whole: true, Joined: g.heartbeats(maps.Keys(g.members)), Count: len(g.members), IDSum: g.idSum, ContentSum: g.contentSum}
}

// heartbeats returns members with their last calls, by id.
func (g *Group) heartbeats(ids func(yield func(string) bool)) (calls []Heartbeat) {
	for _, id := range slices.Sorted(ids) {
		calls = append(calls, g.members[id].last)
	}
	return calls
}

// GroupView is what is held of another controller's group.
type GroupView struct {
	contentHashes     map[string]uint64 // of the calls, by id
	idSum, contentSum uint64
}

// Apply takes news in; false where what is held afterwards is not the group, and the whole of it is needed.
func (v *GroupView) Apply(n GroupUpdate) bool {
	if n.Whole || v.contentHashes == nil {
		*v = GroupView{contentHashes: map[string]uint64{}}
	}
	for _, c := range n.Joined {
		v.Drop(c.ID)
		v.contentHashes[c.ID] = c.ContentHash
		v.idSum ^= idHash(c.ID)
		v.contentSum ^= c.ContentHash
	}
	for _, u := range n.Left {
		v.Drop(u.Last.ID)
	}
	return len(v.contentHashes) == n.Count && v.idSum == n.IDSum && v.contentSum == n.ContentSum
}

// Drop forgets one replica. Unless the group says that it has left, the group no longer agrees with the view.
func (v *GroupView) Drop(id string) {
	if content, held := v.contentHashes[id]; held {
		delete(v.contentHashes, id)
		v.idSum ^= idHash(id)
		v.contentSum ^= content
	}
}
