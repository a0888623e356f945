package crcoord

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crstore"
)

// softStateFile stores state that nodes reported to this coordinator in a file beside the log. It is not part of the
// replicated state: what is lost with a disk is reported again by the nodes or by other coordinators.
type softStateFile struct {
	coordinator *Coordinator
	name        string
	// interval is the time between two writes, unless a caller of persist needs one at once.
	interval time.Duration
	// encode returns the content of the file, or nil when it has not changed since the last call.
	encode func() ([]byte, error)
	// pending is the content of the last write that failed.
	pending []byte
	// requests receives a channel for each caller of persist.
	requests chan chan<- error
}

func (f *softStateFile) path() string { return filepath.Join(f.coordinator.Settings.DataDir, f.name) }

// load returns the content of the file, nil when there is none.
func (f *softStateFile) load() []byte {
	raw, err := crstore.OS{}.ReadFile(f.path())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		f.coordinator.recordFileError(f.name, err)
	}
	return raw
}

// persist returns when the state at the time of the call is on disk. Callers at the same time share a write. The loop
// must run.
func (f *softStateFile) persist(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case f.requests <- done:
	case <-ctx.Done():
		return notStoredError(ctx.Err())
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return notStoredError(ctx.Err())
	}
}

func notStoredError(err error) error { return crcode.New(crcode.NotStored, "%v", err) }

// loop saves changes, at intervals and for callers of persist, until ctx ends, and then once more.
func (f *softStateFile) loop(ctx context.Context) {
	tick := time.NewTicker(f.interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		var waiting []chan<- error
		select {
		case <-ctx.Done():
		case <-tick.C:
		case done := <-f.requests:
			waiting = append(f.queuedRequests(), done)
		}
		// save reports the error, and the next tick tries again.
		err := f.save()
		for _, done := range waiting {
			done <- err
		}
	}
}

// queuedRequests returns the callers of persist that wait already.
func (f *softStateFile) queuedRequests() (out []chan<- error) {
	for {
		select {
		case done := <-f.requests:
			out = append(out, done)
		default:
			return out
		}
	}
}

// save writes the state unless the file has it, and returns the error of the write.
func (f *softStateFile) save() error {
	raw, err := f.encode()
	if raw == nil {
		raw = f.pending
	}
	if err == nil && raw != nil {
		err = crstore.WriteFile(crstore.OS{}, f.path(), raw)
	}
	f.pending = nil
	if err != nil {
		f.pending = raw
		f.coordinator.recordFileError(f.name, err)
	}
	return err
}

// recordFileError counts and logs an error of a soft state file.
func (c *Coordinator) recordFileError(name string, err error) {
	c.Counters.Add(name+"_failed", 1)
	c.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, name, crevent.KeyError, err)
}
