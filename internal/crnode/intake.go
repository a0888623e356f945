package crnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/crintake"
)

// Shares of the connections that the process accepts from callers and for metrics. The sessions of other processes have the
// descriptors that these leave.
const (
	callersShare = 0.5
	adminShare   = 0.05
)

// limitClients sets the limits of what the process holds for callers and other processes.
func (n *Node) limitClients() {
	n.intake.MemoryBytes, n.intake.Descriptors, n.intake.Counters = int64(n.Settings.MemoryMB)<<20, n.Settings.MaxFDs, &n.Counters
	n.intake.Log = func(_ time.Time, listener string, bound crintake.Bound) {
		_ = level.Warn(n.Logger).Log("msg", "a limit for clients was reached", "listener", listener, "limit", bound)
	}
	n.intake.LimitPeers(n.endpoint, callersShare+adminShare)
}

// clientListeners returns the listeners for callers and metrics within the budget of what the process holds for them.
func (n *Node) clientListeners() (callers, admin *crintake.Listener) {
	callers = n.intake.Listen(n.Callers, "callers", callersShare, nil)
	callers.ChargeBodies = true
	return callers, n.intake.Listen(n.Admin, "admin", adminShare, nil)
}
