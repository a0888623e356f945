package crnode_test

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Options of kinds in these tests.
const (
	repeat          = "class ordinary worth 1 repeat yes deadline 2s retries 3"
	once            = "class protected worth 100 repeat no deadline 2s retries 4"
	protectedRepeat = "class protected worth 100 repeat yes deadline 2s retries 3"
)

// twoServers returns a deployment of one service with two servers.
func twoServers(handle func(*crtest.Run)) crtest.Options {
	return crtest.Options{Handler: handle, Services: []crtest.Service{
		{Name: "ledger", Servers: 2, Slots: 8, Kinds: map[string]string{"read": repeat, "record": once}},
	}}
}

// TestNotRunAfterLostAnswer guards against a refused retry that hides an earlier attempt which ran (invariant I4).
func TestNotRunAfterLostAnswer(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var ran []string
	k := crtest.Start(t, twoServers(func(r *crtest.Run) {
		mu.Lock()
		ran = append(ran, r.Server.Name)
		first := len(ran) == 1
		mu.Unlock()
		if first {
			r.Drop()
		}
		r.Refuse("")
	}))
	id := k.Nodes[0].NewID()
	r := k.Send(k.Nodes[0], "ledger/read", crtest.Request{ID: id})
	mu.Lock()
	defer mu.Unlock()
	k.C.Assert(len(ran) >= 2, qt.IsTrue, qt.Commentf("%v: the refusal after the lost answer was not reached", ran))
	k.C.Assert(r.Outcome, qt.Equals, crcode.Unknown.String(), qt.Commentf("%+v after %v", r, ran))
}

// fillRetryAllowance sends successful requests, so that the retry ratio of a service on a node allows retries.
func fillRetryAllowance(k *crtest.Cluster, n *crtest.Node, kind string) {
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 40 {
				k.Send(n, kind, crtest.Request{})
			}
		}()
	}
	wg.Wait()
}

// TestRefusalOfDownstreamCallForwarded guards against a refused downstream call that is not reported as not run (invariant
// I4), and against wasted work: no other server of the calling service is tried for it.
func TestRefusalOfDownstreamCallForwarded(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, crtest.Options{
		Handler: func(r *crtest.Run) {
			if r.Kind == "deep/read" {
				r.Refuse("")
				return
			}
			d := r.CallDownstream("deep/read", "")
			r.Refuse(strconv.Itoa(int(d.Code)))
		},
		Services: []crtest.Service{
			{Name: "front", Servers: 2, Slots: 8, Kinds: map[string]string{"read": repeat}},
			{Name: "deep", Servers: 1, Slots: 8, Kinds: map[string]string{"read": repeat}},
		},
	})
	id := k.Nodes[0].NewID()
	r := k.Send(k.Nodes[0], "front/read", crtest.Request{ID: id})
	k.C.Assert(r.Outcome, qt.Equals, crcode.NotRun.String(), qt.Commentf("%+v", r))
	k.C.Assert(k.Runs.Count("front/read", id), qt.Equals, 1)
}

// TestRetryBound guards against more than R extra attempts (invariant I1) in a call graph with parallel branches, lost
// answers, error answers and resends of the caller to the same and to other entrances; R is 3.
func TestRetryBound(t *testing.T) {
	t.Parallel()
	var broken atomic.Bool
	k := crtest.Start(t, crtest.Options{
		Handler: func(r *crtest.Run) { handleGraph(r, broken.Load()) },
		Services: []crtest.Service{
			{Name: "front", Servers: 2, Slots: 20, Kinds: map[string]string{"read": repeat}},
			{Name: "mid", Servers: 2, Slots: 20, Kinds: map[string]string{"left": repeat, "right": repeat}},
			{Name: "leaf", Servers: 2, Slots: 20, Kinds: map[string]string{"read": repeat}},
		},
	})
	for _, n := range k.Nodes[:2] {
		fillRetryAllowance(k, n, "front/read")
	}
	broken.Store(true)
	used := 0
	for range 5 {
		id := k.Nodes[0].NewID()
		for send := range 6 {
			k.Send(k.Nodes[send%2], "front/read", crtest.Request{ID: id})
		}
		front, left, right, leaf := k.Runs.Count("front/read", id), k.Runs.Count("mid/left", id), k.Runs.Count("mid/right", id), k.Runs.Count("leaf/read", id)
		// Each run of front calls left and right once, and each of these calls leaf once; all others are extra attempts.
		extra := (front - 1) + (left - front) + (right - front) + (leaf - left - right)
		k.C.Check(extra <= 3, qt.IsTrue, qt.Commentf("%d extra attempts: front %d, left %d, right %d, leaf %d", extra, front, left, right, leaf))
		used += extra
	}
	k.C.Assert(used > 0, qt.IsTrue, qt.Commentf("no retry was made"))
}

