package proof

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/promotion"
)

// controlCostSizes lists the cluster sizes for TestSlopes, separated by commas.
var controlCostSizes = flag.String("slopes", "", "cluster sizes at which to measure control costs, such as 9,30,90")

// controlCostPeriod is how long each cluster size is measured while idle.
const controlCostPeriod = 10 * time.Second

// Time to wait, depending on the number of nodes, until gossip about the started
// nodes has ended.
const (
	settleBase    = 5 * time.Second
	settlePerNode = 200 * time.Millisecond
)

// clockTicks is the number of clock ticks per second in /proc/PID/stat.
const clockTicks = 100

// usage holds the resources that a node has used since its start, and its current
// memory.
type usage struct {
	bytes, peerCalls, platformCalls int64
	cpuSeconds                      float64
	memoryBytes                     float64
}

// usage reads a node's usage from its status and from /proc.
func (c *cluster) usage(p *process) (u usage) {
	c.t.Helper()
	status, ok := c.status(p)
	if !ok {
		c.t.Fatalf("%s does not answer", p.vm)
	}
	u.bytes = status.BytesSent + status.BytesReceived
	u.peerCalls = status.PeerCalls
	u.platformCalls = status.PlatformCalls
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		c.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, field := range fields[11:13] {
		ticks, _ := strconv.ParseFloat(field, 64)
		u.cpuSeconds += ticks / clockTicks
	}
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.memoryBytes = pages * float64(os.Getpagesize())
	return u
}

// controlCost is the cost of control traffic at one cluster size. Rates and memory
// are averages per node unless the field says otherwise.
type controlCost struct {
	Nodes        int     `json:"nodes"`
	BytesASecond float64 `json:"bytesASecond"`
	CallsASecond float64 `json:"callsASecond"`
	// Processor is the CPU time in seconds per second.
	Processor float64 `json:"processor"`
	Megabytes float64 `json:"megabytes"`
	// PlatformCallsASecond is the rate of the whole cluster.
	PlatformCallsASecond float64 `json:"platformCallsASecond"`
	// PromotionMillis is the time until all nodes use a promoted document.
	PromotionMillis float64 `json:"promotionMillis"`
	// BytesAPromotion is the number of bytes per node in excess of the idle traffic.
	BytesAPromotion float64 `json:"bytesAPromotion"`
}

// TestSlopes measures how the cost of control traffic grows with the cluster size.
func TestSlopes(t *testing.T) {
	if *controlCostSizes == "" {
		t.Skip("needs -slopes")
	}
	for _, text := range strings.Split(*controlCostSizes, ",") {
		nodes, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { measureControlCost(t, nodes) })
	}
}

func measureControlCost(t *testing.T, nodes int) {
	c := startCluster(t, clusterConfig{nodes: nodes, shards: shards, replicas: 3, withoutProxies: true})
	// The start of the nodes is passed on by gossip, each item a limited number of
	// times (member.GossipQueue). Wait until this has ended, so that it does not
	// count as idle traffic.
	time.Sleep(settleBase + time.Duration(nodes)*settlePerNode)
	before := c.totals()
	time.Sleep(controlCostPeriod)
	idle := c.totals().minus(before)
	nodeSeconds := float64(nodes) * controlCostPeriod.Seconds()
	cost := controlCost{
		Nodes:                nodes,
		BytesASecond:         float64(idle.bytes) / nodeSeconds,
		CallsASecond:         float64(idle.peerCalls) / nodeSeconds,
		Processor:            idle.cpuSeconds / nodeSeconds,
		Megabytes:            c.totals().memoryBytes / float64(nodes) / 1e6,
		PlatformCallsASecond: float64(idle.platformCalls) / controlCostPeriod.Seconds(),
	}
	start := c.totals()
	promoted := c.promote(c.nodes[0], c.trialledDocument("slope"), 0)
	if promoted.Outcome != promotion.Accepted {
		t.Fatalf("%+v", promoted)
	}
	took := c.awaitVersion(promoted.Version)
	cost.PromotionMillis = float64(took.Milliseconds())
	used := c.totals().minus(start)
	cost.BytesAPromotion = float64(used.bytes)/float64(nodes) - cost.BytesASecond*took.Seconds()
	line, err := json.Marshal(cost)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(line))
}

// totals returns the sum of all nodes' usage.
func (c *cluster) totals() (total usage) {
	for _, p := range c.nodes {
		u := c.usage(p)
		total.bytes += u.bytes
		total.peerCalls += u.peerCalls
		total.platformCalls += u.platformCalls
		total.cpuSeconds += u.cpuSeconds
		total.memoryBytes += u.memoryBytes
	}
	return total
}

// minus returns the usage since before, with memory unchanged.
func (u usage) minus(before usage) usage {
	u.bytes -= before.bytes
	u.peerCalls -= before.peerCalls
	u.platformCalls -= before.platformCalls
	u.cpuSeconds -= before.cpuSeconds
	return u
}
