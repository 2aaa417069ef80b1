package emulator

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"willowsill/decide/sharedhealth"
	"willowsill/lab/emulator/agenda"
	"willowsill/lab/emulator/checker"
)

// Stores are the ways in which a shared store behaves; none is no store.
var Stores = []string{"none", "good", "late", "flapping", "stale", "liar", "vanished"}

const (
	storeWay   = int64(1e6) // to the store, and back
	storeClock = int64(1_700_000_000e9)
	storeRound = int64(500e6)
	storeWait  = int64(150e6)
	staleAfter = int64(10e9)
	staleEach  = int64(5e9) // a stale store falls back to what it held a while before
)

var errGone = errors.New("no answer")

// request and reply are what travels between an aggregator and the store; a message is handed over whole.
type request struct {
	name string
	what *sharedhealth.Request
}

// store is a model of the shared store: an entity of its own.
type store struct {
	outlet
	*Plan
	now, kept shelves
	chance    *rand.Rand
	rounds    int64
	commands  int64
	bytes     int64
}

type shelves struct {
	presence map[string][]byte
	findings map[string][]byte
	members  map[string]int64
	tokens   map[string]int64
}

func newShelves() shelves {
	return shelves{map[string][]byte{}, map[string][]byte{}, map[string]int64{}, map[string]int64{}}
}

func (s shelves) copy() shelves {
	return shelves{maps.Clone(s.presence), maps.Clone(s.findings), maps.Clone(s.members), maps.Clone(s.tokens)}
}

// overspent checks the quotas' bounds over all aggregators.
func (w *world) overspent() (all []checker.Broken) {
	if w.Store == "" || w.Store == "none" {
		return nil
	}
	for n, l := range w.Loads {
		if l.Quota <= 0 {
			continue
		}
		var times []int64
		for _, a := range w.aggs {
			times = append(times, a.spent[n]...)
		}
		slices.Sort(times)
		window := max(10, 10*float64(w.Aggregators)/l.Quota) // seconds: ten queries at each aggregator, ten seconds at least
		all = append(all, checker.Spent(times, l.Name, l.Quota, l.Quota, window, w.Aggregators)...)
	}
	return all
}

// silent tells whether the store answers nothing now.
func (s *store) silent(now int64) bool {
	switch since := now - origin; s.Store {
	case "late":
		return true // it answers, and long after the deadline
	case "flapping":
		return since/1e9%5 >= 2
	case "vanished": // once the trouble is there, when what it says is wanted most
		return since >= s.From+1e9
	}
	return false
}

func (s *store) happen(now int64, e agenda.Event) {
	if e.Kind == beginsAgain { // it falls back
		was := s.now.copy()
		s.now, s.kept = s.kept, was
		s.cause(now, agenda.Event{At: now + staleEach, To: s.self, Kind: beginsAgain})
		return
	}
	if s.rounds++; s.silent(now) {
		return
	}
	r := e.Load.(request)
	s.cause(now, agenda.Event{At: now + storeWay, To: e.From, Kind: storeTells, Value: e.Value, Load: s.carry(now, r)})
}

// carry does what a request asks for.
func (s *store) carry(now int64, q request) (reply sharedhealth.Reply) {
	st, r := &s.now, q.what
	reply.StoreTime = now - origin + storeClock
	reply.OwnPresence = st.presence[q.name]
	st.presence[q.name] = r.Presence
	s.commands += 4
	s.bytes += int64(2 * len(r.Presence))
	if r.HeartbeatScore > 0 {
		s.commands += 2
		st.members[q.name] = r.HeartbeatScore
		for _, at := range st.members {
			if at >= r.MinLiveScore {
				reply.LiveMembers++
			}
		}
	}
	if r.SweepMaxScore > 0 {
		s.commands++
		maps.DeleteFunc(st.members, func(_ string, at int64) bool { return at <= r.SweepMaxScore })
	}
	if delete(st.findings, q.name); r.Findings != nil {
		st.findings[q.name] = r.Findings
		s.bytes += int64(len(r.Findings))
	}
	for _, name := range r.DropFindings {
		delete(st.findings, name)
	}
	if r.SampleSize > 0 {
		s.commands++
		names := slices.Sorted(maps.Keys(st.findings))
		s.chance.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names[:min(len(names), r.SampleSize)] {
			reply.Entries = append(reply.Entries, sharedhealth.Entry{Name: name, Data: st.findings[name]})
			s.bytes += int64(len(name) + len(st.findings[name]))
		}
	}
	key := func(quota int, window int64) string { return fmt.Sprint(quota, ":", window) }
	for _, q := range r.CountReads {
		counts := make([]int64, q.Windows())
		for i := range counts {
			counts[i] = st.tokens[key(q.Quota, q.Window-1-int64(i))]
		}
		s.commands++
		reply.Counts = append(reply.Counts, counts)
	}
	for _, take := range r.TokenRequests {
		s.commands += 2
		st.tokens[key(take.Quota, take.Window)] += take.Units
		reply.Totals = append(reply.Totals, st.tokens[key(take.Quota, take.Window)])
	}
	return reply
}

