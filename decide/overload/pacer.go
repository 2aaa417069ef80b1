package overload

// Pacer decides when a loop's next round comes. A fact that comes alone should not wait for others; facts that come together
// are worth one round. So a round comes at once, after others that are ready to run have had their turn and brought what they
// have: under load that gathers as many facts as a tick would. Only rounds that cost the loop much of its time wait for more.
type Pacer struct {
	MaxGap      int64 // ns: the longest wait
	meanRoundNs float64
}

const (
	maxRoundShare     = 0.25 // of the loop's time that rounds may take
	roundSmoothing    = 0.05
	yieldsBeforeRound = 3          // times that others may run first; more gathered no more
	minGap            = int64(1e6) // ns: a shorter wait is none, for timers go by the millisecond
)

// RecordRound tells how long a round took, ns.
func (p *Pacer) RecordRound(ns int64) {
	p.meanRoundNs += roundSmoothing * (float64(ns) - p.meanRoundNs)
}

// Gap is how long after the beginning of one round the next may come, ns.
func (p *Pacer) Gap() int64 {
	gap := int64(p.meanRoundNs / maxRoundShare)
	if gap < minGap {
		return 0
	}
	return min(gap, p.MaxGap)
}

// Yields is how often others may run before a round, as long as they bring something.
func (p *Pacer) Yields() int { return yieldsBeforeRound }

// StallDetector tells from when a loop came round how long the process itself stood. The loop says when it wants to be woken at the
// latest; what it comes later than that is nobody else's doing.
type StallDetector struct{ due int64 }

const (
	wakeInterval     = int64(10 * 1e6) // ns
	timerSlack       = int64(5 * 1e6)  // ns that a timer may be late on a machine that is well
	roundStallSlacks = 2               // of the slack that a round may take before it counts as standing
)

// Wake is told that the loop has come round, and tells for how long it has stood, ns.
func (b *StallDetector) Wake(now int64) (stalled int64) {
	if b.due == 0 || now <= b.due+timerSlack {
		return 0
	}
	return now - b.due
}

// Sleep is told that the loop is about to wait, since when it was awake, and whether executions are out, for which a beat is
// needed. It tells for how long it stood while awake, and when it must be woken; 0 for no such time.
func (b *StallDetector) Sleep(now, awakeSince int64, outstanding bool) (stalled, wakeAt int64) {
	if now-awakeSince > roundStallSlacks*timerSlack {
		stalled = now - awakeSince - timerSlack
	}
	if b.due = 0; outstanding {
		b.due = now + wakeInterval
	}
	return stalled, b.due
}
