package controllercheck

// Times of a run, ns.
const (
	millisecond      = 1_000_000
	second           = 1000 * millisecond
	latency          = 10 * millisecond
	syncTime         = 5 * millisecond
	settleTime       = 2 * second  // time before the scope's actions begin
	recoveryTime     = 12 * second // time after the scope's window at which all controllers must have recovered
	restartDelay     = 600 * millisecond
	lateDelay        = 900 * millisecond
	veryLateDelay    = 3 * second
	duplicateDelay   = 300 * millisecond
	receiveBlockTime = 4500 * millisecond
	shutdownWait     = 900 * millisecond // time between the announcement of a shutdown and the end of the process
)

// Action is a scripted fault of a machine, or a request to it.
type Action struct {
	At       int64 // time since the scope's actions began, ns
	Machine  string
	Do       ActionKind
	Revision uint64
	Content  string
	Replica  string
}

// ActionKind says what happens in an action.
type ActionKind uint8

// The kinds of actions. Order, Read and Drain are requests to a machine; the others start, stop or restart machines.
const (
	Start    ActionKind = iota // a machine with an empty disk starts
	Leave                      // the machine announces its shutdown and ends after shutdownWait, for good
	Remove                     // the machine loses power for good
	Order                      // an operator sends a configuration
	Read                       // an operator reads the configuration
	Drain                      // a replica announces that it drains
	PowerAll                   // all machines lose power and come back after restartDelay
)

// Scope is a small system and its scripted actions.
type Scope struct {
	Name         string
	Members      []string // controllers whose disks hold revision 1 at the start
	Actions      []Action
	From         int64  // time from which events may have deviations, ns since the actions began
	Window       int64  // time until which events may have deviations, ns since the actions began
	MaxEmptied   int    // maximum number of disks that deviations may empty
	Size         int    // minimum number of members at the end
	BlockReceive string // machine that receives nothing for receiveBlockTime after it begins to change the members
	Pairs        int    // minimum number of schedules with two deviations
}

// mayEmptyDisk reports whether one more disk may be emptied after the deviations of a schedule.
func (s Scope) mayEmptyDisk(p Schedule) bool {
	n := 0
	for _, d := range p {
		if d.Kind == Emptied {
			n++
		}
	}
	return n < s.MaxEmptied
}

// Scopes lists the small systems that the tests explore, one for each kind of change or fault.
var Scopes = []Scope{
	{Name: "replacement", Members: []string{"a", "b", "c"}, Window: 3500 * millisecond, Size: 3, Actions: []Action{
		{At: 0, Machine: "c", Do: Remove},
		{At: 200 * millisecond, Machine: "d", Do: Start},
		{At: 2500 * millisecond, Machine: "b", Do: Order, Revision: 2, Content: "two"},
		{At: 2600 * millisecond, Machine: "a", Do: Read},
	}},
	{Name: "planned replacement", Members: []string{"a", "b", "c"}, Window: 2500 * millisecond, MaxEmptied: 0, Size: 3, Actions: []Action{
		{At: 0, Machine: "d", Do: Start},
		{At: 1200 * millisecond, Machine: "a", Do: Leave},
		{At: 1250 * millisecond, Machine: "b", Do: Order, Revision: 2, Content: "two"},
		{At: 1400 * millisecond, Machine: "c", Do: Read},
	}},
	{Name: "two at the duty", Members: []string{"a", "b", "c", "e", "f"}, From: 2400 * millisecond, Window: 3400 * millisecond, Size: 5, BlockReceive: "a", Pairs: 2000, Actions: []Action{
		{At: 0, Machine: "f", Do: Remove},
		{At: 100 * millisecond, Machine: "d", Do: Start},
		{At: 150 * millisecond, Machine: "g", Do: Start},
		{At: 5500 * millisecond, Machine: "b", Do: Order, Revision: 2, Content: "two"},
	}},
	{Name: "two contents", Members: []string{"a", "b", "c"}, Window: 700 * millisecond, MaxEmptied: 1, Size: 3, Actions: []Action{
		{At: 0, Machine: "a", Do: Order, Revision: 2, Content: "one"},
		{At: 8 * millisecond, Machine: "b", Do: Order, Revision: 2, Content: "other"},
		{At: 100 * millisecond, Machine: "c", Do: Order, Revision: 3, Content: "three"},
		{At: 150 * millisecond, Machine: "b", Do: Read},
		{At: 400 * millisecond, Machine: "c", Do: Order, Revision: 2, Content: "other"},
	}},
	{Name: "drain and power", Members: []string{"a", "b", "c"}, Window: 700 * millisecond, MaxEmptied: 1, Size: 3, Actions: []Action{
		{At: 0, Machine: "b", Do: Drain, Replica: "r"},
		{At: 90 * millisecond, Machine: "a", Do: Order, Revision: 2, Content: "two"},
		{At: 160 * millisecond, Do: PowerAll},
	}},
}
