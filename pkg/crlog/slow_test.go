package crlog_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// delayed is a message on its way.
type delayed struct {
	crlog.Message
	due time.Duration
}

// settleSlowly lets everything run, with messages that take from half of the delay to all of it, until done.
func (w *world) settleSlowly(limit, delay time.Duration, done func() bool) bool {
	var under []delayed
	for end := w.elapsed + limit; w.elapsed < end; {
		w.tick(20 * time.Millisecond)
		for _, m := range w.queue {
			under = append(under, delayed{m, w.elapsed + delay/2 + time.Duration(w.rnd.Int64N(int64(delay)/2+1))})
		}
		w.queue = nil
		slices.SortStableFunc(under, func(a, b delayed) int { return cmp.Compare(a.due, b.due) })
		for len(under) > 0 && under[0].due <= w.elapsed {
			w.queue = append(w.queue, under[0].Message)
			under = under[1:]
			w.deliver(len(w.queue)-1, false)
		}
		if done() {
			return true
		}
	}
	return false
}

// TestElectionOnSlowMachines guards against elections that never end since each round is given up before the votes come in,
// as on machines that are asked for far more than they have.
func TestElectionOnSlowMachines(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(20) {
				for _, voters := range []int{3, 5} {
					w := newWorld(t, seed, voters)
					ok := w.settleSlowly(30*time.Second, delay, func() bool { return w.leader() != nil })
					qt.Check(t, ok, qt.IsTrue, qt.Commentf("seed %d, %d voters", seed, voters))
					longest = max(longest, w.elapsed)
				}
			}
			t.Log("the longest election took", longest)
		})
	}
}
