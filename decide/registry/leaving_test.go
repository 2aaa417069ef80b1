package registry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestLeavingSumsFollowTheList: after any sequence of records, the sums equal those of a new registry that merges the same
// records at once, and an exchange of the differing records makes two registries agree on the leaving replicas.
func TestLeavingSumsFollowTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := []*Registry{New(4*second, 20*second), New(4*second, 20*second)}
		now := int64(0)
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.Int64Range(0, second/10).Draw(t, "pause")
			reg := registries[rapid.IntRange(0, 1).Draw(t, "list")]
			id := fmt.Sprint("i-", rapid.IntRange(0, 20).Draw(t, "id"))
			r := Record{ID: id, Service: "s", Address: "a:1", Seq: uint64(i), Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase"))}
			reg.Merge(now, r)
			reg.Tick(now, true)
			fresh := New(4*second, 20*second)
			for _, r := range reg.All() {
				fresh.Merge(now, r)
			}
			must.Eq(t, fresh.LeavingSums(), reg.LeavingSums())
		}
		for _, pair := range [][2]*Registry{{registries[0], registries[1]}, {registries[1], registries[0]}} {
			for _, r := range pair[0].LeavingDifference(now, pair[1].LeavingSums()) {
				pair[1].MergeAged(now, r)
			}
		}
		for i := range registries {
			for _, r := range registries[i].All() {
				other, _ := registries[1-i].Get(r.ID)
				must.True(t, r.Phase != Gone || other.Phase == Gone, must.Sprint(r, other))
				must.True(t, r.Phase != Draining || other.Phase >= Draining, must.Sprint(r, other))
			}
		}
		must.SliceEmpty(t, registries[0].LeavingDifference(now, registries[0].LeavingSums()))
	})
}

// TestGoneAreForgottenWhoeverTells: registries that send each other a departed replica again and again forget it as soon as a
// single registry would.
func TestGoneAreForgottenWhoeverTells(t *testing.T) {
	registries := []*Registry{New(4*second, 20*second), New(4*second, 20*second), New(4*second, 20*second)}
	registries[0].Merge(0, Record{ID: "i-1", Phase: Gone, Seq: 1})
	for now := int64(0); now < 30*second; now += second / 2 {
		for i, from := range registries {
			for _, r := range from.LeavingDifference(now, LeavingSums{}) {
				registries[(i+1)%3].MergeAged(now, r)
			}
		}
		for i, reg := range registries {
			reg.Tick(now, true)
			_, known := reg.Get("i-1")
			must.Eq(t, now <= 20*second, known, must.Sprint(i, now))
		}
	}
}
