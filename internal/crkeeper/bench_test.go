package crkeeper

import (
	"slices"
	"testing"
	"time"

	"github.com/citronramp/citronramp/pkg/crrecord"
)

// BenchmarkClaim measures the round trip of a claim over loopback, from a gate that is not a keeper of the group.
func BenchmarkClaim(b *testing.B) {
	nodes := cluster(b, 4)
	ids := make([]crrecord.ID, b.N)
	for i := range ids {
		ids[i] = newID()
	}
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for _, id := range ids {
		start := time.Now()
		if _, err := nodes[3].claim(id, bodyA); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(start))
	}
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}
