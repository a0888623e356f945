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

func filled(n int) *memSource {
	src := newSource()
	src.put("common", "", "x")
	for i := range n {
		src.put(fmt.Sprintf("k%d", i), fmt.Sprintf("s%d", i%5), "v")
	}
	return src
}

// Guards against nodes that miss an entry, hold a foreign one, or count as in force before they are.
func TestTreeSpreadsChanges(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filled(20)
	s.tree(src, 300)
	s.until(t, 10*time.Second, "all joined", s.inForce(src.Version()))
	s.checkViews(t, src)
	c.Assert(len(s.cores["root"].children), qt.Equals, FanOut)
	src.put("k1", "s1", "")
	v := src.put("k2", "s2", "w")
	took := s.until(t, time.Second, "change in force", s.inForce(v))
	t.Logf("in force on 300 nodes after %v of simulated time", took)
	s.checkViews(t, src)
	s.until(t, time.Second, "root knows", func() bool { return s.cores["root"].Progress(s.now).Minimum == v })
	p := s.cores["root"].Progress(s.now)
	c.Assert(p.Nodes, qt.Equals, 300)
	c.Assert(p.Lagging, qt.HasLen, 0)
	c.Assert(p.LaggingMore, qt.Equals, 0)
}

// Guards against a redirect that ignores the joiner's failure domain or always picks the same child.
func TestRedirectPrefersDomain(t *testing.T) {
	c := qt.New(t)
	src := filled(1)
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

// Guards against a restarted or moved node that falls back to the older version of a control instance cut off long ago.
func TestOlderControlIsRefused(t *testing.T) {
	c := qt.New(t)
	s, src, old := newSim(), filled(10), filled(10)
	last := old.Version()
	v := src.put("k2", "s2", "w")
	s.add(Config{Name: "good", Source: src})
	s.add(Config{Name: "cut", Source: old})
	old.confirmed = false
	s.add(Config{Name: "n", Controls: []string{"cut", "good"}, Services: []string{"s2"}})
	s.until(t, 2*time.Second, "fresh node takes the confirmed root", s.inForceAt("n", v))
	c.Assert(s.cores["n"].parent.address, qt.Equals, "good")

	// The confirmed root goes; the one with the older version must not be taken, even if it claims confirmation.
	s.kill("good")
	s.pass(20 * time.Second)
	c.Assert(s.cores["n"].counts.Joins, qt.Equals, uint64(1))
	old.confirmed = true
	s.pass(20 * time.Second)
	st := s.cores["n"].Status(s.now)
	c.Assert(st.Version, qt.Equals, v)
	c.Assert(st.Confirmed, qt.IsFalse)
	c.Assert(last.Less(v), qt.IsTrue)
	c.Assert(st.Counters.Older > 0, qt.IsTrue)

	// A batch that leads backwards is refused too.
	n := s.cores["n"]
	n.parent = &parentLink{link: 99, path: []string{"cut"}, lastGood: s.now}
	older := n.counts.Older
	n.ParentDown(s.now, 99, &crwire.SpreadDown{Batch: &crwire.SpreadBatch{Full: true, To: last.Wire()}})
	c.Assert(n.counts.Older, qt.Equals, older+1)
	c.Assert(n.Version(), qt.Equals, v)
	c.Assert(n.parent, qt.IsNil)
}

func (s *sim) inForceAt(name string, v crconfig.Version) func() bool {
	return func() bool {
		st := s.cores[name].Status(s.now)
		return st.Version == v && st.Confirmed
	}
}

// Guards against a restarted node that starts without asking every control instance, or hides that nobody confirms.
func TestRestartWithoutConfirmedRoot(t *testing.T) {
	c := qt.New(t)
	s, a, b := newSim(), filled(10), filled(10)
	v := b.put("k1", "s1", "w")
	a.confirmed, b.confirmed = false, false
	s.add(Config{Name: "a", Source: a})
	s.add(Config{Name: "b", Source: b})
	s.add(Config{Name: "n", Controls: []string{"gone", "a", "b"}, Services: []string{"s1"}})
	s.until(t, 5*time.Second, "highest version", func() bool { return s.cores["n"].Version() == v })
	c.Assert(s.cores["n"].Status(s.now).Confirmed, qt.IsFalse)
	b.confirmed = true
	s.until(t, 2*time.Second, "confirmed later", s.inForceAt("n", v))
}

// Guards against children that believe a relay which is cut off from the root, and against a subtree that stays there.
func TestConfirmationIsEndToEnd(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filled(5)
	s.add(Config{Name: "root", Source: src})
	s.add(Config{Name: "relay", Controls: []string{"root"}})
	s.until(t, 2*time.Second, "relay", s.inForceAt("relay", src.Version()))
	s.add(Config{Name: "leaf", Controls: []string{"relay"}})
	s.until(t, 2*time.Second, "leaf", s.inForceAt("leaf", src.Version()))
	s.filter = func(from, to string, _ proto.Message) int {
		if from == "root" || to == "root" {
			return 0
		}
		return 1
	}
	s.dead["root"] = true
	s.until(t, UnconfirmedAfter+BatchInterval, "leaf unconfirmed", func() bool {
		return !s.cores["leaf"].Status(s.now).Confirmed
	})
	c.Assert(s.cores["leaf"].parent, qt.IsNotNil)
	age := s.cores["leaf"].Status(s.now).ConfirmedAge
	s.pass(10 * time.Second)
	c.Assert(s.cores["leaf"].Status(s.now).ConfirmedAge, qt.Equals, age+10*time.Second)
	// The leaf gets a second way; it moves without losing its state.
	s.add(Config{Name: "root2", Source: src})
	s.cores["leaf"].cfg.Controls = []string{"relay", "root2"}
	s.until(t, 25*time.Second, "leaf moved", s.inForceAt("leaf", src.Version()))
}

// Guards against a confirmation that a delayed heartbeat makes look recent.
func TestDelayedHeartbeatKeepsItsAge(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	n := New(now, Config{Name: "n"})
	n.parent = &parentLink{link: 1, path: []string{"root"}, lastGood: now}
	h := &crwire.SpreadHeartbeat{Path: []string{"root"}, Confirmed: true, StampUs: 1_000_000, HeldUs: 500_000, ConfirmedAgeUs: 100_000}
	n.ParentDown(now.Add(9*time.Second), 1, &crwire.SpreadDown{Heartbeat: h})
	st := n.Status(now.Add(9 * time.Second))
	c.Assert(st.ConfirmedAge, qt.Equals, 7600*time.Millisecond)
	c.Assert(st.Confirmed, qt.IsFalse)
}

// Guards against a lost relay that takes its subtree's state with it, or that makes a version look in force early.
func TestRelayGoes(t *testing.T) {
	for _, planned := range []bool{false, true} {
		t.Run(fmt.Sprint("planned ", planned), func(t *testing.T) {
			c := qt.New(t)
			s, src := newSim(), filled(10)
			s.tree(src, 100)
			s.until(t, 10*time.Second, "all joined", s.inForce(src.Version()))
			root, victim := s.cores["root"], ""
			for _, ch := range root.children {
				if len(s.cores[ch.name].children) > 2 {
					victim = ch.name
				}
			}
			if planned {
				s.run(victim, s.cores[victim].Leave(s.now))
				s.step()
			}
			s.kill(victim)
			s.step()
			c.Assert(root.Progress(s.now).Lost >= len(s.cores[victim].children), qt.IsTrue)
			v := src.put("k1", "s1", "w")
			s.after = func() {
				if root.Progress(s.now).Minimum == v {
					c.Assert(s.inForce(v)(), qt.IsTrue)
				}
			}
			s.until(t, 5*time.Second, "in force after rejoin", s.inForce(v))
			s.until(t, lostHold+time.Second, "root knows", func() bool { return root.Progress(s.now).Minimum == v })
			s.checkViews(t, src)
		})
	}
}

// Guards against two relays that become each other's descendants.
func TestCycleIsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	n := New(now, Config{Name: "n", Controls: []string{"x"}})
	n.Tick(now)
	outs := n.Tick(now.Add(time.Second))
	open := outs[0].(OpenParent)
	n.ParentDown(now, open.Link, &crwire.SpreadDown{Reply: &crwire.SpreadJoinReply{Verdict: verdictAccepted, Path: []string{"root", "n", "x"}}})
	c.Assert(n.parent, qt.IsNil)
	c.Assert(n.counts.Cycles, qt.Equals, uint64(1))

	n.parent = &parentLink{link: 9, path: []string{"root"}, lastGood: now}
	outs = n.ChildJoin(now, 1, &crwire.SpreadJoin{Name: "root", AllowUnconfirmed: true})
	c.Assert(outs[0].(SendDown).Message.GetReply().GetVerdict(), qt.Equals, verdictCycle)
	n.ParentDown(now, 9, &crwire.SpreadDown{Heartbeat: &crwire.SpreadHeartbeat{Path: []string{"root", "n", "y"}}})
	c.Assert(n.parent, qt.IsNil)
	c.Assert(n.counts.Cycles, qt.Equals, uint64(3))
	outs = n.ChildJoin(now, 2, &crwire.SpreadJoin{Name: "z"})
	c.Assert(outs[0].(SendDown).Message.GetReply().GetVerdict(), qt.Equals, verdictNotReady)
}

