// Package boundedread reads bodies whose length a peer determines. It makes no decisions of its own.
package boundedread

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

// firstBytes is what is allocated before anything has arrived.
const firstBytes = 64 << 10

// ErrNoRoom is returned if a budget has too little left.
var ErrNoRoom = errors.New("too much memory is taken by what others have sent")

// Budget is the memory that bodies may take together. Nil is no limit. It is safe for concurrent use.
type Budget struct{ free atomic.Int64 }

// NewBudget returns a budget of some bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.free.Store(bytes)
	return b
}

func (b *Budget) take(bytes int64) error {
	if b != nil && b.free.Add(-bytes) < 0 {
		b.free.Add(bytes)
		return ErrNoRoom
	}
	return nil
}

// Release gives back the memory of a body that is no longer used.
func (b *Budget) Release(bytes int64) {
	if b != nil {
		b.free.Add(bytes)
	}
}

// Exactly reads length bytes, which it takes from the budget. It returns io.ErrUnexpectedEOF if there are fewer. After an error the
// budget is as before.
//
// Danger: a peer may state any length, and a process that allocated it at once would end for want of memory. So the memory in use grows
// with what has arrived.
func Exactly(r io.Reader, length int64, budget *Budget) (body []byte, err error) {
	for have := int64(0); have < length; have = int64(len(body)) {
		body, err = readMore(r, body, min(length, nextSize(have)), budget)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			budget.Release(int64(len(body)))
			return nil, err
		}
	}
	return body, nil
}

// All reads until the end, and takes what it reads from the budget. After an error the budget is as before.
func All(r io.Reader, budget *Budget) (body []byte, err error) {
	for err == nil {
		body, err = readMore(r, body, nextSize(int64(len(body))), budget)
	}
	if !errors.Is(err, io.EOF) {
		budget.Release(int64(len(body)))
		return nil, err
	}
	return body, nil
}

func nextSize(have int64) int64 { return max(2*have, firstBytes) }

// readMore reads until a body has a size or reading fails. It returns what there is, for which the budget is taken.
//
// Danger: only io.EOF is the end of a body. A body that was cut off ends with another error, and must not look whole.
func readMore(r io.Reader, body []byte, size int64, budget *Budget) ([]byte, error) {
	missing := size - int64(len(body))
	if err := budget.take(missing); err != nil {
		return body, err
	}
	body = slices.Grow(body, int(missing))
	for int64(len(body)) < size {
		n, err := r.Read(body[len(body):size])
		body = body[:len(body)+n]
		if err != nil && int64(len(body)) < size {
			budget.Release(size - int64(len(body)))
			return body, err
		}
	}
	return body, nil
}
