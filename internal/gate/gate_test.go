package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// Sizes of the tests' service.
const (
	testSlots       = 2
	testConnections = 12
)

// startGates returns gates of a node with one pool over the upstreams.
func startGates(t *testing.T, vm string, upstreams []*standin.Upstream) *Gates {
	t.Helper()
	text := fmt.Sprintf(`name = "test"
[[rank]]
name = "urgent"
[[pool]]
name = "orders"
slots = %d
connections = %d
upstreams = [%q, %q]
[[kind]]
name = "order"
rank = "urgent"
pool = "orders"
deadline = "5s"
hedge = "0%%"
`, testSlots, testConnections, upstreams[0].Address(), upstreams[1].Address())
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g := New(Config{VM: vm, Recorder: timeline.NewRecorder(vm, logr.Discard()), Mode: Gated, Seed: 1})
	g.Apply(parsed)
	return g
}

func startUpstreams(t *testing.T, config standin.UpstreamConfig) []*standin.Upstream {
	t.Helper()
	upstreams := make([]*standin.Upstream, 2)
	for i := range upstreams {
		config.Address = "127.0.0.1:0"
		u, err := standin.StartUpstream(config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Close)
		upstreams[i] = u
	}
	return upstreams
}

func ask(g *Gates, id string) (reply *wire.SubReply) {
	batch := &wire.Batch{
		RequestId:       id,
		Kind:            "order",
		RemainingMicros: (5 * time.Second).Microseconds(),
		Query:           []byte(id),
		SubRequests:     []*wire.SubRequest{{Service: "orders"}},
	}
	g.Serve(context.Background(), batch, false, func(sub *wire.SubReply) { reply = sub })
	return reply
}

// TestHandoverKeepsLimits hands a service to and fro between two nodes under
// load: the upstreams never see more than their slots and connections.
func TestHandoverKeepsLimits(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{
		ServiceTime: func(random *rand.Rand) time.Duration {
			return time.Duration(1+random.IntN(10)) * time.Millisecond
		},
	})
	gates := [2]*Gates{startGates(t, "vm-1", upstreams), startGates(t, "vm-2", upstreams)}
	ctx := context.Background()
	gates[0].Acquire(ctx, "orders", nil)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for worker := range 12 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					ask(gates[(worker+i)%2], fmt.Sprintf("%d-%d", worker, i))
				}
			}
		})
	}
	const handovers = 30
	for i := range handovers {
		old, fresh := gates[i%2], gates[(i+1)%2]
		fresh.Acquire(ctx, "orders", func(context.Context) ([]*wire.InFlight, error) { return old.Release("orders"), nil })
		time.Sleep(30 * time.Millisecond)
		now := time.Now()
		old.Tick(ctx, now)
		fresh.Tick(ctx, now)
	}
	close(stop)
	group.Wait()
	ran := 0
	for _, u := range upstreams {
		inFlight, connections := u.Peaks()
		ran += len(u.Executions())
		if inFlight > testSlots || connections > testConnections {
			t.Errorf("an upstream saw %d in progress and %d connections, its limits are %d and %d", inFlight, connections, testSlots, testConnections)
		}
	}
	if ran < handovers {
		t.Errorf("only %d requests ran over %d handovers", ran, handovers)
	}
}

// TestNotGate: a node that does not hold a service runs nothing of it.
func TestNotGate(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	if reply := ask(g, "1"); reply.GetRun() != wire.RunStatus_RUN_STATUS_NOT_RUN || reply.GetReason() != string(answer.CodeNotGate) {
		t.Errorf("%v", reply)
	}
	g.Acquire(context.Background(), "orders", nil)
	if reply := ask(g, "2"); reply.GetRun() != wire.RunStatus_RUN_STATUS_RAN {
		t.Errorf("%v", reply)
	}
	g.StepDown("orders")
	if reply := ask(g, "3"); reply.GetReason() != string(answer.CodeNotGate) {
		t.Errorf("%v", reply)
	}
	if ran := len(upstreams[0].Executions()) + len(upstreams[1].Executions()); ran != 1 {
		t.Errorf("%d requests ran", ran)
	}
}

// TestDeadPoolIsNotRun: without an upstream a request did not run, and says so.
func TestDeadPoolIsNotRun(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	for _, u := range upstreams {
		u.Close()
	}
	g.Acquire(context.Background(), "orders", nil)
	stop := make(chan struct{})
	defer close(stop)
	go tickLoop(g, stop)
	if reply := ask(g, "1"); reply.GetRun() != wire.RunStatus_RUN_STATUS_NOT_RUN {
		t.Errorf("%v", reply)
	}
}

func tickLoop(g *Gates, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			g.Tick(context.Background(), time.Now())
		}
	}
}

// FuzzReply: no body of an upstream leads to a panic, and only one that is
// whole and belongs to the attempt is taken for a result.
func FuzzReply(f *testing.F) {
	f.Add([]byte(`{"requestId":"r","attempt":"r/orders/vm-1/1","shard":"orders","outcome":"done","records":["x"],"end":1}`))
	f.Add([]byte(`{"requestId":"r","attempt":"r/orders/vm-1/1","shard":"orders","outcome":"shed","end":0}`))
	f.Add([]byte(`{"outcome":"done","end":0}`))
	f.Add([]byte(`null`))
	parsed, err := document.Parse([]byte("name=\"t\"\n[[rank]]\nname=\"u\"\n[[pool]]\nname=\"orders\"\nslots=1\nconnections=3\nupstreams=[\"127.0.0.1:1\"]\n[[kind]]\nname=\"order\"\nrank=\"u\"\npool=\"orders\"\ndeadline=\"1s\"\n"))
	if err != nil {
		f.Fatal(err)
	}
	g := New(Config{VM: "vm-1", Recorder: timeline.NewRecorder("vm-1", logr.Discard()), Mode: Gated})
	g.Apply(parsed)
	f.Fuzz(func(t *testing.T, body []byte) {
		reply := &upstream.Reply{}
		if json.Unmarshal(body, reply) != nil {
			return
		}
		a := &attempt{service: g.get("orders"), work: &work{batch: &wire.Batch{RequestId: "r"}}, number: 1}
		var result attemptResult
		a.judge(context.Background(), reply, nil, &result)
		whole := reply.End != nil && *reply.End == len(reply.Records)
		own := reply.RequestID == "r" && reply.Attempt == a.id() && reply.Shard == "orders" && reply.Version == 0
		if result.reply != nil && !(whole && own && reply.Outcome == upstream.Done) {
			t.Fatalf("%s was taken for a result", body)
		}
		if !result.mayHaveRun && result.reply == nil && !(whole && own) {
			t.Fatalf("%s was taken for a statement that the request did not run", body)
		}
	})
}
