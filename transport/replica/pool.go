package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"

	"willowsill/balance"
	"willowsill/internal/counters"
	"willowsill/transport/sockets"
)

// Ticket is one execution on its way; the pool fills in the rest. Its owner sees its end just once: either
// the pool reports it, or the owner gives it up.
type Ticket struct {
	Part
	Payload any // what its query has for a carrier of another kind, nil for none
	// NewConnection tells that a connection was opened for it, Connected when its connection was up, ns, 0 before. Carriers of another
	// kind set them.
	NewConnection bool
	ConnectedAt   atomic.Int64
	conn          *connection
	frame         *frame
	sentAt        int64
}

// Report tells how a ticket ended.
type Report struct {
	Ticket *Ticket
	Result balance.Result
	Value  string
	At     int64 // ns
}

// Pool owns the connections to all replicas: it opens, shares out and closes them. All its methods are for
// the one goroutine that owns it; what connections have to tell comes to it through Notice.
type Pool struct {
	Config
	replicas []*destination
	notify   func(Event)
	budget   *sockets.Budget
	counters *counters.Counters
}

// Config are what the deployment states of connections, in ns.
type Config struct {
	MaxCalls       int
	ConnectTimeout int64
	IdleTimeout    int64
	Now            func() int64
	Dial           Dial
}

// Dial opens a connection, and keeps to the time it may take.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// destination is all that is kept of one replica.
type destination struct {
	address string
	conns   []*connection
}

// NewPool makes a pool that hands what its connections have to tell to tell, from their goroutines.
func NewPool(t Config, notify func(Event), budget *sockets.Budget, count *counters.Counters) *Pool {
	return &Pool{Config: t, notify: notify, budget: budget, counters: count}
}

// SetAddress tells where a replica listens from now on.
func (p *Pool) SetAddress(replica int, dial string) {
	for len(p.replicas) <= replica {
		p.replicas = append(p.replicas, &destination{})
	}
	if l := p.replicas[replica]; l.address != dial {
		l.address = dial
		p.Retire(replica)
	}
}

// Retire takes all connections to a replica out of use; what is out there may still come.
func (p *Pool) Retire(replica int) {
	p.replicas[replica].retire(func(*connection) bool { return true })
}

// Drained tells whether nothing is out at a replica, and no connection to it is left.
func (p *Pool) Drained(replica int) bool { return len(p.replicas[replica].conns) == 0 }

// Send sends tickets to a replica as one call. It returns false if there is no room for a connection.
func (p *Pool) Send(replica int, tickets []*Ticket) bool {
	l, now := p.replicas[replica], p.Now()
	c := p.chooseConnection(l, tickets, now)
	if c == nil {
		return false
	}
	f := &frame{openTickets: len(tickets)}
	for _, t := range tickets {
		f.parts = append(f.parts, t.Part)
		t.conn, t.frame, t.sentAt = c, f, now
		c.tickets[t.ID] = t
	}
	c.openCalls++
	c.queue.push(f)
	return true
}

// chooseConnection returns a connection with room, or a new one.
//
// Danger: a vanished machine says nothing, and its open connections swallow all that is written to them. One
// on which a part was given up with nothing heard since its send takes no more parts. One that has stood idle
// for almost as long as the replica keeps it would reset the next part. And an id that was given up on a
// connection must not meet its own late reply there.
func (p *Pool) chooseConnection(l *destination, tickets []*Ticket, now int64) *connection {
	p.retireIdle(l, now)
	for _, c := range l.conns {
		if c.retired || c.openCalls >= p.MaxCalls {
			continue
		}
		if !slices.ContainsFunc(tickets, func(t *Ticket) bool { return c.usedID(t.ID) }) {
			return c
		}
	}
	if !p.budget.Acquire(sockets.Replicas) {
		for replica := range p.replicas { // for the calls to come: a connection ends in its own time
			p.CloseIdle(replica)
		}
		return nil
	}
	c := newConnection(p, l, now)
	l.conns = append(l.conns, c)
	p.counters.ConnectionsOpened.Add(1)
	go c.run(l.address)
	return c
}

// retireIdle takes connections out of use before the replica closes them as idle.
func (p *Pool) retireIdle(l *destination, now int64) {
	l.retire(func(c *connection) bool {
		return c.openCalls == 0 && now-c.idleSince >= p.IdleTimeout-p.IdleTimeout/idleMarginDivisor
	})
}

// Sweep retires idle connections everywhere.
func (p *Pool) Sweep() {
	for _, l := range p.replicas {
		p.retireIdle(l, p.Now())
	}
}

// CloseIdle gives back the connections to a replica that carry nothing now.
func (p *Pool) CloseIdle(replica int) {
	p.replicas[replica].retire(func(c *connection) bool { return c.openCalls == 0 })
}

