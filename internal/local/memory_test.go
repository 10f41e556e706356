package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// Sizes of the tests of memory.
const (
	// smallMemory is the memory of a small VM.
	smallMemory = 71 * memory.Megabyte
	// holdingCallers is the number of callers that hold back the end of a body.
	holdingCallers = 300
	// memoryLoadTime is how long they keep the node busy.
	memoryLoadTime = 3 * time.Second
	// soundTimeout is how long other callers wait for an answer, and soundShare the share of
	// them that must get one.
	soundTimeout = 1500 * time.Millisecond
	soundShare   = 0.99
)

// holdBodies sends all but the end of the longest body, over one connection after the other,
// until it is stopped.
func holdBodies(address string, body []byte, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		dialer := net.Dialer{Timeout: soundTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 3)}}
		conn, err := dialer.Dial("tcp4", address)
		if err != nil {
			continue
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.SetDeadline(time.Now().Add(memoryLoadTime))
		if _, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", entry.QueryPath, len(body)+1); err == nil {
			if _, err = conn.Write(body); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
		}
		_ = conn.Close()
	}
}

// memoryLoad keeps a small node busy and asks it meanwhile as other callers do.
type memoryLoad struct {
	t      *testing.T
	system *System
	stop   chan struct{}
	// callers are those that keep the node busy until stop is closed.
	callers sync.WaitGroup
}

func newMemoryLoad(t *testing.T, lines []byte) *memoryLoad {
	s, err := Start(context.Background(), Config{
		Document: SearchDocument(2, 2), Contents: SearchContents(standin.SplitLines(lines), 2),
		Nodes: 1, Zones: 1, Memory: smallMemory, Seed: 1, Log: logr.Discard(),
	})
	t.Cleanup(s.Stop)
	if err != nil {
		t.Fatal(err)
	}
	return &memoryLoad{t: t, system: s, stop: make(chan struct{})}
}

// check checks that the heap keeps to the memory of the node while its callers keep it busy,
// and that others are served.
func (l *memoryLoad) check(start func(address string, stop <-chan struct{}, done *sync.WaitGroup), count int) {
	l.t.Helper()
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	address := l.system.Addresses()[0]
	for range count {
		l.callers.Add(1)
		go start(address, l.stop, &l.callers)
	}
	client := &http.Client{Timeout: soundTimeout}
	asked, served, peak := 0, 0, uint64(0)
	for begun := time.Now(); time.Since(begun) < memoryLoadTime; time.Sleep(20 * time.Millisecond) {
		asked++
		response, err := client.Post("http://"+address+entry.QueryPath, "application/json", bytes.NewReader([]byte(`{"kind": "search", "query": "one"}`)))
		if err != nil {
			l.t.Log(err)
			continue
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			served++
		} else {
			l.t.Logf("status %d: %s %v", response.StatusCode, answer, err)
		}
		if asked%20 == 0 {
			runtime.GC()
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc)
		}
	}
	close(l.stop)
	l.callers.Wait()
	grown := memory.Bytes(peak) - memory.Bytes(before.HeapAlloc)
	l.t.Logf("the heap grew by %d MB; %d of %d others were served", grown/memory.Megabyte, served, asked)
	if limit := memory.HeapLimit(smallMemory); grown > limit {
		l.t.Errorf("the heap grew by %d MB, it may have %d", grown/memory.Megabyte, limit/memory.Megabyte)
	}
	if float64(served) < soundShare*float64(asked) {
		l.t.Errorf("%d of %d other requests were served", served, asked)
	}
}

// TestHeldBodiesTakeLittleMemory guards against callers of the query API that send all but the
// end of a long body: what a node holds of them is bounded by its memory, and others are
// served.
func TestHeldBodiesTakeLittleMemory(t *testing.T) {
	body := []byte(`{"kind": "search", "query": "` + strings.Repeat("a", query.MaximumBodyBytes-100))
	newMemoryLoad(t, []byte("one line\n")).check(func(address string, stop <-chan struct{}, done *sync.WaitGroup) {
		holdBodies(address, body, stop, done)
	}, holdingCallers)
}
