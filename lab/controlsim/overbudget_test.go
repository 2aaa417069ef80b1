package controlsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/lab/controlsim/checker"
)

const (
	recoveryTime = 12 * time.Second // after everything is back, a quarter of the requests are served again
	settleTime   = 3 * time.Second  // contact counts for 1.6 s, and one silent for 2.5 s gives its place up
	maxAckTime   = 2 * time.Second
)

// checksFor tells whether a check is meant on a day. While more is lost than the budget has, nobody may be able to vouch for what
// stands, though most controllers run: one of them has an empty disk, which counts for nothing. An edge that begins then
// serves after 3 s what it was given, for it is not in touch, and the loss of control is to be no loss of service.
func checksFor(point Scenario) func(check string) bool {
	return func(check string) bool { return point != OverlappingLosses || check != checker.StaleReady }
}

// TestWorse: days that lose more than the budget has break nothing.
func TestWorse(t *testing.T) {
	for _, point := range []Scenario{SplitInHalves, TotalPowerLoss, OverlappingLosses, DepartureWithoutDrain, MissedDeparture} {
		for seed := range *scenarioSeedCount {
			t.Run(fmt.Sprintf("%s/seed%d", point, seed+1), func(t *testing.T) {
				t.Parallel()
				runPlanChecking(t, ScenarioPlan(point, uint64(seed+1)), checksFor(point))
			})
		}
	}
}

// TestOrdersAfterHalves: once two halves are one again, an order is acknowledged within seconds, and so is a read.
func TestOrdersAfterHalves(t *testing.T) {
	for seed := range *scenarioSeedCount {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			p := ScenarioPlan(SplitInHalves, uint64(seed+1))
			asked := p.partitionEnd() + settleTime
			p.Workload = Workload{}
			const revision = 9000
			p.Actions = append(p.Actions, Action{At: asked, Do: ActionOrder, Revision: revision, Content: "9000/healed"}, Action{At: asked, Do: ActionRead})
			r, err := Run(p, nil)
			must.NoError(t, err)
			soon := int64(asked + maxAckTime)
			for _, o := range r.History.Orders {
				if o.Revision == revision {
					must.Eq(t, checker.Acknowledged, o.Outcome)
					must.Less(t, soon, o.Ended)
				}
			}
			for _, read := range r.History.Reads {
				if read.Sent == int64(asked) {
					must.Positive(t, read.Answered)
					must.Less(t, soon, read.Answered)
				}
			}
		})
	}
}

// TestEdgesAfterEverythingDark: when all machines have lost power right after an acknowledgement, and as many disks as the budget
// has are empty, each edge serves what was acknowledged, and says that it is ready, within the time to recover. None of them
// remembers anything.
func TestEdgesAfterEverythingDark(t *testing.T) {
	for seed := range 2 * *scenarioSeedCount {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			p := ScenarioPlan(TotalPowerLoss, uint64(seed+1))
			r, err := Run(p, nil)
			must.NoError(t, err)
			acknowledged := int64(0)
			for _, o := range r.History.Orders {
				if o.Revision == powerLossRevision && o.Outcome == checker.Acknowledged {
					acknowledged = o.Ended
				}
			}
			must.Positive(t, acknowledged)
			until := acknowledged + int64(powerLossTime+maxStartSpread+recoveryTime)
			for n := range p.Edges {
				name := edgeName(n + 1)
				served, ready := uint64(0), false
				for _, s := range r.History.EdgeConfigurations {
					if s.Edge == name && s.Incarnation == 2 && s.At <= until {
						served = s.Revision
					}
				}
				for _, said := range r.History.Readiness {
					if said.Edge == name && said.Life == 2 && said.At <= until {
						ready = said.Ready
					}
				}
				must.Eq(t, powerLossRevision, served, must.Sprint(name))
				must.True(t, ready, must.Sprint(name))
			}
		})
	}
}
