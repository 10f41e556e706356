package local

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/node"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/caller"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// metricsDocument is a document with one pool of three upstreams.
const metricsDocument = `name = "test"
[[rank]]
name = "urgent"
[[pool]]
name = "orders"
slots = 2
connections = 24
upstreams = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"]
[[kind]]
name = "order"
rank = "urgent"
pool = "orders"
deadline = "2s"
hedge = "0%"
`

// unused returns the sum over all nodes of the metric for a cause.
func (s *System) unused(t *testing.T, cause string) (sum int) {
	t.Helper()
	for _, address := range s.Addresses() {
		response, err := http.Get("http://" + address + node.MetricsPath)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		found := regexp.MustCompile(fmt.Sprintf(`bronzereach_unused_upstreams\{cause=%q\} (\d+)`, cause)).FindSubmatch(text)
		if found == nil {
			t.Fatalf("no metric for %s", cause)
		}
		count, err := strconv.Atoi(string(found[1]))
		if err != nil {
			t.Fatal(err)
		}
		sum += count
	}
	return sum
}

// TestMetricCountsUnusedUpstreams: the gates' nodes count the upstreams that leave or back
// off, each once and by its cause.
func TestMetricCountsUnusedUpstreams(t *testing.T) {
	system, err := Start(context.Background(), Config{Document: []byte(metricsDocument), Nodes: 2, Zones: 1, Seed: 1, Log: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	defer system.Stop()
	if leaving, backingOff := system.unused(t, "leaving"), system.unused(t, "backingOff"); leaving+backingOff > 0 {
		t.Errorf("%d leave and %d back off at first", leaving, backingOff)
	}
	upstreams := system.Upstreams["orders"]
	upstreams[0].TellLeaving()
	upstreams[1].InjectFaults(standin.UpstreamFaults{Shed: true, RetryAfter: time.Hour})
	client := caller.New(caller.Config{Seeds: system.Addresses()})
	for range 50 {
		if _, err := client.Query(t.Context(), query.Request{Kind: "order", Query: query.Text("x")}); err != nil {
			t.Fatal(err)
		}
	}
	if leaving, backingOff := system.unused(t, "leaving"), system.unused(t, "backingOff"); leaving != 1 || backingOff != 1 {
		t.Errorf("%d leave and %d back off, want 1 and 1", leaving, backingOff)
	}
}
