package crforward_test

import (
	"context"
	"net"
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
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
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

// offered is the outcome of requests that were sent for a time; a busy machine sends fewer than asked for, or takes longer.
type offered struct {
	sent, ok, refused float64
	seconds           float64
}

// allowed returns the number of requests that may run in that time.
func (o offered) allowed(rate, burst float64) float64 {
	return (rate*o.seconds+burst)*(1+quotaBounds.Overage) + quotaBounds.Slack
}

// offer sends requests at all nodes in turn at a rate per second.
func (c *cluster) offer(t *testing.T, rate int, d time.Duration, check func(*http.Response)) offered {
	var ok, refused atomic.Int64
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	start, sent := time.Now(), 0
	for ; time.Since(start) < d; sent++ {
		<-tick.C
		n := c.nodes[sent%len(c.nodes)]
		wg.Go(func() {
			resp := n.sendKeyed(t, "k1")
			switch resp.StatusCode {
			case http.StatusOK:
				ok.Add(1)
			case http.StatusTooManyRequests:
				refused.Add(1)
			}
			check(resp)
		})
	}
	wg.Wait()
	return offered{float64(sent), float64(ok.Load()), float64(refused.Load()), time.Since(start).Seconds()}
}

// TestQuota guards against nodes that together run more requests of an organisation than its quota allows, against refusals
// below the quota, and against refusals without a time of return.
func TestQuota(t *testing.T) {
	const rate, burst, seconds = 60.0, 30.0, 3.0
	c := quotaCluster(t, 3, func(uint64) crroute.Quota { return crroute.Quota{Rate: rate, Burst: burst} })
	time.Sleep(time.Second)
	o := c.offer(t, 40, 2*time.Second, func(*http.Response) {})
	qt.Assert(t, o.ok, qt.Equals, o.sent)
	o = c.offer(t, 200, seconds*time.Second, func(r *http.Response) {
		if r.StatusCode != http.StatusTooManyRequests {
			return
		}
		wait, err := strconv.ParseFloat(r.Header.Get(headerNames.RetryAfter), 64)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, wait >= 0.05, qt.IsTrue, qt.Commentf("%v s", wait))
	})
	t.Logf("%+v", o)
	qt.Assert(t, o.ok <= o.allowed(rate, burst), qt.IsTrue, qt.Commentf("%+v", o))
	qt.Assert(t, o.ok >= 0.9*min(rate*seconds, o.sent), qt.IsTrue, qt.Commentf("%+v", o))
	qt.Assert(t, o.refused+o.ok, qt.Equals, o.sent)
	qt.Assert(t, c.nodes[0].sendKeyed(t, "k2").StatusCode, qt.Equals, http.StatusOK)
}

func (c *cluster) runs() (sum int64) {
	for _, n := range c.nodes {
		sum += n.backend.runs.Load()
	}
	return sum
}

// TestQuotaCountsRetries guards against retries and hedged requests that run beyond the quota.
func TestQuotaCountsRetries(t *testing.T) {
	const rate, burst, seconds = 60.0, 10.0, 4.0
	c := quotaCluster(t, 3, func(uint64) crroute.Quota { return crroute.Quota{Rate: rate, Burst: burst} })
	for _, n := range c.nodes {
		n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	}
	before := c.runs()
	o := c.offer(t, 150, seconds*time.Second, func(*http.Response) {})
	ran := float64(c.runs() - before)
	qt.Assert(t, ran > min(rate*seconds, o.sent)/2, qt.IsTrue, qt.Commentf("%v runs, %+v", ran, o))
	qt.Assert(t, ran <= o.allowed(rate, burst), qt.IsTrue, qt.Commentf("%v runs, %+v", ran, o))
}

// TestQuotaWithoutCoordinator guards against nodes that serve nothing, or more than the quota, while no leader grants tokens, and
// that do not ask the next one.
func TestQuotaWithoutCoordinator(t *testing.T) {
	const rate, seconds = 60.0, 4.0
	c := quotaCluster(t, 3, func(uint64) crroute.Quota { return crroute.Quota{Rate: rate, Burst: 10} })
	c.offer(t, 100, time.Second, func(*http.Response) {})
	c.stopCoord()
	time.Sleep(1500 * time.Millisecond)
	o := c.offer(t, 150, seconds*time.Second, func(*http.Response) {})
	qt.Assert(t, o.ok >= 0.7*min(rate*seconds, o.sent), qt.IsTrue, qt.Commentf("%+v", o))
	qt.Assert(t, o.ok <= o.allowed(rate, 0), qt.IsTrue, qt.Commentf("%+v", o))
	inner, err := net.Listen("tcp", c.seed)
	qt.Assert(t, err, qt.IsNil)
	c.startCoord(inner, t.TempDir(), true)
	static := func() (sum int64) {
		for _, n := range c.nodes {
			sum += n.Counters.Value("quota_static")
		}
		return sum
	}
	eventually(t, func() bool {
		before := static()
		o := c.offer(t, 40, 500*time.Millisecond, func(*http.Response) {})
		return static() == before && o.ok > o.sent/2
	})
}

// TestQuotaLowered guards against a lowered quota that does not hold soon after it is in force.
func TestQuotaLowered(t *testing.T) {
	c := quotaCluster(t, 2, func(version uint64) crroute.Quota {
		return map[bool]crroute.Quota{false: {Rate: 100, Burst: 100}, true: {Rate: 20, Burst: 10}}[version >= 4]
	})
	c.offer(t, 150, time.Second, func(*http.Response) {})
	c.putRoutes(4, 3, newRoute("/p/", "photos", crroute.Repeatable))
	time.Sleep(500 * time.Millisecond)
	o := c.offer(t, 100, 3*time.Second, func(*http.Response) {})
	qt.Assert(t, o.ok <= o.allowed(20, 10), qt.IsTrue, qt.Commentf("%+v", o))
	qt.Assert(t, o.ok >= 0.7*min(20*3, o.sent), qt.IsTrue, qt.Commentf("%+v", o))
}
