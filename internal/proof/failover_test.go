package proof

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/node"
	"github.com/bronzereach/bronzereach/internal/peer"
	"github.com/bronzereach/bronzereach/internal/platform"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/caller"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// enforceBounds makes tests fail if a measured time exceeds its limit. Without it
// they only wait for the conditions, so that a busy machine causes no failures.
var enforceBounds = flag.Bool("figures", false, "fail if a measured time exceeds its limit")

// checkDuration logs a measured time and, with -figures, checks it.
func checkDuration(t *testing.T, what string, took, limit time.Duration) {
	t.Helper()
	t.Logf("%s took %v, limit %v", what, took, limit)
	if *enforceBounds && took > limit {
		t.Errorf("%s took %v, limit %v", what, took, limit)
	}
}

// takeoverLimit is the time within which other nodes must serve the services of a
// failed node.
const takeoverLimit = 2 * time.Second

// TestKilledNode kills a node under load: other nodes must take over its services
// in time, no query may fail, and every answer must be complete and correct.
func TestKilledNode(t *testing.T) {
	c := newCluster(t, 3)
	client := caller.New(caller.Config{Seeds: []string{c.nodes[0].caller, c.nodes[1].caller}})
	load := c.backgroundLoad(client)
	time.Sleep(500 * time.Millisecond)
	c.nodes[2].signal(t, syscall.SIGKILL)
	killed := time.Now()
	<-c.nodes[2].exited
	c.awaitGates(2)
	took := time.Since(killed)
	time.Sleep(300 * time.Millisecond)
	answers, failures := load.finish()
	incomplete, slowest := 0, int64(0)
	for _, a := range answers {
		checkAnswer(t, a)
		if !a.Coverage.Complete {
			incomplete++
		}
		slowest = max(slowest, a.Times.TookMicros)
	}
	t.Logf("took over in %v; %d answers, %d incomplete, %d failures, slowest %d µs", took, len(answers), incomplete, len(failures), slowest)
	if incomplete > 0 || len(failures) > 0 {
		t.Errorf("%d incomplete, %d without an answer", incomplete, len(failures))
	}
	checkDuration(t, "takeover", took, takeoverLimit)
}

// awaitGates waits until every service has a gate on one of the first count
// nodes.
func (c *cluster) awaitGates(count int) {
	c.t.Helper()
	c.await("all services have a gate again", func() bool {
		held := map[string]int{}
		for _, p := range c.nodes[:count] {
			status, _ := c.status(p)
			for _, gate := range status.Gates {
				held[gate]++
			}
		}
		return len(held) == shards+1
	})
}

// TestPausedNode pauses a node under load, until other nodes have taken over its
// services, and resumes it. Although it resumes with outdated state, all answers
// must be correct, the resumed node must answer completely with the current
// configuration, and upstreams' connection limits must be kept.
func TestPausedNode(t *testing.T) {
	c := newCluster(t, 3)
	client := caller.New(caller.Config{Seeds: []string{c.nodes[0].caller}})
	load := c.backgroundLoad(client)
	c.nodes[2].signal(t, syscall.SIGSTOP)
	c.awaitGates(2)
	time.Sleep(3 * time.Second)
	c.nodes[2].signal(t, syscall.SIGCONT)
	c.awaitReady()
	answers, _ := load.finish()
	incomplete := checkAnswers(t, answers)
	t.Logf("%d answers, %d incomplete", len(answers), incomplete)
	a := c.mustSendRequest(c.nodes[2], query.Request{Kind: "search", Query: query.Text("record")})
	checkAnswer(t, a)
	if !a.Coverage.Complete || !a.Config.Current {
		t.Errorf("after the pause: coverage %+v, config %+v", a.Coverage.Omitted, a.Config)
	}
	for _, upstreams := range c.upstreams {
		for _, u := range upstreams {
			if _, connections := u.Peaks(); connections > 24 {
				t.Errorf("an upstream saw %d connections, its limit is 24", connections)
			}
		}
	}
}

