package crforward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// replay plays the admission of requests that use the service "deep" at several entrances, in virtual time.
type replay struct {
	nodes  []*Node
	routes []crroute.Route
	// rates holds the usual rates of the routes over all entrances, in requests per second, work the seconds that a request
	// takes of the service, and parts the organisations' parts of the requests.
	rates, work, parts []float64
	// capacity is the work of the service per second; admitted is the work that was admitted.
	capacity, admitted float64
	rnd                *rand.Rand
	now                time.Time
	// ranked holds how many organisations, the first ones, go before the others; if it is zero, the routes decide.
	ranked int
	// sent and served count requests by route and organisation.
	sent, served [][]float64
	// expected sums the fractions to admit by organisation, which vary less than the numbers that are served.
	expected []float64
}

// newReplay returns entrances with 70 organisations; divided says whether the configuration has them.
func newReplay(t testing.TB, entrances int, divided bool) *replay {
	r := &replay{
		rates: []float64{297, 985, 390}, work: []float64{0.062, 0.312, 0.156},
		rnd: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0),
	}
	var organisations []crroute.Organisation
	sum := 0.0
	for o := range 70 {
		r.parts = append(r.parts, math.Pow(float64(o+1), -1.2))
		sum += r.parts[o]
		if divided {
			organisations = append(organisations, crroute.Organisation{Name: fmt.Sprint(o)})
		}
	}
	for o := range r.parts {
		r.parts[o] /= sum
	}
	for p := range r.rates {
		r.routes = append(r.routes, crroute.Route{
			Name: fmt.Sprint(p), Host: "h", Prefix: fmt.Sprintf("/%d/", p), Kind: crroute.Repeatable, Timeout: time.Second, Priority: p,
			MaxAttempts: 1, Shares: []crroute.Share{{Service: "deep", Weight: 1}},
		})
	}
	table, err := crroute.New(1, r.routes, []crroute.Service{{Name: "deep"}}, crroute.Limits{}, organisations...)
	qt.Assert(t, err, qt.IsNil)
	for range entrances {
		n := &Node{}
		n.table.Store(table)
		for p, w := range r.work {
			n.costs.applyHint(r.routes[p].Name, crcost.Vector{"deep": w})
		}
		r.nodes = append(r.nodes, n)
	}
	return r
}

// usualWork returns the work that is usually offered per second.
func (r *replay) usualWork() (sum float64) {
	for p := range r.rates {
		sum += r.rates[p] * r.work[p]
	}
	return sum
}

// play sends requests for the time, those of one organisation at a multiple of the usual rate, on one route or, if route is
// negative, on all.
func (r *replay) play(took time.Duration, hot, route int, factor float64) {
	r.sent, r.served, r.admitted = make([][]float64, len(r.rates)), make([][]float64, len(r.rates)), 0
	r.expected = make([]float64, len(r.parts))
	weights := make([]float64, 0, len(r.rates)*len(r.parts))
	total, offered := 0.0, 0.0
	for p := range r.rates {
		r.sent[p], r.served[p] = make([]float64, len(r.parts)), make([]float64, len(r.parts))
		for o, part := range r.parts {
			rate := r.rates[p] * part
			if o == hot && (route < 0 || route == p) {
				rate *= factor
			}
			total += rate
			offered += rate * r.work[p]
			weights = append(weights, total)
		}
	}
	for end := r.now.Add(took); r.now.Before(end); {
		r.now = r.now.Add(time.Duration(r.rnd.ExpFloat64() / total * float64(time.Second)))
		x, i := r.rnd.Float64()*total, 0
		for weights[i] <= x {
			i++
		}
		p, o := i/len(r.parts), i%len(r.parts)
		n := r.nodes[r.rnd.IntN(len(r.nodes))]
		n.board.UpdateFromGate(r.now, "deep", "gate", offered/r.capacity, 1)
		first := &crroute.Organisation{Priority: new(int)}
		if o >= r.ranked && r.ranked > 0 {
			*first.Priority = 1
		}
		c := &call{service: "deep", organisation: fmt.Sprint(o), priority: n.table.Load().Rank(&r.routes[p], first)}
		share, _, _ := n.admissionShare(r.now, c, &r.routes[p])
		r.sent[p][o]++
		r.expected[o] += min(share, 1)
		if n.shares.Admit(admissionKey(c, &r.routes[p]), share) {
			r.served[p][o]++
			r.admitted += r.work[p]
		}
	}
}

