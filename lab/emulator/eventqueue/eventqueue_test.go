package eventqueue

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Events pushed in any order, for the near or far future or the past, are popped in order.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, seq := New(0), uint64(0)
		var model []Event
		now := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "turns") {
			if rapid.Bool().Draw(t, "push") {
				seq++
				e := Event{At: now + rapid.OneOf(rapid.Int64Range(0, 1000), rapid.Int64Range(0, 1e6), rapid.Int64Range(0, 1e9),
					rapid.Int64Range(0, 1e12)).Draw(t, "in"), From: rapid.Int32Range(0, 3).Draw(t, "from"), Seq: seq}
				a.Push(e)
				model = append(model, e)
				slices.SortFunc(model, Compare)
				continue
			}
			before := now + rapid.Int64Range(0, 2e9).Draw(t, "before")
			got, ok := a.Pop(before)
			if want := len(model) > 0 && model[0].At < before; ok != want || ok && got != model[0] {
				t.Fatalf("popped %v %v, queued are %v", got, ok, model)
			}
			if ok {
				now = got.At
				model = model[1:]
			}
			if a.Len() != len(model) {
				t.Fatalf("length %d, want %d", a.Len(), len(model))
			}
		}
	})
}

// Each iteration pops the next event and pushes a later one, as a simulation does.
func BenchmarkTurn(b *testing.B) {
	const queued = 100_000
	delay := func(rng *rand.Rand) int64 { return int64(rng.ExpFloat64() * 40e6) }
	b.Run("calendar", func(b *testing.B) {
		rng, a := rand.New(rand.NewPCG(1, 2)), New(0)
		for i := range queued {
			a.Push(Event{At: delay(rng), Seq: uint64(i)})
		}
		for i := 0; b.Loop(); i++ {
			e, _ := a.Pop(never)
			e.At += delay(rng)
			e.Seq = uint64(queued + i)
			a.Push(e)
		}
	})
	b.Run("heap", func(b *testing.B) {
		rng, q := rand.New(rand.NewPCG(1, 2)), byTime{}
		for i := range queued {
			heap.Push(&q, Event{At: delay(rng), Seq: uint64(i)})
		}
		for i := 0; b.Loop(); i++ {
			e := heap.Pop(&q).(Event)
			e.At += delay(rng)
			e.Seq = uint64(queued + i)
			heap.Push(&q, e)
		}
	})
}
