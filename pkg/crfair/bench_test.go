package crfair_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/citronramp/citronramp/pkg/crfair"
)

// BenchmarkRecord measures one request of one of 10,000 organisations, and the memory of an account.
func BenchmarkRecord(b *testing.B) {
	names := make([]string, 10_000)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	var d crfair.Divider
	b.ReportAllocs()
	for i := range b.N {
		d.Record(start.Add(time.Duration(i)*100*time.Microsecond), crfair.Request{Service: "s", Organisation: names[i%len(names)], Work: 0.1}, true)
	}
}
