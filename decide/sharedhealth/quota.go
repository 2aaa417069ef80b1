package sharedhealth

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	minWindow            = 10 * int64(time.Second) // ns: the shortest window in which a quota's tokens are counted
	tokensPerAggregator  = 10                      // a window is long enough for this many tokens for each aggregator, but no longer than maxWindow
	maxWindow            = 6 * minWindow           // ns: the longest window
	requestShareDecrease = 0.7                     // factor on the requested share of the need after a rejection
	requestShareIncrease = 0.1                     // added to the requested share of the need after a full grant
	minRequestShare      = 0.01                    // lowest share of the need that is requested
	earlyGrantShare      = 0.2                     // share of a window's tokens that may be leased ahead of time
	unitsPerToken        = 1000                    // the store counts in thousandths of a token
	savedWindows         = 8                       // number of windows over which unspent tokens accumulate
	leaseAheadFrom       = 0.5                     // share of a window after which the next one's tokens are requested too
	leaseHeadroom        = 1.25                    // factor on the expected queries for which tokens are requested
	demandSmoothing      = 0.3                     // weight of the newest value in the averages of demand and leased tokens
	maxRateStep          = 0.25                    // largest change of a local rate in a window, as a share of the larger of this rate and the local share
	membersWindowNs      = 60e9                    // ns for which the highest number of aggregators seen counts
)

// Quota is the number of queries that one customer may send to all aggregators together.
type Quota struct {
	Customer string
	Rate     float64 // queries a second
	Burst    float64 // queries that may accumulate unused
}

// quotaWindow is a quota with the length of its windows. All aggregators must compute the same values.
type quotaWindow struct {
	Quota
	length int64 // ns
	base   int64 // units that a window provides, apart from those carried over
}

// newQuotaWindow returns a quota's windows for the number of aggregators that the deployment states.
//
// Danger: where each of many aggregators gets a query only now and then, short windows leave most tokens with
// aggregators that have no query at that time.
func newQuotaWindow(q Quota, aggregators int) quotaWindow {
	seconds := math.Ceil(tokensPerAggregator * float64(max(aggregators, 1)) / q.Rate)
	w := min(max(minWindow, int64(seconds)*int64(time.Second)), maxWindow)
	return quotaWindow{q, w, int64(q.Rate * float64(w) / 1e9 * unitsPerToken)}
}

// TokenRequest asks the store for tokens of one window by adding Units to the window's count. Negative Units return
// tokens.
type TokenRequest struct {
	Quota  int
	Window int64 // number of the window: the store's time divided by the window's length
	Units  int64
	TTL    int64 // ns after which the store may delete the count
}

// Lease is a number of tokens that may be spent between two times of this aggregator's own clock.
type Lease struct {
	Quota       int
	Tokens      float64
	From, Until int64
}

// LocalRate is the rate at which this aggregator admits a customer's queries without leases; 0 while it gets leases.
type LocalRate struct {
	Quota int
	Rate  float64 // tokens a second
}

// leaseManager leases tokens of each quota from the store. While the store cannot be used it sets local rates instead.
type leaseManager struct {
	rng     *rand.Rand
	windows []quotaWindow
	states  []leaseState
}

// leaseState is what is known about the tokens of one quota.
type leaseState struct {
	demand         float64           // queries a second that are expected
	tokensLeft     float64           // unspent tokens at the last survey
	carryWindow    int64             // the newest window for which carriedUnits is known; 0 for none
	carriedUnits   int64             // units that carryWindow has in addition to its base
	leasedByWindow map[int64]float64 // tokens leased, by window
	requestShare   float64           // share of the needed tokens that is requested
	toReturn       []TokenRequest    // units counted by the store but not granted, to be returned in the next round
	rate           float64           // tokens leased a second, smoothed; or the local rate while usesLocalRate
	usesLocalRate  bool
	steppedAt      int64 // when the local rate last changed
}

func newLeaseManager(now int64, quotas []Quota, aggregators int, rng *rand.Rand) *leaseManager {
	l := &leaseManager{rng: rng, states: make([]leaseState, len(quotas))}
	for i, q := range quotas { // a QuotaBudget starts in the same way
		l.windows = append(l.windows, newQuotaWindow(q, aggregators))
		l.states[i] = leaseState{requestShare: 1, leasedByWindow: map[int64]float64{}, rate: q.localShare(aggregators),
			usesLocalRate: true, steppedAt: now}
	}
	return l
}

// recordSurvey records the demand in a span of time, ns, and the unspent tokens.
func (l *leaseManager) recordSurvey(s Survey, span int64) {
	for i := range l.states {
		if i < len(s.Demand) && span > 0 {
			a := &l.states[i]
			a.demand += demandSmoothing * (s.Demand[i]*1e9/float64(span) - a.demand)
			a.tokensLeft = s.TokensLeft[i]
		}
	}
}

