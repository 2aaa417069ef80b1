package lending

import (
	"testing"

	"github.com/shoenig/test/must"
)

var testTerms = DefaultTiming(10e9)

// holder is an edge that has been there for long and owns four.
func holder() *Account {
	h := NewAccount(0, testTerms)
	h.SetShare(4)
	return h
}

// TestWantsOnlyInNeed: an edge wants a loan when it has no room for one more, and not when it uses nothing at all, however
// little it has.
func TestWantsOnlyInNeed(t *testing.T) {
	h := holder()
	must.True(t, h.NextMessage(60e9, Usage{}).Empty())
	must.True(t, h.NextMessage(60e9, Usage{-3, true}).Empty())
	must.True(t, h.NextMessage(60e9, Usage{3, true}).Empty())
	must.Eq(t, 4*requestFactor, h.NextMessage(60e9, Usage{3.5, true}).Requests[0].Amount)
	h.SetShare(0.5)
	must.True(t, h.NextMessage(60e9, Usage{}).Empty())
}

// TestLendsHalfAtMost: whoever asks, and however often, an edge keeps half of its share and what it uses of the other.
func TestLendsHalfAtMost(t *testing.T) {
	for _, c := range []struct{ used, most float64 }{{-5, 2}, {0, 2}, {1, 2}, {2.5, 1.5}, {3, 1}} {
		h := holder()
		for number := range uint64(20) {
			h.Handle(60e9, Message{Requests: []LoanRequest{{number, 9}}})
			h.NextMessage(60e9, Usage{c.used, true})
			h.NextMessage(60e9, Usage{c.used, true})
		}
		must.LessEq(t, c.most, h.Lent(60e9), must.Sprint(c.used))
		must.Positive(t, h.Lent(60e9), must.Sprint(c.used))
	}
}

// TestOldWants: a want is not answered when it is old, by an edge or by an agent.
func TestOldWants(t *testing.T) {
	h := holder()
	h.Handle(60e9, Message{Requests: []LoanRequest{{1, 9}}})
	h.NextMessage(61e9, Usage{})
	must.True(t, h.NextMessage(64e9, Usage{}).Empty())
	must.Eq(t, 4, h.Limit(64e9)) // what was reserved is given back
	r := NewRelay(testTerms)
	r.Handle(60e9, "a", Message{Requests: []LoanRequest{{1, 9}}})
	must.SliceLen(t, 1, r.NextMessage(62e9, "b").Requests)
	must.True(t, r.NextMessage(64e9, "b").Empty())
}

// TestRelayAsksForWhatIsMissing: an agent asks for what it has no loan for yet, and asks nobody for what that one wants.
func TestRelayAsksForWhatIsMissing(t *testing.T) {
	r := NewRelay(testTerms)
	r.Handle(60e9, "a", Message{Requests: []LoanRequest{{1, 5}}})
	must.True(t, r.NextMessage(60e9, "a").Empty())
	want := r.NextMessage(60e9, "b").Requests[0]
	r.Handle(60e9, "b", Message{Loans: []Loan{{want.Number, 2, testTerms.Loan}}})
	must.Eq(t, 3, r.NextMessage(60e9, "c").Requests[0].Amount)
	loan := r.NextMessage(61e9, "a").Loans[0]
	must.Eq(t, Loan{Answers: 1, Amount: 2, Duration: testTerms.Loan - 1e9}, loan)
	must.True(t, r.NextMessage(61e9, "a").Empty())
}
