package crlog_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// TestMain runs the property test with a fixed seed and without a file for failed cases, so that every run of CI has the
// same result; -rapid.seed=0 selects a random seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// operations are the operations of TestModel; those that are drawn more often are listed several times.
var operations = []string{
	"time", "time", "time", "flow", "flow", "flow", "flow", "pick", "pick", "copy", "lose", "propose", "propose",
	"propose", "read", "read", "cut", "heal", "heal", "crash", "tear", "start", "start", "transfer", "replace", "pause", "unlink", "unlink",
	"blackout", "gone", "suspend", "suspend",
}

func (w *cluster) injectFault(op string, k int) {
	ids := w.memberIDs()
	s := w.members[ids[k%len(ids)]]
	switch op {
	case "time":
		w.tick(time.Duration(k%60) * time.Millisecond)
	case "blackout":
		w.restartRunning()
	case "gone":
		w.reportLostMembers()
	case "pause":
		w.tick(time.Duration(k%1200) * time.Millisecond)
	case "flow":
		w.runFor(time.Duration(k%8) * 20 * time.Millisecond)
	case "pick", "copy":
		if len(w.queue) > 0 {
			w.deliver(k%len(w.queue), op == "copy")
		}
	case "lose":
		if len(w.queue) > 0 {
			w.queue = append(w.queue[:k%len(w.queue)], w.queue[k%len(w.queue)+1:]...)
		}
	case "propose":
		w.propose([]byte{byte(k)})
	case "read":
		if !s.down {
			w.read(s)
		}
	case "suspend":
		if l := w.leader(); l != nil && k%2 == 0 {
			s = l
		}
		d := time.Second + time.Duration(k%3000)*time.Millisecond
		w.suspend(s, d)
		w.read(s)
		w.runFor(d - 50*time.Millisecond)
		w.propose([]byte{byte(k)})
		w.runFor(40 * time.Millisecond)
		w.read(s)
	case "cut":
		w.partition[s.id] = k % 3
	case "unlink":
		other := ids[k/10%len(ids)]
		w.brokenLinks[[2]uint64{min(s.id, other), max(s.id, other)}] = true
	case "heal":
		clear(w.partition)
		clear(w.brokenLinks)
	case "crash":
		s.down = true
	case "tear":
		// The member crashes before the proposal was stored or sent.
		if !s.down && !w.suspended(s) {
			_, _, _ = s.node.Propose(w.now(s), []byte("torn"))
			s.down = true
		}
	case "start":
		if s.down && s.clockRate != 0 {
			w.start(s)
		}
	case "transfer":
		if l := w.leader(); l != nil {
			_ = l.node.Transfer(w.now(l), 0)
			w.processReady(l)
		}
	case "replace":
		w.replace(s)
	}
}

// replace destroys the disk of a member and replaces the member by one with a new id, if the member list is settled.
func (w *cluster) replace(lost *member) {
	l := w.leader()
	if l == nil || l == lost {
		return
	}
	st := l.node.Status(w.now(l))
	for _, m := range st.Members {
		if s := w.members[m.ID]; !st.Settled || s.clockRate == 0 {
			return
		}
	}
	w.nextID++
	if _, _, err := l.node.ReplaceMember(w.now(l), lost.id, crlog.Member{ID: w.nextID, Address: addr(w.nextID)}); err != nil {
		return
	}
	// A clock rate of 0 marks a member with a lost disk.
	lost.down, lost.clockRate = true, 0
	w.processReady(l)
	w.add(w.nextID, nil)
}

