package register

import (
	"maps"
	"slices"
)

// Times of a round, ns. A round that meets another's waits a while that differs by proposer, so that one gets
// through.
const (
	ms          = 1_000_000
	resendAfter = 250 * ms // what has no answer is sent again
	restAfter   = 30 * ms  // after a refusal, times the draw and the number of refusals
	restMost    = 8        // refusals that lengthen the rest
)

// Edit is a change that waits for a round: from the value that stands to the next. It returns false where
// nothing is to change; then the value that stands is confirmed.
type Edit func(Value) (Value, bool)

// Done is what became of an edit: the value that stands now, known to be on a majority, and the ballot that
// it was taken under.
type Done struct {
	ID     uint64
	Ballot Ballot
	Value  Value
}

// Out is what a step asks for.
type Out struct {
	To   []string // the disks that Send goes to
	Send Message
	Done []Done
}

type phase uint8

const (
	idle phase = iota
	asking
	preparing
	accepting
	resting
)

type edit struct {
	id    uint64
	apply Edit
}

// Proposer carries edits through rounds, all that wait in one.
type Proposer struct {
	name     string // of this life of the process: no two lives share ballots
	held     State  // whose body is here
	known    Value  // the latest value seen; its members are asked first
	draw     func() float64
	phase    phase
	ballot   Ballot
	highest  uint64           // ballot number seen
	asked    Ballot           // the question that binds nobody: its number, in this life
	answers  map[string]State // of this round
	accepted map[string]bool
	next     Value    // that is being written
	stood    Ballot   // of a change of members known to stand
	admits   []string // machines that the edits of this round make members, to be asked as well
	waited   bool     // a resend has passed since those were asked
	running  []edit
	waiting  []edit
	refused  int
	due      int64 // when to send again, or to begin again
	ids      uint64
}

// NewProposer makes one that begins with a value it knows of, at least its members. draw gives numbers from 0
// up to 1.
//
// Danger: a process that starts again may have forgotten ballots that others promised it. Were one used twice
// for two values, both could be taken. So name is new in each life.
func NewProposer(name string, known Value, draw func() float64) *Proposer {
	return &Proposer{name: name, known: known, draw: draw}
}

// Know tells of a value seen elsewhere: what a disk holds or a peer announced. Its members are asked from
// then on.
func (p *Proposer) Know(v Value) {
	if p.Learns(v) {
		p.known = v
	}
}

// Learns tells whether Know would say anything new.
//
// Danger: a proposer on an emptied disk knows no members. Where they have never changed their epoch is 0, and were the
// epoch alone compared, it would know none for ever and carry no edit.
func (p *Proposer) Learns(v Value) bool {
	return v.Epoch > p.known.Epoch || len(p.known.Members) == 0 && len(v.Members) > 0
}

// Hold tells of a state held here, so that its body need not come again.
func (p *Proposer) Hold(s State) {
	if s.Accepted.Compare(p.held.Accepted) > 0 && p.phase == idle {
		p.held = s
	}
}

// Seen tells of a ballot, so that the next is above it.
func (p *Proposer) Seen(b Ballot) { p.highest = max(p.highest, b.N) }

// Busy tells whether an edit waits or runs.
func (p *Proposer) Busy() bool { return p.phase != idle }

// Edit takes one in and returns its number.
func (p *Proposer) Edit(now int64, e Edit) (uint64, Out) {
	p.ids++
	p.waiting = append(p.waiting, edit{p.ids, e})
	id := p.ids
	if p.phase == idle {
		return id, p.begin(now)
	}
	return id, Out{}
}

// Cancel withdraws an edit whose caller has stopped waiting, unless its value is being written already: then it may
// be committed, and nobody can tell.
//
// Danger: a proposer that is cut off would keep edits for as long as that lasts, and write them over all that was
// changed meanwhile.
func (p *Proposer) Cancel(id uint64) {
	is := func(e edit) bool { return e.id == id }
	p.waiting = slices.DeleteFunc(p.waiting, is)
	if p.phase == accepting {
		return
	}
	p.running = slices.DeleteFunc(p.running, is)
	if len(p.running)+len(p.waiting) == 0 && len(p.next.Prior) == 0 {
		p.phase, p.refused = idle, 0
	}
}

// begin starts with a question that binds nobody: mostly the value stands already, and nothing changes it.
func (p *Proposer) begin(now int64) Out {
	p.running, p.waiting = append(p.running, p.waiting...), nil
	if len(p.running) == 0 || len(p.known.Members) == 0 {
		if p.phase = idle; len(p.running) > 0 {
			p.phase, p.due = resting, now+resendAfter
		}
		return Out{}
	}
	// Danger: an answer to a former life of this process may still come. Its question had the same number, and what
	// it tells may be older than what was acknowledged since.
	p.asked = Ballot{p.asked.N + 1, p.name}
	p.phase, p.answers, p.due = asking, map[string]State{}, now+resendAfter
	return Out{To: p.known.Disks(), Send: p.question()}
}

