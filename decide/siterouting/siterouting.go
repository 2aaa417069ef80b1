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
	hopsMost     = 2    // links that a query may cross
	fade         = 0.5  // of the newest interval in a rate
	riseMost     = 1.0  // of a link's rate, in an interval: a plan grows no faster, but for the first few queries,
	fallMost     = 0.5  // and shrinks no faster, but where the other site or the link says so
	band         = 0.1  // of a rate: a plan that differs by less is not followed
	returnShare  = 0.2  // of a link, kept for what the other site may have to send this way
	burstFor     = 1.0  // seconds of a route's rate that may go at once, and
	burstLeast   = 3.0  // queries at least: they come by chance
	headroom     = 1.25 // times the excess is planned for, for the same reason
	refusedMost  = 0.25 // of what was carried there: with more refused a site is asked for less,
	judgeOf      = 8    // queries at least that this is drawn from,
	judgeFor     = 5    // or what came in so many intervals
	unevenBy     = 0.3  // more of a workload refused than of the others: then it is the workload's own,
	refusedAll   = 0.9  // or so much of it where there are no others,
	usedLeast    = 0.5  // of what a site is thought to take: with less sent, its answers say nothing of more
	longKept     = 0.8  // of what this is drawn from is kept at each judgement
	backOff      = 0.8  // times what it took, then
	forward      = 0.04 // more each interval, else;
	forwardTold  = 0.2  // or so much where the site says itself what it takes,
	forwardFirst = 1.0  // and as much until it has refused once, or when nothing was refused for long
	forgotten    = 60   // intervals without a refusal: that is long
	rampFor      = 20e9 // ns over which an evacuated site takes its own queries again
	sureFor      = 5e9  // ns that what another site said of itself holds
	spareWays    = 2.0  // times the way there and back that a query must have left beyond the far site's time
	leastRate    = 0.2  // queries a second: enough to find out whether a site takes any
	firstRate    = 4.0  // queries a second that a site not tried yet is thought to take, and that a plan may begin with
	weighSmooth  = 0.05 // of the newest query's bytes in its workload's mean
	readyRate    = 4.0  // queries a second that are planned for beyond that, so that the first ones need not wait for a plan
	anyRate      = 1e9  // of a workload that is not refused more than others
	lossDiscount = 4.0  // a link that loses a share of its queries counts for so much less of its limit
)

// Workload is what is told of one kind of query. Revenue is of one served within its goal; Bytes are there and back.
type Workload struct {
	Name    string
	Revenue float64
	Bytes   float64
	Serves  int64 // the time that a site takes for one, typically, ns
}

// Link is one way to another site.
type Link struct {
	Site    string
	Queries float64 // a second, at most
	Bytes   float64 // a second, at most
	Cost    float64 // of one query carried, in revenue
}

// Policy is what routes go by.
type Policy uint8

// All but Planned are baselines to measure it against: they know no plan and no limit of a link.
const (
	Planned    Policy = iota
	Everything        // all that the own site declines leaves
	Halves            // half of the own queries leave before they are asked here, and no others
)

// Policies are the names of policies, in their order.
var Policies = []string{"plan", "all", "half"}

// Terms are what a site is told. Times in ns.
type Terms struct {
	Policy    Policy
	Site      string
	Workloads []Workload
	Links     []Link
	Interval  int64 // between two plans
}

// Figures are a link's at present.
type Figures struct {
	Delay  int64   // there and back, ns
	Loss   float64 // share of queries that came to nothing on the way
	Usable bool
}

// Plan is what goes where: queries a second of each workload over each link.
type Plan struct {
	Rates   [][]float64 // by workload, then link
	Local   float64     // share of the own queries that the own site is asked for
	Value   float64     // revenue a second that the plan expects to save
	Greedy  bool        // the solver gave no answer in time, and the plan is the simple one
	Changed bool
}

type flow struct {
	tokens float64
	at     int64
}

// opinion is what is known of how much another site takes, of a workload or of all.
type opinion struct {
	told    float64 // as it said, queries a second; below 0 for nothing said
	toldAt  int64
	learned float64 // as its answers show
	calm    int     // intervals since it refused last, 0 for never
	carried float64 // since it was judged last
	refused float64
	waited  int     // intervals since then
	span    float64 // and seconds

	longCarried, longRefused float64 // fading
}

