// Package registry is a controller's list of replicas. It merges the records from their calls (heartbeats, drains and
// departures), which arrive through several controllers in any order, and decides which replicas are ready, draining,
// silent or gone. It reads no clock.
//
// Records merge by their call number, so that any number of controllers arrive at the same list, in whatever order the
// records reach them.
//
// Decides: which replicas exist, in which phase each is, and when a silent one counts as gone.
package registry

import (
	"cmp"
)

// Phase is the stage of a replica's life. Of two records with the same call number, the one with the later phase is newer.
type Phase uint8

// The phases in order.
const (
	Ready    Phase = iota
	Draining       // has announced that it leaves
	Silent         // sent no heartbeat for too long; the next heartbeat makes it ready again
	Gone           // has announced its departure, or was silent for too long
)

// String returns the phase's name in lower case.
func (p Phase) String() string {
	switch p {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Silent:
		return "silent"
	}
	return "gone"
}

// Record is what one call of a replica says of it.
type Record struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Address  string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Capacity int    `cbor:"5,keyasint,omitempty"`
	Phase    Phase  `cbor:"6,keyasint,omitempty"`
	Seq      uint64 `cbor:"7,keyasint,omitempty"` // call number, which grows with each call of the replica
	WarmMs   int64  `cbor:"8,keyasint,omitempty"` // remaining warm-up time, ms
	Version  string `cbor:"9,keyasint,omitempty"` // software version; empty where a process of the previous release passed the record on
}

// Newer reports whether r supersedes o, a record of the same replica. A replica that leaves is never ready again, whatever
// arrives late.
func (r Record) Newer(o Record) bool {
	if o.Phase == Gone || o.Phase == Draining && r.Phase == Ready {
		return false
	}
	if o.Phase == Draining && r.Phase > Draining || o.Phase == Ready && r.Phase == Draining {
		return true
	}
	if r.Phase == Gone {
		return true
	}
	return cmp.Or(cmp.Compare(r.Seq, o.Seq), cmp.Compare(r.Phase, o.Phase)) > 0
}

// SameForRouting reports whether two records of a replica agree in everything by which edges send requests.
func (r Record) SameForRouting(o Record) bool {
	return r.Service == o.Service && r.Address == o.Address && r.Phase == o.Phase && r.Zone == o.Zone &&
		r.Capacity == o.Capacity && r.Version == o.Version
}

// Leaving reports whether the replica drains or is gone. It is never ready again after that.
func (r Record) Leaving() bool { return r.Phase == Draining || r.Phase == Gone }

// entry is the record of a replica, and when the replica was heard.
type entry struct {
	Record
	heardAt int64  // time in ns of the last call that was received here or reported by another controller
	group   string // the controller in whose group the replica is; empty for none
}

// Registry is one controller's list.
type Registry struct {
	SilentAfter int64             // a replica without a heartbeat for this time falls silent, ns
	KeepGone    int64             // gone and silent replicas are forgotten after this time, ns
	entries     map[string]*entry // by replica ID
	groups      map[string]int64  // when each controller's group was last confirmed, by controller
	lastTick    int64
	nextCheck   int64 // until this time no replica can fall silent or be forgotten
	leaving     leavingReplicas
}

// New returns an empty registry.
func New(silentAfter, keepGone int64) *Registry {
	return &Registry{SilentAfter: silentAfter, KeepGone: keepGone, entries: map[string]*entry{}, groups: map[string]int64{},
		leaving: leavingReplicas{ids: map[string]struct{}{}}}
}

// Merge merges a record into the registry. newer says whether it superseded the one held, changed whether edges need it.
func (reg *Registry) Merge(now int64, r Record) (newer, changed bool) {
	e := reg.entries[r.ID]
	if e == nil {
		reg.entries[r.ID] = &entry{Record: r, heardAt: now}
		reg.leaving.add(r)
		return true, true
	}
	if !r.Newer(e.Record) {
		return false, false
	}
	if r.Phase == Gone && r.Service == "" { // a departure that carries the ID alone
		seq := max(r.Seq, e.Seq)
		r = e.Record
		r.Phase, r.Seq = Gone, seq
	}
	r.Version = cmp.Or(r.Version, e.Version)
	changed = !r.SameForRouting(e.Record)
	reg.replace(e, r)
	if r.Phase != Silent {
		e.heardAt = now
	}
	return true, changed
}

// replace replaces an entry's record by a newer one. Only ready replicas stay in a group.
func (reg *Registry) replace(e *entry, r Record) {
	if r.Phase != Ready {
		reg.ungroup(e)
	}
	reg.leaving.remove(e.Record)
	e.Record = r
	reg.leaving.add(r)
}

