package overload

import (
	"math"
	"math/rand/v2"
)

const (
	priceClasses        = 48                     // of prices, two to a doubling
	middleClass         = priceClasses / 2       // the class of what is worth 1 for a ms
	rateWindow          = int64(200 * 1e6)       // ns over which what is offered is known
	rateSlot            = int64(20 * 1e6)        // and in steps of
	backlogRecoveryNs   = 300 * 1e6              // ns in which what waits is made up for,
	maxBacklogShare     = 0.5                    // with so much of what may be taken on at most
	waitSmoothing       = 0.05                   // of one wait that is believed
	idleWaitDecay       = 0.8                    // of it that is left after a step in which nobody waited
	sheddingWaitTargets = 4.0                    // targets of it that turn some away before a reading says so
	burstFactor         = 1.5                    // of the rate over the whole span that the newest rows must have to be believed alone
	floorSmoothing      = 0.3                    // of what the floor is off that a step mends,
	maxFloorRise        = 6.0                    // classes that it rises at most in a step
	maxFloorFall        = 0.5                    // and falls: what is turned away comes back, and must not come back all together
	repeatValueShare    = 0.5                    // of its worth that a repeat has left
	neededDurations     = 1.2                    // a query needs so many usual times to be surely answered
	maxRejectedIDs      = 4096                   // ids of those turned away that are known again, twice at most
	maxCustomers        = 1024                   // that are known at a time
	customerIdleNs      = int64(10 * 1e9)        // ns after which one that asks nothing is forgotten
	maxSavedSeconds     = 1.0                    // seconds of its floor that a customer may save up
	baseRetryAfter      = int64(250 * 1e6)       // ns that a client is told to stay away at least,
	maxRetryAfter       = int64(8 * 1e9)         // and at most
	readHeadsShare      = 0.03                   // of the processor that may go into reading the heads of what is turned away anyhow
	noFloor             = float64(-priceClasses) // a floor under all prices
)

// pricing prices arrivals and keeps the floor.
type pricing struct {
	rng             *rand.Rand
	floor           float64 // in classes: an arrival is taken on if its class and a lot of 0 to 1 come to more
	updatedAt       int64
	backlog         float64 // work taken on beyond what may be, ns
	meanWait        float64 // that those who come have, ns
	waitSeen        bool    // of one since the last look
	offered         [priceClasses]slidingRate
	rejected        slidingRate // turned away with heads read
	rejectedUnread  slidingRate // and without
	meanDuration    []float64
	answeredShare   []float64 // share of those taken on
	rejectedIDs     [2]map[uint64]struct{}
	customers       map[uint64]*customer
	sweptAt         int64
	activeCustomers float64 // customers that asked of late
}

type customer struct {
	budget   float64 // work that its floor has left, ns
	lastSeen int64
	demand   float64 // work a second that it asks for of late
}

// slidingRate is how much comes a second: sums in a ring of rows.
type slidingRate struct {
	slots  [rateWindow / rateSlot]float64
	newest int64
}

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

// perSecond is the rate. Danger: a burst that began just now is as strong as the rows that it fills, not as the whole span.
func (r *slidingRate) perSecond(now int64) float64 {
	r.advance(now)
	whole, recent := 0.0, 0.0
	for age := range int64(len(r.slots)) {
		v := r.slots[(r.newest-age+int64(len(r.slots)))%int64(len(r.slots))]
		if whole += v; age < 3 {
			recent += v
		}
	}
	last := now % rateSlot // of the newest row
	long, short := 1e9*whole/float64(rateWindow-rateSlot+last), 1e9*recent/float64(2*rateSlot+last)
	if short > burstFactor*long {
		return short
	}
	return long
}

func newPricing(now int64, t *Config, chance *rand.Rand) pricing {
	w := pricing{rng: chance, floor: noFloor, updatedAt: now, meanDuration: make([]float64, len(t.Workloads)),
		answeredShare: make([]float64, len(t.Workloads)), customers: map[uint64]*customer{}, sweptAt: now,
		rejectedIDs: [2]map[uint64]struct{}{{}, {}}, activeCustomers: 1}
	for i := range w.meanDuration {
		w.meanDuration[i], w.answeredShare[i] = float64(t.Workloads[i].LatencyGoal)/4, 1
	}
	return w
}

