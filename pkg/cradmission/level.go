package cradmission

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxGroups limits the histogram, which has one group per class and worth; further worths count in the next lower group.
const maxGroups = 64

const (
	// probeScale is the number of requests below the level that one probe represents.
	probeScale = float64(probeMask + 1)
	// targetLoadFactor is the admitted demand over capacity when the queue delay is at the target, and delayReduction is
	// the reduction of it for one window of excess delay. With 1.03 the queue does not run empty between two windows;
	// targetLoadFactor and delayReduction balance at 24 ms above the target.
	targetLoadFactor = 1.03
	delayReduction   = 0.25
	// targetUtilization is the utilization of the concurrency limit at which a falling level aims; minStep is the minimum step
	// when it is reached, so that the level can always fall further.
	targetUtilization = 0.95
	minStep           = 0.02
	// maxStep limits the relative growth of the admitted demand in one window.
	maxStep = 2.0
	// minTopShare is the share of the highest group that is always admitted.
	minTopShare = 0.05
)

// Level computes the lowest priority that a gate admits. In each window it compares the mean queue delay with the target.
// Above the target the level rises until the expected arrivals match the measured capacity; below half of it the level
// falls, by no more than the server has capacity for; in between it does not change. Refused callers retry as soon as the
// level falls, so a step derived from the queue alone would overload a busy server again and again. Fields are set before
// use; zero values mean a window of 200 ms and a target of 15 ms.
type Level struct {
	Window time.Duration
	Target time.Duration

	current atomic.Uint64

	mu             sync.Mutex
	windowStart    time.Time
	groups         []group // ascending by key
	waitSum        time.Duration
	waitCount      int
	arrived        int
	completed      int
	calmWindows    int     // consecutive windows with a short queue delay
	inFlightSum    float64 // sum of the in-flight samples of RecordOccupancy
	utilizationSum float64 // sum of the utilization samples of RecordOccupancy
	samples        int
	capacity       float64 // completions per second in windows with an excessive queue delay
	pressure       float64
}

// group counts the arrivals of one class and worth in this window. Hashes are uniformly distributed within a group, so a
// level inside it needs no finer buckets.
type group struct {
	key      Priority
	arrivals int
	admitted int
	probes   int
	rate     float64 // expected arrivals per second, including refused ones
}

// Arrive counts a request that arrives at the gate and reports whether the level admits it.
func (l *Level) Arrive(now time.Time, p Priority) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endWindowIfDue(now)
	l.arrived++
	admitted := l.Admits(p)
	g := l.group(p.group())
	g.arrivals++
	if admitted {
		g.admitted++
	}
	if p.Probe() {
		g.probes++
	}
	return admitted
}

// RecordWait records the queueing time of an item that left the queue because it runs, expired or was displaced.
func (l *Level) RecordWait(now time.Time, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endWindowIfDue(now)
	l.waitSum += wait
	l.waitCount++
}

// RecordCompletion counts a run that ended.
func (l *Level) RecordCompletion(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endWindowIfDue(now)
	l.completed++
}

// RecordOccupancy samples the runs in flight and the concurrency limit; call it when a run starts or ends.
func (l *Level) RecordOccupancy(now time.Time, inFlight, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endWindowIfDue(now)
	l.inFlightSum += float64(inFlight)
	l.utilizationSum += float64(inFlight) / float64(max(limit, 1))
	l.samples++
}

// Tick evaluates the window if it has ended. A gate calls it regularly, so that the level also falls without traffic.
func (l *Level) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endWindowIfDue(now)
}

// Current returns the lowest admitted priority; zero admits all requests.
func (l *Level) Current() Priority { return Priority(l.current.Load()) }

// Admits reports whether the level admits p, without counting an arrival.
func (l *Level) Admits(p Priority) bool { return p >= l.Current() }

// Pressure returns expected demand over measured capacity, for RetryAfter; it is 1 when the gate is not overloaded.
func (l *Level) Pressure() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.pressure, 1)
}

// LevelView is the state of a Level, for dumps. Demand and Capacity are per second, Groups is the number of groups in the
// histogram, and Calm is the number of consecutive windows with a short queue delay.
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
		Current: l.Current(), Capacity: l.capacity, Pressure: max(l.pressure, 1), Groups: len(l.groups), Calm: l.calmWindows,
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
		l.groups = slices.DeleteFunc(l.groups, func(g group) bool { return g.arrivals == 0 && g.rate < 0.1 })
		if len(l.groups) >= maxGroups {
			return &l.groups[max(at-1, 0)]
		}
		at, _ = slices.BinarySearchFunc(l.groups, key, func(g group, k Priority) int { return cmp.Compare(g.key, k) })
	}
	l.groups = slices.Insert(l.groups, at, group{key: key})
	return &l.groups[at]
}

