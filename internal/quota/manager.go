// Package quota keeps the quotas of teams over all nodes: it asks the lender of a team for
// tokens, and lends those of the teams that this node is the lender of. What is decided is
// in pkg/quota.
package quota

// Flow of a request of a team with a quota:
//
//	relay ──Take──▶ Manager ──(token held, or own lender)──▶ verdict
//	                   └─ account waits ── borrow.run ──Borrow──▶ lender's Manager.Handle
//
// The lock of the Manager guards all accounts and the lender. It is never held during a
// call to another node.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/quota"
	"github.com/bronzereach/bronzereach/pkg/route"
)

const (
	// sweepInterval is the time between two removals of the state of idle teams.
	sweepInterval = 10 * time.Second
	// reachInterval is the time between two looks at all members while none changes.
	reachInterval = 250 * time.Millisecond
	// servingPeriod is how long a node counts as one that may use its reserve after it
	// was last a serving member.
	servingPeriod = time.Minute
	// reserveShare is the share of the quotas above which a node may use its reserve. A
	// node in a minority can't tell how many others do.
	reserveShare = 0.5
	// logLinesPerSecond bounds the lines of all teams together.
	logLinesPerSecond = 20
)

// Peers sends calls to other nodes.
type Peers interface {
	// Borrow asks a node for tokens. It returns ErrUnsupported if the node seems to run a
	// build that doesn't know the call.
	Borrow(ctx context.Context, vm string, message *wire.Borrow) (*wire.Lent, error)
	// Leads asks a node whether it takes this one for the lender of teams. It returns
	// ErrUnsupported like Borrow.
	Leads(ctx context.Context, vm string, message *wire.Leads) (*wire.LeadsReply, error)
}

// Config configures a Manager.
type Config struct {
	VM        string
	Tolerance quota.Tolerance
	// Now reads a steady clock that goes on while the machine is suspended.
	Now   func() time.Duration
	Peers Peers
	Log   logr.Logger
}

// Member is a member that may be the lender of teams. A new process of a VM has a new
// incarnation.
type Member struct {
	VM          string
	Incarnation uint64
}

// Cluster is the members as a node sees them.
type Cluster struct {
	Contacts quota.Contacts
	// Serving holds the members that serve callers, of which one is the lender of a team.
	Serving []Member
	// Changed is true if the lists are others than at the last call of Update.
	Changed bool
}

// Manager keeps the quotas of teams. It is safe for concurrent use. A nil Manager grants
// everything.
type Manager struct {
	config  Config
	metrics *metrics
	started time.Duration
	table   atomic.Pointer[route.Table]
	// logLimit bounds log lines.
	logLimit *rate.Limiter

	mu       sync.Mutex
	lender   *quota.Lender
	reach    *quota.Reach
	accounts map[string]*account
	// candidates are the members that may be lenders, without those of older builds.
	candidates []string
	// outdated holds the members that seem to run an older build.
	outdated outdated
	// servingCount tells among how many nodes the reserve is divided.
	servingCount *budget.NodeCount
	// reserveNodes is that number; 0 if this node has no reserve.
	reserveNodes int
	share        float64
	// reached is when share was computed last.
	reached time.Duration
	swept   time.Duration
}

// NewManager returns a manager that lends nothing before its first Update.
func NewManager(config Config) *Manager {
	now := config.Now()
	return &Manager{
		config:       config,
		metrics:      newMetrics(),
		started:      now,
		logLimit:     rate.NewLimiter(logLinesPerSecond, logLinesPerSecond),
		lender:       quota.NewLender(config.VM, config.Tolerance),
		reach:        quota.NewReach(now),
		accounts:     map[string]*account{},
		outdated:     newOutdated(),
		servingCount: budget.NewNodeCount(servingPeriod),
		swept:        now,
	}
}

// SetTable takes over the quotas of a routing table.
func (m *Manager) SetTable(table *route.Table) {
	if m != nil {
		m.table.Store(table)
	}
}

// Update takes over the members. It is to be called several times a second.
func (m *Manager) Update(cluster Cluster) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	m.candidates = m.outdated.filter(now, cluster.Serving)
	for vm := range m.outdated.unanswered {
		if m.outdated.has(vm) {
			m.probe(vm)
		}
	}
	if cluster.Changed || now-m.reached >= reachInterval {
		m.reached = now
		m.share = m.reach.Share(now, cluster.Contacts)
	}
	m.lender.Update(now, m.candidates, m.share, cluster.Contacts.IsAlone())
	m.askMembers(now)
	m.updateReserve(now, cluster)
	if now-m.swept >= sweepInterval {
		m.swept = now
		m.sweep(now)
	}
}

// updateReserve decides whether this node has a reserve, and its part of all.
func (m *Manager) updateReserve(now time.Duration, cluster Cluster) {
	count := m.servingCount.Observe(now, len(cluster.Serving))
	m.reserveNodes = 0
	if m.share <= reserveShare {
		return
	}
	for _, member := range cluster.Serving {
		if member.VM == m.config.VM {
			m.reserveNodes = count
		}
	}
}

// sweep drops the state of idle teams.
func (m *Manager) sweep(now time.Duration) {
	m.lender.DropIdle(now)
	for team, a := range m.accounts {
		if !a.borrowing && a.borrower.IsIdle(now) {
			delete(m.accounts, team)
		}
	}
}

// quotaOf returns the quota of a team and the version of the configuration that it is
// from: that of the current table, or else that of the request's.
func (m *Manager) quotaOf(team string, fallback route.Quota) (q route.Quota, version uint64) {
	table := m.table.Load()
	if t := table.Team(team); t != nil {
		return t.Quota, table.Version()
	}
	return fallback, 0
}

// Handle answers another node that asks for tokens.
func (m *Manager) Handle(message *wire.Borrow) *wire.Lent {
	if m == nil {
		return &wire.Lent{}
	}
	asked := route.Quota{PerSecond: message.GetPerSecond(), Burst: message.GetBurst()}
	if !isValid(asked) || m.isUnknown(message) {
		return &wire.Lent{}
	}
	d := quota.Demand{
		Team:    message.GetTeam(),
		Want:    int(min(message.GetWant(), maxWant)),
		Quota:   asked,
		Version: message.GetConfigVersion(),
	}
	if q, version := m.quotaOf(d.Team, asked); version >= d.Version {
		d.Quota, d.Version = q, version
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	loan := m.lendTo(m.config.Now(), d)
	if !loan.Lender && loan.Wait == 0 {
		m.probe(quota.Choose(d.Team, m.candidates))
	}
	wait := loan.Wait
	if !loan.Lender {
		wait = loan.Settles
	}
	return &wire.Lent{Granted: uint32(loan.Granted), WaitMicros: wait.Microseconds(), Lender: loan.Lender}
}

// isUnknown reports whether a message names a team that this node's configuration, which is
// not older than the asker's, doesn't hold.
func (m *Manager) isUnknown(message *wire.Borrow) bool {
	table := m.table.Load()
	return table != nil && table.Version() >= message.GetConfigVersion() && table.Team(message.GetTeam()) == nil
}

// maxWant bounds the tokens of one loan.
const maxWant = 1 << 20

// maxQuota bounds the numbers of a quota that another node names.
const maxQuota = 1e9

// isValid reports whether a quota that another node names can be calculated with.
func isValid(q route.Quota) bool {
	return q.PerSecond > 0 && q.PerSecond <= maxQuota && q.Burst >= 0 && q.Burst <= maxQuota
}
