package crbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/crbudget"
)

// Bounds of the property test: repeats in any ten seconds, over all nodes, are at most ratio x requests + slack. The requests are
// those of the same ten seconds, of the ten before or of those that end five seconds earlier, whichever are the most.
const (
	ratio   = 0.2
	slack   = 86
	step    = 50 * time.Millisecond
	window  = int(10 * time.Second / step)
	seconds = 16
)

// sender is a node that sends calls to one service.
type sender struct {
	allowance crbudget.Allowance
	callers   crbudget.Ratio
	// leaf is set if the runs of the calls make no calls.
	leaf bool
}

func (s *sender) retry(now time.Time) bool {
	return (s.leaf || s.callers.Allow(now)) && s.allowance.Allow(now, crbudget.Important)
}

// tally counts, for one service, the first attempts of calls that are no repeats, and all repeats, in each step.
type tally struct {
	requests, repeats [seconds * int(time.Second/step)]int
}

// check compares the repeats of each period with the requests of that period, the one before it or the one half a period before
// it, whichever has the most.
func (y *tally) check(t *rapid.T, name string) {
	for i := range y.requests {
		repeats := sum(y.repeats[:], i, window)
		requests := max(sum(y.requests[:], i, window), sum(y.requests[:], i-window/2, window), sum(y.requests[:], i-window, window))
		if float64(repeats) > ratio*float64(requests)+slack {
			t.Fatalf("%s: %d repeats of %d requests in the 10 s before %v", name, repeats, requests, time.Duration(i)*step)
		}
	}
}

// sum returns the sum of n values that end with the given index.
func sum(values []int, last, n int) (total int) {
	for i := max(last-n+1, 0); i <= last; i++ {
		total += values[i]
	}
	return total
}

// chainRun is a run on a server that calls the deep service once in each step.
type chainRun struct{ at, left int }

// chains simulates entrances that send requests to a middle service, whose servers make calls to a deep one.
type chains struct {
	rnd                   *rand.Rand
	entrances             []sender // to the middle service
	deep                  []sender // to the deep service, of clients and of servers of the middle service
	runs                  []crbudget.Repeats
	active                map[bool][]chainRun
	calls                 int
	refusals              [2]float64
	middleTally, deepCall tally
}

// attempt sends a call of a sender, with up to three attempts, and counts it. It reports whether the last attempt was a retry, and
// whether a server ran the call.
func (c *chains) attempt(now time.Time, s *sender, y *tally, i int, marked, repeat bool, refused float64) (again, ran bool) {
	s.allowance.RecordCall(now, marked)
	s.callers.RecordSuccess()
	if repeat {
		y.repeats[i]++
	} else {
		y.requests[i]++
	}
	for range 2 {
		if c.rnd.Float64() >= refused {
			return again, true
		}
		if !s.retry(now) {
			return again, false
		}
		again = true
		y.repeats[i]++
	}
	return again, c.rnd.Float64() >= refused
}

func (c *chains) advance(now time.Time, i int, perStep float64) {
	for n := perStep; n > 0; n-- {
		if c.rnd.Float64() >= n {
			break
		}
		c.attempt(now, &c.deep[c.rnd.IntN(len(c.deep))], &c.deepCall, i, false, false, c.refusals[1])
		again, ran := c.attempt(now, &c.entrances[c.rnd.IntN(len(c.entrances))], &c.middleTally, i, false, false, c.refusals[0])
		if ran {
			at := c.rnd.IntN(len(c.runs))
			c.runs[at].RunStarted("run", again)
			c.active[again] = append(c.active[again], chainRun{at, c.calls})
		}
	}
	for _, repeat := range []bool{false, true} {
		var still []chainRun
		for _, r := range c.active[repeat] {
			s := &c.deep[r.at]
			marked := s.allowance.MarkRepeat(c.runs[r.at].Fraction(func(string) float64 { return 0 }))
			_, ran := c.attempt(now, s, &c.deepCall, i, marked, repeat, c.refusals[1])
			if r.left--; r.left > 0 && ran {
				still = append(still, r)
				continue
			}
			c.runs[r.at].RunEnded("run", repeat)
		}
		c.active[repeat] = still
	}
}

func senders(rnd *rand.Rand, n int, leaf bool) []sender {
	out := make([]sender, n)
	for i := range out {
		out[i].allowance.Rand = rnd.Float64
		out[i].allowance.SetNodes(n)
		out[i].allowance.Ratio = ratio
		out[i].callers.PerSuccess, out[i].callers.PerSecond, out[i].callers.Burst = ratio/4, 1e-6, 1
		out[i].leaf = leaf
	}
	return out
}

