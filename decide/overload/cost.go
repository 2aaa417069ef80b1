package overload

// What queries cost the process is learned from the processor time of each stretch and what ended and was turned away in it:
// a step towards what explains the difference, shared out by each kind's own part of it (normalized least mean squares).
const (
	initialQueryCost  = 300e3 // ns of a query, until it is known
	initialRejectCost = 40e3
	initialUnreadCost = 8e3
	maxRejectShare    = 0.6 // of a query's cost that turning one away is at most taken for, and one unseen of that
	minCost           = 1e3 // ns
	maxCost           = 50e6
	learningRate      = 0.15 // of the difference that one stretch is believed
	fullWeightQueries = 20.0 // queries in a stretch that count in full
	knownAfterQueries = 200  // queries
)

type costs struct {
	query        []float64 // ns, by workload
	reject       float64   // of one turned away with its head read,
	rejectUnread float64   // and without
	uncounted    float64   // share of the stretch that goes into nothing that is counted here
	observed     float64
}

func newCosts(workloads int) costs {
	c := costs{query: make([]float64, workloads), reject: initialRejectCost, rejectUnread: initialUnreadCost}
	for w := range c.query {
		c.query[w] = initialQueryCost
	}
	return c
}

func (c *costs) ofQuery(workload int) float64 { return c.query[workload] }

// known tells whether enough was seen to go by.
func (c *costs) known() bool { return c.observed >= knownAfterQueries }

// learn takes in one stretch. Danger: what a stretch with little in it used says nothing of queries; the more came, the more
// it counts. A first guess that is far off gives way fast.
func (c *costs) learn(r *Reading, done []float64, refused, unseen float64) {
	total, power, expected := 0.0, 0.0, c.uncounted*float64(r.Span)
	each := func(n float64, cost *float64) {
		total += n
		expected += n * *cost
		power += n * *cost * n * *cost
	}
	c.forEachKind(done, refused, unseen, each)
	if total == 0 {
		c.uncounted += smoothing * (min(float64(r.CPUTime)/float64(max(r.Span, 1)), 0.5) - c.uncounted)
		return
	}
	step := learningRate * min(total/fullWeightQueries, 1)
	if !c.known() {
		step = max(step, 0.5*min(total/fullWeightQueries, 1))
	}
	c.observed += total
	off := (float64(r.CPUTime) - expected) * step / max(power, 1)
	c.forEachKind(done, refused, unseen, func(n float64, cost *float64) {
		*cost = min(max(*cost+off*n**cost**cost, minCost), maxCost)
	})
	least := maxCost
	for _, q := range c.query {
		least = min(least, q)
	}
	c.reject = min(c.reject, maxRejectShare*least)
	c.rejectUnread = min(c.rejectUnread, maxRejectShare*c.reject)
}

// forEachKind calls f with how many there were of each kind, and its cost.
func (c *costs) forEachKind(done []float64, refused, unseen float64, f func(n float64, cost *float64)) {
	for w, n := range done {
		f(n, &c.query[w])
	}
	f(refused, &c.reject)
	f(unseen, &c.rejectUnread)
}
