// Package crclock reads a clock that goes on while the machine is suspended. The monotonic readings of package time stand
// still meanwhile, so a lease that is measured by them outlasts what was granted.
package crclock

import "time"

// The times of this package count from origin; it is the time of day then, so that they can be printed.
var (
	origin     = time.Now()
	originBoot = boot()
)

// Now returns the present time. Differences between times of this package count the time that the machine was suspended, but
// no steps of the time of day. Don't compare them with times of package time.
func Now() time.Time { return origin.Round(0).Add(boot() - originBoot) }

// Since returns the time from t, a time of this package, until now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Suspended returns for how long the machine was suspended since the start of the process; it may be less for a moment when
// the process is held up between two readings. Where no clock counts suspension it is 0.
func Suspended() time.Duration {
	counted := boot() - originBoot
	return max(0, counted-time.Since(origin))
}
