package crspread

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

var t0 = time.Unix(1000, 0)

func filledSource(n int) *memSource {
	src := newSource()
	src.put("common", "", "x")
	for i := range n {
		src.put(fmt.Sprintf("k%d", i), fmt.Sprintf("s%d", i%5), "v")
	}
	return src
}

// Guards against nodes that lack an entry, hold an entry of a service that they don't need, or are reported as having a
// version in force too early.
func TestTreeSpreadsChanges(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filledSource(20)
	s.tree(src, 300)
	s.waitFor(t, 10*time.Second, "all joined", s.inForce(src.Version()))
	s.checkViews(t, src)
	c.Assert(len(s.cores["root"].children), qt.Equals, FanOut)
	src.put("k1", "s1", "")
	v := src.put("k2", "s2", "w")
	took := s.waitFor(t, time.Second, "change in force", s.inForce(v))
	t.Logf("in force on 300 nodes after %v of simulated time", took)
	s.checkViews(t, src)
	s.waitFor(t, time.Second, "acknowledged", func() bool { return s.cores["root"].Progress(s.now).Minimum == v })
	p := s.cores["root"].Progress(s.now)
	c.Assert(p.Nodes, qt.Equals, 300)
	c.Assert(p.Lagging, qt.HasLen, 0)
	c.Assert(p.LaggingMore, qt.Equals, 0)
}

// Guards against a redirect that ignores the failure domain of the joining process or always selects the same child.
func TestRedirectPrefersDomain(t *testing.T) {
	c := qt.New(t)
	src := filledSource(1)
	now := time.Unix(1000, 0)
	root := New(now, Config{Name: "root", Source: src})
	root.Tick(now)
	for i := range FanOut {
		root.ChildJoin(now, uint64(i), &crwire.SpreadJoin{
			Name: fmt.Sprint(i), Address: fmt.Sprint(i), Domain: fmt.Sprintf("d%d", i%8),
		})
	}
	got := map[string]int{}
	for i := range 100 {
		outs := root.ChildJoin(now, 100, &crwire.SpreadJoin{Name: fmt.Sprint("x", i), Domain: "d3"})
		got[outs[0].(SendDown).Message.GetReply().GetAddress()]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"3": 50, "11": 50})
	outs := root.ChildJoin(now, 100, &crwire.SpreadJoin{Name: "y", Domain: "elsewhere"})
	c.Assert(outs[0].(SendDown).Message.GetReply().GetAddress(), qt.Equals, "0")
}

// Guards against a restarted node, or one that changes its parent, which falls back to the older version of a control
// instance that was partitioned long ago.
func TestOlderControlIsRefused(t *testing.T) {
	c := qt.New(t)
	s, src, old := newSim(), filledSource(10), filledSource(10)
	last := old.Version()
	v := src.put("k2", "s2", "w")
	s.add(Config{Name: "good", Source: src})
	s.add(Config{Name: "cut", Source: old})
	old.confirmed = false
	s.add(Config{Name: "n", Controls: []string{"cut", "good"}, Services: []string{"s2"}})
	s.waitFor(t, 2*time.Second, "fresh node takes the confirmed root", s.inForceAt("n", v))
	c.Assert(s.cores["n"].parent.address, qt.Equals, "good")

	// The confirmed root stops. The root with the older version must not become the parent, even if it claims to be
	// confirmed.
	s.kill("good")
	s.advance(20 * time.Second)
	c.Assert(s.cores["n"].counters.Joins, qt.Equals, uint64(1))
	old.confirmed = true
	s.advance(20 * time.Second)
	st := s.cores["n"].Status(s.now)
	c.Assert(st.Version, qt.Equals, v)
	c.Assert(st.Confirmed, qt.IsFalse)
	c.Assert(last.Less(v), qt.IsTrue)
	c.Assert(st.Counters.Older > 0, qt.IsTrue)

	// A batch that leads to an older version is rejected too.
	n := s.cores["n"]
	n.parent = &parentLink{link: 99, path: []string{"cut"}, lastCurrentAt: s.now}
	older := n.counters.Older
	n.ParentMessage(s.now, 99, &crwire.SpreadDown{Batch: &crwire.SpreadBatch{Full: true, To: last.Proto()}})
	c.Assert(n.counters.Older, qt.Equals, older+1)
	c.Assert(n.Version(), qt.Equals, v)
	c.Assert(n.parent, qt.IsNil)
}

func (s *sim) inForceAt(name string, v crconfig.Version) func() bool {
	return func() bool {
		st := s.cores[name].Status(s.now)
		return st.Version == v && st.Confirmed
	}
}

