// Package crstore keeps a member's part of the replicated log durable in one data folder: an identity file, one segment
// of checked records and the latest snapshot. A folder is backed up and restored by copying it while it is not open.
package crstore

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// File is an open file of the data folder.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is the part of a filesystem that a store needs.
type FS interface {
	MkdirAll(dir string) error
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create makes or empties a file; Append opens an existing one for writing at its end.
	Create(name string) (File, error)
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the entries of a folder durable.
	SyncDir(dir string) error
	// Lock takes a lock that ends with the process or when the closer is closed; it doesn't wait, and returns
	// syscall.EWOULDBLOCK when another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// Identity names the owner of a data folder.
type Identity struct {
	// Name is the instance name from the settings.
	Name string `json:"name"`
	// ID is the member id, drawn when the folder was made, so that a member that lost its disk has a new one.
	ID uint64 `json:"id"`
}

// Names in the data folder.
const (
	identityName   = "identity"
	lockName       = "lock"
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// Store is an open data folder; its methods are for one goroutine.
type Store struct {
	// Report is told of a truncated tail and other events that need no action; it may be nil.
	Report func(format string, args ...any)

	fs       FS
	dir      string
	lock     io.Closer
	identity Identity
	segment  string
	number   uint64
	file     File
	hard     crlog.HardState
	size     int64
	failed   error
}

// RandomID draws a member id; 64 random bits keep the ids of lost folders from coming back.
func RandomID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return max(1, binary.BigEndian.Uint64(b[:])), nil
}

// Open locks the folder, makes it when it is new with the id that newID draws, normally RandomID, and returns the store and what it holds.
func Open(fsys FS, dir, name string, newID func() (uint64, error), report func(format string, args ...any)) (*Store, crlog.State, error) {
	s := &Store{Report: report, fs: fsys, dir: dir}
	st, err := s.open(name, newID)
	if err != nil {
		// The first error says more than one on closing would.
		_ = s.release()
		return nil, crlog.State{}, err
	}
	return s, st, nil
}

func (s *Store) open(name string, newID func() (uint64, error)) (crlog.State, error) {
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return crlog.State{}, coded(err)
	}
	lock, err := s.fs.Lock(s.path(lockName))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return crlog.State{}, crcode.New(crcode.StoreLocked, "%s: %v", s.dir, err)
	}
	if err != nil {
		return crlog.State{}, coded(err)
	}
	s.lock = lock
	raw, err := s.fs.ReadFile(s.path(identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return crlog.State{}, s.create(name, newID)
	}
	if err != nil {
		return crlog.State{}, damaged("identity: %v", err)
	}
	if err := json.Unmarshal(raw, &s.identity); err != nil || s.identity.ID == 0 {
		return crlog.State{}, damaged("the identity file is malformed")
	}
	if s.identity.Name != name {
		return crlog.State{}, crcode.New(crcode.StoreForeign, "the folder belongs to %q, not to %q", s.identity.Name, name)
	}
	return s.load()
}

// create fills a new folder; the identity file comes last, so that a folder without one holds nothing of worth.
func (s *Store) create(name string, newID func() (uint64, error)) error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return coded(err)
	}
	for _, n := range names {
		if !strings.HasPrefix(n, snapshotPrefix) && n != segmentName(1) {
			continue
		}
		raw, err := s.fs.ReadFile(s.path(n))
		if err != nil || !slices.Equal(raw, firstSegment()) {
			return damaged("the folder holds %s but no identity file", n)
		}
	}
	id, err := newID()
	if err != nil {
		return crcode.New(crcode.Internal, "member id: %v", err)
	}
	s.identity = Identity{Name: name, ID: id}
	if err := s.writeFile(segmentName(1), firstSegment()); err != nil {
		return err
	}
	raw, err := json.Marshal(s.identity)
	if err != nil {
		return crcode.New(crcode.Internal, "identity: %v", err)
	}
	if err := s.writeFile(identityName, raw); err != nil {
		return err
	}
	return s.use(1, int64(len(firstSegment())))
}

func firstSegment() []byte { return appendRecord(nil, 0, record{reset: true}) }

// use opens a segment for appending.
func (s *Store) use(number uint64, size int64) error {
	f, err := s.fs.Append(s.path(segmentName(number)))
	if err != nil {
		return coded(err)
	}
	s.number, s.segment, s.file, s.size = number, segmentName(number), f, size
	return nil
}

