package crcost_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcost"
)

// event is an action at a time of the simulated load.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// TestAttribution guards against costs that are attributed to the wrong kind. On the simulated server, runs of one kind that
// make four calls one after the other overlap with rarer runs of another kind that make none.
func TestAttribution(t *testing.T) {
	const callTime, ownTime, uploadTime = 35 * time.Millisecond, 15 * time.Millisecond, 140 * time.Millisecond
	l := &crcost.Estimator{Service: "photos"}
	rnd := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(100, 0)
	var q events
	now := time.Duration(0)
	at := func(d time.Duration, f func()) { heap.Push(&q, event{now + d, f}) }
	vary := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + rnd.Float64())) }
	var chain func(begun time.Duration, left int)
	chain = func(begun time.Duration, left int) {
		if left == 0 {
			l.RunEnded("index", now-begun, true)
			return
		}
		l.CallStarted("grades")
		took := vary(callTime)
		at(took, func() {
			l.CallEnded("grades", took, true, crcost.Vector{"prices": 0.030})
			chain(begun, left-1)
		})
	}
	var index, upload, sample func()
	index = func() {
		l.RunStarted("index")
		begun := now
		at(vary(ownTime), func() { chain(begun, 4) })
		at(time.Duration(rnd.ExpFloat64()*float64(10*time.Millisecond)), index)
	}
	upload = func() {
		l.RunStarted("upload")
		took := vary(uploadTime)
		at(took, func() { l.RunEnded("upload", took, true) })
		at(time.Duration(rnd.ExpFloat64()*float64(230*time.Millisecond)), upload)
	}
	sample = func() {
		l.Sample(start.Add(now))
		at(crcost.SampleInterval, sample)
	}
	index()
	upload()
	sample()
	for now < 10*time.Second {
		e := heap.Pop(&q).(event)
		now = e.at
		e.do()
	}
	got := l.Cost("index")
	qt.Assert(t, got["prices"] > 0.09 && got["prices"] < 0.15, qt.IsTrue, qt.Commentf("%v", got))
	got = l.Cost("upload")
	qt.Assert(t, got["prices"] < 0.03, qt.IsTrue, qt.Commentf("%v", got))
	qt.Assert(t, got["photos"] > 0.1 && got["photos"] < 0.18, qt.IsTrue, qt.Commentf("%v", got))
	share := l.OwnShare("index")
	qt.Assert(t, share > 0 && share < 0.2, qt.IsTrue, qt.Commentf("%v of the time of index is its own", share))
	share = l.OwnShare("upload")
	qt.Assert(t, share > 0.9, qt.IsTrue, qt.Commentf("%v of the time of upload is its own", share))
	qt.Assert(t, l.OwnShare("other"), qt.Equals, 1.0)
}

// TestUnknown guards against reported costs of kinds without a successful run.
func TestUnknown(t *testing.T) {
	l := &crcost.Estimator{Service: "photos"}
	qt.Assert(t, l.Cost("x"), qt.IsNil)
	l.Sample(time.Unix(1, 0))
	l.RunStarted("x")
	l.RunEnded("x", time.Second, false)
	qt.Assert(t, l.Cost("x"), qt.IsNil)
}

func TestTop(t *testing.T) {
	v := crcost.Vector{"a": 1, "b": 3, "c": 2}
	qt.Assert(t, v.Top(2), qt.DeepEquals, []string{"b", "c"})
}

// server simulates runs of one kind, one after the other, each with one call that takes three quarters of its time.
type server struct {
	ledger crcost.Estimator
	now    time.Time
}

const (
	runFor  = 200 * time.Millisecond
	callFor = 150 * time.Millisecond
)

// run simulates one run; call records the start of its call and returns the function that records the end.
func (s *server) run(call func() (end func())) {
	s.ledger.RunStarted("look")
	s.advance(runFor - callFor)
	end := call()
	s.advance(callFor)
	end()
	s.ledger.RunEnded("look", runFor, true)
}

func (s *server) advance(d time.Duration) {
	for range int(d / crcost.SampleInterval) {
		s.now = s.now.Add(crcost.SampleInterval)
		s.ledger.Sample(s.now)
	}
}

