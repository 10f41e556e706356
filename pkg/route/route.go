// Package route holds the table that tells which services a caller's request
// goes to: by host, then by the longest path prefix. A Table is immutable, so
// one request sees one version from its start to its end.
package route

import (
	"slices"
	"strings"
	"time"
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is above 0; shares are in proportion to the weights.
	Weight float64
}

// Route is one rule of a table. It is immutable.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may be sent to an upstream more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting; 0 for no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most to the caller.
	TargetLatency time.Duration
	// Rank orders waiting requests; 0 is the most urgent.
	Rank int
	// Attempts is the largest number of upstreams of a service that one request
	// may be sent to; at least 1.
	Attempts int
	// Targets is not empty if Shards is empty.
	Targets []Target
	// Shards are the services that each hold a part of the answer.
	Shards []string
	// Top is the number of records of a merged answer.
	Top int
	// LeastShare is the share of the shards below which an answer is no success.
	MinimumShardShare float64
}

// LeastShards returns the smallest number of shards that make a success.
func (r *Route) MinimumShards() int {
	least := 1
	for least < len(r.Shards) && float64(least) < r.MinimumShardShare*float64(len(r.Shards))-shareTolerance {
		least++
	}
	return least
}

// shareTolerance absorbs the rounding of a share times a number of shards.
const shareTolerance = 1e-9

// Pick returns the target whose part of the weights contains the point, which
// is in [0, 1).
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := point * total
	for _, t := range r.Targets {
		if rest < t.Weight {
			return t.Service
		}
		rest -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Services lists every service that the route may use.
func (r *Route) Services() []string {
	services := append([]string(nil), r.Shards...)
	for _, t := range r.Targets {
		services = append(services, t.Service)
	}
	return services
}

// Service is what a table says of a service.
type Service struct {
	Name string
	// Connections is the number of connections that each upstream of the
	// service accepts from all nodes together; 0 for no bound.
	Connections int
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are 0 for no bound.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout and IdleTimeout are 0 for no bound.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is what a Table is made of.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is one version of the routes. It is immutable.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// hosts holds the routes by lower-case host and by prefix.
	hosts map[string]map[string]*Route
	// used lists the services that routes use, and names the routes, in order.
	used  []string
	names []string
}

// NewTable returns the table of a configuration.
func NewTable(config Config) *Table {
	t := &Table{
		version:  config.Version,
		limits:   config.Limits,
		services: make(map[string]Service, len(config.Services)),
		hosts:    map[string]map[string]*Route{},
	}
	for _, s := range config.Services {
		t.services[s.Name] = s
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
		t.used = append(t.used, r.Services()...)
		t.names = append(t.names, r.Name)
	}
	slices.Sort(t.names)
	slices.Sort(t.used)
	t.used = slices.Compact(t.used)
	return t
}

// Version returns the table's version; 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns what bounds callers; none for a nil table.
func (t *Table) Limits() Limits {
	if t == nil {
		return Limits{}
	}
	return t.limits
}

// Service returns what the table says of a service.
func (t *Table) Service(name string) (Service, bool) {
	if t == nil {
		return Service{}, false
	}
	s, found := t.services[name]
	return s, found
}

// Services lists the services that routes use; none for a nil table.
func (t *Table) Services() []string {
	if t == nil {
		return nil
	}
	return t.used
}

// Uses reports whether a route uses the service.
func (t *Table) UsesService(service string) bool {
	_, found := slices.BinarySearch(t.Services(), service)
	return found
}

// Has reports whether there is a route of the name.
func (t *Table) HasRoute(name string) bool {
	if t == nil {
		return false
	}
	_, found := slices.BinarySearch(t.names, name)
	return found
}

// Find returns the route of the host with the longest prefix that begins the
// path, or nil. A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if len(prefixes) == 0 {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}
