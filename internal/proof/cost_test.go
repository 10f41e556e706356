package proof

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/caller"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// costShards lists the shard counts for TestCost.
var costShards = flag.String("cost", "", "shard counts at which to measure the cost of a sub-request, such as 1,10,100,1000")

// Sizes of the cost measurement.
const (
	costNodes   = 3
	costWorkers = 4
	// costSubRequests is the number of sub-requests at each shard count.
	costSubRequests   = 60_000
	costWarmupQueries = 20
)

// TestCost measures the CPU time that all nodes together spend on a sub-request,
// from the caller's connection to the upstream's.
func TestCost(t *testing.T) {
	if *costShards == "" {
		t.Skip("needs -cost")
	}
	for _, text := range strings.Split(*costShards, ",") {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { measureCost(t, count) })
	}
}

func measureCost(t *testing.T, count int) {
	c := startCluster(t, clusterConfig{nodes: costNodes, shards: count, replicas: 1, withoutProxies: true})
	client := c.client()
	queries := max(costWorkers, costSubRequests/count)
	c.sendQueries(client, costWarmupQueries)
	before := c.totals()
	start := time.Now()
	complete := c.sendQueries(client, queries)
	elapsed := time.Since(start)
	used := c.totals().minus(before).cpuSeconds
	subRequests := float64(complete * count)
	for _, p := range c.nodes {
		// The second signal makes the node exit at once; it still writes its CPU
		// profile.
		p.signal(t, syscall.SIGTERM)
		time.Sleep(50 * time.Millisecond)
		p.signal(t, syscall.SIGTERM)
		<-p.exited
	}
	fmt.Printf("{\"shards\":%d,\"queries\":%d,\"complete\":%d,\"processorMicros\":%.1f,\"subRequestsASecond\":%.0f}\n",
		count, queries, complete, used/subRequests*1e6, subRequests/elapsed.Seconds())
}

// sendQueries sends queries from costWorkers workers and returns how many answers
// were complete.
func (c *cluster) sendQueries(client *caller.Client, queries int) (complete int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for range costWorkers {
		group.Go(func() {
			for range queries / costWorkers {
				a, err := client.Query(context.Background(), query.Request{Kind: "search", Query: query.Text("record 1 ")})
				if err == nil && a.Coverage.Complete {
					mu.Lock()
					complete++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return complete
}
