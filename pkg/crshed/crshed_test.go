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

// Example uses all types in a node that is both an entrance and the gate of a deep service.
func Example() {
	var (
		gate   crshed.Regulator
		board  crshed.PressureTable
		shares crshed.Admitter
	)
	// A server of 10 slots receives 20 calls of 100 ms each in every step of 100 ms; no requests are shed yet.
	now := start
	for range 30 {
		gate.RecordOccupancy(now, 10, 0, 10)
		gate.Tick(now)
		for range 20 {
			gate.RecordArrival(100*time.Millisecond, 1)
		}
		now = now.Add(crshed.TickInterval)
	}
	gate.Tick(now)
	board.UpdateFromGate(now, "deep", "gate-1", gate.Pressure(), 10)
	// Half of the offered work has the highest priority.
	for range 50 {
		shares.RecordOffered(now, "deep", 0, 100*time.Millisecond)
		shares.RecordOffered(now, "deep", 1, 100*time.Millisecond)
	}
	pressure := board.Pressure(now, "deep")
	fmt.Printf("pressure %.1f, admitted %.2f and %.2f\n", pressure,
		shares.AdmittedFraction(now, "deep", 0, pressure), shares.AdmittedFraction(now, "deep", 1, pressure))
	// Output: pressure 2.0, admitted 1.00 and 0.03
}

// bottleneck simulates, in steps of TickInterval, a deep service at the end of call chains: work that an entrance admits
// reaches the server a quarter of a second later and stays for half a second.
type bottleneck struct {
	slots     int
	regulator crshed.Regulator
	shares    crshed.Admitter
	// pipe delays the admitted and the offered work on their way to the server; load and offered are the amounts that the
	// server has.
	pipe          [2][2]float64
	load, offered float64
	step          int
}

// advance simulates one step. It offers work of two priorities, as multiples of the slots, and returns the admitted work of
// each and the sum of both.
func (b *bottleneck) advance(slots int, offered [2]float64) (admitted [2]float64, all float64) {
	const stay = 0.5 // seconds
	now := start.Add(time.Duration(b.step) * crshed.TickInterval)
	for p, work := range offered {
		// A request of the first priority takes four times as long as one of the second.
		takes := []time.Duration{200 * time.Millisecond, 50 * time.Millisecond}[p]
		for range int(work * float64(b.slots) * crshed.TickInterval.Seconds() / takes.Seconds()) {
			b.shares.RecordOffered(now, "deep", p, takes)
		}
	}
	pressure := b.regulator.Pressure()
	for p, work := range offered {
		admitted[p] = work * b.shares.AdmittedFraction(now, "deep", p, pressure)
		all += admitted[p]
	}
	arriving := &b.pipe[b.step%len(b.pipe)]
	b.load += (arriving[0] - b.load) * crshed.TickInterval.Seconds() / stay
	b.offered += (arriving[1] - b.offered) * crshed.TickInterval.Seconds() / stay
	*arriving = [2]float64{all, all / b.shares.TotalAdmittedFraction(now, "deep", pressure)}
	running := min(int(b.load*float64(b.slots)), slots)
	b.regulator.RecordOccupancy(now, running, int(b.load*float64(b.slots))-running, slots)
	b.regulator.RecordArrival(time.Duration(b.load*float64(b.slots)*float64(crshed.TickInterval)), b.load/b.offered)
	b.regulator.Tick(now.Add(crshed.TickInterval))
	b.step++
	return admitted, all
}

// TestOverload guards against a regulator that oscillates, leaves the server overloaded, or still sheds work when there is
// capacity. The demand is twice the slots for 20 s and then falls to half of them.
func TestOverload(t *testing.T) {
	b := &bottleneck{slots: 60}
	overloaded, idle := 0, 0
	for i := range 400 {
		offered := [2]float64{0.4, 1.6}
		if i >= 200 {
			offered = [2]float64{0.1, 0.4}
		}
		b.advance(60, offered)
		if i >= 50 && i < 200 && b.load > 1.1 {
			overloaded++
		}
		if i >= 50 && i < 200 && b.load < 0.6 {
			idle++
		}
	}
	qt.Assert(t, overloaded < 8, qt.IsTrue, qt.Commentf("%d of 150 steps overloaded", overloaded))
	qt.Assert(t, idle < 8, qt.IsTrue, qt.Commentf("%d of 150 steps idle", idle))
	qt.Assert(t, b.regulator.Pressure() < 1, qt.IsTrue, qt.Commentf("pressure %v 20 s after the end", b.regulator.Pressure()))
}

