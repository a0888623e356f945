package crbudget_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/citronramp/citronramp/pkg/crbudget"
)

// A caller retries while both the ratio of the service and the counter of the request allow it. A resend of the id is
// charged as a retry as well.
func Example_retries() {
	now := time.Unix(1_700_000_000, 0)
	home := &crbudget.RetryCounter{}
	ratio := &crbudget.Ratio{PerSecond: 1000} // The default is 1 a second plus a tenth of the successes.
	rnd := rand.New(rand.NewPCG(1, 2))
	const id, retries = "n1-5f3a.1700000000000.000000000000002a", 4
	send := func(resend string) {
		if _, ok := home.Arrive(now, id, now, retries, 0); !ok {
			fmt.Println(resend, "refused, not run: no retry is left to pay for it")
			return
		}
		attempts := 1
		for attempts < 2 && ratio.Allow(now) && home.Take(now, id) { // The server answers the second attempt.
			now = now.Add(crbudget.Backoff(attempts, rnd)) // The next attempt is sent after this delay.
			attempts++
		}
		fmt.Println(resend, "made", attempts, "attempts")
	}
	send("first send")
	send("second send")
	send("third send")
	// Output:
	// first send made 2 attempts
	// second send made 1 attempts
	// third send refused, not run: no retry is left to pay for it
}
