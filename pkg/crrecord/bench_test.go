package crrecord

import (
	"runtime"
	"testing"
)

// BenchmarkKeeperClaim reports the time of a claim and the heap bytes of its record.
func BenchmarkKeeperClaim(b *testing.B) {
	k := started("a")[0]
	k.MaxRecords, k.MaxBytes = 1<<30, 1<<40
	ids := make([]ID, b.N)
	for i := range ids {
		ids[i] = testID(testMS, uint64(i))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i, id := range ids {
		if s := k.Claim(at(0), Claim{id, bodyA, Token(i + 1), 1}).Status; s != Granted {
			b.Fatal(s)
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(k.Stats().Records), "heapB/record")
	b.ReportMetric(float64(k.Stats().Bytes)/float64(k.Stats().Records), "countedB/record")
	runtime.KeepAlive(k)
}

// BenchmarkAssign reports the time of an assignment at full size, 20,000 nodes, when no group changes.
func BenchmarkAssign(b *testing.B) {
	a := Assignment{Live: candidates(20_000, 23)}
	a.Configured = Assign(a)
	for b.Loop() {
		if n := len(Assign(a)); n != 0 {
			b.Fatal(n)
		}
	}
}
