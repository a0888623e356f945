package crrouter_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrouter"
)

var t0 = time.Unix(1_800_000_000, 0)

// Example shows a caller that tries a second server after a refusal.
func Example() {
	router := crrouter.Router{Domain: "north"}
	now := t0
	router.Update(now, []crrouter.Server{
		{ID: "ledger1", Domain: "north", Slots: 70},
		{ID: "ledger2", Domain: "south", Slots: 70},
	})
	request := crrouter.Request{Priority: cradmission.NewPriority(cradmission.Protected, 10, "n1-5f3a.1.a")}
	for _, kind := range []crrouter.Outcome{crrouter.Refused, crrouter.OK} {
		server, err := router.Pick(now, request)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println("call", server.ID)
		now = now.Add(5 * time.Millisecond)
		router.Done(now, server.ID, crrouter.Result{
			Outcome: kind, Latency: 5 * time.Millisecond, Feedback: &crrouter.Feedback{InFlight: 3, Limit: 70},
		})
		request.Tried = append(request.Tried, server.ID)
	}
	_, err := router.Pick(now, request)
	fmt.Println(err)
	// Output:
	// call ledger1
	// call ledger2
	// 213 no_server: 2 servers known, 2 tried
}

// newRouter returns a router with n warm servers s0, s1, ... of 50 slots in its own failure domain.
func newRouter(n int) *crrouter.Router {
	r := &crrouter.Router{Domain: "a", Rand: rand.New(rand.NewPCG(1, 2))}
	r.Update(t0, servers(n))
	return r
}

func servers(n int) (out []crrouter.Server) {
	for i := range n {
		out = append(out, crrouter.Server{ID: fmt.Sprintf("s%d", i), Domain: "a", Slots: 50})
	}
	return out
}

var ordinary = crrouter.Request{Priority: cradmission.NewPriority(cradmission.Ordinary, 1, "c")}

// load sends n requests 1 ms apart, ends each with the result of answer and returns the number of requests per server.
func load(c *qt.C, r *crrouter.Router, now *time.Time, n int, answer func(s crrouter.Server) crrouter.Result) map[string]int {
	counts := make(map[string]int)
	for range n {
		s, err := r.Pick(*now, ordinary)
		c.Assert(err, qt.IsNil)
		counts[s.ID]++
		*now = now.Add(time.Millisecond)
		r.Done(*now, s.ID, answer(s))
	}
	return counts
}

func ok(crrouter.Server) crrouter.Result {
	return crrouter.Result{Latency: 20 * time.Millisecond, Feedback: &crrouter.Feedback{InFlight: 5, Limit: 50}}
}

// TestPickFollowsLoad guards against uneven load, and against a server that keeps its share although it reports load
// or has calls in flight.
func TestPickFollowsLoad(t *testing.T) {
	c := qt.New(t)
	now := t0
	counts := load(c, newRouter(4), &now, 4000, ok)
	for _, n := range counts {
		c.Assert(n > 700 && n < 1300, qt.IsTrue, qt.Commentf("%v", counts))
	}
	counts = load(c, newRouter(4), &now, 4000, func(s crrouter.Server) crrouter.Result {
		res := ok(s)
		if s.ID == "s1" {
			res.Feedback = &crrouter.Feedback{InFlight: 25, Limit: 25, Queued: 10}
		}
		return res
	})
	c.Assert(counts["s1"] < 200, qt.IsTrue, qt.Commentf("%v", counts))
	r := newRouter(4)
	for range 160 {
		_, err := r.Pick(now, ordinary)
		c.Assert(err, qt.IsNil)
	}
	for _, v := range r.View(now) {
		c.Assert(v.InFlight >= 38 && v.InFlight <= 42, qt.IsTrue, qt.Commentf("%s: %d", v.ID, v.InFlight))
	}
}

