package overload

// Query costs are learned from the processor time used in each interval and the queries that ended or were rejected in
// it. Each interval moves the estimates a step towards values that explain the time used; each kind of query moves in
// proportion to its own part of that time (normalized least mean squares).
const (
	initialQueryCost  = 300e3 // ns for a query, until costs are known
	initialRejectCost = 40e3  // ns for rejecting a query whose head was read, until costs are known
	initialUnreadCost = 8e3   // ns for rejecting a query unread, until costs are known
	maxRejectShare    = 0.6   // highest cost of a rejection, as a share of the cheapest query's, and of an unread rejection, as a share of a rejection's
	minCost           = 1e3   // ns; lowest estimate of a cost
	maxCost           = 50e6  // ns; highest estimate of a cost
	learningRate      = 0.15  // share of the difference that one interval corrects
	fullWeightQueries = 20.0  // an interval with at least this many queries counts in full
	knownAfterQueries = 200   // estimates count as known after this many queries
)

// costs holds the estimated processor time of each kind of query.
type costs struct {
	query        []float64 // ns, by workload
	reject       float64   // ns, for rejecting a query whose head was read
	rejectUnread float64   // ns, for rejecting a query unread
	uncounted    float64   // processor time used while there are no queries, as a share of the interval
	observed     float64   // number of queries that the estimates are based on
}

func newCosts(workloads int) costs {
	c := costs{query: make([]float64, workloads), reject: initialRejectCost, rejectUnread: initialUnreadCost}
	for w := range c.query {
		c.query[w] = initialQueryCost
	}
	return c
}

func (c *costs) ofQuery(workload int) float64 { return c.query[workload] }

// known reports whether the estimates are based on enough queries to be used.
func (c *costs) known() bool { return c.observed >= knownAfterQueries }

// learn updates the estimates from one interval. Danger: the time used in an interval with few queries says nothing
// about queries, so an interval counts for more the more queries it has. Until costs are known the steps are larger, to
// correct a wrong initial value fast.
func (c *costs) learn(r *Reading, ended []float64, rejected, rejectedUnread float64) {
	total, power, expected := 0.0, 0.0, c.uncounted*float64(r.Span)
	each := func(n float64, cost *float64) {
		total += n
		expected += n * *cost
		power += n * *cost * n * *cost
	}
	c.forEachKind(ended, rejected, rejectedUnread, each)
	if total == 0 {
		c.uncounted += smoothing * (min(float64(r.CPUTime)/float64(max(r.Span, 1)), 0.5) - c.uncounted)
		return
	}
	step := learningRate * min(total/fullWeightQueries, 1)
	if !c.known() {
		step = max(step, 0.5*min(total/fullWeightQueries, 1))
	}
	c.observed += total
	correction := (float64(r.CPUTime) - expected) * step / max(power, 1)
	c.forEachKind(ended, rejected, rejectedUnread, func(n float64, cost *float64) {
		*cost = min(max(*cost+correction*n**cost**cost, minCost), maxCost)
	})
	cheapest := maxCost
	for _, q := range c.query {
		cheapest = min(cheapest, q)
	}
	c.reject = min(c.reject, maxRejectShare*cheapest)
	c.rejectUnread = min(c.rejectUnread, maxRejectShare*c.reject)
}

// forEachKind calls f with the number of queries of each kind and their cost.
func (c *costs) forEachKind(ended []float64, rejected, rejectedUnread float64, f func(n float64, cost *float64)) {
	for w, n := range ended {
		f(n, &c.query[w])
	}
	f(rejected, &c.reject)
	f(rejectedUnread, &c.rejectUnread)
}
