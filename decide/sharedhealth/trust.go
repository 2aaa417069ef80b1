package sharedhealth

import "math/rand/v2"

// State is how the store is regarded.
type State uint8

const (
	Lost       State = iota // not reached for long, or never yet: nothing of it holds
	Back                    // reached again: told to, not yet believed
	Fresh                   // rounds come in time
	Slow                    // rounds come, and take long: fewer are asked
	Stale                   // the last good round is too old to go by
	Distrusted              // what it gave contradicts what it held: told to, not believed for a while
)

var stateNames = [...]string{"lost", "back", "fresh", "slow", "stale", "distrusted"}

func (s State) String() string { return stateNames[s] }

const (
	slowShare   = 0.5  // of the deadline: a round that takes longer is slow
	slowSpread  = 2    // times the round between rounds while the store is slow
	staleRounds = 4    // without a good one, and what was heard is too old
	lostRounds  = 12   // without a good one, and the store is given up
	backRounds  = 3    // good ones until a store that came back is believed
	doubtSpan   = 10e9 // ns that a contradiction is held against the store
	backoffMost = 30e9 // ns: the longest wait between tries
	jitter      = 0.25 // of a round, either way, so that aggregators do not fall into step
)

// trust is the state machine of the store. It knows rounds and no contents.
type trust struct {
	round, deadline int64
	chance          *rand.Rand
	state           State
	good            int64 // the last good round, or the start
	failures        int   // since then
	goods           int   // since it came back, or the last contradiction
	doubted         int64 // a contradiction is held against it until then
	next            int64 // round
}

// succeeded books a round that came in time; contradicted tells that what it gave cannot be.
func (t *trust) succeeded(now, took int64, contradicted bool) {
	if t.look(now); t.state == Lost || t.state == Stale {
		t.state, t.goods = Back, 0
	}
	t.good, t.failures = now, 0
	t.goods++
	if contradicted {
		t.doubted, t.goods = now+doubtSpan, 0
	}
	late := float64(took) > slowShare*float64(t.deadline)
	switch {
	case now < t.doubted:
		t.state = Distrusted
	case t.state == Distrusted || t.state == Back && t.goods < backRounds:
		if t.state == Distrusted {
			t.goods = 0
		}
		t.state = Back
	case late:
		t.state = Slow
	default:
		t.state = Fresh
	}
	wait := float64(t.round)
	if t.state == Slow || late {
		wait *= slowSpread
	}
	t.next = now + int64(wait*(1-jitter+2*jitter*t.chance.Float64()))
}

// failed books a round that did not come, and puts the next off.
//
// Danger: a hundred aggregators that lose a store together would come back together and fell it again: the wait
// is drawn from the whole of a doubling span.
func (t *trust) failed(now int64) {
	t.failures++
	span := min(float64(t.round)*float64(uint64(1)<<min(t.failures, 16)), backoffMost)
	t.next = now + int64(span*t.chance.Float64()) + t.round/2
	t.look(now)
	if t.state == Fresh {
		t.state = Slow
	}
}

// look lets time pass.
func (t *trust) look(now int64) {
	switch age := now - t.good; {
	case age > lostRounds*t.round:
		t.state = Lost
	case age > staleRounds*t.round && t.state != Lost:
		t.state = Stale
	}
}

// believed tells whether what the store says may be acted on.
func (t *trust) believed() bool { return t.state == Fresh || t.state == Slow }
