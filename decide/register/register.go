// Package register is the replicated control state: one versioned value, in the manner of Paxos, without a log or a leader.
// Every change is a round of its own. In a round the members' disks first promise to accept nothing under a lower ballot
// and report what they have accepted; the value accepted under the highest ballot is changed and then accepted by a
// majority. Nothing here does I/O: messages and times come in as arguments, and what to send, save and answer is returned.
//
// The value carries its own members. A change of members is written to a majority of the old and of the new members, and
// until it is known to be committed every round needs both majorities. So any two rounds have a disk in common.
//
// Decides: which value is committed, who the majority is, and when a disk counts towards it.
package register

import (
	"cmp"
	"slices"

	"willowsill/decide/rollout"
)

// Ballot identifies a round and orders rounds.
type Ballot struct {
	Number   uint64 `cbor:"1,keyasint,omitempty"`
	Proposer string `cbor:"2,keyasint,omitempty"` // the proposer's name, which is unique to one incarnation of a process
}

// Compare orders ballots by number, then by proposer.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Proposer, o.Proposer))
}

// Value is what the register holds. It is never changed in place.
type Value struct {
	Epoch    uint64   `cbor:"1,keyasint,omitempty"` // number of changes of members so far
	Members  []string `cbor:"2,keyasint,omitempty"` // sorted
	Prior    []string `cbor:"3,keyasint,omitempty"` // the members before the last change, until that is known to be committed
	Revision uint64   `cbor:"4,keyasint,omitempty"` // revision of the configuration
	Body     []byte   `cbor:"5,keyasint,omitempty"` // the configuration, opaque to this package
	Size     int      `cbor:"6,keyasint,omitempty"` // intended number of members; there may be more for a while
	Orders   Orders   `cbor:"7,keyasint,omitempty"` // which content was confirmed under which revision

	Rollouts rollout.Set `cbor:"8,keyasint,omitzero"`
}

// State is what one member keeps on its disk.
type State struct {
	Promised Ballot `cbor:"1,keyasint"`
	Accepted Ballot `cbor:"2,keyasint"` // the ballot under which Value was accepted
	Value    Value  `cbor:"3,keyasint"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. The first three are requests to acceptors, the others their answers.
const (
	Prepare  Kind = iota + 1 // asks for a promise to accept nothing under a lower ballot
	Accept                   // asks to accept Value under Ballot
	Query                    // asks for the state, without a promise
	Promised                 // answers Prepare with the state
	Accepted                 // answers Accept
	Refused                  // answers Prepare or Accept: State.Promised is higher
	Reported                 // answers Query with the state
	Vacant                   // answers the Prepare of a Joiner: the disk of the answering machine is empty as well
)

// Message goes from a proposer to an acceptor or back.
type Message struct {
	Kind        Kind   `cbor:"1,keyasint"`
	Ballot      Ballot `cbor:"2,keyasint,omitempty"` // of a Query: not a ballot, but its number and the asker's name, returned in the answer
	State       State  `cbor:"4,keyasint,omitempty"`
	Held        Ballot `cbor:"6,keyasint,omitempty"` // of a request: the asker holds the body and orders accepted under this ballot, so the answer omits them
	BodyOmitted bool   `cbor:"7,keyasint,omitempty"` // of an answer: body and orders are omitted because of Held
	Value       Value  `cbor:"5,keyasint,omitempty"`
}

// Acceptor is the part of one member that answers proposers from the state on the member's disk. CaughtUp says whether it
// may answer.
//
// Danger: a disk that came back empty has forgotten what it promised and accepted. If it counted, a majority could be
// found in which no disk knows of an acknowledged value. It counts again once it has saved the state that a
// majority of the others reported with their promises (see Joiner).
type Acceptor struct {
	State
	CaughtUp bool
}

// Step handles a request and returns the answer; ok is false where there is none. save says that the state has changed:
// the answer must not be sent before the change is synced to the disk, and neither must later answers to a Query.
func (a *Acceptor) Step(m Message) (answer Message, save, ok bool) {
	if !a.CaughtUp {
		return Message{}, false, false
	}
	switch m.Kind {
	case Prepare:
		if m.Ballot.Compare(a.Promised) < 0 {
			return Message{Kind: Refused, Ballot: m.Ballot, State: State{Promised: a.Promised}}, false, true
		}
		save = m.Ballot != a.Promised
		a.Promised = m.Ballot
		return a.withState(m, Message{Kind: Promised, Ballot: m.Ballot}), save, true
	case Accept:
		if m.Ballot.Compare(a.Promised) < 0 {
			return Message{Kind: Refused, Ballot: m.Ballot, State: State{Promised: a.Promised}}, false, true
		}
		save = m.Ballot != a.Accepted
		a.Promised, a.Accepted, a.Value = m.Ballot, m.Ballot, m.Value
		return Message{Kind: Accepted, Ballot: m.Ballot}, save, true
	case Query:
		return a.withState(m, Message{Kind: Reported, Ballot: m.Ballot}), false, true
	}
	return Message{}, false, false
}

// withState adds the state to an answer, without the body and orders where the asker holds them.
func (a *Acceptor) withState(request, answer Message) Message {
	answer.State = a.State
	if request.Held == a.Accepted && len(a.Value.Body) > 0 {
		answer.State.Value.Body, answer.State.Value.Orders, answer.BodyOmitted = nil, nil, true
	}
	return answer
}

// majority reports whether in holds for more than half of the members.
func majority(members []string, in func(string) bool) bool {
	n := 0
	for _, m := range members {
		if in(m) {
			n++
		}
	}
	return 2*n > len(members)
}

// Quorum reports whether in holds for a majority of the value's members, and for one of the prior members where there are
// any.
func (v Value) Quorum(in func(string) bool) bool {
	return majority(v.Members, in) && (len(v.Prior) == 0 || majority(v.Prior, in))
}

// AllMembers returns the members and the prior members, sorted. A round on the value needs no others.
func (v Value) AllMembers() []string {
	all := slices.Concat(v.Members, v.Prior)
	slices.Sort(all)
	return slices.Compact(all)
}
