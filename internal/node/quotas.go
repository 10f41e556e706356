package node

import (
	"context"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/quota"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// maxLenders is the maximum number of members that are lenders of quotas.
const maxLenders = 64

// newQuotas returns what keeps the quotas of teams.
func (n *Node) newQuotas() *quota.Manager {
	config := quota.Config{VM: n.options.VM, Now: timer.SinceBoot, Peers: quotaPeers{n}, Log: n.log}
	if n.options.Foreign != nil {
		config.Tolerance = n.options.Foreign.Quota
	}
	return quota.NewManager(config)
}

// Quotas returns what keeps the quotas of teams.
func (n *Node) Quotas() *quota.Manager {
	return n.quotas
}

// quotaPeers sends the calls of the quotas.
type quotaPeers struct {
	node *Node
}

// Borrow implements quota.Peers.
func (p quotaPeers) Borrow(ctx context.Context, vm string, message *wire.Borrow) (*wire.Lent, error) {
	reply, err := p.call(ctx, vm, &wire.Call{Body: &wire.Call_Borrow{Borrow: message}})
	if err == nil && reply.GetLent() == nil {
		err = quota.ErrUnsupported
	}
	return reply.GetLent(), err
}

// Leads implements quota.Peers.
func (p quotaPeers) Leads(ctx context.Context, vm string, message *wire.Leads) (*wire.LeadsReply, error) {
	reply, err := p.call(ctx, vm, &wire.Call{Body: &wire.Call_Leads{Leads: message}})
	if err == nil && reply.GetLeads() == nil {
		err = quota.ErrUnsupported
	}
	return reply.GetLeads(), err
}

// call sends a call. It returns quota.ErrUnsupported if it ends without a reply.
func (p quotaPeers) call(ctx context.Context, vm string, call *wire.Call) (*wire.Reply, error) {
	m := p.node.View().Members[vm]
	reply, err := p.node.network.CallUnary(ctx, vm, m.PeerAddress, call)
	if errors.Is(err, io.EOF) && ctx.Err() == nil {
		return nil, quota.ErrUnsupported
	}
	return reply, err
}

// updateQuotas passes the members to what keeps the quotas.
func (c *control) updateQuotas() {
	if c.node.quotas == nil {
		return
	}
	view := c.node.View()
	changed := view != c.quotaView
	if changed {
		c.quotaView, c.quotaCluster = view, c.clusterOf(view)
	}
	c.quotaCluster.Changed = changed
	c.quotaCluster.Contacts.Exchanged = c.exchanged
	c.quotaCluster.Contacts.SinceExchange = timer.SinceBoot() - c.lastExchange
	c.node.quotas.Update(c.quotaCluster)
}

// clusterOf returns the members of a view by whether they count for quotas. The lenders
// are those that would serve callers wherever upstreams are: nodes may know different
// upstreams, but must agree on the lenders.
func (c *control) clusterOf(view *entry.View) (cluster quota.Cluster) {
	cluster.Contacts.Self = view.Self.VM
	cluster.Contacts.HasPeers = slices.ContainsFunc(c.peers, func(address string) bool { return address != view.Self.PeerAddress })
	for vm, m := range view.Members {
		contacts := &cluster.Contacts
		switch m.State {
		case member.Leaving:
			contacts.Leaving = append(contacts.Leaving, vm)
		case member.Suspect, member.Dead:
			contacts.Missing = append(contacts.Missing, vm)
		default:
			contacts.Live = append(contacts.Live, vm)
		}
	}
	for _, m := range member.Serving(slices.Collect(maps.Values(view.Members)), member.ServingConfig{Limit: maxLenders}) {
		cluster.Serving = append(cluster.Serving, quota.Member{VM: m.VM, Incarnation: m.Incarnation})
	}
	return cluster
}
