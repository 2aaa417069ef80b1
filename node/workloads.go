package node

import (
	"willowsill/balance"
	"willowsill/internal/counters"
)

// WorkloadSet is what a node serves from a moment on, where that may change in its life.
type WorkloadSet struct {
	Workloads  []balance.Workload   // by row; rows are added and never taken away
	Counters   []*counters.Workload // of the same length
	RetrySlack float64              // this co-ordinator's share of the free further executions of each budget
}

type workloadsChange struct{ WorkloadSet }

// Serving has the loop serve this from now on. A query handed over afterwards may name the new rows.
func (n *Node) Serving(s WorkloadSet) {
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
