package quota

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/quota"
	"github.com/bronzereach/bronzereach/pkg/route"
)

func (n *testNetwork) Leads(_ context.Context, vm string, message *wire.Leads) (*wire.LeadsReply, error) {
	n.mu.Lock()
	m, err := n.managers[vm], n.failures[vm]
	n.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return m.HandleLeads(message), nil
}

// TestRestartedLenderIsConfirmed guards against a lender that has started anew and lends
// nothing for 3 s although the others confirm that it is the lender, and against one that
// does so without the answer of all.
func TestRestartedLenderIsConfirmed(t *testing.T) {
	team := &route.Team{Name: limited.Name, Quota: route.Quota{PerSecond: 100, Burst: 100}}
	for _, test := range []struct {
		name    string
		failure error
		lends   bool
	}{
		{"confirmed", nil, true},
		{"ended process", errors.WithStack(syscall.ECONNREFUSED), true},
		{"older build", ErrUnsupported, true},
		{"cut off", context.DeadlineExceeded, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newTestNetwork(4)
			lender, other := n.pair(team.Name)
			vm := lender.config.VM
			started := NewManager(Config{VM: vm, Tolerance: testTolerance, Now: n.clock.now, Peers: n, Log: logr.Discard()})
			n.managers[vm] = started
			n.fail(other.config.VM, test.failure)
			n.update()
			n.clock.advance(900 * time.Millisecond)
			n.update()
			if _, v := take(started, team); v.Outcome == quota.Granted {
				t.Error("granted before it can know all members")
			}
			granted := false
			for range 20 {
				n.clock.advance(60 * time.Millisecond)
				n.update()
				time.Sleep(5 * time.Millisecond)
				_, v := take(started, team)
				granted = granted || v.Outcome == quota.Granted
			}
			if granted != test.lends {
				t.Errorf("granted is %v 2.1 s after the start, want %v", granted, test.lends)
			}
		})
	}
}
