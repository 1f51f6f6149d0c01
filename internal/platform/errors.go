package platform

import "errors"

// ErrConflict says that a check of a transaction did not hold; nothing was
// written by this attempt.
var ErrConflict = errors.New("a row changed meanwhile")

// ErrUnavailable says that the platform gave no answer. A write may or may
// not have taken effect.
var ErrUnavailable = errors.New("the platform does not answer")
