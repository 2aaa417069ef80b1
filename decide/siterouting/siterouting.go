// Package siterouting decides for one site how many queries of each workload go over which link to other sites. It does no
// I/O and reads no clock.
//
// Decides: which queries stay, which go to which site, how much of a link is used, which sites may be asked at all, and how
// a site is evacuated and taken back into service.
//
// Usage: create a Router with New. Pass it observations with CountUnserved, ObserveResult, ObserveBytes, ObserveLink,
// ObserveAdvertised and Evacuate. Decide(now), called at intervals, returns a new plan. Route chooses a link by the plan for
// each query that the own site doesn't serve, and Spend takes the tokens for it.
package siterouting

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxHops              = 2    // links that one query may cross
	rateSmoothing        = 0.5  // weight of the newest interval in the smoothed rate of unserved queries
	maxRise              = 1.0  // largest growth of a route's rate in one interval, relative to the rate; initialRate is allowed in addition
	maxFall              = 0.5  // largest reduction of a route's rate in one interval, relative to the rate, unless a limit requires more
	deadBand             = 0.1  // smaller relative changes of a rate are ignored
	reverseReserve       = 0.2  // fraction of a link's rates that is reserved for queries from the other site
	burstSeconds         = 1.0  // seconds of a route's rate that may be sent in one burst
	minBurst             = 3.0  // minimum burst in queries, because queries arrive at random
	headroom             = 1.25 // factor on the unserved rate in a plan, because queries arrive at random
	maxRefusedShare      = 0.25 // refused fraction above which a site or workload is sent less
	minSample            = 8    // queries needed to update an estimate
	maxSampleIntervals   = 5    // intervals after which an estimate is updated with fewer queries
	unevenMargin         = 0.3  // a workload whose refused fraction exceeds that of the others by this much has an estimate of its own
	nearlyAllRefused     = 0.9  // refused fraction for an estimate of its own when there are too few other queries to compare with
	minUsedShare         = 0.5  // an estimate grows only if more than this fraction of it was used
	longTermDecay        = 0.8  // fraction of the long-term counts that each update keeps
	backoffFactor        = 0.8  // factor on the carried rate after too many refusals
	growthStep           = 0.04 // relative growth of an estimate per interval without too many refusals
	advertisedGrowthStep = 0.2  // relative growth per interval if the site advertises its capacity
	initialGrowthStep    = 1.0  // relative growth per interval before the first refusal, after refusalMemory without one, and of a site's estimate below initialRate
	refusalMemory        = 60   // intervals without a refusal after which earlier refusals no longer count
	returnRampNs         = 20e9 // ns over which a site that is no longer evacuated takes its own queries back
	advertisedTTLNs      = 5e9  // ns for which a site's advertised capacity is valid
	minRoundTrips        = 2.0  // round trips that must remain of a query's time after the service time at the other site
	minRate              = 0.2  // lowest estimate in queries per second, so that a site that refuses is still probed
	initialRate          = 4.0  // initial estimate of a site in queries per second, and the growth that a plan may always add to a rate
	bytesSmoothing       = 0.05 // weight of the newest query in the mean bytes of its workload
	standbyRate          = 4.0  // queries per second that are planned in addition to the unserved rate, so that the first unserved queries need not wait for a plan
	unlimitedRate        = 1e9  // queries per second; stands for no limit, for workloads that are refused no more than others
	lossDiscount         = 4.0  // usable rates of a link shrink by this multiple of the lost fraction of queries
)

// Workload describes one kind of query.
type Workload struct {
	Name        string
	Revenue     float64 // revenue of one query served within its latency goal
	Bytes       float64 // mean bytes of a query and its answer, over the link
	ServiceTime int64   // typical time in ns that a site takes for one query
}

// Link is the path to another site.
type Link struct {
	Site      string
	QueryRate float64 // maximum queries per second
	ByteRate  float64 // maximum bytes per second
	Cost      float64 // cost of carrying one query, in units of revenue
}

// Policy selects how queries are routed.
type Policy uint8

