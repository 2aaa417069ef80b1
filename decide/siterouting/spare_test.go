package siterouting

import "testing"

// A site that declines its own takes nothing from others within a few spans, and more again only when it is quiet.
func TestSpare(t *testing.T) {
	s, now := NewSpare(0), int64(0)
	span := func(served, declined int) float64 {
		for range served {
			s.Ended(now, true, false)
		}
		for range declined {
			s.Ended(now, true, true)
		}
		now += spareSpan
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
	if now += spareSpan; s.Rate(now) < was {
		t.Errorf("declining others' it would take %.1f for %.1f", s.Rate(now), was)
	}
}

func TestLimit(t *testing.T) {
	l, now := NewLimit(0), int64(0)
	turn := func(delay int64, lost bool) {
		for l.Take() {
		}
		now += 50e6
		l.Delay(now, delay, lost)
		for l.InFlight() > 0 {
			l.Give()
		}
	}
	for range 400 {
		turn(80e6, false)
	}
	wide := l.Most()
	if wide < 20 || l.Least() != 80e6 {
		t.Errorf("at its least delay %d may be in flight, least %d", wide, l.Least())
	}
	for range 150 {
		turn(400e6, false)
	}
	if narrow := l.Most(); narrow > limitFirst {
		t.Errorf("with a delay five times as long %d", narrow)
	}
	for range 1000 { // the way has changed for good: after a while that is its least delay
		turn(400e6, false)
	}
	if l.Least() != 400e6 || l.Most() <= limitFirst {
		t.Errorf("on a longer way the least is %d, the limit %d", l.Least(), l.Most())
	}
	for range 2000 {
		turn(0, true)
	}
	if l.Most() != limitLeast {
		t.Errorf("with all lost %d", l.Most())
	}
}
