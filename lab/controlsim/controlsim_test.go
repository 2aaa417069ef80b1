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

// What CI plays; the flags are for those who look for more, and for lab/controlsim/planted.
var (
	randomSeedCount   = flag.Int("drawn", 16, "seeds of which the faults are drawn")
	scenarioSeedCount = flag.Int("days", 5, "seeds of each scripted day")

	threeControllerSeedCount = flag.Int("three", 12, "seeds of the day with three controllers")
)

// runPlan plays a plan and fails the test with what it broke. TestDepartedStayAway has a check of its own.
func runPlan(t *testing.T, p Plan) {
	t.Helper()
	runPlanChecking(t, p, func(check string) bool { return check != checker.DepartedUsed })
}

// runPlanChecking plays a plan and fails the test with what it broke of the checks that are meant.
func runPlanChecking(t *testing.T, p Plan, meant func(check string) bool) {
	t.Helper()
	r, err := Run(p, nil)
	must.NoError(t, err)
	must.Positive(t, r.Acknowledged)
	for _, v := range r.Violations {
		if meant(v.Check) {
			t.Errorf("%s: broken: %s, at %.3f s: %s", p.Name, v.Check, float64(v.At)/1e9, v.Text)
		}
	}
}

// TestDrawn: faults that are drawn from a seed, within the budget, break nothing.
func TestDrawn(t *testing.T) {
	for seed := range *randomSeedCount {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			runPlan(t, RandomPlan(uint64(seed+1)))
		})
	}
}

// TestDays: the worst days break nothing, one point at a time.
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

// TestThreeControllers: where there are three controllers, losses one after the other leave a majority that works.
func TestThreeControllers(t *testing.T) {
	for seed := range *threeControllerSeedCount {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			runPlan(t, ScenarioPlan(ThreeControllers, uint64(seed+1)))
		})
	}
}

// TestDepartedStayAway: an edge does not take a replica back that has departed, whatever a feeder says that was cut off.
func TestDepartedStayAway(t *testing.T) {
	for seed := range *scenarioSeedCount {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			runPlanChecking(t, ScenarioPlan(IsolatedController, uint64(seed+1)), func(check string) bool { return check == checker.DepartedUsed })
		})
	}
}

// TestSameSeedSameRun: a run can be played again, else no failing seed could be looked into.
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

// TestScript: a plan that was written is read back as it was, and one that cannot be played is refused.
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

// TestShrink: what is not needed to break a check is left out, and what is needed stays.
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

// TestBudget: no plan that is drawn loses more controllers at a time than the budget has, but for all at once.
func TestBudget(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		p := RandomPlan(seed)
		budget := (p.Controllers - 1) / 4
		type loss struct{ from, until time.Duration }
		var losses []loss
		for _, f := range p.Faults {
			if f.Machine[0] == 'c' || f.Machine == AllControllers {
				until := f.At + f.For + p.Bounds.CatchUp
				if f.Kind == ReplacePlanned { // the new one counts as lost, and then the old one goes
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
