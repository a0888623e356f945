package cradmin

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/pkg/crclock"
)

const (
	// suspensionInterval is the interval at which the clocks are compared.
	suspensionInterval = time.Second
	// minSuspension is the shortest suspension that is reported. Without a suspension, two readings of the clocks differ by less.
	minSuspension = 10 * time.Millisecond
)

// suspensionTracker derives single suspensionTracker from the total time for which the machine was suspended.
type suspensionTracker struct{ reported time.Duration }

// observe returns the suspended time since the last reported suspension, or 0 if it is shorter than minSuspension.
func (s *suspensionTracker) observe(total time.Duration) time.Duration {
	suspended := total - s.reported
	if suspended < minSuspension {
		return 0
	}
	s.reported = total
	return suspended
}

// WatchSuspensions counts suspensions of the machine and passes the length of each to report, until ctx ends. The counters are
// declared at the start, so that they are shown before the first suspension.
func WatchSuspensions(ctx context.Context, counters *Counters, report func(suspended time.Duration)) {
	counters.Declare("suspensions", "suspended_ms")
	var tracker suspensionTracker
	crpause.Every(ctx, suspensionInterval, func() {
		suspended := tracker.observe(crclock.Suspended())
		if suspended == 0 {
			return
		}
		counters.Add("suspensions", 1)
		counters.Add("suspended_ms", suspended.Milliseconds())
		report(suspended)
	})
}
