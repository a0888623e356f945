package crcoord_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crdocument"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/internal/crwire"
)

// core is a set of coordinators in one test process.
type core struct {
	t     *testing.T
	dir   string
	seeds []string
	mu    sync.Mutex
	procs map[string]*proc
}

type proc struct {
	*crcoord.Coordinator
	cancel context.CancelFunc
	done   chan struct{}
	log    *bytes.Buffer
}

func newCore(t *testing.T, n int) (*core, []string) {
	c := &core{t: t, dir: t.TempDir(), procs: map[string]*proc{}}
	var addresses []string
	host := crtest.Host()
	for range n {
		ln := crtest.Listen(t, host)
		addresses = append(addresses, ln.Addr().String())
		qt.Assert(t, ln.Close(), qt.IsNil)
	}
	c.seeds = addresses[:min(3, n)]
	t.Cleanup(func() {
		for a, p := range c.procs {
			c.stop(a)
			if t.Failed() {
				t.Logf("%s\n%s", a, p.log)
			}
		}
	})
	return c, addresses
}

// start runs a coordinator at the address with the named disk. A name that was not used before stands for an empty
// disk.
func (c *core) start(address, disk string, first bool) *crcoord.Coordinator {
	c.t.Helper()
	inner, err := net.Listen("tcp", address)
	qt.Assert(c.t, err, qt.IsNil)
	api, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c.t, err, qt.IsNil)
	out := &bytes.Buffer{}
	p := &proc{
		Coordinator: &crcoord.Coordinator{
			Settings: crcoord.Settings{
				Name: "core-" + disk, Domain: address, Address: address, DataDir: filepath.Join(c.dir, disk), Seeds: c.seeds,
				FirstStart: first, ToleratedFailures: 1, StopTimeout: time.Second,
			},
			Inner: inner, API: api, Handler: http.NotFoundHandler(), Log: &crevent.Log{Out: out},
		},
		done: make(chan struct{}), log: out,
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c.mu.Lock()
	c.procs[address] = p
	c.mu.Unlock()
	logs, ended := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		p.Coordinator.Log.Run(logs)
	}()
	go func() {
		defer close(p.done)
		defer func() {
			ended()
			<-written
		}()
		if err := p.Run(ctx); err != nil {
			c.t.Errorf("coordinator at %s: %v", address, err)
		}
	}()
	eventually(c.t, p.Started)
	return p.Coordinator
}

// startAll runs a coordinator at each address for the first time.
func (c *core) startAll(at []string) map[string]*crcoord.Coordinator {
	c.t.Helper()
	procs := map[string]*crcoord.Coordinator{}
	for i, a := range at {
		procs[a] = c.start(a, strconv.Itoa(i), true)
	}
	return procs
}

func (c *core) stop(address string) {
	c.mu.Lock()
	p := c.procs[address]
	delete(c.procs, address)
	c.mu.Unlock()
	if p != nil {
		p.cancel()
		<-p.done
	}
}

// session opens a session from a coordinator outside the core to the one at the address.
func session(t *testing.T, address string) *crwire.Session {
	t.Helper()
	e := &crwire.Endpoint{Identity: crwire.Identity{Self: crwire.Peer{Name: "other", Incarnation: "1", Role: crwire.RoleControl}}, Mux: &crwire.Mux{}}
	t.Cleanup(e.Close)
	s, err := e.Session(t.Context(), address)
	qt.Assert(t, err, qt.IsNil)
	return s
}

// put proposes a document until it is accepted.
func put(t *testing.T, c *crcoord.Coordinator, version, base uint64) {
	t.Helper()
	putBody(t, c, version, base, []byte("v"+strconv.FormatUint(version, 10)))
}

