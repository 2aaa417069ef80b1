package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// machine holds a disk, which outlives the processes that run there unless it is wiped, and the running process.
type machine struct {
	disk     Acceptor
	proposer *Proposer
	joiner   *Joiner
	up       bool
	starts   int // number of processes that have run
}

// packet is a message on its way.
type packet struct {
	from, to string
	starts   int // number of the sending process on its machine; packets of a killed process may still arrive
	m        Message
}

// failer is a test or a property that can fail.
type failer interface {
	Fatalf(format string, args ...any)
}

// cluster is a set of machines whose messages are lost, duplicated and reordered at random.
type cluster struct {
	t        failer
	rng      *rand.Rand
	machines map[string]*machine
	names    []string
	network  []packet
	now      int64
	body     map[uint64]string            // the body reported as committed under each revision
	floor    uint64                       // highest revision acknowledged
	puts     map[string]map[uint64]uint64 // floor at the start of each edit, by machine and edit ID
}

func (s *cluster) start(name string, known Value) {
	x := s.machines[name]
	x.up, x.starts = true, x.starts+1
	incarnation := fmt.Sprint(name, "/", x.starts)
	if !x.disk.CaughtUp {
		x.joiner = NewJoiner(name, incarnation, nil)
	}
	if len(x.disk.Value.Members) > 0 {
		known = x.disk.Value
	}
	x.proposer = NewProposer(incarnation, known, s.rng.Float64)
	x.proposer.ObserveBallot(x.disk.Promised)
	s.puts[name] = map[uint64]uint64{}
}

func (s *cluster) send(from string, to []string, m Message) {
	for _, t := range to {
		s.network = append(s.network, packet{from, t, s.machines[from].starts, m})
	}
}

// carry does what a proposer asks for, and checks the values that it reports as committed.
func (s *cluster) carry(name string, o Out) {
	for _, d := range o.Done {
		v := d.Value
		if was, ok := s.body[v.Revision]; ok && was != string(v.Body) {
			s.t.Fatalf("revision %d is committed with the bodies %q and %q", v.Revision, was, v.Body)
		}
		s.body[v.Revision] = string(v.Body)
		begun := s.puts[name][d.ID]
		if v.Revision < begun {
			s.t.Fatalf("an edit that began after revision %d was acknowledged found revision %d", begun, v.Revision)
		}
		if v.Revision > s.floor {
			s.floor = v.Revision
		}
	}
	if len(o.To) > 0 {
		s.send(name, o.To, o.Send)
	}
}

func (s *cluster) deliver(p packet) {
	x := s.machines[p.to]
	if x == nil || !x.up {
		return
	}
	switch p.m.Kind {
	case Prepare, Accept, Query:
		if a, _, ok := x.disk.Step(p.m); ok { // the change counts as synced before the answer is sent
			s.send(p.to, []string{p.from}, a)
		}
	default:
		if x.joiner != nil {
			if state, done := x.joiner.HandleAnswer(p.from, p.m); done {
				x.disk, x.joiner = Acceptor{state, true}, nil
				x.proposer.Learn(state.Value)
			}
		}
		s.carry(p.to, x.proposer.Step(s.now, p.from, p.m))
	}
}

func (s *cluster) edit(name string, e Edit) {
	x := s.machines[name]
	id, out := x.proposer.Edit(s.now, e)
	s.puts[name][id] = s.floor
	s.carry(name, out)
}

// put returns an edit that sets the body, unless the value has this revision or a higher one.
func put(revision uint64, body string) Edit {
	return func(v Value) (Value, bool) {
		if revision <= v.Revision {
			return v, false
		}
		v.Revision, v.Body = revision, []byte(body)
		return v, true
	}
}

// swap returns an edit that replaces a member, or adds one where out is empty.
func swap(out, in string) Edit {
	return func(v Value) (Value, bool) {
		if len(v.Prior) > 0 || slices.Contains(v.Members, in) || out != "" && !slices.Contains(v.Members, out) {
			return v, false
		}
		next := append(slices.DeleteFunc(slices.Clone(v.Members), func(m string) bool { return m == out }), in)
		slices.Sort(next)
		v.Epoch, v.Prior, v.Members = v.Epoch+1, v.Members, next
		return v, true
	}
}

// TestNothingAcknowledgedIsLost runs machines that are killed, wiped one at a time and replaced, operators that send two
// contents under one revision, and a network that loses, duplicates and reorders messages. A value once reported as
// committed stays so, and no revision ever has two contents.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playFaults(t, rapid.Uint64().Draw(t, "seed")) })
}

