package crcoord

import (
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crintake"
)

// Shares of the connections that the process accepts from operators. The sessions of nodes and coordinators have the
// descriptors that these leave.
const (
	apiShare   = 0.25
	adminShare = 0.05
)

// limitClients sets the limits of what the process holds for operators and other processes.
func (c *Coordinator) limitClients() {
	c.intake.MemoryBytes, c.intake.Descriptors, c.intake.Counters = c.Settings.MemoryBytes, c.Settings.MaxDescriptors, &c.Counters
	c.intake.Log = func(now time.Time, listener string, bound crintake.Bound) {
		c.Log.Emit(now, crevent.State, crevent.ClientBounded, crevent.KeyReason, bound, crevent.KeyDetail, listener)
	}
	c.Counters.Declare(crintake.CounterNames()...)
	c.Counters.Gauge("intake_bytes", func() any { return c.intake.Used() })
	c.Counters.Gauge("inner_bytes", func() any { return c.endpoint.HeldBytes() })
	c.intake.LimitPeers(c.endpoint, apiShare+adminShare)
}

// clientListeners returns the listeners for operators and metrics within the budget of clients; admin may be nil.
func (c *Coordinator) clientListeners() (api, admin *crintake.Listener) {
	if c.Admin != nil {
		admin = c.intake.Listen(c.Admin, "admin", adminShare, nil)
	}
	api = c.intake.Listen(c.API, "api", apiShare, nil)
	api.ChargeBodies = true
	return api, admin
}