// Guards against a restarted node that accepts a version without asking every control instance, or that does not report
// that the version is unconfirmed.
func TestRestartWithoutConfirmedRoot(t *testing.T) {
	c := qt.New(t)
	s, a, b := newSim(), filledSource(10), filledSource(10)
	v := b.put("k1", "s1", "w")
	a.confirmed, b.confirmed = false, false
	s.add(Config{Name: "a", Source: a})
	s.add(Config{Name: "b", Source: b})
	s.add(Config{Name: "n", Controls: []string{"gone", "a", "b"}, Services: []string{"s1"}})
	s.waitFor(t, 5*time.Second, "highest version", func() bool { return s.cores["n"].Version() == v })
	c.Assert(s.cores["n"].Status(s.now).Confirmed, qt.IsFalse)
	b.confirmed = true
	s.waitFor(t, 2*time.Second, "confirmed later", s.inForceAt("n", v))
}

// Guards against children that count as confirmed below a relay without a connection to the root, and against a subtree
// that never leaves such a relay.
func TestConfirmationIsEndToEnd(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filledSource(5)
	s.add(Config{Name: "root", Source: src})
	s.add(Config{Name: "relay", Controls: []string{"root"}})
	s.waitFor(t, 2*time.Second, "relay", s.inForceAt("relay", src.Version()))
	s.add(Config{Name: "leaf", Controls: []string{"relay"}})
	s.waitFor(t, 2*time.Second, "leaf", s.inForceAt("leaf", src.Version()))
	s.filter = func(from, to string, _ proto.Message) int {
		if from == "root" || to == "root" {
			return 0
		}
		return 1
	}
	s.dead["root"] = true
	s.waitFor(t, UnconfirmedAfter+BatchInterval, "leaf unconfirmed", func() bool {
		return !s.cores["leaf"].Status(s.now).Confirmed
	})
	c.Assert(s.cores["leaf"].parent, qt.IsNotNil)
	age := s.cores["leaf"].Status(s.now).ConfirmedAge
	s.advance(10 * time.Second)
	c.Assert(s.cores["leaf"].Status(s.now).ConfirmedAge, qt.Equals, age+10*time.Second)
	// The leaf gets a second control instance and moves there without losing its state.
	s.add(Config{Name: "root2", Source: src})
	s.cores["leaf"].cfg.Controls = []string{"relay", "root2"}
	s.waitFor(t, 25*time.Second, "leaf moved", s.inForceAt("leaf", src.Version()))
}

// Guards against a delayed heartbeat that makes a confirmation look newer than it is.
func TestDelayedHeartbeatKeepsItsAge(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	n := New(now, Config{Name: "n"})
	n.parent = &parentLink{link: 1, path: []string{"root"}, lastCurrentAt: now}
	h := &crwire.SpreadHeartbeat{Path: []string{"root"}, Confirmed: true, StampUs: 1_000_000, HeldUs: 500_000, ConfirmedAgeUs: 100_000}
	n.ParentMessage(now.Add(9*time.Second), 1, &crwire.SpreadDown{Heartbeat: h})
	st := n.Status(now.Add(9 * time.Second))
	c.Assert(st.ConfirmedAge, qt.Equals, 7600*time.Millisecond)
	c.Assert(st.Confirmed, qt.IsFalse)
}

// Guards against the loss of a relay that loses the state of its subtree, or that lets a version count as in force too
// early.
func TestRelayGoes(t *testing.T) {
	for _, planned := range []bool{false, true} {
		t.Run(fmt.Sprint("planned ", planned), func(t *testing.T) {
			c := qt.New(t)
			s, src := newSim(), filledSource(10)
			s.tree(src, 100)
			s.waitFor(t, 10*time.Second, "all joined", s.inForce(src.Version()))
			root, victim := s.cores["root"], ""
			for _, ch := range root.children {
				if len(s.cores[ch.name].children) > 2 {
					victim = ch.name
				}
			}
			if planned {
				s.perform(victim, s.cores[victim].Leave(s.now))
				s.step()
			}
			s.kill(victim)
			s.step()
			c.Assert(root.Progress(s.now).Lost >= len(s.cores[victim].children), qt.IsTrue)
			v := src.put("k1", "s1", "w")
			s.afterStep = func() {
				if root.Progress(s.now).Minimum == v {
					c.Assert(s.inForce(v)(), qt.IsTrue)
				}
			}
			s.waitFor(t, 5*time.Second, "in force after rejoin", s.inForce(v))
			s.waitFor(t, lostChildHold+time.Second, "acknowledged", func() bool { return root.Progress(s.now).Minimum == v })
			s.checkViews(t, src)
		})
	}
}

