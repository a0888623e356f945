// Package crclock provides a monotonic clock that counts the time that the machine is suspended. The monotonic clock of
// package time stops during suspension, so a process that measures its lease by it would hold the lease for longer than
// it was granted.
package crclock

import "time"

// The times of this package count from startTime, the time of day at the start of the process, so that they can be
// printed.
var (
	startTime   = time.Now()
	bootAtStart = sinceBoot()
)

// Now returns the current time. Differences between times of this package include suspension of the machine, but no
// adjustments of the time of day. Don't compare these times with times of package time.
func Now() time.Time { return startTime.Round(0).Add(sinceBoot() - bootAtStart) }

// Since returns the time elapsed since t, which must be a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Suspended returns the total time that the machine was suspended since the start of the process, or 0 where no clock
// counts suspension. A call that is delayed between reading the two clocks returns less.
func Suspended() time.Duration {
	elapsed := sinceBoot() - bootAtStart
	return max(0, elapsed-time.Since(startTime))
}
