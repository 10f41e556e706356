package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
)

// history records operations with their call and return times, for a check with
// porcupine.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// elapsed returns the nanoseconds since the start of the history.
func (h *history) elapsed() int64 {
	return time.Since(h.start).Nanoseconds()
}

// add records an operation that returns now.
func (h *history) add(client int, input, output any, call int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: call, Return: h.elapsed(),
	})
}

// submission is the input of a request submitted under a key.
type submission struct{ key string }

// observation is the input of reading, after all submissions, how often the
// upstreams ran the request of a key.
type observation struct{ key string }

// atMostOnceModel models a key by how often its request has run: 0 or 1. A
// submission may run the request if it has not run yet. Its answer must be true
// at some moment between its call and its return, and an observation must find
// as many executions at the upstreams as the model has.
var atMostOnceModel = (&porcupine.NondeterministicModel{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range operations {
			key := keyOf(operation.Input)
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		runs := state.(int)
		if _, observed := input.(observation); observed {
			if output.(int) == runs {
				return []any{runs}
			}
			return nil
		}
		switch output.(answer.Status) {
		case answer.RanOnce:
			return []any{1}
		case answer.NotRun:
			if runs == 0 {
				return []any{0}
			}
			return nil
		default:
			return []any{runs, 1}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func keyOf(input any) string {
	if s, ok := input.(submission); ok {
		return s.key
	}
	return input.(observation).key
}

// Sizes of a history of keyed requests. Each worker makes onceSubmissions
// submissions.
const (
	onceKeys        = 12
	onceWorkers     = 6
	onceSubmissions = 12
	// settleTime lets processes finish what they had started before the
	// upstreams' executions are counted.
	settleTime = 500 * time.Millisecond
)

// onceFaults are the faults that TestOnceHistories injects, by name.
var onceFaults = map[string]func(c *cluster){
	"none":        func(*cluster) {},
	"lostAnswers": func(c *cluster) { c.platform.InjectFaults(standin.PlatformFaults{ResponseLossRate: 0.3}) },
	"outage":      func(c *cluster) { c.platform.InjectFaults(standin.PlatformFaults{Outage: true}) },
	"brokenReplies": func(c *cluster) {
		c.upstreams["orders"][0].InjectFaults(standin.UpstreamFaults{Truncate: true})
	},
	"killedNode": func(c *cluster) { _ = c.nodes[2].command.Process.Signal(syscall.SIGKILL) },
	"pausedNode": func(c *cluster) { _ = c.nodes[2].command.Process.Signal(syscall.SIGSTOP) },
	"silentLinks": func(c *cluster) {
		for _, p := range c.nodes {
			p.faultProxy.silenceOpen()
		}
	},
}

// TestOnceHistories checks that keyed requests run at most once, and that their
// statuses are true, under each fault.
func TestOnceHistories(t *testing.T) {
	for name, fault := range onceFaults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			h := c.recordKeyedHistory(1, fault, false)
			if porcupine.CheckOperations(atMostOnceModel, h) {
				return
			}
			for _, operation := range h {
				t.Logf("%+v", operation)
			}
			t.Error("the history violates at-most-once execution")
		})
	}
}

// TestOnceCheckCatches verifies the check itself: it injects a bug, a caller that
// uses a new key for each submission, and expects the check to fail.
func TestOnceCheckCatches(t *testing.T) {
	c := newCluster(t, 3)
	if porcupine.CheckOperations(atMostOnceModel, c.recordKeyedHistory(1, func(*cluster) {}, true)) {
		t.Error("requests that ran more than once passed the check")
	}
}

// recordKeyedHistory makes submissions from several workers under a fault and
// then observes the upstreams' executions. With freshKeys, each submission uses a
// new key, which is the bug of TestOnceCheckCatches.
func (c *cluster) recordKeyedHistory(seed uint64, fault func(*cluster), freshKeys bool) []porcupine.Operation {
	h := &history{start: time.Now()}
	keys := make([]string, onceKeys)
	for i := range keys {
		keys[i] = fmt.Sprintf("own-%d", i)
		if i%2 == 0 {
			keys[i] = c.ticket(c.nodes[i%len(c.nodes)])
		}
	}
	var group sync.WaitGroup
	for worker := range onceWorkers {
		group.Go(func() { c.submit(h, worker, keys, rand.New(rand.NewPCG(seed, uint64(worker))), freshKeys) })
	}
	time.Sleep(20 * time.Millisecond)
	fault(c)
	group.Wait()
	// A process that was paused may still finish what it had started.
	for _, p := range c.runningNodes() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(settleTime)
	for i, key := range keys {
		h.add(onceWorkers, observation{key}, c.executions("orders", fmt.Sprintf("parcel %d", i)), h.elapsed())
	}
	return h.operations
}

// submit makes the submissions of one worker, each for a random key at a random
// node.
func (c *cluster) submit(h *history, worker int, keys []string, random *rand.Rand, freshKeys bool) {
	for range onceSubmissions {
		i := random.IntN(len(keys))
		p := c.nodes[random.IntN(len(c.nodes))]
		request := orderRequest(fmt.Sprintf("parcel %d", i), keys[i])
		if freshKeys {
			request.Key = fmt.Sprintf("forgotten-%d", random.Uint64())
		}
		call := h.elapsed()
		a, err := c.sendRequest(p, request)
		status := answer.Unknown
		if err == nil {
			status = a.Status
		}
		h.add(worker, submission{keys[i]}, status, call)
	}
}

// configWrite is the input of a promotion based on a version; its output is a
// promotion.Result.
type configWrite struct{ base uint64 }

// configModel models the configuration by its current version: a promotion is
// accepted only if it is based on that version.
var configModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, input, output any) []any {
		version, base := state.(uint64), input.(configWrite).base
		switch result := output.(promotion.Result); result.Outcome {
		case promotion.Accepted:
			if version == base && result.Version == base+1 {
				return []any{version + 1}
			}
			return nil
		case promotion.Conflict:
			if version != base {
				return []any{version}
			}
			return nil
		case promotion.Undecided:
			if version == base {
				return []any{version, version + 1}
			}
			return []any{version}
		default:
			return []any{version}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// recordConfigHistory promotes from all nodes concurrently, each based on the
// newest version that it knows.
func (c *cluster) recordConfigHistory(rounds int) []porcupine.Operation {
	h := &history{start: time.Now()}
	var group sync.WaitGroup
	for i, p := range c.nodes {
		group.Go(func() {
			base := uint64(1)
			for round := range rounds {
				text := c.trialledDocument(fmt.Sprintf("round %d by %d", round, i))
				call := h.elapsed()
				result := c.promote(p, text, base)
				h.add(i, configWrite{base}, result, call)
				base = max(base, result.Version)
			}
		})
	}
	group.Wait()
	return h.operations
}

// configRounds is the number of promotions by each node in a history.
const configRounds = 8

// TestConfigHistory checks that concurrent promotions are linearizable while the
// platform loses responses.
func TestConfigHistory(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.InjectFaults(standin.PlatformFaults{ResponseLossRate: 0.2})
	h := c.recordConfigHistory(configRounds)
	if !porcupine.CheckOperations(configModel, h) {
		t.Errorf("the promotions are not linearizable: %+v", h)
	}
}

// TestConfigCheckCatches verifies the check itself: it injects a bug, a platform
// store that ignores the conditions of writes, and expects the check to fail.
func TestConfigCheckCatches(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.InjectFaults(standin.PlatformFaults{IgnoreConditions: true, Delay: 5 * time.Millisecond})
	if porcupine.CheckOperations(configModel, c.recordConfigHistory(configRounds)) {
		t.Error("promotions that overwrote each other passed the check")
	}
}
