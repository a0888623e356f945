package crreplica

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crstore"
)

// BenchmarkPropose measures proposals of one caller and of many callers, whose entries share syncs.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			ins := startCluster(b, 3, crstore.OS{})
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

// BenchmarkElection measures the time from the loss of the leader until the next leader holds a lease.
func BenchmarkElection(b *testing.B) {
	ins := startCluster(b, 3, crstore.OS{})
	l := leaderOf(b, ins)
	var longest time.Duration
	defer func() { b.ReportMetric(longest.Seconds(), "s-max") }()
	for b.Loop() {
		start := time.Now()
		l.kill()
		rest := allExcept(ins, l)
		next := leaderOf(b, rest)
		b.StopTimer()
		longest = max(longest, time.Since(start))
		back := startReplica(b, crstore.OS{}, l.dir, mustListen(b, l.Address), l.ID, func(*Replica) {})
		waitUntil(b, func() bool { return back.Status().StateApplied >= next.Status().Commit && back.Status().Commit > 0 })
		ins, l = append(rest, back), next
		b.StartTimer()
	}
}

// BenchmarkRestart measures the time until a single voter has restored its state; a snapshot is taken every 10,000
// entries, the default.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			ln := mustListen(b, "127.0.0.1:0")
			address := ln.Addr().String()
			set := func(r *Replica) {
				r.Log = crlog.Config{}
				r.Bootstrap = crlog.Members{{ID: 1, Address: address}}
			}
			in := startReplica(b, crstore.OS{}, filepath.Join(b.TempDir(), "data"), ln, 1, set)
			leaderOf(b, []*instance{in})
			proposeMany(b, in, changes)
			for b.Loop() {
				b.StopTimer()
				in.kill()
				b.StartTimer()
				in = startReplica(b, crstore.OS{}, in.dir, mustListen(b, address), 1, set)
				waitUntil(b, func() bool { return len(in.machine.all()) == changes })
			}
		})
	}
}

func proposeMany(b *testing.B, in *instance, changes int) {
	const callers = 100
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range changes / callers {
				if _, _, _, err := in.Propose(context.Background(), make([]byte, 200)); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	wg.Wait()
}
