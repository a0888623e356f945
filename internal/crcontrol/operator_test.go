package crcontrol

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// TestReadError guards against a command that is called malformed though the process had no memory to read it.
func TestReadError(t *testing.T) {
	for _, x := range []struct {
		err  error
		want crcode.Code
	}{
		{&http.MaxBytesError{Limit: 1}, crcode.Syntax},
		{fmt.Errorf("read: %w", crintake.ErrRefused), crcode.Overloaded},
		{io.ErrUnexpectedEOF, crcode.Syntax},
	} {
		qt.Check(t, crcode.Of(readError(x.err)), qt.Equals, x.want, qt.Commentf("%v", x.err))
	}
}
