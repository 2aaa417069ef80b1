package rollout

import (
	"encoding/binary"
	"slices"
)

// maxKept is how many rollouts a Set keeps: those that are active, and of the rest the last ones.
const maxKept = 128

// Set is the state of all rollouts. It is never changed in place.
type Set struct {
	Version  uint64    `cbor:"1,keyasint,omitempty"` // counts changes
	Rollouts []Rollout `cbor:"2,keyasint,omitempty"` // by number
}

// IsZero tells whether no rollout was ever begun.
func (s Set) IsZero() bool { return s.Version == 0 }

// NewestOf returns the newest rollout of a service; false where there is none.
func (s Set) NewestOf(service string) (Rollout, bool) {
	for _, r := range slices.Backward(s.Rollouts) {
		if r.Order.Service == service {
			return r, true
		}
	}
	return Rollout{}, false
}

// Newest returns the newest rollout of each service.
func (s Set) Newest() map[string]*Rollout {
	newest := make(map[string]*Rollout, len(s.Rollouts))
	for i := range s.Rollouts {
		newest[s.Rollouts[i].Order.Service] = &s.Rollouts[i]
	}
	return newest
}

// Active returns the rollouts that have not ended.
func (s Set) Active() (active []Rollout) {
	for _, r := range s.Rollouts {
		if r.Phase == Active {
			active = append(active, r)
		}
	}
	return active
}

// BeginResult is what became of an operator's order.
type BeginResult uint8

// The verdicts.
const (
	Accepted BeginResult = iota + 1 // the rollout stands, begun now or before
	Busy                            // another rollout of the service is active
)

// Begin takes an order in. The same order sent again is the rollout that it began, whatever became of it since.
func (s Set) Begin(o Order) (next Set, verdict BeginResult, changed bool) {
	was, known := s.NewestOf(o.Service)
	switch {
	case known && was.Order == o:
		return s, Accepted, false
	case known && was.Phase == Active:
		return s, Busy, false
	}
	begun := Rollout{Order: o, Number: s.lastNumber() + 1, Phase: Active, Shares: plan[stageWait].initialShares, Reason: "begun"}
	if known {
		begun.Reverted = was.blockedVersions(o.Target)
	}
	return s.with(begun), Accepted, true
}

// Apply makes a change where the rollout still is as the one who decided it saw it.
func (s Set) Apply(c Change) (next Set, changed bool) {
	at := slices.IndexFunc(s.Rollouts, func(r Rollout) bool { return r.Number == c.Rollout.Number })
	if at < 0 || s.Rollouts[at].Step != c.Rollout.Step || s.Rollouts[at].Phase != Active {
		return s, false
	}
	return s.with(c.next()), true
}

// Abort takes a service's rollout back on an operator's word; false where none is active.
func (s Set) Abort(service, reason string) (next Set, changed bool) {
	r, known := s.NewestOf(service)
	if !known || r.Phase != Active {
		return s, false
	}
	return s.Apply(Change{Rollout: r, Phase: Reverted, ElapsedMs: r.ElapsedMs, Reason: reason})
}

func (s Set) lastNumber() uint64 {
	if len(s.Rollouts) == 0 {
		return 0
	}
	return s.Rollouts[len(s.Rollouts)-1].Number
}

// with returns the Set with a rollout that is new or has changed.
func (s Set) with(r Rollout) Set {
	next := Set{Version: s.Version + 1, Rollouts: slices.Clone(s.Rollouts)}
	r.Changed = next.Version
	at := slices.IndexFunc(next.Rollouts, func(o Rollout) bool { return o.Number == r.Number })
	if at >= 0 {
		next.Rollouts[at] = r
		return next
	}
	next.Rollouts = append(next.Rollouts, r)
	if len(next.Rollouts) > maxKept {
		oldest := slices.IndexFunc(next.Rollouts, func(o Rollout) bool { return o.Phase != Active })
		next.Rollouts = slices.Delete(next.Rollouts, max(oldest, 0), max(oldest, 0)+1)
	}
	return next
}

// maxReverted is how many versions that were taken back a rollout names.
const maxReverted = 8

// blockedVersions are the versions of the service that must get nothing once a rollout to target follows this one.
func (r *Rollout) blockedVersions(target string) []string {
	versions := slices.Clone(r.Reverted)
	if r.Phase == Reverted {
		versions = append(versions, r.Order.Target)
	}
	versions = slices.DeleteFunc(versions, func(v string) bool { return v == target })
	return versions[max(len(versions)-maxReverted, 0):]
}

// Change is one step of a rollout.
type Change struct {
	Rollout   Rollout // as it was when this was decided
	Phase     Phase
	Stage     int    // where it stays active
	Shares    Shares // likewise
	ElapsedMs int64
	Reason    string
}

// next is the rollout after the step.
func (c Change) next() Rollout {
	r := c.Rollout
	r.Step++
	r.Phase, r.Stage, r.ElapsedMs, r.Reason = c.Phase, c.Stage, c.ElapsedMs, c.Reason
	r.Shares = c.Shares
	return r
}

// Key appends what tells a Set from another, for those who play every order of events: of sets that follow from one another
// by changes, each version is one content.
func (s Set) Key(b []byte) []byte {
	b = binary.AppendUvarint(b, s.Version)
	for _, r := range s.Rollouts {
		b = append(binary.AppendUvarint(binary.AppendUvarint(b, r.Number), r.Step), byte(r.Phase), byte(r.Stage))
		b = append(append(b, r.Order.Service...), r.Order.Target...)
	}
	return b
}