// Router decides for one site.
type Router struct {
	Terms
	Solve    func(Problem) (Plan, bool) // the planner; false where it has no answer
	excess   []float64                  // queries a second of each workload that the own site would not serve
	missed   []float64                  // in this interval
	links    []Figures
	sites    []opinion   // of all workloads, by link
	opinions [][]opinion // by workload, then link
	plan     Plan
	flows    [][]flow
	purses   []purse // by link
	decided  int64
	dark     bool
	since    int64 // it is dark, or light again, since then; 0 for always light
}

// New makes a site's routes at its start.
func New(now int64, t Terms) *Router {
	r := &Router{Terms: t, Solve: Simplex, excess: make([]float64, len(t.Workloads)), missed: make([]float64, len(t.Workloads)),
		links: make([]Figures, len(t.Links)), decided: now}
	for _, l := range t.Links {
		r.purses = append(r.purses, newPurse(now, l))
	}
	r.plan.Local = 1
	for range t.Links {
		r.sites = append(r.sites, opinion{told: -1, learned: firstRate})
	}
	for range t.Workloads {
		row := make([]opinion, len(t.Links))
		for i := range row {
			row[i] = opinion{told: -1, learned: anyRate}
		}
		r.opinions = append(r.opinions, row)
		r.flows = append(r.flows, make([]flow, len(t.Links)))
		r.plan.Rates = append(r.plan.Rates, make([]float64, len(t.Links)))
	}
	return r
}

// Missed tells of a query of the own clients that the own site would not serve, or not within its goal.
func (r *Router) Missed(workload int) { r.missed[workload]++ }

// Carried tells how a query that went over a link ended there.
func (r *Router) Carried(workload, link int, refused bool) {
	for _, o := range []*opinion{&r.sites[link], &r.opinions[workload][link]} {
		o.carried++
		if refused {
			o.refused++
		}
	}
}

// Weighed tells how many bytes a query took there and back. Its route had reckoned with what is known of its workload.
func (r *Router) Weighed(now int64, workload, link int, bytes float64) {
	w := &r.Workloads[workload]
	r.purses[link].settle(now, r.Links[link], bytes-w.Bytes)
	w.Bytes += weighSmooth * (bytes - w.Bytes)
}

// Linked tells a link's figures.
func (r *Router) Linked(link int, f Figures) { r.links[link] = f }

// Willing tells how many queries a second, of all workloads, another site says it would take.
func (r *Router) Willing(now int64, link int, rate float64) {
	o := &r.sites[link]
	o.told, o.toldAt = max(rate, 0), now
}

// Evacuate leaves the own site, or takes it up again over a ramp.
func (r *Router) Evacuate(now int64, dark bool) {
	if r.dark != dark {
		r.dark, r.since = dark, now
	}
}

// Local is the share of the own queries that the own site is asked for: none while it is dark, all when it is long light.
func (r *Router) Local(now int64) float64 {
	switch {
	case r.dark:
		return 0
	case r.since == 0:
		return 1
	}
	return min(float64(now-r.since)/rampFor, 1)
}

// Stays tells whether the own site is asked for a query. Mark is the query's own number in [0, 1), came that it is another
// site's.
func (r *Router) Stays(now int64, mark float64, came bool) bool {
	share := r.Local(now)
	if r.Policy == Halves && !came {
		share = min(share, 0.5)
	}
	return mark < share
}

// Next is when Decide wants to be called again.
func (r *Router) Next() int64 { return r.decided + r.Interval }

// Decide makes a new plan.
func (r *Router) Decide(now int64) Plan {
	span := max(float64(now-r.decided)/1e9, 1e-3)
	r.decided = now
	for w := range r.excess {
		r.excess[w] += fade * (r.missed[w]/span - r.excess[w])
		r.missed[w] = 0
	}
	for l := range r.Links {
		r.learn(now, l, span)
	}
	p := r.problem(now)
	plan, solved := r.Solve(p)
	if !solved {
		plan = Greedy(p)
		plan.Greedy = true
	}
	plan.Local = r.Local(now)
	r.follow(&plan, p)
	r.plan = plan
	return plan
}

