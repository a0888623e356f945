package crspread

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Guards against a node that acknowledges a version which its own view rejected, that never receives the whole view
// again, or that withholds the version from its children.
func TestRefusedUpdateIsNotAcknowledged(t *testing.T) {
	c := qt.New(t)
	s, src := newSim(), filledSource(10)
	s.add(Config{Name: "root", Source: src})
	s.add(Config{Name: "relay", Controls: []string{"root"}, Services: []string{"s1"}})
	s.waitFor(t, 2*time.Second, "relay", s.inForceAt("relay", src.Version()))
	s.add(Config{Name: "leaf", Controls: []string{"relay"}, Services: []string{"s1"}})
	s.waitFor(t, 2*time.Second, "leaf", s.inForceAt("leaf", src.Version()))
	root, held := s.cores["root"], src.Version()
	s.waitFor(t, time.Second, "acknowledged", func() bool { return root.Progress(s.now).Minimum == held })
	// The view rejects every update that is not full, and at first full ones too.
	broken, fulls := true, 0
	s.refuse = func(name string, u Update) error {
		if name != "relay" || u.Full && !broken {
			return nil
		}
		if u.Full {
			fulls++
		}
		return crcode.New(crcode.VersionConflict, "held newer")
	}
	v := src.put("k1", "s1", "w")
	s.waitFor(t, time.Second, "change in force on the leaf", s.inForceAt("leaf", v))
	s.waitFor(t, 15*time.Second, "root names the relay", func() bool {
		p := root.Progress(s.now)
		return p.Minimum == held && len(p.Lagging) == 1 && p.Lagging[0] == Lagging{"relay", held}
	})
	s.waitFor(t, 15*time.Second, "unconfirmed", func() bool { return !s.cores["relay"].Status(s.now).Confirmed })
	c.Assert(s.cores["leaf"].Status(s.now).Confirmed, qt.IsTrue)
	c.Assert(fulls > 1, qt.IsTrue, qt.Commentf("%d resyncs", fulls))
	c.Assert(fulls < 8, qt.IsTrue, qt.Commentf("%d resyncs", fulls))
	broken = false
	s.waitFor(t, resyncInterval<<maxViewRetryShift+time.Second, "in force", func() bool { return root.Progress(s.now).Minimum == v })
	s.checkViews(t, src)
	s.waitFor(t, 2*time.Second, "confirmed", func() bool { return s.cores["relay"].Status(s.now).Confirmed })
}
