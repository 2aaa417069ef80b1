// Package modelcheck explores every order of events of small registers: which message comes when, twice or never,
// when a timer fires, when power goes and a disk is emptied. The true proposers, disks and joiners of
// decide/register are played, unchanged; after each step the register's promises are checked. It reads no
// clock and does no I/O.
//
// Decides: which event may come next, which states are alike, and when what a register promised is broken.
package modelcheck

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"willowsill/decide/register"
)

// Kind of an operation.
type Kind uint8

// The operations: an operator's write, an operator's read, and the duty of changing the members.
const (
	Put Kind = iota
	Read
	Swap
)

// Op is one operation, carried out once at most, at any moment, by the machine At. Its caller hears nothing
// where that machine loses power first.
type Op struct {
	At       string
	Kind     Kind
	Revision uint64 // of a Put
	Body     string // of a Put
	Out, In  string // of a Swap: members; an empty Out adds In
}

// Scope is what is explored: a small system, what is asked of it and what may happen to it.
type Scope struct {
	Name    string
	Members []string // at the first start, with disks that hold that
	Spare   []string // machines that come with empty disks, and join
	Ops     []Op
	Crashes int  // losses of power of one machine each, which is up again at once: for how long it is down shows in what reaches it late
	Wipes   int  // the same with the disk lost; never a second one before the first has caught up
	Rounds  int  // questions or ballots that one life of a proposer may begin
	Lazy    bool // a disk's sync is a step of its own; else it comes with what it covers
	Late    bool // answers to a former life of a machine reach the next one
	Hasty   bool // a mutant: answers leave before the sync that covers them
}

// words gives every message a number, so that a set of messages is a short list. Each worker remembers the
// numbers that it has met.
type words struct {
	mu  sync.Mutex
	ids map[string]uint32
	all atomic.Pointer[[]*word]
}

type word struct {
	from, to int
	life     int // of the receiver that an answer is for, 0 for any
	m        register.Message
	hash     uint64
}

func newWords() *words {
	w := &words{ids: map[string]uint32{}}
	w.all.Store(&[]*word{})
	return w
}

func (w *words) id(key string, make func() *word) uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, ok := w.ids[key]
	if !ok {
		all := *w.all.Load()
		id = uint32(len(all))
		w.ids[key] = id
		all = append(all, make())
		w.all.Store(&all)
	}
	return id
}

func (w *words) get(id uint32) *word { return (*w.all.Load())[id] }

// machine is one controller. It is never changed in place.
type machine struct {
	disk     register.Disk  // as its process knows it
	saved    register.State // as the platter holds it
	whole    bool           // and whether that counts
	held     []uint32       // answers that wait for the next sync
	proposer *register.Proposer
	joiner   *register.Joiner
	life     int
	rounds   int // questions and ballots that its proposer began in this life
	last     register.Ballot
	op       int    // that runs, + 1
	floor    uint64 // the highest revision acknowledged anywhere as that op began
	hash     uint64
}

// world is one state of all. It is never changed in place.
type world struct {
	machines []*machine
	sent     []uint32 // every message ever sent, in order of their numbers: each may come at any time, or again
	sentHash uint64
	begun    uint32 // operations, a bit each
	crashes  int
	wipes    int
	floor    uint64         // the highest revision known to stand
	stood    map[uint64]int // by revision: the number of the body that stood
}

// chart is one exploration's fixed part.
type chart struct {
	Scope
	names  []string
	number map[string]int
	words  *words
	bodies []string
}

func newChart(s Scope) *chart {
	c := &chart{Scope: s, names: slices.Concat(s.Members, s.Spare), number: map[string]int{},
		words: newWords(), bodies: []string{""}}
	for i, n := range c.names {
		c.number[n] = i
	}
	for _, o := range s.Ops {
		if !slices.Contains(c.bodies, o.Body) {
			c.bodies = append(c.bodies, o.Body)
		}
	}
	return c
}

func half() float64 { return 0.5 }

func (c *chart) life(name string, n int) string { return fmt.Sprint(name, "/", n) }

// first is the state that all begins with.
func (c *chart) first() *world {
	w := &world{stood: map[uint64]int{}}
	for i, n := range c.names {
		m := &machine{whole: i < len(c.Members)}
		if m.whole {
			m.saved = register.State{Value: register.Value{Members: c.Members}}
		}
		c.rise(m, n)
		w.machines = append(w.machines, m)
	}
	return w
}

// rise starts a process with what the platter holds.
func (c *chart) rise(m *machine, name string) {
	m.life++
	own := c.life(name, m.life)
	m.disk, m.held, m.joiner, m.op, m.rounds, m.last = register.Disk{State: m.saved, CaughtUp: m.whole}, nil, nil, 0, 0, register.Ballot{}
	known := register.Value{Members: c.Members}
	if m.whole {
		known = m.saved.Value
	} else {
		m.joiner = register.NewJoiner(name, own)
	}
	m.proposer = register.NewProposer(own, known, half)
	m.proposer.Seen(m.saved.Promised)
	m.proposer.Hold(m.saved)
}

func (m *machine) rehash(key []byte) []byte {
	key = m.saved.Key(m.disk.State.Key(key[:0]))
	key = append(key, byte(m.life), byte(m.rounds), byte(m.op), byte(m.floor))
	for _, is := range []bool{m.whole, m.disk.CaughtUp, m.joiner != nil} {
		if is {
			key = append(key, 1)
		} else {
			key = append(key, 0)
		}
	}
	for _, h := range m.held {
		key = append(key, byte(h), byte(h>>8), byte(h>>16))
	}
	key = m.proposer.Key(key)
	if m.joiner != nil {
		key = m.joiner.Key(key)
	}
	m.hash = xxhash.Sum64(key)
	return key
}

// key tells states apart, but for one chance in 2^64 a pair.
func (w *world) key() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	put := func(v uint64) {
		for i := range b {
			b[i] = byte(v >> (8 * i))
		}
		d.Write(b[:])
	}
	for _, m := range w.machines {
		put(m.hash)
	}
	put(w.sentHash)
	put(uint64(w.begun) | uint64(w.crashes)<<32 | uint64(w.wipes)<<40 | w.floor<<48)
	for r := uint64(0); r <= w.floor; r++ {
		if body, ok := w.stood[r]; ok {
			put(r<<32 | uint64(body))
		}
	}
	return max(d.Sum64(), 1)
}