// prepare starts the round proper.
func (p *Proposer) prepare(now int64) Out {
	p.highest++
	p.ballot = Ballot{p.highest, p.name}
	p.phase, p.answers, p.due = preparing, map[string]State{}, now+resendAfter
	p.waited = false
	return Out{To: p.asks(), Send: p.question()}
}

// asks are the disks that a round proper asks.
func (p *Proposer) asks() []string {
	all := slices.Concat(p.known.Disks(), p.admits)
	slices.Sort(all)
	return slices.Compact(all)
}

// admitted tells whether the machines that a change makes members have promised in this round.
//
// It guards against a machine that was whole when it was last heard of and has lost its disk since: made a
// member, it would be one that answers nothing, and several such leave no majority that ever answers.
func (p *Proposer) admitted(before, after Value) bool {
	for _, m := range added(before, after) {
		if _, ok := p.answers[m]; !ok {
			return false
		}
	}
	return true
}

// added are the machines that a change makes members.
func added(before, after Value) []string {
	return slices.DeleteFunc(slices.Clone(after.Members), func(m string) bool { return slices.Contains(before.Members, m) })
}

// question is what disks are asked in this phase.
func (p *Proposer) question() Message {
	if p.phase == asking {
		return Message{Kind: Query, Ballot: p.asked, Have: p.held.Accepted}
	}
	return Message{Kind: Prepare, Ballot: p.ballot, Have: p.held.Accepted}
}

// Step takes an answer of a disk.
func (p *Proposer) Step(now int64, from string, m Message) Out {
	p.Seen(m.State.Promised)
	p.Seen(m.State.Accepted)
	if m.Same {
		if m.State.Accepted != p.held.Accepted {
			return Out{} // an answer to a question of before
		}
		m.State.Value.Body, m.State.Value.Orders = p.held.Value.Body, p.held.Value.Orders
	}
	switch {
	case m.Kind == Holds && p.phase == asking && m.Ballot == p.asked:
		p.answers[from] = m.State
		return p.told(now)
	case m.Kind == Promised && p.phase == preparing && m.Ballot == p.ballot:
		p.answers[from] = m.State
		return p.promised(now)
	case m.Kind == Accepted && p.phase == accepting && m.Ballot == p.ballot:
		p.accepted[from] = true
		return p.written(now)
	case m.Kind == Refused && (p.phase == preparing || p.phase == accepting) && m.Ballot == p.ballot:
		p.refused++
		p.phase = resting
		p.due = now + int64((0.5+p.draw())*float64(restAfter*int64(min(p.refused, restMost))))
	}
	return Out{}
}

// top is the value accepted under the highest ballot, and whether the disks that answered suffice for its
// members.
//
// Danger: the members that were asked may not be those that the value names; a majority of the ones alone
// would miss what the others hold. More are asked until they meet.
func (p *Proposer) top() (best State, enough bool, more Out) {
	best = highest(p.answers)
	in := func(m string) bool { _, ok := p.answers[m]; return ok }
	// A value without prior members follows the one with them, and one of a later epoch all before: where it
	// came about at all, its members are the ones to ask.
	if v := best.Value; v.Epoch > p.known.Epoch || v.Epoch == p.known.Epoch && len(v.Prior) < len(p.known.Prior) ||
		v.Epoch == p.known.Epoch && len(v.Prior) > 0 && len(p.known.Prior) == 0 && !slices.Equal(v.Members, p.known.Members) {
		p.known = v
		more.To = slices.DeleteFunc(v.Disks(), in)
	}
	return best, p.known.Quorum(in) && (best.Value.Epoch < p.known.Epoch || best.Value.Quorum(in)), more
}

// highest is the state accepted under the highest ballot.
func highest(states map[string]State) (best State) {
	for _, s := range states {
		if s.Accepted.Compare(best.Accepted) > 0 || len(best.Value.Members) == 0 {
			best = s
		}
	}
	return best
}

func (p *Proposer) told(now int64) Out {
	best, enough, more := p.top()
	if !enough {
		if len(more.To) > 0 {
			more.Send = p.question()
		}
		return more
	}
	changes := len(best.Value.Prior) > 0
	p.admits = nil
	for _, e := range p.running {
		next, changed := e.apply(best.Value)
		changes = changes || changed
		if changed {
			p.admits = append(p.admits, added(best.Value, next)...)
		}
	}
	stands := best.Value.Quorum(p.holding(best.Accepted))
	if !changes && stands {
		p.held = State{Accepted: best.Accepted, Value: best.Value}
		return p.finish(now, best.Value)
	}
	if !changes {
		// The rest of the answers may yet show that it stands; the resend goes on to a round.
		if len(p.answers) < len(p.known.Disks()) {
			return Out{}
		}
	}
	return p.prepare(now)
}

// holding tells of a disk whether it answered that it holds what was accepted under b.
func (p *Proposer) holding(b Ballot) func(string) bool {
	return func(m string) bool { s, ok := p.answers[m]; return ok && s.Accepted == b }
}

