// Package crbudget bounds the retries of a request over its whole call graph: a split budget per running request, a
// counter per request id, and a retry ratio per service. It has no clock and no goroutine; all types are safe for
// concurrent use.
package crbudget

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget holds the extra attempts that one running request may still spend or hand to deeper calls.
// The sum of held, spent, delegated and lost never changes; the zero Budget holds nothing.
type Budget struct {
	mu        sync.Mutex
	held      int
	spent     int
	delegated int
	lost      int
}

// NewBudget returns a budget that holds n extra attempts; a negative n counts as zero.
func NewBudget(n int) *Budget { return &Budget{held: max(n, 0)} }

// Take spends up to n held attempts and returns how many it granted.
func (b *Budget) Take(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(max(n, 0), b.held)
	b.held -= n
	b.spent += n
	return n
}

// Delegate hands half of the held attempts, rounded down, to a deeper call.
func (b *Budget) Delegate() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.held / 2
	b.held -= n
	b.delegated += n
	return n
}

// Return settles a delegated part whose answer arrived: left attempts come back and the rest was spent below.
// An answer that claims more than was delegated is cut to the part, so that a wrong answer cannot raise the bound.
func (b *Budget) Return(part, left int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	part = min(max(part, 0), b.delegated)
	left = min(max(left, 0), part)
	b.delegated -= part
	b.held += left
	b.spent += part - left
}

// Lose settles a delegated part whose answer was lost; it may have been spent, so it never comes back.
func (b *Budget) Lose(part int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	part = min(max(part, 0), b.delegated)
	b.delegated -= part
	b.lost += part
}

// Remaining returns the held attempts.
func (b *Budget) Remaining() int { return b.State().Held }

// State is a copy of a budget's parts.
type State struct{ Held, Spent, Delegated, Lost int }

// State returns the parts of the budget at one moment.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{b.held, b.spent, b.delegated, b.lost}
}

// Ratio limits the retries of one service to a fraction of its successes plus a constant rate, by a token bucket.
// Fields are set before use; zero fields mean 0.1 per success, 1 per second and a burst of 20.
type Ratio struct {
	PerSuccess float64
	PerSecond  float64
	// Burst bounds saved tokens, so that a long calm does not pay for a later retry storm.
	Burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
	denied uint64
}

func (r *Ratio) defaults() (perSuccess, perSecond, burst float64) {
	perSuccess, perSecond, burst = r.PerSuccess, r.PerSecond, r.Burst
	if perSuccess == 0 {
		perSuccess = 0.1
	}
	if perSecond == 0 {
		perSecond = 1
	}
	if burst == 0 {
		burst = 20
	}
	return perSuccess, perSecond, burst
}

// Succeeded counts one answered request of the service.
func (r *Ratio) Succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	perSuccess, _, burst := r.defaults()
	r.tokens = min(r.tokens+perSuccess, burst)
}

// Allow takes one token and reports whether a retry may be sent now.
func (r *Ratio) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, perSecond, burst := r.defaults()
	if r.last.IsZero() {
		// One token at the start lets the first failure of a service be retried.
		r.last, r.tokens = now, max(r.tokens, min(1, burst))
	}
	if d := now.Sub(r.last); d > 0 {
		r.tokens = min(r.tokens+perSecond*d.Seconds(), burst)
		r.last = now
	}
	// The sum of ten tenths is slightly below one in floating point.
	if r.tokens < 1-1e-9 {
		r.denied++
		return false
	}
	r.tokens = max(r.tokens-1, 0)
	return true
}

// Denied returns how many retries were refused since the start.
func (r *Ratio) Denied() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.denied
}

// Bounds of the back-off: the first retry waits 5 ms at most, later ones up to 1 s.
const (
	BackoffBase = 5 * time.Millisecond
	BackoffMax  = time.Second
)

// Backoff returns the wait before retry number attempt (from 1): exponential with full jitter.
// The caller serializes access to rnd.
func Backoff(attempt int, rnd *rand.Rand) time.Duration {
	ceiling := BackoffMax
	if attempt < 1 {
		attempt = 1
	}
	if attempt < 9 {
		ceiling = min(BackoffBase<<(attempt-1), BackoffMax)
	}
	return time.Duration(rnd.Int64N(int64(ceiling) + 1))
}
