package modelcheck

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/decide/register"
)

// Event kinds.
const (
	eventOp uint8 = iota + 1
	eventDeliver
	eventTick
	eventAsk
	eventSync
	eventCrash
	eventWipe
)

// told is the kind of the news that a value stands, as controllers tell each other beside the register.
const told register.Kind = 99

// event is one step from a state to the next.
type event struct {
	kind uint8
	of   uint32 // the operation, the message's number, or the machine
}

// sailor makes steps; each worker has its own.
type sailor struct {
	*chart
	key []byte
	ids map[string]uint32 // of messages met
}

func (c *chart) sailor() *sailor { return &sailor{chart: c, ids: map[string]uint32{}} }

// message is the number of one.
func (s *sailor) message(from, to, life int, m register.Message) uint32 {
	s.key = m.Key(append(s.key[:0], byte(from), byte(to), byte(life)))
	id, ok := s.ids[string(s.key)]
	if !ok {
		key := string(s.key)
		id = s.words.id(key, func() *word { return &word{from, to, life, m, xxhash.Sum64String(key)} })
		s.ids[key] = id
	}
	return id
}

// next calls visit with each event that may come next and the state that it leads to. An error tells that a
// promise is broken there.
func (s *sailor) next(w *world, visit func(event, *world, error) bool) {
	for i := range s.Ops {
		o := &s.Ops[i]
		m := w.machines[s.number[o.At]]
		ready := m.op == 0 && !m.proposer.Busy()
		if o.Kind == Swap { // only who is whole becomes a member
			ready = ready && w.machines[s.number[o.In]].disk.CaughtUp
		}
		if w.begun&(1<<i) == 0 && ready && !s.do(w, event{eventOp, uint32(i)}, visit) {
			return
		}
	}
	for _, id := range w.sent {
		if !s.do(w, event{eventDeliver, id}, visit) {
			return
		}
	}
	for i, m := range w.machines {
		if m.proposer.Busy() && m.rounds < s.Rounds && !s.do(w, event{eventTick, uint32(i)}, visit) {
			return
		}
		if m.joiner != nil && !s.do(w, event{eventAsk, uint32(i)}, visit) {
			return
		}
		if len(m.held) > 0 && !s.do(w, event{eventSync, uint32(i)}, visit) {
			return
		}
		if w.crashes < s.Crashes && !s.do(w, event{eventCrash, uint32(i)}, visit) {
			return
		}
		if w.wipes < s.Wipes && s.wholeMembers(w) && i < len(s.Members) && !s.do(w, event{eventWipe, uint32(i)}, visit) {
			return
		}
	}
}

// wholeMembers tells whether every member's disk counts: as many as the budget allows may be lost at a time.
func (s *sailor) wholeMembers(w *world) bool {
	return !slices.ContainsFunc(w.machines[:len(s.Members)], func(m *machine) bool { return !m.whole })
}

// turn is a state in the making: machines are copied as they change.
type turn struct {
	*sailor
	w       *world
	changed []bool
	err     error
}

func (s *sailor) do(from *world, e event, visit func(event, *world, error) bool) bool {
	w := *from
	w.machines = slices.Clone(from.machines)
	t := &turn{s, &w, make([]bool, len(w.machines)), nil}
	switch e.kind {
	case eventOp:
		t.begin(int(e.of))
	case eventDeliver:
		t.deliver(s.words.get(e.of))
	case eventTick:
		i := int(e.of)
		m := t.machine(i)
		t.carry(i, m.proposer.Tick(m.proposer.Due()))
	case eventAsk:
		i := int(e.of)
		m := t.w.machines[i]
		for _, to := range m.joiner.Others(s.names) {
			t.send(i, s.number[to], m.joiner.Ask())
		}
	case eventSync:
		t.sync(int(e.of))
	case eventCrash:
		w.crashes++
		i := int(e.of)
		t.rise(t.machine(i), s.names[i])
	case eventWipe:
		w.wipes++
		i := int(e.of)
		m := t.machine(i)
		m.saved, m.whole = register.State{}, false
		t.rise(m, s.names[i])
	}
	t.sink()
	moved := t.w.sentHash != from.sentHash || w.begun != from.begun
	for i, c := range t.changed {
		if c {
			s.key = w.machines[i].rehash(s.key)
			moved = moved || w.machines[i].hash != from.machines[i].hash
		}
	}
	if t.err == nil && moved {
		t.err = t.lasts()
	}
	if !moved && t.err == nil {
		return true
	}
	return visit(e, &w, t.err)
}

// machine is one that may be changed from here on.
func (t *turn) machine(i int) *machine {
	if !t.changed[i] {
		m := *t.w.machines[i]
		m.proposer = m.proposer.Copy()
		if m.joiner != nil {
			m.joiner = m.joiner.Copy()
		}
		m.held = slices.Clone(m.held)
		t.w.machines[i], t.changed[i] = &m, true
	}
	return t.w.machines[i]
}