func putBody(t *testing.T, c *crcoord.Coordinator, version, base uint64, body []byte) {
	t.Helper()
	eventually(t, func() bool {
		v, _, err := c.Put(context.Background(), &crwire.Document{Version: version, Base: base, Body: body})
		return err == nil && (v == crdocument.Accepted || v == crdocument.Repeated)
	})
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	end := time.Now().Add(15 * time.Second)
	for !ok() {
		if time.Now().After(end) {
			t.Fatal("not within 15 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func newest(t *testing.T, c *crcoord.Coordinator) uint64 {
	t.Helper()
	var version uint64
	eventually(t, func() bool {
		d, err := c.Newest(context.Background())
		version = d.GetVersion()
		return err == nil
	})
	return version
}

// TestLostDisks guards against the loss of an accepted document when the coordinators lose their disks one after the
// other: a coordinator that returns without its disk becomes a voter again before the next one loses its disk.
func TestLostDisks(t *testing.T) {
	c, at := newCore(t, 3)
	procs := c.startAll(at)
	put(t, procs[at[0]], 5, 0)
	for i, a := range at {
		c.stop(a)
		procs[a] = c.start(a, "new"+strconv.Itoa(i), false)
		eventually(t, func() bool { return c.caughtUp(3, a) })
		put(t, procs[a], uint64(6+i), uint64(5+i))
	}
	for _, a := range at {
		qt.Assert(t, newest(t, procs[a]), qt.Equals, uint64(8))
	}
}

// caughtUp reports whether the log has n members, all of them voters, and the one at the address leads or holds all
// committed entries.
func (c *core) caughtUp(n int, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, p := range c.procs {
		m := p.Members()
		if len(m) == n && len(m.Voters()) == n && (a == address && p.Leads() || p.MemberCaughtUp(c.procs[address].MemberID())) {
			return true
		}
	}
	return false
}

// TestFeedOfLargeDocument guards against a change of a large configuration that is sent in full to each of hundreds
// of nodes, and against a node of an earlier release, which does not know packed documents, that receives none.
func TestFeedOfLargeDocument(t *testing.T) {
	c, at := newCore(t, 1)
	p := c.start(at[0], "0", true)
	var text bytes.Buffer
	for i := range 3000 {
		fmt.Fprintf(&text, "route-%d.test /p%x/ svc-%d timeout %dms\n", i%97, i*7919, i%41, 100+i%13)
	}
	body := func(version uint64) []byte {
		return fmt.Appendf(slices.Clone(text.Bytes()), "weight of svc-3 is %d", version)
	}
	const last = 6
	propose := func(version uint64) { putBody(t, p, version, version-1, body(version)) }
	propose(1)
	size := len(body(1))
	watch := func(packed bool) (bytesRead int, got map[uint64]string) {
		s := session(t, at[0])
		got = map[uint64]string{}
		var held *crwire.Document
		done := errors.New("all versions received")
		err := crwire.Receive(t.Context(), s, crcoord.MethodWatch, &crwire.DocumentWatch{Packed: packed}, func(f *crwire.DocumentFeed) error {
			bytesRead += proto.Size(f)
			if d := f.GetDocument(); d != nil {
				held = d
			}
			if pd := f.GetPacked(); pd != nil {
				d, err := crdocument.Unpack(held, pd)
				if err != nil {
					return err
				}
				held = d
			}
			got[held.GetVersion()] = string(held.GetBody())
			if v := held.GetVersion(); v < last {
				propose(v + 1)
				return nil
			}
			return done
		})
		qt.Assert(t, err, qt.Equals, done)
		return bytesRead, got
	}
	n, got := watch(true)
	for v := uint64(1); v <= last; v++ {
		qt.Assert(t, got[v], qt.Equals, string(body(v)))
	}
	qt.Assert(t, n < size/2, qt.IsTrue, qt.Commentf("%d bytes for %d versions of a document of %d", n, last, size))
	n, got = watch(false)
	qt.Assert(t, got[last], qt.Equals, string(body(last)))
	qt.Assert(t, n >= size, qt.IsTrue)
}

// TestHintsSurvive guards against the loss of route hints when a coordinator restarts.
func TestHintsSurvive(t *testing.T) {
	c, at := newCore(t, 1)
	exchange := func(h *crwire.RouteHints) *crwire.RouteHints {
		s := session(t, at[0])
		answer, err := crwire.Call[crwire.RouteHints](t.Context(), s, crcoord.MethodHints, h)
		qt.Assert(t, err, qt.IsNil)
		return answer
	}
	c.start(at[0], "0", true)
	hint := &crwire.RouteHint{Route: "history", Origin: 1, CostMs: map[string]float32{"archive": 104, "depot": 15}}
	qt.Assert(t, len(exchange(&crwire.RouteHints{Want: true}).GetHints()), qt.Equals, 0)
	qt.Assert(t, len(exchange(&crwire.RouteHints{Hints: []*crwire.RouteHint{hint}}).GetHints()), qt.Equals, 0)
	c.stop(at[0])
	c.start(at[0], "0", false)
	got := exchange(&crwire.RouteHints{Want: true}).GetHints()
	qt.Assert(t, len(got), qt.Equals, 1)
	qt.Assert(t, proto.Equal(got[0], hint), qt.IsTrue, qt.Commentf("%v", got[0]))
	// A damaged file does not prevent the start.
	c.stop(at[0])
	qt.Assert(t, os.WriteFile(filepath.Join(c.dir, "0", "hints"), []byte("junk"), 0o600), qt.IsNil)
	c.start(at[0], "0", false)
	qt.Assert(t, len(exchange(&crwire.RouteHints{Want: true}).GetHints()), qt.Equals, 0)
}

// TestEmptyDisksStartNoNewLog guards against coordinators that all return with empty disks and start a new log: they must
// serve nothing instead of older state.
func TestEmptyDisksStartNoNewLog(t *testing.T) {
	c, at := newCore(t, 3)
	for i, a := range at {
		c.start(a, strconv.Itoa(i), true)
	}
	put(t, c.procs[at[0]].Coordinator, 5, 0)
	for _, a := range at {
		c.stop(a)
	}
	var last *crcoord.Coordinator
	for i, a := range at {
		last = c.start(a, "empty"+strconv.Itoa(i), false)
	}
	time.Sleep(3 * time.Second)
	_, err := last.Newest(context.Background())
	qt.Assert(t, err, qt.IsNotNil)
	_, _, err = last.Put(context.Background(), &crwire.Document{Version: 6, Body: []byte("x")})
	qt.Assert(t, err, qt.IsNotNil)
}

// TestReplacedAtNewAddress guards against a lost coordinator that is never replaced: a new one at another address, of
// whose seeds two are alive, takes its place.
func TestReplacedAtNewAddress(t *testing.T) {
	c, at := newCore(t, 4)
	for i, a := range at[:3] {
		c.start(a, strconv.Itoa(i), true)
	}
	put(t, c.procs[at[0]].Coordinator, 5, 0)
	c.stop(at[2])
	fresh := c.start(at[3], "fresh", false)
	eventually(t, func() bool { return c.caughtUp(3, at[3]) })
	c.stop(at[1])
	qt.Assert(t, newest(t, fresh), qt.Equals, uint64(5))
	put(t, fresh, 6, 5)
}

// TestLateHello guards against a leader that is removed while its lease is valid, because late messages of the
// process that used its address before arrive. Only an answer to a call that began after the leader was known counts.
func TestLateHello(t *testing.T) {
	c, at := newCore(t, 3)
	for i, a := range at {
		c.start(a, strconv.Itoa(i), true)
	}
	leader := ""
	eventually(t, func() bool {
		for _, a := range at {
			if c.procs[a].Leads() && c.caughtUp(3, a) {
				leader = a
			}
		}
		return leader != ""
	})
	sessions := map[string]*crwire.Session{}
	for _, a := range at {
		sessions[a] = session(t, a)
	}
	earlier := &crwire.CoreHello{Name: "earlier", Id: 77, Address: leader, Domain: leader}
	for range 30 {
		for _, a := range at {
			if a == leader {
				continue
			}
			_, err := crwire.Call[crwire.CoreView](t.Context(), sessions[a], crcoord.MethodHello, earlier)
			qt.Assert(t, err, qt.IsNil)
		}
		time.Sleep(30 * time.Millisecond)
		qt.Assert(t, c.procs[leader].Leads(), qt.IsTrue)
	}
}

// TestLeaderLosesDisk guards against an election that waits for the lease of a leader whose disk was lost in a power
// failure of all coordinators. A process without the log answers at the address of the leader, so the leader cannot
// be active any more.
func TestLeaderLosesDisk(t *testing.T) {
	c, at := newCore(t, 3)
	procs := c.startAll(at)
	put(t, procs[at[0]], 5, 0)
	leader := ""
	for _, a := range at {
		if procs[a].Leads() {
			leader = a
		}
	}
	qt.Assert(t, leader, qt.Not(qt.Equals), "")
	// The leader stops last, so it cannot transfer leadership, and the others stop with it as their known leader.
	for _, a := range at {
		if a != leader {
			c.stop(a)
		}
	}
	c.stop(leader)
	begin := time.Now()
	var others []*crcoord.Coordinator
	for i, a := range at {
		if a == leader {
			c.start(a, "wiped", false)
			continue
		}
		others = append(others, c.start(a, strconv.Itoa(i), false))
	}
	eventually(t, func() bool { return others[0].Leads() || others[1].Leads() })
	qt.Assert(t, time.Since(begin) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("elected after %v, the lease is 1 s", time.Since(begin)))
	qt.Assert(t, newest(t, others[0]), qt.Equals, uint64(5))
}

// TestOldConfirmation guards against a node that accepts a document as confirmed by a coordinator whose confirmation
// is older than the node's stream and that has lost the majority since, as after a suspension.
func TestOldConfirmation(t *testing.T) {
	c, at := newCore(t, 3)
	procs := c.startAll(at)
	put(t, procs[at[0]], 5, 0)
	var leader string
	eventually(t, func() bool {
		for _, a := range at {
			if procs[a].Leads() {
				leader = a
			}
		}
		return leader != ""
	})
	watch := func(limit time.Duration) (confirmed bool) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		// The stream ends at the time limit, with an error.
		_ = crwire.Receive(ctx, session(t, leader), crcoord.MethodWatch, &crwire.DocumentWatch{}, func(f *crwire.DocumentFeed) error {
			if confirmed = f.GetConfirmed(); confirmed {
				cancel()
			}
			return nil
		})
		return confirmed
	}
	qt.Assert(t, watch(10*time.Second), qt.IsTrue)
	var stopping sync.WaitGroup
	for _, a := range at {
		if a != leader {
			stopping.Go(func() { c.stop(a) })
		}
	}
	stopping.Wait()
	qt.Assert(t, watch(2*time.Second), qt.IsFalse)
}
