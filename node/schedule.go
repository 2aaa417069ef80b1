package node

import (
	"runtime"

	"willowsill/decide/overload"
)

// Schedule is when rounds come where they do not wait for the tick, and what is told of the process's own lateness. The loop
// owns it once it was handed over.
type Schedule struct {
	Pace          *overload.Pacer // nil for a round each tick
	OnWait        func(ns int64)
	OnStall       func(ns int64)
	stallDetector overload.StallDetector
}

type scheduleChange struct{ rhythm *Schedule }

// SetSchedule has the loop follow a rhythm from now on, or none.
func (n *Node) SetSchedule(r *Schedule) {
	select {
	case n.events <- event{n.Now(), scheduleChange{r}}:
	case <-n.done:
	}
}

// QueueFill is the share of the loop's queue that is full.
func (n *Node) QueueFill() float64 { return float64(len(n.events)) / queueLength }

// roundGap is how long after one round the next may come.
func (n *Node) roundGap() int64 {
	if n.schedule == nil || n.schedule.Pace == nil {
		return n.Tick
	}
	return n.schedule.Pace.Gap()
}

// yieldAndDrain has goroutines that are ready run before the round, and takes in what they bring: a round for many facts costs hardly
// more than one for a single fact. Where nobody else is ready it costs nothing, and nothing waits; a timer would wake
// the loop a millisecond late.
func (n *Node) yieldAndDrain() {
	if n.schedule == nil || n.schedule.Pace == nil {
		return
	}
	for range n.schedule.Pace.Yields() {
		runtime.Gosched()
		if !n.drainQueue() {
			return
		}
	}
}

// recordRound notes what a round cost that began at a time.
func (n *Node) recordRound(began int64) {
	if n.schedule != nil && n.schedule.Pace != nil {
		n.schedule.Pace.RecordRound(n.Now() - began)
	}
}

// recordWake is called as the loop comes round, and returns when.
//
// Danger: what waited in the machine while the process stood comes in only now. Were it booked first, or overdue executions
// looked at, replicas would be blamed for it.
func (n *Node) recordWake() int64 {
	if n.schedule == nil {
		return 0
	}
	now := n.Now()
	n.recordStall(n.schedule.stallDetector.Wake(now))
	return now
}

// prepareSleep is called before the loop waits until next, and returns until when it may.
func (n *Node) prepareSleep(next, woken int64) int64 {
	if n.schedule == nil || woken == 0 {
		return next
	}
	stood, wake := n.schedule.stallDetector.Sleep(n.Now(), woken, len(n.running) > 0)
	n.recordStall(stood)
	if wake > 0 {
		next = min(next, wake)
	}
	return next
}

func (n *Node) recordStall(ns int64) {
	if ns > 0 {
		n.agg.RecordStall(ns)
		n.schedule.OnStall(ns)
	}
}
