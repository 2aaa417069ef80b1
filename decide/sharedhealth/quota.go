package sharedhealth

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	minWindow            = 10 * int64(time.Second) // a quota is counted in windows of so long at least,
	tokensPerAggregator  = 10                      // or as long as so many of its queries take at each aggregator
	maxWindow            = 6 * minWindow           // and no longer than that
	requestShareDecrease = 0.7                     // times what is asked for after a refusal,
	requestShareIncrease = 0.1                     // more of the need after a grant,
	minRequestShare      = 0.01                    // and never less than that
	earlyGrantShare      = 0.2                     // of a window's tokens that may be leased before their time
	unitsPerToken        = 1000                    // of a token: what the store counts in
	savedWindows         = 8                       // windows that unspent tokens are saved over
	leaseAheadFrom       = 0.5                     // of a window: from there on the next one's are leased as well
	leaseHeadroom        = 1.25                    // a lease is for so many times the queries that are expected
	demandSmoothing      = 0.3                     // of the newest survey in what is expected
	maxRateStep          = 0.25                    // of the larger of two rates: how far a local rate moves in a window
	membersWindowNs      = 60e9                    // ns that the highest number of aggregators is reckoned with
)

// Quota is what one customer may ask for over all aggregators.
type Quota struct {
	Customer string
	Rate     float64 // queries a second
	Burst    float64 // queries that may be saved up
}

// quotaWindow is a quota with its windows, which all aggregators must reckon alike.
type quotaWindow struct {
	Quota
	length int64 // ns
	base   int64 // what a window bears without what was saved, in units
}

// newQuotaWindow makes a quota's row for the number of aggregators that the deployment states.
//
// Danger: where many aggregators each have a query now and then, short windows leave most tokens with those who have
// none just then.
func newQuotaWindow(q Quota, aggregators int) quotaWindow {
	seconds := math.Ceil(tokensPerAggregator * float64(max(aggregators, 1)) / q.Rate)
	w := min(max(minWindow, int64(seconds)*int64(time.Second)), maxWindow)
	return quotaWindow{q, w, int64(q.Rate * float64(w) / 1e9 * unitsPerToken)}
}

// TokenRequest asks the store for tokens of one window: Units are added to the window's count. Below 0 they are given back.
type TokenRequest struct {
	Quota  int
	Window int64 // its number: the store's clock over the window's length
	Units  int64
	TTL    int64 // after this the count may go, ns
}

// Lease is a number of tokens that may be spent between two times of this aggregator's own clock.
type Lease struct {
	Quota       int
	Tokens      float64
	From, Until int64
}

// LocalRate is the rate at which a customer is let in by this aggregator's own reckoning; 0 while leases come.
type LocalRate struct {
	Quota int
	Rate  float64 // tokens a second
}

// leaseManager leases tokens of each quota from the store, and reckons a share where there is no store to ask.
type leaseManager struct {
	rng     *rand.Rand
	windows []quotaWindow
	states  []leaseState
}

type leaseState struct {
	demand         float64 // queries expected in a second
	tokensLeft     float64 // in the purse, at the last survey
	carryWindow    int64   // the newest that saved is known for, 0 for none
	carriedUnits   int64   // units that this window has beyond its base
	leasedByWindow map[int64]float64
	requestShare   float64        // share of what is needed that is asked for
	toReturn       []TokenRequest // that were counted and brought nothing: they are taken back, once
	rate           float64        // tokens leased a second, lately; or the local rate
	usesLocalRate  bool
	steppedAt      int64 // the local rate moved last
}

func newLeaseManager(now int64, quotas []Quota, aggregators int, chance *rand.Rand) *leaseManager {
	l := &leaseManager{rng: chance, states: make([]leaseState, len(quotas))}
	for i, q := range quotas { // as a purse begins
		l.windows = append(l.windows, newQuotaWindow(q, aggregators))
		l.states[i] = leaseState{requestShare: 1, leasedByWindow: map[int64]float64{}, rate: q.localShare(aggregators), usesLocalRate: true, steppedAt: now}
	}
	return l
}

// recordSurvey takes in what was asked for and what is left, over a span of time.
func (l *leaseManager) recordSurvey(s Survey, span int64) {
	for i := range l.states {
		if i < len(s.Demand) && span > 0 {
			a := &l.states[i]
			a.demand += demandSmoothing * (s.Demand[i]*1e9/float64(span) - a.demand)
			a.tokensLeft = s.TokensLeft[i]
		}
	}
}

