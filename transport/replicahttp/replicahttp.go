// Package replicahttp sends parts to replicas over HTTP/1.1, one at a time on each connection, and reports
// their results. It owns the connections, and converts answers and failures into results of the balance
// package. It makes no decisions of its own.
package replicahttp

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"willowsill/balance"
	"willowsill/transport/boundedread"
	"willowsill/transport/peer"
	"willowsill/transport/replica"
)

// The names of the headers between the system and replicas.
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
	defaultIdleLimit  = 5 * time.Second // how long an idle connection may be reused if the replica states no time
	idleMarginDivisor = 4               // a stated idle time is reduced by 1/idleMarginDivisor
	maxBodyBytes      = 16 << 20        // largest body of an answer
	limitLogInterval  = 10 * time.Second
)

// Request holds what the parts of a query have in common; it is the Payload of their tickets. The loop that
// owns the pool writes Answers.
type Request struct {
	Attempt string
	Head    []byte // the request line and the headers that are the same for each part
	Body    []byte
	Method  string
	Answers map[int]*Answer // the last answer for each shard
	Sent    bool            // something was written to a replica

	mu       sync.Mutex // orders Release and the answers that come
	released bool
}

// keep stores the answer for a shard in place of the former one, whose memory is given back.
func (r *Request) keep(shard int, answer *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		answer.release()
		return
	}
	r.Answers[shard].release()
	r.Answers[shard] = answer
}

// Release gives back the memory of the answers, which must not be used any more. Answers that come later are not kept.
func (r *Request) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	for _, answer := range r.Answers {
		answer.release()
	}
}

// Answer is a replica's answer to one part, with what its headers state.
type Answer struct {
	Status   int
	Header   map[string][]string
	Body     []byte
	Seal     string
	Complete bool // received completely, and belongs to the request
	Replica  string

	account *boundedread.Account // where the memory of the answer is from
	held    int64                // bytes of it
}

// release gives back the memory of an answer, which may be nil.
func (a *Answer) release() {
	if a != nil {
		a.account.Release(a.held)
		a.held = 0
	}
}

// The states of an exchange: whether its request was written, or was withdrawn before that.
const (
	pending int32 = iota
	written
	withdrawn
)

// exchange is one part in progress.
type exchange struct {
	ticket *replica.Ticket
	conn   *connection
	state  atomic.Int32
}

func (e *exchange) request() *Request { return e.ticket.Payload.(*Request) }

// destination is a replica and the connections to it.
type destination struct {
	id, address string
	conns       []*connection
	inFlight    int
	retired     bool
	gate        gate
}

