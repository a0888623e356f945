package crnode_test

import (
	"context"
	"fmt"
	"strconv"
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

// Requests of these kinds wait until a test releases them.
const (
	longOrdinary  = "class ordinary worth 1 repeat yes deadline 15s retries 0"
	longProtected = "class protected worth 100 repeat yes deadline 15s retries 0"
)

// heldServer is a deployment of one server whose runs end when the test releases them.
type heldServer struct {
	*crtest.Cluster
	release chan struct{}
	running atomic.Int64
	wg      sync.WaitGroup
	mu      sync.Mutex
	replies map[string][]crtest.Reply
}

func startHeldServer(t *testing.T, slots, queue, places int, queueTime time.Duration) *heldServer {
	g := &heldServer{release: make(chan struct{}), replies: map[string][]crtest.Reply{}}
	g.Cluster = crtest.Start(t, crtest.Options{
		EditNodeSettings: func(s *crsettings.Node) { s.QueueLength, s.MaxRequests, s.QueueTime = queue, places, queueTime },
		Handler: func(r *crtest.Run) {
			g.running.Add(1)
			defer g.running.Add(-1)
			select {
			case <-g.release:
			case <-r.R.Context().Done():
				return
			}
			r.Answer()
		},
		Services: []crtest.Service{{Name: "ledger", Servers: 1, Slots: slots, Kinds: map[string]string{"low": longOrdinary, "high": longProtected}}},
	})
	return g
}

// send sends n requests of a kind concurrently.
func (g *heldServer) send(ctx context.Context, kind string, n int) {
	for range n {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			r := g.SendContext(ctx, g.Nodes[0], "ledger/"+kind, crtest.Request{})
			g.mu.Lock()
			defer g.mu.Unlock()
			g.replies[kind] = append(g.replies[kind], r)
		}()
	}
}

func (g *heldServer) count(kind string, code crcode.Code) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.replies[kind] {
		if r.Code == code {
			n++
		}
	}
	return n
}

// untilDump waits until the node's state dump meets a condition.
func (g *heldServer) untilDump(want string, f func(crtest.Dump) bool) {
	g.C.Helper()
	g.Eventually(func() error {
		if d := g.Nodes[0].Dump(); !f(d) {
			return fmt.Errorf("%s: %+v", want, d)
		}
		return nil
	})
}

// TestProtectedDisplaceOrdinary guards against protected requests that are refused while ordinary ones wait (invariant
// I2): with the queue full of ordinary requests, protected ones take their places.
func TestProtectedDisplaceOrdinary(t *testing.T) {
	t.Parallel()
	g := startHeldServer(t, 2, 20, 200, 10*time.Second)
	ctx := context.Background()
	g.send(ctx, "low", 40)
	g.untilDump("the queue holds its part of ordinary requests", func(d crtest.Dump) bool { return d.Gate.Queued >= 16 })
	g.send(ctx, "high", 18)
	// All 18 wait or run, although ordinary requests had filled their part of the queue.
	g.untilDump("protected requests wait", func(d crtest.Dump) bool { return g.count("low", crcode.Overloaded) >= 34 && d.Gate.Queued == 20 })
	g.C.Check(g.count("high", crcode.Overloaded), qt.Equals, 0)
	close(g.release)
	g.wg.Wait()
	g.C.Check(g.count("high", crcode.OK), qt.Equals, 18)
	g.C.Check(g.count("low", crcode.OK) >= 2, qt.IsTrue, qt.Commentf("the rest of the capacity was left unused"))
}

// TestFloodLeavesRoomAtEntrance guards against ordinary requests that take all places at the entrance (invariant I2): a
// fifth of the places is reserved for protected ones.
func TestFloodLeavesRoomAtEntrance(t *testing.T) {
	t.Parallel()
	g := startHeldServer(t, 100, 100, 50, 10*time.Second)
	ctx := context.Background()
	g.send(ctx, "low", 80)
	g.untilDump("ordinary places are taken", func(d crtest.Dump) bool { return d.Entrance.Ordinary == 40 && g.count("low", crcode.Overloaded) == 40 })
	g.send(ctx, "high", 10)
	g.untilDump("protected places are taken", func(d crtest.Dump) bool { return d.Entrance.Protected == 10 })
	close(g.release)
	g.wg.Wait()
	g.C.Check(g.count("high", crcode.OK), qt.Equals, 10)
	g.C.Check(g.count("low", crcode.OK), qt.Equals, 40)
}

