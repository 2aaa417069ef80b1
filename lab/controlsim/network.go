package controlsim

import (
	"math/rand/v2"
	"slices"
)

// Times of the network, ns; those of transport/peer.
const (
	latencyLeast = millisecond / 2
	latencyMost  = 8 * millisecond
	jitterMost   = 2 * millisecond
	dialWait     = 300 * millisecond
	userTimeout  = 2 * second // unacknowledged for so long, a connection is broken
)

type pair struct{ from, to string }

// network is what lies between the machines. A cut is of one direction, and is counted, for faults may overlap. What is sent on
// a connection into a cut is held until the cut ends or the connection breaks, as TCP would send it again. The acknowledgements
// of TCP itself pass a cut of one way, so that a connection that was open carries on in the other; opening one needs both.
type network struct {
	world     *world
	draw      *rand.Rand
	base      map[pair]int64
	cuts      map[pair]int
	refusals  map[pair]int
	delay     map[string]int64 // of a machine's links
	duplicate map[string]int64 // what a machine sends comes again, so much later
	open      []*connection
}

func newNetwork(w *world, draw *rand.Rand) *network {
	return &network{world: w, draw: draw, base: map[pair]int64{}, cuts: map[pair]int{}, refusals: map[pair]int{},
		delay: map[string]int64{}, duplicate: map[string]int64{}}
}

// latency draws how long one message takes.
func (n *network) latency(from, to string) int64 {
	p := pair{from, to}
	base, known := n.base[p]
	if !known {
		base = between(n.draw, latencyLeast, latencyMost)
		n.base[p] = base
	}
	return base + between(n.draw, 0, jitterMost) + n.delay[from] + n.delay[to]
}

func (n *network) blocked(from, to string) bool {
	return n.cuts[pair{from, to}] > 0 || n.refusals[pair{from, to}] > 0
}

// cut begins a cut of one direction, or ends it.
func (n *network) cut(from, to string, refused, begin bool) {
	counts := n.cuts
	if refused {
		counts = n.refusals
	}
	p := pair{from, to}
	if begin {
		counts[p]++
		if refused {
			n.resetBetween(from, to)
		}
		return
	}
	counts[p]--
	if !n.blocked(from, to) {
		for _, c := range slices.Clone(n.open) {
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
	for _, c := range slices.Clone(n.open) {
		if c.ends[0].name == name || c.ends[1].name == name {
			c.close()
		}
	}
}

func (n *network) resetBetween(a, b string) {
	for _, c := range slices.Clone(n.open) {
		if c.ends[0].name == a && c.ends[1].name == b || c.ends[0].name == b && c.ends[1].name == a {
			c.close()
		}
	}
}

// ended tells the other ends that a process has ended; one that lost its power tells nobody.
func (n *network) ended(m *machine, silently bool) {
	for _, c := range slices.Clone(n.open) {
		for side := range c.ends {
			if c.ends[side] != m {
				continue
			}
			c.alive[side] = false
			if !silently {
				n.world.after(n.latency(m.name, c.ends[1-side].name), func() { c.endedAt(1 - side) })
			}
		}
	}
}

// datagram carries something that may be lost.
func (n *network) datagram(from, to *machine, do func()) {
	n.world.after(n.latency(from.name, to.name), func() {
		if !n.blocked(from.name, to.name) {
			to.dispatch(to.life, do)
		}
	})
}

// dial opens a connection from one process to another; done is called with nil where it cannot be opened.
func (n *network) dial(from, to *machine, accept func(*connection), done func(*connection)) {
	life := from.life
	fail := func(wait int64) { n.world.after(wait, func() { from.dispatch(life, func() { done(nil) }) }) }
	if to == nil {
		fail(dialWait)
		return
	}
	round := n.latency(from.name, to.name) + n.latency(to.name, from.name)
	refused := n.refusals[pair{from.name, to.name}] > 0 || n.refusals[pair{to.name, from.name}] > 0
	switch {
	case refused:
		fail(round)
	case n.blocked(from.name, to.name) || n.blocked(to.name, from.name) || !to.powered || round > dialWait:
		fail(dialWait)
	case !to.up:
		fail(round)
	default:
		target := to.life
		n.world.after(round, func() {
			if !from.up || from.life != life {
				return
			}
			if !to.up || to.life != target {
				from.dispatch(life, func() { done(nil) })
				return
			}
			c := &connection{network: n, ends: [2]*machine{from, to}, lives: [2]int{life, target}, alive: [2]bool{true, true}}
			n.open = append(n.open, c)
			to.dispatch(target, func() { accept(c) })
			from.dispatch(life, func() { done(c) })
		})
	}
}

// connection carries messages in their order between two processes; side 0 has opened it.
type connection struct {
	network *network
	ends    [2]*machine
	lives   [2]int
	alive   [2]bool // this end has not closed
	last    [2]int64
	held    [2][]any // what this end has sent and a cut holds up
	receive [2]func(any)
	closed  [2]func()
	early   [2][]any // came before anybody received
}

// send sends from a side.
func (c *connection) send(side int, message any) {
	if !c.alive[side] {
		return
	}
	n := c.network
	from, to := c.ends[side], c.ends[1-side]
	at := max(c.last[side]+1, n.world.now+n.latency(from.name, to.name))
	c.last[side] = at
	n.world.at(at, func() { c.arrive(side, message) })
	if late := n.duplicate[from.name]; late > 0 {
		n.world.at(at+late, func() { c.arrive(side, message) })
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
			c.network.world.after(userTimeout, func() { c.overdue(side) })
		}
		return
	}
	if !c.alive[1-side] || to.life != c.lives[1-side] {
		c.close()
		return
	}
	c.deliver(1-side, message)
}

func (c *connection) deliver(side int, message any) {
	c.ends[side].dispatch(c.lives[side], func() {
		if c.receive[side] == nil {
			c.early[side] = append(c.early[side], message)
			return
		}
		c.receive[side](message)
	})
}

// listen has a side take messages, and hear of the end.
func (c *connection) listen(side int, receive func(any), closed func()) {
	c.receive[side], c.closed[side] = receive, closed
	early := c.early[side]
	c.early[side] = nil
	for _, message := range early {
		receive(message)
	}
}

// overdue breaks the connection at a sender whose messages nobody has acknowledged.
func (c *connection) overdue(side int) {
	if len(c.held[side]) > 0 {
		c.held[side] = nil
		c.endedAt(side)
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

// endedAt has one end hear that the connection is over.
func (c *connection) endedAt(side int) {
	if !c.alive[side] {
		return
	}
	c.alive[side] = false
	if !c.alive[1-side] {
		c.forget()
	}
	if c.closed[side] != nil {
		c.ends[side].dispatch(c.lives[side], c.closed[side])
	}
}

// shut ends the connection from one side; the other hears of it where the way is open.
func (c *connection) shut(side int) {
	if !c.alive[side] {
		return
	}
	c.alive[side] = false
	c.closed[side] = nil
	if !c.alive[1-side] {
		c.forget()
		return
	}
	n := c.network
	from, to := c.ends[side].name, c.ends[1-side].name
	n.world.after(n.latency(from, to), func() {
		if !n.blocked(from, to) {
			c.endedAt(1 - side)
		}
	})
}

// close breaks both ends.
func (c *connection) close() {
	c.held = [2][]any{}
	c.endedAt(0)
	c.endedAt(1)
	c.forget()
}

func (c *connection) forget() {
	c.network.open = slices.DeleteFunc(c.network.open, func(o *connection) bool { return o == c })
}
