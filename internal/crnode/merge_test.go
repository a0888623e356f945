package crnode

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crspread"
	"github.com/citronramp/citronramp/internal/crwire"
)

// TestMergeReplaced guards against a view that refuses an update which replaces one service and changes another: the node
// then kept the older configuration although the configuration tree reported the later one as in force.
func TestMergeReplaced(t *testing.T) {
	c := qt.New(t)
	entry := func(key, service string, index uint64) *crwire.ConfigEntry {
		return &crwire.ConfigEntry{Key: key, Service: service, Version: &crwire.ConfigVersion{Epoch: 1, Index: index}, Deleted: index > 8}
	}
	held := []*crwire.ConfigEntry{entry("a", "ledger", 1), entry("b", "ledger", 2), entry("c", "late", 3), entry("d", "", 3)}
	merged := mergeReplaced(held, crspread.Update{
		Version: crconfig.Version{Epoch: 1, Index: 9}, Replaced: []string{"late"},
		Entries: []*crwire.ConfigEntry{entry("a", "ledger", 5), entry("e", "late", 6), entry("d", "", 9)},
	})
	var keys []string
	for _, e := range merged {
		keys = append(keys, e.GetKey())
	}
	c.Assert(keys, qt.DeepEquals, []string{"b", "a", "e", "d"})
	c.Assert(merged[1].GetVersion().GetIndex(), qt.Equals, uint64(5))
}

// TestRefusedUpdateIsReported guards against a node that acknowledges a version which its view refused.
func TestRefusedUpdateIsReported(t *testing.T) {
	c := qt.New(t)
	n := &Node{Logger: log.NewNopLogger()}
	n.init()
	p := &components{node: n}
	err := p.applyUpdate(crspread.Update{
		Version: crconfig.Version{Epoch: 1, Index: 2}, Full: true,
		Entries: []*crwire.ConfigEntry{{Key: "kind/a/b", Service: "a", Version: &crwire.ConfigVersion{Epoch: 1, Index: 3}}},
	})
	c.Assert(err, qt.IsNotNil)
	c.Assert(n.view.Version(), qt.Equals, crconfig.Version{})
}
