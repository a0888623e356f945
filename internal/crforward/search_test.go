package crforward

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crwire"
)

// fakeCore answers hellos after a delay by address; an address without an entry stays silent.
type fakeCore map[string]struct {
	after time.Duration
	grade grade
}

func (c fakeCore) hello(ctx context.Context, address string) (contact, grade) {
	wait, answer := helloTimeout, gradeUnusable
	if e, ok := c[address]; ok {
		wait, answer = e.after, e.grade
	}
	select {
	case <-ctx.Done():
		return contact{}, gradeUnusable
	case <-time.After(wait):
		return contact{address: address}, answer
	}
}

func TestFind(t *testing.T) {
	for _, tc := range []struct {
		name  string
		core  fakeCore
		order []string
		want  string
		// within is the maximum time of the search.
		within time.Duration
	}{
		{"no address", fakeCore{}, nil, "", 0},
		{"first answers", fakeCore{"a": {time.Millisecond, gradeWanted}}, []string{"a", "b"}, "a", time.Millisecond},
		{"others are silent", fakeCore{"g": {time.Millisecond, gradeWanted}}, []string{"a", "b", "c", "d", "e", "f", "g"}, "g", 6*nextCandidateDelay + time.Millisecond},
		{"refused at once", fakeCore{"a": {}, "b": {}, "c": {}, "d": {time.Millisecond, gradeWanted}}, []string{"a", "b", "c", "d"}, "d", time.Millisecond},
		{"a slow one answers first", fakeCore{"a": {150 * time.Millisecond, gradeWanted}}, []string{"a", "b", "c"}, "a", 150 * time.Millisecond},
		{
			"a member before a non-member",
			fakeCore{"a": {time.Millisecond, gradeNonMember}, "b": {time.Millisecond, gradeUnconfirmed}, "c": {time.Millisecond, gradeNonMember}},
			[]string{"a", "b", "c"},
			"b", 3 * time.Millisecond,
		},
		{
			"the best one does not wait for the silent",
			fakeCore{"a": {time.Millisecond, gradeUnconfirmed}},
			[]string{"a", "b", "c"},
			"a",
			time.Millisecond + 2*nextCandidateDelay,
		},
		{"all silent", fakeCore{}, []string{"a", "b"}, "", nextCandidateDelay + helloTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				got, ok := findCoordinator(t.Context(), tc.order, tc.core.hello)
				qt.Assert(t, got.address, qt.Equals, tc.want)
				qt.Assert(t, ok, qt.Equals, tc.want != "")
				qt.Assert(t, time.Since(started) <= tc.within, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
			})
		})
	}
}

// TestFindAtOnce guards against a search that sends hellos to all members of a slow coordinator group at once.
func TestFindAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		active, maxActive := 0, 0
		count := func(n int) {
			mu.Lock()
			defer mu.Unlock()
			active += n
			maxActive = max(maxActive, active)
		}
		_, ok := findCoordinator(t.Context(), strings.Split("abcdefghijkl", ""), func(context.Context, string) (contact, grade) {
			count(1)
			defer count(-1)
			time.Sleep(helloTimeout)
			return contact{}, gradeUnusable
		})
		qt.Assert(t, ok, qt.IsFalse)
		qt.Assert(t, maxActive, qt.Equals, maxParallelHellos)
	})
}

func TestGrade(t *testing.T) {
	member := &crwire.CoreView{Voters: []string{"a", "b"}}
	confirmed := &crwire.CoreView{Voters: []string{"a", "b"}, Confirmed: true}
	for _, tc := range []struct {
		name          string
		c             contact
		held, takeAny bool
		want          grade
	}{
		{"confirmed", contact{address: "a", view: confirmed}, false, false, gradeWanted},
		{"held by the other link", contact{address: "a", view: confirmed}, true, false, gradeShared},
		{"without a leader", contact{address: "a", view: member}, false, false, gradeUnconfirmed},
		{"without a leader for long", contact{address: "a", view: member}, false, true, gradeUnconfirmed},
		{"no member", contact{address: "c", view: member}, false, false, gradeUnusable},
		{"no member for long", contact{address: "c", view: member}, false, true, gradeNonMember},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, tc.c.grade(tc.held, tc.takeAny), qt.Equals, tc.want)
		})
	}
}
