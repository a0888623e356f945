package crforward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// crashOnBody makes the server of a node crash on requests of ledger whose body begins with crashingBody.
func (m *crashableNode) crashOnBody(seen *arrivals) {
	m.backend.setHandler(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.HasPrefix(string(body), crashingBody) && r.Header.Get(headerNames.Caller) == "ledger" {
			seen.add(&seen.reached)
			seen.add(&seen.crashed)
			m.crash(false)
			return
		}
		_, _ = io.WriteString(w, "fine")
	})
}

func (a *arrivals) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.reached)
}

// TestCrashingRequestManyTimesAtOnce guards against a crashing request that arrives at many nodes at the same moment
// and crashes as many servers each time.
func TestCrashingRequestManyTimesAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	var entrances []*node
	for range 5 {
		entrances = append(entrances, c.addNode("ledger"))
	}
	var seen arrivals
	for range 6 {
		c.addCrashable(t, "photos").crashOnBody(&seen)
	}
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Repeatable))
	for _, e := range entrances {
		e.waitForStatus(t, "/r/warm", http.StatusOK)
	}
	for over := false; !over; {
		var callers sync.WaitGroup
		for i, e := range entrances {
			callers.Go(func() {
				_, _, _ = e.send(context.Background(), "POST", "/r/x", fmt.Sprint("burst-", i), strings.NewReader(crashingBody))
			})
		}
		callers.Wait()
		time.Sleep(propagationTime + 500*time.Millisecond)
		_, over = seen.lateArrivals(time.Now())
	}
	late, _ := seen.lateArrivals(time.Now())
	t.Logf("reached servers %d times, %d of these late", seen.total(), late)
	qt.Assert(t, late <= maxLateRetries, qt.IsTrue, qt.Commentf("%d retries reached servers", late))
}

// TestCrashingRequestOfAnyCaller guards against a crashing request that comes from several services and whose crashes
// are counted for each of them separately.
func TestCrashingRequestOfAnyCaller(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	entrances := []*node{c.addNode("ledger"), c.addNode("books"), c.addNode("shelves")}
	var seen arrivals
	for range 4 {
		m := c.addCrashable(t, "photos")
		entrances = append(entrances, m.node)
		m.backend.setHandler(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r/x" {
				seen.add(&seen.reached)
				seen.add(&seen.crashed)
				m.crash(false)
			}
		})
	}
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Once))
	for _, e := range entrances {
		e.waitForStatus(t, "/r/warm", http.StatusOK)
	}
	// Each caller by itself could crash three servers, one after the other.
	for i, end := 0, time.Now().Add(14*time.Second); time.Now().Before(end); i++ {
		time.Sleep(700 * time.Millisecond)
		_, _, _ = entrances[i%len(entrances)].send(context.Background(), "GET", "/r/x", fmt.Sprint("any-", i), nil)
	}
	late, _ := seen.lateArrivals(time.Now())
	t.Logf("reached servers %d times, %d of these late", seen.total(), late)
	qt.Assert(t, late <= maxLateRetries, qt.IsTrue, qt.Commentf("%d retries reached servers", late))
}

// sendUntilBlocked sends the crashing request until it is blocked.
func sendUntilBlocked(t *testing.T, e *node, body string) {
	t.Helper()
	eventually(t, func() bool {
		resp, _, err := e.send(context.Background(), "POST", "/r/x", "block", strings.NewReader(body))
		return err == nil && resp.Header.Get("Citronramp-Code") == "216"
	})
}

// TestBlockedRequest guards against a blocked request that is told to retry at once or that is admitted by a node
// which has just started. It also guards against blocking requests with another body or from another service.
func TestBlockedRequest(t *testing.T) {
	t.Parallel()
	large := strings.Repeat(crashingBody, 100<<10)
	for name, body := range map[string]string{"small": crashingBody, "too large to be kept": large} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			from, other := c.addNode("ledger"), c.addNode("books")
			var seen arrivals
			var servers []*node
			for range 4 {
				m := c.addCrashable(t, "photos")
				m.crashOnBody(&seen)
				servers = append(servers, m.node)
			}
			r := newRoute("/r/", "photos", crroute.Repeatable)
			r.Timeout = 3 * time.Second
			c.putRoutes(3, 0, r)
			from.waitForStatus(t, "/r/warm", http.StatusOK)
			for _, m := range servers {
				ran := m.backend.runs.Load()
				eventually(t, func() bool {
					_, _, err := other.send(context.Background(), "POST", "/r/x", "before", strings.NewReader(body))
					return err == nil && m.backend.runs.Load() > ran
				})
			}
			sendUntilBlocked(t, from, body)
			arrivalsBefore := seen.total()
			newNode := c.addNode("ledger")
			newNode.waitForStatus(t, "/r/warm", http.StatusOK)
			for _, n := range []*node{from, newNode} {
				resp, _, err := n.send(context.Background(), "POST", "/r/x", "blocked", strings.NewReader(body))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				qt.Assert(t, resp.Header.Get("Retry-After"), qt.Matches, `35\d\d\.\d\d|3600\.00`)
			}
			qt.Assert(t, seen.total(), qt.Equals, arrivalsBefore)
			for n, b := range map[*node]string{from: "harmless " + body, newNode: "harmless", other: body} {
				// A server may still be down from the last crash, and a body that is not buffered is sent to one
				// server only.
				eventually(t, func() bool {
					resp, text, err := n.send(context.Background(), "POST", "/r/x", "harmless", strings.NewReader(b))
					qt.Assert(t, err, qt.IsNil)
					if resp.StatusCode == http.StatusOK {
						qt.Assert(t, text, qt.Equals, "fine")
						return true
					}
					qt.Assert(t, resp.Header.Get("Citronramp-Code"), qt.Equals, "213")
					return false
				})
			}
		})
	}
}

// TestForgedSuspect guards against a client that forges the suspect header to have requests of others blocked, and
// against forwarding this header to servers or clients.
func TestForgedSuspect(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	from, m := c.addNode("ledger"), c.addCrashable(t, "photos")
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Once))
	from.waitForStatus(t, "/r/warm", http.StatusOK)
	var crashed atomic.Bool
	m.backend.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if crashed.CompareAndSwap(false, true) {
			m.crash(false)
			return
		}
		w.Header().Set("Citronramp-Suspect", "3;99;3;0")
		_, _ = fmt.Fprint(w, r.Header.Get("Citronramp-Suspect"))
	})
	send := func() (*http.Response, string) {
		req, err := http.NewRequest("GET", "http://"+from.entrance+"/r/x", nil)
		qt.Assert(t, err, qt.IsNil)
		req.Host = "app.example"
		req.Header.Set(headerNames.RequestID, "forged")
		req.Header.Set("Citronramp-Suspect", "3;99;3;0")
		resp, err := http.DefaultTransport.RoundTrip(req)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		return resp, string(body)
	}
	resp, _ := send()
	qt.Assert(t, resp.Header.Get("Citronramp-Code"), qt.Equals, "303")
	for range 3 {
		eventually(t, func() bool { resp, _ := send(); return resp.StatusCode == http.StatusOK })
		resp, body := send()
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
		qt.Assert(t, body, qt.Equals, "")
		qt.Assert(t, resp.Header.Get("Citronramp-Suspect"), qt.Equals, "")
	}
}
