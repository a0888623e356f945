package crforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// TestRefusedOnHop guards against refusals that are lost on the way to callers, and against an answer that a node of the previous
// release, which reads the first three fields of the load only, does not understand.
func TestRefusedOnHop(t *testing.T) {
	n := &Node{Settings: Settings{Service: "routing"}, ledger: &crcost.Estimator{}}
	now := time.Now()
	n.board.StoreEntry(now, crshed.Entry{Service: "a=b,c;d", Pressure: 2.5, Refusing: true})
	n.board.StoreEntry(now, crshed.Entry{Service: "sound", Pressure: 1.5})
	line := n.formatAnswer(&call{}, &reply{load: &crrouter.Feedback{InFlight: 3, Limit: 80, Queued: 1}, pressure: 0.5, refused: 0.547}, now)
	var r reply
	qt.Assert(t, parseAnswer(line, &r), qt.IsNil)
	qt.Assert(t, *r.load, qt.Equals, crrouter.Feedback{InFlight: 3, Limit: 80, Queued: 1})
	qt.Assert(t, r.refused, qt.Equals, 0.55)
	qt.Assert(t, r.board, qt.HasLen, 2)
	for _, e := range r.board {
		qt.Assert(t, e.Refusing, qt.Equals, e.Service == "a=b,c;d", qt.Commentf("%v", e))
	}
	qt.Assert(t, parseAnswer("0;0;0;3,80,1;0.50;0;;;", &r), qt.IsNil)
	qt.Assert(t, r.refused, qt.Equals, 0.0)
}
