package register

import (
	"encoding/binary"
	"maps"
	"slices"
)

// This file serves the model checker in lab/modelcheck, which plays every order of events. It copies states, and compares
// them by keys. Times are not part of a key, since the model checker lets each timer fire at any moment.

// Copy returns an independent copy of the proposer.
func (p *Proposer) Copy() *Proposer {
	c := *p
	c.answers, c.accepted = maps.Clone(p.answers), maps.Clone(p.accepted)
	c.running, c.waiting = slices.Clone(p.running), slices.Clone(p.waiting)
	return &c
}

// Key appends to b an encoding of the proposer's state. Two proposers with the same key behave alike from here on, if their
// timers fire at the same moments.
func (p *Proposer) Key(b []byte) []byte {
	b = appendString(b, p.name)
	b = append(b, byte(p.phase))
	b = p.queryBallot.Key(p.ballot.Key(p.membersCommitted.Key(b)))
	b = binary.AppendUvarint(b, p.highestNumber)
	b = p.heldState.Accepted.Key(b)
	b = p.newestKnown.Key(b)
	if p.phase == preparing || p.phase == querying || p.phase == accepting {
		b = appendStates(b, p.answers)
	}
	if p.phase == accepting {
		b = p.next.Key(b)
		for _, name := range slices.Sorted(maps.Keys(p.accepted)) {
			b = appendString(b, name)
		}
	}
	b = append(b, byte(len(p.newMembers)))
	for _, name := range p.newMembers {
		b = appendString(b, name)
	}
	if p.newMembersOverdue && len(p.newMembers) > 0 && p.phase == preparing {
		b = append(b, 1)
	}
	b = append(b, byte(len(p.running)), byte(len(p.waiting)))
	for _, e := range slices.Concat(p.running, p.waiting) {
		b = p.editKey(b, e)
	}
	return b
}

// editKey appends to b an encoding of an edit that has not ended.
func (p *Proposer) editKey(b []byte, e pendingEdit) []byte {
	b = binary.AppendUvarint(b, e.id)
	switch {
	case e.committed:
		return append(b, 2)
	case e.written && p.phase == accepting:
		return append(b, 1)
	}
	return append(b, 0)
}

// Awaits reports whether handling the answer would change more than the number of the next ballot.
func (p *Proposer) Awaits(from string, m Message) bool {
	held, answered := p.answers[from]
	switch m.Kind {
	case Reported:
		return p.phase == querying && m.Ballot == p.queryBallot && !(answered && held.Accepted == m.State.Accepted)
	case Promised:
		return p.phase == preparing && m.Ballot == p.ballot && !(answered && held.Accepted == m.State.Accepted)
	case Accepted:
		return p.phase == accepting && m.Ballot == p.ballot && !p.accepted[from]
	case Refused:
		return (p.phase == preparing || p.phase == accepting) && m.Ballot == p.ballot
	}
	return false
}

// IsOutstanding reports whether the request belongs to the phase that the proposer is in.
func (p *Proposer) IsOutstanding(m Message) bool {
	switch m.Kind {
	case Query:
		return p.phase == querying && m.Ballot == p.queryBallot
	case Prepare:
		return p.phase == preparing && m.Ballot == p.ballot
	case Accept:
		return p.phase == accepting && m.Ballot == p.ballot
	}
	return false
}

// Awaits reports whether handling the answer would change the joiner.
func (j *Joiner) Awaits(from string, m Message) bool {
	_, answered := j.answers[from]
	switch m.Kind {
	case Promised:
		return m.Ballot == j.ballot && !answered
	case Vacant:
		vacancy, answered := j.vacant[from]
		return m.Ballot == j.ballot && !(answered && vacancy.Life == m.State.Promised.Proposer && slices.Equal(vacancy.Known, m.State.Value.Members))
	}
	return m.Kind == Refused && m.State.Promised.Number >= j.ballot.Number
}

// Copy returns an independent copy of the joiner.
func (j *Joiner) Copy() *Joiner {
	c := *j
	c.answers, c.vacant = maps.Clone(j.answers), maps.Clone(j.vacant)
	return &c
}

// Key appends to b an encoding of the joiner's state.
func (j *Joiner) Key(b []byte) []byte {
	b = appendStates(j.ballot.Key(appendString(b, j.self)), j.answers)
	b = appendStrings(b, j.known)
	for _, name := range j.Vacant() {
		b = appendStrings(appendString(appendString(b, name), j.vacant[name].Life), j.vacant[name].Known)
	}
	for _, name := range slices.Sorted(maps.Keys(j.lives)) {
		b = appendString(appendString(b, name), j.lives[name])
	}
	return append(b, byte(len(j.vacant)), byte(len(j.lives)))
}

// Key appends to b an encoding of every field of the message.
func (m Message) Key(b []byte) []byte {
	b = append(b, byte(m.Kind))
	if m.BodyOmitted {
		b = append(b, 1)
	}
	return m.Value.Key(m.State.Key(m.Held.Key(m.Ballot.Key(b))))
}

// Key appends to dst an encoding of the ballot.
func (b Ballot) Key(dst []byte) []byte {
	return appendString(binary.AppendUvarint(dst, b.Number), b.Proposer)
}

// Key appends to b an encoding of the state.
func (s State) Key(b []byte) []byte { return s.Value.Key(s.Accepted.Key(s.Promised.Key(b))) }

// Key appends to b an encoding of the value.
func (v Value) Key(b []byte) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(b, v.Epoch), v.Revision)
	b = append(b, byte(v.Size))
	b = appendStrings(appendStrings(b, v.Members), v.Prior)
	return v.Rollouts.Key(appendString(appendString(b, string(v.Body)), string(v.Orders)))
}

func appendStates(b []byte, states map[string]State) []byte {
	b = append(b, byte(len(states)))
	for _, name := range slices.Sorted(maps.Keys(states)) {
		b = states[name].Key(appendString(b, name))
	}
	return b
}

func appendStrings(b []byte, all []string) []byte {
	b = append(b, byte(len(all)))
	for _, s := range all {
		b = appendString(b, s)
	}
	return b
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}
