package overload

import (
	"math"
	"math/rand/v2"
)

const (
	classes     = 48                // of prices, two to a doubling
	classMiddle = classes / 2       // the class of what is worth 1 for a ms
	offeredSpan = int64(200 * 1e6)  // ns over which what is offered is known
	offeredRow  = int64(20 * 1e6)   // and in steps of
	backlogIn   = 300 * 1e6         // ns in which what waits is made up for,
	backlogOf   = 0.5               // with so much of what may be taken on at most
	waitSmooth  = 0.05              // of one wait that is believed
	waitFades   = 0.8               // of it that is left after a step in which nobody waited
	waitAlone   = 4.0               // targets of it that turn some away before a reading says so
	burstOf     = 1.5               // of the rate over the whole span that the newest rows must have to be believed alone
	floorNear   = 0.3               // of what the floor is off that a step mends,
	floorUp     = 6.0               // classes that it rises at most in a step
	floorDown   = 0.5               // and falls: what is turned away comes back, and must not come back all together
	repeatOf    = 0.5               // of its worth that a repeat has left
	tookNeeds   = 1.2               // a query needs so many usual times to be surely answered
	refusedKept = 4096              // ids of those turned away that are known again, twice at most
	customers   = 1024              // that are known at a time
	customerFor = int64(10 * 1e9)   // ns after which one that asks nothing is forgotten
	saved       = 1.0               // seconds of its floor that a customer may save up
	leastBack   = int64(250 * 1e6)  // ns that a client is told to stay away at least,
	mostBack    = int64(8 * 1e9)    // and at most
	unseenFrom  = 0.03              // of the processor that may go into reading the heads of what is turned away anyhow
	noFloor     = float64(-classes) // a floor under all prices
)

// worth prices arrivals and keeps the floor.
type worth struct {
	chance    *rand.Rand
	floor     float64 // in classes: an arrival is taken on if its class and a lot of 0 to 1 come to more
	looked    int64
	backlog   float64 // work taken on beyond what may be, ns
	wait      float64 // that those who come have, ns
	heard     bool    // of one since the last look
	offered   [classes]rate
	away      rate // turned away with heads read
	unread    rate // and without
	took      []float64
	answered  []float64 // share of those taken on
	repeats   [2]map[uint64]struct{}
	customers map[uint64]*customer
	swept     int64
	known     float64 // customers that asked of late
}

type customer struct {
	purse float64 // work that its floor has left, ns
	at    int64
	asked float64 // work a second that it asks for of late
}

// rate is how much comes a second: sums in a ring of rows.
type rate struct {
	rows   [offeredSpan / offeredRow]float64
	newest int64
}

func (r *rate) turn(now int64) {
	n := now / offeredRow
	for r.newest = max(r.newest, n-int64(len(r.rows))); r.newest < n; r.newest++ {
		r.rows[(r.newest+1)%int64(len(r.rows))] = 0
	}
}

func (r *rate) add(now int64, v float64) {
	r.turn(now)
	r.rows[r.newest%int64(len(r.rows))] += v
}

// of is the rate. Danger: a burst that began just now is as strong as the rows that it fills, not as the whole span.
func (r *rate) of(now int64) float64 {
	r.turn(now)
	whole, recent := 0.0, 0.0
	for age := range int64(len(r.rows)) {
		v := r.rows[(r.newest-age+int64(len(r.rows)))%int64(len(r.rows))]
		if whole += v; age < 3 {
			recent += v
		}
	}
	last := now % offeredRow // of the newest row
	long, short := 1e9*whole/float64(offeredSpan-offeredRow+last), 1e9*recent/float64(2*offeredRow+last)
	if short > burstOf*long {
		return short
	}
	return long
}

func newWorth(now int64, t *Terms, chance *rand.Rand) worth {
	w := worth{chance: chance, floor: noFloor, looked: now, took: make([]float64, len(t.Workloads)),
		answered: make([]float64, len(t.Workloads)), customers: map[uint64]*customer{}, swept: now,
		repeats: [2]map[uint64]struct{}{{}, {}}, known: 1}
	for i := range w.took {
		w.took[i], w.answered[i] = float64(t.Workloads[i].Goal)/4, 1
	}
	return w
}

// class is where a price stands, revenue for a ms of the processor.
func class(price float64) float64 {
	return min(max(2*math.Log2(max(price, 1e-12))+classMiddle, 0), classes-1)
}

// price is what a query should earn for each ms that it costs: its revenue, by its customer's share, by the chance that it is
// answered within its goal.
func (w *worth) price(s *Detector, a Arrival, c *customer) float64 {
	p := s.Workloads[a.Workload].Revenue
	// Danger: a query with little time left costs as much as any, and earns nothing.
	left := float64(min(a.Left, s.Workloads[a.Workload].Goal))
	p *= min(max(left/(tookNeeds*w.took[a.Workload]), 0), 1) * max(w.answered[a.Workload], 0.1)
	if fair := s.can() / w.known; c != nil && c.asked > fair {
		p *= fair / c.asked
	}
	if a.Try > 1 || w.repeat(a.ID) {
		p *= repeatOf
	}
	return p / (s.costs.of(a.Workload) / 1e6)
}

func (w *worth) repeat(id uint64) bool {
	for _, some := range w.repeats {
		if _, is := some[id]; is {
			return true
		}
	}
	return false
}

// remember keeps the id of a query that is turned away.
func (w *worth) remember(id uint64) {
	if len(w.repeats[0]) >= refusedKept {
		w.repeats[0], w.repeats[1] = map[uint64]struct{}{}, w.repeats[0]
	}
	w.repeats[0][id] = struct{}{}
}

