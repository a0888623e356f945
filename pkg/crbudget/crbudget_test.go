package crbudget_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/crbudget"
)

var t0 = time.Unix(1_800_000_000, 0)

// Guards against more than 1 + R attempts at the home and the record keepers together, with expiry, eviction and resends.
func TestCountersNeverExceedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.IntRange(0, 7).Draw(t, "retries")
		home := &crbudget.RetryCounter{Max: 6, TTL: time.Second}
		keeper := &crbudget.RetryCounter{Max: 6, TTL: time.Second, Fallback: true}
		now, spent, first := t0, map[int]int{}, map[int]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 9).Draw(t, "id")
			id, counter, cost := fmt.Sprint(n), home, 1
			if rapid.Bool().Draw(t, "fallback") {
				counter = keeper
			} else if !first[n] {
				cost = 0
			}
			got, ok := counter.Arrive(now, id, t0.Add(time.Duration(n+1)*200*time.Millisecond), r, rapid.IntRange(0, 9).Draw(t, "want"))
			if !ok {
				continue
			}
			if counter == home {
				first[n] = true
			}
			back := rapid.IntRange(0, got).Draw(t, "back")
			counter.Return(id, back)
			if spent[n] += cost + got - back; spent[n] > r {
				t.Fatalf("id %d got %d extra attempts, bound %d", n, spent[n], r)
			}
			if counter.Len() > 6 {
				t.Fatalf("%d ids kept", counter.Len())
			}
		}
	})
}

// Guards against an evicted id that counts as new, and against a creation time in the future that blocks other ids.
func TestForgottenIDFailsClosed(t *testing.T) {
	c := qt.New(t)
	h := &crbudget.RetryCounter{TTL: time.Second}
	_, ok := h.Arrive(t0, "a", t0, 3, 1)
	c.Assert(ok, qt.IsTrue)
	_, ok = h.Arrive(t0, "future", t0.Add(time.Hour), 3, 1)
	c.Assert(ok, qt.IsFalse)
	for i := range 2 {
		later := t0.Add(time.Duration(i+1) * time.Second)
		_, ok = h.Arrive(later, fmt.Sprint(i), later, 3, 1)
		c.Assert(ok, qt.IsTrue)
	}
	_, ok = h.Arrive(t0.Add(2*time.Second), "a", t0, 3, 1)
	c.Assert(ok, qt.IsFalse)
	c.Assert(h.Fence(), qt.Equals, time.UnixMilli(t0.UnixMilli()))
	h.RaiseFence(t0.Add(5 * time.Second))
	for created, want := range map[time.Duration]bool{5 * time.Second: false, 5001 * time.Millisecond: true} {
		_, ok = h.Arrive(t0.Add(2*time.Second), fmt.Sprint(created), t0.Add(created), 3, 1)
		c.Assert(ok, qt.Equals, want)
	}
}

// Guards against data races and attempts granted twice when goroutines share the counters.
func TestConcurrentUse(t *testing.T) {
	c := qt.New(t)
	home, ratio := crbudget.RetryCounter{}, crbudget.Ratio{Burst: 100}
	var group sync.WaitGroup
	var granted, retried atomic.Int64
	for range 4 {
		group.Go(func() {
			for range 500 {
				n, _ := home.Arrive(t0, "a", t0, 7, 1)
				granted.Add(int64(n))
				if home.Take(t0, "a") {
					granted.Add(1)
				}
				ratio.RecordSuccess()
				if ratio.Allow(t0) {
					retried.Add(1)
				}
			}
		})
	}
	group.Wait()
	c.Assert(granted.Load() <= 4, qt.IsTrue)
	c.Assert(retried.Load() <= 201, qt.IsTrue)
}

// Guards against a return that refunds the attempts charged for arrivals.
func TestReturnKeepsArrivalsPaid(t *testing.T) {
	c := qt.New(t)
	var h crbudget.RetryCounter
	for i := range 5 {
		_, ok := h.Arrive(t0, "a", t0, 3, 0)
		c.Assert(ok, qt.Equals, i < 3)
		h.Return("a", 9)
	}
}

// Guards against a retry storm: without successes only the burst and the constant rate remain, however many successes there
// were before.
func TestRatioBoundsRetries(t *testing.T) {
	c := qt.New(t)
	var r crbudget.Ratio
	r.Allow(t0)
	for range 100_000 {
		r.RecordSuccess()
	}
	allowed := 0
	for i := range 10_000 {
		if r.Allow(t0.Add(time.Duration(i/1000) * time.Second)) {
			allowed++
		}
	}
	c.Assert(allowed <= 20+10, qt.IsTrue, qt.Commentf("%d retries without success in 10 s", allowed))
	allowed = 0
	now := t0.Add(10 * time.Second)
	for range 1000 {
		r.RecordSuccess()
		if r.Allow(now) {
			allowed++
		}
	}
	c.Assert(allowed >= 100 && allowed <= 101, qt.IsTrue, qt.Commentf("%d retries for 1000 successes", allowed))
}

// Guards against a backoff without jitter or above its bound.
func TestBackoffSpreads(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	for attempt := -1; attempt < 80; attempt++ {
		ceiling := min(crbudget.BackoffBase<<min(max(attempt-1, 0), 8), crbudget.BackoffMax)
		low, high := 0, 0
		for range 200 {
			d := crbudget.Backoff(attempt, rnd)
			c.Assert(d >= 0 && d <= ceiling, qt.IsTrue)
			if d < ceiling/2 {
				low++
			} else {
				high++
			}
		}
		c.Assert(low > 60 && high > 60, qt.IsTrue)
	}
}

func BenchmarkArrive(b *testing.B) {
	b.ReportAllocs()
	ids := make([]string, 1<<15)
	for i := range ids {
		ids[i] = fmt.Sprintf("n1-5f3a.%d.0011223344556677", i)
	}
	var h crbudget.RetryCounter
	for i := 0; b.Loop(); i++ {
		h.Arrive(t0, ids[i%len(ids)], t0, 3, 3)
	}
}

func BenchmarkRatio(b *testing.B) {
	b.ReportAllocs()
	var r crbudget.Ratio
	for b.Loop() {
		r.RecordSuccess()
		r.Allow(t0)
	}
}
