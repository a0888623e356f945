package crreplay_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crreplay"
)

// TestDeepBottleneck prints what the control makes of the load, beside no control.
func TestDeepBottleneck(t *testing.T) {
	l, err := crreplay.Read("loads/deep_bottleneck.toml")
	qt.Assert(t, err, qt.IsNil)
	shed := l.Run(1)
	l.Control = crreplay.ControlNone
	none := l.Run(1)
	t.Logf("shed\n%s\nnone\n%s", shed, none)
}