// fraction returns the fraction that is served of the requests of all routes, or of one, for which keep holds.
func (r *replay) fraction(route int, keep func(o int) bool) float64 {
	sent, served := 0.0, 0.0
	for p := range r.sent {
		for o := range r.sent[p] {
			if (route < 0 || p == route) && keep(o) {
				sent += r.sent[p][o]
				served += r.served[p][o]
			}
		}
	}
	return served / sent
}

// tolerance is the fraction by which served shares may miss the target.
const tolerance = 0.05

func every(int) bool { return true }

// burst plays a burst after some time as usual. The first second, within which shares follow the demand, does not count.
func burst(t testing.TB, entrances int, divided bool, capacity float64, hot, route int, factor float64) *replay {
	r := newReplay(t, entrances, divided)
	r.capacity = 1.1 * r.usualWork()
	r.play(40*time.Second, 0, -1, 1)
	r.capacity = capacity
	r.play(time.Second, hot, route, factor)
	r.play(10*time.Second, hot, route, factor)
	return r
}

// TestExcessOfOrganisation guards against an organisation that sends several times its usual requests and takes capacity from
// the others, also from those of less important routes, while the priorities keep their order.
func TestExcessOfOrganisation(t *testing.T) {
	for _, test := range []struct {
		entrances, hot int
		factor, over   float64
	}{{1, 0, 7.5, 3}, {50, 0, 4, 1.2}, {50, 0, 7.5, 3}, {50, 1, 4, 2}, {50, 5, 7.5, 1.2}, {50, 5, 7.5, 3}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			t.Parallel()
			usual := newReplay(t, 1, false)
			capacity := usual.usualWork() * (1 + (test.factor-1)*usual.parts[test.hot]) / test.over
			r := burst(t, test.entrances, true, capacity, test.hot, -1, test.factor)
			calm := burst(t, test.entrances, true, capacity, test.hot, -1, 1)
			others := func(o int) bool { return o != test.hot }
			got, want, all := r.fraction(-1, others), calm.fraction(-1, others), r.fraction(-1, every)
			qt.Assert(t, got >= want-tolerance, qt.IsTrue, qt.Commentf("%.3f of %.3f", got, want))
			for p := range len(r.rates) - 1 {
				qt.Assert(t, r.fraction(p, every) >= r.fraction(p+1, every)-tolerance, qt.IsTrue, qt.Commentf("priority %d", p))
			}
			for o := range r.parts {
				own := r.fraction(-1, func(x int) bool { return x == o })
				qt.Assert(t, own >= all/4 || r.sent[1][o] < 50, qt.IsTrue, qt.Commentf("organisation %d: %.3f of %.3f", o, own, all))
			}
			qt.Assert(t, r.admitted <= 1.15*10*capacity, qt.IsTrue, qt.Commentf("%.2f of the capacity", r.admitted/10/capacity))
		})
	}
}

// TestBurstOfAllOrganisations guards against an order that is turned round when all organisations send more of their most
// important requests: these would count as excess and be refused before less important ones.
func TestBurstOfAllOrganisations(t *testing.T) {
	t.Parallel()
	for _, entrances := range []int{1, 50} {
		served := func(divided bool) float64 {
			r := newReplay(t, entrances, divided)
			r.capacity = 1.1 * r.usualWork()
			r.play(40*time.Second, 0, -1, 1)
			r.capacity = 0.7 * r.usualWork()
			r.rates[0] *= 3
			r.rates[1] *= 1.5
			r.rates[2] *= 2
			r.play(2*time.Second, 0, -1, 1)
			r.play(8*time.Second, 0, -1, 1)
			return r.fraction(0, every)
		}
		plain, divided := served(false), served(true)
		qt.Assert(t, divided >= plain-tolerance, qt.IsTrue, qt.Commentf("%d entrances: %.3f of %.3f", entrances, divided, plain))
	}
}

