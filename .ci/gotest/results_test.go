package main

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCompare guards against a run that passes despite an unlisted failure, and one that fails because of a listed failure.
func TestCompare(t *testing.T) {
	const ran = `{"Action":"run","Package":"m/a","Test":"TestX"}
{"Action":"run","Package":"m/a","Test":"TestX/sub"}
{"Action":"output","Package":"m/a","Test":"TestX/sub","Output":"because\n"}
{"Action":"fail","Package":"m/a","Test":"TestX/sub"}
{"Action":"fail","Package":"m/a","Test":"TestX"}
{"Action":"pass","Package":"m/a","Test":"TestY"}
`
	const end = `{"Action":"fail","Package":"m/a"}
`
	for name, of := range map[string]struct {
		list, events, last string
		ok                 bool
	}{
		"listed":        {"TestX (a)\n  seen: once", ran + end, "1 passed, 0 failed, 1 listed in KNOWN-RED.txt failed", true},
		"not listed":    {"", ran + end, "1 passed, 1 failed, 0 listed in KNOWN-RED.txt failed", false},
		"other package": {"TestX (b)", ran + end, "1 passed, 2 failed, 0 listed in KNOWN-RED.txt failed", false},
		"gone":          {"TestX (a)\nTestZ (a)", ran + end, "1 passed, 1 failed, 1 listed in KNOWN-RED.txt failed", false},
		"skipped":       {"TestX (a)", `{"Action":"skip","Package":"m/a","Test":"TestX"}`, "0 passed, 1 failed, 0 listed in KNOWN-RED.txt failed", false},
		"build":         {"", end, "0 passed, 1 failed, 0 listed in KNOWN-RED.txt failed", false},
		"panic": {
			"TestX (a)", ran + `{"Action":"output","Package":"m/a","Test":"TestX","Output":"panic: no\n"}` + "\n" + end,
			"1 passed, 1 failed, 1 listed in KNOWN-RED.txt failed", false,
		},
		"not ended": {"TestX (a)", `{"Action":"run","Package":"m/a","Test":"TestX"}` + "\n" + end, "0 passed, 1 failed, 1 listed in KNOWN-RED.txt failed", false},
		"go test":   {"", "not JSON\n", "0 passed, 1 failed, 0 listed in KNOWN-RED.txt failed", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			known, err := readList(strings.NewReader(of.list), "m")
			c.Assert(err, qt.IsNil)
			var out strings.Builder
			r := newResults(&out)
			for line := range strings.Lines(of.events) {
				r.add([]byte(line))
			}
			c.Check(r.finish(known, errors.New("exit status 1")), qt.Equals, of.ok)
			c.Check(strings.HasSuffix(out.String(), "\n"+of.last+"\n"), qt.IsTrue, qt.Commentf("%s", out.String()))
		})
	}
	_, err := readList(strings.NewReader("- TestX\n"), "m")
	qt.Assert(t, err, qt.ErrorMatches, "KNOWN-RED.txt:1: .*")
}
