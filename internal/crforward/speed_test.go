package crforward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crlimiter"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
	"github.com/citronramp/citronramp/pkg/crspeed"
)

// TestSpeedHop guards against a speed that is lost or leaves the system, against malformed figures of another node that count,
// and against an answer that a node of the release before does not understand: it accepts nine fields in the hop header.
func TestSpeedHop(t *testing.T) {
	now := time.Unix(1, 0)
	n := &Node{}
	sent := crspeed.Report{RunTime: 41250 * time.Microsecond, Slowness: 2.5, Acceptance: 0.45}
	h := http.Header{speedHeader: {formatSpeed(&sent)}}
	var got reply
	n.readSpeed(h, &got)
	qt.Assert(t, *got.speed, qt.Equals, sent)
	qt.Assert(t, forwardedHeader(h), qt.HasLen, 0)
	for _, bad := range []string{"1;2", "x;1;1", "-1;1;1", "NaN;1;1", "Inf;1;1", "1;1e300;1"} {
		got = reply{}
		n.readSpeed(http.Header{speedHeader: {bad}}, &got)
		qt.Check(t, got.speed, qt.IsNil, qt.Commentf("%s", bad))
	}
	qt.Assert(t, n.Counters.Value("speeds_malformed"), qt.Equals, int64(6))
	n.readSpeed(http.Header{speedHeader: {"1;1;1;later"}}, &got)
	qt.Assert(t, got.speed, qt.IsNotNil)
	got = reply{}
	n.readSpeed(http.Header{}, &got)
	qt.Assert(t, got.speed, qt.IsNil)
	n.ledger, n.gate = &crcost.Estimator{}, newGate(n)
	line := n.formatAnswer(&call{route: "/p/"}, &reply{code: crcode.OK, speed: &sent, load: &crrouter.Feedback{}}, now)
	qt.Assert(t, strings.Count(line, ";"), qt.Equals, 8)
}

// TestRefusalOfServer guards against a refusal that counts as a fault although the router weights the server by its acceptance,
// and against a server that refuses everything and is never ejected.
func TestRefusalOfServer(t *testing.T) {
	refused := func(speed *crspeed.Report) crrouter.Outcome {
		return routerResult(&reply{code: crcode.ServerRefused, speed: speed}, time.Millisecond, 0).Outcome
	}
	qt.Check(t, refused(&crspeed.Report{Acceptance: 0.45}), qt.Equals, crrouter.Refused)
	qt.Check(t, refused(&crspeed.Report{Acceptance: 0.1}), qt.Equals, crrouter.Failed)
	qt.Check(t, refused(nil), qt.Equals, crrouter.Failed)
}

// TestExpectedRun guards against a pressure that sees a disturbance of the server late, or counts its lasting speed twice.
func TestExpectedRun(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &gate{node: &Node{}, speed: &crspeed.Estimator{Slots: 20}, limiter: &crlimiter.Limiter{Slots: 20}}
	// A server of half the usual speed: its runs take 100 ms where others take 50 ms.
	const run = 100 * time.Millisecond
	for range 100 {
		g.speed.RecordLoad(now, crspeed.Load{Running: 1, Slots: 20, Slowness: 1})
		g.limiter.Acquire(now)
		mark := g.speed.Begin(now, 1)
		now = now.Add(run)
		g.speed.RecordLoad(now, crspeed.Load{Running: 1, Slots: 20, Slowness: 1})
		g.speed.End(now, crspeed.Run{Route: "/r/", Begin: mark, OwnShare: 1, Running: 1})
		g.limiter.Release(now, crlimiter.Sample{Kind: "/r/", Latency: run})
	}
	about := func(want time.Duration) {
		t.Helper()
		got := g.expectedRun(now, "/r/")
		qt.Check(t, got > want*9/10 && got < want*11/10, qt.IsTrue, qt.Commentf("%v, not %v", got, want))
	}
	about(run)
	for range 30 {
		now = now.Add(10 * time.Millisecond)
		g.speed.RecordLoad(now, crspeed.Load{Running: 1, Slots: 20, Slowness: 2.5})
	}
	about(run * 5 / 2)
	g.node.Settings.AlikeServers = true
	about(run)
}

// TestLimitFollowsKnee guards against a limit that does not follow the server, and against one that stays low.
func TestLimitFollowsKnee(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &gate{
		node: &Node{}, speed: &crspeed.Estimator{Slots: 40}, limiter: &crlimiter.Limiter{Slots: 37, Min: 37, Max: 37},
		queue: &cradmission.Queue{}, regulator: &crshed.Regulator{},
	}
	g.followKnee(now)
	qt.Assert(t, g.limiter.Limit(), qt.Equals, 37)
	for i := range 12_000 {
		now = now.Add(time.Millisecond)
		running, took := 15, 50*time.Millisecond
		if i/500%2 == 1 {
			running, took = 35, 150*time.Millisecond
		}
		mark := g.speed.Begin(now.Add(-took), running)
		g.speed.End(now, crspeed.Run{Route: "/r/", Begin: mark, OwnShare: 1, Running: running})
	}
	g.followKnee(now)
	qt.Assert(t, g.limiter.Limit(), qt.Equals, 15)
	qt.Assert(t, g.node.Counters.Value("limit_changes"), qt.Equals, int64(1))
	g.followKnee(now.Add(time.Minute))
	qt.Assert(t, g.limiter.Limit(), qt.Equals, 37)
}
