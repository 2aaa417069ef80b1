package controller

import (
	"willowsill/decide/clusterstate"
	"willowsill/decide/locality"
	"willowsill/decide/register"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// What controllers say to each other, and what a call of the machine asks for.

// Message is what one controller sends to another. Any part may be there.
type Message struct {
	From                 string               `cbor:"1,keyasint"`
	Heartbeat            *Heartbeat           `cbor:"2,keyasint,omitempty"`
	Register             *register.Message    `cbor:"3,keyasint,omitempty"`
	Records              []registry.Record    `cbor:"4,keyasint,omitempty"`
	AckRequest           uint64               `cbor:"5,keyasint,omitempty"` // wants an Ack once Records are taken
	Ack                  uint64               `cbor:"6,keyasint,omitempty"`
	WantAll              bool                 `cbor:"7,keyasint,omitempty"` // wants all records and what stands
	CommittedValue       *register.Value      `cbor:"8,keyasint,omitempty"` // a value known to stand
	CommittedBallot      register.Ballot      `cbor:"9,keyasint,omitempty"` // what was taken under this ballot stands
	ReplicaHeartbeats    []ReplicaHeartbeat   `cbor:"10,keyasint,omitempty"`
	CommittedValueBallot register.Ballot      `cbor:"11,keyasint,omitempty"` // the ballot that Committed was committed under
	WantGroup            bool                 `cbor:"12,keyasint,omitempty"` // wants the whole group
	FullGroup            registry.GroupUpdate `cbor:"13,keyasint,omitzero"`  // the whole of it
	WantReplicas         []string             `cbor:"14,keyasint,omitempty"` // wants the records of these

	WantLeaving    *registry.LeavingSums `cbor:"15,keyasint,omitempty"` // wants what differs from these sums
	LeavingRecords []registry.AgedRecord `cbor:"16,keyasint,omitempty"` // of replicas that leave

	Evidence []EdgeEvidence `cbor:"17,keyasint,omitempty"` // to the one that holds the duty
}

// ReplicaHeartbeat tells that a replica was heard which says what it said before.
type ReplicaHeartbeat struct {
	ID  string `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}

// Heartbeat tells how a controller is.
type Heartbeat struct {
	CaughtUp     bool         `cbor:"1,keyasint,omitempty"`
	Epoch        uint64       `cbor:"2,keyasint,omitempty"`
	Revision     uint64       `cbor:"3,keyasint,omitempty"`
	Controllers  []string     `cbor:"4,keyasint,omitempty"` // live ones that it knows of
	Edges        []EdgeReport `cbor:"5,keyasint,omitempty"` // heard of since the last heartbeat
	ShuttingDown bool         `cbor:"6,keyasint,omitempty"`

	Number   uint64          `cbor:"7,keyasint,omitempty"` // of this heartbeat; the others return it
	Received []Receipt       `cbor:"8,keyasint,omitempty"` // the last heartbeats received from the others
	Accepted register.Ballot `cbor:"9,keyasint,omitempty"` // the newest that this one's disk has accepted

	Zone  string                `cbor:"10,keyasint,omitempty"` // of this controller; with Controllers alone
	Group *registry.GroupUpdate `cbor:"11,keyasint,omitempty"` // of replicas heard here; nil in the former version

	LeavingSum *uint64 `cbor:"12,keyasint,omitempty"` // sum of those known to leave; nil in the former version

	RolloutsVersion uint64 `cbor:"13,keyasint,omitempty"` // version of the rollouts known to be committed
}

// Receipt returns the number of the last heartbeat that was received from a controller.
type Receipt struct {
	IP     string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// EdgeReport is one edge as it was heard of by a controller.
type EdgeReport struct {
	Edge     clusterstate.Edge `cbor:"1,keyasint"`
	Suspects []string          `cbor:"2,keyasint,omitempty"` // edges that it watches and does not hear
	Age      int64             `cbor:"3,keyasint,omitempty"` // since it was heard of, ns

	Rollouts []rollout.Evidence `cbor:"4,keyasint,omitempty"` // what it has seen of active rollouts
}

// EdgeEvidence is what one edge has seen of active rollouts.
type EdgeEvidence struct {
	IP       string             `cbor:"1,keyasint"`
	Rollouts []rollout.Evidence `cbor:"2,keyasint"`
}

// Send is one message on its way.
type Send struct {
	To      []string // IPs; never this one's own
	Message Message
}

// Save is a state to be put on disk; Saved tells what became of it.
type Save struct {
	Number                 uint64
	RegisterState          register.State
	CommittedConfiguration register.Order    // the newest configuration known to be committed; State may hold another
	Rollouts               rollout.Set       // known to be committed
	Replicas               []registry.Record // the list of replicas, nil where it is as it was
}

// Answer goes to a caller.
type Answer struct {
	Call            uint64
	Status          int // of HTTP
	Body            []byte
	Reason          string
	Rollouts        []rollout.Rollout
	HeartbeatTarget string // IP of the controller for the replica's later heartbeats; empty for any
}

// Effects is what a call asks for, in this order.
type Effects struct {
	Save       *Save
	Sends      []Send
	Answers    []Answer
	Update     clusterstate.Update // to all who follow
	FullUpdate clusterstate.Update // the same with all replicas, to operators who watch
	Log        []LogLine
}

// LogLine is something worth a line of the log.
type LogLine struct {
	Text   string
	Values []any // keys and values by turns
}

// Options is what a controller begins with.
type Options struct {
	IP                       string
	Incarnation              string // new in each life of the process
	Zone                     string
	Regions                  locality.Regions
	Seeds                    []string
	Bootstrap                bool              // the first start of the whole system
	RegisterState            *register.State   // as it was saved; nil for an empty disk
	CommittedConfiguration   register.Order    // the newest configuration known to be committed, as it was saved
	Rollouts                 rollout.Set       // likewise
	Replicas                 []registry.Record // of replicas, likewise
	ReplicaHeartbeatInterval int64             // of replicas, ns
	RolloutTerms             rollout.Bounds    // bounds on rollouts
	Random                   func() float64
}
