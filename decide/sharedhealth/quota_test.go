package sharedhealth

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// fleetModel explores a fleet of a few aggregators, with real Exchanges and QuotaBudgets, against a store. Requests and
// replies are delayed and lost, the store falls back to older states, and aggregators restart.
type fleetModel struct {
	t         *testing.T
	rng       *rand.Rand
	now       int64
	quota     Quota
	nodes     []*modelNode
	tokens    map[string]int64
	presence  map[string][]byte
	snapshots []map[string]int64
	spent     []int64 // times at which a token was spent
	rollbacks []int64 // times at which the store fell back to an older state
	faults    bool
	steps     int
}

type modelNode struct {
	name             string
	exchange         *Exchange
	budget           *QuotaBudget
	starts           int
	pending          *Request
	reply            *Reply // on its way back; nil while the request has not arrived
	replyArrivesAt   int64
	requestArrivesAt int64
	restarts         []int64
}

const modelRoundInterval = 500 * ms

func newModel(t *testing.T, seed uint64, faults bool) *fleetModel {
	m := &fleetModel{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: 100e9, faults: faults, tokens: map[string]int64{},
		presence: map[string][]byte{}, quota: Quota{"a", float64(2 + seed%30), float64(seed % 3 * 20)}}
	for i := range 4 {
		n := &modelNode{name: fmt.Sprint("n", i)}
		m.nodes = append(m.nodes, n)
		m.start(n)
	}
	return m
}

func (m *fleetModel) start(n *modelNode) {
	n.starts++
	n.exchange = New(m.now, Config{Name: n.name, Incarnation: uint64(m.now), Seed: uint64(n.starts), RoundInterval: modelRoundInterval,
		RoundTimeout: 150 * ms, Aggregators: 4, BaseEjection: 1e9, Quotas: []Quota{m.quota}})
	n.budget = NewQuotaBudget(m.now, []Quota{m.quota}, 4)
	n.pending, n.reply = nil, nil
	n.restarts = append(n.restarts, m.now)
}

const modelStoreTime = int64(1.7e18)

func (m *fleetModel) serve(n *modelNode) *Reply {
	r := &Reply{StoreTime: modelStoreTime + m.now, OwnPresence: m.presence[n.name], LiveMembers: len(m.nodes)}
	m.presence[n.name] = n.pending.Presence
	for _, q := range n.pending.CountReads {
		counts := make([]int64, q.Windows())
		for i := range counts {
			counts[i] = m.tokens[fmt.Sprint(q.Window-1-int64(i))]
		}
		r.Counts = append(r.Counts, counts)
	}
	for _, t := range n.pending.TokenRequests {
		key := fmt.Sprint(t.Window)
		m.tokens[key] += t.Units
		r.Totals = append(r.Totals, m.tokens[key])
	}
	return r
}

// step plays one random event.
func (m *fleetModel) step() {
	m.steps++
	n := m.nodes[m.rng.IntN(len(m.nodes))]
	if n.pending != nil && m.now >= n.pending.Deadline {
		n.pending, n.reply = nil, nil
		a := n.exchange.HandleFailure(m.now, errors.New("late"))
		n.budget.Apply(m.now, a.Leases, a.LocalRates)
	}
	switch x := m.rng.IntN(100); {
	case x < 30:
		m.now += m.rng.Int64N(5 * ms)
	case x < 65: // a greedy customer sends a query
		if n.budget.Spend(m.now, 0) {
			m.recordSpend()
		}
	case x < 90:
		m.advanceRound(n)
	case !m.faults:
	case x < 92 && n.pending != nil: // the request or its reply is lost
		n.requestArrivesAt, n.replyArrivesAt = 1<<62, 1<<62
	case x < 94 && m.rng.IntN(60) == 0:
		m.start(n)
	case x < 96 && m.rng.IntN(50) == 0:
		m.snapshots = append(m.snapshots, maps.Clone(m.tokens))
	case x < 98 && m.rng.IntN(250) == 0 && len(m.snapshots) > 0:
		m.tokens = maps.Clone(m.snapshots[len(m.snapshots)-1])
		m.rollbacks = append(m.rollbacks, m.now)
	}
	for len(m.tokens) > 200 {
		for k := range m.tokens {
			delete(m.tokens, k)
			break
		}
	}
}

