// Package crbudget limits the retries of a request over its whole call graph by a counter per request id and a retry ratio
// per service. It reads no clock and starts no goroutine; all types are safe for concurrent use.
package crbudget

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Ratio limits the retries of one service to a fraction of its successes plus a constant rate, with a token bucket.
// Fields are set before use; zero values mean 0.1 per success, 1 per second and a burst of 20.
type Ratio struct {
	PerSuccess float64
	PerSecond  float64
	// Burst is the capacity of the bucket, so that a long time without failures does not permit a retry storm afterwards.
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

// RecordSuccess records one answered request of the service.
func (r *Ratio) RecordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	perSuccess, _, burst := r.defaults()
	r.tokens = min(r.tokens+perSuccess, burst)
}

// Allow takes a token if there is one and reports whether a retry may be sent.
func (r *Ratio) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, perSecond, burst := r.defaults()
	if r.last.IsZero() {
		// An initial token allows a retry of the first failure of a service.
		r.last, r.tokens = now, max(r.tokens, min(1, burst))
	}
	if d := now.Sub(r.last); d > 0 {
		r.tokens = min(r.tokens+perSecond*d.Seconds(), burst)
		r.last = now
	}
	// Ten times a tenth adds up to slightly less than one in floating point.
	if r.tokens < 1-1e-9 {
		r.denied++
		return false
	}
	r.tokens = max(r.tokens-1, 0)
	return true
}

// Denied returns the number of retries refused since the start.
func (r *Ratio) Denied() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.denied
}

// Bounds of the backoff: the first retry waits at most 5 ms, later ones up to 1 s.
const (
	BackoffBase = 5 * time.Millisecond
	BackoffMax  = time.Second
)

// Backoff returns the delay before the retry with the given number, counted from 1. It is exponential with full jitter.
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
