package balance

// RetrySafety tells whether a part of a workload may run again.
type RetrySafety uint8

const (
	Repeatable   RetrySafety = iota // may run any number of times
	Deduplicated                    // repeats are recognised and dropped, for a while
	OnceOnly                        // must never run twice
)

// Workload is what a deployment states of one kind of query.
type Workload struct {
	Value         float64 // revenue of a whole answer in time, against that of other workloads; 0 where it is not stated
	LatencyGoal   int64   // an answer within this time earns the full revenue, ns
	LateShare     float64 // of the revenue, for an answer past the latency goal
	MinCoverage   float64 // least share of the weight that an answer may be given from
	FullCoverage  float64 // share of the weight that makes a whole answer
	PartialShare  float64 // of the revenue, times share / need, for an answer that is not whole
	FollowUpParts int     // parts of a second step, 0 for none
	RetrySafety   RetrySafety
	DedupWindow   int64 // tagged: how long repeats are recognised, ns

	MaxExecutions int // of one part, 0 for the deployment's

	OptionalGoal int64 // a part that an answer can do without has to fit it, ns; 0 for the shortest latency goal of all
}

// Deployment is what an aggregator is told at its start and what stays fixed for its life.
type Deployment struct {
	Index, Aggregators int    // this aggregator's number from 0, and how many there are
	Seed               uint64 // of this aggregator's chance
	Tick               int64  // least time between two rounds, ns

	Workloads []Workload

	Shards, Cells, CellsPerShard int // shard s is held by the cells (s + j) mod Cells, j from 0 to Reach - 1
	PartsPerCall                 int // most parts that travel in one call

	MaxExecutions int   // of one part
	CanCancel     bool  // executions may be cancelled
	MaxRetryAfter int64 // longest wait that a declined client honours, ns; 0 where it can't be told any

	ColdCapacity   float64 // of its capacity that a fresh replica starts with, at least
	WarmUpTime     int64   // a fresh replica is warm after this at the latest, ns
	OverloadFactor float64 // of its present capacity that pushes a cold replica over
	OverloadSpan   int64   // when kept up for so long, ns

	PriorWeight float64 // own calls that the typical time counts for beside a replica's own; 0 for the module's figure

	AsksForList bool  // the list must be asked for
	AskWithin   int64 // unasked for so long, the aggregator counts as told, ns

	Budgeted     bool    // further executions have a budget:
	RetrySlack   float64 // so many,
	RetryRatio   float64 // and so many for each query or part taken,
	RetryWindow  int64   // within any span of this length, ns
	ShardBudgets int     // shards that have budgets of their own, each counting parts alone; 0 where all have one
}

// Status is a replica's state on the list.
type Status uint8

const (
	Up Status = iota
	Draining
	Gone
)

// Listing is one replica as the list names it. Replica is the caller's small index for it; the index of one that
// is gone may be used again once no execution is out there, and is New then.
type Listing struct {
	Replica   int
	New       bool
	Cell      int
	Status    Status
	StartedAt int64 // when it last started, ns; 0 for long ago
	MaxCalls  int   // own calls that may be in flight there, 0 for the module's figure, which holds besides
	Distance  int   // from 0 for the nearest to below Distances; 0 where it is all the same
}

// Distances is how many distances of replicas are told apart.
const Distances = 3

// Arrival is a query as it is handed over; its parts follow by Query.AddPart.
type Arrival struct {
	Workload int
	Timeout  int64 // time until the client gives up this try, ns
	Parts    int   // how many its first step has
	Priority Priority
}

// Priority is how much room a query may take where room is short; a later one takes less.
type Priority int

// The claims.
const (
	FirstTry  Priority = iota // of a customer within what was agreed
	OverQuota                 // its customer is over what was agreed: it is worth less
	Retry                     // its client marks it as a retry: what failed it once may fail it again
)

// Finding is what this aggregator has found of a replica by its own executions.
type Finding struct {
	Replica, Cell int
	Ejected       bool    // it is set aside
	TrialAt       int64   // Aside: its trickle starts then, ns
	LastFailure   int64   // its last failure, if it has fulfilled nothing since; 0 for none
	LastSuccess   int64   // its last fulfilled execution; 0 for none
	Slowdown      float64 // its time for each own call over that of all; 0 where not met lately
	Samples       float64 // own calls that this is known from
}

// SharedReport is what others found of a replica, weighed by the caller. It narrows who is eligible; nothing in it chooses, and
// none sets a replica aside.
type SharedReport struct {
	Replica   int
	Expires   int64   // it holds so long, ns
	Suspect   bool    // one own failure sets the replica aside
	Slowdown  float64 // times the typical that it is said to need,
	Weight    float64 // counted like so many own calls; 0 for no word on that
	TrialAt   int64   // where it is set aside: its trickle starts then, 0 for no word
	DownUntil int64   // it cannot be reached until then, or could not until now, ns; 0 for no word
}

// Result is how an execution ended.
type Result uint8

const (
	Fulfilled     Result = iota
	Errored              // the replica answered with an error
	Full                 // turned away unseen
	TimedOut             // no reply in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // by this aggregator
	Unsent               // never left
)

// NeverRan tells whether the result proves that the execution did not run.
func (r Result) NeverRan() bool {
	return r == Full || r == ConnectFailed || r == Unsent
}

// Outcome is how a query ends.
type Outcome uint8

const (
	Whole     Outcome = iota // an answer with all that a whole one needs
	Partial                  // an answer from less
	Declined                 // unserved, and trying again does no harm
	Forfeited                // unserved, without a promise
)

// ListCall is what to ask of the service that keeps the list.
type ListCall uint8

const (
	NoCall ListCall = iota
	Subscribe
)

// Send starts the next execution of a part.
type Send struct {
	Query    *Query
	Part     int
	Replica  int
	Deadline int64 // when the execution is dropped, ns
}

// Cancel ends the wait for one execution.
type Cancel struct {
	Query           *Query
	Part, Execution int
}

// Ending is a query's final answer; a Whole or Partial one may be the first of two steps.
type Ending struct {
	Query      *Query
	Outcome    Outcome
	RetryAfter int64 // Declined: how long the client ought to wait, ns
}

// Round is what one Decide asks for, to be carried out in this order: sends, cancels, endings,
// releases, list.
// Its slices are used again by the next Decide.
type Round struct {
	Sends     []Send
	Cancels   []Cancel
	Endings   []Ending
	CloseIdle []int // replicas whose idle connections are given back
	List      ListCall
	WakeAt    int64 // when Decide wants to be called again at the latest; 0 for no such time
}
