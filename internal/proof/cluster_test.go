// Package proof holds the tests that run real processes against stand-ins and
// behind a fault-injecting proxy, and check what must always hold.
package proof

import (
	"bytes"
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

// program is the path of the program under test, built once.
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

// profiles is a folder for profiles of the processor time of all nodes.
var profiles = flag.String("profiles", "", "folder for a profile of each node")

// shards is the number of services of the test's index.
const shards = 4

// process is one node under test.
type process struct {
	vm      string
	command *exec.Cmd
	caller  string
	peer    string
	// source is the node's own IP.
	source string
	// named is the peer address that the others know.
	named string
	// proxy stands between the other nodes and this one's peer address.
	proxy *toxiproxy.Proxy
	// freezer stands between the proxy and the node.
	freezer *freezer
	stderr  *bytes.Buffer
	exited  chan struct{}
}

// cluster is stand-ins and nodes as processes.
type cluster struct {
	t         *testing.T
	platform  *standin.Platform
	server    *httptest.Server
	upstreams map[string][]*standin.Upstream
	nodes     []*process
	folder    string
	text      string
	config    clusterConfig
}

// records are the lines that the index holds in a version. Each names its
// version, so that a mix of versions shows.
func records(version, count int) [][]byte {
	lines := make([][]byte, count)
	for i := range lines {
		lines[i] = fmt.Appendf(nil, "record %d of version %d", i, version)
	}
	return lines
}

const recordCount = 200

// seedCount is the number of other nodes that a node's settings name.
const seedCount = 3

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	return startCluster(t, clusterConfig{nodes: nodes, shards: shards, replicas: 3})
}

// clusterConfig describes a cluster.
type clusterConfig struct {
	nodes, shards, replicas int
	// bare leaves out the proxies, for measurements.
	bare bool
}

func startCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: standin.NewPlatform(1), upstreams: map[string][]*standin.Upstream{}, folder: t.TempDir(), config: config}
	c.server = httptest.NewServer(c.platform)
	t.Cleanup(c.server.Close)
	var text strings.Builder
	text.WriteString(`name = "proof"
[[rank]]
name = "urgent"
[[rank]]
name = "later"
floor = "10%"
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
deadline = "4s"
repeat = false
[[check]]
kind = "search"
query = "record"
minimumRecords = 1
`)
	for shard := range config.shards {
		fmt.Fprintf(&text, "[[service]]\nname = \"records-%d\"\nindex = \"records\"\nupstreams = [%s]\n", shard,
			c.startService(fmt.Sprintf("records-%d", shard), config.replicas))
	}
	fmt.Fprintf(&text, "[[pool]]\nname = \"orders\"\nslots = 4\nconnections = 24\nupstreams = [%s]\n", c.startService("orders", 2))
	c.text = text.String()
	c.hold(1, standin.Shard(records(1, recordCount), config.shards))
	c.putInForce(c.text)
	for i := range config.nodes {
		c.start(fmt.Sprintf("vm-%d", i+1))
	}
	c.awaitReady()
	return c
}

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

// hold gives each service its part of a version of the index.
func (c *cluster) hold(version uint64, contents []standin.Contents) {
	for shard := range c.config.shards {
		for _, u := range c.upstreams[fmt.Sprintf("records-%d", shard)] {
			u.Hold(version, contents[shard])
		}
	}
}

func (c *cluster) drop(version uint64) {
	for shard := range c.config.shards {
		for _, u := range c.upstreams[fmt.Sprintf("records-%d", shard)] {
			u.Drop(version)
		}
	}
}

func (c *cluster) putInForce(text string) {
	value, err := promotion.Record{PromotionID: "first", Digest: document.Digest([]byte(text)), Text: text}.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	c.platform.Store(promotion.ConfigKey("proof"), value)
}

