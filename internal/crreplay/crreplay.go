// Package crreplay simulates a load in virtual time against the admission, shedding and routing code of many nodes. It models
// servers (slots, speeds, gate queues, calls to other services) and clients (request rates that change, retry hints that are
// followed or ignored). It is used for experiments and for regression tests of load patterns. A replay is deterministic: the
// same file, seed and control always give the same table.
package crreplay

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// Load is the content of a load file.
type Load struct {
	// Nodes is the number of entrances, the nodes that receive requests of clients. Clients choose among them at random.
	Nodes int `toml:"nodes"`
	// Length is the virtual time during which clients send requests, Hop the latency of a message between two nodes.
	Length duration `toml:"length"`
	Hop    duration `toml:"hop"`
	// Control is ControlShed for the real shedding code, or ControlNone for gates without load shedding at the entrances.
	Control string `toml:"control"`
	// RetryRatio is the allowed ratio of retries to calls; zero means crshed.DefaultRetryRatio.
	RetryRatio float64   `toml:"retry_ratio"`
	Services   []Service `toml:"services"`
	Kinds      []Kind    `toml:"kinds"`
	Phases     []Phase   `toml:"phases"`
}

// Service is a service and its servers.
type Service struct {
	Name  string `toml:"name"`
	Slots int    `toml:"slots"`
	// Speeds has the speed of each server; at speed 1, a run takes the work of its kind.
	Speeds []float64 `toml:"speeds"`
}

// Kind is a kind of request. Clients send requests of it if Rate is above 0; other kinds are only called by runs of kinds.
type Kind struct {
	Name      string   `toml:"name"`
	Service   string   `toml:"service"`
	Rate      float64  `toml:"rate"`
	Work      duration `toml:"work"`
	Spread    float64  `toml:"spread"`
	Priority  int      `toml:"priority"`
	Worth     float64  `toml:"worth"`
	LateWorth float64  `toml:"late_worth"`
	Target    duration `toml:"target"`
	Timeout   duration `toml:"timeout"`
	Patience  duration `toml:"patience"`
	// RetryFailed is true if clients also retry requests that failed, not only those that were refused.
	RetryFailed bool   `toml:"repeat"`
	Calls       []Call `toml:"calls"`
}

// Call describes the calls that a run of a kind makes: Times calls of Kind, at once if Concurrent is set, else in sequence.
type Call struct {
	Kind       string `toml:"kind"`
	Times      int    `toml:"times"`
	Concurrent bool   `toml:"together"`
}

// Phase changes the load from At on for the duration For.
type Phase struct {
	At  duration `toml:"at"`
	For duration `toml:"for"`
	// RateFactor multiplies the request rates of clients.
	RateFactor float64 `toml:"rate"`
	// AbuserShare is the share of clients that retry at once, up to three times, and ignore retry hints.
	AbuserShare float64 `toml:"abuse"`
	// CostsUnknown is true while no entrance has estimates of request costs, so that all requests are admitted.
	CostsUnknown bool `toml:"unlearned"`
	// WorkFactor multiplies the work of runs of Service; RefusedShare is the share of runs that its servers refuse at once.
	Service      string  `toml:"service"`
	WorkFactor   float64 `toml:"slow"`
	RefusedShare float64 `toml:"refuse"`
	// RefusingServers is the number of servers of Service that refuse; zero means all.
	RefusingServers int `toml:"refusing"`
	// LeavingServers is the number of servers of Service that take no new work. The directory of the callers is updated after
	// NoticeDelay.
	LeavingServers int      `toml:"leave"`
	NoticeDelay    duration `toml:"notice"`
}

type duration time.Duration

func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}

// Read reads and checks a load file.
func Read(path string) (*Load, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, crcode.New(crcode.SettingsUnreadable, "%v", err)
	}
	l := &Load{}
	meta, err := toml.Decode(string(raw), l)
	if err != nil {
		return nil, crcode.New(crcode.SettingsUnreadable, "%s: %v", path, err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return nil, crcode.New(crcode.SettingsUnknownKey, "%s: %s", path, keys[0])
	}
	if l.RetryRatio == 0 {
		l.RetryRatio = crshed.DefaultRetryRatio
	}
	return l, l.check(path)
}