// Identity returns the owner of the folder.
func (s *Store) Identity() Identity { return s.identity }

// Size returns the length of the segment in bytes.
func (s *Store) Size() int64 { return s.size }

// Append stores the state, when set, and entries with one write and one sync. Entries replace stored ones from the
// first one's index on. After an error nothing more is written.
func (s *Store) Append(hard *crlog.HardState, entries []crlog.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if hard != nil {
		s.hard = *hard
	}
	buf := appendRecord(nil, s.size, record{hard: s.hard, entries: entries})
	if len(buf) > maxRecord {
		return s.fail(crcode.New(crcode.MessageTooLarge, "a record of %d bytes, at most %d", len(buf), maxRecord))
	}
	if _, err := s.file.Write(buf); err != nil {
		return s.fail(coded(err))
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(syncFailed(err))
	}
	s.size += int64(len(buf))
	return nil
}

// SaveSnapshot stores a snapshot with the entries that follow it, and removes older files once both are durable.
func (s *Store) SaveSnapshot(snap crlog.Snapshot, hard crlog.HardState, entries []crlog.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	raw, err := encodeSnapshot(snap)
	if err != nil {
		return s.fail(err)
	}
	if err := s.writeFile(snapshotName(snap.Index), raw); err != nil {
		return s.fail(err)
	}
	if err := s.startSegment(snap.Index, hard, entries); err != nil {
		return s.fail(err)
	}
	s.clean(snap.Index)
	return nil
}

// startSegment stores a new segment that begins after base, and goes on with it.
func (s *Store) startSegment(base uint64, hard crlog.HardState, entries []crlog.Entry) error {
	buf := appendRecord(nil, 0, record{reset: true, base: base})
	buf = appendRecord(buf, int64(len(buf)), record{hard: hard, entries: entries})
	if err := s.writeFile(segmentName(s.number+1), buf); err != nil {
		return err
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return coded(err)
		}
	}
	s.hard = hard
	return s.use(s.number+1, int64(len(buf)))
}

func (s *Store) writeFile(name string, raw []byte) error { return WriteFile(s.fs, s.path(name), raw) }

// WriteFile makes a file durable under its name in one step: after a failure it holds what it held before.
func WriteFile(fs FS, name string, raw []byte) error {
	temp := name + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return coded(err)
	}
	if _, err := f.Write(raw); err != nil {
		return errors.Join(coded(err), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(syncFailed(err), f.Close())
	}
	if err := f.Close(); err != nil {
		return coded(err)
	}
	if err := fs.Rename(temp, name); err != nil {
		return coded(err)
	}
	if err := fs.SyncDir(filepath.Dir(name)); err != nil {
		return syncFailed(err)
	}
	return nil
}

// clean removes files that the given snapshot and the present segment replace; a failure leaves them for next time.
func (s *Store) clean(snapshot uint64) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		s.report("old files are not removed: %v", err)
		return
	}
	for _, n := range names {
		old := strings.HasPrefix(n, segmentPrefix) && n != s.segment ||
			strings.HasPrefix(n, snapshotPrefix) && n != snapshotName(snapshot)
		if !old {
			continue
		}
		if err := s.fs.Remove(s.path(n)); err != nil {
			s.report("%s is not removed: %v", n, err)
		}
	}
}

// Close releases the folder.
func (s *Store) Close() error {
	err := s.release()
	s.failed = crcode.New(crcode.Stopping, "the store is closed")
	return err
}

func (s *Store) release() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
		s.lock = nil
	}
	return err
}

func (s *Store) fail(err error) error {
	s.failed = err
	return err
}

// Err returns the error that stopped the store, or nil.
func (s *Store) Err() error { return s.failed }

func (s *Store) report(format string, args ...any) {
	if s.Report != nil {
		s.Report(format, args...)
	}
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }
func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }
func damaged(f string, a ...any) error { return crcode.New(crcode.StoreDamaged, f, a...) }
func syncFailed(err error) error       { return crcode.New(codeOf(err, crcode.SyncFailed), "%v", err) }

func coded(err error) error { return crcode.New(codeOf(err, crcode.SyncFailed), "%v", err) }

// codeOf tells a full disk from other failures.
func codeOf(err error, other crcode.Code) crcode.Code {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return crcode.DiskFull
	}
	return other
}