// recordCall records a call whose answer reports the costs below.
func (s *server) recordCall(below crcost.Vector) func() func() {
	return func() func() {
		s.ledger.CallStarted("check")
		return func() { s.ledger.CallEnded("check", callFor, true, below) }
	}
}

// TestCostIsWhole guards against incomplete costs: with the cost at the first service only, entrances would admit a route
// whatever the pressure on a deeper service.
func TestCostIsWhole(t *testing.T) {
	s := &server{ledger: crcost.Estimator{Service: "routes"}, now: time.Unix(100, 0)}
	for range 10 {
		s.run(s.ledger.RecordUnattributed)
		qt.Assert(t, s.ledger.Cost("look"), qt.IsNil, qt.Commentf("it is not known whether the server makes the calls"))
	}
	for range 10 {
		s.run(s.recordCall(nil))
		qt.Assert(t, s.ledger.Cost("look"), qt.IsNil, qt.Commentf("the cost of a call is not known"))
	}
	for range 5 {
		s.run(s.recordCall(crcost.Vector{"prices": 0.1}))
	}
	got := s.ledger.Cost("look")
	qt.Assert(t, got["prices"] > 0.08 && got["prices"] < 0.12, qt.IsTrue, qt.Commentf("%v, of 0.1 s", got))
}

// TestCallsCountedLate guards against a cost that stays too low for many seconds because the first calls were not counted.
func TestCallsCountedLate(t *testing.T) {
	s := &server{ledger: crcost.Estimator{Service: "routes"}, now: time.Unix(100, 0)}
	for range 20 {
		s.run(func() func() { return func() {} })
	}
	for range 5 {
		s.run(s.recordCall(crcost.Vector{"prices": 0.1}))
	}
	got := s.ledger.Cost("look")
	qt.Assert(t, got["prices"] > 0.08 && got["prices"] < 0.12, qt.IsTrue, qt.Commentf("%v, of 0.1 s", got))
}

// TestFewRuns guards against a cost that is based on a single run.
func TestFewRuns(t *testing.T) {
	s := &server{ledger: crcost.Estimator{Service: "routes"}, now: time.Unix(100, 0)}
	s.run(func() func() { return func() {} })
	s.advance(time.Second)
	qt.Assert(t, s.ledger.Cost("look"), qt.IsNil)
}

// TestFloodFades guards against costs that are wrong for a long time after a second of overload. Calls are then refused or
// wait indefinitely, so the many runs in that second do not show their cost.
func TestFloodFades(t *testing.T) {
	const flooded = 40
	s := &server{ledger: crcost.Estimator{Service: "routes"}, now: time.Unix(100, 0)}
	below := crcost.Vector{"prices": 0.1}
	for range 5 {
		s.run(s.recordCall(below))
	}
	for range flooded {
		s.ledger.RunStarted("look")
	}
	s.advance(time.Second)
	for range flooded {
		s.ledger.RunEnded("look", time.Second, false)
	}
	for range 15 {
		s.run(s.recordCall(below))
	}
	got := s.ledger.Cost("look")
	qt.Assert(t, got["prices"] > 0.07 && got["prices"] < 0.12, qt.IsTrue, qt.Commentf("%v, of 0.1 s", got))
}

// TestShortRuns guards against costs that are too low for a long time after a period in which call chains failed early, so
// that runs ended at the first call.
func TestShortRuns(t *testing.T) {
	const shortCall = 20 * time.Millisecond
	s := &server{ledger: crcost.Estimator{Service: "routes"}, now: time.Unix(100, 0)}
	below := crcost.Vector{"prices": 0.1}
	for range 25 {
		s.run(s.recordCall(below))
	}
	// All calls fail for 8 s.
	for range 80 {
		s.ledger.RunStarted("look")
		s.advance(100*time.Millisecond - shortCall)
		s.ledger.CallStarted("check")
		s.advance(shortCall)
		s.ledger.CallEnded("check", shortCall, false, nil)
		s.ledger.RunEnded("look", 100*time.Millisecond, false)
	}
	for range 5 {
		s.run(s.recordCall(below))
	}
	got := s.ledger.Cost("look")
	qt.Assert(t, got["prices"] > 0.08 && got["prices"] < 0.12, qt.IsTrue, qt.Commentf("%v, of 0.1 s", got))
}