// TestHalved guards against a control loop that sheds only the less important work and takes many seconds to shed the rest,
// so that the work admitted meanwhile fails in the middle of its call chains. Half of the slots are lost while the most
// important work alone needs more than the remaining ones.
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
			qt.Assert(t, all <= 0.5*1.1, qt.IsTrue,
				qt.Commentf("%.2f admitted for 0.5 of the slots, %.1f s after the loss", all, float64(i-halved)/10))
			qt.Assert(t, in[0]/0.8 >= in[1]/0.6-1e-9, qt.IsTrue, qt.Commentf("%v", in))
		}
		if i >= 100 {
			qt.Assert(t, all >= 0.5*0.8, qt.IsTrue, qt.Commentf("%.2f admitted for 0.5 of the slots", all))
		}
	}
}

// TestBoardWeighs guards against an unweighted mean of pressures. Gates of servers that get no work, because they fail or
// were ejected, report a low pressure; with equal weights hardly any work is shed and the other servers are overloaded.
func TestBoardWeighs(t *testing.T) {
	var b crshed.PressureTable
	for gate, g := range map[string]struct {
		pressure float64
		load     int
	}{"flooded-1": {0.97, 488}, "flooded-2": {0.97, 480}, "failing": {0.2, 60}, "ejected": {0, 2}} {
		b.UpdateFromGate(start, "deep", gate, g.pressure, g.load)
	}
	qt.Assert(t, b.Pressure(start, "deep") > 0.9, qt.IsTrue, qt.Commentf("%.2f", b.Pressure(start, "deep")))
	// An idle service sheds nothing.
	b.UpdateFromGate(start, "idle", "a", 0, 0)
	qt.Assert(t, b.Pressure(start, "idle"), qt.Equals, 0.0)
}

// TestRefused guards against a regulator that counts only admitted calls, so that a gate that refuses many calls appears to
// have spare capacity.
func TestRefused(t *testing.T) {
	r := &crshed.Regulator{}
	for i := range 10 {
		now := start.Add(time.Duration(i) * crshed.TickInterval)
		r.RecordOccupancy(now, 10, 0, 20)
		for range 200 {
			r.RecordArrival(20*time.Millisecond, 1)
		}
		r.Tick(now.Add(crshed.TickInterval))
	}
	qt.Assert(t, r.Pressure() > 1.3, qt.IsTrue, qt.Commentf("%v", r.Pressure()))
}

// TestLetInBefore guards against a pressure that grows without bound. Requests that were admitted before shedding began make
// calls for some time, and these calls represent only themselves.
func TestLetInBefore(t *testing.T) {
	r := &crshed.Regulator{}
	step := func(i int, share float64) {
		now := start.Add(time.Duration(i) * crshed.TickInterval)
		r.RecordOccupancy(now, 10, 0, 10)
		for range 10 {
			r.RecordArrival(100*time.Millisecond, share)
		}
		r.Tick(now.Add(crshed.TickInterval))
	}
	for i := range 30 {
		step(i, 1)
		qt.Assert(t, r.Pressure() < 1.1, qt.IsTrue, qt.Commentf("%v", r.Pressure()))
	}
	// A call admitted at a share of 0.25 represents four offered calls as soon as it arrives.
	for i := range 5 {
		step(30+i, 0.25)
	}
	qt.Assert(t, r.Pressure() > 3.5 && r.Pressure() < 4.1, qt.IsTrue, qt.Commentf("%v", r.Pressure()))
}

// TestRoots guards against calls that carry the present admission rates instead of those at which their root requests were
// admitted.
func TestRoots(t *testing.T) {
	var r crshed.RootRates
	qt.Assert(t, r.Rates(), qt.IsNil)
	early, late := crshed.Rates{}, crshed.Rates{"deep": 0.25, "wide": 1}
	r.RunStarted(early)
	r.RunStarted(late)
	// One run represents one request, the other four.
	qt.Assert(t, r.Rates(), qt.DeepEquals, crshed.Rates{"deep": 0.4})
	r.RunEnded(early)
	qt.Assert(t, r.Rates(), qt.DeepEquals, crshed.Rates{"deep": 0.25})
	r.RunEnded(late)
	qt.Assert(t, r.Rates(), qt.IsNil)
	for share, want := range map[float64]float64{0: 1 / crshed.MaxPressure, -1: 1 / crshed.MaxPressure, math.NaN(): 1 / crshed.MaxPressure, 2: 1} {
		qt.Assert(t, crshed.Rates{"deep": share}.Of("deep"), qt.Equals, want, qt.Commentf("%v", share))
	}
	qt.Assert(t, early.Of("deep"), qt.Equals, 1.0)
}

