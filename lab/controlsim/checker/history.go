// Package checker judges a run of a control cluster by what operators, replicas and edges saw of it, and by what befell the
// machines. It shares no code with what it watches. All times are true time of the run, in ns.
package checker

import "math"

// Never is a time that does not come.
const Never = math.MaxInt64

// Bounds are the figures of a deployment, ns.
type Bounds struct {
	Contact, Apply, Stretch, Drain, OrderAck int64
}

// Outcome is what an operator knows of an order in the end.
type Outcome uint8

// The outcomes.
const (
	Unclear Outcome = iota // no clear answer: it may be in force, now or later
	Acknowledged
	Refused
)

// Attempt is one call to one controller. Status 0 is silence, and -1 a connection that was refused or reset.
type Attempt struct {
	Controller     string
	Sent, Answered int64
	Status         int
}

// Order is one configuration that an operator sent, in one or more tries. Ended is 0 while it is under way.
type Order struct {
	Number      int
	Revision    uint64
	Content     string
	Sent, Ended int64
	Outcome     Outcome
	Attempts    []Attempt
}

// Read is one question for the newest configuration. Answered is 0 where none came; Revision 0 tells that there was no
// configuration.
type Read struct {
	Sent, Answered int64
	Revision       uint64
	Content        string
	Attempts       []Attempt
}

// EdgeConfiguration tells that a configuration is in force at an edge from a time on.
type EdgeConfiguration struct {
	At          int64
	Edge        string
	Incarnation int
	Revision    uint64
	Content     string
}

// ReadinessChange tells that an edge calls itself ready, or no longer does.
type ReadinessChange struct {
	At       int64
	Edge     string
	Life     int
	Ready    bool
	Revision uint64
	Upstream string
}

// ReplicaUse tells whether an edge sends to a replica from a time on.
type ReplicaUse struct {
	At      int64
	Edge    string
	Life    int
	Replica string
	Used    bool
}

// ProcessEvent is the start or the end of one process of an edge.
type ProcessEvent struct {
	Edge string
	Life int
	At   int64
}

// Drain is a replica that said that it leaves. Acknowledged is 0 where nobody did that, and Departed where it is still there.
type Drain struct {
	Replica                      string
	Sent, Acknowledged, Departed int64
	Attempts                     []Attempt
}

// FaultSpan is a span in which something befell a machine or its links.
type FaultSpan struct {
	Machine     string
	From, Until int64
	Slow        bool // the machine or its links are slow, or harm what passes, for the whole span
	Link        bool // links are in trouble
}

// Cut is a span in which a controller could not hear others, could not be heard by them, or both.
type Cut struct {
	Controller  string
	Others      []string
	From, Until int64
}

// Machine is one that is deployed for a span. Core machines are the controllers.
type Machine struct {
	Name         string
	IsController bool
	From, Until  int64
}

// History is all that was seen in one run, each list in the order of its times.
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
	Check string // its name, one of Checks
	At    int64
	Text  string
}
