package crreplica

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingMachine is a state machine that records all applied data in order.
type recordingMachine struct {
	mu      sync.Mutex
	changes []string
}

func (j *recordingMachine) Apply(index, _ uint64, data []byte) any {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, string(data))
	return index
}

func (j *recordingMachine) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var b []byte
	for _, c := range j.changes {
		b = append(binary.AppendUvarint(b, uint64(len(c))), c...)
	}
	return b, nil
}

func (j *recordingMachine) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = nil
	for r := bytes.NewReader(data); r.Len() > 0; {
		n, err := binary.ReadUvarint(r)
		if err != nil || n > uint64(r.Len()) {
			return errors.New("cut off")
		}
		b := make([]byte, n)
		_, _ = r.Read(b)
		j.changes = append(j.changes, string(b))
	}
	return nil
}

func (j *recordingMachine) all() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.changes...)
}

// instance is a running replica with its listener.
type instance struct {
	*Replica
	machine  *recordingMachine
	dir      string
	endpoint *crwire.Endpoint
	listener net.Listener
	stopped  chan struct{}
	err      error
}

// failingSyncFS fails all syncs of segments while failing is set.
type failingSyncFS struct {
	crstore.OS
	failing atomic.Bool
}

type failingSyncFile struct {
	crstore.File
	fs *failingSyncFS
}

func (f *failingSyncFS) Create(name string) (crstore.File, error) {
	file, err := f.OS.Create(name)
	return failingSyncFile{file, f}, err
}

func (f *failingSyncFS) Append(name string) (crstore.File, error) {
	file, err := f.OS.Append(name)
	return failingSyncFile{file, f}, err
}

func (f failingSyncFile) Sync() error {
	if f.fs.failing.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

func mustListen(tb testing.TB, address string) net.Listener {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	return ln
}

// startReplica starts a replica on a listener; with an empty dir it is an observer.
func startReplica(tb testing.TB, fsys crstore.FS, dir string, ln net.Listener, id uint64, configure func(*Replica)) *instance {
	tb.Helper()
	in := &instance{machine: &recordingMachine{}, dir: dir, listener: ln, stopped: make(chan struct{})}
	mux := &crwire.Mux{}
	in.endpoint = &crwire.Endpoint{Identity: crwire.Identity{Self: crwire.Peer{Name: fmt.Sprint(id), Role: crwire.RoleControl}}, Mux: mux}
	in.Replica = &Replica{
		ID: id, Address: ln.Addr().String(), Observer: dir == "", Endpoint: in.endpoint, StateMachine: in.machine,
		Rand: rand.New(rand.NewPCG(id, id)), Log: crlog.Config{SnapshotEntries: 200},
	}
	if dir != "" {
		var err error
		in.Store, in.State, err = crstore.Open(fsys, dir, "control", func() (uint64, error) { return id, nil }, nil)
		if err != nil {
			tb.Fatal(err)
		}
	}
	configure(in.Replica)
	in.Register(mux)
	go func() { _ = in.endpoint.Serve(ln) }()
	go func() {
		defer close(in.stopped)
		in.err = in.Run(context.Background())
	}()
	tb.Cleanup(in.kill)
	return in
}

// kill stops a replica without a transfer of leadership.
func (in *instance) kill() {
	_ = in.listener.Close()
	in.cancel()
	<-in.stopped
	in.endpoint.Close()
}

func startCluster(tb testing.TB, voters int, fsys crstore.FS) []*instance {
	tb.Helper()
	var lns []net.Listener
	var members crlog.Members
	for i := range voters {
		lns = append(lns, mustListen(tb, "127.0.0.1:0"))
		members = append(members, crlog.Member{ID: uint64(i + 1), Address: lns[i].Addr().String()})
	}
	var out []*instance
	for i := range voters {
		out = append(out, startReplica(tb, fsys, filepath.Join(tb.TempDir(), "data"), lns[i], uint64(i+1), func(r *Replica) { r.Bootstrap = members }))
	}
	return out
}

// waitUntil waits for a condition and fails the test after 30 s.
func waitUntil(tb testing.TB, cond func() bool) {
	tb.Helper()
	for end := time.Now().Add(30 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("the condition was not met")
		}
	}
}

func leaderOf(tb testing.TB, ins []*instance) *instance {
	tb.Helper()
	var found *instance
	waitUntil(tb, func() bool {
		for _, in := range ins {
			if in.Status().Leads {
				found = in
			}
		}
		return found != nil
	})
	return found
}

func allExcept(ins []*instance, excluded *instance) []*instance {
	var out []*instance
	for _, in := range ins {
		if in != excluded {
			out = append(out, in)
		}
	}
	return out
}

func mustPropose(tb testing.TB, in *instance, data string) {
	tb.Helper()
	result, index, _, err := in.Propose(tb.Context(), []byte(data))
	if err != nil {
		tb.Fatal(err)
	}
	if result != index {
		tb.Fatalf("result %v of the entry at %d", result, index)
	}
}

