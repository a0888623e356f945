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

// TestMain gives the model a fixed seed and keeps no file of a failed case, so that CI returns the same verdict on every run;
// -rapid.seed=0 draws a seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// faults are the operations of the model; the frequent ones stand several times.
var faults = []string{
	"time", "time", "time", "flow", "flow", "flow", "flow", "pick", "pick", "copy", "lose", "propose", "propose",
	"propose", "read", "read", "cut", "heal", "heal", "crash", "tear", "start", "start", "transfer", "replace", "pause", "unlink", "unlink",
	"blackout", "gone", "suspend", "suspend",
}

func (w *world) fault(op string, k int) {
	ids := w.ids()
	s := w.sims[ids[k%len(ids)]]
	switch op {
	case "time":
		w.tick(time.Duration(k%60) * time.Millisecond)
	case "blackout":
		w.blackout()
	case "gone":
		w.gone()
	case "pause":
		w.tick(time.Duration(k%1200) * time.Millisecond)
	case "flow":
		w.settleFor(time.Duration(k%8) * 20 * time.Millisecond)
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
		w.settleFor(d - 50*time.Millisecond)
		w.propose([]byte{byte(k)})
		w.settleFor(40 * time.Millisecond)
		w.read(s)
	case "cut":
		w.side[s.id] = k % 3
	case "unlink":
		other := ids[k/10%len(ids)]
		w.broken[[2]uint64{min(s.id, other), max(s.id, other)}] = true
	case "heal":
		clear(w.side)
		clear(w.broken)
	case "crash":
		s.down = true
	case "tear":
		// The member stops in the middle of an operation: nothing of it was stored or sent.
		if !s.down && !w.asleep(s) {
			_, _, _ = s.node.Propose(w.now(s), []byte("torn"))
			s.down = true
		}
	case "start":
		if s.down && s.rate != 0 {
			w.start(s)
		}
	case "transfer":
		if l := w.leader(); l != nil {
			_ = l.node.Transfer(w.now(l), 0)
			w.run(l)
		}
	case "replace":
		w.replace(s)
	}
}

// replace destroys the disk of a member, when the member list is settled, and adds one with a new id for it.
func (w *world) replace(lost *sim) {
	l := w.leader()
	if l == nil || l == lost {
		return
	}
	st := l.node.Status(w.now(l))
	for _, m := range st.Members {
		if s := w.sims[m.ID]; !st.Settled || s.rate == 0 {
			return
		}
	}
	w.nextID++
	if _, _, err := l.node.ReplaceMember(w.now(l), lost.id, crlog.Member{ID: w.nextID, Address: addr(w.nextID)}); err != nil {
		return
	}
	// A rate of 0 marks a member whose disk is gone.
	lost.down, lost.rate = true, 0
	w.run(l)
	w.add(w.nextID, nil)
}

// Guards against a second leader in a term, two leases at one time, lost acknowledged changes, differing histories and
// stale reads under loss, reordering, duplication, partitions, restarts, clock drift and lost disks.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"))
		w.settleFor(2 * time.Second)
		n := rapid.IntRange(20, 150).Draw(t, "steps")
		for range n {
			w.fault(rapid.SampledFrom(faults).Draw(t, "op"), rapid.IntRange(0, 9999).Draw(t, "k"))
		}
		clear(w.side)
		clear(w.broken)
		w.restartAll()
		w.settleFor(10 * time.Second)
		l := w.leader()
		if l == nil {
			t.Fatalf("no leader after all faults ended")
		}
		if l.applied < w.highest {
			t.Fatalf("the leader holds %d of %d acknowledged entries", l.applied, w.highest)
		}
		st := l.node.Status(w.now(l))
		if !st.Settled {
			t.Fatalf("the member list has not settled: %+v", st)
		}
		for _, m := range st.Members {
			if s := w.sims[m.ID]; s.rate != 0 && (s.applied != l.applied || s.hash != l.hash) {
				t.Fatalf("member %d ends at %d with another state than the leader at %d", m.ID, s.applied, l.applied)
			}
		}
	})
}

