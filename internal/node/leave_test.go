package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// plainAdapter is an adapter that only serves callers, with its handler.
type plainAdapter struct {
	handler    http.HandlerFunc
	answerNow  chan struct{}
	inProgress atomic.Int64
}

func (a *plainAdapter) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
func (a *plainAdapter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.handler(w, r)
	})
}
func (a *plainAdapter) Configure(uint64, []byte) error               { return nil }
func (a *plainAdapter) Ready() bool                                  { return true }
func (a *plainAdapter) MarkUpstreamLeaving(string, string)           {}
func (a *plainAdapter) ApplyEvacuated(upstream.EvacuatedZones)       {}
func (a *plainAdapter) Upstreams() upstream.Snapshot                 { return upstream.Snapshot{} }
func (a *plainAdapter) Collectors() []prometheus.Collector           { return nil }
func (a *plainAdapter) Leave(time.Time)                              {}
func (a *plainAdapter) CloseAdmission()                              {}
func (a *plainAdapter) AnswerNow(time.Time)                          { close(a.answerNow) }
func (a *plainAdapter) InProgress() int64                            { return a.inProgress.Load() }
func (a *plainAdapter) CallerTimeouts() (header, idle time.Duration) { return 0, 0 }

// startPlainNode runs a node with the adapter.
func startPlainNode(t *testing.T, a *plainAdapter, grace time.Duration) *Node {
	t.Helper()
	options := DefaultOptions()
	options.VM, options.AvailabilityZone = "vm-0", "zone-0"
	options.CallerAddress, options.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	options.Foreign = &ForeignOptions{}
	options.NewAdapter = func(Host) Adapter { return a }
	options.LeaveTime, options.GracePeriod = 10*time.Millisecond, grace
	n, err := New(options, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.Run(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	return n
}

// TestShortGracePeriodAnswersRequestsInProgress checks that requests in progress are
// answered within the grace period, however short that is.
func TestShortGracePeriodAnswersRequestsInProgress(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			a := &plainAdapter{answerNow: make(chan struct{})}
			started := make(chan struct{})
			a.handler = func(w http.ResponseWriter, _ *http.Request) {
				a.inProgress.Add(1)
				defer a.inProgress.Add(-1)
				close(started)
				<-a.answerNow
				time.Sleep(time.Millisecond)
				w.WriteHeader(http.StatusBadGateway)
			}
			n := startPlainNode(t, a, grace)
			result := make(chan string, 1)
			go func() {
				response, err := http.Get("http://" + n.CallerAddress())
				if err != nil {
					result <- err.Error()
					return
				}
				defer response.Body.Close()
				result <- response.Status
			}()
			<-started
			if err := n.Leave(context.Background()); err != nil {
				t.Fatal(err)
			}
			if got := <-result; got != "502 Bad Gateway" {
				t.Errorf("the request in progress ended with %q, want 502", got)
			}
		})
	}
}

// TestSlowReaderGetsItsAnswerWithinTheGracePeriod checks that an answer that is being
// written is not cut while the grace period lasts.
func TestSlowReaderGetsItsAnswerWithinTheGracePeriod(t *testing.T) {
	const length, pause = 64 << 20, 3 * time.Second
	a := &plainAdapter{answerNow: make(chan struct{})}
	a.handler = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(length))
		_, _ = w.Write(make([]byte, length))
	}
	n := startPlainNode(t, a, 30*time.Second)
	c, err := net.Dial("tcp4", n.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now()
	go func() { _ = n.Leave(context.Background()) }()
	time.Sleep(pause)
	got, err := io.Copy(io.Discard, c)
	if got < length {
		t.Errorf("%d of %d bytes, read %s after the stop with 30 s of grace: %v", got, length, time.Since(stopped).Round(time.Millisecond), err)
	}
}

// TestInterruptBeforeTheNodeRuns checks that signals that arrive while the node is built
// end it in order.
func TestInterruptBeforeTheNodeRuns(t *testing.T) {
	a := &plainAdapter{answerNow: make(chan struct{})}
	options := DefaultOptions()
	options.VM, options.AvailabilityZone = "vm-0", "zone-0"
	options.CallerAddress, options.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	options.Foreign = &ForeignOptions{}
	options.NewAdapter = func(Host) Adapter { return a }
	n, err := New(options, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if p := recover(); p != nil {
			t.Errorf("Stop before Run: %v", p)
		}
	}()
	n.Stop()
}
