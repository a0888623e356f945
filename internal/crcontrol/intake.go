package crcontrol

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/crintake"
)

// Shares of the connections that the process accepts from operators and for metrics. The sessions of other processes have
// the descriptors that these leave.
const (
	operatorShare = 0.25
	adminShare    = 0.05
)

// limitClients sets the limits of what the process holds for operators and other processes.
func (c *Control) limitClients() {
	c.intake.MemoryBytes, c.intake.Descriptors, c.intake.Counters = int64(c.Settings.MemoryMB)<<20, c.Settings.MaxFDs, &c.Counters
	c.intake.Log = func(_ time.Time, listener string, bound crintake.Bound) {
		_ = level.Warn(c.Logger).Log("msg", "a limit for clients was reached", "listener", listener, "limit", bound)
	}
	c.Counters.Declare(crintake.CounterNames()...)
	c.Counters.Gauge("intake_bytes", func() any { return c.intake.Used() })
	c.Counters.Gauge("inner_bytes", func() any { return c.endpoint.HeldBytes() })
	c.intake.LimitPeers(c.endpoint, operatorShare+adminShare)
}

// clientListeners returns the listeners for operators and metrics within the budget of what the process holds for them.
func (c *Control) clientListeners() (operator, admin *crintake.Listener) {
	operator = c.intake.Listen(c.Operator, "operator", operatorShare, nil)
	operator.ChargeBodies = true
	return operator, c.intake.Listen(c.Admin, "admin", adminShare, nil)
}
