package crnode_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// TestDeadlineAfterSuspension guards against a request that runs past its caller's deadline because its node was
// suspended while it held the request (invariants I4 and I5). It must not run at all when the deadline has passed.
func TestDeadlineAfterSuspension(t *testing.T) {
	for _, kind := range []string{"ledger/read", "ledger/record"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			var left atomic.Int64
			// Each reading of the suspension time of a request, except the first, reports that the machine was suspended.
			var readings, suspended atomic.Int64
			o := ledgerOptions(1, func(r *crtest.Run) {
				ms, err := strconv.ParseInt(r.R.Header.Get(crnode.HeaderDeadline), 10, 64)
				if err == nil {
					left.Store(ms)
				}
				r.Answer()
			})
			o.BeforeStart = func(n *crnode.Node) {
				n.Suspended = func() time.Duration {
					if suspended.Load() == 0 || readings.Add(1) == 1 {
						return 0
					}
					return time.Duration(suspended.Load())
				}
			}
			k := crtest.Start(t, o)
			n := k.Nodes[0]
			k.C.Assert(k.Send(n, kind, crtest.Request{ID: n.NewID()}).Code, qt.Equals, crcode.OK)
			suspended.Store(int64(1200 * time.Millisecond))
			k.C.Assert(k.Send(n, kind, crtest.Request{ID: n.NewID()}).Code, qt.Equals, crcode.OK)
			k.C.Check(left.Load() <= 800, qt.IsTrue, qt.Commentf("%d ms", left.Load()))
			ran := k.Runs.Count(kind, n.Name)
			suspended.Store(int64(3 * time.Second))
			readings.Store(0)
			r := k.Send(n, kind, crtest.Request{ID: n.NewID()})
			k.C.Check(r.Code, qt.Equals, crcode.DeadlineExpired, qt.Commentf("%+v", r))
			k.C.Check(k.Runs.Count(kind, n.Name), qt.Equals, ran)
		})
	}
}
