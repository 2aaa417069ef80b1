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
		read, err := Exactly(source, int64(length), budget)
		must.NoError(t, err)
		must.True(t, bytes.Equal(sent[:length], read))
		must.Eq(t, len(sent)-length, source.Len())
		must.Eq(t, plenty-int64(length), budget.free.Load())
	}
}

// TestAll: everything up to the end is read, also in small pieces, and the budget is taken for that alone.
func TestAll(t *testing.T) {
	for _, length := range lengths {
		sent := bytes.Repeat([]byte("0123456789"), length/10+1)[:length]
		budget := NewBudget(plenty)
		read, err := All(iotest.HalfReader(bytes.NewReader(sent)), budget)
		must.NoError(t, err)
		must.True(t, bytes.Equal(sent, read))
		must.Eq(t, plenty-int64(length), budget.free.Load())
	}
}

// TestStatedAndNotSent (FAULT): memory is taken for what has arrived, and not for what was stated.
func TestStatedAndNotSent(t *testing.T) {
	const stated = 1 << 62 // more than any machine has
	for _, sent := range lengths {
		budget := NewBudget(plenty)
		_, err := Exactly(bytes.NewReader(make([]byte, sent)), stated, budget)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.Eq(t, plenty, budget.free.Load())
	}
}

// TestCutOff: a body that its reader knows to be cut off is an error, however much of it has come.
func TestCutOff(t *testing.T) {
	for _, length := range lengths {
		budget := NewBudget(plenty)
		cut := io.MultiReader(bytes.NewReader(make([]byte, length)), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, err := All(cut, budget)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.Eq(t, plenty, budget.free.Load())
	}
}

// TestNoRoom: a body that does not fit into the budget is an error and leaves the budget as it was.
func TestNoRoom(t *testing.T) {
	const room = 3 * firstBytes
	sent := make([]byte, 2*room)
	budget := NewBudget(room)
	_, err := Exactly(bytes.NewReader(sent), int64(len(sent)), budget)
	must.ErrorIs(t, err, ErrNoRoom)
	must.Eq(t, room, budget.free.Load())
	_, err = All(bytes.NewReader(sent), budget)
	must.ErrorIs(t, err, ErrNoRoom)
	must.Eq(t, room, budget.free.Load())
	broken := errors.New("broken")
	_, err = All(iotest.ErrReader(broken), budget)
	must.ErrorIs(t, err, broken)
	must.Eq(t, room, budget.free.Load())
	read, err := Exactly(bytes.NewReader(sent), room, budget)
	must.NoError(t, err)
	budget.Release(int64(len(read)))
	must.Eq(t, room, budget.free.Load())
}
