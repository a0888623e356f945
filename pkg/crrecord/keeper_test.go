package crrecord

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	testGroup = 7
	testMS    = 1_700_000_000_000
)

// testID returns an id of the test group.
func testID(created int64, n uint64) ID {
	for random := n << 32; ; random++ {
		if id := NewID("n1-1", created, random); id.Group() == testGroup {
			return id
		}
	}
}

func at(d time.Duration) Instant {
	return Instant{Elapsed: time.Hour + d, UnixMS: testMS + d.Milliseconds()}
}

func members(names ...string) []Member {
	var out []Member
	for _, n := range names {
		out = append(out, Member{Node: n, Incarnation: "1", Domain: "d" + n})
	}
	return out
}

// started returns keepers that serve epoch 1 of the test group.
func started(names ...string) []*Keeper {
	cfg := Group{Number: testGroup, Epoch: 1, Members: members(names...)}
	var out []*Keeper
	for _, m := range cfg.Members {
		k := &Keeper{Self: m}
		k.Configure(cfg)
		handovers, _ := NewReconfiguration(cfg).Ready()
		k.Install(at(0), cfg, handovers)
		out = append(out, k)
	}
	return out
}

// handOver seals the given keepers for cfg and installs their records at the new keeper k. It reports whether k then
// grants claims.
func handOver(now Instant, k *Keeper, cfg Group, old ...*Keeper) bool {
	k.Configure(cfg)
	r := NewReconfiguration(cfg)
	for range 3 {
		for _, target := range r.Targets() {
			for _, o := range old {
				if h, ok := o.Seal(now, cfg.Number, target.Epoch, target.Next); ok && o.Self.Same(target.Member) {
					r.AddHandover(target, h)
				}
			}
		}
	}
	handovers, ok := r.Ready()
	return ok && k.Install(now, cfg, handovers)
}

var (
	bodyA = DigestOf("ledger", "record", []byte("a"))
	bodyB = DigestOf("ledger", "record", []byte("b"))
)

func claimAt(now Instant, k *Keeper, id ID, d Digest, t Token, epoch uint64) Status {
	return k.Claim(now, Claim{id, d, t, epoch}).Status
}

func complete(now Instant, k *Keeper, id ID, t Token, body string) Status {
	return k.Complete(now, Completion{id, bodyA, t, Answer{Status: 200, Body: []byte(body)}})
}

// TestClaimVerdicts guards against a reply that does not match the keeper's record of an id.
func TestClaimVerdicts(t *testing.T) {
	c := qt.New(t)
	k := started("a")[0]
	id := testID(testMS, 1)
	c.Check(claimAt(at(0), k, id, bodyA, 1, 2), qt.Equals, WrongEpoch)
	c.Check(claimAt(at(0), k, id, bodyA, 1, 1), qt.Equals, Granted)
	c.Check(claimAt(at(0), k, id, bodyA, 1, 1), qt.Equals, Granted, qt.Commentf("a repeated message"))
	c.Check(k.Claim(at(0), Claim{id, bodyA, 2, 1}), qt.DeepEquals, Reply{Status: InProgress, Holder: 1, Epoch: 1})
	c.Check(claimAt(at(0), k, id, bodyB, 3, 1), qt.Equals, OtherDigest)
	c.Check(complete(at(0), k, id, 1, "x"), qt.Equals, Done)
	c.Check(string(k.Claim(at(0), Claim{id, bodyA, 4, 1}).Answer.Body), qt.Equals, "x")
	c.Check(claimAt(at(0), k, id, bodyB, 5, 1), qt.Equals, OtherDigest)
	c.Check(claimAt(at(0), k, testID(testMS+5000, 2), bodyA, 6, 1), qt.Equals, Granted)
	c.Check(claimAt(at(0), k, testID(testMS+5001, 3), bodyA, 7, 1), qt.Equals, Future)
	// If the wall clock jumps back, ids are refused; if it jumps ahead, no record is dropped.
	back, ahead := at(0), at(0)
	back.UnixMS -= 3_600_000
	ahead.UnixMS += 3_600_000
	c.Check(claimAt(back, k, testID(testMS, 4), bodyA, 8, 1), qt.Equals, Future)
	c.Check(k.Expire(ahead), qt.Equals, 0)
	// After the record has expired, its id is still not granted again.
	c.Check(k.Expire(at(Lifetime)), qt.Equals, 2)
	c.Check(claimAt(at(2*time.Hour), k, id, bodyA, 9, 1), qt.Equals, TooOld)
	c.Check(complete(at(2*time.Hour), k, id, 1, "late"), qt.Equals, TooOld)
	c.Check(k.Stats(), qt.Equals, Stats{Groups: 1, Active: 1})
}