// handleGraph calls two branches concurrently, which both call the same leaf. A broken leaf drops its answer.
func handleGraph(r *crtest.Run, broken bool) {
	ok := true
	switch r.Kind {
	case "front/read":
		right := make(chan crtest.Reply, 1)
		go func() { right <- r.CallDownstream("mid/right", "") }()
		left := r.CallDownstream("mid/left", "")
		ok = left.Status == 200 && (<-right).Status == 200
	case "mid/left", "mid/right":
		ok = r.CallDownstream("leaf/read", "").Status == 200
	case "leaf/read":
		if broken {
			r.Drop()
		}
	}
	if !ok {
		r.W.WriteHeader(500)
		return
	}
	r.Answer()
}

// TestRetryBoundWithoutHome guards against more than R retries when the home of an id is killed between resends
// (invariant I1): the keepers count the later ones, and both parts together stay within the bound.
func TestRetryBoundWithoutHome(t *testing.T) {
	t.Parallel()
	var broken atomic.Bool
	o := twoServers(func(r *crtest.Run) {
		if broken.Load() {
			r.Drop()
		}
		r.Answer()
	})
	o.Services[0].Servers = 4
	k := crtest.Start(t, o)
	fillRetryAllowance(k, k.Nodes[0], "ledger/read")
	fillRetryAllowance(k, k.Nodes[1], "ledger/read")
	broken.Store(true)
	var ids []string
	for range 5 {
		ids = append(ids, k.Nodes[0].NewID())
		k.Send(k.Nodes[0], "ledger/read", crtest.Request{ID: ids[len(ids)-1]})
	}
	k.Nodes[0].Kill()
	fallback := false
	for _, id := range ids {
		before := k.Runs.Count("ledger/read", id)
		for send := range 6 {
			k.Send(k.Nodes[1+send%3], "ledger/read", crtest.Request{ID: id})
		}
		runs := k.Runs.Count("ledger/read", id)
		k.C.Check(runs <= 4, qt.IsTrue, qt.Commentf("%d runs, R is 3", runs))
		fallback = fallback || runs > before
	}
	k.C.Assert(fallback, qt.IsTrue, qt.Commentf("no resend ran without the home"))
}

// TestRetryRatio guards against a retry storm: without successes, each calling node may make 1 retry plus 1 a second, and
// the retries stop when the failures stop.
func TestRetryRatio(t *testing.T) {
	t.Parallel()
	var broken atomic.Bool
	var runs atomic.Int64
	broken.Store(true)
	k := crtest.Start(t, twoServers(func(r *crtest.Run) {
		runs.Add(1)
		if broken.Load() {
			r.W.WriteHeader(500)
			return
		}
		r.Answer()
	}))
	start := time.Now()
	const sends = 200
	for range sends {
		k.Send(k.Nodes[0], "ledger/read", crtest.Request{})
	}
	retries := runs.Load() - sends
	most := 2 + int64(time.Since(start)/time.Second)
	k.C.Assert(retries <= most, qt.IsTrue, qt.Commentf("%d retries of %d requests, at most %d", retries, sends, most))
	broken.Store(false)
	runs.Store(0)
	for range sends {
		k.Send(k.Nodes[0], "ledger/read", crtest.Request{})
	}
	k.C.Assert(runs.Load(), qt.Equals, int64(sends))
}

// TestUnknownNotRetried guards against a retry of a request that may not be repeated after its answer was lost (invariant
// I5).
func TestUnknownNotRetried(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, twoServers((*crtest.Run).Drop))
	for range 5 {
		id := k.Nodes[0].NewID()
		r := k.Send(k.Nodes[0], "ledger/record", crtest.Request{ID: id})
		k.C.Check(r.Code, qt.Equals, crcode.AnswerLost)
		k.C.Check(r.Attempts, qt.Equals, 1)
		k.C.Check(k.Runs.Count("ledger/record", id), qt.Equals, 1)
	}
}
