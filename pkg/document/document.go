// Package document defines the operators' document: what is served, how each
// kind of work ranks, and what it may cost.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// Document is one environment's whole configuration. It is immutable once
// parsed.
type Document struct {
	Name string
	// Ranks are ordered, most urgent first. Their floors add up to at most 1.
	Ranks []Rank
	// Indexes and Pools have distinct names.
	Indexes []Index
	Pools   []Pool
	// Services holds the services of every index and one for each pool. No
	// upstream stands in two of them.
	Services []Service
	Kinds    []Kind
	Checks   []Check
	// Text is what was parsed, byte for byte.
	Text []byte

	kinds    map[string]int
	services map[string]int
	byIndex  map[string][]string
}

// Rank is one class of urgency.
type Rank struct {
	Name string
	// Floor is the fraction of capacity the rank receives in any flood.
	Floor float64
}

// Index is a set of services, one for each shard. A query needs all of them.
type Index struct {
	Name   string
	Limits Limits
}

// Pool is a set of interchangeable upstreams. A request needs one of them.
type Pool struct {
	Name   string
	Limits Limits
}

// Limits are what each upstream of an index or pool accepts.
type Limits struct {
	// Slots is the number of requests in progress at once.
	Slots int
	// Connections is the number of open connections from all nodes together.
	Connections int
	// ConnectionCost is the time to make a connection.
	ConnectionCost time.Duration
}

// Service is a replica set: upstreams that hold the same shard.
type Service struct {
	Name string
	// Index is empty for a pool's service.
	Index string
	// Pool is empty for an index's service.
	Pool string
	// Upstreams are addresses, host:port.
	Upstreams []string
	Limits    Limits
}

// Kind is one kind of work.
type Kind struct {
	Name string
	// Rank is the position in Document.Ranks.
	Rank int
	// Exactly one of Index and Pool is set.
	Index string
	Pool  string
	// Deadline is the longest a request may take.
	Deadline time.Duration
	// AnswerBy is when an answer of MinimumCoverage no longer waits for
	// stragglers; at most Deadline.
	AnswerBy time.Duration
	// MinimumCoverage is the least fraction of the key space of an answer.
	MinimumCoverage float64
	Merge           answer.MergeRule
	// Best is the number of records kept by the rule "best".
	BestCount int
	// Worth is the value of one answer in goodput, relative to other kinds,
	// and its weight in the share of its rank.
	Worth float64
	// Repeat is true if a request may run more than once.
	Repeatable bool
	// Hedge is the extra load allowed for hedges, as a fraction of requests.
	HedgeBudget float64
	// Retry is the extra load allowed for retries, as a fraction of requests.
	RetryBudget float64
}

// Check is a query that trial runs against its environment.
type Check struct {
	Kind            string
	Query           string
	MinimumRecords  int
	MinimumCoverage float64
}

// Digest identifies the document's text: the hexadecimal SHA-256.
func (d *Document) Digest() string {
	return Digest(d.Text)
}

// Digest returns the hexadecimal SHA-256 of a document's text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Kind finds a kind of work by its name.
func (d *Document) Kind(name string) (Kind, bool) {
	position, found := d.kinds[name]
	if !found {
		return Kind{}, false
	}
	return d.Kinds[position], true
}

// Service finds a service by its name.
func (d *Document) Service(name string) (Service, bool) {
	position, found := d.services[name]
	if !found {
		return Service{}, false
	}
	return d.Services[position], true
}

// ServicesOf returns the names of the services of an index or a pool, in the
// document's order.
func (d *Document) ServicesOf(name string) []string {
	return d.byIndex[name]
}

// Target is the index or pool of the kind.
func (k Kind) TargetName() string {
	if k.Index != "" {
		return k.Index
	}
	return k.Pool
}

// link builds the lookups after parsing.
func (d *Document) link() {
	d.kinds = make(map[string]int, len(d.Kinds))
	for i, kind := range d.Kinds {
		d.kinds[kind.Name] = i
	}
	d.services = make(map[string]int, len(d.Services))
	d.byIndex = map[string][]string{}
	for i, service := range d.Services {
		d.services[service.Name] = i
		owner := service.Index + service.Pool
		d.byIndex[owner] = append(d.byIndex[owner], service.Name)
	}
}