// TestModel guards against two leaders in a term, two leases at the same time, lost acknowledged entries, logs that
// differ and stale reads. It injects message loss, reordering and duplication, partitions, restarts, clock drift,
// suspensions and lost disks.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"))
		w.runFor(2 * time.Second)
		n := rapid.IntRange(20, 150).Draw(t, "steps")
		for range n {
			w.injectFault(rapid.SampledFrom(operations).Draw(t, "op"), rapid.IntRange(0, 9999).Draw(t, "k"))
		}
		clear(w.partition)
		clear(w.brokenLinks)
		w.restartAll()
		w.runFor(10 * time.Second)
		l := w.leader()
		if l == nil {
			t.Fatalf("no leader after all faults ended")
		}
		if l.applied < w.acknowledged {
			t.Fatalf("the leader has applied %d of %d acknowledged entries", l.applied, w.acknowledged)
		}
		st := l.node.Status(w.now(l))
		if !st.Settled {
			t.Fatalf("the member list has not settled: %+v", st)
		}
		for _, m := range st.Members {
			if s := w.members[m.ID]; s.clockRate != 0 && (s.applied != l.applied || s.hash != l.hash) {
				t.Fatalf("member %d after entry %d and the leader after entry %d have different states", m.ID, s.applied, l.applied)
			}
		}
	})
}

// TestOldTermIsNotCommittedByCount guards against an entry of an earlier term that is committed because a majority stores
// it: a later leader may still replace it.
func TestOldTermIsNotCommittedByCount(t *testing.T) {
	c := qt.New(t)
	members := crlog.Members{{ID: 1, Address: "m1"}, {ID: 2, Address: "m2"}, {ID: 3, Address: "m3"}}
	w := newCluster(t, 1, 3)
	s := w.members[1]
	s.disk = crlog.State{
		Hard: crlog.HardState{Term: 4}, Snapshot: crlog.Snapshot{Members: members},
		Entries: []crlog.Entry{{Index: 1, Term: 2}, {Index: 2, Term: 2}},
	}
	w.start(s)
	w.elapsed += 2 * time.Second
	s.node.Tick(w.now(s))
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.PreVoteResponse, From: 2, To: 1, Term: 5})
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.VoteResponse, From: 2, To: 1, Term: 5})
	w.processReady(s)
	st := s.node.Status(w.now(s))
	c.Assert(st.Role, qt.Equals, crlog.Leader)
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.AppendResponse, From: 2, To: 1, Term: 5, Index: 2, Round: 1})
	c.Assert(s.node.Status(w.now(s)).Commit, qt.Equals, uint64(0))
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.AppendResponse, From: 2, To: 1, Term: 5, Index: 3, Round: 1})
	c.Assert(s.node.Status(w.now(s)).Commit, qt.Equals, uint64(3))
}

// TestSecondLossDuringRepair guards against the loss of a second member during the replacement of the first (fault F4)
// that loses entries or lets logs differ.
func TestSecondLossDuringRepair(t *testing.T) {
	c := qt.New(t)
	for cut := range 40 {
		w := newCluster(t, uint64(cut), 3)
		w.runFor(2 * time.Second)
		for range 30 {
			_, _, ok := w.propose([]byte("x"))
			c.Assert(ok, qt.IsTrue)
			w.runFor(20 * time.Millisecond)
		}
		l := w.leader()
		first, second := w.members[l.id%3+1], w.members[(l.id+1)%3+1]
		w.replace(first)
		_, _, err := l.node.AddMember(w.now(l), crlog.Member{ID: 9, Address: "m9"})
		c.Assert(crcode.Of(err), qt.Equals, crcode.ChangePending)
		// Each run loses the second member after another number of messages.
		for range cut {
			if len(w.queue) == 0 {
				w.tick(20 * time.Millisecond)
			} else {
				w.deliver(0, false)
			}
		}
		second.down = true
		acked := w.acknowledged
		w.runFor(3 * time.Second)
		w.start(second)
		w.runFor(5 * time.Second)
		l = w.leader()
		c.Assert(l, qt.IsNotNil)
		c.Assert(l.applied >= acked, qt.IsTrue)
		st := l.node.Status(w.now(l))
		c.Assert(st.Settled, qt.IsTrue)
		c.Assert(st.Members, qt.HasLen, 3)
		c.Assert(w.members[4].hash, qt.Equals, l.hash)
	}
}

