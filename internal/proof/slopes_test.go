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

// slopeSizes turns the measurement of control costs on: numbers of nodes with
// commas between.
var slopeSizes = flag.String("slopes", "", "numbers of nodes to measure control costs at, such as 9,30,90")

// slopePeriod is how long each size is measured at rest.
const slopePeriod = 10 * time.Second

// Time for the news of a start to settle.
const (
	settleBase    = 5 * time.Second
	settlePerNode = 200 * time.Millisecond
)

// clockTicks is the kernel's unit of processor time, a second.
const clockTicks = 100

// usage is what one process has used so far.
type usage struct {
	bytes, calls, platform int64
	// processor is in seconds, memory in bytes.
	processor float64
	memory    float64
}

func (c *cluster) usage(p *process) (u usage) {
	c.t.Helper()
	status, ok := c.status(p)
	if !ok {
		c.t.Fatalf("%s does not answer", p.vm)
	}
	u.bytes = status.BytesSent + status.BytesReceived
	u.calls = status.PeerCalls
	u.platform = status.PlatformCalls
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		c.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, field := range fields[11:13] {
		ticks, _ := strconv.ParseFloat(field, 64)
		u.processor += ticks / clockTicks
	}
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.memory = pages * float64(os.Getpagesize())
	return u
}

// slope is the cost of control at one size, by node and second.
type slope struct {
	Nodes                int     `json:"nodes"`
	BytesASecond         float64 `json:"bytesASecond"`
	CallsASecond         float64 `json:"callsASecond"`
	Processor            float64 `json:"processor"`
	Megabytes            float64 `json:"megabytes"`
	PlatformCallsASecond float64 `json:"platformCallsASecond"`
	PromotionMillis      float64 `json:"promotionMillis"`
	// BytesAPromotion is by node.
	BytesAPromotion float64 `json:"bytesAPromotion"`
}

// TestSlopes measures the cost of control at several sizes.
func TestSlopes(t *testing.T) {
	if *slopeSizes == "" {
		t.Skip("needs -slopes")
	}
	for _, text := range strings.Split(*slopeSizes, ",") {
		nodes, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { measureSlope(t, nodes) })
	}
}

func measureSlope(t *testing.T, nodes int) {
	c := startCluster(t, clusterConfig{nodes: nodes, shards: shards, replicas: 3, bare: true})
	// The news of the start must have been told often enough to rest.
	time.Sleep(settleBase + time.Duration(nodes)*settlePerNode)
	before := c.totals()
	time.Sleep(slopePeriod)
	rest := c.totals().minus(before)
	per := float64(nodes) * slopePeriod.Seconds()
	result := slope{
		Nodes:                nodes,
		BytesASecond:         float64(rest.bytes) / per,
		CallsASecond:         float64(rest.calls) / per,
		Processor:            rest.processor / per,
		Megabytes:            c.totals().memory / float64(nodes) / 1e6,
		PlatformCallsASecond: float64(rest.platform) / slopePeriod.Seconds(),
	}
	start := c.totals()
	promoted := c.promote(c.nodes[0], c.trialled("slope"), 0)
	if promoted.Outcome != promotion.Accepted {
		t.Fatalf("%+v", promoted)
	}
	took := c.awaitVersion(promoted.Version)
	result.PromotionMillis = float64(took.Milliseconds())
	spent := c.totals().minus(start)
	result.BytesAPromotion = float64(spent.bytes)/float64(nodes) - result.BytesASecond*took.Seconds()
	line, err := json.Marshal(result)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(line))
}

func (c *cluster) totals() (total usage) {
	for _, p := range c.nodes {
		u := c.usage(p)
		total.bytes += u.bytes
		total.calls += u.calls
		total.platform += u.platform
		total.processor += u.processor
		total.memory += u.memory
	}
	return total
}

func (u usage) minus(before usage) usage {
	u.bytes -= before.bytes
	u.calls -= before.calls
	u.platform -= before.platform
	u.processor -= before.processor
	return u
}
