package config

import "errors"

// errDigestMismatch is returned for a record whose text does not match its digest.
var errDigestMismatch = errors.New("the configuration does not match its digest")
