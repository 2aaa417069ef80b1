// Package deployment reads what an aggregator is told at its start, checks it and gives defaults. Its errors
// name the key or the variable at fault.
package deployment

import (
	"fmt"

	"willowsill/balance"
	"willowsill/deployment/fields"
)

// Deployment is what the operators state of the whole service.
type Deployment struct {
	balance.Deployment
	Workload map[string]int // row of each workload, by name
}

// leastWorth is what a workload that is stated to be worth nothing counts for: 0 would say that nothing is stated.
const leastWorth = 1e-9

// Read reads the operators' statement.
func Read(boot *fields.Object) (d Deployment, err error) {
	caps, domain, rules := boot.Object("caps"), boot.Object("domain"), boot.Object("guarantees")
	d.Workload = map[string]int{}
	d.Deployment = balance.Deployment{
		Number: boot.Int("index"), Aggregators: boot.Int("balancers"), Tick: boot.Time("tick"),
		Shards: domain.Int("slices"), Cells: domain.Int("cells"), Reach: domain.Int("in_a_row"),
		PartsPerCall:  domain.Int("parts_a_call"),
		MaxExecutions: caps.Int("max_attempts"),
		Cancels:       caps.Bool("cancel"),
		MaxComeBack:   caps.MayTime("max_retry_after"),
		ColdShare:     rules.Number("cold_from"),
		ColdRamp:      rules.Time("ramp_time"), FallMultiple: rules.Number("fall_multiple"),
		FallSpan:    rules.Time("fall"),
		AsksForList: boot.String("membership_mode") == "ask", AskWithin: rules.MayTime("must_ask_in"),
		Budgeted: rules.Has("ratio_span"), FurtherSpan: rules.MayTime("ratio_span"),
	}
	if !caps.Bool("retry_after") {
		d.MaxComeBack = 0
	}
	rules.May("budget_free", &d.FurtherFree)
	rules.May("extra_per_request", &d.FurtherShare)

	var need, floor, partial []float64
	var followUp []int
	domain.Into("class_need", &need)
	domain.Into("class_floor", &floor)
	domain.Into("incomplete_worth", &partial)
	domain.Into("follow_up", &followUp)
	for _, f := range []*fields.Object{boot, caps, domain, rules} {
		if f.Err != nil {
			return d, f.Err
		}
	}
	for i, raw := range boot.List("classes") {
		for key, n := range map[string]int{"class_need": len(need), "class_floor": len(floor),
			"incomplete_worth": len(partial), "follow_up": len(followUp)} {
			if i >= n {
				return d, fmt.Errorf("field %q is shorter than the list of classes", key)
			}
		}
		c := &fields.Object{Raw: raw}
		w := balance.Workload{
			LatencyGoal: c.Time("slo"),
			LateShare:   c.Number("late_worth"), RepeatWindow: c.MayTime("window"),
			Floor: floor[i], Need: need[i], PartialShare: partial[i], FollowUp: followUp[i],
		}
		c.May("worth", &w.Worth)
		if w.Worth < 0 {
			c.Fail("worth", "is below 0")
		}
		if c.Has("worth") {
			w.Worth = max(w.Worth, leastWorth)
		}
		switch repeat := c.String("repeat"); repeat {
		case "free":
			w.Effect = balance.Repeatable
		case "guarded":
			w.Effect = balance.Tagged
		case "single_shot":
			w.Effect = balance.OnceOnly
		default:
			c.Fail("repeat", "is unknown")
		}
		d.Workload[c.String("name")] = i
		if c.Err != nil {
			return d, c.Err
		}
		d.Workloads = append(d.Workloads, w)
	}
	return d, boot.Err
}
