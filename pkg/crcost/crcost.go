// Package crcost estimates how much service time one run of a kind of request costs at each service, including its calls to
// deeper services. Calls do not identify the run that makes them, so a node attributes them by a regression of the number
// of outstanding calls on the number of runs of each kind on its server, which needs neither identifiers nor an order in
// time.
//
// It is built for a load pattern in which a cheap request makes many calls in a chain and the service at the end of the
// chain is overloaded: the requests to refuse must be selected by their cost at that service, before the first call.
package crcost

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Parameters of the estimate.
const (
	// maxKinds limits the kinds of runs and the kinds of calls of one server; further ones are not attributed.
	maxKinds = 16
	// decayTime is the time constant with which samples decay: long enough for a few hundred independent samples, short enough
	// to follow a changed program.
	decayTime = 20 * time.Second
	// ridge is the regularization added to the diagonal, in samples; a kind with hardly any samples is attributed no calls.
	ridge = 2.0
	// timeSmoothing is the weight of one measurement in the averages of run and call times.
	timeSmoothing = 0.05
	// failureSmoothing is the weight of one run in the share of failed runs, which must follow a change within a few runs.
	failureSmoothing = 0.2
	// minRuns is the minimum number of successful runs of a kind for a cost.
	minRuns = 3
	// minOutstandingPerRun is the number of outstanding calls per run above which a kind of run is assumed to make such
	// calls, and of unattributed requests per run above which no cost is reported.
	minOutstandingPerRun = 0.1
	// unattributedSmoothing is the weight of one sample in the averages of unattributed requests and of runs, which cover
	// some tenths of a second.
	unattributedSmoothing = 0.1
)

// Vector holds costs in seconds of service time by service.
type Vector map[string]float64

// Estimator estimates the costs of the kinds of runs on one server. It is safe for concurrent use.
type Estimator struct {
	// Service is the name of the server's service.
	Service string

	mu               sync.Mutex
	runKinds         []string
	callKinds        []string
	running          map[string]int
	outstandingCalls map[string]int
	// unattributed is the number of outstanding requests that may or may not be calls of the server; meanUnattributed and
	// meanRuns are moving averages of it and of the number of runs.
	unattributed               int
	meanUnattributed, meanRuns float64
	// failedShare is a moving average of the share of runs that failed.
	failedShare float64
	// completedRuns counts the successful runs by kind since the regression started, and solvedRuns those among them that
	// the current solution includes. runTimes holds the mean run times by kind, callTimes the mean durations of calls by
	// kind, and callCosts the costs of calls by kind, as answers report them.
	completedRuns, solvedRuns map[string]int
	runTimes, callTimes       map[string]float64
	callCosts                 map[string]Vector
	// gram and cross are the decayed sums of the regression of outstanding calls on runs.
	gram  [maxKinds][maxKinds]float64
	cross [maxKinds][maxKinds]float64
	// outstandingPerRun is the solution of the regression: the number of outstanding calls of a kind per run of a kind.
	outstandingPerRun [maxKinds][maxKinds]float64
	sampledAt         time.Time
	solvedAt          time.Time
}

func (l *Estimator) init() {
	if l.running == nil {
		l.running, l.outstandingCalls, l.completedRuns, l.solvedRuns = map[string]int{}, map[string]int{},
			map[string]int{}, map[string]int{}
		l.runTimes, l.callTimes, l.callCosts = map[string]float64{}, map[string]float64{}, map[string]Vector{}
	}
}

// RunStarted records the start of a run of a kind on the server.
func (l *Estimator) RunStarted(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.running[kind]++
	addName(&l.runKinds, kind)
}

// RunEnded records the end of a run. The duration of a failed run is ignored.
func (l *Estimator) RunEnded(kind string, took time.Duration, succeeded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.running[kind] = max(l.running[kind]-1, 0)
	if !succeeded {
		l.failedShare += (1 - l.failedShare) * failureSmoothing
		return
	}
	l.failedShare -= l.failedShare * failureSmoothing
	l.completedRuns[kind]++
	updateAverage(l.runTimes, kind, took.Seconds())
}

// CallStarted records the start of a call that the server makes.
func (l *Estimator) CallStarted(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.outstandingCalls[kind]++
	if addName(&l.callKinds, kind) {
		// Earlier calls of the kind were not counted, so that the previous samples would make it appear less frequent.
		l.resetRegression()
	}
}

// resetRegression discards the samples and the solution of the regression.
func (l *Estimator) resetRegression() {
	l.gram, l.cross, l.outstandingPerRun = [maxKinds][maxKinds]float64{}, [maxKinds][maxKinds]float64{},
		[maxKinds][maxKinds]float64{}
	clear(l.completedRuns)
	clear(l.solvedRuns)
}

// CallEnded records the end of a call. The vector callCosts holds the costs of the call that the answer reported, nil if it
// reported none.
func (l *Estimator) CallEnded(kind string, took time.Duration, succeeded bool, callCosts Vector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.outstandingCalls[kind] = max(l.outstandingCalls[kind]-1, 0)
	if succeeded {
		updateAverage(l.callTimes, kind, took.Seconds())
	}
	if callCosts != nil {
		l.callCosts[kind] = callCosts
	}
}

// RecordUnattributed records an outstanding request that may or may not be a call of the server, until done is called. No costs are
// available while there are many such requests relative to the runs.
func (l *Estimator) RecordUnattributed() (done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unattributed++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.unattributed--
	}
}

// addName adds a name to a list if it is new and the list is not full, and reports whether it did.
func addName(list *[]string, name string) bool {
	if len(*list) >= maxKinds || slices.Contains(*list, name) {
		return false
	}
	*list = append(*list, name)
	return true
}

