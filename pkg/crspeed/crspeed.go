// Package crspeed estimates how fast a backend server works, from the load that it reports and from how long its runs take.
// The Estimator beside a server holds its run times by route and its present slowness; the Comparison at a calling node
// compares the servers of a service by route. Both read no clock, start no goroutine and are safe for concurrent use.
package crspeed

import (
	"math"
	"sync"
	"time"
)

const (
	// maxRoutes bounds the routes with figures of their own; runs of further ones are not measured.
	maxRoutes = 32
	// lastingPeriod is the time over which lasting run times are averaged. At 20 runs per second it covers 100 runs, which
	// give the mean within 10%.
	lastingPeriod = 5 * time.Second
	// recentPeriod is the time over which recent run times are averaged, so that a false or missing slowness is corrected
	// by the runs of one second.
	recentPeriod = 300 * time.Millisecond
	// minRecentRuns is the number of runs before the recent mean counts.
	minRecentRuns = 8
	// minRuns is the number of runs from which the lasting run time of a route is reported.
	minRuns = 20
	// slownessPeriod smooths the reported slowness; it is short against a disturbance of half a second.
	slownessPeriod = 50 * time.Millisecond
	// usualSlownessPeriod is the time over which the usual slowness of a server is averaged, long against a disturbance.
	usualSlownessPeriod = 30 * time.Second
	// slownessExpiry is how long a reported slowness counts without a new report.
	slownessExpiry = time.Second
)

// Report is what a gate reports about its server: the lasting run time of one route (zero if unknown), the factor by which
// work takes longer at present, and the share of the requests sent to the server that it did not refuse.
type Report struct {
	RunTime    time.Duration
	Slowness   float64
	Acceptance float64
}

// Mark is the progress of a server at the start of a run.
type Mark float64

// Estimator estimates the speed of one server. The zero value is ready for use.
type Estimator struct {
	mu sync.Mutex
	// progress is the integral of 1/slowness, in seconds, up to progressAt: the time that the work done so far would have
	// taken at the usual speed.
	progress   float64
	progressAt time.Time
	// slowness is the smoothed reported figure, usual its long-term mean; both are zero until one is reported.
	slowness, usual float64
	reportedAt      time.Time
	refusals        refusals
	routes          map[string]*runTimes
}

// runTimes are the run times of one route in seconds at a slowness of 1.
type runTimes struct {
	lasting              float64
	recent, recentSquare float64
	n                    int
	// recentRuns is the effective number of runs in the recent mean.
	recentRuns float64
	at         time.Time
}

// RecordLoad records a load report of the server.
func (e *Estimator) RecordLoad(now time.Time, l Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Slowness <= 0 {
		return
	}
	e.advance(now)
	if e.usual == 0 {
		e.slowness, e.usual = l.Slowness, l.Slowness
	}
	dt := now.Sub(e.reportedAt)
	e.slowness += (l.Slowness - e.slowness) * weight(dt, slownessPeriod)
	e.usual += (l.Slowness - e.usual) * weight(min(dt, slownessExpiry), usualSlownessPeriod)
	e.reportedAt = now
}

// advance integrates the progress up to now.
func (e *Estimator) advance(now time.Time) {
	if dt := now.Sub(e.progressAt); !e.progressAt.IsZero() && dt > 0 {
		e.progress += dt.Seconds() / e.absoluteSlowness(now)
	}
	if now.After(e.progressAt) {
		e.progressAt = now
	}
}

// absoluteSlowness returns the slowness as the server reports it, its usual one if the last report is too old, 1 if it
// reports none.
func (e *Estimator) absoluteSlowness(now time.Time) float64 {
	switch {
	case e.usual == 0:
		return 1
	case now.Sub(e.reportedAt) >= slownessExpiry:
		return e.usual
	}
	return e.slowness
}

// Begin returns the mark of a run that starts.
func (e *Estimator) Begin(now time.Time) Mark {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	return Mark(e.progress)
}

// End records a successful run of a route.
func (e *Estimator) End(now time.Time, route string, begin Mark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	r := e.routes[route]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			return
		}
		if e.routes == nil {
			e.routes = map[string]*runTimes{}
		}
		r = &runTimes{at: now}
		e.routes[route] = r
	}
	r.observe(now, e.progress-float64(begin))
}

func (r *runTimes) observe(now time.Time, seconds float64) {
	dt := now.Sub(r.at)
	r.at = now
	r.n++
	// The means of the first runs are plain; later ones forget with time, whatever the rate.
	r.lasting += (seconds - r.lasting) * max(1/float64(r.n), min(weight(dt, lastingPeriod), 1))
	kept := math.Exp(-dt.Seconds() / recentPeriod.Seconds())
	r.recentRuns = r.recentRuns*kept + 1
	r.recent += (seconds - r.recent) / r.recentRuns
	r.recentSquare += (seconds*seconds - r.recentSquare) / r.recentRuns
}

// value returns the lasting mean, held within two standard errors of the recent one: what the runs of the last second show
// goes before a mean that has not followed yet.
func (r *runTimes) value() float64 {
	if r.recentRuns < minRecentRuns {
		return r.lasting
	}
	deviation := math.Sqrt(max(r.recentSquare-r.recent*r.recent, 0) / r.recentRuns)
	return min(max(r.lasting, r.recent-2*deviation), r.recent+2*deviation)
}

// Slowness returns the factor by which work takes longer at present than usual on this server; 1 if nothing is reported.
func (e *Estimator) Slowness(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slownessFactor(now)
}

func (e *Estimator) slownessFactor(now time.Time) float64 {
	if e.usual == 0 {
		return 1
	}
	return e.absoluteSlowness(now) / e.usual
}

// Report returns what is reported with an answer of a route.
func (e *Estimator) Report(now time.Time, route string) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Report{Slowness: e.slownessFactor(now), Acceptance: e.refusals.acceptance(now)}
	if r := e.routes[route]; r != nil && r.n >= minRuns {
		usual := e.usual
		if usual == 0 {
			usual = 1
		}
		out.RunTime = time.Duration(r.value() * usual * float64(time.Second))
	}
	return out
}

// RecordSend records that the server accepted or refused a request.
func (e *Estimator) RecordSend(now time.Time, refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusals.record(now, refused)
}

// weight returns the weight of a value that covers dt in an exponential moving average.
func weight(dt, period time.Duration) float64 {
	return 1 - math.Exp(-max(dt, 0).Seconds()/period.Seconds())
}
