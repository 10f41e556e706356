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
	// countInterval is the least time between two such calls that count: a broken link ends
	// all calls on it in the same way.
	countInterval = 100 * time.Millisecond
	// probeInterval is the time between two probes of a member. One that counts as outdated
	// is asked again too, as links may have broken in a row.
	probeInterval = time.Second
)

// outdated holds the members of builds that don't know the call for tokens. They are
// passed over in the choice of lenders.
type outdated struct {
	// unanswered counts the calls in a row without an answer, by VM, and counted holds when
	// the last of them was.
	unanswered map[string]int
	counted    map[string]time.Duration
	// incarnations holds the current incarnation of the candidates, by VM. The counts of
	// one are dropped once it has another.
	incarnations map[string]uint64
	probed       map[string]time.Duration
}

func newOutdated() outdated {
	return outdated{unanswered: map[string]int{}, counted: map[string]time.Duration{}, incarnations: map[string]uint64{}, probed: map[string]time.Duration{}}
}

// note counts the outcome of a call.
func (o *outdated) note(now time.Duration, vm string, err error) {
	at, found := o.counted[vm]
	switch {
	case err == nil:
		delete(o.unanswered, vm)
	case errors.Is(err, ErrUnsupported) && (!found || now-at >= countInterval):
		o.unanswered[vm]++
		o.counted[vm] = now
	}
}

// has reports whether a member counts as one of an older build.
func (o *outdated) has(vm string) bool {
	return o.unanswered[vm] >= outdatedAnswers
}

// filter returns the members that are not outdated, and forgets those that are gone.
func (o *outdated) filter(now time.Duration, members []Member) (vms []string) {
	incarnations := make(map[string]uint64, len(members))
	for _, m := range members {
		incarnations[m.VM] = m.Incarnation
		if known, found := o.incarnations[m.VM]; found && known != m.Incarnation {
			delete(o.unanswered, m.VM)
		}
		if !o.has(m.VM) {
			vms = append(vms, m.VM)
		}
	}
	for vm := range o.unanswered {
		if _, found := incarnations[vm]; !found {
			delete(o.unanswered, vm)
		}
	}
	for vm := range o.counted {
		if _, found := incarnations[vm]; !found {
			delete(o.counted, vm)
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
	m.outdated.note(m.config.Now(), p.vm, err)
}
