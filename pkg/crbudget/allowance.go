package crbudget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of an Allowance.
const (
	// fullShare is the share of the ratio that a node with many calls uses. The rest covers calls that are recognized as repeats
	// too late, after the retries that they leave no room for.
	fullShare = 0.95
	// partShare is the share for a node that saves up less than a whole retry and therefore sends retries at random; the sum over
	// all nodes then deviates from its mean.
	partShare = 0.85
	// savedTime is the time for which earned retries are saved up. It bridges the gaps between refusals, and is a hundredth of
	// the period over which the ratio holds. At most maxSaved are saved up.
	savedTime = 100 * time.Millisecond
	maxSaved  = 4.0
	// savedByAll is the number of retries that all nodes together save up while they send few calls. It is half of the slack of
	// 86 that is allowed beside the ratio.
	savedByAll = 43.0
	// rateTimeConstant is the time constant of the mean rate of calls; saved retries end soon after the calls do.
	rateTimeConstant = 250 * time.Millisecond
	// ratioPeriod is the period over which the ratio holds. Repeats that are older are no longer charged.
	ratioPeriod = 10 * time.Second
	// historyStep is the resolution of the recent calls and repeats that an Allowance keeps for two periods of the ratio.
	historyStep  = 500 * time.Millisecond
	historySteps = int(2 * ratioPeriod / historyStep)
	// wholeRetry is slightly less than 1, because many fractions add up to slightly less than one in floating point.
	wholeRetry = 1 - 1e-9
)

// Urgency orders the retries of one service by the importance of the client requests behind them.
type Urgency uint8

// The urgencies of retries.
const (
	// Ordinary retries leave half of the saved-up retries to important ones.
	Ordinary Urgency = iota
	// Important retries are those of calls that running work depends on, and of the most important client requests.
	Important
)

// Allowance limits the retries that one node sends to a service, so that over all nodes retries and calls of repeated runs stay
// within a ratio to the other calls. A call that is a repeat itself is charged like a retry. It reads no clock and is safe for
// concurrent use.
type Allowance struct {
	// Ratio is the allowed ratio of repeats to other calls, summed over all nodes; zero means 0.1.
	Ratio float64
	// Rand returns a random number in [0, 1); nil means a random source of its own.
	Rand func() float64

	mu sync.Mutex
	// idle is the number of retries that the node saves up while it sends few calls; zero means 1.
	idle float64
	// saved is the number of retries that may be sent; it is negative after more repeats than the ratio allows.
	saved float64
	// calls is the decayed number of calls at the time at.
	calls float64
	at    time.Time
	// charged holds the number of repeats in the current and the previous ratioPeriod, which began at began.
	charged [2]float64
	began   time.Time
	// history holds the calls and repeats of the last two periods by step; step is the number of the newest one.
	history [historySteps]struct{ calls, repeats float64 }
	step    int64
	// unmarked is the fraction of a repeat that MarkRepeat has not returned yet.
	unmarked float64
	denied   uint64
}

// MarkRepeat reports whether the next call counts as a repeat, when the given fraction of the runs that may have made it are
// repeats. The calls of a repeated run cannot be told from others; over many calls the marked ones have the given fraction.
func (a *Allowance) MarkRepeat(fraction float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unmarked += min(max(fraction, 0), 1)
	if a.unmarked < wholeRetry {
		return false
	}
	a.unmarked--
	return true
}

// RecordCall records the first attempt of a call; repeat is set if a repeated run made it.
func (a *Allowance) RecordCall(now time.Time, repeat bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.calls++
	newest := &a.history[a.step%int64(historySteps)]
	if repeat {
		a.saved--
		a.charged[0]++
		newest.repeats++
		return
	}
	newest.calls++
	share := fullShare
	if a.most() < wholeRetry {
		share = partShare
	}
	a.saved = min(a.saved+share*a.ratio(), a.most())
}

// SetNodes sets the number of nodes that send calls. With more than savedByAll nodes each saves up only a part of a retry.
func (a *Allowance) SetNodes(nodes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle = min(savedByAll/float64(max(nodes, 1)), 1)
}