// TestNothingAcknowledgedIsLostInKnownPlays runs the plays in which a proposer's rounds followed each other without end.
func TestNothingAcknowledgedIsLostInKnownPlays(t *testing.T) {
	for _, seed := range []uint64{179936, 24525} {
		playFaults(t, seed)
	}
}

// playFaults runs one play of faults, drawn from the seed, and then checks that a write succeeds without faults.
func playFaults(t failer, seed uint64) {
	s := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), machines: map[string]*machine{},
		body: map[uint64]string{}, puts: map[string]map[uint64]uint64{}}
	s.names = []string{"a", "b", "c", "d", "e", "f"}
	initial := Value{Members: []string{"a", "b", "c"}}
	for i, n := range s.names {
		s.machines[n] = &machine{}
		if i < 3 {
			s.machines[n].disk = Acceptor{State{Value: initial}, true}
		}
		s.start(n, initial)
	}
	wiped := 0
	for step := range 3000 {
		s.now += 2 * ms
		n := s.names[s.rng.IntN(len(s.names))]
		x := s.machines[n]
		switch k := s.rng.IntN(1000); {
		case k < 12 && x.up:
			s.edit(n, put(uint64(step/40+1), fmt.Sprint(n, step)))
		case k < 18 && x.up:
			s.edit(n, func(v Value) (Value, bool) { return v, false })
		case k < 20 && x.up:
			s.edit(n, swap("", s.names[3+s.rng.IntN(2)]))
		case k < 22 && x.up:
			s.edit(n, swap(s.names[s.rng.IntN(6)], s.names[s.rng.IntN(6)]))
		case k < 28:
			x.up, x.joiner = false, nil
		case k < 30 && s.caughtUp() == len(s.names) && wiped < 4: // one disk at a time: the register does not tolerate more lost disks
			wiped++
			x.disk, x.up, x.joiner = Acceptor{}, false, nil
		case k < 70 && !x.up:
			s.start(n, initial)
		case k < 150 && x.up:
			s.carry(n, x.proposer.Tick(s.now))
			if x.joiner != nil {
				s.send(n, x.joiner.Targets(s.names), x.joiner.Request())
			}
		default:
			if len(s.network) == 0 {
				continue
			}
			i := s.rng.IntN(len(s.network))
			p := s.network[i]
			if s.rng.IntN(12) > 0 { // otherwise it is delivered twice
				s.network = slices.Delete(s.network, i, i+1)
			}
			if s.rng.IntN(12) > 0 {
				s.deliver(p)
			}
		}
	}
	// Without further faults a write must succeed.
	for _, n := range s.names {
		if !s.machines[n].up {
			s.start(n, initial)
		}
	}
	s.network = nil
	s.edit("a", put(1000, "last"))
	for range 4000 {
		s.now += 10 * ms
		for _, n := range s.names {
			x := s.machines[n]
			s.carry(n, x.proposer.Tick(s.now))
			if x.joiner != nil {
				s.send(n, x.joiner.Targets(s.names), x.joiner.Request())
			}
		}
		s.deliverAll()
		if s.floor == 1000 {
			return
		}
	}
	t.Fatalf("no round succeeded without faults")
}

// maxDeliveries is more messages than the edits of one play need where each is applied once.
const maxDeliveries = 100_000

// deliverAll delivers messages in their order until there are none.
func (s *cluster) deliverAll() {
	for n := 0; len(s.network) > 0; n++ {
		if n == maxDeliveries {
			s.t.Fatalf("after %d messages at one time there are still more: rounds without end", n)
		}
		p := s.network[0]
		s.network = s.network[1:]
		s.deliver(p)
	}
}

// caughtUp returns the number of acceptors that count.
func (s *cluster) caughtUp() (n int) {
	for _, x := range s.machines {
		if x.disk.CaughtUp {
			n++
		}
	}
	return n
}

// TestEmptyDiskCountsForNothing: an acceptor that has lost its state does not answer, so that it is in no majority that does
// not know a committed value.
func TestEmptyDiskCountsForNothing(t *testing.T) {
	d := Acceptor{}
	_, _, ok := d.Step(Message{Kind: Prepare, Ballot: Ballot{9, "x"}})
	must.False(t, ok)
	d.CaughtUp = true
	a, save, ok := d.Step(Message{Kind: Prepare, Ballot: Ballot{9, "x"}})
	must.True(t, ok && save)
	must.Eq(t, Promised, a.Kind)
	a, _, _ = d.Step(Message{Kind: Accept, Ballot: Ballot{8, "y"}})
	must.Eq(t, Refused, a.Kind)
}

