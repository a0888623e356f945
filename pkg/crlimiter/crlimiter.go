// Package crlimiter adapts the concurrency limit of one backend server to what its gate measures. It has no clock and
// no goroutine and is safe for concurrent use.
//
// The limiter compares neighbouring windows that ran at different concurrency. Runs that take longer at the higher one
// waited for each other inside the server (Little's law), and the limit leaves them out. Work that became slower for
// other reasons changes both windows alike, so it does not lower the limit. Runs are compared with the usual time of
// their kind, so that a change of the mix is not taken for a change of the server, and time spent in calls to other
// services does not count.
package crlimiter

import (
	"sync"
	"time"
)

// Result tells how a run ended.
type Result uint8

// The results of a run.
const (
	// Success is a complete answer; only successes are measured.
	Success Result = iota
	// Failure is an error answer; fast errors must not look like a fast server.
	Failure
	// Refused means that the backend server itself reported overload.
	Refused
	// Timeout means that no answer came in time.
	Timeout
	// Cancelled means that the caller gave up.
	Cancelled
)

// Sample is the measurement of one run.
type Sample struct {
	// Kind names what was run; runs of one kind are expected to take similar time.
	Kind    string
	Latency time.Duration
	// Elsewhere is the part of Latency in which the run waited for calls to other services.
	Elsewhere time.Duration
	// Queued is the time in the gate's own queue and is not part of Latency.
	Queued time.Duration
	Result Result
}

// Limiter is the adaptive limit. Fields are set before use: Slots are the announced slots and the first limit; Min and
// Max bound it (zero: a quarter of Slots and 4 times Slots).
type Limiter struct {
	Slots int
	Min   int
	Max   int

	mu       sync.Mutex
	limit    int
	inFlight int
	window   window
	service  time.Duration // moving average of successful latencies
	queued   time.Duration // moving average of the time in the gate's queue
	state    search
	refusals time.Time // last cut because of a refusal
	good     int       // limit before a hang, restored by the first success
	kinds    map[string]*usualTime
}

// usualTime is the long-term mean of the own time of one kind.
type usualTime struct {
	seconds float64
	n       int
	at      time.Time
	// latency is a short-term mean of the whole latency, calls to other services included.
	latency time.Duration
}

// maxKinds bounds the kinds whose usual time is kept; the others share one entry.
const maxKinds = 64

// usualPeriod is the time in which the usual time of a kind follows a change; it is much longer than a window.
const usualPeriod = time.Minute

// usual returns the times of a kind.
func (l *Limiter) usual(now time.Time, kind string) *usualTime {
	if l.kinds == nil {
		l.kinds = make(map[string]*usualTime)
	}
	u, ok := l.kinds[kind]
	if !ok && len(l.kinds) >= maxKinds {
		kind = ""
		u, ok = l.kinds[kind]
	}
	if !ok {
		u = &usualTime{at: now}
		l.kinds[kind] = u
	}
	return u
}

// observe changes the usual time slowly, so that two neighbouring windows are measured against the same value.
func (u *usualTime) observe(now time.Time, own float64, latency time.Duration) {
	u.n++
	weight := max(1/float64(u.n), min(now.Sub(u.at).Seconds()/usualPeriod.Seconds(), 1))
	u.seconds += (own - u.seconds) * weight
	u.at = now
	u.latency += (latency - u.latency) / time.Duration(min(u.n, 16))
}

// window collects one measurement at one limit.
type window struct {
	begin    time.Time // zero until the first event
	settle   time.Time // samples before this started at the former limit
	last     time.Time
	area     float64 // in flight integrated over seconds since settle
	success  int
	timeouts int
	own      float64 // seconds that successes ran, calls to other services left out
	work     float64 // seconds that the same runs usually take
}

// Acquire takes a place and reports whether there was one.
func (l *Limiter) Acquire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if l.inFlight >= l.limit {
		return false
	}
	l.inFlight++
	return true
}

