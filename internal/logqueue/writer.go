// Package logqueue writes log lines without ever making the writer of a line
// wait: lines go through a bounded queue, and what doesn't fit is counted.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueLength is the number of lines that wait for a slow reader.
const queueLength = 1024

// Writer is an io.Writer that never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer to out and starts it. Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails: a line that finds no room is dropped and
// counted in a later one.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last report of them.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// run writes the queue. A line that can't be written has no other reader.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "msg=logLinesDropped lines=%d\n", dropped)
		}
		_, _ = w.out.Write(line)
	}
}

// Close writes what is queued, for at most the given time. Nothing may be
// written afterwards.
func (w *Writer) Close(patience time.Duration) {
	close(w.lines)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
