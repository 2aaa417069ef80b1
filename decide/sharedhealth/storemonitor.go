package sharedhealth

import "math/rand/v2"

// State is how the store is regarded.
type State uint8

const (
	Unreachable State = iota // not reached for long, or never yet: nothing of it holds
	Recovering               // reached again: told to, not yet believed
	Fresh                    // rounds come in time
	Slow                     // rounds come, and take long: fewer are asked
	Stale                    // the last good round is too old to go by
	Distrusted               // what it gave contradicts what it held: told to, not believed for a while
)

var stateNames = [...]string{"lost", "back", "fresh", "slow", "stale", "distrusted"}

func (s State) String() string { return stateNames[s] }

const (
	slowRoundShare         = 0.5  // of the deadline: a round that takes longer is slow
	slowIntervalFactor     = 2    // times the round between rounds while the store is slow
	staleAfterRounds       = 4    // without a good one, and what was heard is too old
	unreachableAfterRounds = 12   // without a good one, and the store is given up
	recoveryRounds         = 3    // good ones until a store that came back is believed
	distrustNs             = 10e9 // ns that a contradiction is held against the store
	maxBackoffNs           = 30e9 // ns: the longest wait between tries
	intervalJitter         = 0.25 // of a round, either way, so that aggregators do not fall into step
)

// storeMonitor is the state machine of the store. It knows rounds and no contents.
type storeMonitor struct {
	interval, timeout int64
	rng               *rand.Rand
	state             State
	lastGood          int64 // the last good round, or the start
	failures          int   // since then
	goodRounds        int   // since it came back, or the last contradiction
	distrustedUntil   int64 // a contradiction is held against it until then
	nextRound         int64 // round
}

// roundSucceeded books a round that came in time; contradicted tells that what it gave cannot be.
func (t *storeMonitor) roundSucceeded(now, took int64, contradicted bool) {
	if t.advance(now); t.state == Unreachable || t.state == Stale {
		t.state, t.goodRounds = Recovering, 0
	}
	t.lastGood, t.failures = now, 0
	t.goodRounds++
	if contradicted {
		t.distrustedUntil, t.goodRounds = now+distrustNs, 0
	}
	late := float64(took) > slowRoundShare*float64(t.timeout)
	switch {
	case now < t.distrustedUntil:
		t.state = Distrusted
	case t.state == Distrusted || t.state == Recovering && t.goodRounds < recoveryRounds:
		if t.state == Distrusted {
			t.goodRounds = 0
		}
		t.state = Recovering
	case late:
		t.state = Slow
	default:
		t.state = Fresh
	}
	wait := float64(t.interval)
	if t.state == Slow || late {
		wait *= slowIntervalFactor
	}
	t.nextRound = now + int64(wait*(1-intervalJitter+2*intervalJitter*t.rng.Float64()))
}

// roundFailed books a round that did not come, and puts the next off.
//
// Danger: a hundred aggregators that lose a store together would come back together and fell it again: the wait
// is drawn from the whole of a doubling span.
func (t *storeMonitor) roundFailed(now int64) {
	t.failures++
	span := min(float64(t.interval)*float64(uint64(1)<<min(t.failures, 16)), maxBackoffNs)
	t.nextRound = now + int64(span*t.rng.Float64()) + t.interval/2
	t.advance(now)
	if t.state == Fresh {
		t.state = Slow
	}
}

// advance lets time pass.
func (t *storeMonitor) advance(now int64) {
	switch age := now - t.lastGood; {
	case age > unreachableAfterRounds*t.interval:
		t.state = Unreachable
	case age > staleAfterRounds*t.interval && t.state != Unreachable:
		t.state = Stale
	}
}

// usable tells whether what the store says may be acted on.
func (t *storeMonitor) usable() bool { return t.state == Fresh || t.state == Slow }
