// Package sockets owns the count of descriptors that the process may hold, and shares it out.
package sockets

import "sync/atomic"

// Use is what a descriptor is for.
type Use int

const (
	Clients Use = iota
	Replicas
	uses
)

const (
	reserve      = 48 // descriptors for standard streams, the poller, the listener, discovery and the runtime
	replicaShare = 4  // replicas get this part of the rest, clients what is left
)

// Budget counts the descriptors in use against what is allowed for each use.
type Budget struct {
	most  [uses]int64
	taken [uses]atomic.Int64
}

// NewBudget shares out a limit.
func NewBudget(limit int) *Budget {
	rest := int64(max(limit-reserve, 2*replicaShare))
	b := &Budget{}
	b.most[Replicas] = rest / replicaShare
	b.most[Clients] = rest - b.most[Replicas]
	return b
}

// Take takes one descriptor, if there is one left.
func (b *Budget) Take(u Use) bool {
	if b.taken[u].Add(1) > b.most[u] {
		b.taken[u].Add(-1)
		return false
	}
	return true
}

// Give gives one back.
func (b *Budget) Give(u Use) { b.taken[u].Add(-1) }

// Taken is how many are in use.
func (b *Budget) Taken(u Use) int { return int(b.taken[u].Load()) }
