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
	seedsDrawn = flag.Int("drawn", 16, "seeds of which the faults are drawn")
	seedsOfDay = flag.Int("days", 5, "seeds of each scripted day")

	seedsOfThree = flag.Int("three", 12, "seeds of the day with three controllers")
)

// play plays a plan and fails the test with what it broke. TestDepartedStayAway has a check of its own.
func play(t *testing.T, p Plan) {
	t.Helper()
	judge(t, p, func(check string) bool { return check != checker.GoneAgain })
}

// judge plays a plan and fails the test with what it broke of the checks that are meant.
func judge(t *testing.T, p Plan, meant func(check string) bool) {
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
	for seed := range *seedsDrawn {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			play(t, Draw(uint64(seed+1)))
		})
	}
}

// TestDays: the worst days break nothing, one point at a time.
func TestDays(t *testing.T) {
	for _, point := range []Point{CutOffAlone, OneNumber, SecondLoss, LongLife} {
		for seed := range *seedsOfDay {
			t.Run(fmt.Sprintf("point%s/seed%d", point, seed+1), func(t *testing.T) {
				t.Parallel()
				play(t, Day(point, uint64(seed+1)))
			})
		}
	}
}

// TestThreeControllers: where there are three controllers, losses one after the other leave a majority that works.
func TestThreeControllers(t *testing.T) {
	for seed := range *seedsOfThree {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			play(t, Day(ThreeOnly, uint64(seed+1)))
		})
	}
}

// TestDepartedStayAway: an edge does not take a replica back that has departed, whatever a feeder says that was cut off.
func TestDepartedStayAway(t *testing.T) {
	for seed := range *seedsOfDay {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			judge(t, Day(CutOffAlone, uint64(seed+1)), func(check string) bool { return check == checker.GoneAgain })
		})
	}
}

// TestSameSeedSameRun: a run can be played again, else no failing seed could be looked into.
func TestSameSeedSameRun(t *testing.T) {
	for _, p := range []Plan{Draw(3), Day(SecondLoss, 2)} {
		p.Length = 40 * time.Second
		one, err := Run(p, nil)
		must.NoError(t, err)
		other, err := Run(p, nil)
		must.NoError(t, err)
		must.Eq(t, one.History.Serves, other.History.Serves)
		must.Eq(t, one.History.Reads, other.History.Reads)
	}
}

// TestScript: a plan that was written is read back as it was, and one that cannot be played is refused.
func TestScript(t *testing.T) {
	p := Day(CutOffAlone, 4)
	script, err := p.Script()
	must.NoError(t, err)
	back, err := Read(script)
	must.NoError(t, err)
	must.Eq(t, p, back)
	p.Faults = append(p.Faults, Fault{Kind: "flood"})
	script, err = p.Script()
	must.NoError(t, err)
	_, err = Read(script)
	must.Error(t, err)
}

// TestShrink: what is not needed to break a check is left out, and what is needed stays.
func TestShrink(t *testing.T) {
	p := Draw(1)
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
		p := Draw(seed)
		budget := (p.Controllers - 1) / 4
		type loss struct{ from, until time.Duration }
		var losses []loss
		for _, f := range p.Faults {
			if f.Machine[0] == 'c' || f.Machine == All {
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