// TestReleasedGateIsTakenAgain: a node that a late message makes release a service,
// although it is the service's gate by everybody's view, becomes the gate again.
func TestReleasedGateIsTakenAgain(t *testing.T) {
	c := newCluster(t, 2)
	status, _ := c.status(c.nodes[0])
	network := peer.NewNetwork(peer.Config{
		VM: "vm-late", Process: 1, Clock: &timeline.Clock{}, Timers: timer.NewService(), Log: logr.Discard(),
	})
	for _, service := range status.Gates {
		call := &wire.Call{Body: &wire.Call_Release{Release: &wire.Release{Service: service}}}
		if _, err := network.CallUnary(t.Context(), c.nodes[0].vm, c.nodes[0].advertised, call); err != nil {
			t.Fatal(err)
		}
	}
	released := time.Now()
	c.awaitGates(2)
	checkDuration(t, "taking released services again", time.Since(released), takeoverLimit)
	a := c.mustSendRequest(c.nodes[1], query.Request{Kind: "search", Query: query.Text("record")})
	checkAnswer(t, a)
	if !a.Coverage.Complete {
		t.Errorf("coverage %+v", a.Coverage.Omitted)
	}
}

// TestGracefulStop stops two of three nodes in turn under load: no request may
// fail or be incomplete.
func TestGracefulStop(t *testing.T) {
	c := newCluster(t, 3)
	load := c.backgroundLoad(c.client())
	for _, p := range slices.Clone(c.nodes[:2]) {
		p.signal(t, syscall.SIGTERM)
		<-p.exited
		if code := p.command.ProcessState.ExitCode(); code != 0 {
			t.Errorf("%s left with exit code %d\n%s", p.vm, code, tail(p.stderr.String()))
		}
		c.publishVMs()
	}
	answers, failures := load.finish()
	incomplete := checkAnswers(t, answers)
	t.Logf("%d answers, %d incomplete, %d failures", len(answers), incomplete, len(failures))
	if incomplete > 0 || len(failures) > 0 {
		t.Errorf("%d incomplete, %d without an answer: %v", incomplete, len(failures), failures)
	}
}

// leaveLimit is the time after which a leaving upstream must get no new requests.
const leaveLimit = 3 * time.Second

// TestLeavingUpstream checks that an upstream that is leaving gets no new requests
// after leaveLimit, for four kinds of notice: the upstream refuses requests, it
// reports in its state that it is leaving although healthy, it tells so only in its
// replies, or the platform lists it as leaving.
func TestLeavingUpstream(t *testing.T) {
	for name, giveNotice := range map[string]func(c *cluster, u *standin.Upstream){
		"refuses": func(_ *cluster, u *standin.Upstream) { u.Leave() },
		"state":   func(_ *cluster, u *standin.Upstream) { u.AnnounceLeaving() },
		"replies": func(_ *cluster, u *standin.Upstream) { u.TellLeaving() },
		"listed": func(c *cluster, u *standin.Upstream) {
			vms := []platform.VM{{Name: "upstream", Address: u.Address(), Leaving: true}}
			for _, p := range c.nodes {
				vms = append(vms, platform.VM{Name: p.vm, Address: p.advertised})
			}
			c.platform.SetVMs(vms)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			load := c.backgroundLoad(c.client())
			u := c.upstreams["records-1"][0]
			c.await("the upstream gets requests", func() bool { return len(u.Executions()) > 0 })
			time.Sleep(300 * time.Millisecond)
			noticed := time.Now()
			giveNotice(c, u)
			time.Sleep(leaveLimit + time.Second)
			answers, _ := load.finish()
			for _, a := range answers {
				checkAnswer(t, a)
			}
			last := time.Duration(0)
			for _, execution := range u.Executions() {
				last = max(last, execution.Started.Sub(noticed))
			}
			t.Logf("last new request %v after the notice", last)
			if last > leaveLimit {
				t.Errorf("last new request %v after the notice", last)
			}
		})
	}
}

