package crstore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

func Example() {
	dir, err := os.MkdirTemp("", "crstore")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	newID := func() (uint64, error) { return 7, nil }
	s, _, err := Open(OS{}, dir, "control-1", newID, nil)
	if err != nil {
		panic(err)
	}
	fmt.Println(s.Append(&crlog.HardState{Term: 1}, []crlog.Entry{{Index: 1, Term: 1, Data: []byte("a")}}))
	fmt.Println(s.Close())
	s, st, err := Open(OS{}, dir, "control-1", newID, nil)
	fmt.Println(s.Identity().ID, st.Hard.Term, string(st.Entries[0].Data), err, s.Close())
	// Output:
	// <nil>
	// <nil>
	// 7 1 a <nil> <nil>
}

func newTestID() (uint64, error) { return 7, nil }

// faultyFS executes the given number of operations, then fails all further ones with err.
type faultyFS struct {
	OS
	remaining int
	err       error
	// partial makes the first failing write store half of its bytes; with syncsOnly only syncs are counted and fail.
	partial, syncsOnly bool
}

func (f *faultyFS) fails(sync bool) bool {
	if f.err == nil || f.syncsOnly && !sync {
		return false
	}
	f.remaining--
	return f.remaining < 0
}

type faultyFile struct {
	File
	fs *faultyFS
}

func (f *faultyFS) Create(name string) (File, error) {
	if f.fails(false) {
		return nil, f.err
	}
	file, err := f.OS.Create(name)
	return faultyFile{file, f}, err
}

func (f *faultyFS) Append(name string) (File, error) {
	file, err := f.OS.Append(name)
	return faultyFile{file, f}, err
}

func (f *faultyFS) Rename(from, to string) error {
	if f.fails(false) {
		return f.err
	}
	return f.OS.Rename(from, to)
}

func (f *faultyFS) Remove(name string) error {
	if f.fails(false) {
		return f.err
	}
	return f.OS.Remove(name)
}

func (f *faultyFS) SyncDir(dir string) error {
	if f.fails(true) {
		return f.err
	}
	return f.OS.SyncDir(dir)
}

func (f faultyFile) Write(b []byte) (int, error) {
	if f.fs.fails(false) {
		if f.fs.partial && f.fs.remaining == -1 {
			n, _ := f.File.Write(b[:len(b)/2])
			return n, f.fs.err
		}
		return 0, f.fs.err
	}
	return f.File.Write(b)
}

func (f faultyFile) Sync() error {
	if f.fs.fails(true) {
		return f.fs.err
	}
	return f.File.Sync()
}

func entry(index, term uint64) crlog.Entry {
	return crlog.Entry{Index: index, Term: term, Data: []byte(strings.Repeat("x", int(index)))}
}

// workload appends entries, overwrites some and saves snapshots; it returns the last index that was stored before an
// error.
func workload(s *Store) (done uint64, err error) {
	for i := uint64(1); i <= 12; i++ {
		if err := s.Append(&crlog.HardState{Term: i, Vote: 7}, []crlog.Entry{entry(i, i)}); err != nil {
			return done, err
		}
		done = i
		if i%5 == 0 {
			snap := crlog.Snapshot{Index: i - 1, Term: i - 1, Members: crlog.Members{{ID: 7, Address: "a"}}, Data: []byte("state")}
			if err := s.SaveSnapshot(snap, crlog.HardState{Term: i, Vote: 7}, []crlog.Entry{entry(i, i)}); err != nil {
				return done, err
			}
		}
	}
	// A snapshot of the leader extends beyond the end of the log.
	snap := crlog.Snapshot{Index: 20, Term: 13, Members: crlog.Members{{ID: 7, Address: "a"}}, Data: []byte("state")}
	if err := s.SaveSnapshot(snap, crlog.HardState{Term: 13}, nil); err != nil {
		return done, err
	}
	return 21, s.Append(nil, []crlog.Entry{entry(21, 13)})
}

