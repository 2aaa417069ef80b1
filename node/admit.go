package node

import (
	"context"

	"willowsill/balance"
)

// Query is a query as a front hands it over.
type Query struct {
	ID       string
	Workload int
	Customer string // whose it is, empty where that is not told
	Again    bool   // its client marks it as a retry
	Until    int64  // when its client gives up
	Text     []byte
	Parts    []Part
	Load     any // what a carrier of another kind than frames needs
}

// Part is one part of a query.
type Part struct {
	Shard  int
	Weight float64 // share of the whole answer
}

// query is one that the node holds.
type query struct {
	Query
	came       int64
	handle     *balance.Query
	answer     chan Answer // has room for the one answer
	executions [][]*execution
	values     []string // of the parts that are in
	in         []bool
	out        int // executions without an outcome
	over       bool
}

type (
	arrival   struct{ query *query }
	departure struct{ query *query }
)

// Serve takes a query through the node and returns its one answer. When ctx ends first the client has left;
// the answer then has no reader.
//
// Danger: more queries than the loop can take would fill the queue and keep outcomes out.
func (n *Node) Serve(ctx context.Context, asked Query) (Answer, bool) {
	if len(n.facts) >= queueLength/frontShare {
		return n.crowded(), true
	}
	q := &query{Query: asked, came: n.Now(), answer: make(chan Answer, 1),
		executions: make([][]*execution, len(asked.Parts)),
		values:     make([]string, len(asked.Parts)), in: make([]bool, len(asked.Parts))}
	n.facts <- fact{q.came, arrival{q}}
	select {
	case a := <-q.answer:
		return a, true
	case <-ctx.Done():
		n.facts <- fact{n.Now(), departure{q}}
		return Answer{}, false
	}
}

// crowded is the answer to a query that the module never sees.
func (n *Node) crowded() Answer {
	n.count.Crowded.Add(1)
	return Answer{Final: balance.Declined, ComeBack: n.advice}
}

// admit hands a query to the module, or declines it where the node holds as much as it may, or where its
// client's time is up before a round can come.
func (n *Node) admit(now int64, q *query) {
	count := n.rows[q.Workload]
	count.Taken.Add(1)
	patience := q.Until - now - n.lateness
	// Danger: a round a tick later would answer a client whose time is up by then.
	if n.held >= n.terms.MostHeld || patience <= max(n.last+n.gap()-now, 0) {
		count.Declined.Add(1)
		q.over = true
		q.answer <- n.crowded()
		return
	}
	claim := balance.FirstTry
	if n.overQuota(now, q.Customer) {
		count.Over.Add(1)
		claim = balance.OverQuota
	}
	if q.Again {
		claim = balance.Retry
	}
	if n.rhythm != nil {
		n.rhythm.Waited(now - q.came)
	}
	q.handle = n.agg.Take(now, balance.Arrival{Workload: q.Workload, Patience: patience, Parts: len(q.Parts), Claim: claim})
	for _, p := range q.Parts {
		q.handle.AddPart(p.Shard, p.Weight)
	}
	n.queries[q.handle] = q
	n.held += 1 + len(q.Parts)
	n.count.HeldHighest.Show(int64(n.held))
}

// depart ends a query whose client has left.
func (n *Node) depart(now int64, q *query) {
	if q.over {
		return
	}
	n.rows[q.Workload].Left.Add(1)
	q.handle.Leave(now)
	n.end(q)
}

// end marks a query as over. What is still out is the module's to cancel; what has not left yet must not.
//
// Danger: a call that waits for its connection would be sent after the answer.
func (n *Node) end(q *query) {
	q.over = true
	n.held -= 1 + len(q.Parts)
	for _, executions := range q.executions {
		for _, e := range executions {
			if !e.over && n.pool.Withdraw(e.ticket) {
				n.later(e, balance.Moot)
			}
		}
	}
	n.forget(q)
}

// forget lets go of a query that is over once its last outcome is in.
func (n *Node) forget(q *query) {
	if q.over && q.out == 0 {
		delete(n.queries, q.handle)
	}
}