// arrive decides on one query.
func (w *worth) arrive(now int64, s *Detector, a Arrival) (taken bool, comeBack int64) {
	cost := s.costs.of(a.Workload)
	c := w.customer(now, s, a.Customer, cost)
	at := class(w.price(s, a, c))
	w.offered[int(at)].add(now, cost)
	if now-w.looked >= offeredRow {
		w.look(now, s)
	}
	taken = !s.shedding() || math.Floor(at)+w.chance.Float64() >= w.floor
	// Danger: what is worth least would be locked out for as long as the strain lasts. A customer has a floor of its own.
	if !taken && c.purse >= cost && a.Left > int64(w.took[a.Workload]) {
		c.purse -= cost
		taken = true
	}
	if !taken {
		w.away.add(now, 1)
		w.remember(a.ID)
		return false, w.comeBack(now, s)
	}
	w.backlog += cost
	return true, 0
}

// customer is the record of the one who asks.
func (w *worth) customer(now int64, s *Detector, id uint64, cost float64) *customer {
	if now-w.swept >= customerFor {
		w.swept = now
		for id, c := range w.customers {
			if now-c.at >= customerFor {
				delete(w.customers, id)
			}
		}
		w.known = float64(max(len(w.customers), 1))
	}
	c := w.customers[id]
	if c == nil {
		if len(w.customers) >= customers { // the rest share one record
			id = 0
			c = w.customers[0]
		}
		if c == nil {
			c = &customer{at: now}
			w.customers[id] = c
			w.known = max(w.known, float64(len(w.customers)))
		}
	}
	since := float64(now-c.at) / 1e9
	c.asked = c.asked*math.Exp(-since) + cost // over about a second
	own := s.Floor * s.can() / w.known
	c.purse = min(c.purse+since*own, max(saved*own, cost))
	c.at = now
	return c
}

// look finds the floor: what is offered above it is what may be taken on, less what was taken on too much.
func (w *worth) look(now int64, s *Detector) {
	span := float64(now - w.looked)
	w.looked = now
	may := s.limit.allowed()
	w.backlog = max(w.backlog-may*span/1e9, 0)
	if math.IsInf(may, 1) || math.IsNaN(w.backlog) {
		w.backlog = 0
	}
	if !w.heard {
		w.wait *= waitFades
	}
	w.heard = false
	// Danger: what waits unseen, in the machine's own queues, is no smaller for that. What waits costs a share of what may be
	// taken on, and not all of it: the dearest come in time even so.
	behind := max(w.backlog/max(may, 1)*1e9, w.wait-float64(s.Target))
	room := max(may*(1-min(max(behind, 0)/backlogIn, backlogOf))-s.costs.refusal*w.away.of(now)-
		s.costs.unseen*w.unread.of(now), 0)
	target := noFloor
	for i := classes - 1; i >= 0; i-- {
		offered := w.offered[i].of(now)
		if offered > room { // of this class a share: the lot decides
			target = float64(i) + 1 - room/offered
			break
		}
		room -= offered
	}
	steps := span / float64(offeredRow)
	switch near := floorNear * min(steps, 1) * (target - w.floor); {
	case target > w.floor+1:
		w.floor = min(target, max(w.floor, 0)+floorUp)
	case target > w.floor:
		w.floor += near
	default:
		w.floor += max(near, -floorDown*steps)
	}
	if w.floor < 0 {
		w.floor = noFloor
	}
}

// waited takes in how long one that came waited.
func (w *worth) waited(ns int64) {
	w.wait += waitSmooth * (float64(ns) - w.wait)
	w.heard = true
}

// ended books how a query went that was taken on.
func (w *worth) ended(workload int, took int64, answered bool) {
	share := 0.0
	if answered {
		share = 1
		w.took[workload] += smooth / 4 * (float64(took) - w.took[workload])
	}
	w.answered[workload] += smooth / 10 * (share - w.answered[workload])
}

// unseen decides by the best that a query of the workload could be worth. Some have their heads read all the same, as many as
// cost little, for the customers' floor.
func (w *worth) unseen(now int64, s *Detector, workload int) (bool, int64) {
	if now-w.looked >= offeredRow {
		w.look(now, s)
	}
	best := class(s.Workloads[workload].Revenue / (s.costs.of(workload) / 1e6))
	if math.Floor(best)+1 >= w.floor {
		return false, 0
	}
	w.offered[int(best)].add(now, s.costs.of(workload))
	if keep := unseenFrom * s.Cores * 1e9 / max(s.costs.refusal*(w.unread.of(now)+w.away.of(now)), 1); w.chance.Float64() < keep {
		return false, 0
	}
	w.unread.add(now, 1)
	return true, w.comeBack(now, s)
}

// comeBack is how long one that is turned away should stay away: longer the more is offered, and spread.
// Danger: a crowd that is told one time comes back as a crowd.
func (w *worth) comeBack(now int64, s *Detector) int64 {
	most := min(s.Most, mostBack)
	if most <= 0 {
		return 0
	}
	offered := 0.0
	for i := range w.offered {
		offered += w.offered[i].of(now)
	}
	over := max(offered/max(s.can(), 1), 1)
	high := min(int64(2*float64(leastBack)*over), most)
	return high/3 + int64(w.chance.Float64()*float64(high-high/3))
}

// floorPrice is the price under which all is turned away, revenue for a second of the processor; 0 for none.
func (w *worth) floorPrice() float64 {
	if w.floor <= 0 {
		return 0
	}
	return 1000 * math.Exp2((w.floor-classMiddle)/2)
}
