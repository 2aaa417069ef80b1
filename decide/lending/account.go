package lending

// Account tracks what an edge owns, lends and borrows. It is not safe for concurrent use.
type Account struct {
	timing    Timing
	startedAt int64
	own       float64
	lent      []amount // amounts lent to others, until the time at which each is taken back
	reserved  float64  // amount of a loan that is prepared but not sent yet
	borrowed  []amount // amounts borrowed from others, until the end of each loan
	requests  sentRequests
	pending   *receivedRequest // newest received request; nil if there is none or it is answered
}

// NewAccount returns the account of an edge that starts now.
func NewAccount(now int64, timing Timing) *Account { return &Account{timing: timing, startedAt: now} }

// SetShare sets how much the edge owns.
func (a *Account) SetShare(own float64) { a.own = own }

// Limit returns how much the edge may have used in a window that ends now.
//
// Danger: an edge that has restarted doesn't know what it lent before, so it may use only the part that is never lent.
func (a *Account) Limit(now int64) float64 {
	own := a.own
	if now-a.startedAt <= a.timing.Loan+a.timing.Window {
		own *= keepShare
	}
	return max(own-sum(unexpired(now, a.lent))-a.reserved, 0) + a.Borrowed(now)
}

// Lent returns how much of the edge's share is lent to others now.
func (a *Account) Lent(now int64) float64 { return sum(unexpired(now, a.lent)) }

// Borrowed returns how much of others' shares the edge may use now.
func (a *Account) Borrowed(now int64) float64 { return sum(unexpired(now+a.timing.Margin, a.borrowed)) }

// Handle adds the loans of a message from the relay to what the edge borrows, and keeps the newest request.
func (a *Account) Handle(now int64, m Message) {
	for _, loan := range m.Loans {
		if expiresAt, ok := a.requests.match(loan); ok && expiresAt > now {
			a.borrowed = append(a.borrowed, amount{loan.Amount, expiresAt})
		}
	}
	for _, request := range m.Requests {
		a.pending = &receivedRequest{request, now}
	}
}

// Usage is what an edge has used in the window that ends now.
type Usage struct {
	Amount float64 // amount used; negative if the edge may still use something that doesn't count against the bound, such as retries within its ratio
	Any    bool    // anything was used, whether or not it counts against the bound; without use the edge requests nothing, however small its limit is
}

// NextMessage returns the next message to the relay. The usage has to be measured after the last value of Limit took effect.
func (a *Account) NextMessage(now int64, usage Usage) (m Message) {
	a.lent, a.borrowed = unexpired(now, a.lent), unexpired(now, a.borrowed)
	reserved := a.reserved
	a.reserved = 0
	if usage.Any && usage.Amount+1 > a.Limit(now) {
		a.pending = nil
		if a.own > 0 {
			m.Requests = []LoanRequest{{a.requests.next(now, a.timing), requestFactor * a.own}}
		}
		return m
	}
	if a.pending == nil || now-a.pending.at > a.timing.MaxRequestAge {
		a.pending = nil
		return m
	}
	// Danger: what was used before the limit was reduced would add to what the borrower uses. So a loan is first reserved,
	// and it is sent only when the edge has been seen to stay within the reduced limit.
	if reserved > 0 && usage.Amount <= a.Limit(now)-reserved {
		a.lent = append(a.lent, amount{reserved, now + a.timing.Loan + a.timing.Window})
		m.Loans = []Loan{{a.pending.Number, reserved, a.timing.Loan}}
		a.pending = nil
		return m
	}
	a.reserved = a.loanAmount(now, max(usage.Amount, 0))
	return m
}

// loanAmount returns how much the edge can lend for the pending request.
func (a *Account) loanAmount(now int64, used float64) float64 {
	lendable := (1-keepShare)*a.own - sum(a.lent)
	unused := a.Limit(now) - a.Borrowed(now) - used
	if amount := min(a.pending.Amount, lendable, lentShare*unused); amount >= minLoan {
		return amount
	}
	return 0
}
