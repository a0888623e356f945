// Package crcost learns what one run of a kind of work takes of each service, its calls to deeper services included.
// Calls carry no token of the run that makes them, so a node attributes them by how many calls are outstanding while how
// many runs of each kind are on its server: a regression that needs neither names nor order in time.
//
// It answers the load pattern in which a cheap request makes many calls in a chain and the service at the end of the
// chain is the one that is short: what is refused must be chosen by the time of that service, before the first call.
package crcost

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of what is learned.
const (
	// maxKinds bounds the kinds of work and of calls of one server; further ones are not attributed.
	maxKinds = 16
	// memory is the time constant with which samples are forgotten: long enough for a few hundred independent samples,
	// short enough to follow a changed program.
	memory = 20 * time.Second
	// ridge is added to the diagonal, in samples; a kind that was hardly seen is attributed nothing.
	ridge = 2.0
	// smoothing is the weight of one measurement in a moving average.
	smoothing = 0.05
	// lostSmoothing is the weight of one run in the part of runs that are lost, which has to follow within a few of them.
	lostSmoothing = 0.2
	// leastRuns is how many runs of a kind a cost rests on at least.
	leastRuns = 3
	// leastShare is the number of outstanding calls for each run above which a kind of work is held to make such calls.
	leastShare = 0.1
	// doubtSmoothing is the weight of one sample in the averages of doubtful requests and runs, some tenths of a second in all.
	doubtSmoothing = 0.1
)

// Vector holds seconds of service time by service.
type Vector map[string]float64

// Ledger learns the costs of the kinds of work of one server. It is safe for concurrent use.
type Ledger struct {
	// Service is that of the server.
	Service string

	mu      sync.Mutex
	kinds   []string
	calls   []string
	running map[string]int
	out     map[string]int
	// doubtful counts the outstanding requests that may be calls of the server or not, doubt and busy are moving averages of them
	// and of the runs.
	doubtful    int
	doubt, busy float64
	// lost is the part of the runs that ended without a good answer, of late.
	lost float64
	// ended counts the good ends of runs of kinds since the sums below began, settled those that the solution has seen; times are
	// the mean run times, waits mean times that calls take, below the vectors of calls.
	ended, settled map[string]int
	times, waits   map[string]float64
	below          map[string]Vector
	// gram and cross are the sums of the regression of outstanding calls on runs.
	gram  [maxKinds][maxKinds]float64
	cross [maxKinds][maxKinds]float64
	// share is the solution: outstanding calls of a kind of call for each run of a kind of work.
	share    [maxKinds][maxKinds]float64
	sampled  time.Time
	solvedAt time.Time
}

func (l *Ledger) init() {
	if l.running == nil {
		l.running, l.out, l.ended, l.settled = map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
		l.times, l.waits, l.below = map[string]float64{}, map[string]float64{}, map[string]Vector{}
	}
}

// Started counts a run of a kind on the server.
func (l *Ledger) Started(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.running[kind]++
	note(&l.kinds, kind)
}

// Ended counts the end of a run; one that failed tells nothing about the time.
func (l *Ledger) Ended(kind string, took time.Duration, good bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.running[kind] = max(l.running[kind]-1, 0)
	if !good {
		l.lost += (1 - l.lost) * lostSmoothing
		return
	}
	l.lost -= l.lost * lostSmoothing
	l.ended[kind]++
	average(l.times, kind, took.Seconds())
}

// CallStarted counts a call that the server makes.
func (l *Ledger) CallStarted(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.out[kind]++
	if note(&l.calls, kind) {
		// Earlier calls of the kind were not counted, and would make it look rarer than it is.
		l.restart()
	}
}

// restart forgets what runs and calls were seen together.
func (l *Ledger) restart() {
	l.gram, l.cross, l.share = [maxKinds][maxKinds]float64{}, [maxKinds][maxKinds]float64{}, [maxKinds][maxKinds]float64{}
	clear(l.ended)
	clear(l.settled)
}

// CallEnded counts the end of a call; below is what the answer told of its own costs, nil for nothing.
func (l *Ledger) CallEnded(kind string, took time.Duration, good bool, below Vector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.out[kind] = max(l.out[kind]-1, 0)
	if good {
		average(l.waits, kind, took.Seconds())
	}
	if below != nil {
		l.below[kind] = below
	}
}

