// Package crlimiter adapts the concurrency limit of one backend server to the measurements of its gate, the admission
// controller beside the server. It reads no clock, starts no goroutine and is safe for concurrent use.
//
// The limiter compares consecutive windows at different concurrency. If runs take longer at the higher concurrency, they
// wait for each other inside the server (Little's law), and the limit leaves out the waiting runs. Work that becomes
// slower for other reasons affects both windows alike and does not lower the limit. The duration of a run is
// compared with the baseline of its kind, so that a change of the request mix is not taken for a change of the server. Time
// spent in calls to other services does not count.
package crlimiter

import (
	"sync"
	"time"
)

// Result is the outcome of a run.
type Result uint8

// The outcomes of a run.
const (
	// Success is a complete answer; only the latency of successes is measured.
	Success Result = iota
	// Failure is an error answer; it is not measured, so that fast errors do not make the server appear fast.
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
	// Kind is the kind of the request; runs of one kind are expected to take a similar time.
	Kind    string
	Latency time.Duration
	// DownstreamTime is the part of Latency in which the run waited for calls to other services.
	DownstreamTime time.Duration
	// Queued is the time in the gate's queue; it is not part of Latency.
	Queued time.Duration
	Result Result
}

// Limiter is an adaptive concurrency limit. Its fields are set before use. Slots is the number of slots that the server
// announced and the initial limit. Min and Max are the bounds of the limit, by default a quarter of Slots and 4 times Slots.
type Limiter struct {
	Slots int
	Min   int
	Max   int

	mu              sync.Mutex
	limit           int
	inFlight        int
	window          window
	serviceTime     time.Duration // moving average of the latencies of successes
	queueDelay      time.Duration // moving average of the time in the gate's queue
	state           search
	lastRefusalCut  time.Time // time of the last reduction because of a refusal
	limitBeforeHang int       // limit before a hang, restored by the first success; zero without a hang
	kinds           map[string]*baseline
}

// baseline holds the long-term run time of one kind, with which its runs are compared.
type baseline struct {
	// seconds is the long-term mean of the run time without calls to other services.
	seconds float64
	n       int
	at      time.Time
	// latency is the short-term mean of the latency, including calls to other services.
	latency time.Duration
}

// maxKinds limits the kinds with a baseline of their own; the others share one.
const maxKinds = 64

// baselinePeriod is the time in which a baseline follows a change; it is much longer than a window.
const baselinePeriod = time.Minute

// baselineOf returns the baseline of a kind.
func (l *Limiter) baselineOf(now time.Time, kind string) *baseline {
	if l.kinds == nil {
		l.kinds = make(map[string]*baseline)
	}
	u, ok := l.kinds[kind]
	if !ok && len(l.kinds) >= maxKinds {
		kind = ""
		u, ok = l.kinds[kind]
	}
	if !ok {
		u = &baseline{at: now}
		l.kinds[kind] = u
	}
	return u
}

// observe updates the baseline, whose seconds change slowly, so that consecutive windows are compared with the same value.
func (u *baseline) observe(now time.Time, ownSeconds float64, latency time.Duration) {
	u.n++
	weight := max(1/float64(u.n), min(now.Sub(u.at).Seconds()/baselinePeriod.Seconds(), 1))
	u.seconds += (ownSeconds - u.seconds) * weight
	u.at = now
	u.latency += (latency - u.latency) / time.Duration(min(u.n, 16))
}

// window collects one measurement at one limit.
type window struct {
	begin           time.Time // zero until the first event
	settle          time.Time // samples before this time are from runs that began at the former limit
	last            time.Time
	inFlightSeconds float64 // integral of the runs in flight over the seconds since settle
	successes       int
	timeouts        int
	ownSeconds      float64 // total run time of the successes in seconds, without calls to other services
	work            float64 // sum of the baselines of the same runs in seconds
}

// Acquire takes a place and reports whether one was free.
func (l *Limiter) Acquire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.integrateInFlight(now)
	if l.inFlight >= l.limit {
		return false
	}
	l.inFlight++
	return true
}

