package rollout

import (
	"encoding/binary"
	"slices"
)

// maxKept is how many rollouts a Set keeps. Active rollouts are always kept; of the ended ones the oldest are dropped.
const maxKept = 128

// Set is the state of all rollouts. It is never changed in place.
type Set struct {
	Version  uint64    `cbor:"1,keyasint,omitempty"` // increases by one with each change
	Rollouts []Rollout `cbor:"2,keyasint,omitempty"` // sorted by Number
}

// IsZero reports whether no rollout was ever started.
func (s Set) IsZero() bool { return s.Version == 0 }

// NewestOf returns the newest rollout of a service, and false if there is none.
func (s Set) NewestOf(service string) (Rollout, bool) {
	for _, r := range slices.Backward(s.Rollouts) {
		if r.Order.Service == service {
			return r, true
		}
	}
	return Rollout{}, false
}

// Newest returns the newest rollout of each service, by service.
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

// BeginResult says whether an operator's order was accepted.
type BeginResult uint8

const (
	Accepted BeginResult = iota + 1 // the order has a rollout, started by this call or by an earlier one
	Busy                            // another rollout of the service is active
)

// Begin starts a rollout. An order that is sent again refers to the rollout that it started the first time, even if that
// rollout has ended since.
func (s Set) Begin(o Order) (next Set, result BeginResult, changed bool) {
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

// Apply applies a step, unless the rollout has changed or ended since the step was decided.
func (s Set) Apply(c Change) (next Set, changed bool) {
	at := slices.IndexFunc(s.Rollouts, func(r Rollout) bool { return r.Number == c.Rollout.Number })
	if at < 0 || s.Rollouts[at].Step != c.Rollout.Step || s.Rollouts[at].Phase != Active {
		return s, false
	}
	return s.with(c.next()), true
}

// Abort reverts the active rollout of a service at an operator's request. It returns false if none is active.
func (s Set) Abort(service, reason string) (next Set, changed bool) {
	r, known := s.NewestOf(service)
	if !known || r.Phase != Active {
		return s, false
	}
	return s.Apply(Change{Rollout: r, Phase: Reverted, ElapsedMs: r.ElapsedMs, Reason: reason})
}

// lastNumber returns the number of the newest rollout, or 0.
func (s Set) lastNumber() uint64 {
	if len(s.Rollouts) == 0 {
		return 0
	}
	return s.Rollouts[len(s.Rollouts)-1].Number
}

// with returns a copy of the Set that has this new or changed rollout.
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

// maxReverted is how many reverted versions a rollout remembers.
const maxReverted = 8

// blockedVersions returns the versions of the service that must get no traffic during the next rollout, which moves to
// target: all versions that were reverted, except target itself.
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
	Rollout   Rollout // the rollout that the decision is based on
	Phase     Phase
	Stage     int    // next stage, if the rollout stays active
	Shares    Shares // next shares, if the rollout stays active
	ElapsedMs int64
	Reason    string
}

// next returns the rollout after the step.
func (c Change) next() Rollout {
	r := c.Rollout
	r.Step++
	r.Phase, r.Stage, r.ElapsedMs, r.Reason = c.Phase, c.Stage, c.ElapsedMs, c.Reason
	r.Shares = c.Shares
	return r
}

// Key appends to b an encoding of the Set, for tools that explore every order of events. Different Sets have different keys
// if each version has one content, as in Sets that follow from one another by changes.
func (s Set) Key(b []byte) []byte {
	b = binary.AppendUvarint(b, s.Version)
	for _, r := range s.Rollouts {
		b = append(binary.AppendUvarint(binary.AppendUvarint(b, r.Number), r.Step), byte(r.Phase), byte(r.Stage))
		b = append(append(b, r.Order.Service...), r.Order.Target...)
	}
	return b
}
