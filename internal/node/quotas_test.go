package node

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/peer"
	internalquota "github.com/bronzereach/bronzereach/internal/quota"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/quota"
	"github.com/bronzereach/bronzereach/pkg/route"
)

const (
	quotaNodes = 6
	// quotaUsual is the rate of the team's requests before it becomes hot, quotaHot the
	// factor by which they grow.
	quotaUsual, quotaHot = 20.0, 7.5
	// quotaCallerInterval is the time between two requests of the team while it is hot.
	quotaCallerInterval = time.Second / (quotaUsual * quotaHot)
)

var (
	quotaTolerance = quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	quotaTeam      = &route.Team{Name: "team", Quota: route.Quota{PerSecond: 1.6 * quotaUsual, Burst: 2 * quotaUsual}}
)

// startQuotaNodes runs nodes that know each other, and returns them with what ends each.
func startQuotaNodes(t *testing.T, count int) (nodes []*Node, kills []func()) {
	t.Helper()
	for i := range count {
		options := DefaultOptions()
		options.VM, options.AvailabilityZone, options.Cores = fmt.Sprint("vm-", i), "zone", 1
		options.CallerAddress, options.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
		if i > 0 {
			options.Peers = []string{nodes[0].PeerAddress()}
		}
		options.Foreign = &ForeignOptions{Quota: quotaTolerance}
		options.NewAdapter = func(Host) Adapter { return &plainAdapter{answerNow: make(chan struct{})} }
		n, err := New(options, logr.Discard())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = n.Run(ctx) }()
		n.ReportStoreCall(nil)
		kill := sync.OnceFunc(func() {
			cancel()
			<-n.Done()
		})
		t.Cleanup(kill)
		nodes, kills = append(nodes, n), append(kills, kill)
	}
	await(t, "all nodes see each other ready", func() bool {
		for _, n := range nodes {
			if readyMembers(n) != count {
				return false
			}
		}
		return true
	})
	return nodes, kills
}

// quotaLoad counts the verdicts on requests of a team.
type quotaLoad struct {
	mu      sync.Mutex
	granted []time.Time
	counts  map[quota.Outcome]int
}

// run sends requests to nodes in turn until the context ends.
func (l *quotaLoad) run(ctx context.Context, nodes []*Node) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		requests.Go(func() {
			_, v := nodes[i%len(nodes)].Quotas().Take(ctx, quotaTeam, time.Now().Add(time.Second))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.counts[v.Outcome]++
			if v.Outcome == quota.Granted {
				l.granted = append(l.granted, time.Now())
			}
		})
		time.Sleep(quotaCallerInterval)
	}
}

