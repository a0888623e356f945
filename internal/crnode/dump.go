package crnode

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crintake"
)

// serverDump is one server of a service in the state dump.
type serverDump struct {
	Node        string  `json:"node"`
	Incarnation string  `json:"incarnation"`
	Domain      string  `json:"domain"`
	InFlight    int     `json:"in_flight"`
	Ejected     bool    `json:"ejected"`
	LatencyUS   int64   `json:"latency_us"`
	ErrorRate   float64 `json:"error_rate"`
	Level       uint64  `json:"level"`
}

// serviceDump is one service that the node calls in the state dump.
type serviceDump struct {
	Service string       `json:"service"`
	Level   uint64       `json:"level"`
	Servers []serverDump `json:"servers"`
}

// Dump returns the state of the node. It contains no secret.
func (p *components) Dump(now time.Time) any {
	n := p.node
	spread := n.spread.Status()
	load := n.gate.load()
	ann, serving := n.lease.current(now)
	keeper, pending := p.keeper.Stats()
	ordinary, protected := n.places.InUse()
	return struct {
		Role        string `json:"role"`
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
		Service     string `json:"service"`
		Config      any    `json:"config"`
		Backend     any    `json:"backend_server"`
		Gate        any    `json:"gate"`
		Entrance    any    `json:"entrance"`
		Keeper      any    `json:"keeper"`
		Quarantine  any    `json:"quarantine"`
		Control     string `json:"control_instance"`
		Sessions    int    `json:"inner_sessions"`
		Stopping    bool   `json:"stopping"`
		Services    any    `json:"services"`
	}{
		Role: "node", Name: n.Settings.Name, Incarnation: n.Incarnation, Service: n.Settings.Service,
		Config: struct {
			Version     string   `json:"version"`
			Digest      string   `json:"digest"`
			Entries     int      `json:"entries"`
			Confirmed   bool     `json:"confirmed"`
			ConfirmedMS int64    `json:"confirmed_age_ms"`
			Parent      string   `json:"parent"`
			Path        []string `json:"path"`
			Children    []string `json:"children"`
			Services    []string `json:"services"`
			Refused     uint64   `json:"refused_older"`
			Minimum     string   `json:"subtree_minimum_version"`
			Nodes       int      `json:"subtree_nodes"`
		}{
			n.view.Version().String(), spread.Digest.String(), spread.Entries, spread.Confirmed, spread.ConfirmedAge.Milliseconds(), spread.Parent,
			spread.Path, spread.Children, spread.Services, spread.Counters.Older, spread.Progress.Minimum.String(), spread.Progress.Nodes,
		},
		Backend: struct {
			Announcement
			TakesWork bool `json:"takes_work"`
		}{ann, serving},
		Gate: struct {
			InFlight      int     `json:"in_flight"`
			Limit         int     `json:"limit"`
			Queued        int     `json:"queued"`
			Level         uint64  `json:"level"`
			Pressure      float64 `json:"pressure"`
			ServiceTimeUS int64   `json:"service_time_us"`
			Running       int     `json:"running"`
		}{load.InFlight, load.Limit, load.Queued, uint64(load.Level), load.Pressure, load.ServiceTime.Microseconds(), n.executions.len()},
		Entrance: struct {
			Requests  int `json:"requests"`
			Ordinary  int `json:"ordinary_places"`
			Protected int `json:"protected_places"`
			IDs       int `json:"counted_ids"`
		}{n.requests.inFlight(), ordinary, protected, n.arrivals.Len()},
		Keeper: struct {
			Groups  int   `json:"groups"`
			Active  int   `json:"active_groups"`
			Records int   `json:"records"`
			Bytes   int64 `json:"bytes"`
			Pending int   `json:"pending_hand_overs"`
		}{keeper.Groups, keeper.Active, keeper.Records, keeper.Bytes, pending},
		Quarantine: n.dumpQuarantine(now),
		Control:    n.directory.Control(), Sessions: n.endpoint.SessionCount(), Stopping: n.requests.isStopping(), Services: n.dumpServices(now),
	}
}

func (n *Node) dumpQuarantine(now time.Time) any {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	r := n.quarantine.Report(now)
	type entry struct {
		Fingerprint string `json:"fingerprint"`
		State       uint8  `json:"state"`
		AgeMS       int64  `json:"age_ms"`
	}
	entries := make([]entry, 0, len(r.Entries))
	for _, e := range r.Entries {
		entries = append(entries, entry{e.Fingerprint.String(), uint8(e.State), e.Age.Milliseconds()})
	}
	return struct {
		Exclusive bool    `json:"exclusive_run"`
		Entries   []entry `json:"entries"`
	}{r.Exclusive, entries}
}

func (n *Node) dumpServices(now time.Time) []serviceDump {
	n.servicesMu.Lock()
	services := make([]*service, 0, len(n.services))
	for _, s := range n.services {
		services = append(services, s)
	}
	n.servicesMu.Unlock()
	slices.SortFunc(services, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	out := make([]serviceDump, 0, len(services))
	for _, s := range services {
		d := serviceDump{Service: s.name, Level: uint64(n.levels.Level(now, s.name, "")), Servers: []serverDump{}}
		for _, v := range s.router.View(now) {
			_, incarnation, _ := s.address(v.ID)
			d.Servers = append(d.Servers, serverDump{
				v.ID, incarnation, v.Domain, v.InFlight, v.Ejected, v.Latency.Microseconds(), v.ErrorRate, uint64(v.Level),
			})
		}
		out = append(out, d)
	}
	return out
}

// gauges registers the values that are computed when the counters are read.
func (n *Node) gauges() {
	n.Counters.Declare(counterNames...)
	n.Counters.Declare(crintake.CounterNames()...)
	n.Counters.Gauge("intake_bytes", func() any { return n.intake.Used() })
	n.Counters.Gauge("inner_bytes", func() any { return n.endpoint.HeldBytes() })
	n.Counters.Gauge("kinds", func() any { return n.goodput.snapshot() })
	n.Counters.Gauge("requests_in_node", func() any { return n.requests.inFlight() })
	n.Counters.Gauge("gate_limit", func() any { return n.gate.load().Limit })
	n.Counters.Gauge("gate_queued", func() any { return n.gate.load().Queued })
}
