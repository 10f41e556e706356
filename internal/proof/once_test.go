package proof

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// orderRequest returns a request that must not be repeated.
func orderRequest(text, key string) query.Request {
	return query.Request{Kind: "order", Query: query.Text(text), Key: key}
}

// TestTicketRunsOnce sends requests with the same ticket to all nodes at once and
// checks that each ticket runs exactly once.
func TestTicketRunsOnce(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 20 {
		text := fmt.Sprintf("parcel %d", i)
		ticket := c.ticket(c.nodes[i%3])
		statuses := c.sendToAllNodes(orderRequest(text, ticket))
		if got := c.executions("orders", text); got != 1 {
			t.Errorf("%s ran %d times", text, got)
		}
		for _, status := range statuses {
			if status != answer.RanOnce {
				t.Errorf("%s: status %s", text, status)
			}
		}
	}
}

// sendToAllNodes sends a request to every node twice, concurrently, and returns
// the statuses.
func (c *cluster) sendToAllNodes(request query.Request) []answer.Status {
	var group sync.WaitGroup
	statuses := make([]answer.Status, 2*len(c.nodes))
	for i := range statuses {
		group.Go(func() {
			a, err := c.sendRequest(c.nodes[i%len(c.nodes)], request)
			statuses[i] = answer.Unknown
			if err == nil {
				statuses[i] = a.Status
			}
		})
	}
	group.Wait()
	return statuses
}

// TestOwnKeyRunsOnce checks that requests under keys chosen by the caller run at
// most once when sent to all nodes at once while the platform loses responses.
func TestOwnKeyRunsOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.platform.InjectFaults(standin.PlatformFaults{ResponseLossRate: 0.3})
	for i := range 10 {
		text := fmt.Sprintf("parcel %d", i)
		statuses := c.sendToAllNodes(orderRequest(text, "own-"+text))
		ran := c.executions("orders", text)
		if ran > 1 {
			t.Errorf("%s ran %d times", text, ran)
		}
		for _, status := range statuses {
			if status == answer.RanOnce && ran != 1 {
				t.Errorf("%s: ranOnce but ran %d times", text, ran)
			}
		}
	}
}

// TestStoreOutage checks that while the platform is down a request with a ticket
// runs and one under a key chosen by the caller does not.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.InjectFaults(standin.PlatformFaults{Outage: true})
	first := orderRequest("parcel own", "own")
	first.FirstUse = true
	a := c.mustSendRequest(c.nodes[0], first)
	if a.Status != answer.NotRun || c.executions("orders", "parcel own") != 0 {
		t.Errorf("own key: status %s, executions %d", a.Status, c.executions("orders", "parcel own"))
	}
	if a = c.mustSendRequest(c.nodes[0], orderRequest("parcel own", "own")); a.Status != answer.Unknown {
		t.Errorf("own key, not the first time: status %s", a.Status)
	}
	a = c.mustSendRequest(c.nodes[1], orderRequest("parcel ticket", c.ticket(c.nodes[0])))
	if a.Status != answer.RanOnce || c.executions("orders", "parcel ticket") != 1 {
		t.Errorf("ticket: status %s, executions %d", a.Status, c.executions("orders", "parcel ticket"))
	}
	c.platform.InjectFaults(standin.PlatformFaults{})
	a = c.mustSendRequest(c.nodes[1], orderRequest("parcel own", "own"))
	if a.Status != answer.RanOnce || c.executions("orders", "parcel own") != 1 {
		t.Errorf("own key afterwards: status %s, executions %d", a.Status, c.executions("orders", "parcel own"))
	}
}

