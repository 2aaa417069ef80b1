package siterouting

import "math"

const (
	initialLimit     = 8    // queries in flight at the start
	minLimit         = 2    // lowest limit, in queries in flight
	maxLimit         = 512  // highest limit, in queries in flight
	maxDelayFactor   = 1.5  // a delay above this multiple of the minimum delay, plus delaySlackNs, means that queries are queued on the link
	delaySlackNs     = 20e6 // ns; added to the delay above which the link counts as congested
	limitDecrease    = 0.9  // factor that reduces the limit of a congested link
	minDelayWindowNs = 10e9 // ns after which the minimum delay is measured anew, because the network path may have changed
	idleDelayDivisor = 4    // on an idle link a longer delay raises the minimum by the difference divided by this, since no queue of this side can explain it
)

// LinkLimit bounds the queries in flight over one link. The limit rises while the round-trip delay stays near the minimum
// seen, and falls when the delay grows. The zero value isn't usable; see NewLinkLimit.
type LinkLimit struct {
	limit          float64
	inFlight       int
	minDelay       int64 // minimum delay in ns; 0 before the first measurement
	windowMinDelay int64 // minimum delay in the current window, in ns
	windowStart    int64 // start of the window over which windowMinDelay is taken
	decreasedAt    int64 // time of the last decrease
}

// NewLinkLimit returns a LinkLimit with the initial limit.
func NewLinkLimit(now int64) *LinkLimit { return &LinkLimit{limit: initialLimit, windowStart: now} }

// TryAcquire counts a query as in flight if the limit allows it.
func (l *LinkLimit) TryAcquire() bool {
	if float64(l.inFlight) >= math.Floor(l.limit) {
		return false
	}
	l.inFlight++
	return true
}

// Acquire counts a query as in flight, regardless of the limit.
func (l *LinkLimit) Acquire() { l.inFlight++ }

// Release ends the count of a query that was acquired.
func (l *LinkLimit) Release() { l.inFlight-- }

// Max returns the current limit.
func (l *LinkLimit) Max() int { return int(l.limit) }

// InFlight returns how many queries are in flight.
func (l *LinkLimit) InFlight() int { return l.inFlight }

// MinDelay returns the minimum delay seen recently, in ns; 0 before the first measurement.
func (l *LinkLimit) MinDelay() int64 { return l.minDelay }

// ObserveDelay records a measured round-trip delay in ns, or that the probe was lost.
//
// Danger: a congested link answers late, and when queries begin to fail, its queue already holds seconds of them. So the
// limit depends on the delay. It falls only once per round trip, not once for each query that waited in the same queue.
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
	case l.limit < initialLimit: // Danger: with slow growth a link that is back after a partition would need half a minute to carry its former traffic
		l.limit = min(l.limit+1, initialLimit)
	case 2*l.inFlight >= int(l.limit): // if the limit is not used, a short delay says nothing about a higher limit
		l.limit = min(l.limit+1/l.limit, maxLimit)
	}
}
