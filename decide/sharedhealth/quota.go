package sharedhealth

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	windowLeast  = 10 * int64(time.Second) // a quota is counted in windows of so long at least,
	windowTokens = 10                      // or as long as so many of its queries take at each aggregator
	windowMost   = 6 * windowLeast         // and no longer than that
	eagerDown    = 0.7                     // times what is asked for after a refusal,
	eagerUp      = 0.1                     // more of the need after a grant,
	eagerLeast   = 0.01                    // and never less than that
	early        = 0.2                     // of a window's tokens that may be leased before their time
	unit         = 1000                    // of a token: what the store counts in
	savedOver    = 8                       // windows that unspent tokens are saved over
	aheadShare   = 0.5                     // of a window: from there on the next one's are leased as well
	leaseSlack   = 1.25                    // a lease is for so many times the queries that are expected
	demandFade   = 0.3                     // of the newest survey in what is expected
	stepMost     = 0.25                    // of the larger of two rates: how far a local rate moves in a window
	membersFor   = 60e9                    // ns that the highest number of aggregators is reckoned with
)

// Quota is what one customer may ask for over all aggregators.
type Quota struct {
	Customer string
	Rate     float64 // queries a second
	Burst    float64 // queries that may be saved up
}

// row is a quota with its windows, which all aggregators must reckon alike.
type row struct {
	Quota
	window int64 // ns
	base   int64 // what a window bears without what was saved, in units
}

// windows makes a quota's row for the number of aggregators that the deployment states.
//
// Danger: where many aggregators each have a query now and then, short windows leave most tokens with those who have
// none just then.
func windows(q Quota, aggregators int) row {
	seconds := math.Ceil(windowTokens * float64(max(aggregators, 1)) / q.Rate)
	w := min(max(windowLeast, int64(seconds)*int64(time.Second)), windowMost)
	return row{q, w, int64(q.Rate * float64(w) / 1e9 * unit)}
}

// Take asks the store for tokens of one window: Units are added to the window's count. Below 0 they are given back.
type Take struct {
	Quota  int
	Window int64 // its number: the store's clock over the window's length
	Units  int64
	Expire int64 // after this the count may go, ns
}

// Lease is a number of tokens that may be spent between two times of this aggregator's own clock.
type Lease struct {
	Quota       int
	Tokens      float64
	From, Until int64
}

// Local is the rate at which a customer is let in by this aggregator's own reckoning; 0 while leases come.
type Local struct {
	Quota int
	Rate  float64 // tokens a second
}

// ledger leases tokens of each quota from the store, and reckons a share where there is no store to ask.
type ledger struct {
	chance *rand.Rand
	quotas []row
	rows   []account
}

type account struct {
	demand    float64 // queries expected in a second
	left      float64 // in the purse, at the last survey
	window    int64   // the newest that saved is known for, 0 for none
	saved     int64   // units that this window has beyond its base
	leasedFor map[int64]float64
	eager     float64 // share of what is needed that is asked for
	refused   []Take  // that were counted and brought nothing: they are taken back, once
	rate      float64 // tokens leased a second, lately; or the local rate
	local     bool
	stepped   int64 // the local rate moved last
}

func newLedger(now int64, quotas []Quota, aggregators int, chance *rand.Rand) *ledger {
	l := &ledger{chance: chance, rows: make([]account, len(quotas))}
	for i, q := range quotas { // as a purse begins
		l.quotas = append(l.quotas, windows(q, aggregators))
		l.rows[i] = account{eager: 1, leasedFor: map[int64]float64{}, rate: q.share(aggregators), local: true, stepped: now}
	}
	return l
}

// survey takes in what was asked for and what is left, over a span of time.
func (l *ledger) survey(s Survey, span int64) {
	for i := range l.rows {
		if i < len(s.Demand) && span > 0 {
			a := &l.rows[i]
			a.demand += demandFade * (s.Demand[i]*1e9/float64(span) - a.demand)
			a.left = s.Left[i]
		}
	}
}

