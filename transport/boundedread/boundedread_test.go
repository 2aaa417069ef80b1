package boundedread

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

var lengths = []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, 2 * firstBytes, 5*firstBytes + 7}

const plenty = 1 << 30

// TestExactly: what is read is what was sent, around each size at which the memory grows, and not a byte more.
func TestExactly(t *testing.T) {
	for _, length := range lengths {
		sent := bytes.Repeat([]byte("0123456789"), length/10+1)
		source := bytes.NewReader(sent)
		budget := NewBudget(plenty)
		account := budget.Account("group", "peer")
		read, err := Exactly(source, int64(length), account)
		must.NoError(t, err)
		must.True(t, bytes.Equal(sent[:length], read))
		must.Eq(t, len(sent)-length, source.Len())
		must.Eq(t, int64(length), budget.Held())
	}
}

// TestAll: everything up to the end is read, also in small pieces, and the budget is taken for that alone.
func TestAll(t *testing.T) {
	for _, length := range lengths {
		sent := bytes.Repeat([]byte("0123456789"), length/10+1)[:length]
		budget := NewBudget(plenty)
		account := budget.Account("group", "peer")
		read, err := All(iotest.HalfReader(bytes.NewReader(sent)), account)
		must.NoError(t, err)
		must.True(t, bytes.Equal(sent, read))
		must.Eq(t, int64(length), budget.Held())
	}
}

// TestStatedAndNotSent (FAULT): memory is taken for what has arrived, and not for what was stated.
func TestStatedAndNotSent(t *testing.T) {
	const stated = 1 << 62 // more than any machine has
	for _, sent := range lengths {
		budget := NewBudget(plenty)
		account := budget.Account("group", "peer")
		_, err := Exactly(bytes.NewReader(make([]byte, sent)), stated, account)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.Eq(t, 0, budget.Held())
	}
}

// TestCutOff: a body that its reader knows to be cut off is an error, however much of it has come.
func TestCutOff(t *testing.T) {
	for _, length := range lengths {
		budget := NewBudget(plenty)
		account := budget.Account("group", "peer")
		cut := io.MultiReader(bytes.NewReader(make([]byte, length)), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, err := All(cut, account)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.Eq(t, 0, budget.Held())
	}
}

// TestNoRoom: a body that does not fit into the budget is an error and leaves the budget as it was.
func TestNoRoom(t *testing.T) {
	const room = 3 * firstBytes // of which one peer may have a third
	sent := make([]byte, 2*firstBytes)
	budget := NewBudget(room)
	account := budget.Account("group", "peer")
	_, err := Exactly(bytes.NewReader(sent), int64(len(sent)), account)
	must.ErrorIs(t, err, ErrNoRoom)
	must.Eq(t, 0, budget.Held())
	_, err = All(bytes.NewReader(sent), account)
	must.ErrorIs(t, err, ErrNoRoom)
	must.Eq(t, 0, budget.Held())
	broken := errors.New("broken")
	_, err = All(iotest.ErrReader(broken), account)
	must.ErrorIs(t, err, broken)
	must.Eq(t, 0, budget.Held())
	read, err := Exactly(bytes.NewReader(sent), firstBytes, account)
	must.NoError(t, err)
	must.Eq(t, firstBytes, budget.Held())
	account.Release(int64(len(read)))
	must.Eq(t, 0, budget.Held())
}

// TestAtMost (FAULT): a body without a stated length is read no further than its limit.
func TestAtMost(t *testing.T) {
	const limit = 3*firstBytes + 7
	for _, length := range []int{0, 1, limit, limit + 1, 20 * firstBytes} {
		budget := NewBudget(plenty)
		source := bytes.NewReader(make([]byte, length))
		body, err := AtMost(source, limit, budget.Account("group", "peer"))
		must.Eq(t, max(length-limit-1, 0), source.Len())
		must.Eq(t, int64(len(body)), budget.Held())
		if length <= limit {
			must.NoError(t, err)
			must.Eq(t, length, len(body))
			continue
		}
		var passed *LimitError
		must.True(t, errors.As(err, &passed))
		must.Eq(t, BodyBytes, passed.Limit)
	}
}

// TestMemoryOfABody (FAULT): the room of a body is no larger than what its account has given.
func TestMemoryOfABody(t *testing.T) {
	for _, length := range lengths {
		body, err := Exactly(bytes.NewReader(make([]byte, length)), int64(length), nil)
		must.NoError(t, err)
		must.Eq(t, length, cap(body))
		body, err = All(bytes.NewReader(make([]byte, length)), nil)
		must.NoError(t, err)
		must.LessEq(t, length+length/4+64, cap(body)) // sizes in which memory is allocated
	}
}
