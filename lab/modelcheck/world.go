// Package modelcheck is an explicit-state model checker of decide/register: it explores every order of events of small
// systems, in which messages are delayed, repeated and lost, timers fire, machines lose power and disks. It runs the
// proposers, disks and joiners of decide/register unchanged and checks the register's invariants after each event. It
// reads no clock and does no I/O.
//
// Decides: which events may come next, which states are the same, and whether an invariant is broken.
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

// The operations: an operator's write, an operator's read, and a change of the members.
const (
	Put Kind = iota
	Read
	ReplaceMember
)

// Op is one operation, carried out once at most, at any moment, by the machine At. Its caller hears nothing
// where that machine loses power first.
type Op struct {
	At       string
	Kind     Kind
	Revision uint64 // of a Put
	Body     string // of a Put
	Out, In  string // of a ReplaceMember: members; an empty Out adds In
}

// Scope is a system to explore: its machines, the operations asked of it and the faults that may happen to it.
type Scope struct {
	Name             string
	Members          []string // at the first start, with disks that hold that
	Spare            []string // machines that come with empty disks, and join
	Ops              []Op
	Crashes          int  // losses of power of one machine each, which is up again at once: for how long it is down shows in what reaches it late
	Wipes            int  // the same with the disk lost; never a second one before the first has caught up
	Rounds           int  // questions or ballots that one life of a proposer may begin
	SlowDisks        bool // a disk's sync is a step of its own; else it comes with what it covers
	LateAnswers      bool // answers to a former life of a machine reach the next one
	AnswerBeforeSync bool // a mutant: answers leave before the sync that covers them
}

// messageTable gives every message a number, so that a set of messages is a short list. It is safe for concurrent use;
// each worker remembers the numbers that it has met.
type messageTable struct {
	mu  sync.Mutex
	ids map[string]uint32
	all atomic.Pointer[[]*message]
}

type message struct {
	from, to    int
	incarnation int // of the receiver that an answer is for, 0 for any
	m           register.Message
	hash        uint64
}

func newMessageTable() *messageTable {
	w := &messageTable{ids: map[string]uint32{}}
	w.all.Store(&[]*message{})
	return w
}

func (w *messageTable) number(key string, make func() *message) uint32 {
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

func (w *messageTable) get(id uint32) *message { return (*w.all.Load())[id] }

// machine is one controller. It is never changed in place.
type machine struct {
	disk           register.Acceptor // as its process knows it
	saved          register.State    // as the disk holds it
	savedCaughtUp  bool              // whether the saved state counts for a majority
	pendingAnswers []uint32          // answers that wait for the next sync
	proposer       *register.Proposer
	joiner         *register.Joiner
	incarnation    int
	rounds         int // questions and ballots that its proposer began in this life
	last           register.Ballot
	op             int    // that runs, + 1
	floor          uint64 // the highest revision acknowledged anywhere as that op began
	hash           uint64
}

// world is one state of the whole system. It is never changed in place.
type world struct {
	machines  []*machine
	sent      []uint32 // every message ever sent, in order of their numbers: each may come at any time, or again
	sentHash  uint64
	begun     uint32 // operations, a bit each
	crashes   int
	wipes     int
	floor     uint64         // the highest revision acknowledged or read
	committed map[uint64]int // by revision: the index of the body that was acknowledged or read
}

// exploration is what all states of an exploration share.
type exploration struct {
	Scope
	names    []string
	number   map[string]int
	messages *messageTable
	bodies   []string
}

func newExploration(s Scope) *exploration {
	x := &exploration{Scope: s, names: slices.Concat(s.Members, s.Spare), number: map[string]int{},
		messages: newMessageTable(), bodies: []string{""}}
	for i, n := range x.names {
		x.number[n] = i
	}
	for _, o := range s.Ops {
		if !slices.Contains(x.bodies, o.Body) {
			x.bodies = append(x.bodies, o.Body)
		}
	}
	return x
}

func fixedRandom() float64 { return 0.5 }

func (x *exploration) incarnationName(name string, n int) string { return fmt.Sprint(name, "/", n) }

// first returns the initial state.
func (x *exploration) first() *world {
	w := &world{committed: map[uint64]int{}}
	for i, n := range x.names {
		m := &machine{savedCaughtUp: i < len(x.Members)}
		if m.savedCaughtUp {
			m.saved = register.State{Value: register.Value{Members: x.Members}}
		}
		x.restart(m, n)
		w.machines = append(w.machines, m)
	}
	return w
}

// restart starts a machine's process anew with what its disk holds.
func (x *exploration) restart(m *machine, name string) {
	m.incarnation++
	own := x.incarnationName(name, m.incarnation)
	m.disk, m.pendingAnswers, m.joiner, m.op, m.rounds, m.last = register.Acceptor{State: m.saved, CaughtUp: m.savedCaughtUp}, nil, nil, 0, 0, register.Ballot{}
	known := register.Value{Members: x.Members}
	if m.savedCaughtUp {
		known = m.saved.Value
	} else {
		m.joiner = register.NewJoiner(name, own)
	}
	m.proposer = register.NewProposer(own, known, fixedRandom)
	m.proposer.ObserveBallot(m.saved.Promised)
	m.proposer.CacheState(m.saved)
}

func (m *machine) rehash(key []byte) []byte {
	key = m.saved.Key(m.disk.State.Key(key[:0]))
	key = append(key, byte(m.incarnation), byte(m.rounds), byte(m.op), byte(m.floor))
	for _, is := range []bool{m.savedCaughtUp, m.disk.CaughtUp, m.joiner != nil} {
		if is {
			key = append(key, 1)
		} else {
			key = append(key, 0)
		}
	}
	for _, worker := range m.pendingAnswers {
		key = append(key, byte(worker), byte(worker>>8), byte(worker>>16))
	}
	key = m.proposer.Key(key)
	if m.joiner != nil {
		key = m.joiner.Key(key)
	}
	m.hash = xxhash.Sum64(key)
	return key
}

// key returns a hash of the state, never 0. Two different states share one with a probability of 2^-64.
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
		if body, ok := w.committed[r]; ok {
			put(r<<32 | uint64(body))
		}
	}
	return max(d.Sum64(), 1)
}
