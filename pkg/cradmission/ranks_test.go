package cradmission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

// TestRanks guards against the most important client requests waiting behind all calls, against less important ones that run
// before calls, and against a highest worth that never expires.
func TestRanks(t *testing.T) {
	now := time.Unix(100, 0)
	var r cradmission.Ranks
	call := r.Rank(now, cradmission.Server, 1)
	qt.Assert(t, r.Rank(now, cradmission.Client, 5), qt.Equals, call)
	qt.Assert(t, r.Rank(now, cradmission.Client, 4) < call, qt.IsTrue)
	qt.Assert(t, r.Rank(now, cradmission.Client, 3) < r.Rank(now, cradmission.Client, 4), qt.IsTrue)
	qt.Assert(t, r.Rank(now, cradmission.UnknownSender, 9) < call, qt.IsTrue)
	qt.Assert(t, r.Rank(now, cradmission.Client, 5), qt.Equals, call)
	qt.Assert(t, r.Rank(now.Add(time.Minute), cradmission.Client, 4), qt.Equals, call)
}

// TestQueueDue guards against items of one priority that do not run in order of their due times, and against an Ahead that
// counts the items behind the position.
func TestQueueDue(t *testing.T) {
	now := time.Unix(100, 0)
	q := cradmission.Queue{Length: 3}
	p := cradmission.NewPriority(cradmission.Protected, 7, "")
	at := func(ms int) *cradmission.Item {
		return &cradmission.Item{Priority: p, Due: now.Add(time.Duration(ms) * time.Millisecond), Deadline: now.Add(time.Second)}
	}
	late, soon, next := at(300), at(100), at(200)
	for _, it := range []*cradmission.Item{late, soon, next} {
		qt.Assert(t, q.Push(now, it), qt.IsNil)
	}
	qt.Assert(t, q.Ahead(p, now.Add(250*time.Millisecond)), qt.Equals, 2)
	qt.Assert(t, q.Ahead(p, now.Add(200*time.Millisecond)), qt.Equals, 2)
	qt.Assert(t, q.Ahead(p+1, now.Add(time.Second)), qt.Equals, 0)
	// A full queue refuses the item that is due last.
	qt.Assert(t, q.Push(now, at(150)), qt.Equals, late)
	for _, want := range []*cradmission.Item{soon, nil, next} {
		it, ok := q.Pop(now)
		qt.Assert(t, ok, qt.IsTrue)
		if want != nil {
			qt.Assert(t, it, qt.Equals, want)
		}
	}
}