func lastIndex(st crlog.State) uint64 { return st.Snapshot.Index + uint64(len(st.Entries)) }

// TestStopAtEveryOperation guards against the loss of stored entries, or an unusable folder, when the process stops in
// the middle of any file operation.
func TestStopAtEveryOperation(t *testing.T) {
	c := qt.New(t)
	for k := 0; ; k++ {
		dir := t.TempDir()
		fsys := &faultyFS{remaining: k, err: syscall.ENOSPC, partial: k%2 == 0}
		var done uint64
		s, _, err := Open(fsys, dir, "a", newTestID, nil)
		if err == nil {
			done, err = workload(s)
			if err != nil {
				done = min(done, 20)
				c.Assert(crcode.Of(err), qt.Equals, crcode.DiskFull)
				c.Assert(s.Append(&crlog.HardState{Term: 99}, nil), qt.Equals, s.Err())
			}
			_ = s.Close()
		}
		s, st, openErr := Open(OS{}, dir, "a", newTestID, nil)
		c.Assert(openErr, qt.IsNil, qt.Commentf("operation %d", k))
		c.Assert(lastIndex(st) >= done, qt.IsTrue, qt.Commentf("operation %d: %d of %d", k, lastIndex(st), done))
		c.Assert(s.Append(nil, []crlog.Entry{entry(lastIndex(st)+1, 99)}), qt.IsNil)
		c.Assert(s.Close(), qt.IsNil)
		s, again, openErr := Open(OS{}, dir, "a", newTestID, nil)
		c.Assert(openErr, qt.IsNil)
		c.Assert(lastIndex(again), qt.Equals, lastIndex(st)+1)
		c.Assert(again.Hard, qt.Equals, st.Hard)
		c.Assert(s.Close(), qt.IsNil)
		if err == nil {
			c.Assert(k > 40, qt.IsTrue)
			return
		}
	}
}

// TestNoWriteAfterFailedSync guards against writes after a failed sync: the system may have dropped the data that was not
// synced, so a later sync would succeed without it.
func TestNoWriteAfterFailedSync(t *testing.T) {
	c := qt.New(t)
	fsys := &faultyFS{}
	dir := t.TempDir()
	s, _, err := Open(fsys, dir, "a", newTestID, nil)
	c.Assert(err, qt.IsNil)
	fsys.err, fsys.syncsOnly, fsys.remaining = syscall.EIO, true, 0
	c.Assert(crcode.Of(s.Append(&crlog.HardState{Term: 1}, nil)), qt.Equals, crcode.SyncFailed)
	fsys.err = nil
	before, err := os.ReadFile(filepath.Join(dir, segmentName(1)))
	c.Assert(err, qt.IsNil)
	c.Assert(crcode.Of(s.Append(&crlog.HardState{Term: 2}, nil)), qt.Equals, crcode.SyncFailed)
	c.Assert(crcode.Of(s.SaveSnapshot(crlog.Snapshot{Index: 1}, crlog.HardState{}, nil)), qt.Equals, crcode.SyncFailed)
	after, err := os.ReadFile(filepath.Join(dir, segmentName(1)))
	c.Assert(err, qt.IsNil)
	c.Assert(after, qt.DeepEquals, before)
	c.Assert(s.Close(), qt.IsNil)
}

// recordingStore stores through a Store and records the whole state that its user holds in memory, as a member does.
type recordingStore struct {
	*Store
	state crlog.State
}

func (r *recordingStore) append(hard crlog.HardState, e crlog.Entry) error {
	r.state.Hard = hard
	r.state.Entries = append(r.state.Entries, e)
	return r.Append(&hard, []crlog.Entry{e})
}

func (r *recordingStore) saveSnapshot(snap crlog.Snapshot) error {
	r.state.Entries = r.state.Entries[snap.Index-r.state.Snapshot.Index:]
	r.state.Snapshot = snap
	return r.SaveSnapshot(snap, r.state.Hard, r.state.Entries)
}

