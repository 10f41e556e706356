package logqueue

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.written.Write(p)
}

// TestBlockedOutputDelaysNothing checks that Write returns at once while the output
// blocks, and that the dropped lines are counted in the log.
func TestBlockedOutputDelaysNothing(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	start := time.Now()
	for range 2 * queueLength {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("writing to a blocked output took %s, want at most 1s", took)
	}
	if w.Dropped() == 0 {
		t.Error("Dropped() = 0 after writing more lines than the queue holds")
	}
	close(out.release)
	w.Close(time.Second)
	if !strings.Contains(out.written.String(), "msg=logLinesDropped") {
		t.Error("the log contains no logLinesDropped line")
	}
}
