package crquota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/crquota"
)

// TestBound guards against schedules of faults in which the nodes together run more requests than the quota allows: leaders
// that are lost or frozen, nodes that restart, are cut off or only lose the answers, and messages that are lost, late or
// delivered twice.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := crquota.Limit{Rate: rapid.SampledFrom([]float64{1, 8, 50, 300, 800}).Draw(t, "rate"), Version: 1}
		l.Burst = l.Rate * rapid.SampledFrom([]float64{0, 0.1, 1, 3}).Draw(t, "burst")
		nodes := rapid.SampledFrom([]int{1, 3, 12, 51}).Draw(t, "nodes")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), nodes, rapid.IntRange(1, 4).Draw(t, "coordinators"), l)
		rate := rapid.SampledFrom([]float64{0, 0.05, 0.3})
		w.lossRate, w.copyRate, w.lateRate = rate.Draw(t, "lost"), rate.Draw(t, "copied"), rate.Draw(t, "late")
		w.lateBy = time.Duration(rapid.IntRange(1, 3000).Draw(t, "late by")) * time.Millisecond
		w.notRunRate = rate.Draw(t, "not run")
		demand := l.Rate / float64(nodes) * rapid.SampledFrom([]float64{0.5, 1.2, 5}).Draw(t, "demand")
		fault := rapid.SampledFrom([]string{"none", "leader", "cut", "deaf", "restart", "all cut", "move"})
		for range rapid.IntRange(4, 10).Draw(t, "phases") {
			w.inject(fault.Draw(t, "fault"))
			w.advance(time.Duration(rapid.IntRange(200, 3500).Draw(t, "ms"))*time.Millisecond, func(int) float64 { return demand })
		}
		if most := w.mostInWindow(time.Time{}); float64(most) > bound(l) {
			t.Fatalf("%d requests ran in 5 s, %.1f are allowed", most, bound(l))
		}
	})
}

// inject starts a fault; a new leader follows a lost one after a lease and an election.
func (w *world) inject(fault string) {
	n := w.nodes[w.rnd.IntN(len(w.nodes))]
	duration := time.Duration(w.rnd.Int64N(int64(6 * time.Second)))
	switch fault {
	case "leader":
		w.owner = nil
		term := w.term
		w.after(time.Duration(w.rnd.Int64N(int64(1500*time.Millisecond))), func() {
			if w.term == term {
				w.lead()
			}
		})
	case "cut":
		n.cutUntil = w.now.Add(duration)
	case "deaf":
		for _, n := range w.nodes[:len(w.nodes)/2] {
			n.deafUntil = w.now.Add(duration)
		}
	case "restart":
		n.restart()
	case "all cut":
		for _, n := range w.nodes {
			n.cutUntil = w.now.Add(duration)
		}
	case "move":
		for _, n := range w.nodes {
			n.coordinator = w.rnd.IntN(len(w.queues))
		}
	}
}

// TestCalm guards against refusals below the quota: of even and uneven demand, of demand that moves to another node, and of a
// burst at one node after a time without requests.
func TestCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := crquota.Limit{Rate: rapid.Float64Range(10, 800).Draw(t, "rate"), Version: 1}
		l.Burst = l.Rate * rapid.Float64Range(1, 3).Draw(t, "burst")
		nodes := rapid.IntRange(1, 60).Draw(t, "nodes")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), nodes, rapid.IntRange(1, 4).Draw(t, "coordinators"), l)
		w.regular = true // requests at random times exceed a quota for moments
		idle := func(int) float64 { return 0 }
		even := func(int) float64 { return 0.7 * l.Rate / float64(nodes) }
		w.advance(2*time.Second, idle)
		w.advance(5*time.Second, even)
		for target := range min(nodes, 2) {
			w.advance(3*time.Second, func(i int) float64 {
				if i == target {
					return 0.7 * l.Rate
				}
				return 0
			})
		}
		w.advance(5*time.Second, idle)
		for range int(l.Burst) {
			w.nodes[nodes-1].arrive()
		}
		w.advance(time.Second, idle)
		if len(w.refused) > 0 {
			t.Fatalf("%d of %d requests were refused below the quota, the first after %v", len(w.refused), len(w.refused)+len(w.ran),
				w.refused[0].Sub(time.Unix(1000, 0)))
		}
	})
}

