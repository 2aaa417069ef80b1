package boundedread

import (
	"bytes"
	"io"
	"sync"
)

// What a head takes in memory: its bytes are held as read and as parsed, and each field has an entry in a map.
const (
	memoryPerByte  = 2
	memoryPerField = 200
	freeHeadBytes  = 2 << 10 // what each connection has room for without an account
)

// HeadLimits bound one head. 0 is no limit.
type HeadLimits struct{ Bytes, Fields int64 }

// Head passes on what is read from a connection, and bounds the heads of messages in it: between Begin and End, what is read counts as
// part of a head.
//
// Danger: parsers of heads keep all that they read until the head ends, and a peer may send one that never does.
type Head struct {
	source  io.Reader
	account *Account

	mu            sync.Mutex // guards the fields below: a server reads ahead while it handles a request
	limits        HeadLimits
	begun         bool
	bytes, fields int64
	taken         int64
	passed        error // the limit that was passed
}

// NewHead returns a reader of a connection, whose heads take memory from an account.
func NewHead(source io.Reader, account *Account) *Head {
	return &Head{source: source, account: account}
}

// Begin begins a head.
func (h *Head) Begin(limits HeadLimits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits, h.begun, h.bytes, h.fields, h.passed = limits, true, 0, 0, nil
}

// End ends the head and returns its account with the memory that it holds, which the caller has to release.
func (h *Head) End() (account *Account, held int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, h.taken, h.begun = h.taken, 0, false
	return h.account, held
}

// LimitPassed returns the LimitError that ended the last head, nil if there is none. Parsers may return an error of their own for the rest
// of a head that was broken off.
func (h *Head) LimitPassed() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.passed
}

// Release ends a head that is of no use.
func (h *Head) Release() {
	account, held := h.End()
	account.Release(held)
}

// Read reads from the connection. Within a head it returns a LimitError once a limit is passed.
func (h *Head) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	if passed := h.count(p[:n]); passed != nil {
		return 0, passed
	}
	return n, err
}

// count counts what was read, if a head is being read, and returns the limit that it has passed.
func (h *Head) count(read []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.begun || len(read) == 0 {
		return nil
	}
	h.bytes += int64(len(read))
	h.fields += int64(bytes.Count(read, []byte("\n")))
	h.passed = h.check()
	return h.passed
}

// check compares the head with its limits and takes the memory for it.
func (h *Head) check() error {
	switch {
	case h.limits.Bytes > 0 && h.bytes > h.limits.Bytes:
		return &LimitError{HeadBytes}
	case h.limits.Fields > 0 && h.fields > h.limits.Fields:
		return &LimitError{HeadFields}
	case h.bytes <= freeHeadBytes:
		return nil
	}
	needed := memoryPerByte*h.bytes + memoryPerField*h.fields
	if err := h.account.take(needed - h.taken); err != nil {
		return err
	}
	h.taken = needed
	return nil
}
