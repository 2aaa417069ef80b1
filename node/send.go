package node

import (
	"container/heap"
	"math"
	"strconv"

	"willowsill/balance"
	"willowsill/transport/replica"
)

// execution is one run of a part at a replica.
type execution struct {
	query        *query
	part, number int // index of the part; number of the execution of this part, from 0
	replica      int
	sentAt       int64
	deadline     int64
	ticket       *replica.Ticket
	ended        bool
	observed     string // host of the replica, if the observer wants to be notified of the end
}

// responseTime is the time from the establishment of the connection to at, ns, because the time to connect says nothing
// about the replica; 0 if the execution had no connection.
func (e *execution) responseTime(at int64) int64 {
	connected := e.ticket.ConnectedAt.Load()
	if connected == 0 {
		return 0
	}
	return max(at-connected, 1)
}

// waitUnit is a millisecond in ns, the unit of the time limit that is sent with a part.
const waitUnit = 1e6

// send starts executions. Parts for the same replica in one round share calls, each of up to PartsPerCall parts.
func (n *Node) send(now int64, sends []balance.Send) {
	type call struct {
		replica int
		tickets []*replica.Ticket
	}
	var calls []*call
	filling := map[int]*call{}
	for _, s := range sends {
		q := n.queries[s.Query]
		e := &execution{query: q, part: s.Part, number: len(q.executions[s.Part]), replica: s.Replica, sentAt: now, deadline: s.Deadline}
		// Rounding down makes the replica drop the part no later than this node does.
		wait := (s.Deadline - now) / waitUnit
		shard := q.Parts[s.Part].Shard
		e.ticket = &replica.Ticket{Part: replica.Part{ID: q.ID + "." + strconv.Itoa(shard), Shard: shard,
			WaitMs: wait, Text: q.Text}, Payload: q.Payload}
		q.executions[s.Part] = append(q.executions[s.Part], e)
		if e.number > 0 {
			n.lastRetryAt[shard%max(n.ShardBudgets, 1)] = now
		}
		q.running++
		if n.zoneHealth != nil {
			n.zoneHealth.ExecutionSent(now, s.Replica)
		}
		if wait < 1 {
			n.endLater(e, balance.Unsent)
			continue
		}
		c := filling[s.Replica]
		if c == nil || len(c.tickets) >= n.PartsPerCall {
			c = &call{replica: s.Replica}
			filling[s.Replica] = c
			calls = append(calls, c)
		}
		c.tickets = append(c.tickets, e.ticket)
		n.running[e.ticket] = e
		heap.Push(&n.deadlines, e)
	}
	for _, c := range calls {
		if n.transport.Send(c.replica, c.tickets) {
			n.count.Executions.Sent.Add(int64(len(c.tickets)))
			n.observeSent(c.replica, c.tickets)
			continue
		}
		for _, t := range c.tickets { // no file descriptor was left for a connection
			n.endLater(n.running[t], balance.ConnectFailed)
		}
	}
}

// observeSent notifies the observer of parts that were sent to a replica.
func (n *Node) observeSent(to int, tickets []*replica.Ticket) {
	if n.observer == nil {
		return
	}
	for _, t := range tickets {
		if host := n.hosts[to].name; n.observer.Sent(host) {
			n.running[t].observed = host
		}
	}
}

// cancel carries out a Cancel of the module.
func (n *Node) cancel(c balance.Cancel) {
	if e := n.queries[c.Query].executions[c.Part][c.Execution]; !e.ended {
		n.abandon(e, balance.Cancelled, true)
	}
}

// abandon ends the wait for an execution. If it was never sent, its result is Unsent, which proves that it did
// not run. If notify is true, the replica is notified.
func (n *Node) abandon(e *execution, result balance.Result, notify bool) {
	if unsent := n.transport.Abandon(e.ticket, notify); unsent {
		result = balance.Unsent
	}
	n.endLater(e, result)
}

// deadlineHeap is a heap of executions by deadline, earliest first.
type deadlineHeap []*execution

func (c deadlineHeap) Len() int           { return len(c) }
func (c deadlineHeap) Less(i, j int) bool { return c[i].deadline < c[j].deadline }
func (c deadlineHeap) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *deadlineHeap) Push(x any)        { *c = append(*c, x.(*execution)) }
func (c *deadlineHeap) Pop() any {
	old := *c
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*c = old[:len(old)-1]
	return e
}

// next is the earliest deadline of an execution that has not ended. It removes those that have.
func (c *deadlineHeap) next() int64 {
	for len(*c) > 0 && (*c)[0].ended {
		heap.Pop(c)
	}
	if len(*c) == 0 {
		return math.MaxInt64
	}
	return (*c)[0].deadline
}
