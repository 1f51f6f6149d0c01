package store

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable says that the store did nothing: it refused the call or
	// could not be reached at all.
	ErrUnavailable = errors.New("the store refuses or cannot be reached")
	// ErrUnknown says that the call was sent and not answered. A write may have
	// taken effect, or may do so seconds later.
	ErrUnknown = errors.New("the store did not answer")
	// ErrHistoryGone says that changes after the given version are not kept.
	ErrHistoryGone = errors.New("the store no longer has this part of its history")
)

// ConflictError says that a check did not hold; nothing was written.
type ConflictError struct {
	// Rows are the current rows that the checks named, with Version 0 for those
	// that do not exist.
	Rows []Row
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a checked row changed meanwhile (%d rows checked)", len(e.Rows))
}
