// Package siterouting decides for one site how many of each workload's queries go over which link to other sites. It does
// no I/O and reads no clock.
//
// Decides: what stays, what goes where, how much of a link is used, who may be asked at all, how a site is left and
// taken up again.
//
// How to call it: New at the start. Facts go in by Asked, Carried, Linked, Willing and Evacuate; Decide(now), at intervals,
// returns a plan; Route is asked for each query that the own site will not serve, and goes by the plan.
package siterouting

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxHops              = 2    // links that a query may cross
	rateSmoothing        = 0.5  // of the newest interval in a rate
	maxRise              = 1.0  // of a link's rate, in an interval: a plan grows no faster, but for the first few queries,
	maxFall              = 0.5  // and shrinks no faster, but where the other site or the link says so
	deadBand             = 0.1  // of a rate: a plan that differs by less is not followed
	reverseReserve       = 0.2  // of a link, kept for what the other site may have to send this way
	burstSeconds         = 1.0  // seconds of a route's rate that may go at once, and
	minBurst             = 3.0  // queries at least: they come by chance
	headroom             = 1.25 // times the excess is planned for, for the same reason
	maxRefusedShare      = 0.25 // of what was carried there: with more refused a site is asked for less,
	minSample            = 8    // queries at least that this is drawn from,
	maxSampleIntervals   = 5    // or what came in so many intervals
	unevenMargin         = 0.3  // more of a workload refused than of the others: then it is the workload's own,
	nearlyAllRefused     = 0.9  // or so much of it where there are no others,
	minUsedShare         = 0.5  // of what a site is thought to take: with less sent, its answers say nothing of more
	longTermDecay        = 0.8  // of what this is drawn from is kept at each judgement
	backoffFactor        = 0.8  // times what it took, then
	growthStep           = 0.04 // more each interval, else;
	advertisedGrowthStep = 0.2  // or so much where the site says itself what it takes,
	initialGrowthStep    = 1.0  // and as much until it has refused once, or when nothing was refused for long
	refusalMemory        = 60   // intervals without a refusal: that is long
	returnRampNs         = 20e9 // ns over which an evacuated site takes its own queries again
	advertisedTTLNs      = 5e9  // ns that what another site said of itself holds
	minRoundTrips        = 2.0  // times the way there and back that a query must have left beyond the far site's time
	minRate              = 0.2  // queries a second: enough to find out whether a site takes any
	initialRate          = 4.0  // queries a second that a site not tried yet is thought to take, and that a plan may begin with
	bytesSmoothing       = 0.05 // of the newest query's bytes in its workload's mean
	standbyRate          = 4.0  // queries a second that are planned for beyond that, so that the first ones need not wait for a plan
	unlimitedRate        = 1e9  // of a workload that is not refused more than others
	lossDiscount         = 4.0  // a link that loses a share of its queries counts for so much less of its limit
)

// Workload is what is told of one kind of query. Revenue is of one served within its goal; Bytes are there and back.
type Workload struct {
	Name        string
	Revenue     float64
	Bytes       float64
	ServiceTime int64 // the time that a site takes for one, typically, ns
}

// Link is one way to another site.
type Link struct {
	Site      string
	QueryRate float64 // a second, at most
	ByteRate  float64 // a second, at most
	Cost      float64 // of one query carried, in revenue
}

// Policy is what routes go by.
type Policy uint8

// All but Planned are baselines to measure it against: they know no plan and no limit of a link.
const (
	Planned     Policy = iota
	AllDeclined        // all that the own site declines leaves
	HalfOfOwn          // half of the own queries leave before they are asked here, and no others
)

// PolicyNames are the names of policies, in their order.
var PolicyNames = []string{"plan", "all", "half"}

// Config are what a site is told. Times in ns.
type Config struct {
	Policy    Policy
	Site      string
	Workloads []Workload
	Links     []Link
	Interval  int64 // between two plans
}

// LinkStats are a link's at present.
type LinkStats struct {
	Delay  int64   // there and back, ns
	Loss   float64 // share of queries that came to nothing on the way
	Usable bool
}

