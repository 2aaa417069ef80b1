package siterouting

import "testing"

// TestSpare: a site that declines its own queries soon accepts none from others, and accepts more only after windows without
// declines.
func TestSpare(t *testing.T) {
	s, now := NewSpareCapacity(0), int64(0)
	window := func(served, declined int) float64 {
		for range served {
			s.Ended(now, true, false)
		}
		for range declined {
			s.Ended(now, true, true)
		}
		now += spareWindowNs
		return s.Rate(now)
	}
	for range 10 {
		window(200, 0)
	}
	if quiet := s.Rate(now); quiet < 50 || quiet > 250 {
		t.Errorf("a site that serves 100 queries per second and declines none offers %.1f", quiet)
	}
	for range 8 {
		window(200, 20)
	}
	if short := s.Rate(now); short != 0 {
		t.Errorf("a site that declines its own queries offers %.1f", short)
	}
	if back := window(200, 0); back <= 0 || back > 60 {
		t.Errorf("after one window without declines the site offers %.1f", back)
	}
	// Declined queries from other sites do not reduce the offer.
	for range 20 {
		s.Ended(now, false, true)
	}
	before := s.Rate(now)
	if now += spareWindowNs; s.Rate(now) < before {
		t.Errorf("after declining queries of others the site offers %.1f instead of %.1f", s.Rate(now), before)
	}
}

// TestLimit: the limit of a link rises at a short delay, falls when the delay grows or pings are lost, and adapts to a path
// that is longer for good.
func TestLimit(t *testing.T) {
	l, now := NewLinkLimit(0), int64(0)
	probe := func(delay int64, lost bool) {
		for l.TryAcquire() {
		}
		now += 50e6
		l.ObserveDelay(now, delay, lost)
		for l.InFlight() > 0 {
			l.Release()
		}
	}
	for range 400 {
		probe(80e6, false)
	}
	limit := l.Max()
	if limit < 20 || l.MinDelay() != 80e6 {
		t.Errorf("limit %d and minimum delay %d after pings at the minimum delay", limit, l.MinDelay())
	}
	for range 150 {
		probe(400e6, false)
	}
	if limit := l.Max(); limit > initialLimit {
		t.Errorf("limit %d at five times the minimum delay", limit)
	}
	for range 1000 { // the path has become longer for good: later this is the minimum delay
		probe(400e6, false)
	}
	if l.MinDelay() != 400e6 || l.Max() <= initialLimit {
		t.Errorf("minimum delay %d and limit %d after the path has become longer", l.MinDelay(), l.Max())
	}
	for range 2000 {
		probe(0, true)
	}
	if l.Max() != minLimit {
		t.Errorf("limit %d after all pings were lost", l.Max())
	}
}