func (l *Level) endWindowIfDue(now time.Time) {
	window, target := l.Window, l.Target
	if window == 0 {
		window = 200 * time.Millisecond
	}
	if target == 0 {
		target = 15 * time.Millisecond
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	elapsed := now.Sub(l.windowStart)
	if l.calmWindows > 0 && l.Current() > 0 {
		// While the level falls, half a window is sufficient and restores goodput within about a second, but a window shorter
		// than a run would not show the effect of the last step.
		window = max(window/2, min(l.runTime(elapsed), maxFallWindow))
	}
	if elapsed < window {
		return
	}
	admittedRate, total := l.estimate(elapsed.Seconds())
	if l.capacity > 0 {
		// On a slow server even a normal queue of a few items delays by more than the target.
		target = max(target, time.Duration(4/l.capacity*float64(time.Second)))
	}
	mean := time.Duration(0)
	if l.waitCount > 0 {
		mean = l.waitSum / time.Duration(l.waitCount)
	}
	switch {
	case mean > target:
		l.raise(float64(l.completed)/elapsed.Seconds(), float64(mean-target)/float64(window), admittedRate)
	case l.waitCount == 0 && l.completed == 0 && l.arrived > 0 && admittedRate > 0:
		// Nothing left the queue and no run ended: the server may hang, so the level does not change.
	case mean <= target/2:
		l.lower(admittedRate, total, l.meanUtilization())
	default:
		l.calmWindows = 0
	}
	if l.capacity > 0 {
		l.pressure = total / l.capacity
	}
	for i := range l.groups {
		g := &l.groups[i]
		g.arrivals, g.admitted, g.probes = 0, 0, 0
	}
	l.waitSum, l.waitCount, l.arrived, l.completed = 0, 0, 0, 0
	l.inFlightSum, l.utilizationSum, l.samples = 0, 0, 0
	l.windowStart = now
}

// maxFallWindow limits the extension of a window to the run time while the level falls.
const maxFallWindow = 500 * time.Millisecond

// runTime estimates the duration of a run from the runs in flight and the completions (Little's law).
func (l *Level) runTime(elapsed time.Duration) time.Duration {
	if l.samples == 0 || l.completed == 0 {
		return 0
	}
	return time.Duration(l.inFlightSum / float64(l.samples) / float64(l.completed) * float64(elapsed))
}

// meanUtilization returns the mean utilization of the concurrency limit; 0 without samples.
func (l *Level) meanUtilization() float64 {
	if l.samples == 0 {
		return 0
	}
	return l.utilizationSum / float64(l.samples)
}

// admittedShare returns the share of a group's priorities that the level admits.
func (l *Level) admittedShare(key Priority) float64 {
	cut := l.Current()
	switch {
	case key > cut.group():
		return 1
	case key < cut.group():
		return 0
	}
	return 1 - float64(cut&(hashSpace-1))/hashSpace
}

// estimate updates the expected arrival rates from the counts of the window, and returns the admitted rate and the
// total rate. Callers that know the level send only probes below it, so the rates there follow slowly.
func (l *Level) estimate(seconds float64) (admittedRate, total float64) {
	var rateBefore, rateAfter float64
	for i := range l.groups {
		g := &l.groups[i]
		share := l.admittedShare(g.key)
		if share < 0.1 {
			continue
		}
		observed := float64(g.admitted) / share / seconds
		rateBefore += g.rate * share
		// Few arrivals are a weak estimate of the rate and get a smaller weight.
		n := float64(g.admitted)
		g.rate += min(max(n/(n+30), 0.2), 0.7) * (observed - g.rate)
		rateAfter += g.rate * share
		admittedRate += g.rate * share
		total += g.rate
	}
	// Demand usually falls in all groups at once; probes alone would show it only after seconds.
	trend := 1.0
	if rateBefore > 0 {
		trend = min(max(rateAfter/rateBefore, 0.5), 1)
	}
	for i := range l.groups {
		g := &l.groups[i]
		share := l.admittedShare(g.key)
		if share >= 0.1 {
			continue
		}
		g.rate *= trend
		g.rate += 0.1 * (float64(g.probes)*probeScale/seconds - g.rate)
		g.rate = max(g.rate, float64(g.arrivals)/seconds)
		admittedRate += g.rate * share
		total += g.rate
	}
	return admittedRate, total
}

// raise reduces the admitted demand to the capacity, less a part that grows with the excess delay. One window reduces it by
// at most half, since the completions during a short stall do not measure the capacity.
func (l *Level) raise(completed, excess, admittedRate float64) {
	l.calmWindows = 0
	if l.capacity == 0 {
		l.capacity = completed
	}
	// With a short queue the server may have been idle for a part of the window, so a lower measurement gets a smaller
	// weight.
	weight := 0.5
	if completed < l.capacity {
		weight = 0.05 + 0.45*min(2*excess, 1)
	}
	l.capacity += weight * (completed - l.capacity)
	demand := l.capacity * (targetLoadFactor - delayReduction*min(excess, 1))
	l.admit(min(max(demand, admittedRate/2), admittedRate))
}

// lower admits more demand, at most as much as the unused part of the concurrency limit can serve. Each further calm window
// doubles the step, so that the level follows the end of an overload within about a second.
func (l *Level) lower(admittedRate, total, utilization float64) {
	l.calmWindows++
	if l.Current() == 0 {
		if l.calmWindows > 10 {
			l.capacity, l.pressure = 0, 0
		}
		return
	}
	step := min(0.05*float64(int(1)<<min(l.calmWindows-1, 5)), maxStep)
	if utilization >= 0.5 {
		step = min(step, max(targetUtilization/utilization-1, minStep))
		l.admit(max(admittedRate*(1+step), 0.8*l.capacity))
		return
	}
	l.admit(max(admittedRate*(1+step), min(step, 1)*total, 0.8*l.capacity))
}

// admit sets the level so that the expected arrivals at or above it equal demand per second. It starts at the highest group,
// so all ordinary priorities are refused before any protected one.
func (l *Level) admit(demand float64) {
	for i := len(l.groups) - 1; i >= 0; i-- {
		g := &l.groups[i]
		if demand >= g.rate {
			demand -= g.rate
			continue
		}
		kept := demand / g.rate
		if i == len(l.groups)-1 {
			kept = max(kept, minTopShare)
		}
		l.current.Store(uint64(g.key<<hashBits + Priority((1-kept)*(hashSpace-1))))
		return
	}
	l.current.Store(0)
}
