// Package fault holds the closed list of error kinds, the table from kind to
// the answer a caller gets, and the error type that carries a kind.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error with a kind of the closed list.
type Error struct {
	Kind Kind
	// Message is for people; it names the place and what is allowed.
	Message string
	// RetryAfter replaces the table's value when it is not zero.
	RetryAfter time.Duration
	// Outcome replaces the table's value when it is not empty, for the case
	// that more is known than the kind alone says.
	Outcome Outcome
	cause   error
}

// New returns an error of kind k with a formatted message. A %w verb keeps
// its operand for errors.Is and errors.As.
func New(k Kind, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Kind: k, Message: wrapped.Error(), cause: errors.Unwrap(wrapped)}
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// WithRetryAfter returns a copy of e that says when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy of e that states a known outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// Answer returns the table's answer with this error's own values put in.
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

// From returns err as an *Error. An error without a kind becomes Internal.
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
