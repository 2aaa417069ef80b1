package balance

// RetrySafety states whether a part of a workload may run more than once.
type RetrySafety uint8

const (
	Repeatable   RetrySafety = iota // a part may run any number of times
	Deduplicated                    // replicas recognise and drop repeats, for DedupWindow
	OnceOnly                        // a part must never run twice
)

// Workload holds the terms of one kind of query. Weights are shares of the answer; revenue is relative.
type Workload struct {
	Value         float64 // revenue of a whole answer in time, relative to other workloads; 0 if it is not stated
	LatencyGoal   int64   // an answer within this time earns the full revenue, ns
	LateShare     float64 // share of the revenue that an answer after the latency goal earns
	MinCoverage   float64 // least weight of the parts of a valid answer
	FullCoverage  float64 // least weight of the parts of a whole answer
	PartialShare  float64 // an answer of less weight earns this share of the revenue, times weight / FullCoverage
	FollowUpParts int     // number of parts of a second step, 0 if there is none
	RetrySafety   RetrySafety
	DedupWindow   int64 // how long replicas recognise repeats of a Deduplicated part, ns

	MaxExecutions int // limit of executions of one part, 0 for the limit of the deployment

	OptionalGoal int64 // time that an optional part must fit, ns; 0 for the shortest latency goal of all workloads
}

// Deployment is the configuration of an aggregator, which is fixed for the life of the process.
type Deployment struct {
	Index, Aggregators int    // this aggregator's number, from 0, and the number of all
	Seed               uint64 // seed of this aggregator's random numbers
	Tick               int64  // least time between two rounds, ns

	Workloads []Workload

	Shards, Cells, CellsPerShard int // shard s is held by the cells (s + j) mod Cells, j from 0 to CellsPerShard - 1
	PartsPerCall                 int // most parts that may travel in one call to a replica

	MaxExecutions int   // limit of executions of one part
	CanCancel     bool  // replicas can cancel executions
	MaxRetryAfter int64 // longest wait that declined clients honour, ns; 0 if an answer cannot carry a wait

	ColdCapacity   float64 // least share of its capacity that a replica has right after its start
	WarmUpTime     int64   // longest time until a started replica has its full capacity, ns
	OverloadFactor float64 // a cold replica collapses under this multiple of its present capacity
	OverloadSpan   int64   // how long such a load must last to make it collapse, ns

	PriorWeight float64 // weight of the typical time beside a replica's own times, in own calls; 0 for the default

	AsksForList bool  // the list is only sent on request
	AskWithin   int64 // an aggregator that sends no request for this long counts as informed of the list, ns

	Budgeted     bool    // retries (further executions of a part) have budgets
	RetrySlack   float64 // retries that a budget allows within RetryWindow, whatever the traffic
	RetryRatio   float64 // retries that a budget allows in addition, for each query or part handed over
	RetryWindow  int64   // length of any window in which the budget holds, ns
	ShardBudgets int     // number of shards with a budget of their own, which counts parts only; 0 for one common budget
}

// Status is the state of a replica on the list.
type Status uint8

const (
	Up Status = iota
	Draining
	Gone
)

// Listing is the entry of one replica on the list. Replica is a small index that the caller assigns. The index
// of a removed replica may be used again once no execution is under way there; New is then true.
type Listing struct {
	Replica   int
	New       bool
	Cell      int
	Status    Status
	StartedAt int64 // start time of its process, ns; 0 for long ago
	MaxCalls  int   // limit of own calls in flight there, in addition to the limit of this package; 0 for none
	Distance  int   // class of distance from 0, the nearest, to Distances - 1; 0 if distance is irrelevant
}

// Distances is the number of classes of distance between an aggregator and a replica.
const Distances = 3

// Arrival is a query that is handed over; its parts follow with Query.AddPart.
type Arrival struct {
	Workload int
	Timeout  int64 // time until the client gives up this attempt, ns
	Parts    int   // number of parts of the first step
	Priority Priority
}

// Priority says how much capacity a query may take under overload; later values take less.
type Priority int

const (
	FirstTry  Priority = iota // a first attempt, within the customer's quota
	OverQuota                 // its customer is over quota, so the query is worth less
	Retry                     // its client marks it as a retry: what made it fail before may do so again
)

// Finding is what this aggregator found of a replica by its own executions.
type Finding struct {
	Replica, Cell int
	Ejected       bool    // this aggregator has ejected it
	TrialAt       int64   // start of the trial quota of an ejected replica, ns
	LastFailure   int64   // time of its last failure, if it has fulfilled nothing since; 0 for none
	LastSuccess   int64   // time of its last fulfilled execution; 0 for none
	Slowdown      float64 // its time per own call over that of all replicas; 0 if unknown
	Samples       float64 // number of own calls from which Slowdown is known
}

// SharedReport is what other aggregators found of a replica, weighted by the caller. It can make a replica less
// eligible, but it never selects one and never ejects one by itself.
type SharedReport struct {
	Replica   int
	Expires   int64   // the report holds until then, ns
	Suspect   bool    // a single failure seen by this aggregator ejects the replica
	Slowdown  float64 // time that it is said to need, over the typical time
	Weight    float64 // weight of Slowdown, in own calls; 0 if it is not reported
	TrialAt   int64   // start of the trials, if the replica is ejected, ns; 0 if it is not reported
	DownUntil int64   // end of the time without contact to it, ns; the present if it is reachable again; 0 if not reported
}

// Result is how an execution ended.
type Result uint8

const (
	Fulfilled     Result = iota
	Errored              // the replica answered with an error
	Full                 // the replica rejected it before looking at it
	TimedOut             // no reply in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // this aggregator cancelled it
	Unsent               // the execution was never sent
)

// NeverRan tells whether the result proves that the execution did not run.
func (r Result) NeverRan() bool {
	return r == Full || r == ConnectFailed || r == Unsent
}

// Outcome is how a query ends.
type Outcome uint8

const (
	Whole     Outcome = iota // an answer of FullCoverage
	Partial                  // an answer of less, but at least MinCoverage
	Declined                 // no answer, and a retry does no harm
	Forfeited                // no answer, and no promise that a retry does no harm
)

// ListCall is a request to the service that keeps the list of replicas.
type ListCall uint8

const (
	NoCall ListCall = iota
	Subscribe
)

// Send asks for the next execution of a part.
type Send struct {
	Query    *Query
	Part     int
	Replica  int
	Deadline int64 // time at which the replica drops the execution, ns
}

// Cancel asks to cancel one execution.
type Cancel struct {
	Query           *Query
	Part, Execution int
}

// Ending is the answer to a query. A Whole or Partial one may be the first of two answers.
type Ending struct {
	Query      *Query
	Outcome    Outcome
	RetryAfter int64 // Declined: how long the client should wait, ns
}

// Round holds the actions that one Decide asks for, to be carried out in this order: Sends, Cancels, Endings,
// CloseIdle, List. The next Decide reuses its slices.
type Round struct {
	Sends     []Send
	Cancels   []Cancel
	Endings   []Ending
	CloseIdle []int // replicas whose idle connections are to be closed
	List      ListCall
	WakeAt    int64 // latest time for the next Decide, ns; 0 if there is none
}
