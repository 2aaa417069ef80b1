// Package registry is the list of replicas: it takes their heartbeats, which come by several controllers in any order,
// and says which replicas are ready, draining, silent or gone. It reads no clock.
//
// Records merge by their call number, so that any number of controllers come to the same list whatever
// reaches them first.
//
// Decides: which replicas are there, and when a silent one counts as gone.
package registry

import (
	"cmp"
)

// Phase of a replica. At the same call number the later one holds.
type Phase uint8

// The phases in the order that they come.
const (
	Ready Phase = iota
	Draining
	Silent // no beat for too long; a later beat undoes it
	Gone   // has said so
)

// String names the phase.
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

// Record is what is known of one replica, by one of its calls.
type Record struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Address  string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Capacity int    `cbor:"5,keyasint,omitempty"`
	Phase    Phase  `cbor:"6,keyasint,omitempty"`
	Seq      uint64 `cbor:"7,keyasint,omitempty"`
	WarmMs   int64  `cbor:"8,keyasint,omitempty"` // how much longer it is slow from its start, ms
	Version  string `cbor:"9,keyasint,omitempty"` // of its software; empty where one of the former version passed it on
}

// Newer tells whether r says more than o of the same replica. What is leaving stays so, whatever comes late.
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

// SameForRouting tells whether two records say the same of where a replica is and whether it may be sent anything.
func (r Record) SameForRouting(o Record) bool {
	return r.Service == o.Service && r.Address == o.Address && r.Phase == o.Phase && r.Zone == o.Zone &&
		r.Capacity == o.Capacity && r.Version == o.Version
}

// Leaving tells whether a replica has said that it leaves or has left. It is not ready again after that.
func (r Record) Leaving() bool { return r.Phase == Draining || r.Phase == Gone }

type entry struct {
	Record
	heard int64
	group string // the controller in whose group it is, empty for none
}

// Registry is one controller's list.
type Registry struct {
	SilentAfter int64 // a replica unheard for so long has fallen silent, ns
	KeepGone    int64 // the gone are remembered for so long, ns
	entries     map[string]*entry
	groups      map[string]int64 // when a controller's group was heard last
	lastTick    int64            // when Tick was called last
	nextCheck   int64            // before it nobody can have fallen silent, or been so for long enough to be gone
	leaving     leavingReplicas
}

// New makes an empty list.
func New(silentAfter, keepGone int64) *Registry {
	return &Registry{SilentAfter: silentAfter, KeepGone: keepGone, entries: map[string]*entry{}, groups: map[string]int64{},
		leaving: leavingReplicas{ids: map[string]struct{}{}}}
}

// Merge takes a record in. news tells whether it said anything new at all, changed whether edges need to hear
// of it.
func (reg *Registry) Merge(now int64, r Record) (news, changed bool) {
	e := reg.entries[r.ID]
	if e == nil {
		reg.entries[r.ID] = &entry{Record: r, heard: now}
		reg.leaving.add(r)
		return true, true
	}
	if !r.Newer(e.Record) {
		return false, false
	}
	if r.Phase == Gone && r.Service == "" { // a departure names the id alone
		seq := max(r.Seq, e.Seq)
		r = e.Record
		r.Phase, r.Seq = Gone, seq
	}
	r.Version = cmp.Or(r.Version, e.Version)
	changed = !r.SameForRouting(e.Record)
	reg.replace(e, r)
	if r.Phase != Silent {
		e.heard = now
	}
	return true, changed
}

// replace puts a newer record in the place of an entry's own. Only the ready are in groups.
func (reg *Registry) replace(e *entry, r Record) {
	if r.Phase != Ready {
		reg.ungroup(e)
	}
	reg.leaving.remove(e.Record)
	e.Record = r
	reg.leaving.add(r)
}

