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
	if repeat {
		a.saved--
		a.charged[0]++
		return
	}
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
	if !a.enough(urgency) {
		a.denied++
		return false
	}
	if a.saved >= wholeRetry {
		a.saved--
		return true
	}
	// A part of a retry is a retry with that probability.
	part := a.saved
	a.saved = 0
	if a.random() >= part {
		a.denied++
		return false
	}
	return true
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
		a.at, a.began, a.saved = now, now, a.most()
	}
	if dt := now.Sub(a.at); dt > 0 {
		a.calls *= math.Exp(-dt.Seconds() / rateTimeConstant.Seconds())
		a.at = now
	}
	if now.Sub(a.began) >= ratioPeriod {
		a.began = now
		a.charged = [2]float64{0, a.charged[0]}
	}
	a.saved = min(max(a.saved, -a.charged[0]-a.charged[1]), a.most())
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
	idle := a.idle
	if idle == 0 {
		idle = 1
	}
	return min(max(a.rate()*fullShare*a.ratio()*savedTime.Seconds(), idle), maxSaved)
}
