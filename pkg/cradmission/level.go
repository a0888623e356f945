package cradmission

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxGroups bounds the histogram: one group per class and worth seen; further worths join the next lower group.
const maxGroups = 64

const (
	// probeScale is how many requests below the level one probe stands for.
	probeScale = float64(probeMask + 1)
	// intake is the admitted demand over capacity when the queue delay is at the target, and delayCut how much of it one
	// window of delay takes away. With 1.03 the queue does not run empty between two windows; intake and delayCut
	// balance at 24 ms above the target.
	intake   = 1.03
	delayCut = 0.25
	// busyTarget is the part of the concurrency limit in use to which a falling level steers; spareStep is the step that
	// remains when it is reached, so that a level never sticks.
	busyTarget = 0.95
	spareStep  = 0.02
	// maxStep bounds the growth of the admitted demand in one window.
	maxStep = 2.0
	// topKept is the share of the highest group that stays admitted whatever the measurements say.
	topKept = 0.05
)

// Level computes the lowest priority that a gate admits. Each window it compares the queue delay with the target:
// above it, the level rises until the expected arrivals fit the measured capacity; below half of it, the level falls,
// by no more than the server has room for; in between it stays. Refused callers come back as soon as the level falls, so
// a step that looks at the queue alone would flood a busy server again and again.
// Fields are set before use; zero fields mean a window of 200 ms and a target of 15 ms.
type Level struct {
	Window time.Duration
	Target time.Duration

	current atomic.Uint64

	mu        sync.Mutex
	start     time.Time
	groups    []group // ascending by key
	waitSum   time.Duration
	waits     int
	arrived   int
	completed int
	calm      int     // windows without pressure in a row
	inFlight  float64 // sums of the samples of Occupied
	busy      float64
	samples   int
	capacity  float64 // completions per second in windows under pressure
	pressure  float64
}

// group counts the arrivals of one class and worth in this window. Hashes are uniform within a group, so a cut
// inside it needs no finer buckets.
type group struct {
	key      Priority
	all      int
	admitted int
	probes   int
	rate     float64 // expected arrivals per second, refused ones included
}

// Arrive counts an arrival at the gate and reports whether the level admits it.
func (l *Level) Arrive(now time.Time, p Priority) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	l.arrived++
	admitted := l.Admits(p)
	g := l.group(p.group())
	g.all++
	if admitted {
		g.admitted++
	}
	if p.Probe() {
		g.probes++
	}
	return admitted
}

// Waited counts an item that left the queue after wait: to run, expired or displaced.
func (l *Level) Waited(now time.Time, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	l.waitSum += wait
	l.waits++
}

// Completed counts a run that ended.
func (l *Level) Completed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	l.completed++
}

// Occupied samples how many runs are in flight and how many may be; call it when one starts or ends.
func (l *Level) Occupied(now time.Time, inFlight, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	l.inFlight += float64(inFlight)
	l.busy += float64(inFlight) / float64(max(limit, 1))
	l.samples++
}

// Tick ends a window that is over; a gate without traffic calls it so that its level still falls.
func (l *Level) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
}

// Current returns the lowest admitted priority; zero admits everything.
func (l *Level) Current() Priority { return Priority(l.current.Load()) }

// Admits reports whether the level admits p, without counting it.
func (l *Level) Admits(p Priority) bool { return p >= l.Current() }

// Pressure returns expected demand over measured capacity, for RetryAfter; it is 1 when the gate is not overloaded.
func (l *Level) Pressure() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.pressure, 1)
}

// LevelView is the state of a Level, for dumps. Demand and Capacity are per second; Groups are the classes and worths
// in the histogram, Calm the windows without pressure in a row.
type LevelView struct {
	Current  Priority
	Demand   float64
	Capacity float64
	Pressure float64
	Groups   int
	Calm     int
}

// View returns the state of the level.
func (l *Level) View() LevelView {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := LevelView{
		Current: l.Current(), Capacity: l.capacity, Pressure: max(l.pressure, 1), Groups: len(l.groups), Calm: l.calm,
	}
	for i := range l.groups {
		v.Demand += l.groups[i].rate
	}
	return v
}

func (l *Level) group(key Priority) *group {
	at, found := slices.BinarySearchFunc(l.groups, key, func(g group, k Priority) int { return cmp.Compare(g.key, k) })
	if found {
		return &l.groups[at]
	}
	if len(l.groups) >= maxGroups {
		l.groups = slices.DeleteFunc(l.groups, func(g group) bool { return g.all == 0 && g.rate < 0.1 })
		if len(l.groups) >= maxGroups {
			return &l.groups[max(at-1, 0)]
		}
		at, _ = slices.BinarySearchFunc(l.groups, key, func(g group, k Priority) int { return cmp.Compare(g.key, k) })
	}
	l.groups = slices.Insert(l.groups, at, group{key: key})
	return &l.groups[at]
}

