package registry

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Groups: the replicas whose heartbeats come to one controller are its group. It tells the others who has come to the
// group and who has left it, and with each of its own heartbeats how many there are and a sum of their ids. While these
// agree with what another one holds of the group, all in it are heard. So what controllers tell each other of replicas
// that say nothing new does not grow with the replicas.

// Call is a replica and the number of a call of its.
type Call struct {
	ID  string `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint,omitempty"`
}

// Unheard is a replica that has left a group.
type Unheard struct {
	Call Call  `cbor:"1,keyasint"`
	For  int64 `cbor:"2,keyasint,omitempty"` // since it was heard, ns
}

// GroupNews is what a controller tells of its group.
type GroupNews struct {
	Whole  bool      `cbor:"1,keyasint,omitempty"` // Joined is the whole group
	Joined []Call    `cbor:"2,keyasint,omitempty"`
	Left   []Unheard `cbor:"3,keyasint,omitempty"`
	Count  int       `cbor:"4,keyasint,omitempty"` // of the group afterwards
	Sum    uint64    `cbor:"5,keyasint,omitempty"` // of its ids, by sumOf
}

// sumOf is an id's part of a group's sum; parts are put together and taken out by exclusive or.
func sumOf(id string) uint64 { return xxhash.Sum64String(id) }

// member is a replica of a controller's own group.
type member struct {
	seq   uint64
	heard int64
}

// Group is a controller's own group.
type Group struct {
	within  int64 // unheard for so long, ns, a replica has left
	members map[string]member
	joined  map[string]struct{} // since the last news
	left    []Unheard
	sum     uint64
}

// NewGroup makes an empty group that replicas leave when they are unheard for so long, ns.
func NewGroup(within int64) *Group {
	return &Group{within: within, members: map[string]member{}, joined: map[string]struct{}{}}
}

// Heard takes in that a replica's heartbeat has come.
func (g *Group) Heard(now int64, c Call) {
	if _, known := g.members[c.ID]; !known {
		g.joined[c.ID] = struct{}{}
		g.sum ^= sumOf(c.ID)
	}
	g.members[c.ID] = member{c.Seq, now}
}

// Leave takes a replica out, which is no longer ready or silent.
func (g *Group) Leave(now int64, id string) {
	m, known := g.members[id]
	if !known {
		return
	}
	delete(g.members, id)
	g.sum ^= sumOf(id)
	delete(g.joined, id)
	g.left = append(g.left, Unheard{Call{id, m.seq}, now - m.heard})
}

// News returns what has changed since the last call of it.
func (g *Group) News(now int64) GroupNews {
	for id, m := range g.members {
		if now-m.heard > g.within {
			g.Leave(now, id)
		}
	}
	news := GroupNews{Joined: g.calls(maps.Keys(g.joined)), Left: g.left, Count: len(g.members), Sum: g.sum}
	clear(g.joined)
	g.left = nil
	return news
}

// All returns the whole group.
func (g *Group) All() GroupNews {
	return GroupNews{Whole: true, Joined: g.calls(maps.Keys(g.members)), Count: len(g.members), Sum: g.sum}
}

// calls returns members with their last calls, by id.
func (g *Group) calls(ids func(yield func(string) bool)) (calls []Call) {
	for _, id := range slices.Sorted(ids) {
		calls = append(calls, Call{id, g.members[id].seq})
	}
	return calls
}

// View is what is held of another controller's group.
type View struct {
	ids map[string]struct{}
	sum uint64
}

// Take takes news in; false where what is held afterwards is not the group, and the whole of it is needed.
func (v *View) Take(n GroupNews) bool {
	if n.Whole || v.ids == nil {
		v.ids, v.sum = map[string]struct{}{}, 0
	}
	for _, c := range n.Joined {
		if _, held := v.ids[c.ID]; !held {
			v.ids[c.ID] = struct{}{}
			v.sum ^= sumOf(c.ID)
		}
	}
	for _, u := range n.Left {
		v.Drop(u.Call.ID)
	}
	return len(v.ids) == n.Count && v.sum == n.Sum
}

// Drop forgets one replica. Unless the group says that it has left, the group no longer agrees with the view.
func (v *View) Drop(id string) {
	if _, held := v.ids[id]; held {
		delete(v.ids, id)
		v.sum ^= sumOf(id)
	}
}
