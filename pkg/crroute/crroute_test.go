package crroute_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
)

func route(name, host, prefix, service string) crroute.Route {
	return crroute.Route{
		Name: name, Host: host, Prefix: prefix, Kind: crroute.Repeatable, Timeout: time.Second, Target: time.Second,
		Shares: []crroute.Share{{Service: service, Weight: 1}}, MaxAttempts: 2,
	}
}

var services = []crroute.Service{{Name: "ledger"}, {Name: "photos"}}

func ExampleTable_Match() {
	t, err := crroute.New(1, []crroute.Route{route("all", "a.example", "/", "ledger"), route("deep", "a.example", "/x/", "photos")}, services, crroute.Limits{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(t.Match("A.example:80", "/x/y").Name, t.Match("a.example", "/xy").Name, t.Match("b.example", "/x/y"))
	// Output: deep all <nil>
}

// TestInvalid guards against a table with routes that lead to no server, or with timeouts or targets that are not
// bounded.
func TestInvalid(t *testing.T) {
	for name, change := range map[string]func(*crroute.Route){
		"unknown service": func(r *crroute.Route) { r.Shares[0].Service = "nobody" },
		"no weight":       func(r *crroute.Route) { r.Shares[0].Weight = 0 },
		"no share":        func(r *crroute.Route) { r.Shares = nil },
		"bare prefix":     func(r *crroute.Route) { r.Prefix = "x/" },
		"no timeout":      func(r *crroute.Route) { r.Timeout = 0 },
		"long timeout":    func(r *crroute.Route) { r.Timeout = crroute.MaxTimeout + time.Millisecond },
		"target over":     func(r *crroute.Route) { r.Target = r.Timeout + crroute.MaxTargetExcess },
		"no attempts":     func(r *crroute.Route) { r.MaxAttempts = 0 },
		"same place":      func(r *crroute.Route) { r.Prefix = "/" },
	} {
		t.Run(name, func(t *testing.T) {
			r := route("r", "a.example", "/x/", "ledger")
			change(&r)
			_, err := crroute.New(1, []crroute.Route{route("all", "a.example", "/", "ledger"), r}, services, crroute.Limits{})
			qt.Assert(t, crcode.Of(err), qt.Equals, crcode.BadValue)
		})
	}
}

// TestBounds guards against the rejection of values that are just within the limits.
func TestBounds(t *testing.T) {
	r := route("r", "a.example", "/x/", "ledger")
	r.Timeout = crroute.MaxTimeout
	r.Target = r.Timeout + crroute.MaxTargetExcess - time.Millisecond
	_, err := crroute.New(1, []crroute.Route{r}, services, crroute.Limits{})
	qt.Assert(t, err, qt.IsNil)
}

// TestWeights guards against services of a divided route whose share of the requests does not match their weight.
func TestWeights(t *testing.T) {
	r := route("r", "a.example", "/", "ledger")
	r.Shares = []crroute.Share{{Service: "ledger", Weight: 90}, {Service: "photos", Weight: 10}}
	rnd := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range 10000 {
		got[r.Service(rnd.Float64())]++
	}
	qt.Assert(t, got["photos"] > 900 && got["photos"] < 1100, qt.IsTrue, qt.Commentf("%v", got))
	qt.Assert(t, r.Service(0.9), qt.Equals, "photos")
	qt.Assert(t, r.Service(0.8999), qt.Equals, "ledger")
}

// TestRank guards against routes of one organisation that are not told apart, and against an organisation's priority that does not
// go before that of a route.
func TestRank(t *testing.T) {
	first, second := 0, 1
	urgent, usual := crroute.Route{Priority: 0}, crroute.Route{Priority: 2}
	important, other := &crroute.Organisation{Name: "a", Priority: &first}, &crroute.Organisation{Name: "b", Priority: &second}
	plain, err := crroute.New(1, nil, nil, crroute.Limits{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, plain.Rank(&usual, nil), qt.Equals, 2)
	table, err := crroute.New(1, nil, nil, crroute.Limits{}, *important, *other)
	qt.Assert(t, err, qt.IsNil)
	ranks := []int{table.Rank(&urgent, important), table.Rank(&usual, important), table.Rank(&urgent, other), table.Rank(&usual, other), table.Rank(&usual, nil)}
	qt.Assert(t, slices.IsSorted(ranks), qt.IsTrue, qt.Commentf("%v", ranks))
	qt.Assert(t, slices.Compact(slices.Clone(ranks)), qt.HasLen, len(ranks), qt.Commentf("%v", ranks))
	extreme, large := crroute.Route{Priority: 1 << 40}, -5
	qt.Assert(t, table.Rank(&extreme, &crroute.Organisation{Priority: &large}) < 1<<16, qt.IsTrue)
}
