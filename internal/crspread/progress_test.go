package crspread

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// Guards against acknowledgements that name every node during a burst of changes, and against acknowledgements that never
// name a node that keeps lagging.
func TestAcknowledgementsNameOnlyWhatStaysBehind(t *testing.T) {
	c := qt.New(t)
	src, now := filledSource(10), t0
	root := New(now, Config{Name: "root", Source: src})
	root.Tick(now)
	root.ChildJoin(now, 1, &crwire.SpreadJoin{Name: "child"})
	up := func(v crconfig.Version) *crwire.SpreadUp {
		root.ChildAck(now, 1, &crwire.SpreadUp{Version: v.Proto(), Minimum: v.Proto(), Count: 1})
		return root.aggregateAck(now)
	}
	// The child applies each change one interval after the commit.
	behind := src.Version()
	for i := range 3 * int(HeartbeatInterval/BatchInterval) {
		now = now.Add(BatchInterval)
		last := src.put(fmt.Sprint("burst", i), "", "w")
		root.Tick(now)
		u := up(behind)
		c.Assert(u.GetLagging(), qt.HasLen, 0)
		c.Assert(u.GetLaggingMore(), qt.Equals, uint32(1))
		behind = last
	}
	before := crconfig.Version{Epoch: behind.Epoch, Index: behind.Index - 1}
	now = now.Add(HeartbeatInterval)
	root.Tick(now)
	u := up(before)
	c.Assert(u.GetLagging(), qt.HasLen, 1)
	c.Assert(u.GetLagging()[0].GetName(), qt.Equals, "child")
	c.Assert(u.GetLaggingMore(), qt.Equals, uint32(0))
	c.Assert(len(root.history) <= int(HeartbeatInterval/BatchInterval)+2, qt.IsTrue)
}