// buildRequests returns the counts to read and the tokens to request in the next round. The store's time is between low
// and high; interval is the time from this round to the next, ns.
func (l *leaseManager) buildRequests(low, high, interval int64) (reads []CountRead, requests []TokenRequest) {
	for i, q := range l.windows {
		a, length := &l.states[i], q.length
		w := low / length
		if a.carryWindow != w && q.Burst > 0 && w == high/length {
			reads = append(reads, CountRead{i, w})
		}
		for _, returned := range a.toReturn {
			if returned.Window >= w {
				requests = append(requests, returned)
			}
		}
		a.toReturn = a.toReturn[:0]
		span := float64(min(2*interval, length)) / 1e9
		need := math.Ceil(a.demand*span*leaseHeadroom - a.tokensLeft)
		if a.demand > 0 && a.tokensLeft < 1 {
			need = max(need, 1)
		}
		if limit := float64(q.base+a.carriedUnits) / unitsPerToken; need > limit {
			need = limit
		}
		if units := l.requestUnits(a, need); units > 0 {
			requests = append(requests, TokenRequest{i, w, units, (savedWindows + 2) * length})
		}
		if elapsed := float64(high%length) / float64(length); elapsed >= leaseAheadFrom && a.demand > 0 {
			ahead := min(max(math.Ceil(a.demand*span*leaseHeadroom), 1)-a.leasedByWindow[w+1],
				earlyGrantShare*float64(q.base)/unitsPerToken)
			if units := l.requestUnits(a, ahead); units > 0 {
				requests = append(requests, TokenRequest{i, w + 1, units, (savedWindows + 3) * length})
			}
		}
	}
	return reads, requests
}

// requestUnits returns how much of a need is requested now, in units. It requests whole tokens and rounds a fraction up
// or down at random.
//
// Danger: tokens that a hundred aggregators request in vain stay in the window's count until they are returned. If each
// requested all that it needs in every round, none would get the tokens that become available. So each requests a
// smaller share after a rejection.
func (l *leaseManager) requestUnits(a *leaseState, need float64) int64 {
	if need <= 0 {
		return 0
	}
	tokens := math.Floor(need*a.requestShare + l.rng.Float64())
	return int64(tokens) * unitsPerToken
}

// CountRead asks the store for a quota's counts of the windows before the given one, the newest first.
type CountRead struct {
	Quota  int
	Window int64
}

// Windows returns how many windows a CountRead covers.
func (CountRead) Windows() int { return savedWindows }

// applyCounts derives the unspent tokens of earlier windows from their counts. They are carried over, up to the burst.
//
// All aggregators compute the same result. The count of a window can still rise after its end, but tokens granted so
// late have expired when they arrive, because the lease holder's estimate of the store's time is never behind that
// time.
func (l *leaseManager) applyCounts(r CountRead, counts []int64) {
	a, q := &l.states[r.Quota], l.windows[r.Quota]
	carried := int64(0)
	for i := len(counts) - 1; i >= 0; i-- {
		carried = min(max(carried+q.base-max(counts[i], 0), 0), int64(q.Burst*unitsPerToken))
	}
	a.carryWindow, a.carriedUnits = r.Window, carried
}

// applyGrant returns the tokens that a request brought, where total is the window's count after it. Danger: if the
// store loses counts, their tokens are granted a second time. That is limited to the tokens of one window each time,
// and a store that fell back to lower counts is treated as contradicting itself.
func (l *leaseManager) applyGrant(t TokenRequest, total, storeTime int64) float64 {
	a, q := &l.states[t.Quota], l.windows[t.Quota]
	// A window's tokens become available as its time passes, so that the first aggregator to ask does not get them all.
	elapsed := float64(storeTime-t.Window*q.length) / float64(q.length)
	limit := int64(min(max(elapsed, 0)+earlyGrantShare, 1) * float64(q.base))
	if a.carryWindow == t.Window {
		limit += a.carriedUnits
	}
	units := min(max(limit-(total-t.Units), 0), t.Units)
	// Danger: units requested in vain stay in the count and would block later requests, so they are returned. Units of
	// a request that the store may not have received are never returned, because the count would then be lower than
	// what was granted.
	if rejected := t.Units - units; rejected > 0 {
		a.toReturn = append(a.toReturn, TokenRequest{t.Quota, t.Window, -rejected, t.TTL})
		a.requestShare = max(a.requestShare*requestShareDecrease, minRequestShare)
	} else {
		a.requestShare = min(a.requestShare+requestShareIncrease, 1)
	}
	return float64(units) / unitsPerToken
}