// TestReleaseAndDelayedClaim guards against a delayed claim message that reserves the id again after its release, and
// against an unlimited number of tombstones.
func TestReleaseAndDelayedClaim(t *testing.T) {
	c := qt.New(t)
	k := started("a")[0]
	id := testID(testMS, 1)
	k.Release(id, 1)
	c.Check(claimAt(at(0), k, id, bodyA, 1, 1), qt.Equals, Released)
	c.Check(claimAt(at(0), k, id, bodyA, 2, 1), qt.Equals, Granted)
	k.Release(id, 1)
	c.Check(claimAt(at(0), k, id, bodyA, 3, 1), qt.Equals, InProgress, qt.Commentf("a repeated release ends another claim"))
	c.Check(k.Release(id, 2), qt.Equals, Released)
	for i := range Token(maxTombstones) {
		k.Release(id, 100+i)
	}
	c.Check(len(k.tombstones), qt.Equals, maxTombstones)
	c.Check(len(k.tombstoneOrder), qt.Equals, maxTombstones)
	// After its tombstone is evicted, a delayed claim reserves the id for a token that never runs; no other claim is
	// granted.
	c.Check(claimAt(at(0), k, id, bodyA, 1, 1), qt.Equals, Granted)
	c.Check(claimAt(at(0), k, id, bodyA, 9, 1), qt.Equals, InProgress)
}

// TestMemoryBoundRefusesClaims guards against a keeper that drops a record before it expires when the memory limit is
// reached.
func TestMemoryBoundRefusesClaims(t *testing.T) {
	c := qt.New(t)
	k := started("a")[0]
	k.MaxRecords = 2
	for i := range uint64(2) {
		c.Check(claimAt(at(0), k, testID(testMS, i), bodyA, Token(i+1), 1), qt.Equals, Granted)
	}
	c.Check(claimAt(at(0), k, testID(testMS, 3), bodyA, 9, 1), qt.Equals, Full)
	c.Check(claimAt(at(0), k, testID(testMS, 0), bodyA, 9, 1), qt.Equals, InProgress)
	k.MaxRecords, k.MaxBytes = 0, k.Stats().Bytes+10
	c.Check(claimAt(at(0), k, testID(testMS, 3), bodyA, 9, 1), qt.Equals, Full)
	c.Check(complete(at(0), k, testID(testMS, 0), 1, "more than ten bytes"), qt.Equals, Done)
	c.Check(k.Claim(at(0), Claim{testID(testMS, 0), bodyA, 9, 1}).Answer, qt.DeepEquals, Answer{Status: 200, Omitted: true})
}

// TestAnswersLeaveRoomForRecords guards against answers that use up a keeper's memory, so that requests are refused
// for lack of memory for their records.
func TestAnswersLeaveRoomForRecords(t *testing.T) {
	c := qt.New(t)
	k := started("a")[0]
	k.MaxBytes = 200_000
	body := strings.Repeat("x", MaxAnswerBytes)
	for n := range uint64(150) {
		id := testID(testMS, n)
		c.Assert(claimAt(at(0), k, id, bodyA, Token(n+1), 1), qt.Equals, Granted, qt.Commentf("claim %d, %d bytes", n, k.Stats().Bytes))
		c.Assert(complete(at(0), k, id, Token(n+1), body), qt.Equals, Done)
	}
	c.Assert(k.Stats().Bytes > k.MaxBytes/answerMemoryDivisor, qt.IsTrue)
}

// TestUnconfirmedKeeperRefuses guards against grants by a keeper whose group may have a fenced successor.
func TestUnconfirmedKeeperRefuses(t *testing.T) {
	c := qt.New(t)
	k := started("a")[0]
	k.ConfirmWithin = 10 * time.Second
	k.Confirm(at(0))
	c.Check(claimAt(at(10*time.Second-1), k, testID(testMS, 1), bodyA, 1, 1), qt.Equals, Granted)
	c.Check(claimAt(at(10*time.Second), k, testID(testMS, 2), bodyA, 2, 1), qt.Equals, Unconfirmed)
}

