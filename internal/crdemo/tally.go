package crdemo

import (
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// goodputWindow is the length of the intervals for which the goodput is computed to determine the recovery time.
const goodputWindow = 250 * time.Millisecond

// Row counts the requests of one kind in one phase by their results.
type Row struct {
	Offered  int
	Answered int
	Refused  int
	Unknown  int
	// Sends counts all sends of callers, including resends.
	Sends int
}

// Add adds the counts of another row.
func (r *Row) Add(o Row) {
	r.Offered += o.Offered
	r.Answered += o.Answered
	r.Refused += o.Refused
	r.Unknown += o.Unknown
	r.Sends += o.Sends
}

// request is a caller's request with the results of all its sends.
type request struct {
	id    string
	kind  KindSpec
	phase Phase
	start time.Time
	end   time.Time
	sends int
	// codes are the result codes of the sends, in order.
	codes []crcode.Code
	// outcome is the outcome of the whole request: Run if one answer was complete, NotRun if every send was refused.
	outcome crcode.Outcome
	// wrong is set if an answer was incomplete or belonged to another request.
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
		row.Answered = 1
	case crcode.NotRun:
		row.Refused = 1
	case crcode.Unknown:
		row.Unknown = 1
	}
	return row
}

// Goodput returns the worth per second of the requests that got their complete answer between from and to.
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

// recoveryShare is the fraction of the earlier goodput from which the system counts as recovered.
const recoveryShare = 0.95

// Recovery returns the time after end from which the goodput of the offered requests stays at or above 95% of base, its
// value before the fault; ok is false if that did not happen before last.
func (t *Tally) Recovery(end, last time.Time, base float64) (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := int(last.Sub(end) / goodputWindow)
	offered, whole := make([]float64, n), make([]float64, n)
	for _, r := range t.finished {
		i := int(r.start.Sub(end) / goodputWindow)
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

// recoveredAt returns the end of the last window whose fraction of completely answered worth is below 95% of base, the
// fraction before the fault.
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
	return time.Duration(last+1) * goodputWindow, true
}

// AnsweredFraction returns the fraction of the worth offered in a phase that was answered completely within its deadline.
func (t *Tally) AnsweredFraction(p Phase) float64 {
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

// Violations counts the violated guarantees of a run; with overload control, all counts must be 0.
type Violations struct {
	// Doubles counts requests that must not be repeated and were executed more than once.
	Doubles int
	// Wrong counts requests with an answer that was incomplete or belonged to another request.
	Wrong int
	// FalseRefusals counts requests whose sends were all answered as not executed although one was executed.
	FalseRefusals int
	// OverBound counts requests with more executions than (1 + retries) times the size of their call graph.
	OverBound int
}

// Sum returns the number of all violations.
func (b Violations) Sum() int { return b.Doubles + b.Wrong + b.FalseRefusals + b.OverBound }

// Check compares the answers to callers with the executions at the simulated servers.
func (t *Tally) Check(s Scenario, l *RunCounter) Violations {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b Violations
	for _, k := range s.Kinds {
		if !k.Repeatable {
			b.Doubles += l.DoubleRuns(k.Service, k.Name)
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
		if l.RunsOfRoot(r.id) > s.runsPerRequest(r.kind)+(r.kind.Retries*s.runsPerRequest(r.kind)) {
			b.OverBound++
		}
	}
	return b
}

// WastedFraction returns the fraction of all executions of a phase that belong to requests without a complete answer.
func (t *Tally) WastedFraction(l *RunCounter, p Phase) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, lost := 0, 0
	for _, r := range t.finished {
		if r.phase != p {
			continue
		}
		n := l.RunsOfRoot(r.id)
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

// Latency returns the given quantile of the time from the first send to the complete answer in a phase, for answers before
// last; 0 if there are none.
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
