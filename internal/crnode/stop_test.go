package crnode_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crsettings"
	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// maxLeaveTime is the time after which a leaving backend server gets no new work.
const maxLeaveTime = 2 * time.Second

// load sends requests from several callers until stop is called. Each request that was not run or whose connection broke
// is resent to the next entrance until it is answered. lost counts those without a complete answer.
type load struct {
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	sent     atomic.Int64
	lost     atomic.Int64
	mu       sync.Mutex
	failures map[string]int
}

func startLoad(k *crtest.Cluster, entrances []*crtest.Node, kinds ...string) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, failures: map[string]int{}}
	for i := range 8 {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for n := i; ctx.Err() == nil; n++ {
				l.sendOne(k, entrances, n, kinds[n%len(kinds)])
			}
		}()
	}
	return l
}

// sendOne sends one request, with the resends that a caller is allowed.
func (l *load) sendOne(k *crtest.Cluster, entrances []*crtest.Node, n int, kind string) {
	l.sent.Add(1)
	q := crtest.Request{ID: entrances[n%len(entrances)].NewID(), Body: fmt.Append(nil, "request ", n)}
	var r crtest.Reply
	var sends []string
	for send := range 4 {
		began := time.Now()
		r = k.Send(entrances[(n+send)%len(entrances)], kind, q)
		sends = append(sends, fmt.Sprintf("%v %v after %s", r.Code, r.Err, time.Since(began).Round(time.Millisecond)))
		whole := r.Err == nil && (r.Code == crcode.OK || r.Code == crcode.Replayed)
		if whole && r.Body == crtest.ExpectedAnswer(q.ID, q.Body) {
			return
		}
		if r.Err == nil && r.Outcome != crcode.NotRun.String() {
			break
		}
		// The wait that the answer asks for; the result does not depend on its length.
		time.Sleep(r.RetryAfter)
	}
	l.lost.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures[fmt.Sprint(kind, ": ", strings.Join(sends, "; "))]++
}

func (l *load) stop(k *crtest.Cluster) {
	k.C.Helper()
	l.cancel()
	l.wg.Wait()
	k.C.Check(l.lost.Load(), qt.Equals, int64(0), qt.Commentf("of %d: %v", l.sent.Load(), l.failures))
}

// TestLeavingGetsNoWork guards against work for a backend server that has left (invariant I6): one server announces that
// it leaves, and the announcements of another are lost. Under load neither gets a request after 2 s, and no request is
// lost meanwhile.
func TestLeavingGetsNoWork(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	last := map[string]time.Time{}
	k := crtest.Start(t, ledgerOptions(4, func(r *crtest.Run) {
		mu.Lock()
		last[r.Server.Name] = time.Now()
		mu.Unlock()
		r.Answer()
	}))
	l := startLoad(k, k.Nodes, "ledger/read", "ledger/record")
	// Both servers are in use before they leave.
	k.Eventually(func() error {
		mu.Lock()
		defer mu.Unlock()
		if len(last) < 4 {
			return fmt.Errorf("%d servers are in use", len(last))
		}
		return nil
	})
	k.Nodes[0].Server.AnnounceLeaving()
	k.Nodes[1].Server.StopAnnouncing()
	gone := time.Now()
	// The load must continue for long enough to show a late request.
	k.Eventually(func() error {
		mu.Lock()
		defer mu.Unlock()
		if late := last[k.Nodes[3].Name].Sub(gone); late < maxLeaveTime+500*time.Millisecond {
			return fmt.Errorf("last request %s after the servers left", late)
		}
		return nil
	})
	l.stop(k)
	mu.Lock()
	defer mu.Unlock()
	for _, n := range k.Nodes[:2] {
		late := last[n.Name].Sub(gone)
		k.C.Check(late <= maxLeaveTime, qt.IsTrue, qt.Commentf("%s got a request %s after it left", n.Name, late))
	}
}

// stopObservation is longer than the stop of a node without requests takes.
const stopObservation = 4 * time.Second

// TestPlannedStopOfNode guards against requests that are lost by a planned stop (invariant I7): a node stops while it
// runs requests for its own callers or those of another entrance, which then make downstream calls. It waits for them,
// and all get complete answers.
func TestPlannedStopOfNode(t *testing.T) {
	t.Parallel()
	for i, name := range []string{"as entrance", "as gate"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plannedStop(t, i)
		})
	}
}

