package crforward_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crforward"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// keyedDocument is a configuration with organisations.
type keyedDocument struct {
	Routes        []crroute.Route
	Organisations []crroute.Organisation
}

func (d keyedDocument) encode(t testing.TB) []byte {
	t.Helper()
	body, err := json.Marshal(d)
	qt.Assert(t, err, qt.IsNil)
	return body
}

func parseKeyed(d *crwire.Document) (*crroute.Table, error) {
	var k keyedDocument
	if err := json.Unmarshal(d.GetBody(), &k); err != nil {
		return nil, err
	}
	return crroute.New(d.GetVersion(), k.Routes, []crroute.Service{{Name: "ledger"}, {Name: "photos"}}, crroute.Limits{}, k.Organisations...)
}

// keyedRoutes returns a keyed route and an anonymous one.
func keyedRoutes() []crroute.Route {
	open := newRoute("/open/", "photos", crroute.Repeatable)
	open.Anonymous = true
	return []crroute.Route{newRoute("/p/", "photos", crroute.Repeatable), newRoute("/q/", "photos", crroute.Repeatable), open}
}

func (c *cluster) putKeyed(version, base uint64, organisations ...crroute.Organisation) {
	c.t.Helper()
	body := keyedDocument{keyedRoutes(), organisations}.encode(c.t)
	eventually(c.t, func() bool {
		_, _, err := c.coord.Put(context.Background(), &crwire.Document{Version: version, Base: base, Body: body})
		return err == nil
	})
}

func organisation(name string, keys ...string) crroute.Organisation {
	return crroute.Organisation{Name: name, Keys: keys}
}

// ask sends a GET request with header lines, given in pairs, over a connection that is kept.
func (n *node) ask(t testing.TB, path string, lines ...string) (status int, h http.Header) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+n.entrance+path, nil)
	qt.Assert(t, err, qt.IsNil)
	req.Host = "app.example"
	req.Header.Set(headerNames.RequestID, "i")
	for i := 0; i < len(lines); i += 2 {
		req.Header.Add(lines[i], lines[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	return resp.StatusCode, resp.Header
}

func (n *node) counter(t testing.TB, name string) int {
	t.Helper()
	all := map[string]json.RawMessage{}
	qt.Assert(t, json.Unmarshal([]byte(n.Counters.String()), &all), qt.IsNil)
	v, err := strconv.Atoi(string(all[name]))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s: %s", name, all[name]))
	return v
}

// TestKeys guards against a request that runs without a valid key, against a key that reaches a server, and against a
// server that is told another organisation than that of the key.
func TestKeys(t *testing.T) {
	c := newCluster(t)
	c.configure = func(n *crforward.Node) { n.Parse = parseKeyed }
	from, to := c.addNode("ledger"), c.addNode("photos")
	c.putKeyed(1, 0, organisation("acme", "k1", "k2"), organisation("Übung & Söhne", "K1"), organisation("keyless"))
	from.waitForStatus(t, "/open/x", http.StatusOK)
	key, name := headerNames.Key, headerNames.Organisation
	for _, test := range []struct {
		title, path string
		lines       []string
		status      int
		told        []string
	}{
		{"call of the server", "/p/x", nil, 200, nil},
		{"call with a forged name", "/p/x", []string{name, "acme", name, "other"}, 200, nil},
		{"anonymous", "/open/x", nil, 200, nil},
		{"anonymous with unknown key", "/open/x", []string{key, "nobody's", name, "acme"}, 200, nil},
		{"first key", "/p/x", []string{key, "k1"}, 200, []string{"acme"}},
		{"second key", "/p/x", []string{key, "k2", "Connection", "x-organisation, X-Private"}, 200, []string{"acme"}},
		{"key in other case", "/p/x", []string{key, "K1", name, "acme", name, "keyless"}, 200, []string{"Übung & Söhne"}},
		{"unknown key", "/p/x", []string{key, "k3", name, "acme"}, 401, nil},
		{"empty key", "/p/x", []string{key, ""}, 401, nil},
		{"two keys", "/p/x", []string{key, "k1", key, "k1"}, 401, nil},
		{"list of keys", "/p/x", []string{key, "k1, k2"}, 401, nil},
		{"no key on a keyed route", "/p/x", []string{name, "acme"}, 401, nil},
		{"no key on another route", "/q/x", nil, 200, nil},
	} {
		ran := to.backend.runs.Load()
		status, h := from.ask(t, test.path, test.lines...)
		qt.Assert(t, status, qt.Equals, test.status, qt.Commentf("%s", test.title))
		if status != http.StatusOK {
			qt.Assert(t, to.backend.runs.Load(), qt.Equals, ran, qt.Commentf("%s", test.title))
			qt.Assert(t, h.Get(headerNames.RequestID), qt.Equals, "i")
			continue
		}
		to.backend.mu.Lock()
		got := to.backend.last.Header
		to.backend.mu.Unlock()
		qt.Assert(t, got.Values(name), qt.DeepEquals, test.told, qt.Commentf("%s", test.title))
		qt.Assert(t, got.Values(key), qt.HasLen, 0, qt.Commentf("%s", test.title))
		qt.Assert(t, h.Values(key), qt.HasLen, 0)
	}
	qt.Assert(t, from.counter(t, "keys_unknown"), qt.Equals, 4)
	qt.Assert(t, from.counter(t, "keys_missing"), qt.Equals, 1)
	dump, err := json.Marshal(from.Dump(time.Now()))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(dump), "k1"), qt.IsFalse)
}

// shiftedClock is a clock of a machine that is suspended by shifts.
type shiftedClock struct{ shift atomic.Int64 }

func (c *shiftedClock) now() time.Time { return crclock.Now().Add(time.Duration(c.shift.Load())) }

// TestUnknownKeyInOldConfiguration guards against a final refusal of a key that was added while the node had no contact.
func TestUnknownKeyInOldConfiguration(t *testing.T) {
	c := newCluster(t)
	var clock shiftedClock
	c.configure = func(n *crforward.Node) {
		n.Parse, n.Clock, n.Settings.ConfigApply = parseKeyed, clock.now, 2*time.Second
	}
	from, _ := c.addNode("ledger"), c.addNode("photos")
	c.putKeyed(1, 0, organisation("acme", "k1"))
	key := headerNames.Key
	from.waitForStatus(t, "/open/x", http.StatusOK)
	eventually(t, func() bool {
		status, _ := from.ask(t, "/p/x", key, "k2")
		return status == http.StatusUnauthorized
	})
	c.stopCoord()
	c.stopCoord = func() {}
	clock.shift.Store(int64(2 * time.Second))
	status, h := from.ask(t, "/p/x", key, "k2")
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, h.Get("Citronramp-Code"), qt.Equals, strconv.Itoa(int(crcode.KeysUnconfirmed)))
	wait, err := strconv.ParseFloat(h.Get(headerNames.RetryAfter), 64)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, wait > 0, qt.IsTrue)
	status, _ = from.ask(t, "/p/x", key, "k1")
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("revocation is not strict"))
}
