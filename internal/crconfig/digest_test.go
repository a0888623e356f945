package crconfig

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
)

// Guards against different views with equal digests, and against equal views with different digests.
func TestDigest(t *testing.T) {
	c := qt.New(t)
	a := &crwire.ConfigEntry{Key: "kind/s/a", Service: "s", Version: Version{1, 2}.Proto(), Value: []byte("x")}
	b := &crwire.ConfigEntry{Key: "kind/s/b", Service: "s", Version: Version{1, 3}.Proto(), Value: []byte("x")}
	view := []*crwire.ConfigEntry{a, b}
	want := ViewDigest(view)
	slices.Reverse(view)
	c.Assert(ViewDigest(view), qt.Equals, want)
	c.Assert(want.Sub(EntryDigest(b)), qt.Equals, ViewDigest(view[1:]))
	c.Assert(Digest{Lo: 1}.Sub(Digest{Lo: 2}).Add(Digest{Lo: 1}), qt.Equals, Digest{})
	for _, change := range []func(*crwire.ConfigEntry){
		func(e *crwire.ConfigEntry) { e.Key = "kind/s/c" },
		func(e *crwire.ConfigEntry) { e.Service = "" },
		func(e *crwire.ConfigEntry) { e.Version = Version{2, 2}.Proto() },
		func(e *crwire.ConfigEntry) { e.Version = Version{1, 3}.Proto() },
		func(e *crwire.ConfigEntry) { e.Value = []byte("y") },
		func(e *crwire.ConfigEntry) { e.Deleted = true },
	} {
		other := proto.Clone(a).(*crwire.ConfigEntry)
		change(other)
		c.Check(EntryDigest(other), qt.Not(qt.Equals), EntryDigest(a))
	}
}
