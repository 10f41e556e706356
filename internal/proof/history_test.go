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

// history records operations with the times of their call and return.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (h *history) now() int64 {
	return time.Since(h.start).Nanoseconds()
}

func (h *history) add(client int, input, output any, call int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: call, Return: h.now(),
	})
}

// submission is a request under a key; observation is the look at the
// upstreams when all is over.
type submission struct{ key string }

type observation struct{ key string }

// onceModel is a key's truth: whether the request has run. A submission may
// run it if it has not run; what it answers must be true at some moment between
// its call and its return; the upstreams must have run it as often as that.
var onceModel = (&porcupine.NondeterministicModel{
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
		ran := state.(int)
		if _, observed := input.(observation); observed {
			if output.(int) == ran {
				return []any{ran}
			}
			return nil
		}
		switch output.(answer.Status) {
		case answer.RanOnce:
			return []any{1}
		case answer.NotRun:
			if ran == 0 {
				return []any{0}
			}
			return nil
		default:
			return []any{ran, 1}
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

// Sizes of a history of keyed requests.
const (
	onceKeys    = 12
	onceWorkers = 6
	onceSubmits = 12
	// afterwards is the time that processes get to end what they had begun.
	afterwards = 500 * time.Millisecond
)

// onceFaults are the faults that a history runs under, by name.
var onceFaults = map[string]func(c *cluster){
	"none":        func(*cluster) {},
	"lostAnswers": func(c *cluster) { c.platform.SetFaults(standin.Faults{LoseAnswers: 0.3}) },
	"outage":      func(c *cluster) { c.platform.SetFaults(standin.Faults{Outage: true}) },
	"brokenReplies": func(c *cluster) {
		c.upstreams["orders"][0].Misbehave(standin.Misbehaviour{Truncate: true})
	},
	"killedNode": func(c *cluster) { _ = c.nodes[2].command.Process.Signal(syscall.SIGKILL) },
	"pausedNode": func(c *cluster) { _ = c.nodes[2].command.Process.Signal(syscall.SIGSTOP) },
	"silentLinks": func(c *cluster) {
		for _, p := range c.nodes {
			p.freezer.freeze()
		}
	},
}

// TestOnceHistories checks histories of keyed requests under each fault.
func TestOnceHistories(t *testing.T) {
	for name, fault := range onceFaults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			h := c.onceHistory(1, fault, false)
			if porcupine.CheckOperations(onceModel, h) {
				return
			}
			for _, operation := range h {
				t.Logf("%+v", operation)
			}
			t.Error("the history is not that of requests which run at most once")
		})
	}
}

// TestOnceCheckCatches plants a bug, a caller that loses the key between two
// submissions, and expects the check to see it.
func TestOnceCheckCatches(t *testing.T) {
	c := newCluster(t, 3)
	if porcupine.CheckOperations(onceModel, c.onceHistory(1, func(*cluster) {}, true)) {
		t.Error("requests that ran more than once passed the check")
	}
}

// onceHistory runs submissions from several workers and ends with a look at
// the upstreams. With forget, each submission uses a fresh key.
func (c *cluster) onceHistory(seed uint64, fault func(*cluster), forget bool) []porcupine.Operation {
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
		group.Go(func() { c.submit(h, worker, keys, rand.New(rand.NewPCG(seed, uint64(worker))), forget) })
	}
	time.Sleep(20 * time.Millisecond)
	fault(c)
	group.Wait()
	// A process that was paused may still do what it had begun.
	for _, p := range c.running() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(afterwards)
	for i, key := range keys {
		h.add(onceWorkers, observation{key}, c.executions("orders", fmt.Sprintf("parcel %d", i)), h.now())
	}
	return h.operations
}

func (c *cluster) submit(h *history, worker int, keys []string, random *rand.Rand, forget bool) {
	for range onceSubmits {
		i := random.IntN(len(keys))
		p := c.nodes[random.IntN(len(c.nodes))]
		request := order(fmt.Sprintf("parcel %d", i), keys[i])
		if forget {
			request.Key = fmt.Sprintf("forgotten-%d", random.Uint64())
		}
		call := h.now()
		a, err := c.ask(p, request)
		status := answer.Unknown
		if err == nil {
			status = a.Status
		}
		h.add(worker, submission{keys[i]}, status, call)
	}
}

// configWrite is a promotion on a base; its output is a promotion.Result.
type configWrite struct{ base uint64 }

// configModel is the version in force: a promotion is accepted only on the
// version that it was made from.
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

// configHistory promotes from both nodes at once, each on the version it last
// saw, while the platform loses answers.
func (c *cluster) configHistory(rounds int) []porcupine.Operation {
	h := &history{start: time.Now()}
	var group sync.WaitGroup
	for i, p := range c.nodes {
		group.Go(func() {
			base := uint64(1)
			for round := range rounds {
				text := c.trialled(fmt.Sprintf("round %d by %d", round, i))
				call := h.now()
				result := c.promote(p, text, base)
				h.add(i, configWrite{base}, result, call)
				base = max(base, result.Version)
			}
		})
	}
	group.Wait()
	return h.operations
}

// configRounds is the number of promotions of each operator in a history.
const configRounds = 8

func TestConfigHistory(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(standin.Faults{LoseAnswers: 0.2})
	h := c.configHistory(configRounds)
	if !porcupine.CheckOperations(configModel, h) {
		t.Errorf("the promotions are not linearizable: %+v", h)
	}
}

// TestConfigCheckCatches plants a bug, a store that forgets the conditions of
// writes, and expects the check to see it.
func TestConfigCheckCatches(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(standin.Faults{Unconditional: true, Delay: 5 * time.Millisecond})
	if porcupine.CheckOperations(configModel, c.configHistory(configRounds)) {
		t.Error("promotions that overwrote each other passed the check")
	}
}
