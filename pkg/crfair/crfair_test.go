package crfair_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crfair"
)

var start = time.Unix(1000, 0)

// deployment plays the entrances of one service in virtual time.
type deployment struct {
	entrances []crfair.Divider
	// usual holds the usual rate of each organisation at all entrances, in requests per second.
	usual []float64
	// capacity is the work that the service does, in requests per second.
	capacity float64
	// plain admits the same fraction of all organisations.
	plain        bool
	rnd          *rand.Rand
	now          time.Time
	sent, served []float64
}

// newDeployment returns a deployment whose organisations have a skewed usual rate, in total that many requests per second.
func newDeployment(entrances, organisations int, skew, total float64) *deployment {
	d := &deployment{entrances: make([]crfair.Divider, entrances), capacity: math.Inf(1), rnd: rand.New(rand.NewPCG(1, 2)), now: start}
	sum := 0.0
	for i := range organisations {
		d.usual = append(d.usual, math.Pow(float64(i+1), -skew))
		sum += d.usual[i]
	}
	for i := range d.usual {
		d.usual[i] *= total / sum
	}
	return d
}

// fraction returns the fraction of requests like r to admit where all have one priority.
func fraction(d *crfair.Divider, now time.Time, r crfair.Request, share float64) float64 {
	excess, parts := d.Record(now, r, share < 1)
	usual := min(1, share/max(1-parts.Service, share))
	if !excess || parts.Service == 0 {
		return usual
	}
	return parts.ExcessFraction(share, crfair.Usual{Total: usual, Own: usual})
}

// play sends requests for the time; rates holds the factors by which organisations differ from the usual.
func (d *deployment) play(took time.Duration, rates map[int]float64) {
	d.sent, d.served = make([]float64, len(d.usual)), make([]float64, len(d.usual))
	var until []float64
	total := 0.0
	for i, u := range d.usual {
		if f, ok := rates[i]; ok {
			u *= f
		}
		total += u
		until = append(until, total)
	}
	share := min(1, d.capacity/total)
	for end := d.now.Add(took); d.now.Before(end); {
		d.now = d.now.Add(time.Duration(d.rnd.ExpFloat64() / total * float64(time.Second)))
		x, o := d.rnd.Float64()*total, 0
		for until[o] <= x {
			o++
		}
		f := share
		if !d.plain {
			r := crfair.Request{Service: "s", Organisation: fmt.Sprint(o), Work: 0.1}
			f = fraction(&d.entrances[d.rnd.IntN(len(d.entrances))], d.now, r, share)
		}
		d.sent[o]++
		if d.rnd.Float64() < f {
			d.served[o]++
		}
	}
}

func (d *deployment) fraction(o int) float64 { return d.served[o] / d.sent[o] }

// others returns the fraction that is served of all organisations but one.
func (d *deployment) others(but int) float64 {
	sent, served := 0.0, 0.0
	for o := range d.sent {
		if o != but {
			sent += d.sent[o]
			served += d.served[o]
		}
	}
	return served / sent
}

// tolerance is the part of all requests by which served shares may miss the target.
const tolerance = 0.05

// entitled returns the fraction that would be served of each organisation if none exceeded its usual rate.
func (d *deployment) entitled() float64 { return min(1, d.capacity/totalRate) }

// totalRate is the usual rate of all organisations together, in requests per second.
const totalRate = 2000

// excess plays a burst of one organisation at a service that is then offered so many times its capacity, after a minute as
// usual. The first second, within which shares follow the demand, does not count.
func excess(entrances, hot int, factor, over float64, plain bool) *deployment {
	d := newDeployment(entrances, 70, 1.2, totalRate)
	d.plain = plain
	d.play(time.Minute, nil)
	d.capacity = (totalRate + (factor-1)*d.usual[hot]) / over
	d.play(time.Second, map[int]float64{hot: factor})
	d.play(10*time.Second, map[int]float64{hot: factor})
	return d
}

// TestExcess guards against an organisation that sends several times its usual and takes the share of the others, and against
// one that is served less than a quarter as often as all together. Entrances see all of the traffic, or one of 50 parts.
func TestExcess(t *testing.T) {
	for _, entrances := range []int{1, 50} {
		for _, hot := range []int{0, 1, 5, 20} {
			for _, load := range [][2]float64{{4, 1.2}, {4, 2}, {4, 3}, {7.5, 1.2}, {7.5, 2}, {7.5, 3}} {
				d := excess(entrances, hot, load[0], load[1], false)
				name := qt.Commentf("%d entrances, organisation %d sends %.1f times its usual, %.1f times the capacity", entrances, hot, load[0], load[1])
				qt.Assert(t, d.others(hot) >= d.entitled()-tolerance, qt.IsTrue, name, qt.Commentf("%.3f of %.3f", d.others(hot), d.entitled()))
				all := d.others(-1)
				qt.Assert(t, all >= 1/load[1]-tolerance && all <= 1/load[1]+tolerance, qt.IsTrue, name, qt.Commentf("%.3f served", all))
				for o := range d.sent {
					if d.sent[o] >= 50 {
						qt.Assert(t, d.fraction(o) >= all/4, qt.IsTrue, name, qt.Commentf("organisation %d: %.3f of %.3f", o, d.fraction(o), all))
					}
				}
			}
		}
	}
}

