package crforward_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crforward"
	"github.com/citronramp/citronramp/pkg/crroute"
)

var quotaBounds = crforward.QuotaBounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// quotaCluster starts nodes with an organisation whose quota depends on the version of the configuration.
func quotaCluster(t *testing.T, nodes int, quota func(version uint64) crroute.Quota) *cluster {
	c := newCluster(t)
	c.quota = quotaBounds
	c.organisations = func(version uint64) []crroute.Organisation {
		return []crroute.Organisation{
			{Name: "pulo", Keys: []string{"k1"}, Quota: quota(version)},
			{Name: "free", Keys: []string{"k2"}},
		}
	}
	for range nodes {
		c.addNode("photos")
	}
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Once))
	for _, n := range c.nodes {
		eventually(t, func() bool { return n.sendKeyed(t, "k2").StatusCode == http.StatusOK })
	}
	return c
}

func (n *node) sendKeyed(t *testing.T, key string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+n.entrance+"/p/x", nil)
	qt.Check(t, err, qt.IsNil)
	req.Host = "app.example"
	req.Header.Set(headerNames.RequestID, "q")
	req.Header.Set(headerNames.Timeout, "1000")
	req.Header.Set(headerNames.Key, key)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if !qt.Check(t, err, qt.IsNil) {
		return &http.Response{}
	}
	_ = resp.Body.Close()
	return resp
}

// offer sends requests at all nodes in turn at a rate per second and returns the number of answers by status.
func (c *cluster) offer(t *testing.T, rate int, d time.Duration, check func(*http.Response)) (ok, refused int64) {
	var okCount, refusedCount atomic.Int64
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		<-tick.C
		wg.Go(func() {
			resp := c.nodes[i%len(c.nodes)].sendKeyed(t, "k1")
			switch resp.StatusCode {
			case http.StatusOK:
				okCount.Add(1)
			case http.StatusTooManyRequests:
				refusedCount.Add(1)
			}
			check(resp)
		})
	}
	wg.Wait()
	return okCount.Load(), refusedCount.Load()
}

// TestQuota guards against nodes that together run more requests of an organisation than its quota allows, against refusals
// below the quota, and against refusals without a time of return.
func TestQuota(t *testing.T) {
	const rate, burst, seconds = 60.0, 30.0, 3.0
	c := quotaCluster(t, 3, func(uint64) crroute.Quota { return crroute.Quota{Rate: rate, Burst: burst} })
	time.Sleep(time.Second)
	ok, refused := c.offer(t, 40, 2*time.Second, func(*http.Response) {})
	qt.Assert(t, refused, qt.Equals, int64(0))
	qt.Assert(t, ok >= 60, qt.IsTrue, qt.Commentf("%d answers", ok))
	ok, refused = c.offer(t, 200, seconds*time.Second, func(r *http.Response) {
		if r.StatusCode != http.StatusTooManyRequests {
			return
		}
		wait, err := strconv.ParseFloat(r.Header.Get(headerNames.RetryAfter), 64)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, wait >= 0.05, qt.IsTrue, qt.Commentf("%v s", wait))
	})
	t.Logf("%d answered, %d refused", ok, refused)
	qt.Assert(t, float64(ok) <= (rate*seconds+burst)*(1+quotaBounds.Overage)+quotaBounds.Slack, qt.IsTrue, qt.Commentf("%d answers", ok))
	qt.Assert(t, float64(ok) >= rate*seconds*0.9, qt.IsTrue, qt.Commentf("%d answers", ok))
	qt.Assert(t, refused > 0, qt.IsTrue)
	qt.Assert(t, c.nodes[0].sendKeyed(t, "k2").StatusCode, qt.Equals, http.StatusOK)
}
