package cradmin

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/pkg/crclock"
)

const (
	// suspensionInterval is the time between looks at the clocks.
	suspensionInterval = time.Second
	// minSuspension is the shortest suspension that is reported; two readings of the clocks differ by less.
	minSuspension = 10 * time.Millisecond
)

// suspensions finds out from how long the machine was suspended in all how long it was since the last look.
type suspensions struct{ known time.Duration }

// observe returns the time since the last look for which the machine was suspended, 0 when it is too short to tell.
func (s *suspensions) observe(total time.Duration) time.Duration {
	slept := total - s.known
	if slept < minSuspension {
		return 0
	}
	s.known = total
	return slept
}

// WatchSuspensions counts suspensions of the machine and passes each to report until ctx ends. The counters are shown from the
// start.
func WatchSuspensions(ctx context.Context, counters *Counters, report func(slept time.Duration)) {
	counters.Declare("suspensions", "suspended_ms")
	var seen suspensions
	crpause.Every(ctx, suspensionInterval, func() {
		slept := seen.observe(crclock.Suspended())
		if slept == 0 {
			return
		}
		counters.Add("suspensions", 1)
		counters.Add("suspended_ms", slept.Milliseconds())
		report(slept)
	})
}
