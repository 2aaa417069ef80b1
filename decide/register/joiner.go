package register

import (
	"maps"
	"slices"
	"strings"
)

// Joiner brings an acceptor with an empty disk, which is new or has lost its data, to the state from which it counts. It asks
// the other members for promises as a round does, so that no older round can complete after they have answered. Where the
// register was never formed, since too many machines ended during the first start before anything was on their disks, Form
// forms it.
//
// Danger: if their states were only queried, an older round could still complete afterwards. It might count an acceptance
// that this disk gave before it was emptied, and its value would then be on one disk fewer than a majority.
type Joiner struct {
	self    string
	ballot  Ballot
	answers map[string]State
	known   []string           // machines known in this life and before, with self, sorted; never fewer
	vacant  map[string]Vacancy // answers of machines whose disks are empty as well
	lives   map[string]string  // lives of the vacant machines in the round before, if that round found all that Form wants
}

// Vacancy describes a machine whose disk is empty, as it described itself.
type Vacancy struct {
	Life  string   // identifies the process
	Known []string // machines known to it, sorted
}

// joinerSuffix tells the ballots of a process's joiner from those of its proposer.
const joinerSuffix = "/joiner"

// NewJoiner returns a joiner for the member self. name must be new in each incarnation of the process, as for a proposer; the two may
// have the same name. known are the machines known to earlier processes with this disk.
//
// Danger: if a joiner and a proposer had the same ballots, the joiner would take answers to the proposer for its own. These may omit the
// body that the proposer holds, and the disk would count without it. Another round would then commit the value without its body.
func NewJoiner(self, name string, known []string) *Joiner {
	j := &Joiner{self: self, ballot: Ballot{1, name + joinerSuffix}, answers: map[string]State{}, vacant: map[string]Vacancy{}}
	j.known = mergeSorted([]string{self}, known)
	return j
}

// Request returns the Prepare that goes to the other members.
func (j *Joiner) Request() Message { return Message{Kind: Prepare, Ballot: j.ballot} }

// Known returns the machines that this one knows. It must be on disk before an answer of HandleRequest is sent.
func (j *Joiner) Known() []string { return j.known }

// Learn adds machines to those known. What vacant machines answered before is void, since it was about fewer machines.
func (j *Joiner) Learn(machines []string) {
	known := mergeSorted(j.known, machines)
	if len(known) == len(j.known) {
		return
	}
	j.known, j.lives = known, nil
	if len(j.vacant) > 0 {
		j.startRound(j.ballot.Number + 1)
	}
}

// startRound asks all machines again, under a new ballot.
func (j *Joiner) startRound(number uint64) {
	j.ballot.Number, j.answers, j.vacant = number, map[string]State{}, map[string]Vacancy{}
}

// HandleRequest answers the Prepare of another machine's joiner while this machine's disk is empty too. It answers nothing
// else: an empty disk promises and accepts nothing. The answer may be sent once Known is on disk.
func (j *Joiner) HandleRequest(from string, m Message) (answer Message, ok bool) {
	if m.Kind != Prepare || !strings.HasSuffix(m.Ballot.Proposer, joinerSuffix) {
		return Message{}, false
	}
	j.Learn([]string{from})
	return Message{Kind: Vacant, Ballot: m.Ballot, State: State{Promised: j.ballot, Value: Value{Members: j.known}}}, true
}

// HandleAnswer handles an answer to Request. done says that a majority has promised; the acceptor counts once the returned
// state is saved.
func (j *Joiner) HandleAnswer(from string, m Message) (state State, done bool) {
	switch {
	case m.Kind == Refused && m.State.Promised.Number >= j.ballot.Number:
		j.startRound(m.State.Promised.Number + 1)
		return State{}, false
	case m.Ballot != j.ballot || from == j.self:
		return State{}, false
	case m.Kind == Vacant:
		j.handleVacant(from, m)
		return State{}, false
	case m.Kind != Promised:
		return State{}, false
	}
	j.answers[from] = m.State
	delete(j.vacant, from)
	best := highestAccepted(j.answers)
	answered := func(m string) bool { _, ok := j.answers[m]; return ok }
	best.Promised = j.ballot
	return best, best.Value.Quorum(answered)
}

func (j *Joiner) handleVacant(from string, m Message) {
	j.Learn(append(slices.Clone(m.State.Value.Members), from))
	if m.Ballot != j.ballot {
		return // it is void, like the other answers before this machine knew so many
	}
	delete(j.answers, from)
	j.vacant[from] = Vacancy{Life: m.State.Promised.Proposer, Known: m.State.Value.Members}
}

// Targets returns the machines that Request goes to: those known and the members that the answers named, without self.
func (j *Joiner) Targets(known []string) []string {
	all := slices.Concat(j.known, known)
	for _, s := range j.answers {
		all = append(all, s.Value.AllMembers()...)
	}
	targets := mergeSorted(nil, all)
	return slices.DeleteFunc(targets, func(m string) bool { return m == j.self })
}

// Silent returns the machines that have not answered, sorted.
func (j *Joiner) Silent() []string {
	return slices.DeleteFunc(j.Targets(nil), func(m string) bool {
		_, promised := j.answers[m]
		_, vacant := j.vacant[m]
		return promised || vacant
	})
}

// Vacant returns the machines that have answered that their disks are empty too, sorted.
func (j *Joiner) Vacant() []string { return slices.Sorted(maps.Keys(j.vacant)) }

// mergeSorted returns all machines of two lists, sorted.
func mergeSorted(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
