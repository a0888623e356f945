package crnode

import "time"

// deadline is when a call must have ended. Its time goes on while the machine is suspended.
type deadline struct {
	at time.Time
	// suspended is for how long the machine had been suspended when the call came.
	suspended time.Duration
}

// left returns the time until the deadline of a machine that was suspended for so long in all.
func (d deadline) left(now time.Time, suspended time.Duration) time.Duration {
	return d.at.Sub(now) - (suspended - d.suspended)
}

// deadlineIn returns the deadline of a call that comes now.
func (n *Node) deadlineIn(left time.Duration) deadline {
	return deadline{time.Now().Add(left), n.Suspended()}
}

// left returns the time that a call has left.
func (n *Node) left(d deadline) time.Duration { return d.left(time.Now(), n.Suspended()) }
