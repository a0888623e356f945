package crcontrol_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/citronramp/citronramp/internal/crtest"
)

// TestSpreadNamesSilentInstance guards against `show spread` that leaves out the nodes of a lost control instance without
// a word.
func TestSpreadNamesSilentInstance(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, three())
	lost, others := leader(k, k.Controls)
	k.Kill(lost)
	_, _ = leader(k, others)
	k.Until(func() error {
		text, err := k.Command(others[0], "show spread")
		if err == nil && !strings.Contains(text, "did not answer: "+lost.Name+".") {
			err = errors.New(text)
		}
		return err
	})
}
