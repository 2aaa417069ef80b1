// Package clusterstate is what edges are told: the configuration in force, the replicas, and who else is there. A
// State takes updates in any order, any number of times, from any feeder, and says what of them is new; that
// much goes on to those who follow it. So a follower that changes its feeder takes a snapshot and then
// changes, and never goes back.
//
// Decides: what an edge holds to be the newest of configuration and replicas.
package clusterstate

import (
	"cmp"
	"slices"

	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// Update is a whole state or a change to one.
type Update struct {
	Snapshot bool              `cbor:"1,keyasint,omitempty"`
	Revision uint64            `cbor:"2,keyasint,omitempty"` // of Body
	Body     []byte            `cbor:"3,keyasint,omitempty"` // the configuration, packed; or
	Base     uint64            `cbor:"6,keyasint,omitempty"` // the revision that Patch makes it of
	Patch    []byte            `cbor:"7,keyasint,omitempty"`
	Sum      uint64            `cbor:"10,keyasint,omitempty"` // ContentSum of the configuration; 0 from a feeder of the former version
	Raw      []byte            `cbor:"-"`                     // as the operator sent it; of what Take returns
	Replicas []registry.Record `cbor:"4,keyasint,omitempty"`
	Fleet    Fleet             `cbor:"5,keyasint,omitempty"` // whole, where it has changed
	Change   *FleetChange      `cbor:"8,keyasint,omitempty"` // the same as a difference, where that is shorter
	Services []string          `cbor:"9,keyasint,omitempty"` // begin to be used: all of their replicas are among Replicas
	Rollouts rollout.Set       `cbor:"11,keyasint,omitzero"` // whole, where it has changed
}

// Fleet is who else is there.
type Fleet struct {
	Edges       []Edge   `cbor:"1,keyasint,omitempty"` // by IP
	Most        int      `cbor:"2,keyasint,omitempty"` // edges that there were of late at the most
	Controllers []string `cbor:"3,keyasint,omitempty"` // by IP
	Zones       []string `cbor:"4,keyasint,omitempty"` // of Controllers, in their order; empty from a feeder of the former version
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

// FleetChange makes of the fleet that a follower was told last the one that its feeder holds now.
type FleetChange struct {
	Joined      []Edge   `cbor:"1,keyasint,omitempty"`
	Left        []string `cbor:"2,keyasint,omitempty"` // IPs
	Most        int      `cbor:"3,keyasint,omitempty"` // as in Fleet
	Controllers []string `cbor:"4,keyasint,omitempty"` // as in Fleet: all of them
	Zones       []string `cbor:"6,keyasint,omitempty"` // as in Fleet
	Count       int      `cbor:"5,keyasint,omitempty"` // of the edges afterwards; another count, and a snapshot is needed
}

// Empty tells whether a fleet says nothing.
func (f Fleet) Empty() bool { return f.Most == 0 }

// Empty tells whether an update says nothing.
func (n Update) Empty() bool {
	return n.Revision == 0 && len(n.Replicas) == 0 && n.Fleet.Empty() && n.Change == nil && n.Rollouts.IsZero()
}

// ForWire is the update as it goes on the wire: a fleet is told whole or as a difference, not both.
// changes tells whether the follower understands differences.
func (n Update) ForWire(acceptsChanges bool) Update {
	if acceptsChanges && n.Change != nil {
		n.Fleet = Fleet{}
	} else {
		n.Change = nil
	}
	return n
}

// State is what one follower holds.
type State struct {
	Revision      uint64
	Raw           []byte // the configuration as the operator sent it
	Sum           uint64 // its ContentSum; 0 where a feeder of the former version gave it as a patch
	Fleet         Fleet
	Rollouts      rollout.Set
	NeedsSnapshot bool // a patch or a difference came for what is not held: a snapshot is needed
	packedBody    []byte
	// What Behind tells of: the configuration held is not the one that a patch was for, the fleet held not the feeder's.
	configurationMismatch, fleetMismatch bool
	replicas                             map[string]registry.Record
	departed                             departedReplicas
	mayHoldGone                          bool // some of the replicas may be
}

// NewState makes an empty one.
func NewState() *State { return &State{replicas: map[string]registry.Record{}} }

// Apply takes an update in and returns what of it is new.
//
// Danger: a feeder that is behind must not bring back an older configuration, nor a replica that is leaving.
func (b *State) Apply(n Update) (fresh Update) {
	fresh.Snapshot, fresh.Services = n.Snapshot, n.Services
	if n.Revision > b.Revision && len(n.Body)+len(n.Patch) > 0 {
		b.applyConfiguration(n, &fresh)
	}
	// Danger: a feeder that is behind must not open a version again that was taken back.
	if n.Rollouts.Version > b.Rollouts.Version {
		b.Rollouts, fresh.Rollouts = n.Rollouts, n.Rollouts
	}
	for _, r := range n.Replicas {
		if b.departed.covers(r) {
			continue
		}
		was, known := b.replicas[r.ID]
		r.Version = cmp.Or(r.Version, was.Version)
		if known && r.Phase == registry.Gone && r.Service == "" { // the id alone
			seq := max(r.Seq, was.Seq)
			r = was
			r.Phase, r.Seq = registry.Gone, seq
		}
		// Danger: the feeder before may have called a replica silent by the very call that this one heard. That one
		// is told of here for what it says next alone, and would stay struck off.
		unsaid := (n.Snapshot || slices.Contains(n.Services, r.Service)) && was.Phase == registry.Silent && r.Phase == registry.Ready && r.Seq == was.Seq
		if known && !r.Newer(was) && !unsaid {
			continue
		}
		b.mayHoldGone = b.mayHoldGone || r.Phase == registry.Gone
		if r.Phase == registry.Gone {
			b.departed.add(r)
		}
		if b.replicas[r.ID] = r; !known || !r.SameForRouting(was) {
			fresh.Replicas = append(fresh.Replicas, r)
		}
	}
	b.applyFleet(n, &fresh)
	b.NeedsSnapshot = b.configurationMismatch || b.fleetMismatch
	return fresh
}

// applyConfiguration takes a configuration in. Those who follow hold the one before, so a patch is enough for them where
// it is shorter.
//
// Danger: a patch says from which revision it was made, and a follower may hold another content under that one, told by
// a feeder in error. What the patch would make of it is a content that nobody sent. So the sum of the result counts.
func (b *State) applyConfiguration(n Update, fresh *Update) {
	raw, ok := []byte(nil), false
	switch {
	case len(n.Body) > 0:
		raw, ok = Unpack(n.Body)
	case n.Base == b.Revision:
		raw, ok = ApplyPatch(b.Raw, n.Patch)
	}
	sum := n.Sum
	if ok && (n.Sum != 0 || len(n.Body) > 0) {
		sum = ContentSum(raw)
		ok = n.Sum == 0 || sum == n.Sum
	}
	if !ok {
		b.configurationMismatch = true
		return
	}
	fresh.Revision, fresh.Raw, fresh.Sum, fresh.Base, fresh.Patch = n.Revision, raw, sum, n.Base, n.Patch
	if len(n.Body) > 0 {
		fresh.Body = n.Body
		if b.Revision > 0 {
			if patch := MakePatch(b.Raw, raw); len(patch) < len(n.Body) {
				fresh.Base, fresh.Patch, fresh.Body = b.Revision, patch, nil
			}
		}
	}
	b.Revision, b.Raw, b.Sum, b.packedBody, b.configurationMismatch = n.Revision, raw, sum, n.Body, false
}

// applyFleet takes a fleet in, told whole or as a difference.
func (b *State) applyFleet(n Update, fresh *Update) {
	fleet := n.Fleet
	if fleet.Empty() && n.Change != nil {
		if fleet = b.Fleet.withChange(*n.Change); len(fleet.Edges) != n.Change.Count {
			b.fleetMismatch = true
			return
		}
	}
	if fleet.Empty() {
		return
	}
	b.fleetMismatch = false
	if fleet.equal(b.Fleet) {
		return
	}
	if change := fleetDifference(b.Fleet, fleet); !b.Fleet.Empty() && len(change.Joined)+len(change.Left) < len(fleet.Edges) {
		fresh.Change = &change
	}
	b.Fleet, fresh.Fleet = fleet, fleet
}

// Snapshot is the whole state.
func (b *State) Snapshot() Update {
	if b.packedBody == nil && b.Revision > 0 {
		b.packedBody = Pack(b.Raw)
	}
	n := Update{Snapshot: true, Revision: b.Revision, Body: b.packedBody, Sum: b.Sum, Fleet: b.Fleet, Rollouts: b.Rollouts}
	for _, r := range b.replicas {
		n.Replicas = append(n.Replicas, r)
	}
	// A follower may have been told of replicas by a feeder that was cut off as they departed.
	for _, id := range b.departed.order {
		if _, listed := b.replicas[id]; !listed {
			n.Replicas = append(n.Replicas, registry.Record{ID: id, Phase: registry.Gone, Seq: b.departed.lastSeq[id]})
		}
	}
	return n
}

// DropGone drops the replicas that are gone for good, so that a state does not grow for ever.
func (b *State) DropGone() {
	if !b.mayHoldGone {
		return
	}
	b.mayHoldGone = false
	for id, r := range b.replicas {
		if r.Phase == registry.Gone {
			delete(b.replicas, id)
		}
	}
}
