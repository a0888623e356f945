// Package crroute is the routing table for forwarded HTTP requests. A route is selected by host and longest path
// prefix, and sends its requests to one service or divides them among several services by weight. A table is immutable
// and safe for concurrent use.
package crroute

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Kind is how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// Repeatable requests may run any number of times.
	Repeatable Kind = iota + 1
	// Once requests run at most once for each attempt of a client.
	Once
	// Upload requests run at most once and have large bodies.
	Upload
)

// Share is the part of a route's requests that is sent to one service.
type Share struct {
	Service string
	Weight  int
}

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the time from the arrival of a request to its final answer. Target is the time within which an
	// answer has its full value.
	Timeout, Target time.Duration
	// Priority is the rank of the route; 0 is the most important.
	Priority int
	Shares   []Share
	// MaxAttempts limits the number of servers that one request may be sent to.
	MaxAttempts int
	// Anonymous routes accept requests without the key of an organisation.
	Anonymous bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Repeatable }

// Service returns the service for a random number in [0, 1), by weight.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service describes the servers of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all callers together.
	MaxConnections int
}

// Limits are the limits for requests of clients: their sizes and the times that they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Limits of a valid table.
const (
	// MaxTimeout is the longest timeout of a route, defined by the platform's interface.
	MaxTimeout = 10 * time.Minute
	// MaxTargetExcess is the amount by which a target may exceed its route's timeout, defined by the platform's
	// interface. The limit itself is excluded.
	MaxTargetExcess = time.Minute
)

// Table is one version of the complete routing configuration.
type Table struct {
	version  uint64
	byHost   map[string][]*Route
	services map[string]Service
	limits   Limits
	// names holds the names of the routes.
	names map[string]bool
	// organisations holds the organisations by name, and byKey by each of their keys.
	organisations, byKey map[string]*Organisation
	// quotas is set if an organisation has a quota.
	quotas bool
}

// New returns a table, or a BadValue error that names the first invalid value.
func New(version uint64, routes []Route, services []Service, limits Limits, organisations ...Organisation) (*Table, error) {
	t, faults := build(version, routes, services, limits, organisations)
	if len(faults) > 0 {
		return nil, faults[0].Err
	}
	return t, nil
}

// Part is a list of entries of a configuration.
type Part uint8

// The lists of a configuration.
const (
	PartRoutes Part = iota
	PartServices
	PartOrganisations
)

// Fault is an invalid entry of a configuration: its list, its position in that list and what is wrong.
type Fault struct {
	Part  Part
	Index int
	Err   error
}

// Faults returns every invalid entry. New accepts exactly the configurations without one.
func Faults(routes []Route, services []Service, organisations []Organisation) []Fault {
	_, faults := build(0, routes, services, Limits{}, organisations)
	return faults
}

func build(version uint64, routes []Route, services []Service, limits Limits, organisations []Organisation) (*Table, []Fault) {
	t := &Table{
		version: version, byHost: map[string][]*Route{}, services: map[string]Service{}, limits: limits,
		names: map[string]bool{}, organisations: map[string]*Organisation{}, byKey: map[string]*Organisation{},
	}
	var faults []Fault
	record := func(part Part, index int, err error) {
		if err != nil {
			faults = append(faults, Fault{part, index, err})
		}
	}
	for i, o := range organisations {
		record(PartOrganisations, i, t.addOrganisation(&o))
	}
	for i, s := range services {
		record(PartServices, i, t.addService(s))
	}
	for i, r := range routes {
		record(PartRoutes, i, t.addRoute(&r))
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, faults
}

func (t *Table) addService(s Service) error {
	if _, ok := t.services[s.Name]; ok || s.Name == "" {
		return crcode.New(crcode.BadValue, "service %q has no name or stands twice", s.Name)
	}
	t.services[s.Name] = s
	return nil
}

func (t *Table) addRoute(r *Route) error {
	if err := t.check(r); err != nil {
		return err
	}
	host := hostname(r.Host)
	for _, other := range t.byHost[host] {
		if other.Prefix == r.Prefix {
			return crcode.New(crcode.BadValue, "routes %q and %q have the same host and prefix", other.Name, r.Name)
		}
	}
	t.byHost[host] = append(t.byHost[host], r)
	t.names[r.Name] = true
	return nil
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return crcode.New(crcode.BadValue, "route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/"):
		return crcode.New(crcode.BadValue, "route %q: the path prefix %q must begin with a slash", r.Name, r.Prefix)
	case r.Kind < Repeatable || r.Kind > Upload:
		return crcode.New(crcode.BadValue, "route %q has an unknown kind", r.Name)
	case r.Timeout <= 0 || r.Timeout > MaxTimeout:
		return crcode.New(crcode.BadValue, "route %q: the timeout %s is not above 0 and at most %s", r.Name, r.Timeout, MaxTimeout)
	case r.Target < 0 || r.Target >= r.Timeout+MaxTargetExcess:
		return crcode.New(crcode.BadValue, "route %q: the target %s is %s or more above the timeout", r.Name, r.Target, MaxTargetExcess)
	case r.MaxAttempts < 1:
		return crcode.New(crcode.BadValue, "route %q allows no attempt", r.Name)
	}
	total := 0
	for _, s := range r.Shares {
		if _, ok := t.services[s.Service]; !ok {
			return crcode.New(crcode.BadValue, "route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return crcode.New(crcode.BadValue, "route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return crcode.New(crcode.BadValue, "route %q leads nowhere", r.Name)
	}
	return nil
}

// hostname returns a host in lower case and without a port.
func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest prefix that matches the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Version returns the version number of the table.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for clients.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the description of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of all services, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for n := range t.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// HasRoute reports whether the table has a route with the name.
func (t *Table) HasRoute(name string) bool { return t.names[name] }

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, l := range t.byHost {
		n += len(l)
	}
	return n
}