// TestHung guards against a low pressure on a server whose runs hang and which therefore receives few calls.
func TestHung(t *testing.T) {
	r := &crshed.Regulator{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * crshed.TickInterval)
		r.RecordOccupancy(now, 20, 20, 20)
		r.RecordArrival(20*time.Millisecond, 1)
		r.Tick(now.Add(crshed.TickInterval))
	}
	qt.Assert(t, r.Pressure() > 1.3, qt.IsTrue, qt.Commentf("%v", r.Pressure()))
}

// TestOrder guards against shedding a priority before the less important ones, and against shedding a priority entirely.
func TestOrder(t *testing.T) {
	s := &crshed.Admitter{}
	admitted := map[int]int{}
	const settling = 500 // steps until the more important priorities have followed the pressure
	for i := range settling + 3000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for p := range 3 {
			s.RecordOffered(now, "deep", p, 10*time.Millisecond)
		}
		for p := range 3 {
			if s.Admit(string(rune('a'+p)), s.AdmittedFraction(now, "deep", p, 2)) && i >= settling {
				admitted[p]++
			}
		}
	}
	qt.Assert(t, admitted[0], qt.Equals, 3000)
	qt.Assert(t, admitted[1] > 1400 && admitted[1] < 1600, qt.IsTrue, qt.Commentf("%v", admitted))
	qt.Assert(t, admitted[2] > 80 && admitted[2] < 100, qt.IsTrue, qt.Commentf("%v", admitted))
}

// TestCheap guards against shedding many cheap requests to free little capacity: requests that cost a fraction of the more
// important ones are shed no more than these.
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
			got := crshed.AllocateShares(x.classes, x.share)
			qt.Assert(t, fmt.Sprintf("%.2f", got), qt.Equals, fmt.Sprintf("%.2f", x.want))
		})
	}
}

// TestAllot guards, for any mix, against a class that gets less than a less important one, and against admitting more work
// than the capacity plus the minimum that every class keeps.
func TestAllot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var classes []crshed.Class
		offered := 0.0
		for p := range rapid.IntRange(1, 6).Draw(t, "classes") {
			c := crshed.Class{Priority: p, Offered: rapid.Float64Range(0, 100).Draw(t, "offered"), Requests: rapid.Float64Range(0.1, 100).Draw(t, "requests")}
			classes, offered = append(classes, c), offered+c.Offered
		}
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		parts, admitted := crshed.AllocateShares(classes, share), 0.0
		for i, part := range parts {
			admitted += part * classes[i].Offered
			if i > 0 && part > parts[i-1]+1e-9 {
				t.Fatalf("%v for %v", parts, classes)
			}
		}
		if admitted > (share+0.03)*offered+1e-6 {
			t.Fatalf("%v of %v admitted at a share of %v", admitted, offered, share)
		}
	})
}

// TestRoom guards against shedding a request while there is capacity for all, because of rounding errors in sums of shares.
func TestRoom(t *testing.T) {
	s := &crshed.Admitter{}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 7 * time.Millisecond)
		p := i % 3
		s.RecordOffered(now, "deep", p, time.Duration(7+i%13)*time.Millisecond)
		share := s.AdmittedFraction(now, "deep", p, float64(i%100)/99)
		qt.Assert(t, s.Admit(string(rune('a'+p)), share), qt.IsTrue, qt.Commentf("share %v", share))
	}
}

// TestComeBack guards against retry delays that make an answer late although there is time, and against immediate retries of
// requests that cannot be answered in time.
func TestComeBack(t *testing.T) {
	longest := func(d time.Duration) time.Duration { return d }
	for spare, want := range map[time.Duration][2]time.Duration{
		800 * time.Millisecond: {200 * time.Millisecond, 400 * time.Millisecond},
		80 * time.Millisecond:  {20 * time.Millisecond, 40 * time.Millisecond},
		0:                      {time.Second, 2 * time.Second},
		-time.Second:           {time.Second, 2 * time.Second},
	} {
		qt.Assert(t, crshed.RetryDelay(spare, func(time.Duration) time.Duration { return 0 }), qt.Equals, want[0])
		qt.Assert(t, crshed.RetryDelay(spare, longest), qt.Equals, want[1])
	}
}