// priceClass is where a price stands, revenue for a ms of the processor.
func priceClass(price float64) float64 {
	return min(max(2*math.Log2(max(price, 1e-12))+middleClass, 0), priceClasses-1)
}

// price is what a query should earn for each ms that it costs: its revenue, by its customer's share, by the chance that it is
// answered within its goal.
func (w *pricing) price(s *Detector, a Arrival, c *customer) float64 {
	p := s.Workloads[a.Workload].Revenue
	// Danger: a query with little time left costs as much as any, and earns nothing.
	left := float64(min(a.TimeLeft, s.Workloads[a.Workload].LatencyGoal))
	p *= min(max(left/(neededDurations*w.meanDuration[a.Workload]), 0), 1) * max(w.answeredShare[a.Workload], 0.1)
	if fair := s.capacity() / w.activeCustomers; c != nil && c.demand > fair {
		p *= fair / c.demand
	}
	if a.Attempt > 1 || w.wasRejected(a.ID) {
		p *= repeatValueShare
	}
	return p / (s.costs.ofQuery(a.Workload) / 1e6)
}

func (w *pricing) wasRejected(id uint64) bool {
	for _, some := range w.rejectedIDs {
		if _, is := some[id]; is {
			return true
		}
	}
	return false
}

// rememberRejected keeps the id of a query that is turned away.
func (w *pricing) rememberRejected(id uint64) {
	if len(w.rejectedIDs[0]) >= maxRejectedIDs {
		w.rejectedIDs[0], w.rejectedIDs[1] = map[uint64]struct{}{}, w.rejectedIDs[0]
	}
	w.rejectedIDs[0][id] = struct{}{}
}

// admit decides on one query.
func (w *pricing) admit(now int64, s *Detector, a Arrival) (admitted bool, retryAfter int64) {
	cost := s.costs.ofQuery(a.Workload)
	c := w.touchCustomer(now, s, a.Customer, cost)
	at := priceClass(w.price(s, a, c))
	w.offered[int(at)].add(now, cost)
	if now-w.updatedAt >= rateSlot {
		w.updateFloor(now, s)
	}
	admitted = !s.shedding() || math.Floor(at)+w.rng.Float64() >= w.floor
	// Danger: what is worth least would be locked out for as long as the strain lasts. A customer has a floor of its own.
	if !admitted && c.budget >= cost && a.TimeLeft > int64(w.meanDuration[a.Workload]) {
		c.budget -= cost
		admitted = true
	}
	if !admitted {
		w.rejected.add(now, 1)
		w.rememberRejected(a.ID)
		return false, w.retryAfter(now, s)
	}
	w.backlog += cost
	return true, 0
}

// touchCustomer is the record of the one who asks.
func (w *pricing) touchCustomer(now int64, s *Detector, id uint64, cost float64) *customer {
	if now-w.sweptAt >= customerIdleNs {
		w.sweptAt = now
		for id, c := range w.customers {
			if now-c.lastSeen >= customerIdleNs {
				delete(w.customers, id)
			}
		}
		w.activeCustomers = float64(max(len(w.customers), 1))
	}
	c := w.customers[id]
	if c == nil {
		if len(w.customers) >= maxCustomers { // the rest share one record
			id = 0
			c = w.customers[0]
		}
		if c == nil {
			c = &customer{lastSeen: now}
			w.customers[id] = c
			w.activeCustomers = max(w.activeCustomers, float64(len(w.customers)))
		}
	}
	since := float64(now-c.lastSeen) / 1e9
	c.demand = c.demand*math.Exp(-since) + cost // over about a second
	own := s.CustomerFloor * s.capacity() / w.activeCustomers
	c.budget = min(c.budget+since*own, max(maxSavedSeconds*own, cost))
	c.lastSeen = now
	return c
}

