package clusterstate

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"willowsill/decide/registry"
)

func TestNeverBack(t *testing.T) {
	b := NewState()
	up := registry.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 3}
	leaving := up
	leaving.Phase, leaving.Seq = registry.Draining, 4
	fresh := b.Apply(Update{Revision: 5, Body: Pack([]byte("five")), Replicas: []registry.Record{up}})
	must.Eq(t, 5, fresh.Revision)
	must.SliceLen(t, 1, fresh.Replicas)
	must.SliceLen(t, 1, b.Apply(Update{Replicas: []registry.Record{leaving}}).Replicas)
	// A feeder that is behind says nothing new.
	must.True(t, b.Apply(Update{Snapshot: true, Revision: 4, Body: Pack([]byte("four")), Replicas: []registry.Record{up}}).Empty())
	must.Eq(t, "five", string(b.Raw))
	// Nor does one that says again what is known.
	must.True(t, b.Apply(b.Snapshot()).Empty())
	// One called silent by the feeder before, by the same call, is there again where the next feeder says
	// so.
	silent := registry.Record{ID: "i-2", Service: "s", Address: "a:2", Seq: 7, Phase: registry.Silent}
	ready := silent
	ready.Phase = registry.Ready
	b.Apply(Update{Replicas: []registry.Record{silent}})
	must.True(t, b.Apply(Update{Replicas: []registry.Record{ready}}).Empty())
	must.SliceLen(t, 1, b.Apply(Update{Snapshot: true, Replicas: []registry.Record{ready}}).Replicas)
	// A follower of the follower ends up with the same.
	next := NewState()
	next.Apply(b.Snapshot())
	must.Eq(t, sorted(b.Snapshot()), sorted(next.Snapshot()))
}

func sorted(n Update) Update {
	slices.SortFunc(n.Replicas, func(a, b registry.Record) int { return strings.Compare(a.ID, b.ID) })
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
		got, ok := ApplyPatch([]byte(a), MakePatch([]byte(a), []byte(b)))
		must.True(t, ok)
		must.Eq(t, b, string(got))
		ApplyPatch([]byte(b), rapid.SliceOf(rapid.Byte()).Draw(t, "junk")) // must not panic
	})
	var long strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&long, `{"name":"r-%d","host":"h%d","path-prefix":"/x%d/"},`, i*7919, i%5, i*104729)
	}
	a := long.String()
	b := strings.Replace(a, `"r-7919"`, `"r-other"`, 1)
	must.Less(t, 100, len(MakePatch([]byte(a), []byte(b))))
	must.Less(t, len(a)/4, len(Pack([]byte(a))))
}

// TestBehind: a follower that does not hold the base says so, and a snapshot mends it.
func TestBehind(t *testing.T) {
	feeder, follower := NewState(), NewState()
	var b strings.Builder
	for i := range 500 {
		fmt.Fprint(&b, i*i*7919)
	}
	long := b.String()
	feeder.Apply(Update{Revision: 1, Body: Pack([]byte(long + "one"))})
	follower.Apply(feeder.Snapshot())
	second := feeder.Apply(Update{Revision: 2, Body: Pack([]byte("x" + long + "two"))})
	third := feeder.Apply(Update{Revision: 3, Body: Pack([]byte("y" + long + "three"))})
	must.Nil(t, third.Body)
	must.True(t, follower.Apply(third).Empty())
	must.True(t, follower.NeedsSnapshot)
	must.Eq(t, 2, follower.Apply(second).Revision)
	must.Eq(t, "y"+long+"three", string(follower.Apply(third).Raw))
	must.False(t, follower.NeedsSnapshot)
	must.Eq(t, feeder.Snapshot(), follower.Snapshot())
}

// TestPatchOfAnotherContent guards against a content in force that nobody sent: a patch that is applied to another content
// than the one that it was made from, though both have the same revision.
func TestPatchOfAnotherContent(t *testing.T) {
	feeder, relay, follower := NewState(), NewState(), NewState()
	routes := func(service string) []byte {
		var b strings.Builder
		for i := range 500 {
			fmt.Fprint(&b, i*i*7919)
		}
		return Pack([]byte(b.String() + service))
	}
	feeder.Apply(Update{Revision: 8, Body: routes("right")})
	relay.Apply(Update{Revision: 8, Body: routes("wrong")})
	follower.Apply(relay.Snapshot())
	patch := feeder.Apply(Update{Revision: 9, Body: routes("right, and more")})
	must.NotNil(t, patch.Patch)
	for _, state := range []*State{relay, follower} {
		before := state.Snapshot()
		must.True(t, state.Apply(patch.ForWire(true)).Empty())
		must.True(t, state.NeedsSnapshot)
		must.Eq(t, before, state.Snapshot())
	}
	fresh := relay.Apply(feeder.Snapshot())
	must.False(t, relay.NeedsSnapshot)
	must.Eq(t, string(feeder.Raw), string(relay.Raw))
	// What the relay tells its followers is a patch of its own former content: right for one who held that too.
	must.Eq(t, 9, follower.Apply(fresh).Revision)
	must.Eq(t, string(feeder.Raw), string(follower.Raw))
}

// TestForget: of the gone the snapshot keeps the id and the last call alone, whenever they come.
func TestForget(t *testing.T) {
	b := NewState()
	for _, id := range []string{"i-1", "i-2"} {
		b.Apply(Update{Replicas: []registry.Record{{ID: id, Service: "s", Seq: 1}, {ID: "i-stays", Service: "s", Seq: 1}}})
		b.DropGone()
		b.Apply(Update{Replicas: []registry.Record{{ID: id, Service: "s", Seq: 2, Phase: registry.Gone}}})
		must.SliceContains(t, b.Snapshot().Replicas, registry.Record{ID: id, Service: "s", Seq: 2, Phase: registry.Gone})
		b.DropGone()
		must.SliceContains(t, b.Snapshot().Replicas, registry.Record{ID: id, Seq: 2, Phase: registry.Gone})
		must.MapLen(t, 1, b.replicas)
	}
}
