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
	// lastingPeriod is the time over which lasting run times are averaged. At 20 runs per second it covers 200 runs; if run
	// times are exponentially distributed, they give the mean within 7%.
	lastingPeriod = 10 * time.Second
	// baselinePeriod is the time over which the run times are averaged with which those at each concurrency are compared.
	baselinePeriod = time.Minute
	// recentPeriod is the time over which recent run times are averaged, so that a false or missing slowness is corrected
	// by the runs of one second.
	recentPeriod = 300 * time.Millisecond
	// minRecentRuns is the number of runs before the recent mean counts.
	minRecentRuns = 8
	// minRuns is the number of runs from which the lasting run time of a route is reported, and maxDeviation its largest
	// standard error, as a part of it: with more, servers that are alike would be taken for different.
	minRuns      = 20
	maxDeviation = 0.08
	// slownessPeriod smooths the reported slowness; it is short against a disturbance of half a second.
	slownessPeriod = 50 * time.Millisecond
	// usualRise and usualFall are the times over which the usual slowness of a server follows a higher and a lower figure. A
	// disturbance hardly raises it, and what a server reported while it was cold is soon forgotten.
	usualRise = 30 * time.Second
	usualFall = 2 * time.Second
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

// Mark is the state of a server at the start of a run.
type Mark struct {
	progress float64
	at       time.Time
	running  int
}

// Run is a successful run that has ended. OwnShare is the part of its time in which it did not wait for calls to other
// services, 1 if it is not known. Running is the number of runs on the server at its end, including itself.
type Run struct {
	Route    string
	Begin    Mark
	OwnShare float64
	Running  int
}

// Estimator estimates the speed of one server. Slots is the number of slots that the server announced and is set before use.
type Estimator struct {
	Slots int

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
	// byRuns is the knee that run times show, byLoads that of the reported slowness.
	byRuns, byLoads knee
}

// runTimes are the run times of one route in seconds at a slowness of 1.
type runTimes struct {
	// baseline is the mean over a long time, regardless of the slowness.
	baseline        float64
	ownShare        float64
	lasting, recent average
	// known says that there are enough runs for a comparison with other servers.
	known bool
	n     int
	at    time.Time
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
	period := usualRise
	if e.slowness < e.usual {
		period = usualFall
	}
	e.usual += (e.slowness - e.usual) * weight(min(dt, slownessExpiry), period)
	e.reportedAt = now
	e.byLoads.observe(now, l.Running, e.Slots, l.Slowness*e.rate(), kneeFall)
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

// Begin returns the mark of a run that starts; running is the number of runs on the server, including it.
func (e *Estimator) Begin(now time.Time, running int) Mark {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	return Mark{e.progress, now, running}
}

// End records a successful run.
func (e *Estimator) End(now time.Time, run Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	r := e.routes[run.Route]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			return
		}
		if e.routes == nil {
			e.routes = map[string]*runTimes{}
		}
		r = &runTimes{at: now}
		e.routes[run.Route] = r
	}
	r.ownShare = min(max(run.OwnShare, 0), 1)
	took := now.Sub(run.Begin.at).Seconds()
	r.observe(now, r.ownShare*(e.progress-run.Begin.progress)+(1-r.ownShare)*took*e.rate(), took)
	if r.n >= minRuns && e.slownessFactor(now) < disturbed {
		e.byRuns.observe(now, (run.Begin.running+run.Running)/2, e.Slots, took/r.baseline, kneePeriod)
	}
}

// rate is the progress per second at the usual slowness.
func (e *Estimator) rate() float64 {
	if e.usual == 0 {
		return 1
	}
	return 1 / e.usual
}

func (r *runTimes) observe(now time.Time, seconds, took float64) {
	dt := now.Sub(r.at)
	r.at = now
	r.n++
	r.baseline += (took - r.baseline) * max(1/float64(r.n), weight(dt, baselinePeriod))
	r.lasting.observe(dt, lastingPeriod, seconds)
	r.recent.observe(dt, recentPeriod, seconds)
	switch {
	case r.lasting.runs < minRuns:
		r.known = false
	case r.lasting.deviation() <= maxDeviation*r.lasting.value:
		// A change of the run time raises the deviation for a while, but that is when it must be known.
		r.known = true
	}
}

// value returns the lasting mean, but not less than the recent one by more than two standard errors: a server is at most as
// fast as the runs of the last second show.
func (r *runTimes) value() float64 {
	if r.recent.runs < minRecentRuns {
		return r.lasting.value
	}
	return max(r.lasting.value, r.recent.value-2*r.recent.deviation())
}

// average is a mean that forgets with time, whatever the rate.
type average struct {
	value, square float64
	// runs is the effective number of runs in the mean.
	runs float64
}

func (a *average) observe(dt, period time.Duration, v float64) {
	a.runs = a.runs*(1-weight(dt, period)) + 1
	a.value += (v - a.value) / a.runs
	a.square += (v*v - a.square) / a.runs
}

// deviation returns the standard error of the mean.
func (a *average) deviation() float64 {
	return math.Sqrt(max(a.square-a.value*a.value, 0) / max(a.runs, 1))
}

// slownessFactor returns the factor by which work takes longer at present than usual on this server; 1 if nothing is
// reported.
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
	if r := e.routes[route]; r != nil && r.known {
		out.RunTime = time.Duration(r.value() / e.rate() * float64(time.Second))
		out.Slowness = r.ownShare*out.Slowness + 1 - r.ownShare
	}
	return out
}

// Expected returns the time that a run of a route takes if it starts now. It is not known if the server reports no slowness, since
// the recent run times then tell as much.
func (e *Estimator) Expected(now time.Time, route string) (time.Duration, bool) {
	r := e.Report(now, route)
	return time.Duration(float64(r.RunTime) * r.Slowness), r.RunTime > 0 && e.reports()
}

func (e *Estimator) reports() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usual > 0
}

// Knee returns the concurrency from which more runs only add time, at least a quarter of the slots; all slots if none is known.
func (e *Estimator) Knee(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := e.Slots
	for _, k := range []*knee{&e.byRuns, &e.byLoads} {
		if n, ok := k.limit(now, e.Slots); ok {
			limit = min(limit, n)
		}
	}
	return limit
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

// View is the state of an Estimator, for dumps. Reported is the last smoothed slowness as the server reports it and Usual its
// long-term mean, both zero if none is reported. RunTimes holds the lasting run times by route, in seconds.
type View struct {
	Slowness, Acceptance float64
	Reported, Usual      float64
	Knee                 int
	RunTimes             map[string]float64
}

// View returns the state of the estimator.
func (e *Estimator) View(now time.Time) View {
	knee := e.Knee(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := View{e.slownessFactor(now), e.refusals.acceptance(now), e.slowness, e.usual, knee, map[string]float64{}}
	for name, r := range e.routes {
		out.RunTimes[name] = r.value() / e.rate()
	}
	return out
}
