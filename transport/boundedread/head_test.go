package boundedread

import (
	"bufio"
	"errors"
	"io"
	"net/textproto"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// endless is a peer that repeats a text without end.
type endless struct {
	text string
	read int64 // bytes that were read
}

func (e *endless) Read(p []byte) (n int, err error) {
	for n < len(p) {
		n += copy(p[n:], e.text[int(e.read+int64(n))%len(e.text):])
	}
	e.read += int64(n)
	return n, nil
}

// TestHeadsWithoutEnd (FAULT): a head is read no further than its limits, or than its account has room.
func TestHeadsWithoutEnd(t *testing.T) {
	limits := HeadLimits{Bytes: 16 << 10, Fields: 500}
	for name, c := range map[string]struct {
		text   string
		room   int64
		passed Limit
	}{
		"a line":      {"x", plenty, HeadBytes},
		"many fields": {"X-Field: 1\r\n", plenty, HeadFields},
		"no room":     {"x", 6 << 10, Memory},
	} {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(c.room)
			peer := &endless{text: c.text}
			head := NewHead(peer, budget.Account("group", "peer"))
			head.Begin(limits)
			_, err := textproto.NewReader(bufio.NewReader(head)).ReadMIMEHeader()
			must.Error(t, err)
			var passed *LimitError
			must.True(t, errors.As(head.LimitPassed(), &passed), must.Sprint(err))
			must.Eq(t, c.passed, passed.Limit)
			must.LessEq(t, limits.Bytes+4096, peer.read)
			head.Release()
			must.Eq(t, 0, budget.Held())
		})
	}
}

// TestBetweenHeads: what is read between heads is not bounded, and each head begins anew.
func TestBetweenHeads(t *testing.T) {
	budget := NewBudget(plenty)
	head := NewHead(&endless{text: "x"}, budget.Account("group", "peer"))
	limits := HeadLimits{Bytes: 4 << 10}
	for range 3 {
		head.Begin(limits)
		_, err := io.CopyN(io.Discard, head, limits.Bytes)
		must.NoError(t, err)
		account, held := head.End()
		must.Greater(t, limits.Bytes, held)
		must.Eq(t, held, budget.Held())
		account.Release(held)
		must.Eq(t, 0, budget.Held())
		_, err = io.CopyN(io.Discard, head, 10*limits.Bytes)
		must.NoError(t, err)
	}
}

// TestOrdinaryHeads: heads of the usual size take nothing from an account.
func TestOrdinaryHeads(t *testing.T) {
	budget := NewBudget(1)
	head := NewHead(strings.NewReader(strings.Repeat("X-Field: 1\r\n", 40)), budget.Account("group", "peer"))
	head.Begin(HeadLimits{})
	_, err := io.ReadAll(head)
	must.NoError(t, err)
	must.Eq(t, 0, budget.Held())
}
