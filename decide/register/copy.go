package register

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Copies and keys, for those who play every order of events. Times are no part of a key: whoever explores
// has each timer fire at any moment.

// Copy is a proposer that goes its own way from here.
func (p *Proposer) Copy() *Proposer {
	c := *p
	c.answers, c.accepted = maps.Clone(p.answers), maps.Clone(p.accepted)
	c.running, c.waiting = slices.Clone(p.running), slices.Clone(p.waiting)
	return &c
}

// Key appends what tells this proposer's state from another's: two with the same key do the same from here on,
// whenever their timers fire.
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
		b = binary.AppendUvarint(b, e.id)
	}
	return b
}

// Awaits tells whether an answer would do more here than raise the number of the next ballot.
func (p *Proposer) Awaits(from string, m Message) bool {
	was, has := p.answers[from]
	switch m.Kind {
	case Reported:
		return p.phase == querying && m.Ballot == p.queryBallot && !(has && was.Accepted == m.State.Accepted)
	case Promised:
		return p.phase == preparing && m.Ballot == p.ballot && !(has && was.Accepted == m.State.Accepted)
	case Accepted:
		return p.phase == accepting && m.Ballot == p.ballot && !p.accepted[from]
	case Refused:
		return (p.phase == preparing || p.phase == accepting) && m.Ballot == p.ballot
	}
	return false
}

// IsOutstanding tells whether a question is still this proposer's.
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

// Awaits tells whether an answer would do anything here.
func (j *Joiner) Awaits(from string, m Message) bool {
	_, has := j.answers[from]
	return m.Kind == Promised && m.Ballot == j.ballot && !has || m.Kind == Refused && m.State.Promised.Number >= j.ballot.Number
}

// Copy is a joiner that goes its own way from here.
func (j *Joiner) Copy() *Joiner {
	c := *j
	c.answers = maps.Clone(j.answers)
	return &c
}

// Key appends what tells this joiner's state from another's.
func (j *Joiner) Key(b []byte) []byte {
	return appendStates(j.ballot.Key(appendString(b, j.self)), j.answers)
}

// Key appends a message's every field.
func (m Message) Key(b []byte) []byte {
	b = append(b, byte(m.Kind))
	if m.BodyOmitted {
		b = append(b, 1)
	}
	return m.Value.Key(m.State.Key(m.Held.Key(m.Ballot.Key(b))))
}

// Key appends what tells a ballot from another.
func (b Ballot) Key(to []byte) []byte {
	return appendString(binary.AppendUvarint(to, b.Number), b.Proposer)
}

// Key appends what tells a state from another.
func (s State) Key(b []byte) []byte { return s.Value.Key(s.Accepted.Key(s.Promised.Key(b))) }

// Key appends what tells a value from another.
func (v Value) Key(b []byte) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(b, v.Epoch), v.Revision)
	b = append(b, byte(len(v.Members)), byte(len(v.Prior)), byte(v.Size))
	for _, m := range v.Members {
		b = appendString(b, m)
	}
	for _, m := range v.Prior {
		b = appendString(b, m)
	}
	return v.Rollouts.Key(appendString(appendString(b, string(v.Body)), string(v.Orders)))
}

func appendStates(b []byte, states map[string]State) []byte {
	b = append(b, byte(len(states)))
	for _, name := range slices.Sorted(maps.Keys(states)) {
		b = states[name].Key(appendString(b, name))
	}
	return b
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}
