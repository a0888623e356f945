package crforward

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crexchange"
)

// TestAnswerBudget guards against buffered answers without a bound over all requests, against an answer that is changed
// because the budget is spent, and against a share that is not returned.
func TestAnswerBudget(t *testing.T) {
	b := bodyBudget{limit: 3 * maxBufferedAnswerBytes}
	var releases []func()
	buffered := 0
	for _, x := range []struct {
		size   int
		length int64
	}{{1000, 1000}, {1000, -1}, {maxBufferedAnswerBytes, -1}, {maxBufferedAnswerBytes + 1, -1}, {maxBufferedAnswerBytes, maxBufferedAnswerBytes}, {2000, 2000}} {
		text := strings.Repeat("a", x.size)
		r, length, whole, release, err := b.bufferAnswer(&crexchange.Response{Length: x.length, Body: strings.NewReader(text)})
		qt.Assert(t, err, qt.IsNil)
		releases = append(releases, release)
		if whole {
			buffered++
			qt.Check(t, length, qt.Equals, int64(x.size))
		}
		got, err := io.ReadAll(r)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(got) == text, qt.IsTrue)
		qt.Check(t, b.used.Load() <= b.limit, qt.IsTrue)
	}
	qt.Assert(t, buffered > 0 && buffered < len(releases), qt.IsTrue)
	_, _, _, _, err := b.bufferAnswer(&crexchange.Response{Length: 10, Body: io.MultiReader(strings.NewReader("a"), cutReader{})})
	qt.Assert(t, err, qt.ErrorIs, errAnswerTruncated)
	for _, f := range releases {
		f()
	}
	qt.Assert(t, b.used.Load(), qt.Equals, int64(0))
}

// cutReader fails as a body that its server breaks off.
type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
