package planted

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/lab/controlsim"
)

// testOf is the test pattern of each scenario.
var testOf = map[controlsim.Scenario]string{
	controlsim.IsolatedController: "^TestDays$/^point1$",
	controlsim.ConflictingOrders:  "^TestDays$/^point2$",
	controlsim.ConsecutiveLosses:  "^TestDays$/^point3$",
	controlsim.ThreeControllers:   "^TestThreeControllers$",
	controlsim.MissedChanges:      "^TestDays$/^point4$",

	controlsim.SplitInHalves:         "^TestWorse$/^halves$",
	controlsim.TotalPowerLoss:        "^TestWorse$/^dark$",
	controlsim.OverlappingLosses:     "^TestWorse$/^overlap$",
	controlsim.DepartureWithoutDrain: "^TestWorse$/^departures$",

	controlsim.MissedDeparture: "^TestWorse$/^missed$",
}

// TestMutants checks that the simulation of each mutant fails one of its checks.
func TestMutants(t *testing.T) {
	for _, m := range Mutants {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			out, err := m.Run("../../..", t.TempDir(), testOf[m.Scenario], "lab/controlsim",
				"-args", "-days", fmt.Sprint(m.Seeds), "-three", fmt.Sprint(m.Seeds))
			t.Log(out)
			must.Error(t, err)
			found := false
			for _, check := range m.Checks {
				found = found || strings.Contains(out, "broken: "+check)
			}
			must.True(t, found, must.Sprint("no violation of ", m.Checks))
		})
	}
}