func (p *Proposer) promised(now int64) Out {
	best, enough, more := p.top()
	if !enough {
		if len(more.To) > 0 {
			more.Send = p.question()
		}
		return more
	}
	if slices.ContainsFunc(p.admits, func(m string) bool { _, ok := p.answers[m]; return !ok }) && !p.waited {
		return more
	}
	// What is known to stand with its prior members needs them no longer: the change of members is over. That it
	// stands is known where a quorum of both holds it; else it is written once more as it is, and the next round
	// drops them.
	v := best.Value
	if len(v.Prior) > 0 && (best.Accepted == p.stood || v.Quorum(p.holding(best.Accepted))) {
		v.Prior = nil
	}
	if len(v.Prior) == 0 {
		for _, e := range p.running {
			if next, changed := e.apply(v); changed && p.admitted(v, next) {
				v = next
			}
		}
	}
	p.next, p.phase, p.accepted, p.due = v, accepting, map[string]bool{}, now+resendAfter
	return Out{To: p.targets(best.Value), Send: Message{Kind: Accept, Ballot: p.ballot, Value: v}}
}

// targets are the disks that a write must reach: of the value read and of the value written.
func (p *Proposer) targets(read Value) []string {
	all := slices.Concat(read.Disks(), p.next.Disks())
	slices.Sort(all)
	return slices.Compact(all)
}

func (p *Proposer) written(now int64) Out {
	in := func(m string) bool { return p.accepted[m] }
	if !p.next.Quorum(in) || !p.read().Quorum(in) {
		return Out{}
	}
	p.known, p.held = p.next, State{Accepted: p.ballot, Value: p.next}
	if len(p.next.Prior) > 0 { // the members' change stands now; one more round lets the old ones go
		p.refused, p.stood, p.admits = 0, p.ballot, nil
		return p.prepare(now)
	}
	return p.finish(now, p.next)
}

// read is the value that the round found.
func (p *Proposer) read() Value { return highest(p.answers).Value }

func (p *Proposer) finish(now int64, v Value) Out {
	out := Out{}
	for _, e := range p.running {
		out.Done = append(out.Done, Done{e.id, p.held.Accepted, v})
	}
	p.running, p.refused, p.phase, p.admits = nil, 0, idle, nil
	p.known = v
	if len(p.waiting) > 0 {
		more := p.begin(now)
		out.To, out.Send = more.To, more.Send
	}
	return out
}

// Tick sends again what has no answer, and begins again after a rest.
func (p *Proposer) Tick(now int64) Out {
	if p.phase == idle || now < p.due {
		return Out{}
	}
	missing := func(in func(string) bool, all []string) []string { return slices.DeleteFunc(slices.Clone(all), in) }
	has := func(m string) bool { _, ok := p.answers[m]; return ok }
	p.due = now + resendAfter
	switch p.phase {
	case asking, preparing:
		if p.phase == asking {
			if _, enough, _ := p.top(); enough {
				return p.prepare(now)
			}
			return Out{To: missing(has, p.known.Disks()), Send: p.question()}
		}
		p.waited = true
		if _, enough, _ := p.top(); enough {
			return p.promised(now)
		}
		return Out{To: missing(has, p.asks()), Send: p.question()}
	case accepting:
		return Out{To: missing(func(m string) bool { return p.accepted[m] }, p.targets(p.read())),
			Send: Message{Kind: Accept, Ballot: p.ballot, Value: p.next}}
	}
	return p.begin(now)
}

// Due is when Tick wants to be called, 0 for never.
func (p *Proposer) Due() int64 {
	if p.phase == idle {
		return 0
	}
	return p.due
}

// Joiner brings a disk that came back empty, or is new, to where it counts. It asks the others as a round
// does: what they promise it, no older round can undo any more.
//
// Danger: states that were merely looked at may have moved on since; a value that the empty disk took before
// it was emptied, and that a late message completes afterwards, would stand on one disk too few.
type Joiner struct {
	self    string
	ballot  Ballot
	answers map[string]State
}

// NewJoiner makes one. name is that of this life of the process, as for a proposer.
func NewJoiner(self, name string) *Joiner {
	return &Joiner{self, Ballot{1, name}, map[string]State{}}
}

// Ask is what the others are asked.
func (j *Joiner) Ask() Message { return Message{Kind: Prepare, Ballot: j.ballot} }

// Take takes an answer in. done tells that a majority of the others has promised; the state is then to be
// saved, and the disk is whole once it is.
func (j *Joiner) Take(from string, m Message) (state State, done bool) {
	switch {
	case m.Kind == Refused && m.State.Promised.N >= j.ballot.N:
		j.ballot.N, j.answers = m.State.Promised.N+1, map[string]State{}
		return State{}, false
	case m.Kind != Promised || m.Ballot != j.ballot || from == j.self:
		return State{}, false
	}
	j.answers[from] = m.State
	best := highest(j.answers)
	in := func(m string) bool { _, ok := j.answers[m]; return ok }
	best.Promised = j.ballot
	return best, best.Value.Quorum(in)
}

// Others are the disks to ask besides those given.
func (j *Joiner) Others(known []string) []string {
	all := map[string]bool{}
	for _, k := range known {
		all[k] = true
	}
	for _, s := range j.answers {
		for _, m := range s.Value.Disks() {
			all[m] = true
		}
	}
	delete(all, j.self)
	return slices.Sorted(maps.Keys(all))
}
