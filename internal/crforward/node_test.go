package crforward_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crforward"
	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crroute"
)

var headerNames = crforward.Headers{
	RequestID: "X-Id", Timeout: "X-Left", Caller: "X-Caller", ExpectServer: "X-Expect", NotRun: "X-Not-Run",
	RetryAfter: "Retry-After", Key: "X-Key", Organisation: "X-Organisation", Load: "X-Load",
}

// backend is a stand-in for a backend server.
type backend struct {
	*httptest.Server
	id   string
	runs atomic.Int64
	mu   sync.Mutex
	last *http.Request
	body []byte
	// handler replaces the default answer.
	handler atomic.Pointer[http.HandlerFunc]
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.runs.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.last, b.body = r, body
	b.mu.Unlock()
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
	if f := b.handler.Load(); f != nil {
		(*f)(w, r)
		return
	}
	w.Header().Set("X-Stamp", b.id)
	_, _ = fmt.Fprintf(w, "%s of %s", r.URL.Path, b.id)
}

func (b *backend) setHandler(f http.HandlerFunc) { b.handler.Store(&f) }

// node is a forwarding node with its server.
type node struct {
	*crforward.Node
	backend     *backend
	entrance    string
	ready       string
	cancel      context.CancelFunc
	done        chan struct{}
	sequence    uint64
	serverStart time.Time
}

func listener(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return ln
}

// cluster consists of one coordinator and several nodes.
type cluster struct {
	t         testing.TB
	coord     *crcoord.Coordinator
	stopCoord func()
	seed      string
	// moreSeeds are further coordinator addresses.
	moreSeeds []string
	// server is the server address of added nodes; if empty, each node gets a server of its own.
	server string
	// suspended returns how long the machines of added nodes were suspended; nil means the real clocks.
	suspended func() time.Duration
	// configure, if set, changes added nodes before they start.
	configure func(n *crforward.Node)
	// organisations and quota apply to added nodes.
	organisations func(version uint64) []crroute.Organisation
	quota         crforward.QuotaBounds
	nodes         []*node
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	inner := listener(t)
	c := &cluster{t: t, seed: inner.Addr().String()}
	c.startCoord(inner, t.TempDir(), true)
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.cancel()
		}
		for _, n := range c.nodes {
			n.stop()
		}
		c.stopCoord()
	})
	return c
}

// startCoord starts the coordinator with the disk in dir.
func (c *cluster) startCoord(inner net.Listener, dir string, first bool) {
	c.t.Helper()
	coord := &crcoord.Coordinator{
		Settings: crcoord.Settings{
			Name: "core", Domain: "a", Address: c.seed, DataDir: dir, Seeds: []string{c.seed}, FirstStart: first, StopTimeout: time.Second,
		},
		Inner: inner, API: listener(c.t), Handler: http.NotFoundHandler(), Log: &crevent.Log{Out: io.Discard},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := coord.Run(ctx); err != nil {
			c.t.Errorf("coordinator: %v", err)
		}
	}()
	c.coord, c.stopCoord = coord, func() {
		cancel()
		<-done
	}
	eventually(c.t, coord.Started)
}

func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// parse decodes a configuration that is a JSON list of routes.
func (c *cluster) parse(d *crwire.Document) (*crroute.Table, error) {
	var routes []crroute.Route
	if err := json.Unmarshal(d.GetBody(), &routes); err != nil {
		return nil, err
	}
	var organisations []crroute.Organisation
	if c.organisations != nil {
		organisations = c.organisations(d.GetVersion())
	}
	services := []crroute.Service{{Name: "ledger"}, {Name: "photos"}, {Name: "books"}, {Name: "shelves"}}
	return crroute.New(d.GetVersion(), routes, services, crroute.Limits{BodyBytes: 1 << 20}, organisations...)
}

func newRoute(prefix, service string, kind crroute.Kind) crroute.Route {
	return crroute.Route{
		Name: prefix, Host: "app.example", Prefix: prefix, Kind: kind, Timeout: time.Second, Target: time.Second, MaxAttempts: 2,
		Shares: []crroute.Share{{Service: service, Weight: 1}},
	}
}

func (c *cluster) putRoutes(version, base uint64, routes ...crroute.Route) {
	c.t.Helper()
	body, err := json.Marshal(routes)
	qt.Assert(c.t, err, qt.IsNil)
	eventually(c.t, func() bool {
		_, _, err := c.coord.Put(context.Background(), &crwire.Document{Version: version, Base: base, Body: body})
		return err == nil
	})
}

