package crcoord_test

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// watcher is a directory client as a node has it. It records the notices that it received and the time to live of
// each.
type watcher struct {
	*crdirectory.Client
	mu       sync.Mutex
	received map[string]time.Duration
}

func watch(t *testing.T, address string) *watcher {
	t.Helper()
	w := &watcher{received: map[string]time.Duration{}}
	w.Client = &crdirectory.Client{Endpoint: &crwire.Endpoint{
		Identity: crwire.Identity{Self: crwire.Peer{Name: "node", Incarnation: "1", Role: crwire.RoleNode}}, Mux: &crwire.Mux{},
	}, OnNotice: func(n *crwire.DirectoryNotice) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.received[n.GetKey()] = time.Duration(n.GetExpiresInMs()) * time.Millisecond
	}}
	w.Watch(nil, []string{"photos"})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	t.Cleanup(w.Endpoint.Close)
	s, err := w.Endpoint.Session(ctx, address)
	qt.Assert(t, err, qt.IsNil)
	go w.RunOnSession(ctx, s, address)
	return w
}

func (w *watcher) has(key string) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	left, ok := w.received[key]
	return left, ok
}

// TestCrashNoticesSurvive guards against a restart of all coordinators and nodes after which a request that crashes
// servers is admitted again, or after which it stays blocked for longer than before.
func TestCrashNoticesSurvive(t *testing.T) {
	c, at := newCore(t, 3)
	for i, a := range at {
		c.start(a, strconv.Itoa(i), true)
	}
	first := watch(t, at[0])
	qt.Assert(t, first.Publish(&crwire.DirectoryNotice{Service: "photos", Key: "crash", Version: 1, ExpiresInMs: time.Hour.Milliseconds()}), qt.IsTrue)
	// Each coordinator saves the notice while it runs, not only at a planned stop.
	for i := range at {
		eventually(t, func() bool {
			raw, err := os.ReadFile(filepath.Join(c.dir, strconv.Itoa(i), "notices"))
			var saved crwire.SavedNotices
			return err == nil && proto.Unmarshal(raw, &saved) == nil && len(saved.GetNotices()) == 1
		})
	}
	for _, a := range at {
		c.stop(a)
	}
	name := filepath.Join(c.dir, "1", "notices")
	raw, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	var saved crwire.SavedNotices
	qt.Assert(t, proto.Unmarshal(raw, &saved), qt.IsNil)
	saved.AtMs -= (30 * time.Minute).Milliseconds()
	raw, err = proto.Marshal(&saved)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(name, raw, 0o600), qt.IsNil)
	c.start(at[1], "1", false)
	restarted := watch(t, at[1])
	eventually(t, func() bool { _, ok := restarted.has("crash"); return ok })
	left, _ := restarted.has("crash")
	qt.Assert(t, left > 29*time.Minute && left <= 30*time.Minute, qt.IsTrue, qt.Commentf("%v", left))
	// A damaged file does not prevent the start.
	c.stop(at[1])
	qt.Assert(t, os.WriteFile(name, []byte("junk"), 0o600), qt.IsNil)
	c.start(at[1], "1", false)
}

// TestNoticeBeforeStop guards against a notice that a coordinator accepts shortly before a planned stop and does not save.
func TestNoticeBeforeStop(t *testing.T) {
	c, at := newCore(t, 1)
	c.startAll(at)
	for i := range 5 {
		key := strconv.Itoa(i)
		eventually(t, func() bool {
			_, err := crwire.Call[crwire.DirectoryEmpty](t.Context(), session(t, at[0]), "directory.notice",
				&crwire.DirectoryNotice{Service: "photos", Key: key, Version: 1, ExpiresInMs: time.Minute.Milliseconds()})
			return err == nil
		})
		c.stop(at[0])
		qt.Assert(t, c.savedNotices("0"), qt.HasLen, i+1)
		c.start(at[0], "0", false)
	}
}

// savedNotices returns the notices on the disk of a coordinator.
func (c *core) savedNotices(disk string) []*crwire.DirectoryNotice {
	c.t.Helper()
	raw, err := os.ReadFile(filepath.Join(c.dir, disk, "notices"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	qt.Assert(c.t, err, qt.IsNil)
	var saved crwire.SavedNotices
	qt.Assert(c.t, proto.Unmarshal(raw, &saved), qt.IsNil)
	return saved.GetNotices()
}

// TestStoredNotices guards against a notice that is acknowledged as stored while a loss of as many disks as the
// deployment tolerates would lose it.
func TestStoredNotices(t *testing.T) {
	c, at := newCore(t, 3)
	c.startAll(at)
	store := func(version uint64) error {
		_, err := crwire.Call[crwire.DirectoryEmpty](t.Context(), session(t, at[0]), crcoord.MethodStoreNotice,
			&crwire.DirectoryNotice{Service: "left/n1", Key: "left/n1/s1", Version: version, ExpiresInMs: time.Minute.Milliseconds()})
		return err
	}
	copies := func(version uint64) (n int) {
		for i := range at {
			for _, saved := range c.savedNotices(strconv.Itoa(i)) {
				if saved.GetVersion() >= version {
					n++
				}
			}
		}
		return n
	}
	eventually(t, func() bool { return store(1) == nil })
	qt.Assert(t, copies(1) >= 2, qt.IsTrue)
	for version := range uint64(20) {
		qt.Assert(t, store(2+version), qt.IsNil)
		qt.Assert(t, copies(2+version) >= 2, qt.IsTrue)
	}
	// One coordinator suffices for nothing.
	c.stop(at[1])
	c.stop(at[2])
	qt.Assert(t, crcode.Of(store(100)), qt.Equals, crcode.NotStored)
}
