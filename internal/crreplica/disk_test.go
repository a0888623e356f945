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

// faultyFS has one folder whose disk hangs or is full.
type faultyFS struct {
	crstore.OS
	hangs, full atomic.Pointer[string]
	// release ends the hanging.
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

func within(name string, folder *atomic.Pointer[string]) bool {
	dir := folder.Load()
	return dir != nil && strings.HasPrefix(name, *dir)
}

func (f faultyFile) Write(b []byte) (int, error) {
	if within(f.name, &f.fs.full) {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f faultyFile) Sync() error {
	if within(f.name, &f.fs.hangs) {
		<-f.fs.release
	}
	return f.File.Sync()
}

// TestHangingDisk guards against a leader whose disk hangs and that holds up the others, or answers from an older state when the disk
// is back.
func TestHangingDisk(t *testing.T) {
	c := qt.New(t)
	fsys := &faultyFS{release: make(chan struct{})}
	ins := cluster(t, 3, fsys)
	old := leaderOf(t, ins)
	put(t, old, "a")
	fsys.hangs.Store(&old.dir)
	lost := make(chan error, 1)
	go func() {
		_, _, _, err := old.Propose(t.Context(), []byte("lost"))
		lost <- err
	}()
	next := leaderOf(t, others(ins, old))
	put(t, next, "b")
	asked := make(chan []string, 1)
	go func() {
		// This read is sent while the disk hangs, so its answer must hold "b".
		_, err := old.ReadIndex(t.Context())
		c.Check(err, qt.IsNil)
		asked <- old.machine.all()
	}()
	time.Sleep(50 * time.Millisecond)
	fsys.hangs.Store(nil)
	close(fsys.release)
	c.Assert(<-asked, qt.DeepEquals, []string{"a", "b"})
	c.Assert(crcode.Of(<-lost).Outcome(), qt.Not(qt.Equals), crcode.Run)
	put(t, leaderOf(t, ins), "c")
}

// TestFullDisk guards against a leader whose disk is full and that goes on leading, or acknowledges what it could not store.
func TestFullDisk(t *testing.T) {
	c := qt.New(t)
	fsys := &faultyFS{}
	ins := cluster(t, 3, fsys)
	old := leaderOf(t, ins)
	put(t, old, "a")
	fsys.full.Store(&old.dir)
	_, _, _, err := old.Propose(t.Context(), []byte("b"))
	c.Assert(crcode.Of(err).Outcome(), qt.Not(qt.Equals), crcode.Run)
	until(t, func() bool { return old.Status().LastError != nil })
	c.Assert(old.Status().Leads, qt.IsFalse)
	next := leaderOf(t, others(ins, old))
	put(t, next, "c")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = old.ReadIndex(ctx)
	c.Assert(err, qt.IsNotNil)
}