// TestIdleOrganisation guards against an organisation that was idle for some minutes and is refused as if it exceeded its usual
// rate.
func TestIdleOrganisation(t *testing.T) {
	t.Parallel()
	const hot, idle = 0, 3
	r := newReplay(t, 50, true)
	r.capacity = 1.1 * r.usualWork()
	r.play(40*time.Second, hot, -1, 1)
	r.play(3*time.Minute, idle, -1, 0)
	r.capacity = r.usualWork()
	r.play(time.Second, hot, -1, 5)
	r.play(10*time.Second, hot, -1, 5)
	woken, all := r.fraction(-1, func(o int) bool { return o == idle }), r.fraction(-1, func(o int) bool { return o != hot })
	qt.Assert(t, woken >= all-tolerance, qt.IsTrue, qt.Commentf("%.3f of %.3f", woken, all))
}

// TestEntranceStartsInBurst guards against capacity that is not used, or an unequal division, when entrances that know nothing
// start while all organisations send more than the capacity.
func TestEntranceStartsInBurst(t *testing.T) {
	t.Parallel()
	r := newReplay(t, 10, true)
	r.capacity = r.usualWork() / 2
	r.play(time.Second, 0, -1, 1)
	r.play(10*time.Second, 0, -1, 1)
	qt.Assert(t, r.admitted >= 0.95*10*r.capacity, qt.IsTrue, qt.Commentf("%.2f of the capacity", r.admitted/10/r.capacity))
	all := r.fraction(-1, every)
	for o := range r.parts {
		own := r.fraction(-1, func(x int) bool { return x == o })
		qt.Assert(t, own >= all/4 || r.sent[1][o] < 50, qt.IsTrue, qt.Commentf("organisation %d: %.3f of %.3f", o, own, all))
	}
}

// TestOrganisationsOfLowPriority guards against organisations that are hardly served while those that go before them fill the
// service.
func TestOrganisationsOfLowPriority(t *testing.T) {
	t.Parallel()
	r := newReplay(t, 50, true)
	r.ranked = 8
	r.capacity = 1.1 * r.usualWork()
	r.play(40*time.Second, 0, -1, 1)
	r.capacity = r.usualWork() / 2
	r.play(time.Second, 0, -1, 1)
	r.play(10*time.Second, 0, -1, 1)
	all := r.fraction(-1, every)
	for o := range r.parts {
		own := r.expected[o] / (r.sent[0][o] + r.sent[1][o] + r.sent[2][o])
		qt.Assert(t, own >= all/4, qt.IsTrue, qt.Commentf("organisation %d: %.3f of %.3f", o, own, all))
	}
	low := r.fraction(-1, func(o int) bool { return o >= r.ranked })
	high := r.fraction(-1, func(o int) bool { return o < r.ranked })
	qt.Assert(t, low <= high-tolerance, qt.IsTrue, qt.Commentf("%.3f, of high priority %.3f", low, high))
}

// TestExcessOnOneRoute guards against a route that is served less than a less important one because one organisation exceeds
// its usual on it.
func TestExcessOnOneRoute(t *testing.T) {
	t.Parallel()
	capacity := newReplay(t, 1, false).usualWork()
	for route := range 2 {
		r := burst(t, 50, true, capacity, 0, route, 7.5)
		for p := range len(r.rates) - 1 {
			qt.Assert(t, r.fraction(p, every) >= r.fraction(p+1, every)-tolerance, qt.IsTrue,
				qt.Commentf("excess on %d, priority %d: %.3f, next: %.3f", route, p, r.fraction(p, every), r.fraction(p+1, every)))
		}
	}
}

// TestExcessWithoutOrganisations shows that TestExcessOfOrganisation fails where capacity is not divided, and that all
// requests are treated alike where the configuration has no organisations.
func TestExcessWithoutOrganisations(t *testing.T) {
	t.Parallel()
	capacity := newReplay(t, 1, false).usualWork()
	r := burst(t, 50, false, capacity, 0, -1, 5)
	others := r.fraction(-1, func(o int) bool { return o > 0 })
	qt.Assert(t, others < 1-tolerance, qt.IsTrue, qt.Commentf("%.3f", others))
	qt.Assert(t, math.Abs(others-r.fraction(-1, func(o int) bool { return o == 0 })) < tolerance, qt.IsTrue)
}
