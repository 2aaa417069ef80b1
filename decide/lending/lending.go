// Package lending keeps a bound on what all edges use together, such as the retries beyond their ratio. Each edge owns an
// even share. What an edge does not use it lends for a short time to edges that are short, along the relay tree: proxies
// own, lend and borrow (Holder), agents and controllers pass wants and loans on (Relay). No process knows the sum, and
// none has to; a relay keeps nothing that may not be lost.
//
// The sum holds whatever is late, lost, doubled or restarted, without clocks that agree:
//
//   - A lender gives its loan up before it tells of it, and takes it back only when the borrower's time is over and what the
//     borrower used has left the window that the bound is judged over.
//   - A borrower counts the loan's time from when it sent the want that the loan answers, which was before the loan was given.
//   - A loan answers one want, and a want takes one loan: a loan that comes twice counts once.
//   - A loan that is lost, or whose borrower dies, is used by nobody until its time is over.
//   - Half of an edge's share is never lent: that much it may use right after a restart, when it has forgotten its loans.
//
// Decides: how much of its share an edge lends, to whom loans are passed on, and how much an edge may use.
package lending

import "time"

const (
	keepShare     = 0.5  // of its own share that an edge never lends
	lentShare     = 0.5  // of what an edge has to spare that one loan is for
	minLoan       = 0.25 // less is not worth a message
	requestFactor = 4    // times its own share that an edge that is short asks for
)

// Timing are the times that all processes go by, ns.
type Timing struct {
	Loan          int64 // a loan may be used so long after the want that it answers was sent
	Window        int64 // what is used counts against the bound for so long
	Margin        int64 // a borrower stops so long before its loan ends, as its own limits take effect late
	MaxRequestAge int64 // a want is answered up to this age
}

// DefaultTiming are the terms for a bound that is judged over windows of the given length.
func DefaultTiming(window int64) Timing {
	return Timing{Loan: int64(10 * time.Second), Window: window, Margin: int64(1500 * time.Millisecond), MaxRequestAge: int64(3 * time.Second)}
}

// Message is what one process says to the next one on the tree: what it would borrow, and what it lends.
type Message struct {
	Requests []LoanRequest `cbor:"1,keyasint,omitempty"`
	Loans    []Loan        `cbor:"2,keyasint,omitempty"`
}

// Empty tells whether there is nothing to say.
func (n Message) Empty() bool { return len(n.Requests) == 0 && len(n.Loans) == 0 }

// LoanRequest asks for a loan.
type LoanRequest struct {
	Number uint64  `cbor:"1,keyasint"` // of the sender's wants; a loan that answers it names it
	Amount float64 `cbor:"2,keyasint"`
}

// Loan answers a want.
type Loan struct {
	Answers  uint64  `cbor:"1,keyasint"` // the want's number
	Amount   float64 `cbor:"2,keyasint"`
	Duration int64   `cbor:"3,keyasint"` // ns that it may be used, from when the want was sent
}

// sentRequests numbers the wants that a process has sent and keeps when each was.
type sentRequests struct {
	lastNumber uint64
	sent       map[uint64]int64
}

// next numbers a want that is sent now.
func (w *sentRequests) next(now int64, t Timing) uint64 {
	if w.sent == nil {
		w.sent = map[uint64]int64{}
	}
	for number, at := range w.sent {
		if now-at > t.Loan {
			delete(w.sent, number)
		}
	}
	w.lastNumber++
	w.sent[w.lastNumber] = now
	return w.lastNumber
}

// until returns how long a loan may be used; false where it answers no want that is open. The want is closed with it.
func (w *sentRequests) until(l Loan) (until int64, ok bool) {
	at, ok := w.sent[l.Answers]
	delete(w.sent, l.Answers)
	return at + l.Duration, ok
}

// receivedRequest is a want of another process, and when it came.
type receivedRequest struct {
	LoanRequest
	at int64
}

// amount is a part of the bound that is held until a time.
type amount struct {
	value     float64
	expiresAt int64
}

// unexpired are the amounts whose time is not over.
func unexpired(now int64, all []amount) (left []amount) {
	for _, a := range all {
		if a.expiresAt > now {
			left = append(left, a)
		}
	}
	return left
}

func sum(all []amount) (total float64) {
	for _, a := range all {
		total += a.value
	}
	return total
}
