package config

import "errors"

// errDamaged says that a record does not match its digest.
var errDamaged = errors.New("the configuration does not match its digest")