// start runs a node as a process of its own and lists it at the platform.
func (c *cluster) start(vm string) *process {
	c.t.Helper()
	p := &process{vm: vm, stderr: &bytes.Buffer{}, exited: make(chan struct{})}
	p.source = fmt.Sprintf("127.0.0.%d", 10+len(c.nodes)%200)
	p.caller, p.peer = freeAddress(c.t, "127.0.0.1"), freeAddress(c.t, p.source)
	p.named = p.peer
	if !c.config.bare {
		p.interpose(c.t)
	}
	var peers []string
	for _, other := range c.nodes[max(0, len(c.nodes)-seedCount):] {
		peers = append(peers, fmt.Sprintf("%q", other.named))
	}
	settings := fmt.Sprintf(`vm = %q
availabilityZone = "zone-%d"
callerAddress = %q
peerAddress = %q
peerListen = %q
platform = %q
environment = "proof"
peers = [%s]
`, vm, len(c.nodes)%2, p.caller, p.named, p.peer, c.server.URL, strings.Join(peers, ", "))
	file := filepath.Join(c.folder, vm+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	arguments := []string{"node", "-settings", file}
	if *profiles != "" {
		arguments = append(arguments, "-cpuprofile", filepath.Join(*profiles, vm+".prof"))
	}
	p.command = exec.Command(program, arguments...)
	p.command.Stderr = p.stderr
	if err := p.command.Start(); err != nil {
		c.t.Fatal(err)
	}
	go p.loop()
	c.t.Cleanup(p.kill)
	c.nodes = append(c.nodes, p)
	c.list()
	return p
}

// interpose puts the freezer and the proxy before the node's peer address. The
// freezer comes first, where it sees which node dials.
func (p *process) interpose(t *testing.T) {
	t.Helper()
	p.proxy = toxiproxy.NewProxy()
	p.proxy.Name, p.proxy.Listen, p.proxy.Upstream = p.vm, "127.0.0.1:0", p.peer
	if err := p.proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.proxy.Stop)
	p.freezer = newFreezer(t, p.proxy.Listen)
	p.named = p.freezer.listener.Addr().String()
}

func (p *process) loop() {
	_ = p.command.Wait()
	close(p.exited)
}

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

// list names the running nodes in the platform's list of VMs.
func (c *cluster) list() {
	var vms []platform.VM
	for _, p := range c.nodes {
		if p.alive() {
			vms = append(vms, platform.VM{Name: p.vm, AvailabilityZone: "zone", Address: p.named})
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

// await waits for a condition and fails the test if it does not come.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !condition() {
		// Asking many nodes is a load of its own.
		time.Sleep(time.Duration(len(c.nodes)) * 5 * time.Millisecond)
		if time.Now().After(deadline) {
			for _, p := range c.nodes {
				c.t.Logf("%s:\n%s", p.vm, tail(p.stderr.String()))
			}
			c.t.Fatalf("waited in vain: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func tail(text string) string {
	return text[max(0, len(text)-4000):]
}

func (c *cluster) status(p *process) (status node.Status, ok bool) {
	response, err := http.Get("http://" + p.caller + node.StatusPath)
	if err != nil {
		return status, false
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status) == nil
}

// running lists the nodes whose processes live.
func (c *cluster) running() []*process {
	var running []*process
	for _, p := range c.nodes {
		if p.alive() {
			running = append(running, p)
		}
	}
	return running
}

// awaitReady waits until the running nodes agree that they are ready and hold
// all gates between them.
func (c *cluster) awaitReady() {
	c.t.Helper()
	c.await("all nodes ready and every service has a gate", func() bool {
		gates := 0
		for _, p := range c.running() {
			status, ok := c.status(p)
			ready := 0
			for _, m := range status.Members {
				if m.State == "ready" {
					ready++
				}
			}
			if !ok || status.State != "ready" || ready != len(c.running()) {
				return false
			}
			gates += len(status.Gates)
		}
		return gates == c.config.shards+1
	})
}

// client returns a caller that knows only the given node, and does not follow
// addresses elsewhere.
func (c *cluster) ask(p *process, request query.Request) (*answer.Answer, error) {
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

func (c *cluster) mustAsk(p *process, request query.Request) *answer.Answer {
	c.t.Helper()
	a, err := c.ask(p, request)
	if err != nil {
		c.t.Fatalf("%s: %v\n%s", p.vm, err, tail(p.stderr.String()))
	}
	return a
}

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

// executions counts how often the upstreams of a service ran a query.
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