// learn draws what another site takes from how it answered.
//
// Danger: two sites that are both short would hand each other what neither serves. A site that refuses is asked for
// less at once and for more only slowly, so what goes to and fro dies down.
//
// A site that is short refuses by chance, the dear like the cheap; so what it takes is learned of all workloads together, and
// the plan fills that with what is worth most. Only a workload that is refused more than the others has a bound of its own.
func (r *Router) learn(now int64, l int, span float64) {
	site := &r.sites[l]
	if site.told >= 0 && now-site.toldAt > sureFor {
		site.told = -1
	}
	site.waited++
	site.span += span
	if site.carried < judgeOf && site.waited < judgeFor {
		return
	}
	var all opinion
	for w := range r.opinions {
		o := &r.opinions[w][l]
		o.longCarried, o.longRefused = longKept*o.longCarried+o.carried, longKept*o.longRefused+o.refused
		all.longCarried += o.longCarried
		all.longRefused += o.longRefused
	}
	for w := range r.opinions {
		o := &r.opinions[w][l]
		o.span, o.waited = site.span, site.waited
		own := o.uneven(all)
		if own { // its refusals say nothing of the site
			site.carried, site.refused = site.carried-o.carried, site.refused-o.refused
		}
		o.judge(own && o.refused > refusedMost*o.carried, forward)
		if o.calm > forgotten {
			*o = opinion{told: -1, learned: anyRate}
		}
	}
	step := forward
	if site.told >= 0 {
		step = forwardTold
	}
	if site.learned < firstRate {
		step = forwardFirst
	}
	site.judge(site.refused > refusedMost*site.carried, step)
}

// uneven tells whether a workload is refused for its own sake: more than the others, or nearly always where there are none.
func (o *opinion) uneven(all opinion) bool {
	carried, refused := all.longCarried-o.longCarried, all.longRefused-o.longRefused
	if o.longCarried < judgeOf {
		return false
	}
	if carried < judgeOf {
		return o.longRefused > refusedAll*o.longCarried
	}
	return o.longRefused/o.longCarried > max(refusedMost, refused/carried+unevenBy)
}

// judge moves what was learned by what came since it was judged last.
func (o *opinion) judge(refuses bool, step float64) {
	if o.calm > 0 {
		o.calm += o.waited
	}
	if rate := o.carried / o.span; o.carried > 0 {
		if refuses {
			o.learned = max(min(o.learned, rate)*backOff, leastRate)
			o.calm = 1
		} else if rate > usedLeast*o.learned { // what is not used says nothing
			if o.calm == 0 || o.calm > forgotten {
				step = forwardFirst
			}
			step *= float64(o.waited)
			o.learned = min(max(o.learned, rate)*(1+step)+leastRate*step, anyRate)
		}
	}
	o.carried, o.refused, o.waited, o.span = 0, 0, 0, 0
}

// takes is how many queries a second a site is thought to take.
func (o *opinion) takes() float64 {
	switch {
	case o.told >= 0 && o.calm == 0: // it has refused nothing yet: its word is all there is
		return o.told
	case o.told >= 0:
		return min(o.told, o.learned)
	}
	return o.learned
}

// Problem is what a planner solves: the greatest revenue within the excess, what others take, and the links.
type Problem struct {
	Worth   [][]float64 // of one query of a workload over a link, what it costs taken off; 0 or less for never
	Excess  []float64   // queries a second, by workload
	Takes   [][]float64 // by workload and link, at most
	Queries []float64   // by link, at most
	Bytes   []float64   // by link, at most
	Weight  []float64   // bytes of a query, by workload
}

func (r *Router) problem(now int64) Problem {
	p := Problem{}
	for _, rate := range r.excess {
		p.Excess = append(p.Excess, headroom*rate+readyRate)
	}
	for _, l := range r.links {
		share := 0.0
		if l.Usable {
			share = (1 - returnShare) * max(1-lossDiscount*l.Loss, 0)
		}
		i := len(p.Queries)
		p.Queries = append(p.Queries, min(share*r.Links[i].Queries, r.sites[i].takes()))
		p.Bytes = append(p.Bytes, share*r.Links[i].Bytes)
	}
	for w, load := range r.Workloads {
		p.Weight = append(p.Weight, load.Bytes)
		worth, takes := make([]float64, len(r.Links)), make([]float64, len(r.Links))
		for l := range r.Links {
			worth[l] = load.Revenue*(1-r.links[l].Loss) - r.Links[l].Cost
			takes[l] = min(r.opinions[w][l].learned, r.sites[l].takes())
		}
		p.Worth, p.Takes = append(p.Worth, worth), append(p.Takes, takes)
	}
	return p
}