// Plan is what goes where: queries a second of each workload over each link.
type Plan struct {
	Rates      [][]float64 // by workload, then link
	LocalShare float64     // share of the own queries that the own site is asked for
	Value      float64     // revenue a second that the plan expects to save
	Greedy     bool        // the solver gave no answer in time, and the plan is the simple one
	Changed    bool
}

type tokenBucket struct {
	tokens    float64
	updatedAt int64
}

// estimate is what is known of how much another site takes, of a workload or of all.
type estimate struct {
	advertised   float64 // as it said, queries a second; below 0 for nothing said
	advertisedAt int64
	learned      float64 // as its answers show
	sinceRefusal int     // intervals since it refused last, 0 for never
	carried      float64 // since it was judged last
	refused      float64
	intervals    int     // intervals since then
	seconds      float64 // and seconds

	longCarried, longRefused float64 // fading
}

// Router decides for one site.
type Router struct {
	Config
	Solve               func(Problem) (Plan, bool) // the planner; false where it has no answer
	excess              []float64                  // queries a second of each workload that the own site would not serve
	unserved            []float64                  // in this interval
	linkStats           []LinkStats
	siteEstimates       []estimate   // of all workloads, by link
	estimates           [][]estimate // by workload, then link
	plan                Plan
	buckets             [][]tokenBucket
	linkBudgets         []linkBudget // by link
	decidedAt           int64
	evacuated           bool
	evacuationChangedAt int64 // it is dark, or light again, since then; 0 for always light
}

// New makes a site's routes at its start.
func New(now int64, t Config) *Router {
	r := &Router{Config: t, Solve: Simplex, excess: make([]float64, len(t.Workloads)), unserved: make([]float64, len(t.Workloads)),
		linkStats: make([]LinkStats, len(t.Links)), decidedAt: now}
	for _, l := range t.Links {
		r.linkBudgets = append(r.linkBudgets, newLinkBudget(now, l))
	}
	r.plan.LocalShare = 1
	for range t.Links {
		r.siteEstimates = append(r.siteEstimates, estimate{advertised: -1, learned: initialRate})
	}
	for range t.Workloads {
		row := make([]estimate, len(t.Links))
		for i := range row {
			row[i] = estimate{advertised: -1, learned: unlimitedRate}
		}
		r.estimates = append(r.estimates, row)
		r.buckets = append(r.buckets, make([]tokenBucket, len(t.Links)))
		r.plan.Rates = append(r.plan.Rates, make([]float64, len(t.Links)))
	}
	return r
}

// CountUnserved tells of a query of the own clients that the own site would not serve, or not within its goal.
func (r *Router) CountUnserved(workload int) { r.unserved[workload]++ }

// ObserveResult tells how a query that went over a link ended there.
func (r *Router) ObserveResult(workload, link int, refused bool) {
	for _, o := range []*estimate{&r.siteEstimates[link], &r.estimates[workload][link]} {
		o.carried++
		if refused {
			o.refused++
		}
	}
}

// ObserveBytes tells how many bytes a query took there and back. Its route had reckoned with what is known of its workload.
func (r *Router) ObserveBytes(now int64, workload, link int, bytes float64) {
	w := &r.Workloads[workload]
	r.linkBudgets[link].correct(now, r.Links[link], bytes-w.Bytes)
	w.Bytes += bytesSmoothing * (bytes - w.Bytes)
}

// ObserveLink tells a link's figures.
func (r *Router) ObserveLink(link int, f LinkStats) { r.linkStats[link] = f }

// ObserveAdvertised tells how many queries a second, of all workloads, another site says it would take.
func (r *Router) ObserveAdvertised(now int64, link int, rate float64) {
	o := &r.siteEstimates[link]
	o.advertised, o.advertisedAt = max(rate, 0), now
}

// Evacuate leaves the own site, or takes it up again over a ramp.
func (r *Router) Evacuate(now int64, evacuated bool) {
	if r.evacuated != evacuated {
		r.evacuated, r.evacuationChangedAt = evacuated, now
	}
}

