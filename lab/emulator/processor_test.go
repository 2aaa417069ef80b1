package emulator

import "testing"

// A burst of ten times the normal rate overloads an aggregator's own processor, and its clients retry. Without overload detection the
// retries keep it overloaded after the burst. With detection all queries are served again within seconds.
func TestOwnCrowd(t *testing.T) {
	t.Parallel()
	sharesAfter := map[string]float64{}
	for _, limitKind := range []string{"none", "model"} {
		p := Plan{Policy: "module", Seed: 3, Duration: 26e9, MeasureFrom: 1e9, MeasureUntil: 25e9, Aggregators: 1, Replicas: 16, ReplicasPerShard: 4, Workers: 8, ServiceTime: 5e6,
			ServiceTimeSigma: 0.4, NetworkDelay: 5e5, ListDelay: 1e9, Tick: 5e6, MaxExecutions: 3, CanCancel: true, ColdCapacity: 0.2, WarmUpTime: 9e9, OverloadFactor: 4,
			OverloadSpan: 1e9, CPU: CPUModel{QueryCost: 300e3, ReplyCost: 50e3, RejectCost: 20e3, OverloadLimit: limitKind}}
		for _, l := range []Workload{{Name: "cheap", Rate: 800, Revenue: 1}, {Name: "dear", Rate: 80, Revenue: 10}} {
			l.Parts, l.LatencyGoal, l.Timeout, l.MinCoverage, l.ImmediateRetryShare, l.AdvisedRetryShare = 4, 250e6, 1e9, 1, 0.9, 0.9
			l.BurstFactor, l.BurstStart, l.BurstInterval, l.BurstTime = 10, 6e9, 100e9, 4e9
			p.Workloads = append(p.Workloads, l)
		}
		var first *Result
		for _, cores := range []int{1, 4} {
			r, err := Run(p, cores)
			if err != nil {
				t.Fatal(err)
			}
			if first == nil {
				first = r
			}
			if r.Revenue != first.Revenue || r.Events != first.Events {
				t.Errorf("%s: %v, but %v on one core", limitKind, r, first)
			}
		}
		if first.Violation != "" {
			t.Errorf("%s: %s", limitKind, first.Violation)
		}
		if shareBefore := first.ShareBySecond[4]; shareBefore < 0.99 {
			t.Errorf("%s: revenue share %.3f before the burst", limitKind, shareBefore)
		}
		for _, share := range first.ShareBySecond[16:24] {
			sharesAfter[limitKind] += share / 8
		}
		t.Logf("%s: %.2f", limitKind, first.ShareBySecond)
	}
	if sharesAfter["none"] > 0.5 || sharesAfter["model"] < 0.98 {
		t.Errorf("revenue shares six to fourteen seconds after the burst: %v", sharesAfter)
	}
}
