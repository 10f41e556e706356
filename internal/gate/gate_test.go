package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
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

// Limits of each upstream in the tests.
const (
	testSlots       = 2
	testConnections = 12
)

// testDocument is a document with one pool of two upstreams; the verbs stand for their
// slots, connections and addresses.
const testDocument = `name = "test"
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
`

// startGates returns the gates of a node whose document has one pool with two
// upstreams.
func startGates(t *testing.T, vm string, upstreams []*standin.Upstream) *Gates {
	t.Helper()
	return startGatesOf(t, vm, upstreams[0].Address(), upstreams[1].Address())
}

// startGatesOf is startGates for the upstreams at two addresses.
func startGatesOf(t *testing.T, vm, first, second string) *Gates {
	t.Helper()
	text := fmt.Sprintf(testDocument, testSlots, testConnections, first, second)
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

// serveRequest serves one request for the pool and returns its reply.
func serveRequest(g *Gates, id string) (reply *wire.SubReply) {
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

// TestHandoverKeepsLimits moves a service back and forth between two nodes under
// load. It guards against a new gate that ignores its predecessor's requests in
// flight and so exceeds the slots or connections of an upstream.
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
					serveRequest(gates[(worker+i)%2], fmt.Sprintf("%d-%d", worker, i))
				}
			}
		})
	}
	const handovers = 30
	for i := range handovers {
		old, fresh := gates[i%2], gates[(i+1)%2]
		fresh.Acquire(ctx, "orders", NewAskPredecessor(fresh.config.VM, old.config.VM, func(_ context.Context, _ string, release bool) ([]*wire.InFlight, error) {
			if release {
				return old.Release("orders", fresh.config.VM), nil
			}
			return old.InFlight("orders"), nil
		}))
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
			t.Errorf("an upstream saw %d requests in flight and %d connections, its limits are %d and %d", inFlight, connections, testSlots, testConnections)
		}
	}
	if ran < handovers {
		t.Errorf("only %d requests ran over %d handovers", ran, handovers)
	}
}

// TestNotGate checks that a node runs requests for a service only while it is the
// gate of the service.
func TestNotGate(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	if reply := serveRequest(g, "1"); reply.GetRun() != wire.RunStatus_RUN_STATUS_NOT_RUN || reply.GetReason() != string(answer.CodeNotGate) {
		t.Errorf("without the gate role: got %v, want not run with reason notGate", reply)
	}
	g.Acquire(context.Background(), "orders", nil)
	if reply := serveRequest(g, "2"); reply.GetRun() != wire.RunStatus_RUN_STATUS_RAN {
		t.Errorf("after Acquire: got %v, want run status ran", reply)
	}
	g.StepDown("orders")
	if reply := serveRequest(g, "3"); reply.GetReason() != string(answer.CodeNotGate) {
		t.Errorf("after StepDown: got %v, want reason notGate", reply)
	}
	if ran := len(upstreams[0].Executions()) + len(upstreams[1].Executions()); ran != 1 {
		t.Errorf("%d requests ran, want 1", ran)
	}
}

// TestDeadPoolIsNotRun checks that a request is reported as not run if no upstream
// accepts connections.
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
	if reply := serveRequest(g, "1"); reply.GetRun() != wire.RunStatus_RUN_STATUS_NOT_RUN {
		t.Errorf("with all upstreams closed: got %v, want not run", reply)
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

// FuzzReply checks that no reply body causes a panic, and that only a complete
// reply to this attempt is accepted as a result or as proof that the request did
// not run.
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
		a := &attempt{service: g.lookup("orders"), subRequest: &subRequest{batch: &wire.Batch{RequestId: "r"}}, number: 1}
		var result attemptResult
		a.classify(context.Background(), reply, nil, &result)
		whole := reply.End != nil && *reply.End == len(reply.Records)
		own := reply.RequestID == "r" && reply.Attempt == a.id() && reply.Shard == "orders" && reply.Version == 0
		if result.reply != nil && !(whole && own && reply.Outcome == upstream.Done) {
			t.Fatalf("the reply %s was accepted as a result", body)
		}
		if !result.mayHaveRun && result.reply == nil && !(whole && own) {
			t.Fatalf("the reply %s was accepted as proof that the request did not run", body)
		}
	})
}

