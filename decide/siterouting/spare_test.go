package siterouting

import "testing"

// A site that declines its own takes nothing from others within a few spans, and more again only when it is quiet.
func TestSpare(t *testing.T) {
	s, now := NewSpareCapacity(0), int64(0)
	span := func(served, declined int) float64 {
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
		span(200, 0)
	}
	if quiet := s.Rate(now); quiet < 50 || quiet > 250 {
		t.Errorf("with 100 a second served and none declined it would take %.1f", quiet)
	}
	for range 8 {
		span(200, 20)
	}
	if short := s.Rate(now); short != 0 {
		t.Errorf("declining its own it would take %.1f", short)
	}
	if back := span(200, 0); back <= 0 || back > 60 {
		t.Errorf("after one quiet span it would take %.1f", back)
	}
	// What others send and is declined says nothing of its own.
	for range 20 {
		s.Ended(now, false, true)
	}
	was := s.Rate(now)
	if now += spareWindowNs; s.Rate(now) < was {
		t.Errorf("declining others' it would take %.1f for %.1f", s.Rate(now), was)
	}
}

func TestLimit(t *testing.T) {
	l, now := NewLinkLimit(0), int64(0)
	turn := func(delay int64, lost bool) {
		for l.TryAcquire() {
		}
		now += 50e6
		l.ObserveDelay(now, delay, lost)
		for l.InFlight() > 0 {
			l.Release()
		}
	}
	for range 400 {
		turn(80e6, false)
	}
	wide := l.Max()
	if wide < 20 || l.MinDelay() != 80e6 {
		t.Errorf("at its least delay %d may be in flight, least %d", wide, l.MinDelay())
	}
	for range 150 {
		turn(400e6, false)
	}
	if narrow := l.Max(); narrow > initialLimit {
		t.Errorf("with a delay five times as long %d", narrow)
	}
	for range 1000 { // the way has changed for good: after a while that is its least delay
		turn(400e6, false)
	}
	if l.MinDelay() != 400e6 || l.Max() <= initialLimit {
		t.Errorf("on a longer way the least is %d, the limit %d", l.MinDelay(), l.Max())
	}
	for range 2000 {
		turn(0, true)
	}
	if l.Max() != minLimit {
		t.Errorf("with all lost %d", l.Max())
	}
}
