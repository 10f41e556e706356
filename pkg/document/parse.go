package document

import (
	"net"
	"slices"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// MaximumSize is the largest document accepted, in bytes, before compression
// for the store.
const MaximumSize = 4 << 20

// Default values of optional keys.
const (
	defaultHedgeBudget = 0.05
	defaultRetryBudget = 0.10
	defaultWorth       = 1.0
	defaultBestCount   = 10
)

// parser builds a document and keeps the names defined so far, to resolve
// references and to find duplicates.
type parser struct {
	document *Document
	// owners maps the address of an upstream to the name of its service.
	owners map[string]string
	// targets maps the names of indexes and pools to their limits. An index and a
	// pool can't have the same name.
	targets map[string]Limits
	// ranks maps the names of ranks to their positions in Document.Ranks.
	ranks map[string]int
}

// Parse parses a document. The error is a Problems with every problem and its
// line.
func Parse(text []byte) (document *Document, err error) {
	if len(text) > MaximumSize {
		return nil, Problems{{Message: "the document is larger than 4 MiB"}}
	}
	reader, err := NewReader(text)
	if err != nil {
		return nil, err
	}
	p := &parser{
		document: &Document{Text: slices.Clone(text)},
		owners:   map[string]string{},
		targets:  map[string]Limits{},
		ranks:    map[string]int{},
	}
	root := reader.Root()
	p.document.Name = root.Text("name")
	p.readRanks(root)
	p.readIndexes(root)
	p.readPools(root)
	p.readServices(root)
	p.readKinds(root)
	p.readChecks(root)
	if err := reader.Finish(); err != nil {
		return nil, err
	}
	p.document.buildLookups()
	return p.document, nil
}

func (p *parser) readRanks(root *Table) {
	total := 0.0
	tables := root.Tables("rank")
	if len(tables) == 0 {
		root.Problemf("", "no [[rank]] is given")
	}
	for _, table := range tables {
		rank := Rank{Name: table.Text("name"), Floor: table.PercentOr("floor", 0)}
		if _, duplicate := p.ranks[rank.Name]; duplicate {
			table.Problemf("name", "duplicate rank %q", rank.Name)
		}
		p.ranks[rank.Name] = len(p.document.Ranks)
		p.document.Ranks = append(p.document.Ranks, rank)
		total += rank.Floor
		if total > 1 {
			table.Problemf("floor", "the floors add up to more than 100%%")
			total = 0
		}
		table.ReportUnknownKeys()
	}
}

func readLimits(table *Table) Limits {
	limits := Limits{
		Slots:          table.Count("slots"),
		Connections:    table.Count("connections"),
		ConnectionCost: table.DurationOr("connectionCost", 0),
	}
	if limits.Connections < limits.Slots {
		table.Problemf("connections", "connections must be at least as many as slots")
	}
	return limits
}

// readTarget reads the name and limits of an index or pool.
func (p *parser) readTarget(table *Table) (name string, limits Limits) {
	name = table.Text("name")
	limits = readLimits(table)
	if _, duplicate := p.targets[name]; duplicate {
		table.Problemf("name", "duplicate index or pool %q", name)
	}
	p.targets[name] = limits
	return name, limits
}

func (p *parser) readIndexes(root *Table) {
	for _, table := range root.Tables("index") {
		name, limits := p.readTarget(table)
		p.document.Indexes = append(p.document.Indexes, Index{Name: name, Limits: limits})
		table.ReportUnknownKeys()
	}
}

func (p *parser) readPools(root *Table) {
	for _, table := range root.Tables("pool") {
		name, limits := p.readTarget(table)
		service := Service{Name: name, Pool: name, Limits: limits, Upstreams: table.Texts("upstreams")}
		p.assignUpstreams(table, service)
		p.document.Pools = append(p.document.Pools, Pool{Name: name, Limits: limits})
		p.document.Services = append(p.document.Services, service)
		table.ReportUnknownKeys()
	}
}

// assignUpstreams records the service as the owner of its upstreams.
func (p *parser) assignUpstreams(table *Table, service Service) {
	for _, upstream := range service.Upstreams {
		if _, _, err := net.SplitHostPort(upstream); err != nil {
			table.Problemf("upstreams", "upstream %q is not host:port", upstream)
		}
		if owner, duplicate := p.owners[upstream]; duplicate {
			table.Problemf("upstreams", "upstream %q is listed in both %q and %q", upstream, owner, service.Name)
		}
		p.owners[upstream] = service.Name
	}
}

func (p *parser) readServices(root *Table) {
	names := map[string]bool{}
	indexesWithService := map[string]bool{}
	for _, table := range root.Tables("service") {
		service := Service{
			Name:      table.Text("name"),
			Index:     table.Text("index"),
			Upstreams: table.Texts("upstreams"),
		}
		if names[service.Name] || p.isPool(service.Name) {
			table.Problemf("name", "duplicate service %q", service.Name)
		}
		names[service.Name] = true
		if !p.isIndex(service.Index) {
			table.Problemf("index", "no [[index]] is named %q", service.Index)
		}
		indexesWithService[service.Index] = true
		service.Limits = p.targets[service.Index]
		p.assignUpstreams(table, service)
		p.document.Services = append(p.document.Services, service)
		table.ReportUnknownKeys()
	}
	for i, table := range root.Tables("index") {
		if i < len(p.document.Indexes) && !indexesWithService[p.document.Indexes[i].Name] {
			table.Problemf("name", "index %q has no [[service]]", p.document.Indexes[i].Name)
		}
	}
}

func (p *parser) isPool(name string) bool {
	return slices.ContainsFunc(p.document.Pools, func(pool Pool) bool { return pool.Name == name })
}

func (p *parser) isIndex(name string) bool {
	return slices.ContainsFunc(p.document.Indexes, func(index Index) bool { return index.Name == name })
}

func (p *parser) readKinds(root *Table) {
	names := map[string]bool{}
	tables := root.Tables("kind")
	if len(tables) == 0 {
		root.Problemf("", "no [[kind]] is given")
	}
	for _, table := range tables {
		kind := p.readKind(table)
		if names[kind.Name] {
			table.Problemf("name", "duplicate kind %q", kind.Name)
		}
		names[kind.Name] = true
		p.document.Kinds = append(p.document.Kinds, kind)
		table.ReportUnknownKeys()
	}
}

func (p *parser) readKind(table *Table) Kind {
	kind := Kind{
		Name:            table.Text("name"),
		Index:           table.TextOr("index", ""),
		Pool:            table.TextOr("pool", ""),
		Deadline:        table.Duration("deadline"),
		MinimumCoverage: table.PercentOr("minimumCoverage", 1),
		Merge:           answer.MergeRule(table.TextOr("merge", string(answer.All))),
		BestCount:       table.CountOr("best", defaultBestCount),
		Worth:           table.NumberOr("worth", defaultWorth),
		Repeatable:      table.BoolOr("repeat", true),
		HedgeBudget:     table.PercentOr("hedge", defaultHedgeBudget),
		RetryBudget:     table.PercentOr("retry", defaultRetryBudget),
	}
	kind.AnswerBy = table.DurationOr("answerBy", kind.Deadline)
	rank, found := p.ranks[table.Text("rank")]
	if !found {
		table.Problemf("rank", "no [[rank]] is named %q", table.TextOr("rank", ""))
	}
	kind.Rank = rank
	p.validateKind(table, kind)
	return kind
}

func (p *parser) validateKind(table *Table, kind Kind) {
	switch {
	case (kind.Index == "") == (kind.Pool == ""):
		table.Problemf("", "kind %q must name an index or a pool, and not both", kind.Name)
	case kind.Index != "" && !p.isIndex(kind.Index):
		table.Problemf("index", "no [[index]] is named %q", kind.Index)
	case kind.Pool != "" && !p.isPool(kind.Pool):
		table.Problemf("pool", "no [[pool]] is named %q", kind.Pool)
	}
	if kind.AnswerBy > kind.Deadline {
		table.Problemf("answerBy", "answerBy is later than the deadline")
	}
	if !slices.Contains([]answer.MergeRule{answer.All, answer.Best, answer.Sums}, kind.Merge) {
		table.Problemf("merge", "merge must be \"all\", \"best\" or \"sums\"")
	}
	if !kind.Repeatable && kind.Index != "" {
		table.Problemf("repeat", "a kind with repeat = false must name a pool, because it runs on one upstream")
	}
	if !kind.Repeatable && table.Has("hedge") && kind.HedgeBudget > 0 {
		table.Problemf("hedge", "a kind with repeat = false can't be hedged")
	}
}

func (p *parser) readChecks(root *Table) {
	for _, table := range root.Tables("check") {
		check := Check{
			Kind:            table.Text("kind"),
			Query:           table.Text("query"),
			MinimumRecords:  table.CountOr("minimumRecords", 0),
			MinimumCoverage: table.PercentOr("minimumCoverage", 1),
		}
		p.validateCheck(table, check)
		p.document.Checks = append(p.document.Checks, check)
		table.ReportUnknownKeys()
	}
}

func (p *parser) validateCheck(table *Table, check Check) {
	for _, kind := range p.document.Kinds {
		if kind.Name != check.Kind {
			continue
		}
		if !kind.Repeatable {
			table.Problemf("kind", "kind %q has repeat = false and can't be used in a check", check.Kind)
		}
		return
	}
	table.Problemf("kind", "no [[kind]] is named %q", check.Kind)
}
