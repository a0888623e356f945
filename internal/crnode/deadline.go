package crnode

import "time"

// deadline is the time at which a call must have ended. It keeps running while the machine is suspended.
type deadline struct {
	at time.Time
	// suspended is the total suspension time of the machine when the call arrived.
	suspended time.Duration
}

// remaining returns the time until the deadline, given the total suspension time so far.
func (d deadline) remaining(now time.Time, suspended time.Duration) time.Duration {
	return d.at.Sub(now) - (suspended - d.suspended)
}

// deadlineIn returns the deadline of a call that arrives now.
func (n *Node) deadlineIn(left time.Duration) deadline {
	return deadline{time.Now().Add(left), n.Suspended()}
}

// remaining returns the time until the deadline of a call.
func (n *Node) remaining(d deadline) time.Duration { return d.remaining(time.Now(), n.Suspended()) }
