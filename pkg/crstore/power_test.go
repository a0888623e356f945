package crstore

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crlog"
)

var errPowerLoss = errors.New("no power")

// unsyncedChange is a write or a truncation of a file that is not synced yet.
type unsyncedChange struct {
	offset   int
	data     []byte
	truncate bool
}

func (c unsyncedChange) apply(content []byte) []byte {
	if c.truncate {
		return content[:min(c.offset, len(content))]
	}
	if missing := c.offset + len(c.data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[c.offset:], c.data)
	return content
}

// inode is a file: its synced content, which survives a power loss, and the changes since, each of which may survive.
type inode struct {
	synced   []byte
	unsynced []unsyncedChange
}

func (i *inode) content() []byte {
	out := slices.Clone(i.synced)
	for _, c := range i.unsynced {
		out = c.apply(out)
	}
	return out
}

// nameChange is a change of a folder that is not synced yet: name refers to file, or is removed when file is nil.
type nameChange struct {
	name string
	file *inode
}

// disk is a folder in memory whose operations fail after the given number, as if the machine had lost power.
type disk struct {
	remainingOps   int
	names, durable map[string]*inode
	nameChanges    []nameChange
}

func newDisk(left int) *disk {
	return &disk{remainingOps: left, names: map[string]*inode{}, durable: map[string]*inode{}}
}

func (d *disk) countOp() error {
	if d.remainingOps--; d.remainingOps < 0 {
		return errPowerLoss
	}
	return nil
}

func (d *disk) setName(name string, file *inode) {
	if file == nil {
		delete(d.names, name)
	} else {
		d.names[name] = file
	}
	d.nameChanges = append(d.nameChanges, nameChange{name, file})
}

// afterPowerLoss returns the disk after a power loss: each unsynced change is independently kept, lost or kept in part.
func (d *disk) afterPowerLoss(rnd *rand.Rand) *disk {
	out := newDisk(1 << 30)
	kept := maps.Clone(d.durable)
	for _, n := range d.nameChanges {
		switch {
		case rnd.IntN(2) == 0:
		case n.file == nil:
			delete(kept, n.name)
		default:
			kept[n.name] = n.file
		}
	}
	for name, file := range kept {
		content := slices.Clone(file.synced)
		for _, c := range file.unsynced {
			switch rnd.IntN(3) {
			case 0:
				continue
			case 1:
				c.data = c.data[:rnd.IntN(len(c.data)+1)]
			}
			content = c.apply(content)
		}
		f := &inode{synced: content}
		out.names[name], out.durable[name] = f, f
	}
	return out
}

func (d *disk) MkdirAll(string) error { return d.countOp() }

func (d *disk) ReadDir(string) ([]string, error) {
	var out []string
	for name := range d.names {
		out = append(out, filepath.Base(name))
	}
	slices.Sort(out)
	return out, nil
}

func (d *disk) ReadFile(name string) ([]byte, error) {
	if f := d.names[name]; f != nil {
		return f.content(), nil
	}
	return nil, fs.ErrNotExist
}

func (d *disk) Create(name string) (File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	f := &inode{}
	d.setName(name, f)
	return &handle{d, f}, nil
}

func (d *disk) Append(name string) (File, error) {
	if f := d.names[name]; f != nil {
		return &handle{d, f}, nil
	}
	return nil, fs.ErrNotExist
}

func (d *disk) Rename(from, to string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.setName(to, d.names[from])
	d.setName(from, nil)
	return nil
}

func (d *disk) Remove(name string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.setName(name, nil)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.durable, d.nameChanges = maps.Clone(d.names), nil
	return nil
}

