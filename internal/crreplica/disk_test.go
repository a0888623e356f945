package crreplica

import (
	"context"
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
