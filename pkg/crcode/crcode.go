// Package crcode defines the numbered result codes that callers, operators and logs share, the outcome of a request,
// and the error type that carries a code across processes.
package crcode

import (
	"errors"
	"fmt"
	"time"
)

// Code is a numbered result; its value is stable on the wire and in the docs.
type Code uint16

// Outcome tells whether a request was run.
type Outcome uint8

// The three outcomes are kept apart everywhere; only NotRun allows a retry of a non-repeatable request.
const (
	// NotRun means that no backend server started the request.
	NotRun Outcome = iota + 1
	// Run means that the request ran to its end.
	Run
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome as it stands in headers and dumps.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Run:
		return "run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Info describes one code: its stable name, outcome, HTTP status, meaning and what to do next.
type Info struct {
	Code    Code
	Name    string
	Outcome Outcome
	Status  int
	Text    string
}

// Info returns the description of the code; an unlisted code is described as Internal.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// Outcome returns the outcome that the code stands for.
func (c Code) Outcome() Outcome { return c.Info().Outcome }

// HTTPStatus returns the HTTP status that goes with the code.
func (c Code) HTTPStatus() int { return c.Info().Status }

// String returns the code's stable name.
func (c Code) String() string { return c.Info().Name }

// All returns every code in ascending order.
func All() []Info { return append([]Info(nil), table...) }

// Error is a failure with a code; the zero Detail and RetryAfter mean none.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration
}

// New returns an error with a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the number, the name and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, e.Code)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
}

// Is reports whether target is an Error with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// Of returns the code in err's chain: OK for nil, Internal when there is none.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}
