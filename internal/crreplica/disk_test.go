package crreplica

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crstore"
)

// faultyFS is a file system with one folder whose syncs block, and one whose disk is full.
type faultyFS struct {
	crstore.OS
	hangingDir, fullDir atomic.Pointer[string]
	// release unblocks the syncs when it is closed.
	release chan struct{}
}

type faultyFile struct {
	crstore.File
	fs   *faultyFS
	name string
}

func (f *faultyFS) Create(name string) (crstore.File, error) {
	file, err := f.OS.Create(name)
	return faultyFile{file, f, name}, err
}

func (f *faultyFS) Append(name string) (crstore.File, error) {
	file, err := f.OS.Append(name)
	return faultyFile{file, f, name}, err
}

func isInFolder(name string, folder *atomic.Pointer[string]) bool {
	dir := folder.Load()
	return dir != nil && strings.HasPrefix(name, *dir)
}

func (f faultyFile) Write(b []byte) (int, error) {
	if isInFolder(f.name, &f.fs.fullDir) {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f faultyFile) Sync() error {
	if isInFolder(f.name, &f.fs.hangingDir) {
		<-f.fs.release
	}
	return f.File.Sync()
}

// TestHangingDisk guards against a leader whose disk blocks and that prevents the election of another one, or that
// answers a read from stale state when its disk works again.
func TestHangingDisk(t *testing.T) {
	c := qt.New(t)
	fsys := &faultyFS{release: make(chan struct{})}
	ins := startCluster(t, 3, fsys)
	old := leaderOf(t, ins)
	mustPropose(t, old, "a")
	fsys.hangingDir.Store(&old.dir)
	lost := make(chan error, 1)
	go func() {
		_, _, _, err := old.Propose(t.Context(), []byte("lost"))
		lost <- err
	}()
	next := leaderOf(t, allExcept(ins, old))
	mustPropose(t, next, "b")
	readResult := make(chan []string, 1)
	go func() {
		// This read starts while the disk blocks, after "b" was acknowledged, so its answer must include "b".
		_, err := old.ReadIndex(t.Context())
		c.Check(err, qt.IsNil)
		readResult <- old.machine.all()
	}()
	time.Sleep(50 * time.Millisecond)
	fsys.hangingDir.Store(nil)
	close(fsys.release)
	c.Assert(<-readResult, qt.DeepEquals, []string{"a", "b"})
	c.Assert(crcode.Of(<-lost).Outcome(), qt.Not(qt.Equals), crcode.Run)
	mustPropose(t, leaderOf(t, ins), "c")
}

// TestFullDisk guards against a leader whose disk is full and that remains leader, or acknowledges what it could not
// store.
func TestFullDisk(t *testing.T) {
	c := qt.New(t)
	fsys := &faultyFS{}
	ins := startCluster(t, 3, fsys)
	old := leaderOf(t, ins)
	mustPropose(t, old, "a")
	fsys.fullDir.Store(&old.dir)
	_, _, _, err := old.Propose(t.Context(), []byte("b"))
	c.Assert(crcode.Of(err).Outcome(), qt.Not(qt.Equals), crcode.Run)
	waitUntil(t, func() bool { return old.Status().LastError != nil })
	c.Assert(old.Status().Leads, qt.IsFalse)
	next := leaderOf(t, allExcept(ins, old))
	mustPropose(t, next, "c")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = old.ReadIndex(ctx)
	c.Assert(err, qt.IsNotNil)
}

// proposeOnce proposes data at the current leader and reports whether it was accepted.
func proposeOnce(t *testing.T, ins []*instance, data string) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for _, in := range ins {
		if in.Status().Leads {
			_, _, _, err := in.Propose(ctx, []byte(data))
			return err == nil
		}
	}
	return false
}

// proposeAnywhere proposes data at the current leader until it is accepted.
func proposeAnywhere(t *testing.T, ins []*instance, data string) {
	t.Helper()
	waitUntil(t, func() bool { return proposeOnce(t, ins, data) })
}

// TestFullDisksInTurn guards against a member that never votes again after its disk was full for a moment: once each
// member has had a full disk, none would be left to accept a change.
func TestFullDisksInTurn(t *testing.T) {
	c := qt.New(t)
	fsys := &faultyFS{}
	ins := startCluster(t, 3, fsys)
	proposeAnywhere(t, ins, "a")
	for range 2 {
		for _, in := range ins {
			fsys.fullDir.Store(&in.dir)
			waitUntil(t, func() bool {
				proposeOnce(t, ins, "b")
				return in.Status().LastError != nil
			})
			proposeAnywhere(t, allExcept(ins, in), "c")
			// Attempts to store the state fail too.
			time.Sleep(2 * storeRetryInterval)
			c.Assert(crcode.Of(in.Status().LastError), qt.Equals, crcode.DiskFull)
			fsys.fullDir.Store(nil)
			waitUntil(t, func() bool { return in.Status().LastError == nil })
		}
	}
	proposeAnywhere(t, ins, "end")
	l := leaderOf(t, ins)
	want := l.machine.all()
	for _, in := range ins {
		waitUntil(t, func() bool { return in.Status().StateApplied >= l.Status().Commit })
		c.Assert(in.machine.all(), qt.DeepEquals, want)
	}
	// What is acknowledged after the errors is on disk.
	for _, in := range ins {
		in.kill()
		_, st, err := crstore.Open(crstore.OS{}, in.dir, "control", crstore.RandomID, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(st.Snapshot.Index+uint64(len(st.Entries)) >= in.Status().Commit, qt.IsTrue)
	}
}

// TestFullDiskAtSnapshot guards against a member whose disk is full while it stores a snapshot, its own or one of the
// leader, and that loses entries or works on without it.
func TestFullDiskAtSnapshot(t *testing.T) {
	c := qt.New(t)
	fsys := &faultyFS{}
	ins := startCluster(t, 3, fsys)
	// Snapshots are due every 200 entries.
	lagging := allExcept(ins, leaderOf(t, ins))[0]
	fsys.fullDir.Store(&lagging.dir)
	for i := range 900 {
		proposeAnywhere(t, allExcept(ins, lagging), fmt.Sprint(i))
	}
	time.Sleep(2 * storeRetryInterval)
	c.Assert(lagging.Status().LastError, qt.IsNotNil)
	fsys.fullDir.Store(nil)
	l := leaderOf(t, ins)
	waitUntil(t, func() bool { return lagging.Status().StateApplied >= l.Status().Commit })
	c.Assert(lagging.machine.all(), qt.DeepEquals, l.machine.all())
	// The disk fills up again at any point of the next snapshots.
	for i := range 600 {
		if i%40 == 0 {
			fsys.fullDir.Store(&lagging.dir)
		}
		proposeAnywhere(t, allExcept(ins, lagging), fmt.Sprint("again", i))
		if i%40 == 3 {
			fsys.fullDir.Store(nil)
		}
	}
	fsys.fullDir.Store(nil)
	proposeAnywhere(t, ins, "end")
	l = leaderOf(t, ins)
	waitUntil(t, func() bool { return lagging.Status().StateApplied >= l.Status().Commit })
	c.Assert(lagging.machine.all(), qt.DeepEquals, l.machine.all())
}