// TestJoinerBinds: no round with an older ballot can complete at a member that has promised the joiner.
func TestJoinerBinds(t *testing.T) {
	members := []string{"a", "b", "c"}
	j := NewJoiner("c", "c/2", nil)
	other := Acceptor{State{Promised: Ballot{7, "p"}, Value: Value{Members: members}}, true}
	a, _, _ := other.Step(j.Request())
	must.Eq(t, Refused, a.Kind)
	_, done := j.HandleAnswer("a", a)
	must.False(t, done)
	a, _, _ = other.Step(j.Request())
	must.Eq(t, Promised, a.Kind)
	_, done = j.HandleAnswer("a", a)
	must.False(t, done)
	state, done := j.HandleAnswer("b", a)
	must.True(t, done)
	must.Eq(t, Ballot{8, "c/2/joiner"}, state.Promised)
	late, _, _ := other.Step(Message{Kind: Accept, Ballot: Ballot{7, "p"}})
	must.Eq(t, Refused, late.Kind)
}

// TestJoinerTakesNoAnswerToTheProposer: the joiner and the proposer of a process may ask under the same number at the same time. An answer
// to the proposer may omit the body, and a disk that took it for the joiner's counted without the body.
func TestJoinerTakesNoAnswerToTheProposer(t *testing.T) {
	members := Value{Members: []string{"a", "b", "c"}, Revision: 5, Body: []byte("five")}
	disks := newDisks(members)
	disks["c"] = &Acceptor{}
	for _, name := range []string{"a", "b"} {
		disks[name].Promised, disks[name].Accepted = Ballot{7, "p"}, Ballot{7, "p"}
	}
	proposer, joiner := NewProposer("c/2", members, func() float64 { return 0.5 }), NewJoiner("c", "c/2", nil)
	_, out := proposer.Edit(0, put(5, "")) // changes nothing; the proposer holds the body afterwards
	must.SliceLen(t, 1, drive(t, 0, proposer, out, disks, everyone))
	refusal, _, _ := disks["a"].Step(joiner.Request())
	joiner.HandleAnswer("a", refusal)
	_, out = proposer.Edit(0, put(6, "six"))
	must.SliceEmpty(t, drive(t, 0, proposer, out, disks, func(to string, m Message) bool {
		if m.Kind == Prepare && to != "c" {
			must.Eq(t, joiner.Request().Ballot.Number, m.Ballot.Number)
			answer, _, _ := disks[to].Step(m)
			must.True(t, answer.BodyOmitted)
			_, done := joiner.HandleAnswer(to, answer)
			must.False(t, done)
		}
		return m.Kind == Query
	}))
	state, done := joinFrom(joiner, disks)
	must.True(t, done)
	must.Eq(t, "five", string(state.Value.Body))
}

// joinFrom lets a joiner ask the acceptors until one more answer is not needed.
func joinFrom(joiner *Joiner, disks map[string]*Acceptor) (state State, done bool) {
	for range len(disks) {
		for _, name := range joiner.Targets([]string{"a", "b", "c"}) {
			answer, _, _ := disks[name].Step(joiner.Request())
			if state, done = joiner.HandleAnswer(name, answer); done {
				return state, done
			}
		}
	}
	return state, done
}

// TestBallotsOfTwoLives: a proposer that is not a member has no disk, so its second incarnation starts with the same ballot
// numbers as the first. A value that the first wrote to a minority must not be mistaken for what the second wrote.
func TestBallotsOfTwoLives(t *testing.T) {
	initial := Value{Members: []string{"a", "b", "c"}}
	disks := newDisks(initial)
	half := func() float64 { return 0.5 }
	first := NewProposer("d/1", initial, half)
	_, out := first.Edit(0, put(5, "x"))
	drive(t, 0, first, out, disks, func(to string, m Message) bool { return to == "a" || to == "b" && m.Kind != Accept })
	must.Eq(t, "x", string(disks["a"].Value.Body))
	second := NewProposer("d/2", initial, half)
	_, out = second.Edit(0, put(5, "y"))
	done := drive(t, 0, second, out, disks, func(to string, _ Message) bool { return to != "a" })
	must.SliceLen(t, 1, done)
	must.Eq(t, "y", string(done[0].Value.Body))
	reader := NewProposer("e/1", initial, half)
	_, out = reader.Edit(0, func(v Value) (Value, bool) { return v, false })
	notC := func(to string, _ Message) bool { return to != "c" }
	must.SliceEmpty(t, drive(t, 0, reader, out, disks, notC)) // whether y is committed is unknown without the answer of c
	done = drive(t, 0, reader, reader.Tick(300*ms), disks, notC)
	must.SliceLen(t, 1, done)
	must.Eq(t, "y", string(done[0].Value.Body))
}
