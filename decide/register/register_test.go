package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// site is one machine: what its disk holds outlives its processes, unless it is wiped.
type site struct {
	disk     Acceptor
	proposer *Proposer
	joiner   *Joiner
	up       bool
	life     int
}

type packet struct {
	from, to string
	life     int // of the sender: what a dead process had on the way may still come
	m        Message
}

// sea is a set of machines whose messages are lost, doubled and reordered as the draws say.
type sea struct {
	t     *rapid.T
	rng   *rand.Rand
	sites map[string]*site
	names []string
	wire  []packet
	now   int64
	acked map[uint64]bool   // revisions whose put was acknowledged
	body  map[uint64]string // what was ever told to stand under a revision
	floor uint64            // the highest acknowledged
	puts  map[string]map[uint64]uint64
}

func (s *sea) start(name string, known Value) {
	x := s.sites[name]
	x.up, x.life = true, x.life+1
	own := fmt.Sprint(name, "/", x.life)
	if !x.disk.CaughtUp {
		x.joiner = NewJoiner(name, own)
	}
	if len(x.disk.Value.Members) > 0 {
		known = x.disk.Value
	}
	x.proposer = NewProposer(own, known, s.rng.Float64)
	x.proposer.ObserveBallot(x.disk.Promised)
	s.puts[name] = map[uint64]uint64{}
}

func (s *sea) send(from string, to []string, m Message) {
	for _, t := range to {
		s.wire = append(s.wire, packet{from, t, s.sites[from].life, m})
	}
}

// carry does what a proposer asks for, and checks what it says stands.
func (s *sea) carry(name string, o Out) {
	for _, d := range o.Done {
		v := d.Value
		if was, ok := s.body[v.Revision]; ok && was != string(v.Body) {
			s.t.Fatalf("revision %d stands with %q and with %q", v.Revision, was, v.Body)
		}
		s.body[v.Revision] = string(v.Body)
		begun := s.puts[name][d.ID]
		if v.Revision < begun {
			s.t.Fatalf("an edit that began after revision %d was acknowledged found %d standing", begun, v.Revision)
		}
		if v.Revision > s.floor {
			s.floor = v.Revision
		}
	}
	if len(o.To) > 0 {
		s.send(name, o.To, o.Send)
	}
}

func (s *sea) deliver(p packet) {
	x := s.sites[p.to]
	if x == nil || !x.up {
		return
	}
	switch p.m.Kind {
	case Prepare, Accept, Query:
		if a, _, ok := x.disk.Step(p.m); ok { // a sync comes before the answer
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

func (s *sea) edit(name string, e Edit) {
	x := s.sites[name]
	id, out := x.proposer.Edit(s.now, e)
	s.puts[name][id] = s.floor
	s.carry(name, out)
}

func put(revision uint64, body string) Edit {
	return func(v Value) (Value, bool) {
		if revision <= v.Revision {
			return v, false
		}
		v.Revision, v.Body = revision, []byte(body)
		return v, true
	}
}

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

// TestNothingAcknowledgedIsLost plays disks that are killed, wiped one at a time and replaced, operators that
// send two contents under one number, and a network that loses, doubles and reorders. What was told to stand
// once stands from then on, and no number ever has two contents.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := &sea{t: t, rng: rand.New(rand.NewPCG(seed, 1)), sites: map[string]*site{}, acked: map[uint64]bool{},
			body: map[uint64]string{}, puts: map[string]map[uint64]uint64{}}
		s.names = []string{"a", "b", "c", "d", "e", "f"}
		seeds := Value{Members: []string{"a", "b", "c"}}
		for i, n := range s.names {
			s.sites[n] = &site{}
			if i < 3 {
				s.sites[n].disk = Acceptor{State{Value: seeds}, true}
			}
			s.start(n, seeds)
		}
		wiped := 0
		for step := range 3000 {
			s.now += 2 * ms
			n := s.names[s.rng.IntN(len(s.names))]
			x := s.sites[n]
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
			case k < 30 && s.whole() == len(s.names) && wiped < 4: // one at a time, as the budget says
				wiped++
				x.disk, x.up, x.joiner = Acceptor{}, false, nil
			case k < 70 && !x.up:
				s.start(n, seeds)
			case k < 150 && x.up:
				s.carry(n, x.proposer.Tick(s.now))
				if x.joiner != nil {
					s.send(n, x.joiner.Targets(s.names), x.joiner.Request())
				}
			default:
				if len(s.wire) == 0 {
					continue
				}
				i := s.rng.IntN(len(s.wire))
				p := s.wire[i]
				if s.rng.IntN(12) > 0 { // else it comes again
					s.wire = slices.Delete(s.wire, i, i+1)
				}
				if s.rng.IntN(12) > 0 {
					s.deliver(p)
				}
			}
		}
		// Left in peace, it comes to rest, and a read finds what was acknowledged.
		for _, n := range s.names {
			if !s.sites[n].up {
				s.start(n, seeds)
			}
		}
		s.wire = nil
		s.edit("a", put(1000, "last"))
		for range 4000 {
			s.now += 10 * ms
			for _, n := range s.names {
				x := s.sites[n]
				s.carry(n, x.proposer.Tick(s.now))
				if x.joiner != nil {
					s.send(n, x.joiner.Targets(s.names), x.joiner.Request())
				}
			}
			for len(s.wire) > 0 {
				p := s.wire[0]
				s.wire = s.wire[1:]
				s.deliver(p)
			}
			if s.floor == 1000 {
				return
			}
		}
		t.Fatalf("no round came through in peace")
	})
}

