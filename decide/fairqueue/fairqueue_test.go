package fairqueue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// With all waiting, turns go by weight whatever the crowds: here one customer has fifty times the others' queries.
func TestTurns(t *testing.T) {
	q := New(Limits{MaxWaiting: 1000, MaxCustomerShare: 1})
	served := map[string]int{}
	for i := range 2000 {
		for range 5 {
			q.Push(0, Item{Customer: "greedy", Deadline: 1e9})
		}
		for _, name := range []string{"b", "c"} {
			q.Push(0, Item{Customer: name, Weight: 1, Deadline: 1e9})
		}
		q.Push(0, Item{Customer: "double", Weight: 2, Deadline: 1e9})
		if it, _, ok := q.Pop(0); ok && i >= 500 {
			served[it.Customer]++
		}
	}
	for name, want := range map[string]int{"greedy": 300, "b": 300, "c": 300, "double": 600} {
		if got := served[name]; got < want*9/10 || got > want*11/10 {
			t.Errorf("%s was served %d times, want about %d", name, got, want)
		}
	}
}

// A customer that was away saves nothing up: it does not shut the others out when it comes back.
func TestNothingSavedUp(t *testing.T) {
	q := New(Limits{MaxWaiting: 100, MaxCustomerShare: 1})
	for range 50 {
		q.Push(0, Item{Customer: "busy", Deadline: 1e9})
		q.Pop(0)
	}
	for range 10 {
		q.Push(0, Item{Customer: "back", Deadline: 1e9})
		q.Push(0, Item{Customer: "busy", Deadline: 1e9})
	}
	busy := 0
	for range 10 {
		if it, _, _ := q.Pop(0); it.Customer == "busy" {
			busy++
		}
	}
	if busy < 4 {
		t.Errorf("of ten turns the busy one had %d", busy)
	}
}

// Whatever comes: each query leaves once, served, late or dropped; none is served late; the bounds are kept, and in a full
// queue nobody but the one with the most waiting loses a place.
func TestOnceEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Limits{MaxWaiting: rapid.IntRange(1, 12).Draw(t, "most"), MaxCustomerShare: rapid.Float64Range(0.2, 1).Draw(t, "one")}
		q, now, number := New(terms), int64(0), 0
		in := map[int]Item{}
		leave := func(it Item) {
			if _, is := in[it.Handle.(int)]; !is {
				t.Fatalf("%v left twice, or never came", it)
			}
			delete(in, it.Handle.(int))
		}
		count := func(name string) (n int) {
			for _, it := range in {
				if it.Customer == name {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 30).Draw(t, "time")
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				it := Item{Customer: fmt.Sprint("c", rapid.IntRange(0, 4).Draw(t, "customer")), Deadline: now + rapid.Int64Range(0, 200).Draw(t, "wait"),
					Weight: rapid.Float64Range(0, 3).Draw(t, "weight"), Handle: number}
				dropped, taken := q.Push(now, it)
				for _, d := range dropped {
					if d.Deadline > now && count(d.Customer) <= count(it.Customer) {
						t.Fatalf("%s with %d waiting lost its place to %s with %d", d.Customer, count(d.Customer), it.Customer, count(it.Customer))
					}
					leave(d)
				}
				if taken {
					in[number] = it
				}
				number++
			} else {
				it, late, ok := q.Pop(now)
				for _, l := range late {
					if l.Deadline > now {
						t.Fatalf("%v is not late at %d", l, now)
					}
					leave(l)
				}
				if ok {
					if it.Deadline <= now {
						t.Fatalf("%v was served late", it)
					}
					leave(it)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 && number > 0 {
				gone := rapid.IntRange(0, number-1).Draw(t, "who")
				it, is := in[gone]
				if q.Remove(it.Customer, gone) != is {
					t.Fatalf("%d: it waits: %v", gone, is)
				}
				delete(in, gone)
			}
			if q.Len() != len(in) || q.Len() > terms.MaxWaiting {
				t.Fatalf("%d wait, %d should, %d may", q.Len(), len(in), terms.MaxWaiting)
			}
			if at := q.NextDeadline(); (at == 0) != (len(in) == 0) {
				t.Fatalf("next at %d with %d waiting", at, len(in))
			}
		}
	})
}
