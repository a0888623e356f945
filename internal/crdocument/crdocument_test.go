package crdocument_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crdocument"
	"github.com/citronramp/citronramp/internal/crwire"
)

// put applies a document and returns the verdict.
func put(t *testing.T, m *crdocument.Machine, version, base uint64, body string) crdocument.Verdict {
	t.Helper()
	data, err := crdocument.Encode(&crwire.Document{Version: version, Base: base, Body: []byte(body)})
	qt.Assert(t, err, qt.IsNil)
	return crdocument.Verdict(m.Apply(0, 0, data).(*crwire.DocumentVerdict).GetVerdict())
}

// TestRace guards against two accepted changes of the same version, also when both have the same version number.
func TestRace(t *testing.T) {
	m := crdocument.New()
	qt.Assert(t, put(t, m, 3, 0, "first"), qt.Equals, crdocument.Accepted)
	qt.Assert(t, put(t, m, 7, 3, "a"), qt.Equals, crdocument.Accepted)
	qt.Assert(t, put(t, m, 7, 3, "b"), qt.Equals, crdocument.Conflict)
	qt.Assert(t, put(t, m, 9, 3, "c"), qt.Equals, crdocument.Conflict)
	qt.Assert(t, put(t, m, 7, 7, "d"), qt.Equals, crdocument.NotAbove)
	d, _ := m.Current()
	qt.Assert(t, string(d.GetBody()), qt.Equals, "a")
}

// TestResend guards against an accepted change that is refused when it is sent again, also after a restored snapshot
// and after later changes.
func TestResend(t *testing.T) {
	m := crdocument.New()
	put(t, m, 3, 0, "first")
	put(t, m, 5, 3, "second")
	snap, err := m.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := crdocument.New()
	qt.Assert(t, restored.Restore(snap), qt.IsNil)
	for _, x := range []*crdocument.Machine{m, restored} {
		qt.Assert(t, put(t, x, 3, 0, "first"), qt.Equals, crdocument.Repeated)
		qt.Assert(t, put(t, x, 5, 3, "second"), qt.Equals, crdocument.Repeated)
		d, _ := x.Current()
		qt.Assert(t, d.GetVersion(), qt.Equals, uint64(5))
	}
}

// TestChanged guards against a new document that does not wake the waiters of the changed channel.
func TestChanged(t *testing.T) {
	m := crdocument.New()
	_, changed := m.Current()
	put(t, m, 1, 0, "x")
	select {
	case <-changed:
	default:
		t.Fatal("the channel is still open after a change")
	}
}

// TestUnreadable guards against a log entry that cannot be decoded and stops the state machine.
func TestUnreadable(t *testing.T) {
	m := crdocument.New()
	v := m.Apply(1, 1, []byte{0xff, 0xff}).(*crwire.DocumentVerdict)
	qt.Assert(t, crdocument.Verdict(v.GetVerdict()), qt.Equals, crdocument.Unreadable)
}