// plannedStop stops the first node while callers of the node with the given index wait for it.
func plannedStop(t *testing.T, entrance int) {
	var started sync.WaitGroup
	started.Add(6)
	release := make(chan struct{})
	k := crtest.Start(t, crtest.Options{
		EditNodeSettings: func(s *crsettings.Node) { s.StopTimeout = crtest.Deadline },
		Handler: func(r *crtest.Run) {
			if r.Kind == "front/read" {
				started.Done()
				<-release
				if d := r.CallDownstream("ledger/record", "key"); d.Code != crcode.OK {
					r.W.WriteHeader(500)
					return
				}
			}
			r.Answer()
		},
		Services: []crtest.Service{
			{Name: "front", Servers: 1, Slots: 8, Kinds: map[string]string{"read": "class ordinary worth 1 repeat yes deadline 15s retries 3"}},
			{Name: "ledger", Servers: 3, Slots: 8, Kinds: map[string]string{"record": once}},
		},
	})
	var wg sync.WaitGroup
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := k.Nodes[entrance]
			id := n.NewID()
			r := k.Send(n, "front/read", crtest.Request{ID: id})
			k.C.Check(r.Body, qt.Equals, crtest.ExpectedAnswer(id, nil), qt.Commentf("%+v", r))
		}()
	}
	started.Wait()
	stopped := make(chan error, 1)
	go func() { stopped <- k.Nodes[0].Stop() }()
	k.Eventually(func() error {
		if !k.Nodes[0].Dump().Stopping {
			return fmt.Errorf("not stopping yet")
		}
		return nil
	})
	r := k.Send(k.Nodes[0], "front/read", crtest.Request{})
	k.C.Check(r.Code, qt.Equals, crcode.Stopping, qt.Commentf("%+v", r))
	select {
	case err := <-stopped:
		t.Errorf("the node has stopped with requests in flight: %v", err)
		close(release)
	case <-time.After(stopObservation):
		close(release)
		k.C.Check(<-stopped, qt.IsNil)
	}
	wg.Wait()
}

// TestRollingRestart guards against requests that are lost in a rolling restart (invariant I7): all backend servers and
// then all nodes of a service restart one after another under load, and every request gets a complete answer.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, crtest.Options{
		Handler: func(r *crtest.Run) {
			time.Sleep(2 * time.Millisecond)
			r.Answer()
		},
		Services: []crtest.Service{
			{Name: "front", Servers: 3, Slots: 16, Kinds: map[string]string{"read": repeat}},
			{Name: "ledger", Servers: 3, Slots: 16, Kinds: map[string]string{"read": repeat, "record": once}},
		},
	})
	k.WaitUntilSettled()
	entrances, ledgers := k.Nodes[:3:3], k.Nodes[3:6:6]
	l := startLoad(k, entrances, "ledger/read", "ledger/record")
	for _, n := range ledgers {
		n.Server.Stop()
		n.StartServer()
		takesWork(k, entrances, n)
	}
	for i, n := range ledgers {
		n.Server.AnnounceLeaving()
		k.C.Check(n.Stop(), qt.IsNil)
		n.Server.Stop()
		takesWork(k, entrances, k.StartNode(k.Options.Services[1], fmt.Sprintf("ledger-%d", i+11), i))
	}
	l.stop(k)
	k.C.Assert(l.sent.Load() > 100, qt.IsTrue)
}

// takesWork waits until every entrance knows a server again; a rolling restart continues with the next server only then.
func takesWork(k *crtest.Cluster, entrances []*crtest.Node, n *crtest.Node) {
	k.C.Helper()
	for _, e := range entrances {
		k.Eventually(func() error {
			for _, s := range e.Dump().Servers("ledger") {
				if s.Node == n.Name {
					return nil
				}
			}
			return fmt.Errorf("%s does not know %s", e.Name, n.Name)
		})
	}
}

// TestQueuedNotSentAfterLeaving guards against requests that are sent to a backend server after it has left (invariants
// I6 and I7): requests that wait at the gate when the server leaves are refused as not run, since the server may be gone
// by then.
func TestQueuedNotSentAfterLeaving(t *testing.T) {
	t.Parallel()
	g := startHeldServer(t, 1, 20, 200, 10*time.Second)
	limit := g.Nodes[0].Dump().Gate.Limit
	g.send(context.Background(), "high", limit)
	g.untilDump("all places are taken", func(d crtest.Dump) bool { return d.Gate.Running == limit })
	g.send(context.Background(), "low", 3)
	g.untilDump("three wait", func(d crtest.Dump) bool { return d.Gate.Queued == 3 })
	g.Nodes[0].Server.AnnounceLeaving()
	close(g.release)
	g.wg.Wait()
	g.C.Check(g.count("high", crcode.OK), qt.Equals, limit)
	g.C.Check(g.count("low", crcode.Leaving), qt.Equals, 3, qt.Commentf("%+v", g.replies["low"]))
	g.C.Check(g.Runs.Count("ledger/low", g.Nodes[0].Name), qt.Equals, 0)
}
