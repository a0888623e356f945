package crshed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/crshed"
)

var start = time.Unix(1000, 0)

// Example embeds the parts in a node that is an entrance and has the gate of a deep service beside it.
func Example() {
	var (
		gate   crshed.Regulator
		board  crshed.Board
		shares crshed.Shares
	)
	// A server of 10 slots is asked for 20 runs of 100 ms in each step of 100 ms; nothing is turned away yet.
	now := start
	for range 30 {
		gate.Occupied(now, 10, 0, 10)
		gate.Tick(now)
		for range 20 {
			gate.Arrived(100*time.Millisecond, 1)
		}
		now = now.Add(crshed.TickInterval)
	}
	gate.Tick(now)
	board.Heard(now, "deep", "gate-1", gate.Pressure(), 10)
	// Half of the offered work matters most.
	for range 50 {
		shares.Offer(now, "deep", 0, 100*time.Millisecond)
		shares.Offer(now, "deep", 1, 100*time.Millisecond)
	}
	pressure := board.Pressure(now, "deep")
	fmt.Printf("pressure %.1f, let in %.2f and %.2f\n", pressure, shares.Share(now, "deep", 0, pressure), shares.Share(now, "deep", 1, pressure))
	// Output: pressure 2.0, let in 1.00 and 0.03
}

// bottleneck replays, in steps of TickInterval, a deep service behind chains: what an entrance lets in reaches the server a
// quarter of a second later and stays for half a second.
type bottleneck struct {
	slots     int
	regulator crshed.Regulator
	shares    crshed.Shares
	// pipe holds what was let in and what was offered, load and offered what is on the server of it.
	pipe          [2][2]float64
	load, offered float64
	step          int
}

// advance offers work of two priorities, in sets of slots, for one step, and returns what is let in of each and all of it.
func (b *bottleneck) advance(slots int, offered [2]float64) (in [2]float64, all float64) {
	const stay = 0.5 // seconds
	now := start.Add(time.Duration(b.step) * crshed.TickInterval)
	for p, work := range offered {
		// Requests of one priority take four times what those of the other do; both fill the mix.
		takes := []time.Duration{200 * time.Millisecond, 50 * time.Millisecond}[p]
		for range int(work * float64(b.slots) * crshed.TickInterval.Seconds() / takes.Seconds()) {
			b.shares.Offer(now, "deep", p, takes)
		}
	}
	pressure := b.regulator.Pressure()
	for p, work := range offered {
		in[p] = work * b.shares.Share(now, "deep", p, pressure)
		all += in[p]
	}
	came := &b.pipe[b.step%len(b.pipe)]
	b.load += (came[0] - b.load) * crshed.TickInterval.Seconds() / stay
	b.offered += (came[1] - b.offered) * crshed.TickInterval.Seconds() / stay
	*came = [2]float64{all, all / b.shares.Passed(now, "deep", pressure)}
	running := min(int(b.load*float64(b.slots)), slots)
	b.regulator.Occupied(now, running, int(b.load*float64(b.slots))-running, slots)
	b.regulator.Arrived(time.Duration(b.load*float64(b.slots)*float64(crshed.TickInterval)), b.load/b.offered)
	b.regulator.Tick(now.Add(crshed.TickInterval))
	b.step++
	return in, all
}

// TestOverload replays a demand of twice the slots that lasts 20 s and then falls to half of them. It guards against a
// regulator that swings, lets the server stay flooded or goes on turning work away when there is room.
func TestOverload(t *testing.T) {
	b := &bottleneck{slots: 60}
	flooded, idle := 0, 0
	for i := range 400 {
		offered := [2]float64{0.4, 1.6}
		if i >= 200 {
			offered = [2]float64{0.1, 0.4}
		}
		b.advance(60, offered)
		if i >= 50 && i < 200 && b.load > 1.1 {
			flooded++
		}
		if i >= 50 && i < 200 && b.load < 0.6 {
			idle++
		}
	}
	qt.Assert(t, flooded < 8, qt.IsTrue, qt.Commentf("%d of 150 steps flooded", flooded))
	qt.Assert(t, idle < 8, qt.IsTrue, qt.Commentf("%d of 150 steps idle", idle))
	qt.Assert(t, b.regulator.Pressure() < 1, qt.IsTrue, qt.Commentf("pressure %v 20 s after the end", b.regulator.Pressure()))
}

