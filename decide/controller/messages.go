package controller

import (
	"willowsill/decide/clusterstate"
	"willowsill/decide/locality"
	"willowsill/decide/register"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// This file has the messages between controllers, and the options and effects of the state machine.

// Message is what one controller sends to another. Any of its parts may be missing.
type Message struct {
	From       string            `cbor:"1,keyasint"` // IP of the sender
	Heartbeat  *Heartbeat        `cbor:"2,keyasint,omitempty"`
	Register   *register.Message `cbor:"3,keyasint,omitempty"` // request to an acceptor, or an acceptor's answer
	Records    []registry.Record `cbor:"4,keyasint,omitempty"` // records of replicas that have changed or were requested
	AckRequest uint64            `cbor:"5,keyasint,omitempty"` // if not 0: send it back as Ack once Records are on disk
	Ack        uint64            `cbor:"6,keyasint,omitempty"` // AckRequest of the message that is acknowledged
	WantAll    bool              `cbor:"7,keyasint,omitempty"` // requests all records and the committed value

	CommittedValue       *register.Value      `cbor:"8,keyasint,omitempty"`  // a value known to be committed
	CommittedBallot      register.Ballot      `cbor:"9,keyasint,omitempty"`  // ballot of a committed value, which the receiver may have accepted
	ReplicaHeartbeats    []ReplicaHeartbeat   `cbor:"10,keyasint,omitempty"` // unchanged heartbeats, for a receiver without groups
	CommittedValueBallot register.Ballot      `cbor:"11,keyasint,omitempty"` // the ballot of CommittedValue
	WantGroup            bool                 `cbor:"12,keyasint,omitempty"` // requests FullGroup
	FullGroup            registry.GroupUpdate `cbor:"13,keyasint,omitzero"`  // the sender's whole group of replicas
	WantReplicas         []string             `cbor:"14,keyasint,omitempty"` // requests the records of these replica IDs

	WantLeaving    *registry.LeavingSums `cbor:"15,keyasint,omitempty"` // requests LeavingRecords where these sums differ
	LeavingRecords []registry.AgedRecord `cbor:"16,keyasint,omitempty"` // records of replicas that are draining or gone

	Evidence []EdgeEvidence `cbor:"17,keyasint,omitempty"` // evidence of rollouts, for the member that runs them
}

// ReplicaHeartbeat reports a heartbeat of a replica whose record has not changed.
type ReplicaHeartbeat struct {
	ID  string `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}

// Heartbeat is sent by each controller to all others every heartbeatInterval.
type Heartbeat struct {
	CaughtUp     bool         `cbor:"1,keyasint,omitempty"` // the sender's disk counts in majorities
	Epoch        uint64       `cbor:"2,keyasint,omitempty"` // epoch of the members known to be committed
	Revision     uint64       `cbor:"3,keyasint,omitempty"` // revision of the configuration known to be committed
	Controllers  []string     `cbor:"4,keyasint,omitempty"` // IPs of live controllers that the sender knows
	Edges        []EdgeReport `cbor:"5,keyasint,omitempty"` // edges that are new or changed, or were reported long ago
	ShuttingDown bool         `cbor:"6,keyasint,omitempty"` // the sender's process will end soon

	Number   uint64          `cbor:"7,keyasint,omitempty"` // number of this heartbeat; a receiver returns it in a Receipt
	Received []Receipt       `cbor:"8,keyasint,omitempty"` // the last heartbeats received, one for each other controller
	Accepted register.Ballot `cbor:"9,keyasint,omitempty"` // the newest ballot that the sender's disk has accepted

	Zone  string                `cbor:"10,keyasint,omitempty"` // zone of the sender; sent only along with Controllers
	Group *registry.GroupUpdate `cbor:"11,keyasint,omitempty"` // change of the sender's group; nil in the previous version

	LeavingSum *uint64 `cbor:"12,keyasint,omitempty"` // sum of the leaving replicas; nil in the previous version

	RolloutsVersion uint64 `cbor:"13,keyasint,omitempty"` // version of the rollouts known to be committed
}

// Receipt names the last heartbeat that was received from a controller.
type Receipt struct {
	IP     string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// EdgeReport is the report of one edge, sent by the edge or passed on by a controller.
type EdgeReport struct {
	Edge     clusterstate.Edge `cbor:"1,keyasint"`
	Suspects []string          `cbor:"2,keyasint,omitempty"` // IPs of edges that it watches and gets no messages from
	Age      int64             `cbor:"3,keyasint,omitempty"` // time since the edge was last heard, ns

	Rollouts []rollout.Evidence `cbor:"4,keyasint,omitempty"` // results of requests that it sent under active rollouts
}

// EdgeEvidence is what one edge has observed of active rollouts.
type EdgeEvidence struct {
	IP       string             `cbor:"1,keyasint"`
	Rollouts []rollout.Evidence `cbor:"2,keyasint"`
}

// Send is a message to send to some controllers.
type Send struct {
	To      []string // IPs of other controllers
	Message Message
}

// Save is a state to write to disk. The caller reports the end of the write with SaveFinished.
type Save struct {
	Number                 uint64
	RegisterState          register.State
	CommittedConfiguration register.Order    // the newest committed one; RegisterState may hold another configuration
	Rollouts               rollout.Set       // rollouts known to be committed
	Replicas               []registry.Record // nil if the saved list is to stay as it is

	// KnownControllers are the controllers known to one whose disk is empty. If there are any, nothing else is saved.
	KnownControllers []string
}

// Answer is the answer to a call of a replica or an operator.
type Answer struct {
	Call            uint64 // the ID that the call came with
	Status          int    // HTTP status
	Body            []byte // the packed configuration that was read
	Reason          string // why the call failed; empty with status 200
	Rollouts        []rollout.Rollout
	HeartbeatTarget string // IP of the controller for the replica's later heartbeats; empty for any
}

// Effects are the actions that a call of the state machine asks its caller for, to be carried out in this order.
type Effects struct {
	Save       *Save
	Sends      []Send
	Answers    []Answer
	Update     clusterstate.Update // sent to the edges: only replicas of services that the configuration uses
	FullUpdate clusterstate.Update // sent to operators who watch: all replicas
	Log        []LogLine
}

// LogLine is a line to log.
type LogLine struct {
	Text   string
	Values []any // keys and values, alternating
}

// Options are the settings of a controller and the state that it saved before.
type Options struct {
	IP                       string
	Incarnation              string // differs for each start of the process
	Zone                     string
	Regions                  locality.Regions
	Seeds                    []string          // IPs of controllers to contact first; at the first start, the members
	Bootstrap                bool              // this is the first start of the whole system
	FaultBudget              *FaultBudget      // nil if it is not known; then the register is formed by Bootstrap alone
	KnownControllers         []string          // the saved ones; nil unless the disk is empty otherwise
	RegisterState            *register.State   // the saved state of the register; nil for an empty disk
	CommittedConfiguration   register.Order    // the saved revision and sum of the newest committed configuration
	Rollouts                 rollout.Set       // the saved rollouts, known to be committed
	Replicas                 []registry.Record // the saved list of replicas
	ReplicaHeartbeatInterval int64             // time between two heartbeats of a replica, ns
	RolloutTerms             rollout.Bounds
	Random                   func() float64 // returns numbers from 0 up to 1
}
