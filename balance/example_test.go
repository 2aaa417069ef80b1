package balance_test

import (
	"fmt"

	"willowsill/balance"
)

// The caller reports events and carries out what Decide returns: here a query of one part, for which there are two
// replicas, is sent and answered.
func Example() {
	const ms = 1_000_000
	a := balance.New(0, balance.Deployment{Aggregators: 1, Tick: 5 * ms, Shards: 1, Cells: 1, CellsPerShard: 1, PartsPerCall: 1, MaxExecutions: 2,
		CanCancel: true, Workloads: []balance.Workload{{LatencyGoal: 500 * ms, FullCoverage: 1, MinCoverage: 1}}, OverloadSpan: 1000 * ms})
	a.ReplaceList(0, []balance.Listing{{Replica: 0, New: true}, {Replica: 1, New: true}}, true)
	q := a.AddQuery(0, balance.Arrival{Timeout: 1000 * ms, Parts: 1})
	q.AddPart(0, 1)
	for _, s := range a.Decide(0).Sends {
		fmt.Println("part", s.Part, "goes to replica", s.Replica)
	}
	q.RecordResult(20*ms, 0, 0, balance.Fulfilled, 20*ms)
	for _, e := range a.Decide(20 * ms).Endings {
		fmt.Println("whole:", e.Outcome == balance.Whole)
	}
	// Output:
	// part 0 goes to replica 0
	// whole: true
}
