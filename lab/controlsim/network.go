package controlsim

import (
	"math/rand/v2"
	"slices"
)

// Times of the network, ns; the timeouts are those of transport/peer.
const (
	minLatency  = millisecond / 2
	maxLatency  = 8 * millisecond
	maxJitter   = 2 * millisecond
	dialTimeout = 300 * millisecond
	userTimeout = 2 * second // a connection breaks when data stays unacknowledged for this time
)

// direction is one direction between two machines.
type direction struct{ from, to string }

// network simulates the links between machines. Each cut blocks one direction between two machines; cuts are counted, since faults
// may overlap. Messages sent over a connection into a cut are held until the cut ends or the connection breaks, as TCP would
// retransmit them. TCP's own acknowledgements pass a cut of one direction, so an open connection still works in the other
// direction; opening a connection needs both.
type network struct {
	world          *world
	rng            *rand.Rand
	baseLatency    map[direction]int64
	cuts           map[direction]int // number of cuts that block a direction without refusing connections
	refusals       map[direction]int // number of cuts that block a direction and refuse connections
	extraDelay     map[string]int64  // extra latency of all links of a machine, ns
	duplicateDelay map[string]int64  // delay of the second copy of each message from a machine, ns
	connections    []*connection
}

func newNetwork(w *world, rng *rand.Rand) *network {
	return &network{world: w, rng: rng, baseLatency: map[direction]int64{}, cuts: map[direction]int{}, refusals: map[direction]int{},
		extraDelay: map[string]int64{}, duplicateDelay: map[string]int64{}}
}

// latency returns the random transfer time of one message: a fixed base for each direction between two machines, jitter, and the
// extra latency of both machines.
func (n *network) latency(from, to string) int64 {
	d := direction{from, to}
	base, known := n.baseLatency[d]
	if !known {
		base = randomBetween(n.rng, minLatency, maxLatency)
		n.baseLatency[d] = base
	}
	return base + randomBetween(n.rng, 0, maxJitter) + n.extraDelay[from] + n.extraDelay[to]
}

// blocked reports whether a cut blocks messages from one machine to another.
func (n *network) blocked(from, to string) bool {
	return n.cuts[direction{from, to}] > 0 || n.refusals[direction{from, to}] > 0
}

// cut begins or ends a cut of one direction. A refused cut also resets open connections, and attempts to connect fail at once.
func (n *network) cut(from, to string, refused, begin bool) {
	counts := n.cuts
	if refused {
		counts = n.refusals
	}
	d := direction{from, to}
	if begin {
		counts[d]++
		if refused {
			n.resetPair(from, to)
		}
		return
	}
	counts[d]--
	if !n.blocked(from, to) {
		for _, c := range slices.Clone(n.connections) {
			for side := range c.ends {
				if c.ends[side].name == from && c.ends[1-side].name == to {
					c.release(side)
				}
			}
		}
	}
}

// reset closes all connections of a machine.
func (n *network) reset(name string) {
	for _, c := range slices.Clone(n.connections) {
		if c.ends[0].name == name || c.ends[1].name == name {
			c.close()
		}
	}
}

// resetPair closes all connections between two machines.
func (n *network) resetPair(a, b string) {
	for _, c := range slices.Clone(n.connections) {
		if c.ends[0].name == a && c.ends[1].name == b || c.ends[0].name == b && c.ends[1].name == a {
			c.close()
		}
	}
}

// processEnded closes a machine's ends of its connections after its process has ended. The other ends notice, unless the machine
// ended silently by a loss of power.
func (n *network) processEnded(m *machine, silently bool) {
	for _, c := range slices.Clone(n.connections) {
		for side := range c.ends {
			if c.ends[side] != m {
				continue
			}
			c.alive[side] = false
			if !silently {
				n.world.scheduleAfter(n.latency(m.name, c.ends[1-side].name), func() { c.endAt(1 - side) })
			}
		}
	}
}

// datagram runs do at the receiver after the latency; it is lost if the direction is blocked by then.
func (n *network) datagram(from, to *machine, do func()) {
	n.world.scheduleAfter(n.latency(from.name, to.name), func() {
		if !n.blocked(from.name, to.name) {
			to.dispatch(to.incarnation, do)
		}
	})
}

