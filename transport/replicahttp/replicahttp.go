// Package replicahttp carries parts to replicas over HTTP/1.1, one at a time on each connection, and brings back
// what became of them. It decides nothing: it owns the connections, and turns what comes on them into the
// module's results.
package replicahttp

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"willowsill/balance"
	"willowsill/transport/peer"
	"willowsill/transport/replica"
)

// Names are the headers between the system and replicas.
const (
	HeaderAttempt     = "Willowsill-Attempt-Id"
	HeaderDeadline    = "Willowsill-Deadline-Ms"
	HeaderSeal        = "Willowsill-Replica-Seal"
	HeaderTarget      = "Willowsill-Target-Replica"
	HeaderLoad        = "Willowsill-Replica-Load"
	HeaderNotExecuted = "Willowsill-Not-Executed"
	HeaderReplica     = "Willowsill-Replica-Id"
)

const (
	dialTimeout       = time.Second
	writeTimeout      = 5 * time.Second
	defaultIdleLimit  = 5 * time.Second // an idle connection is used again within it, where the replica names no time
	idleMarginDivisor = 4               // of the time that it names, this part is left
	bodyMost          = 16 << 20        // bytes of an answer
)

// Request is what a query's parts are sent with; it is a query's Load. Answers are written by the loop that
// owns the pool.
type Request struct {
	Attempt string
	Head    []byte // the first line and the headers, up to those of one part
	Body    []byte
	Method  string
	Answers map[int]*Answer // by shard, the last
	Sent    bool            // something was written to a replica
}

// Answer is what a replica answered.
type Answer struct {
	Status   int
	Header   map[string][]string
	Body     []byte
	Seal     string
	Complete bool // came whole, and belongs to the request
	Replica  string
}

const (
	pending int32 = iota
	written
	withdrawn
)

// exchange is one part on its way.
type exchange struct {
	ticket *replica.Ticket
	conn   *connection
	state  atomic.Int32
}

func (e *exchange) request() *Request { return e.ticket.Payload.(*Request) }

// line is a replica.
type line struct {
	id, address string
	conns       []*connection
	inFlight    int
	retired     bool
}

