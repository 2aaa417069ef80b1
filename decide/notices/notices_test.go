package notices

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"willowsill/decide/muster"
)

func TestNeverBack(t *testing.T) {
	b := NewBook()
	up := muster.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 3}
	leaving := up
	leaving.Phase, leaving.Seq = muster.Draining, 4
	fresh := b.Take(Notice{Revision: 5, Body: Pack([]byte("five")), Replicas: []muster.Record{up}})
	must.Eq(t, 5, fresh.Revision)
	must.SliceLen(t, 1, fresh.Replicas)
	must.SliceLen(t, 1, b.Take(Notice{Replicas: []muster.Record{leaving}}).Replicas)
	// A feeder that is behind says nothing new.
	must.True(t, b.Take(Notice{Whole: true, Revision: 4, Body: Pack([]byte("four")), Replicas: []muster.Record{up}}).Empty())
	must.Eq(t, "five", string(b.Raw))
	// Nor does one that says again what is known.
	must.True(t, b.Take(b.Whole()).Empty())
	// One called silent by the feeder before, by the same call, is there again where the next feeder's book says
	// so.
	silent := muster.Record{ID: "i-2", Service: "s", Address: "a:2", Seq: 7, Phase: muster.Silent}
	ready := silent
	ready.Phase = muster.Ready
	b.Take(Notice{Replicas: []muster.Record{silent}})
	must.True(t, b.Take(Notice{Replicas: []muster.Record{ready}}).Empty())
	must.SliceLen(t, 1, b.Take(Notice{Whole: true, Replicas: []muster.Record{ready}}).Replicas)
	// A follower of the follower ends up with the same.
	next := NewBook()
	next.Take(b.Whole())
	must.Eq(t, sorted(b.Whole()), sorted(next.Whole()))
}

func sorted(n Notice) Notice {
	slices.SortFunc(n.Replicas, func(a, b muster.Record) int { return strings.Compare(a.ID, b.ID) })
	return n
}

// TestPatch: a patch makes just what it was made for, is short where little changed, and is told apart where
// it does not fit.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.StringMatching(`[a-c]{0,60}`)
		pieces := rapid.SliceOfN(piece, 0, 20).Draw(t, "pieces")
		a := strings.Join(pieces, "|")
		rapid.Permutation(pieces).Draw(t, "order")
		if len(pieces) > 0 {
			pieces[rapid.IntRange(0, len(pieces)-1).Draw(t, "at")] = piece.Draw(t, "new")
		}
		b := strings.Join(pieces, "|")
		got, ok := Apply([]byte(a), Patch([]byte(a), []byte(b)))
		must.True(t, ok)
		must.Eq(t, b, string(got))
		Apply([]byte(b), rapid.SliceOf(rapid.Byte()).Draw(t, "junk")) // must not panic
	})
	var long strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&long, `{"name":"r-%d","host":"h%d","path-prefix":"/x%d/"},`, i*7919, i%5, i*104729)
	}
	a := long.String()
	b := strings.Replace(a, `"r-7919"`, `"r-other"`, 1)
	must.Less(t, 100, len(Patch([]byte(a), []byte(b))))
	must.Less(t, len(a)/4, len(Pack([]byte(a))))
}

// TestBehind: a follower that does not hold the base says so, and a whole book mends it.
func TestBehind(t *testing.T) {
	feeder, follower := NewBook(), NewBook()
	var b strings.Builder
	for i := range 500 {
		fmt.Fprint(&b, i*i*7919)
	}
	long := b.String()
	feeder.Take(Notice{Revision: 1, Body: Pack([]byte(long + "one"))})
	follower.Take(feeder.Whole())
	second := feeder.Take(Notice{Revision: 2, Body: Pack([]byte("x" + long + "two"))})
	third := feeder.Take(Notice{Revision: 3, Body: Pack([]byte("y" + long + "three"))})
	must.Nil(t, third.Body)
	must.True(t, follower.Take(third).Empty())
	must.True(t, follower.Behind)
	must.Eq(t, 2, follower.Take(second).Revision)
	must.Eq(t, "y"+long+"three", string(follower.Take(third).Raw))
	must.False(t, follower.Behind)
	must.Eq(t, feeder.Whole(), follower.Whole())
}
