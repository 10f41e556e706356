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

// Writer is an io.Writer that never blocks. It is safe for concurrent use; Close must be
// called once.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the lines dropped since the last logLinesDropped line.
	dropped atomic.Int64
	// closing is closed by Close. Lines that are written later are lost.
	closing chan struct{}
	// done is closed when run has ended.
	done chan struct{}
}

// New returns a writer to out and starts its goroutine, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
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

// run writes the queued lines to the output until the writer is closed and no line is
// left.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.writeRest()
			return
		}
	}
}

// writeRest writes the lines that are queued already.
func (w *Writer) writeRest() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line to the output. Errors are ignored, because there is nowhere
// else to report them.
func (w *Writer) writeLine(line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "msg=logLinesDropped lines=%d\n", dropped)
	}
	_, _ = w.out.Write(line)
}

// Close waits until the queued lines are written, for at most the timeout. Lines that
// other goroutines write during or after Close may be lost.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
