// Package sockets owns the count of descriptors that the process may hold, and shares it out.
package sockets

import "sync"

// Purpose is what a descriptor is for.
type Purpose int

// The uses: connections that clients opened, and connections to replicas.
const (
	Clients Purpose = iota
	Replicas
	purposeCount
)

const (
	reservedDescriptors = 32 // descriptors for standard streams, the poller, the listener, discovery and the runtime
	minBudget           = 8  // for clients and replicas together, however low the limit is
)

// Budget counts the descriptors in use against what is allowed for each use and for all.
type Budget struct {
	mu     sync.Mutex
	total  int
	limits [purposeCount]int
	inUse  [purposeCount]int
}

// NewBudget shares out a limit: neither use can take all that is there.
func NewBudget(limit int) *Budget {
	b := &Budget{total: max(limit-reservedDescriptors, minBudget)}
	b.limits = [purposeCount]int{Clients: b.total * 3 / 4, Replicas: b.total / 2}
	return b
}

// Acquire takes one descriptor, if there is one left.
func (b *Budget) Acquire(u Purpose) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inUse[u] >= b.limits[u] || b.inUse[Clients]+b.inUse[Replicas] >= b.total {
		return false
	}
	b.inUse[u]++
	return true
}

// Release gives one back.
func (b *Budget) Release(u Purpose) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse[u]--
}

// Limit is how many a use may take.
func (b *Budget) Limit(u Purpose) int { return b.limits[u] }

// InUse is how many are in use.
func (b *Budget) InUse(u Purpose) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inUse[u]
}
