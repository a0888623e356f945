package crkeeper

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crrecord"
)

// Guards against keepers that don't report to the control leader which members a hand-over waits for.
func TestStates(t *testing.T) {
	nodes := cluster(t, 4)
	old, _ := nodes[0].table.Group(testGroup)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	gate := startNode(t, "gate", "1", "")
	ask := func(n *node) crrecord.GroupState {
		all, err := HandOverStates(ctx, gate.client.Endpoint, n.self(), []uint32{testGroup})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, all, qt.HasLen, 1)
		return all[0]
	}
	qt.Check(t, ask(nodes[0]), qt.DeepEquals, crrecord.GroupState{Number: testGroup, Granting: 1})
	nodes[1].stop()
	nodes[2].stop()
	g := crrecord.Group{Number: testGroup, Epoch: 2, Members: []crrecord.Member{nodes[0].self(), nodes[3].self()}, Previous: old.Members}
	nodes[3].configure(g)
	eventually(t, func() bool { return len(ask(nodes[3]).Missing) == 2 })
	s := ask(nodes[3])
	qt.Check(t, s.Granting, qt.Equals, uint64(0))
	qt.Check(t, s.Pending, qt.Equals, uint64(2))
	qt.Check(t, s.Needed, qt.Equals, 1)
	qt.Check(t, s.Missing[0].Same(nodes[1].self()) && s.Missing[1].Same(nodes[2].self()), qt.IsTrue)
}
