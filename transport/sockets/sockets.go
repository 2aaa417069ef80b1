// Package sockets accounts for the file descriptors that the process may hold, and limits how many each purpose
// may use.
package sockets

import "sync"

// Purpose is what a descriptor is used for.
type Purpose int

// The purposes: connections opened by clients, and connections to replicas.
const (
	Clients Purpose = iota
	Replicas
	purposeCount
)

const (
	reservedDescriptors = 32 // descriptors kept for standard streams, the poller, the listener, discovery and the runtime
	minBudget           = 8  // least descriptors for clients and replicas together, however low the limit is
)

// Budget counts the descriptors in use, and limits them per purpose and in total.
type Budget struct {
	mu     sync.Mutex
	total  int
	limits [purposeCount]int
	inUse  [purposeCount]int
}

// NewBudget splits a limit on descriptors so that neither purpose can use all of them.
func NewBudget(limit int) *Budget {
	b := &Budget{total: max(limit-reservedDescriptors, minBudget)}
	b.limits = [purposeCount]int{Clients: b.total * 3 / 4, Replicas: b.total / 2}
	return b
}

// Acquire takes a descriptor and returns false if none is left for the purpose.
func (b *Budget) Acquire(purpose Purpose) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inUse[purpose] >= b.limits[purpose] || b.inUse[Clients]+b.inUse[Replicas] >= b.total {
		return false
	}
	b.inUse[purpose]++
	return true
}

// Release returns a descriptor to the budget.
func (b *Budget) Release(purpose Purpose) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse[purpose]--
}

// Limit returns the number of descriptors that a purpose may use.
func (b *Budget) Limit(purpose Purpose) int { return b.limits[purpose] }

// InUse returns the number of descriptors in use for a purpose.
func (b *Budget) InUse(purpose Purpose) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inUse[purpose]
}
