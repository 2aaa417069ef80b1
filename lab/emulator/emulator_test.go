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

// small is a plan of a small fleet in which all goes well.
func small(policy string, seed uint64) Plan {
	return Plan{Policy: policy, Seed: seed, Span: 12 * second, From: 3 * second, Until: 11 * second, Aggregators: 6, Replicas: 24,
		Holders: 4, Workers: 2, Work: 20 * ms, Spread: 0.4, Room: 40, Way: 500_000, ListDelay: second / 2, Tick: 5 * ms,
		Executions: 3, Cancels: true, ColdShare: 0.2, ColdRamp: 3 * second, FallMultiple: 4, FallSpan: second,
		Budgeted: true, Free: 5, Share: 0.2, BudgetSpan: 5 * second,
		Loads: []Load{{Name: "look", Rate: 30, Parts: 3, Goal: 200 * ms, Patience: 800 * ms, Floor: 0.5, Revenue: 1},
			{Name: "pay", Rate: 5, Parts: 2, Goal: 300 * ms, Patience: 900 * ms, Floor: 1, Revenue: 4, Effect: balance.OnceOnly}}}
}

var everything = []Fault{
	{Kind: "hang", Replicas: []int{0}, From: 2 * second, Until: 8 * second},
	{Kind: "slow", Replicas: []int{1}, From: 3 * second, Until: 9 * second, Times: 6},
	{Kind: "errors", Replicas: []int{2}, From: 3 * second, Until: 7 * second},
	{Kind: "restart", Replicas: []int{3, 9}, From: 4 * second, Until: 5 * second},
	{Kind: "pause", Replicas: []int{4}, From: 2 * second, Until: 9 * second, Every: second, For: 300 * ms},
	{Kind: "flap", Replicas: []int{5}, From: 2 * second, Until: 9 * second, Every: 2 * second, For: second},
	{Kind: "silence", Replicas: []int{6}, From: 3 * second, Until: 6 * second},
	{Kind: "drain", Replicas: []int{7}, From: 3 * second, Until: 6 * second},
}

func played(t *testing.T, p Plan, cores int) (*Result, string) {
	t.Helper()
	r, err := Run(p, cores)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := json.Marshal(r)
	return r, string(text)
}

// One seed gives one run, on any number of cores, and another seed another.
func TestSame(t *testing.T) {
	t.Parallel()
	for _, policy := range []string{"module", "shared", "sites", "two", "oracle"} {
		p := small(policy, 3)
		p.Faults = append(slices.Clone(everything), Fault{Kind: "crash", Aggregators: []int{2}, From: 5 * second, Until: 7 * second})
		if policy == "two" {
			p.Crowd, p.CrowdAt, p.StopEvery, p.StopFor, p.Expires, p.GoesOn, p.KeepsPlace = 0.2, 3, second, 100*ms, true, true, true
		}
		if policy == "shared" {
			p.Policy, p.Store, p.Loads[0].Quota = "module", "good", 150
		}
		if policy == "sites" {
			p.Policy, p.Sites, p.Route, p.Link = "module", 2, "plan", Link{Way: 20 * ms, Loss: 0.02, Stall: 200 * ms, Queries: 50, Bytes: 1e6}
			p.Faults = append(p.Faults, Fault{Kind: "cut", Sites: []int{1}, From: 7 * second, Until: 9 * second})
		}
		_, one := played(t, p, 1)
		for _, cores := range []int{3, 8} {
			if _, other := played(t, p, cores); other != one {
				t.Errorf("%s on %d cores: %s and %s", policy, cores, one, other)
			}
		}
		p.Seed = 4
		if _, other := played(t, p, 2); other == one {
			t.Errorf("%s: another seed gave the same run", policy)
		}
	}
}

// The module keeps the rules under all faults together, and serves more than a random choice.
func TestKeepsRules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		p := small("module", seed)
		p.Faults = everything
		r, _ := played(t, p, Cores())
		if r.Broken != "" {
			t.Error(r.Broken)
		}
		p.Policy = "random"
		p.Budgeted = false
		other, _ := played(t, p, Cores())
		t.Logf("seed %d: %.3f of %d, by random choice %.3f; %d events", seed, r.Share(), r.Asked, other.Share(), r.Events)
		if r.Asked < 1000 || r.Share() <= other.Share() {
			t.Errorf("%.3f of %d in goal, by random choice %.3f", r.Share(), r.Asked, other.Share())
		}
	}
}

