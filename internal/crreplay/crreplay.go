// Package crreplay replays a load in virtual time against the decision code of many nodes at once: a small model of the
// servers (slots, speeds, queues at gates, calls to deeper services) and of the clients (rates that change, hints that are
// kept or ignored). It is a tool for experiments and for tests that guard a load pattern; the same file, seed and control
// always give the same table.
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
)

// Load is a load file.
type Load struct {
	// Nodes is the number of entrances; requests arrive evenly at them.
	Nodes int `toml:"nodes"`
	// Length is the time that is replayed, Hop the time of a message between two nodes.
	Length duration `toml:"length"`
	Hop    duration `toml:"hop"`
	// Control is "shed" for the decision code, "none" for gates without entrance control.
	Control  string    `toml:"control"`
	Services []Service `toml:"services"`
	Kinds    []Kind    `toml:"kinds"`
	Phases   []Phase   `toml:"phases"`
}

// Service is a service with its servers.
type Service struct {
	Name  string `toml:"name"`
	Slots int    `toml:"slots"`
	// Speeds has an entry for each server.
	Speeds []float64 `toml:"speeds"`
}

// Kind is a kind of request, of clients when Rate is above 0.
type Kind struct {
	Name     string   `toml:"name"`
	Service  string   `toml:"service"`
	Rate     float64  `toml:"rate"`
	Work     duration `toml:"work"`
	Spread   float64  `toml:"spread"`
	Priority int      `toml:"priority"`
	Worth    float64  `toml:"worth"`
	Late     float64  `toml:"late_worth"`
	Target   duration `toml:"target"`
	Timeout  duration `toml:"timeout"`
	Patience duration `toml:"patience"`
	// Repeat tells that clients send a request that failed once more, not only one that was refused.
	Repeat bool   `toml:"repeat"`
	Calls  []Call `toml:"calls"`
}

// Call is what a run of a kind calls.
type Call struct {
	Kind     string `toml:"kind"`
	Times    int    `toml:"times"`
	Together bool   `toml:"together"`
}

// Phase changes the load for a while.
type Phase struct {
	At  duration `toml:"at"`
	For duration `toml:"for"`
	// Rate multiplies the rates of clients.
	Rate float64 `toml:"rate"`
	// Abuse is the share of clients that come back at once, up to three times, whatever they are told.
	Abuse float64 `toml:"abuse"`
	// Unlearned is set while no entrance knows what requests cost, so that all of them are let in.
	Unlearned bool `toml:"unlearned"`
	// Slow multiplies the work of Service; Refuse is the share of runs that its servers refuse at once.
	Service string  `toml:"service"`
	Slow    float64 `toml:"slow"`
	Refuse  float64 `toml:"refuse"`
	// Leave is how many of the servers of Service take no new work; the callers' directory tells so after Notice.
	Leave  int      `toml:"leave"`
	Notice duration `toml:"notice"`
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

// needsService says whether the phase changes the servers of one service.
func (p *Phase) needsService() bool { return p.Slow > 0 || p.Refuse > 0 || p.Leave > 0 }

// The controls.
const (
	ControlShed = "shed"
	ControlNone = "none"
)

// Row is what became of the requests of one kind.
type Row struct {
	Kind                                 string
	Asked, InTime, Late, Refused, Failed int
	Worth, Owed                          float64
}

// Second is what became of the requests that were first sent in one second.
type Second struct {
	Asked, Served, Refused, Failed int
	Worth, Owed                    float64
	// Pressure and Queued are those of the gate that is pressed most, at the end of the second.
	Pressure float64
	Queued   int
}

// Table is the result of a replay.
type Table struct {
	Rows []Row
	// Seconds has an entry for each second of the load.
	Seconds []Second
	// Occupied is the mean part of the slots of each service that was busy.
	Occupied map[string]float64
	// Possible is the part of the owed worth that the slots allowed.
	Possible float64
}

// Worth returns the part of the owed worth that was earned.
func (t *Table) Worth() float64 {
	worth, owed := 0.0, 0.0
	for _, r := range t.Rows {
		worth += r.Worth
		owed += r.Owed
	}
	return worth / owed
}

// Row returns the row of a kind.
func (t *Table) Row(kind string) Row {
	for _, r := range t.Rows {
		if r.Kind == kind {
			return r
		}
	}
	return Row{}
}

// String returns the table as text.
func (t *Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %7s %7s %6s %7s %6s %6s\n", "kind", "asked", "in time", "late", "refused", "failed", "worth")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "%-16s %7d %7d %6d %7d %6d %6.3f\n", r.Kind, r.Asked, r.InTime, r.Late, r.Refused, r.Failed, r.Worth/math.Max(r.Owed, 1e-9))
	}
	fmt.Fprintf(&b, "worth %.3f of what was owed; the slots allowed %.3f\n", t.Worth(), t.Possible)
	for _, s := range slices.Sorted(maps.Keys(t.Occupied)) {
		fmt.Fprintf(&b, "occupied %-12s %.2f\n", s, t.Occupied[s])
	}
	fmt.Fprintf(&b, "%-6s %7s %7s %7s %6s %6s %8s %6s\n", "second", "asked", "served", "refused", "failed", "worth", "pressure", "queued")
	for i, s := range t.Seconds {
		fmt.Fprintf(&b, "%-6d %7d %7d %7d %6d %6.3f %8.2f %6d\n", i, s.Asked, s.Served, s.Refused, s.Failed, s.Worth/math.Max(s.Owed, 1e-9), s.Pressure, s.Queued)
	}
	return b.String()
}

// Run replays the load with random numbers from seed.
func (l *Load) Run(seed uint64) *Table {
	m := newModel(l, rand.New(rand.NewPCG(seed, 1)))
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.table()
}
