package crquarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/crquarantine"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	deadly = crquarantine.FingerprintOf("ledger", "record", []byte("deadly"))
	other  = crquarantine.FingerprintOf("ledger", "record", []byte("other"))
)

// A gate asks before each run and reports how the run ended.
func ExampleTracker() {
	gate := &crquarantine.Tracker{Server: "n1"}
	now := time.Unix(1_700_000_000, 0)
	f := crquarantine.FingerprintOf("ledger", "record", []byte("body"))
	for range 2 {
		if gate.Started(now, f) == crquarantine.Admitted {
			for _, e := range gate.Crashed(now) {
				fmt.Println("suspected:", e.State == crquarantine.StateSuspected, "convicted:", e.State == crquarantine.StateConvicted)
			}
		}
	}
	fmt.Println(gate.Started(now, f) == crquarantine.Refused)
	gate.Lift(now, f)
	fmt.Println(gate.Check(now, f) == crquarantine.Free)
	// Output:
	// suspected: true convicted: false
	// suspected: false convicted: true
	// true
	// true
}

// TestExclusiveRun guards against a suspect that runs beside other requests, and against a suspect that never gets an
// empty server.
func TestExclusiveRun(t *testing.T) {
	c := qt.New(t)
	g := &crquarantine.Tracker{Server: "a"}
	c.Assert(g.Started(start, deadly), qt.Equals, crquarantine.Admitted)
	c.Assert(g.Crashed(start), qt.HasLen, 1)
	c.Check(g.Check(start, deadly), qt.Equals, crquarantine.Exclusive)
	c.Assert(g.Started(start, other), qt.Equals, crquarantine.Admitted)
	c.Check(g.Started(start, deadly), qt.Equals, crquarantine.Wait)
	c.Check(g.Started(start, other), qt.Equals, crquarantine.Wait, qt.Commentf("the server empties"))
	c.Check(g.Report(start).Exclusive, qt.IsTrue)
	g.Finished(start, other)
	c.Assert(g.Started(start, deadly), qt.Equals, crquarantine.Admitted)
	c.Check(g.Started(start, other), qt.Equals, crquarantine.Wait)
	c.Check(g.Started(start, deadly), qt.Equals, crquarantine.Wait)
	g.Cancelled(deadly)
	c.Check(g.Check(start, deadly), qt.Equals, crquarantine.Exclusive, qt.Commentf("a cancelled run clears no suspect"))
	c.Assert(g.Started(start, deadly), qt.Equals, crquarantine.Admitted)
	g.Finished(start, deadly)
	c.Check(g.Check(start, deadly), qt.Equals, crquarantine.Free)
	// A server reserved for a suspect that is not sent again is free after 2 s.
	c.Assert(g.Started(start, deadly), qt.Equals, crquarantine.Admitted)
	g.Crashed(start)
	g.Started(start, other)
	g.Started(start, deadly)
	c.Check(g.Started(start.Add(2*time.Second), other), qt.Equals, crquarantine.Admitted)
}

// TestOneServerForExclusiveRuns guards against exclusive runs on two servers of a service whose gates exchange
// reports.
func TestOneServerForExclusiveRuns(t *testing.T) {
	c := qt.New(t)
	a, b := &crquarantine.Tracker{Server: "a"}, &crquarantine.Tracker{Server: "b"}
	a.Started(start, deadly)
	a.Crashed(start)
	c.Assert(a.Started(start, deadly), qt.Equals, crquarantine.Admitted)
	// A run that was already in flight beside other requests when its gate received the report clears no suspect.
	c.Assert(b.Started(start, deadly), qt.Equals, crquarantine.Admitted)
	b.Merge(start, a.Report(start))
	b.Finished(start, deadly)
	c.Check(b.Check(start, deadly), qt.Equals, crquarantine.Exclusive)
	c.Check(b.Started(start, deadly), qt.Equals, crquarantine.UseOtherServer)
	c.Check(b.ExclusiveServer(start), qt.Equals, "a")
	c.Check(b.Started(start, other), qt.Equals, crquarantine.Admitted)
	b.Finished(start, other)
	a.Crashed(start)
	b.Merge(start, a.Report(start))
	c.Check(b.Started(start, deadly), qt.Equals, crquarantine.Refused)
	// A server that failed together with its gate delays exclusive runs for 5 s only.
	b.Merge(start, crquarantine.Report{Server: "dead", Exclusive: true})
	b.Lift(start, deadly)
	b.Started(start, deadly)
	b.Crashed(start)
	c.Check(b.Started(start, deadly), qt.Equals, crquarantine.UseOtherServer)
	c.Check(b.Started(start.Add(5*time.Second), deadly), qt.Equals, crquarantine.Admitted)
}

