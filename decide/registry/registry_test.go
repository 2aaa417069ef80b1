package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const second = 1_000_000_000

// TestAnyOrder: controllers that merge the same records in different orders, and some records twice, arrive at the same
// list.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var records []Record
		for seq := uint64(1); seq < 6; seq++ {
			r := Record{ID: "i-1", Service: "s", Address: "a:1", Seq: seq}
			if seq > 3 {
				r.Phase = Draining
			}
			records = append(records, r)
		}
		if rng.IntN(2) == 0 {
			records = append(records, Record{ID: "i-1", Service: "s", Address: "a:1", Phase: Gone, Seq: 6})
		}
		first, second := New(4*second, 60*second), New(4*second, 60*second)
		for _, i := range rng.Perm(len(records)) {
			first.Merge(0, records[i])
		}
		for _, i := range append(rng.Perm(len(records)), rng.Perm(len(records))...) {
			second.Merge(0, records[i])
		}
		a, _ := first.Get("i-1")
		b, _ := second.Get("i-1")
		must.Eq(t, a.Phase, b.Phase)
		must.Eq(t, records[len(records)-1].Phase, a.Phase)
	})
}

// TestSilence: a replica without heartbeats falls silent, is gone after a longer time, and is ready again after a new
// heartbeat.
func TestSilence(t *testing.T) {
	m := New(4*second, 60*second)
	m.Tick(0, true)
	r := Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 1}
	m.Merge(0, r)
	must.SliceEmpty(t, m.Tick(2*second, true))
	// A controller that could not receive heartbeats marks nobody as silent.
	must.SliceEmpty(t, m.Tick(9*second, false))
	must.SliceEmpty(t, m.Tick(10*second, true))
	must.SliceLen(t, 1, m.Tick(14*second, true))
	must.Zero(t, m.Count())
	other := New(4*second, 60*second)
	other.Merge(0, r)
	other.Tick(5*second, true)
	must.SliceEmpty(t, other.Tick(60*second, true))
	gone := other.Tick(61*second, true)
	must.SliceLen(t, 1, gone)
	must.Eq(t, Gone, gone[0].Phase)
	must.SliceEmpty(t, other.All())
	_, changed := m.Merge(14*second, r)
	must.False(t, changed) // a call that arrives late
	r.Seq = 2
	_, changed = m.Merge(14*second, r)
	must.True(t, changed)
	must.Eq(t, 1, m.Count())
}

// TestDepartureNamesTheIdAlone: a departure that carries no field but the ID makes the known replica gone.
func TestDepartureNamesTheIdAlone(t *testing.T) {
	m := New(4*second, 60*second)
	m.Merge(0, Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 7})
	_, changed := m.Merge(0, Record{ID: "i-1", Phase: Gone})
	must.True(t, changed)
	r, _ := m.Get("i-1")
	must.Eq(t, Gone, r.Phase)
	must.Eq(t, "s", r.Service)
	_, changed = m.Merge(0, Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 9})
	must.False(t, changed)
}

// TestLeavingHoldsInAnyOrder guards against controllers whose lists never agree: two records of a replica give the same
// result in either order, even where the ready one has a higher call number than the leaving one.
func TestLeavingHoldsInAnyOrder(t *testing.T) {
	for _, leaves := range []Phase{Draining, Gone} {
		ready := Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 9}
		leaving := Record{ID: "i-1", Service: "s", Address: "a:1", Phase: leaves, Seq: 8}
		for _, order := range [][]Record{{ready, leaving}, {leaving, ready}} {
			m := New(4*second, 60*second)
			for _, r := range order {
				m.Merge(0, r)
			}
			r, _ := m.Get("i-1")
			must.Eq(t, leaves, r.Phase)
		}
	}
}

// TestLooksLeftOut: a registry that checks its replicas only when one may be due returns the same, at the same times, as one
// that checks them in each Tick.
func TestLooksLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lazy, eager := New(4*second, 9*second), New(4*second, 9*second)
		now := int64(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, second).Draw(t, "pause")
			if rapid.IntRange(0, 3).Draw(t, "beat") == 0 {
				r := Record{ID: fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "id")), Service: "s", Address: "a:1", Seq: uint64(i),
					Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase"))}
				newerOfLazy, changedOfLazy := lazy.Merge(now, r)
				newer, changed := eager.Merge(now, r)
				must.Eq(t, newer, newerOfLazy)
				must.Eq(t, changed, changedOfLazy)
			}
			listening := rapid.IntRange(0, 5).Draw(t, "listening") > 0
			eager.nextCheck = 0
			must.Eq(t, sorted(eager.Tick(now, listening)), sorted(lazy.Tick(now, listening)))
			must.Eq(t, eager.Count() == 0, lazy.Empty())
		}
		must.Eq(t, sorted(eager.All()), sorted(lazy.All()))
	})
}

// sorted sorts the records by ID, in place.
func sorted(records []Record) []Record {
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return records
}

// TestFewLooks: as long as heartbeats come, replicas are checked in few of the ticks.
func TestFewLooks(t *testing.T) {
	const heartbeatInterval = second
	m := New(5*heartbeatInterval, 60*second)
	checks, due := 0, int64(0)
	for now := int64(0); now < 60*second; now += second / 10 {
		if now%heartbeatInterval == 0 {
			m.Merge(now, Record{ID: "i-1", Service: "s", Address: "a:1", Seq: uint64(now/heartbeatInterval) + 1})
		}
		must.SliceEmpty(t, m.Tick(now, true))
		if m.nextCheck != due {
			checks, due = checks+1, m.nextCheck
		}
	}
	must.LessEq(t, 20, checks)
}
