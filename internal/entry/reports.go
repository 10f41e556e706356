package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/admission"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Intervals and timeouts of reports and probes.
const (
	// reportFetchTimeout limits the wait for missing reports.
	reportFetchTimeout = 500 * time.Millisecond
	// minReportFetchInterval is the shortest time between two fetches for a target.
	minReportFetchInterval = 25 * time.Millisecond
	// If no request of a rank was admitted for probeInterval, the next one is
	// admitted as a probe. The interval grows by one probeInterval for each
	// membersPerProbeInterval members, since every member sends its own probes.
	probeInterval           = 200 * time.Millisecond
	membersPerProbeInterval = 9
)

// target is the state that an entry keeps for one index or pool.
type target struct {
	name     string
	services []string
	// dirty is true if a report has changed since choice, missing and
	// admittedFractions were computed.
	dirty             bool
	choice            snapshot.Choice
	hasChoice         bool
	admittedFractions admission.Fractions
	// missing lists the services without a report.
	missing   []string
	lastFetch time.Time
	// refused counts the requests refused since the last one admitted, by rank.
	refused [admission.MaximumRanks]float64
	// shares divides the admitted requests of each rank among kinds and callers.
	shares [admission.MaximumRanks]*admission.FairShares
	// lastAdmitted is when a request was last admitted, by rank.
	lastAdmitted [admission.MaximumRanks]time.Time
}

func newTarget(name string, services []string) *target {
	t := &target{name: name, services: services, dirty: true}
	for rank := range t.shares {
		t.shares[rank] = admission.NewFairShares()
	}
	return t
}

// reportTable holds the newest report of each service and the targets that are
// computed from them. It is safe for concurrent use.
type reportTable struct {
	mu              sync.Mutex
	document        *document.Document
	byService       map[string]*wire.Report
	targetByService map[string]*target
	targets         map[string]*target
}

func newReportTable() *reportTable {
	return &reportTable{byService: map[string]*wire.Report{}}
}

// setDocument rebuilds the targets if the document has changed.
func (r *reportTable) setDocument(d *document.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.document == d {
		return
	}
	r.document = d
	r.targetByService = map[string]*target{}
	r.targets = map[string]*target{}
	for _, service := range d.Services {
		name := service.Index + service.Pool
		t, found := r.targets[name]
		if !found {
			t = newTarget(name, d.ServicesOf(name))
			r.targets[name] = t
		}
		r.targetByService[service.Name] = t
	}
}

// add stores a report unless the stored one is as new. A nil report is ignored.
func (r *reportTable) add(report *wire.Report) {
	if report == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.byService[report.GetService()]
	if found && !replaces(known, report) {
		return
	}
	r.byService[report.GetService()] = report
	if t, listed := r.targetByService[report.GetService()]; listed && !(found && saysTheSame(known, report)) {
		t.dirty = true
	}
}

// saysTheSame reports whether two reports of a service differ only in who made them and
// when. Gates stamp unchanged reports anew.
func saysTheSame(known, report *wire.Report) bool {
	return slices.Equal(known.GetAdmitted(), report.GetAdmitted()) &&
		slices.EqualFunc(known.GetVersions(), report.GetVersions(), func(a, b *wire.Version) bool { return proto.Equal(a, b) })
}

// replaces reports whether a report that has just arrived replaces the known one. Only
// reports of one process are in order. A gate sends its report with each reply until the
// entry has it, so one of another process that came late is soon replaced in its turn.
func replaces(known, report *wire.Report) bool {
	if report.GetProcess() == known.GetProcess() || report.GetProcess() == 0 {
		return report.GetSequence() > known.GetSequence()
	}
	return true
}

// sequence returns the sequence of the stored report of a service, or 0.
func (r *reportTable) sequence(service string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byService[service].GetSequence()
}

// chooseSnapshot returns the snapshot to read for a query to the target, of a
// version above floor, and the services without a report. floor is 0 unless the
// query was restarted.
func (r *reportTable) chooseSnapshot(name string, floor uint64) (choice snapshot.Choice, missing []string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[name]
	if !found {
		return snapshot.Choice{}, nil, false
	}
	r.refresh(t)
	if floor == 0 || t.choice.Version > floor {
		return t.choice, t.missing, t.hasChoice
	}
	knownReports, missing := r.knownReports(t)
	choice, ok = snapshot.Choose(knownReports, floor)
	return choice, missing, ok
}

// knownReports returns the stored reports of the services of a target, and the
// services without one. The caller holds r.mu.
func (r *reportTable) knownReports(t *target) (knownReports []snapshot.Report, missing []string) {
	for _, service := range t.services {
		report, found := r.byService[service]
		if !found {
			missing = append(missing, service)
			continue
		}
		knownReports = append(knownReports, toReport(report))
	}
	return knownReports, missing
}

