package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// constantTime returns service times that are all the same.
func constantTime(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// startActiveGates returns the gates of a node that is the gate of the pool.
func startActiveGates(t *testing.T, upstreams []*standin.Upstream) *Gates {
	t.Helper()
	g := startGates(t, "vm-1", upstreams)
	g.Acquire(context.Background(), "orders", nil)
	if !g.lookup("orders").awaitAcquired(t.Context()) {
		t.Fatal("the pool was not acquired")
	}
	return g
}

// keepServing sends requests from some callers for a time, and ticks as a node does. It
// returns how many ran.
func keepServing(g *Gates, callers int, duration time.Duration) (ran int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for caller := range callers {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				reply := serveRequest(g, fmt.Sprintf("%p-%d-%d", &mu, caller, i))
				mu.Lock()
				if reply.GetRun() == wire.RunStatus_RUN_STATUS_RAN {
					ran++
				}
				mu.Unlock()
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		g.Tick(context.Background(), time.Now())
	}
	group.Wait()
	return ran
}

// TestToldLeavingCountsBeforeTheNextAttempt: the reply that tells that an upstream leaves
// frees a slot; no waiting request may get it.
func TestToldLeavingCountsBeforeTheNextAttempt(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{ServiceTime: constantTime(20 * time.Millisecond)})
	upstreams[0].TellLeaving()
	g := startActiveGates(t, upstreams)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() { serveRequest(g, fmt.Sprint(i)) })
	}
	group.Wait()
	if got := len(upstreams[0].Executions()); got != 1 {
		t.Errorf("%d requests ran at the leaving upstream, want the first one only", got)
	}
}

// TestSheddingUpstreamGetsNothing: an upstream that names a time gets nothing for so long,
// and requests afterwards. The other one serves all of them.
func TestSheddingUpstreamGetsNothing(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{ServiceTime: constantTime(5 * time.Millisecond)})
	upstreams[0].InjectFaults(standin.UpstreamFaults{Shed: true, RetryAfter: 2500 * time.Millisecond})
	g := startActiveGates(t, upstreams)
	ran := keepServing(g, 4, 2200*time.Millisecond)
	upstreams[0].InjectFaults(standin.UpstreamFaults{})
	keepServing(g, 4, 1200*time.Millisecond)
	t.Logf("%d ran, %d unwanted", ran, upstreams[0].Unwanted())
	if got := upstreams[0].Unwanted(); got > 0 {
		t.Errorf("%d requests came although the upstream wanted none", got)
	}
	if len(upstreams[0].Executions()) == 0 || ran == 0 {
		t.Errorf("%d requests ran meanwhile, and %d at the upstream afterwards", ran, len(upstreams[0].Executions()))
	}
}

// TestStateNamesDelay: an upstream that names a time in its state gets nothing, and the
// next process at its address is used at once.
func TestStateNamesDelay(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	upstreams[0].InjectFaults(standin.UpstreamFaults{StateRetryAfter: time.Hour})
	g := startActiveGates(t, upstreams)
	keepServing(g, 2, 300*time.Millisecond)
	if got := len(upstreams[0].Executions()); got > 0 {
		t.Errorf("%d requests ran at the upstream", got)
	}
	upstreams[0].InjectFaults(standin.UpstreamFaults{})
	upstreams[0].Restart()
	keepServing(g, 2, 1500*time.Millisecond)
	if len(upstreams[0].Executions()) == 0 {
		t.Error("the next process gets nothing")
	}
}

// TestNewDocumentForgetsNothingTold: what an upstream told holds also when a new document
// changes the limits of its service.
func TestNewDocumentForgetsNothingTold(t *testing.T) {
	for name, tell := range map[string]func(u *standin.Upstream){
		"leaving": (*standin.Upstream).TellLeaving,
		"delay":   func(u *standin.Upstream) { u.InjectFaults(standin.UpstreamFaults{Shed: true, RetryAfter: time.Hour}) },
	} {
		t.Run(name, func(t *testing.T) {
			upstreams := startUpstreams(t, standin.UpstreamConfig{})
			tell(upstreams[0])
			g := startActiveGates(t, upstreams)
			keepServing(g, 2, 100*time.Millisecond)
			upstreams[0].InjectFaults(standin.UpstreamFaults{})
			before := len(upstreams[0].Executions())
			text := fmt.Sprintf(testDocument, testSlots+1, testConnections, upstreams[0].Address(), upstreams[1].Address())
			parsed, err := document.Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			g.Apply(parsed)
			ran := keepServing(g, 2, 300*time.Millisecond)
			if got := len(upstreams[0].Executions()) - before; got > 0 || ran == 0 {
				t.Errorf("%d requests ran at the upstream, %d altogether", got, ran)
			}
		})
	}
}