// Pool owns the connections to all replicas. Its methods are for the one loop that owns it; what its
// goroutines have to tell goes through tell to Note.
type Pool struct {
	notify       func(any)
	now          func() int64
	destinations []*line
	exchanges    map[*replica.Ticket]*exchange
	openCount    int
	closing      bool

	Opened, FailedDials atomic.Int64 // connections

	// Dial opens a connection; tests have networks of their own.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewPool makes a pool.
func NewPool(notify func(any), now func() int64) *Pool {
	d := net.Dialer{Control: peer.SetUserTimeout, KeepAlive: -1}
	return &Pool{notify: notify, now: now, exchanges: map[*replica.Ticket]*exchange{}, Dial: d.DialContext}
}

// DestinationAddress is how a replica is named to Address: its id and where it listens.
func DestinationAddress(id, address string) string { return id + " " + address }

// SetAddress tells where a replica is reached from now on.
func (p *Pool) SetAddress(i int, dial string) {
	for len(p.destinations) <= i {
		p.destinations = append(p.destinations, &line{})
	}
	id, address, _ := strings.Cut(dial, " ")
	if l := p.destinations[i]; l.id != id || l.address != address {
		p.CloseIdle(i)
		p.destinations[i] = &line{id: id, address: address}
	}
	p.destinations[i].retired = false
}

// Retire takes the idle connections to a replica away; what is out there may still come.
func (p *Pool) Retire(i int) {
	if i < len(p.destinations) {
		p.destinations[i].retired = true
		p.CloseIdle(i)
	}
}

// Drained tells whether nothing is out at a replica.
func (p *Pool) Drained(i int) bool {
	return i >= len(p.destinations) || p.destinations[i].inFlight == 0
}

// Send sends a part. Each ticket is a call of its own here.
func (p *Pool) Send(i int, tickets []*replica.Ticket) bool {
	for _, t := range tickets {
		l := p.destinations[i]
		e := &exchange{ticket: t}
		p.exchanges[t] = e
		l.inFlight++
		c := p.idleConnection(l)
		if c != nil {
			t.ConnectedAt.Store(p.now())
			c.assign(e)
			go c.write(e)
			continue
		}
		c = &connection{line: l, pool: p, writeLock: make(chan struct{}, 1)}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		l.conns = append(l.conns, c)
		p.openCount++
		p.Opened.Add(1)
		t.NewConnection = true
		c.assign(e)
		go c.run(l.address, e)
	}
	return true
}

// idleConnection is the connection used last that is free, nil where there is none.
//
// Danger: a replica closes a connection that has been idle for long, and what is written to it at that moment
// may or may not have been read. One that has been idle for most of that time is not used again.
func (p *Pool) idleConnection(l *line) *connection {
	now := p.now()
	for n := len(l.conns) - 1; n >= 0; n-- {
		if c := l.conns[n]; c.free && now < c.usableUntil {
			return c
		}
	}
	return nil
}

// Withdraw takes a part back that was not written yet.
func (p *Pool) Withdraw(t *replica.Ticket) bool {
	e := p.exchanges[t]
	if e == nil || !e.state.CompareAndSwap(pending, withdrawn) {
		return false
	}
	p.release(e)
	return true
}

// Abandon ends the wait for a part: its connection is closed, by which most replicas drop it.
func (p *Pool) Abandon(t *replica.Ticket, _ bool) bool {
	if p.Withdraw(t) {
		return true
	}
	if e := p.exchanges[t]; e != nil {
		e.conn.close()
		p.release(e)
	}
	return false
}

// release forgets an exchange.
func (p *Pool) release(e *exchange) {
	if p.exchanges[e.ticket] == e {
		delete(p.exchanges, e.ticket)
		e.conn.line.inFlight--
	}
}

// CloseIdle closes the connections to a replica that carry nothing.
func (p *Pool) CloseIdle(i int) {
	if i >= len(p.destinations) {
		return
	}
	for _, c := range p.destinations[i].conns {
		if c.free {
			c.close()
		}
	}
}

// Sweep closes what has been idle for long.
func (p *Pool) Sweep() {
	now := p.now()
	for _, l := range p.destinations {
		for _, c := range l.conns {
			if c.free && now >= c.usableUntil {
				c.close()
			}
		}
	}
}

// Close closes all that is idle now, and the rest as it ends.
func (p *Pool) Close() {
	p.closing = true
	for i := range p.destinations {
		p.CloseIdle(i)
	}
}

// OpenConnections is how many connections have not ended.
func (p *Pool) OpenConnections() int { return p.openCount }

// notice is what a connection's goroutines tell: an exchange is over, or the connection is.
type notice struct {
	conn     *connection
	ended    *exchange // nil where the connection alone has ended
	result   balance.Result
	answer   *Answer
	reuseFor time.Duration // the connection may be used again for so long, 0 for not
	closed   bool
	err      error
	at       int64
}

// Handle takes what a connection had to tell.
func (p *Pool) Handle(v any) (ended []replica.Report, trouble error) {
	n := v.(notice)
	c := n.conn
	if n.ended != nil {
		if e := n.ended; p.exchanges[e.ticket] == e {
			if n.answer != nil {
				e.request().Answers[e.ticket.Shard] = n.answer
			}
			p.release(e)
			ended = append(ended, replica.Report{Ticket: e.ticket, Result: n.result, At: n.at})
		}
		if !n.closed {
			// Danger: a connection may have been closed since, by giving its exchange up or by the replica; what is
			// begun on it would fail for no reason of its own.
			c.free, c.usableUntil = n.reuseFor > 0 && !c.isClosed(), p.now()+int64(n.reuseFor)
			if !c.free || p.closing || c.line.retired {
				c.close()
			}
		}
	}
	if n.closed {
		p.openCount--
		c.free = false
		for i, o := range c.line.conns {
			if o == c {
				c.line.conns = append(c.line.conns[:i], c.line.conns[i+1:]...)
				break
			}
		}
	}
	return ended, n.err
}
