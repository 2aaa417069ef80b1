package wire

import (
	"fmt"

	"willowsill/balance"
)

// deployment decodes what an instance is told at its start, and the names that later events use.
func (in *instance) deployment(boot *fields) (balance.Deployment, error) {
	caps, domain, rules := boot.object("caps"), boot.object("domain"), boot.object("guarantees")
	d := balance.Deployment{
		Number: boot.int("index"), Aggregators: boot.int("balancers"), Tick: boot.time("tick"),
		Shards: domain.int("slices"), Cells: domain.int("cells"), Reach: domain.int("in_a_row"),
		PartsPerCall:  domain.int("parts_a_call"),
		MaxExecutions: caps.int("max_attempts"),
		Cancels:       caps.bool("cancel"),
		ComeBack:      caps.bool("retry_after"), MaxComeBack: caps.mayTime("max_retry_after"),
		ColdShare: rules.number("cold_from"),
		ColdRamp:  rules.time("ramp_time"), FallMultiple: rules.number("fall_multiple"),
		FallSpan:    rules.time("fall"),
		AsksForList: boot.string("membership_mode") == "ask", AskWithin: rules.mayTime("must_ask_in"),
		Budgeted: rules.has("ratio_span"), FurtherSpan: rules.mayTime("ratio_span"),
	}
	rules.may("budget_free", &d.FurtherFree)
	rules.may("extra_per_request", &d.FurtherShare)

	var need, floor, partial []float64
	var followUp []int
	domain.into("class_need", &need)
	domain.into("class_floor", &floor)
	domain.into("incomplete_worth", &partial)
	domain.into("follow_up", &followUp)
	for _, f := range []*fields{boot, caps, domain, rules} {
		if f.err != nil {
			return d, f.err
		}
	}
	for i, raw := range boot.list("classes") {
		if i >= len(need) || i >= len(floor) || i >= len(partial) || i >= len(followUp) {
			return d, fmt.Errorf("field %q is shorter than the list of classes", "domain")
		}
		c := &fields{raw: raw}
		w := balance.Workload{
			LatencyGoal: c.time("slo"),
			LateShare:   c.number("late_worth"), RepeatWindow: c.mayTime("window"),
			Floor: floor[i], Need: need[i], PartialShare: partial[i], FollowUp: followUp[i],
		}
		switch repeat := c.string("repeat"); repeat {
		case "free":
			w.Effect = balance.Repeatable
		case "guarded":
			w.Effect = balance.Tagged
		case "single_shot":
			w.Effect = balance.OnceOnly
		default:
			c.fail("repeat", "is unknown")
		}
		in.workloads[c.string("name")] = i
		if c.err != nil {
			return d, c.err
		}
		d.Workloads = append(d.Workloads, w)
	}
	return d, boot.err
}