// Pool owns the connections to all replicas. Its methods may only be called by the loop that owns it, which
// also passes to Handle what the connections pass to notify.
type Pool struct {
	notify       func(any)
	now          func() int64
	destinations []*destination
	exchanges    map[*replica.Ticket]*exchange
	openCount    int
	closing      bool

	Opened, FailedDials atomic.Int64 // connections opened, and failed attempts to open one

	limitsPassed [len(boundedread.Limits)]atomic.Int64
	limitLog     rate.Sometimes
	clientHead   atomic.Int64 // limit of a request's head, in bytes

	// Memory is the budget for answers; nil for no limit. It must not change once parts are sent.
	Memory *boundedread.Budget

	// Dial opens a connection; tests replace it by their own network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewPool returns a pool whose connections pass their notices to notify, from their own goroutines.
func NewPool(notify func(any), now func() int64) *Pool {
	d := net.Dialer{Control: peer.PrepareOutgoing, KeepAlive: -1}
	return &Pool{notify: notify, now: now, exchanges: map[*replica.Ticket]*exchange{}, Dial: d.DialContext,
		limitLog: rate.Sometimes{Interval: limitLogInterval}}
}

// SetRequestHeadLimit sets the limit of the heads of requests, in bytes: the head of an answer may repeat fields of its request.
func (p *Pool) SetRequestHeadLimit(bytes int) { p.clientHead.Store(int64(bytes)) }

// headLimits returns what the head of an answer may have.
func (p *Pool) headLimits() boundedread.HeadLimits {
	return boundedread.HeadLimits{Bytes: ownHeadBytes + headRepeats*p.clientHead.Load(), Fields: maxHeadFields}
}

// LimitsPassed returns how many answers have passed a limit.
func (p *Pool) LimitsPassed(limit boundedread.Limit) int64 { return p.limitsPassed[limit].Load() }

// DestinationAddress returns the form in which SetAddress takes a replica: its id and its address.
func DestinationAddress(id, address string) string { return id + " " + address }

// SetAddress sets the id and the address of a replica for new connections.
func (p *Pool) SetAddress(i int, destinationAddress string) {
	for len(p.destinations) <= i {
		p.destinations = append(p.destinations, &destination{})
	}
	id, address, _ := strings.Cut(destinationAddress, " ")
	if d := p.destinations[i]; d.id != id || d.address != address {
		p.CloseIdle(i)
		p.destinations[i] = &destination{id: id, address: address}
	}
	p.destinations[i].retired = false
}

// Retire closes the idle connections to a replica. Parts in progress still get their answers.
func (p *Pool) Retire(i int) {
	if i < len(p.destinations) {
		p.destinations[i].retired = true
		p.CloseIdle(i)
	}
}

// Drained reports whether no part is in progress at a replica.
func (p *Pool) Drained(i int) bool {
	return i >= len(p.destinations) || p.destinations[i].inFlight == 0
}

// Send sends parts, each as a request on a connection of its own. It always returns true, because the pool
// doesn't limit its connections.
func (p *Pool) Send(i int, tickets []*replica.Ticket) bool {
	for _, t := range tickets {
		d := p.destinations[i]
		e := &exchange{ticket: t}
		p.exchanges[t] = e
		d.inFlight++
		c := p.idleConnection(d)
		if c != nil {
			t.ConnectedAt.Store(p.now())
			c.assign(e)
			go c.write(e)
			continue
		}
		c = &connection{destination: d, pool: p, writeLock: make(chan struct{}, 1),
			account: p.Memory.Account(strconv.Itoa(t.Shard), d.id)} // the replicas of a shard are a group
		c.ctx, c.cancel = context.WithCancel(context.Background())
		d.conns = append(d.conns, c)
		p.openCount++
		p.Opened.Add(1)
		t.NewConnection = true
		c.assign(e)
		go c.run(d.address, e)
	}
	return true
}

// idleConnection returns the most recently opened connection that is idle, nil if there is none.
//
// Danger: a replica closes a connection that has been idle for long, and what is written to it at that moment
// may or may not have been read. So a connection is not reused after most of that time.
func (p *Pool) idleConnection(d *destination) *connection {
	now := p.now()
	for n := len(d.conns) - 1; n >= 0; n-- {
		if c := d.conns[n]; c.free && now < c.usableUntil {
			return c
		}
	}
	return nil
}

// Withdraw takes back a part that was not written yet.
func (p *Pool) Withdraw(t *replica.Ticket) bool {
	e := p.exchanges[t]
	if e == nil || !e.state.CompareAndSwap(pending, withdrawn) {
		return false
	}
	if e.conn.isWaiting() {
		e.conn.close() // its turn is left to a part that is to be sent
	}
	p.release(e)
	return true
}

// Abandon ends the wait for a part and closes its connection, which makes most replicas stop its execution.
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

// release removes an exchange from the pool. Handle ignores what is reported about it afterwards.
func (p *Pool) release(e *exchange) {
	if p.exchanges[e.ticket] == e {
		delete(p.exchanges, e.ticket)
		e.conn.destination.inFlight--
	}
}

// CloseIdle closes the idle connections to a replica.
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

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := p.now()
	for _, d := range p.destinations {
		for _, c := range d.conns {
			if c.free && now >= c.usableUntil {
				c.close()
			}
		}
	}
}

// Close closes all idle connections, and the others when their exchange ends.
func (p *Pool) Close() {
	p.closing = true
	for i := range p.destinations {
		p.CloseIdle(i)
	}
}

// OpenConnections returns the number of connections that have not ended.
func (p *Pool) OpenConnections() int { return p.openCount }

// notice is what a connection reports to the pool: an exchange has ended, the connection has closed, or both.
type notice struct {
	conn     *connection
	ended    *exchange // nil if only the connection has closed
	result   balance.Result
	answer   *Answer
	reuseFor time.Duration // how long the connection may be reused, 0 for not at all
	closed   bool
	err      error
	at       int64
}

// Handle handles a notice of a connection and returns the tickets that it ended.
func (p *Pool) Handle(v any) (ended []replica.Report, connErr error) {
	n := v.(notice)
	c := n.conn
	if n.ended != nil {
		if e := n.ended; p.exchanges[e.ticket] == e {
			if n.answer != nil {
				e.request().keep(e.ticket.Shard, n.answer)
			}
			p.release(e)
			ended = append(ended, replica.Report{Ticket: e.ticket, Result: n.result, At: n.at})
		} else {
			n.answer.release()
		}
		if !n.closed {
			// Danger: the connection may have been closed meanwhile, because its exchange was abandoned or by the
			// replica. The next exchange on it would fail.
			c.free, c.usableUntil = n.reuseFor > 0 && !c.isClosed(), p.now()+int64(n.reuseFor)
			if !c.free || p.closing || c.destination.retired {
				c.close()
			}
		}
	}
	if n.closed {
		p.openCount--
		c.free = false
		for i, other := range c.destination.conns {
			if other == c {
				c.destination.conns = append(c.destination.conns[:i], c.destination.conns[i+1:]...)
				break
			}
		}
	}
	return ended, n.err
}