// TestRepeatsOfAllNodes guards against more repeats than the ratio allows, summed over all nodes and with the calls of repeated runs,
// also when first attempts fall suddenly.
func TestRepeatsOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(51, 185).Draw(t, "nodes")
		servers := rapid.IntRange(3, 51).Draw(t, "servers of the middle service")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := &chains{
			rnd: rnd, entrances: senders(rnd, nodes, false), deep: senders(rnd, nodes, true), runs: make([]crbudget.Repeats, servers), active: map[bool][]chainRun{},
			calls: rapid.IntRange(1, 6).Draw(t, "calls"),
		}
		rate := rapid.Float64Range(5, 500).Draw(t, "requests per second")
		begin := rapid.IntRange(0, seconds).Draw(t, "begin of the refusals") * int(time.Second/step)
		fall := rapid.IntRange(0, seconds).Draw(t, "second of the fall") * int(time.Second/step)
		low := rapid.Float64Range(0, 1).Draw(t, "part that is left")
		refusals := [2]float64{rapid.Float64Range(0, 0.6).Draw(t, "middle"), rapid.Float64Range(0, 1).Draw(t, "deep")}
		for i := range c.deepCall.requests {
			perStep := rate * step.Seconds()
			if i >= fall {
				perStep *= low
			}
			if i >= begin {
				c.refusals = refusals
			}
			c.advance(t0.Add(time.Duration(i)*step), i, perStep)
		}
		c.middleTally.check(t, "middle")
		c.deepCall.check(t, "deep")
	})
}

// TestAllowanceUse guards against a node that leaves most of the ratio unused while no run is a repeat, and against retries beside
// the calls of repeated runs.
func TestAllowanceUse(t *testing.T) {
	for name, x := range map[string]struct {
		repeated  float64
		low, high int
	}{"no repeats": {0, 1800, 2000}, "some": {0.1, 600, 900}, "all of the ratio": {1.0 / 6, 0, 5}} {
		t.Run(name, func(t *testing.T) {
			a, allowed := crbudget.Allowance{Ratio: ratio}, 0
			for i := range 10_000 {
				now := t0.Add(time.Duration(i) * time.Millisecond)
				a.RecordCall(now, a.MarkRepeat(x.repeated))
				if i%2 == 0 && a.Allow(now, crbudget.Important) {
					allowed++
				}
			}
			qt.Assert(t, allowed >= x.low && allowed <= x.high, qt.IsTrue, qt.Commentf("%d retries of 10,000 calls", allowed))
		})
	}
}

// TestUrgency guards against ordinary retries that leave nothing to important ones, and against ordinary ones that are shut out while
// there are no others.
func TestUrgency(t *testing.T) {
	a, allowed, asked := crbudget.Allowance{Ratio: ratio}, map[crbudget.Urgency]int{}, map[crbudget.Urgency]int{}
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range 40_000 {
		now := t0.Add(time.Duration(i) * 2 * time.Millisecond)
		a.RecordCall(now, false)
		urgency := crbudget.Ordinary
		if i < 20_000 && rnd.IntN(4) == 0 {
			urgency = crbudget.Important
		}
		if rnd.IntN(2) == 0 {
			asked[urgency]++
			if a.Allow(now, urgency) {
				allowed[urgency]++
			}
		}
	}
	important := float64(allowed[crbudget.Important]) / float64(asked[crbudget.Important])
	qt.Assert(t, important > 0.9, qt.IsTrue, qt.Commentf("%.2f of the important retries", important))
	// Without important retries in the second half, ordinary ones use the ratio.
	qt.Assert(t, allowed[crbudget.Ordinary] > 3500, qt.IsTrue, qt.Commentf("%d", allowed[crbudget.Ordinary]))
}

// TestOldRepeats guards against retries that stay denied long after an excess of repeats has left the period of the ratio.
func TestOldRepeats(t *testing.T) {
	a := crbudget.Allowance{Ratio: ratio}
	for i := range 1000 {
		a.RecordCall(t0.Add(time.Duration(i)*time.Millisecond), true)
	}
	a.RecordCall(t0.Add(10*time.Second), false)
	for i := range 20 {
		a.RecordCall(t0.Add(21*time.Second+time.Duration(i)*time.Millisecond), false)
	}
	qt.Assert(t, a.Allow(t0.Add(22*time.Second), crbudget.Important), qt.IsTrue)
}

// TestFraction guards against calls that are charged by runs of kinds that make none.
func TestFraction(t *testing.T) {
	var r crbudget.Repeats
	one := func(string) float64 { return 1 }
	qt.Assert(t, r.Fraction(one), qt.Equals, 0.0)
	r.RunStarted("page", true)
	r.RunStarted("page", false)
	r.RunStarted("static", false)
	r.RunStarted("static", false)
	qt.Assert(t, r.Fraction(one), qt.Equals, 0.25)
	qt.Assert(t, r.Fraction(func(string) float64 { return 0 }), qt.Equals, 0.25)
	qt.Assert(t, r.Fraction(func(kind string) float64 { return map[string]float64{"page": 0.4}[kind] }), qt.Equals, 0.5)
	r.RunEnded("page", true)
	qt.Assert(t, r.Fraction(one), qt.Equals, 0.0)
}