// Guards against a wrong view that stays: the digest finds it and the whole view is sent again.
func TestDigestMismatchLeadsToResync(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filled(10)
	s.tree(src, 3)
	s.until(t, 5*time.Second, "joined", s.inForce(src.Version()))
	n := s.cores["n001"]
	n.store.keys["common"].Value = []byte("damaged")
	sec := n.store.sections[""]
	sec.sum = crconfig.EntryDigest(n.store.keys["common"])
	v := src.put("k2", "s2", "w")
	s.until(t, 3*time.Second, "resynced", s.inForce(v))
	c.Assert(n.counts.DigestErrors, qt.Equals, uint64(1))
	c.Assert(n.counts.Resyncs, qt.Equals, uint64(1))
	s.checkViews(t, src)
}

// Guards against tombstones that grow without bound or are missed by a node that was away for long.
func TestTombstonesAreBounded(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filled(10)
	s.tree(src, 2)
	s.until(t, 5*time.Second, "joined", s.inForce(src.Version()))
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
			s.pass(500 * time.Millisecond)
		}
	}
	s.pass(parentTimeout)
	s.filter = nil
	s.until(t, 15*time.Second, "caught up", s.inForce(src.Version()))
	// The nodes came back from before the kept changes, so they needed the whole view and no wrong delta.
	c.Assert(s.cores["n001"].counts.DigestErrors, qt.Equals, uint64(0))
	c.Assert(len(s.cores["root"].store.changes) <= maxChanges, qt.IsTrue)
	s.checkViews(t, src)
}

