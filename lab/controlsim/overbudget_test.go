package controlsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/lab/controlsim/checker"
)

const (
	recoveryTime = 12 * time.Second // within this time after all machines are back, a quarter of the requests must be served again
	settleTime   = 3 * time.Second  // time after the partition before orders are sent: contact with a peer counts for 1.6 s, and a controller that is silent for 2.5 s may be replaced as a member
	maxAckTime   = 2 * time.Second
)

// checksFor returns a function that selects the checks of a scenario. OverlappingLosses has no check of StaleReady: when more is lost
// than the fault budget allows, perhaps no controller can confirm what is committed although most run, since one with an empty disk
// does not count for a majority. An edge that starts then has no upstream in contact; after 3 s it serves the configuration that it
// got, because a loss of the control plane must not stop the service.
func checksFor(point Scenario) func(check string) bool {
	return func(check string) bool { return point != OverlappingLosses || check != checker.StaleReady }
}

// TestWorse checks that the scenarios that lose more than the fault budget break no check.
func TestWorse(t *testing.T) {
	for _, point := range []Scenario{SplitInHalves, TotalPowerLoss, OverlappingLosses, DepartureWithoutDrain, MissedDeparture, InterruptedFirstStart} {
		for seed := range *scenarioSeedCount {
			t.Run(fmt.Sprintf("%s/seed%d", point, seed+1), func(t *testing.T) {
				t.Parallel()
				runPlanChecking(t, ScenarioPlan(point, uint64(seed+1)), checksFor(point))
			})
		}
	}
}

// TestOrdersAfterHalves checks that after the end of a partition into halves an order is acknowledged and a read answered within
// maxAckTime.
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

// TestEdgesAfterEverythingDark checks the recovery after all machines have lost power right after an acknowledgement, and some also
// their disks: within recoveryTime each edge, which restarts without any state, serves the acknowledged revision and is ready.
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
				for _, change := range r.History.Readiness {
					if change.Edge == name && change.Incarnation == 2 && change.At <= until {
						ready = change.Ready
					}
				}
				must.Eq(t, powerLossRevision, served, must.Sprint(name))
				must.True(t, ready, must.Sprint(name))
			}
		})
	}
}
