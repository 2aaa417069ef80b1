package node

import "willowsill/balance"

// Answer is what a client gets, once.
type Answer struct {
	Outcome    balance.Outcome
	Values     []Value // Whole and Partial
	RetryAfter int64   // Declined: how long the client ought to wait, ns; 0 for no advice
}

// Value is a part's, as a replica gave it.
type Value struct {
	Shard int
	Value string
}

// relay hands the module's ending of a query to its front.
func (n *Node) relay(e balance.Ending) {
	q := n.queries[e.Query]
	count := n.rows[q.Workload]
	a := Answer{Outcome: e.Outcome, RetryAfter: e.RetryAfter}
	switch e.Outcome {
	case balance.Whole, balance.Partial:
		a.Values = make([]Value, 0, len(q.Parts))
		for i, in := range q.answered {
			if in {
				a.Values = append(a.Values, Value{q.Parts[i].Shard, q.values[i]})
			}
		}
		if e.Outcome == balance.Whole {
			count.Whole.Add(1)
		} else {
			count.Partial.Add(1)
		}
	case balance.Declined:
		count.Declined.Add(1)
	case balance.Forfeited:
		count.Forfeited.Add(1)
	}
	q.answer <- a
	n.endQuery(q)
}