func (s *sea) whole() (n int) {
	for _, x := range s.sites {
		if x.disk.CaughtUp {
			n++
		}
	}
	return n
}

// TestEmptyDiskCountsForNothing: a disk that forgot must not make up a majority that never heard of a value.
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

// TestJoinerBinds: what the others tell a joiner, no older round can undo.
func TestJoinerBinds(t *testing.T) {
	members := []string{"a", "b", "c"}
	j := NewJoiner("c", "c/2")
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
	must.Eq(t, Ballot{8, "c/2"}, state.Promised)
	late, _, _ := other.Step(Message{Kind: Accept, Ballot: Ballot{7, "p"}})
	must.Eq(t, Refused, late.Kind)
}

// TestBallotsOfTwoLives: a proposer that is no member keeps nothing on a disk. Its second life begins with
// the same numbers, and what the first had half written must not pass for what the second wrote.
func TestBallotsOfTwoLives(t *testing.T) {
	seeds := Value{Members: []string{"a", "b", "c"}}
	disks := map[string]*Acceptor{}
	for _, n := range seeds.Members {
		disks[n] = &Acceptor{State{Value: seeds}, true}
	}
	half := func() float64 { return 0.5 }
	// drive carries a proposer's messages to those disks that answer, until it asks for a message that stop says
	// is the last.
	drive := func(p *Proposer, out Out, reach func(to string, m Message) bool) (done []EditResult) {
		for len(out.To) > 0 {
			var next Out
			for _, to := range out.To {
				if reach(to, out.Send) {
					a, _, _ := disks[to].Step(out.Send)
					o := p.Step(0, to, a)
					done = append(done, o.Done...)
					if len(o.To) > 0 {
						next = o
					}
				}
			}
			out = next
		}
		return done
	}
	first := NewProposer("d/1", seeds, half)
	_, out := first.Edit(0, put(5, "x"))
	drive(first, out, func(to string, m Message) bool { return to == "a" || to == "b" && m.Kind != Accept })
	must.Eq(t, "x", string(disks["a"].Value.Body))
	second := NewProposer("d/2", seeds, half)
	_, out = second.Edit(0, put(5, "y"))
	done := drive(second, out, func(to string, _ Message) bool { return to != "a" })
	must.SliceLen(t, 1, done)
	must.Eq(t, "y", string(done[0].Value.Body))
	reader := NewProposer("e/1", seeds, half)
	_, out = reader.Edit(0, func(v Value) (Value, bool) { return v, false })
	notC := func(to string, _ Message) bool { return to != "c" }
	must.SliceEmpty(t, drive(reader, out, notC)) // it may stand, and may not
	done = drive(reader, reader.Tick(300*ms), notC)
	must.SliceLen(t, 1, done)
	must.Eq(t, "y", string(done[0].Value.Body))
}
