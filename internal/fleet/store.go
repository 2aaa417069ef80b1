package fleet

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"willowsill/balance"
	"willowsill/commons"
)

// StoreMode is how the model store behaves.
type StoreMode string

const (
	None     StoreMode = "none"
	Good     StoreMode = "good"
	TwoS     StoreMode = "2 s"
	Flaps    StoreMode = "flapping"
	StaleOne StoreMode = "stale"
	Liar     StoreMode = "one liar"
	Vanished StoreMode = "vanished"
)

// StoreModes are all, none first.
var StoreModes = []StoreMode{None, Good, TwoS, Flaps, StaleOne, Liar, Vanished}

const (
	storeWay   = ms // to the store, and back
	storeClock = 1_700_000_000 * second
	round      = 500 * ms
	deadline   = 150 * ms
)

var errGone = errors.New("no answer")

// modelStore keeps what the keys of the true one would.
type modelStore struct {
	w        *world
	state    storeState
	old      storeState // what a stale store answers with
	chance   *rand.Rand
	rounds   int64
	commands int64
	bytes    int64
}

type storeState struct {
	presence map[string][]byte
	findings map[string][]byte
	members  map[string]int64
	tokens   map[string]int64
}

func (s storeState) copy() storeState {
	return storeState{maps.Clone(s.presence), maps.Clone(s.findings), maps.Clone(s.members), maps.Clone(s.tokens)}
}

func newModelStore(w *world) *modelStore {
	s := &modelStore{w: w, chance: rand.New(rand.NewPCG(w.Seed, 3)), state: storeState{map[string][]byte{}, map[string][]byte{}, map[string]int64{}, map[string]int64{}}}
	if w.Store == StaleOne { // every five seconds it falls back to what it held ten seconds before
		s.old = s.state.copy()
		var turn func()
		turn = func() {
			kept := s.state.copy()
			s.state, s.old = s.old, kept
			w.at(w.now+5*second, turn)
		}
		w.at(w.now+10*second, turn)
	}
	return s
}

// down tells whether the store answers nothing now.
func (s *modelStore) down() bool {
	switch now := s.w.now - origin; s.w.Store {
	case TwoS:
		return true // it answers, and long after the deadline
	case Flaps:
		return now/second%5 >= 2
	case Vanished: // with the trouble, when what it says is wanted most
		return now >= s.w.From+second
	}
	return false
}

// join gives an aggregator its part in what is shared.
func (s *modelStore) join(a *aggregator, d balance.Deployment) {
	if s.w.Store == None {
		return
	}
	t := commons.Terms{Name: fmt.Sprint("n", a.number), Incarnation: uint64(s.w.now), Seed: s.w.Seed<<20 + uint64(a.number),
		Round: round, Deadline: deadline, Sample: 24, Aggregators: d.Aggregators, Rest: d.Rest(), Health: true}
	for _, c := range s.w.Customers {
		a.quotas[c.Name] = len(t.Quotas)
		t.Quotas = append(t.Quotas, commons.Quota{Customer: c.Name, Rate: c.Quota, Burst: c.Quota})
	}
	a.shared = commons.New(s.w.now, t)
	if len(t.Quotas) > 0 {
		a.purse = commons.NewPurse(s.w.now, t.Quotas, t.Aggregators)
	}
	s.w.at(a.shared.Next(), func() { s.turn(a, t) })
}

// turn is one turn of an aggregator with the store.
func (s *modelStore) turn(a *aggregator, t commons.Terms) {
	now := s.w.now
	survey := commons.Survey{Findings: a.module.Findings(now, nil)}
	for _, f := range survey.Findings {
		survey.Keys = append(survey.Keys, commons.Key("s-"+strconv.Itoa(f.Replica), s.w.backs[f.Replica].started))
	}
	if a.purse != nil {
		a.purse.Survey(now, &survey)
	}
	if s.w.Store == Liar && a.number == 0 && s.w.trouble() {
		s.lie(&survey)
	}
	a.shared.Survey(now, survey)
	r := a.shared.Decide(now)
	finish := func(allowed commons.Allowance) {
		for _, w := range allowed.Words {
			a.module.Hear(s.w.now, w)
		}
		if a.purse != nil {
			a.purse.Receive(s.w.now, allowed.Leases, allowed.Locals)
		}
		a.moved()
		s.w.at(a.shared.Next(), func() { s.turn(a, t) })
	}
	if r == nil {
		s.w.at(max(a.shared.Next(), now+ms), func() { s.turn(a, t) })
		return
	}
	s.rounds++
	if s.down() {
		s.w.at(r.By, func() { finish(a.shared.Fail(s.w.now, errGone)) })
		return
	}
	s.w.at(now+storeWay, func() {
		reply := s.carry(t, r)
		s.w.at(s.w.now+storeWay, func() { finish(a.shared.Answer(s.w.now, reply)) })
	})
}

// lie accuses as many sound replicas as a witness may and be heard, and finds the sick one well.
func (s *modelStore) lie(survey *commons.Survey) {
	for i := range survey.Findings {
		f := &survey.Findings[i]
		f.Aside, f.Failed, f.Pace = false, 0, 0
		f.Heard = s.w.now
		if i%3 == 1 {
			f.Aside, f.Failed, f.Heard = true, s.w.now, 0
		}
	}
}

// carry does what a request asks for.
func (s *modelStore) carry(t commons.Terms, r *commons.Request) (reply commons.Reply) {
	st := &s.state
	reply.Clock = s.w.now - origin + storeClock
	reply.Own = st.presence[t.Name]
	st.presence[t.Name] = r.Presence
	s.commands += 3
	s.bytes += int64(2 * len(r.Presence))
	if r.Heartbeat > 0 {
		s.commands += 2
		st.members[t.Name] = r.Heartbeat
		for _, at := range st.members {
			if at >= r.LiveFrom {
				reply.Live++
			}
		}
	}
	if r.SweepTo > 0 {
		s.commands++
		maps.DeleteFunc(st.members, func(_ string, at int64) bool { return at <= r.SweepTo })
	}
	if s.commands++; r.Findings != nil {
		st.findings[t.Name] = r.Findings
		s.bytes += int64(len(r.Findings))
	} else {
		delete(st.findings, t.Name)
	}
	for _, name := range r.Drop {
		delete(st.findings, name)
	}
	if r.Sample > 0 {
		s.commands++
		names := slices.Sorted(maps.Keys(st.findings))
		s.chance.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names[:min(len(names), r.Sample)] {
			reply.Entries = append(reply.Entries, commons.Entry{Name: name, Text: st.findings[name]})
			s.bytes += int64(len(name) + len(st.findings[name]))
		}
	}
	key := func(quota int, window int64) string { return fmt.Sprint(quota, ":", window) }
	for _, q := range r.Reads {
		counts := make([]int64, q.Counts())
		for i := range counts {
			counts[i] = st.tokens[key(q.Quota, q.Window-1-int64(i))]
		}
		s.commands++
		reply.Counts = append(reply.Counts, counts)
	}
	for _, take := range r.Takes {
		s.commands += 2
		st.tokens[key(take.Quota, take.Window)] += take.Units
		reply.Totals = append(reply.Totals, st.tokens[key(take.Quota, take.Window)])
	}
	return reply
}

func (s *modelStore) report(r *Result) { r.Rounds, r.Commands, r.Bytes = s.rounds, s.commands, s.bytes }
