package emulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"willowsill/balance"
)

const (
	ms     = int64(1e6)
	second = int64(1e9)
)

// smallPlan returns a plan of a small fleet without faults.
func smallPlan(policy string, seed uint64) Plan {
	return Plan{Policy: policy, Seed: seed, Duration: 12 * second, MeasureFrom: 3 * second, MeasureUntil: 11 * second, Aggregators: 6, Replicas: 24,
		ReplicasPerShard: 4, Workers: 2, ServiceTime: 20 * ms, ServiceTimeSigma: 0.4, QueueLimit: 40, NetworkDelay: 500_000, ListDelay: second / 2, Tick: 5 * ms,
		MaxExecutions: 3, CanCancel: true, ColdCapacity: 0.2, WarmUpTime: 3 * second, OverloadFactor: 4, OverloadSpan: second,
		Budgeted: true, RetrySlack: 5, RetryRatio: 0.2, RetryWindow: 5 * second,
		Workloads: []Workload{{Name: "look", Rate: 30, Parts: 3, LatencyGoal: 200 * ms, Timeout: 800 * ms, MinCoverage: 0.5, Revenue: 1},
			{Name: "pay", Rate: 5, Parts: 2, LatencyGoal: 300 * ms, Timeout: 900 * ms, MinCoverage: 1, Revenue: 4, RetrySafety: balance.OnceOnly}}}
}

// allFaults has one fault of each kind that affects replicas, at overlapping times.
var allFaults = []Fault{
	{Kind: "hang", Replicas: []int{0}, From: 2 * second, Until: 8 * second},
	{Kind: "slow", Replicas: []int{1}, From: 3 * second, Until: 9 * second, Slowdown: 6},
	{Kind: "errors", Replicas: []int{2}, From: 3 * second, Until: 7 * second},
	{Kind: "restart", Replicas: []int{3, 9}, From: 4 * second, Until: 5 * second},
	{Kind: "pause", Replicas: []int{4}, From: 2 * second, Until: 9 * second, Period: second, ActiveTime: 300 * ms},
	{Kind: "flap", Replicas: []int{5}, From: 2 * second, Until: 9 * second, Period: 2 * second, ActiveTime: second},
	{Kind: "silence", Replicas: []int{6}, From: 3 * second, Until: 6 * second},
	{Kind: "drain", Replicas: []int{7}, From: 3 * second, Until: 6 * second},
}

// mustRun runs a plan and returns the result, also as JSON for comparison.
func mustRun(t *testing.T, p Plan, cores int) (*Result, string) {
	t.Helper()
	r, err := Run(p, cores)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := json.Marshal(r)
	return r, string(text)
}

// The same seed gives the same result on any number of cores, and another seed gives another result.
func TestSame(t *testing.T) {
	t.Parallel()
	for _, policy := range []string{"module", "shared", "sites", "two", "oracle"} {
		p := smallPlan(policy, 3)
		p.Faults = append(slices.Clone(allFaults), Fault{Kind: "crash", Aggregators: []int{2}, From: 5 * second, Until: 7 * second})
		if policy == "two" {
			p.CrowdingSlowdown, p.CrowdingThreshold, p.PauseInterval, p.PauseTime, p.DropExpired, p.FinishCancelled, p.KeepCancelledQueued = 0.2, 3, second, 100*ms, true, true, true
		}
		if policy == "shared" {
			p.Policy, p.StoreMode, p.Workloads[0].Quota = "module", "good", 150
		}
		if policy == "sites" {
			p.Policy, p.Sites, p.RoutingPolicy, p.Link = "module", 2, "plan", Link{Delay: 20 * ms, Loss: 0.02, ResendDelay: 200 * ms, QueryRate: 50, ByteRate: 1e6}
			p.Faults = append(p.Faults, Fault{Kind: "cut", Sites: []int{1}, From: 7 * second, Until: 9 * second})
		}
		_, onOneCore := mustRun(t, p, 1)
		for _, cores := range []int{3, 8} {
			if _, other := mustRun(t, p, cores); other != onOneCore {
				t.Errorf("%s: on %d cores the result is %s, on one core %s", policy, cores, other, onOneCore)
			}
		}
		p.Seed = 4
		if _, other := mustRun(t, p, 2); other == onOneCore {
			t.Errorf("%s: another seed gave the same result", policy)
		}
	}
}