// TestHandOverKeepsRecordsAndFence guards against a new keeper that grants an id which the keepers of the old epoch
// granted, dropped or completed.
func TestHandOverKeepsRecordsAndFence(t *testing.T) {
	c := qt.New(t)
	old := started("a", "b", "c")
	dropped, ran, running := testID(testMS, 1), testID(testMS+3000, 2), testID(testMS+3000, 3)
	claimAt(at(0), old[0], dropped, bodyA, 1, 1)
	for i, id := range []ID{ran, running} {
		claimAt(at(time.Minute), old[0], id, bodyA, Token(2+i), 1)
	}
	complete(at(time.Minute), old[0], ran, 2, "x")
	old[0].Expire(at(Lifetime))
	next := Group{Number: testGroup, Epoch: 2, Members: members("d"), Previous: members("a", "b", "c")}
	d := &Keeper{Self: next.Members[0]}
	now := at(Lifetime)
	c.Assert(handOver(now, d, next, old[0]), qt.IsFalse, qt.Commentf("one of three is no majority"))
	c.Check(claimAt(now, d, running, bodyA, 9, 2), qt.Equals, WrongEpoch)
	c.Assert(handOver(now, d, next, old[0], old[1]), qt.IsTrue)
	c.Check(claimAt(now, d, dropped, bodyA, 9, 2), qt.Equals, TooOld)
	c.Check(claimAt(now, d, ran, bodyA, 9, 2), qt.Equals, Done)
	c.Check(claimAt(now, d, running, bodyA, 9, 2), qt.Equals, InProgress)
	c.Check(claimAt(now, old[0], testID(testMS+4000, 4), bodyA, 9, 1), qt.Equals, WrongEpoch, qt.Commentf("sealed"))
	// The sealed keeper accepts a late completion and replies that it must also be sent to the current members.
	c.Check(complete(now, old[0], running, 3, "y"), qt.Equals, WrongEpoch)
	c.Check(old[0].Release(running, 99), qt.Equals, WrongEpoch)
	c.Check(complete(now, d, running, 3, "y"), qt.Equals, Done)
	c.Check(string(d.Claim(now, Claim{running, bodyA, 9, 2}).Answer.Body), qt.Equals, "y")
	// The hand-over preserves the age, so it does not extend a record's lifetime.
	c.Check(d.Expire(at(Lifetime+time.Minute)), qt.Equals, 2)
}

// TestPartitionedKeeperOfOldEpoch guards against a majority that includes a disconnected member which still grants
// claims in the old epoch.
func TestPartitionedKeeperOfOldEpoch(t *testing.T) {
	c := qt.New(t)
	old := started("a", "b", "c")
	next := Group{Number: testGroup, Epoch: 2, Members: members("d", "b", "c"), Previous: members("a", "b", "c")}
	d := &Keeper{Self: next.Members[0]}
	c.Assert(handOver(at(0), d, next, old[1], old[2]), qt.IsTrue)
	id := testID(testMS, 1)
	claimer := NewClaimer(3)
	for i, k := range old {
		claimer.AddReply(i, k.Claim(at(0), Claim{id, bodyA, 1, 1}))
	}
	c.Check(old[0].ActiveEpoch(testGroup), qt.Equals, uint64(1))
	c.Check(claimer.grants, qt.Equals, 1)
	c.Check(claimer.Finish().Code, qt.Equals, crcode.ClaimFailed)
}

