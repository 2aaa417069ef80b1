package controlsim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// FaultKind names what a fault does.
type FaultKind string

// The kinds of faults. Machine is the one that is hit; "all" are all controllers.
const (
	Freeze              FaultKind = "freeze"             // the process stands still; what is sent to it waits
	Kill                FaultKind = "kill"               // SIGKILL; a new process begins after For
	Power               FaultKind = "power"              // the machine loses power; what was not synced may be lost
	Wipe                FaultKind = "wipe"               // the same, and the disk comes back empty
	Term                FaultKind = "term"               // SIGTERM; a new process begins after For
	Cut                 FaultKind = "cut"                // nothing passes between Machine and Others, either way
	CutOut              FaultKind = "cut_out"            // Machine cannot be heard by Others, and hears them
	CutIn               FaultKind = "cut_in"             // Machine cannot hear Others, and is heard by them
	Reset               FaultKind = "reset"              // each connection of Machine is reset once
	SlowLink            FaultKind = "slow_link"          // what Machine sends and gets is late by Amount
	Duplicate           FaultKind = "duplicate"          // what Machine sends arrives twice, the second time late by Amount
	DiskStall           FaultKind = "disk_stall"         // no sync ends
	DiskSlow            FaultKind = "disk_slow"          // a sync takes Amount
	DiskFull            FaultKind = "disk_full"          // each write is refused
	ReplacePlanned      FaultKind = "replace_planned"    // Successor starts with an empty disk; after For Machine gets SIGTERM and never returns
	ReplaceUnplanned    FaultKind = "replace_unplanned"  // Machine loses power for good; Successor starts after For
	LoseAnswers         FaultKind = "lose_answers"       // half of the answers of controllers to operators and replicas are lost
	EdgeRestart         FaultKind = "edge_restart"       // an edge's process is killed; a new one begins after For with nothing
	EdgeStartsAlongside FaultKind = "edge_starts_beside" // an edge is killed, and begins again the moment that Others[0] does
)

// Fault is one trouble. Times are of the run, and begin at its start.
type Fault struct {
	Kind      FaultKind     `json:"kind"`
	At        time.Duration `json:"at"`
	For       time.Duration `json:"for,omitempty"`
	Machine   string        `json:"machine,omitempty"`
	Others    []string      `json:"others,omitempty"`    // of a cut; all other controllers where none are named
	Successor string        `json:"successor,omitempty"` // of a replacement
	Amount    time.Duration `json:"amount,omitempty"`
	Refused   bool          `json:"refused,omitempty"` // of a cut: connections are refused; otherwise there is silence
	Edges     bool          `json:"edges,omitempty"`   // of Machine "all": the edges go as well
	After     uint64        `json:"after,omitempty"`   // a revision: At counts from its first acknowledgement
}

// AllControllers names every controller as the Machine of a fault.
const AllControllers = "all"

// Action is something that an operator or a replica is told to do at a time, besides what the workload draws.
type Action struct {
	At         time.Duration `json:"at"`
	Do         ActionKind    `json:"do"`
	Controller string        `json:"controller,omitempty"` // that is asked first; any where none is named
	Revision   uint64        `json:"revision,omitempty"`
	Content    string        `json:"content,omitempty"`
	Replica    string        `json:"replica,omitempty"`
	Once       bool          `json:"once,omitempty"` // one try, and no other controller
}

// ActionKind is what an Act does.
type ActionKind string

// The deeds.
const (
	ActionOrder ActionKind = "order"
	ActionRead  ActionKind = "read"
	ActionDrain ActionKind = "drain"

	ActionDepart ActionKind = "depart" // without having drained; a beat from before comes seconds later
)

// Storm is many orders in a short time.
type Storm struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Orders int           `json:"orders"`
}

// Workload is what operators and replicas do, drawn from the seed.
type Workload struct {
	OrderEvery time.Duration `json:"order_every,omitempty"` // mean; no orders where it is 0
	ReadEvery  time.Duration `json:"read_every,omitempty"`
	DrainEvery time.Duration `json:"drain_every,omitempty"`
	Races      float64       `json:"races,omitempty"`   // share of orders beside which another content goes out under the same number
	Resends    float64       `json:"resends,omitempty"` // share of orders that are sent again later
	Storms     []Storm       `json:"storms,omitempty"`
	Bytes      int           `json:"bytes,omitempty"` // of a configuration
}

// Plan is one run. The same plan gives the same run.
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

// Bounds are the figures of a deployment that the checks go by.
type Bounds struct {
	Contact  time.Duration `json:"contact"`
	Apply    time.Duration `json:"apply"`
	Stretch  time.Duration `json:"stretch"`
	Drain    time.Duration `json:"drain"`
	OrderAck time.Duration `json:"order_ack"`
	CatchUp  time.Duration `json:"catch_up"`
}

// DefaultBounds are the bounds of the deployments in use, the tighter one where they differ.
var DefaultBounds = Bounds{Contact: 5 * time.Second, Apply: 3 * time.Second, Stretch: 15 * time.Second, Drain: 4 * time.Second,
	OrderAck: 6 * time.Second, CatchUp: 4 * time.Second}

// Validate tells what of a plan cannot be played.
func (p Plan) Validate() error {
	if p.Controllers < 3 || p.Controllers > 15 || p.Edges < 1 || p.Length <= 0 {
		return fmt.Errorf("a plan has 3 to 15 controllers, an edge and a length")
	}
	for _, f := range p.Faults {
		if !slices.Contains(FaultKinds, f.Kind) {
			return fmt.Errorf("a fault of kind %q is unknown", f.Kind)
		}
	}
	return nil
}

// FaultKinds are all kinds of faults.
var FaultKinds = []FaultKind{Freeze, Kill, Power, Wipe, Term, Cut, CutOut, CutIn, Reset, SlowLink, Duplicate, DiskStall, DiskSlow, DiskFull,
	ReplacePlanned, ReplaceUnplanned, LoseAnswers, EdgeRestart, EdgeStartsAlongside}

// Script writes a plan as a text that Read takes back.
func (p Plan) Script() ([]byte, error) { return json.MarshalIndent(p, "", "  ") }

// ReadPlan reads a plan from its script.
func ReadPlan(script []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(script, &p); err != nil {
		return Plan{}, fmt.Errorf("reading a plan: %w", err)
	}
	return p, p.Validate()
}
