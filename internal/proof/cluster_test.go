// Package proof contains tests that run nodes as real processes, against
// stand-ins for the platform and the upstreams and behind proxies that inject
// faults, and check the system's invariants.
package proof

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/sirupsen/logrus"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/node"
	"github.com/bronzereach/bronzereach/internal/platform"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// program is the path of the binary under test, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "bronzereach")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	logrus.SetOutput(io.Discard)
	program = filepath.Join(folder, "bronzereach")
	build := exec.Command("go", "build", "-o", program, "github.com/bronzereach/bronzereach")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// profileFolder is the folder in which each node writes its CPU profile.
var profileFolder = flag.String("profiles", "", "folder for a CPU profile of each node")

// shards is the default number of services that the test index is split over.
const shards = 4

// process is a node that runs as a process of its own. In a cluster with proxies,
// other nodes connect to faultProxy, which forwards to proxy, which forwards to peer.
type process struct {
	vm      string
	command *exec.Cmd
	// caller is the address on which the node listens for callers, peer the one on
	// which it listens for other nodes.
	caller string
	peer   string
	// source is the IP of peer, from which the node also connects to other nodes.
	source string
	// advertised is the peer address given to other nodes: that of faultProxy,
	// or peer in a cluster without proxies.
	advertised string
	proxy      *toxiproxy.Proxy
	faultProxy *faultProxy
	stderr     *bytes.Buffer
	exited     chan struct{}
}

// cluster consists of nodes that run as processes and of stand-ins for the
// platform and the upstreams.
type cluster struct {
	t        *testing.T
	platform *standin.Platform
	server   *httptest.Server
	// upstreams holds the replicas of each service.
	upstreams map[string][]*standin.Upstream
	nodes     []*process
	folder    string
	// text is the configuration document.
	text   string
	config clusterConfig
}

// indexRecords returns the records of a version of the index. Each record names
// its version so that an answer that mixes versions is detected.
func indexRecords(version, count int) [][]byte {
	lines := make([][]byte, count)
	for i := range lines {
		lines[i] = fmt.Appendf(nil, "record %d of version %d", i, version)
	}
	return lines
}

// recordCount is the number of records in the index.
const recordCount = 200

// peerSeedCount is the maximum number of other nodes listed in a node's settings.
const peerSeedCount = 3

// newCluster starts a cluster of default size and waits until it is ready.
func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	return startCluster(t, clusterConfig{nodes: nodes, shards: shards, replicas: 3})
}

// clusterConfig describes a cluster to start.
type clusterConfig struct {
	nodes, shards, replicas int
	// orderDeadline is the deadline of kind order; 4 s if it is 0.
	orderDeadline time.Duration
	// withoutProxies connects the nodes directly, so that measurements don't
	// include the cost of the proxies.
	withoutProxies bool
}

func startCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: standin.NewPlatform(1), upstreams: map[string][]*standin.Upstream{}, folder: t.TempDir(), config: config}
	c.server = httptest.NewServer(c.platform)
	t.Cleanup(c.server.Close)
	var text strings.Builder
	fmt.Fprintf(&text, `name = "proof"
[[rank]]
name = "urgent"
[[rank]]
name = "later"
floor = "10%%"
[[index]]
name = "records"
slots = 4
connections = 24
[[kind]]
name = "search"
rank = "urgent"
index = "records"
deadline = "4s"
[[kind]]
name = "order"
rank = "urgent"
pool = "orders"
deadline = %q
repeat = false
[[check]]
kind = "search"
query = "record"
minimumRecords = 1
`, cmp.Or(config.orderDeadline, 4*time.Second).String())
	for shard := range config.shards {
		fmt.Fprintf(&text, "[[service]]\nname = \"records-%d\"\nindex = \"records\"\nupstreams = [%s]\n", shard,
			c.startService(fmt.Sprintf("records-%d", shard), config.replicas))
	}
	fmt.Fprintf(&text, "[[pool]]\nname = \"orders\"\nslots = 4\nconnections = 24\nupstreams = [%s]\n", c.startService("orders", 2))
	c.text = text.String()
	c.loadVersion(1, standin.ShardLines(indexRecords(1, recordCount), config.shards))
	c.storeConfig(c.text)
	for i := range config.nodes {
		c.start(fmt.Sprintf("vm-%d", i+1))
	}
	c.awaitReady()
	return c
}

// startService starts the replicas of a service and returns their addresses as
// the elements of a TOML array.
func (c *cluster) startService(name string, replicas int) string {
	var addresses []string
	for replica := range replicas {
		index := "records"
		if name == "orders" {
			index = ""
		}
		u, err := standin.StartUpstream(standin.UpstreamConfig{Address: "127.0.0.1:0", Index: index, Slots: 4, Queue: 4, Seed: uint64(replica)})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(u.Close)
		c.upstreams[name] = append(c.upstreams[name], u)
		addresses = append(addresses, fmt.Sprintf("%q", u.Address()))
	}
	return strings.Join(addresses, ", ")
}

// loadVersion loads each service's part of an index version into its replicas.
func (c *cluster) loadVersion(version uint64, contents []standin.Contents) {
	for shard := range c.config.shards {
		for _, u := range c.upstreams[fmt.Sprintf("records-%d", shard)] {
			u.AddVersion(version, contents[shard])
		}
	}
}

// dropVersion removes an index version from all replicas.
func (c *cluster) dropVersion(version uint64) {
	for shard := range c.config.shards {
		for _, u := range c.upstreams[fmt.Sprintf("records-%d", shard)] {
			u.RemoveVersion(version)
		}
	}
}

// storeConfig stores a document as the current configuration.
func (c *cluster) storeConfig(text string) {
	value, err := promotion.Record{PromotionID: "first", Digest: document.Digest([]byte(text)), Text: text}.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	c.platform.Store(promotion.ConfigKey("proof"), value)
}

