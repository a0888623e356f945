package crreplica

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crclock"
)

// TestConfirmationCountsFromTheQuestion guards against a confirmation that counts from its answer, which may come late, and
// against one that a sleeping member goes on to hold.
func TestConfirmationCountsFromTheQuestion(t *testing.T) {
	c := qt.New(t)
	var state Confirmation
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }
	_, known := state.Age(at(0))
	c.Assert(known, qt.IsFalse)
	c.Assert(state.Valid(at(0)), qt.IsFalse)
	c.Assert(state.Since(at(0), at(-1)), qt.IsFalse)

	// Asked at 0, answered at 400.
	state.answered(at(0))
	age, known := state.Age(at(400))
	c.Assert(known, qt.IsTrue)
	c.Assert(age, qt.Equals, 400*time.Millisecond)
	c.Assert(state.Valid(at(999)), qt.IsTrue)
	c.Assert(state.Valid(at(1000)), qt.IsFalse)
	c.Assert(state.Since(at(400), at(0)), qt.IsTrue)
	c.Assert(state.Since(at(400), at(1)), qt.IsFalse, qt.Commentf("it was asked before"))
	// The machine sleeps for three seconds.
	c.Assert(state.Valid(at(3400)), qt.IsFalse)
	c.Assert(state.Since(at(3400), at(0)), qt.IsFalse)
}

// silent never answers.
type silent struct{ asked chan time.Time }

func (s silent) ReadIndex(ctx context.Context) (uint64, error) {
	s.asked <- crclock.Now()
	return 0, errors.New("no leader")
}

// TestConfirmationWithoutAnswer guards against a question without an answer that confirms, and one that is not asked again
// at once for a node that has just come.
func TestConfirmationWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	from := silent{asked: make(chan time.Time, 10)}
	failed := make(chan struct{}, 10)
	state := Confirmation{Reader: from, OnFailure: func() { failed <- struct{}{} }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		state.Run(ctx)
	}()
	first := <-from.asked
	<-failed
	state.Hurry()
	c.Assert((<-from.asked).Sub(first) < confirmInterval, qt.IsTrue)
	<-failed
	c.Assert(state.Valid(crclock.Now()), qt.IsFalse)
	cancel()
	<-done
}
