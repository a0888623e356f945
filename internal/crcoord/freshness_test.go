package crcoord_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// TestFreshness guards against a coordinator that names an older version than the one acknowledged before the request, and
// against one that has lost the majority and answers from an older confirmation.
func TestFreshness(t *testing.T) {
	c, at := newCore(t, 3)
	procs := c.startAll(at)
	sessions := map[string]*crwire.Session{}
	for _, a := range at {
		sessions[a] = session(t, a)
	}
	ask := func(a string) (uint64, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*crcoord.FreshnessTimeout)
		defer cancel()
		r, err := crwire.Call[crwire.DocumentFreshnessReply](ctx, sessions[a], crcoord.MethodFreshness, &crwire.DocumentFreshness{})
		return r.GetVersion(), err
	}
	for v := uint64(1); v <= 5; v++ {
		put(t, procs[at[0]], v, v-1)
		for _, a := range at {
			eventually(t, func() bool {
				// A member that has just joined cannot confirm anything.
				got, err := ask(a)
				if err == nil {
					qt.Assert(t, got, qt.Equals, v)
				}
				return err == nil
			})
		}
	}
	var left string
	eventually(t, func() bool {
		for _, a := range at {
			if procs[a].Leads() {
				left = a
			}
		}
		return left != ""
	})
	var stopping sync.WaitGroup
	for _, a := range at {
		if a != left {
			stopping.Go(func() { c.stop(a) })
		}
	}
	stopping.Wait()
	start := time.Now()
	_, err := ask(left)
	qt.Assert(t, crcode.Of(err), qt.Equals, crcode.NoLeader, qt.Commentf("%v", err))
	qt.Assert(t, time.Since(start) < 2*crcoord.FreshnessTimeout, qt.IsTrue)
}
