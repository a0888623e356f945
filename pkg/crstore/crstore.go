// Package crstore stores a member's copy of the replicated log durably in one data folder: an identity file, one segment
// of records with checksums and the latest snapshot. A folder is backed up and restored by copying it while it is not
// open.
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

// FS is the subset of a file system that a store uses.
type FS interface {
	MkdirAll(dir string) error
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates or truncates a file; Append opens an existing one for writing at its end.
	Create(name string) (File, error)
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed files of a folder durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which is released when the closer is closed or the process ends. It does not block
	// and returns syscall.EWOULDBLOCK when another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// Identity identifies the owner of a data folder.
type Identity struct {
	// Name is the instance name from the settings.
	Name string `json:"name"`
	// ID is the member id, generated when the folder was created, so that a member that lost its disk gets a new id.
	ID uint64 `json:"id"`
}

// Names of the files in the data folder.
const (
	identityName   = "identity"
	lockName       = "lock"
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// Store is an open data folder; its methods must be called from one goroutine.
type Store struct {
	// Logf, when set, logs a truncated tail and other events that need no action.
	Logf func(format string, args ...any)

	fs            FS
	dir           string
	lock          io.Closer
	identity      Identity
	segmentName   string
	segmentNumber uint64
	segmentFile   File
	hardState     crlog.HardState
	segmentSize   int64
	failed        error
}

// RandomID returns a random member id; with 64 random bits the id of a lost folder is never generated again.
func RandomID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return max(1, binary.BigEndian.Uint64(b[:])), nil
}

// Open locks the folder and returns the store and its content. A new folder is created with the id that newID returns;
// newID is normally RandomID.
func Open(fsys FS, dir, name string, newID func() (uint64, error), logf func(format string, args ...any)) (*Store, crlog.State, error) {
	s := &Store{Logf: logf, fs: fsys, dir: dir}
	st, err := s.open(name, newID)
	if err != nil {
		// An error of release would only hide the cause.
		_ = s.release()
		return nil, crlog.State{}, err
	}
	return s, st, nil
}

func (s *Store) open(name string, newID func() (uint64, error)) (crlog.State, error) {
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return crlog.State{}, storageError(err)
	}
	lock, err := s.fs.Lock(s.path(lockName))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return crlog.State{}, crcode.New(crcode.StoreLocked, "%s: %v", s.dir, err)
	}
	if err != nil {
		return crlog.State{}, storageError(err)
	}
	s.lock = lock
	raw, err := s.fs.ReadFile(s.path(identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return crlog.State{}, s.initFolder(name, newID)
	}
	if err != nil {
		return crlog.State{}, damagedError("identity: %v", err)
	}
	if err := json.Unmarshal(raw, &s.identity); err != nil || s.identity.ID == 0 {
		return crlog.State{}, damagedError("the identity file is malformed")
	}
	if s.identity.Name != name {
		return crlog.State{}, crcode.New(crcode.StoreForeign, "the folder belongs to %q, not to %q", s.identity.Name, name)
	}
	return s.load()
}

// initFolder creates the files of a new folder. The identity file is written last, so that a folder without it holds no
// data.
func (s *Store) initFolder(name string, newID func() (uint64, error)) error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return storageError(err)
	}
	for _, n := range names {
		if !strings.HasPrefix(n, snapshotPrefix) && n != segmentName(1) {
			continue
		}
		raw, err := s.fs.ReadFile(s.path(n))
		if err != nil || !slices.Equal(raw, firstSegment()) {
			return damagedError("the folder holds %s but no identity file", n)
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
	return s.openSegment(1, int64(len(firstSegment())))
}

func firstSegment() []byte { return appendRecord(nil, 0, record{reset: true}) }

// openSegment opens a segment for appending.
func (s *Store) openSegment(number uint64, size int64) error {
	f, err := s.fs.Append(s.path(segmentName(number)))
	if err != nil {
		return storageError(err)
	}
	s.segmentNumber, s.segmentName, s.segmentFile, s.segmentSize = number, segmentName(number), f, size
	return nil
}

// Identity returns the owner of the folder.
func (s *Store) Identity() Identity { return s.identity }

// Size returns the size of the segment in bytes.
func (s *Store) Size() int64 { return s.segmentSize }

// Append stores the hard state, when set, and entries with one write and one sync. Entries replace all stored entries
// from the index of the first one on. After an error the store writes nothing more until Recover: a sync that succeeds
// after a failed one does not show that the earlier data is stored.
func (s *Store) Append(hard *crlog.HardState, entries []crlog.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if hard != nil {
		s.hardState = *hard
	}
	buf := appendRecord(nil, s.segmentSize, record{hardState: s.hardState, entries: entries})
	if len(buf) > maxRecord {
		return s.fail(crcode.New(crcode.MessageTooLarge, "a record of %d bytes, at most %d", len(buf), maxRecord))
	}
	if _, err := s.segmentFile.Write(buf); err != nil {
		return s.fail(storageError(err))
	}
	if err := s.segmentFile.Sync(); err != nil {
		return s.fail(syncError(err))
	}
	s.segmentSize += int64(len(buf))
	return nil
}

// SaveSnapshot stores a snapshot and the entries that follow it, and removes older files once both are durable.
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
	s.removeOldFiles(snap.Index)
	return nil
}

