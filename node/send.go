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
	cutAt        int64
	ticket       *replica.Ticket
	over         bool
	observed     string // the replica's host, where the observer wants to hear of the end
}

// answeredIn is the time, ns, that the replica took: how long a connection takes to open says nothing of it. 0 where none was up.
func (e *execution) answeredIn(at int64) int64 {
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
		e := &execution{query: q, part: s.Part, number: len(q.executions[s.Part]), replica: s.Replica, sentAt: now, cutAt: s.CutAt}
		// The replica is told less than the true wait, so that it takes the part for given up no later than
		// this side does.
		wait := (s.CutAt - now) / waitUnit
		shard := q.Parts[s.Part].Shard
		e.ticket = &replica.Ticket{Part: replica.Part{ID: q.ID + "." + strconv.Itoa(shard), Shard: shard,
			Wait: wait, Text: q.Text}, Load: q.Load}
		q.executions[s.Part] = append(q.executions[s.Part], e)
		if e.number > 0 {
			n.furtherAt[shard%max(n.Accounts, 1)] = now
		}
		q.out++
		if n.zoneHealth != nil {
			n.zoneHealth.Sent(now, s.Replica)
		}
		if wait < 1 {
			n.later(e, balance.Moot)
			continue
		}
		c := filling[s.Replica]
		if c == nil || len(c.tickets) >= n.PartsPerCall {
			c = &call{replica: s.Replica}
			filling[s.Replica] = c
			calls = append(calls, c)
		}
		c.tickets = append(c.tickets, e.ticket)
		n.out[e.ticket] = e
		heap.Push(&n.cuts, e)
	}
	for _, c := range calls {
		if n.pool.Call(c.replica, c.tickets) {
			n.count.Executions.Sent.Add(int64(len(c.tickets)))
			n.observeSent(c.replica, c.tickets)
			continue
		}
		for _, t := range c.tickets { // no descriptor left for a connection
			n.later(n.out[t], balance.ConnectFailed)
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
			n.out[t].observed = host
		}
	}
}

// cancel carries out one cancel of the module.
func (n *Node) cancel(c balance.Cancel) {
	if e := n.queries[c.Query].executions[c.Part][c.Execution]; !e.over {
		n.giveUp(e, balance.Cancelled, true)
	}
}

// giveUp ends the wait for an execution that is out. One that never left proves that it did not run.
func (n *Node) giveUp(e *execution, result balance.Result, tell bool) {
	if unsent := n.pool.GiveUp(e.ticket, tell); unsent {
		result = balance.Moot
	}
	n.later(e, result)
}

// cuts holds the executions that are out by when they are dropped, soonest first.
type cuts []*execution

func (c cuts) Len() int           { return len(c) }
func (c cuts) Less(i, j int) bool { return c[i].cutAt < c[j].cutAt }
func (c cuts) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *cuts) Push(x any)        { *c = append(*c, x.(*execution)) }
func (c *cuts) Pop() any {
	old := *c
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*c = old[:len(old)-1]
	return e
}

// next is when the next execution is to be dropped; those that are over are let go on the way.
func (c *cuts) next() int64 {
	for len(*c) > 0 && (*c)[0].over {
		heap.Pop(c)
	}
	if len(*c) == 0 {
		return math.MaxInt64
	}
	return (*c)[0].cutAt
}
