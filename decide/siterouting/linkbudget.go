package siterouting

const budgetBurstSeconds = 0.5 // seconds of a link's limit that may go at once

// linkBudget is what may still cross a link now, in queries and in bytes. Plans are made a second apart and each workload has
// tokens of its own, so together they could cross at once; the purse is the link's own limit, whatever was planned.
type linkBudget struct {
	queries, bytes float64
	updatedAt      int64
}

func newLinkBudget(now int64, l Link) linkBudget {
	return linkBudget{queries: max(budgetBurstSeconds*l.QueryRate, 1), bytes: budgetBurstSeconds * l.ByteRate, updatedAt: now}
}

// refill lets time pass. A debt of bytes, of a query that was longer than was reckoned with, is paid back first.
func (p *linkBudget) refill(now int64, l Link) {
	span := float64(now-p.updatedAt) / 1e9
	p.updatedAt = now
	p.queries = min(p.queries+l.QueryRate*span, max(budgetBurstSeconds*l.QueryRate, 1))
	p.bytes = min(p.bytes+l.ByteRate*span, budgetBurstSeconds*l.ByteRate)
}

// allows tells whether a query may cross. Danger: a query longer than half a second's bytes would never cross if all of them
// had to be there; it crosses from a full purse, into debt.
func (p *linkBudget) allows(now int64, l Link, bytes float64) bool {
	p.refill(now, l)
	return p.queries >= 1 && p.bytes >= min(bytes, budgetBurstSeconds*l.ByteRate)
}

func (p *linkBudget) spend(bytes float64) {
	p.queries--
	p.bytes -= bytes
}

// correct takes or gives back what a query took beside what was reckoned with.
func (p *linkBudget) correct(now int64, l Link, more float64) {
	p.refill(now, l)
	p.bytes = min(p.bytes-more, budgetBurstSeconds*l.ByteRate)
}
