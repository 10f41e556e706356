package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
)

// TestForwardedOrderIsAnsweredWithinItsTime: the process that ran it answered after the
// deadline of the node that waited, and was taken for lost.
func TestForwardedOrderIsAnsweredWithinItsTime(t *testing.T) {
	// deadline is that of the kind in rejoinDocument.
	const deadline, serviceTime = 2 * time.Second, 2500 * time.Millisecond
	c := newClusterWithUpstream(t, standin.UpstreamConfig{
		Address: "127.0.0.1:0", Slots: 4, Queue: 4,
		ServiceTime: func(*rand.Rand) time.Duration { return serviceTime },
	})
	first, _ := c.start("vm-1", "127.0.0.1:0")
	second, _ := c.start("vm-2", "127.0.0.1:0", first.PeerAddress())
	await(t, "the nodes see each other ready", func() bool { return readyMembers(first) == 2 && readyMembers(second) == 2 })
	ticket := c.ticket(first)
	for _, n := range []*Node{second, first, second} {
		started := time.Now()
		a := order(n, "parcel", ticket)
		if took := time.Since(started); took > serviceTime {
			t.Errorf("%s answered after %s, its deadline is %s", n.options.VM, took, deadline)
		}
		if a.Status != answer.Unknown || a.Error != nil && a.Error.Code == answer.CodeGateLost {
			t.Errorf("%s answered %v, error %+v", n.options.VM, a.Status, a.Error)
		}
	}
	if ran := len(c.upstream.Executions()); ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}
