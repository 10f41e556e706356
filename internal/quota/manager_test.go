package quota

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/quota"
	"github.com/bronzereach/bronzereach/pkg/route"
)

var testTolerance = quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// testClock is the machine's clock, and can be moved on.
type testClock struct {
	mu    sync.Mutex
	ahead time.Duration
}

func (c *testClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return timer.SinceBoot() + c.ahead
}

func (c *testClock) advance(step time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead += step
}

// testNetwork connects managers within a process.
type testNetwork struct {
	mu       sync.Mutex
	clock    testClock
	managers map[string]*Manager
	// failures holds what calls to a node fail with.
	failures map[string]error
	calls    int
	// hold delays calls until it is closed; nil for no delay.
	hold chan struct{}
}

func (n *testNetwork) Borrow(ctx context.Context, vm string, message *wire.Borrow) (*wire.Lent, error) {
	n.mu.Lock()
	n.calls++
	m, err, hold := n.managers[vm], n.failures[vm], n.hold
	n.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if err != nil {
		return nil, err
	}
	return m.Handle(message), nil
}

func (n *testNetwork) fail(vm string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failures[vm] = err
}

// newTestNetwork returns managers that have known each other for a while.
func newTestNetwork(count int) *testNetwork {
	n := &testNetwork{managers: map[string]*Manager{}, failures: map[string]error{}}
	for i := range count {
		vm := fmt.Sprint("vm-", i)
		n.managers[vm] = NewManager(Config{VM: vm, Tolerance: testTolerance, Now: n.clock.now, Peers: n, Log: logr.Discard()})
	}
	// Lenders lend nothing for 3 s, and buckets of idle teams fill.
	for range 80 {
		n.update()
		n.clock.advance(500 * time.Millisecond)
	}
	n.update()
	return n
}

// update passes the members to all managers.
func (n *testNetwork) update() {
	var vms []string
	var serving []Member
	for i := range n.managers {
		vms = append(vms, i)
	}
	for _, vm := range vms {
		serving = append(serving, Member{VM: vm})
	}
	for vm, m := range n.managers {
		m.Update(Cluster{Contacts: quota.Contacts{Self: vm, Live: vms, Exchanged: true, HasPeers: true}, Serving: serving})
	}
}

// pair returns the lender of a team and another manager.
func (n *testNetwork) pair(team string) (lender, other *Manager) {
	for _, m := range n.managers {
		m.mu.Lock()
		leads := m.lender.Leads(team)
		m.mu.Unlock()
		if leads {
			lender = m
		} else {
			other = m
		}
	}
	return lender, other
}

func take(m *Manager, team *route.Team) (quota.Ticket, quota.Verdict) {
	return m.Take(context.Background(), team, time.Now().Add(time.Second))
}

var limited = &route.Team{Name: "team", Quota: route.Quota{PerSecond: 1, Burst: 10}}

// TestQuotaIsOneForAllNodes guards against a quota per node: of 40 requests at all nodes
// at once, 10 and the depth for uneven arrivals are granted.
func TestQuotaIsOneForAllNodes(t *testing.T) {
	n := newTestNetwork(4)
	var mu sync.Mutex
	outcomes := map[quota.Outcome]int{}
	var callers sync.WaitGroup
	for _, m := range n.managers {
		for range 10 {
			callers.Go(func() {
				_, v := take(m, limited)
				mu.Lock()
				defer mu.Unlock()
				outcomes[v.Outcome]++
				if v.Outcome == quota.Exceeded && v.Wait <= 0 {
					t.Error("a refused request has no time to wait")
				}
			})
		}
	}
	callers.Wait()
	if got := outcomes[quota.Granted]; got != 12 || outcomes[quota.Unknown] > 0 {
		t.Errorf("outcomes %v, want 12 granted and the others exceeded", outcomes)
	}
}

