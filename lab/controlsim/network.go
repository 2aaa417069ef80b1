package controlsim

import (
	"math/rand/v2"
	"slices"
)

// Times of the network, ns; those of transport/peer.
const (
	minLatency  = millisecond / 2
	maxLatency  = 8 * millisecond
	maxJitter   = 2 * millisecond
	dialTimeout = 300 * millisecond
	userTimeout = 2 * second // unacknowledged for so long, a connection is broken
)

type direction struct{ from, to string }

// network is what lies between the machines. A cut is of one direction, and is counted, for faults may overlap. What is sent on
// a connection into a cut is held until the cut ends or the connection breaks, as TCP would send it again. The acknowledgements
// of TCP itself pass a cut of one way, so that a connection that was open carries on in the other; opening one needs both.
type network struct {
	world          *world
	rng            *rand.Rand
	baseLatency    map[direction]int64
	cuts           map[direction]int
	refusals       map[direction]int
	extraDelay     map[string]int64 // of a machine's links
	duplicateDelay map[string]int64 // what a machine sends comes again, so much later
	connections    []*connection
}

func newNetwork(w *world, draw *rand.Rand) *network {
	return &network{world: w, rng: draw, baseLatency: map[direction]int64{}, cuts: map[direction]int{}, refusals: map[direction]int{},
		extraDelay: map[string]int64{}, duplicateDelay: map[string]int64{}}
}

// latency draws how long one message takes.
func (n *network) latency(from, to string) int64 {
	p := direction{from, to}
	base, known := n.baseLatency[p]
	if !known {
		base = randomBetween(n.rng, minLatency, maxLatency)
		n.baseLatency[p] = base
	}
	return base + randomBetween(n.rng, 0, maxJitter) + n.extraDelay[from] + n.extraDelay[to]
}

func (n *network) blocked(from, to string) bool {
	return n.cuts[direction{from, to}] > 0 || n.refusals[direction{from, to}] > 0
}

// cut begins a cut of one direction, or ends it.
func (n *network) cut(from, to string, refused, begin bool) {
	counts := n.cuts
	if refused {
		counts = n.refusals
	}
	p := direction{from, to}
	if begin {
		counts[p]++
		if refused {
			n.resetPair(from, to)
		}
		return
	}
	counts[p]--
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

// reset breaks all connections of a machine.
func (n *network) reset(name string) {
	for _, c := range slices.Clone(n.connections) {
		if c.ends[0].name == name || c.ends[1].name == name {
			c.close()
		}
	}
}

func (n *network) resetPair(a, b string) {
	for _, c := range slices.Clone(n.connections) {
		if c.ends[0].name == a && c.ends[1].name == b || c.ends[0].name == b && c.ends[1].name == a {
			c.close()
		}
	}
}

// processEnded tells the other ends that a process has ended; one that lost its power tells nobody.
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

// datagram carries something that may be lost.
func (n *network) datagram(from, to *machine, do func()) {
	n.world.scheduleAfter(n.latency(from.name, to.name), func() {
		if !n.blocked(from.name, to.name) {
			to.dispatch(to.incarnation, do)
		}
	})
}

// dial opens a connection from one process to another; done is called with nil where it cannot be opened.
func (n *network) dial(from, to *machine, accept func(*connection), done func(*connection)) {
	life := from.incarnation
	fail := func(wait int64) { n.world.scheduleAfter(wait, func() { from.dispatch(life, func() { done(nil) }) }) }
	if to == nil {
		fail(dialTimeout)
		return
	}
	round := n.latency(from.name, to.name) + n.latency(to.name, from.name)
	refused := n.refusals[direction{from.name, to.name}] > 0 || n.refusals[direction{to.name, from.name}] > 0
	switch {
	case refused:
		fail(round)
	case n.blocked(from.name, to.name) || n.blocked(to.name, from.name) || !to.powered || round > dialTimeout:
		fail(dialTimeout)
	case !to.up:
		fail(round)
	default:
		target := to.incarnation
		n.world.scheduleAfter(round, func() {
			if !from.up || from.incarnation != life {
				return
			}
			if !to.up || to.incarnation != target {
				from.dispatch(life, func() { done(nil) })
				return
			}
			c := &connection{network: n, ends: [2]*machine{from, to}, incarnations: [2]int{life, target}, alive: [2]bool{true, true}}
			n.connections = append(n.connections, c)
			to.dispatch(target, func() { accept(c) })
			from.dispatch(life, func() { done(c) })
		})
	}
}

// connection carries messages in their order between two processes; side 0 has opened it.
type connection struct {
	network      *network
	ends         [2]*machine
	incarnations [2]int
	alive        [2]bool // this end has not closed
	lastArrival  [2]int64
	held         [2][]any // what this end has sent and a cut holds up
	onMessage    [2]func(any)
	onClosed     [2]func()
	unhandled    [2][]any // came before anybody received
}

// send sends from a side.
func (c *connection) send(side int, message any) {
	if !c.alive[side] {
		return
	}
	n := c.network
	from, to := c.ends[side], c.ends[1-side]
	at := max(c.lastArrival[side]+1, n.world.now+n.latency(from.name, to.name))
	c.lastArrival[side] = at
	n.world.scheduleAt(at, func() { c.arrive(side, message) })
	if late := n.duplicateDelay[from.name]; late > 0 {
		n.world.scheduleAt(at+late, func() { c.arrive(side, message) })
	}
}

// arrive brings a message to the other end, or holds it where the way is cut or the other machine is off.
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

// setHandlers has a side take messages, and hear of the end.
func (c *connection) setHandlers(side int, receive func(any), closed func()) {
	c.onMessage[side], c.onClosed[side] = receive, closed
	early := c.unhandled[side]
	c.unhandled[side] = nil
	for _, message := range early {
		receive(message)
	}
}

// breakIfHeld breaks the connection at a sender whose messages nobody has acknowledged.
func (c *connection) breakIfHeld(side int) {
	if len(c.held[side]) > 0 {
		c.held[side] = nil
		c.endAt(side)
	}
}

// release sends on what a cut held up.
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

// endAt has one end hear that the connection is over.
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

// closeFrom ends the connection from one side; the other hears of it where the way is open.
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

// close breaks both ends.
func (c *connection) close() {
	c.held = [2][]any{}
	c.endAt(0)
	c.endAt(1)
	c.remove()
}

func (c *connection) remove() {
	c.network.connections = slices.DeleteFunc(c.network.connections, func(o *connection) bool { return o == c })
}