// TestDocumentChangesDuringAcquisition: a service whose definition changes while the
// node acquires it is acquired by the next call of Acquire.
func TestDocumentChangesDuringAcquisition(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Acquire(ctx, "orders", blockedPredecessor)
	changed := *g.document
	changed.Services = slices.Clone(changed.Services)
	changed.Services[0].Limits.Slots++
	g.Apply(&changed)
	g.Acquire(ctx, "orders", nil)
	waiting, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	if !g.lookup("orders").awaitAcquired(waiting) {
		t.Error("the service is not acquired")
	}
}

// blockedPredecessor doesn't answer before its call is given up.
func blockedPredecessor(ctx context.Context, _ bool) ([]*wire.InFlight, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestBrokenOffAcquisition: an acquisition that a step down broke off doesn't
// complete the next one, whose predecessor may still use slots.
func TestBrokenOffAcquisition(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answer := make(chan struct{})
	g.Acquire(ctx, "orders", func(context.Context, bool) ([]*wire.InFlight, error) {
		<-answer
		return nil, nil
	})
	g.StepDown("orders")
	g.Acquire(ctx, "orders", func(context.Context, bool) ([]*wire.InFlight, error) {
		time.Sleep(handoverTimeout)
		return nil, nil
	})
	close(answer)
	time.Sleep(handoverTimeout / 2)
	if g.lookup("orders").currentRole() == active {
		t.Error("the node is the gate before the predecessor of the second acquisition has answered")
	}
	waiting, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	if !g.lookup("orders").awaitAcquired(waiting) {
		t.Error("the second acquisition does not complete")
	}
}

// TestPredecessorsSlotsAreFreed: the slots that requests of the predecessor used are
// free once these have ended, also for a gate that knows no more than one slot yet.
func TestPredecessorsSlotsAreFreed(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	inFlight := []*wire.InFlight{{Upstream: upstreams[0].Address(), Count: 1}, {Upstream: upstreams[1].Address(), Count: 1}}
	g.Acquire(ctx, "orders", func(_ context.Context, release bool) ([]*wire.InFlight, error) {
		if release {
			return inFlight, nil
		}
		return nil, nil
	})
	if reply := serveRequest(g, "1"); reply.GetRun() != wire.RunStatus_RUN_STATUS_RAN {
		t.Errorf("after the hand-over: got %v, want an answer", reply)
	}
}

// TestReservedSlotsEndWithAcquisition: slots that an acquisition has reserved for its
// predecessor are free in the next one, which has none.
func TestReservedSlotsEndWithAcquisition(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Acquire(ctx, "orders", func(context.Context, bool) ([]*wire.InFlight, error) {
		return []*wire.InFlight{{Upstream: upstreams[0].Address(), Count: 1}, {Upstream: upstreams[1].Address(), Count: 1}}, nil
	})
	if !g.lookup("orders").awaitAcquired(ctx) {
		t.Fatal("the node is not the gate")
	}
	g.StepDown("orders")
	g.Acquire(ctx, "orders", nil)
	if reply := serveRequest(g, "1"); reply.GetRun() != wire.RunStatus_RUN_STATUS_RAN {
		t.Errorf("in the next acquisition: got %v, want an answer", reply)
	}
}

// TestWaitEndsWithBrokenOffAcquisition: who waits for an acquisition that a step down
// breaks off is told at once that the node is not the gate.
func TestWaitEndsWithBrokenOffAcquisition(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g.Acquire(ctx, "orders", blockedPredecessor)
	described := make(chan []*wire.Report)
	go func() { described <- g.Describe(ctx, []string{"orders"}) }()
	time.Sleep(20 * time.Millisecond)
	g.StepDown("orders")
	if reports := <-described; len(reports) > 0 || ctx.Err() != nil {
		t.Errorf("got %v, the context's error is %v", reports, ctx.Err())
	}
}
