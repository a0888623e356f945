package crcoord

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/pkg/crstore"
)

// softStateFile stores state that nodes reported to this coordinator in a file beside the log. It is not part of the
// replicated state: what is lost with a disk is reported again by the nodes or by other coordinators.
type softStateFile struct {
	coordinator *Coordinator
	name        string
	// interval is the minimum time between two writes.
	interval time.Duration
	// encode returns the content of the file, or nil when it has not changed since the last call.
	encode func() ([]byte, error)
	// pending is the content of the last write that failed.
	pending []byte
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

// loop saves changes until ctx ends, and then once more.
func (f *softStateFile) loop(ctx context.Context) {
	for crpause.For(ctx, f.interval) == nil {
		f.save()
	}
	f.save()
}

func (f *softStateFile) save() {
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
}

// recordFileError counts and logs an error of a soft state file.
func (c *Coordinator) recordFileError(name string, err error) {
	c.Counters.Add(name+"_failed", 1)
	c.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, name, crevent.KeyError, err)
}
