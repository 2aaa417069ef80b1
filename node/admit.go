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
	Retry    bool   // its client marks it as a retry
	Deadline int64  // when its client gives up
	Text     []byte
	Parts    []Part
	Payload  any // what a carrier of another kind than frames needs
}

// Part is one part of a query.
type Part struct {
	Shard  int
	Weight float64 // share of the whole answer
}

// query is one that the node holds.
type query struct {
	Query
	arrivedAt  int64
	handle     *balance.Query
	answer     chan Answer // has room for the one answer
	executions [][]*execution
	values     []string // of the parts that are in
	answered   []bool
	running    int // executions without an outcome
	ended      bool
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
	if len(n.events) >= queueLength/arrivalDivisor {
		return n.declineUnseen(), true
	}
	q := &query{Query: asked, arrivedAt: n.Now(), answer: make(chan Answer, 1),
		executions: make([][]*execution, len(asked.Parts)),
		values:     make([]string, len(asked.Parts)), answered: make([]bool, len(asked.Parts))}
	n.events <- event{q.arrivedAt, arrival{q}}
	select {
	case a := <-q.answer:
		return a, true
	case <-ctx.Done():
		n.events <- event{n.Now(), departure{q}}
		return Answer{}, false
	}
}

// declineUnseen is the answer to a query that the module never sees.
func (n *Node) declineUnseen() Answer {
	n.count.Crowded.Add(1)
	return Answer{Outcome: balance.Declined, RetryAfter: n.retryAfter}
}

// admit hands a query to the module, or declines it where the node holds as much as it may, or where its
// client's time is up before a round can come.
func (n *Node) admit(now int64, q *query) {
	count := n.rows[q.Workload]
	count.Taken.Add(1)
	patience := q.Deadline - now - n.lateness
	// Danger: a round a tick later would answer a client whose time is up by then.
	if n.held >= n.terms.MostHeld || patience <= max(n.lastRound+n.roundGap()-now, 0) {
		count.Declined.Add(1)
		q.ended = true
		q.answer <- n.declineUnseen()
		return
	}
	claim := balance.FirstTry
	if n.overQuota(now, q.Customer) {
		count.Over.Add(1)
		claim = balance.OverQuota
	}
	if q.Retry {
		claim = balance.Retry
	}
	if n.schedule != nil {
		n.schedule.OnWait(now - q.arrivedAt)
	}
	q.handle = n.agg.AddQuery(now, balance.Arrival{Workload: q.Workload, Timeout: patience, Parts: len(q.Parts), Priority: claim})
	for _, p := range q.Parts {
		q.handle.AddPart(p.Shard, p.Weight)
	}
	n.queries[q.handle] = q
	n.held += 1 + len(q.Parts)
	n.count.HeldHighest.Show(int64(n.held))
}

// clientLeft ends a query whose client has left.
func (n *Node) clientLeft(now int64, q *query) {
	if q.ended {
		return
	}
	n.rows[q.Workload].Left.Add(1)
	q.handle.ClientLeft(now)
	n.endQuery(q)
}

// endQuery marks a query as over. What is still out is the module's to cancel; what has not left yet must not.
//
// Danger: a call that waits for its connection would be sent after the answer.
func (n *Node) endQuery(q *query) {
	q.ended = true
	n.held -= 1 + len(q.Parts)
	for _, executions := range q.executions {
		for _, e := range executions {
			if !e.ended && n.transport.Withdraw(e.ticket) {
				n.endLater(e, balance.Unsent)
			}
		}
	}
	n.release(q)
}

// release lets go of a query that is over once its last outcome is in.
func (n *Node) release(q *query) {
	if q.ended && q.running == 0 {
		delete(n.queries, q.handle)
	}
}
