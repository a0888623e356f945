package crforward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestServerLoads guards against a slowness in the load header of a server that does not reach the callers or that outlasts its
// cause, against malformed figures that count, and against internal figures that leave the system.
func TestServerLoads(t *testing.T) {
	c := newCluster(t)
	from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Repeatable))
	var figures atomic.Pointer[string]
	set := func(f string) { figures.Store(&f) }
	set("1,0,20,100")
	for _, n := range []*node{one, two} {
		n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(5 * time.Millisecond)
			load := "1,0,20,100"
			if n == one {
				load = *figures.Load()
			}
			w.Header().Set(headerNames.Load, load)
		})
	}
	from.warmUp(t, "GET", "/r/x", one, two)
	send := func(id string) {
		resp, _, err := from.send(context.Background(), "GET", "/r/x", id, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Header.Get("Citronramp-Speed"), qt.Equals, "")
	}
	for i := range 60 {
		send(fmt.Sprint("warm-", i))
	}
	set("1,0,20,250")
	eventually(t, func() bool {
		send("slow")
		return slowness(t, from, one) > 1.5
	})
	set("1,0,20,none")
	eventually(t, func() bool {
		send("malformed")
		return one.Counters.Value("loads_malformed") > 0
	})
	set("1,0,20,100")
	eventually(t, func() bool {
		send("usual")
		return slowness(t, from, one) < 1.2
	})
}

// slowness returns the slowness of a server that a node knows.
func slowness(t *testing.T, from, of *node) float64 {
	t.Helper()
	var dump struct {
		Services []struct {
			Servers []struct {
				ID       string
				Slowness float64
			} `json:"servers"`
		} `json:"services"`
	}
	raw, err := json.Marshal(from.Dump(time.Now()))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(raw, &dump), qt.IsNil)
	for _, s := range dump.Services {
		for _, v := range s.Servers {
			if v.ID == of.Settings.Name {
				return v.Slowness
			}
		}
	}
	return 0
}