// The decision module violates no rule under many simultaneous faults, and earns more than random choice.
func TestKeepsRules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		p := smallPlan("module", seed)
		p.Faults = allFaults
		r, _ := mustRun(t, p, MaxCores())
		if r.Violation != "" {
			t.Error(r.Violation)
		}
		p.Policy = "random"
		p.Budgeted = false
		other, _ := mustRun(t, p, MaxCores())
		t.Logf("seed %d: revenue share %.3f of %d queries, by random choice %.3f; %d events", seed, r.RevenueShare(), r.Asked, other.RevenueShare(), r.Events)
		if r.Asked < 1000 || r.RevenueShare() <= other.RevenueShare() {
			t.Errorf("revenue share %.3f of %d queries, by random choice %.3f", r.RevenueShare(), r.Asked, other.RevenueShare())
		}
	}
}

// Danger: a checker that detects nothing would let every run pass. So each deliberate defect of the module must be reported as a violation
// of the rule that it breaks.
func TestBreaks(t *testing.T) {
	t.Parallel()
	rules := map[string]int{"count not lowered on reset": 0, "drain ignored": 3, "cold guard off": 4, "budget off": 6, "second answer": 1,
		"runs before the outcome": 2, "whole from a part": 5}
	for _, defect := range Defects {
		p := smallPlan("module", 1)
		p.Faults, p.Defect = allFaults, defect
		switch defect {
		case "budget off":
			p.RetrySlack, p.RetryRatio = 1, 0.01
		case "cold guard off":
			p = coldRestartPlan(1)
			p.Defect = defect
		case "count not lowered on reset":
			// Many parts are in flight at the crash and few later. Only then does a replica whose count of parts in flight stays too high
			// get no parts at all.
			p.Duration, p.MeasureUntil, p.Aggregators, p.Workloads = 80*second, 79*second, 2, p.Workloads[:1]
			p.Workloads[0].BurstFactor, p.Workloads[0].BurstInterval, p.Workloads[0].BurstTime, p.Workloads[0].Rate = 12, 100*second, 6*second, 20
			p.Faults = []Fault{{Kind: "restart", Replicas: []int{3, 9}, From: 4 * second, Until: 5 * second}}
		}
		r, _ := mustRun(t, p, MaxCores())
		if r.Violation == "" || r.Rule != rules[defect] || !strings.Contains(r.Violation, " at ") {
			t.Errorf("defect %q: got violation %q of rule %d, want rule %d", defect, r.Violation, r.Rule, rules[defect])
		}
		if p.Defect = ""; defect == "count not lowered on reset" {
			continue // a long run; the other plans without a defect show the same
		}
		if r, _ := mustRun(t, p, MaxCores()); r.Violation != "" {
			t.Errorf("without the defect %q: %q", defect, r.Violation)
		}
	}
}

// An aggregator that crashes loses only the queries that it had, and one that freezes answers late, so both earn part of the revenue. A
// crash violates no rule.
func TestOwnFaults(t *testing.T) {
	t.Parallel()
	for _, kind := range AggregatorFaultKinds {
		p := smallPlan("module", 5)
		p.Faults = []Fault{{Kind: kind, Aggregators: []int{0, 3}, From: 4 * second, Until: 8 * second, Period: 2 * second, ActiveTime: 300 * ms}}
		r, _ := mustRun(t, p, MaxCores())
		if r.Violation != "" && kind == "crash" {
			t.Error(r.Violation)
		}
		if share := r.RevenueShare(); share < 0.5 || share > 0.999 {
			t.Errorf("%s: revenue share %.3f", kind, share)
		}
	}
}

