package controlsim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// FaultKind names what a fault does, as it is written in a plan.
type FaultKind string

// The kinds of faults. The field Machine of Fault names the affected machine; "all" stands for all controllers.
const (
	Freeze              FaultKind = "freeze"             // the process is suspended, and messages to it wait
	Kill                FaultKind = "kill"               // SIGKILL; a new process starts after For
	Power               FaultKind = "power"              // the machine loses power, and writes without a sync may be lost; it is back after For
	Wipe                FaultKind = "wipe"               // the machine loses power, and its disk is empty afterwards; it is back after For
	Term                FaultKind = "term"               // SIGTERM; a new process starts after For
	Cut                 FaultKind = "cut"                // no message passes between Machine and Others in either direction
	CutOut              FaultKind = "cut_out"            // messages from Machine to Others are blocked, the other direction works
	CutIn               FaultKind = "cut_in"             // messages from Others to Machine are blocked, the other direction works
	Reset               FaultKind = "reset"              // all connections of Machine are reset once
	SlowLink            FaultKind = "slow_link"          // messages from and to Machine take Amount longer
	Duplicate           FaultKind = "duplicate"          // each message from Machine arrives a second time after Amount
	DiskStall           FaultKind = "disk_stall"         // no sync finishes until the fault ends
	DiskSlow            FaultKind = "disk_slow"          // a sync takes up to Amount
	DiskFull            FaultKind = "disk_full"          // each write fails
	ReplacePlanned      FaultKind = "replace_planned"    // Successor starts with an empty disk; after For, Machine gets SIGTERM and never returns
	ReplaceUnplanned    FaultKind = "replace_unplanned"  // Machine loses power and never returns; Successor starts with an empty disk after For
	LoseAnswers         FaultKind = "lose_answers"       // half of the controllers' answers to operators and replicas are lost
	EdgeRestart         FaultKind = "edge_restart"       // an edge's process is killed; a new one starts after For without any state
	EdgeStartsAlongside FaultKind = "edge_starts_beside" // an edge's process is killed; after For a new one connects first to the controller Others[0]
)

// Fault is one fault of a plan. Times count from the start of the run.
type Fault struct {
	Kind      FaultKind     `json:"kind"`
	At        time.Duration `json:"at"`
	For       time.Duration `json:"for,omitempty"`
	Machine   string        `json:"machine,omitempty"`
	Others    []string      `json:"others,omitempty"`    // the other side of a cut; empty for all other controllers
	Successor string        `json:"successor,omitempty"` // the new controller of a replacement
	Amount    time.Duration `json:"amount,omitempty"`
	Refused   bool          `json:"refused,omitempty"` // a cut also resets and refuses connections; without it messages only vanish
	Edges     bool          `json:"edges,omitempty"`   // with Machine "all": all edges are affected too
	After     uint64        `json:"after,omitempty"`   // a revision; if it is set, At counts from its first acknowledgement
}

// AllControllers as the Machine of a fault stands for every deployed controller.
const AllControllers = "all"

// Action is a scripted request of an operator or a replica at a given time, in addition to the random workload.
type Action struct {
	At         time.Duration `json:"at"`
	Do         ActionKind    `json:"do"`
	Controller string        `json:"controller,omitempty"` // receives the first attempt; empty for a random one
	Revision   uint64        `json:"revision,omitempty"`
	Content    string        `json:"content,omitempty"`
	Replica    string        `json:"replica,omitempty"`
	Once       bool          `json:"once,omitempty"` // a single attempt, without a retry at another controller
}

// ActionKind names what an operator or a replica does in an Action, as it is written in a plan.
type ActionKind string

// The kinds of actions. Orders and reads come from an operator, drains and departures from a replica.
const (
	ActionOrder ActionKind = "order"
	ActionRead  ActionKind = "read"
	ActionDrain ActionKind = "drain"

	ActionDepart ActionKind = "depart" // a replica departs without a drain, and one of its earlier heartbeats arrives seconds later
)

// Storm is a burst of orders, evenly spread over For.
type Storm struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Orders int           `json:"orders"`
}

// Workload describes the random requests of operators and replicas. An interval of 0 turns a type of request off.
type Workload struct {
	OrderEvery time.Duration `json:"order_every,omitempty"` // mean time between two orders
	ReadEvery  time.Duration `json:"read_every,omitempty"`
	DrainEvery time.Duration `json:"drain_every,omitempty"`
	Races      float64       `json:"races,omitempty"`   // share of orders that are followed at once by other content under the same revision
	Resends    float64       `json:"resends,omitempty"` // share of orders that repeat a former one
	Storms     []Storm       `json:"storms,omitempty"`
	Bytes      int           `json:"bytes,omitempty"` // minimum size of a configuration's content
}

// Plan describes one run. The same plan always gives the same run.
type Plan struct {
	Name        string        `json:"name,omitempty"`
	Seed        uint64        `json:"seed"`
	Controllers int           `json:"controllers"`
	Edges       int           `json:"edges"`
	Replicas    int           `json:"replicas"`
	Length      time.Duration `json:"length"`
	Bounds      Bounds        `json:"bounds"`
	Workload    Workload      `json:"workload"`
	Actions     []Action      `json:"acts,omitempty"`
	Faults      []Fault       `json:"faults"`
}

// Bounds are the time limits of a deployment that the checks use.
type Bounds struct {
	Contact  time.Duration `json:"contact"`   // after this time without a fault, a machine counts as connected again
	Apply    time.Duration `json:"apply"`     // from an acknowledgement until each connected edge uses the revision
	Stretch  time.Duration `json:"stretch"`   // added to Apply while only a majority of the controllers is free of faults
	Drain    time.Duration `json:"drain"`     // from the acknowledgement of a drain until each connected edge has stopped sending to the replica
	OrderAck time.Duration `json:"order_ack"` // maximum time of an order or a read while the controllers are settled and no link has a fault
	CatchUp  time.Duration `json:"catch_up"`  // time that a controller needs after a fault before it counts for a majority again
}

// DefaultBounds are the limits of the deployments in use; where they differ, the lower one.
var DefaultBounds = Bounds{Contact: 5 * time.Second, Apply: 3 * time.Second, Stretch: 15 * time.Second, Drain: 4 * time.Second,
	OrderAck: 6 * time.Second, CatchUp: 4 * time.Second}

// Validate returns an error if the plan cannot be simulated.
func (p Plan) Validate() error {
	if p.Controllers < 3 || p.Controllers > 15 || p.Edges < 1 || p.Length <= 0 {
		return fmt.Errorf("a plan needs 3 to 15 controllers, at least one edge and a length")
	}
	for _, f := range p.Faults {
		if !slices.Contains(FaultKinds, f.Kind) {
			return fmt.Errorf("unknown fault kind %q", f.Kind)
		}
	}
	return nil
}

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{Freeze, Kill, Power, Wipe, Term, Cut, CutOut, CutIn, Reset, SlowLink, Duplicate, DiskStall, DiskSlow, DiskFull,
	ReplacePlanned, ReplaceUnplanned, LoseAnswers, EdgeRestart, EdgeStartsAlongside}

// Script encodes the plan as JSON, which ReadPlan reads.
func (p Plan) Script() ([]byte, error) { return json.MarshalIndent(p, "", "  ") }

// ReadPlan decodes and validates a plan that Script has encoded.
func ReadPlan(script []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(script, &p); err != nil {
		return Plan{}, fmt.Errorf("reading a plan: %w", err)
	}
	return p, p.Validate()
}
