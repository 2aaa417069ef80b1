package node

import (
	"slices"

	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/internal/counters"
	"willowsill/transport/discovery"
)

// outcome is one that came up while a round was carried out; the module hears of it afterwards.
type outcome struct {
	execution *execution
	result    balance.Result
}

// later ends an execution now and tells the module after the round.
func (n *Node) later(e *execution, result balance.Result) {
	e.over = true
	n.pending = append(n.pending, outcome{e, result})
}

// bookPending books what has come up meanwhile.
func (n *Node) bookPending() {
	now := n.Now()
	for _, o := range n.pending {
		n.bookOutcome(now, o.execution, o.result, now)
	}
	n.pending = n.pending[:0]
}

// bookNotice books what the carrier had to tell.
func (n *Node) bookNotice(now int64, v notice) {
	reports, err := n.pool.Note(v.what)
	if err != nil {
		n.log.Info("a connection to a replica broke or did not come up", zap.Error(err))
	}
	for _, r := range reports {
		e := n.out[r.Ticket]
		if r.Result == balance.Fulfilled && !e.query.in[e.part] {
			e.query.in[e.part], e.query.values[e.part] = true, r.Value
		}
		n.bookOutcome(now, e, r.Result, r.At)
	}
}

// expire drops the executions whose time is up.
func (n *Node) expire(now int64) {
	for n.cuts.next() <= now {
		n.giveUp(n.cuts[0], balance.TimedOut, false)
	}
	n.bookPending()
}

// bookOutcome tells the module how an execution ended, once.
func (n *Node) bookOutcome(now int64, e *execution, result balance.Result, at int64) {
	e.over = true
	delete(n.out, e.ticket)
	n.countEnd(result)
	q := e.query
	q.out--
	if e.observed != "" {
		n.observer.Ended(e.observed, Execution{Workload: q.Workload, Result: result, Took: e.answeredIn(at), Fresh: e.ticket.Fresh})
	}
	if n.zoneHealth != nil {
		n.zoneHealth.Ended(now, e.replica, result, max(at-e.sentAt, 0))
	}
	q.handle.Outcome(now, e.part, e.number, result, max(at-e.sentAt, 0))
	n.forget(q)
	n.moved = true
}

func (n *Node) countEnd(result balance.Result) {
	x := &n.count.Executions
	[...]*counters.Count{
		balance.Fulfilled: &x.Fulfilled, balance.Errored: &x.Errored, balance.Full: &x.Full,
		balance.TimedOut: &x.TimedOut, balance.ConnectFailed: &x.ConnectFailed, balance.Reset: &x.Reset,
		balance.Cancelled: &x.Cancelled, balance.Moot: &x.Moot,
	}[result].Add(1)
}

// place gives a new host an index.
func (n *Node) place(name string) int {
	i := slices.IndexFunc(n.hosts, func(h host) bool { return h.name == "" })
	if i < 0 {
		i = len(n.hosts)
		n.hosts = append(n.hosts, host{})
	}
	n.hosts[i], n.index[name] = host{name: name}, i
	return i
}

// bookGone gives back the indices of replicas that are off the list, once nothing is out there.
//
// Danger: where replicas are replaced all day, all that is kept of each would grow for as long as the process runs.
func (n *Node) bookGone() {
	for i, h := range n.hosts {
		if h.gone && h.name != "" && n.pool.Left(i) {
			delete(n.index, h.name)
			n.hosts[i] = host{}
		}
	}
}

// bookNews books what discovery said; live is false for the list remembered from an earlier life. A replica
// is known by its host: the address it is dialled at may differ and change.
func (n *Node) bookNews(now int64, news discovery.News, live bool) {
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
	n.shared.listMoved()
	whole := news.Whole || !live
	if whole {
		for i := range n.hosts {
			n.hosts[i].gone, n.hosts[i].up = true, false // unless it is named
		}
	}
	listings := make([]balance.Listing, 0, len(news.Entries))
	for _, e := range news.Entries {
		i, known := n.index[e.Host]
		if !known && e.Standing == balance.Gone { // nothing was ever known of it
			continue
		}
		if !known {
			i = n.place(e.Host)
		}
		h := &n.hosts[i]
		h.gone, h.up = e.Standing == balance.Gone, e.Standing == balance.Up
		if e.Standing != balance.Gone {
			h.born, h.zone = e.Born, e.Zone
		}
		if !known || e.Dial != "" { // one that has left may come without its address
			n.pool.Address(i, e.Dial)
		}
		if n.zoneHealth != nil && h.up {
			n.zoneHealth.Listed(i, e.Zone, known)
		}
		listings = append(listings, balance.Listing{Replica: i, New: !known, Cell: e.Cell, Standing: e.Standing,
			Started: n.Wall(e.Born), Distance: e.Distance, Channels: e.Channels})
		if e.Standing == balance.Up && !n.isReady {
			n.isReady = true
			close(n.ready)
		}
	}
	for i, h := range n.hosts {
		if h.gone {
			n.pool.Leave(i)
		}
		if n.zoneHealth != nil && !h.up {
			n.zoneHealth.Gone(i)
		}
	}
	if whole {
		n.agg.ListWhole(now, listings, live)
	} else {
		n.agg.ListChanged(now, listings)
	}
}
