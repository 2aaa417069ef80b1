package register

import (
	"maps"
	"slices"
)

// Times of a round, in ns. A proposer whose round collided with another's backs off for a random time, so that one of them
// gets through.
const (
	ms              = 1_000_000
	resendInterval  = 250 * ms // a request without an answer is sent again after this time
	backoffStep     = 30 * ms  // backoff for each refusal in a row, multiplied by a random factor from 0.5 to 1.5
	maxBackoffSteps = 8        // further refusals do not lengthen the backoff
)

// Edit computes the next value from the committed one. It returns false where nothing is to change; then the round only
// confirms that the value is committed. It may be called several times, but not once its change is known to be committed.
type Edit func(Value) (Value, bool)

// EditResult is the outcome of an edit: the value that is now known to be committed, and the ballot under which it was
// accepted.
type EditResult struct {
	ID     uint64
	Ballot Ballot
	Value  Value
}

// Out is what a proposer asks its caller to do.
type Out struct {
	To   []string // members to send Send to; empty where nothing is to be sent
	Send Message
	Done []EditResult // edits that have ended
}

// phase is the stage of a proposer's round.
type phase uint8

const (
	idle       phase = iota // no edit is running or waiting
	querying                // a Query asks whether the value is committed already
	preparing               // acceptors are asked for promises
	accepting               // acceptors are asked to accept the next value
	backingOff              // waits for due to start again
)

// pendingEdit is an edit that has not ended.
type pendingEdit struct {
	id        uint64
	apply     Edit
	written   bool // the value that the round writes has the edit's change
	committed bool // the edit's change is known to be committed
}

// Proposer carries edits through rounds. One round carries all edits that are waiting when it starts.
type Proposer struct {
	name              string // unique to this incarnation of the process, so that no two incarnations share ballots
	heldState         State  // newest state known with body and orders, which answers to requests may therefore omit
	newestKnown       Value  // newest value seen; requests go to its members first
	random            func() float64
	phase             phase
	ballot            Ballot           // ballot of the current round
	highestNumber     uint64           // highest ballot number seen
	queryBallot       Ballot           // identifies the last Query; it is not a ballot and needs no promise
	answers           map[string]State // states in the answers to this phase's Query or Prepare, by member
	accepted          map[string]bool  // members that have accepted next
	next              Value            // the value that the round writes
	membersCommitted  Ballot           // ballot under which a change of members is known to be committed
	newMembers        []string         // machines that the edits of this round make members; they are asked for promises too
	newMembersOverdue bool             // newMembers have had resendInterval to promise
	running           []pendingEdit    // edits that the round carries
	waiting           []pendingEdit    // edits for the next round
	refusals          int              // refusals since the last round that succeeded
	due               int64            // time in ns at which Tick sends a request again or starts again after a backoff
	lastEditID        uint64
}

// NewProposer returns a proposer that starts with a value of which at least the members are known. random returns numbers
// in [0, 1).
//
// Danger: a process that restarts may have forgotten ballots that others promised it. If one were used again for another
// value, both values could be accepted under it. So name must be new in each incarnation of the process.
func NewProposer(name string, known Value, random func() float64) *Proposer {
	return &Proposer{name: name, newestKnown: known, random: random}
}

// Learn informs the proposer of a value from elsewhere: from the own disk or from a peer. If it is newer, requests go to its
// members from then on.
func (p *Proposer) Learn(v Value) {
	if p.WouldLearn(v) {
		p.newestKnown = v
	}
}

// WouldLearn reports whether Learn would change anything.
//
// Danger: a proposer on an emptied disk knows no members. As long as they have never changed, their epoch is 0. If only
// epochs were compared, the proposer would never learn any members and could carry no edit.
func (p *Proposer) WouldLearn(v Value) bool {
	return v.Epoch > p.newestKnown.Epoch || len(p.newestKnown.Members) == 0 && len(v.Members) > 0
}

// CacheState informs the proposer of a state on the own disk, so that answers can omit its body and orders.
func (p *Proposer) CacheState(s State) {
	if s.Accepted.Compare(p.heldState.Accepted) > 0 && p.phase == idle {
		p.heldState = s
	}
}

// ObserveBallot informs the proposer of a ballot, so that its next one is higher.
func (p *Proposer) ObserveBallot(b Ballot) { p.highestNumber = max(p.highestNumber, b.Number) }

// Busy reports whether a round is under way or due.
func (p *Proposer) Busy() bool { return p.phase != idle }

// Edit adds an edit and returns its ID, by which Out.Done reports its result.
func (p *Proposer) Edit(now int64, e Edit) (uint64, Out) {
	p.lastEditID++
	p.waiting = append(p.waiting, pendingEdit{id: p.lastEditID, apply: e})
	id := p.lastEditID
	if p.phase == idle {
		return id, p.startQuery(now)
	}
	return id, Out{}
}

