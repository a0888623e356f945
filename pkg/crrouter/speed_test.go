package crrouter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crrouter"
)

// TestSpeedsOfServers guards against servers of different speeds that get the same number of calls in flight. Runs take twice
// the usual time at most on a usual server, which is the callers' target.
func TestSpeedsOfServers(t *testing.T) {
	const target = 300 * time.Millisecond
	speeds := []float64{0.6, 1, 1.4, 0.6, 1, 1.4}
	for _, load := range []float64{0.5, 0.6, 0.7, 0.8, 0.9} {
		c := qt.New(t)
		play := func(known bool) *replay {
			p := &replay{
				callers: 40, slots: 20, run: 150 * time.Millisecond, servers: len(speeds), speeds: known,
				rate: load * float64(len(speeds)) * 20 / 0.15,
				slow: func(s int, _ time.Duration) float64 { return 1 / speeds[s] },
			}
			p.play(20 * time.Second)
			return p
		}
		before, after := play(false), play(true)
		t.Logf("load %.1f: mean %v, was %v; over the target %.3f, was %.3f", load, after.mean(), before.mean(), after.over(target), before.over(target))
		c.Check(after.mean() < before.mean(), qt.IsTrue)
		c.Check(after.mean() < target, qt.IsTrue, qt.Commentf("the mean completion at load %.1f: %v", load, after.mean()))
		if load <= 0.7 {
			c.Check(after.over(target) <= 0.05, qt.IsTrue, qt.Commentf("%.3f over the target at load %.1f", after.over(target), load))
		}
	}
}

// TestNeighbour guards against calls that still go to a server that reports that it works 2.5 times slower, and against an
// oscillation of its share after that.
func TestNeighbour(t *testing.T) {
	const begin, end, reaction = 5 * time.Second, 5600 * time.Millisecond, 300 * time.Millisecond
	const servers, disturbed = 20, 3
	for _, load := range []float64{0.5, 0.7} {
		c := qt.New(t)
		slow := func(s int, at time.Duration) float64 {
			if s < disturbed && at >= begin && at < end {
				return 2.5
			}
			return 1
		}
		play := func(known bool) *replay {
			p := &replay{
				callers: 40, slots: 40, run: 40 * time.Millisecond, servers: servers, speeds: known,
				rate: load * servers * 40 / 0.04, slow: slow, reported: slow,
			}
			p.play(9 * time.Second)
			return p
		}
		before, after := play(false), play(true)
		fair := 1 / 2.5 / (servers - disturbed + disturbed/2.5)
		for s := range servers {
			early, late := after.share(s, begin+reaction, end), after.share(s, end+reaction, 8*time.Second)
			if s < disturbed {
				c.Check(early <= fair, qt.IsTrue, qt.Commentf("server %d: %.3f at load %.1f", s, early, load))
			}
			for at := end + reaction; at < 8*time.Second; at += 200 * time.Millisecond {
				share := after.share(s, at, at+200*time.Millisecond)
				c.Check(share > 0.5/servers && share < 1.5/servers, qt.IsTrue, qt.Commentf("server %d: %.3f at %v, load %.1f", s, share, at, load))
			}
			c.Check(late > 0.8/servers && late < 1.2/servers, qt.IsTrue, qt.Commentf("server %d: %.3f after, load %.1f", s, late, load))
		}
		c.Check(after.over(100*time.Millisecond) < before.over(100*time.Millisecond), qt.IsTrue)
	}
}

// TestRefusingServers guards against calls that go to servers that refuse 55% of them while one that refuses nothing has room,
// and against one that gets more than its limit.
func TestRefusingServers(t *testing.T) {
	c := qt.New(t)
	const slots, run = 87, 40 * time.Millisecond
	play := func(known bool) *replay {
		p := &replay{
			callers: 64, slots: slots, run: run, servers: 4, speeds: known, domains: 4, rate: 0.55 * 4 * slots / run.Seconds(),
			refuses: func(s int, at time.Duration) float64 {
				if s == 0 || at < 2*time.Second {
					return 0
				}
				return 0.55
			},
		}
		p.play(10 * time.Second)
		return p
	}
	before, after := play(false), play(true)
	used := after.share(0, 3*time.Second, 10*time.Second) * after.rate * run.Seconds() / slots
	t.Logf("refused %d, was %d; the sound server is used to %.2f", after.refused, before.refused, used)
	c.Check(used >= 0.85 && used <= 1, qt.IsTrue, qt.Commentf("the sound server is used to %.2f", used))
	c.Check(after.refused < before.refused, qt.IsTrue)
	c.Check(after.over(100*time.Millisecond) <= 0.05, qt.IsTrue, qt.Commentf("%.3f wait", after.over(100*time.Millisecond)))
}

// TestAlikeServers guards against a change of the order of servers that report no difference.
func TestAlikeServers(t *testing.T) {
	c := qt.New(t)
	play := func(known bool) *replay {
		p := &replay{callers: 20, slots: 20, run: 50 * time.Millisecond, servers: 6, speeds: known, domains: 3, rate: 0.6 * 6 * 20 / 0.05}
		p.play(5 * time.Second)
		return p
	}
	c.Check(play(true).sent, qt.DeepEquals, play(false).sent)
}

// TestFalseSpeeds guards against speeds that attract the traffic without a bound.
func TestFalseSpeeds(t *testing.T) {
	c := qt.New(t)
	r, now := newRouter(4), t0
	counts := load(c, r, &now, 4000, func(s crrouter.Server) crrouter.Result {
		res := ok(s)
		if s.ID == "s1" {
			res.Feedback.Speed, res.Feedback.Slowness = 1000, 0.001
		}
		return res
	})
	for _, v := range r.View(now) {
		c.Check(v.Factor <= 2, qt.IsTrue, qt.Commentf("%s: %v", v.ID, v.Factor))
	}
	c.Check(counts["s1"] > 0, qt.IsTrue)
}
