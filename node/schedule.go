package node

import (
	"runtime"

	"willowsill/decide/overload"
)

// Schedule allows rounds before the next tick and receives measurements of the lateness of the process. The loop
// owns it once it is set.
type Schedule struct {
	Pace          *overload.Pacer // nil for at most one round a tick
	OnWait        func(ns int64)  // called with the time that a query waited for the loop
	OnStall       func(ns int64)  // called with each time that the process stood still
	stallDetector overload.StallDetector
}

type scheduleChange struct{ schedule *Schedule }

// SetSchedule sets the schedule of the rounds; nil for at most one round a tick.
func (n *Node) SetSchedule(s *Schedule) {
	select {
	case n.events <- event{n.Now(), scheduleChange{s}}:
	case <-n.done:
	}
}

// QueueFill is the share of the queue of the loop that is full.
func (n *Node) QueueFill() float64 { return float64(len(n.events)) / queueLength }

// roundGap is the least time between two rounds, ns.
func (n *Node) roundGap() int64 {
	if n.schedule == nil || n.schedule.Pace == nil {
		return n.Tick
	}
	return n.schedule.Pace.Gap()
}

// yieldAndDrain lets goroutines that are ready run before the round and handles the events that they bring, for
// a round costs little more for many events than for one. If no goroutine is ready this costs nothing. Waiting
// with a timer instead would wake the loop a millisecond late.
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

// recordRound reports to the pacer how long the round took that began at the given time.
func (n *Node) recordRound(began int64) {
	if n.schedule != nil && n.schedule.Pace != nil {
		n.schedule.Pace.RecordRound(n.Now() - began)
	}
}

// recordWake is called when the loop wakes up; it records a stall and returns the time.
//
// Danger: events that waited in the machine while the process stood still are read only now. If they or overdue
// executions were handled before the stall is recorded, replicas would be blamed for it.
func (n *Node) recordWake() int64 {
	if n.schedule == nil {
		return 0
	}
	now := n.Now()
	n.recordStall(n.schedule.stallDetector.Wake(now))
	return now
}

// prepareSleep is called before the loop sleeps until next. It records a stall since woken, and returns next or an
// earlier time that the stall detector needs.
func (n *Node) prepareSleep(next, woken int64) int64 {
	if n.schedule == nil || woken == 0 {
		return next
	}
	stall, wake := n.schedule.stallDetector.Sleep(n.Now(), woken, len(n.running) > 0)
	n.recordStall(stall)
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
