// Package clusterstate is what edges are told: the configuration in force, the replicas, and who else is there. A
// State takes updates in any order, any number of times, from any feeder, and says what of them is new; that
// much goes on to those who follow it. So a follower that changes its feeder takes a whole book and then
// changes, and never goes back.
//
// Decides: what an edge holds to be the newest of configuration and replicas.
package clusterstate

import (
	"slices"

	"willowsill/decide/registry"
)

// Update is a whole book or a change to one.
type Update struct {
	Snapshot bool              `cbor:"1,keyasint,omitempty"`
	Revision uint64            `cbor:"2,keyasint,omitempty"` // of Body
	Body     []byte            `cbor:"3,keyasint,omitempty"` // the configuration, packed; or
	Base     uint64            `cbor:"6,keyasint,omitempty"` // the revision that Patch makes it of
	Patch    []byte            `cbor:"7,keyasint,omitempty"`
	Raw      []byte            `cbor:"-"` // as the operator sent it; of what Take returns
	Replicas []registry.Record `cbor:"4,keyasint,omitempty"`
	Fleet    Fleet             `cbor:"5,keyasint,omitempty"`
}

// Fleet is who else is there.
type Fleet struct {
	Edges       []Edge   `cbor:"1,keyasint,omitempty"` // by IP
	Most        int      `cbor:"2,keyasint,omitempty"` // edges that there were of late at the most
	Controllers []string `cbor:"3,keyasint,omitempty"` // controllers, by IP
}

// Freshness says how recent a feeder's state is known to be.
type Freshness struct {
	Known    bool   `cbor:"1,keyasint,omitempty"` // a control server in contact with a majority has vouched for it in this life
	Age      int64  `cbor:"2,keyasint,omitempty"` // ns since it was known to hold all that had been acknowledged
	Epoch    uint64 `cbor:"3,keyasint,omitempty"` // of the members of the control state
	Revision uint64 `cbor:"4,keyasint,omitempty"` // of the newest configuration known to be committed
	Hops     int    `cbor:"5,keyasint,omitempty"` // relays between the control server that said so and the reader
}

// Edge is one machine that serves clients.
type Edge struct {
	IP   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// Empty tells whether a fleet says nothing.
func (f Fleet) Empty() bool { return f.Most == 0 }

// Empty tells whether a notice says nothing.
func (n Update) Empty() bool {
	return n.Revision == 0 && len(n.Replicas) == 0 && n.Fleet.Empty()
}

// State is what one follower holds.
type State struct {
	Revision uint64
	Raw      []byte // the configuration as the operator sent it
	Fleet    Fleet
	Behind   bool // a patch came for a revision that is not held: the whole book is needed
	packed   []byte
	replicas map[string]registry.Record
}

// NewState makes an empty one.
func NewState() *State { return &State{replicas: map[string]registry.Record{}} }

// Take takes a notice in and returns what of it is new.
//
// Danger: a feeder that is behind must not bring back an older configuration, nor a replica that is leaving.
func (b *State) Take(n Update) (fresh Update) {
	fresh.Snapshot = n.Snapshot
	if n.Revision > b.Revision && len(n.Body)+len(n.Patch) > 0 {
		b.revise(n, &fresh)
	}
	for _, r := range n.Replicas {
		was, known := b.replicas[r.ID]
		// Danger: the feeder before may have called a replica silent by the very call that this one heard. That one
		// is told of here for what it says next alone, and would stay struck off.
		unsaid := n.Snapshot && was.Phase == registry.Silent && r.Phase == registry.Ready && r.Seq == was.Seq
		if known && !r.Newer(was) && !unsaid {
			continue
		}
		if b.replicas[r.ID] = r; !known || !r.Same(was) {
			fresh.Replicas = append(fresh.Replicas, r)
		}
	}
	if f := n.Fleet; !f.Empty() && (f.Most != b.Fleet.Most || !slices.Equal(f.Edges, b.Fleet.Edges) ||
		!slices.Equal(f.Controllers, b.Fleet.Controllers)) {
		b.Fleet, fresh.Fleet = n.Fleet, n.Fleet
	}
	return fresh
}

// revise takes a configuration in. Those who follow hold the one before, so a patch is enough for them where
// it is shorter.
func (b *State) revise(n Update, fresh *Update) {
	raw, ok := []byte(nil), false
	switch {
	case len(n.Body) > 0:
		raw, ok = Unpack(n.Body)
	case n.Base == b.Revision:
		raw, ok = Apply(b.Raw, n.Patch)
	}
	if !ok {
		b.Behind = true
		return
	}
	fresh.Revision, fresh.Raw, fresh.Base, fresh.Patch = n.Revision, raw, n.Base, n.Patch
	if len(n.Body) > 0 {
		fresh.Body = n.Body
		if b.Revision > 0 {
			if patch := Patch(b.Raw, raw); len(patch) < len(n.Body) {
				fresh.Base, fresh.Patch, fresh.Body = b.Revision, patch, nil
			}
		}
	}
	b.Revision, b.Raw, b.packed, b.Behind = n.Revision, raw, n.Body, false
}

// Snapshot is the whole book.
func (b *State) Snapshot() Update {
	if b.packed == nil && b.Revision > 0 {
		b.packed = Pack(b.Raw)
	}
	n := Update{Snapshot: true, Revision: b.Revision, Body: b.packed, Fleet: b.Fleet}
	for _, r := range b.replicas {
		n.Replicas = append(n.Replicas, r)
	}
	return n
}

// Forget drops the replicas that are gone for good, so that a book does not grow for ever.
func (b *State) Forget() {
	for id, r := range b.replicas {
		if r.Phase == registry.Gone {
			delete(b.replicas, id)
		}
	}
}