// addNode starts a node with a server of the service.
func (c *cluster) addNode(service string) *node {
	c.t.Helper()
	b := &backend{id: fmt.Sprintf("s%d", len(c.nodes))}
	b.Server = httptest.NewUnstartedServer(b)
	qt.Assert(c.t, b.Listener.Close(), qt.IsNil)
	// Servers restart at the same address, so the address is reserved.
	b.Listener = crtest.Listen(c.t, crtest.Host())
	b.Start()
	server := c.server
	if server == "" {
		server = b.Listener.Addr().String()
	}
	n := &node{backend: b, serverStart: time.Now()}
	c.startNode(n, service, server)
	c.nodes = append(c.nodes, n)
	qt.Assert(c.t, n.report(false), qt.IsNil)
	return n
}

// startNode starts the process of a node. A second call starts a new process without the state of the first.
func (c *cluster) startNode(n *node, service, server string) {
	c.t.Helper()
	entrance, inbound, ready := listener(c.t), listener(c.t), listener(c.t)
	n.entrance, n.ready, n.done = entrance.Addr().String(), ready.Addr().String(), make(chan struct{})
	n.Node = &crforward.Node{
		Settings: crforward.Settings{
			Name: "n" + n.backend.id, Domain: "a", Service: service, ServerAddress: server, Address: inbound.Addr().String(),
			Seeds: append(slices.Clone(c.moreSeeds), c.seed), Headers: headerNames, RetryRatio: 0.2,
			Heartbeat: time.Minute, MemoryBytes: 256 << 20, StopTimeout: 3 * time.Second, Quota: c.quota,
		},
		Entrance: entrance, Inbound: inbound, Ready: ready, Control: listener(c.t), ControlHandler: http.NotFoundHandler(),
		ReadyPath: "/ready", Parse: c.parse, Log: &crevent.Log{Out: io.Discard}, Suspended: c.suspended,
	}
	if c.configure != nil {
		c.configure(n.Node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func(process *crforward.Node, done chan struct{}) {
		defer close(done)
		if err := process.Run(ctx); err != nil {
			c.t.Errorf("node: %v", err)
		}
	}(n.Node, n.done)
	eventually(c.t, n.Started)
}

func (n *node) report(draining bool) error {
	n.sequence++
	return n.Register(context.Background(), time.Now(), crforward.Report{
		ID: n.backend.id, Service: n.Settings.Service, Address: n.Settings.ServerAddress, Born: n.serverStart, Sequence: n.sequence, Slots: 20,
		Draining: draining,
	})
}

func (n *node) stop() {
	n.cancel()
	<-n.done
	n.backend.CloseClientConnections()
	n.backend.Close()
}

// send sends a request to a node's entrance.
func (n *node) send(ctx context.Context, method, path, id string, body io.Reader) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.entrance+path, body)
	if err != nil {
		return nil, "", err
	}
	req.Host = "app.example"
	req.Header.Set(headerNames.RequestID, id)
	req.Header.Set(headerNames.Timeout, "5000")
	req.Header.Set(headerNames.Caller, "forged")
	req.Header.Set("Connection", "X-Private")
	req.Header.Set("X-Private", "1")
	req.Header.Set("X-Kept", "1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// warmUp sends requests until each of the nodes' servers has run one.
func (n *node) warmUp(t *testing.T, method, path string, nodes ...*node) {
	t.Helper()
	for _, x := range nodes {
		eventually(t, func() bool {
			_, _, err := n.send(context.Background(), method, path, "w", nil)
			return err == nil && x.backend.runs.Load() > 0
		})
	}
}

// waitForStatus sends GET requests until one is answered with the status.
func (n *node) waitForStatus(t testing.TB, path string, status int) {
	t.Helper()
	eventually(t, func() bool {
		resp, _, err := n.send(context.Background(), "GET", path, "warm", nil)
		return err == nil && resp.StatusCode == status
	})
}

// TestLatencyHistograms guards against latencies that are recorded for the wrong service, node or outcome.
func TestLatencyHistograms(t *testing.T) {
	c := newCluster(t)
	from, to := c.addNode("ledger"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Once))
	from.waitForStatus(t, "/p/warm", http.StatusOK)
	to.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	})
	resp, _, err := from.send(context.Background(), "POST", "/p/x", "i-1", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusInternalServerError)
	times := func(n *node) map[string]json.RawMessage {
		out := map[string]json.RawMessage{}
		qt.Assert(t, json.Unmarshal([]byte(n.Counters.String()), &out), qt.IsNil)
		return out
	}
	read := func(n *node, name string) (h struct {
		Count int64   `json:"count"`
		MaxMS float64 `json:"max_ms"`
	},
	) {
		qt.Assert(t, json.Unmarshal(times(n)[name], &h), qt.IsNil, qt.Commentf("%s", name))
		return h
	}
	qt.Assert(t, read(from, "request_time/photos/server_error").Count, qt.Equals, int64(1))
	qt.Assert(t, read(from, "request_time/photos/server_error").MaxMS >= 50, qt.IsTrue)
	qt.Assert(t, read(from, "request_time/photos/ok").Count > 0, qt.IsTrue)
	qt.Assert(t, read(to, "run_time/photos").MaxMS >= 50, qt.IsTrue)
	qt.Assert(t, read(to, "wait_time/photos").Count, qt.Equals, read(to, "run_time/photos").Count)
	qt.Assert(t, times(to)["request_time/photos/ok"], qt.IsNil)
}

