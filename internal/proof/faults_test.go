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

// long makes TestFaults go on with one seed after another for this long.
var long = flag.Duration("long", 0, "run seeds of combined faults for this long")

// fault is one thing that goes wrong, and how it is put right.
type fault struct {
	name  string
	apply func(c *cluster)
	heal  func(c *cluster)
}

// each calls a function on the first replica of each service.
func (c *cluster) each(change func(u *standin.Upstream)) {
	for _, upstreams := range c.upstreams {
		change(upstreams[0])
	}
}

func misbehave(misbehaviour standin.Misbehaviour) func(c *cluster) {
	return func(c *cluster) { c.each(func(u *standin.Upstream) { u.Misbehave(misbehaviour) }) }
}

func platformFault(faults standin.Faults) func(c *cluster) {
	return func(c *cluster) { c.platform.SetFaults(faults) }
}

func signalLast(s syscall.Signal) func(c *cluster) {
	return func(c *cluster) { _ = c.nodes[len(c.nodes)-1].command.Process.Signal(s) }
}

func nothing(*cluster) {}

// faultList names every fault of the users' pages that a running cluster can
// suffer.
var faultList = []fault{
	{"silentReplica", misbehave(standin.Misbehaviour{Silent: true}), misbehave(standin.Misbehaviour{})},
	{"truncatedReplies", misbehave(standin.Misbehaviour{Truncate: true}), misbehave(standin.Misbehaviour{})},
	{"swappedReplies", misbehave(standin.Misbehaviour{Swap: true}), misbehave(standin.Misbehaviour{})},
	{"sheddingReplica", misbehave(standin.Misbehaviour{Shed: true}), misbehave(standin.Misbehaviour{})},
	{"lostReplica", func(c *cluster) { c.each((*standin.Upstream).Close) }, nothing},
	{"leavingReplica", func(c *cluster) { c.each((*standin.Upstream).Leave) }, nothing},
	{"repartition", func(c *cluster) { c.hold(2, uneven(2)); time.Sleep(200 * time.Millisecond); c.drop(1) }, nothing},
	{"storeDown", platformFault(standin.Faults{Outage: true}), platformFault(standin.Faults{})},
	{"storeSlow", platformFault(standin.Faults{Delay: 300 * time.Millisecond}), platformFault(standin.Faults{})},
	{"storeSilent", platformFault(standin.Faults{Hang: true}), platformFault(standin.Faults{})},
	{"answersLost", platformFault(standin.Faults{LoseAnswers: 0.3}), platformFault(standin.Faults{})},
	{"pausedNode", signalLast(syscall.SIGSTOP), signalLast(syscall.SIGCONT)},
	{"killedNode", signalLast(syscall.SIGKILL), nothing},
	{"leavingNode", signalLast(syscall.SIGTERM), nothing},
	{"silentLinks", func(c *cluster) {
		for _, p := range c.nodes {
			p.freezer.freeze()
		}
	}, nothing},
	{"zoneCut", func(c *cluster) { cutZone(c.nodes[:2], c.nodes[2:], true) }, func(c *cluster) { cutZone(c.nodes[:2], c.nodes[2:], false) }},
}

// faultPeriod is how long two faults last together.
const faultPeriod = 1500 * time.Millisecond

// faultSeeds are the seeds of CI.
var faultSeeds = []uint64{1, 2, 3, 4}

// TestFaults lets two faults happen at once under queries and keyed requests,
// by seed, and checks the whole record.
func TestFaults(t *testing.T) {
	seeds := faultSeeds
	for start := time.Now(); ; seeds = []uint64{seeds[len(seeds)-1] + 1} {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runFaults(t, seed) })
		}
		if t.Failed() || time.Since(start) > *long {
			return
		}
	}
}

func runFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	drawn := []fault{faultList[random.IntN(len(faultList))], faultList[random.IntN(len(faultList))]}
	names := drawn[0].name + " and " + drawn[1].name
	t.Log(names)
	c := newCluster(t, 3)
	s := c.storm(c.client())
	history := c.onceHistory(seed, func(c *cluster) {
		for _, f := range drawn {
			f.apply(c)
		}
		time.Sleep(faultPeriod)
		for _, f := range drawn {
			f.heal(c)
		}
	}, false)
	answers, failures := s.end()
	incomplete := audit(t, answers)
	t.Logf("%d answers, %d incomplete, %d failures, %d keyed operations", len(answers), incomplete, len(failures), len(history))
	if !porcupine.CheckOperations(onceModel, history) {
		t.Errorf("%s: the keyed requests did not run at most once", names)
		logKeys(t, history)
	}
	if len(answers) == 0 {
		t.Errorf("%s: no answers", names)
	}
}

// logKeys prints the histories of the keys that fail the check.
func logKeys(t *testing.T, history []porcupine.Operation) {
	t.Helper()
	for _, part := range onceModel.Partition(history) {
		if porcupine.CheckOperations(onceModel, part) {
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