// asks are the counts to read and the tokens to take in the next round; clock is the store's time, in bounds.
func (l *ledger) asks(low, high, every int64) (reads []Read, takes []Take) {
	for i, q := range l.quotas {
		a, length := &l.rows[i], q.window
		w := low / length
		if a.window != w && q.Burst > 0 && w == high/length {
			reads = append(reads, Read{i, w})
		}
		for _, back := range a.refused {
			if back.Window >= w {
				takes = append(takes, back)
			}
		}
		a.refused = a.refused[:0]
		span := float64(min(2*every, length)) / 1e9
		need := math.Ceil(a.demand*span*leaseSlack - a.left)
		if a.demand > 0 && a.left < 1 {
			need = max(need, 1)
		}
		if most := float64(q.base+a.saved) / unit; need > most {
			need = most
		}
		if units := l.asked(a, need); units > 0 {
			takes = append(takes, Take{i, w, units, (savedOver + 2) * length})
		}
		if into := float64(high%length) / float64(length); into >= aheadShare && a.demand > 0 {
			ahead := min(max(math.Ceil(a.demand*span*leaseSlack), 1)-a.leasedFor[w+1], early*float64(q.base)/unit)
			if units := l.asked(a, ahead); units > 0 {
				takes = append(takes, Take{i, w + 1, units, (savedOver + 3) * length})
			}
		}
	}
	return reads, takes
}

// asked is how much of a need is asked for now, in units: whole tokens, by chance where it is less than one.
//
// Danger: what a hundred aggregators ask in vain stands in the count until they take it back; where each asked for all
// it needs at every round, nobody would get what the time brings. So each asks for less after a refusal.
func (l *ledger) asked(a *account, need float64) int64 {
	if need <= 0 {
		return 0
	}
	tokens := math.Floor(need*a.eager + l.chance.Float64())
	return int64(tokens) * unit
}

// Read asks the store for a quota's counts of the windows before one, the newest first.
type Read struct {
	Quota  int
	Window int64
}

// Counts is how many windows a Read goes back.
func (Read) Counts() int { return savedOver }

// read takes in the counts of the windows before: what they left unspent is saved, up to the burst.
//
// All aggregators reckon the same: a window's count can still rise after its end, but what is granted then is
// expired when it comes, for its holder's clock is never behind the store's.
func (l *ledger) read(r Read, counts []int64) {
	a, q := &l.rows[r.Quota], l.quotas[r.Quota]
	saved := int64(0)
	for i := len(counts) - 1; i >= 0; i-- {
		saved = min(max(saved+q.base-max(counts[i], 0), 0), int64(q.Burst*unit))
	}
	a.window, a.saved = r.Window, saved
}

// granted is what a take brought, total being the window's count after it. Danger: counts that were lost by the
// store are granted a second time; no more than a window's worth each time, and a falling count is a contradiction.
func (l *ledger) granted(t Take, total, clock int64) float64 {
	a, q := &l.rows[t.Quota], l.quotas[t.Quota]
	// A window's tokens come as its time goes by: who asks first does not have them all.
	into := float64(clock-t.Window*q.window) / float64(q.window)
	limit := int64(min(max(into, 0)+early, 1) * float64(q.base))
	if a.window == t.Window {
		limit += a.saved
	}
	units := min(max(limit-(total-t.Units), 0), t.Units)
	// Danger: what is asked in vain stays counted and would shut out who asks later. What the store may not have
	// heard is not taken back, for it would then count for less than was granted.
	if rest := t.Units - units; rest > 0 {
		a.refused = append(a.refused, Take{t.Quota, t.Window, -rest, t.Expire})
		a.eager = max(a.eager*eagerDown, eagerLeast)
	} else {
		a.eager = min(a.eager+eagerUp, 1)
	}
	return float64(units) / unit
}

// lease makes a lease of what was granted. sent is when the round left, clock what the store told in it.
func (l *ledger) lease(now, sent, clock int64, t Take, tokens float64) (Lease, bool) {
	a, length := &l.rows[t.Quota], l.quotas[t.Quota].window
	for w := range a.leasedFor {
		if w < t.Window-2 {
			delete(a.leasedFor, w)
		}
	}
	a.leasedFor[t.Window] += tokens
	// The store's time is at most clock + now - sent: by that reckoning no lease outlives its window.
	from, until := sent+t.Window*length-clock, sent+(t.Window+1)*length-clock
	return Lease{t.Quota, tokens, from, until}, tokens > 0 && until > now
}

// share is what one of so many aggregators may let in by itself, tokens a second.
func (q Quota) share(aggregators int) float64 { return q.Rate / float64(max(aggregators, 1)) }

