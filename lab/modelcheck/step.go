package modelcheck

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/decide/register"
)

// The kinds of events. The kind says whether event.subject is an operation, a message or a machine.
const (
	eventOp      uint8 = iota + 1 // an operation begins
	eventDeliver                  // a message is delivered
	eventTick                     // a proposer's timer fires
	eventJoin                     // a joiner asks the other machines again
	eventSync                     // a disk has synced
	eventCrash                    // a machine loses power and restarts
	eventWipe                     // a machine loses power and its disk, and restarts
)

// committedNotice is the kind of the messages with which controllers notify each other of committed values. They are not part of
// the register's own messages.
const committedNotice register.Kind = 99

// maxJoinerBallot is the highest number of a ballot under which a joiner asks. Joiners that refuse each other could go on without end.
const maxJoinerBallot = 6

// event is a transition from one state to the next.
type event struct {
	kind    uint8
	subject uint32 // the index of the operation, the number of the message, or the index of the machine
}

// worker computes the successors of a state. Each goroutine of an exploration has its own.
type worker struct {
	*exploration
	key []byte
	ids map[string]uint32 // numbers of the messages that this worker has met, by their keys
}

func (x *exploration) newWorker() *worker { return &worker{exploration: x, ids: map[string]uint32{}} }

// message returns the number of a message; equal messages have the same number.
func (s *worker) message(from, to, incarnation int, m register.Message) uint32 {
	s.key = m.Key(append(s.key[:0], byte(from), byte(to), byte(incarnation)))
	id, ok := s.ids[string(s.key)]
	if !ok {
		key := string(s.key)
		id = s.messages.number(key, func() *message { return &message{from, to, incarnation, m, xxhash.Sum64String(key)} })
		s.ids[key] = id
	}
	return id
}