// largestWindow returns the most requests granted in any window.
func (l *quotaLoad) largestWindow() (largest int) {
	first := 0
	for last, at := range l.granted {
		for at.Sub(l.granted[first]) >= quotaTolerance.Window {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// TestQuotaHoldsWhileHalfOfTheNodesAreKilled guards against a quota that the killed lender
// and the next one both lend, or that is not lent any more. It answers 150 requests a
// second, 7.5 times the usual rate, at all nodes evenly; half of six nodes, among them the
// lender, are killed 2 s after the start of the load.
func TestQuotaHoldsWhileHalfOfTheNodesAreKilled(t *testing.T) {
	nodes, kills := startQuotaNodes(t, quotaNodes)
	var vms []string
	for _, n := range nodes {
		vms = append(vms, n.options.VM)
	}
	lender := quota.Choose(quotaTeam.Name, vms)
	var killed []int
	var left []*Node
	for i, n := range nodes {
		if vms[i] == lender || len(left) == quotaNodes/2 {
			killed = append(killed, i)
			continue
		}
		left = append(left, n)
	}
	time.Sleep(5 * time.Second)
	load := &quotaLoad{counts: map[quota.Outcome]int{}}
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	time.AfterFunc(2*time.Second, func() {
		for _, i := range killed {
			go kills[i]()
		}
	})
	started := time.Now()
	load.run(ctx, nodes)
	q := quotaTeam.Quota
	bound := (q.PerSecond*quotaTolerance.Window.Seconds()+q.Burst)*(1+quotaTolerance.Overage) + quotaTolerance.Slack
	late := 0
	for _, at := range load.granted {
		if at.Sub(started) > 10*time.Second {
			late++
		}
	}
	t.Logf("verdicts %v, largest window %d, bound %.1f, %d granted in the last 4 s", load.counts, load.largestWindow(), bound, late)
	if float64(load.largestWindow()) > bound {
		t.Errorf("%d requests granted in a window, the bound is %.1f", load.largestWindow(), bound)
	}
	// Half of the members are live, so half of the quota is lent.
	if want := 0.4 * q.PerSecond * 4; float64(late) < want {
		t.Errorf("%d requests granted in the last 4 s, want at least %.0f", late, want)
	}
}

// TestQuotaTraffic measures what the calls for tokens take. It answers 150 requests a second
// at a quota of 32, and 20 at the same, at all of six nodes evenly.
func TestQuotaTraffic(t *testing.T) {
	const maxBytesPerSecond = 30_000
	nodes, _ := startQuotaNodes(t, quotaNodes)
	time.Sleep(4 * time.Second)
	bytes := func() (total int64) {
		for _, n := range nodes {
			sent, received, _ := n.network.Traffic.Totals()
			total += sent + received
		}
		return total
	}
	const pause = 3 * time.Second
	before := bytes()
	time.Sleep(pause)
	idle := bytes() - before
	load := &quotaLoad{counts: map[quota.Outcome]int{}}
	ctx, cancel := context.WithTimeout(context.Background(), pause)
	defer cancel()
	before = bytes()
	load.run(ctx, nodes)
	perSecond := float64(bytes()-before-idle) / pause.Seconds()
	t.Logf("%.0f bytes a second for tokens at all nodes together, each counted where it is sent and where it is received; verdicts %v", perSecond, load.counts)
	if perSecond > maxBytesPerSecond {
		t.Errorf("%.0f bytes a second, want %d at most", perSecond, maxBytesPerSecond)
	}
}

// ignoringHandler answers no call, as builds do with a call that they don't know.
type ignoringHandler struct{}

func (ignoringHandler) Handle(context.Context, *wire.Call, func(*wire.Reply) error) {}

// TestOlderBuildDoesNotLend guards against a member that doesn't know the call and counts as
// unreachable, so that its teams have no lender.
func TestOlderBuildDoesNotLend(t *testing.T) {
	n := startPlainNode(t, &plainAdapter{answerNow: make(chan struct{})}, time.Second)
	defer n.cancel()
	old := peer.NewNetwork(peer.Config{VM: "old", Clock: &timeline.Clock{}, Timers: timer.NewService(), Handler: ignoringHandler{}, Log: logr.Discard()})
	listener, address, err := listen("", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = old.Serve(t.Context(), listener) }()
	view := *n.View()
	view.Members = map[string]member.Member{"old": {VM: "old", PeerAddress: address}}
	p := quotaPeers{&Node{network: n.network}}
	p.node.view.Store(&view)
	if _, err := p.Borrow(t.Context(), "old", &wire.Borrow{}); !errors.Is(err, internalquota.ErrUnsupported) {
		t.Errorf("error %v, want %v", err, internalquota.ErrUnsupported)
	}
}

// TestClusterOf guards against members that count for quotas although they are lost, and
// against nodes that take themselves for peers.
func TestClusterOf(t *testing.T) {
	nodes, _ := startQuotaNodes(t, 1)
	c := &control{node: nodes[0], peers: []string{nodes[0].PeerAddress()}}
	view := *nodes[0].View()
	view.Members = map[string]member.Member{}
	for state, vm := range map[member.State]string{member.Ready: "a", member.Joining: "b", member.Leaving: "c", member.Suspect: "d", member.Dead: "e"} {
		view.Members[vm] = member.Member{VM: vm, State: state, Capacity: math.MaxUint16}
	}
	cluster := c.clusterOf(&view)
	if got := cluster.Contacts; len(got.Live) != 2 || len(got.Leaving) != 1 || len(got.Missing) != 2 || got.HasPeers {
		t.Errorf("contacts %+v", got)
	}
	if len(cluster.Serving) != 1 || cluster.Serving[0].VM != "a" {
		t.Errorf("lenders are chosen among %v", cluster.Serving)
	}
}
