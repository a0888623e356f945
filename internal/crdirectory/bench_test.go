package crdirectory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

var benchSizes = []int{100, 1000, 5000, 20000}

// perService is the mean number of servers of a service in a full deployment, 20,000 servers in 670 services.
const perService = 30

func benchCore(b *testing.B, n int) *Core {
	b.Helper()
	d := New(t0, Config{Name: "c1"})
	for i := range n {
		if _, err := d.Announce(t0, entry(i, fmt.Sprint("s", i/perService))); err != nil {
			b.Fatal(err)
		}
	}
	d.Tick(t0)
	return d
}

// BenchmarkRenew measures a renewal that changes nothing.
func BenchmarkRenew(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := benchCore(b, n)
			msgs := make([]*crwire.DirectoryRenew, n)
			for i := range msgs {
				msgs[i] = &crwire.DirectoryRenew{Node: entry(i, "").GetNode(), Incarnation: "a", Sequence: 1}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if err := d.Renew(t0, msgs[i%n]); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// BenchmarkTickAtRest measures a tick without changes.
func BenchmarkTickAtRest(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := benchCore(b, n)
			for b.Loop() {
				d.Tick(t0)
			}
		})
	}
}

// BenchmarkEntryBytes measures the heap memory of one entry.
func BenchmarkEntryBytes(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var total uint64
			for b.Loop() {
				before := heap()
				d := benchCore(b, n)
				total += heap() - before
				runtime.KeepAlive(d)
			}
			b.ReportMetric(float64(total)/float64(b.N)/float64(n), "B/entry")
		})
	}
}

// BenchmarkSubset measures the choice of the subset of one caller by the size of the service.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{4, 30, 100, 300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := New(t0, Config{Name: "c1"})
			for i := range n {
				if _, err := d.Announce(t0, entry(i, "s")); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				d.Subset("caller", "d1", "s")
			}
		})
	}
}

// BenchmarkReplaced measures the tick after the replacement of one server by the number of watchers of its service.
func BenchmarkReplaced(b *testing.B) {
	for _, watchers := range []int{10, 100, 500, 1430} {
		b.Run(fmt.Sprint(watchers), func(b *testing.B) {
			d := benchCore(b, 600)
			for i := range uint64(watchers) {
				w := &crwire.DirectoryWatch{Node: fmt.Sprint("w", i), Services: []*crwire.DirectoryWatched{{Service: "s3"}}}
				if _, err := d.Watch(t0, i, w); err != nil {
					b.Fatal(err)
				}
			}
			now := t0
			for range 20 {
				d.Tick(now)
			}
			generation := uint64(2)
			for b.Loop() {
				e := entry(3*perService, "s3")
				e.Generation = generation
				generation++
				if _, err := d.Announce(now, e); err != nil {
					b.Fatal(err)
				}
				d.Tick(now.Add(time.Duration(generation)))
			}
		})
	}
}
