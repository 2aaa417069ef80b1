package overload

import (
	"math"
	"math/rand/v2"
)

const (
	priceClasses        = 48                     // number of price classes, two for each doubling of the price
	middleClass         = priceClasses / 2       // class of a price of 1 for each ms of processor time
	rateWindow          = int64(200 * 1e6)       // ns over which a rate is measured
	rateSlot            = int64(20 * 1e6)        // ns: length of one slot of rateWindow
	backlogRecoveryNs   = 300 * 1e6              // ns within which the backlog is to be worked off
	maxBacklogShare     = 0.5                    // share of the allowed work by which the backlog lowers the target at most
	waitSmoothing       = 0.05                   // weight of one wait in the mean
	idleWaitDecay       = 0.8                    // factor on the mean wait after a step without any recorded wait
	sheddingWaitTargets = 4.0                    // wait targets: a longer mean wait starts shedding before the next reading
	burstFactor         = 1.5                    // ratio to the whole window's rate from which the newest slots' rate counts alone
	floorSmoothing      = 0.3                    // share of the floor's distance from its target that a step corrects
	maxFloorRise        = 6.0                    // classes by which the floor rises in a step at most
	maxFloorFall        = 0.5                    // classes by which the floor falls in a step at most: rejected queries must not all return at once
	repeatValueShare    = 0.5                    // share of its value that a repeated query keeps
	neededDurations     = 1.2                    // mean durations that a query must have left to be surely answered
	maxRejectedIDs      = 4096                   // rejected ids kept in each of two generations
	maxCustomers        = 1024                   // number of customers that are tracked at a time
	customerIdleNs      = int64(10 * 1e9)        // ns without a query after which a customer is forgotten
	maxSavedSeconds     = 1.0                    // seconds' worth of its guaranteed share that a customer may accumulate
	baseRetryAfter      = int64(250 * 1e6)       // ns: half of the longest retry time while what is offered can be served
	maxRetryAfter       = int64(8 * 1e9)         // ns: the longest retry time
	readHeadsShare      = 0.03                   // share of the processor for reading the heads of queries that are then rejected
	noFloor             = float64(-priceClasses) // a floor below all prices
)

// pricing sets the prices of arriving queries and the floor, the price below which they are rejected.
type pricing struct {
	rng             *rand.Rand
	floor           float64                   // as a class: a query is admitted if its class plus a random number in [0, 1) reaches it
	updatedAt       int64                     // when the floor was last computed
	backlog         float64                   // admitted work in excess of what was allowed, ns
	meanWait        float64                   // mean wait of facts and queries for the process, ns
	waitSeen        bool                      // a wait was recorded since updatedAt
	offered         [priceClasses]slidingRate // work a second that is offered, by price class
	rejected        slidingRate               // queries a second that are rejected after their heads were read
	rejectedUnread  slidingRate               // queries a second that are rejected unread
	meanDuration    []float64                 // mean duration of answered queries, by workload, ns
	answeredShare   []float64                 // share of the admitted queries that are answered, by workload
	rejectedIDs     [2]map[uint64]struct{}    // ids of recently rejected queries: the current generation and the one before
	customers       map[uint64]*customer
	sweptAt         int64   // when idle customers were last removed
	activeCustomers float64 // number of customers with recent queries
}

// customer is what is tracked of one customer.
type customer struct {
	budget   float64 // work that its guaranteed share still allows, ns
	lastSeen int64
	demand   float64 // work a second that it asks for, averaged over about a second
}

// slidingRate is an amount a second over a sliding window, summed in a ring of slots.
type slidingRate struct {
	slots  [rateWindow / rateSlot]float64
	newest int64
}

// advance clears the slots that were last used a whole window ago.
func (r *slidingRate) advance(now int64) {
	n := now / rateSlot
	for r.newest = max(r.newest, n-int64(len(r.slots))); r.newest < n; r.newest++ {
		r.slots[(r.newest+1)%int64(len(r.slots))] = 0
	}
}

func (r *slidingRate) add(now int64, v float64) {
	r.advance(now)
	r.slots[r.newest%int64(len(r.slots))] += v
}

// perSecond returns the rate. Danger: averaged over the whole window, a burst that has just begun would be
// underestimated. If the newest slots have a much higher rate, that one is returned.
func (r *slidingRate) perSecond(now int64) float64 {
	r.advance(now)
	whole, recent := 0.0, 0.0
	for age := range int64(len(r.slots)) {
		v := r.slots[(r.newest-age+int64(len(r.slots)))%int64(len(r.slots))]
		if whole += v; age < 3 {
			recent += v
		}
	}
	last := now % rateSlot // time elapsed in the newest slot
	long, short := 1e9*whole/float64(rateWindow-rateSlot+last), 1e9*recent/float64(2*rateSlot+last)
	if short > burstFactor*long {
		return short
	}
	return long
}

