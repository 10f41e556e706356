package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/platform"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/query"
)

const (
	// fleetNodes is more than the nodes that watch the store of one zone.
	fleetNodes = 6
	// fleetPools is the number of services, so that each node is the gate of some.
	fleetPools = 12
	// removalBound is the time after which a leaving or removed upstream gets no requests.
	removalBound = 3 * time.Second
	// fleetRequests is the number of requests to each service at each node.
	fleetRequests = 3
	// fleetMinServed is the share of the requests that must be served, as a check that there
	// were any. Many nodes share the process.
	fleetMinServed = 0.9
)

// restartFleet is a fleet of nodes on the product's own platform. Each service has two
// upstreams, of which one leaves.
type restartFleet struct {
	t     *testing.T
	store *standin.Platform
	url   string
	// listFails makes the platform refuse to list the VMs.
	listFails atomic.Bool
	// leaving and staying hold an upstream of each service.
	leaving, staying []*standin.Upstream
	// slots is the number that the configuration gives each upstream.
	slots int
	nodes []*Node
	stops []func()
}

func newRestartFleet(t *testing.T) *restartFleet {
	t.Helper()
	f := &restartFleet{t: t, slots: 8, store: standin.NewPlatform(1), nodes: make([]*Node, fleetNodes), stops: make([]func(), fleetNodes)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.listFails.Load() && r.URL.Path == platform.VMsPath {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	for range fleetPools {
		f.leaving, f.staying = append(f.leaving, f.newUpstream()), append(f.staying, f.newUpstream())
	}
	f.listVMs(false)
	f.configure(f.leaving, f.staying)
	return f
}

func (f *restartFleet) newUpstream() *standin.Upstream {
	f.t.Helper()
	u, err := standin.StartUpstream(standin.UpstreamConfig{Address: "127.0.0.1:0", Slots: 64, Queue: 64})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(u.Close)
	return u
}

// configure writes a configuration in which each service has one upstream of each list.
func (f *restartFleet) configure(lists ...[]*standin.Upstream) {
	f.t.Helper()
	text := "name = \"fleet\"\n[[rank]]\nname = \"urgent\"\n"
	for i := range fleetPools {
		var addresses []string
		for _, upstreams := range lists {
			addresses = append(addresses, fmt.Sprintf("%q", upstreams[i].Address()))
		}
		text += fmt.Sprintf("[[pool]]\nname = \"pool-%d\"\nslots = %d\nconnections = 60\nupstreams = [%s]\n", i, f.slots, strings.Join(addresses, ", "))
		text += fmt.Sprintf("[[kind]]\nname = \"kind-%d\"\nrank = \"urgent\"\npool = \"pool-%d\"\ndeadline = \"2s\"\n", i, i)
	}
	value, err := promotion.Record{Digest: document.Digest([]byte(text)), Text: text}.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Store(promotion.ConfigKey("fleet"), value)
}

// listVMs writes the platform's list of VMs, in which some upstreams leave or none does.
func (f *restartFleet) listVMs(leaving bool) {
	var vms []platform.VM
	for i, u := range f.leaving {
		vms = append(vms, platform.VM{Name: fmt.Sprint("upstream-", i), AvailabilityZone: "zone", Address: u.Address(), Leaving: leaving})
	}
	for _, n := range f.nodes {
		if n != nil {
			vms = append(vms, platform.VM{Name: n.options.VM, AvailabilityZone: "zone", Address: n.PeerAddress()})
		}
	}
	f.store.SetVMs(vms)
}

// start starts a node, at the address of its former process if there was one.
func (f *restartFleet) start(i int) {
	f.t.Helper()
	options := DefaultOptions()
	options.VM, options.AvailabilityZone = fmt.Sprint("vm-", i), "zone"
	options.CallerAddress, options.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	if f.nodes[i] != nil {
		options.PeerAddress = f.nodes[i].PeerAddress()
	}
	if i > 0 {
		options.Peers = []string{f.nodes[0].PeerAddress()}
	}
	options.Platform, options.Environment = f.url, "fleet"
	n, err := New(options, logr.Discard())
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.Run(ctx) }()
	f.nodes[i] = n
	f.stops[i] = sync.OnceFunc(func() {
		cancel()
		<-n.Done()
	})
	f.t.Cleanup(f.stops[i])
}

// startAll starts all nodes, lists them as VMs and waits until they are ready.
func (f *restartFleet) startAll() {
	f.t.Helper()
	for i := range f.nodes {
		f.start(i)
	}
	f.listVMs(false)
	f.awaitReady()
}

// restart ends all nodes at once and starts them again.
func (f *restartFleet) restart() {
	var stops sync.WaitGroup
	for _, stop := range f.stops {
		stops.Go(stop)
	}
	stops.Wait()
	for i := range f.nodes {
		f.start(i)
	}
}

func (f *restartFleet) awaitReady() {
	f.t.Helper()
	await(f.t, "all nodes see each other ready", func() bool {
		for _, n := range f.nodes {
			if readyMembers(n) != fleetNodes {
				return false
			}
		}
		return true
	})
}

// checkUnused checks that requests to all services at all nodes are served, and that none
// reaches an upstream that left.
func (f *restartFleet) checkUnused() {
	f.t.Helper()
	before, served := f.countUses(), 0
	for _, n := range f.nodes {
		for i := range fleetPools * fleetRequests {
			a := n.entry.Answer(context.Background(), query.Request{Kind: fmt.Sprint("kind-", i%fleetPools), Query: query.Text("text")})
			if a.Error == nil {
				served++
				continue
			}
			f.t.Logf("%s at %s: %s, %s", a.Kind, n.options.VM, a.Error.Code, a.Error.Message)
		}
	}
	if used := f.countUses() - before; used > 0 {
		f.t.Errorf("%d of %d requests reached the upstreams that left", used, served)
	}
	if all := fleetNodes * fleetPools * fleetRequests; float64(served) < fleetMinServed*float64(all) {
		f.t.Errorf("%d of %d requests were served", served, all)
	}
}

// countUses returns how many requests have reached the upstreams that leave.
func (f *restartFleet) countUses() (uses int) {
	for _, u := range f.leaving {
		uses += len(u.Executions())
	}
	return uses
}

func TestRemovalAroundARestartOfAllNodesIsSeenInTime(t *testing.T) {
	removals := map[string]func(f *restartFleet){
		"leaving":       func(f *restartFleet) { f.listVMs(true) },
		"configuration": func(f *restartFleet) { f.configure(f.staying) },
	}
	for name, remove := range removals {
		for _, delay := range []time.Duration{-500 * time.Millisecond, 300 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				t.Parallel()
				f := newRestartFleet(t)
				f.startAll()
				if delay < 0 {
					remove(f)
					time.Sleep(-delay)
				}
				f.restart()
				if delay >= 0 {
					time.Sleep(delay)
					remove(f)
				}
				time.Sleep(removalBound)
				f.awaitReady()
				f.checkUnused()
			})
		}
	}
}

