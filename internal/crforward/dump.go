package crforward

import (
	"time"

	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/pkg/crlimiter"
	"github.com/citronramp/citronramp/pkg/crquarantine"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crspeed"
)

// Dump returns the state of the node for the admin interface. The field names of the JSON are public.
func (n *Node) Dump(now time.Time) any {
	type serviceView struct {
		Name    string          `json:"name"`
		Servers []crrouter.View `json:"servers"`
		Denied  uint64          `json:"retries_denied"`
	}
	type routeView struct {
		Name    string             `json:"name"`
		Clients bool               `json:"from_clients"`
		CostMS  map[string]float32 `json:"cost_ms"`
	}
	type suspectView struct {
		Fingerprint string `json:"fingerprint"`
		Crashes     int    `json:"crashes"`
		Convicted   bool   `json:"convicted"`
		AgeMS       int64  `json:"age_ms"`
	}
	out := struct {
		Name     string          `json:"name"`
		At       time.Time       `json:"at"`
		Version  uint64          `json:"version"`
		Control  string          `json:"control"`
		Stopping bool            `json:"stopping"`
		InFlight int64           `json:"in_flight"`
		Server   *registration   `json:"server"`
		Limit    *crlimiter.View `json:"limit"`
		Speed    *crspeed.View   `json:"speed"`
		Queued   int             `json:"queued"`
		Services []serviceView   `json:"services"`
		Routes   []routeView     `json:"routes"`
		Suspects []suspectView   `json:"suspects"`
	}{Name: n.Settings.Name, At: now, Control: n.directory.Control(), Stopping: n.stopping.Load() != nil, InFlight: n.inFlight.Load()}
	if t := n.table.Load(); t != nil {
		out.Version = t.Version()
	}
	n.gate.mu.Lock()
	out.Server = n.gate.reg
	if n.gate.limiter != nil {
		v := n.gate.limiter.View()
		out.Limit, out.Queued = &v, n.gate.queue.Len()
		s := n.gate.speed.View(now)
		out.Speed = &s
	}
	n.gate.mu.Unlock()
	n.services.mu.Lock()
	for _, s := range n.services.byName {
		out.Services = append(out.Services, serviceView{s.name, s.router.View(now), s.retries.Denied() + s.allowance.Denied()})
	}
	n.services.mu.Unlock()
	for _, h := range n.routeHints(1) {
		out.Routes = append(out.Routes, routeView{h.GetRoute(), origin(h.GetOrigin()) == originClients, h.GetCostMs()})
	}
	for _, e := range n.suspects.entries(now) {
		if e.State != crquarantine.StateCleared {
			out.Suspects = append(out.Suspects, suspectView{e.Fingerprint.String(), e.Crashes, e.State == crquarantine.StateConvicted, e.Age.Milliseconds()})
		}
	}
	return out
}

// Prefixes of the names of latency histograms. The service follows, and for requests also the outcome.
const (
	requestTime = "request_time/"
	waitTime    = "wait_time/"
	runTime     = "run_time/"
)

func (n *Node) declareMetrics() {
	n.Counters.Declare("answered", "retries", "retries_denied", "repeated_calls", "server_refusals", "reports_stale", "reports_refused",
		"coordinator_unreachable", "server_connections", "documents_unreadable", "server_crashes", "loads_malformed", "speeds_malformed", "limit_changes",
		"suspects", "suspect_waits", "convictions", "quarantine_refused", reasonUnknownKey, reasonMissingKey, reasonUnconfirmed, "freshness_failed",
		"shed_excess")
	n.Counters.Declare(crintake.CounterNames()...)
	n.Counters.Gauge("intake_bytes", func() any { return n.intake.Used() })
	n.Counters.Gauge("in_flight", func() any { return n.inFlight.Load() })
	n.Counters.Gauge("config_age_ms", func() any {
		if age, ok := n.configAge(); ok {
			return age.Milliseconds()
		}
		return -1
	})
	n.Counters.Gauge("server_limit", func() any {
		if f := n.gate.feedback(); f != nil {
			return f.Limit
		}
		return 0
	})
	n.Counters.Gauge("server_slowness", func() any { return n.gate.speedView(time.Now()).Slowness })
	n.Counters.Gauge("server_acceptance", func() any { return n.gate.speedView(time.Now()).Acceptance })
	n.Counters.Gauge("config_version", func() any {
		if t := n.table.Load(); t != nil {
			return t.Version()
		}
		return 0
	})
}