// TestOwnDomainUnlessLoaded guards against unnecessary calls to other failure domains, and against calls that stay in
// a loaded one.
func TestOwnDomainUnlessLoaded(t *testing.T) {
	c := qt.New(t)
	r, now := newRouter(0), t0
	r.Update(now, []crrouter.Server{{ID: "near", Domain: "a", Slots: 50}, {ID: "far", Domain: "b", Slots: 50}})
	c.Assert(load(c, r, &now, 100, ok)["near"], qt.Equals, 100)
	counts := load(c, r, &now, 100, func(s crrouter.Server) crrouter.Result {
		res := ok(s)
		if s.ID == "near" {
			res.Feedback = &crrouter.Feedback{InFlight: 50, Limit: 50}
		}
		return res
	})
	c.Assert(counts["far"] >= 95, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestSlowStart guards against a cold server that gets its full share at once, or never.
func TestSlowStart(t *testing.T) {
	c := qt.New(t)
	r, now := newRouter(3), t0
	r.Update(now, append(servers(3), crrouter.Server{ID: "cold", Domain: "a", Slots: 50, Started: now}))
	first := load(c, r, &now, 1000, ok)["cold"]
	now = t0.Add(crrouter.SlowStart)
	later := load(c, r, &now, 1000, ok)["cold"]
	c.Assert(first > 10 && first < 125 && later > 180, qt.IsTrue, qt.Commentf("first %d, later %d of 1000", first, later))
}

// TestEjectionAndReturn guards against a faulty server that keeps its traffic, and against a server that is not back
// in use 2 s after it recovered.
func TestEjectionAndReturn(t *testing.T) {
	alternate := 0
	for name, bad := range map[string]func() crrouter.Result{
		"failures":    func() crrouter.Result { return crrouter.Result{Outcome: crrouter.Failed, Latency: time.Millisecond} },
		"timeouts":    func() crrouter.Result { return crrouter.Result{Outcome: crrouter.TimedOut, Latency: time.Second} },
		"unreachable": func() crrouter.Result { return crrouter.Result{Outcome: crrouter.Unreachable} },
		"slow":        func() crrouter.Result { return crrouter.Result{Latency: 200 * time.Millisecond} },
		"fast and often wrong": func() crrouter.Result {
			alternate++
			if alternate%4 == 0 {
				return crrouter.Result{Latency: time.Millisecond}
			}
			return crrouter.Result{Outcome: crrouter.Failed, Latency: time.Millisecond}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r, now := newRouter(4), t0
			load(c, r, &now, 400, ok)
			answer := func(s crrouter.Server) crrouter.Result {
				if s.ID == "s2" {
					return bad()
				}
				return ok(s)
			}
			load(c, r, &now, 400, answer)
			counts := load(c, r, &now, 10_000, answer)
			c.Check(counts["s2"] <= 50, qt.IsTrue, qt.Commentf("%v while bad for 10 s", counts))
			load(c, r, &now, 2000, ok)
			counts = load(c, r, &now, 1000, ok)
			c.Check(counts["s2"] >= 150, qt.IsTrue, qt.Commentf("%v after 2 s", counts))
		})
	}
}

// TestEjectionInARow guards against a late ejection after the first failures in a row, and against an ejection that is
// ended by calls from before it or by a single successful probe.
func TestEjectionInARow(t *testing.T) {
	for kind, row := range map[crrouter.Outcome]int{crrouter.Failed: 5, crrouter.TimedOut: 3, crrouter.Unreachable: 2} {
		c := qt.New(t)
		r, now := newRouter(2), t0
		ejected := func() bool { return r.View(now)[1].Ejected }
		pick := func() {
			s, err := r.Pick(now, crrouter.Request{Priority: ordinary.Priority})
			c.Assert(err, qt.IsNil)
			if s.ID == "s0" {
				r.Done(now, "s0", ok(s))
			}
		}
		for range 10 {
			_, err := r.Pick(now, crrouter.Request{Priority: ordinary.Priority, Tried: []string{"s0"}})
			c.Assert(err, qt.IsNil)
		}
		for i := range row {
			c.Assert(ejected(), qt.IsFalse, qt.Commentf("kind %d: after %d", kind, i))
			change := r.Done(now, "s1", crrouter.Result{Outcome: kind})
			c.Assert(change.Ejected, qt.Equals, i == row-1)
			c.Assert(change.Failures, qt.Equals, i+1)
		}
		c.Assert(ejected(), qt.IsTrue)
		now = now.Add(600 * time.Millisecond)
		pick()
		for range 3 {
			r.Done(now, "s1", crrouter.Result{Latency: 550 * time.Millisecond})
			pick()
		}
		c.Assert(ejected(), qt.IsTrue)
		for i := range 3 {
			c.Assert(ejected(), qt.IsTrue, qt.Commentf("after %d good probes", i))
			change := r.Done(now, "s1", crrouter.Result{})
			c.Assert(change.Returned, qt.Equals, i == 2)
			pick()
		}
		c.Assert(ejected(), qt.IsFalse)
	}
}

// TestEjectionShare guards against the ejection of more than half of the servers, state that grows without limit, and
// the selection of tried servers.
func TestEjectionShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 25).Draw(t, "servers")
		r, now := newRouter(n), t0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			req := ordinary
			if rapid.Bool().Draw(t, "resend") {
				req.Tried = []string{"s0", "s1"}
			}
			s, err := r.Pick(now, req)
			if err != nil {
				if n > 2 || crcode.Of(err) != crcode.NoServer {
					t.Fatalf("%v with %d servers", err, n)
				}
				continue
			}
			if req.Tried != nil && (s.ID == "s0" || s.ID == "s1") {
				t.Fatalf("%s was tried", s.ID)
			}
			kind := crrouter.Outcome(rapid.IntRange(2, 4).Draw(t, "kind"))
			r.Done(now, s.ID, crrouter.Result{Outcome: kind})
			view, ejected := r.View(now), 0
			for _, v := range view {
				if v.Ejected {
					ejected++
				}
			}
			if 2*ejected > len(view) || len(view) > crrouter.MaxServers {
				t.Fatalf("%d of %d ejected", ejected, len(view))
			}
		}
	})
}

