package node

import (
	"runtime"

	"willowsill/decide/overload"
)

// Rhythm is when rounds come where they do not wait for the tick, and what is told of the process's own lateness. The loop
// owns it once it was handed over.
type Rhythm struct {
	Pace   *overload.Pace // nil for a round each tick
	Waited func(ns int64)
	Stood  func(ns int64)
	beat   overload.Beat
}

type rhythm struct{ rhythm *Rhythm }

// Follow has the loop follow a rhythm from now on, or none.
func (n *Node) Follow(r *Rhythm) {
	select {
	case n.facts <- fact{n.Now(), rhythm{r}}:
	case <-n.ended:
	}
}

// Waiting is the share of the loop's queue that is full.
func (n *Node) Waiting() float64 { return float64(len(n.facts)) / queueLength }

// gap is how long after one round the next may come.
func (n *Node) gap() int64 {
	if n.rhythm == nil || n.rhythm.Pace == nil {
		return n.Tick
	}
	return n.rhythm.Pace.Gap()
}

// gather has goroutines that are ready run before the round, and takes in what they bring: a round for many facts costs hardly
// more than one for a single fact. Where nobody else is ready it costs nothing, and nothing waits; a timer would wake
// the loop a millisecond late.
func (n *Node) gather() {
	if n.rhythm == nil || n.rhythm.Pace == nil {
		return
	}
	for range n.rhythm.Pace.Yields() {
		runtime.Gosched()
		if !n.drain() {
			return
		}
	}
}

// took notes what a round cost that began at a time.
func (n *Node) took(began int64) {
	if n.rhythm != nil && n.rhythm.Pace != nil {
		n.rhythm.Pace.Took(n.Now() - began)
	}
}

// woken is called as the loop comes round, and returns when.
//
// Danger: what waited in the machine while the process stood comes in only now. Were it booked first, or overdue executions
// looked at, replicas would be blamed for it.
func (n *Node) woken() int64 {
	if n.rhythm == nil {
		return 0
	}
	now := n.Now()
	n.stood(n.rhythm.beat.Woken(now))
	return now
}

// sleeps is called before the loop waits until next, and returns until when it may.
func (n *Node) sleeps(next, woken int64) int64 {
	if n.rhythm == nil || woken == 0 {
		return next
	}
	stood, wake := n.rhythm.beat.Sleeps(n.Now(), woken, len(n.out) > 0)
	n.stood(stood)
	if wake > 0 {
		next = min(next, wake)
	}
	return next
}

func (n *Node) stood(ns int64) {
	if ns > 0 {
		n.agg.Stood(ns)
		n.rhythm.Stood(ns)
	}
}
