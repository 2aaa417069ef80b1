// Package clusterstate holds what an edge knows of the cluster: the configuration in force, the replicas, the other edges
// and the controllers. A State accepts updates in any order, any number of times and from any upstream, and returns the
// part that is new, which goes on to the downstream edges. So an edge that changes its upstream applies a snapshot,
// then changes, and never returns to older data.
//
// Decides: which configuration and which replica records an edge holds as the newest.
package clusterstate

import (
	"cmp"
	"slices"

	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// Update is a snapshot of a whole state or a change to one. A configuration comes either whole, in Body, or as a Patch.
type Update struct {
	Snapshot bool              `cbor:"1,keyasint,omitempty"`
	Revision uint64            `cbor:"2,keyasint,omitempty"`  // revision of the configuration; 0 where the update has none
	Body     []byte            `cbor:"3,keyasint,omitempty"`  // the whole configuration, compressed by Pack
	Base     uint64            `cbor:"6,keyasint,omitempty"`  // the revision that Patch applies to
	Patch    []byte            `cbor:"7,keyasint,omitempty"`  // makes the configuration from the one at revision Base
	Sum      uint64            `cbor:"10,keyasint,omitempty"` // ContentSum of the configuration; 0 from an upstream of the previous version
	Raw      []byte            `cbor:"-"`                     // the configuration as the operator sent it; set by State.Apply
	Replicas []registry.Record `cbor:"4,keyasint,omitempty"`
	Fleet    Fleet             `cbor:"5,keyasint,omitempty"` // the whole fleet, where it has changed
	Change   *FleetChange      `cbor:"8,keyasint,omitempty"` // the same change as a difference, where that is shorter
	Services []string          `cbor:"9,keyasint,omitempty"` // services that the routes begin to use; Replicas has all of their replicas
	Rollouts rollout.Set       `cbor:"11,keyasint,omitzero"` // all rollouts, where any has changed
}

// Fleet lists the edges and the controllers.
type Fleet struct {
	Edges       []Edge   `cbor:"1,keyasint,omitempty"` // sorted by IP
	Most        int      `cbor:"2,keyasint,omitempty"` // highest recent number of edges; 0 where the fleet is unknown
	Controllers []string `cbor:"3,keyasint,omitempty"` // IPs, sorted
	Zones       []string `cbor:"4,keyasint,omitempty"` // zone of each of Controllers, in their order; empty from an upstream of the previous version
}

// Freshness says how recent an upstream's state is known to be.
type Freshness struct {
	Known    bool   `cbor:"1,keyasint,omitempty"` // since the upstream started, a controller in contact with a majority has confirmed its state
	Age      int64  `cbor:"2,keyasint,omitempty"` // ns since the state was known to include everything acknowledged
	Epoch    uint64 `cbor:"3,keyasint,omitempty"` // epoch of the register's members
	Revision uint64 `cbor:"4,keyasint,omitempty"` // revision of the newest configuration known to be committed
	Hops     int    `cbor:"5,keyasint,omitempty"` // number of relays between that controller and the reader
}

// Edge is one machine that serves clients.
type Edge struct {
	IP   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// FleetChange turns the fleet last sent to a downstream edge into the one that its upstream holds now.
type FleetChange struct {
	Joined      []Edge   `cbor:"1,keyasint,omitempty"`
	Left        []string `cbor:"2,keyasint,omitempty"` // IPs
	Most        int      `cbor:"3,keyasint,omitempty"` // as in Fleet
	Controllers []string `cbor:"4,keyasint,omitempty"` // all controllers, as in Fleet
	Zones       []string `cbor:"6,keyasint,omitempty"` // as in Fleet
	Count       int      `cbor:"5,keyasint,omitempty"` // number of edges after the change; a receiver that ends up with another number needs a snapshot
}

// Empty reports whether the fleet is unknown.
func (f Fleet) Empty() bool { return f.Most == 0 }

// Empty reports whether the update changes nothing.
func (u Update) Empty() bool {
	return u.Revision == 0 && len(u.Replicas) == 0 && u.Fleet.Empty() && u.Change == nil && u.Rollouts.IsZero()
}

// ForWire returns the update as it is sent, with the fleet either whole or as a difference. acceptsChanges says whether
// the receiver understands differences.
func (u Update) ForWire(acceptsChanges bool) Update {
	if acceptsChanges && u.Change != nil {
		u.Fleet = Fleet{}
	} else {
		u.Change = nil
	}
	return u
}

// State is what one edge or controller holds of the cluster.
type State struct {
	Revision      uint64
	Raw           []byte // the configuration as the operator sent it
	Sum           uint64 // ContentSum of Raw; 0 where an upstream of the previous version sent the configuration as a patch
	Fleet         Fleet
	Rollouts      rollout.Set
	NeedsSnapshot bool   // a patch or a difference did not fit the held configuration or fleet
	packedBody    []byte // Raw compressed by Pack; nil until it is needed
	// The two reasons for NeedsSnapshot: the last newer configuration could not be made from its body or patch, or the
	// held fleet is not the one that a difference was made from.
	configurationMismatch, fleetMismatch bool
	replicas                             map[string]registry.Record // by replica ID
	departed                             departedReplicas
	mayHoldGone                          bool // replicas may have records in phase Gone, which DropGone deletes
}

// NewState returns a state that holds nothing.
func NewState() *State { return &State{replicas: map[string]registry.Record{}} }

// Apply merges an update into the state and returns the part of it that is new.
//
// Danger: an upstream that is behind must not bring back an older configuration, nor a replica that is leaving.
func (s *State) Apply(update Update) (fresh Update) {
	fresh.Snapshot, fresh.Services = update.Snapshot, update.Services
	if update.Revision > s.Revision && len(update.Body)+len(update.Patch) > 0 {
		s.applyConfiguration(update, &fresh)
	}
	// Danger: an upstream that is behind must not readmit a version that was reverted.
	if update.Rollouts.Version > s.Rollouts.Version {
		s.Rollouts, fresh.Rollouts = update.Rollouts, update.Rollouts
	}
	for _, r := range update.Replicas {
		if s.departed.covers(r) {
			continue
		}
		held, known := s.replicas[r.ID]
		r.Version = cmp.Or(r.Version, held.Version)
		if known && r.Phase == registry.Gone && r.Service == "" { // a departure that carries the ID alone
			seq := max(r.Seq, held.Seq)
			r = held
			r.Phase, r.Seq = registry.Gone, seq
		}
		// Danger: the previous upstream may have reported the replica silent under the same call number under which this
		// upstream lists it as ready. An upstream sends a record only when it changes, so without this exception the
		// replica would stay silent here.
		listedAsReady := (update.Snapshot || slices.Contains(update.Services, r.Service)) && held.Phase == registry.Silent && r.Phase == registry.Ready && r.Seq == held.Seq
		if known && !r.Newer(held) && !listedAsReady {
			continue
		}
		s.mayHoldGone = s.mayHoldGone || r.Phase == registry.Gone
		if r.Phase == registry.Gone {
			s.departed.add(r)
		}
		if s.replicas[r.ID] = r; !known || !r.SameForRouting(held) {
			fresh.Replicas = append(fresh.Replicas, r)
		}
	}
	s.applyFleet(update, &fresh)
	s.NeedsSnapshot = s.configurationMismatch || s.fleetMismatch
	return fresh
}

// applyConfiguration replaces the held configuration by a newer one. Downstream edges hold the previous one, so fresh
// gets a patch where that is shorter than the body.
//
// Danger: a patch names the revision that it was made from, and another content may be held under that number, which an
// upstream sent in error. The patch would turn it into a content that nobody sent, so the sum of the result is checked.
func (s *State) applyConfiguration(update Update, fresh *Update) {
	raw, ok := []byte(nil), false
	switch {
	case len(update.Body) > 0:
		raw, ok = Unpack(update.Body)
	case update.Base == s.Revision:
		raw, ok = ApplyPatch(s.Raw, update.Patch)
	}
	sum := update.Sum
	if ok && (update.Sum != 0 || len(update.Body) > 0) {
		sum = ContentSum(raw)
		ok = update.Sum == 0 || sum == update.Sum
	}
	if !ok {
		s.configurationMismatch = true
		return
	}
	fresh.Revision, fresh.Raw, fresh.Sum, fresh.Base, fresh.Patch = update.Revision, raw, sum, update.Base, update.Patch
	if len(update.Body) > 0 {
		fresh.Body = update.Body
		if s.Revision > 0 {
			if patch := MakePatch(s.Raw, raw); len(patch) < len(update.Body) {
				fresh.Base, fresh.Patch, fresh.Body = s.Revision, patch, nil
			}
		}
	}
	s.Revision, s.Raw, s.Sum, s.packedBody, s.configurationMismatch = update.Revision, raw, sum, update.Body, false
}

// applyFleet replaces the held fleet by the one of the update, which is either whole or a difference.
func (s *State) applyFleet(update Update, fresh *Update) {
	fleet := update.Fleet
	if fleet.Empty() && update.Change != nil {
		if fleet = s.Fleet.withChange(*update.Change); len(fleet.Edges) != update.Change.Count {
			s.fleetMismatch = true
			return
		}
	}
	if fleet.Empty() {
		return
	}
	s.fleetMismatch = false
	if fleet.equal(s.Fleet) {
		return
	}
	if change := fleetDifference(s.Fleet, fleet); !s.Fleet.Empty() && len(change.Joined)+len(change.Left) < len(fleet.Edges) {
		fresh.Change = &change
	}
	s.Fleet, fresh.Fleet = fleet, fleet
}

// Snapshot returns the whole state as one update.
func (s *State) Snapshot() Update {
	if s.packedBody == nil && s.Revision > 0 {
		s.packedBody = Pack(s.Raw)
	}
	snapshot := Update{Snapshot: true, Revision: s.Revision, Body: s.packedBody, Sum: s.Sum, Fleet: s.Fleet, Rollouts: s.Rollouts}
	for _, r := range s.replicas {
		snapshot.Replicas = append(snapshot.Replicas, r)
	}
	// The receiver may hold departed replicas as ready, from an upstream that was cut off when they departed.
	for _, id := range s.departed.order {
		if _, listed := s.replicas[id]; !listed {
			snapshot.Replicas = append(snapshot.Replicas, registry.Record{ID: id, Phase: registry.Gone, Seq: s.departed.lastSeq[id]})
		}
	}
	return snapshot
}

// DropGone deletes the records of replicas that are gone, so that the state does not grow without bound.
func (s *State) DropGone() {
	if !s.mayHoldGone {
		return
	}
	s.mayHoldGone = false
	for id, r := range s.replicas {
		if r.Phase == registry.Gone {
			delete(s.replicas, id)
		}
	}
}