// TestForwarded guards against changes to requests and answers on their way.
func TestForwarded(t *testing.T) {
	c := newCluster(t)
	from, to := c.addNode("ledger"), c.addNode("photos")
	resp, _, err := from.send(context.Background(), "GET", "/p/x", "early", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("a node without configuration never answers 404"))
	qt.Assert(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Once), newRoute("/l/", "ledger", crroute.Repeatable))
	from.waitForStatus(t, "/p/warm", http.StatusOK)
	resp, body, err := from.send(context.Background(), "POST", "/p/a%2Fb?q=%20", "i-1", strings.NewReader("payload"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "/p/a/b of s1")
	qt.Assert(t, resp.Header.Get("X-Stamp"), qt.Equals, "s1")
	qt.Assert(t, resp.Header.Get("Citronramp-Hop"), qt.Equals, "")
	to.backend.mu.Lock()
	got := to.backend.last
	qt.Assert(t, string(to.backend.body), qt.Equals, "payload")
	to.backend.mu.Unlock()
	qt.Assert(t, got.RequestURI, qt.Equals, "/p/a%2Fb?q=%20")
	qt.Assert(t, got.Host, qt.Equals, "app.example")
	qt.Assert(t, got.Header.Get(headerNames.RequestID), qt.Equals, "i-1")
	qt.Assert(t, got.Header.Get(headerNames.Caller), qt.Equals, "ledger")
	qt.Assert(t, got.Header.Get(headerNames.ExpectServer), qt.Equals, "s1")
	qt.Assert(t, got.Header.Get("X-Kept"), qt.Equals, "1")
	qt.Assert(t, got.Header.Get("X-Private"), qt.Equals, "")
	qt.Assert(t, got.Header.Get("Citronramp-Hop"), qt.Equals, "")
	resp, _, err = from.send(context.Background(), "GET", "/nowhere/", "i-2", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusNotFound)
	resp, _, err = from.send(context.Background(), "POST", "/p/x", "i-3", bytes.NewReader(make([]byte, 2<<20)))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	// Chunked bodies, and bodies that are too large to be buffered, arrive complete as well.
	large := strings.Repeat("y", 700<<10)
	resp, _, err = from.send(context.Background(), "POST", "/p/x", "i-4", io.MultiReader(strings.NewReader(large)))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	to.backend.mu.Lock()
	qt.Assert(t, string(to.backend.body) == large, qt.IsTrue)
	to.backend.mu.Unlock()
}

// TestDraining guards against a request that reaches a server after its announcement to leave was acknowledged.
func TestDraining(t *testing.T) {
	c := newCluster(t)
	from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Once))
	from.warmUp(t, "POST", "/p/x", one, two)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if resp, _, err := from.send(context.Background(), "POST", "/p/x", "d", nil); err != nil || resp.StatusCode != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, one.report(true), qt.IsNil)
	time.Sleep(20 * time.Millisecond) // calls admitted before reach the server meanwhile
	at := one.backend.runs.Load()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	qt.Assert(t, one.backend.runs.Load(), qt.Equals, at)
	qt.Assert(t, failed.Load(), qt.Equals, int64(0))
	// A delayed report of the same lifetime does not register the server again; a new lifetime does.
	one.sequence -= 2
	qt.Assert(t, one.report(false), qt.IsNil)
	one.sequence += 5
	qt.Assert(t, one.report(false), qt.IsNil)
	_, _, err := from.send(context.Background(), "POST", "/p/x", "e", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, one.backend.runs.Load(), qt.Equals, at)
	one.serverStart = time.Now()
	qt.Assert(t, one.report(false), qt.IsNil)
	eventually(t, func() bool {
		_, _, err := from.send(context.Background(), "POST", "/p/x", "f", nil)
		return err == nil && one.backend.runs.Load() > at
	})
}

