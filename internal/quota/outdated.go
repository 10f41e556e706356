package quota

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/wire"
)

const (
	// outdatedAnswers is the number of calls in a row that a member ends without an answer
	// from which on it counts as one of an older build. A member that is killed may end
	// one or two so.
	outdatedAnswers = 3
	// probeInterval is the time between two probes of a member.
	probeInterval = time.Second
)

// outdated holds the members of builds that don't know the call for tokens. They are
// passed over in the choice of lenders.
type outdated struct {
	// unanswered counts the calls in a row without an answer, by VM.
	unanswered map[string]int
	// incarnations holds the current incarnation of the candidates, by VM. The counts of
	// one are dropped once it has another.
	incarnations map[string]uint64
	probed       map[string]time.Duration
}

func newOutdated() outdated {
	return outdated{unanswered: map[string]int{}, incarnations: map[string]uint64{}, probed: map[string]time.Duration{}}
}

// note counts the outcome of a call.
func (o *outdated) note(vm string, err error) {
	switch {
	case errors.Is(err, ErrUnsupported):
		o.unanswered[vm]++
	case err == nil:
		delete(o.unanswered, vm)
	}
}

// filter returns the members that are not outdated, and forgets those that are gone.
func (o *outdated) filter(now time.Duration, members []Member) (vms []string) {
	incarnations := make(map[string]uint64, len(members))
	for _, m := range members {
		incarnations[m.VM] = m.Incarnation
		if known, found := o.incarnations[m.VM]; found && known != m.Incarnation {
			delete(o.unanswered, m.VM)
		}
		if o.unanswered[m.VM] < outdatedAnswers {
			vms = append(vms, m.VM)
		}
	}
	for vm := range o.unanswered {
		if _, found := incarnations[vm]; !found {
			delete(o.unanswered, vm)
		}
	}
	for vm, at := range o.probed {
		if now-at >= probeInterval {
			delete(o.probed, vm)
		}
	}
	o.incarnations = incarnations
	return vms
}

// probe asks the lender by this node's view for no tokens, to learn whether it knows the
// call: another node that takes this one for the lender may have learned that it doesn't.
// The lock must be held.
func (m *Manager) probe(lender string) {
	now := m.config.Now()
	if _, recent := m.outdated.probed[lender]; recent || lender == "" || lender == m.config.VM {
		return
	}
	m.outdated.probed[lender] = now
	go (&probe{manager: m, vm: lender}).run()
}

// probe is one call that only learns whether a member knows it.
type probe struct {
	manager *Manager
	vm      string
}

// run makes the call.
func (p *probe) run() {
	m := p.manager
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	_, err := m.config.Peers.Borrow(ctx, p.vm, &wire.Borrow{})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outdated.note(p.vm, err)
}
