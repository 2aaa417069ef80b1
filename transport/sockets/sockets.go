// Package sockets owns the count of descriptors that the process may hold, and shares it out.
package sockets

import "sync"

// Use is what a descriptor is for.
type Use int

// The uses: connections that clients opened, and connections to replicas.
const (
	Clients Use = iota
	Replicas
	uses
)

const (
	reserve = 32 // descriptors for standard streams, the poller, the listener, discovery and the runtime
	least   = 8  // for clients and replicas together, however low the limit is
)

// Budget counts the descriptors in use against what is allowed for each use and for all.
type Budget struct {
	mu    sync.Mutex
	all   int
	most  [uses]int
	taken [uses]int
}

// NewBudget shares out a limit: neither use can take all that is there.
func NewBudget(limit int) *Budget {
	b := &Budget{all: max(limit-reserve, least)}
	b.most = [uses]int{Clients: b.all * 3 / 4, Replicas: b.all / 2}
	return b
}

// Take takes one descriptor, if there is one left.
func (b *Budget) Take(u Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken[u] >= b.most[u] || b.taken[Clients]+b.taken[Replicas] >= b.all {
		return false
	}
	b.taken[u]++
	return true
}

// Give gives one back.
func (b *Budget) Give(u Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken[u]--
}

// Most is how many a use may take.
func (b *Budget) Most(u Use) int { return b.most[u] }

// Taken is how many are in use.
func (b *Budget) Taken(u Use) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken[u]
}
