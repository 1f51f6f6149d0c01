package idempotency

import "errors"

// errTakingOver means that the shard has just changed owners.
var errTakingOver = errors.New("the home of the key is being taken over")
