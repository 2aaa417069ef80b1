// Package rollout moves a service's traffic in steps to replicas of a new version, compares how that version performs with
// the versions before it, and reverts the rollout if the new version performs worse. It does no I/O.
//
// The state of all rollouts is a Set, which is stored in the register beside the configuration. One controller at a time,
// the holder, decides the steps. A step is applied only if the rollout has not changed since the step was decided, so the
// role of holder may pass to another controller at any moment. Edges receive every committed Set and apply the newest one
// they have: an edge may be behind the register, but is never ahead of it.
//
// Decides: which replicas of either version an edge may send to, when a version gets more traffic, when a rollout is
// reverted and when it is complete.
package rollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Phase is the state of a rollout that operators see.
type Phase uint8

// The phases. Complete and Reverted are final.
const (
	Active Phase = iota + 1
	Complete
	Reverted
)

// String returns the name of the phase that is used on the wire.
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

// Order is an operator's request to start a rollout.
type Order struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"` // the version that gets the traffic
	OverMs  int64  `cbor:"3,keyasint"` // time allowed for the rollout; the deadline is this long after the order
}

// Shares are the fractions of the pairs of an edge and a replica that are open, in thousandths. An edge may send to a replica
// only if their pair is open.
type Shares struct {
	Target int `cbor:"1,keyasint,omitempty"` // thousandths of the pairs with a replica of the target version
	Others int `cbor:"2,keyasint,omitempty"` // thousandths of the pairs with any other replica of the service
}

// fullShare opens every pair.
const fullShare = 1000

// Rollout is one rollout as stored in the register. It is never changed in place.
type Rollout struct {
	Order     Order    `cbor:"1,keyasint"`
	Number    uint64   `cbor:"2,keyasint"` // sequence number over all rollouts, in the order in which they began
	Step      uint64   `cbor:"3,keyasint"` // counts the changes of this rollout; a change names the step that it is based on
	Phase     Phase    `cbor:"4,keyasint"`
	Stage     int      `cbor:"5,keyasint,omitempty"`  // index into plan, while active
	Shares    Shares   `cbor:"6,keyasint,omitzero"`   // while active
	ElapsedMs int64    `cbor:"7,keyasint,omitempty"`  // time between the order and this step
	Changed   uint64   `cbor:"8,keyasint,omitempty"`  // version of the Set that introduced this step
	Reason    string   `cbor:"9,keyasint,omitempty"`  // explanation of this step for operators
	Reverted  []string `cbor:"10,keyasint,omitempty"` // versions that earlier rollouts of the service reverted
}

// Admits reports whether an edge may start requests at a replica of the service that has this version.
//
// Danger: if the admitted pairs were drawn again at each step, some pairs would close while the share grows, and their
// requests in flight would count for nothing. So each pair has a fixed position among all pairs, and a larger share admits
// every pair that a smaller share admits.
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

// AllowsFallback reports whether a replica of this version may be used when no replica of the service is admitted. The
// service must not stop because the replicas of the admitted version are unavailable.
func (r *Rollout) AllowsFallback(version string) bool {
	return version != r.Order.Target && !slices.Contains(r.Reverted, version)
}

// pairPosition returns the fixed position of a pair among all pairs, in thousandths.
func pairPosition(edge, replica string) int {
	return int(xxhash.Sum64String(edge+" "+replica) % fullShare)
}

// Switching reports whether the rollout is in its last stage: replicas of other versions get no new requests, but the
// rollout isn't complete yet.
func (r *Rollout) Switching() bool { return r.Phase == Active && r.Stage == stageSwitch }
