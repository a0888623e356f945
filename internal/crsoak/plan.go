package crsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Those of processes are signals; those of links act in a proxy before the target.
const (
	KillNode    Kind = "kill_node"
	StopNode    Kind = "stop_node"
	FreezeNode  Kind = "freeze_node"
	ReloadNode  Kind = "reload_node"
	KillCore    Kind = "kill_core"
	StopCore    Kind = "stop_core"
	FreezeCore  Kind = "freeze_core"
	WipeCore    Kind = "wipe_core"
	CrashServer Kind = "crash_server"
	DrainServer Kind = "drain_server"
	BreakEntry  Kind = "break_entrance"
	BreakServer Kind = "break_server"
	BreakSeed   Kind = "break_seed"
)

// Action is a fault at a time after the start.
type Action struct {
	At   time.Duration
	Kind Kind
	// Target numbers the machine, Link says what a broken link does.
	Target int
	Link   Mode
	For    time.Duration
}

func (a Action) String() string {
	return fmt.Sprintf("%6.2f s  %s %d %s for %s", a.At.Seconds(), a.Kind, a.Target, a.Link, a.For.Round(time.Millisecond))
}

// fault describes how a kind is drawn.
type fault struct {
	kind Kind
	// core tells that the target is a coordinator, link that a link breaks, planned that clients must lose nothing by it.
	core, link, planned bool
	weight              int
	min, max            time.Duration
	// settles is how long after its end the target has no other fault: a process starts, a log catches up.
	settles time.Duration
}

// faults are the kinds with their weights; signals, restarts and cuts come in series and overlap on different targets.
var faults = []fault{
	{kind: KillNode, weight: 3, min: 200 * time.Millisecond, max: 2 * time.Second, settles: 2 * time.Second},
	{kind: StopNode, planned: true, weight: 4, min: 100 * time.Millisecond, max: time.Second, settles: graceTime + 2*time.Second},
	{kind: FreezeNode, weight: 3, min: 100 * time.Millisecond, max: 4 * time.Second, settles: time.Second},
	{kind: ReloadNode, planned: true, weight: 2, settles: 500 * time.Millisecond},
	{kind: KillCore, core: true, weight: 2, min: 200 * time.Millisecond, max: 3 * time.Second, settles: 4 * time.Second},
	{kind: StopCore, core: true, weight: 2, min: 200 * time.Millisecond, max: time.Second, settles: graceTime + 4*time.Second},
	{kind: FreezeCore, core: true, weight: 2, min: 200 * time.Millisecond, max: 4 * time.Second, settles: 4 * time.Second},
	{kind: WipeCore, core: true, weight: 1, min: 500 * time.Millisecond, max: 3 * time.Second, settles: 8 * time.Second},
	{kind: CrashServer, weight: 3, min: 200 * time.Millisecond, max: 3 * time.Second, settles: 2 * time.Second},
	{kind: DrainServer, planned: true, weight: 2, min: drainTime + time.Second, max: drainTime + 2*time.Second, settles: 4 * time.Second},
	{kind: BreakEntry, link: true, weight: 3, min: 200 * time.Millisecond, max: 3 * time.Second, settles: time.Second},
	{kind: BreakServer, link: true, weight: 3, min: 200 * time.Millisecond, max: 3 * time.Second, settles: time.Second},
	{kind: BreakSeed, core: true, link: true, weight: 1, min: 500 * time.Millisecond, max: 4 * time.Second, settles: 2 * time.Second},
}

func faultOf(k Kind) fault {
	i := slices.IndexFunc(faults, func(f fault) bool { return f.kind == k })
	return faults[i]
}

// meanGap is the mean time between two faults: with six nodes and three coordinators several overlap.
const meanGap = 600 * time.Millisecond

// Plan draws the faults of a seed, in the order of their times. One coordinator at most is hurt at a time, since the
// loss of two of three may stop changes, and two machines of a service at most.
func Plan(seed uint64, d time.Duration) []Action {
	rng := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var out []Action
	var coreFree time.Duration
	var free [sidecars]time.Duration
	for at := time.Duration(rng.ExpFloat64() * float64(meanGap)); at < d; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		draw := rng.IntN(total)
		i := slices.IndexFunc(faults, func(f fault) bool { draw -= f.weight; return draw < 0 })
		f := faults[i]
		a := Action{At: at, Kind: f.kind, For: f.min + time.Duration(rng.Float64()*float64(f.max-f.min))}
		if f.link {
			a.Link = modes[rng.IntN(len(modes))]
		}
		end := at + a.For + f.settles
		if f.core {
			a.Target = rng.IntN(coordinators)
			if at < coreFree {
				continue
			}
			coreFree = end
			out = append(out, a)
			continue
		}
		a.Target = rng.IntN(sidecars)
		first := a.Target / servers * servers
		hurt := 0
		for _, until := range free[first : first+servers] {
			if at < until {
				hurt++
			}
		}
		if at < free[a.Target] || hurt >= servers-1 {
			continue
		}
		free[a.Target] = end
		out = append(out, a)
	}
	return out
}