// TestExpiryMergeAndLift guards against suspects and convictions that never expire, and against old entries that
// replace newer ones.
func TestExpiryMergeAndLift(t *testing.T) {
	c := qt.New(t)
	a, b := &crquarantine.Tracker{Server: "a"}, &crquarantine.Tracker{Server: "b"}
	a.Started(start, deadly)
	a.Crashed(start)
	old := a.Report(start)
	c.Check(a.Check(start.Add(10*time.Minute-1), deadly), qt.Equals, crquarantine.Exclusive)
	c.Check(a.Check(start.Add(10*time.Minute), deadly), qt.Equals, crquarantine.Free)
	a.Started(start, deadly)
	a.Crashed(start)
	c.Check(a.Check(start.Add(time.Hour-1), deadly), qt.Equals, crquarantine.Convicted)
	c.Check(a.Check(start.Add(time.Hour), deadly), qt.Equals, crquarantine.Free)
	b.Merge(start, a.Report(start))
	b.Merge(start, old)
	c.Check(b.Check(start, deadly), qt.Equals, crquarantine.Convicted)
	b.Lift(start, deadly)
	b.Merge(start, a.Report(start))
	c.Check(b.Check(start, deadly), qt.Equals, crquarantine.Free)
	a.Merge(start, b.Report(start))
	c.Check(a.Check(start, deadly), qt.Equals, crquarantine.Free)
	a.Convict(start, deadly, 30*time.Minute)
	c.Check(a.Check(start.Add(30*time.Minute-1), deadly), qt.Equals, crquarantine.Convicted)
	c.Check(a.Check(start.Add(30*time.Minute), deadly), qt.Equals, crquarantine.Free)
	c.Check(a.Expire(start.Add(time.Hour)), qt.Equals, 1)
	c.Check(a.Report(start.Add(time.Hour)).Entries, qt.HasLen, 0)
}

// TestBound guards against a table that hostile bodies make grow without limit, and against convictions evicted before
// suspects.
func TestBound(t *testing.T) {
	c := qt.New(t)
	g := &crquarantine.Tracker{Server: "a", MaxEntries: 8}
	g.Convict(start, deadly, 0)
	for i := range 50 {
		now := start.Add(time.Duration(i) * time.Second)
		g.Started(now, crquarantine.FingerprintOf("s", "k", []byte{byte(i)}))
		g.Crashed(now)
	}
	c.Check(g.Report(start.Add(time.Minute)).Entries, qt.HasLen, 8)
	c.Check(g.Evicted(), qt.Equals, uint64(43))
	c.Check(g.Check(start.Add(time.Minute), deadly), qt.Equals, crquarantine.Convicted)
	_, err := crquarantine.ParseFingerprint(deadly.String()[:31])
	c.Check(err, qt.IsNotNil)
	f, err := crquarantine.ParseFingerprint(deadly.String())
	c.Check(err == nil && f == deadly, qt.IsTrue)
}

// TestCrashingRequestStopsAfterTwoCrashes guards against a request that crashes one server after the other, and
// against convictions of other requests in flight with it. The caller resends it under new ids to any server, beside
// other requests.
func TestCrashingRequestStopsAfterTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gates := make([]*crquarantine.Tracker, 12)
		for i := range gates {
			gates[i] = &crquarantine.Tracker{Server: fmt.Sprint("n", i)}
		}
		pick := rapid.IntRange(0, len(gates)-1)
		running := make([][]crquarantine.Fingerprint, len(gates))
		now, crashes := start, 0
		for range 300 {
			now = now.Add(10 * time.Millisecond)
			i := pick.Draw(t, "server")
			body := rapid.IntRange(0, 9).Draw(t, "body")
			f := crquarantine.FingerprintOf("ledger", "record", []byte{byte(body)})
			if body == 0 {
				f = deadly
			}
			switch {
			case rapid.IntRange(0, 2).Draw(t, "op") == 0 && len(running[i]) > 0:
				gates[i].Finished(now, running[i][0])
				running[i] = running[i][1:]
			case gates[i].Started(now, f) != crquarantine.Admitted:
			case f == deadly:
				crashes++
				running[i] = nil
				gates[i].Crashed(now)
				for _, g := range gates {
					g.Merge(now, gates[i].Report(now))
				}
			default:
				running[i] = append(running[i], f)
			}
		}
		if crashes > 2 {
			t.Fatalf("%d crashes", crashes)
		}
		for _, g := range gates {
			for _, e := range g.Report(now).Entries {
				if e.State == crquarantine.StateConvicted && e.Fingerprint != deadly {
					t.Fatalf("a harmless request was convicted")
				}
			}
		}
		if crashes == 2 && gates[0].Check(now, deadly) != crquarantine.Convicted {
			t.Fatalf("the request was not convicted after two crashes")
		}
	})
}