// The policies. All but Planned are baselines for comparison; they use neither a plan nor the limits of a link.
const (
	Planned     Policy = iota
	AllDeclined        // every query that the own site declines leaves
	HalfOfOwn          // half of the own queries leave without asking the own site, and no others
)

// PolicyNames are the names of the policies, indexed by Policy.
var PolicyNames = []string{"plan", "all", "half"}

// Config holds the settings of a Router.
type Config struct {
	Policy    Policy
	Site      string
	Workloads []Workload
	Links     []Link
	Interval  int64 // ns between two plans
}

// LinkStats are the current measurements of a link.
type LinkStats struct {
	Delay  int64   // round-trip delay in ns
	Loss   float64 // fraction of queries that are lost on the link
	Usable bool
}

// Plan says how many queries of each workload go over each link.
type Plan struct {
	Rates      [][]float64 // queries per second, by workload and then link
	LocalShare float64     // fraction of the own queries that are offered to the own site
	Value      float64     // expected additional revenue per second
	Greedy     bool        // the plan was made by Greedy because the solver found no solution
	Changed    bool
}

// tokenBucket holds the tokens of one route, a query each.
type tokenBucket struct {
	tokens    float64
	updatedAt int64
}

// estimate is what is known about how many queries a site accepts, of one workload or of all.
type estimate struct {
	advertised   float64 // queries per second that the site advertises; negative if unknown
	advertisedAt int64
	learned      float64 // queries per second, learned from accepted and refused queries
	sinceRefusal int     // intervals since the last update with too many refusals, 0 if there was none
	carried      float64 // queries carried since the last update
	refused      float64 // queries refused since the last update
	intervals    int     // intervals since the last update
	seconds      float64 // seconds since the last update

	longCarried, longRefused float64 // long-term counts with exponential decay
}

// Router plans and routes the queries that leave one site. It is not safe for concurrent use.
type Router struct {
	Config
	Solve               func(Problem) (Plan, bool) // the planner; returns false if it finds no solution
	excess              []float64                  // smoothed queries per second, by workload, that the own site doesn't serve
	unserved            []float64                  // queries in this interval, by workload
	linkStats           []LinkStats
	siteEstimates       []estimate   // for all workloads together, by link
	estimates           [][]estimate // by workload, then link
	plan                Plan
	buckets             [][]tokenBucket
	linkBudgets         []linkBudget // by link
	decidedAt           int64
	evacuated           bool
	evacuationChangedAt int64 // time of the last change of evacuated, 0 if it never changed
}

// New returns a Router without traffic to other sites.
func New(now int64, config Config) *Router {
	r := &Router{Config: config, Solve: Simplex, excess: make([]float64, len(config.Workloads)), unserved: make([]float64, len(config.Workloads)),
		linkStats: make([]LinkStats, len(config.Links)), decidedAt: now}
	for _, l := range config.Links {
		r.linkBudgets = append(r.linkBudgets, newLinkBudget(now, l))
	}
	r.plan.LocalShare = 1
	for range config.Links {
		r.siteEstimates = append(r.siteEstimates, estimate{advertised: -1, learned: initialRate})
	}
	for range config.Workloads {
		row := make([]estimate, len(config.Links))
		for i := range row {
			row[i] = estimate{advertised: -1, learned: unlimitedRate}
		}
		r.estimates = append(r.estimates, row)
		r.buckets = append(r.buckets, make([]tokenBucket, len(config.Links)))
		r.plan.Rates = append(r.plan.Rates, make([]float64, len(config.Links)))
	}
	return r
}

// CountUnserved records a query of an own client that the own site doesn't serve, or not within its latency goal.
func (r *Router) CountUnserved(workload int) { r.unserved[workload]++ }

// ObserveResult records whether the other site refused a query that went over a link.
func (r *Router) ObserveResult(workload, link int, refused bool) {
	for _, e := range []*estimate{&r.siteEstimates[link], &r.estimates[workload][link]} {
		e.carried++
		if refused {
			e.refused++
		}
	}
}

// ObserveBytes records the bytes of a query and its answer, and corrects the link's budget, from which Spend took the mean
// of the workload.
func (r *Router) ObserveBytes(now int64, workload, link int, bytes float64) {
	w := &r.Workloads[workload]
	r.linkBudgets[link].correct(now, r.Links[link], bytes-w.Bytes)
	w.Bytes += bytesSmoothing * (bytes - w.Bytes)
}