// member is an aggregator's part in what is shared.
type member struct {
	name   string
	shared *sharedhealth.Exchange
	purse  *sharedhealth.QuotaBudget
	quotas map[int]int // of loads, by number
	turn   int64       // the round that is under way, or the last
	open   bool
}

// join gives an aggregator that begins its part in what is shared.
func (a *aggregator) join(now int64) {
	_, isTrue := a.brain.(*module)
	if a.Store == "none" || a.Store == "" || !isTrue {
		return
	}
	d := a.deployment(int(a.self))
	t := sharedhealth.Config{Name: fmt.Sprint("n", a.self), Incarnation: uint64(now), Seed: a.Seed<<20 + uint64(a.self), RoundInterval: storeRound,
		RoundTimeout: storeWait, SampleSize: 24, Aggregators: a.Aggregators, BaseEjection: d.BaseEjection(), HealthEnabled: true}
	was := a.member
	a.member = &member{name: t.Name, quotas: map[int]int{}}
	if was != nil {
		a.member.turn = was.turn
	}
	for n, l := range a.Loads {
		if l.Quota > 0 {
			a.member.quotas[n] = len(t.Quotas)
			t.Quotas = append(t.Quotas, sharedhealth.Quota{Customer: l.Name, Rate: l.Quota, Burst: l.Quota})
		}
	}
	a.member.shared = sharedhealth.New(now, t)
	if len(t.Quotas) > 0 {
		a.member.purse = sharedhealth.NewQuotaBudget(now, t.Quotas, t.Aggregators)
	}
	a.cause(now, agenda.Event{At: a.member.shared.Next(), To: a.self, Kind: shares, Value: a.member.turn})
}

// over tells whether a query's customer is over its quota, as far as this aggregator knows.
func (a *aggregator) over(now int64, load int) bool {
	if a.member == nil || a.member.purse == nil {
		return false
	}
	quota, has := a.member.quotas[load]
	if !has {
		return false
	}
	if !a.member.purse.Spend(now, quota) {
		return true
	}
	a.spent[load] = append(a.spent[load], now)
	return false
}

// share begins a round with the store.
func (a *aggregator) share(now int64) {
	m := a.member
	survey := sharedhealth.Survey{Findings: a.brain.(*module).aggregator.Findings(now, nil)}
	for _, f := range survey.Findings {
		survey.Keys = append(survey.Keys, sharedhealth.ReplicaKey("s-"+strconv.Itoa(f.Replica), a.listing(f.Replica).StartedAt))
	}
	if m.purse != nil {
		m.purse.AppendSurvey(now, &survey)
	}
	if a.Store == "liar" && a.self == 0 && now >= origin+a.From && now < origin+a.Until {
		lie(now, &survey)
	}
	m.shared.RecordSurvey(now, survey)
	r := m.shared.Decide(now)
	m.turn++
	if r == nil {
		a.cause(now, agenda.Event{At: max(m.shared.Next(), now+storeWay), To: a.self, Kind: shares, Value: m.turn})
		return
	}
	m.open = true
	a.cause(now, agenda.Event{At: now + storeWay, To: int32(a.Aggregators + a.Replicas), Kind: storeHears, Value: m.turn,
		Load: request{m.name, r}})
	a.cause(now, agenda.Event{At: r.Deadline, To: a.self, Kind: storeLate, Value: m.turn})
}

// shared ends a round with what it allows.
func (a *aggregator) shared(now int64, allowed sharedhealth.RoundResult) {
	m := a.member
	m.open = false
	for _, w := range allowed.Reports {
		a.brain.(*module).aggregator.ApplyReport(now, w)
	}
	if m.purse != nil {
		m.purse.Apply(now, allowed.Leases, allowed.LocalRates)
	}
	a.moved(now)
	a.cause(now, agenda.Event{At: m.shared.Next(), To: a.self, Kind: shares, Value: m.turn})
}

// meets is an event of the store's, at an aggregator.
func (a *aggregator) meets(now int64, e agenda.Event) {
	m := a.member
	if m == nil || a.down || e.Value != m.turn { // of a life before, or of a round that is over
		return
	}
	switch {
	case e.Kind == shares && !m.open:
		a.share(now)
	case e.Kind == storeTells && m.open:
		a.shared(now, m.shared.HandleReply(now, e.Load.(sharedhealth.Reply)))
	case e.Kind == storeLate && m.open:
		a.shared(now, m.shared.HandleFailure(now, errGone))
	}
}

// lie accuses as many sound replicas as a witness may and be heard, and finds the sick ones well.
func lie(now int64, survey *sharedhealth.Survey) {
	for i := range survey.Findings {
		f := &survey.Findings[i]
		f.Ejected, f.LastFailure, f.Slowdown = false, 0, 0
		f.LastSuccess = now
		if i%3 == 1 {
			f.Ejected, f.LastFailure, f.LastSuccess = true, now, 0
		}
	}
}
