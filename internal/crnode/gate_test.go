package crnode

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
)

func protectedRequest(d time.Duration) gateRequest {
	return gateRequest{priority: cradmission.NewPriority(cradmission.Protected, 1, "p"), kind: "record", deadline: time.Now().Add(d)}
}

func ordinaryRequest(i int) gateRequest {
	return gateRequest{priority: cradmission.NewPriority(cradmission.Ordinary, 9, fmt.Sprint(i)), kind: "read", deadline: time.Now().Add(time.Minute)}
}

// testContext returns a context that bounds waits which would otherwise block forever.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// raiseLevel simulates demand and queue delay far above the target until the level refuses ordinary requests.
func raiseLevel(c *qt.C, g *adaptiveGate) {
	now := time.Now().Add(-2 * time.Second)
	for i := 0; g.level.Current() == 0 && i < 100_000; i++ {
		now = now.Add(time.Millisecond)
		g.level.Arrive(now, ordinaryRequest(i).priority)
		g.level.RecordWait(now, time.Second)
		if i%10 == 0 {
			g.level.RecordCompletion(now)
		}
	}
	c.Assert(g.level.Current() > 0 && g.level.Current() < lowestProtected, qt.IsTrue)
}

// TestProtectedPreemptsOrdinaryRun guards against a protected request that misses its deadline while ordinary runs hold
// every place (invariant I2).
func TestProtectedPreemptsOrdinaryRun(t *testing.T) {
	c := qt.New(t)
	g := newAdaptiveGate(2, 10, time.Second)
	stopped := make(chan int, 2)
	for i := range 2 {
		e := ordinaryRequest(i)
		e.preempt = func() { stopped <- i }
		leave, err := g.enter(context.Background(), e)
		c.Assert(err, qt.IsNil)
		go func() {
			if n := <-stopped; n == i {
				leave(crlimiter.Sample{Result: crlimiter.Cancelled})
			} else {
				stopped <- n
			}
		}()
	}
	leave, err := g.enter(testContext(t), protectedRequest(5*time.Second))
	c.Assert(err, qt.IsNil)
	leave(crlimiter.Sample{Result: crlimiter.Success})
	c.Assert(g.running, qt.HasLen, 1)
	for r := range g.running {
		r.preempt()
	}
}

// TestDownstreamCallIgnoresLevel guards against wasted work when a level refuses a downstream call whose root request was
// admitted.
func TestDownstreamCallIgnoresLevel(t *testing.T) {
	c := qt.New(t)
	g := newAdaptiveGate(4, 10, time.Second)
	raiseLevel(c, g)
	refused := 0
	for i := range 50 {
		e := ordinaryRequest(i)
		if g.level.Admits(e.priority) {
			continue
		}
		refused++
		_, err := g.enter(context.Background(), e)
		c.Assert(crcode.Of(err), qt.Equals, crcode.Overloaded)
		e.downstream = true
		leave, err := g.enter(context.Background(), e)
		c.Assert(err, qt.IsNil)
		leave(crlimiter.Sample{Result: crlimiter.Success})
	}
	c.Assert(refused > 0, qt.IsTrue)
}

// TestPressureKeepsPlacesForProtected guards against a gate under pressure that gives its last places to ordinary
// requests while protected ones arrive.
func TestPressureKeepsPlacesForProtected(t *testing.T) {
	c := qt.New(t)
	g := newAdaptiveGate(16, 100, time.Minute)
	leave, err := g.enter(context.Background(), protectedRequest(time.Minute))
	c.Assert(err, qt.IsNil)
	leave(crlimiter.Sample{Result: crlimiter.Success})
	raiseLevel(c, g)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	for i := range 20 {
		e := ordinaryRequest(i)
		e.downstream = true
		go func() {
			defer func() { done <- struct{}{} }()
			if leave, err := g.enter(ctx, e); err == nil {
				<-ctx.Done()
				leave(crlimiter.Sample{Result: crlimiter.Cancelled})
			}
		}()
	}
	for deadline := time.Now().Add(10 * time.Second); g.queue.Len() != 6 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.Check(g.limiter.InFlight(), qt.Equals, 14)
	leave, err = g.enter(testContext(t), protectedRequest(time.Minute))
	c.Check(err, qt.IsNil)
	if err == nil {
		leave(crlimiter.Sample{Result: crlimiter.Success})
	}
	cancel()
	for range 20 {
		<-done
	}
}

// TestWorthIsWeighedAgainstRunTime guards against long requests that displace short ones with more worth per run time.
func TestWorthIsWeighedAgainstRunTime(t *testing.T) {
	c := qt.New(t)
	var times runTimes
	for range 100 {
		times.observe("route/plan", 430*time.Millisecond)
		times.observe("route/list", 400*time.Millisecond)
		times.observe("price/read", 8*time.Millisecond)
	}
	c.Assert(times.worthPerTime("price/read", 20) > times.worthPerTime("route/plan", 40), qt.IsTrue)
	c.Assert(times.worthPerTime("route/plan", 40) > times.worthPerTime("route/list", 39), qt.IsTrue)
	c.Assert(times.worthPerTime("route/plan", 0), qt.Equals, uint32(1))
	c.Assert(times.worthPerTime("new/kind", 1_000_000) > times.worthPerTime("new/kind", 999_999), qt.IsTrue)
}

// TestExpiredCallsRaiseNoLevel guards against an idle server that refuses calls because earlier calls arrived after their
// deadline: those calls have not waited at this gate.
func TestExpiredCallsRaiseNoLevel(t *testing.T) {
	g := newAdaptiveGate(8, 64, 100*time.Millisecond)
	leave, err := g.enter(t.Context(), gateRequest{kind: "read", deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	leave(crlimiter.Sample{Kind: "read", Latency: time.Millisecond})
	for range 20 {
		_, err := g.enter(t.Context(), gateRequest{kind: "read", deadline: time.Now().Add(-time.Second)})
		qt.Assert(t, crcode.Of(err), qt.Equals, crcode.DeadlineExpired)
	}
	g.tick(time.Now().Add(time.Second))
	leave, err = g.enter(t.Context(), gateRequest{kind: "read", deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	leave(crlimiter.Sample{Kind: "read", Latency: time.Millisecond})
}