// updateFloor finds the floor: what is offered above it is what may be taken on, less what was taken on too much.
func (w *pricing) updateFloor(now int64, s *Detector) {
	span := float64(now - w.updatedAt)
	w.updatedAt = now
	may := s.limit.allowed()
	w.backlog = max(w.backlog-may*span/1e9, 0)
	if math.IsInf(may, 1) || math.IsNaN(w.backlog) {
		w.backlog = 0
	}
	if !w.waitSeen {
		w.meanWait *= idleWaitDecay
	}
	w.waitSeen = false
	// Danger: what waits unseen, in the machine's own queues, is no smaller for that. What waits costs a share of what may be
	// taken on, and not all of it: the dearest come in time even so.
	behind := max(w.backlog/max(may, 1)*1e9, w.meanWait-float64(s.WaitTarget))
	room := max(may*(1-min(max(behind, 0)/backlogRecoveryNs, maxBacklogShare))-s.costs.reject*w.rejected.perSecond(now)-
		s.costs.rejectUnread*w.rejectedUnread.perSecond(now), 0)
	target := noFloor
	for i := priceClasses - 1; i >= 0; i-- {
		offered := w.offered[i].perSecond(now)
		if offered > room { // of this class a share: the lot decides
			target = float64(i) + 1 - room/offered
			break
		}
		room -= offered
	}
	steps := span / float64(rateSlot)
	switch near := floorSmoothing * min(steps, 1) * (target - w.floor); {
	case target > w.floor+1:
		w.floor = min(target, max(w.floor, 0)+maxFloorRise)
	case target > w.floor:
		w.floor += near
	default:
		w.floor += max(near, -maxFloorFall*steps)
	}
	if w.floor < 0 {
		w.floor = noFloor
	}
}

// recordWait takes in how long one that came waited.
func (w *pricing) recordWait(ns int64) {
	w.meanWait += waitSmoothing * (float64(ns) - w.meanWait)
	w.waitSeen = true
}

// recordEnd books how a query went that was taken on.
func (w *pricing) recordEnd(workload int, duration int64, answered bool) {
	share := 0.0
	if answered {
		share = 1
		w.meanDuration[workload] += smoothing / 4 * (float64(duration) - w.meanDuration[workload])
	}
	w.answeredShare[workload] += smoothing / 10 * (share - w.answeredShare[workload])
}

// rejectUnread decides by the best that a query of the workload could be worth. Some have their heads read all the same, as many as
// cost little, for the customers' floor.
func (w *pricing) rejectUnread(now int64, s *Detector, workload int) (bool, int64) {
	if now-w.updatedAt >= rateSlot {
		w.updateFloor(now, s)
	}
	best := priceClass(s.Workloads[workload].Revenue / (s.costs.ofQuery(workload) / 1e6))
	if math.Floor(best)+1 >= w.floor {
		return false, 0
	}
	w.offered[int(best)].add(now, s.costs.ofQuery(workload))
	if keep := readHeadsShare * s.Cores * 1e9 / max(s.costs.reject*(w.rejectedUnread.perSecond(now)+w.rejected.perSecond(now)), 1); w.rng.Float64() < keep {
		return false, 0
	}
	w.rejectedUnread.add(now, 1)
	return true, w.retryAfter(now, s)
}

// retryAfter is how long one that is turned away should stay away: longer the more is offered, and spread.
// Danger: a crowd that is told one time comes back as a crowd.
func (w *pricing) retryAfter(now int64, s *Detector) int64 {
	most := min(s.MaxRetryAfter, maxRetryAfter)
	if most <= 0 {
		return 0
	}
	offered := 0.0
	for i := range w.offered {
		offered += w.offered[i].perSecond(now)
	}
	over := max(offered/max(s.capacity(), 1), 1)
	high := min(int64(2*float64(baseRetryAfter)*over), most)
	return high/3 + int64(w.rng.Float64()*float64(high-high/3))
}

// floorPrice is the price under which all is turned away, revenue for a second of the processor; 0 for none.
func (w *pricing) floorPrice() float64 {
	if w.floor <= 0 {
		return 0
	}
	return 1000 * math.Exp2((w.floor-middleClass)/2)
}
