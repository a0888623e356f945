package crrouter_test

import (
	"math/rand/v2"
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
// also if that one is the slowest, and against one that gets more than its limit.
func TestRefusingServers(t *testing.T) {
	const slots, run = 87, 40 * time.Millisecond
	for name, speeds := range map[string][]float64{"alike": {1, 1, 1, 1}, "the sound one is slow": {0.55, 0.8, 1, 1.4}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			play := func(known bool) *replay {
				p := &replay{
					callers: 64, slots: slots, run: run, servers: 4, speeds: known, domains: 4, rate: 0.55 * 4 * slots / run.Seconds(),
					slow: func(s int, _ time.Duration) float64 { return 1 / speeds[s] },
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
			used := after.share(0, 3*time.Second, 10*time.Second) * after.rate * run.Seconds() / slots / speeds[0]
			t.Logf("refused %d, was %d; the sound server is used to %.2f; mean %v, was %v", after.refused, before.refused, used, after.mean(), before.mean())
			c.Check(used >= 0.85 && used <= 1, qt.IsTrue, qt.Commentf("the sound server is used to %.2f", used))
			c.Check(after.refused < before.refused, qt.IsTrue)
			target := time.Duration(float64(100*time.Millisecond) / speeds[0])
			c.Check(after.over(target) <= 0.05, qt.IsTrue, qt.Commentf("%.3f wait", after.over(target)))
		})
	}
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

// TestLyingServer guards against a server that reports that it works five times faster and attracts the traffic: it gets at
// most twice the share of the others, and after a second what its runs show.
func TestLyingServer(t *testing.T) {
	c := qt.New(t)
	const servers, begin = 6, 5 * time.Second
	p := &replay{
		callers: 40, slots: 40, run: 40 * time.Millisecond, servers: servers, speeds: true, rate: 0.6 * servers * 40 / 0.04,
		reported: func(s int, at time.Duration) float64 {
			if s == 0 && at >= begin {
				return 0.2
			}
			return 1
		},
	}
	p.play(10 * time.Second)
	for at := begin; at < begin+time.Second; at += 200 * time.Millisecond {
		share := p.share(0, at, at+200*time.Millisecond)
		c.Check(share <= 2.0/servers, qt.IsTrue, qt.Commentf("%.3f at %v", share, at))
	}
	for at := begin + time.Second; at < 10*time.Second; at += 500 * time.Millisecond {
		share := p.share(0, at, at+500*time.Millisecond)
		c.Check(share <= 1.25/servers, qt.IsTrue, qt.Commentf("%.3f at %v", share, at))
	}
}

// TestMovingClients guards against a queue in the domain in which the clients are, while servers of other domains are idle: a
// round trip costs 3 ms, a place in the queue a part of a run.
func TestMovingClients(t *testing.T) {
	for _, run := range []time.Duration{15 * time.Millisecond, 40 * time.Millisecond, 390 * time.Millisecond} {
		c := qt.New(t)
		const domains, callers, slots = 4, 16, 40
		p := &replay{
			callers: callers, slots: slots, run: run, servers: domains, domains: domains, speeds: true, clump: 8,
			rate: 0.55 * domains * slots / run.Seconds(),
			from: func(at time.Duration, random *rand.Rand) int {
				// Seven of eight clients are in one domain, which changes every second.
				if i := random.IntN(callers / domains); random.IntN(8) > 0 {
					return i*domains + int(at/time.Second)%domains
				}
				return random.IntN(callers)
			},
		}
		p.play(12 * time.Second)
		// A run takes 1.5 times its mean at most; the rest of twice the mean is for the way and the queue.
		target := 2 * run
		t.Logf("run %v: mean %v, %.3f over the target", run, p.mean(), p.over(target))
		c.Check(p.over(target) <= 0.05, qt.IsTrue, qt.Commentf("%.3f of runs of %v over the target", p.over(target), run))
	}
}

// TestManyCallers guards against many callers, each of which hears rarely of a server, that overload the fastest ones.
func TestManyCallers(t *testing.T) {
	speeds := []float64{0.6, 0.8, 1, 1, 1.2, 1.4}
	for _, load := range []float64{0.7, 0.9} {
		c := qt.New(t)
		play := func(known bool) *replay {
			p := &replay{
				callers: 600, slots: 30, run: 60 * time.Millisecond, servers: 18, domains: 3, speeds: known, rate: load * 18 * 30 / 0.06,
				slow: func(s int, _ time.Duration) float64 { return 1 / speeds[s%len(speeds)] },
			}
			p.play(5 * time.Second)
			return p
		}
		before, after := play(false), play(true)
		t.Logf("load %.1f: mean %v, was %v", load, after.mean(), before.mean())
		c.Check(after.mean() < before.mean(), qt.IsTrue)
		// The slowest server needs 150 ms at most; callers must not be worse off than with equal loads.
		c.Check(after.over(150*time.Millisecond) < before.over(150*time.Millisecond), qt.IsTrue)
	}
}

// BenchmarkPickUneven selects among servers that differ in speed, with reports as they arrive.
func BenchmarkPickUneven(b *testing.B) {
	b.ReportAllocs()
	r, now := newRouter(20), t0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s, err := r.Pick(now, ordinary)
		if err != nil {
			b.Fatal(err)
		}
		r.Done(now, s.ID, crrouter.Result{Latency: time.Millisecond, Feedback: &crrouter.Feedback{InFlight: 5, Limit: 50, Speed: 0.5 + float64(len(s.ID))/2}})
	}
}
