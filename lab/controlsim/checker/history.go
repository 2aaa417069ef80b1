// Package checker checks the recorded history of a run of a control cluster: what operators, replicas and edges observed, and the
// faults of the machines. It shares no code with the cluster. All times are true time of the run, in ns.
package checker

import "math"

// Never is a time later than the end of any run.
const Never = math.MaxInt64

// Bounds are the time limits of a deployment, ns; see controlsim.Bounds.
type Bounds struct {
	Contact, Apply, Stretch, Drain, OrderAck int64
}

// Outcome is the result of an order as its operator knows it.
type Outcome uint8

// The outcomes of an order. An operator stops retrying after Acknowledged or Refused.
const (
	Unclear Outcome = iota // no definite answer: the order may be in force now or later
	Acknowledged
	Refused
)

// Attempt is one call to one controller. Status 0 stands for no answer, -1 for a connection that was refused or reset.
type Attempt struct {
	Controller     string
	Sent, Answered int64
	Status         int
}

// Order is one configuration that an operator sent, in one or more attempts. Ended is 0 while it has no definite answer.
type Order struct {
	Number      int
	Revision    uint64
	Content     string
	Sent, Ended int64
	Outcome     Outcome
	Attempts    []Attempt
}

// Read is one read of the newest configuration. Answered is 0 without an answer; Revision 0 is the answer that there is no
// configuration.
type Read struct {
	Sent, Answered int64
	Revision       uint64
	Content        string
	Attempts       []Attempt
}

// EdgeConfiguration records that a configuration is in force at an edge from a time on.
type EdgeConfiguration struct {
	At          int64
	Edge        string
	Incarnation int
	Revision    uint64
	Content     string
}

// ReadinessChange records that an edge reports that it is ready, or that it no longer is.
type ReadinessChange struct {
	At          int64
	Edge        string
	Incarnation int
	Ready       bool
	Revision    uint64
	Upstream    string
}

// ReplicaUse records whether an edge sends to a replica from a time on.
type ReplicaUse struct {
	At          int64
	Edge        string
	Incarnation int
	Replica     string
	Used        bool
}

// ProcessEvent is the start or the end of one process of an edge.
type ProcessEvent struct {
	Edge        string
	Incarnation int
	At          int64
}

// Drain is the announced drain or departure of a replica. Acknowledged is 0 if no controller acknowledged it, and Departed is 0 while the
// replica still runs.
type Drain struct {
	Replica                      string
	Sent, Acknowledged, Departed int64
	Attempts                     []Attempt
}

// FaultSpan is a period in which a machine or its links have a fault.
type FaultSpan struct {
	Machine     string
	From, Until int64
	Slow        bool // the machine, its disk or its links are impaired for the whole span
	Link        bool // links of the machine have a fault
}

// Cut is a period in which messages between a controller and other machines are blocked, in one direction or both.
type Cut struct {
	Controller  string
	Others      []string
	From, Until int64
}

// Machine is a machine that is deployed from From until Until.
type Machine struct {
	Name         string
	IsController bool
	From, Until  int64
}

// History is everything that was observed in one run, each list in the order of time.
type History struct {
	Bounds             Bounds
	End                int64
	Orders             []Order
	Reads              []Read
	EdgeConfigurations []EdgeConfiguration
	Readiness          []ReadinessChange
	ReplicaUses        []ReplicaUse
	ProcessStarts      []ProcessEvent
	ProcessEnds        []ProcessEvent
	Drains             []Drain
	FaultSpans         []FaultSpan
	Cuts               []Cut
	Machines           []Machine
}

// Violation is one check that failed.
type Violation struct {
	Check string // name of the check, one of Checks
	At    int64
	Text  string
}
