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
	terms     Timing
	available []amount // borrowed, and not passed on yet
	requests  sentRequests
	pending   map[Neighbor]receivedRequest
}

// NewRelay makes an agent's relay.
func NewRelay(t Timing) *Relay { return &Relay{terms: t, pending: map[Neighbor]receivedRequest{}} }

// Handle takes in what a neighbor says.
func (r *Relay) Handle(now int64, from Neighbor, n Message) {
	for _, l := range n.Loans {
		if until, ok := r.requests.until(l); ok && until > now {
			r.available = append(r.available, amount{l.Amount, until})
		}
	}
	for _, w := range n.Requests {
		r.pending[from] = receivedRequest{w, now}
	}
}

// NextMessage returns what is said to a neighbor.
func (r *Relay) NextMessage(now int64, to Neighbor) (n Message) {
	r.available = unexpired(now+r.terms.Margin, r.available)
	maps.DeleteFunc(r.pending, func(_ Neighbor, a receivedRequest) bool { return now-a.at > r.terms.MaxRequestAge })
	if a, waits := r.pending[to]; waits && len(r.available) > 0 {
		delete(r.pending, to)
		n.Loans = []Loan{r.lend(now, a)}
	}
	missing := -sum(r.available)
	for other, a := range r.pending {
		if other != to {
			missing += a.Amount
		}
	}
	if missing >= minLoan {
		n.Requests = []LoanRequest{{r.requests.next(now, r.terms), missing}}
	}
	return n
}

// lend passes on the part of the stock that may be used longest, as far as it is wanted.
func (r *Relay) lend(now int64, a receivedRequest) Loan {
	slices.SortStableFunc(r.available, func(x, y amount) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
	last := &r.available[len(r.available)-1]
	l := Loan{a.Number, min(a.Amount, last.value), last.expiresAt - now}
	if last.value -= l.Amount; last.value <= 0 {
		r.available = r.available[:len(r.available)-1]
	}
	return l
}
