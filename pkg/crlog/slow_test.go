package crlog_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// delayedMessage is a message in flight and its time of delivery.
type delayedMessage struct {
	crlog.Message
	due time.Duration
}

// runWithDelay runs the cluster until done or until limit has passed; each message takes between half of the delay and
// the whole delay. It reports whether done was reached.
func (w *cluster) runWithDelay(limit, delay time.Duration, done func() bool) bool {
	var inTransit []delayedMessage
	for end := w.elapsed + limit; w.elapsed < end; {
		w.tick(20 * time.Millisecond)
		for _, m := range w.queue {
			inTransit = append(inTransit, delayedMessage{m, w.elapsed + delay/2 + time.Duration(w.rnd.Int64N(int64(delay)/2+1))})
		}
		w.queue = nil
		slices.SortStableFunc(inTransit, func(a, b delayedMessage) int { return cmp.Compare(a.due, b.due) })
		for len(inTransit) > 0 && inTransit[0].due <= w.elapsed {
			w.queue = append(w.queue, inTransit[0].Message)
			inTransit = inTransit[1:]
			w.deliver(len(w.queue)-1, false)
		}
		if done() {
			return true
		}
	}
	return false
}

// TestElectionOnSlowMachines guards against elections that never succeed because each candidate starts another round before
// the votes arrive, as on overloaded machines.
func TestElectionOnSlowMachines(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(20) {
				for _, voters := range []int{3, 5} {
					w := newCluster(t, seed, voters)
					ok := w.runWithDelay(30*time.Second, delay, func() bool { return w.leader() != nil })
					qt.Check(t, ok, qt.IsTrue, qt.Commentf("seed %d, %d voters", seed, voters))
					longest = max(longest, w.elapsed)
				}
			}
			t.Log("the longest election took", longest)
		})
	}
}