// TestBoardFresher guards against an entrance that ignores recent relayed pressures in favour of older direct reports. These
// are a second old on average where an entrance sends few requests to many gates.
func TestBoardFresher(t *testing.T) {
	var b crshed.PressureTable
	const gates = 10
	for i := range gates {
		b.UpdateFromGate(start.Add(time.Duration(i)*100*time.Millisecond), "deep", string(rune('a'+i)), 1, 10)
	}
	now := start.Add(gates * 100 * time.Millisecond)
	qt.Assert(t, b.Pressure(now, "deep"), qt.Equals, 1.0)
	b.UpdateRelayed(now, "deep", 4, 200*time.Millisecond)
	qt.Assert(t, b.Pressure(now, "deep"), qt.Equals, 4.0)
	e := b.Entries(now, 1)
	qt.Assert(t, e, qt.DeepEquals, []crshed.Entry{{Service: "deep", Pressure: 4, Age: 200 * time.Millisecond}})
	for i := range gates {
		b.UpdateFromGate(now, "deep", string(rune('a'+i)), 2, 10)
	}
	qt.Assert(t, b.Pressure(now, "deep"), qt.Equals, 2.0)
}

// TestBoard guards against an older pressure that replaces a newer one, and against a pressure that outlives its gate.
func TestBoard(t *testing.T) {
	b := &crshed.PressureTable{}
	b.UpdateRelayed(start, "deep", 0.8, 100*time.Millisecond)
	b.UpdateRelayed(start, "deep", 0.2, 300*time.Millisecond)
	qt.Assert(t, b.Pressure(start, "deep"), qt.Equals, 0.8)
	b.UpdateFromGate(start, "deep", "g1", 0.5, 10)
	b.UpdateFromGate(start, "deep", "g2", 0.3, 10)
	qt.Assert(t, b.Pressure(start, "deep"), qt.Equals, 0.4)
	e := b.Entries(start.Add(time.Second), 4)
	qt.Assert(t, e, qt.DeepEquals, []crshed.Entry{{Service: "deep", Pressure: 0.4, Age: time.Second}})
	qt.Assert(t, b.Pressure(start.Add(time.Minute), "deep"), qt.Equals, 0.0)
	qt.Assert(t, b.Entries(start.Add(time.Minute), 4), qt.HasLen, 0)
}

// TestFractionOfLittle guards against requests that are refused for a service of which they take almost nothing, and against
// others of their priority that are admitted more.
func TestFractionOfLittle(t *testing.T) {
	var a crshed.Admitter
	for range 100 {
		a.RecordOffered(start, "deep", 2, 160*time.Millisecond)
	}
	for range 30 {
		a.RecordOffered(start, "deep", 2, 6*time.Millisecond)
	}
	qt.Assert(t, a.FractionOfLittle("deep", 2, 6*time.Millisecond, 0.06) > 0.85, qt.IsTrue)
	qt.Assert(t, a.FractionOfLittle("deep", 2, 160*time.Millisecond, 0.06), qt.Equals, 0.06)
	qt.Assert(t, a.FractionOfLittle("deep", 2, 60*time.Millisecond, 0.06), qt.Equals, 0.06)
	qt.Assert(t, a.FractionOfLittle("deep", 2, 6*time.Millisecond, 1), qt.Equals, 1.0)
	qt.Assert(t, a.FractionOfLittle("other", 2, 6*time.Millisecond, 0.5), qt.Equals, 0.5)
}

// TestUnsmoothedFraction guards against requests under a lower pressure of their own that lower the smoothed pressure of the
// service for all others.
func TestUnsmoothedFraction(t *testing.T) {
	var a, plain crshed.Admitter
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		for _, x := range []*crshed.Admitter{&a, &plain} {
			x.RecordOffered(now, "deep", 0, 160*time.Millisecond)
			x.RecordOffered(now, "deep", 2, 160*time.Millisecond)
		}
		qt.Assert(t, a.UnsmoothedFraction("deep", 2, 0.6), qt.Equals, 1.0)
		qt.Assert(t, a.AdmittedFraction(now, "deep", 0, 5), qt.Equals, plain.AdmittedFraction(now, "deep", 0, 5))
	}
	qt.Assert(t, a.AdmittedFraction(now, "deep", 0, 5) < 0.5, qt.IsTrue)
}
