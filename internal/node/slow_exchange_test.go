package node

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
)

// pauseRequested holds the control goroutine up, as a busy machine does.
type pauseRequested struct {
	pause time.Duration
}

func (e pauseRequested) apply(context.Context, *control, time.Time) {
	time.Sleep(e.pause)
}

// TestSlowExchangeCutsNoOrder: a gate answered an exchange too late, and the orders that
// it was running for the other node were answered unknown, as their link was closed.
func TestSlowExchangeCutsNoOrder(t *testing.T) {
	const serviceTime = 1200 * time.Millisecond
	c := newClusterWithUpstream(t, standin.UpstreamConfig{
		Address: "127.0.0.1:0", Slots: 4, Queue: 4,
		ServiceTime: func(*rand.Rand) time.Duration { return serviceTime },
	})
	first, _ := c.start("vm-1", "127.0.0.1:0")
	second, _ := c.start("vm-2", "127.0.0.1:0", first.PeerAddress())
	await(t, "the nodes see each other ready", func() bool { return readyMembers(first) == 2 && readyMembers(second) == 2 })
	var gate, other *Node
	await(t, "one node is the gate", func() bool {
		gate, other = first, second
		if second.gates.IsGateOf("orders") {
			gate, other = second, first
		}
		return first.gates.IsGateOf("orders") != second.gates.IsGateOf("orders") &&
			other.View().Assignment.Gate("orders") == gate.options.VM
	})
	answers := make(chan *answer.Answer, 1)
	ticket := c.ticket(other)
	go func() { answers <- order(other, "parcel", ticket) }()
	await(t, "the order runs", func() bool { return len(c.upstream.Executions()) == 1 })
	gate.control.post(pauseRequested{pause: 2 * exchangeTimeout})
	if a := <-answers; a.Status != answer.RanOnce {
		t.Errorf("answered %v, error %+v", a.Status, a.Error)
	}
}
