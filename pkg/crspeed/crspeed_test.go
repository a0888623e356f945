package crspeed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crspeed"
)

var t0 = time.Unix(1_800_000_000, 0)

// Example shows a gate that measures a server, and a caller that compares it with another one.
func Example() {
	var slow, usual crspeed.Estimator
	for i := range 40 {
		start := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		a, b := slow.Begin(start, 1), usual.Begin(start, 1)
		usual.End(start.Add(50*time.Millisecond), crspeed.Run{Route: "fetch", Begin: b, OwnShare: 1, Running: 1})
		slow.End(start.Add(100*time.Millisecond), crspeed.Run{Route: "fetch", Begin: a, OwnShare: 1, Running: 1})
	}
	now := t0.Add(4 * time.Second)
	var service crspeed.Comparison
	service.Observe("one", "fetch", slow.Report(now, "fetch").RunTime)
	service.Observe("two", "fetch", usual.Report(now, "fetch").RunTime)
	fmt.Printf("%.1f %.1f\n", service.Speed("one"), service.Speed("two"))
	// Output: 0.8 1.3
}

// TestParseLoad guards against a malformed report that counts, and against a report of three figures that does not.
func TestParseLoad(t *testing.T) {
	for text, want := range map[string]crspeed.Load{
		"3,1,96":         {Running: 3, Waiting: 1, Slots: 96},
		" 3, 1, 96, 250": {Running: 3, Waiting: 1, Slots: 96, Slowness: 2.5},
		"0,0,0,1":        {Slowness: 0.1},
		"0,0,0,60000":    {Slowness: 10},
	} {
		got, err := crspeed.ParseLoad(text)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, want)
	}
	for _, text := range []string{"", "1,2", "1,2,3,4,5", "1,2,-3", "1,2,x", "1,2,3,0", "1,2,3,", "1,2,99999999999999999999", "1.5,2,3"} {
		_, err := crspeed.ParseLoad(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

func FuzzParseLoad(f *testing.F) {
	f.Add("1,2,3,100")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := crspeed.ParseLoad(text)
		if err == nil && (l.Running < 0 || l.Waiting < 0 || l.Slots < 0 || l.Slowness < 0 || l.Slowness > 10) {
			t.Fatalf("%q gives %+v", text, l)
		}
	})
}

// server plays the runs of one server; the work of a run takes 100 ms, times slow, and the server reports the figure reported.
type server struct {
	e              crspeed.Estimator
	now            time.Time
	slow, reported float64
	random         *rand.Rand
}

// play starts a run every 10 ms for the given time.
func (s *server) play(long time.Duration) {
	type run struct {
		begin crspeed.Mark
		left  float64
	}
	const step = 10 * time.Millisecond
	var runs []run
	for end := s.now.Add(long); s.now.Before(end) || len(runs) > 0; s.now = s.now.Add(step) {
		kept := runs[:0]
		for _, r := range runs {
			if r.left -= step.Seconds() / s.slow; r.left > 0 {
				kept = append(kept, r)
				continue
			}
			if s.reported > 0 {
				s.e.RecordLoad(s.now, crspeed.Load{Running: len(runs), Slots: s.e.Slots, Slowness: s.reported})
			}
			s.e.End(s.now, crspeed.Run{Route: "r", Begin: r.begin, OwnShare: 1, Running: len(runs)})
		}
		if runs = kept; s.now.Before(end) {
			runs = append(runs, run{s.e.Begin(s.now, len(runs)+1), 0.1 * (0.5 + s.random.Float64())})
		}
	}
}

func newServer(reported float64) *server {
	return &server{e: crspeed.Estimator{Slots: 20}, now: t0, slow: 1, reported: reported, random: rand.New(rand.NewPCG(1, 2))}
}

// expected returns the run time that is reported, with the present slowness, in seconds.
func (s *server) expected() float64 {
	r := s.e.Report(s.now, "r")
	return r.RunTime.Seconds() * r.Slowness
}

// TestNeighbourOfServer guards against an estimate that follows a reported slowness late or twice, and against one that stays
// wrong after it.
func TestNeighbourOfServer(t *testing.T) {
	c := qt.New(t)
	s := newServer(1)
	s.play(10 * time.Second)
	usual := s.expected()
	c.Check(usual > 0.09 && usual < 0.12, qt.IsTrue, qt.Commentf("%v", usual))
	s.slow, s.reported = 2.5, 2.5
	s.play(300 * time.Millisecond)
	during := s.expected()
	c.Check(during > 2*usual && during < 3*usual, qt.IsTrue, qt.Commentf("%v during, %v usual", during, usual))
	s.slow, s.reported = 1, 1
	s.play(300 * time.Millisecond)
	after := s.expected()
	c.Check(after > 0.8*usual && after < 1.25*usual, qt.IsTrue, qt.Commentf("%v after, %v usual", after, usual))
}

