package sockets

import "testing"

func TestBudget(t *testing.T) {
	for limit, want := range map[int][2]int{1024: {744, 248}, 64: {24, 8}, 0: {6, 2}} {
		b := NewBudget(limit)
		for range 2*limit + 10 {
			b.Acquire(Clients)
		}
		for range 2*limit + 10 {
			b.Acquire(Clients)
			b.Acquire(Replicas)
		}
		if got := [2]int{b.InUse(Clients), b.InUse(Replicas)}; got != want {
			t.Errorf("limit %d: clients and replicas got %v, want %v", limit, got, want)
		}
		b.Release(Replicas)
		if b.Acquire(Clients) || !b.Acquire(Replicas) || b.Acquire(Replicas) {
			t.Errorf("limit %d: a released descriptor did not become available to its purpose alone", limit)
		}
	}
}
