package lending

import (
	"testing"

	"github.com/shoenig/test/must"
)

var testTerms = DefaultTerms(10e9)

// holder is an edge that has been there for long and owns four.
func holder() *Holder {
	h := NewHolder(0, testTerms)
	h.Share(4)
	return h
}

// TestWantsOnlyInNeed: an edge wants a loan when it has no room for one more, and not when it uses nothing at all, however
// little it has.
func TestWantsOnlyInNeed(t *testing.T) {
	h := holder()
	must.True(t, h.Note(60e9, Use{}).Empty())
	must.True(t, h.Note(60e9, Use{-3, true}).Empty())
	must.True(t, h.Note(60e9, Use{3, true}).Empty())
	must.Eq(t, 4*wantShare, h.Note(60e9, Use{3.5, true}).Wants[0].Amount)
	h.Share(0.5)
	must.True(t, h.Note(60e9, Use{}).Empty())
}

// TestLendsHalfAtMost: whoever asks, and however often, an edge keeps half of its share and what it uses of the other.
func TestLendsHalfAtMost(t *testing.T) {
	for _, c := range []struct{ used, most float64 }{{-5, 2}, {0, 2}, {1, 2}, {2.5, 1.5}, {3, 1}} {
		h := holder()
		for number := range uint64(20) {
			h.Heard(60e9, Note{Wants: []Want{{number, 9}}})
			h.Note(60e9, Use{c.used, true})
			h.Note(60e9, Use{c.used, true})
		}
		must.LessEq(t, c.most, h.Lent(60e9), must.Sprint(c.used))
		must.Positive(t, h.Lent(60e9), must.Sprint(c.used))
	}
}

// TestOldWants: a want is not answered when it is old, by an edge or by an agent.
func TestOldWants(t *testing.T) {
	h := holder()
	h.Heard(60e9, Note{Wants: []Want{{1, 9}}})
	h.Note(61e9, Use{})
	must.True(t, h.Note(64e9, Use{}).Empty())
	must.Eq(t, 4, h.Limit(64e9)) // what was reserved is given back
	r := NewRelay(testTerms)
	r.Heard(60e9, "a", Note{Wants: []Want{{1, 9}}})
	must.SliceLen(t, 1, r.Note(62e9, "b").Wants)
	must.True(t, r.Note(64e9, "b").Empty())
}

// TestRelayAsksForWhatIsMissing: an agent asks for what it has no loan for yet, and asks nobody for what that one wants.
func TestRelayAsksForWhatIsMissing(t *testing.T) {
	r := NewRelay(testTerms)
	r.Heard(60e9, "a", Note{Wants: []Want{{1, 5}}})
	must.True(t, r.Note(60e9, "a").Empty())
	want := r.Note(60e9, "b").Wants[0]
	r.Heard(60e9, "b", Note{Loans: []Loan{{want.Number, 2, testTerms.Loan}}})
	must.Eq(t, 3, r.Note(60e9, "c").Wants[0].Amount)
	loan := r.Note(61e9, "a").Loans[0]
	must.Eq(t, Loan{Answers: 1, Amount: 2, For: testTerms.Loan - 1e9}, loan)
	must.True(t, r.Note(61e9, "a").Empty())
}