// coldRestartPlan returns a plan in which three of the four replicas of a shard restart, with a cold capacity far below the load that
// all aggregators together would send them.
func coldRestartPlan(seed uint64) Plan {
	p := smallPlan("module", seed)
	p.Workloads = p.Workloads[:1]
	p.Budgeted, p.OverloadFactor, p.ColdCapacity, p.WarmUpTime, p.OverloadSpan = false, 1.5, 0.05, 9*second, 300*ms
	p.Faults = []Fault{{Kind: "restart", Replicas: []int{0, 6, 12}, From: 4 * second, Until: 5 * second}}
	return p
}

// Cold replicas that all aggregators send to at once crash, and the checker reports it (rule 4). The decision module limits the load on
// cold replicas, so they don't crash.
func TestCold(t *testing.T) {
	t.Parallel()
	p := coldRestartPlan(2)
	if r, _ := mustRun(t, p, MaxCores()); r.Violation != "" {
		t.Errorf("decision module: %s", r.Violation)
	}
	p.Policy = "least"
	if r, _ := mustRun(t, p, MaxCores()); r.Rule != 4 {
		t.Errorf("least in flight: got %q, want a violation of rule 4", r.Violation)
	}
}

// With a shared store that works, aggregators detect a hung replica together, so fewer executions reach it. However the store fails, no
// rule is violated.
func TestStores(t *testing.T) {
	t.Parallel()
	executions := map[string]int{}
	for _, mode := range StoreModes {
		p := smallPlan("module", 1)
		p.StoreMode, p.Aggregators, p.Replicas, p.ReplicasPerShard = mode, 40, 20, 5
		p.Duration, p.MeasureFrom, p.MeasureUntil = 14*second, 4*second, 13*second
		p.Workloads = p.Workloads[:1]
		p.Workloads[0].Rate = 2
		p.Faults = []Fault{{Kind: "hang", Replicas: []int{0}, From: 4 * second, Until: 13 * second}}
		r, _ := mustRun(t, p, MaxCores())
		if r.Violation != "" {
			t.Errorf("%s: %s", mode, r.Violation)
		}
		executions[mode] = r.FaultyExecutions
	}
	if executions["good"] > 7*executions["none"]/10 {
		t.Errorf("executions at the hung replica, by store mode: %v", executions)
	}
}

// When all replicas of a site hang, its queries are served by the other site if they can be forwarded, and no rule is violated.
func TestSites(t *testing.T) {
	t.Parallel()
	shares := map[string]float64{}
	for _, route := range []string{"none", "plan", "all", "half"} {
		p := smallPlan("module", 2)
		p.Sites, p.RoutingPolicy, p.Link = 2, route, Link{Delay: 20 * ms, Loss: 0.01, ResendDelay: 200 * ms, QueryRate: 60, ByteRate: 1e6}
		p.Duration, p.MeasureFrom, p.MeasureUntil = 20*second, 8*second, 19*second
		for i := range p.Workloads {
			p.Workloads[i].LatencyGoal, p.Workloads[i].Timeout = 600*ms, 2*second
		}
		p.Workloads[0].Rate = 10
		var hungReplicas []int
		for r := range p.Replicas / 2 {
			hungReplicas = append(hungReplicas, r)
		}
		p.Faults = []Fault{{Kind: "hang", Replicas: hungReplicas, From: 6 * second, Until: 20 * second}}
		r, _ := mustRun(t, p, MaxCores())
		if r.Violation != "" {
			t.Errorf("%s: %s", route, r.Violation)
		}
		shares[route] = r.RevenueShare()
	}
	if shares["none"] > 0.6 || shares["plan"] < 0.8 || shares["all"] < 0.8 {
		t.Errorf("revenue shares with one site down, by routing policy: %v", shares)
	}
}

