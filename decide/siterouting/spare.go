package siterouting

const (
	spareSpan  = 2e9  // ns over which a site looks back at itself
	spareRise  = 1.0  // of what it serves that it would take more, where it declines nothing
	spareLeast = 20.0 // queries a second that a site without declines says it takes at least: what it bears is not known
	spareMany  = 0.02 // of its own that it may decline and still take others',
	spareAny   = 2.0  // and so many in a span, which chance alone may bring
	spareDown  = 0.7  // of what it took, when it declines more of its own,
	spareStep  = 0.1  // more in a span that it declines none,
	spareFirst = 1.0  // and so much more a second
	spareCalm  = 15   // spans without declines: then what it bears is not known any more
)

// Spare reckons how many more queries a second a site would take from others, of all workloads together. A site that
// declines its own takes fewer than it took, and more again step by step, so that it comes to rest near what it bears.
type Spare struct {
	served, declined, own, taken float64 // in this span
	since                        int64
	rate                         float64
	calm                         int // spans since it declined its own
}

// NewSpare makes one.
func NewSpare(now int64) *Spare { return &Spare{since: now, rate: spareLeast, calm: spareCalm} }

// Ended tells how a query ended at this site; own is one of its own clients.
func (s *Spare) Ended(now int64, own, declined bool) {
	s.turn(now)
	if own {
		s.own++
	}
	switch {
	case !declined:
		if s.served++; !own {
			s.taken++
		}
	case own:
		s.declined++
	}
}

// Rate is how many queries a second the site would take from others.
func (s *Spare) Rate(now int64) float64 {
	s.turn(now)
	return s.rate
}

// turn closes a span. Danger: a site that says it takes what it took before goes on saying so while its own clients are
// declined; so their declines bring it down at once, and only quiet spans raise it.
func (s *Spare) turn(now int64) {
	span := now - s.since
	if span < spareSpan {
		return
	}
	served, taken := s.served*1e9/float64(span), s.taken*1e9/float64(span)
	switch {
	case s.declined > spareMany*s.own && s.declined >= spareAny:
		if s.rate = min(s.rate, taken) * spareDown; s.rate < spareFirst {
			s.rate = 0
		}
		s.calm = 0
	case s.calm < spareCalm:
		s.calm++
		if 2*taken >= s.rate { // what is not used says nothing
			s.rate += spareStep*s.rate + spareFirst
		}
	default:
		s.rate = max(s.rate, spareLeast)
		s.rate = min(s.rate*(1+spareRise), max(served*(1+spareRise), spareLeast)+spareLeast)
	}
	s.served, s.declined, s.own, s.taken, s.since = 0, 0, 0, 0, now
}