func newPricing(now int64, config *Config, rng *rand.Rand) pricing {
	p := pricing{rng: rng, floor: noFloor, updatedAt: now, meanDuration: make([]float64, len(config.Workloads)),
		answeredShare: make([]float64, len(config.Workloads)), customers: map[uint64]*customer{}, sweptAt: now,
		rejectedIDs: [2]map[uint64]struct{}{{}, {}}, activeCustomers: 1}
	for i := range p.meanDuration {
		p.meanDuration[i], p.answeredShare[i] = float64(config.Workloads[i].LatencyGoal)/4, 1
	}
	return p
}

// priceClass returns the class of a price, in revenue for each ms of processor time.
func priceClass(price float64) float64 {
	return min(max(2*math.Log2(max(price, 1e-12))+middleClass, 0), priceClasses-1)
}

// price returns what a query is expected to earn for each ms of processor time: its revenue, times the probability that
// it is answered within its latency goal, reduced if its customer asks for more than a fair share or if it is a repeat.
func (p *pricing) price(d *Detector, a Arrival, c *customer) float64 {
	value := d.Workloads[a.Workload].Revenue
	// Danger: a query with little time left costs as much as any other and earns nothing.
	timeLeft := float64(min(a.TimeLeft, d.Workloads[a.Workload].LatencyGoal))
	value *= min(max(timeLeft/(neededDurations*p.meanDuration[a.Workload]), 0), 1) * max(p.answeredShare[a.Workload], 0.1)
	if fairShare := d.capacity() / p.activeCustomers; c != nil && c.demand > fairShare {
		value *= fairShare / c.demand
	}
	if a.Attempt > 1 || p.wasRejected(a.ID) {
		value *= repeatValueShare
	}
	return value / (d.costs.ofQuery(a.Workload) / 1e6)
}

// wasRejected reports whether a query with this id was rejected recently.
func (p *pricing) wasRejected(id uint64) bool {
	for _, generation := range p.rejectedIDs {
		if _, is := generation[id]; is {
			return true
		}
	}
	return false
}

// rememberRejected stores the id of a rejected query.
func (p *pricing) rememberRejected(id uint64) {
	if len(p.rejectedIDs[0]) >= maxRejectedIDs {
		p.rejectedIDs[0], p.rejectedIDs[1] = map[uint64]struct{}{}, p.rejectedIDs[0]
	}
	p.rejectedIDs[0][id] = struct{}{}
}

// admit decides on one query.
func (p *pricing) admit(now int64, d *Detector, a Arrival) (admitted bool, retryAfter int64) {
	cost := d.costs.ofQuery(a.Workload)
	c := p.touchCustomer(now, d, a.Customer, cost)
	class := priceClass(p.price(d, a, c))
	p.offered[int(class)].add(now, cost)
	if now-p.updatedAt >= rateSlot {
		p.updateFloor(now, d)
	}
	admitted = !d.shedding() || math.Floor(class)+p.rng.Float64() >= p.floor
	// Danger: no query of a customer whose queries are worth least would be served for as long as the overload lasts. So
	// each customer has a guaranteed share.
	if !admitted && c.budget >= cost && a.TimeLeft > int64(p.meanDuration[a.Workload]) {
		c.budget -= cost
		admitted = true
	}
	if !admitted {
		p.rejected.add(now, 1)
		p.rememberRejected(a.ID)
		return false, p.retryAfter(now, d)
	}
	p.backlog += cost
	return true, 0
}

// touchCustomer returns the record of a query's customer, brought up to date for a query of this cost.
func (p *pricing) touchCustomer(now int64, d *Detector, id uint64, cost float64) *customer {
	if now-p.sweptAt >= customerIdleNs {
		p.sweptAt = now
		for id, c := range p.customers {
			if now-c.lastSeen >= customerIdleNs {
				delete(p.customers, id)
			}
		}
		p.activeCustomers = float64(max(len(p.customers), 1))
	}
	c := p.customers[id]
	if c == nil {
		if len(p.customers) >= maxCustomers { // all further customers share one record
			id = 0
			c = p.customers[0]
		}
		if c == nil {
			c = &customer{lastSeen: now}
			p.customers[id] = c
			p.activeCustomers = max(p.activeCustomers, float64(len(p.customers)))
		}
	}
	elapsed := float64(now-c.lastSeen) / 1e9
	c.demand = c.demand*math.Exp(-elapsed) + cost // averaged over about a second
	guaranteed := d.CustomerFloor * d.capacity() / p.activeCustomers
	c.budget = min(c.budget+elapsed*guaranteed, max(maxSavedSeconds*guaranteed, cost))
	c.lastSeen = now
	return c
}