// TestHalved replays the loss of half of the slots while the most important work alone asks for more than those that are
// left. It guards against a control that turns away the less important work only and takes many seconds to reach the rest:
// all that is let in meanwhile dies in the middle of its chains.
func TestHalved(t *testing.T) {
	const (
		halved = 50 // the step of the loss
		within = 12 // steps of 100 ms: "within about a second"
	)
	b := &bottleneck{slots: 100}
	for i := range 150 {
		slots := b.slots
		if i >= halved {
			slots /= 2
		}
		in, all := b.advance(slots, [2]float64{0.8, 0.6})
		if i >= halved+within {
			qt.Assert(t, all <= 0.5*1.1, qt.IsTrue, qt.Commentf("%.2f let in for 0.5 of the slots, %.1f s after the loss", all, float64(i-halved)/10))
			qt.Assert(t, in[0]/0.8 >= in[1]/0.6-1e-9, qt.IsTrue, qt.Commentf("%v", in))
		}
		if i >= 100 {
			qt.Assert(t, all >= 0.5*0.8, qt.IsTrue, qt.Commentf("%.2f let in for 0.5 of the slots", all))
		}
	}
}

// TestBoardWeighs guards against servers that get no work, because they fail or were ejected, whose gates therefore see no
// load and speak for room that is not there: the others are flooded while hardly anything is turned away.
func TestBoardWeighs(t *testing.T) {
	var b crshed.Board
	for gate, g := range map[string]struct {
		pressure float64
		load     int
	}{"flooded-1": {0.97, 488}, "flooded-2": {0.97, 480}, "failing": {0.2, 60}, "ejected": {0, 2}} {
		b.Heard(start, "deep", gate, g.pressure, g.load)
	}
	qt.Assert(t, b.Pressure(start, "deep") > 0.9, qt.IsTrue, qt.Commentf("%.2f", b.Pressure(start, "deep")))
	// An idle service is one that turns nothing away.
	b.Heard(start, "idle", "a", 0, 0)
	qt.Assert(t, b.Pressure(start, "idle"), qt.Equals, 0.0)
}

// TestRefused guards against a gate that refuses a lot and therefore looks as if it had room.
func TestRefused(t *testing.T) {
	r := &crshed.Regulator{}
	for i := range 10 {
		now := start.Add(time.Duration(i) * crshed.TickInterval)
		r.Occupied(now, 10, 0, 20)
		for range 200 {
			r.Arrived(20*time.Millisecond, 1)
		}
		r.Tick(now.Add(crshed.TickInterval))
	}
	qt.Assert(t, r.Pressure() > 1.3, qt.IsTrue, qt.Commentf("%v", r.Pressure()))
}

// TestLetInBefore guards against a pressure that winds up: calls of chains that were let in before anything was turned away go
// on for a while, and stand for themselves only.
func TestLetInBefore(t *testing.T) {
	r := &crshed.Regulator{}
	step := func(i int, share float64) {
		now := start.Add(time.Duration(i) * crshed.TickInterval)
		r.Occupied(now, 10, 0, 10)
		for range 10 {
			r.Arrived(100*time.Millisecond, share)
		}
		r.Tick(now.Add(crshed.TickInterval))
	}
	for i := range 30 {
		step(i, 1)
		qt.Assert(t, r.Pressure() < 1.1, qt.IsTrue, qt.Commentf("%v", r.Pressure()))
	}
	// Those that were let in as one of four tell the rest as soon as they arrive.
	for i := range 5 {
		step(30+i, 0.25)
	}
	qt.Assert(t, r.Pressure() > 3.5 && r.Pressure() < 4.1, qt.IsTrue, qt.Commentf("%v", r.Pressure()))
}