// makeLease converts granted tokens into a lease and reports whether it can still be used. sent is the time at which
// the round was sent, storeTime the store's clock in its reply.
func (l *leaseManager) makeLease(now, sent, storeTime int64, t TokenRequest, tokens float64) (Lease, bool) {
	a, length := &l.states[t.Quota], l.windows[t.Quota].length
	for w := range a.leasedByWindow {
		if w < t.Window-2 {
			delete(a.leasedByWindow, w)
		}
	}
	a.leasedByWindow[t.Window] += tokens
	// The store's time is now at most storeTime + now - sent. Computed from that bound, no lease outlives its window.
	from, until := sent+t.Window*length-storeTime, sent+(t.Window+1)*length-storeTime
	return Lease{t.Quota, tokens, from, until}, tokens > 0 && until > now
}

// localShare returns the rate at which one of this many aggregators may admit queries on its own, tokens a second.
func (q Quota) localShare(aggregators int) float64 { return q.Rate / float64(max(aggregators, 1)) }

// localRates moves the local rates towards the local share while the store grants no leases, and resets them to 0 when
// it does. It returns the rates that have changed.
//
// Danger: when the store fails, a switch to equal shares among a hundred aggregators would cut a customer whose queries
// all reach one of them to a hundredth of its quota, and no limit would admit its quota a hundred times. So a rate
// starts from the rate of tokens leased recently and moves in small steps.
func (l *leaseManager) localRates(now int64, leasing bool, aggregators int) (changed []LocalRate) {
	for i, q := range l.windows {
		a := &l.states[i]
		previousRate, wasLocal := a.rate, a.usesLocalRate
		if leasing {
			if a.usesLocalRate {
				a.usesLocalRate = false
				changed = append(changed, LocalRate{i, 0})
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
		if a.rate != previousRate || !wasLocal {
			changed = append(changed, LocalRate{i, a.rate})
		}
	}
	return changed
}

// recordLeaseRate updates the smoothed rates of leased tokens with those of the last span, ns, by quota. When leases end,
// the local rate starts from it.
func (l *leaseManager) recordLeaseRate(span int64, tokens []float64) {
	for i := range l.states {
		if span > 0 {
			l.states[i].rate += demandSmoothing * (tokens[i]*1e9/float64(span) - l.states[i].rate)
		}
	}
}

// QuotaBudget holds what this aggregator may spend of each quota. It belongs to the goroutine that admits queries, and
// Spend takes no lock and never waits.
type QuotaBudget struct {
	customers    []customerBudget
	lastReceived int64 // when the last round result arrived, or the start
}

// customerBudget is what may be spent of one quota.
type customerBudget struct {
	leases       []Lease
	localRate    float64 // tokens a second that may be spent without a lease
	savedTokens  float64 // tokens accumulated at the local rate
	updatedAt    int64
	demand       float64 // queries since the last survey
	fallbackRate float64 // tokens a second while no round results arrive
}

const (
	maxLeases        = 32   // leases that a customerBudget holds
	silenceTimeoutNs = 10e9 // ns without a round result after which fallbackRate applies
	maxSavedTokens   = 1.0  // tokens that accumulate at a local rate; half a second's worth of it if that is more
)

// NewQuotaBudget returns the budget of one of this many aggregators. It admits queries at the local share until a round
// result says otherwise.
func NewQuotaBudget(now int64, quotas []Quota, aggregators int) *QuotaBudget {
	b := &QuotaBudget{lastReceived: now}
	for _, q := range quotas {
		share := q.localShare(aggregators)
		b.customers = append(b.customers, customerBudget{localRate: share, fallbackRate: share, updatedAt: now})
	}
	return b
}

// Spend counts a query of a customer and reports whether it is within the quota.
//
// Danger: if the client of the store stops, there would be no tokens at all, or an outdated local rate would apply
// forever. After silenceTimeoutNs fallbackRate applies instead.
func (b *QuotaBudget) Spend(now int64, quota int) bool {
	r := &b.customers[quota]
	r.demand++
	r.advance(now)
	if now-b.lastReceived > silenceTimeoutNs {
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

// advance removes expired leases and adds the tokens of the local rate up to now.
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

// Apply adds new leases and sets local rates from a round result.
func (b *QuotaBudget) Apply(now int64, leases []Lease, locals []LocalRate) {
	b.lastReceived = now
	for _, l := range leases {
		if r := &b.customers[l.Quota]; len(r.leases) < maxLeases {
			r.leases = append(r.leases, l)
		}
	}
	for _, l := range locals {
		r := &b.customers[l.Quota]
		r.advance(now)
		if r.localRate = l.Rate; l.Rate == 0 {
			r.savedTokens = 0
		}
	}
}

// AppendSurvey appends to s, for each quota, the queries since the last survey and the unspent leased tokens.
func (b *QuotaBudget) AppendSurvey(now int64, s *Survey) {
	for i := range b.customers {
		r := &b.customers[i]
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