// buildRequests are the counts to read and the tokens to take in the next round; clock is the store's time, in bounds.
func (l *leaseManager) buildRequests(low, high, every int64) (reads []CountRead, takes []TokenRequest) {
	for i, q := range l.windows {
		a, length := &l.states[i], q.length
		w := low / length
		if a.carryWindow != w && q.Burst > 0 && w == high/length {
			reads = append(reads, CountRead{i, w})
		}
		for _, back := range a.toReturn {
			if back.Window >= w {
				takes = append(takes, back)
			}
		}
		a.toReturn = a.toReturn[:0]
		span := float64(min(2*every, length)) / 1e9
		need := math.Ceil(a.demand*span*leaseHeadroom - a.tokensLeft)
		if a.demand > 0 && a.tokensLeft < 1 {
			need = max(need, 1)
		}
		if most := float64(q.base+a.carriedUnits) / unitsPerToken; need > most {
			need = most
		}
		if units := l.requestUnits(a, need); units > 0 {
			takes = append(takes, TokenRequest{i, w, units, (savedWindows + 2) * length})
		}
		if into := float64(high%length) / float64(length); into >= leaseAheadFrom && a.demand > 0 {
			ahead := min(max(math.Ceil(a.demand*span*leaseHeadroom), 1)-a.leasedByWindow[w+1], earlyGrantShare*float64(q.base)/unitsPerToken)
			if units := l.requestUnits(a, ahead); units > 0 {
				takes = append(takes, TokenRequest{i, w + 1, units, (savedWindows + 3) * length})
			}
		}
	}
	return reads, takes
}

// requestUnits is how much of a need is asked for now, in units: whole tokens, by chance where it is less than one.
//
// Danger: what a hundred aggregators ask in vain stands in the count until they take it back; where each asked for all
// it needs at every round, nobody would get what the time brings. So each asks for less after a refusal.
func (l *leaseManager) requestUnits(a *leaseState, need float64) int64 {
	if need <= 0 {
		return 0
	}
	tokens := math.Floor(need*a.requestShare + l.rng.Float64())
	return int64(tokens) * unitsPerToken
}

// CountRead asks the store for a quota's counts of the windows before one, the newest first.
type CountRead struct {
	Quota  int
	Window int64
}

// Windows is how many windows a Read goes back.
func (CountRead) Windows() int { return savedWindows }

// applyCounts takes in the counts of the windows before: what they left unspent is saved, up to the burst.
//
// All aggregators reckon the same: a window's count can still rise after its end, but what is granted then is
// expired when it comes, for its holder's clock is never behind the store's.
func (l *leaseManager) applyCounts(r CountRead, counts []int64) {
	a, q := &l.states[r.Quota], l.windows[r.Quota]
	saved := int64(0)
	for i := len(counts) - 1; i >= 0; i-- {
		saved = min(max(saved+q.base-max(counts[i], 0), 0), int64(q.Burst*unitsPerToken))
	}
	a.carryWindow, a.carriedUnits = r.Window, saved
}

// applyGrant is what a take brought, total being the window's count after it. Danger: counts that were lost by the
// store are granted a second time; no more than a window's worth each time, and a falling count is a contradiction.
func (l *leaseManager) applyGrant(t TokenRequest, total, clock int64) float64 {
	a, q := &l.states[t.Quota], l.windows[t.Quota]
	// A window's tokens come as its time goes by: who asks first does not have them all.
	into := float64(clock-t.Window*q.length) / float64(q.length)
	limit := int64(min(max(into, 0)+earlyGrantShare, 1) * float64(q.base))
	if a.carryWindow == t.Window {
		limit += a.carriedUnits
	}
	units := min(max(limit-(total-t.Units), 0), t.Units)
	// Danger: what is asked in vain stays counted and would shut out who asks later. What the store may not have
	// heard is not taken back, for it would then count for less than was granted.
	if rest := t.Units - units; rest > 0 {
		a.toReturn = append(a.toReturn, TokenRequest{t.Quota, t.Window, -rest, t.TTL})
		a.requestShare = max(a.requestShare*requestShareDecrease, minRequestShare)
	} else {
		a.requestShare = min(a.requestShare+requestShareIncrease, 1)
	}
	return float64(units) / unitsPerToken
}

// makeLease makes a lease of what was granted. sent is when the round left, clock what the store told in it.
func (l *leaseManager) makeLease(now, sent, clock int64, t TokenRequest, tokens float64) (Lease, bool) {
	a, length := &l.states[t.Quota], l.windows[t.Quota].length
	for w := range a.leasedByWindow {
		if w < t.Window-2 {
			delete(a.leasedByWindow, w)
		}
	}
	a.leasedByWindow[t.Window] += tokens
	// The store's time is at most clock + now - sent: by that reckoning no lease outlives its window.
	from, until := sent+t.Window*length-clock, sent+(t.Window+1)*length-clock
	return Lease{t.Quota, tokens, from, until}, tokens > 0 && until > now
}

// localShare is what one of so many aggregators may let in by itself, tokens a second.
func (q Quota) localShare(aggregators int) float64 { return q.Rate / float64(max(aggregators, 1)) }