// follow moves from the old plan to the new one in steps.
//
// Danger: a plan that jumps with every interval has the far site decline what the near one just sent, and the next
// plan undo it. Small differences are passed over, growth is slow; limits are kept at once whatever the old plan was.
func (r *Router) follow(plan *Plan, p Problem) {
	for w := range plan.Rates {
		for l := range plan.Rates[w] {
			was, want := r.plan.Rates[w][l], plan.Rates[w][l]
			rate := min(max(want, was*(1-fallMost)), was*(1+riseMost)+firstRate)
			if math.Abs(want-was) <= band*was {
				rate = was
			}
			plan.Rates[w][l] = min(rate, p.Takes[w][l])
			if p.Worth[w][l] <= 0 {
				plan.Rates[w][l] = 0
			}
		}
	}
	// The limits hold for what is followed, not only for what was planned; what is worth least goes first.
	for l := range p.Queries {
		queries, bytes := 0.0, 0.0
		order := make([]int, len(plan.Rates))
		for w := range plan.Rates {
			order[w] = w
			queries += plan.Rates[w][l]
			bytes += plan.Rates[w][l] * p.Weight[w]
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.Worth[a][l], p.Worth[b][l]) })
		for _, w := range order {
			over := max(queries-p.Queries[l], 0)
			if p.Weight[w] > 0 {
				over = max(over, (bytes-p.Bytes[l])/p.Weight[w])
			}
			less := min(over, plan.Rates[w][l])
			plan.Rates[w][l] -= less
			queries -= less
			bytes -= less * p.Weight[w]
		}
	}
	plan.Value = 0
	for w := range plan.Rates {
		for l, rate := range plan.Rates[w] {
			plan.Value += rate * p.Worth[w][l]
			plan.Changed = plan.Changed || rate != r.plan.Rates[w][l]
		}
	}
}

// Query is one that the own site does not serve.
type Query struct {
	Workload int
	Left     int64    // of its client's time, ns
	Visited  []string // sites that it came through, the own one left out
	Declined bool     // the own site was asked, and declined it
}

// Route returns the link that a query goes over once there is room, or -1. The way with the most tokens in hand is taken, so
// a plan over several links is followed query by query. Spend takes the room.
//
// Danger: a query that goes round between sites uses every link and is served nowhere; one whose time is nearly up comes
// back too late. Neither leaves.
func (r *Router) Route(now int64, q Query) int {
	if len(q.Visited) >= hopsMost || r.Policy == Halves && q.Declined {
		return -1
	}
	best, most := -1, 0.0
	for l, link := range r.Links {
		if link.Site == r.Site || slices.Contains(q.Visited, link.Site) || !r.links[l].Usable ||
			q.Left < int64(spareWays*float64(r.links[l].Delay))+r.Workloads[q.Workload].Serves {
			continue
		}
		if r.Policy != Planned {
			return l
		}
		if f := r.fill(now, q.Workload, l); r.plan.Rates[q.Workload][l] > 0 && (best < 0 || f.tokens > most) {
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
	f := r.fill(now, workload, link)
	if f.tokens < 1 || !r.purses[link].holds(now, r.Links[link], r.Workloads[workload].Bytes) {
		return false
	}
	f.tokens--
	r.purses[link].take(r.Workloads[workload].Bytes)
	return true
}

// Order are the workloads, those worth most first: so they get what room there is.
func (r *Router) Order() []int {
	order := make([]int, len(r.Workloads))
	for w := range order {
		order[w] = w
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(r.Workloads[b].Revenue, r.Workloads[a].Revenue) })
	return order
}

// fill lets time pass over a route's tokens.
func (r *Router) fill(now int64, w, l int) *flow {
	f, rate := &r.flows[w][l], r.plan.Rates[w][l]
	f.tokens = min(f.tokens+rate*float64(now-f.at)/1e9, max(rate*burstFor, burstLeast))
	f.at = now
	if rate == 0 {
		f.tokens = 0
	}
	return f
}
