package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// rejoinDocument has one kind that must run at most once.
const rejoinDocument = `name = "rejoin"
[[rank]]
name = "urgent"
[[pool]]
name = "orders"
slots = 1
connections = 6
upstreams = [%q]
[[kind]]
name = "order"
rank = "urgent"
pool = "orders"
deadline = "2s"
repeat = false
`

// rejoinCluster is a cluster whose nodes share one upstream for orders.
type rejoinCluster struct {
	t        *testing.T
	platform string
	upstream *standin.Upstream
}

func newRejoinCluster(t *testing.T) *rejoinCluster {
	t.Helper()
	return newClusterWithUpstream(t, standin.UpstreamConfig{Address: "127.0.0.1:0", Slots: 4, Queue: 4})
}

func newClusterWithUpstream(t *testing.T, config standin.UpstreamConfig) *rejoinCluster {
	t.Helper()
	u, err := standin.StartUpstream(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	text := fmt.Sprintf(rejoinDocument, u.Address())
	value, err := promotion.Record{Digest: document.Digest([]byte(text)), Text: text}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	store := standin.NewPlatform(1)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Store(promotion.ConfigKey("rejoin"), value)
	return &rejoinCluster{t: t, platform: server.URL, upstream: u}
}

// start runs a node until stop is called or the test ends.
func (c *rejoinCluster) start(vm, peerAddress string, peers ...string) (n *Node, stop func()) {
	c.t.Helper()
	options := DefaultOptions()
	options.VM, options.AvailabilityZone = vm, "zone"
	options.CallerAddress, options.PeerAddress = "127.0.0.1:0", peerAddress
	options.Platform, options.Environment, options.Peers = c.platform, "rejoin", peers
	n, err := New(options, logr.Discard())
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.Run(ctx) }()
	stop = func() {
		cancel()
		<-n.Done()
	}
	c.t.Cleanup(stop)
	return n, stop
}

// ticket obtains a ticket from a node.
func (c *rejoinCluster) ticket(n *Node) string {
	c.t.Helper()
	response, err := http.Get("http://" + n.CallerAddress() + entry.TicketsPath)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	var batch entry.Tickets
	if err := json.NewDecoder(response.Body).Decode(&batch); err != nil {
		c.t.Fatal(err)
	}
	return batch.Tickets[0]
}

func order(n *Node, text, ticket string) *answer.Answer {
	return n.entry.Answer(context.Background(), query.Request{Kind: "order", Query: query.Text(text), Key: ticket})
}

// claimTold is a claim about another node that this node has heard of.
type claimTold struct {
	claim member.Member
}

func (e claimTold) apply(_ context.Context, c *control, now time.Time) {
	c.table.Merge(now, []member.Member{e.claim})
}

func memberOf(n *Node, vm string) member.Member {
	return n.View().Members[vm]
}

// laterLife returns a claim about a node as a former process of its VM has left it that
// started while the clock was an hour ahead.
func laterLife(n *Node, state member.State) member.Member {
	ahead := uint64(time.Now().Add(time.Hour).UnixNano())
	return n.View().Self.WithIncarnation(ahead).WithRevision(4).WithState(state)
}

// awaitRejoined waits until both nodes know the second one as ready above the claim.
func awaitRejoined(t *testing.T, first, second *Node, claim member.Member) {
	t.Helper()
	await(t, "the node is known as ready above the claim", func() bool {
		select {
		case <-second.Done():
			t.Fatal("the node has ended")
		default:
		}
		known, own := memberOf(first, claim.VM), second.View().Self
		return own.Incarnation > claim.Incarnation && own.State == member.Ready && known == own
	})
}