// TestFences guards against a fence that allows a second run of an id granted by a lost majority, also if only the
// id's slots are left.
func TestFences(t *testing.T) {
	c := qt.New(t)
	old := started("a", "b", "c")
	id := testID(testMS, 1)
	next := Group{Number: testGroup, Epoch: 2, Members: members("d"), Previous: members("a", "b", "c"), FenceMS: testMS + 35_000}
	d := &Keeper{Self: next.Members[0]}
	c.Assert(handOver(at(0), d, next), qt.IsTrue)
	c.Check(claimAt(at(time.Minute), d, testID(testMS+35_000, 1), bodyA, 1, 2), qt.Equals, TooOld)
	c.Check(claimAt(at(time.Minute), d, testID(testMS+35_001, 1), bodyA, 1, 2), qt.Equals, Granted)

	// Keeper b dropped the claim of the id; keeper a has only its slots.
	_, held := old[0].Take(at(time.Minute), Take{id, 5, 1, 1, 1})
	c.Check(held, qt.Equals, uint64(1))
	claimAt(at(0), old[1], id, bodyA, 1, 1)
	old[1].Expire(at(Lifetime))
	next.FenceMS = 0
	e := &Keeper{Self: next.Members[0]}
	c.Assert(handOver(at(Lifetime), e, next, old[0], old[1]), qt.IsTrue)
	c.Check(claimAt(at(Lifetime), e, id, bodyA, 9, 2), qt.Equals, TooOld)
	s, held := e.Take(at(Lifetime), Take{id, 6, 2, 1, 1})
	c.Check(s == TooOld && held == 0, qt.IsTrue)
}

// TestSecondChangeBeforeHandOver guards against the loss of records when a group changes again before the first
// hand-over completes.
func TestSecondChangeBeforeHandOver(t *testing.T) {
	c := qt.New(t)
	old := started("a", "b", "c")
	id := testID(testMS, 1)
	for _, k := range old[:2] {
		c.Assert(claimAt(at(0), k, id, bodyA, 1, 1), qt.Equals, Granted)
	}
	second := Group{Number: testGroup, Epoch: 2, Members: members("d", "e", "f"), Previous: members("a", "b", "c")}
	var idle []*Keeper
	for _, m := range second.Members {
		k := &Keeper{Self: m}
		k.Configure(second)
		idle = append(idle, k)
	}
	third := Group{Number: testGroup, Epoch: 3, Members: members("g"), Previous: second.Members}
	g := &Keeper{Self: third.Members[0]}
	c.Assert(handOver(at(0), g, third, idle...), qt.IsFalse, qt.Commentf("no keeper that replied has the records"))
	c.Assert(handOver(at(0), g, third, append(idle, old[1], old[2])...), qt.IsTrue)
	c.Check(claimAt(at(0), g, id, bodyA, 2, 3), qt.Equals, InProgress)
	// The skipped epoch cannot start any more.
	c.Check(handOver(at(0), idle[0], second, old...), qt.IsFalse)
	c.Check(claimAt(at(0), idle[0], testID(testMS, 2), bodyA, 3, 2), qt.Equals, WrongEpoch)
}

// TestNewIncarnationIsNoMember guards against a keeper in a new incarnation that grants claims although it has lost
// its records.
func TestNewIncarnationIsNoMember(t *testing.T) {
	c := qt.New(t)
	cfg := Group{Number: testGroup, Epoch: 1, Members: members("a")}
	k := &Keeper{Self: Member{Node: "a", Incarnation: "2"}}
	c.Check(k.Configure(cfg), qt.IsFalse)
	c.Check(k.Install(at(0), cfg, nil), qt.IsFalse)
	c.Check(claimAt(at(0), k, testID(testMS, 1), bodyA, 1, 1), qt.Equals, WrongEpoch)
}

// TestHandOverOfSplitVotes guards against errors when two tokens of one id are handed over: the one that won must
// still be able to complete, and the release of the other must not free the id.
func TestHandOverOfSplitVotes(t *testing.T) {
	c := qt.New(t)
	old := started("a", "b", "c")
	id := testID(testMS, 1)
	claimAt(at(0), old[0], id, bodyA, 1, 1)
	claimAt(at(0), old[1], id, bodyA, 2, 1)
	next := Group{Number: testGroup, Epoch: 2, Members: members("d"), Previous: members("a", "b", "c")}
	d := &Keeper{Self: next.Members[0]}
	c.Assert(handOver(at(0), d, next, old[0], old[1]), qt.IsTrue)
	d.Release(id, 1)
	c.Check(claimAt(at(0), d, id, bodyA, 9, 2), qt.Equals, InProgress)
	c.Check(complete(at(0), d, id, 2, "x"), qt.Equals, Done)
	c.Check(claimAt(at(0), d, id, bodyA, 9, 2), qt.Equals, Done)
}

