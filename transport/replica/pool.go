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

// Ticket is one execution in progress; the pool fills in the unexported fields. A ticket ends exactly once:
// either the pool reports it, or its owner abandons or withdraws it.
type Ticket struct {
	Part
	Payload any // request data for a transport of another kind, nil for none
	// NewConnection reports whether a connection was opened for the ticket, and ConnectedAt when its connection
	// was open, ns, 0 before that. Transports of another kind set them.
	NewConnection bool
	ConnectedAt   atomic.Int64
	conn          *connection
	frame         *frame
	sentAt        int64
}

// Report states how and when a ticket ended.
type Report struct {
	Ticket *Ticket
	Result balance.Result
	Value  string
	At     int64 // time of the end, ns
}

// Pool opens, shares and closes the connections to all replicas. Its methods may only be called by the
// goroutine that owns it, which also passes the connections' events to Handle.
type Pool struct {
	Config
	replicas []*destination
	notify   func(Event)
	budget   *sockets.Budget
	counters *counters.Counters
}

// Config holds the deployment's settings for connections. Times are in ns.
type Config struct {
	MaxCalls       int
	ConnectTimeout int64
	IdleTimeout    int64
	Now            func() int64
	Dial           Dial
}

// Dial opens a connection within the deadline of ctx.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// destination holds the address of one replica and the connections to it.
type destination struct {
	address string
	conns   []*connection
}

// NewPool returns a pool whose connections pass their events to notify, from their own goroutines.
func NewPool(config Config, notify func(Event), budget *sockets.Budget, counters *counters.Counters) *Pool {
	return &Pool{Config: config, notify: notify, budget: budget, counters: counters}
}

// SetAddress sets the address of a replica for new connections.
func (p *Pool) SetAddress(replica int, address string) {
	for len(p.replicas) <= replica {
		p.replicas = append(p.replicas, &destination{})
	}
	if d := p.replicas[replica]; d.address != address {
		d.address = address
		p.Retire(replica)
	}
}

// Retire retires all connections to a replica. Calls in progress still get their replies.
func (p *Pool) Retire(replica int) {
	p.replicas[replica].retire(func(*connection) bool { return true })
}

// Drained reports whether no call to a replica is in progress and no connection to it is left.
func (p *Pool) Drained(replica int) bool { return len(p.replicas[replica].conns) == 0 }

