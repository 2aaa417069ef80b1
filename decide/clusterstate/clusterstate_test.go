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

// TestNeverBack: neither an upstream that is behind nor one that repeats the held state brings back older data.
func TestNeverBack(t *testing.T) {
	s := NewState()
	up := registry.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 3}
	leaving := up
	leaving.Phase, leaving.Seq = registry.Draining, 4
	fresh := s.Apply(Update{Revision: 5, Body: Pack([]byte("five")), Replicas: []registry.Record{up}})
	must.Eq(t, 5, fresh.Revision)
	must.SliceLen(t, 1, fresh.Replicas)
	must.SliceLen(t, 1, s.Apply(Update{Replicas: []registry.Record{leaving}}).Replicas)
	// An upstream that is behind changes nothing.
	must.True(t, s.Apply(Update{Snapshot: true, Revision: 4, Body: Pack([]byte("four")), Replicas: []registry.Record{up}}).Empty())
	must.Eq(t, "five", string(s.Raw))
	// An upstream that repeats the held state changes nothing either.
	must.True(t, s.Apply(s.Snapshot()).Empty())
	// A replica that the previous upstream reported silent, under the same call number, is ready again once the snapshot
	// of the next upstream lists it.
	silent := registry.Record{ID: "i-2", Service: "s", Address: "a:2", Seq: 7, Phase: registry.Silent}
	ready := silent
	ready.Phase = registry.Ready
	s.Apply(Update{Replicas: []registry.Record{silent}})
	must.True(t, s.Apply(Update{Replicas: []registry.Record{ready}}).Empty())
	must.SliceLen(t, 1, s.Apply(Update{Snapshot: true, Replicas: []registry.Record{ready}}).Replicas)
	// A downstream edge ends up with the same state.
	next := NewState()
	next.Apply(s.Snapshot())
	must.Eq(t, sorted(s.Snapshot()), sorted(next.Snapshot()))
}

// sorted returns the update with its replicas sorted by ID, so that updates can be compared.
func sorted(u Update) Update {
	slices.SortFunc(u.Replicas, func(a, b registry.Record) int { return strings.Compare(a.ID, b.ID) })
	return u
}

// TestPatch checks that a patch reproduces the new content exactly, that it is short where little has changed, and that
// arbitrary bytes in place of a patch do not panic.
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

// TestBehind: a state that gets a patch for a revision that it does not hold reports that it needs a snapshot, until it
// has the missing revision.
func TestBehind(t *testing.T) {
	upstream, edge := NewState(), NewState()
	var b strings.Builder
	for i := range 500 {
		fmt.Fprint(&b, i*i*7919)
	}
	long := b.String()
	upstream.Apply(Update{Revision: 1, Body: Pack([]byte(long + "one"))})
	edge.Apply(upstream.Snapshot())
	second := upstream.Apply(Update{Revision: 2, Body: Pack([]byte("x" + long + "two"))})
	third := upstream.Apply(Update{Revision: 3, Body: Pack([]byte("y" + long + "three"))})
	must.Nil(t, third.Body)
	must.True(t, edge.Apply(third).Empty())
	must.True(t, edge.NeedsSnapshot)
	must.Eq(t, 2, edge.Apply(second).Revision)
	must.Eq(t, "y"+long+"three", string(edge.Apply(third).Raw))
	must.False(t, edge.NeedsSnapshot)
	must.Eq(t, upstream.Snapshot(), edge.Snapshot())
}

// TestPatchOfAnotherContent guards against a configuration that nobody sent: a patch is applied to another content than
// the one that it was made from, because both have the same revision.
func TestPatchOfAnotherContent(t *testing.T) {
	upstream, relay, edge := NewState(), NewState(), NewState()
	routes := func(service string) []byte {
		var b strings.Builder
		for i := range 500 {
			fmt.Fprint(&b, i*i*7919)
		}
		return Pack([]byte(b.String() + service))
	}
	upstream.Apply(Update{Revision: 8, Body: routes("right")})
	relay.Apply(Update{Revision: 8, Body: routes("wrong")})
	edge.Apply(relay.Snapshot())
	patch := upstream.Apply(Update{Revision: 9, Body: routes("right, and more")})
	must.NotNil(t, patch.Patch)
	for _, state := range []*State{relay, edge} {
		before := state.Snapshot()
		must.True(t, state.Apply(patch.ForWire(true)).Empty())
		must.True(t, state.NeedsSnapshot)
		must.Eq(t, before, state.Snapshot())
	}
	fresh := relay.Apply(upstream.Snapshot())
	must.False(t, relay.NeedsSnapshot)
	must.Eq(t, string(upstream.Raw), string(relay.Raw))
	// The relay sends on a patch from its own previous content, which fits an edge that holds that content too.
	must.Eq(t, 9, edge.Apply(fresh).Revision)
	must.Eq(t, string(upstream.Raw), string(edge.Raw))
}

// TestForget: after DropGone, a snapshot has only the ID and the last call number of each replica that is gone.
func TestForget(t *testing.T) {
	s := NewState()
	for _, id := range []string{"i-1", "i-2"} {
		s.Apply(Update{Replicas: []registry.Record{{ID: id, Service: "s", Seq: 1}, {ID: "i-stays", Service: "s", Seq: 1}}})
		s.DropGone()
		s.Apply(Update{Replicas: []registry.Record{{ID: id, Service: "s", Seq: 2, Phase: registry.Gone}}})
		must.SliceContains(t, s.Snapshot().Replicas, registry.Record{ID: id, Service: "s", Seq: 2, Phase: registry.Gone})
		s.DropGone()
		must.SliceContains(t, s.Snapshot().Replicas, registry.Record{ID: id, Seq: 2, Phase: registry.Gone})
		must.MapLen(t, 1, s.replicas)
	}
}