// Recover makes the store work again after an error. It stores the whole state in new files, so that nothing depends on
// the writes that failed. After another error it may be called again.
func (s *Store) Recover(st crlog.State) error {
	s.failed = nil
	if st.Snapshot.Index > 0 || len(st.Snapshot.Members) > 0 {
		return s.SaveSnapshot(st.Snapshot, st.Hard, st.Entries)
	}
	if err := s.startSegment(0, st.Hard, st.Entries); err != nil {
		return s.fail(err)
	}
	s.removeOldFiles(0)
	return nil
}

// startSegment writes a new segment that starts after the entry at base, and opens it for appending.
func (s *Store) startSegment(base uint64, hard crlog.HardState, entries []crlog.Entry) error {
	buf := appendRecord(nil, 0, record{reset: true, base: base})
	buf = appendRecord(buf, int64(len(buf)), record{hardState: hard, entries: entries})
	if err := s.writeFile(segmentName(s.segmentNumber+1), buf); err != nil {
		return err
	}
	if s.segmentFile != nil {
		// The new segment holds all that this one did.
		if err := s.segmentFile.Close(); err != nil {
			s.logf("%s is not closed: %v", s.segmentName, err)
		}
		s.segmentFile = nil
	}
	s.hardState = hard
	return s.openSegment(s.segmentNumber+1, int64(len(buf)))
}

func (s *Store) writeFile(name string, raw []byte) error { return WriteFile(s.fs, s.path(name), raw) }

// WriteFile replaces a file atomically and durably. After a failure the file has its previous content, or possibly the
// new one if only the sync of the folder failed.
func WriteFile(fs FS, name string, raw []byte) error {
	temp := name + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return storageError(err)
	}
	if _, err := f.Write(raw); err != nil {
		return errors.Join(storageError(err), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(syncError(err), f.Close())
	}
	if err := f.Close(); err != nil {
		return storageError(err)
	}
	if err := fs.Rename(temp, name); err != nil {
		return storageError(err)
	}
	if err := fs.SyncDir(filepath.Dir(name)); err != nil {
		return syncError(err)
	}
	return nil
}

// removeOldFiles removes snapshots and segments other than the given snapshot and the open segment. Files that it fails
// to remove are removed by the next call.
func (s *Store) removeOldFiles(snapshot uint64) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		s.logf("old files are not removed: %v", err)
		return
	}
	for _, n := range names {
		old := strings.HasPrefix(n, segmentPrefix) && n != s.segmentName ||
			strings.HasPrefix(n, snapshotPrefix) && n != snapshotName(snapshot)
		if !old {
			continue
		}
		if err := s.fs.Remove(s.path(n)); err != nil {
			s.logf("%s is not removed: %v", n, err)
		}
	}
}

// Close closes the store and unlocks the folder.
func (s *Store) Close() error {
	err := s.release()
	s.failed = crcode.New(crcode.Stopping, "the store is closed")
	return err
}

func (s *Store) release() error {
	var err error
	if s.segmentFile != nil {
		err = s.segmentFile.Close()
		s.segmentFile = nil
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

func (s *Store) logf(format string, args ...any) {
	if s.Logf != nil {
		s.Logf(format, args...)
	}
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func segmentName(number uint64) string      { return fmt.Sprintf("%s%016x", segmentPrefix, number) }
func snapshotName(index uint64) string      { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }
func damagedError(f string, a ...any) error { return crcode.New(crcode.StoreDamaged, f, a...) }
func syncError(err error) error             { return crcode.New(codeOf(err, crcode.SyncFailed), "%v", err) }

func storageError(err error) error { return crcode.New(codeOf(err, crcode.SyncFailed), "%v", err) }

// codeOf returns DiskFull for an error of a full disk or an exceeded quota, and fallback for any other error.
func codeOf(err error, fallback crcode.Code) crcode.Code {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return crcode.DiskFull
	}
	return fallback
}
