package crforward

import (
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crexchange"
	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/internal/crpipeline"
)

// Shares of the connections that the process accepts. Clients have the most; the control listener has one backend server.
const (
	entranceShare = 0.5
	inboundShare  = 0.3
	controlShare  = 0.1
	readyShare    = 0.05
	adminShare    = 0.05
)

// listeners are the listeners of a node within the budget of its clients; admin may be nil.
type listeners struct{ entrance, inbound, control, ready, admin *crintake.Listener }

// listeners wraps the listeners of the node.
func (n *Node) listeners() listeners {
	n.intake.MemoryBytes, n.intake.Descriptors, n.intake.Counters = n.Settings.MemoryBytes, n.Settings.MaxDescriptors, &n.Counters
	n.intake.Log = func(now time.Time, listener string, bound crintake.Bound) {
		n.Log.Emit(now, crevent.State, crevent.ClientBounded, crevent.KeyReason, bound, crevent.KeyDetail, listener)
	}
	l := listeners{
		entrance: n.intake.Listen(crpipeline.Listen(crexchange.Listen(n.Entrance)), "entrance", entranceShare, n.headerLimit),
		inbound:  n.intake.Listen(crexchange.Listen(n.Inbound), "inbound", inboundShare, nil),
		control:  n.intake.Listen(n.Control, "control", controlShare, nil),
		ready:    n.intake.Listen(n.Ready, "ready", readyShare, nil),
	}
	l.control.ChargeBodies = true
	if n.Admin != nil {
		l.admin = n.intake.Listen(n.Admin, "admin", adminShare, nil)
	}
	return l
}

// headerLimit returns the largest size of the head of a client's request, by the configuration in force.
func (n *Node) headerLimit() int {
	if t := n.table.Load(); t != nil && t.Limits().HeaderBytes > 0 {
		return min(t.Limits().HeaderBytes, maxHeaderBytes)
	}
	return maxHeaderBytes
}