// Cancel withdraws an edit whose caller has stopped waiting. Once its value is being written it is too late, since nobody
// can tell whether the value will be committed.
//
// Danger: without Cancel, a proposer that is cut off from the majority would keep its edits until it is reconnected, and
// then overwrite what was changed meanwhile.
func (p *Proposer) Cancel(id uint64) {
	matches := func(e pendingEdit) bool { return e.id == id }
	p.waiting = slices.DeleteFunc(p.waiting, matches)
	if p.phase == accepting {
		return
	}
	p.running = slices.DeleteFunc(p.running, matches)
	if len(p.running)+len(p.waiting) == 0 && len(p.next.Prior) == 0 {
		p.phase, p.refusals = idle, 0
	}
}

// startQuery starts to carry the waiting edits. It begins with a Query, which needs no promises: mostly the value is
// committed already and no edit changes it, so the Query is enough.
func (p *Proposer) startQuery(now int64) Out {
	p.running, p.waiting = append(p.running, p.waiting...), nil
	if len(p.running) == 0 || len(p.newestKnown.Members) == 0 {
		if p.phase = idle; len(p.running) > 0 {
			p.phase, p.due = backingOff, now+resendInterval
		}
		return Out{}
	}
	// Danger: an answer to a Query of this process's previous incarnation may still arrive. That Query may have had the
	// same number, and the state in the answer may be older than what was acknowledged since. So the name is compared too.
	p.queryBallot = Ballot{p.queryBallot.Number + 1, p.name}
	p.phase, p.answers, p.due = querying, map[string]State{}, now+resendInterval
	return Out{To: p.newestKnown.AllMembers(), Send: p.request()}
}

// startPrepare starts a round with a new ballot.
func (p *Proposer) startPrepare(now int64) Out {
	p.highestNumber++
	p.ballot = Ballot{p.highestNumber, p.name}
	p.phase, p.answers, p.due = preparing, map[string]State{}, now+resendInterval
	p.newMembersOverdue = false
	return Out{To: p.prepareTargets(), Send: p.request()}
}

// prepareTargets returns the members that a Prepare goes to.
func (p *Proposer) prepareTargets() []string {
	all := slices.Concat(p.newestKnown.AllMembers(), p.newMembers)
	slices.Sort(all)
	return slices.Compact(all)
}

// newMembersPromised reports whether all machines that a change makes members have promised in this round.
//
// Danger: a machine may have lost its disk since it last announced that it had caught up. As a member it would answer
// nothing, and with several such members no majority would ever answer.
func (p *Proposer) newMembersPromised(before, after Value) bool {
	for _, m := range addedMembers(before, after) {
		if _, ok := p.answers[m]; !ok {
			return false
		}
	}
	return true
}

// addedMembers returns the machines that a change makes members.
func addedMembers(before, after Value) []string {
	return slices.DeleteFunc(slices.Clone(after.Members), func(m string) bool { return slices.Contains(before.Members, m) })
}

// request returns the Query or Prepare of this phase.
func (p *Proposer) request() Message {
	if p.phase == querying {
		return Message{Kind: Query, Ballot: p.queryBallot, Held: p.heldState.Accepted}
	}
	return Message{Kind: Prepare, Ballot: p.ballot, Held: p.heldState.Accepted}
}

// Step handles the answer of an acceptor.
func (p *Proposer) Step(now int64, from string, m Message) Out {
	p.ObserveBallot(m.State.Promised)
	p.ObserveBallot(m.State.Accepted)
	if m.BodyOmitted {
		if m.State.Accepted != p.heldState.Accepted {
			return Out{} // it answers an earlier request, and the omitted body is no longer held
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

// readNewest returns the state accepted under the highest ballot among the answers. enough says whether the answers include
// a quorum of its members and of the newest members known. more.To are further members to ask.
//
// Danger: the members that were asked may not be the members that the value names, and a majority of the former alone could
// miss what the latter have accepted. So more members are asked until there is a quorum of both.
func (p *Proposer) readNewest() (best State, enough bool, more Out) {
	best = highestAccepted(p.answers)
	answered := func(m string) bool { _, ok := p.answers[m]; return ok }
	// A value of a later epoch follows all values of earlier epochs, and within an epoch the value without prior members
	// follows the one with them. If such a value was committed, its members are the ones to ask.
	if v := best.Value; v.Epoch > p.newestKnown.Epoch || v.Epoch == p.newestKnown.Epoch && len(v.Prior) < len(p.newestKnown.Prior) ||
		v.Epoch == p.newestKnown.Epoch && len(v.Prior) > 0 && len(p.newestKnown.Prior) == 0 && !slices.Equal(v.Members, p.newestKnown.Members) {
		p.newestKnown = v
		more.To = slices.DeleteFunc(v.AllMembers(), answered)
	}
	return best, p.newestKnown.Quorum(answered) && (best.Value.Epoch < p.newestKnown.Epoch || best.Value.Quorum(answered)), more
}

// highestAccepted returns the state accepted under the highest ballot. A state without members, as a new machine has, gives
// way to any other.
func highestAccepted(states map[string]State) (best State) {
	for _, name := range slices.Sorted(maps.Keys(states)) {
		s := states[name]
		if s.Accepted.Compare(best.Accepted) > 0 || len(best.Value.Members) == 0 {
			best = s
		}
	}
	return best
}

// handleReported evaluates the answers to a Query. If no edit changes the value and a quorum holds it, the edits are done;
// otherwise a round follows.
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
		if e.committed {
			continue
		}
		next, changed := e.apply(best.Value)
		changes = changes || changed
		if changed {
			p.newMembers = append(p.newMembers, addedMembers(best.Value, next)...)
		}
	}
	committed := best.Value.Quorum(p.reportedAccepted(best.Accepted))
	if !changes && committed {
		p.heldState = State{Accepted: best.Accepted, Value: best.Value}
		return p.finish(now, best.Value)
	}
	if !changes {
		// The missing answers may yet show that the value is committed. If they do not come, Tick starts a round.
		if len(p.answers) < len(p.newestKnown.AllMembers()) {
			return Out{}
		}
	}
	return p.startPrepare(now)
}

// reportedAccepted returns a function that reports whether a member answered that it accepted the value of ballot b.
func (p *Proposer) reportedAccepted(b Ballot) func(string) bool {
	return func(m string) bool { s, ok := p.answers[m]; return ok && s.Accepted == b }
}

// handlePromised evaluates the promises. Once they suffice, it applies the edits and asks the members to accept the result.
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
	// A change of members ends once the value with the prior members is known to be committed, that is where quorums of
	// both sets have accepted it: then the prior members are dropped. Otherwise the value is written once more as it is,
	// and the next round drops them.
	v := best.Value
	if len(v.Prior) > 0 && (best.Accepted == p.membersCommitted || v.Quorum(p.reportedAccepted(best.Accepted))) {
		v.Prior = nil
	}
	p.next, p.phase, p.accepted, p.due = p.applyEdits(v), accepting, map[string]bool{}, now+resendInterval
	return Out{To: p.acceptTargets(best.Value), Send: Message{Kind: Accept, Ballot: p.ballot, Value: p.next}}
}

