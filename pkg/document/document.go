// Package document defines and parses the operators' configuration document:
// the indexes, pools and services, and the rank, deadline and load limits of
// each kind of work.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// Document is the complete configuration of an environment. It is immutable
// once parsed.
type Document struct {
	Name string
	// Ranks are ordered by urgency, most urgent first. Their floors add up to at
	// most 1.
	Ranks []Rank
	// Indexes and Pools have distinct names.
	Indexes []Index
	Pools   []Pool
	// Services holds the services of every index and one for each pool. No
	// upstream belongs to two of them.
	Services []Service
	Kinds    []Kind
	Checks   []Check
	// Text is the parsed text, byte for byte.
	Text []byte

	kinds    map[string]int
	services map[string]int
	byIndex  map[string][]string
}

// Rank is a priority class of requests.
type Rank struct {
	Name string
	// Floor is the fraction of the capacity that the rank is guaranteed under
	// overload, from 0 to 1.
	Floor float64
}

// Index is a set of services, one for each shard. A request needs all of them.
type Index struct {
	Name   string
	Limits Limits
}

// Pool is a set of interchangeable upstreams. A request needs one of them.
type Pool struct {
	Name   string
	Limits Limits
}

// Limits are the limits of each upstream of an index or pool.
type Limits struct {
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Connections is the maximum number of open connections from all nodes
	// together.
	Connections int
	// ConnectionCost is the time that it takes to open a connection.
	ConnectionCost time.Duration
}

// Service is a replica set: the upstreams that hold the same shard.
type Service struct {
	Name string
	// Index is empty for a pool's service.
	Index string
	// Pool is empty for an index's service.
	Pool string
	// Upstreams are the addresses of the upstreams, host:port.
	Upstreams []string
	Limits    Limits
}

// Kind holds the settings of a kind of work.
type Kind struct {
	Name string
	// Rank is the position in Document.Ranks.
	Rank int
	// Exactly one of Index and Pool is set.
	Index string
	Pool  string
	// Deadline is the longest time that a request may take.
	Deadline time.Duration
	// AnswerBy is the time after which an answer with MinimumCoverage no longer
	// waits for slow shards; at most Deadline.
	AnswerBy time.Duration
	// MinimumCoverage is the fraction of the key space, from 0 to 1, that an
	// answer must include.
	MinimumCoverage float64
	Merge           answer.MergeRule
	// BestCount is the maximum number of records kept by the merge rule "best".
	BestCount int
	// Worth is the value of an answer in goodput, relative to other kinds, and
	// the weight of the kind within the share of its rank.
	Worth float64
	// Repeatable is true if a request may run more than once.
	Repeatable bool
	// HedgeBudget is the extra load allowed for hedges, as a fraction of the
	// requests.
	HedgeBudget float64
	// RetryBudget is the extra load allowed for retries, as a fraction of the
	// requests.
	RetryBudget float64
}

// Check is a query that a trial of the document runs against its environment,
// with the minimum result.
type Check struct {
	Kind            string
	Query           string
	MinimumRecords  int
	MinimumCoverage float64
}

// Digest returns the hexadecimal SHA-256 of the document's text.
func (d *Document) Digest() string {
	return Digest(d.Text)
}

// Digest returns the hexadecimal SHA-256 of a document's text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Kind returns the kind of work with the given name.
func (d *Document) Kind(name string) (Kind, bool) {
	i, found := d.kinds[name]
	if !found {
		return Kind{}, false
	}
	return d.Kinds[i], true
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	i, found := d.services[name]
	if !found {
		return Service{}, false
	}
	return d.Services[i], true
}

// ServicesOf returns the names of the services of an index or a pool, in the
// document's order.
func (d *Document) ServicesOf(name string) []string {
	return d.byIndex[name]
}

// TargetName returns the name of the kind's index or pool.
func (k Kind) TargetName() string {
	if k.Index != "" {
		return k.Index
	}
	return k.Pool
}

// buildLookups builds the lookup maps after parsing.
func (d *Document) buildLookups() {
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
