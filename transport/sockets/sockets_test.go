package sockets

import "testing"

func TestBudget(t *testing.T) {
	for limit, want := range map[int][2]int{1024: {744, 248}, 64: {24, 8}, 0: {6, 2}} {
		b := NewBudget(limit)
		for range 2*limit + 10 {
			b.Take(Clients)
		}
		for range 2*limit + 10 {
			b.Take(Clients)
			b.Take(Replicas)
		}
		if got := [2]int{b.Taken(Clients), b.Taken(Replicas)}; got != want {
			t.Errorf("of %d, clients and replicas got %v, want %v", limit, got, want)
		}
		b.Give(Replicas)
		if b.Take(Clients) || !b.Take(Replicas) || b.Take(Replicas) {
			t.Errorf("of %d, what was given back went elsewhere", limit)
		}
	}
}
