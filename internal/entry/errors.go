package entry

import "errors"

var (
	// errCallerGone says that the caller stopped reading.
	errCallerGone = errors.New("the caller went away")
	// errResponseTruncated says that an answer ended in its middle.
	errResponseTruncated = errors.New("the answer broke off")
)
