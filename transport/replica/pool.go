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
	Load any // what its query has for a carrier of another kind, nil for none
	// Fresh tells that a connection was opened for it, Connected when its connection was up, ns, 0 before. Carriers of another
	// kind set them.
	Fresh     bool
	Connected atomic.Int64
	conn      *connection
	frame     *frame
	since     int64
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
	Terms
	replicas []*line
	tell     func(Notice)
	budget   *sockets.Budget
	count    *counters.Counters
}

// Terms are what the deployment states of connections, in ns.
type Terms struct {
	Streams       int
	ConnectWithin int64
	IdleAfter     int64
	Now           func() int64
	Dial          Dial
}

// Dial opens a connection, and keeps to the time it may take.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// line is all that is kept of one replica.
type line struct {
	dial  string
	conns []*connection
}

// NewPool makes a pool that hands what its connections have to tell to tell, from their goroutines.
func NewPool(t Terms, tell func(Notice), budget *sockets.Budget, count *counters.Counters) *Pool {
	return &Pool{Terms: t, tell: tell, budget: budget, count: count}
}

// SetAddress tells where a replica listens from now on.
func (p *Pool) SetAddress(replica int, dial string) {
	for len(p.replicas) <= replica {
		p.replicas = append(p.replicas, &line{})
	}
	if l := p.replicas[replica]; l.dial != dial {
		l.dial = dial
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
	c := p.choose(l, tickets, now)
	if c == nil {
		return false
	}
	f := &frame{left: len(tickets)}
	for _, t := range tickets {
		f.parts = append(f.parts, t.Part)
		t.conn, t.frame, t.since = c, f, now
		c.out[t.ID] = t
	}
	c.calls++
	c.queue.push(f)
	return true
}

// choose returns a connection with room, or a new one.
//
// Danger: a vanished machine says nothing, and its open connections swallow all that is written to them. One
// on which a part was given up with nothing heard since its send takes no more parts. One that has stood idle
// for almost as long as the replica keeps it would reset the next part. And an id that was given up on a
// connection must not meet its own late reply there.
func (p *Pool) choose(l *line, tickets []*Ticket, now int64) *connection {
	p.retireIdle(l, now)
	for _, c := range l.conns {
		if c.retired || c.calls >= p.Streams {
			continue
		}
		if !slices.ContainsFunc(tickets, func(t *Ticket) bool { return c.knows(t.ID) }) {
			return c
		}
	}
	if !p.budget.Take(sockets.Replicas) {
		for replica := range p.replicas { // for the calls to come: a connection ends in its own time
			p.CloseIdle(replica)
		}
		return nil
	}
	c := newConnection(p, l, now)
	l.conns = append(l.conns, c)
	p.count.ConnectionsOpened.Add(1)
	go c.run(l.dial)
	return c
}

// retireIdle takes connections out of use before the replica closes them as idle.
func (p *Pool) retireIdle(l *line, now int64) {
	l.retire(func(c *connection) bool {
		return c.calls == 0 && now-c.idleSince >= p.IdleAfter-p.IdleAfter/idleMargin
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
	p.replicas[replica].retire(func(c *connection) bool { return c.calls == 0 })
}

// retire takes some connections out of use; they end with their last call.
func (l *line) retire(which func(*connection) bool) {
	for _, c := range l.conns {
		c.retired = c.retired || which(c)
	}
	l.tidy()
}

// tidy closes what is retired and carries nothing; the connection's end comes as a notice.
func (l *line) tidy() {
	l.conns = slices.DeleteFunc(l.conns, func(c *connection) bool {
		ends := c.retired && c.calls == 0
		if ends {
			c.shut(nil)
		}
		return ends
	})
}

// Withdraw takes a ticket back whose part has not left yet; the pool will not report it from then on. What
// shares its call still goes.
func (p *Pool) Withdraw(t *Ticket) bool {
	unsent := t.conn.queue.drop(t.frame, t.ID)
	if unsent {
		p.done(t)
	}
	return unsent
}

// Abandon ends the wait for a ticket, which the pool will not report from then on. With tell the replica
// hears of it. It returns true if the part never left and was withdrawn.
func (p *Pool) Abandon(t *Ticket, tell bool) (unsent bool) {
	if p.Withdraw(t) {
		return true
	}
	c := t.conn
	if tell {
		c.queue.push(&frame{gives: t.ID})
	}
	if c.heard < t.since && p.Now()-t.since >= p.ConnectWithin {
		c.retired = true
	}
	c.given[t.ID] = struct{}{}
	if len(c.given) > givenMost {
		c.retired = true
	}
	p.done(t)
	return false
}

// done takes a ticket off its connection.
func (p *Pool) done(t *Ticket) {
	c := t.conn
	delete(c.out, t.ID)
	if t.frame.left--; t.frame.left == 0 {
		c.calls--
		c.idleSince = p.Now()
	}
	c.line.tidy()
}

// Handle takes in what a connection had to tell and returns the tickets that it ended.
func (p *Pool) Handle(n Notice) (reports []Report) {
	c := n.conn
	if n.down {
		p.budget.Give(sockets.Replicas)
		p.count.ConnectionsClosed.Add(1)
		if !n.wasUp && n.Err != nil {
			p.count.ConnectionsFailed.Add(1)
		}
		c.retired = true
		c.line.tidy()
		if errors.Is(n.Err, errSpoilt) {
			p.count.SpoiltReplies.Add(1)
		}
		for _, t := range c.out {
			reports = append(reports, Report{Ticket: t, Result: t.broken(n.Err), At: n.at})
		}
		// The order of a map is chance; the module is to see that of the sends.
		slices.SortFunc(reports, func(x, y Report) int {
			return cmp.Or(cmp.Compare(x.Ticket.frame.number, y.Ticket.frame.number), cmp.Compare(x.Ticket.ID, y.Ticket.ID))
		})
	} else {
		c.heard = n.at
		if n.last { // the good reply counts, and its connection takes no more
			c.retired = true
		}
		t := c.out[n.reply.ID]
		switch {
		case t == nil && c.knows(n.reply.ID):
			delete(c.given, n.reply.ID)
			c.replied(n.reply.ID)
			p.count.LateReplies.Add(1)
			return nil
		case t == nil:
			// Danger: a reply under an id that was never sent here was made for a part that waits, and passing it
			// over would let that part wait until its time is up.
			c.end(fmt.Errorf("%w: the id %.40q", errSpoilt, n.reply.ID))
			return nil
		}
		c.replied(t.ID)
		result := [...]balance.Result{Ran: balance.Fulfilled, Failed: balance.Errored, TurnedAway: balance.Full}
		reports = append(reports, Report{Ticket: t, Result: result[n.reply.End], Value: n.reply.Value, At: n.at})
	}
	for _, r := range reports {
		p.done(r.Ticket)
	}
	return reports
}

// broken is how a ticket ends whose connection went down. What broke before its frame's last byte was written never
// ran. An answer that can't be read comes from a process that is well: it may have run all that was out there, and
// nothing of that was reset.
func (t *Ticket) broken(err error) balance.Result {
	switch {
	case !t.frame.written:
		return balance.ConnectFailed
	case errors.Is(err, errSpoilt):
		return balance.Errored
	}
	return balance.Reset
}

// Close ends all connections.
func (p *Pool) Close() {
	for _, l := range p.replicas {
		for _, c := range l.conns {
			c.end(nil)
		}
	}
}

// OpenConnections counts the connections that have not ended.
func (p *Pool) OpenConnections() int { return p.budget.Taken(sockets.Replicas) }
