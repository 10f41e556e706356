package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bronzereach/bronzereach/internal/standin"
)

// soakDuration is how long TestFaults keeps running further seeds.
var soakDuration = flag.Duration("long", 0, "keep running TestFaults with further seeds for this long")

// fault injects a failure and removes it again.
type fault struct {
	name  string
	apply func(c *cluster)
	heal  func(c *cluster)
}

// eachFirstReplica applies a change to the first replica of each service.
func (c *cluster) eachFirstReplica(change func(u *standin.Upstream)) {
	for _, upstreams := range c.upstreams {
		change(upstreams[0])
	}
}

func setFirstReplicaFaults(faults standin.UpstreamFaults) func(c *cluster) {
	return func(c *cluster) { c.eachFirstReplica(func(u *standin.Upstream) { u.InjectFaults(faults) }) }
}

func setPlatformFaults(faults standin.PlatformFaults) func(c *cluster) {
	return func(c *cluster) { c.platform.InjectFaults(faults) }
}

func signalLastNode(s syscall.Signal) func(c *cluster) {
	return func(c *cluster) { _ = c.nodes[len(c.nodes)-1].command.Process.Signal(s) }
}

// noop is the heal function of faults that can't be undone.
func noop(*cluster) {}

// faultList contains every fault that the requirements name for a running
// cluster.
var faultList = []fault{
	{"silentReplica", setFirstReplicaFaults(standin.UpstreamFaults{Silent: true}), setFirstReplicaFaults(standin.UpstreamFaults{})},
	{"truncatedReplies", setFirstReplicaFaults(standin.UpstreamFaults{Truncate: true}), setFirstReplicaFaults(standin.UpstreamFaults{})},
	{"swappedReplies", setFirstReplicaFaults(standin.UpstreamFaults{WrongRequest: true}), setFirstReplicaFaults(standin.UpstreamFaults{})},
	{"sheddingReplica", setFirstReplicaFaults(standin.UpstreamFaults{Shed: true}), setFirstReplicaFaults(standin.UpstreamFaults{})},
	{"lostReplica", func(c *cluster) { c.eachFirstReplica((*standin.Upstream).Close) }, noop},
	{"leavingReplica", func(c *cluster) { c.eachFirstReplica((*standin.Upstream).Leave) }, noop},
	{"repartition", func(c *cluster) {
		c.loadVersion(2, rotatedShards(2))
		time.Sleep(200 * time.Millisecond)
		c.dropVersion(1)
	}, noop},
	{"storeDown", setPlatformFaults(standin.PlatformFaults{Outage: true}), setPlatformFaults(standin.PlatformFaults{})},
	{"storeSlow", setPlatformFaults(standin.PlatformFaults{Delay: 300 * time.Millisecond}), setPlatformFaults(standin.PlatformFaults{})},
	{"storeSilent", setPlatformFaults(standin.PlatformFaults{Hang: true}), setPlatformFaults(standin.PlatformFaults{})},
	{"answersLost", setPlatformFaults(standin.PlatformFaults{ResponseLossRate: 0.3}), setPlatformFaults(standin.PlatformFaults{})},
	{"pausedNode", signalLastNode(syscall.SIGSTOP), signalLastNode(syscall.SIGCONT)},
	{"killedNode", signalLastNode(syscall.SIGKILL), noop},
	{"leavingNode", signalLastNode(syscall.SIGTERM), noop},
	{"silentLinks", func(c *cluster) {
		for _, p := range c.nodes {
			p.faultProxy.silenceOpen()
		}
	}, noop},
	{"zoneCut", func(c *cluster) { setZonePartition(c.nodes[:2], c.nodes[2:], true) }, func(c *cluster) { setZonePartition(c.nodes[:2], c.nodes[2:], false) }},
}

// faultPeriod is how long a pair of faults lasts.
const faultPeriod = 1500 * time.Millisecond

// faultSeeds are the seeds that CI runs.
var faultSeeds = []uint64{1, 2, 3, 4}

// TestFaults injects two faults at once, chosen by seed, under queries and keyed
// requests. It checks that every answer is correct and that every keyed request
// ran at most once.
func TestFaults(t *testing.T) {
	seeds := faultSeeds
	for start := time.Now(); ; seeds = []uint64{seeds[len(seeds)-1] + 1} {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runFaults(t, seed) })
		}
		if t.Failed() || time.Since(start) > *soakDuration {
			return
		}
	}
}

func runFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	chosen := []fault{faultList[random.IntN(len(faultList))], faultList[random.IntN(len(faultList))]}
	names := chosen[0].name + " and " + chosen[1].name
	t.Log(names)
	c := newCluster(t, 3)
	load := c.backgroundLoad(c.client())
	history := c.recordKeyedHistory(seed, func(c *cluster) {
		for _, f := range chosen {
			f.apply(c)
		}
		time.Sleep(faultPeriod)
		for _, f := range chosen {
			f.heal(c)
		}
	}, false)
	answers, failures := load.finish()
	incomplete := checkAnswers(t, answers)
	t.Logf("%d answers, %d incomplete, %d failures, %d keyed operations", len(answers), incomplete, len(failures), len(history))
	if !porcupine.CheckOperations(atMostOnceModel, history) {
		t.Errorf("%s: the history of keyed requests violates at-most-once execution", names)
		logKeys(t, history)
	}
	if len(answers) == 0 {
		t.Errorf("%s: no query was answered", names)
	}
}

// logKeys logs the operations on the keys that fail the check.
func logKeys(t *testing.T, history []porcupine.Operation) {
	t.Helper()
	for _, part := range atMostOnceModel.Partition(history) {
		if porcupine.CheckOperations(atMostOnceModel, part) {
			continue
		}
		slices.SortFunc(part, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		var lines []string
		for _, operation := range part {
			lines = append(lines, fmt.Sprintf("%+v", operation))
		}
		t.Log(strings.Join(lines, "\n"))
	}
}
