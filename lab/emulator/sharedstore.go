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

// StoreModes are the ways in which the shared store may behave: "late" and "flapping" do not reply in time, always or for three
// of each five seconds; "stale" falls back to old data again and again; with "liar" one aggregator publishes false findings;
// "vanished" stops replying one second into the counted interval.
var StoreModes = []string{"none", "good", "late", "flapping", "stale", "liar", "vanished"}

const (
	storeDelay         = int64(1e6)             // network delay to the store, and the same delay back
	storeClock         = int64(1_700_000_000e9) // store's time at the start of a run
	storeRoundInterval = int64(500e6)           // time between an aggregator's exchanges with the store
	storeRoundTimeout  = int64(150e6)           // maximum time of an exchange
	staleStart         = int64(10e9)            // time from the start of a run until a stale store first returns to old data
	staleInterval      = int64(5e9)             // time between the later swaps of a stale store's data with an older copy
)

var errStoreSilent = errors.New("no reply from the shared store")

// storeRequest is an aggregator's request to the store. Each exchange is one request and one sharedhealth.Reply.
type storeRequest struct {
	member string
	body   *sharedhealth.Request
}

// sharedStore models the shared store as an entity of the simulation.
type sharedStore struct {
	emitter
	*Plan
	current, stale storeData
	rng            *rand.Rand
	rounds         int64 // requests received
	commands       int64 // commands that a real store would have executed
	bytes          int64 // number of payload bytes written and read
}

// storeData is the content of the store.
type storeData struct {
	presence map[string][]byte // presence record of each member
	findings map[string][]byte // findings that each member has published
	members  map[string]int64  // time of each member's last heartbeat
	tokens   map[string]int64  // queries taken from the quota, by quota and window
}

func newStoreData() storeData {
	return storeData{map[string][]byte{}, map[string][]byte{}, map[string]int64{}, map[string]int64{}}
}

func (s storeData) clone() storeData {
	return storeData{maps.Clone(s.presence), maps.Clone(s.findings), maps.Clone(s.members), maps.Clone(s.tokens)}
}

// quotaViolations checks for each quota that all aggregators together kept it.
func (sim *simulation) quotaViolations() (all []checker.Violation) {
	if sim.StoreMode == "" || sim.StoreMode == "none" {
		return nil
	}
	for n, l := range sim.Workloads {
		if l.Quota <= 0 {
			continue
		}
		var times []int64
		for _, a := range sim.aggregators {
			times = append(times, a.quotaUses[n]...)
		}
		slices.Sort(times)
		window := max(10, 10*float64(sim.Aggregators)/l.Quota) // in s: the quota of ten queries for each aggregator, but at least 10 s
		all = append(all, checker.CheckQuota(times, l.Name, l.Quota, l.Quota, window, sim.Aggregators)...)
	}
	return all
}

// isSilent reports whether the store now sends no reply that arrives in time.
func (s *sharedStore) isSilent(now int64) bool {
	switch since := now - origin; s.StoreMode {
	case "late":
		return true // it replies long after the deadline, which is simulated as no reply
	case "flapping":
		return since/1e9%5 >= 2
	case "vanished": // one second into the counted interval, when faults are active and the shared findings matter most
		return since >= s.MeasureFrom+1e9
	}
	return false
}

func (s *sharedStore) handle(now int64, e eventqueue.Event) {
	if e.Kind == eventFaultRepeats { // only the mode "stale" schedules this event
		previous := s.current.clone()
		s.current, s.stale = s.stale, previous
		s.emit(now, eventqueue.Event{At: now + staleInterval, To: s.entityID, Kind: eventFaultRepeats})
		return
	}
	if s.rounds++; s.isSilent(now) {
		return
	}
	r := e.Payload.(storeRequest)
	s.emit(now, eventqueue.Event{At: now + storeDelay, To: e.From, Kind: eventStoreReply, Value: e.Value, Payload: s.execute(now, r)})
}