// Tick marks who has fallen silent since the last call, or been silent for so long that it is gone, and
// returns their records. listening tells whether this controller is in a state to hear them.
//
// Danger: a controller that stood still or was cut off has heard nobody. Were the replicas blamed for that,
// all would be struck off at once.
func (reg *Registry) Tick(now int64, listening bool) (changed []Record) {
	gap := now - reg.lastTick
	reg.lastTick = now
	// Danger: to look at each of many replicas ten times a second would cost more than all of their heartbeats. Whoever
	// is heard after a look is due later than it, and nobody is ever due earlier than at the look before.
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
			if now-e.heard > reg.KeepGone {
				delete(reg.entries, id)
				reg.leaving.remove(e.Record)
				if e.Phase == Silent { // edges must not keep for ever what will never come back
					e.Phase = Gone
					changed = append(changed, e.Record)
				}
				continue
			}
		case !listening:
			e.heard = min(e.heard+gap, now)
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

// checkTime is the last time at which an entry that is not heard again is still as it is.
func (reg *Registry) checkTime(e *entry) int64 {
	if e.Phase >= Silent {
		return e.heard + reg.KeepGone
	}
	return reg.lastHeard(e) + reg.SilentAfter
}

// lastHeard is when an entry was heard last, by itself or with its group.
func (reg *Registry) lastHeard(e *entry) int64 {
	if e.group == "" {
		return e.heard
	}
	return max(e.heard, reg.groups[e.group])
}

// JoinGroup takes in that a replica is in a controller's group; false where it is not known here as ready and as what the call
// said, so that its record is needed.
//
// Danger: a replica says once that its address has changed. A controller that was cut off meanwhile would send its edges to
// the old address, which may be another's, for as long as the replica is heard.
func (reg *Registry) JoinGroup(now int64, group string, c Heartbeat) bool {
	e := reg.entries[c.ID]
	if e == nil || e.Phase != Ready {
		return false
	}
	if c.ContentHash != 0 && c.Seq > e.Seq && c.ContentHash != contentHash(e.Record) {
		return false
	}
	e.Seq = max(e.Seq, c.Seq)
	e.heard, e.group = now, group
	return true
}

// LeaveGroup takes in that a replica has left a controller's group, where it is still in that one.
func (reg *Registry) LeaveGroup(now int64, group string, u LeftMember) {
	e := reg.entries[u.Last.ID]
	if e == nil || e.group != group {
		return
	}
	e.group = ""
	e.Seq = max(e.Seq, u.Last.Seq)
	e.heard = max(e.heard, now-u.SilentFor)
	reg.nextCheck = min(reg.nextCheck, reg.checkTime(e))
}

// RetainGroup takes in that these replicas are in a controller's group and no others. Others that were count as heard when
// the group was heard last.
//
// Danger: that a replica has left may have been told while nothing came through. It would count as heard with the group for
// ever, though nobody hears it.
func (reg *Registry) RetainGroup(group string, calls []Heartbeat) {
	in := make(map[string]struct{}, len(calls))
	for _, c := range calls {
		in[c.ID] = struct{}{}
	}
	for id, e := range reg.entries {
		if _, stays := in[id]; e.group == group && !stays {
			reg.ungroup(e)
			reg.nextCheck = min(reg.nextCheck, reg.checkTime(e))
		}
	}
}

// ungroup takes an entry out of its group, where it is in one. It counts as heard when the group was heard last.
func (reg *Registry) ungroup(e *entry) { e.heard, e.group = reg.lastHeard(e), "" }

// GroupHeard takes in that a controller's group was heard, and is as it is held here.
func (reg *Registry) GroupHeard(now int64, group string) { reg.groups[group] = now }

// ForgetGroup forgets a controller's group. Its replicas count as heard with it for the last time.
func (reg *Registry) ForgetGroup(group string) {
	reg.RetainGroup(group, nil)
	delete(reg.groups, group)
}

// All is the whole list.
func (reg *Registry) All() []Record {
	all := make([]Record, 0, len(reg.entries))
	for _, e := range reg.entries {
		all = append(all, e.Record)
	}
	return all
}

// ByService is what is known of a service's replicas. It looks at all replicas.
func (reg *Registry) ByService(service string) (records []Record) {
	for _, e := range reg.entries {
		if e.Service == service {
			records = append(records, e.Record)
		}
	}
	return records
}

// Get is what is known of one replica.
func (reg *Registry) Get(id string) (Record, bool) {
	if e := reg.entries[id]; e != nil {
		return e.Record, true
	}
	return Record{}, false
}

// Empty tells whether there is none that has not fallen silent; it looks at one where there are any.
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

// Count is how many are not gone.
func (reg *Registry) Count() (n int) {
	for _, e := range reg.entries {
		if e.Phase < Silent {
			n++
		}
	}
	return n
}