// Guards against a large configuration that exceeds a message or is applied in part.
func TestLargeViewComesInParts(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filled(10)
	for i := range 50 {
		src.put(fmt.Sprint("large", i), "", strings.Repeat("x", 60_000))
	}
	parts := 0
	s.filter = func(_, _ string, m proto.Message) int {
		c.Assert(proto.Size(m) <= crwire.MaxMessageBytes/2, qt.IsTrue)
		if d, ok := m.(*crwire.SpreadDown); ok && d.GetBatch() != nil {
			// One part in the middle is lost once.
			if parts++; parts == 3 {
				return 0
			}
		}
		return 1
	}
	s.tree(src, 1)
	s.until(t, 5*time.Second, "whole view", s.inForce(src.Version()))
	c.Assert(s.cores["n000"].counts.BatchesApplied, qt.Equals, uint64(1))
	s.checkViews(t, src)
}

// Guards against lagging nodes that are not named or counted, and against names without a bound.
func TestLaggingNodesAreNamed(t *testing.T) {
	c := qt.New(t)
	src := filled(10)
	root := New(t0, Config{Name: "root", Source: src})
	root.Tick(t0)
	now, old := src.Version().Wire(), crconfig.Version{Epoch: 1, Index: 3}
	for i, up := range []*crwire.SpreadUp{
		{Version: now, Minimum: now, Count: 30},
		{Version: now, Minimum: old.Wire(), Count: 20, Lagging: []*crwire.SpreadLagging{{Name: "x", Version: old.Wire()}}},
		{Version: old.Wire(), Minimum: old.Wire(), Count: 100},
	} {
		root.ChildJoin(t0, uint64(i), &crwire.SpreadJoin{Name: fmt.Sprint("child", i)})
		root.ChildUp(t0, uint64(i), up)
	}
	p := root.Progress(t0)
	c.Assert(p.Nodes, qt.Equals, 150)
	c.Assert(p.Minimum, qt.Equals, old)
	c.Assert(p.Lagging, qt.DeepEquals, []Lagging{{"child2", old}, {"x", old}})
	c.Assert(p.LaggingMore, qt.Equals, 99)
	many := &crwire.SpreadUp{Version: now, Minimum: old.Wire(), Count: 200}
	for i := range 2 * MaxLagging {
		many.Lagging = append(many.Lagging, &crwire.SpreadLagging{Name: fmt.Sprint(i), Version: old.Wire()})
	}
	root.ChildUp(t0, 0, many)
	p = root.Progress(t0)
	c.Assert(p.Lagging, qt.HasLen, MaxLagging)
	c.Assert(p.LaggingMore+len(p.Lagging), qt.Equals, 101+2*MaxLagging)
}