// TestRoots guards against calls that carry what is let in now in place of what was when the requests came that they belong to.
func TestRoots(t *testing.T) {
	var r crshed.Roots
	qt.Assert(t, r.Rates(), qt.IsNil)
	early, late := crshed.Rates{}, crshed.Rates{"deep": 0.25, "wide": 1}
	r.Began(early)
	r.Began(late)
	// One stands for itself, one for four.
	qt.Assert(t, r.Rates(), qt.DeepEquals, crshed.Rates{"deep": 0.4})
	r.Ended(early)
	qt.Assert(t, r.Rates(), qt.DeepEquals, crshed.Rates{"deep": 0.25})
	r.Ended(late)
	qt.Assert(t, r.Rates(), qt.IsNil)
	for share, want := range map[float64]float64{0: 1 / crshed.MaxPressure, -1: 1 / crshed.MaxPressure, math.NaN(): 1 / crshed.MaxPressure, 2: 1} {
		qt.Assert(t, crshed.Rates{"deep": share}.Of("deep"), qt.Equals, want, qt.Commentf("%v", share))
	}
	qt.Assert(t, early.Of("deep"), qt.Equals, 1.0)
}

// TestHung guards against a server whose runs hang and that therefore is asked for little.
func TestHung(t *testing.T) {
	r := &crshed.Regulator{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * crshed.TickInterval)
		r.Occupied(now, 20, 20, 20)
		r.Arrived(20*time.Millisecond, 1)
		r.Tick(now.Add(crshed.TickInterval))
	}
	qt.Assert(t, r.Pressure() > 1.3, qt.IsTrue, qt.Commentf("%v", r.Pressure()))
}

// TestOrder guards against a more important priority that loses work while a less important one does not, and against
// one that is turned away entirely.
func TestOrder(t *testing.T) {
	s := &crshed.Shares{}
	in := map[int]int{}
	const settling = 500 // steps in which the more important priorities follow the pressure
	for i := range settling + 3000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for p := range 3 {
			s.Offer(now, "deep", p, 10*time.Millisecond)
		}
		for p := range 3 {
			if s.Admit(string(rune('a'+p)), s.Share(now, "deep", p, 2)) && i >= settling {
				in[p]++
			}
		}
	}
	qt.Assert(t, in[0], qt.Equals, 3000)
	qt.Assert(t, in[1] > 1400 && in[1] < 1600, qt.IsTrue, qt.Commentf("%v", in))
	qt.Assert(t, in[2] > 80 && in[2] < 100, qt.IsTrue, qt.Commentf("%v", in))
}

// TestCheap guards against many requests that are turned away to free little: those that take a fraction of what the more
// important ones take lose no more than these.
func TestCheap(t *testing.T) {
	for name, x := range map[string]struct {
		classes []crshed.Class
		share   float64
		want    []float64
	}{
		"all":          {[]crshed.Class{{0, 4, 4}, {1, 4, 4}}, 1, []float64{1, 1}},
		"least first":  {[]crshed.Class{{0, 4, 4}, {1, 4, 4}}, 0.75, []float64{1, 0.5}},
		"cheap stays":  {[]crshed.Class{{0, 8, 4}, {1, 2, 20}, {2, 10, 5}}, 0.5, []float64{1, 1, 0.03}},
		"cheap shares": {[]crshed.Class{{0, 8, 4}, {1, 2, 20}, {2, 10, 5}}, 0.25, []float64{0.5, 0.5, 0.03}},
		"dear is last": {[]crshed.Class{{0, 2, 20}, {1, 8, 4}}, 0.6, []float64{1, 0.5}},
		"nothing":      {nil, 0.5, []float64{}},
	} {
		t.Run(name, func(t *testing.T) {
			got := crshed.Allot(x.classes, x.share)
			qt.Assert(t, fmt.Sprintf("%.2f", got), qt.Equals, fmt.Sprintf("%.2f", x.want))
		})
	}
}