// Guards against a cycle: two relays that become descendants of each other.
func TestCycleIsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	n := New(now, Config{Name: "n", Controls: []string{"x"}})
	n.Tick(now)
	outs := n.Tick(now.Add(time.Second))
	open := outs[0].(OpenParent)
	n.ParentMessage(now, open.Link, &crwire.SpreadDown{Reply: &crwire.SpreadJoinReply{Verdict: verdictAccepted, Path: []string{"root", "n", "x"}}})
	c.Assert(n.parent, qt.IsNil)
	c.Assert(n.counters.Cycles, qt.Equals, uint64(1))

	n.parent = &parentLink{link: 9, path: []string{"root"}, lastCurrentAt: now}
	outs = n.ChildJoin(now, 1, &crwire.SpreadJoin{Name: "root", AllowUnconfirmed: true})
	c.Assert(outs[0].(SendDown).Message.GetReply().GetVerdict(), qt.Equals, verdictCycle)
	n.ParentMessage(now, 9, &crwire.SpreadDown{Heartbeat: &crwire.SpreadHeartbeat{Path: []string{"root", "n", "y"}}})
	c.Assert(n.parent, qt.IsNil)
	c.Assert(n.counters.Cycles, qt.Equals, uint64(3))
	outs = n.ChildJoin(now, 2, &crwire.SpreadJoin{Name: "z"})
	c.Assert(outs[0].(SendDown).Message.GetReply().GetVerdict(), qt.Equals, verdictNotReady)
}

// Guards against a wrong view that persists: the digest must reveal it and the whole view be sent again.
func TestDigestMismatchLeadsToResync(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filledSource(10)
	s.tree(src, 3)
	s.waitFor(t, 5*time.Second, "joined", s.inForce(src.Version()))
	n := s.cores["n001"]
	n.store.byKey["common"].Value = []byte("damaged")
	sec := n.store.sections[""]
	sec.digest = crconfig.EntryDigest(n.store.byKey["common"])
	v := src.put("k2", "s2", "w")
	s.waitFor(t, 3*time.Second, "resynced", s.inForce(v))
	c.Assert(n.counters.DigestErrors, qt.Equals, uint64(1))
	c.Assert(n.counters.Resyncs, qt.Equals, uint64(1))
	s.checkViews(t, src)
}

// Guards against tombstones that accumulate without bound, and against deletions that a node misses while it is cut off.
func TestTombstonesAreBounded(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filledSource(10)
	s.tree(src, 2)
	s.waitFor(t, 5*time.Second, "joined", s.inForce(src.Version()))
	s.filter = func(from, _ string, _ proto.Message) int {
		if from == "root" {
			return 0
		}
		return 1
	}
	src.put("k1", "s1", "")
	for i := range 2 * maxChanges {
		src.put(fmt.Sprint("churn", i), "s3", "x")
		src.put(fmt.Sprint("churn", i), "s3", "")
		if i%1000 == 0 {
			s.advance(500 * time.Millisecond)
		}
	}
	s.advance(parentTimeout)
	s.filter = nil
	s.waitFor(t, 15*time.Second, "caught up", s.inForce(src.Version()))
	// The versions of the nodes were older than the kept changes, so the nodes needed the whole view; no wrong delta was
	// sent.
	c.Assert(s.cores["n001"].counters.DigestErrors, qt.Equals, uint64(0))
	c.Assert(len(s.cores["root"].store.changes) <= maxChanges, qt.IsTrue)
	s.checkViews(t, src)
}

// Guards against a large configuration that exceeds the maximum message size or is applied only in part.
func TestLargeViewComesInParts(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filledSource(10)
	for i := range 50 {
		src.put(fmt.Sprint("large", i), "", strings.Repeat("x", 60_000))
	}
	parts := 0
	s.filter = func(_, _ string, m proto.Message) int {
		c.Assert(proto.Size(m) <= crwire.MaxMessageBytes/2, qt.IsTrue)
		if d, ok := m.(*crwire.SpreadDown); ok && d.GetBatch() != nil {
			// Drops one part in the middle, once.
			if parts++; parts == 3 {
				return 0
			}
		}
		return 1
	}
	s.tree(src, 1)
	s.waitFor(t, 5*time.Second, "whole view", s.inForce(src.Version()))
	c.Assert(s.cores["n000"].counters.BatchesApplied, qt.Equals, uint64(1))
	s.checkViews(t, src)
}