// applyEdits returns the value with the changes of the running edits. A value with prior members stays as it is.
func (p *Proposer) applyEdits(v Value) Value {
	membersChanging := len(v.Prior) > 0
	for i := range p.running {
		e := &p.running[i]
		e.written = false
		if e.committed || membersChanging {
			continue
		}
		if next, changed := e.apply(v); changed && p.newMembersPromised(v, next) {
			v, e.written = next, true
		}
	}
	return v
}

// markCommitted records that the changes that the round has written are committed.
//
// Danger: rounds go on without a wait until no member is prior. Two edits that change the members back and forth would follow
// each other without end if each round applied both again.
func (p *Proposer) markCommitted() {
	for i := range p.running {
		e := &p.running[i]
		e.committed = e.committed || e.written
	}
}

// acceptTargets returns the members that an Accept goes to: those of the value read and those of the value written.
func (p *Proposer) acceptTargets(read Value) []string {
	all := slices.Concat(read.AllMembers(), p.next.AllMembers())
	slices.Sort(all)
	return slices.Compact(all)
}

// handleAccepted ends the round once a quorum has accepted the value.
func (p *Proposer) handleAccepted(now int64) Out {
	hasAccepted := func(m string) bool { return p.accepted[m] }
	if !p.next.Quorum(hasAccepted) || !p.valueRead().Quorum(hasAccepted) {
		return Out{}
	}
	p.newestKnown, p.heldState = p.next, State{Accepted: p.ballot, Value: p.next}
	if len(p.next.Prior) > 0 { // the change of members is committed; one more round drops the prior members
		p.markCommitted()
		p.refusals, p.membersCommitted, p.newMembers = 0, p.ballot, nil
		return p.startPrepare(now)
	}
	return p.finish(now, p.next)
}

// valueRead returns the value that the promises of the round reported as the newest.
func (p *Proposer) valueRead() Value { return highestAccepted(p.answers).Value }

// finish reports the running edits as done, with v as the committed value, and starts on those waiting.
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

// Tick repeats requests that have no answer, and starts again after a backoff.
func (p *Proposer) Tick(now int64) Out {
	if p.phase == idle || now < p.due {
		return Out{}
	}
	missing := func(has func(string) bool, all []string) []string { return slices.DeleteFunc(slices.Clone(all), has) }
	answered := func(m string) bool { _, ok := p.answers[m]; return ok }
	p.due = now + resendInterval
	switch p.phase {
	case querying, preparing:
		if p.phase == querying {
			if _, enough, _ := p.readNewest(); enough {
				return p.startPrepare(now)
			}
			return Out{To: missing(answered, p.newestKnown.AllMembers()), Send: p.request()}
		}
		p.newMembersOverdue = true
		if _, enough, _ := p.readNewest(); enough {
			return p.handlePromised(now)
		}
		return Out{To: missing(answered, p.prepareTargets()), Send: p.request()}
	case accepting:
		return Out{To: missing(func(m string) bool { return p.accepted[m] }, p.acceptTargets(p.valueRead())),
			Send: Message{Kind: Accept, Ballot: p.ballot, Value: p.next}}
	}
	return p.startQuery(now)
}

// Due returns when Tick is to be called next, or 0 where it need not be called.
func (p *Proposer) Due() int64 {
	if p.phase == idle {
		return 0
	}
	return p.due
}