// Danger: a checker that sees nothing would pass everything: a module that is broken on purpose is caught, by its rule.
func TestBreaks(t *testing.T) {
	t.Parallel()
	rules := map[string]int{"count not lowered on reset": 0, "drain ignored": 3, "cold guard off": 4, "budget off": 6, "second answer": 1,
		"runs before the outcome": 2, "whole from a part": 5}
	for _, how := range Breaks {
		p := small("module", 1)
		p.Faults, p.Break = everything, how
		switch how {
		case "budget off":
			p.Free, p.Share = 1, 0.01
		case "cold guard off":
			p = coldRestart(1)
			p.Break = how
		case "count not lowered on reset":
			// Much is in flight when they die, and little later: where nothing else is in flight, one that counts as busy gets nothing.
			p.Span, p.Until, p.Aggregators, p.Loads = 80*second, 79*second, 2, p.Loads[:1]
			p.Loads[0].Burst, p.Loads[0].Every, p.Loads[0].For, p.Loads[0].Rate = 12, 100*second, 6*second, 20
			p.Faults = []Fault{{Kind: "restart", Replicas: []int{3, 9}, From: 4 * second, Until: 5 * second}}
		}
		r, _ := played(t, p, Cores())
		if r.Broken == "" || r.Rule != rules[how] || !strings.Contains(r.Broken, " at ") {
			t.Errorf("%s: %q", how, r.Broken)
		}
		if p.Break = ""; how == "count not lowered on reset" {
			continue // a long one; all others show the same plan unbroken
		}
		if r, _ := played(t, p, Cores()); r.Broken != "" {
			t.Errorf("%s taken back: %q", how, r.Broken)
		}
	}
}

// An aggregator that dies loses what it held and no more; one that freezes answers late what it must, and loses nothing that it
// had time for.
func TestOwnFaults(t *testing.T) {
	t.Parallel()
	for _, kind := range OwnKinds {
		p := small("module", 5)
		p.Faults = []Fault{{Kind: kind, Aggregators: []int{0, 3}, From: 4 * second, Until: 8 * second, Every: 2 * second, For: 300 * ms}}
		r, _ := played(t, p, Cores())
		if r.Broken != "" && kind == "crash" {
			t.Error(r.Broken)
		}
		if share := r.Share(); share < 0.5 || share > 0.999 {
			t.Errorf("%s: %.3f", kind, share)
		}
	}
}

// coldRestart has three of four holders of a shard restart, and be far slower at first than what all would send them.
func coldRestart(seed uint64) Plan {
	p := small("module", seed)
	p.Loads = p.Loads[:1]
	p.Budgeted, p.FallMultiple, p.ColdShare, p.ColdRamp, p.FallSpan = false, 1.5, 0.05, 9*second, 300*ms
	p.Faults = []Fault{{Kind: "restart", Replicas: []int{0, 6, 12}, From: 4 * second, Until: 5 * second}}
	return p
}

// Cold replicas that all send to at once are pushed over, and the checker tells. The module's guard does not do it.
func TestCold(t *testing.T) {
	t.Parallel()
	p := coldRestart(2)
	if r, _ := played(t, p, Cores()); r.Broken != "" {
		t.Errorf("the module: %s", r.Broken)
	}
	p.Policy = "least"
	if r, _ := played(t, p, Cores()); r.Rule != 4 {
		t.Errorf("by least in flight: %q", r.Broken)
	}
}

// With a store that answers, aggregators find what hangs together; whatever else it does, no rule is broken.
func TestStores(t *testing.T) {
	t.Parallel()
	met := map[string]int{}
	for _, mode := range Stores {
		p := small("module", 1)
		p.Store, p.Aggregators, p.Replicas, p.Holders = mode, 40, 20, 5
		p.Span, p.From, p.Until = 14*second, 4*second, 13*second
		p.Loads = p.Loads[:1]
		p.Loads[0].Rate = 2
		p.Faults = []Fault{{Kind: "hang", Replicas: []int{0}, From: 4 * second, Until: 13 * second}}
		r, _ := played(t, p, Cores())
		if r.Broken != "" {
			t.Errorf("%s: %s", mode, r.Broken)
		}
		met[mode] = r.AtFaulty
	}
	if met["good"] > 7*met["none"]/10 {
		t.Errorf("executions at the replica that hangs: %v", met)
	}
}