// Guards against lagging nodes that are neither named nor counted, and against an unbounded list of names.
func TestLaggingNodesAreNamed(t *testing.T) {
	c := qt.New(t)
	src := filledSource(10)
	root := New(t0, Config{Name: "root", Source: src})
	root.Tick(t0)
	now, old := src.Version().Proto(), crconfig.Version{Epoch: 1, Index: 3}
	for i, up := range []*crwire.SpreadUp{
		{Version: now, Minimum: now, Count: 30},
		{Version: now, Minimum: old.Proto(), Count: 20, Lagging: []*crwire.SpreadLagging{{Name: "x", Version: old.Proto()}}},
		{Version: old.Proto(), Minimum: old.Proto(), Count: 100},
	} {
		root.ChildJoin(t0, uint64(i), &crwire.SpreadJoin{Name: fmt.Sprint("child", i)})
		root.ChildAck(t0, uint64(i), up)
	}
	p := root.Progress(t0)
	c.Assert(p.Nodes, qt.Equals, 150)
	c.Assert(p.Minimum, qt.Equals, old)
	c.Assert(p.Lagging, qt.DeepEquals, []Lagging{{"child2", old}, {"x", old}})
	c.Assert(p.LaggingMore, qt.Equals, 99)
	many := &crwire.SpreadUp{Version: now, Minimum: old.Proto(), Count: 200}
	for i := range 2 * MaxLagging {
		many.Lagging = append(many.Lagging, &crwire.SpreadLagging{Name: fmt.Sprint(i), Version: old.Proto()})
	}
	root.ChildAck(t0, 0, many)
	p = root.Progress(t0)
	c.Assert(p.Lagging, qt.HasLen, MaxLagging)
	c.Assert(p.LaggingMore+len(p.Lagging), qt.Equals, 101+2*MaxLagging)
}

// Guards against join storms after the loss of all roots: the rate of join attempts must stay bounded, and the nodes
// must rejoin when a root comes back.
func TestNoJoinStorm(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filledSource(10)
	s.tree(src, 300)
	s.waitFor(t, 10*time.Second, "all joined", s.inForce(src.Version()))
	attempts := func() (n uint64) {
		for _, core := range s.cores {
			n += core.counters.Attempts
		}
		return n
	}
	s.kill("root")
	s.advance(10 * time.Second)
	before := attempts()
	s.advance(20 * time.Second)
	// Full jitter over 10 s gives one attempt per node every 5 s on average; the bound is twice that rate.
	c.Assert(attempts()-before < 300*20/5*2, qt.IsTrue, qt.Commentf("%d attempts", attempts()-before))
	s.add(Config{Name: "root", Source: src})
	s.waitFor(t, 25*time.Second, "back", s.inForce(src.Version()))
}

// Guards against versions that go backwards, views that differ from the source, and changes that never arrive, under lost
// and duplicated messages, relay crashes, restarts and changed subscriptions.
func TestTreeSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, src := newSim(), filledSource(10)
		s.tree(src, 40)
		loss := rapid.IntRange(0, 10).Draw(r, "loss percent")
		random := rapid.Uint32().Draw(r, "seed")
		s.filter = func(_, _ string, _ proto.Message) int {
			random = random*1664525 + 1013904223
			switch p := int(random>>8) % 100; {
			case p < loss:
				return 0
			case p < 2*loss:
				return 2
			}
			return 1
		}
		highest := map[*Core]crconfig.Version{}
		s.afterStep = func() {
			for name, core := range s.cores {
				v := core.Version()
				if v.Less(highest[core]) || src.Version().Less(v) {
					r.Fatalf("%s went from %v to %v", name, highest[core], v)
				}
				highest[core] = v
			}
		}
		for range rapid.IntRange(5, 20).Draw(r, "steps") {
			name := fmt.Sprintf("n%03d", rapid.IntRange(0, 39).Draw(r, "node"))
			service := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(r, "service"))
			switch rapid.SampledFrom([]string{"put", "delete", "kill", "subscribe"}).Draw(r, "op") {
			case "put":
				src.put(fmt.Sprintf("k%s%d", service, random%7), service, fmt.Sprint(random))
			case "delete":
				src.put(fmt.Sprintf("k%s%d", service, random%7), service, "")
			case "kill":
				s.kill(name)
				s.advance(time.Duration(20+random%500) * time.Millisecond)
				s.add(Config{Name: name, Controls: []string{"root"}, Services: []string{service}})
			case "subscribe":
				s.perform(name, s.cores[name].Subscribe([]string{service, "s1"}))
			}
			s.advance(time.Duration(rapid.IntRange(0, 1000).Draw(r, "ms")) * time.Millisecond)
		}
		s.filter = nil
		s.waitFor(t, 30*time.Second, "settled", s.inForce(src.Version()))
		s.checkViews(t, src)
	})
}
