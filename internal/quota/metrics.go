package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzereach/bronzereach/pkg/quota"
)

const (
	// reportedTeams is the number of teams that are reported one by one.
	reportedTeams = 20
	// teamLogInterval is the time between two lines about the same team.
	teamLogInterval = time.Second
)

// Outcomes of asking the lender.
const (
	borrowGranted   = "granted"
	borrowDenied    = "denied"
	borrowNotLender = "notLender"
	borrowFailed    = "failed"
)

// metrics holds the counters of a Manager.
type metrics struct {
	requests *prometheus.CounterVec
	borrows  *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_quota_requests_total",
			Help: "Requests of teams with a quota by verdict.",
		}, []string{"verdict"}),
		borrows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_quota_borrows_total",
			Help: "Calls to lenders of quotas by outcome.",
		}, []string{"outcome"}),
	}
}

func (m *metrics) countVerdict(outcome quota.Outcome) {
	m.requests.WithLabelValues(outcome.String()).Inc()
}

func (m *metrics) countBorrow(outcome string) {
	m.borrows.WithLabelValues(outcome).Inc()
}

// Collectors returns the collectors to register.
func (m *Manager) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.metrics.requests, m.metrics.borrows, &rejectedCollector{manager: m}}
}

// rejectedDescription describes the requests that were not granted, by team.
var rejectedDescription = prometheus.NewDesc("bronzereach_quota_rejected",
	"Requests not granted since the team was last idle, for the teams with the most.", []string{"team"}, nil)

// rejectedCollector reports the teams with the most rejections. There may be thousands of
// teams, so only some are reported.
type rejectedCollector struct {
	manager *Manager
}

// Describe implements prometheus.Collector.
func (c *rejectedCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- rejectedDescription
}

// Collect implements prometheus.Collector.
func (c *rejectedCollector) Collect(collected chan<- prometheus.Metric) {
	for _, team := range c.manager.mostRejected() {
		collected <- prometheus.MustNewConstMetric(rejectedDescription, prometheus.GaugeValue, float64(team.rejected), team.name)
	}
}

// rejectedTeam is a team with the number of its requests that were not granted.
type rejectedTeam struct {
	name     string
	rejected int
}

// mostRejected returns the teams with the most rejections.
func (m *Manager) mostRejected() (teams []rejectedTeam) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, a := range m.accounts {
		if a.rejected > 0 {
			teams = append(teams, rejectedTeam{name, a.rejected})
		}
	}
	slices.SortFunc(teams, func(a, b rejectedTeam) int {
		return cmp.Or(cmp.Compare(b.rejected, a.rejected), cmp.Compare(a.name, b.name))
	})
	return teams[:min(len(teams), reportedTeams)]
}

// logExceeded logs that requests of a team are refused, at most once per teamLogInterval.
func (m *Manager) logExceeded(now time.Duration, a *account) {
	if now-a.loggedExceeded < teamLogInterval || !m.logLimit.Allow() {
		return
	}
	a.loggedExceeded = now
	m.config.Log.Info("quotaExceeded", "team", a.team, "perSecond", a.quota.PerSecond, "burst", a.quota.Burst,
		"configVersion", a.version, "lender", a.lender, "share", m.share, "rejected", a.rejected)
}

// logUnreachable logs that the lender did not answer, at most once per teamLogInterval.
func (m *Manager) logUnreachable(now time.Duration, a *account, err error) {
	if now-a.loggedUnreachable < teamLogInterval || !m.logLimit.Allow() {
		return
	}
	a.loggedUnreachable = now
	m.config.Log.Info("quotaLenderUnreachable", "team", a.team, "lender", a.lender, "error", err.Error())
}

// noteLender logs that a team has another lender than before.
func (m *Manager) noteLender(a *account, lender string) {
	if a.lender == lender {
		return
	}
	if a.lender != "" && m.logLimit.Allow() {
		m.config.Log.Info("quotaLenderChanged", "team", a.team, "lender", lender, "before", a.lender)
	}
	a.lender = lender
}

// logBegan logs that this node has begun to lend the tokens of a team, and by which rule.
func (m *Manager) logBegan(team string, rule quota.Rule) {
	if rule != quota.Unchanged && m.logLimit.Allow() {
		m.config.Log.Info("quotaLendingBegan", "team", team, "rule", rule.String(), "share", m.share)
	}
}
