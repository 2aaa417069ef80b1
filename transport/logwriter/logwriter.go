// Package logwriter writes the log of a program to a file that may not take it: a pipe whose reader is slow or has stopped. The
// program never waits for the file. It makes no decisions of its own.
package logwriter

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	maxQueuedBytes = 256 << 10              // lines that would exceed this are dropped
	syncTimeout    = 500 * time.Millisecond // longest time that the end of a program waits for its last lines
)

// ErrNotWritten is returned by Sync if the file has not taken all lines in time.
var ErrNotWritten = errors.New("logwriter: lines are not written yet")

// Writer queues lines and writes them in a goroutine of its own. Its methods may be called from any goroutine.
type Writer struct {
	file   io.Writer
	notice func(dropped int) []byte

	mu       sync.Mutex
	queued   []byte
	spare    []byte // the queue's other buffer, which is being written or free
	dropped  int    // lines dropped since the last notice
	draining bool   // drain is running
	drained  []chan struct{}
}

// New returns a writer to a file. Where lines were dropped, the line that notice returns stands in their place.
func New(file io.Writer, notice func(dropped int) []byte) *Writer {
	return &Writer{file: file, notice: notice}
}

// Write queues a line, or drops it where too many are queued. It never fails.
//
// Danger: a pipe takes 64 KB while nobody reads it. A program that wrote its log by itself would then stand still, serve nobody and
// not end at SIGTERM either.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queued)+len(line) > maxQueuedBytes {
		w.dropped++
		return len(line), nil
	}
	w.queued = append(w.queued, line...)
	if !w.draining {
		w.draining = true
		go w.drain()
	}
	return len(line), nil
}

// drain writes until the queue is empty. Errors of the file are ignored: there is nowhere to report them.
func (w *Writer) drain() {
	for batch := w.take(); batch != nil; batch = w.take() {
		w.file.Write(batch)
	}
}

// take returns the queued lines, or nil if there are none; then drain is over. The result is valid until the next call.
func (w *Writer) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queued) == 0 {
		w.draining = false
		for _, done := range w.drained {
			close(done)
		}
		w.drained = nil
		return nil
	}
	batch := w.queued
	if w.dropped > 0 { // lines are dropped while the queue is full, so they are missing after what it holds
		batch = append(batch, w.notice(w.dropped)...)
		w.dropped = 0
	}
	w.queued, w.spare = w.spare[:0], batch
	return batch
}

// Sync waits until all lines are written, though not for long.
func (w *Writer) Sync() error {
	w.mu.Lock()
	if !w.draining {
		w.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	w.drained = append(w.drained, done)
	w.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-time.After(syncTimeout):
		return ErrNotWritten
	}
}
