package emulator

import "testing"

// A crowd of ten times what an aggregator's own processor can do, whose clients insist: without its strain known the repeats keep
// it down after the crowd has gone, with it all is served again within seconds.
func TestOwnCrowd(t *testing.T) {
	t.Parallel()
	after := map[string]float64{}
	for _, strain := range []string{"none", "model"} {
		p := Plan{Policy: "module", Seed: 3, Span: 26e9, From: 1e9, Until: 25e9, Aggregators: 1, Replicas: 16, Holders: 4, Workers: 8, Work: 5e6,
			Spread: 0.4, Way: 5e5, ListDelay: 1e9, Tick: 5e6, Executions: 3, Cancels: true, ColdShare: 0.2, ColdRamp: 9e9, FallMultiple: 4,
			FallSpan: 1e9, Own: Own{Query: 300e3, Reply: 50e3, Refusal: 20e3, Strain: strain}}
		for _, l := range []Load{{Name: "cheap", Rate: 800, Revenue: 1}, {Name: "dear", Rate: 80, Revenue: 10}} {
			l.Parts, l.Goal, l.Patience, l.Floor, l.Insist, l.Retry = 4, 250e6, 1e9, 1, 0.9, 0.9
			l.Burst, l.At, l.Every, l.For = 10, 6e9, 100e9, 4e9
			p.Loads = append(p.Loads, l)
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
				t.Errorf("%s: %v and %v on other cores", strain, r, first)
			}
		}
		if first.Broken != "" {
			t.Errorf("%s: %s", strain, first.Broken)
		}
		if before := first.Lines[4]; before < 0.99 {
			t.Errorf("%s: %.3f before the crowd", strain, before)
		}
		for _, share := range first.Lines[16:24] {
			after[strain] += share / 8
		}
		t.Logf("%s: %.2f", strain, first.Lines)
	}
	if after["none"] > 0.5 || after["model"] < 0.98 {
		t.Errorf("six to fourteen seconds after the crowd: %v", after)
	}
}
