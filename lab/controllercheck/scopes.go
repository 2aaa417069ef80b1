package controllercheck

// Times of a play, ns.
const (
	millisecond      = 1_000_000
	second           = 1000 * millisecond
	latency          = 10 * millisecond
	syncTime         = 5 * millisecond
	settleTime       = 2 * second  // until the script of a scope begins
	recoveryTime     = 12 * second // after which everything has to be whole again
	restartDelay     = 600 * millisecond
	lateDelay        = 900 * millisecond
	veryLateDelay    = 3 * second
	duplicateDelay   = 300 * millisecond
	receiveBlockTime = 4500 * millisecond
	shutdownWait     = 900 * millisecond // between the word that a machine leaves and its end
)

// Action is what befalls or is asked of a machine at a time of the script.
type Action struct {
	At       int64 // since the script began
	Machine  string
	Do       ActionKind
	Revision uint64
	Content  string
	Replica  string
}

// ActionKind of an act.
type ActionKind uint8

// The deeds.
const (
	Start    ActionKind = iota // a machine with an empty disk
	Leave                      // in order, for good, after a while
	Remove                     // it loses power for good
	Order                      // an operator sends a configuration
	Read                       // an operator reads it back
	Drain                      // a replica says that it drains
	PowerAll                   // all lose power, and come back
)

// Scope is a small system and what happens in it.
type Scope struct {
	Name         string
	Members      []string // with disks that hold revision 1
	Actions      []Action
	From         int64  // events from this time of the script on may have deviations,
	Window       int64  // up to this one
	MaxEmptied   int    // disks that deviations may empty
	Size         int    // members that there have to be in the end
	BlockReceive string // hears nobody from the moment on at which it begins to change the members, for a while
}

// mayEmptyDisk tells whether one more disk may be emptied after the deviations of a play.
func (s Scope) mayEmptyDisk(p Schedule) bool {
	n := 0
	for _, d := range p {
		if d.Kind == Emptied {
			n++
		}
	}
	return n < s.MaxEmptied
}

// Scopes are all of them.
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
	{Name: "two at the duty", Members: []string{"a", "b", "c", "e", "f"}, From: 2400 * millisecond, Window: 3400 * millisecond, Size: 5, BlockReceive: "a", Actions: []Action{
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
