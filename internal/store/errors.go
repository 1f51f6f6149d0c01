package store

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable is returned when the store did nothing: it refused the call or could
	// not be reached.
	ErrUnavailable = errors.New("the store refuses or cannot be reached")
	// ErrUnknown is returned when the call was sent and not answered, so that its outcome
	// is unknown. A write may have taken effect, or may do so seconds later.
	ErrUnknown = errors.New("the store did not answer")
	// ErrHistoryGone is returned when the store no longer keeps the changes after the
	// given version.
	ErrHistoryGone = errors.New("the store no longer has this part of its history")
)

// RejectedError is returned when the store does not take a transaction because of its content, for
// example its size. Nothing was written, and the same transaction will be rejected again. It is an
// ErrUnavailable.
type RejectedError struct{ Reason string }

// Error implements the error interface.
func (e *RejectedError) Error() string { return "the transaction is rejected: " + e.Reason }

// Unwrap implements the interface of errors.Is.
func (e *RejectedError) Unwrap() error { return ErrUnavailable }

// ConflictError is returned when a check of a transaction failed. Nothing was written.
type ConflictError struct {
	// Rows holds the current state of the checked rows, with Version 0 for rows that do
	// not exist.
	Rows []Row
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a checked row has changed (%d rows checked)", len(e.Rows))
}
