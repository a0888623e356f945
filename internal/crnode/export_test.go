package crnode

import (
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/pkg/crrecord"
)

// ShiftClock returns a function that advances the clock of the node's records; call it before Run.
func (n *Node) ShiftClock() func(time.Duration) {
	n.init()
	var shift atomic.Int64
	real := n.clock
	n.clock = func() crrecord.Instant {
		at, d := real(), time.Duration(shift.Load())
		return crrecord.Instant{Elapsed: at.Elapsed + d, UnixMS: at.UnixMS + d.Milliseconds()}
	}
	return func(d time.Duration) { shift.Add(int64(d)) }
}
