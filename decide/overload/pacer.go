package overload

// Pacer decides when an event loop runs its next round. A fact (an input) that arrives alone should not wait for others;
// facts that arrive together are best processed in one round. So a round runs at once, after other goroutines that are ready
// have run and delivered their facts: under load that collects as many facts as a fixed tick would. Only when rounds
// take up much of the loop's time are they delayed to collect more.
type Pacer struct {
	MaxGap      int64   // ns: longest time from the start of one round to the next
	meanRoundNs float64 // duration of a round, smoothed
}

const (
	maxRoundShare     = 0.25       // share of the loop's time that rounds may take
	roundSmoothing    = 0.05       // weight of the newest round in the mean
	yieldsBeforeRound = 3          // times that other goroutines may run before a round; more did not collect more facts
	minGap            = int64(1e6) // ns: a shorter gap is treated as none, because timers have a resolution of a millisecond
)

// RecordRound records how long a round took, ns.
func (p *Pacer) RecordRound(ns int64) {
	p.meanRoundNs += roundSmoothing * (float64(ns) - p.meanRoundNs)
}

// Gap returns how long after the start of one round the next may start, ns.
func (p *Pacer) Gap() int64 {
	gap := int64(p.meanRoundNs / maxRoundShare)
	if gap < minGap {
		return 0
	}
	return min(gap, p.MaxGap)
}

// Yields returns how often other goroutines may run before a round, as long as they deliver facts.
func (p *Pacer) Yields() int { return yieldsBeforeRound }

// StallDetector measures how long the process itself stalled. An event loop states when it must be woken at the latest;
// if it is woken later, the process or its machine is the cause and not a replica.
type StallDetector struct{ due int64 }

const (
	wakeInterval     = int64(10 * 1e6) // ns between wake-ups while executions are outstanding
	timerSlack       = int64(5 * 1e6)  // ns that a timer may be late on a healthy machine
	roundStallSlacks = 2               // a round that takes longer than this many times timerSlack counts as a stall
)

// Wake is called when the loop was woken. It returns for how long the process stalled, ns.
func (b *StallDetector) Wake(now int64) (stalled int64) {
	if b.due == 0 || now <= b.due+timerSlack {
		return 0
	}
	return now - b.due
}

// Sleep is called when the loop is about to wait. The loop was awake since awakeSince; while executions are outstanding
// it needs regular wake-ups. Sleep returns for how long the process stalled while awake, ns, and when the loop must be
// woken, which is 0 for no such time.
func (b *StallDetector) Sleep(now, awakeSince int64, outstanding bool) (stalled, wakeAt int64) {
	if now-awakeSince > roundStallSlacks*timerSlack {
		stalled = now - awakeSince - timerSlack
	}
	if b.due = 0; outstanding {
		b.due = now + wakeInterval
	}
	return stalled, b.due
}
