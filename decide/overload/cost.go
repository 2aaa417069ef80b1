package overload

// What queries cost the process is learned from the processor time of each stretch and what ended and was turned away in it:
// a step towards what explains the difference, shared out by each kind's own part of it (normalized least mean squares).
const (
	costGuess    = 300e3 // ns of a query, until it is known
	refusalGuess = 40e3
	unseenGuess  = 8e3
	refusalOf    = 0.6 // of a query's cost that turning one away is at most taken for, and one unseen of that
	costLeast    = 1e3 // ns
	costMost     = 50e6
	costStep     = 0.15 // of the difference that one stretch is believed
	costNeeds    = 20.0 // queries in a stretch that count in full
	knownAfter   = 200  // queries
)

type costs struct {
	query   []float64 // ns, by workload
	refusal float64   // of one turned away with its head read,
	unseen  float64   // and without
	idle    float64   // share of the stretch that goes into nothing that is counted here
	seen    float64
}

func newCosts(workloads int) costs {
	c := costs{query: make([]float64, workloads), refusal: refusalGuess, unseen: unseenGuess}
	for w := range c.query {
		c.query[w] = costGuess
	}
	return c
}

func (c *costs) of(workload int) float64 { return c.query[workload] }

// known tells whether enough was seen to go by.
func (c *costs) known() bool { return c.seen >= knownAfter }

// learn takes in one stretch. Danger: what a stretch with little in it used says nothing of queries; the more came, the more
// it counts. A first guess that is far off gives way fast.
func (c *costs) learn(r *Reading, done []float64, refused, unseen float64) {
	total, power, expected := 0.0, 0.0, c.idle*float64(r.Span)
	each := func(n float64, cost *float64) {
		total += n
		expected += n * *cost
		power += n * *cost * n * *cost
	}
	c.each(done, refused, unseen, each)
	if total == 0 {
		c.idle += smooth * (min(float64(r.Used)/float64(max(r.Span, 1)), 0.5) - c.idle)
		return
	}
	step := costStep * min(total/costNeeds, 1)
	if !c.known() {
		step = max(step, 0.5*min(total/costNeeds, 1))
	}
	c.seen += total
	off := (float64(r.Used) - expected) * step / max(power, 1)
	c.each(done, refused, unseen, func(n float64, cost *float64) {
		*cost = min(max(*cost+off*n**cost**cost, costLeast), costMost)
	})
	least := costMost
	for _, q := range c.query {
		least = min(least, q)
	}
	c.refusal = min(c.refusal, refusalOf*least)
	c.unseen = min(c.unseen, refusalOf*c.refusal)
}

// each calls f with how many there were of each kind, and its cost.
func (c *costs) each(done []float64, refused, unseen float64, f func(n float64, cost *float64)) {
	for w, n := range done {
		f(n, &c.query[w])
	}
	f(refused, &c.refusal)
	f(unseen, &c.unseen)
}
