package controlsim

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/lab/controlsim/checker"
)

// The defaults are what CI runs. The flags allow longer searches, and lab/controlsim/planted sets them.
var (
	randomSeedCount   = flag.Int("drawn", 16, "number of seeds with random faults")
	scenarioSeedCount = flag.Int("days", 5, "number of seeds of each scripted scenario")

	threeControllerSeedCount = flag.Int("three", 12, "number of seeds of the scenario with three controllers")
)

// runPlan simulates a plan and fails the test if it breaks a check other than DepartedUsed, which TestDepartedStayAway covers.
func runPlan(t *testing.T, p Plan) {
	t.Helper()
	runPlanChecking(t, p, func(check string) bool { return check != checker.DepartedUsed })
}

// runPlanChecking simulates a plan and fails the test if it breaks one of the selected checks.
func runPlanChecking(t *testing.T, p Plan, selected func(check string) bool) {
	t.Helper()
	r, err := Run(p, nil)
	must.NoError(t, err)
	must.Positive(t, r.Acknowledged)
	for _, v := range r.Violations {
		if selected(v.Check) {
			t.Errorf("%s: broken: %s, at %.3f s: %s", p.Name, v.Check, float64(v.At)/1e9, v.Text)
		}
	}
}

// TestDrawn checks that random faults within the fault budget break no check.
func TestDrawn(t *testing.T) {
	for seed := range *randomSeedCount {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			runPlan(t, RandomPlan(uint64(seed+1)))
		})
	}
}

// TestDays checks that the scripted scenarios within the fault budget break no check.
func TestDays(t *testing.T) {
	for _, point := range []Scenario{IsolatedController, ConflictingOrders, ConsecutiveLosses, MissedChanges} {
		for seed := range *scenarioSeedCount {
			t.Run(fmt.Sprintf("point%s/seed%d", point, seed+1), func(t *testing.T) {
				t.Parallel()
				runPlan(t, ScenarioPlan(point, uint64(seed+1)))
			})
		}
	}
}

// TestThreeControllers checks that consecutive losses with only three controllers break no check: the remaining majority works.
func TestThreeControllers(t *testing.T) {
	for seed := range *threeControllerSeedCount {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			runPlan(t, ScenarioPlan(ThreeControllers, uint64(seed+1)))
		})
	}
}

// TestDepartedStayAway guards against an edge that sends to a departed replica again because an upstream that was isolated still lists
// the replica.
func TestDepartedStayAway(t *testing.T) {
	for seed := range *scenarioSeedCount {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			runPlanChecking(t, ScenarioPlan(IsolatedController, uint64(seed+1)), func(check string) bool { return check == checker.DepartedUsed })
		})
	}
}

// TestSameSeedSameRun checks that a plan always gives the same run; otherwise a failing seed could not be investigated.
func TestSameSeedSameRun(t *testing.T) {
	for _, p := range []Plan{RandomPlan(3), ScenarioPlan(ConsecutiveLosses, 2)} {
		p.Length = 40 * time.Second
		one, err := Run(p, nil)
		must.NoError(t, err)
		other, err := Run(p, nil)
		must.NoError(t, err)
		must.Eq(t, one.History.EdgeConfigurations, other.History.EdgeConfigurations)
		must.Eq(t, one.History.Reads, other.History.Reads)
	}
}

// TestScript checks that an encoded plan decodes to the same plan, and that a plan with an unknown fault is rejected.
func TestScript(t *testing.T) {
	p := ScenarioPlan(IsolatedController, 4)
	script, err := p.Script()
	must.NoError(t, err)
	back, err := ReadPlan(script)
	must.NoError(t, err)
	must.Eq(t, p, back)
	p.Faults = append(p.Faults, Fault{Kind: "flood"})
	script, err = p.Script()
	must.NoError(t, err)
	_, err = ReadPlan(script)
	must.Error(t, err)
}

// TestShrink checks that Shrink removes the faults that a failure does not need, and keeps those that it needs.
func TestShrink(t *testing.T) {
	p := RandomPlan(1)
	p.Faults = nil
	for i := range 23 {
		p.Faults = append(p.Faults, Fault{Kind: Freeze, At: time.Duration(i)})
	}
	has := func(q Plan, i int) bool {
		return slices.ContainsFunc(q.Faults, func(f Fault) bool { return f.At == time.Duration(i) })
	}
	least := Shrink(p, "check", func(q Plan) []string {
		if has(q, 4) && has(q, 19) {
			return []string{"check"}
		}
		return nil
	})
	must.Len(t, 2, least.Faults)
	must.True(t, has(least, 4) && has(least, 19))
}

// TestBudget checks that no random plan loses more controllers at a time than its fault budget, except for losses of all at once.
func TestBudget(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		p := RandomPlan(seed)
		budget := (p.Controllers - 1) / 4
		type loss struct{ from, until time.Duration }
		var losses []loss
		for _, f := range p.Faults {
			if f.Machine[0] == 'c' || f.Machine == AllControllers {
				until := f.At + f.For + p.Bounds.CatchUp
				if f.Kind == ReplacePlanned { // first the new controller counts as lost, until it has caught up, then the old one
					until = f.At + max(f.For, p.Bounds.CatchUp)
				}
				losses = append(losses, loss{f.At, until})
			}
		}
		for _, l := range losses {
			n := 0
			for _, o := range losses {
				if o.from <= l.from && l.from < o.until {
					n++
				}
			}
			must.LessEq(t, budget, n, must.Sprint(p.Name))
		}
	}
}