// execute applies a request to the data and returns the reply.
func (s *sharedStore) execute(now int64, q storeRequest) (reply sharedhealth.Reply) {
	data, r := &s.current, q.body
	reply.StoreTime = now - origin + storeClock
	reply.OwnPresence = data.presence[q.member]
	data.presence[q.member] = r.Presence
	s.commands += 4
	s.bytes += int64(2 * len(r.Presence))
	if r.HeartbeatScore > 0 {
		s.commands += 2
		data.members[q.member] = r.HeartbeatScore
		for _, at := range data.members {
			if at >= r.MinLiveScore {
				reply.LiveMembers++
			}
		}
	}
	if r.SweepMaxScore > 0 {
		s.commands++
		maps.DeleteFunc(data.members, func(_ string, at int64) bool { return at <= r.SweepMaxScore })
	}
	if delete(data.findings, q.member); r.Findings != nil {
		data.findings[q.member] = r.Findings
		s.bytes += int64(len(r.Findings))
	}
	for _, name := range r.DropFindings {
		delete(data.findings, name)
	}
	if r.SampleSize > 0 {
		s.commands++
		names := slices.Sorted(maps.Keys(data.findings))
		s.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names[:min(len(names), r.SampleSize)] {
			reply.Entries = append(reply.Entries, sharedhealth.Entry{Name: name, Data: data.findings[name]})
			s.bytes += int64(len(name) + len(data.findings[name]))
		}
	}
	key := func(quota int, window int64) string { return fmt.Sprint(quota, ":", window) }
	for _, q := range r.CountReads {
		counts := make([]int64, q.Windows())
		for i := range counts {
			counts[i] = data.tokens[key(q.Quota, q.Window-1-int64(i))]
		}
		s.commands++
		reply.Counts = append(reply.Counts, counts)
	}
	for _, request := range r.TokenRequests {
		s.commands += 2
		data.tokens[key(request.Quota, request.Window)] += request.Units
		reply.Totals = append(reply.Totals, data.tokens[key(request.Quota, request.Window)])
	}
	return reply
}

// storeMember is an aggregator's client of the shared store.
type storeMember struct {
	name        string
	exchange    *sharedhealth.Exchange
	quotaBudget *sharedhealth.QuotaBudget
	quotas      map[int]int // by workload: index of its quota
	round       int64       // number of the open exchange or, if none is open, of the last one
	roundOpen   bool
}

// joinStore creates the store client of an aggregator that starts, if the plan has a shared store.
func (a *aggregator) joinStore(now int64) {
	_, isModule := a.decider.(*moduleDecider)
	if a.StoreMode == "none" || a.StoreMode == "" || !isModule {
		return
	}
	d := a.deployment(int(a.entityID))
	c := sharedhealth.Config{Name: fmt.Sprint("n", a.entityID), Incarnation: uint64(now), Seed: a.Seed<<20 + uint64(a.entityID), RoundInterval: storeRoundInterval,
		RoundTimeout: storeRoundTimeout, SampleSize: 24, Aggregators: a.Aggregators, BaseEjection: d.BaseEjection(), HealthEnabled: true}
	previous := a.member
	a.member = &storeMember{name: c.Name, quotas: map[int]int{}}
	if previous != nil {
		a.member.round = previous.round
	}
	for n, l := range a.Workloads {
		if l.Quota > 0 {
			a.member.quotas[n] = len(c.Quotas)
			c.Quotas = append(c.Quotas, sharedhealth.Quota{Customer: l.Name, Rate: l.Quota, Burst: l.Quota})
		}
	}
	a.member.exchange = sharedhealth.New(now, c)
	if len(c.Quotas) > 0 {
		a.member.quotaBudget = sharedhealth.NewQuotaBudget(now, c.Quotas, c.Aggregators)
	}
	a.emit(now, eventqueue.Event{At: a.member.exchange.Next(), To: a.entityID, Kind: eventStoreRoundDue, Value: a.member.round})
}

// overQuota spends one query of the customer's quota at this aggregator, and returns true if none is left.
func (a *aggregator) overQuota(now int64, workload int) bool {
	if a.member == nil || a.member.quotaBudget == nil {
		return false
	}
	quota, ok := a.member.quotas[workload]
	if !ok {
		return false
	}
	if !a.member.quotaBudget.Spend(now, quota) {
		return true
	}
	a.quotaUses[workload] = append(a.quotaUses[workload], now)
	return false
}

// beginStoreRound starts an exchange with the store, if one is due.
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

// endStoreRound applies the result of an exchange, and schedules the next.
func (a *aggregator) endStoreRound(now int64, result sharedhealth.RoundResult) {
	m := a.member
	m.roundOpen = false
	for _, report := range result.Reports {
		a.decider.(*moduleDecider).aggregator.ApplyReport(now, report)
	}
	if m.quotaBudget != nil {
		m.quotaBudget.Apply(now, result.Leases, result.LocalRates)
	}
	a.requestRound(now)
	a.emit(now, eventqueue.Event{At: m.exchange.Next(), To: a.entityID, Kind: eventStoreRoundDue, Value: m.round})
}

// handleStoreEvent handles the timers and the replies of the exchange with the store.
func (a *aggregator) handleStoreEvent(now int64, e eventqueue.Event) {
	m := a.member
	if m == nil || a.down || e.Value != m.round { // from before a crash, or from an exchange that has ended
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

// falsify reports every third replica as failing, which is as many as one member may report without being ignored, and all
// others, failing ones included, as healthy.
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
