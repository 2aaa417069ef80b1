package emulator

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"willowsill/decide/sharedhealth"
	"willowsill/lab/emulator/checker"
	"willowsill/lab/emulator/eventqueue"
)

// StoreModes are the ways in which a shared store behaves; none is no store.
var StoreModes = []string{"none", "good", "late", "flapping", "stale", "liar", "vanished"}

const (
	storeDelay         = int64(1e6) // to the store, and back
	storeClock         = int64(1_700_000_000e9)
	storeRoundInterval = int64(500e6)
	storeRoundTimeout  = int64(150e6)
	staleStart         = int64(10e9)
	staleInterval      = int64(5e9) // a stale store falls back to what it held a while before
)

var errStoreSilent = errors.New("no answer")

// storeRequest and reply are what travels between an aggregator and the store; a message is handed over whole.
type storeRequest struct {
	member string
	body   *sharedhealth.Request
}

// sharedStore is a model of the shared store: an entity of its own.
type sharedStore struct {
	emitter
	*Plan
	current, stale storeData
	rng            *rand.Rand
	rounds         int64
	commands       int64
	bytes          int64
}

type storeData struct {
	presence map[string][]byte
	findings map[string][]byte
	members  map[string]int64
	tokens   map[string]int64
}

func newStoreData() storeData {
	return storeData{map[string][]byte{}, map[string][]byte{}, map[string]int64{}, map[string]int64{}}
}

func (s storeData) clone() storeData {
	return storeData{maps.Clone(s.presence), maps.Clone(s.findings), maps.Clone(s.members), maps.Clone(s.tokens)}
}

// quotaViolations checks the quotas' bounds over all aggregators.
func (w *simulation) quotaViolations() (all []checker.Violation) {
	if w.StoreMode == "" || w.StoreMode == "none" {
		return nil
	}
	for n, l := range w.Workloads {
		if l.Quota <= 0 {
			continue
		}
		var times []int64
		for _, a := range w.aggregators {
			times = append(times, a.quotaUses[n]...)
		}
		slices.Sort(times)
		window := max(10, 10*float64(w.Aggregators)/l.Quota) // seconds: ten queries at each aggregator, ten seconds at least
		all = append(all, checker.CheckQuota(times, l.Name, l.Quota, l.Quota, window, w.Aggregators)...)
	}
	return all
}

// isSilent tells whether the store answers nothing now.
func (s *sharedStore) isSilent(now int64) bool {
	switch since := now - origin; s.StoreMode {
	case "late":
		return true // it answers, and long after the deadline
	case "flapping":
		return since/1e9%5 >= 2
	case "vanished": // once the trouble is there, when what it says is wanted most
		return since >= s.MeasureFrom+1e9
	}
	return false
}

func (s *sharedStore) handle(now int64, e eventqueue.Event) {
	if e.Kind == eventFaultRepeats { // it falls back
		was := s.current.clone()
		s.current, s.stale = s.stale, was
		s.emit(now, eventqueue.Event{At: now + staleInterval, To: s.entityID, Kind: eventFaultRepeats})
		return
	}
	if s.rounds++; s.isSilent(now) {
		return
	}
	r := e.Payload.(storeRequest)
	s.emit(now, eventqueue.Event{At: now + storeDelay, To: e.From, Kind: eventStoreReply, Value: e.Value, Payload: s.execute(now, r)})
}

