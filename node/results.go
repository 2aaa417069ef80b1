package node

import (
	"slices"

	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/internal/counters"
	"willowsill/transport/discovery"
)

// pendingResult is a result that arose while the loop carried out actions; recordPending reports it afterwards.
type pendingResult struct {
	execution *execution
	result    balance.Result
}

// endLater ends an execution now and queues its result for recordPending.
func (n *Node) endLater(e *execution, result balance.Result) {
	e.ended = true
	n.pendingResults = append(n.pendingResults, pendingResult{e, result})
}

// recordPending reports the results that endLater has queued to the module.
func (n *Node) recordPending() {
	now := n.Now()
	for _, o := range n.pendingResults {
		n.recordResult(now, o.execution, o.result, now)
	}
	n.pendingResults = n.pendingResults[:0]
}

// handleTransport lets the transport handle its event and records the results that it reports.
func (n *Node) handleTransport(now int64, v transportEvent) {
	reports, err := n.transport.Handle(v.payload)
	if err != nil {
		n.log.Info("a connection to a replica broke or did not come up", zap.Error(err))
	}
	for _, r := range reports {
		e := n.running[r.Ticket]
		if r.Result == balance.Fulfilled && !e.query.answered[e.part] {
			e.query.answered[e.part], e.query.values[e.part] = true, r.Value
		}
		n.recordResult(now, e, r.Result, r.At)
	}
}

// endOverdue ends the executions whose deadline has passed.
func (n *Node) endOverdue(now int64) {
	for n.deadlines.next() <= now {
		n.abandon(n.deadlines[0], balance.TimedOut, false)
	}
	n.recordPending()
}

// recordResult reports the end of an execution to the module and the observers. It is called once for each.
func (n *Node) recordResult(now int64, e *execution, result balance.Result, at int64) {
	e.ended = true
	delete(n.running, e.ticket)
	n.countResult(result)
	q := e.query
	q.running--
	if e.observed != "" {
		n.observer.Ended(e.observed, Execution{Workload: q.Workload, Result: result, Took: e.responseTime(at), NewConnection: e.ticket.NewConnection})
	}
	if n.zoneHealth != nil {
		n.zoneHealth.ExecutionEnded(now, e.replica, result, max(at-e.sentAt, 0))
	}
	q.handle.RecordResult(now, e.part, e.number, result, max(at-e.sentAt, 0))
	n.release(q)
	n.changed = true
}

func (n *Node) countResult(result balance.Result) {
	x := &n.count.Executions
	[...]*counters.Count{
		balance.Fulfilled: &x.Fulfilled, balance.Errored: &x.Errored, balance.Full: &x.Full,
		balance.TimedOut: &x.TimedOut, balance.ConnectFailed: &x.ConnectFailed, balance.Reset: &x.Reset,
		balance.Cancelled: &x.Cancelled, balance.Unsent: &x.Unsent,
	}[result].Add(1)
}

// assignIndex assigns a free index to a new host.
func (n *Node) assignIndex(name string) int {
	i := slices.IndexFunc(n.hosts, func(h host) bool { return h.name == "" })
	if i < 0 {
		i = len(n.hosts)
		n.hosts = append(n.hosts, host{})
	}
	n.hosts[i], n.indices[name] = host{name: name}, i
	return i
}

// freeIndices frees the indices of replicas that are no longer listed, once nothing is under way there.
//
// Danger: if replicas are replaced all day, the state kept of each would grow as long as the process runs.
func (n *Node) freeIndices() {
	for i, h := range n.hosts {
		if h.gone && h.name != "" && n.transport.Drained(i) {
			delete(n.indices, h.name)
			n.hosts[i] = host{}
		}
	}
}

// applyList applies an update of the list; live is false for a list that an earlier process saved. A replica is
// identified by its host, for the address at which it is dialled may differ and change.
func (n *Node) applyList(now int64, update discovery.Update, live bool) {
	for _, err := range update.Skipped {
		n.count.ListSkipped.Add(1)
		n.log.Warn("an entry of the list was left out", zap.Error(err))
	}
	if update.Err != nil {
		n.count.ListFailures.Add(1)
		n.log.Warn("a call for the list failed", zap.Error(update.Err))
		if n.AsksForList {
			n.agg.ListFailed(now)
		}
		return
	}
	n.count.ListUpdates.Add(1)
	n.shared.listChanged()
	whole := update.Full || !live
	if whole {
		for i := range n.hosts {
			n.hosts[i].gone, n.hosts[i].up = true, false // until its entry below says otherwise
		}
	}
	listings := make([]balance.Listing, 0, len(update.Entries))
	for _, e := range update.Entries {
		i, known := n.indices[e.Host]
		if !known && e.Status == balance.Gone { // nothing to remove
			continue
		}
		if !known {
			i = n.assignIndex(e.Host)
		}
		h := &n.hosts[i]
		h.gone, h.up = e.Status == balance.Gone, e.Status == balance.Up
		if e.Status != balance.Gone {
			h.startedMs, h.zone = e.StartedMs, e.Zone
		}
		if !known || e.Dial != "" { // the entry of a replica that has left may lack the address
			n.transport.SetAddress(i, e.Dial)
		}
		if n.zoneHealth != nil && h.up {
			n.zoneHealth.ReplicaListed(i, e.Zone, known)
		}
		listings = append(listings, balance.Listing{Replica: i, New: !known, Cell: e.Cell, Status: e.Status,
			StartedAt: n.FromUnixMilli(e.StartedMs), Distance: e.Distance, MaxCalls: e.MaxCalls})
		if e.Status == balance.Up && !n.isReady {
			n.isReady = true
			close(n.ready)
		}
	}
	for i, h := range n.hosts {
		if h.gone {
			n.transport.Retire(i)
		}
		if n.zoneHealth != nil && !h.up {
			n.zoneHealth.ReplicaGone(i)
		}
	}
	if whole {
		n.agg.ReplaceList(now, listings, live)
	} else {
		n.agg.UpdateList(now, listings)
	}
}
