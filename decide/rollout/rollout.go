// Package rollout moves a service's traffic to replicas of a new version in steps, watches how that version does beside the
// one before, and takes it back where it does worse. It does no I/O.
//
// The state of all rollouts is a Set, which stands in the register beside the configuration. A step is a change of the Set
// that holds only while the rollout is as whoever decided it saw it, so the duty may pass from one controller to another at
// any moment. Edges are told of each Set and go by the newest one that they hold: they may lag, and never lead.
//
// Decides: which replicas of either version an edge may send to, when a version gets more traffic, when it is taken back and
// when it is complete.
package rollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Phase is how far a rollout is, as operators are told.
type Phase uint8

// The phases. A rollout ends as complete or as reverted, for good.
const (
	Active Phase = iota + 1
	Complete
	Reverted
)

// String is the phase as it stands on the wire.
func (p Phase) String() string {
	switch p {
	case Active:
		return "active"
	case Complete:
		return "complete"
	case Reverted:
		return "reverted"
	}
	return "unknown"
}

// Order is a rollout as an operator sent it.
type Order struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"` // the version that traffic is to be moved to
	OverMs  int64  `cbor:"3,keyasint"` // the time that it may take
}

// Shares say which pairs of an edge and a replica are open, in thousandths of all pairs.
type Shares struct {
	Target int `cbor:"1,keyasint,omitempty"` // of the pairs with a replica of the target version
	Others int `cbor:"2,keyasint,omitempty"` // of the pairs with any other replica of the service
}

// fullShare opens every pair.
const fullShare = 1000

// Rollout is one rollout as the register holds it. It is never changed in place.
type Rollout struct {
	Order     Order    `cbor:"1,keyasint"`
	Number    uint64   `cbor:"2,keyasint"` // of all rollouts, in the order that they were begun
	Step      uint64   `cbor:"3,keyasint"` // counts its changes; whoever changes it names the step that it saw
	Phase     Phase    `cbor:"4,keyasint"`
	Stage     int      `cbor:"5,keyasint,omitempty"`  // while active: the place in the plan
	Shares    Shares   `cbor:"6,keyasint,omitzero"`   // while active
	ElapsedMs int64    `cbor:"7,keyasint,omitempty"`  // between the order and this step
	Changed   uint64   `cbor:"8,keyasint,omitempty"`  // the version of the Set with this step
	Reason    string   `cbor:"9,keyasint,omitempty"`  // for this step, for people
	Reverted  []string `cbor:"10,keyasint,omitempty"` // versions that former rollouts of the service took back
}

// Admits tells whether an edge may begin to send to a replica of the service that has this version.
//
// Danger: an edge that drew anew for each step would close pairs as the share grows, and their requests under way would tell
// nothing. So a pair's place among all is drawn once, and a larger share opens what a smaller one opens.
func (r *Rollout) Admits(edge, replica, version string) bool {
	target := version == r.Order.Target
	switch r.Phase {
	case Reverted:
		return !target && !slices.Contains(r.Reverted, version)
	case Complete:
		return target
	}
	switch {
	case target:
		return pairPosition(edge, replica) < r.Shares.Target
	case slices.Contains(r.Reverted, version):
		return false
	}
	return pairPosition(edge, replica) < r.Shares.Others
}

// AllowsFallback tells whether a replica of this version may be sent to where no replica is admitted at all: a service must not
// rest because the replicas of its version are away.
func (r *Rollout) AllowsFallback(version string) bool {
	return version != r.Order.Target && !slices.Contains(r.Reverted, version)
}

// pairPosition is where a pair stands among all pairs, in thousandths.
func pairPosition(edge, replica string) int {
	return int(xxhash.Sum64String(edge+" "+replica) % fullShare)
}

// Switching tells whether the replicas of other versions get nothing new though the rollout is not complete yet.
func (r *Rollout) Switching() bool { return r.Phase == Active && r.Stage == stageSwitch }
