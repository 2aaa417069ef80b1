package siterouting

const (
	spareWindowNs      = 2e9  // length in ns of the window over which a site counts its queries
	maxSpareGrowth     = 1.0  // relative growth per window while nothing is declined; the offer may exceed the served rate by as much
	minQuietSpare      = 20.0 // minimum queries per second that a site without declines offers, because its capacity isn't known
	maxDeclinedShare   = 0.02 // declined fraction of the site's own queries above which the offer decreases
	minDeclines        = 2.0  // declined queries in a window that a decrease needs; fewer may be chance
	spareDecrease      = 0.7  // factor on the rate accepted so far if too many own queries are declined
	spareIncreaseShare = 0.1  // relative growth per window without too many declines
	spareIncrease      = 1.0  // additional growth per window in queries per second, and the lowest offer above 0
	quietAfterWindows  = 15   // windows without too many declines after which the capacity counts as unknown again
)

// SpareCapacity estimates how many queries per second a site can accept from others, of all workloads together. A site that
// declines its own queries offers less than it accepted before, and then more step by step, so that the offer settles near
// its capacity.
type SpareCapacity struct {
	served, declined, own, accepted float64 // queries in this window
	windowStart                     int64
	rate                            float64
	quietWindows                    int // windows since the last one with too many declines of own queries
}

// NewSpareCapacity returns a SpareCapacity for a site whose capacity isn't known.
func NewSpareCapacity(now int64) *SpareCapacity {
	return &SpareCapacity{windowStart: now, rate: minQuietSpare, quietWindows: quietAfterWindows}
}

// Ended records how a query ended at this site; own says that it came from one of the site's own clients.
func (s *SpareCapacity) Ended(now int64, own, declined bool) {
	s.closeWindow(now)
	if own {
		s.own++
	}
	switch {
	case !declined:
		if s.served++; !own {
			s.accepted++
		}
	case own:
		s.declined++
	}
}

// Rate returns how many queries per second the site offers to accept from others.
func (s *SpareCapacity) Rate(now int64) float64 {
	s.closeWindow(now)
	return s.rate
}

// closeWindow updates the rate if the window has ended.
//
// Danger: a site that simply offered what it accepted before would go on while it declines its own clients. So declines of
// own queries reduce the offer at once, and only windows without them raise it.
func (s *SpareCapacity) closeWindow(now int64) {
	elapsed := now - s.windowStart
	if elapsed < spareWindowNs {
		return
	}
	served, accepted := s.served*1e9/float64(elapsed), s.accepted*1e9/float64(elapsed)
	switch {
	case s.declined > maxDeclinedShare*s.own && s.declined >= minDeclines:
		if s.rate = min(s.rate, accepted) * spareDecrease; s.rate < spareIncrease {
			s.rate = 0
		}
		s.quietWindows = 0
	case s.quietWindows < quietAfterWindows:
		s.quietWindows++
		if 2*accepted >= s.rate { // the rate grows only while it is used
			s.rate += spareIncreaseShare*s.rate + spareIncrease
		}
	default:
		s.rate = max(s.rate, minQuietSpare)
		s.rate = min(s.rate*(1+maxSpareGrowth), max(served*(1+maxSpareGrowth), minQuietSpare)+minQuietSpare)
	}
	s.served, s.declined, s.own, s.accepted, s.windowStart = 0, 0, 0, 0, now
}
