package logwriter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// gate is a file that takes nothing until it is opened.
type gate struct {
	entered chan struct{}
	open    chan struct{}
	text    strings.Builder
}

func newGate() *gate { return &gate{entered: make(chan struct{}, 1), open: make(chan struct{})} }

func (g *gate) Write(batch []byte) (int, error) {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.open
	return g.text.Write(batch)
}

func notice(dropped int) []byte { return fmt.Appendf(nil, "dropped %d\n", dropped) }

// TestFullFileHoldsNobodyUp: while the file takes nothing, lines are queued up to a bound, and further ones are counted and dropped.
func TestFullFileHoldsNobodyUp(t *testing.T) {
	file := newGate()
	w := New(file, notice)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	w.Write(line)
	<-file.entered // the first line is being written
	const fit = maxQueuedBytes / 1024
	for range fit + 3 {
		n, err := w.Write(line)
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	must.ErrorIs(t, w.Sync(), ErrNotWritten)
	close(file.open)
	must.NoError(t, w.Sync())
	w.Write([]byte("last\n"))
	must.NoError(t, w.Sync())
	must.Eq(t, strings.Repeat(string(line), 1+fit)+"dropped 3\nlast\n", file.text.String())
}

// TestLinesKeepTheirOrder: lines are written once each, in order, whatever the file's pace.
func TestLinesKeepTheirOrder(t *testing.T) {
	file := newGate()
	close(file.open)
	w := New(file, notice)
	var want strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&want, "line %d\n", i)
		fmt.Fprintf(w, "line %d\n", i)
	}
	must.NoError(t, w.Sync())
	must.Eq(t, want.String(), file.text.String())
}
