package worker

import "errors"

// ErrStaleEpoch says that the worker has been claimed under a higher epoch.
var ErrStaleEpoch = errors.New("the worker has a later owner")

// ErrUnreachable says that the worker gave no usable answer.
var ErrUnreachable = errors.New("the worker does not answer")

// ErrOutOfOrder says that the worker has already seen a later message of the
// same epoch and dropped this one.
var ErrOutOfOrder = errors.New("a later message was handled before this one")