// ObserveLink records the current measurements of a link.
func (r *Router) ObserveLink(link int, stats LinkStats) { r.linkStats[link] = stats }

// ObserveAdvertised records how many queries per second, of all workloads, another site offers to accept.
func (r *Router) ObserveAdvertised(now int64, link int, rate float64) {
	e := &r.siteEstimates[link]
	e.advertised, e.advertisedAt = max(rate, 0), now
}

// Evacuate moves all queries away from the own site, or takes them back over a ramp.
func (r *Router) Evacuate(now int64, evacuated bool) {
	if r.evacuated != evacuated {
		r.evacuated, r.evacuationChangedAt = evacuated, now
	}
}

// LocalShare returns the fraction of the own queries that are offered to the own site: 0 during an evacuation, rising to 1
// over the ramp after it.
func (r *Router) LocalShare(now int64) float64 {
	switch {
	case r.evacuated:
		return 0
	case r.evacuationChangedAt == 0:
		return 1
	}
	return min(float64(now-r.evacuationChangedAt)/returnRampNs, 1)
}

// ServesLocally reports whether a query is offered to the own site. The position is a number in [0, 1) that is fixed for
// each query; fromOtherSite says that another site sent the query.
func (r *Router) ServesLocally(now int64, position float64, fromOtherSite bool) bool {
	share := r.LocalShare(now)
	if r.Policy == HalfOfOwn && !fromOtherSite {
		share = min(share, 0.5)
	}
	return position < share
}

// Next returns when Decide should be called again.
func (r *Router) Next() int64 { return r.decidedAt + r.Interval }

// Decide makes a new plan.
func (r *Router) Decide(now int64) Plan {
	span := max(float64(now-r.decidedAt)/1e9, 1e-3)
	r.decidedAt = now
	for w := range r.excess {
		r.excess[w] += rateSmoothing * (r.unserved[w]/span - r.excess[w])
		r.unserved[w] = 0
	}
	for l := range r.Links {
		r.updateEstimates(now, l, span)
	}
	p := r.problem(now)
	plan, solved := r.Solve(p)
	if !solved {
		plan = Greedy(p)
		plan.Greedy = true
	}
	plan.LocalShare = r.LocalShare(now)
	r.smooth(&plan, p)
	r.plan = plan
	return plan
}

// updateEstimates learns from the results how many queries the site behind a link accepts.
//
// Danger: two overloaded sites would pass each other queries that neither serves. A site that refuses is sent less at once
// and more only slowly, so that this exchange ends.
//
// An overloaded site refuses queries of high and low value alike. So its capacity is learned from all workloads together,
// and the plan fills it with the queries of the highest value. Only a workload that is refused more than the others has an
// estimate of its own.
func (r *Router) updateEstimates(now int64, l int, span float64) {
	site := &r.siteEstimates[l]
	if site.advertised >= 0 && now-site.advertisedAt > advertisedTTLNs {
		site.advertised = -1
	}
	site.intervals++
	site.seconds += span
	if site.carried < minSample && site.intervals < maxSampleIntervals {
		return
	}
	var all estimate
	for w := range r.estimates {
		e := &r.estimates[w][l]
		e.longCarried, e.longRefused = longTermDecay*e.longCarried+e.carried, longTermDecay*e.longRefused+e.refused
		all.longCarried += e.longCarried
		all.longRefused += e.longRefused
	}
	for w := range r.estimates {
		e := &r.estimates[w][l]
		e.seconds, e.intervals = site.seconds, site.intervals
		separate := e.refusedMoreThanOthers(all)
		if separate { // its refusals say nothing about the site's capacity
			site.carried, site.refused = site.carried-e.carried, site.refused-e.refused
		}
		e.update(separate && e.refused > maxRefusedShare*e.carried, growthStep)
		if e.sinceRefusal > refusalMemory {
			*e = estimate{advertised: -1, learned: unlimitedRate}
		}
	}
	step := growthStep
	if site.advertised >= 0 {
		step = advertisedGrowthStep
	}
	if site.learned < initialRate {
		step = initialGrowthStep
	}
	site.update(site.refused > maxRefusedShare*site.carried, step)
}