// Release gives a place back and measures the run.
func (l *Limiter) Release(now time.Time, s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.inFlight = max(l.inFlight-1, 0)
	l.queued += (s.Queued - l.queued) / 16
	w := &l.window
	switch s.Result {
	case Success:
		if l.good > 0 {
			l.set(now, max(l.good, l.limit))
			l.good, l.state = 0, search{}
		}
		l.observe(s.Latency)
		own := max(s.Latency-s.Elsewhere, 0).Seconds()
		u := l.usual(now, s.Kind)
		u.observe(now, own, s.Latency)
		if !now.Before(w.settle) {
			w.success++
			w.own += own
			w.work += u.seconds
		}
	case Refused:
		// One cut per window: all requests in flight may be refused for the same reason.
		if now.Sub(l.refusals) >= minWindow {
			l.refusals = now
			l.set(now, l.limit-max(l.limit/10, 1))
			l.state = search{}
		}
	case Timeout:
		w.timeouts++
	}
	l.evaluate(now)
}

// Limit returns the limit at present.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		return l.clamp(l.Slots)
	}
	return l.limit
}

// InFlight returns the places taken.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// ServiceTime returns the typical latency of a successful run; zero means that none was measured yet.
func (l *Limiter) ServiceTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service
}

// QueueDelay returns the typical time that a run waited in the gate's queue.
func (l *Limiter) QueueDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued
}

// View is the state of a Limiter, for dumps. Probing tells that the limit is at a trial value; Hung that only timeouts
// come.
type View struct {
	Slots       int
	Limit       int
	InFlight    int
	ServiceTime time.Duration
	QueueDelay  time.Duration
	Probing     bool
	Hung        bool
}

// View returns the state of the limiter.
func (l *Limiter) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit
	if limit == 0 {
		limit = l.clamp(l.Slots)
	}
	return View{l.Slots, limit, l.inFlight, l.service, l.queued, l.state.probing, l.good > 0}
}

// Expected returns the time that a request of a kind behind ahead queued ones is expected to need, its own run included.
func (l *Limiter) Expected(kind string, ahead int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := max(l.limit, 1)
	free := max(limit-l.inFlight, 0)
	rounds := float64(max(ahead+1-free, 0)) / float64(limit)
	return l.run(kind) + time.Duration(rounds*float64(l.service))
}

// RunTime returns the typical latency of a successful run of a kind, or of any run while the kind is unknown.
func (l *Limiter) RunTime(kind string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.run(kind)
}

func (l *Limiter) run(kind string) time.Duration {
	if u, ok := l.kinds[kind]; ok {
		return u.latency
	}
	return l.service
}

// Announce takes new announced slots; a changed number starts a new search there.
func (l *Limiter) Announce(now time.Time, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots == l.Slots || slots <= 0 {
		return
	}
	l.Slots = slots
	l.state, l.good = search{}, 0
	l.set(now, slots)
}

// observe follows a slower server within a few answers, and a faster one as quickly.
func (l *Limiter) observe(d time.Duration) {
	if l.service == 0 {
		l.service = d
		return
	}
	l.service += (d - l.service) / 16
}

func (l *Limiter) clamp(n int) int {
	lowest, highest := l.Min, l.Max
	if lowest == 0 {
		// A server that announces more than four times what it can do is not to be had at its best; a wrong
		// measurement must not take most of a good one away.
		lowest = max(l.Slots/4, 1)
	}
	if highest == 0 {
		highest = max(4*l.Slots, lowest)
	}
	return min(max(n, lowest), highest)
}

// set changes the limit and starts a window that ignores the runs begun at the former one.
func (l *Limiter) set(now time.Time, n int) {
	l.limit = l.clamp(n)
	l.restart(now, min(l.service+l.service/4, maxSettle))
}

func (l *Limiter) restart(now time.Time, settle time.Duration) {
	l.window = window{begin: now, settle: now.Add(settle), last: now}
}

// advance integrates the in-flight count up to now.
func (l *Limiter) advance(now time.Time) {
	if l.limit == 0 {
		l.limit = l.clamp(l.Slots)
	}
	w := &l.window
	if w.begin.IsZero() {
		l.restart(now, 0)
		return
	}
	from := w.last
	if from.Before(w.settle) {
		from = w.settle
	}
	if d := now.Sub(from); d > 0 {
		w.area += float64(l.inFlight) * d.Seconds()
	}
	if now.After(w.last) {
		w.last = now
	}
}
