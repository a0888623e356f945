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

var errPower = errors.New("no power")

// change is one write or cut of a file that no sync has covered yet.
type change struct {
	at   int
	data []byte
	cut  bool
}

func (c change) apply(content []byte) []byte {
	if c.cut {
		return content[:min(c.at, len(content))]
	}
	if missing := c.at + len(c.data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[c.at:], c.data)
	return content
}

// inode is a file: what survives a loss of power, and what may.
type inode struct {
	synced  []byte
	changes []change
}

func (i *inode) content() []byte {
	out := slices.Clone(i.synced)
	for _, c := range i.changes {
		out = c.apply(out)
	}
	return out
}

// naming gives a file a name, or takes a name away when the file is nil, without a sync of the folder yet.
type naming struct {
	name string
	file *inode
}

// disk is a folder in memory that loses power when no operations are left.
type disk struct {
	left           int
	names, durable map[string]*inode
	namings        []naming
}

func newDisk(left int) *disk {
	return &disk{left: left, names: map[string]*inode{}, durable: map[string]*inode{}}
}

func (d *disk) step() error {
	if d.left--; d.left < 0 {
		return errPower
	}
	return nil
}

func (d *disk) name(name string, file *inode) {
	if file == nil {
		delete(d.names, name)
	} else {
		d.names[name] = file
	}
	d.namings = append(d.namings, naming{name, file})
}

// restart returns what a loss of power leaves: each change since the last sync is there, missing or torn, by itself.
func (d *disk) restart(rnd *rand.Rand) *disk {
	out := newDisk(1 << 30)
	kept := maps.Clone(d.durable)
	for _, n := range d.namings {
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
		for _, c := range file.changes {
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

func (d *disk) MkdirAll(string) error { return d.step() }

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
	if err := d.step(); err != nil {
		return nil, err
	}
	f := &inode{}
	d.name(name, f)
	return &handle{d, f}, nil
}

func (d *disk) Append(name string) (File, error) {
	if f := d.names[name]; f != nil {
		return &handle{d, f}, nil
	}
	return nil, fs.ErrNotExist
}

func (d *disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.name(to, d.names[from])
	d.name(from, nil)
	return nil
}

func (d *disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.name(name, nil)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable, d.namings = maps.Clone(d.names), nil
	return nil
}

func (d *disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// handle is an open file.
type handle struct {
	disk *disk
	file *inode
}

func (h *handle) change(c change) error {
	if err := h.disk.step(); err != nil {
		if len(c.data) > 0 && h.disk.left == -1 {
			// The write was under way.
			h.file.changes = append(h.file.changes, c)
		}
		return err
	}
	h.file.changes = append(h.file.changes, c)
	return nil
}

func (h *handle) Write(b []byte) (int, error) {
	return len(b), h.change(change{at: len(h.file.content()), data: slices.Clone(b)})
}

func (h *handle) Truncate(size int64) error { return h.change(change{at: int(size), cut: true}) }

func (h *handle) Sync() error {
	if err := h.disk.step(); err != nil {
		return err
	}
	h.file.synced, h.file.changes = h.file.content(), nil
	return nil
}

func (h *handle) Close() error { return nil }

// TestLossOfPower guards against a loss of power at any operation that loses what was stored, or makes the folder unusable, when
// each write, creation, renaming and removal since the last sync is there, missing or torn by itself, so that names also come back.
func TestLossOfPower(t *testing.T) {
	for k := 0; ; k++ {
		before := newDisk(k)
		var done uint64
		s, _, err := Open(before, "d", "a", seven, nil)
		if err == nil {
			done, err = workload(s)
		}
		for seed := range uint64(60) {
			rnd := rand.New(rand.NewPCG(uint64(k), seed))
			after := before.restart(rnd)
			step := qt.Commentf("operation %d, seed %d", k, seed)
			s, st, openErr := Open(after, "d", "a", seven, nil)
			qt.Assert(t, openErr, qt.IsNil, step)
			qt.Assert(t, last(st) >= min(done, 20), qt.IsTrue, step)
			qt.Assert(t, s.Append(nil, []crlog.Entry{entry(last(st)+1, 99)}), qt.IsNil, step)
			// What was read once is there after a second loss of power.
			_, again, openErr := Open(after.restart(rnd), "d", "a", seven, nil)
			qt.Assert(t, openErr, qt.IsNil, step)
			qt.Assert(t, last(again), qt.Equals, last(st)+1, step)
			qt.Assert(t, again.Hard, qt.Equals, st.Hard, step)
		}
		if err == nil {
			qt.Assert(t, k > 40, qt.IsTrue)
			return
		}
	}
}