// Doubtful counts a request of which it is not known whether the server makes it, until done is called. While there are many of
// them beside the runs, no cost is known.
func (l *Ledger) Doubtful() (done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubtful++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.doubtful--
	}
}

// note adds a name to a list that has room for it and reports whether it did.
func note(list *[]string, name string) bool {
	if len(*list) >= maxKinds || slices.Contains(*list, name) {
		return false
	}
	*list = append(*list, name)
	return true
}

func average(m map[string]float64, key string, v float64) {
	old, ok := m[key]
	if !ok {
		m[key] = v
		return
	}
	m[key] = old + smoothing*(v-old)
}

// SampleInterval is how often Sample should be called: a few times in the shortest usual run.
const SampleInterval = 20 * time.Millisecond

// solveInterval is the time between solutions of the regression.
const solveInterval = 200 * time.Millisecond

// Sample takes the present runs and outstanding calls into the regression.
func (l *Ledger) Sample(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	keep := 1.0
	if !l.sampled.IsZero() {
		keep = max(0, 1-float64(now.Sub(l.sampled))/float64(memory))
	}
	l.sampled = now
	running := 0
	for _, n := range l.running {
		running += n
	}
	l.doubt += (float64(l.doubtful) - l.doubt) * doubtSmoothing
	l.busy += (float64(running) - l.busy) * doubtSmoothing
	// Each moment counts alike, so that a short flood does not decide for the whole memory, but for those in which runs are cut
	// short: they say little of what a whole one takes.
	weight := (1 - l.lost) / float64(max(running*running, 1))
	for i, a := range l.kinds {
		for j, b := range l.kinds {
			l.gram[i][j] = keep*l.gram[i][j] + weight*float64(l.running[a]*l.running[b])
		}
		for j, c := range l.calls {
			l.cross[i][j] = keep*l.cross[i][j] + weight*float64(l.running[a]*l.out[c])
		}
	}
	if now.Sub(l.solvedAt) >= solveInterval {
		l.solvedAt = now
		l.solve()
	}
}

// solve finds the shares by least squares; negative ones count as none.
func (l *Ledger) solve() {
	n := len(l.kinds)
	for j := range l.calls {
		var a [maxKinds][maxKinds + 1]float64
		for i := range n {
			copy(a[i][:n], l.gram[i][:n])
			a[i][i] += ridge
			a[i][n] = l.cross[i][j]
		}
		eliminate(&a, n)
		for i := range n {
			l.share[i][j] = max(0, a[i][n])
		}
	}
	maps.Copy(l.settled, l.ended)
}

// eliminate solves the linear system of n rows whose right side is in column n.
func eliminate(a *[maxKinds][maxKinds + 1]float64, n int) {
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

// minCost is the smallest cost that is told, in seconds; less is within the error of the attribution.
const minCost = 0.002

// Cost returns what one run of the kind takes of each service, the server's own included. It is nil until all of that is known:
// a part of it would let in work for services that it leaves out.
func (l *Ledger) Cost(kind string) Vector {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	t, ok := l.times[kind]
	i := slices.Index(l.kinds, kind)
	if !ok || i < 0 || l.settled[kind] < leastRuns || l.doubt > leastShare*l.busy {
		return nil
	}
	v := Vector{l.Service: t}
	for j, c := range l.calls {
		wait, share := l.waits[c], l.share[i][j]
		if share > leastShare && (wait <= 0 || l.below[c] == nil) {
			return nil
		}
		if wait <= 0 || share <= 0 {
			continue
		}
		calls := share * t / wait
		for service, seconds := range l.below[c] {
			v[service] += calls * seconds
		}
	}
	for service, seconds := range v {
		if seconds < minCost {
			delete(v, service)
		}
	}
	return v
}

// Top returns at most n services of the vector, the costliest first.
func (v Vector) Top(n int) []string {
	names := slices.SortedFunc(maps.Keys(v), func(a, b string) int {
		return cmp.Or(cmp.Compare(v[b], v[a]), cmp.Compare(a, b))
	})
	return names[:min(n, len(names))]
}
