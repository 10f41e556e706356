package logqueue

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedReader takes nothing until it is released.
type blockedReader struct {
	release chan struct{}
	got     bytes.Buffer
}

func (b *blockedReader) Write(p []byte) (int, error) {
	<-b.release
	return b.got.Write(p)
}

// TestBlockedReaderDelaysNothing: a reader that takes nothing keeps no writer
// waiting, and the lines that were lost are counted.
func TestBlockedReaderDelaysNothing(t *testing.T) {
	out := &blockedReader{release: make(chan struct{})}
	w := New(out)
	start := time.Now()
	for range 2 * queueLength {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("writing took %s", took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
	close(out.release)
	w.Close(time.Second)
	if !strings.Contains(out.got.String(), "msg=logLinesDropped") {
		t.Error("the log doesn't tell how many lines were dropped")
	}
}