// TestIsolatedLeaderStops guards against an isolated leader that still acts as leader when the next one is elected (fault
// F2).
func TestIsolatedLeaderStops(t *testing.T) {
	c := qt.New(t)
	w := newCluster(t, 7, 3)
	w.runFor(2 * time.Second)
	old := w.leader()
	w.partition[old.id] = 1
	w.runFor(1020 * time.Millisecond)
	_, _, err := old.node.Propose(w.now(old), []byte("late"))
	c.Assert(crcode.Of(err), qt.Equals, crcode.NoLeader)
	for w.leader() == nil {
		w.runFor(20 * time.Millisecond)
	}
	c.Assert(w.elapsed <= 4*time.Second, qt.IsTrue)
	c.Assert(w.leader().id, qt.Not(qt.Equals), old.id)
	w.propose([]byte("new"))
	w.runFor(100 * time.Millisecond)
	// The old leader still has its role, but must not answer a read from its state, which processReady checks.
	c.Assert(old.node.Status(w.now(old)).Role, qt.Equals, crlog.Leader)
	w.readFloors[1] = w.acknowledged
	old.node.ReadIndex(w.now(old), 1)
	w.processReady(old)
}

// TestReadAfterSuspension guards against a leader that answers a read from stale state after a suspension of its machine,
// during which another leader was elected and has acknowledged an entry. With steady set, its clock does not count the
// suspension.
func TestReadAfterSuspension(t *testing.T) {
	for _, steady := range []bool{false, true} {
		t.Run(fmt.Sprintf("steady=%v", steady), func(t *testing.T) {
			c := qt.New(t)
			w := newCluster(t, 7, 3)
			w.runFor(2 * time.Second)
			old := w.leader()
			old.clockStops = steady
			w.suspend(old, 3*time.Second)
			w.runFor(2900 * time.Millisecond)
			c.Assert(w.leader().id, qt.Not(qt.Equals), old.id)
			_, _, ok := w.propose([]byte("new"))
			c.Assert(ok, qt.IsTrue)
			w.runFor(60 * time.Millisecond)
			w.read(old)
			w.runFor(200 * time.Millisecond)
			_, answered := w.readAllowed[1]
			c.Assert(answered, qt.IsTrue)
		})
	}
}

// TestElectionAfterBlackout guards against members that wait for the end of a lease after all of them lost power,
// although the leader that held it stands for election again.
func TestElectionAfterBlackout(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		w := newCluster(t, seed, 5)
		w.runFor(2 * time.Second)
		old := w.leader()
		w.restartRunning()
		w.runFor(300 * time.Millisecond)
		c.Assert(w.leader(), qt.Equals, old)
		_, _, ok := w.propose([]byte("x"))
		c.Assert(ok, qt.IsTrue)
	}
}

// TestElectionAfterLostLeader guards against members that wait for the end of the lease of a leader with a lost disk,
// after all of them lost power, although a new process without that disk answers at the leader's address.
func TestElectionAfterLostLeader(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		w := newCluster(t, seed, 3)
		w.runFor(2 * time.Second)
		old := w.leader()
		old.down, old.clockRate = true, 0
		w.restartRunning()
		w.runFor(100 * time.Millisecond)
		c.Assert(w.leader(), qt.IsNil)
		w.reportLostMembers()
		w.runFor(400 * time.Millisecond)
		c.Assert(w.leader(), qt.IsNotNil)
		_, _, ok := w.propose([]byte("x"))
		c.Assert(ok, qt.IsTrue)
	}
}

// TestLossOfNonLeaderKeepsLease guards against a lease that is ignored after the loss of a member that does not hold it.
func TestLossOfNonLeaderKeepsLease(t *testing.T) {
	c := qt.New(t)
	w := newCluster(t, 1, 3)
	w.runFor(2 * time.Second)
	leader := w.leader()
	for _, id := range w.memberIDs() {
		s := w.members[id]
		for _, other := range w.memberIDs() {
			if other != leader.id {
				s.node.MemberLost(w.now(s), other)
			}
		}
		s.node.MemberLost(w.now(s), s.id)
	}
	for _, id := range w.memberIDs() {
		if s := w.members[id]; s != leader {
			w.queue = nil
			s.node.Step(w.now(s), crlog.Message{Kind: crlog.PreVoteRequest, From: 6 - s.id - leader.id, FromAddress: addr(6 - s.id - leader.id), To: s.id, Term: 99})
			w.processReady(s)
			c.Assert(w.queue[len(w.queue)-1].Reject, qt.IsTrue)
		}
	}
	w.runFor(time.Second)
	c.Assert(w.leader(), qt.Equals, leader)
}

