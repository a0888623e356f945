package cradmin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms.
const (
	// latencyUnit is the precision of a histogram; the shortest times of interest are those of a hop, 0.3 ms.
	latencyUnit = 100 * time.Microsecond
	// maxLatency is the longest time that is told apart, above the longest time-out of a route.
	maxLatency = time.Minute
	// latencyDigits keeps the error of a value below 1%.
	latencyDigits = 2
	// maxLatencies bounds the histograms of a process to under 1 MB, at 12 KB each.
	maxLatencies = 64
)

// latencyBounds are the upper bounds of the counts that are shown.
var latencyBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	maxLatency,
}

// latency is a histogram that expvar can show.
type latency struct {
	mu  sync.Mutex
	all *hdrhistogram.Histogram
	sum time.Duration
	max time.Duration
}

func newLatency() *latency {
	return &latency{all: hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)}
}

func (l *latency) observe(d time.Duration) {
	d = max(d, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += d
	l.max = max(l.max, d)
	// A value within the bounds is always taken.
	_ = l.all.RecordValue(min(int64(d/latencyUnit), int64(maxLatency/latencyUnit)))
}

// bucket is how many values are at most as long as a bound.
type bucket struct {
	AtMostMS float64 `json:"at_most_ms"`
	Count    int64   `json:"count"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// String returns the histogram as JSON: count, sum, quantiles and cumulative counts, times in milliseconds.
func (l *latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	quantile := func(q float64) float64 { return milliseconds(time.Duration(l.all.ValueAtQuantile(q)) * latencyUnit) }
	buckets := make([]bucket, len(latencyBounds))
	for i, b := range latencyBounds {
		buckets[i].AtMostMS = milliseconds(b)
	}
	for _, bar := range l.all.Distribution() {
		for i, b := range latencyBounds {
			if time.Duration(bar.From)*latencyUnit <= b {
				buckets[i].Count += bar.Count
			}
		}
	}
	out, err := json.Marshal(struct {
		Count   int64    `json:"count"`
		SumMS   float64  `json:"sum_ms"`
		P50MS   float64  `json:"p50_ms"`
		P90MS   float64  `json:"p90_ms"`
		P99MS   float64  `json:"p99_ms"`
		MaxMS   float64  `json:"max_ms"`
		Buckets []bucket `json:"buckets"`
	}{l.all.TotalCount(), milliseconds(l.sum), quantile(50), quantile(90), quantile(99), milliseconds(l.max), buckets})
	if err != nil {
		// The values are plain numbers; expvar shows what cannot be encoded as null.
		return "null"
	}
	return string(out)
}

// latency returns the histogram called name, a new one while there are not too many, otherwise nil.
func (c *Counters) latency(name string) *latency {
	if h, ok := c.vars.Get(name).(*latency); ok {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.vars.Get(name).(*latency); ok {
		return h
	}
	if c.latencies >= maxLatencies {
		return nil
	}
	c.latencies++
	h := newLatency()
	c.vars.Set(name, h)
	return h
}
