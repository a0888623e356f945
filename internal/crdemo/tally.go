package crdemo

import (
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// window is the resolution of the goodput curve from which the recovery time is read.
const window = 250 * time.Millisecond

// Row is what became of the requests of one kind in one phase.
type Row struct {
	Offered int
	Whole   int
	Refused int
	Unknown int
	// Sends counts every send of a caller, resends included.
	Sends int
}

// Add adds another row.
func (r *Row) Add(o Row) {
	r.Offered += o.Offered
	r.Whole += o.Whole
	r.Refused += o.Refused
	r.Unknown += o.Unknown
	r.Sends += o.Sends
}

// request is one caller's request with all its sends.
type request struct {
	id    string
	kind  KindSpec
	phase Phase
	start time.Time
	end   time.Time
	sends int
	// codes are the results of the sends in order.
	codes []crcode.Code
	// outcome is that of the request as a whole: Run when one answer was whole, NotRun when every send was refused.
	outcome crcode.Outcome
	// wrong is set when an answer was partial or another request's.
	wrong bool
}

// Tally collects the finished requests of a run.
type Tally struct {
	mu       sync.Mutex
	finished []request
}

func (t *Tally) add(r request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = append(t.finished, r)
}

// Rows returns the rows of a phase by kind.
func (t *Tally) Rows(p Phase) map[string]Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := map[string]Row{}
	for _, r := range t.finished {
		if r.phase != p {
			continue
		}
		row := rows[r.kind.ID()]
		row.Add(rowOf(r))
		rows[r.kind.ID()] = row
	}
	return rows
}

func rowOf(r request) Row {
	row := Row{Offered: 1, Sends: r.sends}
	switch r.outcome {
	case crcode.Run:
		row.Whole = 1
	case crcode.NotRun:
		row.Refused = 1
	case crcode.Unknown:
		row.Unknown = 1
	}
	return row
}

// Goodput returns the worth a second of the whole answers that ended between from and to.
func (t *Tally) Goodput(from, to time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worth := 0
	for _, r := range t.finished {
		if r.outcome == crcode.Run && !r.end.Before(from) && r.end.Before(to) {
			worth += r.kind.Worth
		}
	}
	return float64(worth) / to.Sub(from).Seconds()
}

// recoveryShare is the part of the earlier goodput that counts as recovered.
const recoveryShare = 0.95

// Recovery returns how long after end the goodput of the requests that were offered stays at 95% of what it was before;
// ok is false when that did not happen before last.
func (t *Tally) Recovery(end, last time.Time, base float64) (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := int(last.Sub(end) / window)
	offered, whole := make([]float64, n), make([]float64, n)
	for _, r := range t.finished {
		i := int(r.start.Sub(end) / window)
		if r.start.Before(end) || i >= n {
			continue
		}
		offered[i] += float64(r.kind.Worth)
		if r.outcome == crcode.Run && r.end.Sub(r.start) <= r.kind.Deadline {
			whole[i] += float64(r.kind.Worth)
		}
	}
	return recoveredAt(offered, whole, base)
}

// recoveredAt finds the end of the last window whose share of whole worth is under 95% of the share before the fault.
func recoveredAt(offered, whole []float64, base float64) (time.Duration, bool) {
	last := -1
	for i := range offered {
		if offered[i] > 0 && whole[i] < recoveryShare*base*offered[i] {
			last = i
		}
	}
	if last == len(offered)-1 {
		return 0, false
	}
	return time.Duration(last+1) * window, true
}

// Share returns the part of the worth offered in a phase that was answered whole within its deadline.
func (t *Tally) Share(p Phase) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	offered, whole := 0, 0
	for _, r := range t.finished {
		if r.phase != p {
			continue
		}
		offered += r.kind.Worth
		if r.outcome == crcode.Run && r.end.Sub(r.start) <= r.kind.Deadline {
			whole += r.kind.Worth
		}
	}
	if offered == 0 {
		return 0
	}
	return float64(whole) / float64(offered)
}

// Breaches are the broken promises of a run; all counts must be 0 under control.
type Breaches struct {
	// Doubles are requests that may not be repeated and were started twice.
	Doubles int
	// Wrong are answers that were partial or another request's.
	Wrong int
	// FalseRefusals are requests whose sends were all answered "not run" although one was started.
	FalseRefusals int
	// OverBound are requests with more runs than 1 + retries times the length of their call graph.
	OverBound int
}

// Sum returns the number of breaches.
func (b Breaches) Sum() int { return b.Doubles + b.Wrong + b.FalseRefusals + b.OverBound }

// Check compares what callers were told with what the stand-in servers ran.
func (t *Tally) Check(s Scenario, l *Ledger) Breaches {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b Breaches
	for _, k := range s.Kinds {
		if !k.Repeatable {
			b.Doubles += l.Doubles(k.Service, k.Name)
		}
	}
	for _, r := range t.finished {
		runs := l.Runs(r.kind.Service, r.kind.Name, r.id)
		if r.wrong {
			b.Wrong++
		}
		if r.outcome == crcode.NotRun && runs > 0 {
			b.FalseRefusals++
		}
		if l.Steps(r.id) > s.steps(r.kind)+(r.kind.Retries*s.steps(r.kind)) {
			b.OverBound++
		}
	}
	return b
}

// Waste returns the part of all runs that were done for requests without a whole answer.
func (t *Tally) Waste(l *Ledger, p Phase) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, lost := 0, 0
	for _, r := range t.finished {
		if r.phase != p {
			continue
		}
		n := l.Steps(r.id)
		all += n
		if r.outcome != crcode.Run {
			lost += n
		}
	}
	if all == 0 {
		return 0
	}
	return float64(lost) / float64(all)
}

// Latency returns the given quantile of the time from first send to whole answer in a phase, for answers before last;
// 0 without answers.
func (t *Tally) Latency(p Phase, last time.Time, quantile float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []time.Duration
	for _, r := range t.finished {
		if r.phase == p && r.outcome == crcode.Run && r.end.Before(last) {
			all = append(all, r.end.Sub(r.start))
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(quantile*float64(len(all))), len(all)-1)]
}
