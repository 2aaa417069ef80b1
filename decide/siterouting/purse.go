package siterouting

const purseFor = 0.5 // seconds of a link's limit that may go at once

// purse is what may still cross a link now, in queries and in bytes. Plans are made a second apart and each workload has
// tokens of its own, so together they could cross at once; the purse is the link's own limit, whatever was planned.
type purse struct {
	queries, bytes float64
	at             int64
}

func newPurse(now int64, l Link) purse {
	return purse{queries: max(purseFor*l.Queries, 1), bytes: purseFor * l.Bytes, at: now}
}

// fill lets time pass. A debt of bytes, of a query that was longer than was reckoned with, is paid back first.
func (p *purse) fill(now int64, l Link) {
	span := float64(now-p.at) / 1e9
	p.at = now
	p.queries = min(p.queries+l.Queries*span, max(purseFor*l.Queries, 1))
	p.bytes = min(p.bytes+l.Bytes*span, purseFor*l.Bytes)
}

// holds tells whether a query may cross. Danger: a query longer than half a second's bytes would never cross if all of them
// had to be there; it crosses from a full purse, into debt.
func (p *purse) holds(now int64, l Link, bytes float64) bool {
	p.fill(now, l)
	return p.queries >= 1 && p.bytes >= min(bytes, purseFor*l.Bytes)
}

func (p *purse) take(bytes float64) {
	p.queries--
	p.bytes -= bytes
}

// settle takes or gives back what a query took beside what was reckoned with.
func (p *purse) settle(now int64, l Link, more float64) {
	p.fill(now, l)
	p.bytes = min(p.bytes-more, purseFor*l.Bytes)
}
