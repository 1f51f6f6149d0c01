package worker

import "errors"

// ErrStaleEpoch means that the worker has been claimed under a higher epoch.
var ErrStaleEpoch = errors.New("the worker has a later owner")

// ErrUnreachable means that the worker gave no usable answer.
var ErrUnreachable = errors.New("the worker does not answer")

// ErrOutOfOrder means that the worker has already handled a later message of the same
// epoch and dropped this one.
var ErrOutOfOrder = errors.New("a later message was handled before this one")
