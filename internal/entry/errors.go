package entry

import "errors"

var (
	// errCallerGone is returned when a response cannot be written to the caller.
	errCallerGone = errors.New("caller closed the connection")
	// errResponseTruncated is returned when an upstream's response ended before its end.
	errResponseTruncated = errors.New("upstream response truncated")
)
