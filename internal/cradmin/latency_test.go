package cradmin_test

import (
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/cradmin"
)

type histogram struct {
	Count   int64   `json:"count"`
	SumMS   float64 `json:"sum_ms"`
	P50MS   float64 `json:"p50_ms"`
	P90MS   float64 `json:"p90_ms"`
	P99MS   float64 `json:"p99_ms"`
	MaxMS   float64 `json:"max_ms"`
	Buckets []struct {
		AtMostMS float64 `json:"at_most_ms"`
		Count    int64   `json:"count"`
	} `json:"buckets"`
}

// TestObserve guards against lost or misplaced values under concurrent use, and with negative and too long latencies.
func TestObserve(t *testing.T) {
	var c cradmin.Counters
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for ms := i + 1; ms <= 1000; ms += 4 {
				c.Observe("run_time/ledger", time.Duration(ms)*time.Millisecond)
			}
		})
	}
	wg.Wait()
	c.Observe("run_time/ledger", -time.Second)
	c.Observe("run_time/ledger", time.Hour)
	var out map[string]histogram
	qt.Assert(t, json.Unmarshal([]byte(c.String()), &out), qt.IsNil)
	h := out["run_time/ledger"]
	qt.Assert(t, h.Count, qt.Equals, int64(1002))
	qt.Assert(t, h.SumMS, qt.Equals, 500500+3600000.0)
	qt.Assert(t, h.MaxMS, qt.Equals, 3600000.0)
	for _, q := range []struct{ got, want float64 }{{h.P50MS, 500}, {h.P90MS, 900}, {h.P99MS, 990}} {
		qt.Assert(t, q.got > 0.98*q.want && q.got < 1.02*q.want, qt.IsTrue, qt.Commentf("%v instead of %v", q.got, q.want))
	}
	last := int64(0)
	for _, b := range h.Buckets {
		qt.Assert(t, b.Count >= last, qt.IsTrue, qt.Commentf("counts are cumulative"))
		last = b.Count
		if b.AtMostMS == 100 {
			qt.Assert(t, b.Count >= 99 && b.Count <= 101, qt.IsTrue, qt.Commentf("%d", b.Count))
		}
	}
	qt.Assert(t, last, qt.Equals, int64(1002))
}

// TestObserveBounded guards against memory use that grows with the number of histogram names.
func TestObserveBounded(t *testing.T) {
	var c cradmin.Counters
	for i := range 100 {
		c.Observe("run_time/"+strconv.Itoa(i), time.Millisecond)
	}
	var out map[string]json.RawMessage
	qt.Assert(t, json.Unmarshal([]byte(c.String()), &out), qt.IsNil)
	qt.Assert(t, out, qt.HasLen, 65)
	qt.Assert(t, c.Value("latencies_dropped"), qt.Equals, int64(36))
}

func BenchmarkObserve(b *testing.B) {
	var c cradmin.Counters
	for b.Loop() {
		c.Observe("run_time/ledger", time.Millisecond)
	}
}
