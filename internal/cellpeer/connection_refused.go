package cellpeer

import (
	"errors"
	"syscall"
)

// ConnectionRefused reports whether a call failed because nothing listens at the address:
// the process has ended, or a host on the path refuses connections to it.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