// TestLyingServer guards against a server that reports that it works five times faster and is believed for more than a second.
func TestLyingServer(t *testing.T) {
	c := qt.New(t)
	s := newServer(1)
	s.play(10 * time.Second)
	usual := s.expected()
	s.reported = 0.2
	s.play(time.Second)
	c.Check(s.expected() > 0.8*usual, qt.IsTrue, qt.Commentf("%v after a second of false reports, %v before", s.expected(), usual))
	for range 10 {
		s.play(time.Second)
		c.Check(s.expected() > 0.8*usual && s.expected() < 1.6*usual, qt.IsTrue, qt.Commentf("%v, %v before", s.expected(), usual))
	}
}

// TestWithoutHeader guards against an estimate that does not learn from runs alone.
func TestWithoutHeader(t *testing.T) {
	c := qt.New(t)
	s := newServer(0)
	s.play(10 * time.Second)
	usual := s.expected()
	s.slow = 2.5
	s.play(time.Second)
	c.Check(s.expected() > 1.5*usual, qt.IsTrue, qt.Commentf("%v after a second, %v before", s.expected(), usual))
	_, known := s.e.Expected(s.now, "r")
	c.Check(known, qt.IsFalse)
}

// TestUsualFigure guards against a figure that differs from 100 all the time and counts beside the run times.
func TestUsualFigure(t *testing.T) {
	s := newServer(1.7)
	s.slow = 1.7
	s.play(10 * time.Second)
	qt.Check(t, s.expected() > 0.15 && s.expected() < 0.2, qt.IsTrue, qt.Commentf("%v", s.expected()))
	qt.Check(t, s.e.Report(s.now, "r").Slowness, qt.Equals, 1.0)
}

// TestColdFigure guards against a server that counts as slow for long because its first figures are from its warm-up.
func TestColdFigure(t *testing.T) {
	s := newServer(3)
	s.slow = 3
	s.play(4 * time.Second)
	s.slow, s.reported = 1, 1
	s.play(6 * time.Second)
	r := s.e.Report(s.now, "r")
	qt.Check(t, r.RunTime > 80*time.Millisecond && r.RunTime < 130*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", r))
}

// TestAcceptance guards against a share of refusals that is followed late, and against one that lasts.
func TestAcceptance(t *testing.T) {
	c := qt.New(t)
	var e crspeed.Estimator
	now := t0
	c.Check(e.Report(now, "").Acceptance, qt.Equals, 1.0)
	for i := range 200 {
		now = now.Add(5 * time.Millisecond)
		e.RecordSend(now, i%20 < 11)
	}
	got := e.Report(now, "").Acceptance
	c.Check(got > 0.4 && got < 0.5, qt.IsTrue, qt.Commentf("%v", got))
	got = e.Report(now.Add(3*time.Second), "").Acceptance
	c.Check(got > 0.9, qt.IsTrue, qt.Commentf("%v after 3 s", got))
}

// TestKnee guards against a limit above the concurrency from which runs only wait for each other, against one that hides a
// knee for ever, and against a knee of a server that works in parallel or is disturbed for a while.
func TestKnee(t *testing.T) {
	for name, test := range map[string]struct {
		// cores is the number of runs that make progress at the same time.
		cores, low, high int
		disturbed        time.Duration
	}{
		"parallel":           {40, 40, 40, 0},
		"half of the slots":  {20, 20, 25, 0}, // ranges are an eighth of the slots wide
		"a tenth":            {4, 10, 10, 0},
		"one disturbance":    {40, 40, 40, 600 * time.Millisecond},
		"disturbed for long": {40, 40, 40, 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := crspeed.Estimator{Slots: 40}
			now, random := t0, rand.New(rand.NewPCG(3, 4))
			for i := range 40_000 {
				now = now.Add(time.Millisecond)
				running := 1 + random.IntN(38)
				took := 0.05 * (0.5 + random.Float64()) * max(1, float64(running)/float64(test.cores))
				if at := now.Sub(t0) % (10 * time.Second); at < test.disturbed {
					running, took = 38, took*2.5
				}
				mark := e.Begin(now.Add(-time.Duration(took*float64(time.Second))), running)
				e.End(now, crspeed.Run{Route: "r", Begin: mark, OwnShare: 1, Running: running})
				if i%1000 == 999 && i > 20_000 {
					got := e.Knee(now)
					c.Check(got >= test.low && got <= test.high, qt.IsTrue, qt.Commentf("%d at %v", got, now.Sub(t0)))
				}
			}
			c.Check(e.Knee(now.Add(time.Minute)), qt.Equals, 40)
		})
	}
}