// TestRequestThatNoUpstreamWants: a request is refused at once if all upstreams leave or
// want none until after its deadline, and waits if one wants some again before that.
func TestRequestThatNoUpstreamWants(t *testing.T) {
	for _, test := range []struct {
		name  string
		tell  func(u *standin.Upstream)
		waits bool
	}{
		{"leaving", (*standin.Upstream).Leave, false},
		{"hour", func(u *standin.Upstream) {
			u.InjectFaults(standin.UpstreamFaults{Shed: true, RetryAfter: time.Hour})
		}, false},
		{"shortly", func(u *standin.Upstream) {
			u.InjectFaults(standin.UpstreamFaults{Shed: true, RetryAfter: 700 * time.Millisecond})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstreams := startUpstreams(t, standin.UpstreamConfig{})
			for _, u := range upstreams {
				test.tell(u)
			}
			g := startActiveGates(t, upstreams)
			// The first request is tried at both.
			serveRequest(g, "first")
			if leaving, backingOff := g.CountUnused(time.Now()); leaving+backingOff != len(upstreams) {
				t.Fatalf("%d leave and %d back off", leaving, backingOff)
			}
			for _, u := range upstreams {
				u.InjectFaults(standin.UpstreamFaults{})
			}
			start := time.Now()
			done := make(chan struct{})
			go func() {
				defer close(done)
				keepServing(g, 0, 1500*time.Millisecond)
			}()
			reply := serveRequest(g, "second")
			took := time.Since(start)
			<-done
			t.Logf("%s %s after %s", reply.GetRun(), reply.GetReason(), took)
			if ran := reply.GetRun() == wire.RunStatus_RUN_STATUS_RAN; ran != test.waits {
				t.Errorf("got %v, want that it ran: %t", reply, test.waits)
			}
			if test.waits && took < 400*time.Millisecond {
				t.Errorf("it ran after %s, before an upstream wanted requests", took)
			}
			if !test.waits && (took > noUpstreamTimeout/2 || reply.GetReason() != string(answer.CodeNoUpstream)) {
				t.Errorf("got %s after %s, want noUpstream at once", reply.GetReason(), took)
			}
		})
	}
}

// TestLoadsOfOtherUpstreams: upstreams that send no load, one without the delay, or an odd
// value in its place are served from as before.
func TestLoadsOfOtherUpstreams(t *testing.T) {
	for _, load := range []string{
		`, "load": null`, ``, `, "load": {"inFlight": 1, "queued": 0}`,
		`, "load": {"inFlight": 1, "retryAfterMillis": "soon"}`, `, "load": {"retryAfterMillis": -1.5, "queued": 2}`,
		`, "load": {"retryAfterMillis": 3600000}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				fmt.Fprint(w, `{"incarnation": "1", "healthy": true}`)
				return
			}
			var request upstream.Request
			if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
				t.Error(err)
			}
			fmt.Fprintf(w, `{"requestId": %q, "attempt": %q, "shard": %q, "outcome": "done"%s, "end": 0}`, request.RequestID, request.Attempt, request.Shard, load)
		}))
		address := strings.TrimPrefix(server.URL, "http://")
		g := startGatesOf(t, "vm-1", address, "127.0.0.1:1")
		g.Acquire(context.Background(), "orders", nil)
		for i := range 5 {
			if reply := serveRequest(g, fmt.Sprint(i)); reply.GetRun() != wire.RunStatus_RUN_STATUS_RAN {
				t.Errorf("%s: got %v", load, reply)
			}
		}
		if leaving, backingOff := g.CountUnused(time.Now()); leaving+backingOff > 0 {
			t.Errorf("%s: %d leave and %d back off", load, leaving, backingOff)
		}
		server.Close()
	}
}

// TestLogsNameTheDecidingReply: the line that tells why an upstream gets nothing names the
// reply, its age and outcome, and the number of those that are left.
func TestLogsNameTheDecidingReply(t *testing.T) {
	for _, test := range []struct {
		name string
		tell func(u *standin.Upstream)
		want string
	}{
		{"upstreamLeaving", (*standin.Upstream).TellLeaving, `"source"="reply" "outcome"="done" "ageMs"=\d+ "usable"=1 "linesSkipped"=0`},
		{
			"upstreamBacksOff", func(u *standin.Upstream) {
				u.InjectFaults(standin.UpstreamFaults{Shed: true, RetryAfter: time.Hour})
			},
			`"source"="reply" "outcome"="shed" "ageMs"=\d+ "usable"=1 "retryAfterMs"=3600000 "unusedMs"=36\d{5} "linesSkipped"=0`,
		},
		{"upstreamLeaving", (*standin.Upstream).AnnounceLeaving, `"source"="state" "ageMs"=\d+ "usable"=1 "linesSkipped"=0`},
	} {
		upstreams := startUpstreams(t, standin.UpstreamConfig{})
		test.tell(upstreams[0])
		var mu sync.Mutex
		var lines []string
		log := funcr.New(func(_, line string) {
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(line, test.name) {
				lines = append(lines, line)
			}
		}, funcr.Options{})
		g := startGates(t, "vm-1", upstreams)
		g.config.Recorder = timeline.NewRecorder("vm-1", log)
		g.Acquire(context.Background(), "orders", nil)
		keepServing(g, 2, 200*time.Millisecond)
		mu.Lock()
		pattern := fmt.Sprintf(`"service"="orders" "upstream"="%s" ("requestID"="[^"]+" )?%s`, upstreams[0].Address(), test.want)
		if len(lines) != 1 || !regexp.MustCompile(pattern).MatchString(lines[0]) {
			t.Errorf("%q, want one line with %s", lines, pattern)
		}
		if strings.Contains(test.want, "reply") != strings.Contains(strings.Join(lines, ""), "requestID") {
			t.Errorf("%q: only a reply has a request", lines)
		}
		mu.Unlock()
	}
}
