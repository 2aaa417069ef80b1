package register

import (
	"maps"
	"slices"
)

// Times of a round, ns. A round that meets another's waits a while that differs by proposer, so that one gets
// through.
const (
	ms              = 1_000_000
	resendInterval  = 250 * ms // what has no answer is sent again
	backoffStep     = 30 * ms  // after a refusal, times the draw and the number of refusals
	maxBackoffSteps = 8        // refusals that lengthen the rest
)

// Edit is a change that waits for a round: from the value that stands to the next. It returns false where
// nothing is to change; then the value that stands is confirmed.
type Edit func(Value) (Value, bool)

// EditResult is what became of an edit: the value that stands now, known to be on a majority, and the ballot that
// it was taken under.
type EditResult struct {
	ID     uint64
	Ballot Ballot
	Value  Value
}

// Out is what a step asks for.
type Out struct {
	To   []string // the disks that Send goes to
	Send Message
	Done []EditResult
}

type phase uint8

const (
	idle phase = iota
	querying
	preparing
	accepting
	backingOff
)

type pendingEdit struct {
	id    uint64
	apply Edit
}

// Proposer carries edits through rounds, all that wait in one.
type Proposer struct {
	name              string // of this life of the process: no two lives share ballots
	heldState         State  // whose body is here
	newestKnown       Value  // the latest value seen; its members are asked first
	random            func() float64
	phase             phase
	ballot            Ballot
	highestNumber     uint64           // ballot number seen
	queryBallot       Ballot           // the question that binds nobody: its number, in this life
	answers           map[string]State // of this round
	accepted          map[string]bool
	next              Value    // that is being written
	membersCommitted  Ballot   // of a change of members known to stand
	newMembers        []string // machines that the edits of this round make members, to be asked as well
	newMembersOverdue bool     // a resend has passed since those were asked
	running           []pendingEdit
	waiting           []pendingEdit
	refusals          int
	due               int64 // when to send again, or to begin again
	lastEditID        uint64
}

// NewProposer makes one that begins with a value it knows of, at least its members. draw gives numbers from 0
// up to 1.
//
// Danger: a process that starts again may have forgotten ballots that others promised it. Were one used twice
// for two values, both could be taken. So name is new in each life.
func NewProposer(name string, known Value, random func() float64) *Proposer {
	return &Proposer{name: name, newestKnown: known, random: random}
}

// Learn tells of a value seen elsewhere: what a disk holds or a peer announced. Its members are asked from
// then on.
func (p *Proposer) Learn(v Value) {
	if p.WouldLearn(v) {
		p.newestKnown = v
	}
}

// WouldLearn tells whether Know would say anything new.
//
// Danger: a proposer on an emptied disk knows no members. Where they have never changed their epoch is 0, and were the
// epoch alone compared, it would know none for ever and carry no edit.
func (p *Proposer) WouldLearn(v Value) bool {
	return v.Epoch > p.newestKnown.Epoch || len(p.newestKnown.Members) == 0 && len(v.Members) > 0
}

// CacheState tells of a state held here, so that its body need not come again.
func (p *Proposer) CacheState(s State) {
	if s.Accepted.Compare(p.heldState.Accepted) > 0 && p.phase == idle {
		p.heldState = s
	}
}

// ObserveBallot tells of a ballot, so that the next is above it.
func (p *Proposer) ObserveBallot(b Ballot) { p.highestNumber = max(p.highestNumber, b.Number) }

// Busy tells whether an edit waits or runs.
func (p *Proposer) Busy() bool { return p.phase != idle }

// Edit takes one in and returns its number.
func (p *Proposer) Edit(now int64, e Edit) (uint64, Out) {
	p.lastEditID++
	p.waiting = append(p.waiting, pendingEdit{p.lastEditID, e})
	id := p.lastEditID
	if p.phase == idle {
		return id, p.startQuery(now)
	}
	return id, Out{}
}