// TestKneeOfHeader guards against a reported slowness above some concurrency that does not lower the limit, and against a
// neighbour that does: while it slows the machine, more runs are there too.
func TestKneeOfHeader(t *testing.T) {
	for _, neighbour := range []bool{false, true} {
		c := qt.New(t)
		e := crspeed.Estimator{Slots: 40}
		now, random := t0, rand.New(rand.NewPCG(3, 4))
		for i := range 40_000 {
			now = now.Add(time.Millisecond)
			l := crspeed.Load{Running: 1 + random.IntN(38), Slots: 40, Slowness: 1}
			disturbed := now.Sub(t0)%(5*time.Second) < 600*time.Millisecond
			switch {
			case neighbour && disturbed:
				l.Running, l.Slowness = 30+random.IntN(9), 2.5
			case !neighbour && l.Running > 20:
				l.Slowness = 2.5
			}
			e.RecordLoad(now, l)
			if i < 20_000 || i%1000 != 999 {
				continue
			}
			if got := e.Knee(now); neighbour {
				c.Check(got, qt.Equals, 40)
			} else {
				c.Check(got, qt.Equals, 20, qt.Commentf("at %v", now.Sub(t0)))
			}
		}
	}
}

// TestSlowServerReturns guards against a server that was slow, got no traffic for that reason, and counts as slow although its few
// runs since are as fast as others'.
func TestSlowServerReturns(t *testing.T) {
	c := qt.New(t)
	s, usual := newServer(0), newServer(0)
	s.slow = 3
	s.play(20 * time.Second)
	usual.play(20 * time.Second)
	var service crspeed.Comparison
	service.Observe("usual", "r", usual.e.Report(usual.now, "r").RunTime)
	service.Observe("slow", "r", s.e.Report(s.now, "r").RunTime)
	c.Check(service.Speed("slow") < 0.8, qt.IsTrue)
	s.now, s.slow = s.now.Add(time.Minute), 1
	s.play(10 * time.Millisecond)
	service.Observe("slow", "r", s.e.Report(s.now, "r").RunTime)
	c.Check(service.Speed("slow"), qt.Equals, 1.0)
}

// TestComparisonBounds guards against figures that grow with servers or routes, and against a speed beyond the bounds.
func TestComparisonBounds(t *testing.T) {
	c := qt.New(t)
	var s crspeed.Comparison
	for i := range 100 {
		for j := range 100 {
			s.Observe(fmt.Sprint(i), fmt.Sprint(j), time.Duration(1+i*i)*10*time.Millisecond)
		}
	}
	for i := range 100 {
		got := s.Speed(fmt.Sprint(i))
		c.Check(got >= 0.1 && got <= 2, qt.IsTrue, qt.Commentf("%d: %v", i, got))
	}
	s.Keep(func(string) bool { return false })
	c.Check(s.Speed("0"), qt.Equals, 1.0)
}

func BenchmarkRun(b *testing.B) {
	b.ReportAllocs()
	e, now := crspeed.Estimator{Slots: 50}, t0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		mark := e.Begin(now, 5)
		e.RecordLoad(now, crspeed.Load{Running: 5, Slots: 50, Slowness: 1})
		e.End(now.Add(time.Millisecond), crspeed.Run{Route: "r", Begin: mark, OwnShare: 1, Running: 5})
		e.Report(now, "r")
	}
}

// BenchmarkAnswer compares a server with 19 others by four routes, as for each answer.
func BenchmarkAnswer(b *testing.B) {
	b.ReportAllocs()
	var s crspeed.Comparison
	for i := range 80 {
		s.Observe(fmt.Sprint(i/4), fmt.Sprint(i%4), time.Duration(40+i)*time.Millisecond)
	}
	for b.Loop() {
		s.Observe("7", "2", 50*time.Millisecond)
		s.Speed("7")
		s.Slowness("7", 1.1)
	}
}
