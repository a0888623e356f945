package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFailedRunKeepsItsOutput guards against output of a failed run that the next run overwrites, and against an unlimited
// number of files.
func TestFailedRunKeepsItsOutput(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "ci")
	play := func(i int, text string, ok bool, err error) (bool, error) {
		return runLogged(dir, time.Unix(int64(i), 0), io.Discard, func(out io.Writer) (bool, error) {
			_, _ = fmt.Fprintln(out, text)
			return ok, err
		})
	}
	kept := func() []string {
		names, err := filepath.Glob(filepath.Join(dir, "*"))
		qt.Assert(t, err, qt.IsNil)
		return names
	}
	ok, err := play(1, "all passed", true, nil)
	qt.Assert(t, ok && err == nil, qt.IsTrue)
	qt.Assert(t, kept(), qt.HasLen, 0)
	ok, err = play(2, "FAILED TestX", false, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsFalse)
	ok, err = play(3, "FAILED, listed in KNOWN-RED.txt: TestX", true, nil)
	qt.Assert(t, ok && err == nil, qt.IsTrue)
	_, err = play(4, "", false, errors.New("go list"))
	qt.Assert(t, err, qt.ErrorMatches, "go list")
	qt.Assert(t, kept(), qt.HasLen, 3)
	text, err := os.ReadFile(kept()[0])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.TrimSpace(string(text)), qt.Equals, "FAILED TestX")
	for i := range 2 * maxLogs {
		_, _ = play(10+i, "FAILED TestX", false, nil)
	}
	qt.Assert(t, kept(), qt.HasLen, maxLogs)
}