// TestSilentLink silences the open connections between two nodes while new ones
// work: no query may fail or be incomplete.
func TestSilentLink(t *testing.T) {
	c := newCluster(t, 2)
	load := c.backgroundLoad(caller.New(caller.Config{Seeds: []string{c.nodes[0].caller}}))
	time.Sleep(300 * time.Millisecond)
	for _, p := range c.nodes {
		p.faultProxy.silenceOpen()
	}
	time.Sleep(2 * time.Second)
	answers, failures := load.finish()
	incomplete := checkAnswers(t, answers)
	t.Logf("%d answers, %d incomplete, %d failures", len(answers), incomplete, len(failures))
	if incomplete > 0 || len(failures) > 0 {
		t.Errorf("%d incomplete, %d without an answer", incomplete, len(failures))
	}
}

// trialledDocument returns the cluster's document with a comment added, and stores
// the record that it passed a trial.
func (c *cluster) trialledDocument(comment string) string {
	text := "# " + comment + "\n" + c.text
	c.platform.Store(promotion.TrialKey(document.Digest([]byte(text))), []byte("{}"))
	return text
}

// promote sends a promotion to a node and returns its result.
func (c *cluster) promote(p *process, text string, base uint64) promotion.Result {
	c.t.Helper()
	body, err := json.Marshal(node.PromotionRequest{Operator: p.vm, Text: text, Base: base})
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.Post("http://"+p.caller+node.PromotionsPath, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	var result promotion.Result
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		c.t.Fatal(err)
	}
	return result
}