// advanceRound moves a node's round one step forward.
func (m *fleetModel) advanceRound(n *modelNode) {
	delay := func() int64 {
		if m.faults && m.rng.IntN(10) == 0 {
			return m.rng.Int64N(400 * ms)
		}
		return m.rng.Int64N(4 * ms)
	}
	switch {
	case n.pending == nil:
		if m.now < n.exchange.Next() {
			return
		}
		s := Survey{}
		n.budget.AppendSurvey(m.now, &s)
		n.exchange.RecordSurvey(m.now, s)
		if n.pending = n.exchange.Decide(m.now); n.pending != nil {
			n.requestArrivesAt, n.reply = m.now+delay(), nil
		}
	case n.reply == nil && m.now >= n.requestArrivesAt:
		n.reply, n.replyArrivesAt = m.serve(n), m.now+delay()
	case n.reply != nil && m.now >= n.replyArrivesAt && m.now < n.pending.Deadline:
		a := n.exchange.HandleReply(m.now, *n.reply)
		n.pending, n.reply = nil, nil
		n.budget.Apply(m.now, a.Leases, a.LocalRates)
	}
}

// recordSpend records a spent token and checks the bounds over several spans of time up to now.
func (m *fleetModel) recordSpend() {
	m.spent = append(m.spent, m.now)
	w := newQuotaWindow(m.quota, len(m.nodes)).length
	for _, span := range []int64{w, 3 * w, 10 * w} {
		from, n := m.now-span, 0
		for i := len(m.spent) - 1; i >= 0 && m.spent[i] >= from; i-- {
			n++
		}
		// The limit is what leases allow, and the local shares of the first rounds, in which no tokens can be requested
		// yet.
		limit := m.quota.Rate*float64(span+2*w)/1e9 + m.quota.Burst + m.quota.Rate*float64(4*modelRoundInterval)/1e9 +
			float64(len(m.nodes))
		if m.faults {
			events := 0
			for _, at := range m.rollbacks {
				if at >= from-2*w {
					events++
				}
			}
			restarts := 0.0
			for _, node := range m.nodes {
				for _, at := range node.restarts {
					if at >= from-w {
						restarts++
					}
				}
			}
			limit = 3*m.quota.Rate*float64(span+2*w)/1e9 + m.quota.Burst + float64(len(m.nodes)) + restarts +
				float64(events)*(m.quota.Rate*float64(2*w)/1e9+m.quota.Burst)
		}
		if float64(n) > limit {
			m.t.Fatalf("step %d: %d tokens spent in %d ms, at most %.1f may be; quota %+v", m.steps, n, span/ms, limit, m.quota)
		}
	}
	if len(m.spent) > 1<<14 {
		m.spent = append(m.spent[:0], m.spent[1<<13:]...)
	}
}

// TestLeases explores over a million steps: the bound on spent tokens always holds.
func TestLeases(t *testing.T) {
	const seeds, steps = 40, 100_000
	explored, spent := 0, 0
	for seed := range uint64(seeds) {
		m := newModel(t, seed, seed%5 != 0)
		for range steps {
			m.step()
		}
		explored += m.steps
		spent += len(m.spent)
	}
	if explored < 1_000_000 || spent < seeds*100 {
		t.Errorf("%d steps explored, %d tokens spent", explored, spent)
	}
}

// If the store works, a customer that asks for more than its quota gets nearly all of it.
func TestLeasesAreUsed(t *testing.T) {
	m := newModel(t, 10, false)
	for range 100_000 {
		m.step()
	}
	from, n := m.now-20e9, 0
	for _, at := range m.spent {
		if at >= from {
			n++
		}
	}
	if got := float64(n) / 20 / m.quota.Rate; got < 0.7 || got > 1.15 {
		t.Errorf("%.2f of the quota was used", got)
	}
}

// A local rate starts from what was leased, moves in small steps, and ends when there are leases again.
func TestLocalSteps(t *testing.T) {
	l := newLeaseManager(0, []Quota{{"a", 40, 0}}, 10, rand.New(rand.NewPCG(1, 1)))
	l.states[0].rate = 20
	was := 20.0
	for now := int64(10e9); now <= 200e9; now += 10e9 {
		for _, x := range l.localRates(now, false, 10) {
			if step := was - x.Rate; step < 0 || step > maxRateStep*was+1e-9 {
				t.Errorf("from %v to %v", was, x.Rate)
			}
			was = x.Rate
		}
	}
	if was > 4.5 {
		t.Errorf("it ends at %v, a tenth of the rate is 4", was)
	}
	if end := l.localRates(210e9, true, 10); len(end) != 1 || end[0].Rate != 0 {
		t.Errorf("with leases again: %+v", end)
	}
}

// Danger: if round results stop arriving, a local rate that was meant for a short time would apply forever. After a while
// the local share applies instead.
func TestPurseAlone(t *testing.T) {
	p := NewQuotaBudget(0, []Quota{{"a", 100, 0}}, 10)
	p.Apply(0, nil, []LocalRate{{0, 90}})
	n := 0
	for now := int64(silenceTimeoutNs) + 1e9; now < silenceTimeoutNs+11e9; now += 5 * ms {
		if p.Spend(now, 0) {
			n++
		}
	}
	if n < 95 || n > 110 {
		t.Errorf("%d queries in ten seconds, the share is 10 a second", n)
	}
}