// Guards against a commit that counts copies of an entry of an earlier term, which a later leader may still replace.
func TestOldTermIsNotCommittedByCount(t *testing.T) {
	c := qt.New(t)
	members := crlog.Members{{ID: 1, Address: "m1"}, {ID: 2, Address: "m2"}, {ID: 3, Address: "m3"}}
	w := newWorld(t, 1, 3)
	s := w.sims[1]
	s.disk = crlog.State{
		Hard: crlog.HardState{Term: 4}, Snapshot: crlog.Snapshot{Members: members},
		Entries: []crlog.Entry{{Index: 1, Term: 2}, {Index: 2, Term: 2}},
	}
	w.start(s)
	w.elapsed += 2 * time.Second
	s.node.Tick(w.now(s))
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.PreVoteResponse, From: 2, To: 1, Term: 5})
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.VoteResponse, From: 2, To: 1, Term: 5})
	w.run(s)
	st := s.node.Status(w.now(s))
	c.Assert(st.Role, qt.Equals, crlog.Leader)
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.AppendResponse, From: 2, To: 1, Term: 5, Index: 2, Round: 1})
	c.Assert(s.node.Status(w.now(s)).Commit, qt.Equals, uint64(0))
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.AppendResponse, From: 2, To: 1, Term: 5, Index: 3, Round: 1})
	c.Assert(s.node.Status(w.now(s)).Commit, qt.Equals, uint64(3))
}

// Guards against F4: the loss of a second member before a repair has settled must neither lose changes nor allow a
// second history.
func TestSecondLossDuringRepair(t *testing.T) {
	c := qt.New(t)
	for cut := range 40 {
		w := newWorld(t, uint64(cut), 3)
		w.settleFor(2 * time.Second)
		for range 30 {
			_, _, ok := w.propose([]byte("x"))
			c.Assert(ok, qt.IsTrue)
			w.settleFor(20 * time.Millisecond)
		}
		l := w.leader()
		first, second := w.sims[l.id%3+1], w.sims[(l.id+1)%3+1]
		w.replace(first)
		_, _, err := l.node.AddMember(w.now(l), crlog.Member{ID: 9, Address: "m9"})
		c.Assert(crcode.Of(err), qt.Equals, crcode.ChangePending)
		// The second member is lost after a different number of messages each time.
		for range cut {
			if len(w.queue) == 0 {
				w.tick(20 * time.Millisecond)
			} else {
				w.deliver(0, false)
			}
		}
		second.down = true
		acked := w.highest
		w.settleFor(3 * time.Second)
		w.start(second)
		w.settleFor(5 * time.Second)
		l = w.leader()
		c.Assert(l, qt.IsNotNil)
		c.Assert(l.applied >= acked, qt.IsTrue)
		st := l.node.Status(w.now(l))
		c.Assert(st.Settled, qt.IsTrue)
		c.Assert(st.Members, qt.HasLen, 3)
		c.Assert(w.sims[4].hash, qt.Equals, l.hash)
	}
}

// Guards against F2: an isolated leader must stop answering as leader before another one starts.
func TestIsolatedLeaderStops(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 7, 3)
	w.settleFor(2 * time.Second)
	old := w.leader()
	w.side[old.id] = 1
	w.settleFor(1020 * time.Millisecond)
	_, _, err := old.node.Propose(w.now(old), []byte("late"))
	c.Assert(crcode.Of(err), qt.Equals, crcode.NoLeader)
	for w.leader() == nil {
		w.settleFor(20 * time.Millisecond)
	}
	c.Assert(w.elapsed <= 4*time.Second, qt.IsTrue)
	c.Assert(w.leader().id, qt.Not(qt.Equals), old.id)
	w.propose([]byte("new"))
	w.settleFor(100 * time.Millisecond)
	// The old leader has not given up its role, but must not answer a read from its state; run checks that.
	c.Assert(old.node.Status(w.now(old)).Role, qt.Equals, crlog.Leader)
	w.reads[1] = w.highest
	old.node.ReadIndex(w.now(old), 1)
	w.run(old)
}

// Guards against a leader whose machine was suspended, which answers a read from its state before it hears that another one
// was elected and has acknowledged a change; its clock counts that time in one case and not in the other.
func TestReadAfterSuspension(t *testing.T) {
	for _, steady := range []bool{false, true} {
		t.Run(fmt.Sprintf("steady=%v", steady), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, 7, 3)
			w.settleFor(2 * time.Second)
			old := w.leader()
			old.steady = steady
			w.suspend(old, 3*time.Second)
			w.settleFor(2900 * time.Millisecond)
			c.Assert(w.leader().id, qt.Not(qt.Equals), old.id)
			_, _, ok := w.propose([]byte("new"))
			c.Assert(ok, qt.IsTrue)
			w.settleFor(60 * time.Millisecond)
			w.read(old)
			w.settleFor(200 * time.Millisecond)
			_, answered := w.allowed[1]
			c.Assert(answered, qt.IsTrue)
		})
	}
}

