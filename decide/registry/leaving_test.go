package registry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestLeavingSumsFollowTheList: whatever becomes of replicas, the sums are those of a list that took the same records at
// once, and an exchange by them makes two lists know of the same replicas that leave.
func TestLeavingSumsFollowTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := []*Registry{New(4*second, 20*second), New(4*second, 20*second)}
		now := int64(0)
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.Int64Range(0, second/10).Draw(t, "pause")
			at := lists[rapid.IntRange(0, 1).Draw(t, "list")]
			id := fmt.Sprint("i-", rapid.IntRange(0, 20).Draw(t, "id"))
			r := Record{ID: id, Service: "s", Address: "a:1", Seq: uint64(i), Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase"))}
			at.Merge(now, r)
			at.Tick(now, true)
			fresh := New(4*second, 20*second)
			for _, r := range at.All() {
				fresh.Merge(now, r)
			}
			must.Eq(t, fresh.LeavingSums(), at.LeavingSums())
		}
		for _, pair := range [][2]*Registry{{lists[0], lists[1]}, {lists[1], lists[0]}} {
			for _, r := range pair[0].LeavingDifference(now, pair[1].LeavingSums()) {
				pair[1].MergeAged(now, r)
			}
		}
		for i := range lists {
			for _, r := range lists[i].All() {
				other, _ := lists[1-i].Get(r.ID)
				must.True(t, r.Phase != Gone || other.Phase == Gone, must.Sprint(r, other))
				must.True(t, r.Phase != Draining || other.Phase >= Draining, must.Sprint(r, other))
			}
		}
		must.SliceEmpty(t, lists[0].LeavingDifference(now, lists[0].LeavingSums()))
	})
}

// TestGoneAreForgottenWhoeverTells: lists that tell each other of a departed replica again and again forget it as soon as
// one alone would.
func TestGoneAreForgottenWhoeverTells(t *testing.T) {
	lists := []*Registry{New(4*second, 20*second), New(4*second, 20*second), New(4*second, 20*second)}
	lists[0].Merge(0, Record{ID: "i-1", Phase: Gone, Seq: 1})
	for now := int64(0); now < 30*second; now += second / 2 {
		for i, from := range lists {
			for _, r := range from.LeavingDifference(now, LeavingSums{}) {
				lists[(i+1)%3].MergeAged(now, r)
			}
		}
		for i, list := range lists {
			list.Tick(now, true)
			_, known := list.Get("i-1")
			must.Eq(t, now <= 20*second, known, must.Sprint(i, now))
		}
	}
}
