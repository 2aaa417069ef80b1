package node

// round lets the module decide and carries out what it asks for, in its order.
func (n *Node) round(now int64) {
	n.moved, n.last = false, now
	n.count.Rounds.Add(1)
	n.checkZones(now)
	r := n.agg.Decide(now)
	n.wake = r.Wake
	n.send(now, r.Sends)
	for _, c := range r.Cancels {
		n.cancel(c)
	}
	for _, e := range r.Endings {
		n.relay(e)
	}
	for _, replica := range r.Releases {
		n.pool.Release(replica)
	}
	if r.List != 0 {
		n.ask()
	}
	n.bookPending()
	n.took(now)
}
