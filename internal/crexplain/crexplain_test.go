package crexplain_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crexplain"
)

const logs = `
 1.2 node-b t=10:00:01.200 event=ran process=node-b id=r1 route=look service=routes code=ok status=500 took=80ms
t=10:00:00.900 event=config_learned process=node-a version=7
t=10:00:01.150 event=ran process=node-c id=r1.k1 route=check service=ledger code=overloaded status=0 wait=3ms
t=10:00:01.210 event=answered process=node-a id=r1 route=look service=routes code=ok status=500 try=1 version=7
t=10:00:01.300 event=answered process=node-a id=r2 route=look service=routes code=ok status=200
no line of ours
`

func explain(t *testing.T, id string) string {
	t.Helper()
	s := &crexplain.RequestHistory{ID: id}
	qt.Assert(t, s.Read(strings.NewReader(logs)), qt.IsNil)
	var out bytes.Buffer
	qt.Assert(t, s.Write(&out), qt.IsNil)
	return out.String()
}

// TestStory guards against output in the wrong order, without the downstream calls, or with lines of other requests.
func TestStory(t *testing.T) {
	qt.Assert(t, explain(t, "r1"), qt.Equals, `What these processes had come to believe just before:
  10:00:00.900 node-a config_learned version=7
Request r1:
    10:00:01.150 node-c ran route=check service=ledger code=overloaded status=0 wait=3ms
  10:00:01.200 node-b ran route=look service=routes code=ok status=500 took=80ms
  10:00:01.210 node-a answered route=look service=routes code=ok status=500 try=1 version=7
`)
}

// TestMissing guards against output that looks complete although lines are missing.
func TestMissing(t *testing.T) {
	qt.Assert(t, explain(t, "r2"), qt.Contains, "No gate logged a run")
	qt.Assert(t, explain(t, "r3"), qt.Contains, "No line about r3 in the logs of 3 processes")
}
