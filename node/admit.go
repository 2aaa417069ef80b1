package node

import (
	"context"

	"willowsill/balance"
)

// Query is a query as a front hands it over.
type Query struct {
	ID       string
	Workload int
	Customer string // empty if unknown
	Retry    bool   // its client marks it as a retry
	Deadline int64  // time at which its client stops waiting, ns of the node's clock
	Text     []byte
	Parts    []Part
	Payload  any // data for a transport that does not send Text in frames
}

// Part is one part of a query.
type Part struct {
	Shard  int
	Weight float64 // share of the whole answer
}

// query is the state of a query that the node holds.
type query struct {
	Query
	arrivedAt  int64
	handle     *balance.Query
	answer     chan Answer // buffered for the one answer, so that the loop never blocks
	executions [][]*execution
	values     []string // values of the answered parts, by part
	answered   []bool
	running    int // executions without a result
	ended      bool
}

type (
	arrival   struct{ query *query }
	departure struct{ query *query }
)

// Serve runs a query through the node and returns its answer; false means that ctx ended first, because the
// client left, and that there is no answer.
//
// Danger: more queries than the loop can handle would fill the queue and keep results of executions out.
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

// declineUnseen counts and returns the answer to a query that the module never sees.
func (n *Node) declineUnseen() Answer {
	n.count.Rejected.Add(1)
	return Answer{Outcome: balance.Declined, RetryAfter: n.retryAfter}
}

// admit hands a query to the module, or declines it if the node holds as much as it may or if the client's
// deadline comes before the next round can.
func (n *Node) admit(now int64, q *query) {
	count := n.rows[q.Workload]
	count.Accepted.Add(1)
	timeout := q.Deadline - now - n.lateness
	// Danger: in a round after its deadline the client would be answered too late.
	if n.held >= n.limits.MaxHeld || timeout <= max(n.lastRound+n.roundGap()-now, 0) {
		count.Declined.Add(1)
		q.ended = true
		q.answer <- n.declineUnseen()
		return
	}
	priority := balance.FirstTry
	if n.overQuota(now, q.Customer) {
		count.OverQuota.Add(1)
		priority = balance.OverQuota
	}
	if q.Retry {
		priority = balance.Retry
	}
	if n.schedule != nil {
		n.schedule.OnWait(now - q.arrivedAt)
	}
	q.handle = n.agg.AddQuery(now, balance.Arrival{Workload: q.Workload, Timeout: timeout, Parts: len(q.Parts), Priority: priority})
	for _, p := range q.Parts {
		q.handle.AddPart(p.Shard, p.Weight)
	}
	n.queries[q.handle] = q
	n.held += 1 + len(q.Parts)
	n.count.HeldMaximum.Record(int64(n.held))
}

// clientLeft ends a query whose client has left.
func (n *Node) clientLeft(now int64, q *query) {
	if q.ended {
		return
	}
	n.rows[q.Workload].ClientGone.Add(1)
	q.handle.ClientLeft(now)
	n.endQuery(q)
}

// endQuery marks a query as ended and withdraws executions that are not sent yet. Those that are sent are
// cancelled by the module.
//
// Danger: a call that still waits for its connection would be sent after the answer.
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

// release forgets a query that has ended, once it has the results of all its executions.
func (n *Node) release(q *query) {
	if q.ended && q.running == 0 {
		delete(n.queries, q.handle)
	}
}
