// Package crcode defines the result codes that answers to callers, answers to operators and logs use, the outcome of a
// request, and the error type that carries a code between processes.
package crcode

import (
	"errors"
	"fmt"
	"time"
)

// Code is the number of a result. It is sent on the wire and documented, so the number of a code never changes.
type Code uint16

// Outcome states whether a backend server ran a request.
type Outcome uint8

// The outcomes of a request. Only NotRun allows a retry of a request that may not be repeated.
const (
	// NotRun means that no backend server started the request.
	NotRun Outcome = iota + 1
	// Run means that the request ran to completion.
	Run
	// Unknown means that the request may have run, in full or in part.
	Unknown
)

// String returns the name of the outcome that headers and dumps show.
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

// Info describes a code: its name, which never changes, the outcome, the HTTP status, and a text with the meaning and
// what to do next.
type Info struct {
	Code    Code
	Name    string
	Outcome Outcome
	Status  int
	Text    string
}

// Info returns the description of the code; for an unknown code it returns that of Internal.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// Outcome returns the outcome of a request with this code.
func (c Code) Outcome() Outcome { return c.Info().Outcome }

// HTTPStatus returns the HTTP status of an answer with this code.
func (c Code) HTTPStatus() int { return c.Info().Status }

// String returns the name of the code.
func (c Code) String() string { return c.Info().Name }

// All returns the descriptions of all codes in ascending order of their numbers.
func All() []Info { return append([]Info(nil), table...) }

// Error is an error with a result code. An empty Detail and a zero RetryAfter mean that there is none.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration
}

// New returns an error with the given code and a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the number and name of the code and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, e.Code)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
}

// Is reports whether target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// Of returns the code of the first *Error in err's chain, OK for nil and Internal when the chain has none.
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
