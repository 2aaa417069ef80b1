package register

import (
	"maps"
	"slices"
)

// This file forms the register where the first start was interrupted: too few machines that were told of the first start
// still know of it.
//
// An empty disk may be that of a machine that has never held anything, or one that has lost what was acknowledged. What
// tells them apart is how many are empty at the same time, and how many may be lost at once. A value is acknowledged once
// it is on a majority of the members' disks. If all members say that their disks are empty, or hold nothing but the list of
// the first members, then that majority must have lost its disks at once, or nothing was ever acknowledged. Where no more
// may be lost at once than a minority, the former is excluded.

// formedBallot is the ballot of a value that Form makes without a disk that holds the first members. It is lower than each
// ballot of a proposer and higher than the zero ballot of a first start, which is thus superseded.
var formedBallot = Ballot{Number: 1}

// Budget returns the largest number of the given machines that may be lost at the same time.
type Budget func(machines []string) int

// Form returns the state with which this machine's disk may count because the register was never formed. ok is false as long
// as that is not known. It must be called after each answer.
//
// If some disk holds the first members, these form the register. Otherwise, and only if alone is set, all known machines do,
// once they know of the same machines.
//
// Danger: answers come one after the other, and machines whose disks are empty at different times may all have been members
// in between. So all must say the same in two rounds, and be the same processes: they are then empty at the moment between the two rounds.
func (j *Joiner) Form(budget Budget, alone bool) (state State, ok bool) {
	first, found := j.firstState()
	if !found && (!alone || len(j.answers) > 0) { // some disk holds more than the first members, or it is too soon
		return State{}, false
	}
	required := j.requirementFor(first.Value, found, budget)
	if !slices.Contains(first.Value.Members, j.self) || !j.meets(required) {
		return State{}, false
	}
	if !j.sameLives(required.machines) {
		j.lives = j.vacantLives()
		j.startRound(j.ballot.Number + 1)
		return State{}, false
	}
	first.Promised = j.ballot
	return first, true
}

// firstState returns the state of a first start that the answers hold, and whether they hold one. Otherwise it returns the one that
// all known machines form.
func (j *Joiner) firstState() (first State, found bool) {
	if len(j.answers) == 0 {
		return State{Accepted: formedBallot, Value: Value{Members: j.known}}, false
	}
	highest := highestAccepted(j.answers)
	first = State{Accepted: highest.Accepted, Value: highest.Value}
	for _, held := range j.answers {
		if !isFirst(held) || held.Accepted != first.Accepted || !slices.Equal(held.Value.Members, first.Value.Members) {
			return first, false
		}
	}
	return first, true
}

// isFirst reports whether a state holds the members of a first start, and nothing was ever written to it.
func isFirst(s State) bool {
	v := s.Value
	return (s.Accepted == Ballot{} || s.Accepted == formedBallot) && v.Epoch == 0 && v.Revision == 0 && v.Rollouts.IsZero() && len(v.Members) > 0
}

// requirement says which machines must answer before the register is formed.
type requirement struct {
	machines  []string // all of these must be empty or hold the first state
	sameKnown bool     // those that are empty must know of the same machines as this one
	moreThan  int      // more than this number of them must be empty
}

// requirementFor returns what is required for a value. The members of a first start that some disk holds suffice where no majority
// of them may be lost at once. Otherwise all known machines must answer, and so many be empty as a system has at least that bears
// the loss: most of them have then lost nothing.
func (j *Joiner) requirementFor(first Value, found bool, budget Budget) requirement {
	if found && len(first.Members)/2+1 > budget(first.Members) {
		return requirement{machines: first.Members}
	}
	machines := mergeSorted(first.Members, j.known)
	return requirement{machines: machines, sameKnown: true, moreThan: 2 * budget(machines)}
}

// meets reports whether the answers meet the requirement.
func (j *Joiner) meets(r requirement) bool {
	empty := 0
	for _, machine := range r.machines {
		_, promised := j.answers[machine]
		vacancy, vacant := j.vacant[machine]
		switch {
		case machine == j.self:
			empty++
		case promised: // it holds the first state, as all that have promised
		case vacant && (!r.sameKnown || slices.Equal(vacancy.Known, j.known)):
			empty++
		default:
			return false
		}
	}
	return empty > r.moreThan
}

// sameLives reports whether the vacant ones among the machines were vacant in the round before, as the same processes.
func (j *Joiner) sameLives(machines []string) bool {
	for _, machine := range machines {
		if vacancy, vacant := j.vacant[machine]; vacant && j.lives[machine] != vacancy.Life {
			return false
		}
	}
	return j.lives != nil
}

func (j *Joiner) vacantLives() map[string]string {
	lives := map[string]string{}
	for machine := range maps.Keys(j.vacant) {
		lives[machine] = j.vacant[machine].Life
	}
	return lives
}
