package crshed_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/crshed"
)

// refuse replays steps of TickInterval in each of which the server accepts and refuses the given numbers of runs, at a limit of
// 80 of which the given number are in use. It returns the share after each step.
func refuse(r *crshed.Refusals, from time.Time, steps, accepted, refused, running int) (shares []float64) {
	for i := range steps {
		for range accepted {
			r.Record(false, running, 80)
		}
		for range refused {
			r.Record(true, running, 80)
		}
		r.Tick(from.Add(time.Duration(i+1) * crshed.TickInterval))
		shares = append(shares, r.Share())
	}
	return shares
}

// TestRefusalsFollow guards against a share that follows the begin or the end of refusals later than within half a second.
func TestRefusalsFollow(t *testing.T) {
	r := &crshed.Refusals{}
	refuse(r, start, 10, 150, 0, 40)
	rising := refuse(r, start.Add(time.Second), 5, 45, 55, 20)
	qt.Assert(t, rising[4] > 0.5 && rising[4] <= 0.55, qt.IsTrue, qt.Commentf("%v", rising))
	falling := refuse(r, start.Add(1500*time.Millisecond), 5, 100, 0, 40)
	qt.Assert(t, falling[4], qt.Equals, 0.0, qt.Commentf("%v", falling))
}

// TestRefusalsOfRareRuns guards against refusals that are not noticed at a server with few runs per step.
func TestRefusalsOfRareRuns(t *testing.T) {
	shares := refuse(&crshed.Refusals{}, start, 20, 3, 4, 10)
	qt.Assert(t, shares[9] > 0.5 && shares[9] < 0.6, qt.IsTrue, qt.Commentf("%v", shares))
}

// TestRefusalsOfGoodServers guards against a lower capacity of a server that refuses a few runs, or that is full.
func TestRefusalsOfGoodServers(t *testing.T) {
	for name, x := range map[string]struct{ accepted, refused, running int }{
		"few runs":      {1, 1, 2},
		"few refusals":  {95, 5, 40},
		"full":          {50, 50, 79},
		"nothing":       {0, 0, 0},
		"nothing wrong": {100, 0, 40},
	} {
		t.Run(name, func(t *testing.T) {
			for _, share := range refuse(&crshed.Refusals{}, start, 50, x.accepted, x.refused, x.running) {
				qt.Assert(t, share, qt.Equals, 0.0)
			}
		})
	}
}

// TestRefusalsHysteresis guards against a capacity that changes several times a second while the share is near the limit, and
// against a share that stays forever at a server that gets no runs.
func TestRefusalsHysteresis(t *testing.T) {
	r, changes, last := &crshed.Refusals{}, 0, false
	for i := range 100 {
		share := refuse(r, start.Add(time.Duration(i)*crshed.TickInterval), 1, 90, 8+4*(i%2), 20)[0]
		if refusing := share > 0; refusing != last {
			changes, last = changes+1, refusing
		}
	}
	qt.Assert(t, changes <= 1, qt.IsTrue, qt.Commentf("%d changes", changes))
	refuse(r, start.Add(10*time.Second), 10, 45, 55, 20)
	qt.Assert(t, r.Share() > 0, qt.IsTrue)
	idle := refuse(r, start.Add(11*time.Second), 100, 0, 0, 0)
	qt.Assert(t, idle[9] > 0, qt.IsTrue, qt.Commentf("the share ends after a second without runs"))
	qt.Assert(t, idle[99], qt.Equals, 0.0)
}

func servers(refused ...float64) (out []crshed.ServerCapacity) {
	for _, share := range refused {
		out = append(out, crshed.ServerCapacity{Limit: 80, Refused: share})
	}
	return out
}

// TestUsefulCapacity guards against admitting work whose chains fail midway while a server without refusals could finish nearly
// as many, and against refusing work where that finishes no more chains.
func TestUsefulCapacity(t *testing.T) {
	for name, x := range map[string]struct {
		servers   []crshed.ServerCapacity
		offered   float64
		calls     int
		low, high float64
	}{
		"no refusals":          {servers(0, 0, 0, 0), 300, 4, 320, 320},
		"three of four":        {servers(0.55, 0, 0.55, 0.55), 210, 4, 80, 130},
		"three of four, burst": {servers(0.55, 0, 0.55, 0.55), 320, 4, 80, 150},
		"two of four":          {servers(0.55, 0, 0, 0.55), 320, 4, 160, 220},
		"within one server":    {servers(0.55, 0, 0.55, 0.55), 80, 4, 320, 320},
		"all alike":            {servers(0.55, 0.55, 0.55, 0.55), 300, 4, 30, 90},
		"all alike, lightly":   {servers(0.1, 0.1, 0.1, 0.1), 300, 4, 320, 320},
		"direct requests":      {servers(0.55, 0, 0.55, 0.55), 300, 1, 320, 320},
		"retries suffice":      {servers(0.1, 0, 0.1, 0.1), 300, 4, 320, 320},
		"almost everything":    {servers(0.9, 0, 0.9, 0.9), 300, 4, 75, 85},
		"nothing known":        {nil, 300, 4, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := crshed.UsefulCapacity(x.servers, x.offered, x.offered, 0.2, x.calls)
			qt.Assert(t, got >= x.low && got <= x.high, qt.IsTrue, qt.Commentf("%.0f slots", got))
		})
	}
}

