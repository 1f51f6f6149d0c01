package idempotency

import "errors"

// errTakingOver says that the shard has just changed hands.
var errTakingOver = errors.New("the home of the key is being taken over")