// Guards against storms: joins at the roots stay bounded after the loss of all roots and after a mass restart.
func TestNoJoinStorm(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filled(10)
	s.tree(src, 300)
	s.until(t, 10*time.Second, "all joined", s.inForce(src.Version()))
	attempts := func() (n uint64) {
		for _, core := range s.cores {
			n += core.counts.Attempts
		}
		return n
	}
	s.kill("root")
	s.pass(10 * time.Second)
	before := attempts()
	s.pass(20 * time.Second)
	// Full jitter over 10 s means one attempt per node each 5 s in the mean; twice that is the bound.
	c.Assert(attempts()-before < 300*20/5*2, qt.IsTrue, qt.Commentf("%d attempts", attempts()-before))
	s.add(Config{Name: "root", Source: src})
	s.until(t, 25*time.Second, "back", s.inForce(src.Version()))
}

// Guards against state that goes back, differs from the source or never arrives under lost and duplicated messages,
// relay deaths, restarts and changed subscriptions.
func TestTreeSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, src := newSim(), filled(10)
		s.tree(src, 40)
		loss := rapid.IntRange(0, 10).Draw(r, "loss percent")
		rnd := rapid.Uint32().Draw(r, "seed")
		s.filter = func(_, _ string, _ proto.Message) int {
			rnd = rnd*1664525 + 1013904223
			switch p := int(rnd>>8) % 100; {
			case p < loss:
				return 0
			case p < 2*loss:
				return 2
			}
			return 1
		}
		high := map[*Core]crconfig.Version{}
		s.after = func() {
			for name, core := range s.cores {
				v := core.Version()
				if v.Less(high[core]) || src.Version().Less(v) {
					r.Fatalf("%s went from %v to %v", name, high[core], v)
				}
				high[core] = v
			}
		}
		for range rapid.IntRange(5, 20).Draw(r, "steps") {
			name := fmt.Sprintf("n%03d", rapid.IntRange(0, 39).Draw(r, "node"))
			service := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(r, "service"))
			switch rapid.SampledFrom([]string{"put", "delete", "kill", "subscribe"}).Draw(r, "op") {
			case "put":
				src.put(fmt.Sprintf("k%s%d", service, rnd%7), service, fmt.Sprint(rnd))
			case "delete":
				src.put(fmt.Sprintf("k%s%d", service, rnd%7), service, "")
			case "kill":
				s.kill(name)
				s.pass(time.Duration(20+rnd%500) * time.Millisecond)
				s.add(Config{Name: name, Controls: []string{"root"}, Services: []string{service}})
			case "subscribe":
				s.run(name, s.cores[name].Subscribe([]string{service, "s1"}))
			}
			s.pass(time.Duration(rapid.IntRange(0, 1000).Draw(r, "ms")) * time.Millisecond)
		}
		s.filter = nil
		s.until(t, 30*time.Second, "settled", s.inForce(src.Version()))
		s.checkViews(t, src)
	})
}
