package crrecord

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWatchStuck guards against a group that waits forever because its members changed again before they granted
// claims. It also guards against a fence while the hand-over can still complete, without enough reports, or while an
// older epoch may still grant claims.
func TestWatchStuck(t *testing.T) {
	c := qt.New(t)
	n := candidates(6, 3)
	members := func(list ...int) (out []Member) {
		for _, i := range list {
			out = append(out, n[i].Member)
		}
		return out
	}
	g := Group{Number: 7, Epoch: 3, Members: members(3, 1, 2), Previous: members(3, 4, 2)}
	waiting := GroupState{Number: 7, Pending: 3, Needed: 1, Missing: members(4, 5)}
	stuck := func(after time.Duration, live []Candidate, s GroupState, from ...int) bool {
		var w HandoverMonitor
		w.Observe(time.Hour, []Group{g})
		w.Observe(time.Hour+after, []Group{g})
		for _, m := range members(from...) {
			w.AddReport(m, s)
		}
		return w.Stuck(time.Hour+after, live)[7] == 3
	}
	c.Check(stuck(FenceDelay, n[:4], waiting, 1, 3), qt.IsTrue)
	c.Check(stuck(FenceDelay-1, n[:4], waiting, 1, 3), qt.IsFalse)
	c.Check(stuck(FenceDelay, n[:5], waiting, 1, 3), qt.IsFalse)
	c.Check(stuck(FenceDelay, n[:4], waiting, 1), qt.IsFalse)
	c.Check(stuck(FenceDelay, n[:4], waiting, 1, 1, 4, 5), qt.IsFalse)
	c.Check(stuck(FenceDelay, n[:4], waiting), qt.IsFalse)
	old := waiting
	old.Pending = 2
	c.Check(stuck(FenceDelay, n[:4], old, 1, 2, 3), qt.IsFalse)
	c.Check(stuck(FenceDelay, n[:4], GroupState{Number: 7, Granting: 3}, 1, 2), qt.IsFalse)
}

// TestAssignStuck guards against a restart with other members, which could lose the records of the previous epoch.
func TestAssignStuck(t *testing.T) {
	c := qt.New(t)
	live := candidates(4, 4)
	all := Assign(Assignment{Live: live})
	a := Assignment{Live: live, Configured: all, NowMS: testMS, Stuck: map[uint32]uint64{7: 1, 8: 2}}
	changed := Assign(a)
	c.Assert(changed, qt.HasLen, 1)
	c.Check(changed[0], qt.DeepEquals, Group{
		Number: 7, Epoch: 2, Members: all[7].Members, Previous: all[7].Members, FenceMS: testMS + FenceMargin.Milliseconds(),
	})
	for i := range a.Live {
		a.Live[i].Leaving = a.Live[i].Member.Same(all[7].Members[0])
	}
	for _, g := range Assign(a) {
		c.Assert(g.FenceMS, qt.Equals, int64(0))
	}
}

// TestRestartRefusesOldIDs guards against a second run after a restart: the id ran in the last epoch that started, two
// keepers of that epoch are gone, and the members of the epoch after it never granted claims.
func TestRestartRefusesOldIDs(t *testing.T) {
	c := qt.New(t)
	now := Instant{Elapsed: time.Hour, UnixMS: testMS}
	live := candidates(6, 6)
	var present []Group
	for _, g := range Assign(Assignment{Live: live}) {
		g.Epoch, g.Previous = 3, []Member{{Node: "gone", Incarnation: "1"}}
		present = append(present, g)
	}
	id := testID(testMS, 1)
	number := id.Group()
	changed := Assign(Assignment{Live: live, Configured: present, NowMS: testMS, Stuck: map[uint32]uint64{number: 3}})
	c.Assert(changed, qt.HasLen, 1)
	for _, m := range changed[0].Members {
		k := &Keeper{Self: m}
		c.Assert(k.Configure(changed[0]), qt.IsTrue)
		handovers, ready := NewReconfiguration(changed[0]).Ready()
		c.Assert(ready && k.Install(now, changed[0], handovers), qt.IsTrue)
		c.Check(k.Claim(now, Claim{ID: id, Token: 1, Epoch: 4}).Status, qt.Equals, TooOld)
		later := Instant{Elapsed: now.Elapsed + FenceMargin, UnixMS: testMS + FenceMargin.Milliseconds()}
		c.Check(k.Claim(later, Claim{ID: testID(later.UnixMS+1, 1), Token: 2, Epoch: 4}).Status, qt.Equals, Granted)
	}
}
