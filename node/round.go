package node

// round lets the module decide and carries out the actions in the order that it requires.
func (n *Node) round(now int64) {
	n.changed, n.lastRound = false, now
	n.count.Rounds.Add(1)
	n.checkZones(now)
	r := n.agg.Decide(now)
	n.wakeAt = r.WakeAt
	n.send(now, r.Sends)
	for _, c := range r.Cancels {
		n.cancel(c)
	}
	for _, e := range r.Endings {
		n.relay(e)
	}
	for _, replica := range r.CloseIdle {
		n.transport.CloseIdle(replica)
	}
	if r.List != 0 {
		n.requestList()
	}
	n.recordPending()
	n.recordRound(now)
}
