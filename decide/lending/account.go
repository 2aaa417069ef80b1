package lending

// Account is an edge's account. It is not safe for concurrent use.
type Account struct {
	terms     Timing
	startedAt int64
	own       float64
	lent      []amount // until it is taken back
	reserved  float64  // of a loan that is not told yet
	borrowed  []amount
	requests  sentRequests
	pending   *receivedRequest // the newest want that came, nil once it is answered
}

// NewAccount makes the account of an edge that starts now.
func NewAccount(now int64, t Timing) *Account { return &Account{terms: t, startedAt: now} }

// SetShare tells how much the edge owns.
func (h *Account) SetShare(own float64) { h.own = own }

// Limit returns how much the edge may have used in a window that ends now.
//
// Danger: an edge that was restarted does not know what it lent before.
func (h *Account) Limit(now int64) float64 {
	own := h.own
	if now-h.startedAt <= h.terms.Loan+h.terms.Window {
		own *= keepShare
	}
	return max(own-sum(unexpired(now, h.lent))-h.reserved, 0) + h.Borrowed(now)
}

// Lent returns how much of the edge's share others hold now.
func (h *Account) Lent(now int64) float64 { return sum(unexpired(now, h.lent)) }

// Borrowed returns how much of others' shares the edge may use now.
func (h *Account) Borrowed(now int64) float64 { return sum(unexpired(now+h.terms.Margin, h.borrowed)) }

// Handle takes in what the relay says.
func (h *Account) Handle(now int64, n Message) {
	for _, l := range n.Loans {
		if until, ok := h.requests.until(l); ok && until > now {
			h.borrowed = append(h.borrowed, amount{l.Amount, until})
		}
	}
	for _, w := range n.Requests {
		h.pending = &receivedRequest{w, now}
	}
}

// Usage is what an edge has used in the window that ends now.
type Usage struct {
	Amount float64 // below 0 where the edge has room that is not of the bound, such as the ratio of its retries
	Any    bool    // there was use at all, on whosever account: else the edge needs nothing, however little it has
}

// NextMessage returns what the edge says to the relay. use is read after the last Limit had taken effect.
func (h *Account) NextMessage(now int64, use Usage) (n Message) {
	h.lent, h.borrowed = unexpired(now, h.lent), unexpired(now, h.borrowed)
	reserved := h.reserved
	h.reserved = 0
	if use.Any && use.Amount+1 > h.Limit(now) {
		h.pending = nil
		if h.own > 0 {
			n.Requests = []LoanRequest{{h.requests.next(now, h.terms), requestFactor * h.own}}
		}
		return n
	}
	if h.pending == nil || now-h.pending.at > h.terms.MaxRequestAge {
		h.pending = nil
		return n
	}
	// Danger: what was used before the limit fell would count besides what the borrower uses. So a loan is reserved
	// first, and told when the edge is known to have kept to what is left.
	if reserved > 0 && use.Amount <= h.Limit(now)-reserved {
		h.lent = append(h.lent, amount{reserved, now + h.terms.Loan + h.terms.Window})
		n.Loans = []Loan{{h.pending.Number, reserved, h.terms.Loan}}
		h.pending = nil
		return n
	}
	h.reserved = h.loanAmount(now, max(use.Amount, 0))
	return n
}

// loanAmount is how much the edge would lend to whom it was asked by.
func (h *Account) loanAmount(now int64, used float64) float64 {
	lendable := (1-keepShare)*h.own - sum(h.lent)
	unused := h.Limit(now) - h.Borrowed(now) - used
	if size := min(h.pending.Amount, lendable, lentShare*unused); size >= minLoan {
		return size
	}
	return 0
}