// TestLevelsPerServer guards against a refusal while a server admits the priority, a refusal counted as a failure, and
// a level used beyond its expiry.
func TestLevelsPerServer(t *testing.T) {
	c := qt.New(t)
	r, now := newRouter(2), t0
	low := ordinary.Priority
	refuse := func(id string) {
		r.Done(now, id, crrouter.Result{Outcome: crrouter.Refused, Feedback: &crrouter.Feedback{Limit: 50, Level: low + 1}})
	}
	for range 20 {
		refuse("s0")
	}
	c.Assert(load(c, r, &now, 100, ok)["s1"], qt.Equals, 100)
	c.Assert(r.Level(now), qt.Equals, cradmission.Priority(0))
	refuse("s0")
	refuse("s1")
	_, err := r.Pick(now, ordinary)
	c.Assert(errors.Is(err, crcode.New(crcode.Overloaded, "")), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(r.Level(now), qt.Equals, low+1)
	_, err = r.Pick(now, crrouter.Request{Priority: low + 1})
	c.Assert(err, qt.IsNil)
	for _, v := range r.View(now) {
		c.Assert(v.Ejected, qt.IsFalse)
	}
	_, err = r.Pick(now.Add(time.Second), ordinary)
	c.Assert(err, qt.IsNil)
}

// TestConcurrentUse guards against data races and calls that remain counted as in flight when goroutines share a
// router.
func TestConcurrentUse(t *testing.T) {
	c := qt.New(t)
	r := newRouter(4)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for n := range 1000 {
				now := t0.Add(time.Duration(n) * time.Millisecond)
				if s, err := r.Pick(now, ordinary); err == nil {
					r.Done(now, s.ID, ok(s))
				}
				if n%100 == 0 {
					r.Update(now, servers(4))
					r.Level(now)
				}
			}
		})
	}
	group.Wait()
	for _, v := range r.View(t0) {
		c.Assert(v.InFlight, qt.Equals, 0)
	}
}

func BenchmarkPick(b *testing.B) {
	b.ReportAllocs()
	r, now := newRouter(20), t0
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if _, err := r.Pick(now, ordinary); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDone(b *testing.B) {
	b.ReportAllocs()
	r, now := newRouter(20), t0
	res := ok(crrouter.Server{})
	for b.Loop() {
		now = now.Add(time.Microsecond)
		r.Done(now, "s19", res)
	}
}

// TestEjectionOfLossyServer guards against a server that loses three of ten answers and stays in full use beside
// healthy ones, and against a loss of capacity when all servers have the same error rate.
func TestEjectionOfLossyServer(t *testing.T) {
	for _, all := range []bool{false, true} {
		r, now := newRouter(4), t0
		rnd := rand.New(rand.NewPCG(3, 4))
		counts, out := map[string]int{}, 0
		for range 4000 {
			now = now.Add(2 * time.Millisecond)
			s, err := r.Pick(now, ordinary)
			qt.Assert(t, err, qt.IsNil)
			counts[s.ID]++
			res := crrouter.Result{Latency: 10 * time.Millisecond}
			if (all || s.ID == "s1") && rnd.Float64() < 0.3 {
				res.Outcome = crrouter.Failed
			}
			r.Done(now, s.ID, res)
			for _, v := range r.View(now) {
				if v.Ejected {
					out++
				}
			}
		}
		if all {
			qt.Assert(t, out < 4*4000/10, qt.IsTrue, qt.Commentf("%d of %d", out, 4*4000))
			continue
		}
		qt.Assert(t, counts["s1"] < 4000/4/3, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// TestHome guards against requests with one affinity key that go to several servers, and against all keys being mapped
// to one server.
func TestHome(t *testing.T) {
	now := time.Unix(1000, 0)
	var servers []crrouter.Server
	for i := range 8 {
		servers = append(servers, crrouter.Server{ID: fmt.Sprint("s", i), Domain: fmt.Sprint("d", i%2), Slots: 4})
	}
	a, b := &crrouter.Router{Domain: "d0"}, &crrouter.Router{Domain: "d1"}
	a.Update(now, servers)
	slices.Reverse(servers)
	b.Update(now, servers)
	homes := map[string]int{}
	for i := range 80 {
		key := fmt.Sprint("key", i)
		first, err := a.Pick(now, crrouter.Request{AffinityKey: key})
		qt.Assert(t, err, qt.IsNil)
		again, err := b.Pick(now, crrouter.Request{AffinityKey: key})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.ID, qt.Equals, first.ID)
		next, err := b.Pick(now, crrouter.Request{AffinityKey: key, Tried: []string{first.ID}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, next.ID, qt.Not(qt.Equals), first.ID)
		homes[first.ID]++
	}
	qt.Assert(t, len(homes), qt.Equals, 8, qt.Commentf("%v", homes))
	// A server that has just started is not selected while another one is warm.
	key := "key0"
	first, err := a.Pick(now, crrouter.Request{AffinityKey: key})
	qt.Assert(t, err, qt.IsNil)
	for i := range servers {
		if servers[i].ID == first.ID {
			servers[i].Started = now
		}
	}
	a.Update(now, servers)
	next, err := a.Pick(now, crrouter.Request{AffinityKey: key})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, next.ID, qt.Not(qt.Equals), first.ID)
}