// Tick marks the replicas that have fallen silent since the previous Tick, forgets those that have been silent or gone for
// KeepGone, and returns the records that edges need. listening says whether this controller was able to receive
// heartbeats.
//
// Danger: a controller that was suspended or cut off has received no heartbeats. Without listening, it would mark all
// replicas as silent at once.
func (reg *Registry) Tick(now int64, listening bool) (changed []Record) {
	gap := now - reg.lastTick
	reg.lastTick = now
	// Danger: checking each of many replicas ten times a second would cost more than handling all of their heartbeats. A
	// heartbeat only moves a replica's check time to later, so no replica is due before nextCheck.
	if listening && now < reg.nextCheck {
		return nil
	}
	reg.nextCheck = now + min(reg.SilentAfter, reg.KeepGone)
	if !listening {
		for group, at := range reg.groups {
			reg.groups[group] = min(at+gap, now)
		}
	}
	for id, e := range reg.entries {
		switch {
		case e.Phase == Gone || e.Phase == Silent:
			if now-e.heardAt > reg.KeepGone {
				delete(reg.entries, id)
				reg.leaving.remove(e.Record)
				if e.Phase == Silent { // edges must not keep a replica for ever that does not come back
					e.Phase = Gone
					changed = append(changed, e.Record)
				}
				continue
			}
		case !listening:
			e.heardAt = min(e.heardAt+gap, now)
		case now-reg.lastHeard(e) > reg.SilentAfter:
			silent := e.Record
			silent.Phase = Silent
			reg.replace(e, silent)
			changed = append(changed, silent)
		}
		reg.nextCheck = min(reg.nextCheck, reg.checkTime(e))
	}
	return changed
}

// checkTime returns until when the entry keeps its phase if the replica is not heard again.
func (reg *Registry) checkTime(e *entry) int64 {
	if e.Phase >= Silent {
		return e.heardAt + reg.KeepGone
	}
	return reg.lastHeard(e) + reg.SilentAfter
}

// lastHeard returns when the replica was last heard, by itself or as a member of a group that was confirmed.
func (reg *Registry) lastHeard(e *entry) int64 {
	if e.group == "" {
		return e.heardAt
	}
	return max(e.heardAt, reg.groups[e.group])
}

// JoinGroup puts a replica into a controller's group. It returns false where the replica is not known here as ready with the
// content of the heartbeat; then its record is needed.
//
// Danger: a replica sends a changed address once. A controller that was cut off then would keep sending its edges to the old
// address, which may now belong to another replica, for as long as the replica counts as heard.
func (reg *Registry) JoinGroup(now int64, group string, heartbeat Heartbeat) bool {
	e := reg.entries[heartbeat.ID]
	if e == nil || e.Phase != Ready {
		return false
	}
	if heartbeat.ContentHash != 0 && heartbeat.Seq > e.Seq && heartbeat.ContentHash != contentHash(e.Record) {
		return false
	}
	e.Seq = max(e.Seq, heartbeat.Seq)
	e.heardAt, e.group = now, group
	return true
}

// LeaveGroup takes a replica out of a controller's group, unless it is in another one by now.
func (reg *Registry) LeaveGroup(now int64, group string, left LeftMember) {
	e := reg.entries[left.Last.ID]
	if e == nil || e.group != group {
		return
	}
	e.group = ""
	e.Seq = max(e.Seq, left.Last.Seq)
	e.heardAt = max(e.heardAt, now-left.SilentFor)
	reg.nextCheck = min(reg.nextCheck, reg.checkTime(e))
}

// RetainGroup takes all replicas but the given ones out of a controller's group. They count as heard when the group was last
// confirmed.
//
// Danger: the message that a replica has left the group may have been lost while the controllers were cut off from each
// other. The replica would count as heard with the group for ever, though no controller receives its heartbeats.
func (reg *Registry) RetainGroup(group string, members []Heartbeat) {
	retained := make(map[string]struct{}, len(members))
	for _, m := range members {
		retained[m.ID] = struct{}{}
	}
	for id, e := range reg.entries {
		if _, stays := retained[id]; e.group == group && !stays {
			reg.ungroup(e)
			reg.nextCheck = min(reg.nextCheck, reg.checkTime(e))
		}
	}
}

// ungroup takes an entry out of its group, if any. It counts as heard when the group was last confirmed.
func (reg *Registry) ungroup(e *entry) { e.heardAt, e.group = reg.lastHeard(e), "" }

// GroupHeard confirms a controller's group: a message from that controller agrees with the group as it is held here.
func (reg *Registry) GroupHeard(now int64, group string) { reg.groups[group] = now }

// ForgetGroup forgets a controller's group. Its replicas count as heard when the group was last confirmed.
func (reg *Registry) ForgetGroup(group string) {
	reg.RetainGroup(group, nil)
	delete(reg.groups, group)
}

// All returns all records, in no particular order.
func (reg *Registry) All() []Record {
	all := make([]Record, 0, len(reg.entries))
	for _, e := range reg.entries {
		all = append(all, e.Record)
	}
	return all
}

// ByService returns the records of a service's replicas. It scans all entries.
func (reg *Registry) ByService(service string) (records []Record) {
	for _, e := range reg.entries {
		if e.Service == service {
			records = append(records, e.Record)
		}
	}
	return records
}

// Get returns the record of one replica.
func (reg *Registry) Get(id string) (Record, bool) {
	if e := reg.entries[id]; e != nil {
		return e.Record, true
	}
	return Record{}, false
}

// Empty reports whether no replica is ready or draining. It stops at the first that is.
func (reg *Registry) Empty() bool {
	for _, e := range reg.entries {
		if e.Phase < Silent {
			return false
		}
	}
	return true
}

// Phases counts the replicas by phase.
func (reg *Registry) Phases() map[Phase]int {
	counts := map[Phase]int{}
	for _, e := range reg.entries {
		counts[e.Phase]++
	}
	return counts
}

// Count returns the number of replicas that are ready or draining.
func (reg *Registry) Count() (n int) {
	for _, e := range reg.entries {
		if e.Phase < Silent {
			n++
		}
	}
	return n
}