// Cancel withdraws an edit whose caller has stopped waiting, unless its value is being written already: then it may
// be committed, and nobody can tell.
//
// Danger: a proposer that is cut off would keep edits for as long as that lasts, and write them over all that was
// changed meanwhile.
func (p *Proposer) Cancel(id uint64) {
	is := func(e pendingEdit) bool { return e.id == id }
	p.waiting = slices.DeleteFunc(p.waiting, is)
	if p.phase == accepting {
		return
	}
	p.running = slices.DeleteFunc(p.running, is)
	if len(p.running)+len(p.waiting) == 0 && len(p.next.Prior) == 0 {
		p.phase, p.refusals = idle, 0
	}
}

// startQuery starts with a question that binds nobody: mostly the value stands already, and nothing changes it.
func (p *Proposer) startQuery(now int64) Out {
	p.running, p.waiting = append(p.running, p.waiting...), nil
	if len(p.running) == 0 || len(p.newestKnown.Members) == 0 {
		if p.phase = idle; len(p.running) > 0 {
			p.phase, p.due = backingOff, now+resendInterval
		}
		return Out{}
	}
	// Danger: an answer to a former life of this process may still come. Its question had the same number, and what
	// it tells may be older than what was acknowledged since.
	p.queryBallot = Ballot{p.queryBallot.Number + 1, p.name}
	p.phase, p.answers, p.due = querying, map[string]State{}, now+resendInterval
	return Out{To: p.newestKnown.AllMembers(), Send: p.request()}
}

// startPrepare starts the round proper.
func (p *Proposer) startPrepare(now int64) Out {
	p.highestNumber++
	p.ballot = Ballot{p.highestNumber, p.name}
	p.phase, p.answers, p.due = preparing, map[string]State{}, now+resendInterval
	p.newMembersOverdue = false
	return Out{To: p.prepareTargets(), Send: p.request()}
}

// prepareTargets are the disks that a round proper asks.
func (p *Proposer) prepareTargets() []string {
	all := slices.Concat(p.newestKnown.AllMembers(), p.newMembers)
	slices.Sort(all)
	return slices.Compact(all)
}

// newMembersPromised tells whether the machines that a change makes members have promised in this round.
//
// It guards against a machine that was whole when it was last heard of and has lost its disk since: made a
// member, it would be one that answers nothing, and several such leave no majority that ever answers.
func (p *Proposer) newMembersPromised(before, after Value) bool {
	for _, m := range addedMembers(before, after) {
		if _, ok := p.answers[m]; !ok {
			return false
		}
	}
	return true
}

// addedMembers are the machines that a change makes members.
func addedMembers(before, after Value) []string {
	return slices.DeleteFunc(slices.Clone(after.Members), func(m string) bool { return slices.Contains(before.Members, m) })
}

// request is what disks are asked in this phase.
func (p *Proposer) request() Message {
	if p.phase == querying {
		return Message{Kind: Query, Ballot: p.queryBallot, Held: p.heldState.Accepted}
	}
	return Message{Kind: Prepare, Ballot: p.ballot, Held: p.heldState.Accepted}
}

// Step takes an answer of a disk.
func (p *Proposer) Step(now int64, from string, m Message) Out {
	p.ObserveBallot(m.State.Promised)
	p.ObserveBallot(m.State.Accepted)
	if m.BodyOmitted {
		if m.State.Accepted != p.heldState.Accepted {
			return Out{} // an answer to a question of before
		}
		m.State.Value.Body, m.State.Value.Orders = p.heldState.Value.Body, p.heldState.Value.Orders
	}
	switch {
	case m.Kind == Reported && p.phase == querying && m.Ballot == p.queryBallot:
		p.answers[from] = m.State
		return p.handleReported(now)
	case m.Kind == Promised && p.phase == preparing && m.Ballot == p.ballot:
		p.answers[from] = m.State
		return p.handlePromised(now)
	case m.Kind == Accepted && p.phase == accepting && m.Ballot == p.ballot:
		p.accepted[from] = true
		return p.handleAccepted(now)
	case m.Kind == Refused && (p.phase == preparing || p.phase == accepting) && m.Ballot == p.ballot:
		p.refusals++
		p.phase = backingOff
		p.due = now + int64((0.5+p.random())*float64(backoffStep*int64(min(p.refusals, maxBackoffSteps))))
	}
	return Out{}
}

