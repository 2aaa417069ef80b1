package node

import (
	"willowsill/balance"
	"willowsill/internal/counters"
)

// WorkloadSet is the set of workloads that a node serves, and its share of the retry budgets.
type WorkloadSet struct {
	Workloads  []balance.Workload   // terms of each workload, by row; rows may be added but never removed
	Counters   []*counters.Workload // counters of each workload, by row
	RetrySlack float64              // this proxy's share of the retry slack of each budget
}

type workloadsChange struct{ WorkloadSet }

// SetWorkloads replaces the workloads. Queries that are handed over afterwards may use the new rows.
func (n *Node) SetWorkloads(s WorkloadSet) {
	select {
	case n.events <- event{n.Now(), workloadsChange{s}}:
	case <-n.done:
	}
}

func (n *Node) applyWorkloads(now int64, s workloadsChange) {
	n.agg.SetWorkloads(now, s.Workloads)
	n.agg.RetrySlack = s.RetrySlack
	n.rows = s.Counters
}
