package crcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// silentLimit bounds the time until a change is accepted and in force after connections have gone silent: they are found
// within 2 s, then it takes an election and the way to the nodes.
const silentLimit = 5 * time.Second

// TestSilentConnections guards I8: every open connection between processes goes silent for good, without a reset, while new ones
// work. Changes are accepted and come into force, nothing goes back, and requests are served.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, three())
	_, _ = leader(k, k.Controls)
	accept(k, k.Controls[0], "set kind ledger/read worth 5")
	before := current(k, k.Controls[0])
	inForce(k, k.Nodes, before)
	stop := make(chan struct{})
	watching := watch(k, k.Nodes, stop)
	for round := range 2 {
		k.SilenceOpen()
		began := time.Now()
		accept(k, k.Controls[round], fmt.Sprintf("set kind ledger/read worth %d", 6+round))
		after := current(k, k.Controls[round])
		t.Log("accepted after", time.Since(began))
		inForce(k, k.Nodes, after)
		t.Log("in force after", time.Since(began))
		k.C.Check(time.Since(began) < silentLimit, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		for _, n := range k.Nodes {
			k.Until(func() error {
				if r := k.Send(n, "ledger/read", crtest.Request{Deadline: time.Second}); r.Code != crcode.OK {
					return fmt.Errorf("%+v", r)
				}
				return nil
			})
		}
		t.Log("served after", time.Since(began))
	}
	close(stop)
	watching.Wait()
}
