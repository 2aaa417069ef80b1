// Package deployment reads and checks the configuration with which an aggregator starts, and fills in defaults.
// Its errors name the key or the environment variable at fault.
package deployment

import (
	"fmt"

	"willowsill/balance"
	"willowsill/deployment/fields"
)

// Deployment describes the whole service. It is the same for all aggregators except for Index and Seed.
type Deployment struct {
	balance.Deployment
	WorkloadRow map[string]int // row of each workload in Workloads, by name
}

// minValue replaces a stated value of 0 for a workload, as 0 in balance.Workload means that no value was stated.
const minValue = 1e-9

// Read reads the deployment's description from its JSON object.
func Read(boot *fields.Object) (d Deployment, err error) {
	caps, domain, rules := boot.Object("caps"), boot.Object("domain"), boot.Object("guarantees")
	d.WorkloadRow = map[string]int{}
	d.Deployment = balance.Deployment{
		Index: boot.Int("index"), Aggregators: boot.Int("balancers"), Tick: boot.Duration("tick"),
		Shards: domain.Int("slices"), Cells: domain.Int("cells"), CellsPerShard: domain.Int("in_a_row"),
		PartsPerCall:  domain.Int("parts_a_call"),
		MaxExecutions: caps.Int("max_attempts"),
		CanCancel:     caps.Bool("cancel"),
		MaxRetryAfter: caps.OptionalDuration("max_retry_after"),
		ColdCapacity:  rules.Float("cold_from"),
		WarmUpTime:    rules.Duration("ramp_time"), OverloadFactor: rules.Float("fall_multiple"),
		OverloadSpan: rules.Duration("fall"),
		AsksForList:  boot.String("membership_mode") == "ask", AskWithin: rules.OptionalDuration("must_ask_in"),
		Budgeted: rules.Has("ratio_span"), RetryWindow: rules.OptionalDuration("ratio_span"),
	}
	if !caps.Bool("retry_after") {
		d.MaxRetryAfter = 0
	}
	rules.DecodeOptional("budget_free", &d.RetrySlack)
	rules.DecodeOptional("extra_per_request", &d.RetryRatio)

	var need, floor, partial []float64
	var followUp []int
	domain.Decode("class_need", &need)
	domain.Decode("class_floor", &floor)
	domain.Decode("incomplete_worth", &partial)
	domain.Decode("follow_up", &followUp)
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
			LatencyGoal: c.Duration("slo"),
			LateShare:   c.Float("late_worth"), DedupWindow: c.OptionalDuration("window"),
			MinCoverage: floor[i], FullCoverage: need[i], PartialShare: partial[i], FollowUpParts: followUp[i],
		}
		c.DecodeOptional("worth", &w.Value)
		if w.Value < 0 {
			c.Fail("worth", "is below 0")
		}
		if c.Has("worth") {
			w.Value = max(w.Value, minValue)
		}
		switch repeat := c.String("repeat"); repeat {
		case "free":
			w.RetrySafety = balance.Repeatable
		case "guarded":
			w.RetrySafety = balance.Deduplicated
		case "single_shot":
			w.RetrySafety = balance.OnceOnly
		default:
			c.Fail("repeat", "is unknown")
		}
		d.WorkloadRow[c.String("name")] = i
		if c.Err != nil {
			return d, c.Err
		}
		d.Workloads = append(d.Workloads, w)
	}
	return d, boot.Err
}