func (l *Level) roll(now time.Time) {
	window, target := l.Window, l.Target
	if window == 0 {
		window = 200 * time.Millisecond
	}
	if target == 0 {
		target = 15 * time.Millisecond
	}
	if l.start.IsZero() {
		l.start = now
	}
	elapsed := now.Sub(l.start)
	if l.calm > 0 && l.Current() > 0 {
		// While the level falls, half a window is enough and brings goodput back within about a second, but a window
		// shorter than a run would not see what the last step did.
		window = max(window/2, min(l.runTime(elapsed), maxFallWindow))
	}
	if elapsed < window {
		return
	}
	above, total := l.estimate(elapsed.Seconds())
	if l.capacity > 0 {
		// A slow server's queue of a few items is longer than the target although nothing is wrong.
		target = max(target, time.Duration(4/l.capacity*float64(time.Second)))
	}
	mean := time.Duration(0)
	if l.waits > 0 {
		mean = l.waitSum / time.Duration(l.waits)
	}
	switch {
	case mean > target:
		l.raise(float64(l.completed)/elapsed.Seconds(), float64(mean-target)/float64(window), above)
	case l.waits == 0 && l.completed == 0 && l.arrived > 0 && above > 0:
		// Nothing left the queue and nothing finished: a hang looks like this, so the level stays.
	case mean <= target/2:
		l.lower(above, total, l.occupancy())
	default:
		l.calm = 0
	}
	if l.capacity > 0 {
		l.pressure = total / l.capacity
	}
	for i := range l.groups {
		g := &l.groups[i]
		g.all, g.admitted, g.probes = 0, 0, 0
	}
	l.waitSum, l.waits, l.arrived, l.completed = 0, 0, 0, 0
	l.inFlight, l.busy, l.samples = 0, 0, 0
	l.start = now
}

// maxFallWindow bounds the window in which a level falls.
const maxFallWindow = 500 * time.Millisecond

// runTime estimates the length of a run from the runs in flight and the completions (Little's law).
func (l *Level) runTime(elapsed time.Duration) time.Duration {
	if l.samples == 0 || l.completed == 0 {
		return 0
	}
	return time.Duration(l.inFlight / float64(l.samples) / float64(l.completed) * float64(elapsed))
}

// occupancy returns the mean part of the limit in use; 0 when nothing ran.
func (l *Level) occupancy() float64 {
	if l.samples == 0 {
		return 0
	}
	return l.busy / float64(l.samples)
}

// share returns which part of a group's priorities the level admits.
func (l *Level) share(key Priority) float64 {
	cut := l.Current()
	switch {
	case key > cut.group():
		return 1
	case key < cut.group():
		return 0
	}
	return 1 - float64(cut&(hashSpace-1))/hashSpace
}

// estimate updates the expected rates from the window's counts; it returns those above the level and in all.
// Callers that know the level send only probes of what is below it, so these rates follow slowly.
func (l *Level) estimate(seconds float64) (above, total float64) {
	var before, after float64
	for i := range l.groups {
		g := &l.groups[i]
		share := l.share(g.key)
		if share < 0.1 {
			continue
		}
		observed := float64(g.admitted) / share / seconds
		before += g.rate * share
		// Few arrivals say little about the rate, so they move it less.
		n := float64(g.admitted)
		g.rate += min(max(n/(n+30), 0.2), 0.7) * (observed - g.rate)
		after += g.rate * share
		above += g.rate * share
		total += g.rate
	}
	// Demand mostly falls everywhere at once; probes alone would show it only after seconds.
	trend := 1.0
	if before > 0 {
		trend = min(max(after/before, 0.5), 1)
	}
	for i := range l.groups {
		g := &l.groups[i]
		share := l.share(g.key)
		if share >= 0.1 {
			continue
		}
		g.rate *= trend
		g.rate += 0.1 * (float64(g.probes)*probeScale/seconds - g.rate)
		g.rate = max(g.rate, float64(g.all)/seconds)
		above += g.rate * share
		total += g.rate
	}
	return above, total
}

// raise fits the admitted demand to the capacity, less a part that grows with the delay. One window never cuts more
// than half, since a short stall measures no capacity at all.
func (l *Level) raise(completed, excess, above float64) {
	l.calm = 0
	if l.capacity == 0 {
		l.capacity = completed
	}
	// With a short queue the server may have been idle for a part of the window, so a lower figure counts less then.
	weight := 0.5
	if completed < l.capacity {
		weight = 0.05 + 0.45*min(2*excess, 1)
	}
	l.capacity += weight * (completed - l.capacity)
	demand := l.capacity * (intake - delayCut*min(excess, 1))
	l.admit(min(max(demand, above/2), above))
}

// lower lets more demand in, at most what the free part of the limit has room for; each further calm window doubles the
// step, so that the end of an overload is followed within about a second.
func (l *Level) lower(above, total, busy float64) {
	l.calm++
	if l.Current() == 0 {
		if l.calm > 10 {
			l.capacity, l.pressure = 0, 0
		}
		return
	}
	step := min(0.05*float64(int(1)<<min(l.calm-1, 5)), maxStep)
	if busy >= 0.5 {
		step = min(step, max(busyTarget/busy-1, spareStep))
		l.admit(max(above*(1+step), 0.8*l.capacity))
		return
	}
	l.admit(max(above*(1+step), min(step, 1)*total, 0.8*l.capacity))
}

// admit sets the level so that the expected arrivals at or above it come to demand per second. It starts from the
// highest group, so all ordinary priorities are refused before the first protected one.
func (l *Level) admit(demand float64) {
	for i := len(l.groups) - 1; i >= 0; i-- {
		g := &l.groups[i]
		if demand >= g.rate {
			demand -= g.rate
			continue
		}
		kept := demand / g.rate
		if i == len(l.groups)-1 {
			kept = max(kept, topKept)
		}
		l.current.Store(uint64(g.key<<hashBits + Priority((1-kept)*(hashSpace-1))))
		return
	}
	l.current.Store(0)
}
