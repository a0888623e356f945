package crspread

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
)

var benchSizes = []int{1, 10, 50, 100, 300}

func benchCluster(b *testing.B, n int) *cluster {
	b.Helper()
	cl := newCluster(b, filledSource(100))
	for i := range n {
		cl.add(fmt.Sprintf("s%d", i%5))
	}
	eventually(b, "all joined", cl.joined(n))
	return cl
}

// BenchmarkInForce measures the time from a commit until it is in force on every node. The target is 1 s at 300 nodes.
func BenchmarkInForce(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cl := benchCluster(b, n)
			var all, worst []time.Duration
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				cl.watched.Store(cl.source.Version().Index + 1)
				start := time.Now()
				cl.source.commit(fmt.Sprintf("k%d", i%100), "", fmt.Sprint("w", i))
				var last time.Duration
				for range n {
					last = (<-cl.inForce).Sub(start)
					all = append(all, last)
				}
				worst = append(worst, last)
				cl.watched.Store(0)
				eventually(b, "acknowledged", cl.joined(n))
				for len(cl.inForce) > 0 {
					<-cl.inForce
				}
			}
			b.StopTimer()
			slices.Sort(all)
			slices.Sort(worst)
			ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
			b.ReportMetric(ms(all[len(all)/2]), "node-p50-ms")
			b.ReportMetric(ms(all[len(all)*99/100]), "node-p99-ms")
			b.ReportMetric(ms(worst[len(worst)/2]), "all-p50-ms")
			b.ReportMetric(ms(worst[len(worst)*99/100]), "all-p99-ms")
			b.ReportMetric(ms(worst[len(worst)-1]), "all-worst-ms")
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkCost measures CPU, memory and traffic per node when idle and at 50 changes per second that reach every node.
// The cost of the whole process, including the root, is divided by the number of nodes. The targets are 1.1% of a core,
// 64 MB and 11 KB/s.
func BenchmarkCost(b *testing.B) {
	for _, rate := range []int{0, 50} {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("rate=%d/nodes=%d", rate, n), func(b *testing.B) {
				before := heap()
				cl := benchCluster(b, n)
				held := heap() - before
				const window = 5 * time.Second
				var cpu time.Duration
				var bytes int64
				for b.Loop() {
					cpu0, bytes0 := cpuTime(), cl.bytes.Load()
					start := time.Now()
					for i := 0; time.Since(start) < window; i++ {
						if rate == 0 {
							time.Sleep(window)
							break
						}
						cl.source.commit(fmt.Sprintf("k%d", i%100), "", fmt.Sprintf("%060d", i))
						time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
					}
					cpu += cpuTime() - cpu0
					bytes += cl.bytes.Load() - bytes0
				}
				seconds := float64(b.N) * window.Seconds() * float64(n)
				b.ReportMetric(100*cpu.Seconds()/seconds, "core-%/node")
				b.ReportMetric(float64(bytes)/1000/seconds, "KB/s/node")
				b.ReportMetric(held/float64(n)/1e6, "heap-MB/node")
			})
		}
	}
}