// TestAllot guards, for any mix, against a class that gets less than one behind it, and against more work than can be done
// beyond what every class is left.
func TestAllot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var classes []crshed.Class
		all := 0.0
		for p := range rapid.IntRange(1, 6).Draw(t, "classes") {
			c := crshed.Class{Priority: p, Offered: rapid.Float64Range(0, 100).Draw(t, "offered"), Requests: rapid.Float64Range(0.1, 100).Draw(t, "requests")}
			classes, all = append(classes, c), all+c.Offered
		}
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		parts, in := crshed.Allot(classes, share), 0.0
		for i, part := range parts {
			in += part * classes[i].Offered
			if i > 0 && part > parts[i-1]+1e-9 {
				t.Fatalf("%v for %v", parts, classes)
			}
		}
		if in > (share+0.03)*all+1e-6 {
			t.Fatalf("%v of %v let in at a share of %v", in, all, share)
		}
	})
}

// TestRoom guards against a request that is turned away while there is room for all: sums of shares are not exact.
func TestRoom(t *testing.T) {
	s := &crshed.Shares{}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 7 * time.Millisecond)
		p := i % 3
		s.Offer(now, "deep", p, time.Duration(7+i%13)*time.Millisecond)
		share := s.Share(now, "deep", p, float64(i%100)/99)
		qt.Assert(t, s.Admit(string(rune('a'+p)), share), qt.IsTrue, qt.Commentf("share %v", share))
	}
}

// TestComeBack guards against hints that make answers late though there is time, and against clients that are told to come
// back at once for an answer that is late anyway.
func TestComeBack(t *testing.T) {
	longest := func(d time.Duration) time.Duration { return d }
	for spare, want := range map[time.Duration][2]time.Duration{
		800 * time.Millisecond: {200 * time.Millisecond, 400 * time.Millisecond},
		80 * time.Millisecond:  {20 * time.Millisecond, 40 * time.Millisecond},
		0:                      {time.Second, 2 * time.Second},
		-time.Second:           {time.Second, 2 * time.Second},
	} {
		qt.Assert(t, crshed.ComeBack(spare, func(time.Duration) time.Duration { return 0 }), qt.Equals, want[0])
		qt.Assert(t, crshed.ComeBack(spare, longest), qt.Equals, want[1])
	}
}

// TestBoardFresher guards against an entrance that goes by what it heard of each gate itself, a second ago on average where it
// sends few requests to many gates, while each answer passes on what others heard just now.
func TestBoardFresher(t *testing.T) {
	var b crshed.Board
	const gates = 10
	for i := range gates {
		b.Heard(start.Add(time.Duration(i)*100*time.Millisecond), "deep", string(rune('a'+i)), 1, 10)
	}
	now := start.Add(gates * 100 * time.Millisecond)
	qt.Assert(t, b.Pressure(now, "deep"), qt.Equals, 1.0)
	b.Passed(now, "deep", 4, 200*time.Millisecond)
	qt.Assert(t, b.Pressure(now, "deep"), qt.Equals, 4.0)
	e := b.Entries(now, 1)
	qt.Assert(t, e, qt.DeepEquals, []crshed.Entry{{Service: "deep", Pressure: 4, Age: 200 * time.Millisecond}})
	for i := range gates {
		b.Heard(now, "deep", string(rune('a'+i)), 2, 10)
	}
	qt.Assert(t, b.Pressure(now, "deep"), qt.Equals, 2.0)
}

// TestBoard guards against news that older ones replace, and against a pressure that outlives its gate.
func TestBoard(t *testing.T) {
	b := &crshed.Board{}
	b.Passed(start, "deep", 0.8, 100*time.Millisecond)
	b.Passed(start, "deep", 0.2, 300*time.Millisecond)
	qt.Assert(t, b.Pressure(start, "deep"), qt.Equals, 0.8)
	b.Heard(start, "deep", "g1", 0.5, 10)
	b.Heard(start, "deep", "g2", 0.3, 10)
	qt.Assert(t, b.Pressure(start, "deep"), qt.Equals, 0.4)
	e := b.Entries(start.Add(time.Second), 4)
	qt.Assert(t, e, qt.DeepEquals, []crshed.Entry{{Service: "deep", Pressure: 0.4, Age: time.Second}})
	qt.Assert(t, b.Pressure(start.Add(time.Minute), "deep"), qt.Equals, 0.0)
	qt.Assert(t, b.Entries(start.Add(time.Minute), 4), qt.HasLen, 0)
}
