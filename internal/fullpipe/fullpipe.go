// Package fullpipe gives tests a pipe that nobody reads and that takes no more, as the log of a program whose reader stands still.
package fullpipe

import (
	"errors"
	"os"
	"testing"
	"time"
)

// stallWait is the time without progress after which the pipe counts as full.
const stallWait = 100 * time.Millisecond

// New returns the end of the pipe to which a program would write.
func New(t testing.TB) *os.File {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	if err := writer.SetWriteDeadline(time.Now().Add(stallWait)); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = writer.Write(make([]byte, os.Getpagesize()))
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return writer
}