// Invalid plans are rejected.
func TestCheck(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*Plan){
		"groups":  func(p *Plan) { p.Replicas = 23 },
		"parts":   func(p *Plan) { p.Workloads[0].Parts = 7 },
		"nobody":  func(p *Plan) { p.Workloads = nil },
		"stretch": func(p *Plan) { p.MeasureUntil = p.Duration + 1 },
		"replica": func(p *Plan) { p.Faults = []Fault{{Kind: "hang", Replicas: []int{24}}} },
		"way":     func(p *Plan) { p.NetworkDelay = 0 },
	} {
		p := smallPlan("module", 1)
		change(&p)
		if _, err := Run(p, 1); err == nil {
			t.Errorf("%s: the invalid plan was accepted", name)
		}
	}
}

// BenchmarkRun measures the speed of simulations of a small and a large fleet, in events per second.
func BenchmarkRun(b *testing.B) {
	for _, size := range []struct{ aggregators, replicas int }{{10, 100}, {100, 1000}} {
		b.Run(fmt.Sprint(size.aggregators, "x", size.replicas), func(b *testing.B) {
			p := smallPlan("module", 1)
			p.Aggregators, p.Replicas, p.ReplicasPerShard = size.aggregators, size.replicas, 5
			p.Duration, p.MeasureFrom, p.MeasureUntil = 6*second, second, 5*second
			p.Workloads = p.Workloads[:1]
			p.Workloads[0].Rate = 100
			events := int64(0)
			for b.Loop() {
				r, err := Run(p, MaxCores())
				if err != nil || r.Violation != "" {
					b.Fatal(err, r)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// Spontaneous pauses, slowdown by crowding, dropping of expired parts and finishing of cancelled parts each change the revenue or the
// latency in the expected direction.
func TestLaws(t *testing.T) {
	t.Parallel()
	run := func(change func(*Plan)) *Result {
		p := smallPlan("random", 5)
		p.Budgeted, p.Workloads = false, p.Workloads[:1]
		change(&p)
		r, _ := mustRun(t, p, MaxCores())
		t.Logf("revenue share %.3f, p50 %.1f ms, p99 %.1f ms", r.RevenueShare(), float64(r.P50)/1e6, float64(r.P99)/1e6)
		return r
	}
	withPauses := func(p *Plan) { p.PauseInterval, p.PauseTime = 2*second, 150*ms }
	plain, paused := run(func(*Plan) {}), run(withPauses)
	if paused.P99 < plain.P99+75*ms || paused.P50 > plain.P50+20*ms {
		t.Errorf("with pauses of 150 ms the p99 is %d ns, without pauses %d ns", paused.P99, plain.P99)
	}
	withCrowding := func(p *Plan) { p.Workloads[0].Rate, p.CrowdingSlowdown, p.CrowdingThreshold = 80, 0.1, 2 }
	busy, crowded := run(func(p *Plan) { p.Workloads[0].Rate = 80 }), run(withCrowding)
	if crowded.RevenueShare() > busy.RevenueShare()-0.02 {
		t.Errorf("revenue share %.3f with crowding, %.3f without", crowded.RevenueShare(), busy.RevenueShare())
	}
	finishing := run(func(p *Plan) {
		withCrowding(p)
		p.FinishCancelled, p.KeepCancelledQueued = true, true
	})
	dropping := run(func(p *Plan) {
		withCrowding(p)
		p.FinishCancelled, p.KeepCancelledQueued, p.DropExpired = true, true, true
	})
	if finishing.RevenueShare() > crowded.RevenueShare()-0.1 || dropping.RevenueShare() <= finishing.RevenueShare() {
		t.Errorf("revenue share %.3f if cancelled parts are finished, %.3f if they are not, %.3f if expired parts are dropped as well",
			finishing.RevenueShare(), crowded.RevenueShare(), dropping.RevenueShare())
	}
}
