package node

import (
	"context"
	"time"

	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/assignment"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// Intervals of the assignment of gates.
const (
	// assignmentIntervalFactor is the delay before the next assignment as a
	// multiple of the time the last one took: 50 limits them to 2% of a core.
	assignmentIntervalFactor = 50
	// reviewInterval is the time between two looks at released services, and
	// reacquireDelay how long one stays released before it is acquired again.
	reviewInterval = 250 * time.Millisecond
	reacquireDelay = time.Second
)

// runAssignment recomputes the gate of each service after a change of members or
// configuration, and takes over or gives up services accordingly.
func (c *control) runAssignment(ctx context.Context) {
	if c.document == nil || !c.assignmentTrusted || c.assigned != nil && c.assignedGeneration == c.table.Generation() {
		return
	}
	start := time.Now()
	if start.Before(c.nextAssignment) {
		return
	}
	c.assignedGeneration = c.table.Generation()
	before := c.assigned
	clear(c.releasedSince)
	c.assigned = assignment.Compute(c.eligible(), c.services)
	c.updateWatcherRole()
	for _, service := range c.document.Services {
		c.assign(ctx, service.Name, before)
	}
	c.nextAssignment = start.Add(assignmentIntervalFactor * time.Since(start))
}

func (c *control) assign(ctx context.Context, service string, before *assignment.Table) {
	own := c.node.options.VM
	if c.node.options.Mode == gate.Direct {
		c.node.gates.Acquire(ctx, service, nil)
		return
	}
	if c.assigned.Gate(service) != own {
		c.node.gates.StepDown(service)
		return
	}
	c.node.gates.Acquire(ctx, service, c.predecessor(service, before))
}

// predecessor returns a function that asks the previous gate of a service; nil if
// there is no live one.
func (c *control) predecessor(service string, before *assignment.Table) gate.AskPredecessor {
	previous := before.Gate(service)
	if previous == "" {
		// A new node does not know the previous gate: it is the member that would
		// be the gate without this node, which is the standby.
		previous = c.assigned.Standby(service)
	}
	return c.askMember(service, previous)
}

// askMember returns a function that asks a member as the previous gate of a service; nil
// if it is this node or not alive.
func (c *control) askMember(service, vm string) gate.AskPredecessor {
	m, found := c.table.Get(vm)
	if !found || vm == c.node.options.VM || m.State == member.Dead {
		return nil
	}
	own, node := c.node.options.VM, c.node
	return gate.NewAskPredecessor(own, m.VM, func(ctx context.Context, vm string, release bool) ([]*wire.InFlight, error) {
		address := m.PeerAddress
		if vm != m.VM {
			address = node.View().Members[vm].PeerAddress
		}
		call := &wire.Call{Body: &wire.Call_Release{Release: &wire.Release{Service: service, OnlyReport: !release, To: own}}}
		reply, err := node.network.CallUnary(ctx, vm, address, call)
		if err != nil {
			return nil, err
		}
		return reply.GetReleased().GetInFlight(), nil
	})
}

// reviewGates acquires the services again that this node has released although it is
// their gate, for reacquireDelay now. The release was asked for by a member that took
// itself for the gate, and usually the assignments of the two agree soon.
func (c *control) reviewGates(ctx context.Context, now time.Time) {
	if c.assigned == nil || !c.assignmentTrusted || now.Before(c.nextReview) {
		return
	}
	c.nextReview = now.Add(reviewInterval)
	for _, service := range c.document.Services {
		name := service.Name
		if c.assigned.Gate(name) != c.node.options.VM || c.node.gates.IsGateOf(name) {
			delete(c.releasedSince, name)
			continue
		}
		since, known := c.releasedSince[name]
		if !known {
			c.releasedSince[name] = now
			continue
		}
		if now.Sub(since) >= reacquireDelay {
			delete(c.releasedSince, name)
			c.node.gates.Acquire(ctx, name, c.askMember(name, c.node.gates.ReleasedTo(name)))
		}
	}
}

// eligible returns the names of the members that may be gates.
func (c *control) eligible() []string {
	own := c.table.Self()
	var names []string
	for _, m := range c.table.Members() {
		if m.Region == own.Region && (m.State == member.Ready || m.State == member.Suspect) {
			names = append(names, m.VM)
		}
	}
	return names
}