// TestClaimerDecisions guards against a decision made before it is certain, or changed by a late reply.
func TestClaimerDecisions(t *testing.T) {
	c := qt.New(t)
	inProgress := func(holder Token) Reply { return Reply{Status: InProgress, Holder: holder} }
	status := func(s Status) Reply { return Reply{Status: s} }
	for i, test := range []struct {
		replies []Reply
		code    crcode.Code
		early   bool
	}{
		{[]Reply{status(Granted), status(Granted), status(TooOld)}, crcode.OK, true},
		{[]Reply{status(Granted), status(Done), status(Granted)}, crcode.Replayed, true},
		{[]Reply{status(Granted), inProgress(2), inProgress(2)}, crcode.InProgress, false},
		{[]Reply{status(Granted), inProgress(2), inProgress(3)}, crcode.ClaimFailed, false},
		{[]Reply{status(Granted), inProgress(2), status(Unreachable)}, crcode.InProgress, false},
		{[]Reply{status(OtherDigest), status(Granted), status(Granted)}, crcode.OK, false},
		{[]Reply{status(OtherDigest), status(OtherDigest), status(Granted)}, crcode.IDOtherBody, false},
		{[]Reply{status(TooOld), status(Granted), status(Unreachable)}, crcode.IDTooOld, false},
		{[]Reply{status(Future), status(Future), status(Granted)}, crcode.IDFromFuture, false},
		{[]Reply{status(Future), status(Granted), status(Granted)}, crcode.OK, false},
		{[]Reply{status(Full), status(Full), status(Granted)}, crcode.ClaimFailed, false},
		{[]Reply{status(WrongEpoch), status(Granted), status(WrongEpoch)}, crcode.ClaimFailed, false},
		{[]Reply{status(Granted)}, crcode.OK, true},
		{[]Reply{status(Granted), status(Unreachable)}, crcode.ClaimFailed, false},
	} {
		cl := NewClaimer(len(test.replies))
		for member, r := range test.replies {
			_, early := cl.Decision()
			c.Check(early, qt.Equals, test.early && member == 2, qt.Commentf("case %d", i))
			cl.AddReply(member, r)
			cl.AddReply(member, status(Granted))
		}
		d, ok := cl.Decision()
		c.Check(ok && d.Code == test.code, qt.IsTrue, qt.Commentf("case %d: %s", i, d.Code))
	}
	claimer := NewClaimer(3)
	claimer.AddReply(0, status(Granted))
	claimer.AddReply(0, status(Granted))
	c.Check(claimer.Finish().Code, qt.Equals, crcode.ClaimFailed)
	claimer.AddReply(1, status(Granted))
	claimer.AddReply(2, status(Granted))
	c.Check(claimer.Finish().Code, qt.Equals, crcode.ClaimFailed, qt.Commentf("a late reply changed the decision"))
}

// TestParseIDIsCanonical guards against two spellings of one id, which would create two records.
func TestParseIDIsCanonical(t *testing.T) {
	c := qt.New(t)
	good := "n1-5f3a.1700000000000.00000000000000ff"
	for _, s := range []string{good, good + "/pay", good + "/pay/deeper", "a.b." + good} {
		id, err := ParseID(s)
		c.Assert(err, qt.IsNil)
		c.Check(id.String(), qt.Equals, s)
	}
	for _, s := range []string{
		"", "x", "n1.5", ".5.00000000000000ff", "n1.05.00000000000000ff", "n1.+5.00000000000000ff", "n1.-5.00000000000000ff",
		"n1.5.00000000000000FF", "n1.5.ff", "n 1.5.00000000000000ff", good + "/", good + "/a b", "n1.99999999999999999999.00000000000000ff",
	} {
		_, err := ParseID(s)
		c.Check(crcode.Of(err), qt.Equals, crcode.BadID, qt.Commentf("%q", s))
	}
	id, _ := ParseID(good)
	a, _ := id.Derive("a")
	ab, _ := a.Derive("b")
	c.Check(fmt.Sprint(ab, ab.Group() == id.Group(), ab.Root() == id), qt.Equals, good+"/a/b true true")
	_, err := id.Derive("a/b")
	c.Check(crcode.Of(err), qt.Equals, crcode.BadID)
}
