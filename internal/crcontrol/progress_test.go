package crcontrol_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/citronramp/citronramp/internal/crtest"
)

// TestSpreadNamesSilentInstance guards against a `show spread` that omits the nodes below a lost control instance without
// naming that instance.
func TestSpreadNamesSilentInstance(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, threeInstances())
	lost, others := waitForLeader(k, k.Controls)
	k.Kill(lost)
	_, _ = waitForLeader(k, others)
	k.Eventually(func() error {
		text, err := k.Command(others[0], "show spread")
		if err == nil && !strings.Contains(text, "did not answer: "+lost.Name+".") {
			err = errors.New(text)
		}
		return err
	})
}
