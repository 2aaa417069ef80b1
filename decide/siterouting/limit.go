package siterouting

import "math"

const (
	initialLimit     = 8   // queries in flight over a link to begin with,
	minLimit         = 2   // at least,
	maxLimit         = 512 // and at most
	maxDelayFactor   = 1.5 // times the least way there and back, with slack: then queues stand on the link
	delaySlackNs     = 20e6
	limitDecrease    = 0.9
	minDelayWindowNs = 10e9 // ns after which the least delay is found anew, for routes change
	idleDelayDivisor = 4    // of a longer delay that an idle link's least moves by: no queue of this side's stands there
)

// LinkLimit is how many queries may be in flight over one link: more while its delay stays near the least seen, fewer when it
// swells. Its zero value is not usable; see NewLimit.
type LinkLimit struct {
	limit          float64
	inFlight       int
	minDelay       int64 // the least delay, ns; 0 for none yet
	windowMinDelay int64 // of the present span
	windowStart    int64
	decreasedAt    int64 // the last time
}

// NewLinkLimit makes a link's limit.
func NewLinkLimit(now int64) *LinkLimit { return &LinkLimit{limit: initialLimit, windowStart: now} }

// TryAcquire takes room for a query, if there is some.
func (l *LinkLimit) TryAcquire() bool {
	if float64(l.inFlight) >= math.Floor(l.limit) {
		return false
	}
	l.inFlight++
	return true
}

// Acquire takes room for a query that goes whatever the limit says.
func (l *LinkLimit) Acquire() { l.inFlight++ }

// Release gives room back.
func (l *LinkLimit) Release() { l.inFlight-- }

// Max is the present limit.
func (l *LinkLimit) Max() int { return int(l.limit) }

// InFlight is how many are out.
func (l *LinkLimit) InFlight() int { return l.inFlight }

// MinDelay is the least delay seen, ns; 0 for none yet.
func (l *LinkLimit) MinDelay() int64 { return l.minDelay }

// ObserveDelay takes in a measured way there and back, ns; lost is one that did not come back.
//
// Danger: a link that is full answers late, and by the time queries fail its queue holds seconds of them. So the limit
// goes by delay, and falls once for each way there and back, not for each query that waited in one queue.
func (l *LinkLimit) ObserveDelay(now, delay int64, lost bool) {
	if !lost {
		if l.windowMinDelay == 0 || delay < l.windowMinDelay {
			l.windowMinDelay = delay
		}
		if l.minDelay == 0 || delay < l.minDelay {
			l.minDelay = delay
		}
		if now-l.windowStart > minDelayWindowNs {
			l.minDelay, l.windowMinDelay, l.windowStart = l.windowMinDelay, 0, now
		}
	}
	switch {
	case !lost && l.inFlight == 0:
		l.minDelay += max(delay-l.minDelay, 0) / idleDelayDivisor
	case lost || float64(delay) > maxDelayFactor*float64(l.minDelay)+delaySlackNs:
		if now-l.decreasedAt > max(l.minDelay, int64(delaySlackNs)) {
			l.limit, l.decreasedAt = max(l.limit*limitDecrease, minLimit), now
		}
	case l.limit < initialLimit: // Danger: a way that is back from a cut would take half a minute to carry what it did
		l.limit = min(l.limit+1, initialLimit)
	case 2*l.inFlight >= int(l.limit): // what is not used says nothing
		l.limit = min(l.limit+1/l.limit, maxLimit)
	}
}
