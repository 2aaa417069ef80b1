package lending

import (
	"cmp"
	"maps"
	"slices"
)

// Neighbor identifies a process that an agent exchanges messages with: its upstream, a downstream edge, or the proxy beside
// it.
type Neighbor string

// Relay passes requests and loans on between the neighbors of an agent. It owns nothing itself. It is not safe for
// concurrent use.
type Relay struct {
	timing    Timing
	available []amount // amounts borrowed and not passed on yet
	requests  sentRequests
	pending   map[Neighbor]receivedRequest // newest unanswered request of each neighbor
}

// NewRelay returns a relay without loans and requests.
func NewRelay(timing Timing) *Relay {
	return &Relay{timing: timing, pending: map[Neighbor]receivedRequest{}}
}

// Handle adds the loans of a message to the available amounts, and keeps the sender's newest request.
func (r *Relay) Handle(now int64, from Neighbor, m Message) {
	for _, loan := range m.Loans {
		if expiresAt, ok := r.requests.match(loan); ok && expiresAt > now {
			r.available = append(r.available, amount{loan.Amount, expiresAt})
		}
	}
	for _, request := range m.Requests {
		r.pending[from] = receivedRequest{request, now}
	}
}

// NextMessage returns the next message to a neighbor: a loan if it has requested one, and a request for what the other
// neighbors still need.
func (r *Relay) NextMessage(now int64, to Neighbor) (m Message) {
	r.available = unexpired(now+r.timing.Margin, r.available)
	maps.DeleteFunc(r.pending, func(_ Neighbor, request receivedRequest) bool { return now-request.at > r.timing.MaxRequestAge })
	if request, waits := r.pending[to]; waits && len(r.available) > 0 {
		delete(r.pending, to)
		m.Loans = []Loan{r.lend(now, request)}
	}
	missing := -sum(r.available)
	for other, request := range r.pending {
		if other != to {
			missing += request.Amount
		}
	}
	if missing >= minLoan {
		m.Requests = []LoanRequest{{r.requests.next(now, r.timing), missing}}
	}
	return m
}

// lend passes on the available amount that may be used longest, up to the requested amount.
func (r *Relay) lend(now int64, request receivedRequest) Loan {
	slices.SortStableFunc(r.available, func(x, y amount) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
	last := &r.available[len(r.available)-1]
	loan := Loan{request.Number, min(request.Amount, last.value), last.expiresAt - now}
	if last.value -= loan.Amount; last.value <= 0 {
		r.available = r.available[:len(r.available)-1]
	}
	return loan
}