func (d *disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// handle is an open file.
type handle struct {
	disk *disk
	file *inode
}

func (h *handle) addChange(c unsyncedChange) error {
	if err := h.disk.countOp(); err != nil {
		if len(c.data) > 0 && h.disk.remainingOps == -1 {
			// The power was lost during this write, so it may be stored.
			h.file.unsynced = append(h.file.unsynced, c)
		}
		return err
	}
	h.file.unsynced = append(h.file.unsynced, c)
	return nil
}

func (h *handle) Write(b []byte) (int, error) {
	return len(b), h.addChange(unsyncedChange{offset: len(h.file.content()), data: slices.Clone(b)})
}

func (h *handle) Truncate(size int64) error {
	return h.addChange(unsyncedChange{offset: int(size), truncate: true})
}

func (h *handle) Sync() error {
	if err := h.disk.countOp(); err != nil {
		return err
	}
	h.file.synced, h.file.unsynced = h.file.content(), nil
	return nil
}

func (h *handle) Close() error { return nil }

// TestLossOfPower guards against the loss of stored entries, or an unusable folder, when the power is lost at any
// operation. Each write, creation, renaming and removal since the last sync is independently kept, lost or kept in part,
// so that removed files may also reappear.
func TestLossOfPower(t *testing.T) {
	for k := 0; ; k++ {
		before := newDisk(k)
		var done uint64
		s, _, err := Open(before, "d", "a", newTestID, nil)
		if err == nil {
			done, err = workload(s)
		}
		for seed := range uint64(60) {
			rnd := rand.New(rand.NewPCG(uint64(k), seed))
			after := before.afterPowerLoss(rnd)
			step := qt.Commentf("operation %d, seed %d", k, seed)
			s, st, openErr := Open(after, "d", "a", newTestID, nil)
			qt.Assert(t, openErr, qt.IsNil, step)
			qt.Assert(t, lastIndex(st) >= min(done, 20), qt.IsTrue, step)
			qt.Assert(t, s.Append(nil, []crlog.Entry{entry(lastIndex(st)+1, 99)}), qt.IsNil, step)
			// What Open returned once is still there after a second power loss.
			_, again, openErr := Open(after.afterPowerLoss(rnd), "d", "a", newTestID, nil)
			qt.Assert(t, openErr, qt.IsNil, step)
			qt.Assert(t, lastIndex(again), qt.Equals, lastIndex(st)+1, step)
			qt.Assert(t, again.Hard, qt.Equals, st.Hard, step)
		}
		if err == nil {
			qt.Assert(t, k > 40, qt.IsTrue)
			return
		}
	}
}

// TestLossOfPowerAfterKill guards against entries that a restarted process has read, and may have acknowledged, and that
// a later loss of power takes away: the process was killed before it had synced them. It also guards against a folder
// that the loss of power makes unusable.
func TestLossOfPowerAfterKill(t *testing.T) {
	for k := 0; ; k++ {
		killed := newDisk(k)
		s, _, err := Open(killed, "d", "a", newTestID, nil)
		if err == nil {
			_, err = workload(s)
		}
		if err == nil {
			qt.Assert(t, k > 40, qt.IsTrue)
			return
		}
		// The system keeps what the process wrote.
		killed.remainingOps = 1 << 30
		s, st, openErr := Open(killed, "d", "a", newTestID, nil)
		step := qt.Commentf("operation %d", k)
		qt.Assert(t, openErr, qt.IsNil, step)
		for seed := range uint64(40) {
			_, after, openErr := Open(killed.afterPowerLoss(rand.New(rand.NewPCG(uint64(k), seed))), "d", "a", newTestID, nil)
			qt.Assert(t, openErr, qt.IsNil, step)
			qt.Assert(t, after.Hard, qt.Equals, st.Hard, step)
			qt.Assert(t, lastIndex(after) >= lastIndex(st), qt.IsTrue, step)
		}
		// The power is lost during the next write.
		killed.remainingOps = 0
		qt.Assert(t, s.Append(nil, []crlog.Entry{entry(lastIndex(st)+1, 99)}), qt.IsNotNil, step)
		for seed := range uint64(40) {
			_, after, openErr := Open(killed.afterPowerLoss(rand.New(rand.NewPCG(uint64(k), seed))), "d", "a", newTestID, nil)
			qt.Assert(t, openErr, qt.IsNil, step)
			qt.Assert(t, lastIndex(after) >= lastIndex(st), qt.IsTrue, step)
		}
	}
}
