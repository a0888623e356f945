package crpause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crpause"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		qt.Assert(t, crpause.For(t.Context(), time.Second), qt.IsNil)
		qt.Assert(t, time.Since(started), qt.Equals, time.Second)
		qt.Assert(t, crpause.For(t.Context(), 0), qt.IsNil)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, crpause.For(ctx, time.Minute), qt.Equals, context.DeadlineExceeded)
		qt.Assert(t, time.Since(started), qt.Equals, 2*time.Second)
		qt.Assert(t, crpause.For(ctx, 0), qt.Equals, context.DeadlineExceeded)
	})
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		var at []time.Duration
		started := time.Now()
		crpause.Every(ctx, time.Second, func() { at = append(at, time.Since(started)) })
		qt.Assert(t, at, qt.DeepEquals, []time.Duration{0, time.Second, 2 * time.Second})
	})
}
