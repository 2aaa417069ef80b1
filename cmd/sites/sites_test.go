package main

import (
	"testing"
	"time"

	"willowsill/standin/program"
	"willowsill/standin/sites"
)

// Processes of a site are restarted under load, gracefully or by killing them. No query may be lost or get a wrong answer and no
// once-only part may run twice; a graceful restart may only decline queries, never fail them. The subtest dark makes all replicas
// of a site fail and compares the revenue with the gateway to that without one.
func TestRestarts(t *testing.T) {
	binary := program.Build(t)
	for name, killed := range map[string]bool{"planned": false, "killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			timeline, err := RunRestarts(binary, 16*time.Second, killed)
			if err != nil {
				t.Fatal(err)
			}
			var sum sites.Tally
			for i := range timeline.Rows {
				sum.Add(&timeline.Rows[i])
			}
			t.Logf("%v of %d: %v", sites.OutcomeNames, sum.Asked, sum.Outcomes)
			if sum.Outcomes[sites.Lost]+sum.Outcomes[sites.Wrong]+timeline.DuplicateExecutions > 0 || sum.Outcomes[sites.InGoal] < sum.Asked/2 {
				t.Errorf("%v of %d: %v, %d once-only parts ran twice", sites.OutcomeNames, sum.Asked, sum.Outcomes, timeline.DuplicateExecutions)
			}
			if !killed && sum.Outcomes[sites.Failed] > 0 {
				t.Errorf("%d queries failed during graceful restarts", sum.Outcomes[sites.Failed])
			}
		})
	}
	t.Run("dark", func(t *testing.T) {
		t.Parallel()
		with := &variant{policy: "plan", workers: 2, partDuration: 50 * time.Millisecond}
		without := &variant{policy: "none", isolated: true, workers: 2, partDuration: 50 * time.Millisecond}
		load := sites.Load{Rate: 15, Seed: 3, Duration: 20 * time.Second, RowDuration: time.Second}
		errs := make(chan error, 2)
		for _, v := range []*variant{with, without} {
			go func() { errs <- v.run(binary, load) }()
		}
		for range 2 {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
		a, b := with.phaseTallies()[1], without.phaseTallies()[1]
		t.Logf("revenue share during the outage: %.3f with the gateway, %.3f without", a.RevenueShare(), b.RevenueShare())
		if a.RevenueShare() < b.RevenueShare()+0.15 || with.timeline.DuplicateExecutions > 0 || with.peaks.overLimit > 0 {
			t.Errorf("revenue share during the outage: %.3f with the gateway, %.3f without; %d duplicate executions, %d samples over the limit in flight", a.RevenueShare(), b.RevenueShare(),
				with.timeline.DuplicateExecutions, with.peaks.overLimit)
		}
		for _, p := range with.phaseTallies() {
			if p.Outcomes[sites.Lost]+p.Outcomes[sites.Wrong] > 0 {
				t.Errorf("%v: %v", sites.OutcomeNames, p.Outcomes)
			}
		}
	})
}