// TestSharesFollowDemand guards against a quota that is not used up while there is demand beyond it, and against nodes that get
// less than their part.
func TestSharesFollowDemand(t *testing.T) {
	c := qt.New(t)
	l := crquota.Limit{Rate: 200, Burst: 100, Version: 1}
	w := newWorld(1, 20, 4, l)
	w.advance(3*time.Second, func(int) float64 { return 40 })
	w.ran, w.byNode = nil, map[int]int{}
	w.advance(5*time.Second, func(int) float64 { return 40 })
	t.Logf("%d requests ran of 1000, by node %v", len(w.ran), w.byNode)
	c.Assert(len(w.ran) >= 950, qt.IsTrue, qt.Commentf("%d", len(w.ran)))
	for i := range w.nodes {
		c.Assert(w.byNode[i] >= 25, qt.IsTrue, qt.Commentf("node %d: %d of a fair share of 50", i, w.byNode[i]))
	}
	moved := func(i int) float64 { return map[bool]float64{true: 180}[i == 3] }
	w.advance(time.Second, moved)
	ran := w.byNode[3]
	w.advance(2*time.Second, moved)
	c.Assert(w.byNode[3]-ran >= 324, qt.IsTrue, qt.Commentf("%d requests from the second second on at a node that sends 180 a second", w.byNode[3]-ran))
}

// TestLoweredLimit guards against a lowered quota that does not hold one window after it is in force everywhere.
func TestLoweredLimit(t *testing.T) {
	w := newWorld(2, 10, 2, crquota.Limit{Rate: 400, Burst: 400, Version: 1})
	hot := func(int) float64 { return 60 }
	w.advance(4*time.Second, hot)
	low := crquota.Limit{Rate: 40, Burst: 20, Version: 2}
	for i, n := range w.nodes {
		w.after(time.Duration(i)*50*time.Millisecond, func() { n.limit = low })
	}
	w.advance(500*time.Millisecond, hot)
	from := w.now
	w.advance(12*time.Second, hot)
	qt.Assert(t, float64(w.mostInWindow(from)) <= bound(low), qt.IsTrue, qt.Commentf("%d", w.mostInWindow(from)))
}

// TestFaults guards, for one fault each, against more requests than the quota allows, and against requests refused for longer
// than the fault requires. Demand is six times the quota: with a small burst throughout, with a large one from 1 s before the
// fault on, when that burst has been spent.
func TestFaults(t *testing.T) {
	cut := func(w *world, nodes int) {
		for _, n := range w.nodes[:nodes] {
			n.cutUntil = w.now.Add(8 * time.Second)
		}
	}
	replaceLeader := func(w *world) {
		w.owner = nil
		w.after(1300*time.Millisecond, w.lead)
	}
	for name, fault := range map[string]struct {
		inject func(w *world)
		// served is the part of the rate that is served at least from 2 s after the fault on, until it ends after 8 s.
		served float64
	}{
		"leader lost": {replaceLeader, 0.9},
		"leaderless":  {func(w *world) { w.owner = nil; w.after(8*time.Second, w.lead) }, 0.85},
		"leader frozen": {func(w *world) {
			w.lateRate, w.lateBy = 1, 6*time.Second
			w.after(time.Second, func() { w.lateRate = 0 })
			replaceLeader(w)
		}, 0.9},
		"nodes killed":  {func(w *world) { w.killed = 10 }, 0.75},
		"nodes cut off": {func(w *world) { cut(w, 25) }, 0.85},
		"all cut off":   {func(w *world) { cut(w, 51) }, 0.85},
		"answers lost":  {func(w *world) { w.inject("deaf") }, 0.6},
		"both":          {func(w *world) { cut(w, 25); replaceLeader(w) }, 0.85},
		"nodes restart": {func(w *world) {
			for _, n := range w.nodes {
				n.restart()
			}
		}, 0.9},
		"coordinator":    {func(w *world) { w.loseCoordinator(0) }, 0.9},
		"limit unlearnt": {func(w *world) { w.nodes[0].limit = crquota.Limit{Rate: 1e6, Burst: 1e6} }, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(6) {
				l, idle := crquota.Limit{Rate: 300, Burst: 30, Version: 1}, time.Duration(0)
				if seed%2 == 1 {
					l.Burst, idle = 1200, 4*time.Second
				}
				w := newWorld(seed, 51, 4, l)
				w.advance(idle, func(int) float64 { return 0 })
				demand := func(i int) float64 {
					if i < w.killed {
						return 0
					}
					return 6 * l.Rate / 51
				}
				w.advance(5*time.Second-idle, demand)
				fault.inject(w)
				w.advance(2*time.Second, demand)
				before := len(w.ran)
				w.advance(6*time.Second, demand)
				c.Check(float64(len(w.ran)-before) >= fault.served*6*l.Rate, qt.IsTrue, qt.Commentf("%d served of %v", len(w.ran)-before, 6*l.Rate))
				w.killed = 0
				w.advance(3*time.Second, demand)
				before = len(w.ran)
				w.advance(4*time.Second, demand)
				c.Check(float64(len(w.ran)-before) >= 0.9*4*l.Rate, qt.IsTrue, qt.Commentf("%d served of %v afterwards", len(w.ran)-before, 4*l.Rate))
				c.Check(float64(w.mostInWindow(time.Time{})) <= bound(l), qt.IsTrue, qt.Commentf("%d in 5 s, %v allowed", w.mostInWindow(time.Time{}), bound(l)))
			}
		})
	}
}