// TestExcessWithoutDivision shows that TestExcess fails where all requests are refused alike.
func TestExcessWithoutDivision(t *testing.T) {
	for _, hot := range []int{0, 1, 5} {
		d := excess(50, hot, 7.5, 2, true)
		qt.Assert(t, d.others(hot) < d.entitled()-tolerance, qt.IsTrue, qt.Commentf("%.3f of %.3f", d.others(hot), d.entitled()))
	}
}

// TestIdle guards against an organisation that was idle for some minutes and is refused as if it exceeded its usual rate.
func TestIdle(t *testing.T) {
	const hot, idle = 0, 3
	d := newDeployment(50, 70, 1.2, totalRate)
	d.play(time.Minute, nil)
	d.play(3*time.Minute, map[int]float64{idle: 0})
	d.capacity = totalRate
	d.play(time.Second, map[int]float64{hot: 5})
	d.play(10*time.Second, map[int]float64{hot: 5})
	qt.Assert(t, d.fraction(idle) >= 1-2*tolerance, qt.IsTrue, qt.Commentf("%.3f", d.fraction(idle)))
	qt.Assert(t, d.fraction(hot) <= 0.3, qt.IsTrue, qt.Commentf("%.3f", d.fraction(hot)))
}

// TestAllExceed guards against capacity that is not used, or an unequal division, when all organisations send more than
// usual, and when an entrance starts in the middle of a burst.
func TestAllExceed(t *testing.T) {
	d := newDeployment(10, 20, 1, totalRate)
	all := map[int]float64{}
	for o := range d.usual {
		all[o] = 2
	}
	for _, warmUp := range []time.Duration{0, time.Minute} {
		d.entrances = make([]crfair.Divider, len(d.entrances))
		d.play(warmUp, nil)
		d.capacity = totalRate
		d.play(time.Second, all)
		d.play(10*time.Second, all)
		served := d.others(-1)
		qt.Assert(t, math.Abs(served-0.5) <= tolerance, qt.IsTrue, qt.Commentf("%.3f", served))
		for o := range d.usual {
			qt.Assert(t, d.fraction(o) >= served/4, qt.IsTrue, qt.Commentf("organisation %d: %.3f", o, d.fraction(o)))
		}
		d.capacity = math.Inf(1)
	}
}

// TestBounded guards against state that grows with the number of organisations.
func TestBounded(t *testing.T) {
	var d crfair.Divider
	for i := range 30_000 {
		d.Record(start.Add(time.Duration(i)*time.Millisecond), crfair.Request{Service: "s", Organisation: fmt.Sprint(i), Work: 0.1}, true)
	}
	qt.Assert(t, d.Accounts() <= 10_000, qt.IsTrue, qt.Commentf("%d", d.Accounts()))
	d.Record(start.Add(time.Hour), crfair.Request{Service: "s", Organisation: "o", Work: 0.1}, true)
	qt.Assert(t, d.Accounts(), qt.Equals, 1)
}

func ExampleDivider() {
	var d crfair.Divider
	now := start
	send := func(organisation string, short bool) (excess bool, parts crfair.Parts) {
		return d.Record(now, crfair.Request{Service: "deep", Organisation: organisation, Work: 0.1}, short)
	}
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		send("calm", false)
		send("hot", false)
	}
	var calm, hot bool
	var parts crfair.Parts
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		calm, _ = send("calm", true)
		for range 4 {
			hot, parts = send("hot", true)
		}
	}
	// The service has capacity for half of the work, and all usual work is admitted.
	fmt.Printf("calm %t, hot %t, of its excess %.1f\n", calm, hot, parts.ExcessFraction(0.5, crfair.Usual{Total: 1, Own: 1}))
	// Output: calm false, hot true, of its excess 0.1
}

// TestExcessOrder guards against excess that is preferred to usual work, and against an important priority that is served less
// than the next one because one of its organisations exceeds its usual.
func TestExcessOrder(t *testing.T) {
	parts := crfair.Parts{Service: 0.5, Priority: 0.8, Own: 0.9}
	qt.Assert(t, parts.ExcessFraction(0.4, crfair.Usual{Total: 0.8, Own: 0.03}), qt.Equals, 0.03)
	f := parts.ExcessFraction(0.4, crfair.Usual{Total: 0.8, Own: 1, Next: 0.7})
	qt.Assert(t, math.Abs((1-parts.Priority)+parts.Priority*f-(0.7-tolerance)) < 1e-9, qt.IsTrue, qt.Commentf("%v", f))
	qt.Assert(t, crfair.Parts{}.ExcessFraction(0.4, crfair.Usual{Total: 0.4, Own: 0.4}), qt.Equals, 0.4)
}