// Release returns a place and records the measurement of its run.
func (l *Limiter) Release(now time.Time, s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.integrateInFlight(now)
	l.inFlight = max(l.inFlight-1, 0)
	l.queueDelay += (s.Queued - l.queueDelay) / 16
	w := &l.window
	switch s.Result {
	case Success:
		if l.limitBeforeHang > 0 {
			l.setLimit(now, max(l.limitBeforeHang, l.limit))
			l.limitBeforeHang, l.state = 0, search{}
		}
		l.observe(s.Latency)
		ownSeconds := max(s.Latency-s.DownstreamTime, 0).Seconds()
		u := l.baselineOf(now, s.Kind)
		u.observe(now, ownSeconds, s.Latency)
		if !now.Before(w.settle) {
			w.successes++
			w.ownSeconds += ownSeconds
			w.work += u.seconds
		}
	case Refused:
		// The limit is reduced once per window, since all requests in flight may be refused for the same reason.
		if now.Sub(l.lastRefusalCut) >= minWindow {
			l.lastRefusalCut = now
			l.setLimit(now, l.limit-max(l.limit/10, 1))
			l.state = search{}
		}
	case Timeout:
		w.timeouts++
	}
	l.evaluate(now)
}

// Limit returns the current limit.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		return l.clamp(l.Slots)
	}
	return l.limit
}

// InFlight returns the number of places in use.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// ServiceTime returns the average latency of a successful run; zero means that none has been measured.
func (l *Limiter) ServiceTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serviceTime
}

// QueueDelay returns the average time that a run waited in the gate's queue.
func (l *Limiter) QueueDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queueDelay
}

// View is the state of a Limiter, for dumps. Probing is set while the limit is at a trial value, Hung while all runs time
// out.
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
	return View{l.Slots, limit, l.inFlight, l.serviceTime, l.queueDelay, l.state.probing, l.limitBeforeHang > 0}
}

// Expected returns the expected latency of a request of a kind with the given number of queued requests ahead of it,
// including its own run.
func (l *Limiter) Expected(kind string, ahead int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := max(l.limit, 1)
	free := max(limit-l.inFlight, 0)
	rounds := float64(max(ahead+1-free, 0)) / float64(limit)
	return l.runTime(kind) + time.Duration(rounds*float64(l.serviceTime))
}

// RunTime returns the average latency of a successful run of a kind, or of any run if the kind is unknown.
func (l *Limiter) RunTime(kind string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runTime(kind)
}

func (l *Limiter) runTime(kind string) time.Duration {
	if u, ok := l.kinds[kind]; ok {
		return u.latency
	}
	return l.serviceTime
}

// Announce sets the number of slots that the server announced; if it changed, the search for the limit restarts from it.
func (l *Limiter) Announce(now time.Time, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots == l.Slots || slots <= 0 {
		return
	}
	l.Slots = slots
	l.state, l.limitBeforeHang = search{}, 0
	l.setLimit(now, slots)
}

// Bound fixes the limit at the given number; it reports whether that is a change.
func (l *Limiter) Bound(now time.Time, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit < 1 || limit == l.Min && limit == l.Max {
		return false
	}
	l.integrateInFlight(now)
	l.Min, l.Max = limit, limit
	l.state, l.limitBeforeHang = search{}, 0
	l.setLimit(now, limit)
	return true
}

// observe updates the average latency, which follows a slower or faster server within a few answers.
func (l *Limiter) observe(d time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = d
		return
	}
	l.serviceTime += (d - l.serviceTime) / 16
}

func (l *Limiter) clamp(n int) int {
	lowest, highest := l.Min, l.Max
	if lowest == 0 {
		// The bound protects a good server from losing most of its concurrency to a wrong measurement. A server
		// that announces more than four times its capacity therefore cannot get its best limit.
		lowest = max(l.Slots/4, 1)
	}
	if highest == 0 {
		highest = max(4*l.Slots, lowest)
	}
	return min(max(n, lowest), highest)
}

// setLimit changes the limit and starts a window that ignores the runs that began at the former limit.
func (l *Limiter) setLimit(now time.Time, n int) {
	l.limit = l.clamp(n)
	l.startWindow(now, min(l.serviceTime+l.serviceTime/4, maxSettle))
}

func (l *Limiter) startWindow(now time.Time, settle time.Duration) {
	l.window = window{begin: now, settle: now.Add(settle), last: now}
}

// integrateInFlight integrates the number of runs in flight up to now.
func (l *Limiter) integrateInFlight(now time.Time) {
	if l.limit == 0 {
		l.limit = l.clamp(l.Slots)
	}
	w := &l.window
	if w.begin.IsZero() {
		l.startWindow(now, 0)
		return
	}
	from := w.last
	if from.Before(w.settle) {
		from = w.settle
	}
	if d := now.Sub(from); d > 0 {
		w.inFlightSeconds += float64(l.inFlight) * d.Seconds()
	}
	if now.After(w.last) {
		w.last = now
	}
}