func (l *Load) check(path string) error {
	bad := func(format string, args ...any) error {
		return crcode.New(crcode.SettingsBadValue, "%s: %s", path, fmt.Sprintf(format, args...))
	}
	services, kinds := map[string]bool{}, map[string]bool{}
	for _, s := range l.Services {
		if services[s.Name] = true; s.Slots < 1 || len(s.Speeds) == 0 || len(s.Speeds) > 20 {
			return bad("service %q needs slots above 0 and 1 to 20 speeds", s.Name)
		}
	}
	for _, k := range l.Kinds {
		kinds[k.Name] = true
	}
	for _, k := range l.Kinds {
		if !services[k.Service] || k.Work <= 0 || k.Timeout <= 0 {
			return bad("kind %q needs a known service, work and a timeout", k.Name)
		}
		if i := slices.IndexFunc(k.Calls, func(c Call) bool { return !kinds[c.Kind] || c.Times < 1 }); i >= 0 {
			return bad("kind %q calls the unknown kind %q or calls it no time", k.Name, k.Calls[i].Kind)
		}
	}
	for _, p := range l.Phases {
		if p.needsService() && !services[p.Service] {
			return bad("a phase needs a known service, not %q", p.Service)
		}
	}
	switch {
	case l.Nodes < 1 || l.Length <= 0 || len(l.Kinds) == 0:
		return bad("nodes, length and kinds are needed")
	case l.Control != ControlShed && l.Control != ControlNone:
		return bad("control must be %q or %q", ControlShed, ControlNone)
	}
	return nil
}

// needsService reports whether the phase changes the servers of a service.
func (p *Phase) needsService() bool {
	return p.WorkFactor > 0 || p.RefusedShare > 0 || p.LeavingServers > 0
}

// Values of Load.Control.
const (
	ControlShed = "shed"
	ControlNone = "none"
)

// Row is the result for the client requests of one kind. Worth is the worth that was earned, MaxWorth the worth if every
// request had been answered in time.
type Row struct {
	Kind                                    string
	Requests, InTime, Late, Refused, Failed int
	Worth, MaxWorth                         float64
}

// Second is the result for the client requests that were first sent in one second.
type Second struct {
	Requests, Served, Refused, Failed int
	Worth, MaxWorth                   float64
	// Pressure and Queued are the highest pressure and the longest queue of any gate at the end of the second.
	Pressure float64
	Queued   int
}

// Table is the result of a replay.
type Table struct {
	Rows []Row
	// Seconds has an entry for each second of the load.
	Seconds []Second
	// Utilization is the mean share of the slots of each service that was busy.
	Utilization map[string]float64
	// PossibleShare is an upper bound of the share of the maximum worth that any control could earn with the slots.
	PossibleShare float64
}

// Worth returns the earned share of the maximum worth.
func (t *Table) Worth() float64 {
	worth, owed := 0.0, 0.0
	for _, r := range t.Rows {
		worth += r.Worth
		owed += r.MaxWorth
	}
	return worth / owed
}

// Row returns the row of a kind, or a zero Row if clients send no requests of it.
func (t *Table) Row(kind string) Row {
	for _, r := range t.Rows {
		if r.Kind == kind {
			return r
		}
	}
	return Row{}
}

// String formats the table as text.
func (t *Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %7s %7s %6s %7s %6s %6s\n", "kind", "asked", "in time", "late", "refused", "failed", "worth")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "%-16s %7d %7d %6d %7d %6d %6.3f\n", r.Kind, r.Requests, r.InTime, r.Late, r.Refused, r.Failed, r.Worth/math.Max(r.MaxWorth, 1e-9))
	}
	fmt.Fprintf(&b, "worth %.3f of what was owed; the slots allowed %.3f\n", t.Worth(), t.PossibleShare)
	for _, s := range slices.Sorted(maps.Keys(t.Utilization)) {
		fmt.Fprintf(&b, "occupied %-12s %.2f\n", s, t.Utilization[s])
	}
	fmt.Fprintf(&b, "%-6s %7s %7s %7s %6s %6s %8s %6s\n", "second", "asked", "served", "refused", "failed", "worth", "pressure", "queued")
	for i, s := range t.Seconds {
		fmt.Fprintf(&b, "%-6d %7d %7d %7d %6d %6.3f %8.2f %6d\n", i, s.Requests, s.Served, s.Refused, s.Failed, s.Worth/math.Max(s.MaxWorth, 1e-9), s.Pressure, s.Queued)
	}
	return b.String()
}

// Run replays the load with random numbers from the given seed.
func (l *Load) Run(seed uint64) *Table {
	m := newModel(l, rand.New(rand.NewPCG(seed, 1)))
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.table()
}
