package crdirectory

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crwire"
)

// process is an endpoint with one background function that runs until the test ends or stop is called.
type process struct {
	endpoint *crwire.Endpoint
	listener net.Listener
	stop     func()
}

func start(t *testing.T, name string, ln net.Listener, mux *crwire.Mux, set func(*crwire.Endpoint), run func(context.Context) error) *process {
	t.Helper()
	e := &crwire.Endpoint{Identity: crwire.Identity{Self: crwire.Peer{Name: name, Incarnation: "1"}}, Mux: mux}
	set(e)
	ctx, cancel := context.WithCancel(context.Background())
	var runs, serves sync.WaitGroup
	runs.Go(func() { _ = run(ctx) })
	if ln != nil {
		serves.Go(func() { _ = e.Serve(ln) })
	}
	stop := sync.OnceFunc(func() {
		cancel()
		runs.Wait()
		if ln != nil {
			_ = ln.Close()
		}
		e.Close()
		serves.Wait()
	})
	t.Cleanup(stop)
	return &process{endpoint: e, listener: ln, stop: stop}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return ln
}

// view is what one client has received.
type view struct {
	mu      sync.Mutex
	servers []string
	notices []string
}

func (v *view) get() (servers, notices []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers, v.notices
}

// eventually waits for a condition. The time limit only ends a test that would hang.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 60 s: %s", what)
		}
	}
}

// TestClientsOverLoopback guards against a Server and Clients that lose announcements, notices or leaves, and against
// a node that is lost when it changes to another control instance.
func TestClientsOverLoopback(t *testing.T) {
	c := qt.New(t)
	lns := []net.Listener{listen(t), listen(t)}
	addrs := []string{lns[0].Addr().String(), lns[1].Addr().String()}
	var servers []*Server
	var controls []*process
	for i, ln := range lns {
		s := &Server{Name: fmt.Sprint("c", i), Peers: []string{addrs[1-i]}}
		var mux crwire.Mux
		s.Register(&mux)
		servers = append(servers, s)
		controls = append(controls, start(t, s.Name, ln, &mux, func(e *crwire.Endpoint) { s.Endpoint = e }, s.Run))
	}
	var clients []*Client
	var nodes []*process
	views := make([]*view, 6)
	for i := range views {
		v := &view{}
		views[i] = v
		cl := &Client{
			Controls: []string{addrs[i%2], addrs[1-i%2]},
			OnSubset: func(_ string, servers []*crwire.DirectoryEntry) {
				v.mu.Lock()
				defer v.mu.Unlock()
				v.servers = nil
				for _, e := range servers {
					v.servers = append(v.servers, e.GetNode())
				}
			},
			OnNotice: func(n *crwire.DirectoryNotice) {
				v.mu.Lock()
				defer v.mu.Unlock()
				v.notices = append(v.notices, n.GetKey())
			},
		}
		e := entry(i, "s")
		e.Generation = 0
		cl.Announce(e)
		cl.Watch([]string{"s"}, []string{"s"})
		clients = append(clients, cl)
		nodes = append(nodes, start(t, e.GetNode(), nil, nil, func(e *crwire.Endpoint) { cl.Endpoint = e }, cl.Run))
	}
	all := func(n int) func() bool {
		return func() bool {
			for _, v := range views[:n] {
				if s, _ := v.get(); len(s) != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "every client sees every server", all(6))
	c.Assert(clients[0].Publish(&crwire.DirectoryNotice{Service: "s", Key: "f", Version: 1, ExpiresInMs: 60_000}), qt.IsTrue)
	eventually(t, "every gate has the notice", func() bool {
		for _, v := range views {
			if _, n := v.get(); len(n) == 0 {
				return false
			}
		}
		return true
	})
	// A planned stop removes the server. The subsets shrink only when the directory is settled.
	nodes[5].stop()
	eventually(t, "the stopped node is gone", all(5))

	controls[0].stop()
	eventually(t, "the other nodes use the second control instance", func() bool { return servers[1].Status().Owned == 5 })
	members, settled := servers[1].Members()
	c.Assert(members, qt.HasLen, 5)
	c.Assert(settled, qt.IsTrue)
	c.Assert(clients[0].Control(), qt.Equals, addrs[1])
}

// TestReconnectsAreSpread guards against a reconnect storm: the attempts of the 1,430 nodes of a lost control
// instance stay spread over time.
func TestReconnectsAreSpread(t *testing.T) {
	c := qt.New(t)
	const nodes = 1430
	perSecond := map[int]int{}
	for range nodes {
		at := time.Duration(0)
		for failures := 0; at < time.Minute; failures++ {
			at += backoff(failures)
			perSecond[int(at/time.Second)]++
		}
	}
	for second, n := range perSecond {
		// The backoff windows are short in the first seconds; later each node makes one round per 2.5 s on average.
		bound := 2 * nodes
		if second >= 10 {
			bound = 2 * nodes * 2 / 5
		}
		c.Assert(n <= bound, qt.IsTrue, qt.Commentf("%d rounds in second %d", n, second))
	}
}
