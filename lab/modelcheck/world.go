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

// Kind says whether an operation writes or reads the configuration, or changes the members.
type Kind uint8

// The kinds of operations. An operator asks for a Put or a Read, a controller for a ReplaceMember.
const (
	Put           Kind = iota // an operator writes a configuration
	Read                      // an operator reads the configuration
	ReplaceMember             // a member is added, or takes the place of another
)

// Op is one operation, which the machine At runs at most once, at any moment. Its caller gets no answer if that machine loses
// power first.
type Op struct {
	At       string
	Kind     Kind
	Revision uint64 // revision that a Put writes
	Body     string // configuration that a Put writes
	Out, In  string // former and new member of a ReplaceMember; an empty Out only adds In
}

// Scope is a system to explore: its machines, operations and possible faults.
type Scope struct {
	Name             string
	Members          []string // members at the first start, whose disks hold this list
	Spare            []string // machines that start with empty disks and join
	Ops              []Op
	Crashes          int                 // maximum number of power losses; machines restart at once, since late messages have the effect of a longer downtime
	Wipes            int                 // maximum number of losses of power and disk; never more machines at a time than Budget that have not caught up
	Rounds           int                 // maximum number of queries and ballots of one incarnation of a proposer
	SlowDisks        bool                // a disk's sync is an event of its own; otherwise each write is synced at once
	LateAnswers      bool                // answers to a former incarnation of a machine reach its next one
	Unformed         []string            // members whose first process ended before it had saved anything; they start with empty disks
	Unsaved          bool                // no member has saved the first list of members yet
	Lists            map[string][]string // machines that each machine is told of; nil for Members
	Budget           int                 // machines that may be lost at once; 0 stands for 1
	AnswerBeforeSync bool                // a deliberate fault for lab/modelcheck/planted: answers are sent before the sync that covers them
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
	incarnation int // incarnation of the receiver that an answer is for, 0 for any
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
	disk           register.Acceptor // the disk as the process has written it
	saved          register.State    // the synced state
	savedCaughtUp  bool              // the synced state counts for a majority
	savedKnown     []string          // the synced list of machines known to one with an empty disk
	pendingAnswers []uint32          // answers that wait for the next sync
	proposer       *register.Proposer
	joiner         *register.Joiner
	incarnation    int
	rounds         int             // queries and ballots that its proposer has started in this incarnation
	last           register.Ballot // ballot of the last of these rounds
	op             int             // 1 + index of the operation that is running, 0 for none
	floor          uint64          // the highest revision that was acknowledged when that operation began
	hash           uint64
}

// world is one state of the whole system. It is never changed in place.
type world struct {
	machines  []*machine
	sent      []uint32 // all messages sent so far, by number; each may be delivered at any time, repeatedly or never
	sentHash  uint64
	begun     uint32 // operations that have begun, a bit for each
	crashes   int
	wipes     int
	floor     uint64         // the highest revision acknowledged or read
	committed map[uint64]int // index of the body that was acknowledged or read, by revision
}

// exploration is the state that all workers of one exploration share.
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

// fixedRandom replaces the random numbers of a proposer, whose delays don't matter here.
func fixedRandom() float64 { return 0.5 }

func (x *exploration) incarnationName(name string, n int) string { return fmt.Sprint(name, "/", n) }

// first returns the initial state: the members' disks hold the first list of members, and the spare machines join.
func (x *exploration) first() *world {
	w := &world{committed: map[uint64]int{}}
	for i, n := range x.names {
		m := &machine{savedCaughtUp: i < len(x.Members) && !slices.Contains(x.Unformed, n)}
		if m.savedCaughtUp {
			m.saved = register.State{Value: register.Value{Members: x.Members}}
		}
		x.restart(m, n)
		if x.Unsaved {
			m.saved, m.savedCaughtUp = register.State{}, false
		}
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
		m.joiner = register.NewJoiner(name, own, slices.Concat(x.told(name), m.savedKnown))
	}
	m.proposer = register.NewProposer(own, known, fixedRandom)
	m.proposer.ObserveBallot(m.saved.Promised)
	m.proposer.CacheState(m.saved)
}

// told returns the machines that a machine's settings name.
func (x *exploration) told(name string) []string {
	if x.Lists != nil {
		return x.Lists[name]
	}
	return x.Members
}

// budget returns how many machines may be lost at once.
func (x *exploration) budget([]string) int { return max(x.Budget, 1) }

// rehash recomputes the machine's hash; key is a buffer for reuse.
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
	for _, known := range m.savedKnown {
		key = append(append(key, known...), 0)
	}
	if m.joiner != nil {
		key = m.joiner.Key(key)
	}
	m.hash = xxhash.Sum64(key)
	return key
}

// key returns a hash of the state, never 0. Two different states have the same hash with a probability of 2^-64.
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
