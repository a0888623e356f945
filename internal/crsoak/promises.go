package crsoak

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// promises checks the guarantees of the system: it records the observations of servers, clients and the operator, and
// reports contradictions.
type promises struct {
	mu    sync.Mutex
	start time.Time
	// runs counts the executions of each request id. notRun holds the ids for which a client got the answer that the request
	// was not and will not be executed.
	runs    map[string]int
	notRun  map[string]bool
	found   Result
	windows map[string]*window
	// crashArrivals holds the times at which the crashing request reached servers.
	crashArrivals []time.Time
	// machines holds for each sidecar whether an unplanned fault affects it, and until when effects of an ended fault are
	// tolerated.
	machines [sidecars]disturbance
}

// window counts the sends of clients to a service and the repeated executions there during one window of the retry budget;
// previousSends holds the sends of the previous window.
type window struct {
	since                time.Time
	sends, previousSends int
	repeats              int
	brokenReported       bool
}

type disturbance struct {
	active bool
	until  time.Time
}

// Bounds of the retry budget; they are the platform's for a system of a dozen machines.
const (
	budgetRatio  = 0.2
	budgetWindow = 10 * time.Second
	budgetSlack  = 49
)

// lateSlack is how late after its deadline an answer may arrive; other programs may load the machine as well.
const lateSlack = time.Second

// lossSlack is the platform's limit for the time after its last byte within which a request may lose its connection unread:
// a connection that still waits to be accepted when the listener closes never reaches the process.
const lossSlack = 200 * time.Millisecond

func newPromises(start time.Time) *promises {
	return &promises{start: start, runs: map[string]int{}, notRun: map[string]bool{}, windows: map[string]*window{}}
}

// setStart sets the start time of the schedule.
func (p *promises) setStart(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start = now
}

func (p *promises) report(promise, id, detail string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportLocked(time.Now(), promise, id, detail)
}

func (p *promises) reportLocked(now time.Time, promise, id, detail string) {
	p.found.Broken = append(p.found.Broken, Broken{now.Sub(p.start), promise, id, detail})
}

// recordRun records that a server begins to execute a request, and returns the number of executions so far. once is set if
// the request must not be executed twice; repeat is set for a downstream call of an execution that was itself a repeat.
func (p *promises) recordRun(now time.Time, service, id string, once, repeat bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
	w := p.window(now, service)
	if repeat || p.runs[id] > 1 {
		w.repeats++
	}
	if once && p.runs[id] > 1 {
		p.reportLocked(now, "runs twice", id, fmt.Sprintf("%d runs", p.runs[id]))
	}
	if p.notRun[id] {
		p.reportLocked(now, "said not to have run", id, "it runs afterwards")
	}
	if allowed := budgetRatio*float64(max(w.sends, w.previousSends)) + budgetSlack; float64(w.repeats) > allowed && !w.brokenReported {
		w.brokenReported = true
		p.reportLocked(now, "retry budget", id, fmt.Sprintf("%d repeats at %s, %.0f allowed", w.repeats, service, allowed))
	}
	return p.runs[id]
}

func (p *promises) window(now time.Time, service string) *window {
	w := p.windows[service]
	if w == nil {
		w = &window{since: now}
		p.windows[service] = w
	}
	if now.Sub(w.since) >= budgetWindow {
		p.windows[service] = &window{since: now, previousSends: w.sends}
		w = p.windows[service]
	}
	return w
}

// recordSend records that a client is about to send a request on a route to the service.
func (p *promises) recordSend(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.found.Requests++
	p.window(now, service).sends++
}

// recordNotRun records an answer which says that the request was not and will not be executed.
func (p *promises) recordNotRun(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notRun[id] = true
	if p.runs[id] > 0 {
		p.reportLocked(now, "said not to have run", id, "it ran before")
	}
}

// recordOutcome records the outcome of a client's request.
func (p *promises) recordOutcome(now time.Time, id string, e outcome) {
	if e == outcomeRefused {
		p.recordNotRun(now, id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch e {
	case outcomeAnswered:
		p.found.Answered++
		if p.runs[id] == 0 {
			p.reportLocked(now, "whole answers", id, "answered, but no server ran it")
		}
	case outcomeRefused:
		p.found.Refused++
	default:
		p.found.Failed++
	}
}

// recordLost records a connection that ended without an answer at a sidecar which no unplanned fault affected.
func (p *promises) recordLost(now time.Time, id string, after time.Duration, detail string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after <= lossSlack && p.runs[id] == 0 {
		p.found.Unread++
		return
	}
	p.reportLocked(now, "nothing is lost", id, fmt.Sprintf("%s after %s, %d runs", detail, after, p.runs[id]))
}

// faultBegins marks a sidecar as affected by an unplanned fault until faultEnds is called.
func (p *promises) faultBegins(machine int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[machine].active = true
}

func (p *promises) faultEnds(now time.Time, machine int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[machine] = disturbance{until: now.Add(time.Second)}
}

// disturbed reports whether an unplanned fault affected the sidecar at any time since from.
func (p *promises) disturbed(machine int, from time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.machines[machine]
	return d.active || from.Before(d.until)
}

func (p *promises) result() Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.found
}

// printLines prints at most n of the lines of a text that contain the word, and returns how many it printed.
func printLines(w io.Writer, text, word string, n int) int {
	printed := 0
	for line := range strings.Lines(text) {
		if printed >= n {
			break
		}
		if strings.Contains(line, word) {
			_, _ = io.WriteString(w, "  "+line)
			printed++
		}
	}
	return printed
}