// TestFailoverAndRestart guards against entries that are lost, or that differ between members, after a failover, on an
// observer and after a restart from storage.
func TestFailoverAndRestart(t *testing.T) {
	c := qt.New(t)
	ins := startCluster(t, 3, crstore.OS{})
	l := leaderOf(t, ins)
	var wg sync.WaitGroup
	for i := range 500 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _, _, err := l.Propose(t.Context(), fmt.Appendf(nil, "a%d", i))
			c.Check(err, qt.IsNil)
		}()
	}
	wg.Wait()
	_, _, _, err := allExcept(ins, l)[0].Propose(t.Context(), []byte("x"))
	c.Assert(crcode.Of(err), qt.Equals, crcode.NoLeader)
	l.kill()
	c.Assert(l.err, qt.IsNil)
	rest := allExcept(ins, l)
	next := leaderOf(t, rest)
	mustPropose(t, next, "b")

	obs := startReplica(t, nil, "", mustListen(t, "127.0.0.1:0"), 99, func(r *Replica) { r.Seeds = []string{rest[0].Address} })
	_, err = obs.ReadIndex(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(obs.machine.all(), qt.DeepEquals, next.machine.all())
	c.Assert(obs.machine.all(), qt.HasLen, 501)

	back := startReplica(t, crstore.OS{}, l.dir, mustListen(t, l.Address), l.ID, func(*Replica) {})
	_, err = back.ReadIndex(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(back.machine.all(), qt.DeepEquals, next.machine.all())
}

// TestFailedSyncStops guards against a member that continues to vote or acknowledge entries after a failed sync.
func TestFailedSyncStops(t *testing.T) {
	c := qt.New(t)
	fsys := &failingSyncFS{}
	in := startCluster(t, 1, fsys)[0]
	leaderOf(t, []*instance{in})
	mustPropose(t, in, "a")
	fsys.failing.Store(true)
	_, _, _, err := in.Propose(t.Context(), []byte("b"))
	c.Assert(crcode.Of(err), qt.Equals, crcode.CommandUnknown)
	_, _, _, err = in.Propose(t.Context(), []byte("c"))
	c.Assert(crcode.Of(err), qt.Equals, crcode.NoLeader)
	waitUntil(t, func() bool { return crcode.Of(in.Status().LastError) == crcode.SyncFailed })
	c.Assert(in.Status().Leads, qt.IsFalse)
	c.Assert(in.machine.all(), qt.DeepEquals, []string{"a"})
}

// TestReplaceAndStop guards against a new member that becomes a voter before it has caught up, and against a leader that
// stops without a transfer of leadership.
func TestReplaceAndStop(t *testing.T) {
	c := qt.New(t)
	ins := startCluster(t, 3, crstore.OS{})
	l := leaderOf(t, ins)
	mustPropose(t, l, "a")
	lost := allExcept(ins, l)[0]
	lost.kill()
	ln := mustListen(t, "127.0.0.1:0")
	c.Assert(l.ReplaceMember(t.Context(), lost.ID, crlog.Member{ID: 4, Address: ln.Addr().String()}), qt.IsNil)
	c.Assert(l.Status().Settled, qt.IsFalse)
	err := l.AddMember(t.Context(), crlog.Member{ID: 5, Address: "127.0.0.1:1"})
	c.Assert(crcode.Of(err), qt.Equals, crcode.ChangePending)
	fresh := startReplica(t, crstore.OS{}, filepath.Join(t.TempDir(), "data"), ln, 4, func(*Replica) {})
	waitUntil(t, func() bool { return l.Status().Settled && fresh.Status().StateApplied >= l.Status().Commit })
	c.Assert(l.Status().Members.Voters(), qt.HasLen, 3)
	c.Assert(fresh.machine.all(), qt.DeepEquals, []string{"a"})

	l.Stop(t.Context())
	<-l.stopped
	c.Assert(l.err, qt.IsNil)
	// The stopped leader knows its successor, so no member had to wait for the end of its lease.
	successor := l.Status().Leader
	c.Assert(successor != 0 && successor != l.ID, qt.IsTrue)
	next := leaderOf(t, allExcept(append(ins, fresh), l))
	c.Assert(next.ID, qt.Equals, successor)
	mustPropose(t, next, "b")
}

// TestOutcomesStayApart guards against a proposal with unknown outcome that is reported as not accepted.
func TestOutcomesStayApart(t *testing.T) {
	c := qt.New(t)
	ins := startCluster(t, 3, crstore.OS{})
	l := leaderOf(t, ins)
	for _, in := range allExcept(ins, l) {
		in.kill()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, _, _, err := l.Propose(ctx, []byte("x"))
	c.Assert(crcode.Of(err), qt.Equals, crcode.CommandUnknown)
	waitUntil(t, func() bool { return !l.Status().Leads })
	_, _, _, err = l.Propose(t.Context(), []byte("y"))
	c.Assert(crcode.Of(err), qt.Equals, crcode.NoLeader)
}