// Send sends tickets to a replica as one call. It returns false if no connection may be opened for them.
func (p *Pool) Send(replica int, tickets []*Ticket) bool {
	d, now := p.replicas[replica], p.Now()
	c := p.chooseConnection(d, tickets, now)
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

// chooseConnection returns a connection that takes another call, or opens one.
//
// Danger: a machine that has vanished sends nothing, and its open connections accept data without an effect. So
// a connection takes no more parts after one was abandoned on it with nothing received since it was sent. A
// connection that has been idle for almost as long as the replica keeps it could be reset with the next part.
// And an id that was abandoned on a connection must not be used there again, where its late reply may come.
func (p *Pool) chooseConnection(d *destination, tickets []*Ticket, now int64) *connection {
	p.retireIdle(d, now)
	for _, c := range d.conns {
		if c.retired || c.openCalls >= p.MaxCalls {
			continue
		}
		if !slices.ContainsFunc(tickets, func(t *Ticket) bool { return c.usedID(t.ID) }) {
			return c
		}
	}
	if !p.budget.Acquire(sockets.Replicas) {
		for replica := range p.replicas { // closing them takes some time, so only later calls can use their descriptors
			p.CloseIdle(replica)
		}
		return nil
	}
	c := newConnection(p, d, now)
	d.conns = append(d.conns, c)
	p.counters.ConnectionsOpened.Add(1)
	go c.run(d.address)
	return c
}

// retireIdle retires connections before the replica closes them as idle.
func (p *Pool) retireIdle(d *destination, now int64) {
	d.retire(func(c *connection) bool {
		return c.openCalls == 0 && now-c.idleSince >= p.IdleTimeout-p.IdleTimeout/idleMarginDivisor
	})
}

// Sweep retires the connections to all replicas that have been idle for almost as long as replicas keep them.
func (p *Pool) Sweep() {
	for _, d := range p.replicas {
		p.retireIdle(d, p.Now())
	}
}

// CloseIdle closes the connections to a replica that carry no call.
func (p *Pool) CloseIdle(replica int) {
	p.replicas[replica].retire(func(c *connection) bool { return c.openCalls == 0 })
}

// retire retires the connections for which the function returns true. They close after their last call.
func (d *destination) retire(selects func(*connection) bool) {
	for _, c := range d.conns {
		c.retired = c.retired || selects(c)
	}
	d.closeDrained()
}

// closeDrained closes the retired connections without a call. Their end is reported by an event.
func (d *destination) closeDrained() {
	d.conns = slices.DeleteFunc(d.conns, func(c *connection) bool {
		closes := c.retired && c.openCalls == 0
		if closes {
			c.cancel(nil)
		}
		return closes
	})
}

// Withdraw takes back a ticket whose part was not sent yet; the pool won't report it. The other parts of its
// call are still sent.
func (p *Pool) Withdraw(t *Ticket) bool {
	unsent := t.conn.queue.remove(t.frame, t.ID)
	if unsent {
		p.endTicket(t)
	}
	return unsent
}

// Abandon ends the wait for a ticket, which the pool then won't report. With notifyReplica the replica is
// notified that the part is abandoned. It returns true if the part was withdrawn before it was sent.
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

// endTicket removes a ticket from its connection.
func (p *Pool) endTicket(t *Ticket) {
	c := t.conn
	delete(c.tickets, t.ID)
	if t.frame.openTickets--; t.frame.openTickets == 0 {
		c.openCalls--
		c.idleSince = p.Now()
	}
	c.destination.closeDrained()
}

// Handle handles an event of a connection and returns the tickets that it ended.
func (p *Pool) Handle(event Event) (reports []Report) {
	c := event.conn
	if event.closed {
		p.budget.Release(sockets.Replicas)
		p.counters.ConnectionsClosed.Add(1)
		if !event.wasOpen && event.Err != nil {
			p.counters.ConnectionsFailed.Add(1)
		}
		c.retired = true
		c.destination.closeDrained()
		if errors.Is(event.Err, errBadReply) {
			p.counters.InvalidReplies.Add(1)
		}
		for _, t := range c.tickets {
			reports = append(reports, Report{Ticket: t, Result: t.resultOnClose(event.Err), At: event.at})
		}
		// The order of a map is random; the reports need the order of the sends.
		slices.SortFunc(reports, func(x, y Report) int {
			return cmp.Or(cmp.Compare(x.Ticket.frame.order, y.Ticket.frame.order), cmp.Compare(x.Ticket.ID, y.Ticket.ID))
		})
	} else {
		c.heardAt = event.at
		if event.corruptTail { // the reply is valid, but the connection is not used again
			c.retired = true
		}
		t := c.tickets[event.reply.ID]
		switch {
		case t == nil && c.usedID(event.reply.ID):
			delete(c.abandoned, event.reply.ID)
			c.recordReply(event.reply.ID)
			p.counters.LateReplies.Add(1)
			return nil
		case t == nil:
			// Danger: a reply with an id that was never sent here belongs to a part that is waited for. Ignoring it
			// would delay that part until its timeout.
			c.closeWith(fmt.Errorf("%w: the id %.40q", errBadReply, event.reply.ID))
			return nil
		}
		c.recordReply(t.ID)
		result := [...]balance.Result{Succeeded: balance.Fulfilled, Failed: balance.Errored, Rejected: balance.Full}
		reports = append(reports, Report{Ticket: t, Result: result[event.reply.Outcome], Value: event.reply.Value, At: event.at})
	}
	for _, r := range reports {
		p.endTicket(r.Ticket)
	}
	return reports
}

// resultOnClose returns the result of a ticket whose connection has closed. A part was never executed if its
// frame was not written to the last byte. After an answer that cannot be decoded the process still runs: it may
// have executed all parts on that connection, and the connection was not reset.
func (t *Ticket) resultOnClose(err error) balance.Result {
	switch {
	case !t.frame.written:
		return balance.ConnectFailed
	case errors.Is(err, errBadReply):
		return balance.Errored
	}
	return balance.Reset
}

// Close closes all connections, also those with calls in progress.
func (p *Pool) Close() {
	for _, d := range p.replicas {
		for _, c := range d.conns {
			c.closeWith(nil)
		}
	}
}

// OpenConnections returns the number of connections that have not ended.
func (p *Pool) OpenConnections() int { return p.budget.InUse(sockets.Replicas) }
