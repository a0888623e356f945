package crspeed

import (
	"math"
	"time"
)

const (
	// kneeBins is the number of ranges of concurrency in which run times are compared.
	kneeBins = 8
	// kneePeriod is the time over which run times of one range are averaged. A single disturbance of half a second
	// changes the mean by less than kneeSpan.
	kneePeriod = 5 * time.Second
	// kneeFall is the time over which the slowness that the server reports in one range follows a lower value: any undisturbed
	// moment in a range shows what the concurrency alone costs.
	kneeFall = 100 * time.Millisecond
	// kneeRuns and kneeObserved are the runs and the time in a range that count as evidence; with exponentially distributed
	// run times 400 runs give the mean within 5%.
	kneeRuns     = 400
	kneeObserved = 2 * time.Second
	// kneeGap is the longest pause between runs that counts as time in a range.
	kneeGap = 100 * time.Millisecond
	// kneeExpiry is how long evidence counts. The limit hides the ranges above it, so that they are tried again after this
	// time.
	kneeExpiry = 30 * time.Second
	// kneeSpan is the ratio of two concurrencies that are compared, and kneeGain the ratio of their throughput up to which the
	// higher one only adds time.
	kneeSpan = 1.3
	kneeGain = 1.1
	// disturbed is the factor of the present slowness from which runs tell nothing about the concurrency.
	disturbed = 1.2
)

// knee holds how long work takes at each range of concurrency, relative to a fixed baseline.
type knee struct {
	bins [kneeBins]struct {
		// relative is the mean of the relative times, running that of the concurrency.
		relative, running, runs float64
		observed                time.Duration
		at                      time.Time
	}
}

// observe records that work took relative times the baseline at a concurrency; values below the mean are followed over the
// time fall.
func (k *knee) observe(now time.Time, running, slots int, relative float64, fall time.Duration) {
	if running < 1 || slots < 1 {
		return
	}
	b := &k.bins[min((running-1)*kneeBins/slots, kneeBins-1)]
	dt := now.Sub(b.at)
	if dt > kneeExpiry {
		b.relative, b.running, b.runs, b.observed = relative, float64(running), 0, 0
	}
	period := kneePeriod
	if relative < b.relative {
		period = fall
	}
	b.runs = b.runs*math.Exp(-max(min(dt, kneeGap), 0).Seconds()/kneePeriod.Seconds()) + 1
	b.observed += min(max(dt, 0), kneeGap)
	b.relative += (relative - b.relative) * max(1/b.runs, weight(min(dt, kneeGap), period))
	b.running += (float64(running) - b.running) * max(1/b.runs, weight(min(dt, kneeGap), kneePeriod))
	b.at = now
}

// limit returns the lowest concurrency from which more runs only add time, between a quarter of the slots and the slots, and
// whether one is known.
func (k *knee) limit(now time.Time, slots int) (int, bool) {
	throughput := func(i int) float64 {
		b := &k.bins[i]
		if b.runs < kneeRuns || b.observed < kneeObserved || now.Sub(b.at) > kneeExpiry || b.relative <= 0 {
			return 0
		}
		return b.running / b.relative
	}
	for low := kneeBins/4 - 1; low < kneeBins; low++ {
		at := throughput(low)
		if at > 0 && k.onlyAddsTime(low, at, throughput) {
			return max((low+1)*slots/kneeBins, 1), true
		}
	}
	return 0, false
}

// onlyAddsTime reports whether the throughput above a range is known and never clearly higher than in it.
func (k *knee) onlyAddsTime(low int, at float64, throughput func(int) float64) bool {
	known := false
	for high := low + 1; high < kneeBins; high++ {
		v := throughput(high)
		if v > kneeGain*at {
			return false
		}
		known = known || v > 0 && k.bins[high].running >= kneeSpan*k.bins[low].running
	}
	return known
}
