package cradmin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms.
const (
	// latencyUnit is the resolution of a histogram. The shortest latencies of interest are those of one hop, 0.3 ms.
	latencyUnit = 100 * time.Microsecond
	// maxLatency is the longest latency that is recorded; longer ones are recorded as this value. It is above the longest timeout
	// of a route.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits; 2 keep the error of a value below 1%.
	latencyDigits = 2
	// maxHistograms limits the histograms of a process, which take 12 KB each, to less than 1 MB.
	maxHistograms = 64
)

// latencyBounds are the upper bounds of the buckets that are shown.
var latencyBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	maxLatency,
}

// latencyHistogram is a histogram of latencies that implements expvar.Var.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	sum       time.Duration
	max       time.Duration
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{histogram: hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)}
}

func (l *latencyHistogram) observe(d time.Duration) {
	d = max(d, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += d
	l.max = max(l.max, d)
	// RecordValue fails only for values outside the bounds.
	_ = l.histogram.RecordValue(min(int64(d/latencyUnit), int64(maxLatency/latencyUnit)))
}

// bucket is the number of values up to an upper bound.
type bucket struct {
	AtMostMS float64 `json:"at_most_ms"`
	Count    int64   `json:"count"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// String returns the histogram as JSON: count, sum, quantiles and cumulative buckets, with times in milliseconds.
func (l *latencyHistogram) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	quantile := func(q float64) float64 {
		return milliseconds(time.Duration(l.histogram.ValueAtQuantile(q)) * latencyUnit)
	}
	buckets := make([]bucket, len(latencyBounds))
	for i, b := range latencyBounds {
		buckets[i].AtMostMS = milliseconds(b)
	}
	for _, bar := range l.histogram.Distribution() {
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
	}{l.histogram.TotalCount(), milliseconds(l.sum), quantile(50), quantile(90), quantile(99), milliseconds(l.max), buckets})
	if err != nil {
		// Plain numbers can always be encoded; null is what expvar shows for values that cannot.
		return "null"
	}
	return string(out)
}

// histogram returns the histogram called name and creates it if necessary. It returns nil if there is none and maxHistograms is
// reached.
func (c *Counters) histogram(name string) *latencyHistogram {
	if h, ok := c.vars.Get(name).(*latencyHistogram); ok {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.vars.Get(name).(*latencyHistogram); ok {
		return h
	}
	if c.histograms >= maxHistograms {
		return nil
	}
	c.histograms++
	h := newLatencyHistogram()
	c.vars.Set(name, h)
	return h
}
