package siterouting

const budgetBurstSeconds = 0.5 // seconds of a link's rates that may be sent in one burst

// linkBudget is the token bucket of one link, in queries and in bytes. It enforces the link's own rates whatever the plan
// allows: plans are made a second apart and each workload has its own tokens, so all workloads could otherwise send at once.
type linkBudget struct {
	queries, bytes float64
	updatedAt      int64
}

// newLinkBudget returns a full budget.
func newLinkBudget(now int64, l Link) linkBudget {
	return linkBudget{queries: max(budgetBurstSeconds*l.QueryRate, 1), bytes: budgetBurstSeconds * l.ByteRate, updatedAt: now}
}

// refill adds the tokens of the elapsed time. If a query was larger than expected, the bytes are negative and the debt is
// paid first.
func (b *linkBudget) refill(now int64, l Link) {
	seconds := float64(now-b.updatedAt) / 1e9
	b.updatedAt = now
	b.queries = min(b.queries+l.QueryRate*seconds, max(budgetBurstSeconds*l.QueryRate, 1))
	b.bytes = min(b.bytes+l.ByteRate*seconds, budgetBurstSeconds*l.ByteRate)
}

// allows reports whether a query may be sent now.
//
// Danger: a query larger than the whole burst could never be sent if all its bytes had to be available. It is sent when the
// budget is full, and leaves a debt.
func (b *linkBudget) allows(now int64, l Link, bytes float64) bool {
	b.refill(now, l)
	return b.queries >= 1 && b.bytes >= min(bytes, budgetBurstSeconds*l.ByteRate)
}

// spend takes the tokens for a query of the expected size.
func (b *linkBudget) spend(bytes float64) {
	b.queries--
	b.bytes -= bytes
}

// correct takes more bytes for a query that was larger than expected, or returns some if it was smaller.
func (b *linkBudget) correct(now int64, l Link, extra float64) {
	b.refill(now, l)
	b.bytes = min(b.bytes-extra, budgetBurstSeconds*l.ByteRate)
}
