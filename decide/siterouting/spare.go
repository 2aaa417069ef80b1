package siterouting

const (
	spareWindowNs      = 2e9  // ns over which a site looks back at itself
	maxSpareGrowth     = 1.0  // of what it serves that it would take more, where it declines nothing
	minQuietSpare      = 20.0 // queries a second that a site without declines says it takes at least: what it bears is not known
	maxDeclinedShare   = 0.02 // of its own that it may decline and still take others',
	minDeclines        = 2.0  // and so many in a span, which chance alone may bring
	spareDecrease      = 0.7  // of what it took, when it declines more of its own,
	spareIncreaseShare = 0.1  // more in a span that it declines none,
	spareIncrease      = 1.0  // and so much more a second
	quietAfterWindows  = 15   // spans without declines: then what it bears is not known any more
)

// SpareCapacity reckons how many more queries a second a site would take from others, of all workloads together. A site that
// declines its own takes fewer than it took, and more again step by step, so that it comes to rest near what it bears.
type SpareCapacity struct {
	served, declined, own, accepted float64 // in this span
	windowStart                     int64
	rate                            float64
	quietWindows                    int // spans since it declined its own
}

// NewSpareCapacity makes one.
func NewSpareCapacity(now int64) *SpareCapacity {
	return &SpareCapacity{windowStart: now, rate: minQuietSpare, quietWindows: quietAfterWindows}
}

// Ended tells how a query ended at this site; own is one of its own clients.
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

// Rate is how many queries a second the site would take from others.
func (s *SpareCapacity) Rate(now int64) float64 {
	s.closeWindow(now)
	return s.rate
}

// closeWindow closes a span. Danger: a site that says it takes what it took before goes on saying so while its own clients are
// declined; so their declines bring it down at once, and only quiet spans raise it.
func (s *SpareCapacity) closeWindow(now int64) {
	span := now - s.windowStart
	if span < spareWindowNs {
		return
	}
	served, taken := s.served*1e9/float64(span), s.accepted*1e9/float64(span)
	switch {
	case s.declined > maxDeclinedShare*s.own && s.declined >= minDeclines:
		if s.rate = min(s.rate, taken) * spareDecrease; s.rate < spareIncrease {
			s.rate = 0
		}
		s.quietWindows = 0
	case s.quietWindows < quietAfterWindows:
		s.quietWindows++
		if 2*taken >= s.rate { // what is not used says nothing
			s.rate += spareIncreaseShare*s.rate + spareIncrease
		}
	default:
		s.rate = max(s.rate, minQuietSpare)
		s.rate = min(s.rate*(1+maxSpareGrowth), max(served*(1+maxSpareGrowth), minQuietSpare)+minQuietSpare)
	}
	s.served, s.declined, s.own, s.accepted, s.windowStart = 0, 0, 0, 0, now
}
