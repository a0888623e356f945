package crcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// silentLimit bounds the time from the moment connections go silent until a change is accepted and in force: silent
// connections are detected within 2 s, then an election and the distribution to the nodes follow.
const silentLimit = 5 * time.Second

// TestUnresponsiveConnections guards I8 against connections that stay open but deliver nothing: every open connection between
// processes stops delivering data for good, without a reset, while new connections work. Changes must be accepted and come
// into force, no node may return to an older version, and requests must be served.
func TestUnresponsiveConnections(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, threeInstances())
	_, _ = waitForLeader(k, k.Controls)
	submitUntilAccepted(k, k.Controls[0], "set kind ledger/read worth 5")
	before := currentVersion(k, k.Controls[0])
	waitInForce(k, k.Nodes, before)
	stop := make(chan struct{})
	watching := watchVersions(k, k.Nodes, stop)
	for round := range 2 {
		k.StallOpenConnections()
		silencedAt := time.Now()
		submitUntilAccepted(k, k.Controls[round], fmt.Sprintf("set kind ledger/read worth %d", 6+round))
		after := currentVersion(k, k.Controls[round])
		t.Log("accepted after", time.Since(silencedAt))
		waitInForce(k, k.Nodes, after)
		t.Log("in force after", time.Since(silencedAt))
		k.C.Check(time.Since(silencedAt) < silentLimit, qt.IsTrue, qt.Commentf("%s", time.Since(silencedAt)))
		for _, n := range k.Nodes {
			k.Eventually(func() error {
				if r := k.Send(n, "ledger/read", crtest.Request{Deadline: time.Second}); r.Code != crcode.OK {
					return fmt.Errorf("%+v", r)
				}
				return nil
			})
		}
		t.Log("served after", time.Since(silencedAt))
	}
	close(stop)
	watching.Wait()
}
