// Package lending bounds what all edges use together, for example the retries beyond their ratio. Each edge owns an equal
// share. An edge lends what it doesn't use for a short time to edges that need more, along the relay tree: proxies own, lend
// and borrow (Account), agents and controllers pass requests and loans on (Relay). No process knows the total, and none has
// to. A relay holds no state that must not be lost.
//
// The bound holds even if messages are delayed, lost or duplicated and processes restart, and without synchronized clocks:
//
//   - A lender gives up the amount before it offers the loan. It takes the amount back only when the borrower's time is
//     over and what the borrower used has left the window over which the bound is measured.
//   - A borrower measures the time of the loan from when it sent the request, which was before the loan was granted.
//   - A loan answers one request, and a request accepts one loan, so a duplicated loan counts once.
//   - A loan that is lost, or whose borrower stops, is used by nobody until its time is over.
//   - Half of an edge's share is never lent. An edge that has forgotten its loans in a restart may use that half at
//     once.
//
// Decides: how much of its share an edge lends, to which neighbor a loan is passed on, and how much an edge may use.
package lending

import "time"

const (
	keepShare     = 0.5  // fraction of its share that an edge never lends
	lentShare     = 0.5  // fraction of its unused amount that an edge lends in one loan
	minLoan       = 0.25 // smaller loans are not worth a message
	requestFactor = 4    // an edge that needs a loan requests this multiple of its share
)

// Timing holds the times that all processes use, in ns.
type Timing struct {
	Loan          int64 // how long a loan may be used, from when its request was sent
	Window        int64 // length of the window over which the bound is measured
	Margin        int64 // how long before the end of a loan its borrower stops using it, because its own limits take effect with a delay
	MaxRequestAge int64 // requests older than this are not answered
}

// DefaultTiming returns the times for a bound that is measured over the given window, in ns.
func DefaultTiming(window int64) Timing {
	return Timing{Loan: int64(10 * time.Second), Window: window, Margin: int64(1500 * time.Millisecond), MaxRequestAge: int64(3 * time.Second)}
}

// Message is what a process sends to a neighbor in the tree: requests for loans, and loans.
type Message struct {
	Requests []LoanRequest `cbor:"1,keyasint,omitempty"`
	Loans    []Loan        `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether there is nothing to send.
func (m Message) Empty() bool { return len(m.Requests) == 0 && len(m.Loans) == 0 }

// LoanRequest asks a neighbor for a loan.
type LoanRequest struct {
	Number uint64  `cbor:"1,keyasint"` // number of this request among the sender's; the loan that answers it repeats the number
	Amount float64 `cbor:"2,keyasint"`
}

// Loan grants a LoanRequest, in full or in part.
type Loan struct {
	Answers  uint64  `cbor:"1,keyasint"` // number of the request that the loan answers
	Amount   float64 `cbor:"2,keyasint"`
	Duration int64   `cbor:"3,keyasint"` // ns that the loan may be used, from when the request was sent
}

// sentRequests numbers the requests that a process sends and keeps the time at which each was sent.
type sentRequests struct {
	lastNumber uint64
	sent       map[uint64]int64
}

// next returns the number of a request that is sent now, and forgets requests that are too old for a loan.
func (s *sentRequests) next(now int64, timing Timing) uint64 {
	if s.sent == nil {
		s.sent = map[uint64]int64{}
	}
	for number, at := range s.sent {
		if now-at > timing.Loan {
			delete(s.sent, number)
		}
	}
	s.lastNumber++
	s.sent[s.lastNumber] = now
	return s.lastNumber
}

// match returns when a loan ends. It returns false if no open request matches the loan. The request is closed.
func (s *sentRequests) match(loan Loan) (expiresAt int64, ok bool) {
	at, ok := s.sent[loan.Answers]
	delete(s.sent, loan.Answers)
	return at + loan.Duration, ok
}

// receivedRequest is a request of another process, with the time at which it arrived.
type receivedRequest struct {
	LoanRequest
	at int64
}

// amount is a part of the bound that a process lends or borrows until a certain time.
type amount struct {
	value     float64
	expiresAt int64
}

// unexpired returns the amounts whose time is not over.
func unexpired(now int64, all []amount) (remaining []amount) {
	for _, a := range all {
		if a.expiresAt > now {
			remaining = append(remaining, a)
		}
	}
	return remaining
}

// sum returns the total of the amounts.
func sum(all []amount) (total float64) {
	for _, a := range all {
		total += a.value
	}
	return total
}
