package config

import "errors"

// errDigestMismatch says that a record does not match its digest.
var errDigestMismatch = errors.New("the configuration does not match its digest")
