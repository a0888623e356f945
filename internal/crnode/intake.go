package crnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/crintake"
)

// callersListener returns the listener for callers within the budget of what the process holds for them.
func (n *Node) callersListener() *crintake.Listener {
	n.intake.MemoryBytes, n.intake.Descriptors, n.intake.Counters = int64(n.Settings.MemoryMB)<<20, n.Settings.MaxFDs, &n.Counters
	n.intake.Log = func(_ time.Time, listener string, bound crintake.Bound) {
		_ = level.Warn(n.Logger).Log("msg", "a limit for callers was reached", "listener", listener, "limit", bound)
	}
	l := n.intake.Listen(n.Callers, "callers", 1, nil)
	l.ChargeBodies = true
	return l
}