// With a site dark its queries are served at the other, and no rule is broken at either; without a gateway they are not.
func TestSites(t *testing.T) {
	t.Parallel()
	shares := map[string]float64{}
	for _, route := range []string{"none", "plan", "all", "half"} {
		p := small("module", 2)
		p.Sites, p.Route, p.Link = 2, route, Link{Way: 20 * ms, Loss: 0.01, Stall: 200 * ms, Queries: 60, Bytes: 1e6}
		p.Span, p.From, p.Until = 20*second, 8*second, 19*second
		for i := range p.Loads {
			p.Loads[i].Goal, p.Loads[i].Patience = 600*ms, 2*second
		}
		p.Loads[0].Rate = 10
		var dark []int
		for r := range p.Replicas / 2 {
			dark = append(dark, r)
		}
		p.Faults = []Fault{{Kind: "hang", Replicas: dark, From: 6 * second, Until: 20 * second}}
		r, _ := played(t, p, Cores())
		if r.Broken != "" {
			t.Errorf("%s: %s", route, r.Broken)
		}
		shares[route] = r.Share()
	}
	if shares["none"] > 0.6 || shares["plan"] < 0.8 || shares["all"] < 0.8 {
		t.Errorf("with a site dark %v", shares)
	}
}

func TestCheck(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*Plan){
		"groups":  func(p *Plan) { p.Replicas = 23 },
		"parts":   func(p *Plan) { p.Loads[0].Parts = 7 },
		"nobody":  func(p *Plan) { p.Loads = nil },
		"stretch": func(p *Plan) { p.Until = p.Span + 1 },
		"replica": func(p *Plan) { p.Faults = []Fault{{Kind: "hang", Replicas: []int{24}}} },
		"way":     func(p *Plan) { p.Way = 0 },
	} {
		p := small("module", 1)
		change(&p)
		if _, err := Run(p, 1); err == nil {
			t.Errorf("%s: nothing was said", name)
		}
	}
}

func BenchmarkRun(b *testing.B) {
	for _, size := range []struct{ aggregators, replicas int }{{10, 100}, {100, 1000}} {
		b.Run(fmt.Sprint(size.aggregators, "x", size.replicas), func(b *testing.B) {
			p := small("module", 1)
			p.Aggregators, p.Replicas, p.Holders = size.aggregators, size.replicas, 5
			p.Span, p.From, p.Until = 6*second, second, 5*second
			p.Loads = p.Loads[:1]
			p.Loads[0].Rate = 100
			events := int64(0)
			for b.Loop() {
				r, err := Run(p, Cores())
				if err != nil || r.Broken != "" {
					b.Fatal(err, r)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// Replicas that stand still now and then, that lose speed under many parts, that drop what nobody waits for, and that work on what
// was given up: each of these moves what is served, the way it should.
func TestLaws(t *testing.T) {
	t.Parallel()
	play := func(change func(*Plan)) *Result {
		p := small("random", 5)
		p.Budgeted, p.Loads = false, p.Loads[:1]
		change(&p)
		r, _ := played(t, p, Cores())
		t.Logf("%.3f in goal, p50 %.1f ms, p99 %.1f ms", r.Share(), float64(r.P50)/1e6, float64(r.P99)/1e6)
		return r
	}
	stops := func(p *Plan) { p.StopEvery, p.StopFor = 2*second, 150*ms }
	plain, stopped := play(func(*Plan) {}), play(stops)
	if stopped.P99 < plain.P99+75*ms || stopped.P50 > plain.P50+20*ms {
		t.Errorf("with pauses of 150 ms the slowest take %d ns, without %d", stopped.P99, plain.P99)
	}
	crowd := func(p *Plan) { p.Loads[0].Rate, p.Crowd, p.CrowdAt = 80, 0.1, 2 }
	busy, crowded := play(func(p *Plan) { p.Loads[0].Rate = 80 }), play(crowd)
	if crowded.Share() > busy.Share()-0.02 {
		t.Errorf("%.3f served by replicas that slow down under many parts, %.3f else", crowded.Share(), busy.Share())
	}
	keeps := play(func(p *Plan) {
		crowd(p)
		p.GoesOn, p.KeepsPlace = true, true
	})
	drops := play(func(p *Plan) {
		crowd(p)
		p.GoesOn, p.KeepsPlace, p.Expires = true, true, true
	})
	if keeps.Share() > crowded.Share()-0.1 || drops.Share() <= keeps.Share() {
		t.Errorf("%.3f served where what is given up is worked on, %.3f where it is not, %.3f where what waits too long is dropped",
			keeps.Share(), crowded.Share(), drops.Share())
	}
}
