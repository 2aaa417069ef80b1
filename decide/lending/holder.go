package lending

// Holder is an edge's account. It is not safe for concurrent use.
type Holder struct {
	terms    Terms
	began    int64
	own      float64
	lent     []amount // until it is taken back
	reserved float64  // of a loan that is not told yet
	borrowed []amount
	wants    wants
	asked    *asked // the newest want that came, nil once it is answered
}

// NewHolder makes the account of an edge that starts now.
func NewHolder(now int64, t Terms) *Holder { return &Holder{terms: t, began: now} }

// Share tells how much the edge owns.
func (h *Holder) Share(own float64) { h.own = own }

// Limit returns how much the edge may have used in a window that ends now.
//
// Danger: an edge that was restarted does not know what it lent before.
func (h *Holder) Limit(now int64) float64 {
	own := h.own
	if now-h.began <= h.terms.Loan+h.terms.Window {
		own *= keepShare
	}
	return max(own-sum(current(now, h.lent))-h.reserved, 0) + h.Borrowed(now)
}

// Lent returns how much of the edge's share others hold now.
func (h *Holder) Lent(now int64) float64 { return sum(current(now, h.lent)) }

// Borrowed returns how much of others' shares the edge may use now.
func (h *Holder) Borrowed(now int64) float64 { return sum(current(now+h.terms.Margin, h.borrowed)) }

// Heard takes in what the relay says.
func (h *Holder) Heard(now int64, n Note) {
	for _, l := range n.Loans {
		if until, ok := h.wants.until(l); ok && until > now {
			h.borrowed = append(h.borrowed, amount{l.Amount, until})
		}
	}
	for _, w := range n.Wants {
		h.asked = &asked{w, now}
	}
}

// Use is what an edge has used in the window that ends now.
type Use struct {
	Amount float64 // below 0 where the edge has room that is not of the bound, such as the ratio of its retries
	Any    bool    // there was use at all, on whosever account: else the edge needs nothing, however little it has
}

// Note returns what the edge says to the relay. use is read after the last Limit had taken effect.
func (h *Holder) Note(now int64, use Use) (n Note) {
	h.lent, h.borrowed = current(now, h.lent), current(now, h.borrowed)
	reserved := h.reserved
	h.reserved = 0
	if use.Any && use.Amount+1 > h.Limit(now) {
		h.asked = nil
		if h.own > 0 {
			n.Wants = []Want{{h.wants.next(now, h.terms), wantShare * h.own}}
		}
		return n
	}
	if h.asked == nil || now-h.asked.at > h.terms.Fresh {
		h.asked = nil
		return n
	}
	// Danger: what was used before the limit fell would count besides what the borrower uses. So a loan is reserved
	// first, and told when the edge is known to have kept to what is left.
	if reserved > 0 && use.Amount <= h.Limit(now)-reserved {
		h.lent = append(h.lent, amount{reserved, now + h.terms.Loan + h.terms.Window})
		n.Loans = []Loan{{h.asked.Number, reserved, h.terms.Loan}}
		h.asked = nil
		return n
	}
	h.reserved = h.spare(now, max(use.Amount, 0))
	return n
}

// spare is how much the edge would lend to whom it was asked by.
func (h *Holder) spare(now int64, used float64) float64 {
	lendable := (1-keepShare)*h.own - sum(h.lent)
	unused := h.Limit(now) - h.Borrowed(now) - used
	if size := min(h.asked.Amount, lendable, spareLent*unused); size >= leastLoan {
		return size
	}
	return 0
}
