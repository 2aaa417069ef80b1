package lending

import (
	"testing"

	"github.com/shoenig/test/must"
)

var testTiming = DefaultTiming(10e9)

// account returns the account of an edge that started long ago and owns an amount of 4.
func account() *Account {
	a := NewAccount(0, testTiming)
	a.SetShare(4)
	return a
}

// TestWantsOnlyInNeed: an edge requests a loan when its usage plus 1 exceeds its limit, and not when it uses nothing at all,
// however small its limit is.
func TestWantsOnlyInNeed(t *testing.T) {
	a := account()
	must.True(t, a.NextMessage(60e9, Usage{}).Empty())
	must.True(t, a.NextMessage(60e9, Usage{-3, true}).Empty())
	must.True(t, a.NextMessage(60e9, Usage{3, true}).Empty())
	must.Eq(t, 4*requestFactor, a.NextMessage(60e9, Usage{3.5, true}).Requests[0].Amount)
	a.SetShare(0.5)
	must.True(t, a.NextMessage(60e9, Usage{}).Empty())
}

// TestLendsHalfAtMost: however often an edge is asked, it keeps half of its share and what it uses of the other half.
func TestLendsHalfAtMost(t *testing.T) {
	for _, c := range []struct{ used, most float64 }{{-5, 2}, {0, 2}, {1, 2}, {2.5, 1.5}, {3, 1}} {
		a := account()
		for number := range uint64(20) {
			a.Handle(60e9, Message{Requests: []LoanRequest{{number, 9}}})
			a.NextMessage(60e9, Usage{c.used, true})
			a.NextMessage(60e9, Usage{c.used, true})
		}
		must.LessEq(t, c.most, a.Lent(60e9), must.Sprint(c.used))
		must.Positive(t, a.Lent(60e9), must.Sprint(c.used))
	}
}

// TestOldWants: neither an edge nor an agent answers a request that is too old.
func TestOldWants(t *testing.T) {
	a := account()
	a.Handle(60e9, Message{Requests: []LoanRequest{{1, 9}}})
	a.NextMessage(61e9, Usage{})
	must.True(t, a.NextMessage(64e9, Usage{}).Empty())
	must.Eq(t, 4, a.Limit(64e9)) // the reserved amount is released
	r := NewRelay(testTiming)
	r.Handle(60e9, "a", Message{Requests: []LoanRequest{{1, 9}}})
	must.SliceLen(t, 1, r.NextMessage(62e9, "b").Requests)
	must.True(t, r.NextMessage(64e9, "b").Empty())
}

// TestRelayAsksForWhatIsMissing: an agent requests what it has no loan for yet, and never requests from a neighbor what that
// neighbor itself needs.
func TestRelayAsksForWhatIsMissing(t *testing.T) {
	r := NewRelay(testTiming)
	r.Handle(60e9, "a", Message{Requests: []LoanRequest{{1, 5}}})
	must.True(t, r.NextMessage(60e9, "a").Empty())
	want := r.NextMessage(60e9, "b").Requests[0]
	r.Handle(60e9, "b", Message{Loans: []Loan{{want.Number, 2, testTiming.Loan}}})
	must.Eq(t, 3, r.NextMessage(60e9, "c").Requests[0].Amount)
	loan := r.NextMessage(61e9, "a").Loans[0]
	must.Eq(t, Loan{Answers: 1, Amount: 2, Duration: testTiming.Loan - 1e9}, loan)
	must.True(t, r.NextMessage(61e9, "a").Empty())
}
