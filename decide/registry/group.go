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

// Call is a replica, the number of a call of its, and what that call said.
type Call struct {
	ID      string `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint,omitempty"`
	Content uint64 `cbor:"3,keyasint,omitempty"` // sum of the record, by contentOf; 0 from the former version
}

// CallOf is the call that a record is known by.
func CallOf(r Record) Call { return Call{r.ID, r.Seq, contentOf(r)} }

// contentOf sums up what may change of a ready replica; its version stays for its life.
func contentOf(r Record) uint64 {
	var sum xxhash.Digest
	sum.Reset()
	for _, field := range []string{r.ID, r.Service, r.Address, r.Zone, strconv.Itoa(r.Capacity)} {
		sum.WriteString(field)
		sum.WriteString("\x00")
	}
	return sum.Sum64()
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

	Contents uint64 `cbor:"6,keyasint,omitempty"` // of its calls' contents; 0 from the former version
}

// sumOf is an id's part of a group's sum; parts are put together and taken out by exclusive or.
func sumOf(id string) uint64 { return xxhash.Sum64String(id) }

// member is a replica of a controller's own group.
type member struct {
	call  Call
	heard int64
}

// Group is a controller's own group.
type Group struct {
	within  int64 // unheard for so long, ns, a replica has left
	members map[string]member
	joined  map[string]struct{} // since the last news
	left    []Unheard
	sum     uint64
	content uint64
}

// NewGroup makes an empty group that replicas leave when they are unheard for so long, ns.
func NewGroup(within int64) *Group {
	return &Group{within: within, members: map[string]member{}, joined: map[string]struct{}{}}
}

// Heard takes in that a replica's heartbeat has come.
func (g *Group) Heard(now int64, c Call) {
	m, known := g.members[c.ID]
	if !known {
		g.sum ^= sumOf(c.ID)
	}
	if !known || c.Content != m.call.Content {
		g.joined[c.ID] = struct{}{}
		g.content ^= m.call.Content ^ c.Content
	}
	g.members[c.ID] = member{c, now}
}

// Leave takes a replica out, which is no longer ready or silent.
func (g *Group) Leave(now int64, id string) {
	m, known := g.members[id]
	if !known {
		return
	}
	delete(g.members, id)
	g.sum ^= sumOf(id)
	g.content ^= m.call.Content
	delete(g.joined, id)
	g.left = append(g.left, Unheard{Call{ID: id, Seq: m.call.Seq}, now - m.heard})
}

// News returns what has changed since the last call of it.
func (g *Group) News(now int64) GroupNews {
	for id, m := range g.members {
		if now-m.heard > g.within {
			g.Leave(now, id)
		}
	}
	news := GroupNews{Joined: g.calls(maps.Keys(g.joined)), Left: g.left, Count: len(g.members), Sum: g.sum, Contents: g.content}
	clear(g.joined)
	g.left = nil
	return news
}

// All returns the whole group.
func (g *Group) All() GroupNews {
	return GroupNews{Whole: true, Joined: g.calls(maps.Keys(g.members)), Count: len(g.members), Sum: g.sum, Contents: g.content}
}

// calls returns members with their last calls, by id.
func (g *Group) calls(ids func(yield func(string) bool)) (calls []Call) {
	for _, id := range slices.Sorted(ids) {
		calls = append(calls, g.members[id].call)
	}
	return calls
}

// View is what is held of another controller's group.
type View struct {
	contents     map[string]uint64 // of the calls, by id
	sum, content uint64
}

// Take takes news in; false where what is held afterwards is not the group, and the whole of it is needed.
func (v *View) Take(n GroupNews) bool {
	if n.Whole || v.contents == nil {
		*v = View{contents: map[string]uint64{}}
	}
	for _, c := range n.Joined {
		v.Drop(c.ID)
		v.contents[c.ID] = c.Content
		v.sum ^= sumOf(c.ID)
		v.content ^= c.Content
	}
	for _, u := range n.Left {
		v.Drop(u.Call.ID)
	}
	return len(v.contents) == n.Count && v.sum == n.Sum && v.content == n.Contents
}

// Drop forgets one replica. Unless the group says that it has left, the group no longer agrees with the view.
func (v *View) Drop(id string) {
	if content, held := v.contents[id]; held {
		delete(v.contents, id)
		v.sum ^= sumOf(id)
		v.content ^= content
	}
}