func (t *turn) begin(op int) {
	o := t.Ops[op]
	i := t.number[o.At]
	m := t.machine(i)
	t.w.begun |= 1 << op
	m.op, m.floor = op+1, t.w.floor
	_, out := m.proposer.Edit(0, edit(o))
	t.carry(i, out)
}

// edit is an operation as the register knows it.
func edit(o Op) register.Edit {
	return func(v register.Value) (register.Value, bool) {
		switch {
		case o.Kind == Put && o.Revision > v.Revision:
			v.Revision, v.Body = o.Revision, []byte(o.Body)
			return v, true
		case o.Kind == Swap && len(v.Prior) == 0 && !slices.Contains(v.Members, o.In) && (o.Out == "" || slices.Contains(v.Members, o.Out)):
			members := append(slices.DeleteFunc(slices.Clone(v.Members), func(m string) bool { return m == o.Out }), o.In)
			slices.Sort(members)
			v.Epoch, v.Prior, v.Members = v.Epoch+1, v.Members, members
			return v, true
		}
		return v, false
	}
}

func (t *turn) send(from, to int, m register.Message) {
	life := 0
	if m.Kind > register.Query && !t.Late {
		life = t.w.machines[to].life
	}
	t.emit(t.message(from, to, life, m))
}

// emit puts a message among those that were sent; what a machine tells itself does not travel.
func (t *turn) emit(id uint32) {
	if p := t.words.get(id); p.from == p.to {
		t.deliver(p)
		return
	}
	at, found := slices.BinarySearch(t.w.sent, id)
	if found {
		return
	}
	t.w.sent = slices.Insert(slices.Clone(t.w.sent), at, id)
	t.w.sentHash += t.words.get(id).hash
}

// sink takes away what may still come and would do nothing: answers that nobody awaits, and questions that
// change no disk and whose answers nobody awaits.
func (t *turn) sink() {
	w := t.w
	kept := w.sent[:0:0]
	for i, id := range w.sent {
		p := t.words.get(id)
		if t.matters(p) {
			if kept != nil {
				kept = append(kept, id)
			}
			continue
		}
		if kept == nil {
			kept = make([]uint32, 0, len(w.sent))
			kept = append(kept, w.sent[:i]...)
		}
		w.sentHash -= p.hash
	}
	if kept != nil {
		w.sent = kept
	}
}

func (t *turn) matters(p *word) bool {
	m, from := t.w.machines[p.to], t.names[p.from]
	if p.m.Kind == told {
		return m.proposer.Learns(p.m.Value)
	}
	if p.m.Kind > register.Query {
		return p.life == 0 && t.Late || p.life == m.life && (m.proposer.Awaits(from, p.m) || m.joiner != nil && m.joiner.Awaits(from, p.m))
	}
	asker := t.w.machines[p.from]
	if asker.proposer.Asks(p.m) || asker.joiner != nil && asker.joiner.Ask().Ballot == p.m.Ballot {
		return true
	}
	switch p.m.Kind {
	case register.Prepare:
		return !m.disk.CaughtUp || p.m.Ballot.Compare(m.disk.Promised) > 0
	case register.Accept:
		return !m.disk.CaughtUp || p.m.Ballot.Compare(m.disk.Promised) >= 0 && p.m.Ballot != m.disk.Accepted
	}
	return false
}

// deliver hands a message over. An answer to a former life is lost with it, unless the scope says otherwise.
func (t *turn) deliver(p *word) {
	if p.life > 0 && p.life != t.w.machines[p.to].life {
		return
	}
	if p.m.Kind == told {
		t.machine(p.to).proposer.Know(p.m.Value)
		return
	}
	if p.m.Kind <= register.Query {
		t.ask(p.from, p.to, p.m)
		return
	}
	m := t.machine(p.to)
	if m.joiner != nil {
		if state, done := m.joiner.Take(t.names[p.from], p.m); done {
			m.disk, m.joiner = register.Disk{State: state, CaughtUp: true}, nil
			m.proposer.Know(state.Value)
			m.proposer.Seen(state.Promised)
			if !t.Lazy {
				m.saved, m.whole = m.disk.State, true
			}
		}
	}
	t.carry(p.to, m.proposer.Step(0, t.names[p.from], p.m))
}

// ask puts a question to a disk; its answer waits for the sync that covers it.
func (t *turn) ask(from, to int, q register.Message) {
	m := t.machine(to)
	if q.Kind != register.Query {
		m.proposer.Seen(q.Ballot)
	}
	answer, _, ok := m.disk.Step(q)
	if !ok {
		return
	}
	m.proposer.Hold(m.disk.State)
	clean := m.whole && same(m.saved, m.disk.State)
	if t.Lazy && !clean && !t.Hasty {
		life := 0
		if !t.Late {
			life = t.w.machines[from].life
		}
		id := t.message(to, from, life, answer)
		if !slices.Contains(m.held, id) {
			m.held = append(m.held, id)
			slices.Sort(m.held)
		}
		return
	}
	if !t.Lazy {
		m.saved, m.whole = m.disk.State, true
	}
	t.send(to, from, answer)
	if t.Hasty && !clean { // the sync comes some time
		m.held = []uint32{t.message(to, from, 0, answer)}
	}
}