// TestCrashOfTheRunner kills the node that runs a request, during the run, and
// sends the request to the other nodes: they must answer that the outcome is
// unknown and must not run it again.
func TestCrashOfTheRunner(t *testing.T) {
	for _, own := range []bool{false, true} {
		t.Run(fmt.Sprintf("ownKey=%t", own), func(t *testing.T) {
			c := newCluster(t, 3)
			for _, u := range c.upstreams["orders"] {
				u.InjectFaults(standin.UpstreamFaults{Silent: true})
			}
			key := "own"
			if !own {
				key = c.ticket(c.nodes[0])
			}
			go func() { _, _ = c.sendRequest(c.nodes[0], orderRequest("parcel", key)) }()
			c.await("the request runs", func() bool { return c.executions("orders", "parcel") == 1 })
			c.nodes[0].signal(t, syscall.SIGKILL)
			<-c.nodes[0].exited
			for _, u := range c.upstreams["orders"] {
				u.InjectFaults(standin.UpstreamFaults{})
			}
			for _, p := range c.nodes[1:] {
				a := c.mustSendRequest(p, orderRequest("parcel", key))
				if a.Status != answer.Unknown {
					t.Errorf("%s answered status %s, error %+v", p.vm, a.Status, a.Error)
				}
			}
			if got := c.executions("orders", "parcel"); got != 1 {
				t.Errorf("ran %d times", got)
			}
		})
	}
}

// TestCrashOfTheGate kills the gate that runs a request for an entry on another
// node. The entry must not send the request to the next gate, since the first
// may have run it.
func TestCrashOfTheGate(t *testing.T) {
	c := newCluster(t, 3)
	for _, u := range c.upstreams["orders"] {
		u.InjectFaults(standin.UpstreamFaults{Silent: true})
	}
	gate, entry := c.nodes[0], c.nodes[1]
	for i, p := range c.nodes {
		if status, _ := c.status(p); slices.Contains(status.Gates, "orders") {
			gate, entry = p, c.nodes[(i+1)%len(c.nodes)]
		}
	}
	answers := make(chan *answer.Answer, 1)
	ticket := c.ticket(entry)
	go func() {
		a, _ := c.sendRequest(entry, orderRequest("parcel", ticket))
		answers <- a
	}()
	c.await("the request runs", func() bool { return c.executions("orders", "parcel") == 1 })
	gate.signal(t, syscall.SIGKILL)
	<-gate.exited
	for _, u := range c.upstreams["orders"] {
		u.InjectFaults(standin.UpstreamFaults{})
	}
	if a := <-answers; a == nil || a.Status != answer.Unknown {
		t.Errorf("got answer %+v, want status unknown", a)
	}
	c.awaitReady()
	if got := c.executions("orders", "parcel"); got != 1 {
		t.Errorf("ran %d times", got)
	}
}

// TestKeyOfAnotherRequest uses one key for two different requests: the second one
// must not run.
func TestKeyOfAnotherRequest(t *testing.T) {
	c := newCluster(t, 2)
	ticket := c.ticket(c.nodes[0])
	c.mustSendRequest(c.nodes[0], orderRequest("first", ticket))
	a := c.mustSendRequest(c.nodes[1], orderRequest("second", ticket))
	if a.Status != answer.NotRun || a.Error.Code != answer.CodeKeyReused || c.executions("orders", "second") != 0 {
		t.Errorf("status %s, error %+v", a.Status, a.Error)
	}
}

// TestOnceIsNotRepeated makes the upstreams truncate their replies after running
// the request: its outcome is then unknown and it must not be retried.
func TestOnceIsNotRepeated(t *testing.T) {
	c := newCluster(t, 2)
	for _, u := range c.upstreams["orders"] {
		u.InjectFaults(standin.UpstreamFaults{Truncate: true})
	}
	for i := range 10 {
		text := fmt.Sprintf("parcel %d", i)
		a := c.mustSendRequest(c.nodes[0], orderRequest(text, c.ticket(c.nodes[0])))
		if got := c.executions("orders", text); got > 1 || a.Status == answer.RanOnce || a.Status == answer.NotRun && got > 0 {
			t.Errorf("%s: status %s, ran %d times", text, a.Status, got)
		}
	}
	time.Sleep(10 * time.Millisecond)
}
