package fairqueue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestTurns: when all customers have waiting queries, they take turns by weight, even if one of them sends five times as
// many queries.
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
		if item, _, ok := q.Pop(0); ok && i >= 500 {
			served[item.Customer]++
		}
	}
	for name, want := range map[string]int{"greedy": 300, "b": 300, "c": 300, "double": 600} {
		if got := served[name]; got < want*9/10 || got > want*11/10 {
			t.Errorf("%s was served %d times, want about %d", name, got, want)
		}
	}
}

// TestNothingSavedUp: a customer that was away can't save up turns, so it doesn't block the others when it returns.
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
		if item, _, _ := q.Pop(0); item.Customer == "busy" {
			busy++
		}
	}
	if busy < 4 {
		t.Errorf("of ten turns the busy customer had %d", busy)
	}
}

// TestOnceEach: whatever the order of events, each query leaves the queue once, as served, expired, dropped or removed. No
// query is served after its deadline, the limits hold, and in a full queue only the customer with the most waiting queries
// loses one.
func TestOnceEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxWaiting: rapid.IntRange(1, 12).Draw(t, "most"), MaxCustomerShare: rapid.Float64Range(0.2, 1).Draw(t, "one")}
		q, now, next := New(limits), int64(0), 0
		waiting := map[int]Item{}
		leave := func(item Item) {
			if _, waits := waiting[item.Handle.(int)]; !waits {
				t.Fatalf("query %v left twice or was never in the queue", item)
			}
			delete(waiting, item.Handle.(int))
		}
		count := func(name string) (n int) {
			for _, item := range waiting {
				if item.Customer == name {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 30).Draw(t, "time")
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				item := Item{Customer: fmt.Sprint("c", rapid.IntRange(0, 4).Draw(t, "customer")), Deadline: now + rapid.Int64Range(0, 200).Draw(t, "wait"),
					Weight: rapid.Float64Range(0, 3).Draw(t, "weight"), Handle: next}
				dropped, queued := q.Push(now, item)
				for _, d := range dropped {
					if d.Deadline > now && count(d.Customer) <= count(item.Customer) {
						t.Fatalf("customer %s with %d waiting lost a query to customer %s with %d", d.Customer, count(d.Customer), item.Customer, count(item.Customer))
					}
					leave(d)
				}
				if queued {
					waiting[next] = item
				}
				next++
			} else {
				item, expired, ok := q.Pop(now)
				for _, e := range expired {
					if e.Deadline > now {
						t.Fatalf("query %v has not expired at %d", e, now)
					}
					leave(e)
				}
				if ok {
					if item.Deadline <= now {
						t.Fatalf("query %v was served after its deadline", item)
					}
					leave(item)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 && next > 0 {
				withdrawn := rapid.IntRange(0, next-1).Draw(t, "who")
				item, waits := waiting[withdrawn]
				if q.Remove(item.Customer, withdrawn) != waits {
					t.Fatalf("wrong result of Remove for query %d, which waits: %v", withdrawn, waits)
				}
				delete(waiting, withdrawn)
			}
			if q.Len() != len(waiting) || q.Len() > limits.MaxWaiting {
				t.Fatalf("%d queries wait, want %d, limit %d", q.Len(), len(waiting), limits.MaxWaiting)
			}
			if at := q.NextDeadline(); (at == 0) != (len(waiting) == 0) {
				t.Fatalf("next deadline %d with %d queries waiting", at, len(waiting))
			}
		}
	})
}