// locals moves the local rates: towards the share while the store does not lease, and to none when it does.
//
// Danger: a store that goes would cut every customer to a hundredth where demand is uneven, or let each in a
// hundred times where nobody counts: the rate starts from what was leased lately and moves in small steps.
func (l *ledger) locals(now int64, leasing bool, aggregators int) (out []Local) {
	for i, q := range l.quotas {
		a := &l.rows[i]
		was, wasLocal := a.rate, a.local
		if leasing {
			if a.local {
				a.local = false
				out = append(out, Local{i, 0})
			}
			continue
		}
		share := q.share(aggregators)
		if !a.local {
			a.local, a.stepped = true, now
			a.rate = min(a.rate, q.Rate)
		}
		if windows := float64(now-a.stepped) / float64(q.window); windows > 0 {
			step := stepMost * windows * max(share, a.rate)
			a.rate += min(max(share-a.rate, -step), step)
			a.stepped = now
		}
		if a.rate != was || !wasLocal {
			out = append(out, Local{i, a.rate})
		}
	}
	return out
}

// leased notes the rate at which tokens come, for the time when they no longer do.
func (l *ledger) leased(span int64, tokens []float64) {
	for i := range l.rows {
		if span > 0 {
			l.rows[i].rate += demandFade * (tokens[i]*1e9/float64(span) - l.rows[i].rate)
		}
	}
}

// Purse holds what this aggregator may spend of each quota. It belongs to the one who admits queries and asks
// nobody: Spend takes no lock and no time.
type Purse struct {
	rows  []pocket
	heard int64 // the last allowance, or the start
}

type pocket struct {
	leases []Lease
	rate   float64 // local, tokens a second
	saved  float64 // of the local rate
	at     int64
	asked  float64 // since the last survey
	share  float64 // tokens a second, where nothing is heard
}

const (
	leasesMost = 32   // that a pocket holds
	silentFor  = 10e9 // ns without an allowance: then the share holds
	savedMost  = 1.0  // tokens that a local rate saves up, or half a second's
)

// NewPurse makes a purse for one of so many aggregators; until it hears more it lets in its share.
func NewPurse(now int64, quotas []Quota, aggregators int) *Purse {
	p := &Purse{heard: now}
	for _, q := range quotas {
		share := q.share(aggregators)
		p.rows = append(p.rows, pocket{rate: share, share: share, at: now})
	}
	return p
}

// Spend takes one query of a customer in and tells whether it is within its quota.
//
// Danger: with a dead carrier nobody would have tokens, or an old rate would hold for ever: then the share does.
func (p *Purse) Spend(now int64, quota int) bool {
	r := &p.rows[quota]
	r.asked++
	r.turn(now)
	if now-p.heard > silentFor {
		r.rate = r.share
	}
	for i := range r.leases {
		if l := &r.leases[i]; now >= l.From && l.Tokens >= 1 {
			l.Tokens--
			return true
		}
	}
	if r.saved >= 1 {
		r.saved--
		return true
	}
	return false
}

// turn lets time pass.
func (r *pocket) turn(now int64) {
	kept := r.leases[:0]
	for _, l := range r.leases {
		if l.Until > now && l.Tokens >= 1 {
			kept = append(kept, l)
		}
	}
	r.leases = kept
	r.saved = min(r.saved+r.rate*float64(now-r.at)/1e9, max(savedMost, r.rate/2))
	r.at = now
}

// Receive takes in what was allowed.
func (p *Purse) Receive(now int64, leases []Lease, locals []Local) {
	p.heard = now
	for _, l := range leases {
		if r := &p.rows[l.Quota]; len(r.leases) < leasesMost {
			r.leases = append(r.leases, l)
		}
	}
	for _, l := range locals {
		r := &p.rows[l.Quota]
		r.turn(now)
		if r.rate = l.Rate; l.Rate == 0 {
			r.saved = 0
		}
	}
}

// Survey adds to s what was asked for since the last one, and what is left.
func (p *Purse) Survey(now int64, s *Survey) {
	for i := range p.rows {
		r := &p.rows[i]
		r.turn(now)
		left := 0.0
		for _, l := range r.leases {
			if now >= l.From {
				left += l.Tokens
			}
		}
		s.Demand, s.Left = append(s.Demand, r.asked), append(s.Left, left)
		r.asked = 0
	}
}
