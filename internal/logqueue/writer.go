// Package logqueue writes log lines asynchronously, so that slow log output never
// blocks the code that logs. Lines pass through a bounded queue; lines that do not
// fit are dropped and counted.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueLength is the number of lines that are buffered for a slow output.
const queueLength = 1024

// Writer is an io.Writer that never blocks. It is safe for concurrent use, except
// that Close must come after the last Write.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the lines dropped since the last logLinesDropped line.
	dropped atomic.Int64
	// done is closed when run has ended.
	done chan struct{}
}

// New returns a writer to out and starts its goroutine, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line. It never fails: if the queue is full, the line
// is dropped and counted in a later logLinesDropped line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last logLinesDropped line.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// run writes the queued lines to the output. Write errors are ignored, because
// there is nowhere else to report them.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "msg=logLinesDropped lines=%d\n", dropped)
		}
		_, _ = w.out.Write(line)
	}
}

// Close waits until the queued lines are written, for at most the timeout. Write
// must not be called during or after Close.
func (w *Writer) Close(timeout time.Duration) {
	close(w.lines)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