// TestExpiry guards against tokens that are spent after their time, or that a wallet takes from an answer after their time.
func TestExpiry(t *testing.T) {
	c := qt.New(t)
	l := crquota.Limit{Rate: 10, Burst: 10, Version: 1}
	now := time.Unix(1000, 0)
	w := &crquota.Wallet{Lifetime: lifetime, Random: func() float64 { return 0 }}
	answer := func(after time.Duration) {
		c.Assert(w.Take(now, organisation, l).Verdict, qt.Equals, crquota.Wait)
		w.AddWaiting(organisation, 1)
		req, due := w.Ask(now)
		c.Assert(due, qt.IsTrue)
		w.Answer(now.Add(after), now, req, crquota.Reply{Term: 1, Nodes: 1, Grants: []crquota.Grant{{Organisation: organisation, Granted: 2}}})
		w.AddWaiting(organisation, -1)
	}
	answer(10 * time.Millisecond)
	expires, ok := w.Spend(now.Add(lifetime-1), organisation)
	c.Assert(ok, qt.IsTrue)
	c.Assert(expires, qt.Equals, now.Add(lifetime))
	_, ok = w.Spend(now.Add(lifetime), organisation)
	c.Assert(ok, qt.IsFalse)
	w.Return(now.Add(lifetime), organisation, expires)
	_, ok = w.Spend(now.Add(lifetime-1), organisation)
	c.Assert(ok, qt.IsFalse, qt.Commentf("a token was returned after its time"))
	now = now.Add(900 * time.Millisecond)
	answer(lifetime)
	_, ok = w.Spend(now, organisation)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the answer came after the time of its tokens"))
}

// TestReturned guards against returned tokens that count twice or for another window: those of a message that arrives twice, too
// late, or at the owner of another term.
func TestReturned(t *testing.T) {
	l := crquota.Limit{Rate: 1, Burst: 10, Version: 1}
	for name, x := range map[string]struct {
		after    time.Duration
		sequence uint64
		term     uint64
		want     uint32
	}{
		"in time": {300 * time.Millisecond, 2, 1, 10}, "again": {300 * time.Millisecond, 1, 1, 0}, "late": {600 * time.Millisecond, 2, 1, 0},
		"other term": {300 * time.Millisecond, 2, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			o := crquota.NewOwner(start, 1)
			ask := func(now time.Time, r crquota.Request, d crquota.Demand) crquota.Reply {
				d.Organisation, d.Limit = organisation, l
				r.Demands = []crquota.Demand{d}
				r.Contacts = []crquota.Contact{{Node: "n", Term: 1, Stamp: now.Sub(start)}}
				return o.Acquire(now, "c", r)
			}
			for s := range 20 {
				ask(start.Add(time.Duration(s)*time.Second/2), crquota.Request{}, crquota.Demand{})
			}
			now := start.Add(10500 * time.Millisecond)
			r := ask(now, crquota.Request{Sequence: 1}, crquota.Demand{Need: 10})
			qt.Assert(t, r.Grants[0].Granted, qt.Equals, uint32(10))
			r = ask(now.Add(x.after), crquota.Request{Sequence: x.sequence, Term: x.term, Stamp: r.Stamp}, crquota.Demand{Need: 10, Returned: 10})
			qt.Assert(t, r.Grants[0].Granted, qt.Equals, x.want)
		})
	}
}

// TestEarlyCut guards against static shares that are too large since the owner had not heard of all nodes yet when they lost
// contact.
func TestEarlyCut(t *testing.T) {
	l := crquota.Limit{Rate: 300, Burst: 30, Version: 1}
	for seed := range uint64(20) {
		w := newWorld(seed, 3, 3, l)
		hot := func(int) float64 { return 5 * l.Rate / 3 }
		w.lossRate = 0.3
		w.advance(time.Duration(20+40*seed)*time.Millisecond, hot)
		for _, n := range w.nodes {
			n.cutUntil = w.now.Add(time.Minute)
		}
		w.advance(8*time.Second, hot)
		qt.Assert(t, float64(w.mostInWindow(time.Time{})) <= bound(l), qt.IsTrue, qt.Commentf("%d in 5 s, %v allowed", w.mostInWindow(time.Time{}), bound(l)))
	}
}
