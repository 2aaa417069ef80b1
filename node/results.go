package node

import (
	"slices"

	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/internal/counters"
	"willowsill/transport/discovery"
)

// pendingResult is one that came up while a round was carried out; the module hears of it afterwards.
type pendingResult struct {
	execution *execution
	result    balance.Result
}

// endLater ends an execution now and tells the module after the round.
func (n *Node) endLater(e *execution, result balance.Result) {
	e.ended = true
	n.pendingResults = append(n.pendingResults, pendingResult{e, result})
}

// recordPending books what has come up meanwhile.
func (n *Node) recordPending() {
	now := n.Now()
	for _, o := range n.pendingResults {
		n.recordResult(now, o.execution, o.result, now)
	}
	n.pendingResults = n.pendingResults[:0]
}

// handleTransport books what the carrier had to tell.
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

// endOverdue drops the executions whose time is up.
func (n *Node) endOverdue(now int64) {
	for n.deadlines.next() <= now {
		n.abandon(n.deadlines[0], balance.TimedOut, false)
	}
	n.recordPending()
}

// recordResult tells the module how an execution ended, once.
func (n *Node) recordResult(now int64, e *execution, result balance.Result, at int64) {
	e.ended = true
	delete(n.running, e.ticket)
	n.countResult(result)
	q := e.query
	q.running--
	if e.observed != "" {
		n.observer.Ended(e.observed, Execution{Workload: q.Workload, Result: result, Took: e.responseTime(at), NewConnection: e.ticket.Fresh})
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
		balance.Cancelled: &x.Cancelled, balance.Unsent: &x.Moot,
	}[result].Add(1)
}

// assignIndex gives a new host an index.
func (n *Node) assignIndex(name string) int {
	i := slices.IndexFunc(n.hosts, func(h host) bool { return h.name == "" })
	if i < 0 {
		i = len(n.hosts)
		n.hosts = append(n.hosts, host{})
	}
	n.hosts[i], n.indices[name] = host{name: name}, i
	return i
}

// freeIndices gives back the indices of replicas that are off the list, once nothing is out there.
//
// Danger: where replicas are replaced all day, all that is kept of each would grow for as long as the process runs.
func (n *Node) freeIndices() {
	for i, h := range n.hosts {
		if h.gone && h.name != "" && n.transport.Drained(i) {
			delete(n.indices, h.name)
			n.hosts[i] = host{}
		}
	}
}

// applyList books what discovery said; live is false for the list remembered from an earlier life. A replica
// is known by its host: the address it is dialled at may differ and change.
func (n *Node) applyList(now int64, news discovery.News, live bool) {
	for _, err := range news.Oddities {
		n.count.ListOddities.Add(1)
		n.log.Warn("an entry of the list was left out", zap.Error(err))
	}
	if news.Err != nil {
		n.count.ListFailures.Add(1)
		n.log.Warn("a call for the list failed", zap.Error(news.Err))
		if n.AsksForList {
			n.agg.ListFailed(now)
		}
		return
	}
	n.count.ListNews.Add(1)
	n.shared.listChanged()
	whole := news.Whole || !live
	if whole {
		for i := range n.hosts {
			n.hosts[i].gone, n.hosts[i].up = true, false // unless it is named
		}
	}
	listings := make([]balance.Listing, 0, len(news.Entries))
	for _, e := range news.Entries {
		i, known := n.indices[e.Host]
		if !known && e.Standing == balance.Gone { // nothing was ever known of it
			continue
		}
		if !known {
			i = n.assignIndex(e.Host)
		}
		h := &n.hosts[i]
		h.gone, h.up = e.Standing == balance.Gone, e.Standing == balance.Up
		if e.Standing != balance.Gone {
			h.startedMs, h.zone = e.Born, e.Zone
		}
		if !known || e.Dial != "" { // one that has left may come without its address
			n.transport.SetAddress(i, e.Dial)
		}
		if n.zoneHealth != nil && h.up {
			n.zoneHealth.ReplicaListed(i, e.Zone, known)
		}
		listings = append(listings, balance.Listing{Replica: i, New: !known, Cell: e.Cell, Status: e.Standing,
			StartedAt: n.FromUnixMilli(e.Born), Distance: e.Distance, MaxCalls: e.Channels})
		if e.Standing == balance.Up && !n.isReady {
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