// TestLeaseAcrossRestart guards against a member that after a restart votes for another candidate within a lease that it
// granted before the restart.
func TestLeaseAcrossRestart(t *testing.T) {
	c := qt.New(t)
	w := newCluster(t, 1, 3)
	s := w.members[1]
	// The member voted for 2 in term 4, in which 3 was elected.
	s.disk.Hard = crlog.HardState{Term: 4, Vote: 2}
	w.start(s)
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.AppendRequest, From: 3, FromAddress: "m3", To: 1, Term: 4, Round: 1})
	w.processReady(s)
	w.start(s)
	granted := func(candidate uint64) bool {
		w.queue = nil
		s.node.Step(w.now(s), crlog.Message{Kind: crlog.PreVoteRequest, From: candidate, FromAddress: addr(candidate), To: 1, Term: 5})
		w.processReady(s)
		c.Assert(w.queue, qt.HasLen, 1)
		return !w.queue[0].Reject
	}
	c.Assert(granted(2), qt.IsFalse)
	c.Assert(granted(3), qt.IsTrue)
	// Without a stored vote the member does not know which member may hold a lease.
	s.disk.Hard = crlog.HardState{Term: 4}
	w.start(s)
	c.Assert(granted(2), qt.IsFalse)
	c.Assert(granted(3), qt.IsFalse)
	w.tick(1100 * time.Millisecond)
	c.Assert(granted(2), qt.IsTrue)
}

// TestFollowerOfIsolatedLeader guards against a follower whose reads are allowed although its leader has lost the
// majority: both are in the same minority partition, so the follower still gets heartbeats.
func TestFollowerOfIsolatedLeader(t *testing.T) {
	c := qt.New(t)
	w := newCluster(t, 5, 5)
	w.runFor(2 * time.Second)
	old := w.leader()
	follower := w.members[old.id%5+1]
	confirmed := func() bool {
		w.read(follower)
		w.runFor(60 * time.Millisecond)
		return w.readAllowed[uint64(len(w.readFloors))]
	}
	for range 20 {
		c.Assert(confirmed(), qt.IsTrue)
	}
	w.partition[old.id], w.partition[follower.id] = 1, 1
	for range 20 {
		c.Assert(confirmed(), qt.IsFalse)
	}
	st := follower.node.Status(w.now(follower))
	c.Assert(st.Leader, qt.Equals, old.id)
	c.Assert(st.LastHeardFromLeader < 150*time.Millisecond, qt.IsTrue)
	clear(w.partition)
	w.runFor(3 * time.Second)
	c.Assert(confirmed(), qt.IsTrue)
}

// TestBrokenLinkDoesNotDepose guards against a follower that replaces the leader when only the link between the two is
// broken.
func TestBrokenLinkDoesNotDepose(t *testing.T) {
	c := qt.New(t)
	w := newCluster(t, 8, 3)
	w.runFor(2 * time.Second)
	l := w.leader()
	other := l.id%3 + 1
	w.brokenLinks[[2]uint64{min(l.id, other), max(l.id, other)}] = true
	for range 100 {
		w.runFor(50 * time.Millisecond)
		c.Assert(w.leader(), qt.Equals, l)
	}
}

