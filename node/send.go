package node

import (
	"container/heap"
	"math"
	"strconv"

	"willowsill/balance"
	"willowsill/transport/replica"
)

// execution is one run of a part at a replica, numbered from 0.
type execution struct {
	query        *query
	part, number int
	replica      int
	sentAt       int64
	deadline     int64
	ticket       *replica.Ticket
	ended        bool
	observed     string // the replica's host, where the observer wants to hear of the end
}

// responseTime is the time, ns, that the replica took: how long a connection takes to open says nothing of it. 0 where none was up.
func (e *execution) responseTime(at int64) int64 {
	connected := e.ticket.Connected.Load()
	if connected == 0 {
		return 0
	}
	return max(at-connected, 1)
}

const waitUnit = 1e6 // ns: replicas are told in whole ms how long a part is waited for

// send starts executions. What goes to the same replica in one round travels in calls of as many parts as
// the deployment allows.
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
		// The replica is told less than the true wait, so that it takes the part for given up no later than
		// this side does.
		wait := (s.Deadline - now) / waitUnit
		shard := q.Parts[s.Part].Shard
		e.ticket = &replica.Ticket{Part: replica.Part{ID: q.ID + "." + strconv.Itoa(shard), Shard: shard,
			Wait: wait, Text: q.Text}, Load: q.Payload}
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
		for _, t := range c.tickets { // no descriptor left for a connection
			n.endLater(n.running[t], balance.ConnectFailed)
		}
	}
}

// observeSent tells the observer what went to a replica.
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

// cancel carries out one cancel of the module.
func (n *Node) cancel(c balance.Cancel) {
	if e := n.queries[c.Query].executions[c.Part][c.Execution]; !e.ended {
		n.abandon(e, balance.Cancelled, true)
	}
}

// abandon ends the wait for an execution that is out. One that never left proves that it did not run.
func (n *Node) abandon(e *execution, result balance.Result, tell bool) {
	if unsent := n.transport.Abandon(e.ticket, tell); unsent {
		result = balance.Unsent
	}
	n.endLater(e, result)
}

// deadlineHeap holds the executions that are out by when they are dropped, soonest first.
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

// next is when the next execution is to be dropped; those that are over are let go on the way.
func (c *deadlineHeap) next() int64 {
	for len(*c) > 0 && (*c)[0].ended {
		heap.Pop(c)
	}
	if len(*c) == 0 {
		return math.MaxInt64
	}
	return (*c)[0].deadline
}