// next calls visit with each event that may come next and the state that it leads to, until visit returns false. An
// error says which invariant is broken there.
func (s *worker) next(w *world, visit func(event, *world, error) bool) {
	for i := range s.Ops {
		o := &s.Ops[i]
		m := w.machines[s.number[o.At]]
		ready := m.op == 0 && !m.proposer.Busy()
		if o.Kind == ReplaceMember { // only a machine whose disk has caught up becomes a member
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
		if m.joiner != nil && m.joiner.Request().Ballot.Number <= maxJoinerBallot && !s.do(w, event{eventJoin, uint32(i)}, visit) {
			return
		}
		if (len(m.pendingAnswers) > 0 || m.disk.CaughtUp && !m.savedCaughtUp) && !s.do(w, event{eventSync, uint32(i)}, visit) {
			return
		}
		if w.crashes < s.Crashes && !s.do(w, event{eventCrash, uint32(i)}, visit) {
			return
		}
		if w.wipes < s.Wipes && s.mayLoseDisk(w) && i < len(s.Members) && !s.do(w, event{eventWipe, uint32(i)}, visit) {
			return
		}
	}
}

// mayLoseDisk reports whether another disk may be lost: those of the members that do not count for a majority are lost as well.
func (s *worker) mayLoseDisk(w *world) bool {
	lost := 0
	for _, m := range w.machines[:len(s.Members)] {
		if !m.savedCaughtUp {
			lost++
		}
	}
	return lost < s.budget(s.Members)
}

// transition builds the state after an event. Machines are copied when they change.
type transition struct {
	*worker
	w       *world
	changed []bool
	err     error
}

// do builds the state after an event, checks it, and calls visit unless the event changed nothing.
func (s *worker) do(from *world, e event, visit func(event, *world, error) bool) bool {
	w := *from
	w.machines = slices.Clone(from.machines)
	t := &transition{s, &w, make([]bool, len(w.machines)), nil}
	switch e.kind {
	case eventOp:
		t.begin(int(e.subject))
	case eventDeliver:
		t.deliver(s.messages.get(e.subject))
	case eventTick:
		i := int(e.subject)
		m := t.machine(i)
		t.carryOut(i, m.proposer.Tick(m.proposer.Due()))
	case eventJoin:
		i := int(e.subject)
		m := t.w.machines[i]
		others := s.names
		if s.Lists != nil {
			others = nil
		}
		for _, to := range m.joiner.Targets(others) {
			t.send(i, s.number[to], m.joiner.Request())
		}
	case eventSync:
		t.sync(int(e.subject))
	case eventCrash:
		w.crashes++
		i := int(e.subject)
		t.restart(t.machine(i), s.names[i])
	case eventWipe:
		w.wipes++
		i := int(e.subject)
		m := t.machine(i)
		m.saved, m.savedCaughtUp, m.savedKnown = register.State{}, false, nil
		t.restart(m, s.names[i])
	}
	t.dropIrrelevant()
	moved := t.w.sentHash != from.sentHash || w.begun != from.begun
	for i, changed := range t.changed {
		if changed {
			s.key = w.machines[i].rehash(s.key)
			moved = moved || w.machines[i].hash != from.machines[i].hash
		}
	}
	if t.err == nil && moved {
		t.err = t.checkDurable()
	}
	if !moved && t.err == nil {
		return true
	}
	return visit(e, &w, t.err)
}

// machine returns a machine of the new state that may be changed.
func (t *transition) machine(i int) *machine {
	if !t.changed[i] {
		m := *t.w.machines[i]
		m.proposer = m.proposer.Copy()
		if m.joiner != nil {
			m.joiner = m.joiner.Copy()
		}
		m.pendingAnswers = slices.Clone(m.pendingAnswers)
		t.w.machines[i], t.changed[i] = &m, true
	}
	return t.w.machines[i]
}

func (t *transition) begin(op int) {
	o := t.Ops[op]
	i := t.number[o.At]
	m := t.machine(i)
	t.w.begun |= 1 << op
	m.op, m.floor = op+1, t.w.floor
	_, out := m.proposer.Edit(0, edit(o))
	t.carryOut(i, out)
}

// edit returns an operation in the register's form.
func edit(o Op) register.Edit {
	return func(v register.Value) (register.Value, bool) {
		switch {
		case o.Kind == Put && o.Revision > v.Revision:
			v.Revision, v.Body = o.Revision, []byte(o.Body)
			return v, true
		case o.Kind == ReplaceMember && len(v.Prior) == 0 && !slices.Contains(v.Members, o.In) && (o.Out == "" || slices.Contains(v.Members, o.Out)):
			members := append(slices.DeleteFunc(slices.Clone(v.Members), func(m string) bool { return m == o.Out }), o.In)
			slices.Sort(members)
			v.Epoch, v.Prior, v.Members = v.Epoch+1, v.Members, members
			return v, true
		}
		return v, false
	}
}

func (t *transition) send(from, to int, m register.Message) {
	incarnation := 0
	if m.Kind > register.Query && !t.LateAnswers {
		incarnation = t.w.machines[to].incarnation
	}
	t.emit(t.message(from, to, incarnation, m))
}

// emit adds a message to those that were sent. A message of a machine to itself is delivered at once.
func (t *transition) emit(id uint32) {
	if p := t.messages.get(id); p.from == p.to {
		t.deliver(p)
		return
	}
	at, found := slices.BinarySearch(t.w.sent, id)
	if found {
		return
	}
	t.w.sent = slices.Insert(slices.Clone(t.w.sent), at, id)
	t.w.sentHash += t.messages.get(id).hash
}

// dropIrrelevant removes sent messages whose delivery would change nothing: answers that nobody waits for, and
// requests that change no disk and whose answers nobody waits for. It keeps the number of states small.
func (t *transition) dropIrrelevant() {
	w := t.w
	kept := w.sent[:0:0]
	for i, id := range w.sent {
		p := t.messages.get(id)
		if t.isRelevant(p) {
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

func (t *transition) isRelevant(p *message) bool {
	m, from := t.w.machines[p.to], t.names[p.from]
	if p.m.Kind == committedNotice {
		return m.proposer.WouldLearn(p.m.Value)
	}
	if p.m.Kind > register.Query {
		return p.incarnation == 0 && t.LateAnswers || p.incarnation == m.incarnation && (m.proposer.Awaits(from, p.m) || m.joiner != nil && m.joiner.Awaits(from, p.m))
	}
	asker := t.w.machines[p.from]
	if asker.proposer.IsOutstanding(p.m) || asker.joiner != nil && asker.joiner.Request().Ballot == p.m.Ballot {
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

// deliver delivers a message. An answer to a former incarnation of the receiver is dropped, unless the scope says otherwise.
func (t *transition) deliver(p *message) {
	if p.incarnation > 0 && p.incarnation != t.w.machines[p.to].incarnation {
		return
	}
	if p.m.Kind == committedNotice {
		t.machine(p.to).proposer.Learn(p.m.Value)
		return
	}
	if p.m.Kind <= register.Query {
		t.handleRequest(p.from, p.to, p.m)
		return
	}
	m := t.machine(p.to)
	if m.joiner != nil {
		state, done := m.joiner.HandleAnswer(t.names[p.from], p.m)
		if !done {
			state, done = m.joiner.Form(t.budget, true)
		}
		if done {
			m.disk, m.joiner = register.Acceptor{State: state, CaughtUp: true}, nil
			m.proposer.Learn(state.Value)
			m.proposer.ObserveBallot(state.Promised)
			if !t.SlowDisks {
				m.saved, m.savedCaughtUp = m.disk.State, true
			}
		}
	}
	t.carryOut(p.to, m.proposer.Step(0, t.names[p.from], p.m))
}

// handleRequest hands a request to a disk. The answer waits for the sync that covers it.
func (t *transition) handleRequest(from, to int, q register.Message) {
	m := t.machine(to)
	if q.Kind != register.Query {
		m.proposer.ObserveBallot(q.Ballot)
	}
	if m.joiner != nil {
		if answer, ok := m.joiner.HandleRequest(t.names[from], q); ok {
			t.answerWhenSaved(from, to, answer, slices.Equal(m.savedKnown, m.joiner.Known()))
			return
		}
	}
	answer, _, ok := m.disk.Step(q)
	if !ok {
		return
	}
	m.proposer.CacheState(m.disk.State)
	t.answerWhenSaved(from, to, answer, m.savedCaughtUp && sameBallots(m.saved, m.disk.State))
}

// answerWhenSaved sends an answer of a disk. It waits for the sync that covers it, unless clean says that everything is synced.
func (t *transition) answerWhenSaved(from, to int, answer register.Message, clean bool) {
	m := t.machine(to)
	if t.SlowDisks && !clean && !t.AnswerBeforeSync {
		incarnation := 0
		if !t.LateAnswers {
			incarnation = t.w.machines[from].incarnation
		}
		id := t.message(to, from, incarnation, answer)
		if !slices.Contains(m.pendingAnswers, id) {
			m.pendingAnswers = append(m.pendingAnswers, id)
			slices.Sort(m.pendingAnswers)
		}
		return
	}
	if !t.SlowDisks {
		m.save()
	}
	t.send(to, from, answer)
	if t.AnswerBeforeSync && !clean { // the sync is still to come
		m.pendingAnswers = []uint32{t.message(to, from, 0, answer)}
	}
}

// save syncs what the process has written.
func (m *machine) save() {
	m.saved, m.savedCaughtUp = m.disk.State, m.disk.CaughtUp
	if m.joiner != nil {
		m.savedKnown = m.joiner.Known()
	}
}

func sameBallots(a, b register.State) bool {
	return a.Promised == b.Promised && a.Accepted == b.Accepted
}

// sync ends a save: the state is durable, and the answers that waited for it are sent.
func (t *transition) sync(i int) {
	m := t.machine(i)
	m.save()
	answers := m.pendingAnswers
	m.pendingAnswers = nil
	for _, id := range answers {
		t.emit(id)
	}
}

// carryOut sends a proposer's messages, and checks the values that it reports as committed.
func (t *transition) carryOut(i int, out register.Out) {
	m := t.machine(i)
	if b := out.Send.Ballot; len(out.To) > 0 && out.Send.Kind != register.Accept && b != m.last {
		m.rounds, m.last = m.rounds+1, b
	}
	for _, d := range out.Done {
		m.op = 0
		t.noteCommitted(d.Value, m.floor)
		for to := range t.w.machines {
			if to != i && d.Value.Epoch > 0 {
				t.emit(t.message(i, to, 0, register.Message{Kind: committedNotice, Value: d.Value}))
			}
		}
	}
	for _, to := range out.To {
		t.send(i, t.number[to], out.Send)
	}
}

// noteCommitted records that a value was acknowledged or read, and checks it against the values before: a revision has one
// content, and no operation returns a lower revision than was acknowledged before it began.
func (t *transition) noteCommitted(v register.Value, floor uint64) {
	body := slices.Index(t.bodies, string(v.Body))
	if was, ok := t.w.committed[v.Revision]; ok && was != body {
		t.err = fmt.Errorf("revision %d is committed with %q and with %q", v.Revision, t.bodies[was], v.Body)
		return
	} else if !ok {
		t.w.committed = maps.Clone(t.w.committed)
		t.w.committed[v.Revision] = body
	}
	if v.Revision < floor {
		t.err = fmt.Errorf("revision %d was acknowledged before an operation began that found revision %d", floor, v.Revision)
	}
	t.w.floor = max(t.w.floor, v.Revision)
}

// checkDurable checks that an acknowledged revision survives the loss of all power: no majority of disks that have caught up may
// lack it. It doesn't matter which other disks are lost with the power: the remaining ones either are a majority or answer
// nothing.
func (t *transition) checkDurable() error {
	if t.w.floor == 0 {
		return nil
	}
	for set := 1; set < 1<<len(t.w.machines); set++ {
		best, all := register.State{}, true
		for i, m := range t.w.machines {
			if set&(1<<i) == 0 {
				continue
			}
			if all = all && m.savedCaughtUp; m.saved.Accepted.Compare(best.Accepted) > 0 || len(best.Value.Members) == 0 {
				best = m.saved
			}
		}
		if all && best.Value.Revision < t.w.floor && best.Value.Quorum(func(name string) bool { return set&(1<<t.number[name]) != 0 }) {
			return fmt.Errorf("revision %d was acknowledged, but a majority holds only revision %d", t.w.floor, best.Value.Revision)
		}
	}
	return nil
}

// describe returns an event in words, for a trace.
func (x *exploration) describe(e event) string {
	switch e.kind {
	case eventOp:
		o := x.Ops[e.subject]
		switch o.Kind {
		case Put:
			return fmt.Sprintf("%s is sent revision %d with %q", o.At, o.Revision, o.Body)
		case Read:
			return fmt.Sprintf("%s gets a read", o.At)
		}
		return fmt.Sprintf("%s replaces the member %[3]q by %[2]s", o.At, o.In, o.Out)
	case eventDeliver:
		p := x.messages.get(e.subject)
		return fmt.Sprintf("%s receives from %s: %s", x.names[p.to], x.names[p.from], Describe(p.m))
	}
	return x.names[e.subject] + map[uint8]string{eventTick: ": its timer fires", eventJoin: " asks again to catch up",
		eventSync: ": its disk has synced", eventCrash: " loses power and is back", eventWipe: " loses power and its disk, and is back"}[e.kind]
}

var kinds = map[register.Kind]string{register.Prepare: "prepare", register.Accept: "accept", register.Query: "query",
	register.Promised: "promised", register.Accepted: "accepted", register.Refused: "refused", register.Reported: "holds", register.Vacant: "empty too", committedNotice: "committed value"}

// Describe returns a message in a few words, for a trace.
func Describe(m register.Message) string {
	text := fmt.Sprintf("%s %d %s", kinds[m.Kind], m.Ballot.Number, m.Ballot.Proposer)
	v := m.Value
	if m.Kind == register.Promised || m.Kind == register.Reported {
		v = m.State.Value
		text += fmt.Sprintf(", accepted under %d %s", m.State.Accepted.Number, m.State.Accepted.Proposer)
	}
	if m.Kind == committedNotice || m.Kind == register.Accept || m.Kind == register.Promised || m.Kind == register.Reported {
		text += fmt.Sprintf(", revision %d %q, members %v", v.Revision, v.Body, v.Members)
		if len(v.Prior) > 0 {
			text += fmt.Sprintf(" after %v", v.Prior)
		}
	}
	return text
}
