package crsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Faults of processes are signals; faults of links take effect in a proxy in front of the target.
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

// Action is one scheduled fault; At counts from the start of the run, For is the duration.
type Action struct {
	At   time.Duration
	Kind Kind
	// Target is the index of the machine, Link the mode of the proxy for a fault of a link.
	Target int
	Link   Mode
	For    time.Duration
}

func (a Action) String() string {
	return fmt.Sprintf("%6.2f s  %s %d %s for %s", a.At.Seconds(), a.Kind, a.Target, a.Link, a.For.Round(time.Millisecond))
}

// fault holds the parameters of a kind of fault.
type fault struct {
	kind Kind
	// core is set if the target is a coordinator, link if the fault affects a link, planned if clients must not lose any
	// request through it.
	core, link, planned bool
	weight              int
	min, max            time.Duration
	// settleTime is the time after the end of the fault in which the target gets no other fault, so that a process can start
	// and a log can catch up.
	settleTime time.Duration
}

// faults holds all kinds with their weights. Faults follow each other on one target and overlap on different targets.
var faults = []fault{
	{kind: KillNode, weight: 3, min: 200 * time.Millisecond, max: 2 * time.Second, settleTime: 2 * time.Second},
	{kind: StopNode, planned: true, weight: 4, min: 100 * time.Millisecond, max: time.Second, settleTime: graceTime + 2*time.Second},
	{kind: FreezeNode, weight: 3, min: 100 * time.Millisecond, max: 4 * time.Second, settleTime: time.Second},
	{kind: ReloadNode, planned: true, weight: 2, settleTime: 500 * time.Millisecond},
	{kind: KillCore, core: true, weight: 2, min: 200 * time.Millisecond, max: 3 * time.Second, settleTime: 4 * time.Second},
	{kind: StopCore, core: true, weight: 2, min: 200 * time.Millisecond, max: time.Second, settleTime: graceTime + 4*time.Second},
	{kind: FreezeCore, core: true, weight: 2, min: 200 * time.Millisecond, max: 4 * time.Second, settleTime: 4 * time.Second},
	{kind: WipeCore, core: true, weight: 1, min: 500 * time.Millisecond, max: 3 * time.Second, settleTime: 8 * time.Second},
	{kind: CrashServer, weight: 3, min: 200 * time.Millisecond, max: 3 * time.Second, settleTime: 2 * time.Second},
	{kind: DrainServer, planned: true, weight: 2, min: drainTime + time.Second, max: drainTime + 2*time.Second, settleTime: 4 * time.Second},
	{kind: BreakEntry, link: true, weight: 3, min: 200 * time.Millisecond, max: 3 * time.Second, settleTime: time.Second},
	{kind: BreakServer, link: true, weight: 3, min: 200 * time.Millisecond, max: 3 * time.Second, settleTime: time.Second},
	{kind: BreakSeed, core: true, link: true, weight: 1, min: 500 * time.Millisecond, max: 4 * time.Second, settleTime: 2 * time.Second},
}

func faultOf(k Kind) fault {
	i := slices.IndexFunc(faults, func(f fault) bool { return f.kind == k })
	return faults[i]
}

// meanGap is the mean time between the starts of two faults; with six nodes and three coordinators, several overlap.
const meanGap = 600 * time.Millisecond

// Plan returns the faults drawn from the seed, in the order of their times. At any time at most one coordinator is affected,
// since the loss of two of three may stop configuration changes, and at most two machines of a service.
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
		end := at + a.For + f.settleTime
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
