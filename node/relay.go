package node

import "willowsill/balance"

// Answer is the one answer to a query.
type Answer struct {
	Outcome    balance.Outcome
	Values     []Value // values of a Whole or Partial answer
	RetryAfter int64   // wait advised to the client of a Declined query, ns; 0 for none
}

// Value is the value of one part, as a replica returned it.
type Value struct {
	Shard int
	Value string
}

// relay sends the answer of the module to the caller of Serve, and ends the query.
func (n *Node) relay(e balance.Ending) {
	q := n.queries[e.Query]
	count := n.rows[q.Workload]
	a := Answer{Outcome: e.Outcome, RetryAfter: e.RetryAfter}
	switch e.Outcome {
	case balance.Whole, balance.Partial:
		a.Values = make([]Value, 0, len(q.Parts))
		for i, isAnswered := range q.answered {
			if isAnswered {
				a.Values = append(a.Values, Value{q.Parts[i].Shard, q.values[i]})
			}
		}
		if e.Outcome == balance.Whole {
			count.Complete.Add(1)
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