// retire takes some connections out of use; they end with their last call.
func (l *destination) retire(which func(*connection) bool) {
	for _, c := range l.conns {
		c.retired = c.retired || which(c)
	}
	l.closeDrained()
}

// closeDrained closes what is retired and carries nothing; the connection's end comes as a notice.
func (l *destination) closeDrained() {
	l.conns = slices.DeleteFunc(l.conns, func(c *connection) bool {
		ends := c.retired && c.openCalls == 0
		if ends {
			c.cancel(nil)
		}
		return ends
	})
}

// Withdraw takes a ticket back whose part has not left yet; the pool will not report it from then on. What
// shares its call still goes.
func (p *Pool) Withdraw(t *Ticket) bool {
	unsent := t.conn.queue.remove(t.frame, t.ID)
	if unsent {
		p.endTicket(t)
	}
	return unsent
}

// Abandon ends the wait for a ticket, which the pool will not report from then on. With tell the replica
// hears of it. It returns true if the part never left and was withdrawn.
func (p *Pool) Abandon(t *Ticket, notifyReplica bool) (unsent bool) {
	if p.Withdraw(t) {
		return true
	}
	c := t.conn
	if notifyReplica {
		c.queue.push(&frame{abandonID: t.ID})
	}
	if c.heardAt < t.sentAt && p.Now()-t.sentAt >= p.ConnectTimeout {
		c.retired = true
	}
	c.abandoned[t.ID] = struct{}{}
	if len(c.abandoned) > maxAbandonedIDs {
		c.retired = true
	}
	p.endTicket(t)
	return false
}

// endTicket takes a ticket off its connection.
func (p *Pool) endTicket(t *Ticket) {
	c := t.conn
	delete(c.tickets, t.ID)
	if t.frame.openTickets--; t.frame.openTickets == 0 {
		c.openCalls--
		c.idleSince = p.Now()
	}
	c.line.closeDrained()
}

// Handle takes in what a connection had to tell and returns the tickets that it ended.
func (p *Pool) Handle(n Event) (reports []Report) {
	c := n.conn
	if n.closed {
		p.budget.Release(sockets.Replicas)
		p.counters.ConnectionsClosed.Add(1)
		if !n.wasOpen && n.Err != nil {
			p.counters.ConnectionsFailed.Add(1)
		}
		c.retired = true
		c.line.closeDrained()
		if errors.Is(n.Err, errBadReply) {
			p.counters.InvalidReplies.Add(1)
		}
		for _, t := range c.tickets {
			reports = append(reports, Report{Ticket: t, Result: t.resultOnClose(n.Err), At: n.at})
		}
		// The order of a map is chance; the module is to see that of the sends.
		slices.SortFunc(reports, func(x, y Report) int {
			return cmp.Or(cmp.Compare(x.Ticket.frame.order, y.Ticket.frame.order), cmp.Compare(x.Ticket.ID, y.Ticket.ID))
		})
	} else {
		c.heardAt = n.at
		if n.corruptTail { // the good reply counts, and its connection takes no more
			c.retired = true
		}
		t := c.tickets[n.reply.ID]
		switch {
		case t == nil && c.usedID(n.reply.ID):
			delete(c.abandoned, n.reply.ID)
			c.recordReply(n.reply.ID)
			p.counters.LateReplies.Add(1)
			return nil
		case t == nil:
			// Danger: a reply under an id that was never sent here was made for a part that waits, and passing it
			// over would let that part wait until its time is up.
			c.close(fmt.Errorf("%w: the id %.40q", errBadReply, n.reply.ID))
			return nil
		}
		c.recordReply(t.ID)
		result := [...]balance.Result{Succeeded: balance.Fulfilled, Failed: balance.Errored, Rejected: balance.Full}
		reports = append(reports, Report{Ticket: t, Result: result[n.reply.Outcome], Value: n.reply.Value, At: n.at})
	}
	for _, r := range reports {
		p.endTicket(r.Ticket)
	}
	return reports
}

// resultOnClose is how a ticket ends whose connection went down. What broke before its frame's last byte was written never
// ran. An answer that can't be read comes from a process that is well: it may have run all that was out there, and
// nothing of that was reset.
func (t *Ticket) resultOnClose(err error) balance.Result {
	switch {
	case !t.frame.written:
		return balance.ConnectFailed
	case errors.Is(err, errBadReply):
		return balance.Errored
	}
	return balance.Reset
}

// Close ends all connections.
func (p *Pool) Close() {
	for _, l := range p.replicas {
		for _, c := range l.conns {
			c.close(nil)
		}
	}
}

// OpenConnections counts the connections that have not ended.
func (p *Pool) OpenConnections() int { return p.budget.InUse(sockets.Replicas) }