// localRates moves the local rates: towards the share while the store does not lease, and to none when it does.
//
// Danger: a store that goes would cut every customer to a hundredth where demand is uneven, or let each in a
// hundred times where nobody counts: the rate starts from what was leased lately and moves in small steps.
func (l *leaseManager) localRates(now int64, leasing bool, aggregators int) (out []LocalRate) {
	for i, q := range l.windows {
		a := &l.states[i]
		was, wasLocal := a.rate, a.usesLocalRate
		if leasing {
			if a.usesLocalRate {
				a.usesLocalRate = false
				out = append(out, LocalRate{i, 0})
			}
			continue
		}
		share := q.localShare(aggregators)
		if !a.usesLocalRate {
			a.usesLocalRate, a.steppedAt = true, now
			a.rate = min(a.rate, q.Rate)
		}
		if windows := float64(now-a.steppedAt) / float64(q.length); windows > 0 {
			step := maxRateStep * windows * max(share, a.rate)
			a.rate += min(max(share-a.rate, -step), step)
			a.steppedAt = now
		}
		if a.rate != was || !wasLocal {
			out = append(out, LocalRate{i, a.rate})
		}
	}
	return out
}

// recordLeaseRate notes the rate at which tokens come, for the time when they no longer do.
func (l *leaseManager) recordLeaseRate(span int64, tokens []float64) {
	for i := range l.states {
		if span > 0 {
			l.states[i].rate += demandSmoothing * (tokens[i]*1e9/float64(span) - l.states[i].rate)
		}
	}
}

// QuotaBudget holds what this aggregator may spend of each quota. It belongs to the one who admits queries and asks
// nobody: Spend takes no lock and no time.
type QuotaBudget struct {
	customers    []customerBudget
	lastReceived int64 // the last allowance, or the start
}

type customerBudget struct {
	leases       []Lease
	localRate    float64 // local, tokens a second
	savedTokens  float64 // of the local rate
	updatedAt    int64
	demand       float64 // since the last survey
	fallbackRate float64 // tokens a second, where nothing is heard
}

const (
	maxLeases        = 32   // that a pocket holds
	silenceTimeoutNs = 10e9 // ns without an allowance: then the share holds
	maxSavedTokens   = 1.0  // tokens that a local rate saves up, or half a second's
)

// NewQuotaBudget makes a purse for one of so many aggregators; until it hears more it lets in its share.
func NewQuotaBudget(now int64, quotas []Quota, aggregators int) *QuotaBudget {
	p := &QuotaBudget{lastReceived: now}
	for _, q := range quotas {
		share := q.localShare(aggregators)
		p.customers = append(p.customers, customerBudget{localRate: share, fallbackRate: share, updatedAt: now})
	}
	return p
}

// Spend takes one query of a customer in and tells whether it is within its quota.
//
// Danger: with a dead carrier nobody would have tokens, or an old rate would hold for ever: then the share does.
func (p *QuotaBudget) Spend(now int64, quota int) bool {
	r := &p.customers[quota]
	r.demand++
	r.advance(now)
	if now-p.lastReceived > silenceTimeoutNs {
		r.localRate = r.fallbackRate
	}
	for i := range r.leases {
		if l := &r.leases[i]; now >= l.From && l.Tokens >= 1 {
			l.Tokens--
			return true
		}
	}
	if r.savedTokens >= 1 {
		r.savedTokens--
		return true
	}
	return false
}

// advance lets time pass.
func (r *customerBudget) advance(now int64) {
	kept := r.leases[:0]
	for _, l := range r.leases {
		if l.Until > now && l.Tokens >= 1 {
			kept = append(kept, l)
		}
	}
	r.leases = kept
	r.savedTokens = min(r.savedTokens+r.localRate*float64(now-r.updatedAt)/1e9, max(maxSavedTokens, r.localRate/2))
	r.updatedAt = now
}

// Apply takes in what was allowed.
func (p *QuotaBudget) Apply(now int64, leases []Lease, locals []LocalRate) {
	p.lastReceived = now
	for _, l := range leases {
		if r := &p.customers[l.Quota]; len(r.leases) < maxLeases {
			r.leases = append(r.leases, l)
		}
	}
	for _, l := range locals {
		r := &p.customers[l.Quota]
		r.advance(now)
		if r.localRate = l.Rate; l.Rate == 0 {
			r.savedTokens = 0
		}
	}
}

// AppendSurvey adds to s what was asked for since the last one, and what is left.
func (p *QuotaBudget) AppendSurvey(now int64, s *Survey) {
	for i := range p.customers {
		r := &p.customers[i]
		r.advance(now)
		left := 0.0
		for _, l := range r.leases {
			if now >= l.From {
				left += l.Tokens
			}
		}
		s.Demand, s.TokensLeft = append(s.Demand, r.demand), append(s.TokensLeft, left)
		r.demand = 0
	}
}
