package overload

// Pace decides when a loop's next round comes. A fact that comes alone should not wait for others; facts that come together
// are worth one round. So a round comes at once, after others that are ready to run have had their turn and brought what they
// have: under load that gathers as many facts as a tick would. Only rounds that cost the loop much of its time wait for more.
type Pace struct {
	Tick int64 // ns: the longest wait
	cost float64
}

const (
	paceOf     = 0.25 // of the loop's time that rounds may take
	paceSmooth = 0.05
	paceYields = 3          // times that others may run first; more gathered no more
	paceLeast  = int64(1e6) // ns: a shorter wait is none, for timers go by the millisecond
)

// Took tells how long a round took, ns.
func (p *Pace) Took(ns int64) { p.cost += paceSmooth * (float64(ns) - p.cost) }

// Gap is how long after the beginning of one round the next may come, ns.
func (p *Pace) Gap() int64 {
	gap := int64(p.cost / paceOf)
	if gap < paceLeast {
		return 0
	}
	return min(gap, p.Tick)
}

// Yields is how often others may run before a round, as long as they bring something.
func (p *Pace) Yields() int { return paceYields }

// Beat tells from when a loop came round how long the process itself stood. The loop says when it wants to be woken at the
// latest; what it comes later than that is nobody else's doing.
type Beat struct{ due int64 }

const (
	beatEach   = int64(10 * 1e6) // ns
	beatSlack  = int64(5 * 1e6)  // ns that a timer may be late on a machine that is well
	beatCounts = 2               // of the slack that a round may take before it counts as standing
)

// Woken is told that the loop has come round, and tells for how long it has stood, ns.
func (b *Beat) Woken(now int64) (stood int64) {
	if b.due == 0 || now <= b.due+beatSlack {
		return 0
	}
	return now - b.due
}

// Sleeps is told that the loop is about to wait, since when it was awake, and whether executions are out, for which a beat is
// needed. It tells for how long it stood while awake, and when it must be woken; 0 for no such time.
func (b *Beat) Sleeps(now, since int64, out bool) (stood, wake int64) {
	if now-since > beatCounts*beatSlack {
		stood = now - since - beatSlack
	}
	if b.due = 0; out {
		b.due = now + beatEach
	}
	return stood, b.due
}
