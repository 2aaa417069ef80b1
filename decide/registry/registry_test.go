package registry

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const second = 1_000_000_000

// TestAnyOrder: controllers that are told the same in other orders, and some of it twice, come to the same
// list.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var told []Record
		for seq := uint64(1); seq < 6; seq++ {
			r := Record{ID: "i-1", Service: "s", Address: "a:1", Seq: seq}
			if seq > 3 {
				r.Phase = Draining
			}
			told = append(told, r)
		}
		if rng.IntN(2) == 0 {
			told = append(told, Record{ID: "i-1", Service: "s", Address: "a:1", Phase: Gone, Seq: 6})
		}
		first, second := New(4*second, 60*second), New(4*second, 60*second)
		for _, i := range rng.Perm(len(told)) {
			first.Take(0, told[i])
		}
		for _, i := range append(rng.Perm(len(told)), rng.Perm(len(told))...) {
			second.Take(0, told[i])
		}
		a, _ := first.Get("i-1")
		b, _ := second.Get("i-1")
		must.Eq(t, a.Phase, b.Phase)
		must.Eq(t, told[len(told)-1].Phase, a.Phase)
	})
}

func TestSilence(t *testing.T) {
	m := New(4*second, 60*second)
	m.Tick(0, true)
	r := Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 1}
	m.Take(0, r)
	must.SliceEmpty(t, m.Tick(2*second, true))
	// A controller that heard nobody blames nobody.
	must.SliceEmpty(t, m.Tick(9*second, false))
	must.SliceEmpty(t, m.Tick(10*second, true))
	must.SliceLen(t, 1, m.Tick(14*second, true))
	must.Zero(t, m.Count())
	other := New(4*second, 60*second)
	other.Take(0, r)
	other.Tick(5*second, true)
	must.SliceEmpty(t, other.Tick(60*second, true))
	gone := other.Tick(61*second, true)
	must.SliceLen(t, 1, gone)
	must.Eq(t, Gone, gone[0].Phase)
	must.SliceEmpty(t, other.All())
	_, changed := m.Take(14*second, r)
	must.False(t, changed) // an old call that comes late
	r.Seq = 2
	_, changed = m.Take(14*second, r)
	must.True(t, changed)
	must.Eq(t, 1, m.Count())
}

// TestDepartureNamesTheIdAlone: it ends what is known under that id.
func TestDepartureNamesTheIdAlone(t *testing.T) {
	m := New(4*second, 60*second)
	m.Take(0, Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 7})
	_, changed := m.Take(0, Record{ID: "i-1", Phase: Gone})
	must.True(t, changed)
	r, _ := m.Get("i-1")
	must.Eq(t, Gone, r.Phase)
	must.Eq(t, "s", r.Service)
	_, changed = m.Take(0, Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 9})
	must.False(t, changed)
}