// Allow takes one retry if the urgency permits it, and reports whether the retry may be sent.
func (a *Allowance) Allow(now time.Time, urgency Urgency) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if !a.enough(urgency) || a.repeats()+1 > a.ratio()*a.recentCalls()+a.idleSaved() || !a.spend() {
		a.denied++
		return false
	}
	a.history[a.step%int64(historySteps)].repeats++
	return true
}

// spend takes a saved-up retry. A part of a retry is a retry with that probability.
func (a *Allowance) spend() bool {
	if a.saved >= wholeRetry {
		a.saved--
		return true
	}
	part := a.saved
	a.saved = 0
	return a.random() < part
}

// repeats returns the number of repeats in the last period.
func (a *Allowance) repeats() (n float64) {
	for i := range historySteps / 2 {
		n += a.stepsAgo(i).repeats
	}
	return n
}

// recentCalls returns the number of calls in the last period, the one before it or the one half a period before it, whichever has
// the most: the ratio refers to that one, so that retries don't fall together with the calls when fewer are admitted.
func (a *Allowance) recentCalls() (most float64) {
	for _, first := range []int{0, historySteps / 4, historySteps / 2} {
		n := 0.0
		for i := range historySteps / 2 {
			n += a.stepsAgo(first + i).calls
		}
		most = max(most, n)
	}
	return most
}

func (a *Allowance) stepsAgo(i int) struct{ calls, repeats float64 } {
	return a.history[(a.step-int64(i)+2*int64(historySteps))%int64(historySteps)]
}

// enough reports whether a retry of the urgency may be taken: a whole one, or a part if the node saves up less than one.
func (a *Allowance) enough(urgency Urgency) bool {
	most := a.most()
	switch {
	case most < wholeRetry && urgency < Important:
		return a.saved >= most/2
	case most < wholeRetry:
		return a.saved > 0
	case urgency < Important:
		return a.saved >= min(most, 1+most/2)*wholeRetry
	}
	return a.saved >= wholeRetry
}

func (a *Allowance) random() float64 {
	if a.Rand != nil {
		return a.Rand()
	}
	return rand.Float64()
}

// Denied returns the number of retries refused since the start.
func (a *Allowance) Denied() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.denied
}

// advance lets the rate, the saved retries and old charges decay up to now.
func (a *Allowance) advance(now time.Time) {
	if a.at.IsZero() {
		// What is saved up at first allows a retry of the first failure of a service.
		a.at, a.began, a.step, a.saved = now, now, now.UnixNano()/int64(historyStep), a.most()
	}
	if dt := now.Sub(a.at); dt > 0 {
		a.calls *= math.Exp(-dt.Seconds() / rateTimeConstant.Seconds())
		a.at = now
		a.advanceHistory(now)
		// Calls earn retries as they come; calls that are missing now, compared with the last period, earn theirs by time.
		missing := a.recentCalls()/ratioPeriod.Seconds() - a.rate()
		a.saved += fullShare * a.ratio() * max(missing, 0) * min(dt, savedTime).Seconds()
	}
	if now.Sub(a.began) >= ratioPeriod {
		a.began = now
		a.charged = [2]float64{0, a.charged[0]}
	}
	a.saved = min(max(a.saved, -a.charged[0]-a.charged[1]), a.most())
}

// advanceHistory begins the step of the history that now belongs to.
func (a *Allowance) advanceHistory(now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	for n := min(step-a.step, int64(historySteps)); n > 0; n-- {
		a.history[(step-n+1)%int64(historySteps)] = struct{ calls, repeats float64 }{}
	}
	a.step = max(a.step, step)
}

func (a *Allowance) ratio() float64 {
	if a.Ratio == 0 {
		return 0.1
	}
	return a.Ratio
}

// rate returns the mean rate of calls per second.
func (a *Allowance) rate() float64 { return a.calls / rateTimeConstant.Seconds() }

// most returns the largest number of retries that may be saved up.
func (a *Allowance) most() float64 {
	rate := max(a.rate(), a.recentCalls()/ratioPeriod.Seconds())
	return min(max(rate*fullShare*a.ratio()*savedTime.Seconds(), a.idleSaved()), maxSaved)
}

// idleSaved returns the number of retries that the node saves up while it sends few calls.
func (a *Allowance) idleSaved() float64 {
	if a.idle == 0 {
		return 1
	}
	return a.idle
}
