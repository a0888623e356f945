package crcost_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcost"
)

// event is a moment in the replayed load.
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

// TestAttribution replays a server on which one kind of run makes four calls in a row and another, rarer one makes none,
// at the same time all along, and guards against costs that are put down to the wrong kind.
func TestAttribution(t *testing.T) {
	const callTime, ownTime, uploadTime = 35 * time.Millisecond, 15 * time.Millisecond, 140 * time.Millisecond
	l := &crcost.Ledger{Service: "photos"}
	rnd := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(100, 0)
	var q events
	now := time.Duration(0)
	at := func(d time.Duration, f func()) { heap.Push(&q, event{now + d, f}) }
	vary := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + rnd.Float64())) }
	var chain func(begun time.Duration, left int)
	chain = func(begun time.Duration, left int) {
		if left == 0 {
			l.Ended("index", now-begun, true)
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
		l.Started("index")
		begun := now
		at(vary(ownTime), func() { chain(begun, 4) })
		at(time.Duration(rnd.ExpFloat64()*float64(10*time.Millisecond)), index)
	}
	upload = func() {
		l.Started("upload")
		took := vary(uploadTime)
		at(took, func() { l.Ended("upload", took, true) })
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
}

// TestUnknown guards against costs of kinds that never ran.
func TestUnknown(t *testing.T) {
	l := &crcost.Ledger{Service: "photos"}
	qt.Assert(t, l.Cost("x"), qt.IsNil)
	l.Sample(time.Unix(1, 0))
	l.Started("x")
	l.Ended("x", time.Second, false)
	qt.Assert(t, l.Cost("x"), qt.IsNil)
}

func TestTop(t *testing.T) {
	v := crcost.Vector{"a": 1, "b": 3, "c": 2}
	qt.Assert(t, v.Top(2), qt.DeepEquals, []string{"b", "c"})
}
