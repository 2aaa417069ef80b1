package main

import (
	"testing"
	"time"

	"willowsill/standin/program"
	"willowsill/standin/sites"
)

// Processes of a site are restarted under load, as planned or killed. Whatever happens to them, each query has one right answer
// in its time and no once-only part runs twice; of planned restarts no client hears but by a decline.
func TestRestarts(t *testing.T) {
	binary := program.Build(t)
	for name, killed := range map[string]bool{"planned": false, "killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			line, err := Restart(binary, 16*time.Second, killed)
			if err != nil {
				t.Fatal(err)
			}
			var sum sites.Tally
			for i := range line.Rows {
				sum.Add(&line.Rows[i])
			}
			t.Logf("%v of %d: %v", sites.Ends, sum.Asked, sum.Ends)
			if sum.Ends[sites.Lost]+sum.Ends[sites.Wrong]+line.Doubled > 0 || sum.Ends[sites.In] < sum.Asked/2 {
				t.Errorf("%v of %d: %v, %d once-only parts ran twice", sites.Ends, sum.Asked, sum.Ends, line.Doubled)
			}
			if !killed && sum.Ends[sites.Failed] > 0 {
				t.Errorf("%d queries failed by planned restarts", sum.Ends[sites.Failed])
			}
		})
	}
	t.Run("dark", func(t *testing.T) {
		t.Parallel()
		with := &variant{policy: "plan", workers: 2, work: 50 * time.Millisecond}
		without := &variant{policy: "none", alone: true, workers: 2, work: 50 * time.Millisecond}
		load := sites.Load{Rate: 15, Seed: 3, For: 20 * time.Second, Each: time.Second}
		errs := make(chan error, 2)
		for _, v := range []*variant{with, without} {
			go func() { errs <- v.play(binary, load) }()
		}
		for range 2 {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
		a, b := with.phases()[1], without.phases()[1]
		t.Logf("in the dark %.3f with the gateway, %.3f without", a.Share(), b.Share())
		if a.Share() < b.Share()+0.15 || with.line.Doubled > 0 || with.peaks.over > 0 {
			t.Errorf("in the dark %.3f with the gateway, %.3f without; %d doubled, %d times over the limit in flight", a.Share(), b.Share(),
				with.line.Doubled, with.peaks.over)
		}
		for _, p := range with.phases() {
			if p.Ends[sites.Lost]+p.Ends[sites.Wrong] > 0 {
				t.Errorf("%v: %v", sites.Ends, p.Ends)
			}
		}
	})
}
