package crspread

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// lockedSource is a memSource that a test and a driver may use concurrently.
type lockedSource struct {
	mu sync.Mutex
	memSource
}

func (l *lockedSource) Version() crconfig.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.memSource.Version()
}

func (l *lockedSource) Changes(from crconfig.Version) Changes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.memSource.Changes(from)
}

func (l *lockedSource) Confirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.memSource.Confirmed()
}

func (l *lockedSource) commit(key, service, value string) crconfig.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(key, service, value)
}

// countingListener counts the bytes of accepted connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// cluster is a root and a number of nodes that communicate over loopback.
type cluster struct {
	tb     testing.TB
	source *lockedSource
	root   *Root
	addr   string
	nodes  []*testNode
	bytes  atomic.Int64
	// inForce receives the time at which a node gets the watched version or a later one.
	inForce chan time.Time
	watched atomic.Uint64
}

type testNode struct {
	Node
	stop func()
}

func newCluster(tb testing.TB, source *memSource) *cluster {
	c := &cluster{tb: tb, source: &lockedSource{memSource: *source}, inForce: make(chan time.Time, 4096)}
	c.root = &Root{Config: Config{Name: "root", Source: c.source}}
	c.addr = c.start("root", &c.root.Config, &c.root.Endpoint, c.root.Register, c.root.Run)
	return c
}

// start runs a process on a new listener until the test ends or stop is called, and returns its address.
func (c *cluster) start(name string, cfg *Config, ep **crwire.Endpoint, register func(*crwire.Mux), run func(context.Context) error, stops ...*func()) string {
	c.tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c.tb, err, qt.IsNil)
	var mux crwire.Mux
	register(&mux)
	e := &crwire.Endpoint{Identity: crwire.Identity{Self: crwire.Peer{Name: name, Incarnation: "1"}}, Mux: &mux}
	*ep, cfg.Address = e, ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = e.Serve(countingListener{ln, &c.bytes}) })
	wg.Go(func() { _ = run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		_ = ln.Close()
		e.Close()
		wg.Wait()
	})
	c.tb.Cleanup(stop)
	for _, s := range stops {
		*s = stop
	}
	return cfg.Address
}

func (c *cluster) add(service string) *testNode {
	n := &testNode{}
	i := len(c.nodes)
	n.Config = Config{
		Name: fmt.Sprintf("n%03d", i), Domain: fmt.Sprintf("d%d", i%4), Controls: []string{c.addr},
		Services: []string{service}, Seed: uint64(i),
	}
	n.OnUpdate = func(u Update) error {
		if w := c.watched.Load(); w != 0 && u.Version.Index >= w {
			select {
			case c.inForce <- time.Now():
			default:
			}
		}
		return nil
	}
	c.start(n.Config.Name, &n.Config, &n.Endpoint, n.Register, n.Run, &n.stop)
	c.nodes = append(c.nodes, n)
	return n
}

// eventually waits for a condition; the limit of 60 s only ends a test that would hang.
func eventually(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("condition not reached within 60 s: %s", what)
		}
	}
}

func (c *cluster) joined(n int) func() bool {
	return func() bool {
		p := c.root.Status().Progress
		return p.Nodes == n && p.Lost == 0 && p.Minimum == c.source.Version()
	}
}

// Guards against a driver that loses messages, does not notice a lost relay, or reports a version as in force too early.
func TestNodesOverLoopback(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, filledSource(20))
	for i := range 40 {
		cl.add(fmt.Sprintf("s%d", i%5))
	}
	eventually(t, "all joined", cl.joined(40))
	v := cl.source.commit("k1", "s1", "w")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(cl.root.WaitInForce(ctx, v), qt.IsNil)
	relay, left := -1, cl.nodes[:0:0]
	for i, n := range cl.nodes {
		c.Assert(n.Status().Version, qt.Equals, v)
		if len(n.Status().Children) > 0 {
			relay = i
		}
	}
	// Simulates the crash of a relay: its endpoint closes before its driver can notify the parent.
	cl.nodes[relay].Endpoint.Close()
	cl.nodes[relay].stop()
	left = append(append(left, cl.nodes[:relay]...), cl.nodes[relay+1:]...)
	v = cl.source.commit("k2", "s2", "w")
	c.Assert(cl.root.WaitInForce(ctx, v), qt.IsNil)
	for _, n := range left {
		c.Assert(n.Status().Version, qt.Equals, v)
	}
	c.Assert(left[0].Subscribe([]string{"s3"}), qt.IsTrue)
	eventually(t, "new subscription", func() bool {
		st := left[0].Status()
		return len(st.Pending) == 0 && st.Confirmed && fmt.Sprint(st.Services) != "[]"
	})
	// Waiting for a version that no node has ends with an error code.
	short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	err := cl.root.WaitInForce(short, crconfig.Version{Epoch: 9})
	c.Assert(crcode.Of(err), qt.Equals, crcode.WaitTimeout)
	// A planned stop removes the node from the count at once.
	left[0].stop()
	eventually(t, "left", cl.joined(len(left)-1))
}
