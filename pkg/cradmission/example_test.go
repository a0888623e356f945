package cradmission_test

import (
	"fmt"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crlimiter"
)

// A gate of one server: the level refuses requests on arrival, the queue orders by priority, the limiter limits concurrency.
func Example_gate() {
	now := time.Unix(0, 0)
	limiter := &crlimiter.Limiter{Slots: 1}
	queue := &cradmission.Queue{Length: 2, MaxWait: 100 * time.Millisecond}
	level := &cradmission.Level{}
	start := func() {
		for limiter.InFlight() < limiter.Limit() {
			item, ok := queue.Pop(now)
			if !ok {
				return
			}
			limiter.Acquire(now)
			level.RecordWait(now, item.Wait(now))
			fmt.Println(item.Value, "starts after", item.Wait(now))
		}
	}
	arrive := func(name string, class cradmission.Class) {
		p := cradmission.NewPriority(class, 1, name)
		if !level.Arrive(now, p) {
			fmt.Println(name, "refused, not run: below the level")
		} else if last := queue.Push(now, &cradmission.Item{Priority: p, Value: name}); last != nil {
			fmt.Println(last.Value, "refused, not run: the queue is full")
		}
		start()
	}
	arrive("browse-1", cradmission.Ordinary)
	arrive("browse-2", cradmission.Ordinary)
	arrive("pay-1", cradmission.Protected)
	arrive("pay-2", cradmission.Protected)
	now = now.Add(20 * time.Millisecond) // The server answers browse-1.
	limiter.Release(now, crlimiter.Sample{Kind: "browse", Latency: 20 * time.Millisecond, Result: crlimiter.Success})
	level.RecordCompletion(now)
	start()
	// Output:
	// browse-1 starts after 0s
	// browse-2 refused, not run: the queue is full
	// pay-1 starts after 20ms
}