// TestNodeServesWhosePeersRememberALaterLife: the clock was set right between two starts.
func TestNodeServesWhosePeersRememberALaterLife(t *testing.T) {
	c := newRejoinCluster(t)
	first, _ := c.start("vm-1", "127.0.0.1:0")
	second, _ := c.start("vm-2", "127.0.0.1:0", first.PeerAddress())
	await(t, "the nodes see each other ready", func() bool { return readyMembers(first) == 2 && readyMembers(second) == 2 })
	for i, state := range []member.State{member.Ready, member.Dead} {
		issued := c.ticket(second)
		claim := laterLife(second, state)
		first.control.post(claimTold{claim: claim})
		awaitRejoined(t, first, second, claim)
		text := fmt.Sprint("order ", i)
		for _, n := range []*Node{first, second, first} {
			if a := order(n, text, issued); a.Status != answer.RanOnce {
				t.Errorf("claim %v: %s answered %v, error %+v", state, n.options.VM, a.Status, a.Error)
			}
		}
	}
	if ran := len(c.upstream.Executions()); ran != 2 {
		t.Errorf("%d orders ran, want each of the two once", ran)
	}
}

// TestTicketIsRunWhileItsIssuerIsTakenForALaterLife: nothing follows from what others remember.
func TestTicketIsRunWhileItsIssuerIsTakenForALaterLife(t *testing.T) {
	c := newRejoinCluster(t)
	first, _ := c.start("vm-1", "127.0.0.1:0")
	second, _ := c.start("vm-2", "127.0.0.1:0", first.PeerAddress())
	await(t, "the nodes see each other ready", func() bool { return readyMembers(first) == 2 && readyMembers(second) == 2 })
	issued := c.ticket(second)
	view := *first.View()
	view.Members = map[string]member.Member{"vm-1": view.Self, "vm-2": laterLife(second, member.Dead)}
	stale := entry.New(entry.Config{
		VM: "vm-3", Process: newProcess(), Recorder: first.recorder, Network: first.network,
		View: func() *entry.View { return &view }, ReportFailure: func(string) {},
	})
	a := stale.Answer(context.Background(), query.Request{Kind: "order", Query: query.Text("parcel"), Key: issued})
	if ran := len(c.upstream.Executions()); a.Status != answer.RanOnce || ran != 1 {
		t.Errorf("answered %v, error %+v, ran %d times", a.Status, a.Error, ran)
	}
}

// TestTicketOfAFormerLifeIsNotRun: a restart on the same address is not the issuer.
func TestTicketOfAFormerLifeIsNotRun(t *testing.T) {
	c := newRejoinCluster(t)
	first, _ := c.start("vm-1", "127.0.0.1:0")
	second, stop := c.start("vm-2", "127.0.0.1:0", first.PeerAddress())
	await(t, "the nodes see each other ready", func() bool { return readyMembers(first) == 2 && readyMembers(second) == 2 })
	issued, address, process := c.ticket(second), second.PeerAddress(), second.process
	former := second.View().Self
	stop()
	restarted, _ := c.start("vm-2", address, first.PeerAddress())
	await(t, "the restarted node is known", func() bool {
		own := restarted.View().Self
		return own.State == member.Ready && own.Supersedes(former) && memberOf(first, "vm-2") == own
	})
	if restarted.process == process {
		t.Error("two processes of the VM have one identity")
	}
	for _, n := range []*Node{first, restarted} {
		a := order(n, "parcel", issued)
		if a.Status != answer.Unknown || a.Error == nil || a.Error.Code != answer.CodeIssuerGone {
			t.Errorf("%s answered %v, error %+v", n.options.VM, a.Status, a.Error)
		}
	}
	if ran := len(c.upstream.Executions()); ran != 0 {
		t.Errorf("the order ran %d times", ran)
	}
}

// TestIncarnationLeavesRoomForOlderBuilds: they start with the Unix time and compare tickets with it.
func TestIncarnationLeavesRoomForOlderBuilds(t *testing.T) {
	now := uint64(time.Now().UnixNano())
	for range 1000 {
		process := newProcess()
		if incarnation := firstIncarnation(process); incarnation == 0 || incarnation >= now || process <= now {
			t.Fatalf("process %d starts with incarnation %d", process, incarnation)
		}
	}
}
