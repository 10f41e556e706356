package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/admission"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Intervals of what an entry knows of the services.
const (
	// describeTimeout bounds the wait for reports that are missing.
	describeTimeout = 500 * time.Millisecond
	// describeInterval is the shortest time between two tries.
	describeInterval = 25 * time.Millisecond
	// probeInterval is the time after which a rank that is refused gets one
	// request through, times the members per probeMembers.
	probeInterval = 200 * time.Millisecond
	probeMembers  = 9
)

// target is what an entry knows of one index or pool.
type target struct {
	name     string
	services []string
	// dirty is true if a report has changed since choice and admitted were made.
	dirty    bool
	choice   snapshot.Choice
	chosen   bool
	admitted admission.Fractions
	// missing lists the services without a report.
	missing   []string
	described time.Time
	// refused counts the requests refused since the last one admitted, by rank.
	refused [admission.MaximumRanks]float64
	// shares divides each rank among kinds and callers.
	shares [admission.MaximumRanks]*admission.Shares
	// lastAdmitted is when a request was last admitted, by rank.
	lastAdmitted [admission.MaximumRanks]time.Time
}

func newTarget(name string, services []string) *target {
	t := &target{name: name, services: services, dirty: true}
	for rank := range t.shares {
		t.shares[rank] = admission.NewShares()
	}
	return t
}

// reports is the table of the newest report of each service.
type reports struct {
	mu        sync.Mutex
	document  *document.Document
	byService map[string]*wire.Report
	owners    map[string]*target
	targets   map[string]*target
}

func newReports() *reports {
	return &reports{byService: map[string]*wire.Report{}}
}

// use takes over a document, if it is another one.
func (r *reports) use(d *document.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.document == d {
		return
	}
	r.document = d
	r.owners = map[string]*target{}
	r.targets = map[string]*target{}
	for _, service := range d.Services {
		name := service.Index + service.Pool
		t, found := r.targets[name]
		if !found {
			t = newTarget(name, d.ServicesOf(name))
			r.targets[name] = t
		}
		r.owners[service.Name] = t
	}
}

// learn takes over a report if it is newer than the known one.
func (r *reports) learn(report *wire.Report) {
	if report == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.byService[report.GetService()]
	if found && known.GetSequence() >= report.GetSequence() {
		return
	}
	r.byService[report.GetService()] = report
	if t, found := r.owners[report.GetService()]; found {
		t.dirty = true
	}
}

func (r *reports) sequence(service string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byService[service].GetSequence()
}

// choose returns the snapshot for a query to the target: of versions above the
// floor, which is 0 but after a restart.
func (r *reports) choose(name string, floor uint64) (choice snapshot.Choice, missing []string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[name]
	if !found {
		return snapshot.Choice{}, nil, false
	}
	r.refresh(t)
	if floor == 0 || t.choice.Version > floor {
		return t.choice, t.missing, t.chosen
	}
	known, missing := r.known(t)
	choice, ok = snapshot.Choose(known, floor)
	return choice, missing, ok
}

func (r *reports) known(t *target) (known []snapshot.Report, missing []string) {
	for _, service := range t.services {
		report, found := r.byService[service]
		if !found {
			missing = append(missing, service)
			continue
		}
		known = append(known, toReport(report))
	}
	return known, missing
}

// refresh brings a target up to date with its reports.
func (r *reports) refresh(t *target) {
	if !t.dirty {
		return
	}
	t.dirty = false
	var known []snapshot.Report
	known, t.missing = r.known(t)
	t.admitted = admission.Everything()
	for _, report := range known {
		for rank, fraction := range report.Admitted {
			t.admitted[rank] = min(t.admitted[rank], fraction)
		}
	}
	if _, isPool := r.document.Service(t.name); isPool {
		t.choice = poolChoice(t.name)
		t.chosen = true
		return
	}
	t.choice, t.chosen = snapshot.Choose(known, 0)
}

// poolChoice is the one shard of a pool, which has no versions.
func poolChoice(service string) snapshot.Choice {
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

// admit decides a request. weight is the number of requests that an admitted
// one stands for in the offered load.
func (r *reports) admit(kind document.Kind, caller, requestID string, now time.Time, members int) (weight float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[kind.Target()]
	if !found {
		return 1, true
	}
	r.refresh(t)
	rank := kind.Rank
	who := admission.Claimant{Kind: kind.Name, Caller: caller}
	fraction := t.shares[rank].Fraction(now, who, kind.Worth, t.admitted[rank])
	probe := probeInterval * time.Duration(1+members/probeMembers)
	due := now.Sub(t.lastAdmitted[rank]) > probe
	if !due && !admission.Admitted(xxhash.Sum64String(requestID), fraction) {
		t.refused[rank]++
		return 0, false
	}
	weight = 1 + t.refused[rank]
	t.refused[rank] = 0
	t.lastAdmitted[rank] = now
	return weight, true
}

// mayDescribe reports whether the target's missing reports may be fetched now.
func (r *reports) mayDescribe(name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, found := r.targets[name]
	if !found || now.Sub(t.described) < describeInterval {
		return false
	}
	t.described = now
	return true
}

// describe fetches the reports of the services from their gates.
func (e *Entry) describe(ctx context.Context, view *View, services []string) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	byGate := map[string][]string{}
	for _, service := range services {
		gate := view.Assignment.Gate(service)
		byGate[gate] = append(byGate[gate], service)
	}
	var group sync.WaitGroup
	for gate, names := range byGate {
		group.Go(func() { e.describeFrom(ctx, view, gate, names) })
	}
	group.Wait()
}

func (e *Entry) describeFrom(ctx context.Context, view *View, gate string, names []string) {
	if gate == e.config.VM {
		for _, report := range e.config.Gates.Describe(ctx, names) {
			e.reports.learn(report)
		}
		return
	}
	m, alive := view.alive(gate)
	if !alive {
		return
	}
	call := &wire.Call{Body: &wire.Call_Describe{Describe: &wire.Describe{Services: names}}}
	reply, err := e.config.Network.Ask(ctx, gate, m.PeerAddress, call)
	if err != nil {
		return
	}
	for _, report := range reply.GetDescribed().GetReports() {
		e.reports.learn(report)
	}
}