// TestOnce guards against a second run of a non-repeatable request, and against a status that wrongly promises that
// the request did not run.
func TestOnce(t *testing.T) {
	c := newCluster(t)
	from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Once), newRoute("/r/", "photos", crroute.Repeatable))
	from.waitForStatus(t, "/r/warm", http.StatusOK)
	for name, x := range map[string]struct {
		answer http.HandlerFunc
		status int
		runs   int64
	}{
		"connection closed": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusBadGateway, 1},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "abc")
		}, http.StatusBadGateway, 1},
		"encoded": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "x")
			_, _ = io.WriteString(w, "abc")
		}, http.StatusBadGateway, 1},
		"of another request": {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerNames.RequestID, "zzz") }, http.StatusGatewayTimeout, 1},
		"own failure":        {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError, 1},
		"no answer":          {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, http.StatusGatewayTimeout, 1},
		"not run": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerNames.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable, 2},
	} {
		t.Run(name, func(t *testing.T) {
			one.backend.setHandler(x.answer)
			two.backend.setHandler(x.answer)
			before := one.backend.runs.Load() + two.backend.runs.Load()
			start := time.Now()
			resp, _, err := from.send(context.Background(), "POST", "/p/x", "once", strings.NewReader("b"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, x.status)
			qt.Assert(t, time.Since(start) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v for a route timeout of 1 s", time.Since(start)))
			runs := one.backend.runs.Load() + two.backend.runs.Load() - before
			qt.Assert(t, runs <= x.runs, qt.IsTrue, qt.Commentf("%d runs", runs))
			if resp.StatusCode == http.StatusServiceUnavailable {
				qt.Assert(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}

// TestRepeated guards against a repeatable request that fails although a second server would answer it.
func TestRepeated(t *testing.T) {
	c := newCluster(t)
	from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Repeatable))
	from.warmUp(t, "GET", "/r/x", one, two)
	// One server breaks one answer: either it gets the request and the other server repeats it, or the other one gets
	// it at once.
	var broken atomic.Bool
	one.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		if broken.CompareAndSwap(false, true) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "fine")
	})
	for i := 0; !broken.Load() && i < 200; i++ {
		resp, _, err := from.send(context.Background(), "GET", "/r/x", "again", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, broken.Load(), qt.IsTrue)
}

// TestClientLeaves guards against a server that still works on a repeatable request half a second after its client has
// disconnected.
func TestClientLeaves(t *testing.T) {
	c := newCluster(t)
	from, to := c.addNode("ledger"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Repeatable))
	from.waitForStatus(t, "/r/warm", http.StatusOK)
	started, left := make(chan struct{}), make(chan time.Time, 1)
	to.backend.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		left <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, _, err := from.send(ctx, "GET", "/r/x", "leave", nil)
	qt.Assert(t, err, qt.IsNotNil)
	at := time.Now()
	select {
	case when := <-left:
		qt.Assert(t, when.Sub(at) < 500*time.Millisecond, qt.IsTrue)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server still works on the request half a second later")
	}
}

// TestNewVersion guards against a node that keeps using an older configuration or returns to it.
func TestNewVersion(t *testing.T) {
	c := newCluster(t)
	from, _ := c.addNode("ledger"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
	from.waitForStatus(t, "/p/x", http.StatusOK)
	start := time.Now()
	c.putRoutes(5, 3, newRoute("/p/", "ledger", crroute.Repeatable), newRoute("/new/", "photos", crroute.Repeatable))
	from.waitForStatus(t, "/new/x", http.StatusOK)
	qt.Assert(t, time.Since(start) < 2*time.Second, qt.IsTrue)
	for range 20 {
		_, body, err := from.send(context.Background(), "GET", "/p/x", "v", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "/p/x of s0")
	}
}
