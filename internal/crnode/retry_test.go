package crnode_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Options of kinds in these tests.
const (
	repeat  = "class ordinary worth 1 repeat yes deadline 2s retries 3"
	once    = "class protected worth 100 repeat no deadline 2s retries 4"
	minimum = "class protected worth 100 repeat yes deadline 2s retries 3"
)

// pair is a deployment of one service with two servers.
func pair(handle func(*crtest.Run)) crtest.Options {
	return crtest.Options{Handle: handle, Services: []crtest.Service{
		{Name: "ledger", Servers: 2, Slots: 8, Kinds: map[string]string{"read": repeat, "record": once}},
	}}
}

// TestNotRunAfterLostAnswer guards I4: a retry that is refused must not hide an earlier attempt that ran.
func TestNotRunAfterLostAnswer(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var ran []string
	k := crtest.Start(t, pair(func(r *crtest.Run) {
		mu.Lock()
		ran = append(ran, r.Server.Name)
		first := len(ran) == 1
		mu.Unlock()
		if first {
			r.Drop()
		}
		r.Refuse("")
	}))
	id := k.Nodes[0].NewID()
	r := k.Send(k.Nodes[0], "ledger/read", crtest.Request{ID: id})
	mu.Lock()
	defer mu.Unlock()
	k.C.Assert(len(ran) >= 2, qt.IsTrue, qt.Commentf("%v: the refusal after the lost answer was not reached", ran))
	k.C.Assert(r.Outcome, qt.Equals, crcode.Unknown.String(), qt.Commentf("%+v after %v", r, ran))
}