// start starts a node and adds it to the platform's list of VMs.
func (c *cluster) start(vm string) *process {
	c.t.Helper()
	p := &process{vm: vm, stderr: &bytes.Buffer{}, exited: make(chan struct{})}
	p.source = fmt.Sprintf("127.0.0.%d", 10+len(c.nodes)%200)
	p.caller, p.peer = freeAddress(c.t, "127.0.0.1"), freeAddress(c.t, p.source)
	p.advertised = p.peer
	if !c.config.withoutProxies {
		p.insertProxies(c.t)
	}
	var peers []string
	for _, other := range c.nodes[max(0, len(c.nodes)-peerSeedCount):] {
		peers = append(peers, fmt.Sprintf("%q", other.advertised))
	}
	settings := fmt.Sprintf(`vm = %q
availabilityZone = "zone-%d"
callerAddress = %q
peerAddress = %q
peerListen = %q
platform = %q
environment = "proof"
peers = [%s]
`, vm, len(c.nodes)%2, p.caller, p.advertised, p.peer, c.server.URL, strings.Join(peers, ", "))
	file := filepath.Join(c.folder, vm+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	arguments := []string{"node", "-settings", file}
	if *profileFolder != "" {
		arguments = append(arguments, "-cpuprofile", filepath.Join(*profileFolder, vm+".prof"))
	}
	p.command = exec.Command(program, arguments...)
	p.command.Stderr = p.stderr
	if err := p.command.Start(); err != nil {
		c.t.Fatal(err)
	}
	go p.loop()
	c.t.Cleanup(p.kill)
	c.nodes = append(c.nodes, p)
	c.publishVMs()
	return p
}

// insertProxies puts faultProxy and proxy in front of the node's peer address.
// faultProxy comes first, because it identifies the connecting node by its source
// IP, which would otherwise be that of proxy.
func (p *process) insertProxies(t *testing.T) {
	t.Helper()
	p.proxy = toxiproxy.NewProxy()
	p.proxy.Name, p.proxy.Listen, p.proxy.Upstream = p.vm, "127.0.0.1:0", p.peer
	if err := p.proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.proxy.Stop)
	p.faultProxy = newFaultProxy(t, p.proxy.Listen)
	p.advertised = p.faultProxy.listener.Addr().String()
}

// loop waits for the process to exit.
func (p *process) loop() {
	_ = p.command.Wait()
	close(p.exited)
}

// kill ends the process, even if it is stopped, and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.exited
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// publishVMs sets the platform's list of VMs to the running nodes.
func (c *cluster) publishVMs() {
	var vms []platform.VM
	for _, p := range c.nodes {
		if p.alive() {
			vms = append(vms, platform.VM{Name: p.vm, AvailabilityZone: "zone", Address: p.advertised})
		}
	}
	c.platform.SetVMs(vms)
}

func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	address, err := standin.FreeAddress(ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// await waits for a condition and fails the test if it is not met in time.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !condition() {
		// Requesting the status of many nodes loads them, so large clusters are
		// polled less often.
		time.Sleep(time.Duration(len(c.nodes)) * 5 * time.Millisecond)
		if time.Now().After(deadline) {
			for _, p := range c.nodes {
				c.t.Logf("%s:\n%s", p.vm, tail(p.stderr.String()))
			}
			c.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// tail returns the end of a log, short enough for a test's output.
func tail(text string) string {
	return text[max(0, len(text)-4000):]
}

// status fetches a node's status.
func (c *cluster) status(p *process) (status node.Status, ok bool) {
	response, err := http.Get("http://" + p.caller + node.StatusPath)
	if err != nil {
		return status, false
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status) == nil
}

// runningNodes returns the nodes whose processes have not exited.
func (c *cluster) runningNodes() []*process {
	var runningNodes []*process
	for _, p := range c.nodes {
		if p.alive() {
			runningNodes = append(runningNodes, p)
		}
	}
	return runningNodes
}

// awaitReady waits until every running node sees all of them as ready and each
// service has exactly one gate among them.
func (c *cluster) awaitReady() {
	c.t.Helper()
	c.await("all nodes ready and every service has a gate", func() bool {
		gates := 0
		for _, p := range c.runningNodes() {
			status, ok := c.status(p)
			ready := 0
			for _, m := range status.Members {
				if m.State == "ready" {
					ready++
				}
			}
			if !ok || status.State != "ready" || ready != len(c.runningNodes()) {
				return false
			}
			gates += len(status.Gates)
		}
		return gates == c.config.shards+1
	})
}

// sendRequest sends a request to the given node and returns its answer. Unlike the
// client that c.client returns, it never sends the request to another node.
func (c *cluster) sendRequest(p *process, request query.Request) (*answer.Answer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.caller+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(post)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	a := &answer.Answer{}
	return a, json.NewDecoder(response.Body).Decode(a)
}

// mustSendRequest is like sendRequest but fails the test on an error.
func (c *cluster) mustSendRequest(p *process, request query.Request) *answer.Answer {
	c.t.Helper()
	a, err := c.sendRequest(p, request)
	if err != nil {
		c.t.Fatalf("%s: %v\n%s", p.vm, err, tail(p.stderr.String()))
	}
	return a
}

// ticket obtains a ticket from a node.
func (c *cluster) ticket(p *process) string {
	c.t.Helper()
	response, err := http.Get("http://" + p.caller + entry.TicketsPath)
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

// executions returns how often the upstreams of a service ran a query.
func (c *cluster) executions(service, text string) int {
	count := 0
	for _, u := range c.upstreams[service] {
		for _, execution := range u.Executions() {
			if execution.Query == text {
				count++
			}
		}
	}
	return count
}