// LocalShare is the share of the own queries that the own site is asked for: none while it is dark, all when it is long light.
func (r *Router) LocalShare(now int64) float64 {
	switch {
	case r.evacuated:
		return 0
	case r.evacuationChangedAt == 0:
		return 1
	}
	return min(float64(now-r.evacuationChangedAt)/returnRampNs, 1)
}

// ServesLocally tells whether the own site is asked for a query. Mark is the query's own number in [0, 1), came that it is another
// site's.
func (r *Router) ServesLocally(now int64, position float64, fromOtherSite bool) bool {
	share := r.LocalShare(now)
	if r.Policy == HalfOfOwn && !fromOtherSite {
		share = min(share, 0.5)
	}
	return position < share
}

// Next is when Decide wants to be called again.
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

// updateEstimates draws what another site takes from how it answered.
//
// Danger: two sites that are both short would hand each other what neither serves. A site that refuses is asked for
// less at once and for more only slowly, so what goes to and fro dies down.
//
// A site that is short refuses by chance, the dear like the cheap; so what it takes is learned of all workloads together, and
// the plan fills that with what is worth most. Only a workload that is refused more than the others has a bound of its own.
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
		o := &r.estimates[w][l]
		o.longCarried, o.longRefused = longTermDecay*o.longCarried+o.carried, longTermDecay*o.longRefused+o.refused
		all.longCarried += o.longCarried
		all.longRefused += o.longRefused
	}
	for w := range r.estimates {
		o := &r.estimates[w][l]
		o.seconds, o.intervals = site.seconds, site.intervals
		own := o.refusedMoreThanOthers(all)
		if own { // its refusals say nothing of the site
			site.carried, site.refused = site.carried-o.carried, site.refused-o.refused
		}
		o.update(own && o.refused > maxRefusedShare*o.carried, growthStep)
		if o.sinceRefusal > refusalMemory {
			*o = estimate{advertised: -1, learned: unlimitedRate}
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

// refusedMoreThanOthers tells whether a workload is refused for its own sake: more than the others, or nearly always where there are none.
func (o *estimate) refusedMoreThanOthers(all estimate) bool {
	carried, refused := all.longCarried-o.longCarried, all.longRefused-o.longRefused
	if o.longCarried < minSample {
		return false
	}
	if carried < minSample {
		return o.longRefused > nearlyAllRefused*o.longCarried
	}
	return o.longRefused/o.longCarried > max(maxRefusedShare, refused/carried+unevenMargin)
}

// update moves what was learned by what came since it was judged last.
func (o *estimate) update(refuses bool, step float64) {
	if o.sinceRefusal > 0 {
		o.sinceRefusal += o.intervals
	}
	if rate := o.carried / o.seconds; o.carried > 0 {
		if refuses {
			o.learned = max(min(o.learned, rate)*backoffFactor, minRate)
			o.sinceRefusal = 1
		} else if rate > minUsedShare*o.learned { // what is not used says nothing
			if o.sinceRefusal == 0 || o.sinceRefusal > refusalMemory {
				step = initialGrowthStep
			}
			step *= float64(o.intervals)
			o.learned = min(max(o.learned, rate)*(1+step)+minRate*step, unlimitedRate)
		}
	}
	o.carried, o.refused, o.intervals, o.seconds = 0, 0, 0, 0
}

// capacity is how many queries a second a site is thought to take.
func (o *estimate) capacity() float64 {
	switch {
	case o.advertised >= 0 && o.sinceRefusal == 0: // it has refused nothing yet: its word is all there is
		return o.advertised
	case o.advertised >= 0:
		return min(o.advertised, o.learned)
	}
	return o.learned
}

// Problem is what a planner solves: the greatest revenue within the excess, what others take, and the links.
type Problem struct {
	Value      [][]float64 // of one query of a workload over a link, what it costs taken off; 0 or less for never
	Excess     []float64   // queries a second, by workload
	Capacity   [][]float64 // by workload and link, at most
	QueryRate  []float64   // by link, at most
	ByteRate   []float64   // by link, at most
	QueryBytes []float64   // bytes of a query, by workload
}

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
	for w, load := range r.Workloads {
		p.QueryBytes = append(p.QueryBytes, load.Bytes)
		worth, takes := make([]float64, len(r.Links)), make([]float64, len(r.Links))
		for l := range r.Links {
			worth[l] = load.Revenue*(1-r.linkStats[l].Loss) - r.Links[l].Cost
			takes[l] = min(r.estimates[w][l].learned, r.siteEstimates[l].capacity())
		}
		p.Value, p.Capacity = append(p.Value, worth), append(p.Capacity, takes)
	}
	return p
}

// smooth moves from the old plan to the new one in steps.
//
// Danger: a plan that jumps with every interval has the far site decline what the near one just sent, and the next
// plan undo it. Small differences are passed over, growth is slow; limits are kept at once whatever the old plan was.
func (r *Router) smooth(plan *Plan, p Problem) {
	for w := range plan.Rates {
		for l := range plan.Rates[w] {
			was, want := r.plan.Rates[w][l], plan.Rates[w][l]
			rate := min(max(want, was*(1-maxFall)), was*(1+maxRise)+initialRate)
			if math.Abs(want-was) <= deadBand*was {
				rate = was
			}
			plan.Rates[w][l] = min(rate, p.Capacity[w][l])
			if p.Value[w][l] <= 0 {
				plan.Rates[w][l] = 0
			}
		}
	}
	// The limits hold for what is followed, not only for what was planned; what is worth least goes first.
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
			over := max(queries-p.QueryRate[l], 0)
			if p.QueryBytes[w] > 0 {
				over = max(over, (bytes-p.ByteRate[l])/p.QueryBytes[w])
			}
			less := min(over, plan.Rates[w][l])
			plan.Rates[w][l] -= less
			queries -= less
			bytes -= less * p.QueryBytes[w]
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

// Query is one that the own site does not serve.
type Query struct {
	Workload int
	TimeLeft int64    // of its client's time, ns
	Visited  []string // sites that it came through, the own one left out
	Declined bool     // the own site was asked, and declined it
}

// Route returns the link that a query goes over once there is room, or -1. The way with the most tokens in hand is taken, so
// a plan over several links is followed query by query. Spend takes the room.
//
// Danger: a query that goes round between sites uses every link and is served nowhere; one whose time is nearly up comes
// back too late. Neither leaves.
func (r *Router) Route(now int64, q Query) int {
	if len(q.Visited) >= maxHops || r.Policy == HalfOfOwn && q.Declined {
		return -1
	}
	best, most := -1, 0.0
	for l, link := range r.Links {
		if link.Site == r.Site || slices.Contains(q.Visited, link.Site) || !r.linkStats[l].Usable ||
			q.TimeLeft < int64(minRoundTrips*float64(r.linkStats[l].Delay))+r.Workloads[q.Workload].ServiceTime {
			continue
		}
		if r.Policy != Planned {
			return l
		}
		if f := r.refill(now, q.Workload, l); r.plan.Rates[q.Workload][l] > 0 && (best < 0 || f.tokens > most) {
			best, most = l, f.tokens
		}
	}
	return best
}

// Spend takes the room for one query over a link, if its plan and the link's purse have it now.
func (r *Router) Spend(now int64, workload, link int) bool {
	if r.Policy != Planned {
		return true
	}
	f := r.refill(now, workload, link)
	if f.tokens < 1 || !r.linkBudgets[link].allows(now, r.Links[link], r.Workloads[workload].Bytes) {
		return false
	}
	f.tokens--
	r.linkBudgets[link].spend(r.Workloads[workload].Bytes)
	return true
}

// ByRevenue are the workloads, those worth most first: so they get what room there is.
func (r *Router) ByRevenue() []int {
	order := make([]int, len(r.Workloads))
	for w := range order {
		order[w] = w
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(r.Workloads[b].Revenue, r.Workloads[a].Revenue) })
	return order
}

// refill lets time pass over a route's tokens.
func (r *Router) refill(now int64, w, l int) *tokenBucket {
	f, rate := &r.buckets[w][l], r.plan.Rates[w][l]
	f.tokens = min(f.tokens+rate*float64(now-f.updatedAt)/1e9, max(rate*burstSeconds, minBurst))
	f.updatedAt = now
	if rate == 0 {
		f.tokens = 0
	}
	return f
}