func updateAverage(m map[string]float64, key string, v float64) {
	old, ok := m[key]
	if !ok {
		m[key] = v
		return
	}
	m[key] = old + timeSmoothing*(v-old)
}

// SampleInterval is the time between calls of Sample; the shortest usual run spans a few of them.
const SampleInterval = 20 * time.Millisecond

// solveInterval is the minimum time between two solutions of the regression.
const solveInterval = 200 * time.Millisecond

// Sample adds the current runs and outstanding calls to the regression.
func (l *Estimator) Sample(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	keep := 1.0
	if !l.sampledAt.IsZero() {
		keep = max(0, 1-float64(now.Sub(l.sampledAt))/float64(decayTime))
	}
	l.sampledAt = now
	running := 0
	for _, n := range l.running {
		running += n
	}
	l.meanUnattributed += (float64(l.unattributed) - l.meanUnattributed) * unattributedSmoothing
	l.meanRuns += (float64(running) - l.meanRuns) * unattributedSmoothing
	// Samples are normalized by the number of runs, so that a short overload does not dominate the estimate. They weigh less
	// while runs fail, since runs that were cut short do not show the cost of a complete run.
	weight := (1 - l.failedShare) / float64(max(running*running, 1))
	for i, a := range l.runKinds {
		for j, b := range l.runKinds {
			l.gram[i][j] = keep*l.gram[i][j] + weight*float64(l.running[a]*l.running[b])
		}
		for j, c := range l.callKinds {
			l.cross[i][j] = keep*l.cross[i][j] + weight*float64(l.running[a]*l.outstandingCalls[c])
		}
	}
	if now.Sub(l.solvedAt) >= solveInterval {
		l.solvedAt = now
		l.solve()
	}
}

// solve computes the calls per run by least squares; negative results become zero.
func (l *Estimator) solve() {
	n := len(l.runKinds)
	for j := range l.callKinds {
		var a [maxKinds][maxKinds + 1]float64
		for i := range n {
			copy(a[i][:n], l.gram[i][:n])
			a[i][i] += ridge
			a[i][n] = l.cross[i][j]
		}
		solveLinear(&a, n)
		for i := range n {
			l.outstandingPerRun[i][j] = max(0, a[i][n])
		}
	}
	maps.Copy(l.solvedRuns, l.completedRuns)
}

// solveLinear solves the linear system of n rows whose right-hand side is in column n, by Gauss-Jordan elimination.
func solveLinear(a *[maxKinds][maxKinds + 1]float64, n int) {
	for col := range n {
		pivot := col
		for r := col + 1; r < n; r++ {
			if abs(a[r][col]) > abs(a[pivot][col]) {
				pivot = r
			}
		}
		a[col], a[pivot] = a[pivot], a[col]
		if abs(a[col][col]) < 1e-12 {
			continue
		}
		for r := range n {
			if r == col {
				continue
			}
			f := a[r][col] / a[col][col]
			for c := col; c <= n; c++ {
				a[r][c] -= f * a[col][c]
			}
		}
	}
	for i := range n {
		if abs(a[i][i]) >= 1e-12 {
			a[i][n] /= a[i][i]
		}
	}
}

func abs(x float64) float64 { return max(x, -x) }

// OutstandingPerRun returns the mean number of outstanding calls of a kind for each present run of a kind, zero if unknown.
func (l *Estimator) OutstandingPerRun(run, call string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, j := slices.Index(l.runKinds, run), slices.Index(l.callKinds, call)
	if i < 0 || j < 0 {
		return 0
	}
	return l.outstandingPerRun[i][j]
}

// minCost is the smallest cost that is reported, in seconds; smaller ones are within the error of the estimate.
const minCost = 0.002

// Cost returns the cost of one run of the kind at each service, including the server's own. It returns nil until all costs
// are known, since an incomplete vector would admit work regardless of the pressure on the missing services.
func (l *Estimator) Cost(kind string) Vector {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	runTime, known := l.runTimes[kind]
	i := slices.Index(l.runKinds, kind)
	if !known || i < 0 || l.solvedRuns[kind] < minRuns || l.meanUnattributed > minOutstandingPerRun*l.meanRuns {
		return nil
	}
	v := Vector{l.Service: runTime}
	for j, c := range l.callKinds {
		callTime, outstandingPerRun := l.callTimes[c], l.outstandingPerRun[i][j]
		if outstandingPerRun > minOutstandingPerRun && (callTime <= 0 || l.callCosts[c] == nil) {
			return nil
		}
		if callTime <= 0 || outstandingPerRun <= 0 {
			continue
		}
		callsPerRun := outstandingPerRun * runTime / callTime
		for service, seconds := range l.callCosts[c] {
			v[service] += callsPerRun * seconds
		}
	}
	for service, seconds := range v {
		if seconds < minCost {
			delete(v, service)
		}
	}
	return v
}

// OwnShare returns the mean part of a run's time in which it does not wait for calls, 1 if that is not known.
func (l *Estimator) OwnShare(kind string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.runKinds, kind)
	if i < 0 || l.solvedRuns[kind] < minRuns {
		return 1
	}
	share := 1.0
	for j := range l.callKinds {
		share -= max(l.outstandingPerRun[i][j], 0)
	}
	return max(share, 0)
}

// Top returns at most n services of the vector, the one with the highest cost first.
func (v Vector) Top(n int) []string {
	names := slices.SortedFunc(maps.Keys(v), func(a, b string) int {
		return cmp.Or(cmp.Compare(v[b], v[a]), cmp.Compare(a, b))
	})
	return names[:min(n, len(names))]
}