// readNewest is the value accepted under the highest ballot, and whether the disks that answered suffice for its
// members.
//
// Danger: the members that were asked may not be those that the value names; a majority of the ones alone
// would miss what the others hold. More are asked until they meet.
func (p *Proposer) readNewest() (best State, enough bool, more Out) {
	best = highestAccepted(p.answers)
	in := func(m string) bool { _, ok := p.answers[m]; return ok }
	// A value without prior members follows the one with them, and one of a later epoch all before: where it
	// came about at all, its members are the ones to ask.
	if v := best.Value; v.Epoch > p.newestKnown.Epoch || v.Epoch == p.newestKnown.Epoch && len(v.Prior) < len(p.newestKnown.Prior) ||
		v.Epoch == p.newestKnown.Epoch && len(v.Prior) > 0 && len(p.newestKnown.Prior) == 0 && !slices.Equal(v.Members, p.newestKnown.Members) {
		p.newestKnown = v
		more.To = slices.DeleteFunc(v.AllMembers(), in)
	}
	return best, p.newestKnown.Quorum(in) && (best.Value.Epoch < p.newestKnown.Epoch || best.Value.Quorum(in)), more
}

// highestAccepted is the state accepted under the highest ballot.
func highestAccepted(states map[string]State) (best State) {
	for _, s := range states {
		if s.Accepted.Compare(best.Accepted) > 0 || len(best.Value.Members) == 0 {
			best = s
		}
	}
	return best
}

func (p *Proposer) handleReported(now int64) Out {
	best, enough, more := p.readNewest()
	if !enough {
		if len(more.To) > 0 {
			more.Send = p.request()
		}
		return more
	}
	changes := len(best.Value.Prior) > 0
	p.newMembers = nil
	for _, e := range p.running {
		next, changed := e.apply(best.Value)
		changes = changes || changed
		if changed {
			p.newMembers = append(p.newMembers, addedMembers(best.Value, next)...)
		}
	}
	stands := best.Value.Quorum(p.reportedAccepted(best.Accepted))
	if !changes && stands {
		p.heldState = State{Accepted: best.Accepted, Value: best.Value}
		return p.finish(now, best.Value)
	}
	if !changes {
		// The rest of the answers may yet show that it stands; the resend goes on to a round.
		if len(p.answers) < len(p.newestKnown.AllMembers()) {
			return Out{}
		}
	}
	return p.startPrepare(now)
}

// reportedAccepted tells of a disk whether it answered that it holds what was accepted under b.
func (p *Proposer) reportedAccepted(b Ballot) func(string) bool {
	return func(m string) bool { s, ok := p.answers[m]; return ok && s.Accepted == b }
}

func (p *Proposer) handlePromised(now int64) Out {
	best, enough, more := p.readNewest()
	if !enough {
		if len(more.To) > 0 {
			more.Send = p.request()
		}
		return more
	}
	if slices.ContainsFunc(p.newMembers, func(m string) bool { _, ok := p.answers[m]; return !ok }) && !p.newMembersOverdue {
		return more
	}
	// What is known to stand with its prior members needs them no longer: the change of members is over. That it
	// stands is known where a quorum of both holds it; else it is written once more as it is, and the next round
	// drops them.
	v := best.Value
	if len(v.Prior) > 0 && (best.Accepted == p.membersCommitted || v.Quorum(p.reportedAccepted(best.Accepted))) {
		v.Prior = nil
	}
	if len(v.Prior) == 0 {
		for _, e := range p.running {
			if next, changed := e.apply(v); changed && p.newMembersPromised(v, next) {
				v = next
			}
		}
	}
	p.next, p.phase, p.accepted, p.due = v, accepting, map[string]bool{}, now+resendInterval
	return Out{To: p.acceptTargets(best.Value), Send: Message{Kind: Accept, Ballot: p.ballot, Value: v}}
}

