package crreplica

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crclock"
)

// TestConfirmationCountsFromTheQuestion guards against an age that counts from the answer, which may be late, instead of
// the request, and against a confirmation that stays valid while the machine is suspended.
func TestConfirmationCountsFromTheQuestion(t *testing.T) {
	c := qt.New(t)
	var state Confirmation
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }
	_, known := state.Age(at(0))
	c.Assert(known, qt.IsFalse)
	c.Assert(state.Valid(at(0)), qt.IsFalse)
	c.Assert(state.ConfirmedSince(at(0), at(-1)), qt.IsFalse)

	// Requested at 0 ms, answered at 400 ms.
	state.recordConfirmation(at(0))
	age, known := state.Age(at(400))
	c.Assert(known, qt.IsTrue)
	c.Assert(age, qt.Equals, 400*time.Millisecond)
	c.Assert(state.Valid(at(999)), qt.IsTrue)
	c.Assert(state.Valid(at(1000)), qt.IsFalse)
	c.Assert(state.ConfirmedSince(at(400), at(0)), qt.IsTrue)
	c.Assert(state.ConfirmedSince(at(400), at(1)), qt.IsFalse, qt.Commentf("the request was sent before that time"))
	// The machine is suspended for three seconds.
	c.Assert(state.Valid(at(3400)), qt.IsFalse)
	c.Assert(state.ConfirmedSince(at(3400), at(0)), qt.IsFalse)
}

// failingReader reports each request and fails it.
type failingReader struct{ requests chan time.Time }

func (s failingReader) ReadIndex(ctx context.Context) (uint64, error) {
	s.requests <- crclock.Now()
	return 0, errors.New("no leader")
}

// TestConfirmationWithoutAnswer guards against a failed request that counts as a confirmation, and against a request that
// is not sent again at once for a node that has just connected.
func TestConfirmationWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	reader := failingReader{requests: make(chan time.Time, 10)}
	failed := make(chan struct{}, 10)
	state := Confirmation{Reader: reader, OnFailure: func() { failed <- struct{}{} }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		state.Run(ctx)
	}()
	first := <-reader.requests
	<-failed
	state.RequestNow()
	c.Assert((<-reader.requests).Sub(first) < confirmInterval, qt.IsTrue)
	<-failed
	c.Assert(state.Valid(crclock.Now()), qt.IsFalse)
	cancel()
	<-done
}