func same(a, b register.State) bool { return a.Promised == b.Promised && a.Accepted == b.Accepted }

// sync ends a save: what it covers is on the platter, and the answers leave.
func (t *turn) sync(i int) {
	m := t.machine(i)
	m.saved, m.whole = m.disk.State, m.disk.CaughtUp
	held := m.held
	m.held = nil
	for _, id := range held {
		t.emit(id)
	}
}

// carry does what a proposer asks for, and checks what it says stands.
func (t *turn) carry(i int, out register.Out) {
	m := t.machine(i)
	if b := out.Send.Ballot; len(out.To) > 0 && out.Send.Kind != register.Accept && b != m.last {
		m.rounds, m.last = m.rounds+1, b
	}
	for _, d := range out.Done {
		m.op = 0
		t.stands(d.Value, m.floor)
		for to := range t.w.machines {
			if to != i && d.Value.Epoch > 0 {
				t.emit(t.message(i, to, 0, register.Message{Kind: told, Value: d.Value}))
			}
		}
	}
	for _, to := range out.To {
		t.send(i, t.number[to], out.Send)
	}
}

// stands takes in that a value was acknowledged or read.
func (t *turn) stands(v register.Value, floor uint64) {
	body := slices.Index(t.bodies, string(v.Body))
	if was, ok := t.w.stood[v.Revision]; ok && was != body {
		t.err = fmt.Errorf("revision %d stands with %q and with %q", v.Revision, t.bodies[was], v.Body)
		return
	} else if !ok {
		t.w.stood = maps.Clone(t.w.stood)
		t.w.stood[v.Revision] = body
	}
	if v.Revision < floor {
		t.err = fmt.Errorf("revision %d was acknowledged before an operation began that found %d standing", floor, v.Revision)
	}
	t.w.floor = max(t.w.floor, v.Revision)
}

// lasts tells whether what was acknowledged outlives the loss of all power: no majority of disks that count
// may be without it. Which disks of the others are lost with the power is all the same then: those left make
// up a majority, or nothing is told.
func (t *turn) lasts() error {
	if t.w.floor == 0 {
		return nil
	}
	for set := 1; set < 1<<len(t.w.machines); set++ {
		best, all := register.State{}, true
		for i, m := range t.w.machines {
			if set&(1<<i) == 0 {
				continue
			}
			if all = all && m.whole; m.saved.Accepted.Compare(best.Accepted) > 0 || len(best.Value.Members) == 0 {
				best = m.saved
			}
		}
		if all && best.Value.Revision < t.w.floor && best.Value.Quorum(func(name string) bool { return set&(1<<t.number[name]) != 0 }) {
			return fmt.Errorf("revision %d was acknowledged, and a majority is left that holds no more than %d", t.w.floor, best.Value.Revision)
		}
	}
	return nil
}

// tell says what an event is.
func (c *chart) tell(e event) string {
	switch e.kind {
	case eventOp:
		o := c.Ops[e.of]
		switch o.Kind {
		case Put:
			return fmt.Sprintf("%s is sent revision %d with %q", o.At, o.Revision, o.Body)
		case Read:
			return fmt.Sprintf("%s is asked for what stands", o.At)
		}
		return fmt.Sprintf("%s takes %s in for %q", o.At, o.In, o.Out)
	case eventDeliver:
		p := c.words.get(e.of)
		return fmt.Sprintf("%s hears from %s: %s", c.names[p.to], c.names[p.from], Describe(p.m))
	}
	return c.names[e.of] + map[uint8]string{eventTick: ": its timer fires", eventAsk: " asks to be whole again",
		eventSync: ": its disk has synced", eventCrash: " loses power and is back", eventWipe: " loses power and its disk, and is back"}[e.kind]
}

var kinds = map[register.Kind]string{register.Prepare: "prepare", register.Accept: "accept", register.Query: "query",
	register.Promised: "promised", register.Accepted: "accepted", register.Refused: "refused", register.Holds: "holds", told: "what stands"}

// Describe says a message in a few words.
func Describe(m register.Message) string {
	text := fmt.Sprintf("%s %d %s", kinds[m.Kind], m.Ballot.N, m.Ballot.By)
	v := m.Value
	if m.Kind == register.Promised || m.Kind == register.Holds {
		v = m.State.Value
		text += fmt.Sprintf(", accepted under %d %s", m.State.Accepted.N, m.State.Accepted.By)
	}
	if m.Kind == told || m.Kind == register.Accept || m.Kind == register.Promised || m.Kind == register.Holds {
		text += fmt.Sprintf(", revision %d %q, members %v", v.Revision, v.Body, v.Members)
		if len(v.Prior) > 0 {
			text += fmt.Sprintf(" after %v", v.Prior)
		}
	}
	return text
}
