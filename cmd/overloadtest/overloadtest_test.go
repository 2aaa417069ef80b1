package main

import (
	"testing"
	"time"

	"willowsill/standin/program"
)

// The process is stopped by a signal while it serves: it sees how long it stood, loses no query, and blames no replica.
func TestStops(t *testing.T) {
	s, err := Stops(t.Context(), program.Build(t), "strain()\n", 100, time.Second, 2*time.Second, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v %+v", s, s.Outcome)
	if s.Stood < 1.8 || s.Outcome.Failed > 0 || s.TimedOut+s.Cancelled > 5 || s.Outcome.InGoal < s.Outcome.Asked/3 {
		t.Errorf("%+v %+v", s, s.Outcome)
	}
}

// Five times what can be served: more of the revenue is kept than by the program without its strain known.
func TestBurst(t *testing.T) {
	binary := program.Build(t)
	const rate, parts = 6000, 32
	var kept [2]float64
	for i, one := range shedding("model") {
		w, end, err := lone(binary, one.script, parts, 0)
		if err == nil {
			_, err = crowd(t.Context(), w, parts, rate/12, 3*time.Second, 9)
		}
		if err == nil {
			var r *Crowd
			if r, err = crowd(t.Context(), w, parts, rate, 4*time.Second, 1); err == nil {
				kept[i] = r.Revenue()
				t.Logf("%s: revenue %.0f a second, dear %.3f, cheap %.3f, refused %.0f, unseen %.0f", one.name, r.Revenue(), r.Dear.Share(),
					r.Cheap.Share(), r.Refused, r.Unseen)
			}
		}
		end()
		if err != nil {
			t.Fatal(err)
		}
	}
	if kept[1] < 1.3*kept[0] {
		t.Errorf("%.0f a second with its strain known, %.0f without", kept[1], kept[0])
	}
}
