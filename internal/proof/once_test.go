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

func order(text, key string) query.Request {
	return query.Request{Kind: "order", Query: query.Text(text), Key: key}
}

// TestTicketRunsOnce sends the same ticket to all nodes at once, many times.
func TestTicketRunsOnce(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 20 {
		text := fmt.Sprintf("parcel %d", i)
		ticket := c.ticket(c.nodes[i%3])
		statuses := c.askAll(order(text, ticket))
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

// askAll sends a request to every node twice at once and returns the statuses.
func (c *cluster) askAll(request query.Request) []answer.Status {
	var group sync.WaitGroup
	statuses := make([]answer.Status, 2*len(c.nodes))
	for i := range statuses {
		group.Go(func() {
			a, err := c.ask(c.nodes[i%len(c.nodes)], request)
			statuses[i] = answer.Unknown
			if err == nil {
				statuses[i] = a.Status
			}
		})
	}
	group.Wait()
	return statuses
}

// TestOwnKeyRunsOnce does the same with keys of the caller's own, while the
// platform loses answers.
func TestOwnKeyRunsOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.platform.SetFaults(standin.Faults{LoseAnswers: 0.3})
	for i := range 10 {
		text := fmt.Sprintf("parcel %d", i)
		statuses := c.askAll(order(text, "own-"+text))
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

// TestStoreOutage: with the platform down a key of the caller's own does not
// run, and a ticket does.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(standin.Faults{Outage: true})
	first := order("parcel own", "own")
	first.FirstUse = true
	a := c.mustAsk(c.nodes[0], first)
	if a.Status != answer.NotRun || c.executions("orders", "parcel own") != 0 {
		t.Errorf("own key: status %s, executions %d", a.Status, c.executions("orders", "parcel own"))
	}
	if a = c.mustAsk(c.nodes[0], order("parcel own", "own")); a.Status != answer.Unknown {
		t.Errorf("own key, not the first time: status %s", a.Status)
	}
	a = c.mustAsk(c.nodes[1], order("parcel ticket", c.ticket(c.nodes[0])))
	if a.Status != answer.RanOnce || c.executions("orders", "parcel ticket") != 1 {
		t.Errorf("ticket: status %s, executions %d", a.Status, c.executions("orders", "parcel ticket"))
	}
	c.platform.SetFaults(standin.Faults{})
	a = c.mustAsk(c.nodes[1], order("parcel own", "own"))
	if a.Status != answer.RanOnce || c.executions("orders", "parcel own") != 1 {
		t.Errorf("own key afterwards: status %s, executions %d", a.Status, c.executions("orders", "parcel own"))
	}
}

// TestCrashOfTheRunner kills the node that runs a request, while it runs, and
// sends the request again elsewhere.
func TestCrashOfTheRunner(t *testing.T) {
	for _, own := range []bool{false, true} {
		t.Run(fmt.Sprintf("ownKey=%t", own), func(t *testing.T) {
			c := newCluster(t, 3)
			for _, u := range c.upstreams["orders"] {
				u.Misbehave(standin.Misbehaviour{Silent: true})
			}
			key := "own"
			if !own {
				key = c.ticket(c.nodes[0])
			}
			go func() { _, _ = c.ask(c.nodes[0], order("parcel", key)) }()
			c.await("the request runs", func() bool { return c.executions("orders", "parcel") == 1 })
			c.nodes[0].signal(t, syscall.SIGKILL)
			<-c.nodes[0].exited
			for _, u := range c.upstreams["orders"] {
				u.Misbehave(standin.Misbehaviour{})
			}
			for _, p := range c.nodes[1:] {
				a := c.mustAsk(p, order("parcel", key))
				if a.Status != answer.Unknown {
					t.Errorf("%s says %s (%+v)", p.vm, a.Status, a.Error)
				}
			}
			if got := c.executions("orders", "parcel"); got != 1 {
				t.Errorf("ran %d times", got)
			}
		})
	}
}

// TestCrashOfTheGate kills the gate that runs a request for another entry: the
// entry must not send it to the next gate.
func TestCrashOfTheGate(t *testing.T) {
	c := newCluster(t, 3)
	for _, u := range c.upstreams["orders"] {
		u.Misbehave(standin.Misbehaviour{Silent: true})
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
		a, _ := c.ask(entry, order("parcel", ticket))
		answers <- a
	}()
	c.await("the request runs", func() bool { return c.executions("orders", "parcel") == 1 })
	gate.signal(t, syscall.SIGKILL)
	<-gate.exited
	for _, u := range c.upstreams["orders"] {
		u.Misbehave(standin.Misbehaviour{})
	}
	if a := <-answers; a == nil || a.Status != answer.Unknown {
		t.Errorf("the answer is %+v", a)
	}
	c.awaitReady()
	if got := c.executions("orders", "parcel"); got != 1 {
		t.Errorf("ran %d times", got)
	}
}

// TestKeyOfAnotherRequest uses one key for two requests: the second one does
// not run.
func TestKeyOfAnotherRequest(t *testing.T) {
	c := newCluster(t, 2)
	ticket := c.ticket(c.nodes[0])
	c.mustAsk(c.nodes[0], order("first", ticket))
	a := c.mustAsk(c.nodes[1], order("second", ticket))
	if a.Status != answer.NotRun || a.Error.Code != answer.CodeKeyReused || c.executions("orders", "second") != 0 {
		t.Errorf("status %s, error %+v", a.Status, a.Error)
	}
}

// TestOnceIsNotRepeated lets the upstreams break off after they have run the
// request: it is unknown and not tried again.
func TestOnceIsNotRepeated(t *testing.T) {
	c := newCluster(t, 2)
	for _, u := range c.upstreams["orders"] {
		u.Misbehave(standin.Misbehaviour{Truncate: true})
	}
	for i := range 10 {
		text := fmt.Sprintf("parcel %d", i)
		a := c.mustAsk(c.nodes[0], order(text, c.ticket(c.nodes[0])))
		if got := c.executions("orders", text); got > 1 || a.Status == answer.RanOnce || a.Status == answer.NotRun && got > 0 {
			t.Errorf("%s: status %s, ran %d times", text, a.Status, got)
		}
	}
	time.Sleep(10 * time.Millisecond)
}