// execute does what a request asks for.
func (s *sharedStore) execute(now int64, q storeRequest) (reply sharedhealth.Reply) {
	st, r := &s.current, q.body
	reply.StoreTime = now - origin + storeClock
	reply.OwnPresence = st.presence[q.member]
	st.presence[q.member] = r.Presence
	s.commands += 4
	s.bytes += int64(2 * len(r.Presence))
	if r.HeartbeatScore > 0 {
		s.commands += 2
		st.members[q.member] = r.HeartbeatScore
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
	if delete(st.findings, q.member); r.Findings != nil {
		st.findings[q.member] = r.Findings
		s.bytes += int64(len(r.Findings))
	}
	for _, name := range r.DropFindings {
		delete(st.findings, name)
	}
	if r.SampleSize > 0 {
		s.commands++
		names := slices.Sorted(maps.Keys(st.findings))
		s.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
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

// storeMember is an aggregator's part in what is shared.
type storeMember struct {
	name        string
	exchange    *sharedhealth.Exchange
	quotaBudget *sharedhealth.QuotaBudget
	quotas      map[int]int // of loads, by number
	round       int64       // the round that is under way, or the last
	roundOpen   bool
}

// joinStore gives an aggregator that begins its part in what is shared.
func (a *aggregator) joinStore(now int64) {
	_, isTrue := a.decider.(*moduleDecider)
	if a.StoreMode == "none" || a.StoreMode == "" || !isTrue {
		return
	}
	d := a.deployment(int(a.entityID))
	t := sharedhealth.Config{Name: fmt.Sprint("n", a.entityID), Incarnation: uint64(now), Seed: a.Seed<<20 + uint64(a.entityID), RoundInterval: storeRoundInterval,
		RoundTimeout: storeRoundTimeout, SampleSize: 24, Aggregators: a.Aggregators, BaseEjection: d.BaseEjection(), HealthEnabled: true}
	was := a.member
	a.member = &storeMember{name: t.Name, quotas: map[int]int{}}
	if was != nil {
		a.member.round = was.round
	}
	for n, l := range a.Workloads {
		if l.Quota > 0 {
			a.member.quotas[n] = len(t.Quotas)
			t.Quotas = append(t.Quotas, sharedhealth.Quota{Customer: l.Name, Rate: l.Quota, Burst: l.Quota})
		}
	}
	a.member.exchange = sharedhealth.New(now, t)
	if len(t.Quotas) > 0 {
		a.member.quotaBudget = sharedhealth.NewQuotaBudget(now, t.Quotas, t.Aggregators)
	}
	a.emit(now, eventqueue.Event{At: a.member.exchange.Next(), To: a.entityID, Kind: eventStoreRoundDue, Value: a.member.round})
}

// overQuota tells whether a query's customer is over its quota, as far as this aggregator knows.
func (a *aggregator) overQuota(now int64, load int) bool {
	if a.member == nil || a.member.quotaBudget == nil {
		return false
	}
	quota, has := a.member.quotas[load]
	if !has {
		return false
	}
	if !a.member.quotaBudget.Spend(now, quota) {
		return true
	}
	a.quotaUses[load] = append(a.quotaUses[load], now)
	return false
}

// beginStoreRound begins a round with the store.
func (a *aggregator) beginStoreRound(now int64) {
	m := a.member
	survey := sharedhealth.Survey{Findings: a.decider.(*moduleDecider).aggregator.Findings(now, nil)}
	for _, f := range survey.Findings {
		survey.Keys = append(survey.Keys, sharedhealth.ReplicaKey("s-"+strconv.Itoa(f.Replica), a.listingOf(f.Replica).StartedAt))
	}
	if m.quotaBudget != nil {
		m.quotaBudget.AppendSurvey(now, &survey)
	}
	if a.StoreMode == "liar" && a.entityID == 0 && now >= origin+a.MeasureFrom && now < origin+a.MeasureUntil {
		falsify(now, &survey)
	}
	m.exchange.RecordSurvey(now, survey)
	r := m.exchange.Decide(now)
	m.round++
	if r == nil {
		a.emit(now, eventqueue.Event{At: max(m.exchange.Next(), now+storeDelay), To: a.entityID, Kind: eventStoreRoundDue, Value: m.round})
		return
	}
	m.roundOpen = true
	a.emit(now, eventqueue.Event{At: now + storeDelay, To: int32(a.Aggregators + a.Replicas), Kind: eventStoreRequest, Value: m.round,
		Payload: storeRequest{m.name, r}})
	a.emit(now, eventqueue.Event{At: r.Deadline, To: a.entityID, Kind: eventStoreTimeout, Value: m.round})
}

// endStoreRound ends a round with what it allows.
func (a *aggregator) endStoreRound(now int64, allowed sharedhealth.RoundResult) {
	m := a.member
	m.roundOpen = false
	for _, w := range allowed.Reports {
		a.decider.(*moduleDecider).aggregator.ApplyReport(now, w)
	}
	if m.quotaBudget != nil {
		m.quotaBudget.Apply(now, allowed.Leases, allowed.LocalRates)
	}
	a.requestRound(now)
	a.emit(now, eventqueue.Event{At: m.exchange.Next(), To: a.entityID, Kind: eventStoreRoundDue, Value: m.round})
}

// handleStoreEvent is an event of the store's, at an aggregator.
func (a *aggregator) handleStoreEvent(now int64, e eventqueue.Event) {
	m := a.member
	if m == nil || a.down || e.Value != m.round { // of a life before, or of a round that is over
		return
	}
	switch {
	case e.Kind == eventStoreRoundDue && !m.roundOpen:
		a.beginStoreRound(now)
	case e.Kind == eventStoreReply && m.roundOpen:
		a.endStoreRound(now, m.exchange.HandleReply(now, e.Payload.(sharedhealth.Reply)))
	case e.Kind == eventStoreTimeout && m.roundOpen:
		a.endStoreRound(now, m.exchange.HandleFailure(now, errStoreSilent))
	}
}

// falsify accuses as many sound replicas as a witness may and be heard, and finds the sick ones well.
func falsify(now int64, survey *sharedhealth.Survey) {
	for i := range survey.Findings {
		f := &survey.Findings[i]
		f.Ejected, f.LastFailure, f.Slowdown = false, 0, 0
		f.LastSuccess = now
		if i%3 == 1 {
			f.Ejected, f.LastFailure, f.LastSuccess = true, now, 0
		}
	}
}