// TestExpiredLeaveQueue guards against wasted work: requests that wait too long or whose callers disconnect leave the
// queue without running.
func TestExpiredLeaveQueue(t *testing.T) {
	t.Parallel()
	g := startHeldServer(t, 1, 20, 200, 300*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	g.send(context.Background(), "high", 1)
	g.Eventually(func() error {
		if g.running.Load() != 1 {
			return fmt.Errorf("nothing runs")
		}
		return nil
	})
	limit := g.Nodes[0].Dump().Gate.Limit
	g.send(context.Background(), "high", limit-1)
	g.untilDump("all places are taken", func(d crtest.Dump) bool { return d.Gate.Running == limit })
	g.send(ctx, "low", 4)
	g.untilDump("four wait", func(d crtest.Dump) bool { return d.Gate.Queued > 0 })
	cancel()
	g.untilDump("cancelled requests left", func(d crtest.Dump) bool { return d.Gate.Queued == 0 })
	g.send(context.Background(), "low", 4)
	g.Eventually(func() error {
		if n := g.count("low", crcode.QueueTimeout); n != 4 {
			return fmt.Errorf("%d left the queue", n)
		}
		return nil
	})
	close(g.release)
	g.wg.Wait()
	ran := 0
	for _, s := range g.Nodes {
		ran += g.Runs.Count("ledger/low", s.Name)
	}
	g.C.Check(ran, qt.Equals, 0)
}

// TestCancelReachesDownstreamCalls guards against wasted work: a caller that disconnects ends the run and its downstream
// call.
func TestCancelReachesDownstreamCalls(t *testing.T) {
	t.Parallel()
	deep, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	k := crtest.Start(t, crtest.Options{
		Handler: func(r *crtest.Run) {
			if r.Kind == "front/read" {
				r.CallDownstream("ledger/read", "")
				return
			}
			deep <- struct{}{}
			<-r.R.Context().Done()
			ended <- struct{}{}
		},
		Services: []crtest.Service{
			{Name: "front", Servers: 1, Slots: 4, Kinds: map[string]string{"read": longOrdinary}},
			{Name: "ledger", Servers: 1, Slots: 4, Kinds: map[string]string{"read": longOrdinary}},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		k.SendContext(ctx, k.Nodes[0], "front/read", crtest.Request{})
	}()
	<-deep
	cancel()
	<-disconnected
	select {
	case <-ended:
	case <-time.After(crtest.Deadline / 4):
		t.Fatal("the downstream run continues after its caller disconnected")
	}
}

// TestEntranceRefusesForDeepService guards against wasted downstream work: when the entrance knows that a kind reaches an
// overloaded downstream service, it refuses ordinary requests without any run and still admits protected ones.
func TestEntranceRefusesForDeepService(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, crtest.Options{
		Handler: func(r *crtest.Run) {
			if r.Kind == "ledger/low" || r.Kind == "ledger/high" {
				time.Sleep(20 * time.Millisecond) // the work of the downstream service
				r.Answer()
				return
			}
			if d := r.CallDownstream(strings.Replace(r.Kind, "front", "ledger", 1), ""); d.Code != crcode.OK {
				r.Refuse(strconv.Itoa(int(d.Code)))
				return
			}
			r.Answer()
		},
		Services: []crtest.Service{
			{Name: "front", Servers: 1, Slots: 200, Kinds: map[string]string{"low": repeat, "high": protectedRepeat}},
			{Name: "ledger", Servers: 1, Slots: 2, Kinds: map[string]string{"low": repeat, "high": protectedRepeat}},
		},
	})
	f := startFlood(k)
	k.Eventually(func() error {
		if n := f.refusedEarly.Load(); n < 200 {
			return fmt.Errorf("%d refused at the entrance", n)
		}
		return nil
	})
	before := f.whole.Load()
	whole := 0
	for range 20 {
		if r := k.Send(k.Nodes[0], "front/high", crtest.Request{}); r.Code == crcode.OK {
			whole++
		}
	}
	k.Eventually(func() error {
		if f.whole.Load() == before {
			return fmt.Errorf("no ordinary request is answered")
		}
		return nil
	})
	f.cancel()
	f.wg.Wait()
	k.C.Check(whole, qt.Equals, 20, qt.Commentf("protected requests answered of 20"))
}

// flood is a load of ordinary requests; refusedEarly counts those that were refused without any run.
type flood struct {
	cancel              context.CancelFunc
	wg                  sync.WaitGroup
	refusedEarly, whole atomic.Int64
}

func startFlood(k *crtest.Cluster) *flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flood{cancel: cancel}
	for range 40 {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			for ctx.Err() == nil {
				id := k.Nodes[0].NewID()
				r := k.Send(k.Nodes[0], "front/low", crtest.Request{ID: id})
				switch {
				case r.Code == crcode.OK:
					f.whole.Add(1)
				case r.Code == crcode.Overloaded && k.Runs.Count("", id) == 0:
					f.refusedEarly.Add(1)
				}
			}
		}()
	}
	return f
}
