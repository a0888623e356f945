package crreplica

import (
	"context"
	"fmt"
	"testing"

	"github.com/citronramp/citronramp/pkg/crstore"
)

// BenchmarkPropose measures one caller against many, whose changes share syncs.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			ins := cluster(b, 3, crstore.OS{})
			l := leaderOf(b, ins)
			data := make([]byte, 200)
			work := make(chan struct{})
			done := make(chan error)
			for range callers {
				go func() {
					var last error
					for range work {
						if _, _, _, err := l.Propose(context.Background(), data); err != nil {
							last = err
						}
					}
					done <- last
				}()
			}
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			for range callers {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkElection measures the time from the loss of the leader to the next leader's lease.
func BenchmarkElection(b *testing.B) {
	ins := cluster(b, 3, crstore.OS{})
	l := leaderOf(b, ins)
	for b.Loop() {
		l.kill()
		rest := others(ins, l)
		next := leaderOf(b, rest)
		b.StopTimer()
		back := launch(b, crstore.OS{}, l.dir, listen(b, l.Address), l.ID, func(*Replica) {})
		until(b, func() bool { return back.Status().StateApplied >= next.Status().Commit && back.Status().Commit > 0 })
		ins, l = append(rest, back), next
		b.StartTimer()
	}
}