// refusedMoreThanOthers reports whether the refusals have to do with the workload: it is refused more than the others, or
// nearly always if there are too few others.
func (e *estimate) refusedMoreThanOthers(all estimate) bool {
	carried, refused := all.longCarried-e.longCarried, all.longRefused-e.longRefused
	if e.longCarried < minSample {
		return false
	}
	if carried < minSample {
		return e.longRefused > nearlyAllRefused*e.longCarried
	}
	return e.longRefused/e.longCarried > max(maxRefusedShare, refused/carried+unevenMargin)
}

// update changes the learned rate by the results since the last update.
func (e *estimate) update(refuses bool, step float64) {
	if e.sinceRefusal > 0 {
		e.sinceRefusal += e.intervals
	}
	if rate := e.carried / e.seconds; e.carried > 0 {
		if refuses {
			e.learned = max(min(e.learned, rate)*backoffFactor, minRate)
			e.sinceRefusal = 1
		} else if rate > minUsedShare*e.learned { // a higher estimate can only be justified if the current one is used
			if e.sinceRefusal == 0 || e.sinceRefusal > refusalMemory {
				step = initialGrowthStep
			}
			step *= float64(e.intervals)
			e.learned = min(max(e.learned, rate)*(1+step)+minRate*step, unlimitedRate)
		}
	}
	e.carried, e.refused, e.intervals, e.seconds = 0, 0, 0, 0
}

// capacity returns how many queries per second the site probably accepts.
func (e *estimate) capacity() float64 {
	switch {
	case e.advertised >= 0 && e.sinceRefusal == 0: // without refusals the advertised rate is the only information
		return e.advertised
	case e.advertised >= 0:
		return min(e.advertised, e.learned)
	}
	return e.learned
}

// Problem is the input of a planner, which maximizes the revenue within the unserved rates, the capacity of other sites and
// the limits of the links.
type Problem struct {
	Value      [][]float64 // revenue minus cost of one query, by workload and then link; the route isn't used if it is 0 or less
	Excess     []float64   // queries per second to move, by workload
	Capacity   [][]float64 // maximum queries per second, by workload and then link
	QueryRate  []float64   // maximum queries per second, by link
	ByteRate   []float64   // maximum bytes per second, by link
	QueryBytes []float64   // bytes of one query, by workload
}

// problem describes the current state for the planner.
func (r *Router) problem(now int64) Problem {
	p := Problem{}
	for _, rate := range r.excess {
		p.Excess = append(p.Excess, headroom*rate+standbyRate)
	}
	for _, l := range r.linkStats {
		share := 0.0
		if l.Usable {
			share = (1 - reverseReserve) * max(1-lossDiscount*l.Loss, 0)
		}
		i := len(p.QueryRate)
		p.QueryRate = append(p.QueryRate, min(share*r.Links[i].QueryRate, r.siteEstimates[i].capacity()))
		p.ByteRate = append(p.ByteRate, share*r.Links[i].ByteRate)
	}
	for w, workload := range r.Workloads {
		p.QueryBytes = append(p.QueryBytes, workload.Bytes)
		values, capacities := make([]float64, len(r.Links)), make([]float64, len(r.Links))
		for l := range r.Links {
			values[l] = workload.Revenue*(1-r.linkStats[l].Loss) - r.Links[l].Cost
			capacities[l] = min(r.estimates[w][l].learned, r.siteEstimates[l].capacity())
		}
		p.Value, p.Capacity = append(p.Value, values), append(p.Capacity, capacities)
	}
	return p
}