// refresh recomputes a target if its reports have changed. A target admits of each
// rank the smallest fraction that any of its services admits. The caller holds
// r.mu.
func (r *reportTable) refresh(t *target) {
	if !t.dirty {
		return
	}
	t.dirty = false
	var knownReports []snapshot.Report
	knownReports, t.missing = r.knownReports(t)
	t.admittedFractions = admission.AdmitAll()
	for _, report := range knownReports {
		for rank, fraction := range report.Admitted {
			t.admittedFractions[rank] = min(t.admittedFractions[rank], fraction)
		}
	}
	if _, isPool := r.document.Service(t.name); isPool {
		t.choice = poolSnapshot(t.name)
		t.hasChoice = true
		return
	}
	t.choice, t.hasChoice = snapshot.Choose(knownReports, 0)
}

// poolSnapshot returns the snapshot of a pool: one shard without a version.
func poolSnapshot(service string) snapshot.Choice {
	whole := []snapshot.Range{{Low: 0, High: snapshot.KeySpace}}
	return snapshot.Choice{
		Shards:   []snapshot.Shard{{Service: service, Ranges: whole}},
		Fraction: 1,
		Complete: true,
	}
}

func toReport(report *wire.Report) snapshot.Report {
	converted := snapshot.Report{
		Service:  report.GetService(),
		Sequence: report.GetSequence(),
		Admitted: report.GetAdmitted(),
	}
	for _, version := range report.GetVersions() {
		v := snapshot.Version{Number: version.GetNumber(), Replicas: int(version.GetReplicas())}
		for _, r := range version.GetRanges() {
			v.Ranges = append(v.Ranges, snapshot.Range{Low: r.GetLow(), High: r.GetHigh()})
		}
		converted.Versions = append(converted.Versions, v)
	}
	return converted
}

// admit decides whether a request is admitted. weight is the number of requests
// that an admitted one counts as in the offered load: itself and those that were
// refused since the last one was admitted.
func (r *reportTable) admit(kind document.Kind, caller, requestID string, now time.Time, members int) (weight float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[kind.TargetName()]
	if !found {
		return 1, true
	}
	r.refresh(t)
	rank := kind.Rank
	claimant := admission.Claimant{Kind: kind.Name, Caller: caller}
	fraction := t.shares[rank].Fraction(now, claimant, kind.Worth, t.admittedFractions[rank])
	interval := probeInterval * time.Duration(1+members/membersPerProbeInterval)
	probeDue := now.Sub(t.lastAdmitted[rank]) > interval
	if !probeDue && !admission.Admitted(xxhash.Sum64String(requestID), fraction) {
		t.refused[rank]++
		return 0, false
	}
	weight = 1 + t.refused[rank]
	t.refused[rank] = 0
	t.lastAdmitted[rank] = now
	return weight, true
}

// mayFetch reports whether the missing reports of the target may be fetched now.
// It limits the fetches of concurrent requests to one per minReportFetchInterval.
func (r *reportTable) mayFetch(name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[name]
	if !found || now.Sub(t.lastFetch) < minReportFetchInterval {
		return false
	}
	t.lastFetch = now
	return true
}

// fetchReports fetches the reports of the services from their gates. Gates that
// fail or do not reply within reportFetchTimeout are ignored.
func (e *Entry) fetchReports(ctx context.Context, view *View, services []string) {
	ctx, cancel := context.WithTimeout(ctx, reportFetchTimeout)
	defer cancel()
	byGate := map[string][]string{}
	for _, service := range services {
		gate := view.Assignment.Gate(service)
		byGate[gate] = append(byGate[gate], service)
	}
	var group sync.WaitGroup
	for gate, names := range byGate {
		group.Go(func() { e.fetchReportsFrom(ctx, view, gate, names) })
	}
	group.Wait()
}

func (e *Entry) fetchReportsFrom(ctx context.Context, view *View, gate string, names []string) {
	if gate == e.config.VM {
		for _, report := range e.config.Gates.Describe(ctx, names) {
			e.reportTable.add(report)
		}
		return
	}
	m, alive := view.alive(gate)
	if !alive {
		return
	}
	call := &wire.Call{Body: &wire.Call_Describe{Describe: &wire.Describe{Services: names}}}
	reply, err := e.config.Network.CallUnary(ctx, gate, m.PeerAddress, call)
	if err != nil {
		return
	}
	for _, report := range reply.GetDescribed().GetReports() {
		e.reportTable.add(report)
	}
}