// Guards against a core that waits out a lease after a loss of power everywhere, although all members know who held it.
func TestElectionAfterBlackout(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		w := newWorld(t, seed, 5)
		w.settleFor(2 * time.Second)
		old := w.leader()
		w.blackout()
		w.settleFor(300 * time.Millisecond)
		c.Assert(w.leader(), qt.Equals, old)
		_, _, ok := w.propose([]byte("x"))
		c.Assert(ok, qt.IsTrue)
	}
}

// Guards against a core that waits out the lease of a leader whose disk is lost, after a loss of power everywhere, although
// a new process answers in its place.
func TestElectionAfterLostLeader(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3)
		w.settleFor(2 * time.Second)
		old := w.leader()
		old.down, old.rate = true, 0
		w.blackout()
		w.settleFor(100 * time.Millisecond)
		c.Assert(w.leader(), qt.IsNil)
		w.gone()
		w.settleFor(400 * time.Millisecond)
		c.Assert(w.leader(), qt.IsNotNil)
		_, _, ok := w.propose([]byte("x"))
		c.Assert(ok, qt.IsTrue)
	}
}

// Guards against a lease that is dropped for the loss of a member that does not hold it.
func TestGoneBystander(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 3)
	w.settleFor(2 * time.Second)
	leader := w.leader()
	for _, id := range w.ids() {
		s := w.sims[id]
		for _, other := range w.ids() {
			if other != leader.id {
				s.node.Gone(w.now(s), other)
			}
		}
		s.node.Gone(w.now(s), s.id)
	}
	for _, id := range w.ids() {
		if s := w.sims[id]; s != leader {
			w.queue = nil
			s.node.Step(w.now(s), crlog.Message{Kind: crlog.PreVoteRequest, From: 6 - s.id - leader.id, FromAddress: addr(6 - s.id - leader.id), To: s.id, Term: 99})
			w.run(s)
			c.Assert(w.queue[len(w.queue)-1].Reject, qt.IsTrue)
		}
	}
	w.settleFor(time.Second)
	c.Assert(w.leader(), qt.Equals, leader)
}

// Guards against a member that forgets across a restart which leader it has granted a lease, and helps another one.
func TestLeaseAcrossRestart(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 3)
	s := w.sims[1]
	// The member voted for 2 in term 4, which 3 won.
	s.disk.Hard = crlog.HardState{Term: 4, Vote: 2}
	w.start(s)
	s.node.Step(w.now(s), crlog.Message{Kind: crlog.AppendRequest, From: 3, FromAddress: "m3", To: 1, Term: 4, Round: 1})
	w.run(s)
	w.start(s)
	granted := func(candidate uint64) bool {
		w.queue = nil
		s.node.Step(w.now(s), crlog.Message{Kind: crlog.PreVoteRequest, From: candidate, FromAddress: addr(candidate), To: 1, Term: 5})
		w.run(s)
		c.Assert(w.queue, qt.HasLen, 1)
		return !w.queue[0].Reject
	}
	c.Assert(granted(2), qt.IsFalse)
	c.Assert(granted(3), qt.IsTrue)
	// In a term without a vote the member does not know who may hold a lease.
	s.disk.Hard = crlog.HardState{Term: 4}
	w.start(s)
	c.Assert(granted(2), qt.IsFalse)
	c.Assert(granted(3), qt.IsFalse)
	w.tick(1100 * time.Millisecond)
	c.Assert(granted(2), qt.IsTrue)
}

// Guards against a follower that takes a leader without a majority for the present one, because it is cut off together
// with that leader and still hears from it.
func TestFollowerOfIsolatedLeader(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 5, 5)
	w.settleFor(2 * time.Second)
	old := w.leader()
	follower := w.sims[old.id%5+1]
	confirmed := func() bool {
		w.read(follower)
		w.settleFor(60 * time.Millisecond)
		return w.allowed[uint64(len(w.reads))]
	}
	for range 20 {
		c.Assert(confirmed(), qt.IsTrue)
	}
	w.side[old.id], w.side[follower.id] = 1, 1
	for range 20 {
		c.Assert(confirmed(), qt.IsFalse)
	}
	st := follower.node.Status(w.now(follower))
	c.Assert(st.Leader, qt.Equals, old.id)
	c.Assert(st.LastHeardFromLeader < 150*time.Millisecond, qt.IsTrue)
	clear(w.side)
	w.settleFor(3 * time.Second)
	c.Assert(confirmed(), qt.IsTrue)
}

