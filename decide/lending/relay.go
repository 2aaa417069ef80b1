package lending

import (
	"cmp"
	"maps"
	"slices"
)

// Neighbor is one that an agent has a link with: its feeder, a follower, or the proxy beside it.
type Neighbor string

// Relay passes wants and loans on between the neighbors of an agent. It owns nothing. It is not safe for concurrent use.
type Relay struct {
	terms Terms
	stock []amount // borrowed, and not passed on yet
	wants wants
	asked map[Neighbor]asked
}

// NewRelay makes an agent's relay.
func NewRelay(t Terms) *Relay { return &Relay{terms: t, asked: map[Neighbor]asked{}} }

// Heard takes in what a neighbor says.
func (r *Relay) Heard(now int64, from Neighbor, n Note) {
	for _, l := range n.Loans {
		if until, ok := r.wants.until(l); ok && until > now {
			r.stock = append(r.stock, amount{l.Amount, until})
		}
	}
	for _, w := range n.Wants {
		r.asked[from] = asked{w, now}
	}
}

// Note returns what is said to a neighbor.
func (r *Relay) Note(now int64, to Neighbor) (n Note) {
	r.stock = current(now+r.terms.Margin, r.stock)
	maps.DeleteFunc(r.asked, func(_ Neighbor, a asked) bool { return now-a.at > r.terms.Fresh })
	if a, waits := r.asked[to]; waits && len(r.stock) > 0 {
		delete(r.asked, to)
		n.Loans = []Loan{r.lend(now, a)}
	}
	missing := -sum(r.stock)
	for other, a := range r.asked {
		if other != to {
			missing += a.Amount
		}
	}
	if missing >= leastLoan {
		n.Wants = []Want{{r.wants.next(now, r.terms), missing}}
	}
	return n
}

// lend passes on the part of the stock that may be used longest, as far as it is wanted.
func (r *Relay) lend(now int64, a asked) Loan {
	slices.SortStableFunc(r.stock, func(x, y amount) int { return cmp.Compare(x.until, y.until) })
	last := &r.stock[len(r.stock)-1]
	l := Loan{a.Number, min(a.Amount, last.size), last.until - now}
	if last.size -= l.Amount; last.size <= 0 {
		r.stock = r.stock[:len(r.stock)-1]
	}
	return l
}
