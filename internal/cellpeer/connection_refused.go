package cellpeer

import (
	"errors"
	"syscall"
)

// ConnectionRefused reports whether a call failed because nothing listens at the address: its
// process has ended, or something between refuses connections to it.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