// awaitVersion waits until all running nodes use at least the given configuration
// version, and returns how long that took.
func (c *cluster) awaitVersion(version uint64) time.Duration {
	c.t.Helper()
	start := time.Now()
	c.await("the configuration is in force everywhere", func() bool {
		for _, p := range c.runningNodes() {
			if status, ok := c.status(p); !ok || status.ConfigVersion < version {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

// activationLimit is the time within which all nodes must use an accepted
// configuration.
const activationLimit = 3 * time.Second

// TestPromotion promotes a document, then another one with the platform's store
// failing right after it has accepted the write. Both must reach all nodes in time.
func TestPromotion(t *testing.T) {
	c := newCluster(t, 3)
	if result := c.promote(c.nodes[0], "# not trialled\n"+c.text, 0); result.Outcome != promotion.NotTrialled {
		t.Errorf("without trial: %+v", result)
	}
	result := c.promote(c.nodes[1], c.trialledDocument("second"), 1)
	if result.Outcome != promotion.Accepted {
		t.Fatalf("%+v", result)
	}
	took := c.awaitVersion(result.Version)
	c.platform.FailAfterWrite(promotion.ConfigKey("proof"))
	result = c.promote(c.nodes[2], c.trialledDocument("third"), result.Version)
	if result.Outcome != promotion.Accepted {
		t.Fatalf("%+v", result)
	}
	tookDuringOutage := c.awaitVersion(result.Version)
	t.Logf("in force after %v; with the store down after %v", took, tookDuringOutage)
	checkDuration(t, "activation", took, activationLimit)
	checkDuration(t, "activation with the store down", tookDuringOutage, activationLimit)
	if a := c.promote(c.nodes[0], c.trialledDocument("fourth"), 0); a.Outcome != promotion.NotDone {
		t.Errorf("with the store down: %+v", a)
	}
}

// raceCount is the number of races between two promotions.
const raceCount = 25

// TestPromotionRaces runs two promotions at once while the platform loses
// responses: at most one may be accepted, the other must be told the winner, and
// every version that took effect must have been reported as accepted.
func TestPromotionRaces(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.InjectFaults(standin.PlatformFaults{ResponseLossRate: 0.2})
	accepted := map[string]uint64{}
	for race := range raceCount {
		_, base := c.platform.Load(promotion.ConfigKey("proof"))
		var results [2]promotion.Result
		var group sync.WaitGroup
		for i := range results {
			text := c.trialledDocument(fmt.Sprintf("race %d of %d", race, i))
			group.Go(func() { results[i] = c.promote(c.nodes[i], text, base) })
		}
		group.Wait()
		checkRace(t, race, results, accepted)
	}
	_, version := c.platform.Load(promotion.ConfigKey("proof"))
	c.platform.InjectFaults(standin.PlatformFaults{})
	c.awaitVersion(version)
	if len(accepted) < raceCount/2 {
		t.Errorf("only %d of %d races had an accepted promotion", len(accepted), raceCount)
	}
	value, _ := c.platform.Load(promotion.ConfigKey("proof"))
	record, err := promotion.DecodeRecord(value)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range record.History {
		if entry.PromotionID != "first" && accepted[entry.PromotionID] != entry.Version {
			t.Errorf("version %d took effect but its operator was not told that it was accepted", entry.Version)
		}
	}
}

// checkRace checks that at most one promotion of a race was accepted and that a
// promotion with a conflict was told the winner. It adds accepted promotions to
// accepted.
func checkRace(t *testing.T, race int, results [2]promotion.Result, accepted map[string]uint64) {
	t.Helper()
	winners := 0
	for i, result := range results {
		if result.Outcome == promotion.Accepted {
			winners++
			accepted[result.PromotionID] = result.Version
		}
		other := results[1-i]
		if result.Outcome == promotion.Conflict && (result.Winner == nil || result.Winner.PromotionID != other.PromotionID) {
			t.Errorf("race %d: the loser was told %+v, the winner is %s", race, result.Winner, other.PromotionID)
		}
	}
	if winners > 1 {
		t.Errorf("race %d: %d winners", race, winners)
	}
}

// TestReplacedDuringOutage replaces all nodes but one, one after another, during
// an outage of the platform: new nodes must get the configuration from their peers
// and answer completely.
func TestReplacedDuringOutage(t *testing.T) {
	c := newCluster(t, 3)
	result := c.promote(c.nodes[0], c.trialledDocument("second"), 0)
	c.awaitVersion(result.Version)
	c.platform.InjectFaults(standin.PlatformFaults{Outage: true})
	for i, p := range slices.Clone(c.nodes[:2]) {
		p.signal(t, syscall.SIGKILL)
		<-p.exited
		c.nodes = slices.DeleteFunc(c.nodes, func(q *process) bool { return q == p })
		replacement := c.start(fmt.Sprintf("vm-new-%d", i))
		c.awaitReady()
		a := c.mustSendRequest(replacement, query.Request{Kind: "search", Query: query.Text("record")})
		checkAnswer(t, a)
		if !a.Coverage.Complete || a.Config.Version != result.Version || a.Status != answer.Ran {
			t.Errorf("after replacement %d: config %+v, coverage %+v", i, a.Config, a.Coverage.Omitted)
		}
	}
}

// TestCutOffNode isolates a node from the platform and from its peers: it must
// report that its configuration may be outdated, and its answers must stay
// correct.
func TestCutOffNode(t *testing.T) {
	c := newCluster(t, 3)
	c.platform.InjectFaults(standin.PlatformFaults{Outage: true})
	for _, p := range c.nodes[:2] {
		p.signal(t, syscall.SIGSTOP)
	}
	c.await("the isolated node reports that its configuration may be outdated", func() bool {
		status, ok := c.status(c.nodes[2])
		return ok && !status.ConfigCurrent
	})
	a := c.mustSendRequest(c.nodes[2], query.Request{Kind: "search", Query: query.Text("record")})
	checkAnswer(t, a)
	if a.Config.Current {
		t.Errorf("the isolated node's answer calls its configuration current: %+v", a.Config)
	}
	for _, p := range c.nodes[:2] {
		p.signal(t, syscall.SIGCONT)
	}
	c.awaitReady()
}