// Guards against a follower that lost only its link to the leader and takes over while the lease lasts.
func TestBrokenLinkDoesNotDepose(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 8, 3)
	w.settleFor(2 * time.Second)
	l := w.leader()
	other := l.id%3 + 1
	w.broken[[2]uint64{min(l.id, other), max(l.id, other)}] = true
	for range 100 {
		w.settleFor(50 * time.Millisecond)
		c.Assert(w.leader(), qt.Equals, l)
	}
}

// Guards against an observer that votes, counts or misses entries, and against unsafe member changes.
func TestObserverAndChanges(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 3, 1)
	w.settleFor(time.Second)
	l := w.leader()
	obs := w.observe(50)
	w.settleFor(time.Second)
	c.Assert(obs.hash, qt.Equals, l.hash)
	c.Assert(l.node.Status(w.now(l)).Observers, qt.Equals, 1)
	w.reads[1] = w.highest
	obs.node.ReadIndex(w.now(obs), 1)
	w.run(obs)

	_, _, err := l.node.AddMember(w.now(l), crlog.Member{ID: 2, Address: addr(2)})
	c.Assert(err, qt.IsNil)
	_, _, err = l.node.RemoveMember(w.now(l), 1)
	c.Assert(crcode.Of(err), qt.Equals, crcode.ChangePending)
	w.settleFor(2 * time.Second)
	// The learner has not started, so it must not count.
	c.Assert(l.node.Status(w.now(l)).Settled, qt.IsFalse)
	c.Assert(l.node.Members().Voters(), qt.DeepEquals, []uint64{1})
	w.add(2, nil)
	w.settleFor(time.Second)
	st := l.node.Status(w.now(l))
	c.Assert(st.Settled, qt.IsTrue)
	c.Assert(st.Members, qt.DeepEquals, crlog.Members{{ID: 1, Address: "m1"}, {ID: 2, Address: "m2"}})
	_, _, err = l.node.AddMember(w.now(l), crlog.Member{ID: 2, Address: addr(2)})
	c.Assert(crcode.Of(err), qt.Equals, crcode.Exists)
	// With two voters the observer must not make up for the missing one.
	w.sims[2].down = true
	before := w.highest
	w.propose([]byte("x"))
	w.settleFor(3 * time.Second)
	c.Assert(w.highest, qt.Equals, before)
}

// Guards against a snapshot that is put together wrongly when its parts are repeated or overtake each other.
func TestSnapshotParts(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 3)
	n := w.sims[1].node
	part := func(offset int, data string) {
		n.Step(w.now(w.sims[1]), crlog.Message{
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

// Guards against a message that panics or loops, whatever another process sends.
func FuzzStep(f *testing.F) {
	f.Add([]byte{byte(crlog.AppendRequest), 2, 9, 0, 0, 1, 1, 0, 0, byte(crlog.SnapshotChunk), 2, 9, 7, 1, 1, 1, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		w := newWorld(t, 1, 3)
		w.settleFor(2 * time.Second)
		for ; len(in) >= 9; in = in[9:] {
			m := crlog.Message{
				Kind: crlog.MessageKind(in[0]), From: uint64(in[1] % 5), Term: uint64(in[2]), Index: uint64(in[3]), LogTerm: uint64(in[4]),
				Hint: uint64(in[5]), Offset: uint64(in[5]), Size: uint64(in[6]), Reject: in[7]&1 > 0, Force: in[7]&2 > 0,
				Round: uint64(in[8]), Commit: uint64(in[8]), Data: in[:in[6]%9],
			}
			for k := range uint64(in[7] / 64) {
				m.Entries = append(m.Entries, crlog.Entry{Index: m.Index + k + 1, Term: uint64(in[4]), Kind: crlog.Kind(in[8] % 3)})
			}
			for _, id := range w.ids() {
				m.To = id
				w.sims[id].node.Step(w.now(w.sims[id]), m)
				w.sims[id].node.Tick(w.now(w.sims[id]))
				rd := w.sims[id].node.Ready()
				w.sims[id].node.Advance(w.now(w.sims[id]), rd)
			}
		}
	})
}