// TestUsefulCapacityBounds guards, for any servers, against more capacity than their limits and against less than the servers
// without refusals have.
func TestUsefulCapacityBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, sound, total := []crshed.ServerCapacity{}, 0.0, 0.0
		for range rapid.IntRange(1, 20).Draw(t, "servers") {
			s := crshed.ServerCapacity{Limit: rapid.IntRange(1, 150).Draw(t, "limit"), Refused: rapid.Float64Range(0, 1).Draw(t, "refused")}
			if rapid.Bool().Draw(t, "sound") {
				s.Refused = 0
				sound += float64(s.Limit)
			}
			list, total = append(list, s), total+float64(s.Limit)
		}
		offered := rapid.Float64Range(0, 3000).Draw(t, "offered")
		got := crshed.UsefulCapacity(list, offered, rapid.Float64Range(0, 1000).Draw(t, "recent"), 0.2, rapid.IntRange(1, 8).Draw(t, "calls"))
		// The amounts of work that are compared are a sixty-fourth of the offered work apart, and a hundredth may be given up.
		if least := min(sound, offered) - offered/64 - total/50; got < least || got > total+1e-9 {
			t.Fatalf("%v slots for %v offered; %v without refusals, %v in all", got, offered, sound, total)
		}
	})
}

// TestPressureOfRefusingServers guards against a pressure that ignores refusals, or that a few fresh reports lower, and against a
// change of the pressure of a service without refusals.
func TestPressureOfRefusingServers(t *testing.T) {
	var full, partial crshed.PressureTable
	report := func(b *crshed.PressureTable, now time.Time, gate string, refused float64) {
		b.UpdateFromGate(now, "deep", gate, 0.7, 40)
		b.UpdateCapacity("deep", gate, crshed.ServerCapacity{Limit: 80, Refused: refused})
	}
	for _, b := range []*crshed.PressureTable{&full, &partial} {
		b.UpdateServers(map[string]int{"deep": 4})
	}
	for _, gate := range []string{"a", "b", "c", "d"} {
		report(&full, start, gate, 0)
	}
	qt.Assert(t, full.Pressure(start, "deep"), qt.Equals, 0.7)
	now := start.Add(100 * time.Millisecond)
	report(&full, now, "a", 0)
	for _, gate := range []string{"b", "c", "d"} {
		report(&full, now, gate, 0.55)
	}
	qt.Assert(t, full.Pressure(now, "deep") > 1.7, qt.IsTrue, qt.Commentf("%v", full.Pressure(now, "deep")))
	e := full.Entries(now, 1)[0]
	qt.Assert(t, e.Refusing, qt.IsTrue)
	e.Age = 50 * time.Millisecond
	partial.StoreEntry(now, e)
	report(&partial, now, "a", 0)
	qt.Assert(t, partial.Pressure(now, "deep"), qt.Equals, e.Pressure)
	partial.UpdateRelayed(now, "deep", 0.7, 0)
	qt.Assert(t, partial.Pressure(now, "deep"), qt.Equals, e.Pressure)
	later := now.Add(time.Second)
	partial.UpdateRelayed(later, "deep", 0.6, 0)
	qt.Assert(t, partial.Pressure(later, "deep"), qt.Equals, 0.6)
}

// TestPressureOfUnevenServers guards against a service that counts as short because the router fills its fast servers first, and
// against a server without work that hides the pressure on the others.
func TestPressureOfUnevenServers(t *testing.T) {
	report := func(b *crshed.PressureTable, gate string, pressure float64, load int) {
		b.UpdateFromGate(start, "deep", gate, pressure, load)
		b.UpdateCapacity("deep", gate, crshed.ServerCapacity{Limit: 80})
	}
	var uneven, ejected crshed.PressureTable
	report(&uneven, "fast", 1.3, 90)
	report(&uneven, "slow", 0.5, 30)
	qt.Assert(t, uneven.Pressure(start, "deep"), qt.Equals, 0.9)
	report(&ejected, "sound", 1.3, 90)
	report(&ejected, "ejected", 0, 0)
	qt.Assert(t, ejected.Pressure(start, "deep") > 1.2, qt.IsTrue)
}
