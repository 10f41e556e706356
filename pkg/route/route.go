// Package route holds the routing table, which selects the services for a
// caller's request by host and then by the longest path prefix. A Table is
// immutable, so that a request sees a single version of it.
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

// Route is a rule of a routing table. It is immutable.
type Route struct {
	Name string
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	// Idempotent is true if a request may be sent to upstreams more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for its answer; 0 for no
	// limit.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full value for
	// the caller.
	TargetLatency time.Duration
	// Rank is the priority of queued requests; 0 is the most urgent.
	Rank int
	// Attempts is the maximum number of upstreams of a service that one
	// request may be sent to; at least 1.
	Attempts int
	// Targets are the services that share the requests. It is not empty if
	// Shards is empty.
	Targets []Target
	// Shards are the services that each contribute a part of the answer; empty
	// for a request that goes to one of Targets.
	Shards []string
	// Top is the maximum number of records of a merged answer.
	Top int
	// Public is true if callers need no key.
	Public bool
	// MinimumShardShare is the fraction of the shards, from 0 to 1, that a
	// successful answer needs.
	MinimumShardShare float64
}

// MinimumShards returns the number of shards that a successful answer needs, at
// least 1.
func (r *Route) MinimumShards() int {
	minimum := 1
	for minimum < len(r.Shards) && float64(minimum) < r.MinimumShardShare*float64(len(r.Shards))-roundingTolerance {
		minimum++
	}
	return minimum
}

// roundingTolerance absorbs the rounding error of a fraction times a number of
// shards.
const roundingTolerance = 1e-9

// PickService returns the service of the target selected by point, which is in
// [0, 1): each target is selected by a part of the interval in proportion to
// its weight.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := point * total
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
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

// Service holds the settings of a service.
type Service struct {
	Name string
	// Connections is the number of connections that each upstream of the
	// service accepts from all nodes together; 0 for no limit.
	Connections int
	// ColdPerSecond is the number of requests a second that each upstream gets from all
	// nodes together while it is cold; 0 for no limit.
	ColdPerSecond float64
}

// Limits are the limits on a caller's connection and request.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes; 0 for no limit.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout and IdleTimeout are 0 for no limit.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is the content of a Table.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams are the teams that may send requests; empty if callers need no keys.
	Teams []Team
}

// Table is one version of the routing table. It is immutable. A nil Table has
// no routes.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// hosts holds the routes by lower-case host and then by prefix.
	hosts map[string]map[string]*Route
	// usedServices holds the services that routes use, shards those that are shards
	// of a route, and routeNames the names of the routes. All are sorted.
	usedServices []string
	shards       []string
	routeNames   []string
	teams        teams
}

// NewTable returns the table of a configuration.
func NewTable(config Config) *Table {
	t := &Table{
		version:  config.Version,
		limits:   config.Limits,
		services: make(map[string]Service, len(config.Services)),
		hosts:    map[string]map[string]*Route{},
		teams:    newTeams(config.Teams),
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
		t.usedServices = append(t.usedServices, r.Services()...)
		t.shards = append(t.shards, r.Shards...)
		t.routeNames = append(t.routeNames, r.Name)
	}
	slices.Sort(t.routeNames)
	slices.Sort(t.usedServices)
	t.usedServices = slices.Compact(t.usedServices)
	slices.Sort(t.shards)
	t.shards = slices.Compact(t.shards)
	return t
}

// Version returns the table's version; 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns the limits on callers; none for a nil table.
func (t *Table) Limits() Limits {
	if t == nil {
		return Limits{}
	}
	return t.limits
}

// Service returns the settings of a service; false if the table has none.
func (t *Table) Service(name string) (Service, bool) {
	if t == nil {
		return Service{}, false
	}
	s, found := t.services[name]
	return s, found
}

// Services returns the sorted names of the services that routes use; none for a
// nil table.
func (t *Table) Services() []string {
	if t == nil {
		return nil
	}
	return t.usedServices
}

// Shards returns the sorted names of the services that are shards of a route; none
// for a nil table.
func (t *Table) Shards() []string {
	if t == nil {
		return nil
	}
	return t.shards
}

// UsesService reports whether a route uses the service.
func (t *Table) UsesService(service string) bool {
	_, found := slices.BinarySearch(t.Services(), service)
	return found
}

// HasRoute reports whether there is a route with the given name.
func (t *Table) HasRoute(name string) bool {
	if t == nil {
		return false
	}
	_, found := slices.BinarySearch(t.routeNames, name)
	return found
}

// Match returns the route of the host with the longest prefix of the path, or
// nil if no route matches. A port in the host is ignored.
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
