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

func protectedEntry(d time.Duration) entry {
	return entry{priority: cradmission.NewPriority(cradmission.Protected, 1, "p"), kind: "record", deadline: time.Now().Add(d)}
}

func ordinaryEntry(i int) entry {
	return entry{priority: cradmission.NewPriority(cradmission.Ordinary, 9, fmt.Sprint(i)), kind: "read", deadline: time.Now().Add(time.Minute)}
}

// short returns a context that ends a wait which would otherwise last for ever.
func short(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// raiseLevel feeds the level with demand and queue delay far above its target until it sheds ordinary requests.
func raiseLevel(c *qt.C, g *adaptiveGate) {
	now := time.Now().Add(-2 * time.Second)
	for i := 0; g.level.Current() == 0 && i < 100_000; i++ {
		now = now.Add(time.Millisecond)
		g.level.Arrive(now, ordinaryEntry(i).priority)
		g.level.Waited(now, time.Second)
		if i%10 == 0 {
			g.level.Completed(now)
		}
	}
	c.Assert(g.level.Current() > 0 && g.level.Current() < lowestProtected, qt.IsTrue)
}

// Guards against a protected request that misses its deadline while ordinary runs hold every place (I2).
func TestProtectedStopsOrdinaryRun(t *testing.T) {
	c := qt.New(t)
	g := newAdaptiveGate(2, 10, time.Second)
	stopped := make(chan int, 2)
	for i := range 2 {
		e := ordinaryEntry(i)
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
	leave, err := g.enter(short(t), protectedEntry(5*time.Second))
	c.Assert(err, qt.IsNil)
	leave(crlimiter.Sample{Result: crlimiter.Success})
	c.Assert(g.running, qt.HasLen, 1)
	for r := range g.running {
		r.preempt()
	}
}

// Guards against work that is wasted because a level refuses a deeper call whose root was admitted.
func TestDeeperCallPassesLevel(t *testing.T) {
	c := qt.New(t)
	g := newAdaptiveGate(4, 10, time.Second)
	raiseLevel(c, g)
	refused := 0
	for i := range 50 {
		e := ordinaryEntry(i)
		if g.level.Admits(e.priority) {
			continue
		}
		refused++
		_, err := g.enter(context.Background(), e)
		c.Assert(crcode.Of(err), qt.Equals, crcode.Overloaded)
		e.invested = true
		leave, err := g.enter(context.Background(), e)
		c.Assert(err, qt.IsNil)
		leave(crlimiter.Sample{Result: crlimiter.Success})
	}
	c.Assert(refused > 0, qt.IsTrue)
}

// Guards against a gate under pressure whose last places go to ordinary requests while protected ones come.
func TestPressureKeepsPlacesForProtected(t *testing.T) {
	c := qt.New(t)
	g := newAdaptiveGate(16, 100, time.Minute)
	leave, err := g.enter(context.Background(), protectedEntry(time.Minute))
	c.Assert(err, qt.IsNil)
	leave(crlimiter.Sample{Result: crlimiter.Success})
	raiseLevel(c, g)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	for i := range 20 {
		e := ordinaryEntry(i)
		e.invested = true
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
	leave, err = g.enter(short(t), protectedEntry(time.Minute))
	c.Check(err, qt.IsNil)
	if err == nil {
		leave(crlimiter.Sample{Result: crlimiter.Success})
	}
	cancel()
	for range 20 {
		<-done
	}
}

// Guards against long requests that keep out short ones which earn more for the same places.
func TestWorthIsWeighedAgainstRunTime(t *testing.T) {
	c := qt.New(t)
	var times runTimes
	for range 100 {
		times.learn("route/plan", 430*time.Millisecond)
		times.learn("route/list", 400*time.Millisecond)
		times.learn("price/read", 8*time.Millisecond)
	}
	c.Assert(times.weigh("price/read", 20) > times.weigh("route/plan", 40), qt.IsTrue)
	c.Assert(times.weigh("route/plan", 40) > times.weigh("route/list", 39), qt.IsTrue)
	c.Assert(times.weigh("route/plan", 0), qt.Equals, uint32(1))
	c.Assert(times.weigh("new/kind", 1_000_000) > times.weigh("new/kind", 999_999), qt.IsTrue)
}

// TestExpiredCallsRaiseNoLevel guards against an idle server that refuses calls since others came when their time was over:
// they have not waited here.
func TestExpiredCallsRaiseNoLevel(t *testing.T) {
	g := newAdaptiveGate(8, 64, 100*time.Millisecond)
	leave, err := g.enter(t.Context(), entry{kind: "read", deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	leave(crlimiter.Sample{Kind: "read", Latency: time.Millisecond})
	for range 20 {
		_, err := g.enter(t.Context(), entry{kind: "read", deadline: time.Now().Add(-time.Second)})
		qt.Assert(t, crcode.Of(err), qt.Equals, crcode.DeadlineExpired)
	}
	g.tick(time.Now().Add(time.Second))
	leave, err = g.enter(t.Context(), entry{kind: "read", deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	leave(crlimiter.Sample{Kind: "read", Latency: time.Millisecond})
}