// steps returns the operations of a member in order.
func (r *recordingStore) steps() (out []func() error) {
	for i := uint64(1); i <= 12; i++ {
		out = append(out, func() error { return r.append(crlog.HardState{Term: i, Vote: 7}, entry(i, i)) })
		if i%5 == 0 {
			snap := crlog.Snapshot{Index: i - 1, Term: i - 1, Members: crlog.Members{{ID: 7, Address: "a"}}, Data: []byte("state")}
			out = append(out, func() error { return r.saveSnapshot(snap) })
		}
	}
	return out
}

// TestRecover guards against a store that is unusable, or that has lost or invented entries, after an error of any file
// operation and after further errors while it recovers.
func TestRecover(t *testing.T) {
	c := qt.New(t)
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for k, finished := 0, false; !finished; k++ {
			dir := t.TempDir()
			fsys := &faultyFS{partial: k%2 == 0}
			s, _, err := Open(fsys, dir, "a", newTestID, nil)
			c.Assert(err, qt.IsNil)
			r := &recordingStore{Store: s}
			fsys.remaining, fsys.err, finished = k, cause, true
			for _, step := range r.steps() {
				if step() == nil {
					continue
				}
				finished = false
				for failAt := range 3 {
					fsys.remaining = failAt
					c.Assert(r.Recover(r.state), qt.IsNotNil)
					c.Assert(r.Append(nil, []crlog.Entry{entry(99, 99)}), qt.Equals, r.Err())
				}
				fsys.err = nil
				c.Assert(r.Recover(r.state), qt.IsNil, qt.Commentf("operation %d", k))
			}
			c.Assert(s.Close(), qt.IsNil)
			s, st, err := Open(OS{}, dir, "a", newTestID, nil)
			c.Assert(err, qt.IsNil)
			c.Assert(st.Hard, qt.Equals, r.state.Hard)
			c.Assert(st.Snapshot, qt.DeepEquals, r.state.Snapshot)
			c.Assert(st.Entries, qt.DeepEquals, r.state.Entries, qt.Commentf("operation %d", k))
			c.Assert(s.Close(), qt.IsNil)
			if finished {
				c.Assert(k > 30, qt.IsTrue)
			}
		}
	}
}

// sampleSegment returns a segment of five records and the offset at which each of them ends.
func sampleSegment() (raw []byte, ends []int) {
	raw = firstSegment()
	ends = append(ends, len(raw))
	for i := uint64(1); i < 5; i++ {
		raw = appendRecord(raw, int64(len(raw)), record{hardState: crlog.HardState{Term: i}, entries: []crlog.Entry{entry(i, i)}})
		ends = append(ends, len(raw))
	}
	return raw, ends
}

