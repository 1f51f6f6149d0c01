// Package fault defines the error kinds that callers can receive, the answer for each kind, and
// the error type that carries a kind.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error with one of the defined kinds.
type Error struct {
	Kind Kind
	// Message is for people; it names the location of the problem and what is allowed there.
	Message string
	// RetryAfter overrides the retry delay of Kind (see AnswerFor) if it is not zero.
	RetryAfter time.Duration
	// Outcome overrides the outcome of Kind if it is not empty, for errors about which more is
	// known than the kind alone implies.
	Outcome Outcome
	cause   error
}

// New returns an error of kind k with a formatted message. The operand of a %w verb is kept for
// errors.Is and errors.As.
func New(k Kind, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Kind: k, Message: wrapped.Error(), cause: errors.Unwrap(wrapped)}
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// WithRetryAfter returns a copy of e with the retry delay d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy of e with the outcome o.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// Answer returns the answer for the kind with the values that this error overrides.
func (e *Error) Answer() Answer {
	a := AnswerFor(e.Kind)
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	if e.Outcome != "" {
		a.Outcome = e.Outcome
	}
	return a
}

// From returns err as an *Error. An error without a kind becomes an Internal error.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%w", err)
}

// Is reports whether err carries kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