// smooth moves from the last plan to the new one in steps.
//
// Danger: if the plan jumps at each interval, the other site declines what was just sent to it, and the next plan reverses
// the change. So small differences are ignored and growth is slow, while the limits always apply at once.
func (r *Router) smooth(plan *Plan, p Problem) {
	for w := range plan.Rates {
		for l := range plan.Rates[w] {
			old, want := r.plan.Rates[w][l], plan.Rates[w][l]
			rate := min(max(want, old*(1-maxFall)), old*(1+maxRise)+initialRate)
			if math.Abs(want-old) <= deadBand*old {
				rate = old
			}
			plan.Rates[w][l] = min(rate, p.Capacity[w][l])
			if p.Value[w][l] <= 0 {
				plan.Rates[w][l] = 0
			}
		}
	}
	// Smoothed rates have to keep the limits too. The queries of the lowest value are reduced first.
	for l := range p.QueryRate {
		queries, bytes := 0.0, 0.0
		order := make([]int, len(plan.Rates))
		for w := range plan.Rates {
			order[w] = w
			queries += plan.Rates[w][l]
			bytes += plan.Rates[w][l] * p.QueryBytes[w]
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.Value[a][l], p.Value[b][l]) })
		for _, w := range order {
			surplus := max(queries-p.QueryRate[l], 0)
			if p.QueryBytes[w] > 0 {
				surplus = max(surplus, (bytes-p.ByteRate[l])/p.QueryBytes[w])
			}
			reduction := min(surplus, plan.Rates[w][l])
			plan.Rates[w][l] -= reduction
			queries -= reduction
			bytes -= reduction * p.QueryBytes[w]
		}
	}
	plan.Value = 0
	for w := range plan.Rates {
		for l, rate := range plan.Rates[w] {
			plan.Value += rate * p.Value[w][l]
			plan.Changed = plan.Changed || rate != r.plan.Rates[w][l]
		}
	}
}

// Query is a query that the own site doesn't serve.
type Query struct {
	Workload int
	TimeLeft int64    // ns until its client's deadline
	Visited  []string // sites that it came through, without the own one
	Declined bool     // the own site was asked and declined it
}

// Route returns the link for a query, or -1 if it can't leave. Of the possible links it takes the one with the most tokens,
// so that queries follow a plan over several links. Spend takes the tokens.
//
// Danger: a query that circles between sites loads every link and is served nowhere, and a query with little time left
// returns too late. Neither may leave.
func (r *Router) Route(now int64, q Query) int {
	if len(q.Visited) >= maxHops || r.Policy == HalfOfOwn && q.Declined {
		return -1
	}
	best, mostTokens := -1, 0.0
	for l, link := range r.Links {
		if link.Site == r.Site || slices.Contains(q.Visited, link.Site) || !r.linkStats[l].Usable ||
			q.TimeLeft < int64(minRoundTrips*float64(r.linkStats[l].Delay))+r.Workloads[q.Workload].ServiceTime {
			continue
		}
		if r.Policy != Planned {
			return l
		}
		if bucket := r.refill(now, q.Workload, l); r.plan.Rates[q.Workload][l] > 0 && (best < 0 || bucket.tokens > mostTokens) {
			best, mostTokens = l, bucket.tokens
		}
	}
	return best
}

// Spend takes the tokens for one query over a link, if the plan and the link's budget allow it now.
func (r *Router) Spend(now int64, workload, link int) bool {
	if r.Policy != Planned {
		return true
	}
	bucket := r.refill(now, workload, link)
	if bucket.tokens < 1 || !r.linkBudgets[link].allows(now, r.Links[link], r.Workloads[workload].Bytes) {
		return false
	}
	bucket.tokens--
	r.linkBudgets[link].spend(r.Workloads[workload].Bytes)
	return true
}

// ByRevenue returns the workloads in descending order of revenue, the order in which they get free capacity.
func (r *Router) ByRevenue() []int {
	order := make([]int, len(r.Workloads))
	for w := range order {
		order[w] = w
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(r.Workloads[b].Revenue, r.Workloads[a].Revenue) })
	return order
}

// refill adds the tokens of the elapsed time to a route's bucket.
func (r *Router) refill(now int64, w, l int) *tokenBucket {
	bucket, rate := &r.buckets[w][l], r.plan.Rates[w][l]
	bucket.tokens = min(bucket.tokens+rate*float64(now-bucket.updatedAt)/1e9, max(rate*burstSeconds, minBurst))
	bucket.updatedAt = now
	if rate == 0 {
		bucket.tokens = 0
	}
	return bucket
}