// TestCutAtEveryByte guards against an incomplete last record that causes the loss of complete ones or prevents the
// start.
func TestCutAtEveryByte(t *testing.T) {
	c := qt.New(t)
	raw, ends := sampleSegment()
	dir := t.TempDir()
	s, _, err := Open(OS{}, dir, "a", newTestID, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	for cut := ends[0]; cut <= len(raw); cut++ {
		c.Assert(os.WriteFile(filepath.Join(dir, segmentName(1)), raw[:cut], 0o600), qt.IsNil)
		var reports []string
		s, st, err := Open(OS{}, dir, "a", newTestID, func(f string, a ...any) { reports = append(reports, fmt.Sprintf(f, a...)) })
		c.Assert(err, qt.IsNil)
		whole := 0
		for whole < len(ends) && ends[whole] <= cut {
			whole++
		}
		c.Assert(len(st.Entries), qt.Equals, whole-1)
		c.Assert(len(reports) == 1, qt.Equals, ends[whole-1] < cut)
		c.Assert(s.Append(nil, []crlog.Entry{entry(uint64(whole), 9)}), qt.IsNil)
		c.Assert(s.Close(), qt.IsNil)
		s, st, err = Open(OS{}, dir, "a", newTestID, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(len(st.Entries), qt.Equals, whole)
		c.Assert(s.Close(), qt.IsNil)
	}
}

// TestDamageBeforeTail guards against the silent loss of synced records when a byte before the last record is damaged.
func TestDamageBeforeTail(t *testing.T) {
	c := qt.New(t)
	raw, ends := sampleSegment()
	for i := range ends[3] {
		bad := append([]byte(nil), raw...)
		bad[i] ^= 0x40
		_, err := readSegment(bad)
		c.Assert(crcode.Of(err), qt.Equals, crcode.StoreDamaged, qt.Commentf("byte %d", i))
	}
}

// TestRefusedFolders guards against a folder that is opened twice, by another instance, or after some of its files were
// lost.
func TestRefusedFolders(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	s, _, err := Open(OS{}, dir, "a", newTestID, nil)
	c.Assert(err, qt.IsNil)
	_, _, err = Open(OS{}, dir, "a", newTestID, nil)
	c.Assert(crcode.Of(err), qt.Equals, crcode.StoreLocked)
	_, err = workload(s)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	_, _, err = Open(OS{}, dir, "b", newTestID, nil)
	c.Assert(crcode.Of(err), qt.Equals, crcode.StoreForeign)

	// A copy of a folder that is not open is a valid backup.
	backup := filepath.Join(t.TempDir(), "backup")
	c.Assert(os.CopyFS(backup, os.DirFS(dir)), qt.IsNil)
	s, st, err := Open(OS{}, backup, "a", newTestID, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(lastIndex(st), qt.Equals, uint64(21))
	c.Assert(string(st.Snapshot.Data), qt.Equals, "state")
	c.Assert(s.Close(), qt.IsNil)

	c.Assert(os.Remove(filepath.Join(backup, snapshotName(20))), qt.IsNil)
	_, _, err = Open(OS{}, backup, "a", newTestID, nil)
	c.Assert(crcode.Of(err), qt.Equals, crcode.StoreDamaged)
	c.Assert(os.Remove(filepath.Join(dir, identityName)), qt.IsNil)
	_, _, err = Open(OS{}, dir, "a", newTestID, nil)
	c.Assert(crcode.Of(err), qt.Equals, crcode.StoreDamaged)
}

// FuzzReadSegment guards against decoders that panic or accept entries out of order.
func FuzzReadSegment(f *testing.F) {
	raw, _ := sampleSegment()
	f.Add(raw)
	f.Add(raw[:40])
	f.Fuzz(func(t *testing.T, in []byte) {
		_, _ = decodeSnapshot(in)
		seg, err := readSegment(in)
		if err != nil {
			return
		}
		for i, e := range seg.entries {
			if e.Index != seg.base+uint64(i)+1 {
				t.Fatalf("entry %d is at position %d of the segment after entry %d", e.Index, i, seg.base)
			}
		}
		if seg.validBytes > int64(len(in)) {
			t.Fatalf("%d bytes of %d are valid", seg.validBytes, len(in))
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, group := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("changes_per_sync=%d", group), func(b *testing.B) {
			s, _, err := Open(OS{}, b.TempDir(), "a", newTestID, nil)
			if err != nil {
				b.Fatal(err)
			}
			data := make([]byte, 200)
			for i := 0; i < b.N; i += group {
				var entries []crlog.Entry
				for k := range group {
					entries = append(entries, crlog.Entry{Index: uint64(i + k + 1), Term: 1, Data: data})
				}
				if err := s.Append(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, changes := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			dir := b.TempDir()
			s, _, err := Open(OS{}, dir, "a", newTestID, nil)
			if err != nil {
				b.Fatal(err)
			}
			for i := 0; i < changes; i += 1000 {
				var entries []crlog.Entry
				for k := range 1000 {
					entries = append(entries, crlog.Entry{Index: uint64(i + k + 1), Term: 1, Data: make([]byte, 200)})
				}
				if err := s.Append(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				s, st, err := Open(OS{}, dir, "a", newTestID, nil)
				if err != nil || len(st.Entries) != changes {
					b.Fatal(len(st.Entries), err)
				}
				if err := s.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
