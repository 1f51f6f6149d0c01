package callerlimit

import "errors"

var (
	// ErrEvicted means that the connection had to give up its place to another caller.
	ErrEvicted = errors.New("other callers needed the place of this request, which had not arrived completely")
	// ErrNoMemory means that the limit for the memory of bodies is reached, and that no unfinished body
	// holds more than this one.
	ErrNoMemory = errors.New("the memory for request bodies is used up")
	// ErrBusy means that the limit for requests in progress is reached.
	ErrBusy = errors.New("too many requests are in progress")
)
