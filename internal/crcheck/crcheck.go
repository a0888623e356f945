// Package crcheck examines a routing configuration before it is sent. It finds the errors for which a coordinator refuses
// it, entries that can never have an effect, limits that contradict each other, and the differences from another version.
package crcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// Level is the weight of a finding.
type Level string

// The levels of findings.
const (
	// Error is a fault for which a coordinator refuses the configuration.
	Error Level = "error"
	// Warning is an entry that is accepted but probably not meant.
	Warning Level = "warning"
)

// Finding is one fault of a configuration and the place of it in the document.
type Finding struct {
	Level Level  `json:"level"`
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Configuration is a decoded configuration. The functions return the place of an entry in the document.
type Configuration struct {
	Version       uint64
	Routes        []crroute.Route
	Services      []crroute.Service
	Organisations []crroute.Organisation
	Limits        crroute.Limits

	RoutePlace, ServicePlace, OrganisationPlace func(index int) string
}

func (c *Configuration) place(part crroute.Part, index int) string {
	place := map[crroute.Part]func(int) string{
		crroute.PartRoutes: c.RoutePlace, crroute.PartServices: c.ServicePlace, crroute.PartOrganisations: c.OrganisationPlace,
	}[part]
	if place == nil {
		return ""
	}
	return place(index)
}

// Check returns the findings, errors first.
func Check(c *Configuration) (out []Finding) {
	for _, f := range crroute.Faults(c.Routes, c.Services, c.Organisations) {
		out = append(out, Finding{Error, c.place(f.Part, f.Index), f.Err.Error()})
	}
	warn := func(part crroute.Part, index int, format string, args ...any) {
		out = append(out, Finding{Warning, c.place(part, index), fmt.Sprintf(format, args...)})
	}
	c.checkRoutes(warn)
	c.checkServices(warn)
	c.checkOrganisations(warn)
	for _, text := range limitFaults(c.Limits) {
		out = append(out, Finding{Warning, "limits", text})
	}
	return out
}

type warnFunc func(part crroute.Part, index int, format string, args ...any)

// maxPriority is the largest rank that is told apart from others.
const maxPriority = 1<<16 - 1

func (c *Configuration) checkRoutes(warn warnFunc) {
	for i, r := range c.Routes {
		route := func(format string, args ...any) { warn(crroute.PartRoutes, i, format, args...) }
		if strings.ContainsAny(r.Prefix, "?# \t\r\n") {
			route("the path prefix %q can never match: a path contains no query, fragment or space", r.Prefix)
		} else if !strings.HasSuffix(r.Prefix, "/") {
			route("the path prefix %q does not end with a slash and also matches longer names", r.Prefix)
		}
		if strings.ContainsAny(r.Host, "/ ") {
			route("the host %q can never match: it is no host name", r.Host)
		}
		for _, s := range r.Shares {
			if s.Weight == 0 {
				route("the service %q has the weight 0 and gets no requests", s.Service)
			}
		}
		if r.Target == 0 {
			route("the route has no target latency")
		} else if r.Timeout < r.Target {
			route("the timeout %s is below the target latency %s: no answer can be late", r.Timeout, r.Target)
		}
		if r.Priority < 0 || r.Priority > maxPriority {
			route("the priority %d is treated as the nearest of 0 to %d", r.Priority, maxPriority)
		}
		if r.Anonymous && len(c.Organisations) == 0 {
			route("the route is anonymous, but no route needs a key without organisations")
		}
	}
}

func (c *Configuration) checkServices(warn warnFunc) {
	for i, s := range c.Services {
		used := slices.ContainsFunc(c.Routes, func(r crroute.Route) bool {
			return slices.ContainsFunc(r.Shares, func(x crroute.Share) bool { return x.Service == s.Name && x.Weight > 0 })
		})
		if !used {
			warn(crroute.PartServices, i, "no route leads to the service")
		}
		if s.MaxConnections <= 0 {
			warn(crroute.PartServices, i, "the servers accept no connection")
		}
	}
}

func (c *Configuration) checkOrganisations(warn warnFunc) {
	allAnonymous := !slices.ContainsFunc(c.Routes, func(r crroute.Route) bool { return !r.Anonymous })
	for i, o := range c.Organisations {
		organisation := func(format string, args ...any) { warn(crroute.PartOrganisations, i, format, args...) }
		switch {
		case len(o.Keys) == 0:
			organisation("the organisation has no key, so that it can send no request")
		case allAnonymous:
			organisation("the keys have no effect: every route is anonymous")
		}
		switch q := o.Quota; {
		case q.Rate > 0 && q.Burst == 0:
			organisation("the burst is 0: requests that arrive together are refused below the rate %g/s", q.Rate)
		case q.Rate == 0 && q.Burst > 0:
			organisation("the rate is 0: the organisation may send %g requests in all", q.Burst)
		case q.Burst < q.Rate*minBurst.Seconds():
			organisation("the burst %g is below %s of the rate %g/s: usual fluctuations are refused", q.Burst, minBurst, q.Rate)
		}
		if p := o.Priority; p != nil && (*p < 0 || *p > maxPriority) {
			organisation("the priority %d is treated as the nearest of 0 to %d", *p, maxPriority)
		}
	}
}

// minBurst is the time of an organisation's rate that its burst should cover: nodes ask for tokens in advance for some tenths of
// a second, and requests arrive in groups.
const minBurst = 250 * time.Millisecond

// maxHeadBytes is the largest head that a node reads.
const maxHeadBytes = 64 << 10

// limitFaults returns the limits for clients that contradict each other or the node's own.
func limitFaults(l crroute.Limits) (out []string) {
	if l.HeaderBytes > maxHeadBytes {
		out = append(out, fmt.Sprintf("headers of %d bytes are allowed, but a node reads %d at most", l.HeaderBytes, maxHeadBytes))
	}
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		out = append(out, "a limit is negative")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		out = append(out, fmt.Sprintf("the time for a header, %s, is above the idle time of a connection, %s", l.HeaderTimeout, l.IdleTimeout))
	}
	return out
}