// TestObserverAndChanges guards against an observer that votes, counts for a majority or misses entries, and against
// unsafe member changes.
func TestObserverAndChanges(t *testing.T) {
	c := qt.New(t)
	w := newCluster(t, 3, 1)
	w.runFor(time.Second)
	l := w.leader()
	obs := w.addObserver(50)
	w.runFor(time.Second)
	c.Assert(obs.hash, qt.Equals, l.hash)
	c.Assert(l.node.Status(w.now(l)).Observers, qt.Equals, 1)
	w.readFloors[1] = w.acknowledged
	obs.node.ReadIndex(w.now(obs), 1)
	w.processReady(obs)

	_, _, err := l.node.AddMember(w.now(l), crlog.Member{ID: 2, Address: addr(2)})
	c.Assert(err, qt.IsNil)
	_, _, err = l.node.RemoveMember(w.now(l), 1)
	c.Assert(crcode.Of(err), qt.Equals, crcode.ChangePending)
	w.runFor(2 * time.Second)
	// The learner has not started, so it must not become a voter.
	c.Assert(l.node.Status(w.now(l)).Settled, qt.IsFalse)
	c.Assert(l.node.Members().Voters(), qt.DeepEquals, []uint64{1})
	w.add(2, nil)
	w.runFor(time.Second)
	st := l.node.Status(w.now(l))
	c.Assert(st.Settled, qt.IsTrue)
	c.Assert(st.Members, qt.DeepEquals, crlog.Members{{ID: 1, Address: "m1"}, {ID: 2, Address: "m2"}})
	_, _, err = l.node.AddMember(w.now(l), crlog.Member{ID: 2, Address: addr(2)})
	c.Assert(crcode.Of(err), qt.Equals, crcode.Exists)
	// With one of two voters down, the observer must not count for the majority.
	w.members[2].down = true
	before := w.acknowledged
	w.propose([]byte("x"))
	w.runFor(3 * time.Second)
	c.Assert(w.acknowledged, qt.Equals, before)
}

// TestSnapshotParts guards against a snapshot that is assembled wrongly when its chunks are duplicated or reordered.
func TestSnapshotParts(t *testing.T) {
	c := qt.New(t)
	w := newCluster(t, 1, 3)
	n := w.members[1].node
	part := func(offset int, data string) {
		n.Step(w.now(w.members[1]), crlog.Message{
			Kind: crlog.SnapshotChunk, From: 2, To: 1, Term: 1, Index: 9, LogTerm: 1, Offset: uint64(offset), Size: 6, Data: []byte(data),
		})
	}
	part(3, "def")
	part(0, "abc")
	part(0, "abc")
	c.Assert(n.Ready().Snapshot, qt.IsNil)
	part(3, "def")
	c.Assert(string(n.Ready().Snapshot.Data), qt.Equals, "abcdef")
}

// FuzzStep guards against a message of another process that causes a panic or an endless loop.
func FuzzStep(f *testing.F) {
	f.Add([]byte{byte(crlog.AppendRequest), 2, 9, 0, 0, 1, 1, 0, 0, byte(crlog.SnapshotChunk), 2, 9, 7, 1, 1, 1, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		w := newCluster(t, 1, 3)
		w.runFor(2 * time.Second)
		for ; len(in) >= 9; in = in[9:] {
			m := crlog.Message{
				Kind: crlog.MessageKind(in[0]), From: uint64(in[1] % 5), Term: uint64(in[2]), Index: uint64(in[3]), LogTerm: uint64(in[4]),
				Hint: uint64(in[5]), Offset: uint64(in[5]), Size: uint64(in[6]), Reject: in[7]&1 > 0, Force: in[7]&2 > 0,
				Round: uint64(in[8]), Commit: uint64(in[8]), Data: in[:in[6]%9],
			}
			for k := range uint64(in[7] / 64) {
				m.Entries = append(m.Entries, crlog.Entry{Index: m.Index + k + 1, Term: uint64(in[4]), Kind: crlog.Kind(in[8] % 3)})
			}
			for _, id := range w.memberIDs() {
				m.To = id
				w.members[id].node.Step(w.now(w.members[id]), m)
				w.members[id].node.Tick(w.now(w.members[id]))
				rd := w.members[id].node.Ready()
				w.members[id].node.Advance(w.now(w.members[id]), rd)
			}
		}
	})
}