// acceptTargets are the disks that a write must reach: of the value read and of the value written.
func (p *Proposer) acceptTargets(read Value) []string {
	all := slices.Concat(read.AllMembers(), p.next.AllMembers())
	slices.Sort(all)
	return slices.Compact(all)
}

func (p *Proposer) handleAccepted(now int64) Out {
	in := func(m string) bool { return p.accepted[m] }
	if !p.next.Quorum(in) || !p.valueRead().Quorum(in) {
		return Out{}
	}
	p.newestKnown, p.heldState = p.next, State{Accepted: p.ballot, Value: p.next}
	if len(p.next.Prior) > 0 { // the members' change stands now; one more round lets the old ones go
		p.refusals, p.membersCommitted, p.newMembers = 0, p.ballot, nil
		return p.startPrepare(now)
	}
	return p.finish(now, p.next)
}

// valueRead is the value that the round found.
func (p *Proposer) valueRead() Value { return highestAccepted(p.answers).Value }

func (p *Proposer) finish(now int64, v Value) Out {
	out := Out{}
	for _, e := range p.running {
		out.Done = append(out.Done, EditResult{e.id, p.heldState.Accepted, v})
	}
	p.running, p.refusals, p.phase, p.newMembers = nil, 0, idle, nil
	p.newestKnown = v
	if len(p.waiting) > 0 {
		more := p.startQuery(now)
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
	p.due = now + resendInterval
	switch p.phase {
	case querying, preparing:
		if p.phase == querying {
			if _, enough, _ := p.readNewest(); enough {
				return p.startPrepare(now)
			}
			return Out{To: missing(has, p.newestKnown.AllMembers()), Send: p.request()}
		}
		p.newMembersOverdue = true
		if _, enough, _ := p.readNewest(); enough {
			return p.handlePromised(now)
		}
		return Out{To: missing(has, p.prepareTargets()), Send: p.request()}
	case accepting:
		return Out{To: missing(func(m string) bool { return p.accepted[m] }, p.acceptTargets(p.valueRead())),
			Send: Message{Kind: Accept, Ballot: p.ballot, Value: p.next}}
	}
	return p.startQuery(now)
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

// Request is what the others are asked.
func (j *Joiner) Request() Message { return Message{Kind: Prepare, Ballot: j.ballot} }

// HandleAnswer takes an answer in. done tells that a majority of the others has promised; the state is then to be
// saved, and the disk is whole once it is.
func (j *Joiner) HandleAnswer(from string, m Message) (state State, done bool) {
	switch {
	case m.Kind == Refused && m.State.Promised.Number >= j.ballot.Number:
		j.ballot.Number, j.answers = m.State.Promised.Number+1, map[string]State{}
		return State{}, false
	case m.Kind != Promised || m.Ballot != j.ballot || from == j.self:
		return State{}, false
	}
	j.answers[from] = m.State
	best := highestAccepted(j.answers)
	in := func(m string) bool { _, ok := j.answers[m]; return ok }
	best.Promised = j.ballot
	return best, best.Value.Quorum(in)
}

// Targets are the disks to ask besides those given.
func (j *Joiner) Targets(known []string) []string {
	all := map[string]bool{}
	for _, k := range known {
		all[k] = true
	}
	for _, s := range j.answers {
		for _, m := range s.Value.AllMembers() {
			all[m] = true
		}
	}
	delete(all, j.self)
	return slices.Sorted(maps.Keys(all))
}