func TestLeavingUpstreamIsUnusedByANodeThatStartsLater(t *testing.T) {
	t.Parallel()
	f := newRestartFleet(t)
	f.startAll()
	f.listVMs(true)
	time.Sleep(removalBound)
	for i, n := range f.nodes {
		if !n.WatchesStoreClosely() {
			f.listFails.Store(true)
			f.stops[i]()
			f.start(i)
			break
		}
	}
	f.awaitReady()
	f.listFails.Store(false)
	time.Sleep(removalBound)
	f.checkUnused()
}

func TestLeavingUpstreamIsUnusedAfterAChangeOfItsService(t *testing.T) {
	t.Parallel()
	f := newRestartFleet(t)
	f.startAll()
	f.listVMs(true)
	time.Sleep(removalBound)
	f.checkUnused()
	f.slots++
	f.configure(f.leaving, f.staying)
	time.Sleep(removalBound)
	f.checkUnused()
}

func TestNoticeBeforeTheFirstConfigurationIsKept(t *testing.T) {
	f := newRestartFleet(t)
	options := DefaultOptions()
	options.VM, options.CallerAddress, options.PeerAddress = "vm-0", "127.0.0.1:0", "127.0.0.1:0"
	options.Platform, options.Environment = f.url, "fleet"
	n, err := New(options, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer n.cancel()
	n.control.broadcast(time.Now(), &wire.Notice{Upstream: f.leaving[0].Address()})
	value, version := f.store.Load(promotion.ConfigKey("fleet"))
	n.control.adopt(version, value)
	for _, e := range n.recorder.Events(timeline.Filter{}) {
		if e.Name == timeline.UpstreamLeaving && e.Upstream == f.leaving[0].Address() {
			return
		}
	}
	t.Error("the upstream of which the node was told before it had a configuration is in use")
}