// dial opens a connection from one process to another. It calls accept at the receiver and done at the caller, done with nil if the
// connection cannot be opened.
func (n *network) dial(from, to *machine, accept func(*connection), done func(*connection)) {
	incarnation := from.incarnation
	fail := func(wait int64) {
		n.world.scheduleAfter(wait, func() { from.dispatch(incarnation, func() { done(nil) }) })
	}
	if to == nil {
		fail(dialTimeout)
		return
	}
	roundTrip := n.latency(from.name, to.name) + n.latency(to.name, from.name)
	refused := n.refusals[direction{from.name, to.name}] > 0 || n.refusals[direction{to.name, from.name}] > 0
	switch {
	case refused:
		fail(roundTrip)
	case n.blocked(from.name, to.name) || n.blocked(to.name, from.name) || !to.powered || roundTrip > dialTimeout:
		fail(dialTimeout)
	case !to.up:
		fail(roundTrip)
	default:
		target := to.incarnation
		n.world.scheduleAfter(roundTrip, func() {
			if !from.up || from.incarnation != incarnation {
				return
			}
			if !to.up || to.incarnation != target {
				from.dispatch(incarnation, func() { done(nil) })
				return
			}
			c := &connection{network: n, ends: [2]*machine{from, to}, incarnations: [2]int{incarnation, target}, alive: [2]bool{true, true}}
			n.connections = append(n.connections, c)
			to.dispatch(target, func() { accept(c) })
			from.dispatch(incarnation, func() { done(c) })
		})
	}
}

// connection carries messages in order between two processes. Side 0 opened it.
type connection struct {
	network      *network
	ends         [2]*machine
	incarnations [2]int
	alive        [2]bool // the end of this side is open
	lastArrival  [2]int64
	held         [2][]any // messages from this side that wait for the end of a cut
	onMessage    [2]func(any)
	onClosed     [2]func()
	unhandled    [2][]any // messages that arrived before setHandlers
}

// send sends a message from one side to the other.
func (c *connection) send(side int, message any) {
	if !c.alive[side] {
		return
	}
	n := c.network
	from, to := c.ends[side], c.ends[1-side]
	at := max(c.lastArrival[side]+1, n.world.now+n.latency(from.name, to.name))
	c.lastArrival[side] = at
	n.world.scheduleAt(at, func() { c.arrive(side, message) })
	if delay := n.duplicateDelay[from.name]; delay > 0 {
		n.world.scheduleAt(at+delay, func() { c.arrive(side, message) })
	}
}

// arrive delivers a message from a side to the other one, or holds it while the direction is cut or the other machine has no power.
func (c *connection) arrive(side int, message any) {
	from, to := c.ends[side], c.ends[1-side]
	if !c.alive[0] && !c.alive[1] {
		return
	}
	off := !to.powered
	if len(c.held[side]) > 0 || c.network.blocked(from.name, to.name) || off {
		c.held[side] = append(c.held[side], message)
		if len(c.held[side]) == 1 {
			c.network.world.scheduleAfter(userTimeout, func() { c.breakIfHeld(side) })
		}
		return
	}
	if !c.alive[1-side] || to.incarnation != c.incarnations[1-side] {
		c.close()
		return
	}
	c.deliver(1-side, message)
}

func (c *connection) deliver(side int, message any) {
	c.ends[side].dispatch(c.incarnations[side], func() {
		if c.onMessage[side] == nil {
			c.unhandled[side] = append(c.unhandled[side], message)
			return
		}
		c.onMessage[side](message)
	})
}

// setHandlers sets a side's handlers for messages and for the end of the connection, and delivers what has arrived so far.
func (c *connection) setHandlers(side int, receive func(any), closed func()) {
	c.onMessage[side], c.onClosed[side] = receive, closed
	early := c.unhandled[side]
	c.unhandled[side] = nil
	for _, message := range early {
		receive(message)
	}
}

// breakIfHeld closes the sender's end of a connection if its messages are still held after userTimeout.
func (c *connection) breakIfHeld(side int) {
	if len(c.held[side]) > 0 {
		c.held[side] = nil
		c.endAt(side)
	}
}

// release sends the messages that a cut has held back.
func (c *connection) release(side int) {
	held := c.held[side]
	c.held[side] = nil
	if !c.alive[side] {
		return
	}
	for _, message := range held {
		c.send(side, message)
	}
}

// endAt closes one end and notifies its process.
func (c *connection) endAt(side int) {
	if !c.alive[side] {
		return
	}
	c.alive[side] = false
	if !c.alive[1-side] {
		c.remove()
	}
	if c.onClosed[side] != nil {
		c.ends[side].dispatch(c.incarnations[side], c.onClosed[side])
	}
}

// closeFrom closes the connection from one side; the other side notices unless the direction is blocked.
func (c *connection) closeFrom(side int) {
	if !c.alive[side] {
		return
	}
	c.alive[side] = false
	c.onClosed[side] = nil
	if !c.alive[1-side] {
		c.remove()
		return
	}
	n := c.network
	from, to := c.ends[side].name, c.ends[1-side].name
	n.world.scheduleAfter(n.latency(from, to), func() {
		if !n.blocked(from, to) {
			c.endAt(1 - side)
		}
	})
}

// close closes both ends at once.
func (c *connection) close() {
	c.held = [2][]any{}
	c.endAt(0)
	c.endAt(1)
	c.remove()
}

func (c *connection) remove() {
	c.network.connections = slices.DeleteFunc(c.network.connections, func(o *connection) bool { return o == c })
}
