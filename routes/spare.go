package routes

const (
	spareSpan  = 2e9  // ns over which a site looks back at itself
	spareRise  = 1.0  // of what it serves that it would take more, where it declines nothing
	spareLeast = 20.0 // queries a second that a site without declines says it takes at least: what it bears is not known
	spareDown  = 0.5  // times what it said before, when it declines some of its own
	spareMany  = 0.02 // of its own that it may decline and still take others'
)

// Spare reckons how many more queries a site would take from others: none while it declines its own.
type Spare struct {
	rows []spare
}

type spare struct {
	served, declined, own float64 // in this span
	since                 int64
	rate                  float64
}

// NewSpare makes one for so many workloads.
func NewSpare(now int64, workloads int) *Spare {
	s := &Spare{rows: make([]spare, workloads)}
	for i := range s.rows {
		s.rows[i] = spare{since: now, rate: spareLeast}
	}
	return s
}

// Ended tells how a query ended at this site; own is one of its own clients.
func (s *Spare) Ended(now int64, workload int, own, declined bool) {
	r := &s.rows[workload]
	r.turn(now)
	if own {
		r.own++
	}
	switch {
	case !declined:
		r.served++
	case own:
		r.declined++
	}
}

// Rate is how many queries a second the site would take from others, as it said in the last span.
func (s *Spare) Rate(now int64, workload int) float64 {
	r := &s.rows[workload]
	r.turn(now)
	return r.rate
}

// turn closes a span. Danger: a site that says it takes what it took before goes on saying so while its own clients are
// declined; so their declines bring it down at once, and only quiet spans raise it.
func (r *spare) turn(now int64) {
	span := now - r.since
	if span < spareSpan {
		return
	}
	served := r.served * 1e9 / float64(span)
	if r.declined > spareMany*r.own {
		if r.rate *= spareDown; r.rate < spareLeast {
			r.rate = 0
		}
	} else {
		r.rate = max(r.rate, spareLeast)
		r.rate = min(r.rate*(1+spareRise), max(served*(1+spareRise), spareLeast)+spareLeast)
	}
	r.served, r.declined, r.own, r.since = 0, 0, 0, now
}
