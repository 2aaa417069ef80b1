package sharedhealth

import "math/rand/v2"

// State is the condition of the store as this aggregator sees it.
type State uint8

const (
	Unreachable State = iota // no good round for long, or none yet: nothing read from the store is used
	Recovering               // rounds succeed again: the store is written to, but not used yet
	Fresh                    // rounds succeed in time
	Slow                     // rounds take long or the last one failed: they are sent less often
	Stale                    // the last good round is too old for its data to be used
	Distrusted               // a reply contradicted earlier ones: the store is written to, but not used for a while
)

var stateNames = [...]string{"lost", "back", "fresh", "slow", "stale", "distrusted"}

func (s State) String() string { return stateNames[s] }

const (
	slowRoundShare         = 0.5  // share of the timeout; a round that takes longer is slow
	slowIntervalFactor     = 2    // factor on the interval between rounds while the store is slow
	staleAfterRounds       = 4    // intervals without a good round until the store's data is too old to use
	unreachableAfterRounds = 12   // intervals without a good round until the store counts as unreachable
	recoveryRounds         = 3    // good rounds until the data of a recovering store is used
	distrustNs             = 10e9 // ns for which a contradiction makes the store distrusted
	maxBackoffNs           = 30e9 // ns; upper bound of the random part of the wait between attempts while rounds fail
	intervalJitter         = 0.25 // largest random deviation of the interval between rounds, as a share of it, so that the aggregators' rounds do not synchronize
)

// storeMonitor derives the store's state from the outcome of rounds. It does not know their contents.
type storeMonitor struct {
	interval, timeout int64
	rng               *rand.Rand
	state             State
	lastGood          int64 // time of the last good round; long before the start while there was none
	failures          int   // failed rounds since the last good one
	goodRounds        int   // good rounds since the store began to recover or last contradicted itself
	distrustedUntil   int64 // a contradiction makes the store distrusted until then
	nextRound         int64 // time at which the next round is due
}

// roundSucceeded records a round that was answered in time. If contradicted is set, its reply contradicts earlier ones.
func (m *storeMonitor) roundSucceeded(now, duration int64, contradicted bool) {
	if m.advance(now); m.state == Unreachable || m.state == Stale {
		m.state, m.goodRounds = Recovering, 0
	}
	m.lastGood, m.failures = now, 0
	m.goodRounds++
	if contradicted {
		m.distrustedUntil, m.goodRounds = now+distrustNs, 0
	}
	slow := float64(duration) > slowRoundShare*float64(m.timeout)
	switch {
	case now < m.distrustedUntil:
		m.state = Distrusted
	case m.state == Distrusted || m.state == Recovering && m.goodRounds < recoveryRounds:
		if m.state == Distrusted {
			m.goodRounds = 0
		}
		m.state = Recovering
	case slow:
		m.state = Slow
	default:
		m.state = Fresh
	}
	wait := float64(m.interval)
	if m.state == Slow || slow {
		wait *= slowIntervalFactor
	}
	m.nextRound = now + int64(wait*(1-intervalJitter+2*intervalJitter*m.rng.Float64()))
}

// roundFailed records a failed round and schedules the next one.
//
// Danger: a hundred aggregators that lose the store together would return together and overload it again. So each draws
// its wait from the whole of a range that doubles with every failure.
func (m *storeMonitor) roundFailed(now int64) {
	m.failures++
	span := min(float64(m.interval)*float64(uint64(1)<<min(m.failures, 16)), maxBackoffNs)
	m.nextRound = now + int64(span*m.rng.Float64()) + m.interval/2
	m.advance(now)
	if m.state == Fresh {
		m.state = Slow
	}
}

// advance updates the state for the time that has passed.
func (m *storeMonitor) advance(now int64) {
	switch age := now - m.lastGood; {
	case age > unreachableAfterRounds*m.interval:
		m.state = Unreachable
	case age > staleAfterRounds*m.interval && m.state != Unreachable:
		m.state = Stale
	}
}

// usable reports whether decisions may rely on the store's data.
func (m *storeMonitor) usable() bool { return m.state == Fresh || m.state == Slow }