// TestOneBorrowServesAllThatWait guards against a call per request.
func TestOneBorrowServesAllThatWait(t *testing.T) {
	n := newTestNetwork(2)
	_, other := n.pair(limited.Name)
	n.hold = make(chan struct{})
	var callers sync.WaitGroup
	for range 5 {
		callers.Go(func() {
			if _, v := take(other, limited); v.Outcome != quota.Granted {
				t.Errorf("outcome %v", v.Outcome)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	close(n.hold)
	callers.Wait()
	if n.calls > 2 {
		t.Errorf("%d calls for 5 requests at once, want the first one's and one more", n.calls)
	}
}

// TestDeniedNodeDoesNotAsk guards against calls for requests that will be denied, and
// against refused callers that come back all at once.
func TestDeniedNodeDoesNotAsk(t *testing.T) {
	n := newTestNetwork(2)
	_, other := n.pair(limited.Name)
	for range 12 {
		take(other, limited)
	}
	take(other, limited)
	calls, waits := n.calls, map[time.Duration]bool{}
	for range 5 {
		_, v := take(other, limited)
		waits[v.Wait.Round(time.Millisecond)] = true
	}
	if n.calls != calls {
		t.Errorf("%d calls while the lender has nothing", n.calls-calls)
	}
	if len(waits) < 5 {
		t.Errorf("refused callers are told to wait %v, want a time for each", waits)
	}
}

// TestReturnedTokenIsUsedAgain guards against tokens that are lost with requests that did
// not run.
func TestReturnedTokenIsUsedAgain(t *testing.T) {
	n := newTestNetwork(2)
	_, other := n.pair(limited.Name)
	for range 30 {
		ticket, v := take(other, limited)
		if v.Outcome != quota.Granted {
			t.Fatalf("outcome %v", v.Outcome)
		}
		other.Return(ticket)
	}
}

// TestTokensDoNotSurviveASuspension guards against tokens that a node uses after it was
// suspended, and against a lender that lends before it knows who replaced it.
func TestTokensDoNotSurviveASuspension(t *testing.T) {
	n := newTestNetwork(2)
	lender, other := n.pair(limited.Name)
	ticket, _ := take(other, limited)
	n.clock.advance(2 * time.Second)
	other.Return(ticket)
	for _, m := range []*Manager{other, lender} {
		m.reserveNodes = 0
		if _, v := take(m, limited); v.Outcome == quota.Granted {
			t.Errorf("%s granted a request after a suspension", m.config.VM)
		}
	}
}

// TestUnreachableLender guards against requests that wait long for a lender, and against
// ones that are granted without it beyond the node's reserve, which is
// (20 + 0.1 x 1 x 5) / 2 / 2 = 5 tokens.
func TestUnreachableLender(t *testing.T) {
	n := newTestNetwork(2)
	lender, other := n.pair(limited.Name)
	n.fail(lender.config.VM, errors.New("cut off"))
	grantedCount := 0
	for range 20 {
		_, v := take(other, limited)
		switch v.Outcome {
		case quota.Granted:
			grantedCount++
		case quota.Exceeded:
			t.Error("the quota counts as exceeded although nobody knows")
		case quota.Unknown:
			if v.Wait != 50*time.Millisecond {
				t.Errorf("wait %v", v.Wait)
			}
		}
	}
	if grantedCount != 5 {
		t.Errorf("%d granted, want 5", grantedCount)
	}
	n.mu.Lock()
	n.hold = make(chan struct{})
	n.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	started := time.Now()
	if _, v := take(other, limited); v.Outcome != quota.Unknown || time.Since(started) > 5*borrowTimeout {
		t.Errorf("outcome %v after %v with a silent lender", v.Outcome, time.Since(started))
	}
}

// TestOlderBuildIsPassedOver guards against teams without a lender while some nodes run a
// build that doesn't know the call.
func TestOlderBuildIsPassedOver(t *testing.T) {
	n := newTestNetwork(3)
	lender, _ := n.pair(limited.Name)
	old := lender.config.VM
	n.fail(old, ErrUnsupported)
	delete(n.managers, old)
	n.managers[old] = NewManager(Config{VM: old, Tolerance: testTolerance, Now: n.clock.now, Peers: n, Log: logr.Discard()})
	for range 40 {
		n.update()
		n.clock.advance(900 * time.Millisecond)
		n.update()
		for vm, m := range n.managers {
			if vm != old {
				take(m, limited)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	for vm, m := range n.managers {
		if vm == old {
			continue
		}
		if _, v := take(m, limited); v.Outcome == quota.Unknown {
			t.Errorf("%s has no lender beside one of an older build", vm)
		}
	}
}

// TestNewerQuotaCounts guards against a lender that keeps to a quota that has been lowered
// because its own configuration is older than the asker's.
func TestNewerQuotaCounts(t *testing.T) {
	n := newTestNetwork(2)
	lender, other := n.pair(limited.Name)
	table := func(version uint64, burst float64) *route.Table {
		return route.NewTable(route.Config{Version: version, Teams: []route.Team{{Name: limited.Name, Keys: []string{"k"}, Quota: route.Quota{PerSecond: 1, Burst: burst}}}})
	}
	lender.SetTable(table(1, 100))
	other.SetTable(table(2, 1))
	grantedCount := 0
	for range 20 {
		if _, v := take(other, limited); v.Outcome == quota.Granted {
			grantedCount++
		}
	}
	if grantedCount != 3 {
		t.Errorf("%d granted, want 1 and the depth for uneven arrivals", grantedCount)
	}
}

// TestNoQuotaCostsNothing guards against calls and state for teams without a quota.
func TestNoQuotaCostsNothing(t *testing.T) {
	n := newTestNetwork(2)
	var none *Manager
	for _, m := range []*Manager{none, n.managers["vm-0"]} {
		for _, team := range []*route.Team{nil, {Name: "free"}} {
			ticket, v := take(m, team)
			if v.Outcome != quota.Granted || ticket != (quota.Ticket{}) {
				t.Errorf("outcome %v", v.Outcome)
			}
			m.Return(ticket)
		}
	}
	if n.calls > 0 || len(n.managers["vm-0"].accounts) > 0 {
		t.Errorf("%d calls, %d accounts", n.calls, len(n.managers["vm-0"].accounts))
	}
}

// TestIdleTeamsAreDropped guards against memory that grows with the teams ever seen.
func TestIdleTeamsAreDropped(t *testing.T) {
	n := newTestNetwork(2)
	for i := range 100 {
		take(n.managers["vm-0"], &route.Team{Name: fmt.Sprint("team-", i), Quota: route.Quota{PerSecond: 1, Burst: 1}})
	}
	for range 200 {
		n.clock.advance(500 * time.Millisecond)
		n.update()
	}
	for vm, m := range n.managers {
		if len(m.accounts) > 0 {
			t.Errorf("%s keeps %d accounts", vm, len(m.accounts))
		}
	}
}

// TestWaitEnds guards against requests that wait longer than they may.
func TestWaitEnds(t *testing.T) {
	n := newTestNetwork(2)
	_, other := n.pair(limited.Name)
	n.hold = make(chan struct{})
	defer close(n.hold)
	started := time.Now()
	_, v := other.Take(context.Background(), limited, started.Add(5*time.Millisecond))
	if v.Outcome != quota.Unknown || time.Since(started) > borrowTimeout {
		t.Errorf("outcome %v after %v", v.Outcome, time.Since(started))
	}
}