// updateFloor moves the floor towards the price above which the offered work equals the allowed work less a part for the
// backlog.
func (p *pricing) updateFloor(now int64, d *Detector) {
	span := float64(now - p.updatedAt)
	p.updatedAt = now
	allowed := d.limit.allowed()
	p.backlog = max(p.backlog-allowed*span/1e9, 0)
	if math.IsInf(allowed, 1) || math.IsNaN(p.backlog) {
		p.backlog = 0
	}
	if !p.waitSeen {
		p.meanWait *= idleWaitDecay
	}
	p.waitSeen = false
	// Danger: work that waits in the operating system's queues is not part of the backlog, so the mean wait counts too.
	// The backlog takes up no more than a part of the allowed work, so that the most valuable queries are still
	// answered in time.
	behind := max(p.backlog/max(allowed, 1)*1e9, p.meanWait-float64(d.WaitTarget))
	remaining := max(allowed*(1-min(max(behind, 0)/backlogRecoveryNs, maxBacklogShare))-d.costs.reject*p.rejected.perSecond(now)-
		d.costs.rejectUnread*p.rejectedUnread.perSecond(now), 0)
	target := noFloor
	for i := priceClasses - 1; i >= 0; i-- {
		offered := p.offered[i].perSecond(now)
		if offered > remaining { // a random share of this class is admitted
			target = float64(i) + 1 - remaining/offered
			break
		}
		remaining -= offered
	}
	steps := span / float64(rateSlot)
	switch step := floorSmoothing * min(steps, 1) * (target - p.floor); {
	case target > p.floor+1:
		p.floor = min(target, max(p.floor, 0)+maxFloorRise)
	case target > p.floor:
		p.floor += step
	default:
		p.floor += max(step, -maxFloorFall*steps)
	}
	if p.floor < 0 {
		p.floor = noFloor
	}
}

// recordWait records how long something that arrived has waited.
func (p *pricing) recordWait(ns int64) {
	p.meanWait += waitSmoothing * (float64(ns) - p.meanWait)
	p.waitSeen = true
}

// recordEnd records the outcome of an admitted query.
func (p *pricing) recordEnd(workload int, duration int64, answered bool) {
	share := 0.0
	if answered {
		share = 1
		p.meanDuration[workload] += smoothing / 4 * (float64(duration) - p.meanDuration[workload])
	}
	p.answeredShare[workload] += smoothing / 10 * (share - p.answeredShare[workload])
}

// rejectUnread decides by the highest price that a query of the workload can have. Some queries have their heads read
// all the same, as many as cost little, because their customers may have a guaranteed share left.
func (p *pricing) rejectUnread(now int64, d *Detector, workload int) (bool, int64) {
	if now-p.updatedAt >= rateSlot {
		p.updateFloor(now, d)
	}
	best := priceClass(d.Workloads[workload].Revenue / (d.costs.ofQuery(workload) / 1e6))
	if math.Floor(best)+1 >= p.floor {
		return false, 0
	}
	p.offered[int(best)].add(now, d.costs.ofQuery(workload))
	if readShare := readHeadsShare * d.Cores * 1e9 /
		max(d.costs.reject*(p.rejectedUnread.perSecond(now)+p.rejected.perSecond(now)), 1); p.rng.Float64() < readShare {
		return false, 0
	}
	p.rejectedUnread.add(now, 1)
	return true, p.retryAfter(now, d)
}

// retryAfter returns the time after which the client of a rejected query should retry, ns. It is random, and longer the
// more work is offered. Danger: clients that all get the same time retry all at once.
func (p *pricing) retryAfter(now int64, d *Detector) int64 {
	longest := min(d.MaxRetryAfter, maxRetryAfter)
	if longest <= 0 {
		return 0
	}
	offered := 0.0
	for i := range p.offered {
		offered += p.offered[i].perSecond(now)
	}
	loadFactor := max(offered/max(d.capacity(), 1), 1)
	upper := min(int64(2*float64(baseRetryAfter)*loadFactor), longest)
	return upper/3 + int64(p.rng.Float64()*float64(upper-upper/3))
}

// floorPrice returns the price below which queries are rejected, in revenue for a second of processor time; 0 if there
// is no floor.
func (p *pricing) floorPrice() float64 {
	if p.floor <= 0 {
		return 0
	}
	return 1000 * math.Exp2((p.floor-middleClass)/2)
}
