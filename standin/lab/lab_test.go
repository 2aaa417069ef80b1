package lab

import (
	"testing"

	"willowsill/lab/emulator"
	"willowsill/standin/program"
)

// A short run on sockets, with several kinds of faults, must send as many queries as the emulator and keep a revenue share
// that is at most 0.15 lower.
func TestNear(t *testing.T) {
	binary := program.Build(t)
	const second = int64(1e9)
	p := emulator.Plan{Policy: "module", Seed: 3, Duration: 7 * second, MeasureFrom: 2 * second, MeasureUntil: 6 * second, Aggregators: 3, Replicas: 12,
		ReplicasPerShard: 4, Workers: 2, ServiceTime: 20e6, ServiceTimeSigma: 0.4, NetworkDelay: 500e3, ListDelay: second / 4, Tick: 5e6, MaxExecutions: 3, CanCancel: true,
		ColdCapacity: 0.2, WarmUpTime: 3 * second, OverloadFactor: 4, OverloadSpan: second,
		Workloads: []emulator.Workload{{Name: "look", Rate: 20, Parts: 2, LatencyGoal: 300e6, Timeout: second, MinCoverage: 1, Revenue: 1}},
		Faults: []emulator.Fault{{Kind: "errors", Replicas: []int{0}, From: 3 * second, Until: 5 * second},
			{Kind: "restart", Replicas: []int{1}, From: 2 * second, Until: 3 * second},
			{Kind: "drain", Replicas: []int{2}, From: 2 * second, Until: 4 * second},
			{Kind: "pause", Replicas: []int{4}, From: 2 * second, Until: 5 * second, Period: second, ActiveTime: second / 5},
			{Kind: "slow", Replicas: []int{5}, From: 2 * second, Until: 5 * second, Slowdown: 3}}}
	model, err := emulator.Run(p, emulator.MaxCores())
	if err != nil {
		t.Fatal(err)
	}
	real, err := Run(binary, p)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("emulator: revenue share %.3f of %d queries, %.2f executions per query; sockets: %.3f of %d, %.2f", model.RevenueShare(), model.Asked,
		float64(model.Executions)/float64(model.Asked), real.RevenueShare(), real.Asked, float64(real.Executions)/float64(real.Asked))
	if real.Asked != model.Asked || real.RevenueShare() < model.RevenueShare()-0.15 {
		t.Errorf("revenue share: emulator %.3f of %d queries, sockets %.3f of %d", model.RevenueShare(), model.Asked, real.RevenueShare(), real.Asked)
	}
}
