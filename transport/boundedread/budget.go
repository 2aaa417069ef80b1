package boundedread

import (
	"fmt"
	"net"
	"sync"

	"willowsill/decide/memoryshare"
)

// Limit is what a peer can pass.
type Limit int

// The limits.
const (
	HeadBytes  Limit = iota // bytes of a head, with those of the interim answers before it
	HeadFields              // lines of the same
	BodyBytes               // bytes of a body
	Memory                  // the peer's share of the memory
	limitCount
)

// Limits are all limits, for counters of each.
var Limits = [limitCount]Limit{HeadBytes, HeadFields, BodyBytes, Memory}

func (l Limit) String() string {
	return [limitCount]string{"head bytes", "head fields", "body bytes", "memory"}[l]
}

// LimitError is returned for a peer that has passed a limit.
type LimitError struct{ Limit Limit }

func (e *LimitError) Error() string {
	return fmt.Sprintf("more was sent than the limit on %s allows", e.Limit)
}

// ErrNoRoom is returned if a peer's share of a budget is too small.
var ErrNoRoom = &LimitError{Memory}

// Budget is the memory that what peers send may take together. Nil is no limit. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	pool *memoryshare.Pool
}

// NewBudget returns a budget of some bytes.
func NewBudget(bytes int64) *Budget { return &Budget{pool: memoryshare.New(bytes)} }

// Held returns what all peers hold, in bytes.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.Held()
}

// Account returns the account of a peer, which belongs to a group of peers.
func (b *Budget) Account(group, name string) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, peer: memoryshare.Peer{Group: group, Name: name}}
}

// RemoteAccount returns the account of the peer at a remote address: the connections from one machine are a group, in which each has its
// own account.
func (b *Budget) RemoteAccount(address string) *Account {
	machine, _, _ := net.SplitHostPort(address)
	return b.Account(machine, address)
}

// Account is where the memory of what one peer sends is taken from. Nil is no limit. It is safe for concurrent use.
type Account struct {
	budget *Budget
	peer   memoryshare.Peer
}

func (a *Account) take(bytes int64) error {
	if a == nil {
		return nil
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.budget.pool.Take(a.peer, bytes) {
		return ErrNoRoom
	}
	return nil
}

// Release gives back memory that is no longer used, in bytes.
func (a *Account) Release(bytes int64) {
	if a == nil || bytes == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.pool.Release(a.peer, bytes)
}
